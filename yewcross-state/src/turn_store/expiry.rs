//! Drops turns and ledgers whose retention has ended, and has the log compacted.

use crate::turn_store::TurnStore;
use crate::turn_store::index::TurnIndex;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{EXPIRY_INTERVAL, RETENTION_MARGIN_MS, RETENTION_MARGIN_SHORT_MS};

impl TurnIndex {
    /// Drops what has been out of its retention for more than the margin.
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
    /// Expires and compacts, again and again.
    pub(super) async fn run_expiry(self: Arc<Self>) {
        loop {
            self.runtime.sleep(EXPIRY_INTERVAL).await;
            let (now_ms, is_clock_certain) = self.stores.members.clock();
            if is_clock_certain {
                let programs = self.expire_index(now_ms);
                self.forget_ownership(&programs);
            }
            if !self.storage.failed.load(SeqCst) {
                self.compact().await;
            }
        }
    }

    /// Returns the programs that this store has been an owner of, and that have no ledger any more.
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

    /// A reservation in flight shares its program's entry, which then stays.
    fn forget_ownership(&self, programs: &[String]) {
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
