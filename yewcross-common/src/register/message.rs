//! The messages between proposers and replicas. Field names are those on the wire.

use serde::{Deserialize, Serialize};

/// A proposal number. Ballots are totally ordered, and no two proposers ever use the same one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Rises with each prepare.
    pub n: u64,
    /// Drawn anew by each process and each prepare; breaks ties between proposers.
    pub by: u64,
}

/// A request to one replica of a key. `epoch` is the proposer's ballot, `lay` the version of the
/// layout that it goes by.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Prepare: accept nothing under a lower ballot from now on, and report what was accepted.
    Promise {
        key: String,
        epoch: Ballot,
        lay: u64,
    },
    /// Accept version `seq`, whose value is the blob. With `delta` the blob only says what changed
    /// since the version before.
    Accept {
        key: String,
        epoch: Ballot,
        seq: u64,
        lay: u64,
        #[serde(default)]
        delta: bool,
    },
    /// A value that a majority has accepted already, for a replica whose record is damaged and which
    /// therefore may not vote.
    Fill {
        key: String,
        epoch: Ballot,
        seq: u64,
        lay: u64,
    },
    /// Whether the ballot is still the one promised: a majority that says so has promised nothing
    /// newer.
    Confirm {
        key: String,
        epoch: Ballot,
        lay: u64,
    },
    /// Report the record; the value is sent with the reply unless it is the version that the asker
    /// has. Nothing is written.
    Look {
        key: String,
        lay: u64,
        have: (Ballot, u64),
    },
    /// Drop the record of a key whose empty value all replicas have accepted.
    Drop {
        key: String,
        epoch: Ballot,
        seq: u64,
        lay: u64,
    },
}

impl RegisterRequest {
    /// The key that the request is about.
    pub fn key(&self) -> &str {
        match self {
            RegisterRequest::Promise { key, .. }
            | RegisterRequest::Accept { key, .. }
            | RegisterRequest::Fill { key, .. }
            | RegisterRequest::Confirm { key, .. }
            | RegisterRequest::Look { key, .. }
            | RegisterRequest::Drop { key, .. } => key,
        }
    }

    /// The version of the layout that the proposer goes by.
    pub fn layout(&self) -> u64 {
        match self {
            RegisterRequest::Promise { lay, .. }
            | RegisterRequest::Accept { lay, .. }
            | RegisterRequest::Fill { lay, .. }
            | RegisterRequest::Confirm { lay, .. }
            | RegisterRequest::Look { lay, .. }
            | RegisterRequest::Drop { lay, .. } => *lay,
        }
    }

    /// The same request, to be sent with a delta as its blob.
    pub fn as_delta(&self) -> RegisterRequest {
        let mut request = self.clone();
        if let RegisterRequest::Accept { delta, .. } = &mut request {
            *delta = true;
        }
        request
    }
}

/// A replica's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RegisterReply {
    /// The ballot is promised. The value accepted last is sent as the blob.
    Promised { accepted: Ballot, seq: u64 },
    /// The value is on disk, or what was asked for is so already.
    Accepted,
    /// What the replica has accepted, without a promise.
    Looked { accepted: Ballot, seq: u64 },
    /// Another ballot is promised; nothing was done.
    Refused { promised: Ballot },
    /// The replica knows a newer layout than the proposer goes by; nothing was done.
    OldLayout,
    /// The record is damaged: the replica cannot vote on this key until it is filled.
    Damaged,
    /// No answer, or no disk to answer from: it is unknown what the replica did with the request.
    Away,
    /// Another disk is at the address of the one that was asked; nothing was done.
    OtherDisk,
    /// The replica has not the version that the delta was made against.
    NeedWhole,
}

impl RegisterReply {
    /// Whether it counts towards a quorum.
    pub fn is_grant(&self) -> bool {
        matches!(
            self,
            RegisterReply::Promised { .. } | RegisterReply::Accepted | RegisterReply::Looked { .. }
        )
    }
}
