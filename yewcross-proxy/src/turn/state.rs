//! The states of a turn: read, begun in the store, run by a server.

use crate::turn::answer::Kept;
use crate::turn::request::TurnBody;
use yewcross_common::configuration::ProgramClass;
use yewcross_common::protocol::SessionCacheState;

/// Type-states of a turn: read, begun in the store, run by a server.
pub(super) struct Read {
    pub(super) b: TurnBody,
    pub(super) fam: ProgramClass,
    pub(super) key: String,
    pub(super) horizon: u64,
    pub(super) patience: u64,
    pub(super) max_out: u64,
}

pub(super) struct Begun {
    pub(super) r: Read,
    pub(super) nonce: u64,
    /// What servers know the present shot by.
    pub(super) shot: u64,
    /// A shot went out whose outcome never came.
    pub(super) lost: bool,
    pub(super) epoch: u64,
    pub(super) kv: SessionCacheState,
    pub(super) hist: Vec<u8>,
    /// This turn's messages as a history line yet open.
    pub(super) ask: Vec<u8>,
}

pub(super) struct Ran {
    pub(super) g: Begun,
    pub(super) kept: Kept,
    pub(super) placed: u64,
    pub(super) pieces: u64,
}
