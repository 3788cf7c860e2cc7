//! The first phase of a lookup: the checks that need no other node.

use super::Rejection;
use crate::Front;
use crate::turn::is_valid_name;
use serde::{Deserialize, Serialize};
use yewcross_common::configuration::Kind;
use yewcross_common::constants::{
    DEADLINE_MAX_MS, DEADLINE_MIN_MS, DEFAULT_RETRY_AFTER_S, MS, QUEUEING_SHARE_PERCENT,
};
use yewcross_common::error_code::Code;

/// The body of a lookup request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LookupBody {
    pub service: String,
    pub method: String,
    pub key: String,
    /// ms within which the caller wants the response.
    pub horizon_ms: u64,
    /// The caller's id of the request; may be empty if the method may run again.
    #[serde(default)]
    pub job: String,
}

/// A lookup request as received.
pub(super) struct ReceivedLookup {
    pub(super) body: LookupBody,
    /// us of the node's clock.
    pub(super) received_at: u64,
    /// Distinguishes this execution from others of a request with the same id.
    pub(super) nonce: u64,
}

/// A lookup that the configuration allows. Times are in us of the node's clock.
pub(super) struct ValidLookup {
    pub(super) body: LookupBody,
    pub(super) nonce: u64,
    /// The method may run only once.
    pub(super) is_once: bool,
    /// When the response is due.
    pub(super) deadline: u64,
    /// When the caller must be notified, if the lookup cannot be served.
    pub(super) queueing_deadline: u64,
    /// Most requests of the service that may be queued.
    pub(super) queue_capacity: u64,
    /// Percent of the capacity that only urgent requests may use.
    pub(super) urgent_share: u64,
    /// ms for which the outcome of a lookup that may run only once is stored.
    pub(super) retain_ms: u64,
}

pub(super) fn validate(front: &Front, received: ReceivedLookup) -> Result<ValidLookup, Rejection> {
    let body = received.body;
    check_body(&body)?;
    if !front.watcher.may_serve() {
        return Err(Rejection::new(Code::NotServing, DEFAULT_RETRY_AFTER_S));
    }
    let configuration = front.documents.config.load();
    let service = configuration.1.services.get(&body.service);
    let has_method = service
        .filter(|service| service.kind == Kind::Lookup && service.methods.contains(&body.method));
    let Some(service) = has_method else {
        let reason = format!("{}/{}", body.service, body.method);
        return Err(Rejection::with_reason(Code::UnknownService, &reason));
    };
    let is_once = service.once.contains(&body.method);
    if is_once && body.job.is_empty() {
        let reason = "job: this method may run only once and needs a job id";
        return Err(Rejection::with_reason(Code::BadField, reason));
    }
    let horizon = body.horizon_ms.min(service.horizon_ms) * MS;
    Ok(ValidLookup {
        nonce: received.nonce,
        is_once,
        deadline: received.received_at + horizon,
        queueing_deadline: received.received_at + horizon * QUEUEING_SHARE_PERCENT / 100,
        queue_capacity: service.line,
        urgent_share: service.urgent_share,
        retain_ms: service.keep_ms,
        body,
    })
}

fn check_body(body: &LookupBody) -> Result<(), Rejection> {
    if !(DEADLINE_MIN_MS..=DEADLINE_MAX_MS).contains(&body.horizon_ms) {
        return Err(Rejection::new(Code::BadHorizon, 0));
    }
    let is_job_valid = body.job.is_empty() || is_valid_name(&body.job);
    if !is_valid_name(&body.key) || !is_job_valid {
        return Err(Rejection::with_reason(Code::BadField, "key or job"));
    }
    Ok(())
}
