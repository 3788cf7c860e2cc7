//! The record of a budget: what was spent, and what is reserved.

use super::lines::{LINE_END, append_line};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Settled entries that a budget remembers, so that none is reserved a second time.
const MAX_SETTLED_ENTRIES: usize = 256;

/// Tokens reserved for one attempt of a turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reservation {
    /// Most tokens that the attempt may use.
    pub amount: u64,
    /// Key of the session's record.
    #[serde(rename = "key")]
    pub session_key: String,
    /// Request id of the turn.
    #[serde(rename = "job")]
    pub request_id: String,
    /// Identifies the attempt among those of the same request.
    pub nonce: u64,
    /// Clock at which it was made, ms.
    #[serde(rename = "at")]
    pub reserved_at_ms: u64,
    /// ms that the session's record is kept at least; 0 where an older process wrote it.
    #[serde(rename = "keep")]
    #[serde(default)]
    pub retain_ms: u64,
}

/// What a budget's register holds.
#[derive(Clone, Debug, Default)]
pub struct BudgetRecord {
    /// Tokens of all settled entries.
    pub spent: u64,
    /// Reservations that are not settled yet, by entry.
    pub open: BTreeMap<String, Reservation>,
    /// Entries settled last, oldest first.
    pub settled: VecDeque<String>,
}

/// One line of the stored form.
#[derive(Serialize, Deserialize)]
enum BudgetLine {
    Settled(String),
    Open(String, Reservation),
    Spent(u64),
}

impl BudgetRecord {
    /// Reads a stored record. A line that cannot be read is passed over without an error: its
    /// reservation no longer counts, its settled entry is forgotten, and without a readable line
    /// for it the sum spent is 0.
    pub fn read(value: &[u8]) -> BudgetRecord {
        let mut record = BudgetRecord::default();
        for line in value.split(|byte| *byte == LINE_END) {
            match serde_json::from_slice::<BudgetLine>(line) {
                Ok(BudgetLine::Open(entry, reservation)) => {
                    record.open.insert(entry, reservation);
                }
                Ok(BudgetLine::Settled(entry)) => record.settled.push_back(entry),
                Ok(BudgetLine::Spent(tokens)) => record.spent = tokens,
                Err(_) => {}
            }
        }
        record
    }

    pub(super) fn write(&self) -> Vec<u8> {
        let mut value = vec![];
        for entry in &self.settled {
            append_line(&mut value, &BudgetLine::Settled(entry.clone()));
        }
        for (entry, reservation) in &self.open {
            let line = BudgetLine::Open(entry.clone(), reservation.clone());
            append_line(&mut value, &line);
        }
        append_line(&mut value, &BudgetLine::Spent(self.spent));
        value
    }

    /// Tokens spent and reserved.
    pub(super) fn committed_tokens(&self) -> u64 {
        let reserved = self.open.values().fold(0u64, |sum, reservation| {
            sum.saturating_add(reservation.amount)
        });
        self.spent.saturating_add(reserved)
    }

    /// Replaces a reservation by what was used of it, at most its amount; all of it where the usage
    /// is unknown. False if there is no such reservation.
    pub(super) fn settle(&mut self, entry: &str, used: Option<u64>) -> bool {
        let Some(reservation) = self.open.remove(entry) else {
            return false;
        };
        let charged = used.unwrap_or(reservation.amount).min(reservation.amount);
        self.spent = self.spent.saturating_add(charged);
        self.settled.push_back(entry.into());
        while self.settled.len() > MAX_SETTLED_ENTRIES {
            self.settled.pop_front();
        }
        true
    }
}

/// Key of a budget's register.
pub fn budget_key(budget: &str) -> String {
    format!("budget/{budget}")
}
