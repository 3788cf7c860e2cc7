//! Measures on this machine what messages, digests, parsing and links cost.

use crate::capacity::inputs::Costs;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use yewcross_common::constants::{SEC, WIRE_VERSION};
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::runtime::os::OsRuntime;
use yewcross_common::runtime::{BoxFuture, Runtime};
use yewcross_common::transport::{Envelope, PeerClient, Reply, RequestHandler};

/// us of processor this process has used.
fn used() -> f64 {
    let s = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let f: Vec<f64> = s
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|x| x.parse().ok())
        .collect();
    f.iter().sum::<f64>() * 10_000.0
}

/// kB of memory that this process holds.
fn resident() -> f64 {
    let s = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    s.split_whitespace()
        .nth(1)
        .and_then(|x| x.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 4.096
}

struct Echo;

impl RequestHandler for Echo {
    fn handle(self: Arc<Self>, p: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let _ = p.decode::<PeerRequest>();
            Reply {
                message: serde_json::to_vec(&PeerResponse::ProbeOnBehalf { reachable: true })
                    .unwrap_or_default(),
                payload: vec![],
            }
        })
    }
}

async fn ends(w: &Runtime, n: usize) -> Vec<SocketAddr> {
    let mut v = vec![];
    for i in 0..n {
        let at = SocketAddr::from(([127, 0, 0, 1], 21_000 + i as u16));
        if let Ok(d) = w.bind(at).await {
            let p = PeerClient::new(w, &format!("end-{i}"), "zone", WIRE_VERSION);
            w.spawn(p.serve(d, Arc::new(Echo)));
            v.push(at);
        }
    }
    v
}

/// Measures `Costs` on this machine, over loopback and with one thread.
pub fn measure() -> Costs {
    let w = OsRuntime::start(".", 1);
    smol::block_on(async {
        let to = ends(&w, 200).await;
        let me = PeerClient::new(&w, "probe", "zone", WIRE_VERSION);
        let a = PeerRequest::ProbeOnBehalf {
            target: SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        let before = resident();
        for t in &to {
            let _ = me.request(*t, &a, &[], SEC).await;
        }
        let links = (resident() - before) / to.len().max(1) as f64 / 2.0;
        let (k, t0) = (20_000, used());
        for i in 0..k {
            let _ = me.request(to[i % to.len().max(1)], &a, &[], SEC).await;
        }
        // A question and its answer, at both ends: four messages handled.
        let message = (used() - t0) / k as f64 / 4.0;
        let names: Vec<String> = (0..410).map(|i| format!("front-{i:04}")).collect();
        let (k, t0) = (4_000, used());
        let mut sum = 0u64;
        for _ in 0..k {
            let s: String = names
                .iter()
                .map(|n| format!("{n}{:?}", (459_776_000_000_000u64, 0u32, "Alive")))
                .collect();
            sum ^= yewcross_common::hash::rendezvous_weight(&s, "");
        }
        let digest = (used() - t0) / k as f64 / 410.0 + (sum & 1) as f64 * 1e-12;
        let route = json!({"name": "r-b9wu3fe", "host": "tenant-01234.example", "prefix": "/pufi791/", "mode": "stream",
            "variants": [["model-07", 100]], "timeout_ms": 6000, "retained": true, "retain_ms": 3_600_000});
        let routes: Vec<Value> = (0..4000)
            .map(|i| {
                let mut r = route.clone();
                (r["name"], r["prefix"]) = (json!(format!("r-{i}")), json!(format!("/p{i}/")));
                r
            })
            .collect();
        let t = serde_json::to_vec(
            &json!({"routing": {"routes": routes, "upstreams": [{"name": "model-07"}]}}),
        )
        .unwrap_or_default();
        let (k, t0) = (40, used());
        for _ in 0..k {
            let _ = yewcross_common::configuration::Configuration::read(&t);
        }
        let parse = (used() - t0) / k as f64 / (t.len() as f64 / 1000.0);
        Costs {
            message_us: message,
            digest_us_node: digest,
            parse_us_kb: parse,
            link_kb: links.max(0.0),
        }
    })
}
