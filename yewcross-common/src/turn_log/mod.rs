//! The turn log: the interface through which proxies use the chains of turns and the program budgets
//! that stores hold.
//!
//! A turn is written once under its own id and is immutable. A program's ledger is a set of entries,
//! one per turn. One store at a time, the ledger's owner, reserves tokens of the program's budget.
//!
//! - [`messages`]: the requests to stores, their responses, and the records that these carry;
//! - [`epoch`]: how an epoch identifies the owner of a ledger;
//! - [`replicas`]: the disks that store the log, and the sizes of their quorums;
//! - [`store_client`] sends one request to one store, and [`gather`] sends it to several until enough
//!   have responded;
//! - [`client`]: the proxy's client, which implements [`TurnLogService`].

pub mod client;
pub mod epoch;
pub mod gather;
pub mod messages;
pub mod replicas;
pub mod store_client;

pub use gather::{Gather, GatherOutcome, GatherStep};
pub use messages::{
    LedgerEntry, LedgerRecord, StoredTurn, TurnLogOperation, TurnLogRequest, TurnLogResponse,
};
pub use replicas::StoreReplicas;
pub use store_client::StoreClient;

use crate::buffer_memory::Reservation;
use crate::runtime::BoxFuture;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A turn whose response is complete.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// Id of the turn, unique in the tier.
    pub id: String,
    /// Id of the turn that this one continues; empty at the start of a chain.
    pub prev: String,
    /// The input sent by the caller.
    pub input: Bytes,
    /// The data of the response's events, each followed by a line feed.
    pub output: Bytes,
    /// The server that ran the turn, and may therefore still have its prefix cached.
    pub server: String,
    /// Number of tokens of the complete prompt and the output.
    pub tokens: u64,
    /// Retention period of the turn and its chain, in ms from the end of the response.
    pub retain_ms: u64,
}

/// A turn to be opened, which must succeed before the turn may be sent to a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenTurn {
    /// Id of the turn.
    pub turn: String,
    /// The program; empty if the caller gave none, in which case nothing is reserved.
    pub program: String,
    /// Id of the turn that this one continues; empty for none.
    pub prev: String,
    /// Maximum number of output tokens of this turn.
    pub max_output_tokens: u64,
    /// Limit on the output tokens of all turns of the program together; `None` for no limit.
    pub budget: Option<u64>,
}

impl OpenTurn {
    /// Whether tokens are reserved for the turn.
    fn is_budgeted(&self) -> bool {
        !self.program.is_empty() && self.budget.is_some()
    }

    /// The key by which the stores are ranked for the turn.
    fn rank_key(&self) -> &str {
        [&self.program, &self.prev, &self.turn]
            .into_iter()
            .find(|id| !id.is_empty())
            .map_or("", |id| id)
    }
}

impl Turn {
    /// Size of the turn's texts in bytes.
    pub fn text_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// The same turn with copies of its texts, which hold no memory that is reserved for a request.
    pub fn detached(&self) -> Turn {
        Turn {
            input: Bytes::copy_from_slice(&self.input),
            output: Bytes::copy_from_slice(&self.output),
            ..self.clone()
        }
    }
}

/// The result of opening a turn.
#[derive(Debug)]
pub struct OpenedTurn {
    /// The turns before it in the chain, oldest first.
    pub chain: Vec<Arc<Turn>>,
    /// The memory of their texts, to be kept as long as the chain is used.
    pub memory: Reservation,
}

/// Why a turn was not opened. `Unavailable` is also returned if a turn is not known to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenTurnError {
    /// The remaining budget is smaller than the turn's maximum output. The turn will not run.
    BudgetSpent,
    /// The turn to continue certainly does not exist: it never finished, or its retention period has
    /// ended.
    UnknownTurn,
    /// The stores could not be reached or could not decide. A turn to be opened will not run.
    Unavailable,
    /// There is no memory for the chain before the turn. The turn will not run.
    OutOfMemory,
}

/// The operations of the turn log that a proxy uses. Deadlines are in us of the runtime's clock.
pub trait TurnLogService: Send + Sync {
    /// Reserves the turn's tokens and returns the chain before it, in reserved memory. If it fails, the reservation is
    /// not charged or is released in the background.
    fn open(
        &self,
        open: OpenTurn,
        deadline_us: u64,
    ) -> BoxFuture<'_, Result<OpenedTurn, OpenTurnError>>;

    /// Stores a completed turn on a write quorum of disks and charges its output tokens. If it fails,
    /// the turn may or may not be stored.
    fn finish(
        &self,
        open: OpenTurn,
        turn: Turn,
        used_tokens: u64,
        deadline_us: u64,
    ) -> BoxFuture<'_, Result<(), OpenTurnError>>;

    /// Charges the tokens passed on to the caller for a turn that ended without being stored. Returns
    /// immediately; the write is retried in the background.
    fn settle(&self, open: OpenTurn, used_tokens: u64);
}
