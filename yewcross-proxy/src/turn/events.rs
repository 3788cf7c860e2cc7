//! What a turn tells its caller while it goes on.

use crate::backend::Stamp;
use serde::{Deserialize, Serialize};
use yewcross_common::error_code::Code;

/// What is stored of a finished turn, and given again to whoever repeats its id.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TurnOutcome {
    /// The whole output.
    pub text: String,
    /// Digest of the text.
    pub digest: String,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that the server had in its cache.
    pub reused: u64,
    /// Tokens of the output.
    pub output: u64,
    /// The server that ran it.
    pub stamp: Stamp,
}

/// Why a turn is not served, as its caller is told.
pub(super) struct Rejection {
    pub(super) code: Code,
    pub(super) reason: String,
    /// s until a repetition makes sense; 0: it makes none.
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

/// One step that a turn's caller is told of.
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
    /// Chunks that came before.
    pub(super) chunks: u64,
    /// The turn finished before, and this is its stored outcome.
    pub(super) is_replayed: bool,
}

/// Where a turn's events go. Unbounded: a caller that reads slowly holds no server up.
pub(super) type EventSender = async_channel::Sender<Event>;

pub(super) async fn send_rejection(events: &EventSender, rejection: Rejection) {
    // A caller that is gone needs no answer.
    let _ = events.send(Event::Rejected(rejection)).await;
}

pub(super) async fn send_end(events: &EventSender, end: TurnEnd) {
    // A caller that is gone can repeat the turn's id.
    let _ = events.send(Event::End(Box::new(end))).await;
}
