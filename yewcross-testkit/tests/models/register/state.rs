//! A state of the model: machines, processes, the network, and what was decided.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use yewcross_common::register::acceptor::Record;
use yewcross_common::register::proposer::{Proposer, ReadRound, Round};
use yewcross_common::register::{Ballot, RegisterRequest};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Machine {
    pub(super) disk: &'static str,
    /// Newest layout that the disk keeps.
    pub(super) layout: u64,
    pub(super) record: Record,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Intent {
    Prepare,
    /// Accept the newest value under the prepared ballot.
    Recover,
    Write {
        change: u8,
        value: Arc<Vec<u8>>,
    },
    Confirm,
    Look,
}

/// A request that a process waits for the answers of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Pending {
    pub(super) id: u8,
    pub(super) intent: Intent,
    pub(super) ballot: Ballot,
    pub(super) layout: u64,
    pub(super) round: Round,
    pub(super) survey: ReadRound,
    /// Addresses that the request has reached, and those whose answer arrived.
    pub(super) reached: BTreeSet<usize>,
    pub(super) answered: BTreeSet<usize>,
    /// Changes that were acknowledged when the prepare, read or look began.
    pub(super) floor: Vec<u8>,
    /// The old replicas had kept the joint layout when it began.
    pub(super) fenced: bool,
    /// An answer of another disk than the one asked was counted.
    pub(super) forgetful: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process {
    pub(super) proposer: Proposer,
    pub(super) layout: u64,
    pub(super) pending: Option<Pending>,
    pub(super) prepares: u8,
    pub(super) changes: u8,
    pub(super) reads: u8,
    pub(super) looks: u8,
    pub(super) restarts: u8,
    /// Ballots prepared and requests sent, over all lives.
    pub(super) ballots: u8,
    pub(super) sent: u8,
    /// The value was taken under both sets, the old one fenced.
    pub(super) may_finish: bool,
}

/// A request in the network, to any of the replicas of its layout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Sent {
    pub(super) process: usize,
    pub(super) id: u8,
    pub(super) layout: u64,
    pub(super) request: RegisterRequest,
    pub(super) blob: Arc<Vec<u8>>,
    /// Addresses that it has reached, a bit each; kept only where nothing is doubled.
    pub(super) reached: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) machines: Vec<Machine>,
    pub(super) processes: Vec<Arc<Process>>,
    pub(super) network: BTreeSet<Arc<Sent>>,
    /// Newest layout decided.
    pub(super) layout: u64,
    pub(super) wiped: bool,
    pub(super) decided: BTreeMap<u64, Arc<Vec<u8>>>,
    /// Version and number of each change acknowledged.
    pub(super) acknowledged: BTreeSet<(u64, u8)>,
    pub(super) refused: BTreeSet<u8>,
    pub(super) violated: Option<&'static str>,
}

impl State {
    /// Changes that were acknowledged so far.
    pub(super) fn acknowledged_changes(&self) -> Vec<u8> {
        self.acknowledged
            .iter()
            .map(|(_, change)| *change)
            .collect()
    }
}
