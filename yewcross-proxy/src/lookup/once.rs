//! Lookups that may run only once: registered in the store before they are dispatched; their
//! outcome is committed there before it is sent to the caller.

use super::Rejection;
use super::validation::ValidLookup;
use crate::Front;
use serde_json::Value;
use std::sync::Arc;
use yewcross_common::configuration::Rule;
use yewcross_common::constants::{DEFAULT_RETRY_AFTER_S, MS, SEC};
use yewcross_common::error_code::Code;
use yewcross_common::hash::content_digest;
use yewcross_common::protocol::{
    BeginTurn, CommitTurn, PeerRequest, PeerResponse, SessionCacheState,
};

/// Rounds over the store's replicas in which a registration is attempted.
const REGISTRATION_ROUNDS: usize = 3;
/// us. Backoff between two attempts of a commit.
const COMMIT_BACKOFF: u64 = 30 * MS;
/// us. Time after the lookup's deadline during which committing an unknown outcome is retried.
const COMMIT_GRACE: u64 = SEC;

/// The store's record of a lookup that may run only once.
struct OnceRecord {
    key: String,
    epoch: u64,
}

/// A lookup that may be dispatched.
pub(super) struct RegisteredLookup {
    pub(super) request: ValidLookup,
    /// None if the method may run again.
    record: Option<OnceRecord>,
}

impl RegisteredLookup {
    pub(super) fn is_once(&self) -> bool {
        self.record.is_some()
    }

    /// The request id that the lookup has at the servers.
    pub(super) fn server_job(&self) -> String {
        let (job, nonce) = (&self.request.body.job, self.request.nonce);
        if job.is_empty() {
            format!("{nonce:x}")
        } else {
            format!("{job}#{nonce:x}")
        }
    }

    fn commit_turn(&self, record: &OnceRecord, code: Code) -> CommitTurn {
        CommitTurn {
            key: record.key.clone(),
            request_id: self.request.body.job.clone(),
            epoch: record.epoch,
            nonce: self.request.nonce,
            code,
            used_tokens: 0,
            history_rule: Rule::All,
            cache: SessionCacheState::default(),
            history_bytes: 0,
        }
    }
}

/// The store's response to a registration.
pub(super) enum Registration {
    Dispatchable(RegisteredLookup),
    /// The lookup has already run, with this outcome.
    Stored(Value),
}

/// Registers the lookup in the store if it may run only once.
pub(super) async fn register_once(
    front: &Arc<Front>,
    request: ValidLookup,
) -> Result<Registration, Rejection> {
    if !request.is_once {
        let record = None;
        return Ok(Registration::Dispatchable(RegisteredLookup {
            request,
            record,
        }));
    }
    let key = format!("once/{}/{}", request.body.service, request.body.job);
    let begin = PeerRequest::BeginTurn(begin_turn(front, &request, &key));
    let until = request.queueing_deadline;
    let answer = front.call_store_until(&key, &begin, &[], REGISTRATION_ROUNDS, until);
    match answer.await {
        Some((PeerResponse::TurnBegun(begun), _)) => {
            let epoch = begun.epoch;
            let record = Some(OnceRecord { key, epoch });
            Ok(Registration::Dispatchable(RegisteredLookup {
                request,
                record,
            }))
        }
        Some((PeerResponse::StoredOutcome { .. }, outcome)) => Ok(Registration::Stored(
            serde_json::from_slice(&outcome).unwrap_or_default(),
        )),
        Some((PeerResponse::Rejected(code), _))
            if !matches!(code, Code::Undecided | Code::StoreAway) =>
        {
            Err(Rejection::new(code, code.retry_after_s()))
        }
        // The store may have registered the lookup.
        _ => {
            front.abort_turn(&key, &request.body.job, request.nonce, None);
            Err(Rejection::new(Code::StoreAway, DEFAULT_RETRY_AFTER_S))
        }
    }
}

fn begin_turn(front: &Front, request: &ValidLookup, key: &str) -> BeginTurn {
    let body = &request.body;
    let remaining = request.deadline.saturating_sub(front.runtime.now());
    BeginTurn {
        key: key.into(),
        request_id: body.job.clone(),
        digest: content_digest(format!("{}\n{}", body.method, body.key).as_bytes()),
        nonce: request.nonce,
        front: front.settings.name.clone(),
        remaining_ms: remaining / MS,
        budget: None,
        max_output_tokens: 0,
        retain_ms: request.retain_ms,
        known_history: None,
    }
}

/// Commits the response of a lookup if it may run only once.
pub(super) async fn commit(
    front: &Arc<Front>,
    lookup: &RegisteredLookup,
    outcome: &Value,
) -> Result<(), Code> {
    let Some(record) = &lookup.record else {
        return Ok(());
    };
    let turn = lookup.commit_turn(record, Code::Done);
    let outcome = serde_json::to_vec(outcome).unwrap_or_default();
    commit_until(front, turn, &outcome, lookup.request.deadline).await
}

/// Commits, without waiting, the outcome of a lookup that has no response.
pub(super) fn commit_in_background(front: &Arc<Front>, lookup: &RegisteredLookup, code: Code) {
    let Some(record) = &lookup.record else {
        return;
    };
    let turn = lookup.commit_turn(record, code);
    let until = lookup.request.deadline + COMMIT_GRACE;
    let node = front.clone();
    front.runtime.spawn(async move {
        // If this fails, the store closes the lookup with the same outcome itself.
        let _ = commit_until(&node, turn, &[], until).await;
    });
}

/// Cancels the registration of a lookup that was never dispatched.
pub(super) fn abort(front: &Arc<Front>, lookup: &RegisteredLookup) {
    if let Some(record) = &lookup.record {
        let request = &lookup.request;
        front.abort_turn(&record.key, &request.body.job, request.nonce, None);
    }
}

/// Repeats the commit until the store has decided or the time `until` (us of the node's clock) has
/// passed.
async fn commit_until(
    front: &Arc<Front>,
    turn: CommitTurn,
    outcome: &[u8],
    until: u64,
) -> Result<(), Code> {
    let key = turn.key.clone();
    let request = PeerRequest::CommitTurn(turn);
    loop {
        match front.call_store(&key, &request, outcome, 1).await {
            Some((PeerResponse::Committed, _)) => return Ok(()),
            Some((PeerResponse::Rejected(Code::MayHaveRun), _)) => return Err(Code::MayHaveRun),
            _ if front.runtime.now() > until => return Err(Code::Undecided),
            _ => front.runtime.sleep(COMMIT_BACKOFF).await,
        }
    }
}
