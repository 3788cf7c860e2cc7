//! Counts what a turn used that was not stored, in the background.

use crate::constants::{SEC, SETTLEMENT_RETRY_PERIOD, STORE_RETRY_DELAY};
use crate::turn_log::OpenTurn;
use crate::turn_log::client::Inner;
use crate::turn_log::client::write::{TurnWrite, end_of_turn};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// Longest wait for a write quorum before all is considered anew, us.
const ATTEMPT_TIMEOUT_US: u64 = SEC;

/// Longest backoff between attempts, us, before its random part.
const MAX_BACKOFF_US: u64 = 2 * SEC;

/// Settles a turn unless disarmed: whatever becomes of the request, what was reserved for it does
/// not stay at its maximum.
pub(super) struct SettleOnDrop {
    inner: Arc<Inner>,
    open: Option<OpenTurn>,
    used_tokens: u64,
}

impl SettleOnDrop {
    pub(super) fn new(inner: &Arc<Inner>, open: &OpenTurn, used_tokens: u64) -> SettleOnDrop {
        SettleOnDrop {
            inner: inner.clone(),
            open: Some(open.clone()),
            used_tokens,
        }
    }

    pub(super) fn disarm(&mut self) {
        self.open = None;
    }
}

impl Drop for SettleOnDrop {
    fn drop(&mut self) {
        if let Some(open) = self.open.take() {
            self.inner.settle(open, self.used_tokens);
        }
    }
}

impl Inner {
    pub(super) fn settle(self: &Arc<Self>, open: OpenTurn, used_tokens: u64) {
        let mut cache = self.cache.lock().unwrap();
        cache.open_chains.pop(&open.turn);
        drop(cache);
        if !open.is_budgeted() {
            return;
        }
        self.counters.settlements.fetch_add(1, Relaxed);
        let inner = self.clone();
        self.stores
            .runtime
            .spawn(async move { inner.run_settlement(open, used_tokens).await });
    }

    async fn run_settlement(self: &Arc<Self>, open: OpenTurn, used_tokens: u64) {
        let runtime = &self.stores.runtime;
        let end_us = runtime.now() + SETTLEMENT_RETRY_PERIOD;
        let mut backoff_us = STORE_RETRY_DELAY;
        let mut written = BTreeSet::new();
        while runtime.now() < end_us {
            let write = TurnWrite {
                turn: None,
                ledger: Some(end_of_turn(&open, used_tokens, 0)),
                deadline_us: (runtime.now() + ATTEMPT_TIMEOUT_US).min(end_us),
            };
            let is_written = !self.write(&open, write, &mut written).await.is_empty();
            // The owner is notified, too, unless it is gone: until then it counts the turn at its
            // maximum.
            let owner = self
                .known_owner(&open.program)
                .filter(|disk| self.stores.is_alive(disk));
            if is_written && owner.is_none_or(|disk| written.contains(&disk)) {
                return;
            }
            if is_written {
                written.clear();
            }
            runtime
                .sleep(backoff_us + runtime.random() % backoff_us)
                .await;
            backoff_us = (backoff_us * 2).min(MAX_BACKOFF_US);
        }
        self.counters.abandoned_settlements.fetch_add(1, Relaxed);
    }
}
