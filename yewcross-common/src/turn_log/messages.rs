//! Requests to a store about turns and ledgers, and its answers.
//!
//! The encoding is postcard, which goes by position: the order of variants and of fields is part of
//! the protocol, and that of what is stored, too.

use crate::register::Ballot;
use crate::turn_log::Turn;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Bytes of a stored turn beside its texts, estimated.
const STORED_TURN_BYTES: usize = 200;

/// What a turn counts in its program's ledger, tokens. `Done` supersedes `Open`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerEntry {
    /// Reserved, at its maximum.
    Open(u64),
    /// Ended, after this many.
    Done(u64),
}

impl LedgerEntry {
    /// The tokens that it counts.
    pub fn amount(self) -> u64 {
        match self {
            LedgerEntry::Open(tokens) | LedgerEntry::Done(tokens) => tokens,
        }
    }

    /// Commutative, associative and idempotent, so that replicas agree whatever the order in which
    /// entries reach them.
    pub fn merge(self, other: LedgerEntry) -> LedgerEntry {
        match (self, other) {
            (LedgerEntry::Open(a), LedgerEntry::Open(b)) => LedgerEntry::Open(a.max(b)),
            (LedgerEntry::Done(a), LedgerEntry::Done(b)) => LedgerEntry::Done(a.max(b)),
            (LedgerEntry::Done(a), _) | (_, LedgerEntry::Done(a)) => LedgerEntry::Done(a),
        }
    }
}

/// A turn as stores keep it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredTurn {
    /// The turn.
    pub turn: Arc<Turn>,
    /// Its program; may be empty.
    pub program: String,
    /// The end of its answer, in ms of the cluster's median clock.
    pub ended_at_ms: u64,
}

impl StoredTurn {
    /// Its size, estimated.
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

/// Part of a program's ledger, or all of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// The program.
    pub program: String,
    /// The epoch that the entries are added under; zero where they need none.
    pub epoch: Ballot,
    /// By turn.
    pub entries: Vec<(String, LedgerEntry)>,
    /// How long the ledger is kept after its last change, ms.
    pub retain_ms: u64,
}

/// A request to one store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TurnLogRequest {
    /// The layout that the sender counts disks by.
    pub layout_version: u64,
    /// The disk that is meant: an address may have passed to another.
    pub disk: String,
    /// How long the sender waits, us.
    pub timeout_us: u64,
    /// What is requested.
    pub operation: TurnLogOperation,
}

/// What a store is requested to do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TurnLogOperation {
    /// Reserve a turn's tokens, where there is a budget, and return the chain that ends in
    /// `parent`, where one is named.
    OpenTurn {
        /// The program whose budget it is.
        program: String,
        /// The turn.
        turn: String,
        /// Tokens to reserve.
        max_output_tokens: u64,
        /// Tokens that the program's turns together may put out.
        budget: Option<u64>,
        /// The end of the chain; empty for none.
        parent: String,
        /// Become the ledger's owner even though another store owns it.
        take_over: bool,
    },
    /// Return the chain that ends in this turn, as far as this disk holds it.
    FindHistory {
        /// The turn.
        id: String,
    },
    /// Promise the ledger's epoch, add its entries, return all entries.
    AcquireLedger {
        /// The ledger.
        ledger: LedgerRecord,
    },
    /// Add entries under the very epoch that was promised.
    AppendEntries {
        /// The ledger.
        ledger: LedgerRecord,
    },
    /// Store turns, and count what they used. The epoch is no promise: it names whom the sender
    /// takes for the owner.
    StoreTurns {
        /// Oldest first.
        rows: Vec<StoredTurn>,
        /// The ledger.
        ledger: Option<LedgerRecord>,
    },
    /// Which of these turns does the disk hold durably?
    ContainsTurns {
        /// Hashes of the turns' ids.
        ids: Vec<u128>,
    },
    /// Store the turns and ledgers of another disk.
    TransferRecords {
        /// Each after those before it.
        rows: Vec<StoredTurn>,
        /// The ledgers.
        ledgers: Vec<LedgerRecord>,
    },
    /// The sender's disk was damaged: transfer what it lacks.
    Repair,
}

/// A store's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TurnLogResponse {
    /// Done, and durable.
    Ok,
    /// It cannot now; nothing was done, or it is not known.
    Unavailable,
    /// The sender's layout is older than this one.
    NewerLayout(u64),
    /// The turn is open.
    Opened {
        /// The chain before it, newest first.
        rows: Vec<StoredTurn>,
    },
    /// The budget does not hold the reservation.
    BudgetSpent,
    /// Certain: no such turn was answered, or its retention has ended.
    UnknownTurn,
    /// The store of this disk owns the program's ledger.
    Owner(String),
    /// The chain, newest first, as far as this disk holds it.
    History(Vec<StoredTurn>),
    /// Certain: this disk does not hold it.
    NotStored,
    /// The epoch is promised; all entries.
    LedgerAcquired(Vec<(String, LedgerEntry)>),
    /// This other epoch is the one that is promised.
    StaleEpoch(Ballot),
    /// This turn, which comes before one of the turns, is not here, so none was stored.
    MissingParent(String),
    /// For each turn, in the order of the request.
    Contains(Vec<bool>),
}

/// Encodes a message, or a batch of the log; empty if it cannot be.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a message, or a batch of the log; `None` if it is malformed.
pub fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Option<T> {
    postcard::from_bytes(body).ok()
}
