//! Operations on sessions: beginning, committing and aborting turns; ending and expiring sessions.

use super::RecordStore;
use super::begin_decision::{BeginDecision, Begun, decide_begin};
use super::budget_record::budget_key;
use super::record::SessionRecord;
use std::sync::Arc;
use yewcross_common::constants::{
    BARRED_ATTEMPT_RETENTION_MS, PEER_REQUEST_TIMEOUT, RETAINED_OUTCOMES,
};
use yewcross_common::error_code::Code;
use yewcross_common::hash::content_digest;
use yewcross_common::protocol::{
    BeginTurn, CommitTurn, PeerRequest, PeerResponse, SessionCacheState,
};
use yewcross_common::register::{ChangeError, ValueUpdate};

/// Result of a request to commit a turn.
enum CommitDecision {
    /// The turn is in the record. `budget` is set only if this change added the turn, and its
    /// reservation therefore has to be settled.
    Committed { budget: Option<String> },
    /// Another attempt or another outcome is in the record, or the turn is no longer in flight.
    Conflict,
}

/// Name of an attempt's reservation in its budget.
fn reservation_entry(key: &str, request_id: &str, nonce: u64) -> String {
    format!("{key}|{request_id}|{nonce}")
}

/// Name of the reservation for the attempt that a begin request describes.
fn begin_entry(begin: &BeginTurn) -> String {
    reservation_entry(&begin.key, &begin.request_id, begin.nonce)
}

/// The response to a request whose change failed. Only an undecided change may have taken effect.
fn change_rejection(error: ChangeError) -> PeerResponse {
    PeerResponse::Rejected(match error {
        ChangeError::NotApplied | ChangeError::NotProposer => Code::StoreAway,
        ChangeError::Undecided => Code::Undecided,
    })
}

impl RecordStore {
    /// Begins a turn after reserving its tokens in its budget. The blob of the response is the
    /// history, or a stored outcome.
    pub async fn begin(self: &Arc<Self>, begin: BeginTurn) -> (PeerResponse, Vec<u8>) {
        let reserved = match self.reserve_for(&begin).await {
            Ok(reserved) => reserved,
            Err(code) => return (PeerResponse::Rejected(code), vec![]),
        };
        let now_ms = self.clock_ms();
        let is_unreserved = begin.budget.is_some() && reserved.is_none();
        let decided = self
            .registers
            .change(&begin.key, PEER_REQUEST_TIMEOUT, |_, value| {
                decide_begin(&begin, value, now_ms, is_unreserved)
            })
            .await;
        match decided {
            Ok(BeginDecision::Begun(begun)) => self.answer_begun(&begin, *begun),
            Ok(BeginDecision::Stored { code, outcome }) => {
                self.release_reservation(reserved, &begin);
                (PeerResponse::StoredOutcome { code }, outcome.into_bytes())
            }
            // The proxy may repeat this attempt, so its reservation is kept until the attempt is
            // barred.
            Ok(BeginDecision::Rejected(Code::StoreAway)) => {
                (PeerResponse::Rejected(Code::StoreAway), vec![])
            }
            Ok(BeginDecision::Rejected(code)) => {
                self.release_reservation(reserved, &begin);
                (PeerResponse::Rejected(code), vec![])
            }
            Err(error) => (change_rejection(error), vec![]),
        }
    }

    /// Reserves a turn's tokens. Returns the name of the budget, or `None` if nothing was reserved.
    async fn reserve_for(&self, begin: &BeginTurn) -> Result<Option<String>, Code> {
        let is_unnecessary = self.is_rejected_by_cached_record(begin);
        let Some((budget, limit)) = begin.budget.clone().filter(|_| !is_unnecessary) else {
            return Ok(None);
        };
        let request = PeerRequest::ReserveBudget {
            budget: budget.clone(),
            entry: begin_entry(begin),
            amount: begin.max_output_tokens,
            limit,
            key: begin.key.clone(),
            request_id: begin.request_id.clone(),
            nonce: begin.nonce,
            retain_ms: begin.retain_ms,
        };
        match (self.route)(budget_key(&budget), request).await {
            Some(PeerResponse::Ok) => Ok(Some(budget)),
            // The reservation was already settled: this attempt may be answered from the record, but
            // must not begin.
            Some(PeerResponse::Rejected(Code::Conflict)) => Ok(None),
            Some(PeerResponse::Rejected(code)) => Err(code),
            _ => Err(Code::StoreAway),
        }
    }

    /// Whether the locally cached record shows that the turn will not begin, so that no reservation
    /// is necessary.
    fn is_rejected_by_cached_record(&self, begin: &BeginTurn) -> bool {
        let Some(value) = self.registers.cached_value(&begin.key) else {
            return false;
        };
        let record = SessionRecord::read(&value);
        record.finished_request(&begin.request_id).is_some()
            || record
                .metadata
                .running
                .is_some_and(|run| self.clock_ms() < run.deadline_ms)
    }

    /// Settles the reservation of a closed turn in the background. Omits the history from the response
    /// if the proxy already has it.
    fn answer_begun(self: &Arc<Self>, begin: &BeginTurn, begun: Begun) -> (PeerResponse, Vec<u8>) {
        if let Some(closed) = begun.closed
            && let Some(budget) = closed.budget
        {
            let entry = reservation_entry(&begin.key, &closed.request_id, closed.nonce);
            self.settle_in_background(&budget, entry, None);
        }
        let is_history_known = begin.known_history.as_ref().is_some_and(|(bytes, digest)| {
            *bytes == begun.history.len() as u64 && *digest == content_digest(&begun.history)
        });
        let mut answer = begun.answer;
        answer.history_complete = !is_history_known;
        let blob = if is_history_known {
            vec![]
        } else {
            begun.history
        };
        (PeerResponse::TurnBegun(answer), blob)
    }

    /// Releases the reservation of a turn that did not begin.
    fn release_reservation(self: &Arc<Self>, reserved: Option<String>, begin: &BeginTurn) {
        if let Some(budget) = reserved {
            self.settle_in_background(&budget, begin_entry(begin), Some(0));
        }
    }

    /// Commits a turn: adds its history and outcome to the record and charges its usage to the
    /// budget. Committing it again with the same outcome changes nothing.
    pub async fn commit(self: &Arc<Self>, commit: CommitTurn, blob: Vec<u8>) -> PeerResponse {
        let history_bytes = (commit.history_bytes as usize).min(blob.len());
        let (history, outcome) = blob.split_at(history_bytes);
        let outcome = String::from_utf8_lossy(outcome);
        let decided = self
            .registers
            .change(&commit.key, PEER_REQUEST_TIMEOUT, |_, value| {
                decide_commit(&commit, history, &outcome, value)
            })
            .await;
        match decided {
            Ok(CommitDecision::Committed { budget }) => {
                if let Some(budget) = budget {
                    let entry = reservation_entry(&commit.key, &commit.request_id, commit.nonce);
                    self.settle_in_background(&budget, entry, Some(commit.used_tokens));
                }
                PeerResponse::Committed
            }
            Ok(CommitDecision::Conflict) => PeerResponse::Rejected(Code::MayHaveRun),
            Err(error) => change_rejection(error),
        }
    }

    /// Bars an attempt that will not be dispatched: the turn is treated as not begun, and the attempt
    /// can never begin afterwards. Its reservation is released only once the attempt is barred.
    pub async fn abort(
        self: &Arc<Self>,
        key: &str,
        request_id: &str,
        nonce: u64,
        budget: Option<String>,
    ) -> PeerResponse {
        let now_ms = self.clock_ms();
        let is_barred = self
            .registers
            .change(key, PEER_REQUEST_TIMEOUT, |_, value| {
                decide_abort(request_id, nonce, now_ms, value)
            })
            .await;
        match is_barred {
            Ok(true) => {
                if let Some(budget) = budget {
                    let entry = reservation_entry(key, request_id, nonce);
                    self.settle_in_background(&budget, entry, Some(0));
                }
                PeerResponse::Ok
            }
            Ok(false) => PeerResponse::Rejected(Code::Conflict),
            Err(_) => PeerResponse::Rejected(Code::Undecided),
        }
    }

    /// Records where the session's prefix is cached, unless a turn has begun since `epoch`.
    pub async fn record_cache_state(
        &self,
        key: &str,
        epoch: u64,
        cache: SessionCacheState,
    ) -> PeerResponse {
        let is_current = self
            .registers
            .change(key, PEER_REQUEST_TIMEOUT, |_, value| {
                let mut record = SessionRecord::read(value);
                if record.metadata.epoch != epoch || record.metadata.cache == cache {
                    return ValueUpdate::Keep(record.metadata.epoch == epoch);
                }
                record.metadata.cache = cache.clone();
                ValueUpdate::Write(record.write(), true)
            })
            .await;
        if is_current == Ok(true) {
            PeerResponse::Ok
        } else {
            PeerResponse::Rejected(Code::Conflict)
        }
    }

    /// Ends the session: removes the history and the cache state, and keeps finished requests and
    /// retained outcomes.
    pub async fn end_session(&self, key: &str) -> PeerResponse {
        let ended = self
            .registers
            .change(key, PEER_REQUEST_TIMEOUT, |_, value| decide_end(value))
            .await;
        match ended {
            Ok(Ok(cache)) => PeerResponse::SessionEnded { cache },
            Ok(Err(code)) => PeerResponse::Rejected(code),
            Err(error) => change_rejection(error),
        }
    }

    /// Whether a stored session's retention period has ended. A session does not expire while a turn
    /// is in flight, or while too few clocks are known for the cluster's time to be certain.
    pub fn is_expired(&self, value: &[u8]) -> bool {
        let metadata = SessionRecord::read(value).metadata;
        let (now_ms, is_clock_certain) = self.members.clock();
        metadata.retain_ms > 0
            && metadata.running.is_none()
            && is_clock_certain
            && now_ms > metadata.retention_start_ms + metadata.retain_ms
    }

    /// Erases a session whose retention period has ended.
    pub async fn expire_session(&self, key: &str) -> PeerResponse {
        let is_erased = self.registers.erase(key, |value| self.is_expired(value));
        if is_erased.await {
            PeerResponse::Ok
        } else {
            PeerResponse::Rejected(Code::Undecided)
        }
    }

    /// Returns the session's turns in flight and finished turns. A turn past its deadline is closed
    /// first.
    pub async fn inspect_session(&self, key: &str) -> PeerResponse {
        let now_ms = self.clock_ms();
        let inspected = self
            .registers
            .change(key, PEER_REQUEST_TIMEOUT, |_, value| {
                decide_inspect(now_ms, value)
            })
            .await;
        inspected.unwrap_or(PeerResponse::Rejected(Code::StoreAway))
    }
}

/// Adds the turn to the record if it is the one in flight.
fn decide_commit(
    commit: &CommitTurn,
    history: &[u8],
    outcome: &str,
    value: &[u8],
) -> ValueUpdate<CommitDecision> {
    let mut record = SessionRecord::read(value);
    if let Some(finished) = record.finished_request(&commit.request_id) {
        let is_same = finished.nonce == commit.nonce && finished.code == commit.code;
        return ValueUpdate::Keep(if is_same {
            CommitDecision::Committed { budget: None }
        } else {
            CommitDecision::Conflict
        });
    }
    let is_in_flight = record
        .metadata
        .running
        .as_ref()
        .is_some_and(|run| run.nonce == commit.nonce && run.request_id == commit.request_id);
    if record.metadata.epoch != commit.epoch || !is_in_flight {
        return ValueUpdate::Keep(CommitDecision::Conflict);
    }
    let closed = record.close(commit.code, commit.used_tokens);
    record.history.extend(history);
    commit.history_rule.trim(&mut record.history);
    if !outcome.is_empty() {
        let retained = &mut record.metadata.retained_outcomes;
        retained.push_back((commit.request_id.clone(), outcome.into()));
        while retained.len() > RETAINED_OUTCOMES {
            retained.pop_front();
        }
    }
    record.metadata.cache = commit.cache.clone();
    let budget = closed.and_then(|run| run.budget);
    ValueUpdate::Write(record.write(), CommitDecision::Committed { budget })
}

/// Bars an attempt. Returns whether it is barred: an attempt that has finished, or whose request
/// finished earlier, cannot be barred.
fn decide_abort(request_id: &str, nonce: u64, now_ms: u64, value: &[u8]) -> ValueUpdate<bool> {
    let mut record = SessionRecord::read(value);
    let is_attempt_finished = record
        .metadata
        .finished
        .iter()
        .any(|finished| finished.request_id == request_id && finished.nonce == nonce);
    if is_attempt_finished || record.ran_before(request_id) {
        return ValueUpdate::Keep(false);
    }
    if record.metadata.barred.contains(&nonce) {
        return ValueUpdate::Keep(true);
    }
    record
        .metadata
        .running
        .take_if(|run| run.request_id == request_id && run.nonce == nonce);
    record.bar_attempt(nonce);
    if record.metadata.retain_ms == 0 {
        record.metadata.retention_start_ms = now_ms;
        record.metadata.retain_ms = BARRED_ATTEMPT_RETENTION_MS;
    }
    ValueUpdate::Write(record.write(), true)
}

/// Returns the cache state that the session had, or an error if a turn is in flight.
fn decide_end(value: &[u8]) -> ValueUpdate<Result<SessionCacheState, Code>> {
    let mut record = SessionRecord::read(value);
    if record.metadata.running.is_some() {
        return ValueUpdate::Keep(Err(Code::SessionBusy));
    }
    let cache = std::mem::take(&mut record.metadata.cache);
    let is_already_ended = record.history.is_empty() && cache == SessionCacheState::default();
    if value.is_empty() || is_already_ended {
        return ValueUpdate::Keep(Ok(cache));
    }
    record.history.clear();
    record.metadata.epoch += 1;
    ValueUpdate::Write(record.write(), Ok(cache))
}

/// Lists the turn in flight and the finished turns; closes a turn that is past its deadline.
fn decide_inspect(now_ms: u64, value: &[u8]) -> ValueUpdate<PeerResponse> {
    let mut record = SessionRecord::read(value);
    let overdue = record
        .metadata
        .running
        .as_ref()
        .filter(|run| now_ms > run.deadline_ms);
    let tokens_of_overdue = overdue.map(|run| run.max_output_tokens);
    if let Some(reserved) = tokens_of_overdue {
        record.close(Code::MayHaveRun, reserved);
    }
    let in_flight = record.metadata.running.iter();
    let finished = record.metadata.finished.iter();
    let answer = PeerResponse::SessionReservations {
        open: in_flight
            .map(|run| (run.request_id.clone(), run.nonce))
            .collect(),
        done: finished
            .map(|finished| (finished.request_id.clone(), finished.nonce, finished.used))
            .collect(),
    };
    if tokens_of_overdue.is_some() {
        ValueUpdate::Write(record.write(), answer)
    } else {
        ValueUpdate::Keep(answer)
    }
}
