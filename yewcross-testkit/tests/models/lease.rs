//! The duty lease as a model: granters and holders that the tier runs, on one clock that ticks at
//! any moment.
//!
//! A request may reach a granter at any later tick, more than once, or never, and its answer may be
//! lost. An answer that comes late changes nothing that an early one would not: the holder counts
//! from before it asked. A granter that starts again remembers its term alone; a holder that starts
//! again is another candidate. Clocks that run at different paces are what the margin is for; here
//! all run alike and the margin is 0, so that nothing but the order of events keeps two holders
//! apart.

use super::explorer::Model;
use std::collections::BTreeSet;
use yewcross_common::protocol::ReplicaGroup;
use yewcross_common::protocol::lease::{Candidate, LeaseOperation, LeaseVerdict};
use yewcross_control::lease::{Granter, Holder, LeaseTimes, PersistedGrant};

pub const TWO_HOLDERS: &str = "two processes hold the lease at once";

const LENGTH: u64 = 2;
const TIMES: LeaseTimes = LeaseTimes {
    length: LENGTH,
    margin: 0,
};
const SEATS: u64 = 1;
const GRANTERS: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A granter that starts again grants at once.
    GrantsAfterRestart,
    /// A holder counts a tick more than it was granted.
    HoldsTooLong,
    /// Whatever comes from the holder's disk is taken for a later process there, a late message of
    /// an earlier one as well.
    FreedByAnyProcess,
}

pub struct Lease {
    pub fault: Fault,
    /// The last tick.
    pub end: u64,
    /// Of each of the two processes.
    pub requests: [u8; 2],
    pub renewals: u8,
    pub restarts: u8,
}

#[derive(Clone, Hash)]
struct Process {
    holder: Holder,
    candidate: Candidate,
    requests: u8,
    renewals: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Sent {
    process: usize,
    candidate: Candidate,
    term: u64,
    /// 0 is the request; later rounds renew.
    round: u64,
    confirmed: u64,
}

impl Sent {
    fn call(&self) -> LeaseOperation {
        match self.round {
            0 => LeaseOperation::Request { term: self.term },
            round => LeaseOperation::Renew {
                term: self.term,
                round,
                confirmed: self.confirmed,
            },
        }
    }
}

#[derive(Clone, Hash)]
pub struct State {
    now: u64,
    granters: Vec<Granter>,
    processes: Vec<Process>,
    network: BTreeSet<Sent>,
    restarts: u8,
}

#[derive(Clone, Debug)]
pub enum Action {
    Tick,
    Request(usize),
    Renew(usize),
    Deliver {
        sent: usize,
        granter: usize,
        answered: bool,
    },
    RestartGranter(usize),
    RestartProcess(usize),
}

fn seats() -> ReplicaGroup {
    ReplicaGroup {
        current: GRANTERS.iter().map(|disk| disk.to_string()).collect(),
        ..ReplicaGroup::default()
    }
}

impl Lease {
    fn restarted(&self, state: &State, granter: usize) -> Granter {
        let kept = state.granters[granter].to_persist();
        let term = kept.term;
        let now = if self.fault == Fault::GrantsAfterRestart {
            0
        } else {
            state.now
        };
        let mut granter = Granter::new(TIMES, now, kept, false);
        granter.observe_voters(now, SEATS, term, false);
        granter
    }

    fn held(&self, state: &State, process: &Process) -> bool {
        let now = if self.fault == Fault::HoldsTooLong {
            state.now.saturating_sub(1)
        } else {
            state.now
        };
        process.holder.held_term(now).is_some()
    }
}

impl Model for Lease {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        let granter = |_| {
            let mut granter = Granter::new(TIMES, 0, PersistedGrant::default(), true);
            granter.observe_voters(0, SEATS, 0, true);
            granter
        };
        let process = |number: u64| Process {
            holder: Holder::new(TIMES),
            candidate: Candidate {
                disk: GRANTERS[number as usize].into(),
                process: number,
                incarnation: 1,
            },
            requests: self.requests[number as usize],
            renewals: self.renewals,
        };
        vec![State {
            now: 0,
            granters: GRANTERS.map(granter).to_vec(),
            processes: vec![process(0), process(1)],
            network: BTreeSet::new(),
            restarts: self.restarts,
        }]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = vec![];
        if state.now < self.end {
            actions.push(Action::Tick);
        }
        for (index, process) in state.processes.iter().enumerate() {
            if process.requests > 0 && process.holder.held_term(state.now).is_none() {
                actions.push(Action::Request(index));
            }
            if process.renewals > 0 && process.holder.held_term(state.now).is_some() {
                actions.push(Action::Renew(index));
            }
            if state.restarts > 0 {
                actions.push(Action::RestartProcess(index));
            }
        }
        for sent in 0..state.network.len() {
            for granter in 0..GRANTERS.len() {
                actions.extend([true, false].map(|answered| Action::Deliver {
                    sent,
                    granter,
                    answered,
                }));
            }
        }
        if state.restarts > 0 {
            actions.extend((0..GRANTERS.len()).map(Action::RestartGranter));
        }
        actions
    }

    fn next(&self, state: &State, action: &Action) -> Option<State> {
        let mut next = state.clone();
        let now = state.now;
        match *action {
            Action::Tick => next.now += 1,
            Action::Request(index) => {
                let term = 1 + state.granters.iter().map(Granter::term).max().unwrap_or(0);
                let process = &mut next.processes[index];
                process.requests -= 1;
                process.holder.request(now, term, &seats());
                let candidate = process.candidate.clone();
                next.network.insert(Sent {
                    process: index,
                    candidate,
                    term,
                    round: 0,
                    confirmed: 0,
                });
            }
            Action::Renew(index) => {
                let process = &mut next.processes[index];
                process.renewals -= 1;
                let LeaseOperation::Renew {
                    term,
                    round,
                    confirmed,
                } = process.holder.renew(now, &seats())?
                else {
                    return None;
                };
                let candidate = process.candidate.clone();
                next.network.insert(Sent {
                    process: index,
                    candidate,
                    term,
                    round,
                    confirmed,
                });
            }
            Action::Deliver {
                sent,
                granter,
                answered,
            } => {
                let sent = state.network.iter().nth(sent)?;
                let is_any = self.fault == Fault::FreedByAnyProcess
                    && state.granters[granter].holder(now) != Some(&sent.candidate);
                let life = if is_any {
                    u64::MAX
                } else {
                    sent.candidate.incarnation
                };
                next.granters[granter].release_if_restarted(&Candidate {
                    incarnation: life,
                    ..sent.candidate.clone()
                });
                let verdict =
                    next.granters[granter].answer(now, &sent.candidate, SEATS, sent.call());
                let process = &mut next.processes[sent.process];
                let is_asker = process.candidate == sent.candidate;
                if verdict == LeaseVerdict::Granted && answered && is_asker {
                    process
                        .holder
                        .record_grant(sent.term, sent.round, GRANTERS[granter]);
                }
                let is_same = next.granters == state.granters
                    && next.processes[sent.process].holder == state.processes[sent.process].holder;
                if is_same {
                    return None;
                }
            }
            Action::RestartGranter(granter) => {
                next.restarts -= 1;
                next.granters[granter] = self.restarted(state, granter);
            }
            Action::RestartProcess(index) => {
                next.restarts -= 1;
                next.processes[index].holder = Holder::new(TIMES);
                next.processes[index].candidate.process += 2;
                next.processes[index].candidate.incarnation += 1;
            }
        }
        Some(next)
    }

    fn violated(&self, state: &State) -> Option<&'static str> {
        let holders = state
            .processes
            .iter()
            .filter(|process| self.held(state, process))
            .count();
        (holders > 1).then_some(TWO_HOLDERS)
    }
}
