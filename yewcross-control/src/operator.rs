//! The operators' HTTP: one function a request.

use crate::config::{self, PutError};
use crate::layout::{self, LayoutError, Move};
use crate::{Control, singleton_tasks};
use http_types::{Method, Response};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::buffered_http::{BufferedRequest, refuse, reply};
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::protocol::*;

fn no(c: Code, why: &str) -> Response {
    refuse(c, why, c.back())
}

pub async fn answer(control: Arc<Control>, j: BufferedRequest) -> Response {
    let seg: Vec<String> = j
        .path
        .trim_matches('/')
        .split('/')
        .map(|s| s.to_string())
        .collect();
    let parts: Vec<&str> = seg.iter().map(|s| s.as_str()).collect();
    match (j.verb, parts.as_slice()) {
        (Method::Get, ["health"]) => {
            let ok = !control.storage.failed.load(SeqCst);
            reply(
                if ok { 200 } else { 503 },
                &json!({"ok": ok, "founded": control.documents.layout.load().0 > 0}),
            )
        }
        (Method::Get, ["metrics"]) => metrics(&control),
        (Method::Get, ["v1", "status"]) => status(&control).await,
        (Method::Get, ["v1", "checkpoint"]) => checkpoint(&control).await,
        (Method::Get, ["v1", "layout"]) => {
            let l = control.documents.layout.load();
            let (_, p) = layout::progress(&control).await;
            reply(200, &json!({"version": l.0, "layout": l.1, "filling": p}))
        }
        (Method::Post, ["v1", "found"]) => found(&control, &j).await,
        (Method::Get, ["v1", "config"]) => read_config(&control, false).await,
        (Method::Get, ["v1", "config", "effective"]) => read_config(&control, true).await,
        (Method::Put, ["v1", "config"]) => put_config(&control, j).await,
        (Method::Get, ["v1", "config", v]) => old_config(&control, v).await,
        (Method::Post, ["v1", "config", v, "rollback"]) => rollback(&control, v, &j).await,
        (Method::Post, ["v1", "disks", d, "empty"]) => {
            begin(&control, Move::Empty(d.to_string())).await
        }
        (Method::Post, ["v1", "disks", d, "admit"]) => {
            begin(&control, Move::Admit(d.to_string())).await
        }
        (Method::Post, ["v1", "disks", d, "replace", n]) => {
            begin(&control, Move::Replace(d.to_string(), n.to_string())).await
        }
        (Method::Get, ["v1", "disks", d]) => disk(&control, d).await,
        (_, ["health" | "metrics"])
        | (
            _,
            [
                "v1",
                "status" | "layout" | "checkpoint" | "found" | "config",
                ..,
            ],
        )
        | (_, ["v1", "disks", ..]) => no(Code::WrongVerb, ""),
        _ => no(Code::UnknownPath, &j.path),
    }
}

async fn found(control: &Arc<Control>, j: &BufferedRequest) -> Response {
    let v: Option<Value> = serde_json::from_slice(&j.body).ok();
    let names = |k: &str| -> Option<Vec<String>> {
        serde_json::from_value(v.as_ref()?.get(k)?.clone()).ok()
    };
    match (names("cores"), names("stores")) {
        (Some(a), Some(b)) => match layout::bootstrap(control, &a, &b)
            .await
            .map_err(LayoutError::into_code_and_text)
        {
            Ok(()) => reply(200, &json!({"founded": true})),
            Err((k, w)) => no(k, &w),
        },
        _ => no(
            Code::BadBody,
            "cores and stores must be lists of machine names",
        ),
    }
}

async fn read_config(control: &Arc<Control>, effective: bool) -> Response {
    match control.registers.read("config", PEER_WAIT).await {
        Ok((seq, _, v)) => {
            let d: ConfigDoc = serde_json::from_slice(&v).unwrap_or_default();
            let mut r = if effective {
                reply(
                    200,
                    &json!({"version": seq, "tree": yewcross_common::configuration::Configuration::read(d.text.as_bytes()).ok()}),
                )
            } else {
                let tree: Value = serde_json::from_str(&d.text).unwrap_or(Value::Null);
                reply(
                    200,
                    &json!({"version": seq, "put": d.put_id, "note": d.note,
                    "past": d.past.iter().map(|p| json!({"version": p.0, "put": p.1})).collect::<Vec<_>>(), "config": tree}),
                )
            };
            r.insert_header("etag", format!("\"{seq}\""));
            r
        }
        Err(_) if control.documents.layout.load().0 == 0 => no(Code::NotFounded, ""),
        Err(_) => no(Code::NoMajority, ""),
    }
}

async fn past(control: &Arc<Control>, v: &str) -> Option<(u64, String, String)> {
    let n: u64 = v.parse().ok()?;
    let (seq, _, raw) = control.registers.read("config", PEER_WAIT).await.ok()?;
    let d: ConfigDoc = serde_json::from_slice(&raw).ok()?;
    if n == seq {
        Some((seq, d.put_id, d.text))
    } else {
        d.past.into_iter().find(|p| p.0 == n)
    }
}

async fn old_config(control: &Arc<Control>, v: &str) -> Response {
    match past(control, v).await {
        Some((n, put, text)) => reply(
            200,
            &json!({"version": n, "put": put, "config": serde_json::from_str::<Value>(&text).ok()}),
        ),
        None => no(Code::UnknownPath, "no such version is on hand"),
    }
}

/// An old text as a new put: it wins or loses against others like any other.
async fn rollback(control: &Arc<Control>, v: &str, j: &BufferedRequest) -> Response {
    let Some(base) = j.if_match.as_ref().and_then(|s| s.parse().ok()) else {
        return no(Code::NoVersion, "");
    };
    let Some((_, _, text)) = past(control, v).await else {
        return no(Code::UnknownPath, "no such version is on hand");
    };
    told(
        config::put(control, base, text, format!("rollback to {v}"), false).await,
        false,
    )
}

fn told(outcome: Result<u64, PutError>, dry: bool) -> Response {
    match outcome {
        Ok(version) => reply(
            200,
            &json!({"code": 1000, "version": version, "in_force": !dry}),
        ),
        Err(PutError::InvalidConfiguration { faults }) if !faults.is_empty() => {
            let code = Code::BadConfig;
            reply(
                code.http(),
                &json!({"code": code.number(), "ran": "not_run", "text": code.text(), "faults": faults}),
            )
        }
        Err(error) => no(error.code(), &error.detail()),
    }
}

async fn put_config(control: &Arc<Control>, j: BufferedRequest) -> Response {
    let Some(base) = j.if_match.as_ref().and_then(|s| s.parse().ok()) else {
        return no(Code::NoVersion, "");
    };
    let Ok(text) = String::from_utf8(j.body) else {
        return no(Code::BadBody, "");
    };
    let dry = j
        .query
        .as_deref()
        .is_some_and(|q| q.split('&').any(|x| x == "dry=1"));
    told(
        config::put(control, base, text, String::new(), dry).await,
        dry,
    )
}

async fn begin(control: &Arc<Control>, m: Move) -> Response {
    match layout::begin(control, m)
        .await
        .map_err(LayoutError::into_code_and_text)
    {
        Ok(v) => reply(200, &json!({"layout": v})),
        Err((k, w)) => no(k, &w),
    }
}

async fn disk(control: &Arc<Control>, d: &str) -> Response {
    let l = control.documents.layout.load_full();
    let id =
        l.1.names
            .iter()
            .find(|x| x.1 == d)
            .map(|x| x.0.as_str())
            .unwrap_or(d);
    let inn =
        l.1.core
            .current
            .iter()
            .chain(&l.1.store.current)
            .any(|x| x == id);
    let was =
        l.1.core
            .previous
            .iter()
            .chain(&l.1.store.previous)
            .any(|x| x == id);
    let (_, p) = layout::progress(control).await;
    let left: u64 = p.iter().map(|x| x.keys_left).sum();
    reply(
        200,
        &json!({"disk": id, "seated": inn, "emptying": was && !inn, "safe_to_remove": !inn && !was, "keys_left": left}),
    )
}

async fn status(control: &Arc<Control>) -> Response {
    let holder = singleton_tasks::holder_name(control);
    let duties: Vec<Value> = singleton_tasks::SINGLETON_TASKS
        .iter()
        .map(|d| json!({"duty": d, "held_here": control.is_acting_holder(), "given": holder}))
        .collect();
    let versions: serde_json::Map<String, Value> = control
        .documents
        .versions()
        .into_iter()
        .map(|(k, v)| (k, v.into()))
        .collect();
    reply(
        200,
        &json!({"name": control.settings.name, "role": control.settings.role, "disk": control.storage.disk_id, "disk_failed": control.storage.failed.load(SeqCst),
            "nodes": control.members.all(), "versions": versions, "duties": duties, "lease": singleton_tasks::status(control),
            "swept": control.swept.load(SeqCst), "sweep_left": control.sweep_left.load(SeqCst)}),
    )
}

/// What this disk holds, for the planner: keys, sizes, sessions' transfer state; no contents.
async fn checkpoint(control: &Arc<Control>) -> Response {
    let (keys, hurt) = control.replica.keys().await;
    let mut held = vec![];
    for k in keys {
        if let Some(s) = control.replica.peek(&k).await.filter(|s| s.seq > 0) {
            let kv = k
                .starts_with("session/")
                .then(|| yewcross_state::records::Record::read(&s.value).head.kv);
            held.push(CheckpointKey {
                key: k,
                seq: s.seq,
                bytes: s.value.len() as u64,
                kv,
            });
        }
    }
    let page = |d| String::from_utf8_lossy(&control.documents.document(d).content).into_owned();
    reply(
        200,
        &json!({"disk": control.storage.disk_id, "name": control.settings.name, "damaged": hurt, "held": held, "nodes": control.members.view.load().values().collect::<Vec<_>>(),
            "versions": control.documents.versions(), "config": page("config"), "layout": page("layout"), "list": page("list"),
            "duties": singleton_tasks::SINGLETON_TASKS.iter().map(|d| (d.to_string(), singleton_tasks::holder_name(control))).collect::<Vec<_>>()}),
    )
}

fn metrics(control: &Control) -> Response {
    let t = &control.peers.metrics;
    reply(
        200,
        &json!({
            "odd_frames": control.peers.rejected_frames.load(SeqCst), "messages": t.sent.load(SeqCst), "bytes_within": t.bytes_within.load(SeqCst), "bytes_across": t.bytes_across.load(SeqCst),
            "kinds": *t.kinds.lock().unwrap(), "syncs": control.storage.syncs.load(SeqCst), "disk_bytes": control.storage.bytes.load(SeqCst), "takes": control.registers.prepared_ballots.load(SeqCst),
            "tended": control.counters.repaired_records.load(SeqCst), "puts": control.counters.puts.load(SeqCst), "list_polls": control.duties.polls.load(SeqCst), "lease": singleton_tasks::counters(control),
            "chains": control.chain.figures(),
        }),
    )
}
