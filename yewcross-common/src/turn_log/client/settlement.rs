//! Settlement: charges, in the background, the tokens used by a turn that was not stored.

use crate::constants::{SEC, SETTLEMENT_RETRY_PERIOD, STORE_RETRY_DELAY};
use crate::turn_log::OpenTurn;
use crate::turn_log::client::Inner;
use crate::turn_log::client::write::{TurnWrite, final_ledger_entry};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// Longest wait, in us, for a write quorum before the attempt is repeated with the current owner and
/// layout.
const ATTEMPT_TIMEOUT_US: u64 = SEC;

/// Upper bound, in us, of the backoff between attempts, without its random part.
const MAX_BACKOFF_US: u64 = 2 * SEC;

/// Settles a turn when dropped, unless disarmed. This also covers a cancelled request, so that the
/// turn's reservation does not stay charged at its maximum.
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
        let retry_until_us = runtime.now() + SETTLEMENT_RETRY_PERIOD;
        let mut backoff_us = STORE_RETRY_DELAY;
        let mut written = BTreeSet::new();
        while runtime.now() < retry_until_us {
            let write = TurnWrite {
                turn: None,
                ledger: Some(final_ledger_entry(&open, used_tokens, 0)),
                deadline_us: (runtime.now() + ATTEMPT_TIMEOUT_US).min(retry_until_us),
            };
            let is_written = !self.write(&open, write, &mut written).await.is_empty();
            // The owner must receive the entry, too, unless its node has failed: until then it charges
            // the turn at its maximum.
            let owner = self
                .cached_owner(&open.program)
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
