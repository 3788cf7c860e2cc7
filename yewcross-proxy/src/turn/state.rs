//! The states of a turn: received, validated, begun in the store, finished by a server.

use super::events::TurnOutcome;
use super::request::TurnBody;
use yewcross_common::configuration::ProgramClass;
use yewcross_common::protocol::SessionCacheState;

/// A turn request as received.
pub(super) struct ReceivedTurn {
    pub(super) body: TurnBody,
    /// us of the node's clock.
    pub(super) received_at: u64,
    /// Distinguishes this execution from others of a request with the same id.
    pub(super) nonce: u64,
}

/// A turn that the configuration allows. Times are in us of the node's clock.
pub(super) struct ValidTurn {
    pub(super) body: TurnBody,
    pub(super) nonce: u64,
    pub(super) class: ProgramClass,
    /// Key of the session's record.
    pub(super) key: String,
    /// When the response is due.
    pub(super) deadline: u64,
    /// When the caller must be notified, if the turn cannot be served.
    pub(super) queueing_deadline: u64,
    pub(super) max_output_tokens: u64,
}

/// A turn that is recorded in the session's record as the one in progress.
pub(super) struct BegunTurn {
    pub(super) request: ValidTurn,
    /// Part of the request id that the current attempt has at its server.
    pub(super) attempt_nonce: u64,
    /// An attempt was sent and its outcome is unknown.
    pub(super) is_outcome_unknown: bool,
    pub(super) epoch: u64,
    pub(super) cache: SessionCacheState,
    pub(super) history: Vec<u8>,
    /// The messages of this turn as a history line without the output.
    pub(super) open_line: Vec<u8>,
}

/// A turn as finished by a server.
pub(super) struct FinishedAttempt {
    pub(super) outcome: TurnOutcome,
    /// The server's count of tokens placed in its cache.
    pub(super) placed_tokens: u64,
    pub(super) chunks: u64,
}
