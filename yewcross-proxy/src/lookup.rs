//! The processing of a lookup in the proxy, in phases: `validate`; `admit`; `register_once`;
//! `select_server` and `attempt`, until an attempt is answered; `settle`. Each phase takes the
//! result of the one before.

mod attempt;
mod once;
mod selection;
mod validation;

pub use validation::LookupBody;

use crate::admission::{self, Permit};
use crate::back::Stamp;
use crate::{Front, server_table};
use attempt::{AttemptOutcome, attempt};
use http_types::Response;
use once::{RegisteredLookup, Registration, abort, commit, commit_in_background, register_once};
use selection::{connect, is_still_eligible, select_server};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use validation::{ReceivedLookup, ValidLookup, validate};
use yewcross_common::buffered_http::{BufferedRequest, error_response, json_response};
use yewcross_common::configuration::Class;
use yewcross_common::constants::{
    COMMIT_RESERVE, DEADLINE_GRACE, DEADLINE_MAX_MS, DEFAULT_RETRY_AFTER_S, MS,
};
use yewcross_common::error_code::Code;

/// The reason, as reported to the caller, why a lookup is not answered.
struct Rejection {
    code: Code,
    reason: String,
    /// s after which the request may be repeated; 0: repeating it is useless.
    retry_after: u64,
}

impl Rejection {
    fn new(code: Code, retry_after: u64) -> Rejection {
        Rejection {
            code,
            reason: String::new(),
            retry_after,
        }
    }

    fn with_reason(code: Code, reason: &str) -> Rejection {
        Rejection {
            code,
            reason: reason.into(),
            retry_after: 0,
        }
    }
}

/// A server's response to a lookup.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ServerAnswer {
    value: Value,
    stamp: Stamp,
}

/// Answers a lookup request; at its deadline, if the lookup has not ended by then.
pub async fn answer(front: Arc<Front>, request: BufferedRequest, nonce: u64) -> Response {
    let received_at = front.runtime.now();
    front.counts.lookups.fetch_add(1, SeqCst);
    let body: LookupBody = match serde_json::from_slice(&request.body) {
        Ok(body) => body,
        Err(error) => return error_response(Code::BadBody, &error.to_string(), 0),
    };
    let max_ms = max_horizon_ms(&front, &body.service);
    let timeout = body.horizon_ms.min(max_ms) * MS + DEADLINE_GRACE;
    let received = ReceivedLookup {
        body,
        received_at,
        nonce,
    };
    let (answer_sender, answer) = async_channel::bounded(1);
    let node = front.clone();
    // A task of its own: a lookup that may run only once is completed even if the caller
    // disconnects or the deadline passes.
    front.runtime.spawn(async move {
        // Fails only if the response is no longer waited for.
        let _ = answer_sender.try_send(drive(node, received).await);
    });
    let still_running = || {
        error_response(
            Code::StillRunning,
            "its horizon has passed",
            DEFAULT_RETRY_AFTER_S,
        )
    };
    front
        .runtime
        .timeout(timeout, answer.recv())
        .await
        .and_then(|answer| answer.ok())
        .unwrap_or_else(still_running)
}

/// ms. The longest deadline that the service's configuration allows.
fn max_horizon_ms(front: &Front, service: &str) -> u64 {
    let configuration = front.documents.config.load();
    let service = configuration.1.services.get(service);
    service.map_or(DEADLINE_MAX_MS, |service| service.horizon_ms)
}

async fn drive(front: Arc<Front>, received: ReceivedLookup) -> Response {
    match serve(&front, received).await {
        Ok(value) => json_response(200, &value),
        Err(rejection) => error_response(rejection.code, &rejection.reason, rejection.retry_after),
    }
}

async fn serve(front: &Arc<Front>, received: ReceivedLookup) -> Result<Value, Rejection> {
    let lookup = validate(front, received)?;
    let permit = admit(front, &lookup).await?;
    let lookup = match register_once(front, lookup).await? {
        Registration::Dispatchable(lookup) => lookup,
        Registration::Stored(outcome) => return Ok(outcome),
    };
    let outcome = run(front, &lookup).await;
    drop(permit);
    settle(front, lookup, outcome).await
}

/// Waits until a server has a free slot.
async fn admit<'a>(front: &'a Front, lookup: &ValidLookup) -> Result<Permit<'a>, Rejection> {
    let request = admission::Request {
        service: &lookup.body.service,
        class: Class::Normal,
        deadline: lookup.deadline,
        queueing_deadline: lookup.queueing_deadline,
        min_service_us: COMMIT_RESERVE,
        capacity: lookup.queue_capacity,
        urgent_share: lookup.urgent_share,
    };
    let slots = || server_table::slots(front, &lookup.body.service);
    let admitted = front.admission.admit(&front.runtime, request, slots).await;
    admitted.map_err(|refused| Rejection::new(refused.code, refused.retry_after))
}

/// Attempts the lookup at one server after another until one answers.
async fn run(front: &Front, lookup: &RegisteredLookup) -> Result<Value, Code> {
    let mut excluded: Vec<String> = vec![];
    let mut is_outcome_unknown = false;
    loop {
        let selected = match select_server(front, lookup, &excluded).await {
            Ok(selected) => selected,
            Err(_) if is_outcome_unknown => return Err(Code::MayHaveRun),
            Err(code) => return Err(code),
        };
        let name = &selected.server.server;
        let Ok(connection) = connect(front, lookup, &selected.server).await else {
            front.record_failure(name);
            excluded.push(name.clone());
            continue;
        };
        if !is_still_eligible(front, lookup, &selected.server) {
            continue;
        }
        match attempt(front, lookup, &selected, connection).await {
            AttemptOutcome::Answered(answer) => return Ok(answer),
            AttemptOutcome::Rejected => excluded.push(name.clone()),
            AttemptOutcome::Unknown => {
                front.record_failure(name);
                excluded.push(name.clone());
                is_outcome_unknown = true;
                if lookup.is_once() {
                    return Err(Code::MayHaveRun);
                }
            }
        }
    }
}

/// Settles the outcome in the store if the lookup may run only once, and returns it for the caller.
async fn settle(
    front: &Arc<Front>,
    lookup: RegisteredLookup,
    outcome: Result<Value, Code>,
) -> Result<Value, Rejection> {
    match outcome {
        Ok(answer) => settle_answered(front, &lookup, answer).await,
        // The caller may repeat a lookup that may run again.
        Err(Code::MayHaveRun) if !lookup.is_once() => {
            Err(Rejection::new(Code::MayHaveRun, DEFAULT_RETRY_AFTER_S))
        }
        Err(Code::MayHaveRun) => {
            commit_in_background(front, &lookup, Code::MayHaveRun);
            Err(Rejection::new(Code::MayHaveRun, 0))
        }
        Err(code) => {
            abort(front, &lookup);
            Err(Rejection::new(code, DEFAULT_RETRY_AFTER_S))
        }
    }
}

async fn settle_answered(
    front: &Arc<Front>,
    lookup: &RegisteredLookup,
    answer: Value,
) -> Result<Value, Rejection> {
    let Ok(answer) = serde_json::from_value::<ServerAnswer>(answer) else {
        return Err(Rejection::new(Code::MayHaveRun, 0));
    };
    let stamp = Stamp {
        job: lookup.request.body.job.clone(),
        ..answer.stamp
    };
    let outcome = json!({"code": Code::Done.number(), "value": answer.value, "stamp": stamp});
    if let Err(code) = commit(front, lookup, &outcome).await {
        return Err(Rejection::new(code, code.retry_after_s()));
    }
    front.counts.found.fetch_add(1, SeqCst);
    Ok(outcome)
}
