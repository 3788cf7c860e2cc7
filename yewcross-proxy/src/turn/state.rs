//! The states of a turn: admitted, begun in the store, finished by a server.

use super::events::TurnOutcome;
use super::request::TurnBody;
use yewcross_common::configuration::ProgramClass;
use yewcross_common::protocol::SessionCacheState;

/// A turn as it arrived.
pub(super) struct ReceivedTurn {
    pub(super) body: TurnBody,
    /// us of the node's clock.
    pub(super) received_at: u64,
    /// Identifies this attempt among those of the same request.
    pub(super) nonce: u64,
}

/// A turn that the configuration allows. Times are in us of the node's clock.
pub(super) struct ValidTurn {
    pub(super) body: TurnBody,
    pub(super) nonce: u64,
    pub(super) class: ProgramClass,
    /// Key of the session's record.
    pub(super) key: String,
    /// When its answer is due.
    pub(super) deadline: u64,
    /// When its caller must be told, if it is not to be served.
    pub(super) queueing_deadline: u64,
    pub(super) max_output_tokens: u64,
}

/// A turn that the session's record holds as the one in flight.
pub(super) struct BegunTurn {
    pub(super) request: ValidTurn,
    /// What servers know the present attempt by.
    pub(super) attempt_nonce: u64,
    /// An attempt was sent whose outcome never came.
    pub(super) is_outcome_unknown: bool,
    pub(super) epoch: u64,
    pub(super) cache: SessionCacheState,
    pub(super) history: Vec<u8>,
    /// This turn's messages as a history line yet open.
    pub(super) open_line: Vec<u8>,
}

/// What a server made of a turn.
pub(super) struct FinishedAttempt {
    pub(super) outcome: TurnOutcome,
    /// The server's count of tokens placed in its cache.
    pub(super) placed_tokens: u64,
    pub(super) chunks: u64,
}
