//! The turn log: chains of turns and programs' budgets, as a proxy uses them through the stores.
//!
//! A turn is written once under its own id and never changes. A program's ledger is a set of
//! entries, one a turn; one store at a time, its owner, reserves in the program's budget.
//!
//! - [`messages`] are the requests to stores and their answers, and what these carry;
//! - [`epoch`] names the owner of a ledger;
//! - [`replicas`] says which disks hold the log, and how many of them are a quorum;
//! - [`store_client`] sends one request to one store, [`gather`] asks many until enough answered;
//! - [`client`] is the proxy's side, as a [`TurnLogService`].

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

use crate::runtime::BoxFuture;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A turn whose answer is complete.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// Its own id, unique in the tier.
    pub id: String,
    /// The turn it continues; empty at the start of a chain.
    pub prev: String,
    /// What the caller sent.
    pub input: Bytes,
    /// The data of its events, each with a line feed behind.
    pub output: Bytes,
    /// The server that ran it, and so may still hold its prefix.
    pub server: String,
    /// Tokens of the whole prompt and of the output.
    pub tokens: u64,
    /// How long it is kept, with its chain, from the end of its answer on, ms.
    pub retain_ms: u64,
}

/// What must hold before a turn may be sent to a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenTurn {
    /// The id of the turn.
    pub turn: String,
    /// Empty where the caller names none: then nothing is reserved.
    pub program: String,
    /// The turn it continues; empty for none.
    pub prev: String,
    /// Tokens that this turn may put out at most.
    pub max_output_tokens: u64,
    /// Tokens that the program's turns together may put out; `None` for no bound.
    pub budget: Option<u64>,
}

impl OpenTurn {
    /// Whether tokens are reserved for it.
    fn is_budgeted(&self) -> bool {
        !self.program.is_empty() && self.budget.is_some()
    }

    /// The key that ranks the stores for it.
    fn rank_key(&self) -> &str {
        [&self.program, &self.prev, &self.turn]
            .into_iter()
            .find(|id| !id.is_empty())
            .map_or("", |id| id)
    }
}

/// What a turn continues.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenedTurn {
    /// The chain before the turn, oldest first.
    pub chain: Vec<Arc<Turn>>,
}

/// Why a turn was not opened; or, with `Unavailable` alone, not known to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenTurnError {
    /// The budget does not hold another such turn. It will not run.
    BudgetSpent,
    /// Certain: no such turn was answered, or its retention has ended.
    UnknownTurn,
    /// The stores could not be asked, or cannot be sure. It will not run.
    Unavailable,
}

/// What a proxy asks of the turn log. Deadlines are in us of the runtime's clock.
pub trait TurnLogService: Send + Sync {
    /// Reserves the turn's tokens and returns the chain before it. After an error nothing of it
    /// counts.
    fn open(
        &self,
        open: OpenTurn,
        deadline_us: u64,
    ) -> BoxFuture<'_, Result<OpenedTurn, OpenTurnError>>;

    /// Stores an answered turn on enough disks, and counts the tokens that it put out. After an
    /// error it may or may not be stored.
    fn finish(
        &self,
        open: OpenTurn,
        turn: Turn,
        used_tokens: u64,
        deadline_us: u64,
    ) -> BoxFuture<'_, Result<(), OpenTurnError>>;

    /// The turn ended otherwise, after this many tokens were passed on. Returns at once, and is
    /// retried in the background.
    fn settle(&self, open: OpenTurn, used_tokens: u64);
}
