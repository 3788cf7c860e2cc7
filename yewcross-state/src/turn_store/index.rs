//! The turns and ledgers of one store, in memory.
//!
//! A turn is immutable. A turn that is indexed has all turns before it indexed, too, and they are
//! retained at least as long as it.

use crate::segment_log::{self, LogRecord, LogScan};
use crate::turn_store::ledger::Ledger;
use std::collections::HashMap;
use std::io;
use yewcross_common::hash::hash_128;
use yewcross_common::runtime::Runtime;
use yewcross_common::turn_log::StoredTurn;

/// A turn on this disk.
pub struct IndexedTurn {
    pub stored: StoredTurn,
    /// End of its retention, in ms of the cluster's median clock: the latest of its own and of
    /// those of the turns after it.
    pub retained_until_ms: u64,
    /// The newest segment of the log that holds it.
    newest_segment: u64,
}

/// The end of a chain, as far as this store has it.
pub struct IndexedHistory {
    /// Newest first.
    pub turns: Vec<StoredTurn>,
    /// The first turn that is not here; empty where the chain is complete.
    pub missing: String,
}

/// All turns and ledgers of one store.
#[derive(Default)]
pub struct TurnIndex {
    /// By the hash of their id.
    pub turns: HashMap<u128, IndexedTurn>,
    /// By program.
    pub ledgers: HashMap<String, Ledger>,
    /// Bytes of the turns.
    pub(crate) turn_bytes: usize,
}

impl TurnIndex {
    /// Reads all that the disk's log holds.
    pub async fn load(runtime: &Runtime) -> io::Result<(TurnIndex, LogScan)> {
        let mut index = TurnIndex::default();
        let scan =
            segment_log::read(runtime, |record, segment| index.apply(record, segment)).await?;
        // A turn may stand in the log behind one that continues it.
        let ends: Vec<(String, u64)> = index
            .turns
            .values()
            .map(|indexed| (indexed.stored.turn.prev.clone(), indexed.retained_until_ms))
            .collect();
        for (prev, until_ms) in &ends {
            index.extend_retention(prev, *until_ms);
        }
        Ok((index, scan))
    }

    /// The turn of this id.
    pub fn get(&self, id: &str) -> Option<&IndexedTurn> {
        self.turns
            .get(&hash_128(id.as_bytes()))
            .filter(|indexed| indexed.stored.turn.id == id)
    }

    /// Takes in a record that is in this segment of the log.
    pub fn apply(&mut self, record: &LogRecord, segment: u64) {
        match record {
            LogRecord::Turn(stored) => self.apply_turn(stored, segment),
            LogRecord::Ledger {
                record,
                changed_at_ms,
            } => {
                let ledger = self.ledgers.entry(record.program.clone()).or_default();
                ledger.promised = ledger.promised.max(record.epoch);
                ledger.merge(&record.entries, *changed_at_ms, record.retain_ms);
                ledger.oldest_segment = ledger.oldest_segment.min(segment);
            }
            LogRecord::Torn(_) => {}
        }
    }

    fn apply_turn(&mut self, stored: &StoredTurn, segment: u64) {
        let retained_until_ms = stored.ended_at_ms + stored.turn.retain_ms;
        let indexed = self
            .turns
            .entry(hash_128(stored.turn.id.as_bytes()))
            .or_insert_with(|| {
                self.turn_bytes += stored.bytes();
                IndexedTurn {
                    stored: stored.clone(),
                    retained_until_ms,
                    newest_segment: segment,
                }
            });
        indexed.newest_segment = indexed.newest_segment.max(segment);
        self.extend_retention(&stored.turn.prev, retained_until_ms);
    }

    /// A turn's predecessors are retained as long as the turn.
    fn extend_retention(&mut self, prev: &str, until_ms: u64) {
        let mut id = prev.to_string();
        while let Some(indexed) = self
            .turns
            .get_mut(&hash_128(id.as_bytes()))
            .filter(|indexed| indexed.retained_until_ms < until_ms)
        {
            indexed.retained_until_ms = until_ms;
            id = indexed.stored.turn.prev.clone();
        }
    }

    /// The chain that ends in `id`, back to the first turn that is not here.
    pub fn history(&self, id: &str) -> IndexedHistory {
        let mut turns = vec![];
        let mut missing = id.to_string();
        while let Some(indexed) = self.get(&missing).filter(|_| !missing.is_empty()) {
            missing = indexed.stored.turn.prev.clone();
            turns.push(indexed.stored.clone());
        }
        IndexedHistory { turns, missing }
    }

    /// Whether the segment, or one before it, holds anything that is still indexed.
    pub(crate) fn needs_segment(&self, segment: u64) -> bool {
        self.turns
            .values()
            .any(|indexed| indexed.newest_segment <= segment)
            || self
                .ledgers
                .values()
                .any(|ledger| ledger.oldest_segment <= segment)
    }

    /// The records that the segment is needed for, which the caller must append again at once: from
    /// here on the ledgers among them count as needing no segment.
    pub(crate) fn take_segment(&mut self, segment: u64) -> Vec<LogRecord> {
        let mut records: Vec<LogRecord> = self
            .turns
            .values()
            .filter(|indexed| indexed.newest_segment <= segment)
            .map(|indexed| LogRecord::Turn(indexed.stored.clone()))
            .collect();
        for (program, ledger) in &mut self.ledgers {
            if ledger.oldest_segment <= segment {
                ledger.oldest_segment = u64::MAX;
                records.push(LogRecord::Ledger {
                    record: ledger.to_record(program),
                    changed_at_ms: ledger.changed_at_ms,
                });
            }
        }
        records
    }

    /// Bytes of the turns and the ledgers.
    pub(super) fn memory_bytes(&self) -> usize {
        self.turn_bytes
            + self
                .ledgers
                .values()
                .map(Ledger::memory_bytes)
                .sum::<usize>()
    }
}
