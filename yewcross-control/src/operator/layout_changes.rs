//! The layout: bootstrapping the tier, changing the disks, and how far a change has come.

use super::rejected;
use crate::Control;
use crate::layout::{self, DiskChange};
use http_types::Response;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, reply};
use yewcross_common::error_code::Code;

pub(super) async fn read(control: &Arc<Control>) -> Response {
    let current = control.documents.layout.load();
    let (_, progress) = layout::progress(control).await;
    reply(
        200,
        &json!({"version": current.0, "layout": current.1, "filling": progress}),
    )
}

/// Bootstraps the tier on the named machines.
pub(super) async fn bootstrap(control: &Arc<Control>, request: &BufferedRequest) -> Response {
    let body: Option<Value> = serde_json::from_slice(&request.body).ok();
    let names = |key: &str| -> Option<Vec<String>> {
        serde_json::from_value(body.as_ref()?.get(key)?.clone()).ok()
    };
    let (Some(cores), Some(stores)) = (names("cores"), names("stores")) else {
        return rejected(
            Code::BadBody,
            "cores and stores must be lists of machine names",
        );
    };
    match layout::bootstrap(control, &cores, &stores).await {
        Ok(()) => reply(200, &json!({"founded": true})),
        Err(error) => rejected(error.code(), &error.to_string()),
    }
}

/// Begins a change of the disks.
pub(super) async fn begin(control: &Arc<Control>, change: DiskChange) -> Response {
    match layout::begin(control, change).await {
        Ok(version) => reply(200, &json!({"layout": version})),
        Err(error) => rejected(error.code(), &error.to_string()),
    }
}

/// A disk's place in the layout, by its identity or its machine's name.
pub(super) async fn read_disk(control: &Arc<Control>, disk: &str) -> Response {
    let current = control.documents.layout.load_full();
    let layout = &current.1;
    let id = layout
        .names
        .iter()
        .find(|(_, name)| *name == disk)
        .map_or(disk, |(id, _)| id.as_str());
    let is_seated = layout
        .core
        .current
        .iter()
        .chain(&layout.store.current)
        .any(|seated| seated == id);
    let was_seated = layout
        .core
        .previous
        .iter()
        .chain(&layout.store.previous)
        .any(|seated| seated == id);
    let (_, progress) = layout::progress(control).await;
    let keys_left: u64 = progress.iter().map(|disk| disk.keys_left).sum();
    let body = json!({
        "disk": id,
        "seated": is_seated,
        "emptying": was_seated && !is_seated,
        "safe_to_remove": !is_seated && !was_seated,
        "keys_left": keys_left,
    });
    reply(200, &body)
}
