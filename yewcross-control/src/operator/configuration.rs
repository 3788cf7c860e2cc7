//! Operator requests that read and put configurations.

use super::rejection;
use crate::Control;
use crate::config::{self, PutError};
use http_types::Response;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, json_response};
use yewcross_common::configuration::Configuration;
use yewcross_common::constants::PEER_REQUEST_TIMEOUT;
use yewcross_common::error_code::Code;
use yewcross_common::protocol::ConfigDoc;

/// A version that the newest document contains: its own or a superseded one.
struct RetainedVersion {
    version: u64,
    put_id: String,
    text: String,
}

/// Returns the newest configuration as it was put, with the retained versions before it.
pub(super) async fn read(control: &Arc<Control>) -> Response {
    let (version, document) = match read_newest(control).await {
        Ok(newest) => newest,
        Err(response) => return response,
    };
    let text: Value = serde_json::from_str(&document.text).unwrap_or(Value::Null);
    let superseded: Vec<Value> = document
        .superseded
        .iter()
        .map(|(version, put_id, _)| json!({"version": version, "put": put_id}))
        .collect();
    let body = json!({
        "version": version,
        "put": document.put_id,
        "note": document.note,
        "past": superseded,
        "config": text,
    });
    with_version_tag(json_response(200, &body), version)
}

/// Returns the newest configuration with defaults filled in.
pub(super) async fn read_effective(control: &Arc<Control>) -> Response {
    let (version, document) = match read_newest(control).await {
        Ok(newest) => newest,
        Err(response) => return response,
    };
    let effective = Configuration::read(document.text.as_bytes()).ok();
    let body = json!({"version": version, "tree": effective});
    with_version_tag(json_response(200, &body), version)
}

/// Adds the version to a response as its `etag` header.
fn with_version_tag(mut response: Response, version: u64) -> Response {
    response.insert_header("etag", format!("\"{version}\""));
    response
}

/// Reads the newest version and its document. Returns the error response to the operator if it
/// cannot be read.
async fn read_newest(control: &Arc<Control>) -> Result<(u64, ConfigDoc), Response> {
    match control
        .registers
        .read_with_ballot("config", PEER_REQUEST_TIMEOUT)
        .await
    {
        Ok((version, _, value)) => match config::decode_configuration(&value) {
            Ok(document) => Ok((version, document)),
            Err(error) => Err(rejection(Code::Undecided, &error.to_string())),
        },
        Err(_) if control.documents.layout.load().0 == 0 => Err(rejection(Code::NotFounded, "")),
        Err(_) => Err(rejection(Code::NoMajority, "")),
    }
}

/// Returns the configuration of a retained version.
pub(super) async fn read_superseded(control: &Arc<Control>, version: &str) -> Response {
    let Some(retained) = find_version(control, version).await else {
        return unknown_version();
    };
    let text = serde_json::from_str::<Value>(&retained.text).ok();
    let body = json!({"version": retained.version, "put": retained.put_id, "config": text});
    json_response(200, &body)
}

/// Puts the text of a retained version again. It competes with concurrent puts like any other put.
pub(super) async fn roll_back(
    control: &Arc<Control>,
    version: &str,
    request: &BufferedRequest,
) -> Response {
    let Some(base) = base_version(request) else {
        return rejection(Code::NoVersion, "");
    };
    let Some(retained) = find_version(control, version).await else {
        return unknown_version();
    };
    let note = format!("rollback to {version}");
    let outcome = config::put(control, base, retained.text, note, false).await;
    answer_put(outcome, false)
}

/// Puts a configuration, or only validates it if the query contains `dry=1`.
pub(super) async fn put(control: &Arc<Control>, request: BufferedRequest) -> Response {
    let Some(base) = base_version(&request) else {
        return rejection(Code::NoVersion, "");
    };
    let Ok(text) = String::from_utf8(request.body) else {
        return rejection(Code::BadBody, "");
    };
    let is_dry_run = request
        .query
        .as_deref()
        .is_some_and(|query| query.split('&').any(|part| part == "dry=1"));
    let outcome = config::put(control, base, text, String::new(), is_dry_run).await;
    answer_put(outcome, is_dry_run)
}

/// The version that the request replaces, from its `If-Match` header.
fn base_version(request: &BufferedRequest) -> Option<u64> {
    request.if_match.as_ref()?.parse().ok()
}

/// Looks up a version in the newest decided document.
async fn find_version(control: &Arc<Control>, version: &str) -> Option<RetainedVersion> {
    let requested: u64 = version.parse().ok()?;
    let (newest, _, value) = control
        .registers
        .read_with_ballot("config", PEER_REQUEST_TIMEOUT)
        .await
        .ok()?;
    // A value that cannot be decoded contains no version, nor does the empty value before the first
    // version.
    let document: ConfigDoc = serde_json::from_slice(&value).ok()?;
    if requested == newest {
        return Some(RetainedVersion {
            version: newest,
            put_id: document.put_id,
            text: document.text,
        });
    }
    let mut superseded = document.superseded.into_iter();
    superseded
        .find(|(version, _, _)| *version == requested)
        .map(|(version, put_id, text)| RetainedVersion {
            version,
            put_id,
            text,
        })
}

fn unknown_version() -> Response {
    rejection(Code::UnknownPath, "no such version is on hand")
}

fn answer_put(outcome: Result<u64, PutError>, is_dry_run: bool) -> Response {
    match outcome {
        Ok(version) => json_response(
            200,
            &json!({"code": Code::Done.number(), "version": version, "in_force": !is_dry_run}),
        ),
        Err(PutError::InvalidConfiguration { faults }) if !faults.is_empty() => {
            let code = Code::BadConfig;
            let body = json!({
                "code": code.number(),
                "ran": "not_run",
                "text": code.text(),
                "faults": faults,
            });
            json_response(code.http(), &body)
        }
        Err(error) => rejection(error.code(), &error.detail()),
    }
}
