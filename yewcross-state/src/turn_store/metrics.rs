//! Metrics of a store's work on the turn log.

use crate::turn_store::TurnStore;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Event counters since the start of the process.
#[derive(Default, Debug)]
pub(crate) struct TurnStoreCounters {
    /// Batches written to the log.
    pub(crate) batches: AtomicU64,
    /// Records written in these batches.
    pub(crate) records: AtomicU64,
    /// Requests to open a turn.
    pub(crate) opens: AtomicU64,
    /// Attempts to acquire the ownership of a ledger.
    pub(crate) acquisitions: AtomicU64,
    /// Reservations replicated by this store as the ledger's owner.
    pub(crate) reservations: AtomicU64,
    /// Requests to store turns or ledgers.
    pub(crate) writes: AtomicU64,
    /// Histories requested from other stores.
    pub(crate) lookups: AtomicU64,
    /// Requests rejected because their epoch is not the one that this store has promised.
    pub(crate) stale_epochs: AtomicU64,
    /// Turn ends forwarded to the ledger's actual owner.
    pub(crate) forwarded: AtomicU64,
    /// Requests rejected because of overload.
    pub(crate) overloaded: AtomicU64,
    /// Records transferred to other disks.
    pub(crate) transferred: AtomicU64,
    /// Segments compacted.
    pub(crate) compacted: AtomicU64,
    /// Torn segment ends found at startup.
    pub(crate) torn: AtomicU64,
}

impl TurnStore {
    /// Metrics by name: event counters and the sizes of the index and the log.
    pub fn metrics(&self) -> BTreeMap<&'static str, u64> {
        let (turns, turn_bytes, programs) = {
            let index = self.index.lock().unwrap();
            (
                index.turns.len() as u64,
                index.turn_bytes as u64,
                index.ledgers.len() as u64,
            )
        };
        let log_bytes = self.log.lock().unwrap().segment_bytes.values().sum();
        let counters = &self.counters;
        [
            ("turns", turns),
            ("turn_bytes", turn_bytes),
            ("programs", programs),
            ("log_bytes", log_bytes),
            ("batches", counters.batches.load(Relaxed)),
            ("items", counters.records.load(Relaxed)),
            ("opens", counters.opens.load(Relaxed)),
            ("taken", counters.acquisitions.load(Relaxed)),
            ("adds", counters.reservations.load(Relaxed)),
            ("writes", counters.writes.load(Relaxed)),
            ("lookups", counters.lookups.load(Relaxed)),
            ("refused", counters.stale_epochs.load(Relaxed)),
            ("passed", counters.forwarded.load(Relaxed)),
            ("busy", counters.overloaded.load(Relaxed)),
            ("pushed", counters.transferred.load(Relaxed)),
            ("compacted", counters.compacted.load(Relaxed)),
            ("torn", counters.torn.load(Relaxed)),
            ("left", self.under_replicated.load(Relaxed)),
            ("doubt", self.recovery_pending.load(Relaxed) as u64),
        ]
        .into()
    }
}
