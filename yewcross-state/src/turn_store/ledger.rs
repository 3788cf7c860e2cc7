//! The ledger of one program on one store: the turns charged to its budget.
//!
//! A ledger is a grow-only set: merging the same entries in any order, and any number of times, gives
//! the same result.

use std::collections::HashMap;
use yewcross_common::register::Ballot;
use yewcross_common::turn_log::{LedgerEntry, LedgerRecord};

/// Estimated memory of a ledger without entries, in bytes.
const LEDGER_BYTES: usize = 200;

/// Estimated memory of each entry, in bytes.
const ENTRY_BYTES: usize = 80;

/// One store's copy of a program's ledger.
pub struct Ledger {
    /// The highest epoch that this store has promised.
    pub promised: Ballot,
    /// Entries by the id of their turn.
    pub entries: HashMap<String, LedgerEntry>,
    /// Sum of the entries, in tokens.
    pub spent: u64,
    /// Time of the last change, in ms of the cluster's median clock.
    pub(super) changed_at_ms: u64,
    /// Retention period after the last change, in ms.
    pub(super) retain_ms: u64,
    /// The oldest log segment that the ledger still requires; `u64::MAX` for none.
    pub(super) oldest_segment: u64,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger {
            promised: Ballot::default(),
            entries: HashMap::new(),
            spent: 0,
            changed_at_ms: 0,
            retain_ms: 0,
            oldest_segment: u64::MAX,
        }
    }
}

impl Ledger {
    /// Merges entries into the ledger. The time of the last change and the retention period never
    /// decrease.
    pub(super) fn merge(
        &mut self,
        entries: &[(String, LedgerEntry)],
        changed_at_ms: u64,
        retain_ms: u64,
    ) {
        for (turn, entry) in entries {
            self.merge_entry(turn, *entry);
        }
        self.changed_at_ms = self.changed_at_ms.max(changed_at_ms);
        self.retain_ms = self.retain_ms.max(retain_ms);
    }

    fn merge_entry(&mut self, turn: &str, entry: LedgerEntry) {
        match self.entries.get_mut(turn) {
            Some(existing) => {
                let merged = existing.merge(entry);
                self.spent = self.spent - existing.amount() + merged.amount();
                *existing = merged;
            }
            None => {
                self.spent += entry.amount();
                self.entries.insert(turn.to_string(), entry);
            }
        }
    }

    /// The complete ledger in the form in which it is sent and stored.
    pub fn to_record(&self, program: &str) -> LedgerRecord {
        LedgerRecord {
            program: program.into(),
            epoch: self.promised,
            entries: self
                .entries
                .iter()
                .map(|(turn, entry)| (turn.clone(), *entry))
                .collect(),
            retain_ms: self.retain_ms,
        }
    }

    pub(super) fn is_retained(&self, now_ms: u64, margin_ms: u64) -> bool {
        self.changed_at_ms + self.retain_ms + margin_ms >= now_ms
    }

    pub(super) fn memory_bytes(&self) -> usize {
        LEDGER_BYTES + self.entries.len() * ENTRY_BYTES
    }
}
