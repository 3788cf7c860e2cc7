//! Removes turns and ledgers whose retention period has ended, and triggers compaction of the log.

use crate::turn_store::TurnStore;
use crate::turn_store::index::TurnIndex;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{EXPIRY_INTERVAL, RETENTION_MARGIN_MS, RETENTION_MARGIN_SHORT_MS};

impl TurnIndex {
    /// Removes turns and ledgers whose retention period ended more than `margin_ms` ago.
    fn expire(&mut self, now_ms: u64, margin_ms: u64) {
        let turn_bytes = &mut self.turn_bytes;
        self.turns.retain(|_, indexed| {
            let is_retained = indexed.retained_until_ms + margin_ms >= now_ms;
            if !is_retained {
                *turn_bytes -= indexed.stored.bytes();
            }
            is_retained
        });
        self.ledgers
            .retain(|_, ledger| ledger.is_retained(now_ms, margin_ms));
    }
}

impl TurnStore {
    /// Expires the index and compacts the log every `EXPIRY_INTERVAL`. Nothing expires while the
    /// cluster's clock is uncertain.
    pub(super) async fn run_expiry(self: Arc<Self>) {
        loop {
            self.runtime.sleep(EXPIRY_INTERVAL).await;
            let (now_ms, is_clock_certain) = self.stores.members.clock();
            if is_clock_certain {
                let programs = self.expire_index(now_ms);
                self.remove_ownership(&programs);
            }
            if !self.storage.failed.load(SeqCst) {
                self.compact().await;
            }
        }
    }

    /// Expires the index. Returns the programs whose ledger this store has owned and whose ledger is
    /// no longer in the index.
    fn expire_index(&self, now_ms: u64) -> Vec<String> {
        let mut index = self.index.lock().unwrap();
        let is_memory_short = index.memory_bytes() > self.turn_bytes_limit / 2;
        let margin_ms = if is_memory_short {
            RETENTION_MARGIN_SHORT_MS
        } else {
            RETENTION_MARGIN_MS
        };
        index.expire(now_ms, margin_ms);
        self.owned_ledgers
            .lock()
            .unwrap()
            .keys()
            .filter(|program| !index.ledgers.contains_key(*program))
            .cloned()
            .collect()
    }

    /// Removes the ownership entries of these programs, except those that a reservation in flight
    /// still references.
    fn remove_ownership(&self, programs: &[String]) {
        let mut owned_ledgers = self.owned_ledgers.lock().unwrap();
        for program in programs {
            if owned_ledgers
                .get(program)
                .is_some_and(|owned| Arc::strong_count(owned) == 1)
            {
                owned_ledgers.remove(program);
            }
        }
    }
}
