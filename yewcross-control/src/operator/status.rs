//! Operator requests for health, status, counters, and the checkpoint that the planner takes as
//! input.

use crate::{Control, singleton_tasks};
use http_types::Response;
use serde_json::{Map, Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::buffered_http::json_response;
use yewcross_common::protocol::CheckpointKey;
use yewcross_state::records::SessionRecord;

/// Prefix of the registers that hold sessions.
const SESSION_PREFIX: &str = "session/";

/// Reports whether this node's disk works: HTTP 200 if it does, otherwise 503.
pub(super) fn health(control: &Control) -> Response {
    let is_healthy = !control.storage.failed.load(SeqCst);
    let status = if is_healthy { 200 } else { 503 };
    let has_layout = control.documents.layout.load().0 > 0;
    json_response(status, &json!({"ok": is_healthy, "founded": has_layout}))
}

/// Reports this node's identity, the known nodes and document versions, and the holder of the
/// singleton tasks.
pub(super) async fn status(control: &Arc<Control>) -> Response {
    let holder = singleton_tasks::holder_name(control);
    let tasks: Vec<Value> = singleton_tasks::SINGLETON_TASKS
        .iter()
        .map(|task| json!({"duty": task, "held_here": control.is_acting_holder(), "given": holder}))
        .collect();
    let versions: Map<String, Value> = control
        .documents
        .versions()
        .into_iter()
        .map(|(name, version)| (name, version.into()))
        .collect();
    let body = json!({
        "name": control.settings.name,
        "role": control.settings.role,
        "disk": control.storage.disk_id,
        "disk_failed": control.storage.failed.load(SeqCst),
        "nodes": control.members.all_nodes(),
        "versions": versions,
        "duties": tasks,
        "lease": singleton_tasks::status(control),
        "swept": control.swept_layout_version.load(SeqCst),
        "sweep_left": control.sweep_keys_left.load(SeqCst),
    });
    json_response(200, &body)
}

/// Reports the keys on this disk with their sizes and the transfer state of sessions, without the
/// records' contents, and the documents applied here.
pub(super) async fn checkpoint(control: &Arc<Control>) -> Response {
    let (keys, damaged) = control.replica.keys().await;
    let mut checkpoint_keys = vec![];
    for key in keys {
        if let Some(checkpoint) = checkpoint_key(control, key).await {
            checkpoint_keys.push(checkpoint);
        }
    }
    let content =
        |name| String::from_utf8_lossy(&control.documents.document(name).content).into_owned();
    let tasks: Vec<_> = singleton_tasks::SINGLETON_TASKS
        .iter()
        .map(|task| (task.to_string(), singleton_tasks::holder_name(control)))
        .collect();
    let body = json!({
        "disk": control.storage.disk_id,
        "name": control.settings.name,
        "damaged": damaged,
        "held": checkpoint_keys,
        "nodes": control.members.view.load().values().collect::<Vec<_>>(),
        "versions": control.documents.versions(),
        "config": content("config"),
        "layout": content("layout"),
        "list": content("list"),
        "duties": tasks,
    });
    json_response(200, &body)
}

/// Describes one key for the checkpoint. Returns `None` if the disk holds no value of the key.
async fn checkpoint_key(control: &Control, key: String) -> Option<CheckpointKey> {
    let record = control.replica.read_record(&key).await?;
    if record.seq == 0 {
        return None;
    }
    let cache_state = key
        .starts_with(SESSION_PREFIX)
        .then(|| SessionRecord::read(&record.value).metadata.cache);
    Some(CheckpointKey {
        key,
        seq: record.seq,
        bytes: record.value.len() as u64,
        kv: cache_state,
    })
}

/// Reports the counters of this node.
pub(super) fn metrics(control: &Control) -> Response {
    let transport = &control.peers.metrics;
    let body = json!({
        "odd_frames": control.peers.rejected_frames.load(SeqCst),
        "messages": transport.messages_sent.load(SeqCst),
        "bytes_within": transport.same_site_bytes.load(SeqCst),
        "bytes_across": transport.cross_site_bytes.load(SeqCst),
        "kinds": *transport.kinds.lock().unwrap(),
        "syncs": control.storage.syncs.load(SeqCst),
        "disk_bytes": control.storage.bytes_written.load(SeqCst),
        "takes": control.registers.prepared_ballots.load(SeqCst),
        "tended": control.counters.repaired_records.load(SeqCst),
        "puts": control.counters.puts.load(SeqCst),
        "list_polls": control.singleton_tasks.list_polls.load(SeqCst),
        "lease": singleton_tasks::counters(control),
        "chains": control.turn_store.metrics(),
    });
    json_response(200, &body)
}
