//! What proposers make of the answers, and the properties that are checked then.

use super::state::{Intent, Pending, Process, State};
use super::{Checked, FORGETFUL_VOTE, Fault, LOST, REFUSED_STANDS, TWO_VALUES, TWO_WINNERS};
use std::sync::Arc;
use yewcross_common::register::RegisterReply;
use yewcross_common::register::proposer::{ChangeError, Round, Vote};

impl Checked {
    /// A process that gives up and can do nothing more is like one that waits for ever, unless it
    /// reports a refusal.
    pub(super) fn is_worth_giving_up(&self, process: &Process, pending: &Pending) -> bool {
        let all_answered = pending.answered.len() == self.seats(pending.layout).len();
        let reports = matches!(pending.intent, Intent::Write { .. }) && all_answered;
        reports || (process.prepares > 0 && pending.intent != Intent::Look)
    }

    pub(super) fn is_decided(&self, pending: &Pending) -> bool {
        let replicas = self.counted(pending.layout);
        match pending.intent {
            Intent::Look if self.model.fault == Fault::LooksAtOneCopy => {
                !pending.answered.is_empty()
            }
            Intent::Look => pending.survey.decided(replicas).is_some(),
            _ => pending.round.has_quorum(replicas),
        }
    }

    /// A majority has answered.
    pub(super) fn conclude(&self, state: &mut State, index: usize) {
        let Some(pending) = Arc::make_mut(&mut state.processes[index]).pending.take() else {
            return;
        };
        if pending.forgetful {
            self.report(state, FORGETFUL_VOTE);
        }
        match &pending.intent {
            Intent::Prepare => self.conclude_prepare(state, index, pending),
            Intent::Recover => self.lead(state, index, &pending),
            Intent::Write { change, value } => {
                let process = Arc::make_mut(&mut state.processes[index]);
                process
                    .proposer
                    .record_decided(pending.ballot, value.clone());
                self.acknowledge(state, index, *change);
            }
            Intent::Confirm => {
                let process = Arc::make_mut(&mut state.processes[index]);
                process.may_finish |= pending.fenced;
                self.check_value(state, index, &pending.floor);
            }
            Intent::Look => self.conclude_look(state, index, &pending),
        }
    }

    fn conclude_prepare(&self, state: &mut State, index: usize, pending: Pending) {
        let process = Arc::make_mut(&mut state.processes[index]);
        let forgets = self.model.fault == Fault::ForgetsAcceptedValue;
        let round = if forgets {
            &Round::default()
        } else {
            &pending.round
        };
        let replicas = self.replicas(pending.layout);
        if !process.proposer.record_promises(replicas, round) {
            self.lead(state, index, &pending);
            return;
        }
        self.start(state, index, Intent::Recover, pending.ballot);
        if let Some(next) = &mut Arc::make_mut(&mut state.processes[index]).pending {
            (next.floor, next.fenced) = (pending.floor, pending.fenced);
        }
    }

    fn acknowledge(&self, state: &mut State, index: usize, change: u8) {
        let seq = state.processes[index].proposer.seq();
        self.decide(state, index);
        let mut acknowledged = state.acknowledged.iter();
        if acknowledged.any(|(version, _)| *version == seq) {
            self.report(state, TWO_WINNERS);
        }
        state.acknowledged.insert((seq, change));
    }

    fn conclude_look(&self, state: &mut State, index: usize, pending: &Pending) {
        // Whoever ends a change concludes nothing from the value.
        if pending.fenced {
            Arc::make_mut(&mut state.processes[index]).may_finish = true;
            return;
        }
        let decided = pending.survey.decided(self.counted(pending.layout));
        let seen = decided.map_or(vec![], |(_, _, value)| value.clone());
        self.check_holds(state, &seen, &pending.floor);
    }

    fn lead(&self, state: &mut State, index: usize, pending: &Pending) {
        let process = Arc::make_mut(&mut state.processes[index]);
        process.proposer.set_prepared(pending.ballot);
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

    pub(super) fn check_value(&self, state: &mut State, index: usize, floor: &[u8]) {
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

    /// The replicas that have not answered never will.
    pub(super) fn give_up(&self, state: &mut State, index: usize) {
        let Some(mut pending) = Arc::make_mut(&mut state.processes[index]).pending.take() else {
            return;
        };
        for (address, seat) in self.seats(pending.layout) {
            if !pending.answered.contains(address) {
                pending.round.record(Vote {
                    disk: seat.disk.clone(),
                    reply: RegisterReply::Unavailable,
                    value: vec![],
                });
            }
        }
        let process = Arc::make_mut(&mut state.processes[index]);
        process
            .proposer
            .observe_ballot_number(pending.round.highest_promised);
        match pending.intent {
            Intent::Write { change, .. } if pending.round.failure() == ChangeError::NotApplied => {
                state.refused.insert(change);
            }
            Intent::Confirm => {
                process.proposer.abandon_ballot();
            }
            _ => {}
        }
    }
}
