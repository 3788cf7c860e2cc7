//! Begins a turn in the store, in one round trip: afterwards this proxy owns the session's record
//! under a new epoch, and the budget holds a reservation for the turn.

use super::events::{Rejection, TurnOutcome};
use super::request::tokens;
use super::state::{BegunTurn, ValidTurn};
use crate::Front;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{DEFAULT_RETRY_AFTER_S, MS};
use yewcross_common::error_code::Code;
use yewcross_common::hash::content_digest;
use yewcross_common::protocol::{BeginTurn, PeerRequest, PeerResponse, TurnBegun};

/// Rounds over the store's replicas in which beginning the turn is attempted.
const BEGIN_ROUNDS: usize = 3;
/// Separates the messages of a history line from the output that follows.
const MESSAGES_END: u8 = b'\t';

/// The store's response to the beginning of a turn.
pub(super) enum BeginResult {
    Begun(Box<BegunTurn>),
    /// The turn has already finished, with this outcome.
    Replayed(TurnOutcome),
}

pub(super) async fn begin(front: &Arc<Front>, turn: ValidTurn) -> Result<BeginResult, Rejection> {
    let known_history = front
        .cached_histories
        .lock()
        .unwrap()
        .get(&turn.key)
        .cloned();
    let request = PeerRequest::BeginTurn(begin_turn(front, &turn, known_history.as_deref()));
    let until = turn.queueing_deadline;
    let answer = front.call_store_until(&turn.key, &request, &[], BEGIN_ROUNDS, until);
    match answer.await {
        Some((PeerResponse::TurnBegun(begun), blob)) => {
            let history = if begun.history_complete {
                blob
            } else {
                known_history.unwrap_or_default()
            };
            let turn = begun_turn(front, turn, begun, history)?;
            Ok(BeginResult::Begun(Box::new(turn)))
        }
        Some((PeerResponse::StoredOutcome { .. }, blob)) => {
            front.counts.replayed.fetch_add(1, SeqCst);
            match serde_json::from_slice(&blob) {
                Ok(outcome) => Ok(BeginResult::Replayed(outcome)),
                Err(_) => Err(Rejection::new(Code::Forgotten, "", 0)),
            }
        }
        // The store may have begun the turn.
        Some((PeerResponse::Rejected(Code::Undecided | Code::StoreAway), _)) | None => {
            abort(front, &turn);
            Err(Rejection::new(Code::StoreAway, "", DEFAULT_RETRY_AFTER_S))
        }
        Some((PeerResponse::Rejected(code), _)) => {
            Err(Rejection::new(code, "", code.retry_after_s()))
        }
        Some(_) => Err(Rejection::new(Code::StoreAway, "", DEFAULT_RETRY_AFTER_S)),
    }
}

fn begin_turn(front: &Front, turn: &ValidTurn, known_history: Option<&[u8]>) -> BeginTurn {
    let body = &turn.body;
    let digest_input = (
        &body.program,
        &body.session,
        &body.messages,
        body.max_output,
    );
    let digest_input = serde_json::to_vec(&digest_input).unwrap_or_default();
    let limit = budget_limit(front, turn);
    BeginTurn {
        key: turn.key.clone(),
        request_id: body.job.clone(),
        digest: content_digest(&digest_input),
        nonce: turn.nonce,
        front: front.settings.name.clone(),
        remaining_ms: turn.deadline.saturating_sub(front.runtime.now()) / MS,
        budget: limit.map(|limit| (turn.class.budget.clone(), limit)),
        max_output_tokens: turn.max_output_tokens,
        retain_ms: turn.class.keep_ms,
        known_history: known_history.map(|history| (history.len() as u64, content_digest(history))),
    }
}

/// Builds the begun turn; aborts it if its prompt is too long.
fn begun_turn(
    front: &Arc<Front>,
    turn: ValidTurn,
    begun: TurnBegun,
    history: Vec<u8>,
) -> Result<BegunTurn, Rejection> {
    let mut open_line = serde_json::to_vec(&turn.body.messages).unwrap_or_default();
    open_line.push(MESSAGES_END);
    if tokens(history.len() + open_line.len()) > turn.class.max_prompt {
        abort(front, &turn);
        let reason = "the prompt with its history passes max_prompt";
        return Err(Rejection::new(Code::TooLarge, reason, 0));
    }
    Ok(BegunTurn {
        attempt_nonce: turn.nonce,
        is_outcome_unknown: false,
        epoch: begun.epoch,
        cache: begun.cache,
        history,
        open_line,
        request: turn,
    })
}

/// Notifies the store that the turn will not be dispatched.
fn abort(front: &Arc<Front>, turn: &ValidTurn) {
    let budget = limited_budget(front, turn);
    front.abort_turn(&turn.key, &turn.body.job, turn.nonce, budget);
}

/// The budget that a turn spends from, if the configuration limits it.
pub(super) fn limited_budget(front: &Front, turn: &ValidTurn) -> Option<String> {
    budget_limit(front, turn).map(|_| turn.class.budget.clone())
}

/// The token limit of the turn's budget, if the configuration limits it.
pub(super) fn budget_limit(front: &Front, turn: &ValidTurn) -> Option<u64> {
    let configuration = front.documents.config.load();
    let budget = configuration.1.budgets.get(&turn.class.budget);
    budget.map(|budget| budget.tokens)
}
