//! The ledger of one program on one store: which turns spend its budget.
//!
//! A ledger is a set that only grows: entries merge in any order, by any way, to the same result.

use std::collections::HashMap;
use yewcross_common::register::Ballot;
use yewcross_common::turn_log::{LedgerEntry, LedgerRecord};

/// Memory taken by a ledger without entries, estimated.
const LEDGER_BYTES: usize = 200;

/// Memory taken by each entry, estimated.
const ENTRY_BYTES: usize = 80;

/// What one store knows of a program's ledger.
pub struct Ledger {
    /// The highest epoch that this store has promised.
    pub promised: Ballot,
    /// By turn.
    pub entries: HashMap<String, LedgerEntry>,
    /// Tokens that the entries amount to.
    pub spent: u64,
    /// Time of its last change, in ms of the cluster's median clock.
    pub(super) changed_at_ms: u64,
    /// How long it is kept after its last change.
    pub(super) retain_ms: u64,
    /// The oldest segment of the log that it needs; `u64::MAX` for none.
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
    /// Adds entries. Neither the time of the last change nor the retention ever goes back.
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
            Some(known) => {
                let merged = known.merge(entry);
                self.spent = self.spent - known.amount() + merged.amount();
                *known = merged;
            }
            None => {
                self.spent += entry.amount();
                self.entries.insert(turn.to_string(), entry);
            }
        }
    }

    /// The whole ledger, as it is sent and stored.
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
