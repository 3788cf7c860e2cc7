//! Operations on budgets: reserving, settling, and auditing reservations that their proxy has not
//! settled.

use super::RecordStore;
use super::budget_record::{BudgetRecord, Reservation, budget_key};
use std::sync::Arc;
use yewcross_common::constants::{MS, PEER_REQUEST_TIMEOUT, RESERVATION_AUDIT_AGE_MS};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::ValueUpdate;

/// Maximum number of attempts to settle a reservation in the background. If all fail, the audit
/// settles it.
const SETTLE_ATTEMPTS: u32 = 4;
/// Backoff after the first attempt, us. It doubles with each further attempt.
const SETTLE_BACKOFF_US: u64 = 100 * MS;

/// Result of auditing a reservation.
enum AuditOutcome {
    /// The turn is in flight, or its state could not be determined.
    Pending,
    /// The turn has finished; `used` is `None` if the number of tokens used is unknown.
    Finished { used: Option<u64> },
}

impl RecordStore {
    /// Reserves tokens if the sum of the tokens spent and reserved is below `limit`, so that a budget
    /// is exceeded by one turn at most. Reserving an entry again succeeds without a change; an entry
    /// that has been settled is rejected as a conflict.
    pub async fn reserve(
        &self,
        budget: &str,
        entry: &str,
        reservation: Reservation,
        limit: u64,
    ) -> PeerResponse {
        let changed = self
            .registers
            .change(&budget_key(budget), PEER_REQUEST_TIMEOUT, |_, value| {
                let mut record = BudgetRecord::read(value);
                if record.open.contains_key(entry) {
                    return ValueUpdate::Keep(PeerResponse::Ok);
                }
                if record.settled.iter().any(|settled| settled == entry) {
                    return ValueUpdate::Keep(PeerResponse::Rejected(Code::Conflict));
                }
                if record.committed_tokens() >= limit {
                    return ValueUpdate::Keep(PeerResponse::Rejected(Code::BudgetSpent));
                }
                record.open.insert(entry.into(), reservation.clone());
                ValueUpdate::Write(record.write(), PeerResponse::Ok)
            })
            .await;
        changed.unwrap_or(PeerResponse::Rejected(Code::StoreAway))
    }

    /// Settles a reservation at `used` tokens, or in full if the usage is unknown. Settling an entry
    /// that is not reserved changes nothing.
    pub async fn settle(&self, budget: &str, entry: &str, used: Option<u64>) -> PeerResponse {
        let changed = self
            .registers
            .change(&budget_key(budget), PEER_REQUEST_TIMEOUT, |_, value| {
                let mut record = BudgetRecord::read(value);
                if record.settle(entry, used) {
                    ValueUpdate::Write(record.write(), ())
                } else {
                    ValueUpdate::Keep(())
                }
            })
            .await;
        match changed {
            Ok(()) => PeerResponse::Ok,
            Err(_) => PeerResponse::Rejected(Code::Undecided),
        }
    }

    /// Settles a reservation in the background. Until it is settled, the reservation counts in full.
    pub(super) fn settle_in_background(
        self: &Arc<Self>,
        budget: &str,
        entry: String,
        used: Option<u64>,
    ) {
        let (store, budget) = (self.clone(), budget.to_string());
        self.runtime.spawn(async move {
            let request = PeerRequest::SettleBudget {
                budget: budget.clone(),
                entry,
                used,
            };
            for attempt in 0..SETTLE_ATTEMPTS {
                let answer = (store.route)(budget_key(&budget), request.clone()).await;
                if let Some(PeerResponse::Ok) = answer {
                    return;
                }
                store.runtime.sleep(SETTLE_BACKOFF_US << attempt).await;
            }
        });
    }

    /// Settles the reservations that are older than `RESERVATION_AUDIT_AGE_MS` and whose turn has
    /// finished: at the usage in the session's record, or in full if the record has none.
    pub async fn audit(self: &Arc<Self>, budget: &str) {
        let Some(value) = self.registers.cached_value(&budget_key(budget)) else {
            return;
        };
        let now_ms = self.clock_ms();
        for (entry, reservation) in BudgetRecord::read(&value).open {
            if now_ms <= reservation.at + RESERVATION_AUDIT_AGE_MS {
                continue;
            }
            if let AuditOutcome::Finished { used } =
                self.audit_reservation(&reservation, now_ms).await
            {
                self.settle(budget, &entry, used).await;
            }
        }
    }

    async fn audit_reservation(&self, reservation: &Reservation, now_ms: u64) -> AuditOutcome {
        let key = &reservation.key;
        let inspect = PeerRequest::InspectSession { key: key.clone() };
        let answer = (self.route)(key.clone(), inspect).await;
        let Some(PeerResponse::SessionReservations { open, done }) = answer else {
            return AuditOutcome::Pending;
        };
        let is_audited = |request_id: &str, nonce: u64| {
            request_id == reservation.request_id && nonce == reservation.nonce
        };
        if open.iter().any(|turn| is_audited(&turn.0, turn.1)) {
            return AuditOutcome::Pending;
        }
        let finished = done.iter().find(|turn| is_audited(&turn.0, turn.1));
        let used = finished.map(|turn| turn.2);
        // The record does not contain the attempt, and cannot have expired since the reservation was
        // made. The attempt never began, and cannot begin once it is barred.
        if used.is_none() && now_ms < reservation.at.saturating_add(reservation.session_retain_ms) {
            return self.abort_unrecorded(reservation).await;
        }
        AuditOutcome::Finished { used }
    }

    /// Bars an attempt that the session's record does not contain.
    async fn abort_unrecorded(&self, reservation: &Reservation) -> AuditOutcome {
        let abort = PeerRequest::AbortTurn {
            key: reservation.key.clone(),
            request_id: reservation.request_id.clone(),
            nonce: reservation.nonce,
            budget: None,
        };
        match (self.route)(reservation.key.clone(), abort).await {
            Some(PeerResponse::Ok) => AuditOutcome::Finished { used: Some(0) },
            Some(PeerResponse::Rejected(Code::Conflict)) => AuditOutcome::Finished { used: None },
            _ => AuditOutcome::Pending,
        }
    }
}
