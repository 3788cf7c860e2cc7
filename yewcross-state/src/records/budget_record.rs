//! The record of a budget: tokens spent and tokens reserved.

use super::lines::{LINE_END, append_line};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Number of settled entries retained in the record, so that a repeated request does not reserve
/// them again.
const MAX_SETTLED_ENTRIES: usize = 256;

/// Tokens reserved for one attempt to run a turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reservation {
    /// Maximum number of tokens that the attempt may use.
    pub amount: u64,
    /// Key of the session's register.
    pub key: String,
    /// Request id of the turn.
    #[serde(rename = "job")]
    pub request_id: String,
    /// Identifies the attempt among the attempts of the same request.
    pub nonce: u64,
    /// Time of the reservation, in ms of the cluster's median clock.
    pub at: u64,
    /// Minimum retention period of the session's record, in ms; 0 if written by an older version.
    #[serde(default)]
    #[serde(rename = "keep")]
    pub session_retain_ms: u64,
}

/// Value of a budget's register.
#[derive(Clone, Debug, Default)]
pub struct BudgetRecord {
    /// Sum of all settled entries, in tokens.
    pub spent: u64,
    /// Unsettled reservations by entry.
    pub open: BTreeMap<String, Reservation>,
    /// The most recently settled entries, oldest first.
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
    /// Decodes a stored record. A line that cannot be decoded is skipped without an error: its
    /// reservation no longer counts, or its settled entry is lost. `spent` is 0 if its line cannot
    /// be decoded.
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

    /// Encodes the record in its stored form.
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

    /// Sum of the tokens spent and reserved.
    pub(super) fn committed_tokens(&self) -> u64 {
        let reserved = self.open.values().fold(0u64, |sum, reservation| {
            sum.saturating_add(reservation.amount)
        });
        self.spent.saturating_add(reserved)
    }

    /// Replaces a reservation by the tokens used, at most the reserved amount. The full amount is
    /// charged if the usage is unknown. Returns whether the reservation existed.
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
