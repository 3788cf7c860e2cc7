//! Callers: sessions that send one turn after another, with lookups in between. Every request and
//! its result is recorded.

use crate::stub_server::{DIGESTED_LINES, line_digest};
use crate::topology::Topology;
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http;
use yewcross_common::constants::*;
use yewcross_common::hash::digest;
use yewcross_common::runtime::*;

/// How a request ended, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Outcome {
    /// Answered completely.
    Done,
    /// Answered with an error code.
    Code(u16),
    /// The stream ended, or the time limit passed, before the end line arrived.
    Cut,
    /// No answer arrived: the connection failed or the time limit passed.
    Nothing,
}

/// One request and its result, as the caller saw them.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// µs at which the request was started.
    pub at: u64,
    /// µs from the start of the request to the end of its answer.
    pub took: u64,
    /// Time limit of the request, in µs.
    pub horizon: u64,
    /// `turn` or `lookup`.
    pub kind: String,
    /// Address of the front that the request was sent to.
    pub front: Option<SocketAddr>,
    /// Program of a turn, or `service/method` of a lookup.
    pub program: String,
    /// Session of a turn, or key of a lookup.
    pub session: String,
    /// Job id of the request; empty if it has none.
    pub job: String,
    /// How the request ended.
    #[serde(rename = "heard")]
    pub outcome: Outcome,
    /// Whether the request was executed: the `ran` field of an error answer, or `done` for a
    /// completed turn.
    pub ran: String,
    /// Seconds after which the front asks for a retry; 0 if it gives none.
    pub retry_after: u64,
    /// Shot id in the answer's `yewcross-shot` header.
    pub shot: String,
    /// Text of a turn's answer, or the value of a lookup.
    pub text: String,
    /// Output tokens.
    pub output: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Prompt tokens that the server reused from its cache.
    pub reused: u64,
    /// Server that executed the request.
    pub server: String,
    /// Whether the answer was replayed from an earlier execution of the same job.
    pub replayed: bool,
    /// Version of the configuration that the front used, by its own account.
    pub config: u64,
    /// Description of an inconsistency in the answer; empty if there is none.
    pub fault: String,
}

/// Records of all requests of a run, shared by its callers.
#[derive(Default)]
pub struct RequestLog {
    /// The records, in the order in which the requests ended.
    pub records: Mutex<Vec<RequestRecord>>,
    /// Set to make the callers stop after their current request.
    pub stop: AtomicBool,
}

/// A turn as a caller requests it.
#[derive(Clone, Debug, Default)]
pub struct TurnRequest {
    /// The program.
    pub program: String,
    /// The session that the turn belongs to.
    pub session: String,
    /// Job id; retries of the turn use the same one.
    pub job: String,
    /// The budget that the turn spends.
    pub budget: String,
    /// Time limit in ms.
    pub horizon_ms: u64,
    /// Text of the user's message.
    pub text: String,
    /// Maximum number of output tokens.
    pub max_output: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

fn empty_record(runtime: &Runtime, kind: &str, request: &TurnRequest) -> RequestRecord {
    RequestRecord {
        at: runtime.now(),
        took: 0,
        horizon: request.horizon_ms * MS,
        kind: kind.into(),
        front: None,
        program: request.program.clone(),
        session: request.session.clone(),
        job: request.job.clone(),
        outcome: Outcome::Nothing,
        ran: String::new(),
        retry_after: 0,
        shot: String::new(),
        text: String::new(),
        output: 0,
        prompt: 0,
        reused: 0,
        server: String::new(),
        replayed: false,
        config: 0,
        fault: String::new(),
    }
}

/// Copies the configuration version and the shot id from the headers of a response.
fn record_headers(record: &mut RequestRecord, response: &http_types::Response) {
    let header = |name: &str| {
        response
            .header(name)
            .map(|values| values.as_str().to_string())
            .unwrap_or_default()
    };
    record.config = header("yewcross-config").parse().unwrap_or(0);
    record.shot = header("yewcross-shot");
}

fn record_error(record: &mut RequestRecord, answer: &Value) {
    record.outcome = Outcome::Code(answer["code"].as_u64().unwrap_or(0) as u16);
    record.ran = answer["ran"].as_str().unwrap_or("").into();
    record.retry_after = answer["retry_after"].as_u64().unwrap_or(0);
}

/// Records a completed turn and checks its end line against the `pieces` pieces that were received.
fn record_completion(record: &mut RequestRecord, end: &Value, pieces: u64) {
    record.outcome = Outcome::Done;
    record.ran = "done".into();
    record.output = end["usage"]["output"].as_u64().unwrap_or(0);
    record.prompt = end["usage"]["prompt"].as_u64().unwrap_or(0);
    record.reused = end["usage"]["reused"].as_u64().unwrap_or(0);
    record.server = end["stamp"]["server"].as_str().unwrap_or("").into();
    record.replayed = end["replayed"] == json!(true);
    if end["pieces"] != json!(pieces) {
        record.fault = format!("received {pieces} pieces, expected {}", end["pieces"]);
    }
    if end["digest"] != json!(digest(record.text.as_bytes())) {
        record.fault = "the digest in the end line does not match the received text".into();
    }
    if end["stamp"]["job"] != json!(record.job) {
        record.fault = format!("the answer is stamped for job {}", end["stamp"]["job"]);
    }
}

/// Sends one turn and records its result. Waits up to 4 s longer than the turn's time limit.
pub async fn send_turn(
    runtime: &Runtime,
    front: SocketAddr,
    request: &TurnRequest,
) -> RequestRecord {
    let mut record = RequestRecord {
        front: Some(front),
        ..empty_record(runtime, "turn", request)
    };
    let body = json!({"program": request.program, "session": request.session, "job": request.job, "budget": request.budget, "horizon_ms": request.horizon_ms,
        "messages": [{"role": "user", "text": request.text}], "max_output": request.max_output, "stream": request.stream});
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let timeout = request.horizon_ms * MS + 4 * SEC;
    let result = runtime
        .timeout(timeout, async {
            let connection = runtime.connect(front).await.ok()?;
            let mut response = buffered_http::send_request(
                &connection,
                http_types::Method::Post,
                "/v1/turn",
                &[],
                body,
            )
            .await
            .ok()?;
            record_headers(&mut record, &response);
            if !request.stream || !response.status().is_success() {
                let bytes = buffered_http::read_response_body(&mut response, MAX_FRAME_BYTES)
                    .await
                    .ok();
                let answer: Value = bytes
                    .and_then(|bytes| serde_json::from_slice(&bytes).ok())
                    .unwrap_or(Value::Null);
                if response.status().is_success() && answer["end"] == json!(true) {
                    record.text = answer["text"].as_str().unwrap_or("").into();
                    record_completion(&mut record, &answer, 1);
                } else {
                    record_error(&mut record, &answer);
                }
                return Some(());
            }
            record.outcome = Outcome::Cut;
            let mut lines = yewcross_proxy::back::ResponseLines::from_response(&mut response);
            let mut pieces = 0;
            while let Some(line) = lines.next(runtime, timeout).await {
                let value: Value = serde_json::from_slice(&line).unwrap_or(Value::Null);
                if value["end"] == json!(true) {
                    record_completion(&mut record, &value, pieces);
                } else if value["broken"] == json!(true) {
                    record_error(&mut record, &value);
                } else {
                    if value["n"] != json!(pieces) {
                        record.fault =
                            format!("received piece {}, expected piece {pieces}", value["n"]);
                    }
                    pieces += 1;
                    record.text += value["text"].as_str().unwrap_or("");
                }
            }
            Some(())
        })
        .await;
    let _ = result;
    record.took = runtime.now() - record.at;
    record
}

/// Sends one lookup and records its result. Waits up to 3 s longer than its time limit.
pub async fn send_lookup(
    runtime: &Runtime,
    front: SocketAddr,
    service: &str,
    method: &str,
    key: &str,
    job: &str,
    horizon_ms: u64,
) -> RequestRecord {
    let request = TurnRequest {
        program: format!("{service}/{method}"),
        session: key.into(),
        job: job.into(),
        horizon_ms,
        ..Default::default()
    };
    let mut record = RequestRecord {
        front: Some(front),
        ..empty_record(runtime, "lookup", &request)
    };
    let body = json!({"service": service, "method": method, "key": key, "horizon_ms": horizon_ms, "job": job});
    let response = buffered_http::fetch(
        runtime,
        front,
        http_types::Method::Post,
        "/v1/lookup",
        &[],
        serde_json::to_vec(&body).unwrap_or_default(),
        horizon_ms * MS + 3 * SEC,
    );
    if let Ok((status, response, bytes)) = response.await {
        record_headers(&mut record, &response);
        let answer: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        if status == 200 {
            record.outcome = Outcome::Done;
            record.text = answer["value"].as_str().unwrap_or("").into();
            record.server = answer["stamp"]["server"].as_str().unwrap_or("").into();
            if record.text != format!("{key}={}", &digest(key.as_bytes())[..8]) {
                record.fault = "the value belongs to another key".into();
            }
            if answer["stamp"]["job"] != json!(job) {
                record.fault = "the answer is stamped for another job".into();
            }
        } else {
            record_error(&mut record, &answer);
        }
    }
    record.took = runtime.now() - record.at;
    record
}

/// Runs one session: up to `turn_count` turns in order, with lookups in between. Checks that each
/// turn's prompt contains the earlier turns that are known to have been stored.
pub async fn run_session(
    runtime: Runtime,
    topology: Arc<Topology>,
    log: Arc<RequestLog>,
    id: usize,
    turn_count: usize,
) {
    let fronts: Vec<SocketAddr> = topology
        .nodes_with_role(yewcross_common::process_settings::Role::Front)
        .iter()
        .map(|node| node.http)
        .collect();
    let total_weight: u32 = topology.workload.turns.iter().map(|turn| turn.weight).sum();
    let mut random_weight = (runtime.random() % total_weight as u64) as u32;
    let kind = topology.workload.turns.iter().find(|turn| {
        let is_chosen = random_weight < turn.weight;
        random_weight = random_weight.wrapping_sub(turn.weight);
        is_chosen
    });
    let Some(kind) = kind.cloned() else {
        return;
    };
    let (program, budget, max_output) = (kind.program, kind.budget, kind.max_output_tokens);
    let (first_bytes, later_bytes) = (kind.first_message_bytes, kind.later_message_bytes);
    let name = format!("s{id}");
    // Marks of the turns that were answered, which are therefore stored.
    let mut stored_marks: Vec<String> = vec![];
    // Number of attempts that may have stored a turn which this caller has no mark of.
    let mut uncertain_attempts = 0usize;
    let mut front = runtime.random_index(fronts.len());
    for turn in 0..turn_count {
        if log.stop.load(SeqCst) {
            return;
        }
        if runtime.random().is_multiple_of(6) {
            // A method that runs at most once per job id: sends the same id up to three times, each
            // time to any front and whatever the answer was.
            let method = topology.workload.lookups
                [runtime.random_index(topology.workload.lookups.len())]
            .clone();
            let service = method.service;
            let job = format!("{name}-once-{turn}");
            for _ in 0..1 + runtime.random_index(3) {
                let record = send_lookup(
                    &runtime,
                    fronts[runtime.random_index(fronts.len())],
                    &service,
                    "confirm",
                    &job,
                    &job,
                    1500,
                )
                .await;
                log.records.lock().unwrap().push(record);
            }
        }
        for _ in 0..runtime.random_index(3) {
            let lookup = topology.workload.lookups
                [runtime.random_index(topology.workload.lookups.len())]
            .clone();
            let (service, method) = (lookup.service, lookup.method);
            let record = send_lookup(
                &runtime,
                fronts[front],
                &service,
                &method,
                &format!("k{}", runtime.random() % 1000),
                "",
                1500,
            )
            .await;
            log.records.lock().unwrap().push(record);
        }
        if runtime.random().is_multiple_of(4) {
            front = runtime.random_index(fronts.len());
        }
        let message_bytes = if turn == 0 { first_bytes } else { later_bytes };
        let text: String = (0..message_bytes / 8)
            .map(|_| format!("{:07x} ", runtime.random() & 0xfffffff))
            .collect();
        let request = TurnRequest {
            program: program.clone(),
            session: name.clone(),
            job: format!("{name}-{turn}"),
            budget: budget.clone(),
            horizon_ms: 6000,
            text,
            max_output,
            stream: !runtime.random().is_multiple_of(4),
        };
        let mut attempts = 0;
        let has_duplicate = runtime.random().is_multiple_of(8);
        let stored_before = stored_marks.len();
        if has_duplicate {
            // A caller that does not wait for the answer: the same job is sent to another front
            // concurrently.
            let (duplicate_runtime, duplicate_log, duplicate_request, duplicate_front) = (
                runtime.clone(),
                log.clone(),
                request.clone(),
                fronts[runtime.random_index(fronts.len())],
            );
            runtime.spawn(async move {
                duplicate_runtime
                    .sleep(duplicate_runtime.random() % (400 * MS))
                    .await;
                let record =
                    send_turn(&duplicate_runtime, duplicate_front, &duplicate_request).await;
                duplicate_log.records.lock().unwrap().push(record);
            });
        }
        loop {
            let mut record = send_turn(&runtime, fronts[front], &request).await;
            let is_retried = match &record.outcome {
                Outcome::Done => {
                    let listed = record
                        .text
                        .trim_start_matches('[')
                        .split(']')
                        .next()
                        .unwrap_or("")
                        .to_string();
                    let mut listed_marks = listed.split(',');
                    // An answer lists the newest `MARKS` marks, and each uncertain attempt may
                    // occupy one of them.
                    let first_expected = stored_marks
                        .len()
                        .saturating_sub(DIGESTED_LINES.saturating_sub(uncertain_attempts));
                    if !record.replayed
                        && !stored_marks[first_expected..]
                            .iter()
                            .all(|expected| listed_marks.any(|mark| mark == expected))
                    {
                        record.fault = format!(
                            "an earlier turn is missing: stored {stored_marks:?}, prompt had [{listed}]"
                        );
                    }
                    let messages = json!([{"role": "user", "text": request.text}]);
                    let line = format!(
                        "{}\t{}\n",
                        messages,
                        serde_json::to_string(&record.text).unwrap_or_default()
                    );
                    stored_marks.push(line_digest(&line));
                    false
                }
                Outcome::Code(code) => {
                    (3000..4000).contains(code)
                        || *code == 5001
                        || *code == 4002
                        || (*code == 4001 && runtime.random().is_multiple_of(2))
                }
                Outcome::Cut | Outcome::Nothing => true,
            };
            uncertain_attempts +=
                (record.outcome != Outcome::Done && record.ran != "not_run") as usize;
            let retry_after = record.retry_after;
            log.records.lock().unwrap().push(record);
            attempts += 1;
            if !is_retried || attempts >= 6 || log.stop.load(SeqCst) {
                break;
            }
            runtime
                .sleep(retry_after.max(1) * SEC / 2 + runtime.random() % (SEC / 2))
                .await;
            front = runtime.random_index(fronts.len());
        }
        // The duplicate may have succeeded although this attempt gave up.
        uncertain_attempts += (has_duplicate && stored_marks.len() == stored_before) as usize;
        runtime.sleep(runtime.random() % (2 * SEC)).await;
    }
}

/// Figures of a run for people to read: counts, error codes, latencies in ms and up to three
/// faults, for turns and for lookups.
pub fn summarize(records: &[RequestRecord]) -> Value {
    let figures = |kind: &str| {
        let all: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| record.kind == kind)
            .collect();
        let done: Vec<&&RequestRecord> = all
            .iter()
            .filter(|record| record.outcome == Outcome::Done)
            .collect();
        let mut codes = std::collections::BTreeMap::<String, u64>::new();
        all.iter()
            .filter(|record| record.outcome != Outcome::Done)
            .for_each(|record| {
                let code = match &record.outcome {
                    Outcome::Code(code) => code.to_string(),
                    outcome => format!("{outcome:?}"),
                };
                *codes.entry(code).or_default() += 1;
            });
        let mut latencies: Vec<u64> = done.iter().map(|record| record.took / 1000).collect();
        latencies.sort();
        let percentile = |percent: usize| {
            latencies
                .get(latencies.len() * percent / 100)
                .or(latencies.last())
                .cloned()
                .unwrap_or(0)
        };
        let faults: Vec<&str> = all
            .iter()
            .filter(|record| !record.fault.is_empty())
            .map(|record| record.fault.as_str())
            .take(3)
            .collect();
        json!({"asked": all.len(), "done": done.len(), "not_done_by_code": codes, "ms_p50": percentile(50), "ms_p99": percentile(99), "faults": faults})
    };
    json!({"turns": figures("turn"), "lookups": figures("lookup")})
}
