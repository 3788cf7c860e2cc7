//! Messages of the duty lease between core processes.

use serde::{Deserialize, Serialize};

/// A process that asks for the lease. A process that restarts on the same disk is another
/// candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Candidate {
    /// Identity of its disk.
    pub disk: String,
    /// Drawn at its start.
    pub process: u64,
    /// How often processes have started on the disk; it is on the disk before the process asks for
    /// anything. 0: not known.
    #[serde(default)]
    pub life: u64,
}

impl Candidate {
    /// Whether this is a process that started on the same disk after the other one had ended.
    pub fn succeeds(&self, other: &Candidate) -> bool {
        self.disk == other.disk && self.life > other.life
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The disk whose answer is asked for. Whoever else listens at that address refuses.
    pub granter: String,
    pub candidate: Candidate,
    /// Digest of the core seats that the asker counts its majority in.
    pub seats: u64,
    pub call: LeaseOperation,
    /// The asker has granted the lease to nobody and asks who holds it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_holder: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseOperation {
    /// Asks whether the lease is free, and nothing else. It doubles as the heartbeat that shows
    /// contact with a majority.
    Look,
    /// Asks for the lease under a new term.
    Request { term: u64 },
    /// Asks to extend it. `confirmed` is the last round that a majority granted, as the holder saw
    /// it.
    Renew {
        term: u64,
        round: u64,
        confirmed: u64,
    },
    /// The candidate does not hold this term and never will again.
    Release { term: u64 },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The disk that answers.
    pub granter: String,
    /// Highest term it has granted or seen in a layout.
    pub term: u64,
    pub verdict: LeaseVerdict,
    /// Newest version of each document that the granter's disk holds, decided or not.
    pub versions: Vec<(String, u64)>,
    /// Who holds the lease, as far as the granter knows, where that was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<Candidate>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseVerdict {
    Free,
    Held,
    Granted,
    Released,
    Refused(LeaseDenial),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseDenial {
    /// Another disk answers at this address.
    OtherDisk,
    /// The granter has no seat, or knows other core seats than the asker.
    OtherSeats,
    /// A term as high was granted before.
    OldTerm,
    /// The lease is held, or may be held by a grant that the granter does not remember.
    NotFree,
    /// The holder asks round after round without a majority's answer reaching it.
    Unconfirmed,
    /// The granter's disk does not keep the grant.
    DiskFailed,
}
