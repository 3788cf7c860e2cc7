//! Chains of turns and what programs may spend: what a front asks of the stores.
//!
//! A turn is written once under its own id and never changes. A program's ledger is a set of
//! entries, one a turn; one store at a time gives out its budget.

pub mod client;
pub mod store_client;

use crate::runtime::BoxFuture;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A turn that was answered whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    pub id: String,
    /// The turn it goes on from; empty at the start of a chain.
    pub prev: String,
    pub input: Bytes,
    /// The data of its events, each with a line feed behind.
    pub output: Bytes,
    /// The server that ran it, and so may still hold its prefix.
    pub server: String,
    /// Tokens of the whole prompt and of the output.
    pub tokens: u64,
    /// ms that it is kept, with its chain, from the end of its answer on.
    pub retain_ms: u64,
}

/// What must hold before a turn may be sent to a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenTurn {
    pub turn: String,
    /// Empty where the caller names none: then nothing is reserved.
    pub program: String,
    pub prev: String,
    /// Tokens that this turn may put out at most.
    pub max_output_tokens: u64,
    /// Tokens that the program's turns together may put out; none: unbounded.
    pub budget: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenedTurn {
    /// The chain that the turn goes on from, oldest first.
    pub chain: Vec<Arc<Turn>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenTurnError {
    /// The budget does not hold another such turn. It will not run.
    BudgetSpent,
    /// Certain: no such turn was answered, or it is over its keeping time.
    UnknownTurn,
    /// The stores could not be asked, or cannot be sure. It will not run.
    Unavailable,
}

/// The front's side; `until` is in us of the world's clock.
pub trait TurnLogService: Send + Sync {
    /// Reserves the turn's tokens and hands over its chain. After `Err` nothing of it counts.
    fn open(&self, o: OpenTurn, until: u64) -> BoxFuture<'_, Result<OpenedTurn, OpenTurnError>>;
    /// Keeps an answered turn on enough disks, and counts what it put out. `Err`: it may or may not
    /// be kept.
    fn finish(
        &self,
        o: OpenTurn,
        t: Turn,
        used: u64,
        until: u64,
    ) -> BoxFuture<'_, Result<(), OpenTurnError>>;
    /// The turn ended otherwise, after this many tokens were passed on. Goes on by itself.
    fn settle(&self, o: OpenTurn, used: u64);
}
