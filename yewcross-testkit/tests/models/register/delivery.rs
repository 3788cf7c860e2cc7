//! What replicas do with a request, and what of it is still of interest.

use super::state::{Intent, Machine, Pending, Sent, State};
use super::{Checked, Fault};
use std::sync::Arc;
use yewcross_common::register::acceptor::{self, Effect, Record};
use yewcross_common::register::proposer::Vote;
use yewcross_common::register::{RegisterReply, RegisterRequest, ReplicaLocation};

/// What a machine answers, and what it shows of itself.
struct Answer {
    reply: RegisterReply,
    value: Vec<u8>,
    /// It has another disk than the one that was asked.
    is_other: bool,
    /// It had kept the joint layout before.
    has_kept: bool,
}

impl Checked {
    /// What the machine at the address does with the request, as the disk that is there now.
    pub(super) fn deliver(&self, state: &mut State, sent: &Sent, address: usize, answered: bool) {
        let mut seats = self.seats(sent.layout).iter();
        let Some((_, seat)) = seats.find(|(at, _)| *at == address) else {
            return;
        };
        let answer = self.act(&mut state.machines[address], seat, sent);
        let process = Arc::make_mut(&mut state.processes[sent.process]);
        let pending = process.pending.as_mut();
        let Some(pending) = pending.filter(|pending| pending.id == sent.id) else {
            return;
        };
        let is_first = pending.reached.insert(address);
        if !is_first || !answered {
            return;
        }
        pending.answered.insert(address);
        self.count(pending, seat, answer);
    }

    /// Carries out the request at the machine.
    fn act(&self, machine: &mut Machine, seat: &ReplicaLocation, sent: &Sent) -> Answer {
        let has_kept = machine.layout > 1;
        let is_other = machine.disk != seat.disk;
        if is_other && self.model.fault != Fault::VotesByAddress {
            return Answer {
                reply: RegisterReply::OtherDisk,
                value: vec![],
                is_other,
                has_kept,
            };
        }
        if let (Fault::AcceptAnyBallot, RegisterRequest::Accept { ballot: epoch, .. }) =
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
        Answer {
            reply: step.reply,
            value: step.value.map(|value| value.to_vec()).unwrap_or_default(),
            is_other,
            has_kept,
        }
    }

    /// Counts the answer of a seat.
    fn count(&self, pending: &mut Pending, seat: &ReplicaLocation, answer: Answer) {
        let vote = Vote {
            disk: seat.disk.clone(),
            reply: answer.reply,
            value: answer.value,
        };
        if pending.intent == Intent::Look {
            // To end a change, an old replica counts only once it refuses proposers that do not
            // know of the change.
            let is_old = self.replicas(pending.layout).previous.contains(seat);
            if !is_old || answer.has_kept || self.model.fault == Fault::CountsOldUnfenced {
                pending.survey.record(vote);
            }
            return;
        }
        let before = pending.round.granted.len();
        pending.round.record(vote);
        pending.forgetful |= answer.is_other && pending.round.granted.len() > before;
    }

    /// Whether an answer from the address would count. None does once there is a quorum.
    pub(super) fn awaits(&self, state: &State, sent: &Sent, address: usize) -> bool {
        let pending = state.processes[sent.process]
            .pending
            .as_ref()
            .filter(|pending| pending.id == sent.id);
        pending
            .is_some_and(|pending| !pending.reached.contains(&address) && !self.is_decided(pending))
    }

    /// Whether the request can still change what the machine holds.
    pub(super) fn may_still_act(
        &self,
        machine: &Machine,
        seat: &ReplicaLocation,
        sent: &Sent,
    ) -> bool {
        let is_meant = machine.disk == seat.disk || self.model.fault == Fault::VotesByAddress;
        let is_current =
            sent.layout >= machine.layout || self.model.fault == Fault::FinishesUnfenced;
        if !is_meant || !is_current {
            return false;
        }
        let record = &machine.record;
        match &sent.request {
            RegisterRequest::Promise { ballot, .. } => *ballot > record.promised,
            RegisterRequest::Accept {
                ballot: epoch, seq, ..
            } => {
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
    pub(super) fn tidy(&self, state: &mut State) {
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
