//! The product's own operators' interface: HTTP requests with JSON answers.

mod configuration;
mod layout_changes;
mod status;

use crate::Control;
use crate::layout::DiskChange;
use http_types::{Method, Response};
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, refuse};
use yewcross_common::error_code::Code;

/// Answers one request.
pub async fn answer(control: Arc<Control>, request: BufferedRequest) -> Response {
    let path = request.path.clone();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.verb, segments.as_slice()) {
        (Method::Get, ["health"]) => status::health(&control),
        (Method::Get, ["metrics"]) => status::metrics(&control),
        (Method::Get, ["v1", "status"]) => status::status(&control).await,
        (Method::Get, ["v1", "checkpoint"]) => status::checkpoint(&control).await,
        (Method::Get, ["v1", "layout"]) => layout_changes::read(&control).await,
        (Method::Post, ["v1", "found"]) => layout_changes::bootstrap(&control, &request).await,
        (Method::Get, ["v1", "config"]) => configuration::read(&control).await,
        (Method::Get, ["v1", "config", "effective"]) => {
            configuration::read_effective(&control).await
        }
        (Method::Put, ["v1", "config"]) => configuration::put(&control, request).await,
        (Method::Get, ["v1", "config", version]) => {
            configuration::read_past(&control, version).await
        }
        (Method::Post, ["v1", "config", version, "rollback"]) => {
            configuration::roll_back(&control, version, &request).await
        }
        (Method::Post, ["v1", "disks", disk, "empty"]) => {
            layout_changes::begin(&control, DiskChange::Remove(disk.to_string())).await
        }
        (Method::Post, ["v1", "disks", disk, "admit"]) => {
            layout_changes::begin(&control, DiskChange::Add(disk.to_string())).await
        }
        (Method::Post, ["v1", "disks", disk, "replace", by]) => {
            let replacement = DiskChange::Replace(disk.to_string(), by.to_string());
            layout_changes::begin(&control, replacement).await
        }
        (Method::Get, ["v1", "disks", disk]) => layout_changes::read_disk(&control, disk).await,
        (_, ["health" | "metrics"])
        | (
            _,
            [
                "v1",
                "status" | "layout" | "checkpoint" | "found" | "config",
                ..,
            ],
        )
        | (_, ["v1", "disks", ..]) => rejected(Code::WrongVerb, ""),
        _ => rejected(Code::UnknownPath, &path),
    }
}

fn rejected(code: Code, detail: &str) -> Response {
    refuse(code, detail, code.retry_after_s())
}
