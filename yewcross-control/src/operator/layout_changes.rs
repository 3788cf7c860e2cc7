//! Operator requests about the layout: bootstrapping the tier, changing its disks, and reading the
//! progress of a change.

use super::rejection;
use crate::Control;
use crate::layout::{self, DiskChange};
use http_types::Response;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, json_response};
use yewcross_common::error_code::Code;

/// Reports the applied layout and the progress of the running change.
pub(super) async fn read(control: &Arc<Control>) -> Response {
    let current = control.documents.layout.load();
    let (_, progress) = layout::progress(control).await;
    json_response(
        200,
        &json!({"version": current.0, "layout": current.1, "filling": progress}),
    )
}

/// Bootstraps the tier on the machines named in the request.
pub(super) async fn bootstrap(control: &Arc<Control>, request: &BufferedRequest) -> Response {
    let body: Option<Value> = serde_json::from_slice(&request.body).ok();
    let names = |key: &str| -> Option<Vec<String>> {
        serde_json::from_value(body.as_ref()?.get(key)?.clone()).ok()
    };
    let (Some(cores), Some(stores)) = (names("cores"), names("stores")) else {
        return rejection(
            Code::BadBody,
            "cores and stores must be lists of machine names",
        );
    };
    match layout::bootstrap(control, &cores, &stores).await {
        Ok(()) => json_response(200, &json!({"founded": true})),
        Err(error) => rejection(error.code(), &error.to_string()),
    }
}

/// Begins a change of the layout's disks.
pub(super) async fn begin_change(control: &Arc<Control>, change: DiskChange) -> Response {
    match layout::begin(control, change).await {
        Ok(version) => json_response(200, &json!({"layout": version})),
        Err(error) => rejection(error.code(), &error.to_string()),
    }
}

/// Reports whether a disk is part of the layout. The disk is given by its identity or its machine's
/// name.
pub(super) async fn read_disk(control: &Arc<Control>, disk: &str) -> Response {
    let current = control.documents.layout.load_full();
    let layout = &current.1;
    let id = layout
        .names
        .iter()
        .find(|(_, name)| *name == disk)
        .map_or(disk, |(id, _)| id.as_str());
    let is_in_layout = layout
        .core
        .current
        .iter()
        .chain(&layout.store.current)
        .any(|disk_id| disk_id == id);
    let was_in_layout = layout
        .core
        .previous
        .iter()
        .chain(&layout.store.previous)
        .any(|disk_id| disk_id == id);
    let (_, progress) = layout::progress(control).await;
    let keys_left: u64 = progress.iter().map(|disk| disk.keys_left).sum();
    let body = json!({
        "disk": id,
        "seated": is_in_layout,
        "emptying": was_in_layout && !is_in_layout,
        "safe_to_remove": !is_in_layout && !was_in_layout,
        "keys_left": keys_left,
    });
    json_response(200, &body)
}
