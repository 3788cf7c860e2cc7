//! The proposer: the state transitions that the replies of the replicas cause. Pure functions without
//! I/O or waiting.

use super::message::{Ballot, RegisterReply};
use super::quorum::ReplicaSet;
use std::sync::Arc;

/// Why a change is not known to be decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChangeError {
    /// The change is certainly not on any disk.
    NotApplied,
    /// Some disk may have accepted the change: it may be decided later, or never.
    Undecided,
    /// This process may not propose for the key at the moment; nothing was changed.
    NotProposer,
}

/// The reply from one disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Vote {
    /// Identity of the disk.
    pub disk: String,
    /// The disk's reply.
    pub reply: RegisterReply,
    /// The payload of the reply.
    pub value: Vec<u8>,
}

/// The replies to one request that was sent to all replicas of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Round {
    /// Replies that grant the request, at most one per disk.
    pub granted: Vec<Vote>,
    /// The highest ballot number reported by a rejection; 0 if there was none.
    pub highest_promised: u64,
    /// Number of disks for which it is unknown whether the request took effect.
    pub unknown_outcomes: usize,
    /// Disks that need the complete value: their record is damaged, or they lack the version that a
    /// delta is based on.
    pub damaged: Vec<String>,
    /// Disks whose reply is not a grant.
    pub denied: Vec<String>,
}

impl Round {
    /// Adds one reply.
    pub fn record(&mut self, vote: Vote) {
        if !vote.reply.is_grant() {
            self.denied.push(vote.disk.clone());
        }
        match vote.reply {
            RegisterReply::Promised { .. }
            | RegisterReply::Accepted
            | RegisterReply::Reported { .. } => self.grant(vote),
            RegisterReply::Rejected { promised } => {
                self.highest_promised = self.highest_promised.max(promised.number)
            }
            RegisterReply::StaleLayout | RegisterReply::OtherDisk => {}
            RegisterReply::Unavailable => self.unknown_outcomes += 1,
            RegisterReply::Damaged | RegisterReply::NeedsFullValue => self.damaged.push(vote.disk),
        }
    }

    fn grant(&mut self, vote: Vote) {
        if !self.has_granted(&vote.disk) {
            self.granted.push(vote);
        }
    }

    /// Whether the disk granted the request.
    pub fn has_granted(&self, disk: &str) -> bool {
        self.granted.iter().any(|vote| vote.disk == disk)
    }

    /// Whether a majority of each set in force granted the request.
    pub fn has_quorum(&self, replicas: &ReplicaSet) -> bool {
        replicas.is_quorum(|disk| self.has_granted(disk))
    }

    /// Whether a quorum has become impossible, whatever the outstanding replies are.
    pub fn cannot_reach_quorum(&self, replicas: &ReplicaSet) -> bool {
        !replicas.is_quorum(|disk| !self.denied.iter().any(|denied| denied == disk))
    }

    /// The error for a round that ended without a quorum.
    pub fn failure(&self) -> ChangeError {
        if self.granted.is_empty() && self.unknown_outcomes == 0 {
            ChangeError::NotApplied
        } else {
            ChangeError::Undecided
        }
    }

    /// The newest value among those that the promises report; the default if no replica has accepted
    /// any.
    fn newest(&self) -> Accepted {
        let promises = self.granted.iter().filter_map(|vote| match vote.reply {
            RegisterReply::Promised { accepted, seq } => Some((accepted, seq, &vote.value)),
            _ => None,
        });
        let newest = promises.max_by_key(|(accepted, seq, _)| (*accepted, *seq));
        newest
            .map(|(ballot, seq, value)| Accepted {
                ballot,
                seq,
                value: value.clone(),
            })
            .unwrap_or_default()
    }
}

/// A value, and the ballot and version under which a replica accepted it.
#[derive(Default)]
struct Accepted {
    ballot: Ballot,
    seq: u64,
    value: Vec<u8>,
}

/// The replies to one read request, for which replicas report their records without promising a
/// ballot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReadRound {
    reports: Vec<Report>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Report {
    disk: String,
    accepted: Ballot,
    seq: u64,
    value: Vec<u8>,
}

impl ReadRound {
    /// Adds one reply; any reply other than a report is ignored.
    pub fn record(&mut self, vote: Vote) {
        if let RegisterReply::Reported { accepted, seq } = vote.reply {
            self.reports.push(Report {
                disk: vote.disk,
                accepted,
                seq,
                value: vote.value,
            });
        }
    }

    /// The newest version reported so far, once a quorum reports exactly that version. It is decided,
    /// because a quorum accepted it under one ballot, and no newer version was decided before the
    /// request was sent.
    pub fn decided(&self, replicas: &ReplicaSet) -> Option<(Ballot, u64, &Vec<u8>)> {
        let newest = self
            .reports
            .iter()
            .max_by_key(|report| (report.accepted, report.seq))?;
        let has_newest_version =
            |report: &&Report| (report.accepted, report.seq) == (newest.accepted, newest.seq);
        let has_quorum = replicas.is_quorum(|disk| {
            self.reports
                .iter()
                .filter(has_newest_version)
                .any(|report| report.disk == disk)
        });
        // A replica omits the value if the sender of the request has the same version. The longest
        // value is the one that was sent; the caller uses its own if none was.
        let longest = self
            .reports
            .iter()
            .filter(has_newest_version)
            .max_by_key(|report| report.value.len())?;
        has_quorum.then_some((newest.accepted, newest.seq, &longest.value))
    }
}

/// The state of a proposer for one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// The prepared ballot. `None` if no ballot is prepared, or while a write under it is undecided.
    ballot: Option<Ballot>,
    /// Highest ballot number used here or reported by a replica.
    highest_number: u64,
    /// The replica set at which the ballot was prepared.
    replicas: ReplicaSet,
    /// The last version known to be decided.
    seq: u64,
    value: Arc<Vec<u8>>,
}

impl Proposer {
    /// The prepared ballot, if it was prepared at the same disks as those of `replicas`.
    pub fn ballot_prepared_at(&self, replicas: &ReplicaSet) -> Option<Ballot> {
        self.ballot
            .filter(|_| self.replicas.has_same_disks(replicas))
    }

    /// The prepared ballot, whatever replicas it was prepared at.
    pub fn ballot(&self) -> Option<Ballot> {
        self.ballot
    }

    /// The last version known to be decided.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The value of that version.
    pub fn value(&self) -> &Arc<Vec<u8>> {
        &self.value
    }

    /// Returns a new ballot above all observed ones, to be prepared. `proposer_id` must never be used
    /// twice. The number is at least the wall clock: an erased key has no record of earlier promises,
    /// and messages or records left from before the erasure must have a lower ballot.
    pub fn prepare(&mut self, proposer_id: u64, wall_clock_ms: u64) -> Ballot {
        self.highest_number = wall_clock_ms.max(self.highest_number + 1);
        self.ballot = None;
        Ballot {
            number: self.highest_number,
            proposer_id,
        }
    }

    /// Takes over the newest value that a quorum of promises reports. It must be accepted under the
    /// new ballot before any other value is proposed. Returns whether any replica had accepted a
    /// value.
    pub fn record_promises(&mut self, replicas: &ReplicaSet, round: &Round) -> bool {
        let newest = round.newest();
        self.seq = newest.seq;
        self.value = Arc::new(newest.value);
        self.replicas = replicas.clone();
        newest.ballot != Ballot::default()
    }

    /// Records that the ballot is prepared and the newest value is accepted under it.
    pub fn set_prepared(&mut self, ballot: Ballot) {
        self.ballot = Some(ballot);
    }

    /// Abandons the prepared ballot and returns it; the next change prepares a new one. This is done
    /// before each write and reverted by `record_decided`: if the caller is cancelled in between, no
    /// ballot remains in use under which some replicas may have accepted the write.
    pub fn abandon_ballot(&mut self) -> Option<Ballot> {
        self.ballot.take()
    }

    /// Records that a quorum accepted the next version under the ballot.
    pub fn record_decided(&mut self, ballot: Ballot, value: Arc<Vec<u8>>) {
        self.ballot = Some(ballot);
        self.seq += 1;
        self.value = value;
    }

    /// Records a ballot number that was promised to another proposer.
    pub fn observe_ballot_number(&mut self, number: u64) {
        self.highest_number = self.highest_number.max(number);
    }
}
