//! The proposer: what follows from the replies of the replicas. Pure: no input, output or waiting.

use super::message::{Ballot, RegisterReply};
use super::quorum::ReplicaSet;
use std::sync::Arc;

/// Why a change did not get through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ChangeError {
    /// Nothing of the change can be on any disk.
    NotApplied,
    /// Some disk may have it: it may be decided later, or never.
    Undecided,
    /// Another process proposes for this key; nothing was done here.
    NotProposer,
}

/// The reply of one disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Vote {
    /// Identity of the disk.
    pub disk: String,
    /// Its reply.
    pub reply: RegisterReply,
    /// The value that came with the reply.
    pub value: Vec<u8>,
}

/// The replies to one request that is sent to all replicas of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Round {
    /// Replies that grant the request, one a disk.
    pub granted: Vec<Vote>,
    /// Highest ballot number that a rejection reported.
    pub highest_promised: u64,
    /// Disks of which it is not known what they did.
    pub unknown_outcomes: usize,
    /// Disks whose record is damaged.
    pub damaged: Vec<String>,
    /// Disks that replied anything else than a grant.
    pub denied: Vec<String>,
}

impl Round {
    /// Counts one reply.
    pub fn record(&mut self, vote: Vote) {
        if !vote.reply.is_grant() {
            self.denied.push(vote.disk.clone());
        }
        match vote.reply {
            RegisterReply::Promised { .. }
            | RegisterReply::Accepted
            | RegisterReply::Looked { .. } => self.grant(vote),
            RegisterReply::Refused { promised } => {
                self.highest_promised = self.highest_promised.max(promised.n)
            }
            RegisterReply::OldLayout | RegisterReply::OtherDisk => {}
            RegisterReply::Away => self.unknown_outcomes += 1,
            RegisterReply::Damaged | RegisterReply::NeedWhole => self.damaged.push(vote.disk),
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

    /// Whether no quorum can come of it any more, whatever the replicas say that have not replied
    /// yet.
    pub fn cannot_reach_quorum(&self, replicas: &ReplicaSet) -> bool {
        !replicas.is_quorum(|disk| !self.denied.iter().any(|denied| denied == disk))
    }

    /// What a round without a quorum leaves behind.
    pub fn failure(&self) -> ChangeError {
        if self.granted.is_empty() && self.unknown_outcomes == 0 {
            ChangeError::NotApplied
        } else {
            ChangeError::Undecided
        }
    }

    /// The newest value that the promises report; the default where no replica ever accepted one.
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

/// A value as a replica accepted it.
#[derive(Default)]
struct Accepted {
    ballot: Ballot,
    seq: u64,
    value: Vec<u8>,
}

/// What the replicas report of their records, without having promised anything.
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
    /// Takes in one reply; anything but a report is ignored.
    pub fn record(&mut self, vote: Vote) {
        if let RegisterReply::Looked { accepted, seq } = vote.reply {
            self.reports.push(Report {
                disk: vote.disk,
                accepted,
                seq,
                value: vote.value,
            });
        }
    }

    /// The newest version reported so far, once a quorum reports just that one: it was decided,
    /// under a ballot that the quorum accepted, and nothing newer was decided before the replicas
    /// were asked.
    pub fn decided(&self, replicas: &ReplicaSet) -> Option<(Ballot, u64, &Vec<u8>)> {
        let newest = self
            .reports
            .iter()
            .max_by_key(|report| (report.accepted, report.seq))?;
        let is_newest =
            |report: &&Report| (report.accepted, report.seq) == (newest.accepted, newest.seq);
        let has_quorum = replicas.is_quorum(|disk| {
            self.reports
                .iter()
                .filter(is_newest)
                .any(|report| report.disk == disk)
        });
        // A replica sends no value if the asker has the same version: the asker then uses its own.
        let fullest = self
            .reports
            .iter()
            .filter(is_newest)
            .max_by_key(|report| report.value.len())?;
        has_quorum.then_some((newest.accepted, newest.seq, &fullest.value))
    }
}

/// The state of a proposer for one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// The ballot that it leads with; none while it does not lead, or while a write under it is
    /// undecided.
    ballot: Option<Ballot>,
    /// Highest ballot number seen anywhere.
    highest: u64,
    /// The replicas that promised the ballot.
    replicas: ReplicaSet,
    /// The version decided last, as far as it is known.
    seq: u64,
    value: Arc<Vec<u8>>,
}

impl Proposer {
    /// The ballot to continue with, where it was prepared at these replicas.
    pub fn ballot_prepared_at(&self, replicas: &ReplicaSet) -> Option<Ballot> {
        self.ballot
            .filter(|_| self.replicas.has_same_disks(replicas))
    }

    /// The ballot that it leads with.
    pub fn ballot(&self) -> Option<Ballot> {
        self.ballot
    }

    /// The version decided last, as far as it is known.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The value of that version.
    pub fn value(&self) -> &Arc<Vec<u8>> {
        &self.value
    }

    /// Begins to prepare a ballot above all that were seen. `proposer` is never used twice. `clock`
    /// is the wall clock, ms: a key that was erased begins anew with nothing promised, and whatever
    /// is left of its earlier incarnation must rank below.
    pub fn prepare(&mut self, proposer: u64, clock: u64) -> Ballot {
        self.highest = clock.max(self.highest + 1);
        self.ballot = None;
        Ballot {
            n: self.highest,
            by: proposer,
        }
    }

    /// A quorum promised: the newest value that it reports has to be accepted anew under the
    /// ballot before anything else happens. Returns whether there is one.
    pub fn record_promises(&mut self, replicas: &ReplicaSet, round: &Round) -> bool {
        let newest = round.newest();
        self.seq = newest.seq;
        self.value = Arc::new(newest.value);
        self.replicas = replicas.clone();
        newest.ballot != Ballot::default()
    }

    /// The ballot is prepared, and the newest value is accepted under it.
    pub fn set_prepared(&mut self, ballot: Ballot) {
        self.ballot = Some(ballot);
    }

    /// Gives the ballot up: the next change prepares a new one. This is done before each write and
    /// undone when the write is decided: a caller that stops waiting leaves no ballot behind under
    /// which some replicas may have accepted the write.
    pub fn abandon_ballot(&mut self) -> Option<Ballot> {
        self.ballot.take()
    }

    /// A quorum accepted the next version.
    pub fn record_decided(&mut self, ballot: Ballot, value: Arc<Vec<u8>>) {
        self.ballot = Some(ballot);
        self.seq += 1;
        self.value = value;
    }

    /// Another proposer was promised this much.
    pub fn observe_ballot_number(&mut self, number: u64) {
        self.highest = self.highest.max(number);
    }
}
