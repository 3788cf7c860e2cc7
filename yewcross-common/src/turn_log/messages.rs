//! Requests to a store about turns and ledgers, and the store's responses.
//!
//! The encoding is postcard, which is positional: the order of variants and of fields is part of the
//! protocol, and of the format of stored data.

use crate::register::Ballot;
use crate::turn_log::Turn;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Estimated size, in bytes, of a stored turn without its texts.
const STORED_TURN_BYTES: usize = 200;

/// The tokens charged for a turn in its program's ledger. `Done` supersedes `Open`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerEntry {
    /// The turn is open: its maximum number of output tokens is reserved.
    Open(u64),
    /// The turn has ended after this many output tokens.
    Done(u64),
}

impl LedgerEntry {
    /// The charged tokens.
    pub fn amount(self) -> u64 {
        match self {
            LedgerEntry::Open(tokens) | LedgerEntry::Done(tokens) => tokens,
        }
    }

    /// Merges two entries of the same turn. The operation is commutative, associative and idempotent,
    /// so that replicas converge whatever the order in which they receive entries.
    pub fn merge(self, other: LedgerEntry) -> LedgerEntry {
        match (self, other) {
            (LedgerEntry::Open(a), LedgerEntry::Open(b)) => LedgerEntry::Open(a.max(b)),
            (LedgerEntry::Done(a), LedgerEntry::Done(b)) => LedgerEntry::Done(a.max(b)),
            (LedgerEntry::Done(a), _) | (_, LedgerEntry::Done(a)) => LedgerEntry::Done(a),
        }
    }
}

/// A turn as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredTurn {
    /// The stored turn.
    pub turn: Arc<Turn>,
    /// The program that the turn belongs to; empty if none.
    pub program: String,
    /// When the response ended, in ms of the tier's median wall clock.
    pub ended_at_ms: u64,
}

impl StoredTurn {
    /// Estimated size in bytes.
    pub fn bytes(&self) -> usize {
        let turn = &self.turn;
        turn.input.len()
            + turn.output.len()
            + turn.id.len()
            + turn.prev.len()
            + turn.server.len()
            + self.program.len()
            + STORED_TURN_BYTES
    }
}

/// All or some of the entries of a program's ledger.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// The program that the ledger belongs to.
    pub program: String,
    /// The epoch under which the entries are added; zero if they need none.
    pub epoch: Ballot,
    /// Ids of turns and their entries.
    pub entries: Vec<(String, LedgerEntry)>,
    /// Retention period of the ledger after its last change, in ms.
    pub retain_ms: u64,
}

/// A request to one store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TurnLogRequest {
    /// The layout version by which the sender counts quorums.
    pub layout_version: u64,
    /// The disk that is addressed: the address may have been reassigned to a node with another disk.
    pub disk: String,
    /// How long the sender waits for the response, in us.
    pub timeout_us: u64,
    /// The requested operation.
    pub operation: TurnLogOperation,
}

/// An operation that a store is requested to carry out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TurnLogOperation {
    /// Reserve a turn's tokens if there is a budget, and return the chain that ends in `parent` if
    /// that is not empty: its end to senders of `WIRE_VERSION_HISTORY_PAGES`, all of it to older ones.
    OpenTurn {
        /// The program that the budget belongs to.
        program: String,
        /// Id of the turn to open.
        turn: String,
        /// Number of output tokens to reserve.
        max_output_tokens: u64,
        /// Limit on the output tokens of all turns of the program together; `None` for no limit.
        budget: Option<u64>,
        /// Id of the last turn of the chain; empty for none.
        parent: String,
        /// Whether the store takes over the ownership of the ledger if another store has it.
        take_over: bool,
    },
    /// Return the part that this disk stores of the chain that ends in this turn: a page of it to
    /// senders of `WIRE_VERSION_HISTORY_PAGES`, all of it to older ones.
    FindHistory {
        /// Id of the turn.
        id: String,
    },
    /// Promise the ledger's epoch, add the given entries, and return all entries.
    AcquireLedger {
        /// The ledger's epoch and the entries to add.
        ledger: LedgerRecord,
    },
    /// Add entries under the epoch, which must be the promised one.
    AppendEntries {
        /// The ledger's epoch and the entries to add.
        ledger: LedgerRecord,
    },
    /// Store turns and add the entries for the tokens that they used. The ledger's epoch need not be
    /// promised: its proposer id only names the owner that the sender has cached.
    StoreTurns {
        /// The turns, oldest first.
        rows: Vec<StoredTurn>,
        /// The entries to add to the ledger, if any.
        ledger: Option<LedgerRecord>,
    },
    /// Report which of these turns the disk has stored durably.
    ContainsTurns {
        /// Hashes of the turns' ids.
        ids: Vec<u128>,
    },
    /// Store turns and ledgers transferred from another disk.
    TransferRecords {
        /// The turns, each after its predecessors in the chain.
        rows: Vec<StoredTurn>,
        /// The ledgers with their entries.
        ledgers: Vec<LedgerRecord>,
    },
    /// Transfer the records that the sender's damaged disk is missing.
    Repair,
}

/// A store's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TurnLogResponse {
    /// The operation is carried out and durable.
    Ok,
    /// The store cannot carry out the operation now. It had no effect, or the outcome is unknown.
    Unavailable,
    /// The store has this layout version, which is newer than the sender's.
    NewerLayout(u64),
    /// The turn is open.
    Opened {
        /// The last turns before it in the chain, newest first.
        rows: Vec<StoredTurn>,
    },
    /// The remaining budget is smaller than the reservation.
    BudgetSpent,
    /// The turn certainly does not exist: it never finished, or its retention period has ended.
    UnknownTurn,
    /// The store of this disk owns the program's ledger.
    Owner(String),
    /// The part of the chain that this disk stores, or the end of that part, newest first.
    History(Vec<StoredTurn>),
    /// The turn is certainly not stored on this disk.
    NotStored,
    /// The epoch is promised; carries all entries of the ledger.
    LedgerAcquired(Vec<(String, LedgerEntry)>),
    /// Another epoch, given here, is promised.
    StaleEpoch(Ballot),
    /// None of the turns was stored, because this predecessor of one of them is not on the disk.
    MissingParent(String),
    /// Whether each turn is stored, in the order of the request.
    Contains(Vec<bool>),
}

impl TurnLogResponse {
    /// Size of the turns that the response carries, in bytes.
    pub fn turn_bytes(&self) -> usize {
        match self {
            TurnLogResponse::Opened { rows } | TurnLogResponse::History(rows) => {
                rows.iter().map(StoredTurn::bytes).sum()
            }
            _ => 0,
        }
    }
}

/// Encodes a message or a log batch; empty if the encoding fails.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a message or a log batch; `None` if it is malformed.
pub fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Option<T> {
    postcard::from_bytes(body).ok()
}
