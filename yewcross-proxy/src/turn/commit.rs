//! Commits the outcome of a turn to the store, finished or not.

use super::events::{EventSender, Rejection, TurnEnd, send_end, send_rejection};
use super::request::tokens;
use super::state::{BegunTurn, FinishedAttempt};
use crate::{Front, kv};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{DEFAULT_RETRY_AFTER_S, MS};
use yewcross_common::error_code::Code;
use yewcross_common::hash::digest;
use yewcross_common::protocol::{
    CachedPrefix, CommitTurn, PeerRequest, PeerResponse, SessionCacheState,
};

/// us. Backoff between two attempts of a commit.
const COMMIT_BACKOFF: u64 = 30 * MS;
/// Rounds over the store's replicas in which a turn without an output is closed.
const CLOSE_ROUNDS: usize = 4;
const LINE_END: u8 = b'\n';

/// Commits a finished turn in one round trip: history, outcome and budget are stored by a majority
/// of replicas before the end is sent to the caller.
pub(super) async fn commit(
    front: &Arc<Front>,
    turn: BegunTurn,
    finished: FinishedAttempt,
    events: &EventSender,
) -> Result<(), Rejection> {
    let outcome = finished.outcome;
    let mut line = turn.open_line.clone();
    line.extend(serde_json::to_vec(&outcome.text).unwrap_or_default());
    let mut prefix = turn.history.clone();
    prefix.extend(&line);
    let home = CachedPrefix {
        server: outcome.stamp.server.clone(),
        instance: outcome.stamp.inst,
        weights: outcome.stamp.weights.clone(),
        tokens: tokens(prefix.len()),
        digest: digest(&prefix),
        placed_tokens: finished.placed_tokens,
    };
    line.push(LINE_END);
    let mut history = turn.history.clone();
    history.extend(&line);
    turn.request.class.history.trim(&mut history);
    let cache = cache_state(front, &turn, home);
    let request = CommitTurn {
        history_bytes: line.len() as u64,
        ..commit_turn(&turn, Code::Done, outcome.output, cache.clone())
    };
    let mut blob = line;
    blob.extend(serde_json::to_vec(&outcome).unwrap_or_default());
    commit_by_deadline(front, &turn, request, &blob).await?;
    front.counts.done.fetch_add(1, SeqCst);
    front.cache_history(&turn.request.key, history);
    let end = TurnEnd {
        outcome,
        chunks: finished.chunks,
        is_replayed: false,
    };
    send_end(events, end).await;
    let fresh = kv::FinishedTurn {
        key: turn.request.key,
        epoch: turn.epoch,
        cache,
        class: turn.request.class,
    };
    kv::replicate(front.clone(), fresh).await;
    Ok(())
}

/// Which servers hold the session's prefix in their caches after the turn.
fn cache_state(front: &Front, turn: &BegunTurn, home: CachedPrefix) -> SessionCacheState {
    let program = &turn.request.body.program;
    let replicas = front.replicas.lock().unwrap();
    let pushed = replicas.get(&turn.request.key).cloned();
    let is_usable = |replica: &CachedPrefix| {
        replica.weights == home.weights
            && replica.server != home.server
            && turn.cache.program == *program
    };
    let replica = pushed.or(turn.cache.replica.clone()).filter(is_usable);
    SessionCacheState {
        replica,
        home: Some(home),
        program: program.clone(),
    }
}

/// Repeats the commit until the store has decided or the turn's deadline has passed.
async fn commit_by_deadline(
    front: &Arc<Front>,
    turn: &BegunTurn,
    request: CommitTurn,
    blob: &[u8],
) -> Result<(), Rejection> {
    let request = PeerRequest::CommitTurn(request);
    loop {
        match front.call_store(&turn.request.key, &request, blob, 1).await {
            Some((PeerResponse::Committed, _)) => return Ok(()),
            Some((PeerResponse::Rejected(Code::MayHaveRun), _)) => {
                let reason = "the session went on without it";
                return Err(Rejection::new(Code::MayHaveRun, reason, 0));
            }
            _ if front.runtime.now() > turn.request.deadline => {
                let reason = "the outcome is not yet kept";
                return Err(Rejection::new(
                    Code::Undecided,
                    reason,
                    DEFAULT_RETRY_AFTER_S,
                ));
            }
            _ => front.runtime.sleep(COMMIT_BACKOFF).await,
        }
    }
}

/// Closes a turn that was sent and whose outcome is unknown. The caller is notified first; then the
/// turn is closed as "may have run", with its reservation spent in full.
pub(super) async fn close_unknown(front: &Arc<Front>, turn: &BegunTurn, events: &EventSender) {
    front.counts.lost.fetch_add(1, SeqCst);
    send_rejection(events, Rejection::new(Code::MayHaveRun, "", 0)).await;
    let all = turn.request.max_output_tokens;
    close(front, turn, Code::MayHaveRun, all).await;
}

/// Closes a turn that has no output.
pub(super) async fn close(front: &Arc<Front>, turn: &BegunTurn, code: Code, used_tokens: u64) {
    let cache = SessionCacheState {
        home: None,
        ..turn.cache.clone()
    };
    let request = PeerRequest::CommitTurn(commit_turn(turn, code, used_tokens, cache));
    // If this fails, the store closes the turn itself after its deadline.
    let _ = front
        .call_store(&turn.request.key, &request, &[], CLOSE_ROUNDS)
        .await;
}

/// A commit request that adds nothing to the history.
fn commit_turn(
    turn: &BegunTurn,
    code: Code,
    used_tokens: u64,
    cache: SessionCacheState,
) -> CommitTurn {
    CommitTurn {
        key: turn.request.key.clone(),
        request_id: turn.request.body.job.clone(),
        epoch: turn.epoch,
        nonce: turn.request.nonce,
        code,
        used_tokens,
        history_rule: turn.request.class.history,
        cache,
        history_bytes: 0,
    }
}
