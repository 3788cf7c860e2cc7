//! A front that violates its protocol, one rule at a time, to show that each checker can fail.

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

/// The server that every turn goes to, unless the violation says another.
const USUAL_SERVER: &str = "m1";
/// Name of a server that the configuration does not allow.
const STRANGER: &str = "x9";

/// A rule that is broken. The discriminant is the number of the checker that must see it.
#[derive(Clone, Copy, Debug, PartialEq, EnumIter, IntoStaticStr)]
pub enum ProtocolViolation {
    /// Answers are stamped for another job.
    OthersAnswer = 1,
    /// A job runs at two servers.
    RunsTwice = 2,
    /// A job runs and is then rejected as not run.
    RunsRefused = 3,
    /// The budget is not looked at.
    Overspends = 4,
    /// The history of the session is not sent to the server.
    Forgets = 5,
    /// The first piece of a stream comes twice.
    RepeatsPiece = 6,
    /// Turns go to a server that is draining.
    UsesLeaving = 7,
    /// Answers name an old configuration.
    OldConfig = 8,
    /// A put is acknowledged that was never made.
    FalseAck = 9,
    /// Turns go to a server that nobody allowed.
    UsesStranger = 10,
    /// Some streams break off.
    Drops = 11,
    /// Everything is rejected.
    RefusesAll = 12,
    /// Turns are rejected without a time to come back.
    NoComeBack = 13,
}

struct ViolatingFront {
    runtime: Runtime,
    cluster: Arc<TestCluster>,
    violation: ProtocolViolation,
    requests: AtomicU64,
}

/// Takes the place of a front at its callers' side.
pub async fn serve(
    cluster: Arc<TestCluster>,
    runtime: Runtime,
    at: SocketAddr,
    violation: ProtocolViolation,
) {
    let Ok(listener) = runtime.bind(at).await else {
        return;
    };
    let front = Arc::new(ViolatingFront {
        runtime: runtime.clone(),
        cluster,
        violation,
        requests: AtomicU64::new(0),
    });
    let handler: buffered_http::Handler =
        Arc::new(move |request| Box::pin(answer(front.clone(), request)));
    let connections = Arc::new(ConnectionTracker::default());
    buffered_http::serve(runtime, listener, handler, connections).await;
}

/// Brings about what must hold around the front for the violation to show.
pub async fn prepare(cluster: &Arc<TestCluster>, violation: ProtocolViolation) {
    match violation {
        ProtocolViolation::UsesLeaving => cluster.drain_server(USUAL_SERVER),
        ProtocolViolation::UsesStranger => start_stranger(cluster),
        ProtocolViolation::Drops => {
            let now = cluster.sim.now();
            cluster.planned_stops.lock().unwrap().push((now, now));
        }
        ProtocolViolation::OldConfig => {
            cluster.put("core1", 2, "newer").await;
        }
        ProtocolViolation::FalseAck => record_false_acknowledgement(cluster),
        _ => {}
    }
}

fn start_stranger(cluster: &Arc<TestCluster>) {
    let settings = StubServerSettings {
        server: STRANGER.into(),
        addr: stranger(),
        ..cluster.topology.servers[0].clone()
    };
    let machine = cluster
        .sim
        .add_machine(STRANGER, &settings.site, settings.addr.ip());
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

/// What the front makes of one turn.
struct TurnAnswer {
    /// Position of the request among all that the front got.
    number: u64,
    /// The job in the stamp.
    job: String,
    server: String,
    text: String,
    max_output: Value,
}

impl ViolatingFront {
    fn chosen_server(&self) -> String {
        match self.violation {
            ProtocolViolation::UsesLeaving => {
                let draining = self.cluster.departures.lock().unwrap();
                draining
                    .first()
                    .map_or(USUAL_SERVER.into(), |departure| departure.server.clone())
            }
            ProtocolViolation::UsesStranger => STRANGER.into(),
            _ => USUAL_SERVER.into(),
        }
    }

    /// Runs the turn at the server and returns its whole text.
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

    fn answer_lookup(&self, lookup: &Value) -> Response {
        if self.violation == ProtocolViolation::RefusesAll {
            return error_response(Code::NoServer, "", 1);
        }
        let key = lookup["key"].as_str().unwrap_or("");
        let job = lookup["job"].as_str().unwrap_or("");
        let value = format!("{key}={}", &digest(key.as_bytes())[..8]);
        let stamp = json!({"server": "l1", "job": job});
        json_response(200, &json!({"code": 1000, "value": value, "stamp": stamp}))
    }

    async fn answer_turn(&self, number: u64, turn: &Value) -> Response {
        let server = self.chosen_server();
        match self.violation {
            ProtocolViolation::RefusesAll => return error_response(Code::NoServer, "", 1),
            ProtocolViolation::NoComeBack => return error_response(Code::NoServer, "", 0),
            _ => {}
        }
        let job = turn["job"].as_str().unwrap_or("").to_string();
        let attempt = format!("{number:x}");
        let text = self
            .run_turn(&format!("{job}#{attempt}"), turn, &server)
            .await;
        if self.violation == ProtocolViolation::RunsTwice {
            self.run_turn(&job, turn, "m2").await;
        }
        if self.violation == ProtocolViolation::RunsRefused {
            let mut rejection = error_response(Code::NoServer, "", 1);
            rejection.insert_header("yewcross-shot", attempt);
            return rejection;
        }
        let answer = TurnAnswer {
            number,
            job: if self.violation == ProtocolViolation::OthersAnswer {
                "another".into()
            } else {
                job
            },
            server,
            text,
            max_output: turn["max_output"].clone(),
        };
        let mut response = if turn["stream"] == json!(true) {
            self.stream_answer(&answer)
        } else {
            answer.buffered()
        };
        if self.violation == ProtocolViolation::OldConfig {
            response.insert_header("yewcross-config", "1");
        }
        response
    }

    fn stream_answer(&self, answer: &TurnAnswer) -> Response {
        // Room for all lines, so that none waits.
        let (lines, body) = async_channel::bounded::<Vec<u8>>(4);
        let send = |line: String| {
            // Fails only when the caller is gone.
            let _ = lines.try_send(line.into_bytes());
        };
        let piece = format!("{}\n", json!({"n": 0, "text": answer.text}));
        send(piece.clone());
        if self.violation == ProtocolViolation::RepeatsPiece {
            send(piece);
        }
        let breaks_off =
            self.violation == ProtocolViolation::Drops && answer.number.is_multiple_of(7);
        if !breaks_off {
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

    fn buffered(&self) -> Response {
        let mut answer = self.end_line();
        answer["text"] = json!(self.text);
        json_response(200, &answer)
    }
}

async fn answer(front: Arc<ViolatingFront>, request: BufferedRequest) -> Response {
    let number = front.requests.fetch_add(1, SeqCst);
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    if request.path == "/v1/turn" {
        front.answer_turn(number, &body).await
    } else {
        front.answer_lookup(&body)
    }
}
