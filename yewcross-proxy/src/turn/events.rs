//! Events of a running turn, from which the response to the caller is written.

use crate::back::Stamp;
use serde::{Deserialize, Serialize};
use yewcross_common::error_code::Code;

/// The outcome of a finished turn: stored, and replayed when a request with the same id is
/// repeated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TurnOutcome {
    /// The complete output.
    pub text: String,
    /// Digest of the text.
    pub digest: String,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that the server had in its cache.
    pub reused: u64,
    /// Tokens of the output.
    pub output: u64,
    /// The server instance that ran the turn.
    pub stamp: Stamp,
}

/// The reason, as reported to the caller, why a turn is not served.
pub(super) struct Rejection {
    pub(super) code: Code,
    pub(super) reason: String,
    /// s after which the request may be repeated; 0: repeating it is useless.
    pub(super) retry_after: u64,
}

impl Rejection {
    pub(super) fn new(code: Code, reason: &str, retry_after: u64) -> Rejection {
        Rejection {
            code,
            reason: reason.into(),
            retry_after,
        }
    }
}

/// One step of a turn that is reported to its caller.
pub(super) enum Event {
    Rejected(Rejection),
    /// A part of the output.
    Chunk {
        index: u64,
        text: String,
    },
    End(Box<TurnEnd>),
}

/// The end of a turn that was served.
pub(super) struct TurnEnd {
    pub(super) outcome: TurnOutcome,
    /// Number of chunks sent before.
    pub(super) chunks: u64,
    /// The turn had finished before this request, and this is its stored outcome.
    pub(super) is_replayed: bool,
}

/// Sends a turn's events. The channel is unbounded, so that a caller that reads slowly does not
/// delay the server.
pub(super) type EventSender = async_channel::Sender<Event>;

pub(super) async fn send_rejection(events: &EventSender, rejection: Rejection) {
    // Fails only if the caller has disconnected, which then needs no response.
    let _ = events.send(Event::Rejected(rejection)).await;
}

pub(super) async fn send_end(events: &EventSender, end: TurnEnd) {
    // Fails only if the caller has disconnected; it can get the stored outcome by repeating the
    // request with the same id.
    let _ = events.send(Event::End(Box::new(end))).await;
}
