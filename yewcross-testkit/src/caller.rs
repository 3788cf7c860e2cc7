//! Callers: sessions that speak turn after turn, lookups between, all of it written down.

use crate::stub_server::{MARKS, mark};
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

#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Outcome {
    Done,
    /// Answered with a code.
    Code(u16),
    /// The stream stopped without its end line.
    Cut,
    /// The connection failed before any answer.
    Nothing,
}

/// One request and what came of it, as the caller saw it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    pub at: u64,
    pub took: u64,
    pub horizon: u64,
    pub kind: String,
    /// Where it was asked.
    pub front: Option<SocketAddr>,
    pub program: String,
    pub session: String,
    pub job: String,
    #[serde(rename = "heard")]
    pub outcome: Outcome,
    pub ran: String,
    pub retry_after: u64,
    /// The shot that the front says this answer is about.
    pub shot: String,
    pub text: String,
    pub output: u64,
    pub prompt: u64,
    pub reused: u64,
    pub server: String,
    pub replayed: bool,
    /// Version of the configuration the front says it used.
    pub config: u64,
    /// What was wrong with the answer itself, if anything.
    pub fault: String,
}

#[derive(Default)]
pub struct RequestLog {
    pub records: Mutex<Vec<RequestRecord>>,
    pub stop: AtomicBool,
}

#[derive(Clone, Debug, Default)]
pub struct TurnRequest {
    pub program: String,
    pub session: String,
    pub job: String,
    pub budget: String,
    pub horizon_ms: u64,
    pub text: String,
    pub max_output: u64,
    pub stream: bool,
}

fn blank(runtime: &Runtime, kind: &str, a: &TurnRequest) -> RequestRecord {
    RequestRecord {
        at: runtime.now(),
        took: 0,
        horizon: a.horizon_ms * MS,
        kind: kind.into(),
        front: None,
        program: a.program.clone(),
        session: a.session.clone(),
        job: a.job.clone(),
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

fn heads(s: &mut RequestRecord, r: &http_types::Response) {
    let head = |n: &str| {
        r.header(n)
            .map(|v| v.as_str().to_string())
            .unwrap_or_default()
    };
    s.config = head("yewcross-config").parse().unwrap_or(0);
    s.shot = head("yewcross-shot");
}

fn refused(s: &mut RequestRecord, v: &Value) {
    s.outcome = Outcome::Code(v["code"].as_u64().unwrap_or(0) as u16);
    s.ran = v["ran"].as_str().unwrap_or("").into();
    s.retry_after = v["retry_after"].as_u64().unwrap_or(0);
}

fn ended(s: &mut RequestRecord, v: &Value, pieces: u64) {
    s.outcome = Outcome::Done;
    s.ran = "done".into();
    s.output = v["usage"]["output"].as_u64().unwrap_or(0);
    s.prompt = v["usage"]["prompt"].as_u64().unwrap_or(0);
    s.reused = v["usage"]["reused"].as_u64().unwrap_or(0);
    s.server = v["stamp"]["server"].as_str().unwrap_or("").into();
    s.replayed = v["replayed"] == json!(true);
    if v["pieces"] != json!(pieces) {
        s.fault = format!("{pieces} pieces came, {} were sent", v["pieces"]);
    }
    if v["digest"] != json!(digest(s.text.as_bytes())) {
        s.fault = "digest differs".into();
    }
    if v["stamp"]["job"] != json!(s.job) {
        s.fault = format!("stamped for job {}", v["stamp"]["job"]);
    }
}

pub async fn send_turn(runtime: &Runtime, to: SocketAddr, a: &TurnRequest) -> RequestRecord {
    let mut s = RequestRecord {
        front: Some(to),
        ..blank(runtime, "turn", a)
    };
    let body = json!({"program": a.program, "session": a.session, "job": a.job, "budget": a.budget, "horizon_ms": a.horizon_ms,
        "messages": [{"role": "user", "text": a.text}], "max_output": a.max_output, "stream": a.stream});
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let limit = a.horizon_ms * MS + 4 * SEC;
    let r = runtime
        .timeout(limit, async {
            let c = runtime.connect(to).await.ok()?;
            let mut r =
                buffered_http::send_request(&c, http_types::Method::Post, "/v1/turn", &[], body)
                    .await
                    .ok()?;
            heads(&mut s, &r);
            if !a.stream || !r.status().is_success() {
                let b = buffered_http::read_response_body(&mut r, MAX_FRAME_BYTES)
                    .await
                    .ok();
                let v: Value = b
                    .and_then(|b| serde_json::from_slice(&b).ok())
                    .unwrap_or(Value::Null);
                if r.status().is_success() && v["end"] == json!(true) {
                    s.text = v["text"].as_str().unwrap_or("").into();
                    ended(&mut s, &v, 1);
                } else {
                    refused(&mut s, &v);
                }
                return Some(());
            }
            s.outcome = Outcome::Cut;
            let mut lines = yewcross_proxy::back::ResponseLines::from_response(&mut r);
            let mut n = 0;
            while let Some(l) = lines.next(runtime, limit).await {
                let v: Value = serde_json::from_slice(&l).unwrap_or(Value::Null);
                if v["end"] == json!(true) {
                    ended(&mut s, &v, n);
                } else if v["broken"] == json!(true) {
                    refused(&mut s, &v);
                } else {
                    if v["n"] != json!(n) {
                        s.fault = format!("piece {} where {n} was due", v["n"]);
                    }
                    n += 1;
                    s.text += v["text"].as_str().unwrap_or("");
                }
            }
            Some(())
        })
        .await;
    let _ = r;
    s.took = runtime.now() - s.at;
    s
}

pub async fn send_lookup(
    runtime: &Runtime,
    to: SocketAddr,
    service: &str,
    method: &str,
    key: &str,
    job: &str,
    horizon_ms: u64,
) -> RequestRecord {
    let a = TurnRequest {
        program: format!("{service}/{method}"),
        session: key.into(),
        job: job.into(),
        horizon_ms,
        ..Default::default()
    };
    let mut s = RequestRecord {
        front: Some(to),
        ..blank(runtime, "lookup", &a)
    };
    let body = json!({"service": service, "method": method, "key": key, "horizon_ms": horizon_ms, "job": job});
    let r = buffered_http::fetch(
        runtime,
        to,
        http_types::Method::Post,
        "/v1/lookup",
        &[],
        serde_json::to_vec(&body).unwrap_or_default(),
        horizon_ms * MS + 3 * SEC,
    );
    if let Ok((status, r, b)) = r.await {
        heads(&mut s, &r);
        let v: Value = serde_json::from_slice(&b).unwrap_or(Value::Null);
        if status == 200 {
            s.outcome = Outcome::Done;
            s.text = v["value"].as_str().unwrap_or("").into();
            s.server = v["stamp"]["server"].as_str().unwrap_or("").into();
            if s.text != format!("{key}={}", &digest(key.as_bytes())[..8]) {
                s.fault = "value of another key".into();
            }
            if v["stamp"]["job"] != json!(job) {
                s.fault = "stamped for another job".into();
            }
        } else {
            refused(&mut s, &v);
        }
    }
    s.took = runtime.now() - s.at;
    s
}

/// One session's life: turns in order, each checked against what this caller knows was kept.
pub async fn run_session(
    runtime: Runtime,
    sh: Arc<Topology>,
    d: Arc<RequestLog>,
    id: usize,
    turns: usize,
) {
    let fronts: Vec<SocketAddr> = sh
        .nodes_with_role(yewcross_common::process_settings::Role::Front)
        .iter()
        .map(|n| n.http)
        .collect();
    let total: u32 = sh.workload.turns.iter().map(|t| t.weight).sum();
    let mut x = (runtime.random() % total as u64) as u32;
    let kind = sh.workload.turns.iter().find(|t| {
        let hit = x < t.weight;
        x = x.wrapping_sub(t.weight);
        hit
    });
    let Some(kind) = kind.cloned() else {
        return;
    };
    let (program, budget, max) = (kind.program, kind.budget, kind.max_output_tokens);
    let (first, later) = (kind.first_message_bytes, kind.later_message_bytes);
    let name = format!("s{id}");
    let mut known: Vec<String> = vec![];
    let mut unsure = 0usize;
    let mut at = runtime.random_index(fronts.len());
    for t in 0..turns {
        if d.stop.load(SeqCst) {
            return;
        }
        if runtime.random().is_multiple_of(6) {
            // Once only: the same id again and again, at any front, whatever was said.
            let asked =
                sh.workload.lookups[runtime.random_index(sh.workload.lookups.len())].clone();
            let s = asked.service;
            let job = format!("{name}-once-{t}");
            for _ in 0..1 + runtime.random_index(3) {
                let seen = send_lookup(
                    &runtime,
                    fronts[runtime.random_index(fronts.len())],
                    &s,
                    "confirm",
                    &job,
                    &job,
                    1500,
                )
                .await;
                d.records.lock().unwrap().push(seen);
            }
        }
        for _ in 0..runtime.random_index(3) {
            let asked =
                sh.workload.lookups[runtime.random_index(sh.workload.lookups.len())].clone();
            let (s, m) = (asked.service, asked.method);
            let seen = send_lookup(
                &runtime,
                fronts[at],
                &s,
                &m,
                &format!("k{}", runtime.random() % 1000),
                "",
                1500,
            )
            .await;
            d.records.lock().unwrap().push(seen);
        }
        if runtime.random().is_multiple_of(4) {
            at = runtime.random_index(fronts.len());
        }
        let n = if t == 0 { first } else { later };
        let text: String = (0..n / 8)
            .map(|_| format!("{:07x} ", runtime.random() & 0xfffffff))
            .collect();
        let a = TurnRequest {
            program: program.clone(),
            session: name.clone(),
            job: format!("{name}-{t}"),
            budget: budget.clone(),
            horizon_ms: 6000,
            text,
            max_output: max,
            stream: !runtime.random().is_multiple_of(4),
        };
        let mut tries = 0;
        let twin = runtime.random().is_multiple_of(8);
        let before = known.len();
        if twin {
            // An impatient caller: the same job at another front at the same time.
            let (w2, d2, a2, to) = (
                runtime.clone(),
                d.clone(),
                a.clone(),
                fronts[runtime.random_index(fronts.len())],
            );
            runtime.spawn(async move {
                w2.sleep(w2.random() % (400 * MS)).await;
                let s = send_turn(&w2, to, &a2).await;
                d2.records.lock().unwrap().push(s);
            });
        }
        loop {
            let mut s = send_turn(&runtime, fronts[at], &a).await;
            let again = match &s.outcome {
                Outcome::Done => {
                    let listed = s
                        .text
                        .trim_start_matches('[')
                        .split(']')
                        .next()
                        .unwrap_or("")
                        .to_string();
                    let mut have = listed.split(',');
                    let due = known.len().saturating_sub(MARKS.saturating_sub(unsure));
                    if !s.replayed && !known[due..].iter().all(|k| have.any(|h| h == k)) {
                        s.fault = format!("forgot a turn: knew {known:?}, prompt had [{listed}]");
                    }
                    let msgs = json!([{"role": "user", "text": a.text}]);
                    let line = format!(
                        "{}\t{}\n",
                        msgs,
                        serde_json::to_string(&s.text).unwrap_or_default()
                    );
                    known.push(mark(&line));
                    false
                }
                Outcome::Code(c) => {
                    (3000..4000).contains(c)
                        || *c == 5001
                        || *c == 4002
                        || (*c == 4001 && runtime.random().is_multiple_of(2))
                }
                Outcome::Cut | Outcome::Nothing => true,
            };
            unsure += (s.outcome != Outcome::Done && s.ran != "not_run") as usize;
            let rest = s.retry_after;
            d.records.lock().unwrap().push(s);
            tries += 1;
            if !again || tries >= 6 || d.stop.load(SeqCst) {
                break;
            }
            runtime
                .sleep(rest.max(1) * SEC / 2 + runtime.random() % (SEC / 2))
                .await;
            at = runtime.random_index(fronts.len());
        }
        // The twin may have been done though this one gave up.
        unsure += (twin && known.len() == before) as usize;
        runtime.sleep(runtime.random() % (2 * SEC)).await;
    }
}

/// Figures of a run, as a person would want them printed.
pub fn summarize(v: &[RequestRecord]) -> Value {
    let by = |k: &str| {
        let x: Vec<&RequestRecord> = v.iter().filter(|s| s.kind == k).collect();
        let done: Vec<&&RequestRecord> = x.iter().filter(|s| s.outcome == Outcome::Done).collect();
        let mut codes = std::collections::BTreeMap::<String, u64>::new();
        x.iter()
            .filter(|s| s.outcome != Outcome::Done)
            .for_each(|s| {
                let c = match &s.outcome {
                    Outcome::Code(c) => c.to_string(),
                    h => format!("{h:?}"),
                };
                *codes.entry(c).or_default() += 1;
            });
        let mut t: Vec<u64> = done.iter().map(|s| s.took / 1000).collect();
        t.sort();
        let p = |q: usize| t.get(t.len() * q / 100).or(t.last()).cloned().unwrap_or(0);
        let faults: Vec<&str> = x
            .iter()
            .filter(|s| !s.fault.is_empty())
            .map(|s| s.fault.as_str())
            .take(3)
            .collect();
        json!({"asked": x.len(), "done": done.len(), "not_done_by_code": codes, "ms_p50": p(50), "ms_p99": p(99), "faults": faults})
    };
    json!({"turns": by("turn"), "lookups": by("lookup")})
}
