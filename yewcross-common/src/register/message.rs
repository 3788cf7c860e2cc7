//! The messages between proposers and replicas, encoded by the names that they have on the wire.

use serde::{Deserialize, Serialize};

/// A proposal number. Ballots are totally ordered, and no two proposers ever use the same one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Increases with each prepare round.
    #[serde(rename = "n")]
    pub number: u64,
    /// Drawn at random by each process and changed with each prepare round; breaks ties between
    /// proposers.
    #[serde(rename = "by")]
    pub proposer_id: u64,
}

/// A request to one replica of a key. `ballot` is the proposer's ballot, and `layout_version` the
/// version of the layout that the proposer uses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Prepare: promise to accept nothing under a lower ballot, and report the accepted value.
    Promise {
        key: String,
        #[serde(rename = "epoch")]
        ballot: Ballot,
        #[serde(rename = "lay")]
        layout_version: u64,
    },
    /// Accept version `seq`, whose value is the payload. With `delta` the payload contains only the
    /// difference from the previous version.
    Accept {
        key: String,
        #[serde(rename = "epoch")]
        ballot: Ballot,
        seq: u64,
        #[serde(rename = "lay")]
        layout_version: u64,
        #[serde(default)]
        delta: bool,
    },
    /// Store a value that a majority has already accepted. Sent to a replica whose record is damaged
    /// and which therefore may not vote.
    Fill {
        key: String,
        #[serde(rename = "epoch")]
        ballot: Ballot,
        seq: u64,
        #[serde(rename = "lay")]
        layout_version: u64,
    },
    /// Check that the ballot is still the promised one. If a majority confirms it, no majority has
    /// promised a newer ballot.
    Confirm {
        key: String,
        #[serde(rename = "epoch")]
        ballot: Ballot,
        #[serde(rename = "lay")]
        layout_version: u64,
    },
    /// Report the record. The reply carries the value unless its version is `have`, the version that
    /// the sender already has. Nothing is written.
    #[serde(rename = "Look")]
    Report {
        key: String,
        #[serde(rename = "lay")]
        layout_version: u64,
        have: (Ballot, u64),
    },
    /// Erase the record of a key whose empty value all replicas have accepted.
    #[serde(rename = "Drop")]
    Erase {
        key: String,
        #[serde(rename = "epoch")]
        ballot: Ballot,
        seq: u64,
        #[serde(rename = "lay")]
        layout_version: u64,
    },
}

impl RegisterRequest {
    /// The key of the register that the request addresses.
    pub fn key(&self) -> &str {
        match self {
            RegisterRequest::Promise { key, .. }
            | RegisterRequest::Accept { key, .. }
            | RegisterRequest::Fill { key, .. }
            | RegisterRequest::Confirm { key, .. }
            | RegisterRequest::Report { key, .. }
            | RegisterRequest::Erase { key, .. } => key,
        }
    }

    /// The version of the layout that the proposer uses.
    pub fn layout_version(&self) -> u64 {
        match self {
            RegisterRequest::Promise { layout_version, .. }
            | RegisterRequest::Accept { layout_version, .. }
            | RegisterRequest::Fill { layout_version, .. }
            | RegisterRequest::Confirm { layout_version, .. }
            | RegisterRequest::Report { layout_version, .. }
            | RegisterRequest::Erase { layout_version, .. } => *layout_version,
        }
    }

    /// The same request with `delta` set, to be sent with a delta as its payload.
    pub fn as_delta(&self) -> RegisterRequest {
        let mut request = self.clone();
        if let RegisterRequest::Accept { delta, .. } = &mut request {
            *delta = true;
        }
        request
    }
}

/// A replica's reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RegisterReply {
    /// The ballot is promised. The payload is the value accepted last.
    Promised { accepted: Ballot, seq: u64 },
    /// The request is carried out and on disk, or had already been carried out.
    Accepted,
    /// The accepted ballot and version; nothing is promised.
    #[serde(rename = "Looked")]
    Reported { accepted: Ballot, seq: u64 },
    /// Another ballot is promised; nothing was changed.
    #[serde(rename = "Refused")]
    Rejected { promised: Ballot },
    /// The replica has a newer layout than the proposer; nothing was changed.
    #[serde(rename = "OldLayout")]
    StaleLayout,
    /// The record is damaged: the replica cannot vote on this key until the record is filled.
    Damaged,
    /// No reply arrived, or the replica's disk is unavailable. Whether the request took effect is
    /// unknown.
    #[serde(rename = "Away")]
    Unavailable,
    /// The address belongs to another disk than the addressed one; nothing was changed.
    OtherDisk,
    /// The replica does not have the version that the delta is based on.
    #[serde(rename = "NeedWhole")]
    NeedsFullValue,
}

impl RegisterReply {
    /// Whether the reply counts towards a quorum.
    pub fn is_grant(&self) -> bool {
        matches!(
            self,
            RegisterReply::Promised { .. }
                | RegisterReply::Accepted
                | RegisterReply::Reported { .. }
        )
    }
}
