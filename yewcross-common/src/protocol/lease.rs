//! Messages between core processes for the lease of the singleton tasks.

use serde::{Deserialize, Serialize};

/// A process that requests the lease. A process that is restarted on the same disk is a different
/// candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Candidate {
    /// Identity of the process's disk.
    pub disk: String,
    /// Random id, generated when the process starts.
    pub process: u64,
    /// Number of process starts on the disk. It is written to the disk before the process sends any
    /// request. 0 if it is unknown.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Candidate {
    /// Whether this process started on the same disk after the other one had ended.
    pub fn is_restart_of(&self, other: &Candidate) -> bool {
        self.disk == other.disk && self.incarnation > other.incarnation
    }
}

/// A request from a candidate to one granter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Identity of the disk that the request is meant for. Any other disk at that address rejects
    /// it.
    pub granter: String,
    /// The candidate that sends the request.
    pub candidate: Candidate,
    /// Digest of the core replicas of which the candidate needs a majority.
    #[serde(rename = "seats")]
    pub replicas_digest: u64,
    /// The requested operation.
    #[serde(rename = "call")]
    pub operation: LeaseOperation,
    /// Whether the candidate, which has granted the lease to nobody itself, asks for the holder.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_holder: bool,
}

/// The operation that a candidate requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseOperation {
    /// Checks whether the lease is free, without requesting it. It is also the heartbeat that
    /// proves contact with a majority.
    #[serde(rename = "Look")]
    Check,
    /// Requests the lease under a new term.
    Request {
        /// The new term.
        term: u64,
    },
    /// Requests an extension of the lease.
    Renew {
        /// Term under which the candidate holds the lease.
        term: u64,
        /// Number of the renewal within the term.
        round: u64,
        /// The last renewal that the lease holder saw granted by a majority.
        confirmed: u64,
    },
    /// Releases a term, which the candidate does not hold and will never hold again.
    Release {
        /// The released term.
        term: u64,
    },
}

/// The response of a granter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Identity of the disk that responds.
    pub granter: String,
    /// Highest term that the granter has granted or found in a layout.
    pub term: u64,
    /// The granter's decision.
    pub verdict: LeaseVerdict,
    /// Newest version of each document on the granter's disk, decided or not.
    pub versions: Vec<(String, u64)>,
    /// The holder of the lease according to the granter, if the request asked for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<Candidate>,
}

/// The decision of a granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseVerdict {
    /// Response to `Check`: the granter has no unexpired grant, so the lease may be free.
    Free,
    /// Response to `Check`: the lease is held, or may be.
    Held,
    /// The lease is granted or extended.
    Granted,
    /// The term is released.
    Released,
    /// The request is rejected, for this reason.
    Refused(LeaseDenial),
}

/// The reason for which a granter rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseDenial {
    /// The request was meant for another disk than the one at this address.
    OtherDisk,
    /// The granter is not a core replica, or its set of core replicas differs from the candidate's.
    #[serde(rename = "OtherSeats")]
    OtherReplicas,
    /// The same or a higher term was granted before.
    OldTerm,
    /// The lease is held, or may be held under a grant that the granter has lost.
    NotFree,
    /// The lease holder keeps renewing although it does not receive the responses of a majority.
    Unconfirmed,
    /// The grant could not be stored on the granter's disk.
    DiskFailed,
}
