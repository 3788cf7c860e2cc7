//! A whole front that is stopped while callers keep opening connections to it.

use crate::rig::*;
use crate::server::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use yewcross_common::adapter::NativeFormat;
use yewcross_common::constants::*;
use yewcross_common::process_settings::ProcessSettings;
use yewcross_common::register::Ballot;
use yewcross_common::runtime::*;
use yewcross_proxy::{Front, FrontOptions};
use yewcross_testkit::routed::test_adapter::TestAdapter;

/// Time in µs from the request to stop for which callers may still be sent to the front by a platform
/// that has not noticed yet. A stream that is cut counts as lost if it was sent later.
const LATE_AFTER: u64 = 3 * SEC;

/// How long a caller waits for a stream, in ms.
const DEADLINE_MS: u64 = 6_000;

/// Time in µs from the first event of a stream to the others: it lasts 4.5 s.
const STREAM_PAUSE: u64 = 4_500 * MS;

/// Interval in µs at which new callers open a connection: shorter than the time for which the server
/// waits for a further connection of its backlog.
const CALLER_INTERVAL: u64 = 20 * MS;

const FRONT_ADDRESS: &str = "10.0.0.9";

/// A front with its own listener, beside the servers of a rig.
struct StoppableFront {
    rig: Rig,
    machine: usize,
    runtime: Runtime,
    front: Arc<Front>,
    address: SocketAddr,
}

fn long_stream_route() -> Value {
    let mut stream = route("stream", "stream", "a", 1);
    stream["timeout_ms"] = DEADLINE_MS.into();
    stream
}

impl StoppableFront {
    fn start(seed: u64) -> StoppableFront {
        let rig = Rig::new(seed, 2);
        rig.all(Act::Pause(1, STREAM_PAUSE));
        let address = |port: u16| SocketAddr::new(FRONT_ADDRESS.parse().unwrap(), port);
        let machine = rig.sim.add_machine("stopped", "z", address(0).ip());
        let runtime = rig.sim.boot(machine);
        let settings: ProcessSettings = serde_json::from_value(json!({
            "name": "stopped", "role": "front", "site": "z", "seeds": [],
            "peer": address(70), "http": address(80)
        }))
        .unwrap();
        let front = Front::open_without_leases(&runtime, settings, Arc::new(NativeFormat));
        let apply = |name: &str, content: Vec<u8>| {
            assert!(front.documents.apply(name, 1, Ballot::default(), content));
        };
        apply("config", config(json!([long_stream_route()])));
        apply(
            "list",
            rig.relay.documents.document("list").content.to_vec(),
        );
        let (serving, is_serving) = (front.clone(), Arc::new(AtomicBool::new(false)));
        let served = is_serving.clone();
        runtime.spawn(async move {
            let options = FrontOptions {
                caller: Arc::new(TestAdapter),
                upstream_protocol: Arc::new(TestAdapter),
                turn_log: None,
            };
            served.store(serving.serve_routes(options).await.is_ok(), SeqCst);
        });
        let end = rig.sim.now() + SEC;
        rig.sim.run(end, || is_serving.load(SeqCst));
        assert!(is_serving.load(SeqCst), "the front serves");
        StoppableFront {
            rig,
            machine,
            runtime,
            front,
            address: address(80),
        }
    }

    /// Stops the front; its process ends once it has stopped.
    fn stop(&self) {
        let (front, sim, machine) = (self.front.clone(), self.rig.sim.clone(), self.machine);
        self.runtime.spawn(async move {
            front.stop().await;
            sim.kill(machine, false);
        });
    }
}

/// One caller of a stopped front.
#[derive(Debug)]
struct LateCall {
    attempt: String,
    /// When the request was sent, in µs after the request to stop.
    sent_at: u64,
    /// `None` where the connection was refused.
    heard: Option<Answer>,
}

/// Opens connections at a regular interval, each with a stream of its own, until `until` µs have
/// passed.
async fn keep_calling(runtime: Runtime, address: SocketAddr, until: u64) -> Vec<LateCall> {
    let (sender, ended) = async_channel::unbounded();
    let started = runtime.now();
    let mut count = 0;
    while runtime.now() < started + until {
        let (caller, sender, attempt) = (runtime.clone(), sender.clone(), format!("late{count}"));
        count += 1;
        let sent_at = runtime.now() - started;
        runtime.spawn(async move {
            let heard = match caller.connect(address).await {
                Ok(connection) => {
                    let patience = vec![("patience".to_string(), DEADLINE_MS.to_string())];
                    let heard = call_on(&caller, connection, &attempt, "/stream/x", &patience, "");
                    Some(heard.await)
                }
                Err(_) => None,
            };
            let call = LateCall {
                attempt,
                sent_at,
                heard,
            };
            let _ = sender.send(call).await;
        });
        runtime.sleep(CALLER_INTERVAL).await;
    }
    let mut calls = vec![];
    while calls.len() < count {
        calls.push(ended.recv().await.unwrap());
    }
    calls
}

/// Guards against a stopped front that took new connections for as long as they followed each other
/// closely, and cut their streams at its end.
#[test]
fn a_stopped_front_cuts_no_stream_that_it_took_late() {
    let stopped = StoppableFront::start(92);
    stopped.stop();
    let address = stopped.address;
    let calls = stopped.rig.with(move |_, runtime| {
        Box::pin(async move { keep_calling(runtime, address, 4 * SEC).await })
    });
    let answered = |call: &&LateCall| call.heard.as_ref().is_some_and(|heard| heard.status > 0);
    let early = calls
        .iter()
        .filter(|call| call.sent_at < SHUTDOWN_DRAIN_DELAY);
    let whole = early
        .clone()
        .filter(answered)
        .filter(|call| call.heard.as_ref().is_some_and(|heard| heard.whole))
        .count();
    assert_eq!(
        whole,
        early.count(),
        "all streams of the drain delay are answered"
    );
    let lost: Vec<&LateCall> = calls
        .iter()
        .filter(|call| call.sent_at > LATE_AFTER)
        .filter(|call| !stopped.rig.runs(&call.attempt).is_empty())
        .filter(|call| !call.heard.as_ref().is_some_and(|heard| heard.whole))
        .collect();
    assert!(lost.is_empty(), "{} streams cut: {lost:#?}", lost.len());
    let last = calls.iter().filter(answered).map(|call| call.sent_at).max();
    assert!(last < Some(LATE_AFTER), "taken {last:?} us after the stop");
}

/// Sends a request in two parts with a pause in between, from shortly before the listener closes until
/// `LATE_AFTER`, and returns the status of the response; 0 without one.
async fn call_in_parts(
    runtime: &Runtime,
    address: SocketAddr,
    first: String,
    second: &'static str,
) -> u16 {
    runtime.sleep(SHUTDOWN_DRAIN_DELAY - CALLER_INTERVAL).await;
    let mut connection = runtime.connect(address).await.unwrap();
    connection.write_all(first.as_bytes()).await.unwrap();
    runtime
        .sleep(LATE_AFTER + 200 * MS - SHUTDOWN_DRAIN_DELAY)
        .await;
    if connection.write_all(second.as_bytes()).await.is_err() {
        return 0;
    }
    let mut response = vec![];
    // A connection that is reset has sent what was read so far.
    let _ = connection.read_to_end(&mut response).await;
    let text = String::from_utf8_lossy(&response);
    let is_whole = !text.contains("chunked") || text.ends_with("0\r\n\r\n");
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.filter(|_| is_whole).unwrap_or(0)
}

/// Guards against a stopped front that passed on requests which it had read whole so late that it
/// could not wait for their answers.
#[test]
fn a_stopped_front_passes_on_late_only_what_it_can_finish() {
    // How the request arrives, how long its caller waits, and what is to be answered.
    let cases = [
        ("body", DEADLINE_MS, 503),
        ("head", DEADLINE_MS, 503),
        ("body", 2_000, 200),
        ("head", 2_000, 200),
    ];
    for (step, (late_part, patience_ms, expected)) in cases.into_iter().enumerate() {
        let stopped = StoppableFront::start(93 + step as u64);
        if expected == 200 {
            stopped.rig.all(Act::Pause(1, SEC));
        }
        stopped.stop();
        let address = stopped.address;
        let status = stopped.rig.with(move |_, runtime| {
            Box::pin(async move {
                let head = format!(
                    "POST /stream/x HTTP/1.1\r\nhost: h.example\r\ntry: t\r\npatience: {patience_ms}\r\ncontent-length: 2\r\n"
                );
                let (first, second) = match late_part {
                    "body" => (head + "\r\na", "b"),
                    _ => (head, "\r\nab"),
                };
                call_in_parts(&runtime, address, first, second).await
            })
        });
        let runs = stopped.rig.runs("t").len();
        let what = format!("late {late_part}, a caller that waits {patience_ms} ms");
        assert_eq!(
            (status, runs),
            (expected, (expected == 200) as usize),
            "{what}"
        );
    }
}
