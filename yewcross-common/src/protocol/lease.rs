//! Messages of the lease of the singleton tasks, between core processes.

use serde::{Deserialize, Serialize};

/// A process that asks for the lease. A process that restarts on the same disk is another
/// candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Candidate {
    /// Identity of its disk.
    pub disk: String,
    /// Drawn at random when the process starts.
    pub process: u64,
    /// Incarnation: how often processes have started on the disk. It is on the disk before the
    /// process requests anything. 0: not known.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Candidate {
    /// Whether this is a process that started on the same disk after the other one had ended.
    pub fn is_restart_of(&self, other: &Candidate) -> bool {
        self.disk == other.disk && self.incarnation > other.incarnation
    }
}

/// A request of a candidate to one granter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Identity of the disk whose answer is requested. Any other at that address rejects it.
    pub granter: String,
    /// Who requests.
    pub candidate: Candidate,
    /// Digest of the core replicas among which the candidate counts its majority.
    #[serde(rename = "seats")]
    pub replicas_digest: u64,
    /// What is requested.
    #[serde(rename = "call")]
    pub operation: LeaseOperation,
    /// The candidate has granted the lease to nobody and asks who holds it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_holder: bool,
}

/// What a candidate requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseOperation {
    /// Asks whether the lease is free, and nothing else. It doubles as the heartbeat that shows
    /// contact with a majority.
    #[serde(rename = "Look")]
    Check,
    /// Asks for the lease under a new term.
    Request {
        /// The new term.
        term: u64,
    },
    /// Asks to extend it.
    Renew {
        /// Term under which the candidate holds the lease.
        term: u64,
        /// Number of the renewal within the term.
        round: u64,
        /// The last renewal that a majority granted, as the lease holder saw it.
        confirmed: u64,
    },
    /// The candidate does not hold this term and never will again.
    Release {
        /// The term that is given up.
        term: u64,
    },
}

/// The answer of a granter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Identity of the disk that answers.
    pub granter: String,
    /// Highest term it has granted or seen in a layout.
    pub term: u64,
    /// What the granter decided.
    pub verdict: LeaseVerdict,
    /// Newest version of each document that the granter's disk holds, decided or not.
    pub versions: Vec<(String, u64)>,
    /// Who holds the lease, as far as the granter knows, where that was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<Candidate>,
}

/// What a granter decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseVerdict {
    /// To `Look`: the lease is free, as far as the granter knows.
    Free,
    /// To `Look`: the lease is held, or may be.
    Held,
    /// The lease is granted or extended.
    Granted,
    /// The term is released.
    Released,
    /// The request is rejected, for this reason.
    Refused(LeaseDenial),
}

/// Why a granter rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseDenial {
    /// Another disk answers at this address.
    OtherDisk,
    /// The granter is no core replica, or knows other core replicas than the candidate.
    #[serde(rename = "OtherSeats")]
    OtherReplicas,
    /// A term as high was granted before.
    OldTerm,
    /// The lease is held, or may be held by a grant that the granter does not remember.
    NotFree,
    /// The lease holder renews again and again without the answers of a majority reaching it.
    Unconfirmed,
    /// The granter's disk does not keep the grant.
    DiskFailed,
}
