//! Messages and records of sessions: their turns, and where their prefixes are cached.

use crate::configuration::Rule;
use crate::error_code::Code;
use serde::{Deserialize, Serialize};

/// Begins a turn of a session, or a lookup that runs only once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BeginTurn {
    /// Key of the session.
    pub key: String,
    /// The caller's id of the request.
    #[serde(rename = "job")]
    pub request_id: String,
    /// Digest of the request's body: one id stands for one body.
    pub digest: String,
    /// Drawn for each attempt: tells attempts of the same request apart.
    pub nonce: u64,
    /// Name of the front that runs the turn.
    pub front: String,
    /// ms from now after which the run counts as lost.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
    /// Budget that the turn spends from, and the tokens that it allows in all; none where there is
    /// none.
    pub budget: Option<(String, u64)>,
    /// Cap on the turn's output, in tokens.
    #[serde(rename = "max_out")]
    pub max_output_tokens: u64,
    /// ms after the last change until the record may be forgotten.
    #[serde(rename = "keep")]
    pub retain_ms: u64,
    /// Length in bytes and digest of the history that the front has already.
    #[serde(rename = "hand")]
    pub known_history: Option<(u64, String)>,
}

/// A turn that has begun. The history is the payload where the front does not have it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TurnBegun {
    /// Number of the turn in its session; to be named on commit.
    pub epoch: u64,
    /// Where the session's prefix is cached.
    #[serde(rename = "kv")]
    pub cache: SessionCacheState,
    /// Bytes of the session's history.
    #[serde(rename = "hist")]
    pub history_bytes: u64,
    /// Whether the payload is the complete history; otherwise the front's own is current.
    #[serde(rename = "whole")]
    pub history_complete: bool,
}

/// Commits the outcome of a turn. The payload holds new history and then the outcome.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitTurn {
    /// Key of the session.
    pub key: String,
    /// The caller's id of the request.
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
    /// Which earlier turns of the history are kept.
    pub rule: Rule,
    /// Where the session's prefix is cached now.
    #[serde(rename = "kv")]
    pub cache: SessionCacheState,
    /// Bytes of the payload that are new history; the rest is the outcome to store.
    #[serde(rename = "hist")]
    pub history_bytes: u64,
}

/// Where a session's prefix is cached.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionCacheState {
    /// The prefix on the server that the turns go to.
    pub home: Option<CachedPrefix>,
    /// The prefix on the server that holds a replica of it.
    pub replica: Option<CachedPrefix>,
    /// Name of the session's program class.
    pub program: String,
}

/// A prefix held in the cache of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Name of the server.
    pub server: String,
    /// Instance of the server: a restarted one has an empty cache.
    #[serde(rename = "inst")]
    pub instance: u64,
    /// Version of the model weights that the prefix was computed by.
    pub weights: String,
    /// Length of the prefix in tokens.
    pub tokens: u64,
    /// Digest of the prefix.
    pub digest: String,
    /// The server's count of tokens placed in its cache when this prefix was.
    #[serde(rename = "mark")]
    pub placed_tokens: u64,
}
