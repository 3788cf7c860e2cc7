//! Sizes of the messages between nodes, taken from real messages that are constructed here with
//! names of typical length.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use yewcross_common::configuration::route::Route;
use yewcross_common::constants::WIRE_VERSION;
use yewcross_common::membership::Node;
use yewcross_common::protocol::{ListedServer, LoadReport};
use yewcross_common::transport::encode_frame;

/// Bytes of the Ethernet, IP and TCP headers of a frame that fits into one packet.
pub(super) const PACKET_HEADER_BYTES: f64 = 66.0;

/// Sizes in bytes of messages and of entries in them, with names of typical length.
#[derive(Clone, Debug, Serialize)]
pub struct MessageSizes {
    /// A frame without message and payload.
    pub empty_frame: f64,
    /// A membership probe and its response.
    pub probe: f64,
    /// A query for newer versions of the documents and its response.
    pub version_query: f64,
    /// A node in the member table.
    pub member: f64,
    /// A server's load report.
    pub load_report: f64,
    /// A server in the platform's server list.
    pub listed_server: f64,
    /// A route of the configuration.
    pub route: f64,
    /// The HTTP headers of one poll of a server and its response, without the report.
    pub poll_headers: f64,
}

pub(super) fn json_bytes<T: Serialize>(value: &T) -> f64 {
    serde_json::to_vec(value)
        .map(|json| json.len() as f64)
        .unwrap_or(0.0)
}

/// Bytes of a frame with this message and a payload of `payload_bytes`.
pub(super) fn frame_bytes(is_response: bool, message: &Value, payload_bytes: usize) -> f64 {
    let message = serde_json::to_vec(message).unwrap_or_default();
    encode_frame(
        WIRE_VERSION,
        1 << 20,
        is_response,
        "front-0123",
        "region-zone-a",
        &message,
        &vec![0; payload_bytes],
    )
    .len() as f64
}

/// Bytes of the JSON into which a `T` that is read from this value is encoded.
pub(super) fn encoded_bytes<T: for<'a> Deserialize<'a> + Serialize>(value: Value) -> f64 {
    serde_json::from_value::<T>(value)
        .map(|decoded| json_bytes(&decoded))
        .unwrap_or(0.0)
}

impl MessageSizes {
    /// Constructs one message of each kind and computes its size.
    pub fn compute() -> MessageSizes {
        let digest = 0x9c41_d07b_e2a3_5f68u64;
        let versions = json!([["config", 5600], ["layout", 40], ["list", 90_000]]);
        MessageSizes {
            empty_frame: encode_frame(WIRE_VERSION, 1 << 20, true, "front-0123", "region-zone-a", &[], &[]).len() as f64,
            probe: frame_bytes(false, &json!({"Probe": {"dig": digest}}), 0)
                + frame_bytes(true, &json!({"Probe": {"dig": digest, "nodes": [], "wall": 1_796_000_000_000u64}}), 0),
            version_query: frame_bytes(false, &json!({"Newer": {"have": versions, "front": true}}), 0)
                + frame_bytes(true, &json!({"Newer": {"newest": versions, "sure": true}}), 0),
            member: encoded_bytes::<Node>(json!({"name": "front-0123", "born": 459_776_000_000_000u64, "inc": 0, "state": "Alive", "role": "front",
                "site": "region-zone-a", "peer": "10.128.10.123:7380", "http": "10.128.10.123:8149", "disk": "", "wire": 2})),
            load_report: encoded_bytes::<LoadReport>(json!({"service": "model-07", "server": "i-7f3a91c2", "inst": 28_736_000_000_000u64, "seq": 1_000_000,
                "slots": 96, "running": 61, "waiting": 3, "weights": "w-2028-11-02", "placed": 1u64 << 40, "cache": 257_309,
                "per_k": 30_864, "per_out": 6_120})),
            listed_server: encoded_bytes::<ListedServer>(json!({"server": "i-7f3a91c2", "service": "model-07", "addr": "10.128.10.9:8080",
                "site": "region-zone-a"})),
            route: encoded_bytes::<Route>(json!({"name": "r-b9wu3fe", "host": "tenant-01234.example", "prefix": "/pufi791/", "mode": "stream",
                "variants": [["model-07", 100]], "timeout_ms": 6000, "target_ms": 600, "max_tries": 2, "rank": 1, "retained": true,
                "retain_ms": 3_600_000, "pinned": true, "gap_ms": 28})),
            poll_headers: "GET /report HTTP/1.1\r\nhost: 10.128.10.9:8080\r\nHTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 330\r\n\r\n\r\n".len() as f64,
        }
    }
}
