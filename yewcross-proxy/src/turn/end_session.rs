//! Ends a session: deletes its history and drops its cached prefixes.

use super::request::is_valid_name;
use crate::{Front, kv};
use http_types::Response;
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, error_response, json_response};
use yewcross_common::constants::DEFAULT_RETRY_AFTER_S;
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse, SessionCacheState};

/// Rounds over the store's replicas in which ending the session is attempted.
const END_ROUNDS: usize = 3;

/// The body of a request that ends a session.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndBody {
    program: String,
    session: String,
}

/// Answers a request to end a session.
pub async fn end_session(front: Arc<Front>, request: BufferedRequest) -> Response {
    let body: EndBody = match serde_json::from_slice(&request.body) {
        Ok(body) => body,
        Err(error) => return error_response(Code::BadBody, &error.to_string(), 0),
    };
    if !is_valid_name(&body.program) || !is_valid_name(&body.session) {
        return error_response(Code::BadField, "program or session", 0);
    }
    let Some(service) = service_of(&front, &body.program) else {
        return error_response(Code::UnknownProgram, &body.program, 0);
    };
    let key = format!("session/{}/{}", body.program, body.session);
    let request = PeerRequest::EndSession { key: key.clone() };
    match front.call_store(&key, &request, &[], END_ROUNDS).await {
        Some((PeerResponse::SessionEnded { cache }, _)) => {
            drop_prefixes(&front, &service, &key, cache).await;
            json_response(200, &json!({"code": Code::Done.number(), "ended": true}))
        }
        Some((PeerResponse::Rejected(code), _)) => error_response(code, "", code.retry_after_s()),
        _ => error_response(Code::StoreAway, "", DEFAULT_RETRY_AFTER_S),
    }
}

/// The service that runs the program's turns.
fn service_of(front: &Front, program: &str) -> Option<String> {
    let configuration = front.documents.config.load();
    let program = configuration.1.families.get(program)?;
    Some(program.settings.service.clone())
}

/// Deletes this proxy's state of the session and requests its servers to drop the cached prefixes.
async fn drop_prefixes(front: &Arc<Front>, service: &str, key: &str, cache: SessionCacheState) {
    let pushed = front.replicas.lock().unwrap().remove(key);
    front.kv_transfers.remove(key);
    front.cached_histories.lock().unwrap().remove(key);
    let prefixes = cache.replica.into_iter().chain(pushed).chain(cache.home);
    for prefix in prefixes {
        kv::drop_prefix(front, service, key, &prefix.server).await;
    }
}
