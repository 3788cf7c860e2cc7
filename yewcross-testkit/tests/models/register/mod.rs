//! The register as a model: the acceptor and the proposer that the tier runs, with every order of
//! messages.
//!
//! A request that was sent may be delivered at any later time, any number of times, or never, and
//! its answer may be lost: so messages are lost, doubled and late. The answers of a link come in
//! the order of its requests, and the first to a request counts: where a request is doubled, the
//! second answer does not. A process that stops and starts again loses what it knows as a proposer;
//! what it promised and accepted is on disk. A wiped machine is back at its address with a new,
//! empty disk.
//!
//! A value is the list of the changes that led to it. Each change appends its own number, so that a
//! value tells which changes stand. The version of the layout is decided in one step here: that
//! register is one of those modelled.
//!
//! `state` is what the explorer remembers, `sending` what proposers ask, `delivery` what replicas do
//! with it, `conclusion` what proposers make of the answers; `steps` puts them together.

mod conclusion;
mod delivery;
mod sending;
mod state;
mod steps;

pub use steps::Action;

use state::State;
use std::net::SocketAddr;
use std::sync::Arc;
use yewcross_common::register::acceptor::Record;
use yewcross_common::register::{Ballot, ReplicaLocation, ReplicaSet, majority};

pub const TWO_VALUES: &str = "two values are decided under one version";
pub const TWO_WINNERS: &str = "two changes are acknowledged under one version";
pub const LOST: &str = "an acknowledged change is lost";
pub const REFUSED_STANDS: &str = "a change that was refused stands";
pub const FORGETFUL_VOTE: &str = "an answer of a disk that was not asked completes a majority";

/// The disk of a machine that was wiped.
const NEW_DISK: &str = "new";

/// The calendar, above all ballots of an earlier life.
const CLOCK: u64 = 10;

/// A ballot of an earlier life, and what it left behind.
const EARLIER: Ballot = Ballot {
    number: 3,
    proposer_id: 7,
};

/// A rule that is left out, to see that the properties can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// An answer counts for the disk that was last known at the address.
    VotesByAddress,
    /// A replica accepts under any ballot.
    AcceptAnyBallot,
    /// A proposer does not take over the value that its promises tell of.
    ForgetsAcceptedValue,
    /// A proposer counts itself as leading without having asked again.
    ReadsWithoutConfirm,
    /// A copy that one replica tells of counts as decided.
    LooksAtOneCopy,
    /// While the replicas change, a majority of the new ones is enough.
    NewSetAlone,
    /// While the replicas change, a majority of the old ones is enough.
    OldSetAlone,
    /// The old replicas are left without the value having been taken under both sets.
    FinishesUnseen,
    /// To end a change, old replicas count that still answer proposers that do not know of it.
    CountsOldUnfenced,
    /// The old replicas are left though they still answer proposers that do not know of the change.
    FinishesUnfenced,
    /// A key that was erased begins anew with ballots from 1.
    BallotsBeginAnew,
}

/// What may happen, and how often. All bounds are exact: the explorer visits everything within
/// them.
#[derive(Clone, Debug)]
pub struct Register {
    pub fault: Fault,
    /// Prepares, changes, reads at the leader and looks, by proposer.
    pub proposers: Vec<Budget>,
    /// Address and disk of each machine at the start.
    pub machines: Vec<&'static str>,
    /// The replica sets by the number of the layout, from 1.
    pub layouts: Vec<ReplicaSet>,
    /// Machines, by address, one of which may lose its disk.
    pub wipes: Vec<usize>,
    /// What is left on the disks of a life of the key before it was erased, by address.
    pub leftovers: Vec<(usize, Record)>,
    /// A process that led in that life, and slept since.
    pub sleeper: Option<usize>,
    /// A process that never hears of the change of replicas.
    pub unaware: Option<usize>,
    /// A request may reach a replica more than once.
    pub doubled: bool,
    /// Only these properties are looked at; all where it is empty.
    pub only: Vec<&'static str>,
}

/// The model, and what is looked up in it often.
pub struct Checked {
    model: Register,
    /// The sets that must agree, as the fault has them, by layout.
    counted: Vec<ReplicaSet>,
    /// Address and disk of each replica, by layout.
    seats: Vec<Vec<(usize, ReplicaLocation)>>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    pub prepares: u8,
    pub changes: u8,
    pub reads: u8,
    pub looks: u8,
    pub restarts: u8,
}

/// What an earlier life of a key left on a disk.
pub fn leftover() -> Record {
    Record {
        promised: EARLIER,
        accepted: EARLIER,
        seq: 2,
        value: Arc::new(vec![200, 201]),
        damaged: false,
    }
}

/// The seat of a disk whose machine is at the address.
pub fn seat(disk: &str, address: usize) -> ReplicaLocation {
    ReplicaLocation {
        disk: disk.into(),
        addr: Some(SocketAddr::from(([10, 0, 0, address as u8], 1))),
    }
}

fn address_of(seat: &ReplicaLocation) -> usize {
    match seat.addr {
        Some(SocketAddr::V4(addr)) => usize::from(addr.ip().octets()[3]),
        _ => usize::MAX,
    }
}

fn counted(model: &Register, replicas: &ReplicaSet) -> ReplicaSet {
    let mut replicas = replicas.clone();
    match model.fault {
        Fault::NewSetAlone => replicas.previous.clear(),
        Fault::OldSetAlone if !replicas.previous.is_empty() => {
            replicas.current = std::mem::take(&mut replicas.previous)
        }
        _ => {}
    }
    replicas
}

impl Checked {
    pub fn new(model: &Register) -> Checked {
        let seats = |replicas: &ReplicaSet| {
            replicas
                .all()
                .into_iter()
                .map(|seat| (address_of(&seat), seat))
                .collect()
        };
        Checked {
            counted: model
                .layouts
                .iter()
                .map(|replicas| counted(model, replicas))
                .collect(),
            seats: model.layouts.iter().map(seats).collect(),
            model: model.clone(),
        }
    }

    fn replicas(&self, layout: u64) -> &ReplicaSet {
        &self.model.layouts[layout as usize - 1]
    }

    fn counted(&self, layout: u64) -> &ReplicaSet {
        &self.counted[layout as usize - 1]
    }

    fn seats(&self, layout: u64) -> &[(usize, ReplicaLocation)] {
        &self.seats[layout as usize - 1]
    }

    fn is_joint(&self, layout: u64) -> bool {
        !self.replicas(layout).previous.is_empty()
    }

    /// So many of the old replicas refuse older layouts that no majority of them is left for a
    /// proposer of before.
    fn is_fenced(&self, state: &State) -> bool {
        let old = &self.replicas(state.layout).previous;
        let kept = |seat: &&ReplicaLocation| {
            let machine = &state.machines[address_of(seat)];
            machine.disk == seat.disk && machine.layout >= state.layout
        };
        let kept = old.iter().filter(kept).count();
        self.model.fault == Fault::FinishesUnfenced
            || (kept >= majority(old.len()) && old.len() - kept < majority(old.len()))
    }
}
