//! Messages and records of sessions: their turns, and the locations of their cached prefixes.

use crate::configuration::Rule;
use crate::error_code::Code;
use serde::{Deserialize, Serialize};

/// Begins a turn of a session, or a lookup that is executed at most once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BeginTurn {
    /// Key of the session.
    pub key: String,
    /// The caller's id for the request.
    #[serde(rename = "job")]
    pub request_id: String,
    /// Digest of the request's body; an id cannot be reused with another body.
    pub digest: String,
    /// Random id of the attempt, which distinguishes attempts of the same request.
    pub nonce: u64,
    /// Name of the front that runs the turn.
    pub front: String,
    /// Remaining time in ms after which the turn is considered lost.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
    /// Name of the budget that the turn spends from and the total number of tokens in it; `None` if
    /// the turn has no budget.
    pub budget: Option<(String, u64)>,
    /// Limit on the turn's output in tokens.
    #[serde(rename = "max_out")]
    pub max_output_tokens: u64,
    /// Time in ms after the last change for which the record is retained.
    #[serde(rename = "keep")]
    pub retain_ms: u64,
    /// Length in bytes and digest of the history that the front already holds.
    #[serde(rename = "hand")]
    pub known_history: Option<(u64, String)>,
}

/// A turn that has begun. The history is the payload if the front does not hold it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TurnBegun {
    /// Number of the turn in its session, to be repeated in the commit.
    pub epoch: u64,
    /// Where the session's prefix is cached.
    #[serde(rename = "kv")]
    pub cache: SessionCacheState,
    /// Size of the session's history in bytes.
    #[serde(rename = "hist")]
    pub history_bytes: u64,
    /// Whether the payload is the complete history; otherwise the front's copy is current.
    #[serde(rename = "whole")]
    pub history_complete: bool,
}

/// Commits the outcome of a turn. The payload consists of the new history followed by the outcome.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitTurn {
    /// Key of the session.
    pub key: String,
    /// The caller's id for the request.
    #[serde(rename = "job")]
    pub request_id: String,
    /// Number of the turn, from `TurnBegun`.
    pub epoch: u64,
    /// Nonce of the attempt, from `BeginTurn`.
    pub nonce: u64,
    /// Result code of the outcome.
    pub code: Code,
    /// Output tokens used.
    #[serde(rename = "used")]
    pub used_tokens: u64,
    /// Which earlier turns of the history are retained.
    #[serde(rename = "rule")]
    pub history_rule: Rule,
    /// Where the session's prefix is cached now.
    #[serde(rename = "kv")]
    pub cache: SessionCacheState,
    /// Length in bytes of the new history in the payload; the rest is the outcome to store.
    #[serde(rename = "hist")]
    pub history_bytes: u64,
}

/// Where a session's prefix is cached.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionCacheState {
    /// The prefix on the server that the turns are sent to.
    pub home: Option<CachedPrefix>,
    /// The replica of the prefix on another server.
    pub replica: Option<CachedPrefix>,
    /// Name of the session's program class.
    pub program: String,
}

/// A prefix in the cache of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Name of the server.
    pub server: String,
    /// Instance of the server: a restarted one has an empty cache.
    #[serde(rename = "inst")]
    pub instance: u64,
    /// Version of the model weights that the prefix was computed with.
    pub weights: String,
    /// Length of the prefix in tokens.
    pub tokens: u64,
    /// Digest of the prefix.
    pub digest: String,
    /// The server's number of tokens placed in its cache at the time when this prefix was placed.
    #[serde(rename = "mark")]
    pub placed_tokens: u64,
}
