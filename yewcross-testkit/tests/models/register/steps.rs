//! The model's steps: what may happen in a state, and the state after it.

use super::state::{Intent, Machine, Process, Sent, State};
use super::{Checked, EARLIER, Fault, NEW_DISK, address_of};
use crate::explorer::Model;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use yewcross_common::register::Ballot;
use yewcross_common::register::acceptor::Record;
use yewcross_common::register::proposer::{Proposer, Round};

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

impl Checked {
    fn initial_machines(&self) -> Vec<Machine> {
        let disks = self.model.machines.iter();
        let mut machines: Vec<Machine> = disks
            .map(|disk| Machine {
                disk,
                layout: 0,
                record: Record::default(),
            })
            .collect();
        for (address, record) in &self.model.leftovers {
            machines[*address].record = record.clone();
        }
        machines
    }

    fn initial_processes(&self) -> Vec<Arc<Process>> {
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
                .record_promises(self.replicas(1), &Round::default());
            process.proposer.set_prepared(EARLIER);
        }
        processes
    }

    /// Whether a change of replicas is under way that a process of the layout may end.
    fn may_end_change(&self, state: &State, layout: u64) -> bool {
        layout == state.layout && self.is_joint(state.layout) && self.is_fenced(state)
    }

    fn process_actions(&self, state: &State, index: usize, actions: &mut Vec<Action>) {
        let process = &state.processes[index];
        if process.restarts > 0 {
            actions.push(Action::Restart(index));
        }
        if process.layout < state.layout && self.model.unaware != Some(index) {
            actions.push(Action::Learn(index));
        }
        let may_finish = process.may_finish || self.model.fault == Fault::FinishesUnseen;
        if may_finish && self.may_end_change(state, process.layout) {
            actions.push(Action::Finish);
        }
        if let Some(pending) = &process.pending {
            if self.is_decided(pending) {
                actions.push(Action::Conclude(index));
            } else if self.is_worth_giving_up(process, pending) {
                actions.push(Action::GiveUp(index));
            }
            return;
        }
        self.request_actions(state, index, actions);
    }

    /// What a process may ask that waits for no answers.
    fn request_actions(&self, state: &State, index: usize, actions: &mut Vec<Action>) {
        let process = &state.processes[index];
        let replicas = self.replicas(process.layout);
        let leads = process.proposer.ballot_prepared_at(replicas).is_some();
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
        if process.looks > 0 && (is_last || self.may_end_change(state, process.layout)) {
            actions.push(Action::Look(index));
        }
    }

    fn delivery_actions(&self, state: &State, sent: &Sent, actions: &mut Vec<Action>) {
        for (address, seat) in self.seats(sent.layout) {
            let address = *address;
            if !self.model.doubled && sent.reached >> address & 1 == 1 {
                continue;
            }
            let deliver = |answered| Action::Deliver {
                process: sent.process,
                request: sent.id,
                address,
                answered,
            };
            if self.awaits(state, sent, address) {
                actions.push(deliver(true));
            }
            if self.may_still_act(&state.machines[address], seat, sent) {
                actions.push(deliver(false));
            }
        }
    }

    fn machine_actions(&self, state: &State, actions: &mut Vec<Action>) {
        if !state.wiped {
            let wipes = self.model.wipes.iter();
            actions.extend(wipes.map(|address| Action::Wipe(*address)));
        }
        if state.layout == 1 && self.model.layouts.len() > 1 {
            actions.push(Action::BeginChange);
        }
        for (address, machine) in state.machines.iter().enumerate() {
            let is_old = self.model.layouts.get(1).is_some_and(|joint| {
                let mut previous = joint.previous.iter();
                previous.any(|seat| address_of(seat) == address)
            });
            if is_old && state.layout > 1 && machine.layout < 2 {
                actions.push(Action::Keep(address));
            }
        }
    }

    fn look(&self, state: &mut State, index: usize) {
        Arc::make_mut(&mut state.processes[index]).looks -= 1;
        self.start(state, index, Intent::Look, Ballot::default());
    }

    /// Notes that the request has reached the address, where it does so once only.
    fn mark_reached(&self, state: &mut State, sent: &Arc<Sent>, address: usize) {
        if self.model.doubled {
            return;
        }
        state.network.remove(sent);
        state.network.insert(Arc::new(Sent {
            reached: sent.reached | 1 << address,
            ..(**sent).clone()
        }));
    }
}

/// The process loses what it knows as a proposer.
fn restart(state: &mut State, index: usize) {
    let process = Arc::make_mut(&mut state.processes[index]);
    process.restarts -= 1;
    process.proposer = Proposer::default();
    process.pending = None;
    process.may_finish = false;
}

fn wipe(state: &mut State, address: usize) {
    state.wiped = true;
    state.machines[address] = Machine {
        disk: NEW_DISK,
        layout: 0,
        record: Record::default(),
    };
}

impl Model for Checked {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        vec![State {
            machines: self.initial_machines(),
            processes: self.initial_processes(),
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
        for index in 0..state.processes.len() {
            self.process_actions(state, index, &mut actions);
        }
        for sent in &state.network {
            self.delivery_actions(state, sent, &mut actions);
        }
        self.machine_actions(state, &mut actions);
        actions
    }

    fn next(&self, state: &State, action: &Action) -> Option<State> {
        let mut next = state.clone();
        match *action {
            Action::Prepare(index) => self.prepare(&mut next, index),
            Action::Change(index) => self.change(&mut next, index),
            Action::Read(index) => self.read(&mut next, index),
            Action::Look(index) => self.look(&mut next, index),
            Action::Deliver {
                process,
                request,
                address,
                answered,
            } => {
                let mut network = state.network.iter();
                let sent = network.find(|sent| sent.process == process && sent.id == request)?;
                self.mark_reached(&mut next, sent, address);
                self.deliver(&mut next, sent, address, answered);
            }
            Action::Conclude(index) => self.conclude(&mut next, index),
            Action::GiveUp(index) => self.give_up(&mut next, index),
            Action::Restart(index) => restart(&mut next, index),
            Action::Wipe(address) => wipe(&mut next, address),
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
