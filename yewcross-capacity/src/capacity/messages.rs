//! Bytes of the product's real messages, put together here with names of the usual length.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use yewcross_common::configuration::route::Route;
use yewcross_common::constants::WIRE_VERSION;
use yewcross_common::membership::Node;
use yewcross_common::protocol::{ListedServer, LoadReport};
use yewcross_common::transport::encode_frame;

/// bytes. Ethernet, IP and TCP heads of a frame that fits one packet.
pub(super) const PACKET: f64 = 66.0;

/// bytes. Real messages of the product, with names of the usual length.
#[derive(Clone, Debug, Serialize)]
pub struct Messages {
    /// A frame with nothing in it.
    pub frame: f64,
    /// A probe of membership and its answer.
    pub probe: f64,
    /// A question for newer documents and its answer.
    pub newer: f64,
    /// A node in the table of members.
    pub node: f64,
    /// A server's load report.
    pub report: f64,
    /// A server in the platform's list.
    pub listed: f64,
    /// A route of the configuration.
    pub route: f64,
    /// The heads of one poll of a server, without its report.
    pub poll: f64,
}

pub(super) fn bytes<T: Serialize>(v: &T) -> f64 {
    serde_json::to_vec(v).map(|b| b.len() as f64).unwrap_or(0.0)
}

pub(super) fn frame(reply: bool, body: &Value, blob: usize) -> f64 {
    let body = serde_json::to_vec(body).unwrap_or_default();
    encode_frame(
        WIRE_VERSION,
        1 << 20,
        reply,
        "front-0123",
        "region-zone-a",
        &body,
        &vec![0; blob],
    )
    .len() as f64
}

pub(super) fn made<T: for<'a> Deserialize<'a> + Serialize>(v: Value) -> f64 {
    serde_json::from_value::<T>(v)
        .map(|x| bytes(&x))
        .unwrap_or(0.0)
}

impl Messages {
    /// Puts one of each together and measures it.
    pub fn now() -> Messages {
        let dig = 0x9c41_d07b_e2a3_5f68u64;
        let have = json!([["config", 5600], ["layout", 40], ["list", 90_000]]);
        Messages {
            frame: encode_frame(WIRE_VERSION, 1 << 20, true, "front-0123", "region-zone-a", &[], &[]).len() as f64,
            probe: frame(false, &json!({"Probe": {"dig": dig}}), 0)
                + frame(true, &json!({"Probe": {"dig": dig, "nodes": [], "wall": 1_796_000_000_000u64}}), 0),
            newer: frame(false, &json!({"Newer": {"have": have, "front": true}}), 0)
                + frame(true, &json!({"Newer": {"newest": have, "sure": true}}), 0),
            node: made::<Node>(json!({"name": "front-0123", "born": 459_776_000_000_000u64, "inc": 0, "state": "Alive", "role": "front",
                "site": "region-zone-a", "peer": "10.128.10.123:7380", "http": "10.128.10.123:8149", "disk": "", "wire": 2})),
            report: made::<LoadReport>(json!({"service": "model-07", "server": "i-7f3a91c2", "inst": 28_736_000_000_000u64, "seq": 1_000_000,
                "slots": 96, "running": 61, "waiting": 3, "weights": "w-2028-11-02", "placed": 1u64 << 40, "cache": 257_309,
                "per_k": 30_864, "per_out": 6_120})),
            listed: made::<ListedServer>(json!({"server": "i-7f3a91c2", "service": "model-07", "addr": "10.128.10.9:8080",
                "site": "region-zone-a"})),
            route: made::<Route>(json!({"name": "r-b9wu3fe", "host": "tenant-01234.example", "prefix": "/pufi791/", "mode": "stream",
                "variants": [["model-07", 100]], "timeout_ms": 6000, "target_ms": 600, "max_tries": 2, "rank": 1, "retained": true,
                "retain_ms": 3_600_000, "pinned": true, "gap_ms": 28})),
            poll: "GET /report HTTP/1.1\r\nhost: 10.128.10.9:8080\r\nHTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 330\r\n\r\n\r\n".len() as f64,
        }
    }
}
