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

/// Processor time in µs that this process has used, in user and kernel mode. The kernel reports it
/// in ticks of 10 ms.
fn process_cpu_us() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let ticks: Vec<f64> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    ticks.iter().sum::<f64>() * 10_000.0
}

/// Resident memory of this process in kB, counted in pages of 4,096 bytes.
fn resident_kb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 4.096
}

/// Decodes each request and sends a fixed response.
struct FixedResponder;

impl RequestHandler for FixedResponder {
    fn handle(self: Arc<Self>, request: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let _ = request.decode::<PeerRequest>();
            Reply {
                message: serde_json::to_vec(&PeerResponse::ProbeOnBehalf { reachable: true })
                    .unwrap_or_default(),
                payload: vec![],
            }
        })
    }
}

/// Starts `count` responders on loopback ports from 21,000 and returns the addresses that could be
/// bound.
async fn start_responders(runtime: &Runtime, count: usize) -> Vec<SocketAddr> {
    let mut addresses = vec![];
    for i in 0..count {
        let address = SocketAddr::from(([127, 0, 0, 1], 21_000 + i as u16));
        if let Ok(listener) = runtime.bind(address).await {
            let peer = PeerClient::new(runtime, &format!("end-{i}"), "zone", WIRE_VERSION);
            runtime.spawn(peer.serve(listener, Arc::new(FixedResponder)));
            addresses.push(address);
        }
    }
    addresses
}

/// Measures [`Costs`] on this machine, over loopback and with one thread.
pub fn measure() -> Costs {
    let runtime = OsRuntime::start(".", 1);
    smol::block_on(async {
        let targets = start_responders(&runtime, 200).await;
        let client = PeerClient::new(&runtime, "probe", "zone", WIRE_VERSION);
        let request = PeerRequest::ProbeOnBehalf {
            target: SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        let resident_before = resident_kb();
        for target in &targets {
            let _ = client.request(*target, &request, &[], SEC).await;
        }
        // Both ends of each link are in this process.
        let link_kb = (resident_kb() - resident_before) / targets.len().max(1) as f64 / 2.0;
        let (rounds, cpu_before) = (20_000, process_cpu_us());
        for i in 0..rounds {
            let _ = client
                .request(targets[i % targets.len().max(1)], &request, &[], SEC)
                .await;
        }
        // The request and the response are each handled at both ends: four messages per round.
        let message_us = (process_cpu_us() - cpu_before) / rounds as f64 / 4.0;
        let names: Vec<String> = (0..410).map(|i| format!("front-{i:04}")).collect();
        let (rounds, cpu_before) = (4_000, process_cpu_us());
        let mut combined_hash = 0u64;
        for _ in 0..rounds {
            let text: String = names
                .iter()
                .map(|name| format!("{name}{:?}", (459_776_000_000_000u64, 0u32, "Alive")))
                .collect();
            combined_hash ^= yewcross_common::hash::rendezvous_weight(&text, "");
        }
        // The hash enters the result so that the compiler cannot remove the loop.
        let digest_us = (process_cpu_us() - cpu_before) / rounds as f64 / 410.0
            + (combined_hash & 1) as f64 * 1e-12;
        let route = json!({"name": "r-b9wu3fe", "host": "tenant-01234.example", "prefix": "/pufi791/", "mode": "stream",
            "variants": [["model-07", 100]], "timeout_ms": 6000, "retained": true, "retain_ms": 3_600_000});
        let routes: Vec<Value> = (0..4000)
            .map(|i| {
                let mut numbered = route.clone();
                (numbered["name"], numbered["prefix"]) =
                    (json!(format!("r-{i}")), json!(format!("/p{i}/")));
                numbered
            })
            .collect();
        let text = serde_json::to_vec(
            &json!({"routing": {"routes": routes, "upstreams": [{"name": "model-07"}]}}),
        )
        .unwrap_or_default();
        let (rounds, cpu_before) = (40, process_cpu_us());
        for _ in 0..rounds {
            let _ = yewcross_common::configuration::Configuration::read(&text);
        }
        let parse_us =
            (process_cpu_us() - cpu_before) / rounds as f64 / (text.len() as f64 / 1000.0);
        Costs {
            message_us,
            digest_us_node: digest_us,
            parse_us_kb: parse_us,
            link_kb: link_kb.max(0.0),
        }
    })
}
