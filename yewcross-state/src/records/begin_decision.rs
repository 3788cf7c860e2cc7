//! Decides a request to begin a turn from the session's record: the turn begins, the stored outcome
//! of an earlier attempt is returned, or the request is rejected.

use super::record::{FinishedRequest, RunningTurn, SessionRecord};
use yewcross_common::constants::{DEADLINE_MAX_MS, MS, RETENTION_MAX_MS, RUN_GRACE};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{BeginTurn, TurnBegun};
use yewcross_common::register::ValueUpdate;

/// A turn that may be dispatched.
pub(super) struct Begun {
    pub(super) answer: TurnBegun,
    /// History of the session, before this turn.
    pub(super) history: Vec<u8>,
    /// An earlier turn that was past its deadline and has been closed.
    pub(super) closed: Option<RunningTurn>,
}

/// Result of a request to begin a turn.
pub(super) enum BeginDecision {
    /// The turn is in flight and may be dispatched.
    Begun(Box<Begun>),
    /// An earlier attempt of the request finished with this outcome.
    Stored {
        code: Code,
        outcome: String,
    },
    Rejected(Code),
}

/// Decides a request to begin a turn. `is_unreserved` means that the turn's budget holds no
/// reservation for it: the request may then be answered from the record, but the turn may not begin.
pub(super) fn decide_begin(
    begin: &BeginTurn,
    value: &[u8],
    now_ms: u64,
    is_unreserved: bool,
) -> ValueUpdate<BeginDecision> {
    let mut record = SessionRecord::read(value);
    if let Some(decision) = decide_from_earlier_attempts(begin, &record) {
        return ValueUpdate::Keep(decision);
    }
    let mut closed = None;
    if let Some(run) = &record.metadata.running {
        if let Some(code) = conflict(begin, run, now_ms) {
            return reject(code);
        }
        if is_same_attempt(begin, run) {
            // A repetition of the same attempt, whose response was lost.
            return ValueUpdate::Keep(begun_decision(record, None));
        }
        let is_same_request = run.request_id == begin.request_id;
        let reserved = run.max_output_tokens;
        closed = record.close(Code::MayHaveRun, reserved);
        if is_same_request {
            let decision = BeginDecision::Rejected(Code::MayHaveRun);
            return ValueUpdate::Write(record.write(), decision);
        }
    }
    if record.is_full() {
        return reject(Code::SessionFull);
    }
    if is_unreserved {
        return reject(Code::StoreAway);
    }
    start_turn(begin, &mut record, now_ms);
    ValueUpdate::Write(record.write(), begun_decision(record, closed))
}

fn reject(code: Code) -> ValueUpdate<BeginDecision> {
    ValueUpdate::Keep(BeginDecision::Rejected(code))
}

/// The answer to a request that has already finished, or to an attempt that was barred. `None` if
/// neither applies.
fn decide_from_earlier_attempts(
    begin: &BeginTurn,
    record: &SessionRecord,
) -> Option<BeginDecision> {
    if let Some(finished) = record.finished_request(&begin.request_id) {
        return Some(stored_outcome(begin, record, finished));
    }
    if record.metadata.barred.contains(&begin.nonce) {
        return Some(BeginDecision::Rejected(Code::StoreAway));
    }
    record
        .ran_before(&begin.request_id)
        .then_some(BeginDecision::Rejected(Code::Forgotten))
}

fn stored_outcome(
    begin: &BeginTurn,
    record: &SessionRecord,
    finished: &FinishedRequest,
) -> BeginDecision {
    if finished.digest != begin.digest {
        return BeginDecision::Rejected(Code::OtherBody);
    }
    if finished.code != Code::Done {
        return BeginDecision::Rejected(finished.code);
    }
    let mut retained = record.metadata.retained_outcomes.iter();
    match retained.find(|outcome| outcome.0 == begin.request_id) {
        Some((_, outcome)) => BeginDecision::Stored {
            code: finished.code,
            outcome: outcome.clone(),
        },
        None => BeginDecision::Rejected(Code::Forgotten),
    }
}

fn is_same_attempt(begin: &BeginTurn, run: &RunningTurn) -> bool {
    run.nonce == begin.nonce && run.request_id == begin.request_id
}

/// Why the turn in flight prevents this one from beginning. `None` if the request repeats the attempt
/// in flight, or if the turn in flight is past its deadline.
fn conflict(begin: &BeginTurn, run: &RunningTurn, now_ms: u64) -> Option<Code> {
    let is_same_request = run.request_id == begin.request_id;
    if is_same_request && run.digest != begin.digest {
        return Some(Code::OtherBody);
    }
    if is_same_attempt(begin, run) || now_ms >= run.deadline_ms {
        return None;
    }
    Some(if is_same_request {
        Code::StillRunning
    } else {
        Code::SessionBusy
    })
}

fn start_turn(begin: &BeginTurn, record: &mut SessionRecord, now_ms: u64) {
    let metadata = &mut record.metadata;
    metadata.epoch += 1;
    metadata.retention_start_ms = now_ms;
    metadata.retain_ms = begin.retain_ms.min(RETENTION_MAX_MS);
    metadata.running = Some(RunningTurn {
        request_id: begin.request_id.clone(),
        digest: begin.digest.clone(),
        nonce: begin.nonce,
        proxy: begin.front.clone(),
        deadline_ms: now_ms + begin.remaining_ms.min(DEADLINE_MAX_MS) + RUN_GRACE / MS,
        max_output_tokens: begin.max_output_tokens,
        budget: begin.budget.as_ref().map(|budget| budget.0.clone()),
    });
}

fn begun_decision(record: SessionRecord, closed: Option<RunningTurn>) -> BeginDecision {
    let answer = TurnBegun {
        epoch: record.metadata.epoch,
        cache: record.metadata.cache,
        history_bytes: record.history.len() as u64,
        history_complete: true,
    };
    BeginDecision::Begun(Box::new(Begun {
        answer,
        history: record.history,
        closed,
    }))
}
