//! A front that violates one rule of its protocol at a time, to show that each checker can fail.

use crate::proof::evidence::Ack;
use crate::proof::{TestCluster, stranger};
use crate::stub_server::StubServerSettings;
use http_types::{Method, Response};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use strum::{EnumIter, IntoStaticStr};
use yewcross_common::buffered_http::{
    self, BufferedRequest, ConnectionTracker, error_response, fetch, json_response,
    ndjson_stream_response,
};
use yewcross_common::constants::SEC;
use yewcross_common::error_code::Code;
use yewcross_common::hash::digest;
use yewcross_common::runtime::Runtime;

/// Server that turns are sent to, unless the violation requires another one.
const DEFAULT_SERVER: &str = "m1";
/// Name of a server that the configuration does not list.
const UNLISTED_SERVER: &str = "x9";

/// A protocol violation. The discriminant is the number of the checker that must detect it.
#[derive(Clone, Copy, Debug, PartialEq, EnumIter, IntoStaticStr)]
pub enum ProtocolViolation {
    /// Responses are stamped for another job.
    #[strum(serialize = "OthersAnswer")]
    MisattributedAnswer = 1,
    /// A job is executed by two servers.
    #[strum(serialize = "RunsTwice")]
    DuplicateExecution = 2,
    /// A job is executed and then rejected as not executed.
    #[strum(serialize = "RunsRefused")]
    RejectedAfterExecution = 3,
    /// The budget is not checked.
    #[strum(serialize = "Overspends")]
    BudgetIgnored = 4,
    /// The session's history is not sent to the server.
    #[strum(serialize = "Forgets")]
    HistoryOmitted = 5,
    /// The first piece of a stream is sent twice.
    #[strum(serialize = "RepeatsPiece")]
    RepeatedPiece = 6,
    /// Turns are sent to a server that is draining.
    #[strum(serialize = "UsesLeaving")]
    DrainingServerUsed = 7,
    /// Responses name an outdated configuration version.
    #[strum(serialize = "OldConfig")]
    StaleConfiguration = 8,
    /// A configuration change is acknowledged that was never applied.
    #[strum(serialize = "FalseAck")]
    FalseAcknowledgement = 9,
    /// Turns are sent to a server that the configuration does not list.
    #[strum(serialize = "UsesStranger")]
    UnlistedServerUsed = 10,
    /// Some streams end without their end line.
    #[strum(serialize = "Drops")]
    TruncatedStreams = 11,
    /// All requests are rejected.
    #[strum(serialize = "RefusesAll")]
    AllRejected = 12,
    /// Turns are rejected without a time after which to retry.
    #[strum(serialize = "NoComeBack")]
    NoRetryAfter = 13,
}

struct ViolatingFront {
    runtime: Runtime,
    cluster: Arc<TestCluster>,
    violation: ProtocolViolation,
    request_count: AtomicU64,
}

/// Serves callers at a front's address in place of the front.
pub async fn serve(
    cluster: Arc<TestCluster>,
    runtime: Runtime,
    address: SocketAddr,
    violation: ProtocolViolation,
) {
    let Ok(listener) = runtime.bind(address).await else {
        return;
    };
    let front = Arc::new(ViolatingFront {
        runtime: runtime.clone(),
        cluster,
        violation,
        request_count: AtomicU64::new(0),
    });
    let handler: buffered_http::Handler =
        Arc::new(move |request| Box::pin(handle_request(front.clone(), request)));
    let connections = Arc::new(ConnectionTracker::default());
    buffered_http::serve(runtime, listener, handler, connections).await;
}

/// Sets up the conditions under which the violation becomes visible.
pub async fn prepare(cluster: &Arc<TestCluster>, violation: ProtocolViolation) {
    match violation {
        ProtocolViolation::DrainingServerUsed => cluster.drain_server(DEFAULT_SERVER),
        ProtocolViolation::UnlistedServerUsed => start_unlisted_server(cluster),
        ProtocolViolation::TruncatedStreams => {
            let now = cluster.sim.now();
            cluster.planned_stops.lock().unwrap().push((now, now));
        }
        ProtocolViolation::StaleConfiguration => {
            cluster.put("core1", 2, "newer").await;
        }
        ProtocolViolation::FalseAcknowledgement => record_false_acknowledgement(cluster),
        _ => {}
    }
}

fn start_unlisted_server(cluster: &Arc<TestCluster>) {
    let settings = StubServerSettings {
        server: UNLISTED_SERVER.into(),
        addr: stranger(),
        ..cluster.topology.servers[0].clone()
    };
    let machine = cluster
        .sim
        .add_machine(UNLISTED_SERVER, &settings.site, settings.addr.ip());
    cluster.boot_server(cluster.sim.boot(machine), settings);
}

fn record_false_acknowledgement(cluster: &TestCluster) {
    let acknowledgement = Ack {
        sent: 0,
        at: cluster.sim.now(),
        base: 2,
        mark: "never".into(),
        code: 1000,
        version: 9,
    };
    cluster.acks.lock().unwrap().push(acknowledgement);
}

/// The front's response to one turn.
struct TurnAnswer {
    /// Position of the request among all requests to the front, from 0.
    request_number: u64,
    /// Job named in the stamp.
    job: String,
    server: String,
    text: String,
    max_output: Value,
}

impl ViolatingFront {
    fn target_server(&self) -> String {
        match self.violation {
            ProtocolViolation::DrainingServerUsed => {
                let draining = self.cluster.departures.lock().unwrap();
                draining
                    .first()
                    .map_or(DEFAULT_SERVER.into(), |departure| departure.server.clone())
            }
            ProtocolViolation::UnlistedServerUsed => UNLISTED_SERVER.into(),
            _ => DEFAULT_SERVER.into(),
        }
    }

    /// Runs the turn at the server and returns its complete text.
    async fn run_turn(&self, job: &str, turn: &Value, server: &str) -> String {
        let servers = &self.cluster.topology.servers;
        let address = servers
            .iter()
            .find(|settings| settings.server == server)
            .map_or(stranger(), |settings| settings.addr);
        let program = turn["program"].as_str().unwrap_or("");
        let session = turn["session"].as_str().unwrap_or("");
        let body = json!({
            "job": job,
            "session": format!("session/{program}/{session}"),
            "program": turn["program"],
            "prompt": "hello\t",
            "max_output": turn["max_output"],
            "horizon_ms": 6000,
        });
        let fetched = fetch(
            &self.runtime,
            address,
            Method::Post,
            "/turn",
            &[],
            body.to_string().into_bytes(),
            5 * SEC,
        )
        .await;
        let stream = fetched
            .map(|answer| String::from_utf8_lossy(&answer.2).into_owned())
            .unwrap_or_default();
        stream
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .filter_map(|line| line["text"].as_str().map(String::from))
            .collect()
    }

    fn handle_lookup(&self, lookup: &Value) -> Response {
        if self.violation == ProtocolViolation::AllRejected {
            return error_response(Code::NoServer, "", 1);
        }
        let key = lookup["key"].as_str().unwrap_or("");
        let job = lookup["job"].as_str().unwrap_or("");
        let value = format!("{key}={}", &digest(key.as_bytes())[..8]);
        let stamp = json!({"server": "l1", "job": job});
        json_response(200, &json!({"code": 1000, "value": value, "stamp": stamp}))
    }

    async fn handle_turn(&self, number: u64, turn: &Value) -> Response {
        let server = self.target_server();
        match self.violation {
            ProtocolViolation::AllRejected => return error_response(Code::NoServer, "", 1),
            ProtocolViolation::NoRetryAfter => return error_response(Code::NoServer, "", 0),
            _ => {}
        }
        let job = turn["job"].as_str().unwrap_or("").to_string();
        let attempt = format!("{number:x}");
        let text = self
            .run_turn(&format!("{job}#{attempt}"), turn, &server)
            .await;
        if self.violation == ProtocolViolation::DuplicateExecution {
            self.run_turn(&job, turn, "m2").await;
        }
        if self.violation == ProtocolViolation::RejectedAfterExecution {
            let mut rejection = error_response(Code::NoServer, "", 1);
            rejection.insert_header("yewcross-shot", attempt);
            return rejection;
        }
        let answer = TurnAnswer {
            request_number: number,
            job: if self.violation == ProtocolViolation::MisattributedAnswer {
                "another".into()
            } else {
                job
            },
            server,
            text,
            max_output: turn["max_output"].clone(),
        };
        let mut response = if turn["stream"] == json!(true) {
            self.streamed_response(&answer)
        } else {
            answer.buffered_response()
        };
        if self.violation == ProtocolViolation::StaleConfiguration {
            response.insert_header("yewcross-config", "1");
        }
        response
    }

    fn streamed_response(&self, answer: &TurnAnswer) -> Response {
        // Has capacity for all lines of a stream, so that sending never blocks.
        let (lines, body) = async_channel::bounded::<Vec<u8>>(4);
        let send = |line: String| {
            // Fails only if the caller has disconnected.
            let _ = lines.try_send(line.into_bytes());
        };
        let piece = format!("{}\n", json!({"n": 0, "text": answer.text}));
        send(piece.clone());
        if self.violation == ProtocolViolation::RepeatedPiece {
            send(piece);
        }
        let is_truncated = self.violation == ProtocolViolation::TruncatedStreams
            && answer.request_number.is_multiple_of(7);
        if !is_truncated {
            send(format!("{}\n", answer.end_line()));
        }
        ndjson_stream_response(body)
    }
}

impl TurnAnswer {
    fn end_line(&self) -> Value {
        json!({
            "end": true,
            "code": 1000,
            "pieces": 1,
            "digest": digest(self.text.as_bytes()),
            "replayed": false,
            "usage": {"prompt": 2, "reused": 0, "output": self.max_output},
            "stamp": {"server": self.server, "job": self.job},
        })
    }

    fn buffered_response(&self) -> Response {
        let mut answer = self.end_line();
        answer["text"] = json!(self.text);
        json_response(200, &answer)
    }
}

async fn handle_request(front: Arc<ViolatingFront>, request: BufferedRequest) -> Response {
    let number = front.request_count.fetch_add(1, SeqCst);
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    if request.path == "/v1/turn" {
        front.handle_turn(number, &body).await
    } else {
        front.handle_lookup(&body)
    }
}
