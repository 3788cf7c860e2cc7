//! Reading and putting configurations.

use super::rejected;
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

/// A version that the document still knows.
struct KnownVersion {
    version: u64,
    put_id: String,
    text: String,
}

/// The newest configuration, as it was put, with what is known of the versions before.
pub(super) async fn read(control: &Arc<Control>) -> Response {
    let (version, document) = match read_newest(control).await {
        Ok(newest) => newest,
        Err(response) => return response,
    };
    let text: Value = serde_json::from_str(&document.text).unwrap_or(Value::Null);
    let past: Vec<Value> = document
        .superseded
        .iter()
        .map(|(version, put_id, _)| json!({"version": version, "put": put_id}))
        .collect();
    let body = json!({
        "version": version,
        "put": document.put_id,
        "note": document.note,
        "past": past,
        "config": text,
    });
    with_version(json_response(200, &body), version)
}

/// The newest configuration with its defaults filled in.
pub(super) async fn read_effective(control: &Arc<Control>) -> Response {
    let (version, document) = match read_newest(control).await {
        Ok(newest) => newest,
        Err(response) => return response,
    };
    let tree = Configuration::read(document.text.as_bytes()).ok();
    let body = json!({"version": version, "tree": tree});
    with_version(json_response(200, &body), version)
}

fn with_version(mut response: Response, version: u64) -> Response {
    response.insert_header("etag", format!("\"{version}\""));
    response
}

/// The newest version and its document, or the answer to an operator where it cannot be read.
async fn read_newest(control: &Arc<Control>) -> Result<(u64, ConfigDoc), Response> {
    match control
        .registers
        .read_with_ballot("config", PEER_REQUEST_TIMEOUT)
        .await
    {
        Ok((version, _, value)) => match config::decode_configuration(&value) {
            Ok(document) => Ok((version, document)),
            Err(error) => Err(rejected(Code::Undecided, &error.to_string())),
        },
        Err(_) if control.documents.layout.load().0 == 0 => Err(rejected(Code::NotFounded, "")),
        Err(_) => Err(rejected(Code::NoMajority, "")),
    }
}

/// An earlier configuration.
pub(super) async fn read_past(control: &Arc<Control>, version: &str) -> Response {
    let Some(known) = find_version(control, version).await else {
        return unknown_version();
    };
    let text = serde_json::from_str::<Value>(&known.text).ok();
    let body = json!({"version": known.version, "put": known.put_id, "config": text});
    json_response(200, &body)
}

/// Puts an earlier text again: it wins or loses against other puts like any other.
pub(super) async fn roll_back(
    control: &Arc<Control>,
    version: &str,
    request: &BufferedRequest,
) -> Response {
    let Some(base) = base_version(request) else {
        return rejected(Code::NoVersion, "");
    };
    let Some(known) = find_version(control, version).await else {
        return unknown_version();
    };
    let note = format!("rollback to {version}");
    let outcome = config::put(control, base, known.text, note, false).await;
    answer_put(outcome, false)
}

/// Puts a configuration, or only checks it with the query `dry=1`.
pub(super) async fn put(control: &Arc<Control>, request: BufferedRequest) -> Response {
    let Some(base) = base_version(&request) else {
        return rejected(Code::NoVersion, "");
    };
    let Ok(text) = String::from_utf8(request.body) else {
        return rejected(Code::BadBody, "");
    };
    let is_dry_run = request
        .query
        .as_deref()
        .is_some_and(|query| query.split('&').any(|part| part == "dry=1"));
    let outcome = config::put(control, base, text, String::new(), is_dry_run).await;
    answer_put(outcome, is_dry_run)
}

/// The version that the request replaces, by its `If-Match`.
fn base_version(request: &BufferedRequest) -> Option<u64> {
    request.if_match.as_ref()?.parse().ok()
}

async fn find_version(control: &Arc<Control>, version: &str) -> Option<KnownVersion> {
    let wanted: u64 = version.parse().ok()?;
    let (newest, _, value) = control
        .registers
        .read_with_ballot("config", PEER_REQUEST_TIMEOUT)
        .await
        .ok()?;
    // No version is known by a value that cannot be read, nor by the empty one before the first.
    let document: ConfigDoc = serde_json::from_slice(&value).ok()?;
    if wanted == newest {
        return Some(KnownVersion {
            version: newest,
            put_id: document.put_id,
            text: document.text,
        });
    }
    let mut past = document.superseded.into_iter();
    past.find(|(version, _, _)| *version == wanted)
        .map(|(version, put_id, text)| KnownVersion {
            version,
            put_id,
            text,
        })
}

fn unknown_version() -> Response {
    rejected(Code::UnknownPath, "no such version is on hand")
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
        Err(error) => rejected(error.code(), &error.detail()),
    }
}
