//! In-memory index of the turns and ledgers of one store.
//!
//! A turn is immutable. All predecessors of an indexed turn are indexed as well, and are retained at
//! least as long as the turn itself.

use crate::segment_log::{self, LogRecord, LogScan};
use crate::turn_store::history_limit::HistoryLimit;
use crate::turn_store::ledger::Ledger;
use std::collections::HashMap;
use std::io;
use yewcross_common::hash::hash_128;
use yewcross_common::runtime::Runtime;
use yewcross_common::turn_log::StoredTurn;

/// A turn that is durable on this disk.
pub struct IndexedTurn {
    pub stored: StoredTurn,
    /// End of the turn's retention period, in ms of the cluster's median clock: the latest end
    /// among its own and those of its successors.
    pub retained_until_ms: u64,
    /// The newest log segment that contains the turn.
    newest_segment: u64,
}

/// The end of a chain, as far as this store holds it and as it was asked for.
pub struct IndexedHistory {
    /// Newest first.
    pub turns: Vec<StoredTurn>,
    /// Id of the turn before them; empty if the chain is complete.
    pub next: String,
    /// Whether this store holds the turn before them.
    pub holds_next: bool,
}

/// All turns and ledgers of one store.
#[derive(Default)]
pub struct TurnIndex {
    /// Turns by the hash of their id.
    pub turns: HashMap<u128, IndexedTurn>,
    /// Ledgers by program.
    pub ledgers: HashMap<String, Ledger>,
    /// Total size of the turns in bytes.
    pub(crate) turn_bytes: usize,
}

impl TurnIndex {
    /// Builds the index from all records of the log on this disk.
    pub async fn load(runtime: &Runtime) -> io::Result<(TurnIndex, LogScan)> {
        let mut index = TurnIndex::default();
        let scan =
            segment_log::read(runtime, |record, segment| index.apply(record, segment)).await?;
        // The log may contain a turn after one of its successors.
        let retention_ends: Vec<(String, u64)> = index
            .turns
            .values()
            .map(|indexed| (indexed.stored.turn.prev.clone(), indexed.retained_until_ms))
            .collect();
        for (prev, until_ms) in &retention_ends {
            index.extend_retention(prev, *until_ms);
        }
        Ok((index, scan))
    }

    /// The turn with this id. Compares the id itself, as the index is keyed by its hash.
    pub fn get(&self, id: &str) -> Option<&IndexedTurn> {
        self.turns
            .get(&hash_128(id.as_bytes()))
            .filter(|indexed| indexed.stored.turn.id == id)
    }

    /// Adds a record from this segment of the log to the index.
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

    /// Extends the retention of the turn `prev` and its predecessors to at least `until_ms`.
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

    /// The chain that ends in `id`, back to the first turn that this store does not hold, or that would
    /// not fit into `limit`.
    pub fn history(&self, id: &str, limit: HistoryLimit) -> IndexedHistory {
        let mut history = IndexedHistory {
            turns: vec![],
            next: id.to_string(),
            holds_next: false,
        };
        let mut bytes = 0;
        while let Some(indexed) = self.get(&history.next).filter(|_| !history.next.is_empty()) {
            bytes += indexed.stored.bytes();
            if !limit.admits(history.turns.len(), bytes) {
                history.holds_next = true;
                break;
            }
            history.next = indexed.stored.turn.prev.clone();
            history.turns.push(indexed.stored.clone());
        }
        history
    }

    /// Whether this or an older segment contains a record that is still indexed.
    pub(crate) fn needs_segment(&self, segment: u64) -> bool {
        self.turns
            .values()
            .any(|indexed| indexed.newest_segment <= segment)
            || self
                .ledgers
                .values()
                .any(|ledger| ledger.oldest_segment <= segment)
    }

    /// The records that are stored only in this or older segments. The caller must append them again
    /// immediately: the ledgers among them are marked as requiring no segment.
    pub(crate) fn take_segment_records(&mut self, segment: u64) -> Vec<LogRecord> {
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

    /// Estimated memory used by turns and ledgers, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        self.turn_bytes
            + self
                .ledgers
                .values()
                .map(Ledger::memory_bytes)
                .sum::<usize>()
    }
}
