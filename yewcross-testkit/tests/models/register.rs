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

use super::explorer::Model;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use yewcross_common::register::acceptor::{self, Effect, Record};
use yewcross_common::register::proposer::{ChangeError, Proposer, Round, Survey, Vote};
use yewcross_common::register::{
    Ballot, RegisterReply, RegisterRequest, ReplicaSet, Seat, majority,
};

pub const TWO_VALUES: &str = "two values are decided under one version";
pub const TWO_WINNERS: &str = "two changes are acknowledged under one version";
pub const LOST: &str = "an acknowledged change is lost";
pub const REFUSED_STANDS: &str = "a change that was refused stands";
pub const FORGETFUL_VOTE: &str = "an answer of a disk that was not asked completes a majority";

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
    seats: Vec<Vec<(usize, Seat)>>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    pub prepares: u8,
    pub changes: u8,
    pub reads: u8,
    pub looks: u8,
    pub restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    disk: &'static str,
    /// Newest layout that the disk keeps.
    layout: u64,
    record: Record,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Intent {
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
struct Pending {
    id: u8,
    intent: Intent,
    ballot: Ballot,
    layout: u64,
    round: Round,
    survey: Survey,
    /// Addresses that the request has reached, and those whose answer arrived.
    reached: BTreeSet<usize>,
    answered: BTreeSet<usize>,
    /// Changes that were acknowledged when the prepare, read or look began.
    floor: Vec<u8>,
    /// The old replicas had kept the joint layout when it began.
    fenced: bool,
    /// An answer of another disk than the one asked was counted.
    forgetful: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    proposer: Proposer,
    layout: u64,
    pending: Option<Pending>,
    prepares: u8,
    changes: u8,
    reads: u8,
    looks: u8,
    restarts: u8,
    /// Ballots prepared and requests sent, over all lives.
    ballots: u8,
    sent: u8,
    /// The value was taken under both sets, the old one fenced.
    may_finish: bool,
}

/// A request in the network, to any of the replicas of its layout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Sent {
    process: usize,
    id: u8,
    layout: u64,
    request: RegisterRequest,
    blob: Arc<Vec<u8>>,
    /// Addresses that it has reached, a bit each; kept only where nothing is doubled.
    reached: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    machines: Vec<Machine>,
    processes: Vec<Arc<Process>>,
    network: BTreeSet<Arc<Sent>>,
    /// Newest layout decided.
    layout: u64,
    wiped: bool,
    decided: BTreeMap<u64, Arc<Vec<u8>>>,
    /// Version and number of each change acknowledged.
    acknowledged: BTreeSet<(u64, u8)>,
    refused: BTreeSet<u8>,
    violated: Option<&'static str>,
}

#[derive(Clone, Debug)]
pub enum Action {
    Prepare(usize),
    Change(usize),
    Read(usize),
    Look(usize),
    /// The request of a process reaches the machine at the address; the answer arrives, or is lost.
    Deliver {
        process: usize,
        request: u8,
        address: usize,
        answered: bool,
    },
    Conclude(usize),
    GiveUp(usize),
    Restart(usize),
    Wipe(usize),
    /// The change of replicas is decided.
    BeginChange,
    /// An old replica keeps the joint layout, and refuses the one before.
    Keep(usize),
    /// A process goes by the newest layout.
    Learn(usize),
    Finish,
}

const NEW_DISK: &str = "new";

/// The calendar, above all ballots of an earlier life.
const CLOCK: u64 = 10;

/// A ballot of an earlier life, and what it left behind.
const EARLIER: Ballot = Ballot { n: 3, by: 7 };
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
pub fn seat(disk: &str, address: usize) -> Seat {
    Seat {
        disk: disk.into(),
        addr: Some(SocketAddr::from(([10, 0, 0, address as u8], 1))),
    }
}

fn address_of(seat: &Seat) -> usize {
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

    fn seats(&self, layout: u64) -> &[(usize, Seat)] {
        &self.seats[layout as usize - 1]
    }

    fn is_joint(&self, layout: u64) -> bool {
        !self.replicas(layout).previous.is_empty()
    }

    /// So many of the old replicas refuse older layouts that no majority of them is left for a
    /// proposer of before.
    fn is_fenced(&self, state: &State) -> bool {
        let old = &self.replicas(state.layout).previous;
        let kept = |seat: &&Seat| {
            let machine = &state.machines[address_of(seat)];
            machine.disk == seat.disk && machine.layout >= state.layout
        };
        let kept = old.iter().filter(kept).count();
        self.model.fault == Fault::FinishesUnfenced
            || (kept >= majority(old.len()) && old.len() - kept < majority(old.len()))
    }

    fn start(&self, state: &mut State, index: usize, intent: Intent, ballot: Ballot) {
        let layout = state.processes[index].layout;
        let floor = state
            .acknowledged
            .iter()
            .map(|(_, change)| *change)
            .collect();
        let fenced = layout == state.layout && self.is_joint(layout) && self.is_fenced(state);
        let process = Arc::make_mut(&mut state.processes[index]);
        process.sent += 1;
        let id = process.sent;
        let (key, lay, seq) = (String::new(), layout, process.proposer.seq());
        let (request, blob) = match &intent {
            Intent::Prepare => (
                RegisterRequest::Promise {
                    key,
                    epoch: ballot,
                    lay,
                },
                Arc::default(),
            ),
            Intent::Recover => (
                RegisterRequest::Accept {
                    key,
                    epoch: ballot,
                    seq,
                    lay,
                    delta: false,
                },
                process.proposer.value().clone(),
            ),
            Intent::Write { value, .. } => (
                RegisterRequest::Accept {
                    key,
                    epoch: ballot,
                    seq: seq + 1,
                    lay,
                    delta: false,
                },
                value.clone(),
            ),
            Intent::Confirm => (
                RegisterRequest::Confirm {
                    key,
                    epoch: ballot,
                    lay,
                },
                Arc::default(),
            ),
            Intent::Look => (
                RegisterRequest::Look {
                    key,
                    lay,
                    have: (Ballot { n: u64::MAX, by: 0 }, 0),
                },
                Arc::default(),
            ),
        };
        state.network.insert(Arc::new(Sent {
            process: index,
            id,
            layout,
            request,
            blob,
            reached: 0,
        }));
        process.pending = Some(Pending {
            id,
            intent,
            ballot,
            layout,
            round: Round::default(),
            survey: Survey::default(),
            reached: BTreeSet::new(),
            answered: BTreeSet::new(),
            floor,
            fenced,
            forgetful: false,
        });
    }

    fn prepare(&self, state: &mut State, index: usize) {
        let process = Arc::make_mut(&mut state.processes[index]);
        process.prepares -= 1;
        process.ballots += 1;
        let mark = (index as u64 + 1) * 16 + u64::from(process.ballots);
        let clock = if self.model.fault == Fault::BallotsBeginAnew {
            0
        } else {
            CLOCK
        };
        let ballot = process.proposer.prepare(mark, clock);
        self.start(state, index, Intent::Prepare, ballot);
    }

    fn change(&self, state: &mut State, index: usize) {
        let process = Arc::make_mut(&mut state.processes[index]);
        let change = index as u8 * 16 + process.changes;
        process.changes -= 1;
        let mut value = process.proposer.value().to_vec();
        value.push(change);
        let Some(ballot) = process.proposer.resign() else {
            return;
        };
        self.start(
            state,
            index,
            Intent::Write {
                change,
                value: Arc::new(value),
            },
            ballot,
        );
    }

    fn read(&self, state: &mut State, index: usize) {
        Arc::make_mut(&mut state.processes[index]).reads -= 1;
        let Some(ballot) = state.processes[index].proposer.ballot() else {
            return;
        };
        if self.model.fault == Fault::ReadsWithoutConfirm {
            let floor: Vec<u8> = state
                .acknowledged
                .iter()
                .map(|(_, change)| *change)
                .collect();
            self.check_value(state, index, &floor);
            return;
        }
        self.start(state, index, Intent::Confirm, ballot);
    }

    /// What the machine at the address does with the request, as the disk that is there now.
    fn deliver(&self, state: &mut State, sent: &Sent, address: usize, answered: bool) {
        let Some((_, seat)) = self
            .seats(sent.layout)
            .iter()
            .find(|(at, _)| *at == address)
        else {
            return;
        };
        let machine = &mut state.machines[address];
        let has_kept = machine.layout > 1;
        let is_other = machine.disk != seat.disk;
        let (reply, value) = if is_other && self.model.fault != Fault::VotesByAddress {
            (RegisterReply::OtherDisk, None)
        } else {
            if let (Fault::AcceptAnyBallot, RegisterRequest::Accept { epoch, .. }) =
                (self.model.fault, &sent.request)
            {
                machine.record.promised = *epoch;
            }
            let kept = if self.model.fault == Fault::FinishesUnfenced {
                0
            } else {
                machine.layout
            };
            let step = acceptor::handle(&machine.record, kept, &sent.request, sent.blob.to_vec());
            match step.effect {
                Effect::None => {}
                Effect::Write(record) => machine.record = record,
                Effect::Erase => machine.record = Record::default(),
            }
            (step.reply, step.value)
        };
        let process = Arc::make_mut(&mut state.processes[sent.process]);
        let pending = process
            .pending
            .as_mut()
            .filter(|pending| pending.id == sent.id);
        let Some(pending) = pending else { return };
        let is_first = pending.reached.insert(address);
        if !is_first || !answered {
            return;
        }
        pending.answered.insert(address);
        let vote = Vote {
            disk: seat.disk.clone(),
            reply,
            value: value.map(|value| value.to_vec()).unwrap_or_default(),
        };
        if pending.intent == Intent::Look {
            // To end a change, an old replica counts only once it refuses proposers that do not
            // know of the change.
            let is_old = self.replicas(sent.layout).previous.contains(seat);
            if !is_old || has_kept || self.model.fault == Fault::CountsOldUnfenced {
                pending.survey.record(vote);
            }
            return;
        }
        let before = pending.round.granted.len();
        pending.round.record(vote);
        pending.forgetful |= is_other && pending.round.granted.len() > before;
    }

    /// Whether an answer from the address would count. None does once there is a quorum.
    fn awaits(&self, state: &State, sent: &Sent, address: usize) -> bool {
        let pending = state.processes[sent.process]
            .pending
            .as_ref()
            .filter(|pending| pending.id == sent.id);
        pending
            .is_some_and(|pending| !pending.reached.contains(&address) && !self.is_decided(pending))
    }

    /// A process that gives up and can do nothing more is like one that waits for ever, unless it
    /// reports a refusal.
    fn is_worth_giving_up(&self, process: &Process, pending: &Pending) -> bool {
        let all_answered = pending.answered.len() == self.seats(pending.layout).len();
        let reports = matches!(pending.intent, Intent::Write { .. }) && all_answered;
        reports || (process.prepares > 0 && pending.intent != Intent::Look)
    }

    fn is_decided(&self, pending: &Pending) -> bool {
        let replicas = self.counted(pending.layout);
        match pending.intent {
            Intent::Look if self.model.fault == Fault::LooksAtOneCopy => {
                !pending.answered.is_empty()
            }
            Intent::Look => pending.survey.decided(replicas).is_some(),
            _ => pending.round.has_quorum(replicas),
        }
    }

    fn conclude(&self, state: &mut State, index: usize) {
        let Some(pending) = Arc::make_mut(&mut state.processes[index]).pending.take() else {
            return;
        };
        if pending.forgetful {
            self.report(state, FORGETFUL_VOTE);
        }
        let replicas = self.replicas(pending.layout);
        let process = Arc::make_mut(&mut state.processes[index]);
        match pending.intent {
            Intent::Prepare => {
                let forgets = self.model.fault == Fault::ForgetsAcceptedValue;
                let round = if forgets {
                    &Round::default()
                } else {
                    &pending.round
                };
                if process.proposer.promised(replicas, round) {
                    self.start(state, index, Intent::Recover, pending.ballot);
                    if let Some(next) = &mut Arc::make_mut(&mut state.processes[index]).pending {
                        (next.floor, next.fenced) = (pending.floor, pending.fenced);
                    }
                    return;
                }
                self.lead(state, index, &pending);
            }
            Intent::Recover => self.lead(state, index, &pending),
            Intent::Write { change, value } => {
                process.proposer.decided(pending.ballot, value);
                let seq = process.proposer.seq();
                self.decide(state, index);
                if state
                    .acknowledged
                    .iter()
                    .any(|(version, _)| *version == seq)
                {
                    self.report(state, TWO_WINNERS);
                }
                state.acknowledged.insert((seq, change));
            }
            Intent::Confirm => {
                process.may_finish |= pending.fenced;
                self.check_value(state, index, &pending.floor);
            }
            Intent::Look => {
                let seen = match pending.survey.decided(self.counted(pending.layout)) {
                    Some((_, _, value)) => value.clone(),
                    None => vec![],
                };
                // Whoever ends a change concludes nothing from the value.
                if pending.fenced {
                    Arc::make_mut(&mut state.processes[index]).may_finish = true;
                } else {
                    self.check_holds(state, &seen, &pending.floor);
                }
            }
        }
    }

    fn lead(&self, state: &mut State, index: usize, pending: &Pending) {
        let process = Arc::make_mut(&mut state.processes[index]);
        process.proposer.lead(pending.ballot);
        process.may_finish |= pending.fenced;
        self.decide(state, index);
        self.check_value(state, index, &pending.floor);
    }

    /// A quorum accepted what the proposer holds.
    fn decide(&self, state: &mut State, index: usize) {
        let proposer = &state.processes[index].proposer;
        let (seq, value) = (proposer.seq(), proposer.value().clone());
        if seq == 0 {
            return;
        }
        if state.decided.get(&seq).is_some_and(|known| *known != value) {
            self.report(state, TWO_VALUES);
        }
        state.decided.insert(seq, value);
    }

    fn check_value(&self, state: &mut State, index: usize, floor: &[u8]) {
        let value = state.processes[index].proposer.value().to_vec();
        self.check_holds(state, &value, floor);
    }

    fn check_holds(&self, state: &mut State, value: &[u8], floor: &[u8]) {
        if floor.iter().any(|change| !value.contains(change)) {
            self.report(state, LOST);
        }
        if value.iter().any(|change| state.refused.contains(change)) {
            self.report(state, REFUSED_STANDS);
        }
    }

    fn report(&self, state: &mut State, property: &'static str) {
        if self.model.only.is_empty() || self.model.only.contains(&property) {
            state.violated = Some(property);
        }
    }

    fn give_up(&self, state: &mut State, index: usize) {
        let Some(mut pending) = Arc::make_mut(&mut state.processes[index]).pending.take() else {
            return;
        };
        for (address, seat) in self.seats(pending.layout) {
            if !pending.answered.contains(address) {
                pending.round.record(Vote {
                    disk: seat.disk.clone(),
                    reply: RegisterReply::Away,
                    value: vec![],
                });
            }
        }
        let process = Arc::make_mut(&mut state.processes[index]);
        process.proposer.saw(pending.round.highest_promised);
        match pending.intent {
            Intent::Write { change, .. } if pending.round.failure() == ChangeError::NotDone => {
                state.refused.insert(change);
            }
            Intent::Confirm => {
                process.proposer.resign();
            }
            _ => {}
        }
    }

    /// Whether the request can still change what the machine holds.
    fn may_still_act(&self, machine: &Machine, seat: &Seat, sent: &Sent) -> bool {
        let is_meant = machine.disk == seat.disk || self.model.fault == Fault::VotesByAddress;
        let is_current =
            sent.layout >= machine.layout || self.model.fault == Fault::FinishesUnfenced;
        if !is_meant || !is_current {
            return false;
        }
        let record = &machine.record;
        match &sent.request {
            RegisterRequest::Promise { epoch, .. } => *epoch > record.promised,
            RegisterRequest::Accept { epoch, seq, .. } => {
                let is_done = *epoch == record.accepted && *seq <= record.seq;
                let may_be_promised =
                    *epoch >= record.promised || self.model.fault == Fault::AcceptAnyBallot;
                may_be_promised && !is_done
            }
            _ => false,
        }
    }

    /// A request that can have no effect on any replica any more, and that nobody waits for, is
    /// forgotten: states that differ in nothing else are the same.
    fn tidy(&self, state: &mut State) {
        let State {
            machines,
            processes,
            network,
            ..
        } = state;
        network.retain(|sent| {
            let awaited = processes[sent.process]
                .pending
                .as_ref()
                .is_some_and(|pending| pending.id == sent.id);
            let reached = |address: usize| sent.reached >> address & 1 == 1;
            awaited
                || self.seats(sent.layout).iter().any(|(address, seat)| {
                    !reached(*address) && self.may_still_act(&machines[*address], seat, sent)
                })
        });
    }
}

impl Model for Checked {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        let mut machines: Vec<Machine> = self
            .model
            .machines
            .iter()
            .map(|disk| Machine {
                disk,
                layout: 0,
                record: Record::default(),
            })
            .collect();
        for (address, record) in &self.model.leftovers {
            machines[*address].record = record.clone();
        }
        let processes = self.model.proposers.iter().map(|budget| Process {
            proposer: Proposer::default(),
            layout: 1,
            pending: None,
            prepares: budget.prepares,
            changes: budget.changes,
            reads: budget.reads,
            looks: budget.looks,
            restarts: budget.restarts,
            ballots: 0,
            sent: 0,
            may_finish: false,
        });
        let mut processes: Vec<Arc<Process>> = processes.map(Arc::new).collect();
        if let Some(index) = self.model.sleeper {
            let process = Arc::make_mut(&mut processes[index]);
            process
                .proposer
                .promised(self.replicas(1), &Round::default());
            process.proposer.lead(EARLIER);
        }
        vec![State {
            machines,
            processes,
            network: BTreeSet::new(),
            layout: 1,
            wiped: false,
            decided: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            refused: BTreeSet::new(),
            violated: None,
        }]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = vec![];
        for (index, process) in state.processes.iter().enumerate() {
            if process.restarts > 0 {
                actions.push(Action::Restart(index));
            }
            if process.layout < state.layout && self.model.unaware != Some(index) {
                actions.push(Action::Learn(index));
            }
            let may_finish = process.may_finish || self.model.fault == Fault::FinishesUnseen;
            if may_finish
                && process.layout == state.layout
                && self.is_joint(state.layout)
                && self.is_fenced(state)
            {
                actions.push(Action::Finish);
            }
            if let Some(pending) = &process.pending {
                if self.is_decided(pending) {
                    actions.push(Action::Conclude(index));
                } else if self.is_worth_giving_up(process, pending) {
                    actions.push(Action::GiveUp(index));
                }
                continue;
            }
            let leads = process
                .proposer
                .leads(self.replicas(process.layout))
                .is_some();
            if !leads && process.prepares > 0 {
                actions.push(Action::Prepare(index));
            }
            if leads && process.changes > 0 {
                actions.push(Action::Change(index));
            }
            if leads && process.reads > 0 {
                actions.push(Action::Read(index));
            }
            // What stands once all changes of the layout are over is of interest, and what lets one
            // end.
            let is_last = process.layout as usize == self.model.layouts.len();
            let may_end = process.layout == state.layout
                && self.is_joint(state.layout)
                && self.is_fenced(state);
            if process.looks > 0 && (is_last || may_end) {
                actions.push(Action::Look(index));
            }
        }
        for sent in &state.network {
            for (address, seat) in self.seats(sent.layout) {
                let (process, request, address) = (sent.process, sent.id, *address);
                if !self.model.doubled && sent.reached >> address & 1 == 1 {
                    continue;
                }
                let acts = self.may_still_act(&state.machines[address], seat, sent);
                if self.awaits(state, sent, address) {
                    actions.push(Action::Deliver {
                        process,
                        request,
                        address,
                        answered: true,
                    });
                }
                if acts {
                    actions.push(Action::Deliver {
                        process,
                        request,
                        address,
                        answered: false,
                    });
                }
            }
        }
        if !state.wiped {
            actions.extend(
                self.model
                    .wipes
                    .iter()
                    .map(|address| Action::Wipe(*address)),
            );
        }
        if state.layout == 1 && self.model.layouts.len() > 1 {
            actions.push(Action::BeginChange);
        }
        for (address, machine) in state.machines.iter().enumerate() {
            let leaves = self.model.layouts.get(1).is_some_and(|joint| {
                joint
                    .previous
                    .iter()
                    .any(|seat| address_of(seat) == address)
            });
            if leaves && state.layout > 1 && machine.layout < 2 {
                actions.push(Action::Keep(address));
            }
        }
        actions
    }

    fn next(&self, state: &State, action: &Action) -> Option<State> {
        let mut next = state.clone();
        match *action {
            Action::Prepare(index) => self.prepare(&mut next, index),
            Action::Change(index) => self.change(&mut next, index),
            Action::Read(index) => self.read(&mut next, index),
            Action::Look(index) => {
                Arc::make_mut(&mut next.processes[index]).looks -= 1;
                self.start(&mut next, index, Intent::Look, Ballot::default());
            }
            Action::Deliver {
                process,
                request,
                address,
                answered,
            } => {
                let sent = state
                    .network
                    .iter()
                    .find(|sent| sent.process == process && sent.id == request)?;
                if !self.model.doubled {
                    next.network.remove(sent);
                    next.network.insert(Arc::new(Sent {
                        reached: sent.reached | 1 << address,
                        ..(**sent).clone()
                    }));
                }
                self.deliver(&mut next, sent, address, answered);
            }
            Action::Conclude(index) => self.conclude(&mut next, index),
            Action::GiveUp(index) => self.give_up(&mut next, index),
            Action::Restart(index) => {
                let process = Arc::make_mut(&mut next.processes[index]);
                process.restarts -= 1;
                process.proposer = Proposer::default();
                process.pending = None;
                process.may_finish = false;
            }
            Action::Wipe(address) => {
                next.wiped = true;
                next.machines[address] = Machine {
                    disk: NEW_DISK,
                    layout: 0,
                    record: Record::default(),
                };
            }
            Action::BeginChange => next.layout = 2,
            Action::Keep(address) => next.machines[address].layout = 2,
            Action::Learn(index) => Arc::make_mut(&mut next.processes[index]).layout = next.layout,
            Action::Finish => next.layout += 1,
        }
        self.tidy(&mut next);
        (next != *state).then_some(next)
    }

    fn violated(&self, state: &State) -> Option<&'static str> {
        state.violated
    }
}
