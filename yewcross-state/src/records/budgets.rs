//! Budgets: reservations are made, settled, and audited when their proxy no longer reports.

use super::RecordStore;
use super::budget_record::{BudgetRecord, Reservation, budget_key};
use std::sync::Arc;
use yewcross_common::constants::{MS, PEER_REQUEST_TIMEOUT, RESERVATION_AUDIT_AGE_MS};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::ValueUpdate;

/// Attempts of a settlement in the background; the audit settles what they miss.
const SETTLE_ATTEMPTS: u32 = 4;
/// us. Backoff after the first attempt; it doubles with each.
const SETTLE_BACKOFF_US: u64 = 100 * MS;

/// What an audit learnt of a reservation.
enum AuditOutcome {
    /// Its turn is in flight, or a peer could not say.
    Pending,
    /// Its turn is over; `used` is None where nobody knows how many tokens it took.
    Finished { used: Option<u64> },
}

impl RecordStore {
    /// Reserves tokens while less than `limit` is spent and reserved, so that a budget is exceeded
    /// by one turn at most. An entry that is reserved already is confirmed; one that was settled is
    /// rejected as a conflict.
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

    /// Settles a reservation at `used` tokens, in full where the usage is unknown. Settling an entry
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

    /// Settles in the background. Until this is through, the reservation counts in full.
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

    /// Settles reservations that are older than `RESERVATION_AUDIT_AGE_MS` and whose turn is over: at the usage
    /// that the session's record tells, in full if it tells none.
    pub async fn audit(self: &Arc<Self>, budget: &str) {
        let Some(value) = self.registers.cached_value(&budget_key(budget)) else {
            return;
        };
        let now_ms = self.clock_ms();
        for (entry, reservation) in BudgetRecord::read(&value).open {
            if now_ms <= reservation.reserved_at_ms + RESERVATION_AUDIT_AGE_MS {
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
        let key = &reservation.session_key;
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
        // Never begun, as far as the record tells, and the record cannot have been forgotten
        // since: once the attempt is barred it never will begin.
        if used.is_none()
            && now_ms
                < reservation
                    .reserved_at_ms
                    .saturating_add(reservation.retain_ms)
        {
            return self.abort_unrecorded(reservation).await;
        }
        AuditOutcome::Finished { used }
    }

    /// Bars an attempt of which the session's record knows nothing.
    async fn abort_unrecorded(&self, reservation: &Reservation) -> AuditOutcome {
        let abort = PeerRequest::AbortTurn {
            key: reservation.session_key.clone(),
            request_id: reservation.request_id.clone(),
            nonce: reservation.nonce,
            budget: None,
        };
        match (self.route)(reservation.session_key.clone(), abort).await {
            Some(PeerResponse::Ok) => AuditOutcome::Finished { used: Some(0) },
            Some(PeerResponse::Rejected(Code::Conflict)) => AuditOutcome::Finished { used: None },
            _ => AuditOutcome::Pending,
        }
    }
}
