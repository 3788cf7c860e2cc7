//! What proposers ask of the replicas.

use super::state::{Intent, Pending, Process, Sent, State};
use super::{CLOCK, Checked, Fault};
use std::collections::BTreeSet;
use std::sync::Arc;
use yewcross_common::register::proposer::{ReadRound, Round};
use yewcross_common::register::{Ballot, RegisterRequest};

/// What a process sends for what it intends, and the value that goes with it.
fn request(
    process: &Process,
    intent: &Intent,
    ballot: Ballot,
    layout_version: u64,
) -> (RegisterRequest, Arc<Vec<u8>>) {
    let key = String::new();
    let seq = process.proposer.seq();
    let accept = |key, seq| RegisterRequest::Accept {
        key,
        ballot,
        seq,
        layout_version,
        delta: false,
    };
    match intent {
        Intent::Prepare => (
            RegisterRequest::Promise {
                key,
                ballot,
                layout_version,
            },
            Arc::default(),
        ),
        Intent::Recover => (accept(key, seq), process.proposer.value().clone()),
        Intent::Write { value, .. } => (accept(key, seq + 1), value.clone()),
        Intent::Confirm => (
            RegisterRequest::Confirm {
                key,
                ballot,
                layout_version,
            },
            Arc::default(),
        ),
        Intent::Look => {
            let have = (
                Ballot {
                    number: u64::MAX,
                    proposer_id: 0,
                },
                0,
            );
            (
                RegisterRequest::Report {
                    key,
                    layout_version,
                    have,
                },
                Arc::default(),
            )
        }
    }
}

impl Checked {
    /// Sends the request, of whose answers the process then waits.
    pub(super) fn start(&self, state: &mut State, index: usize, intent: Intent, ballot: Ballot) {
        let layout = state.processes[index].layout;
        let floor = state.acknowledged_changes();
        let fenced = layout == state.layout && self.is_joint(layout) && self.is_fenced(state);
        let process = Arc::make_mut(&mut state.processes[index]);
        process.sent += 1;
        let id = process.sent;
        let (request, blob) = request(process, &intent, ballot, layout);
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
            survey: ReadRound::default(),
            reached: BTreeSet::new(),
            answered: BTreeSet::new(),
            floor,
            fenced,
            forgetful: false,
        });
    }

    pub(super) fn prepare(&self, state: &mut State, index: usize) {
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

    pub(super) fn change(&self, state: &mut State, index: usize) {
        let process = Arc::make_mut(&mut state.processes[index]);
        let change = index as u8 * 16 + process.changes;
        process.changes -= 1;
        let mut value = process.proposer.value().to_vec();
        value.push(change);
        let Some(ballot) = process.proposer.abandon_ballot() else {
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

    pub(super) fn read(&self, state: &mut State, index: usize) {
        Arc::make_mut(&mut state.processes[index]).reads -= 1;
        let Some(ballot) = state.processes[index].proposer.ballot() else {
            return;
        };
        if self.model.fault == Fault::ReadsWithoutConfirm {
            let floor = state.acknowledged_changes();
            self.check_value(state, index, &floor);
            return;
        }
        self.start(state, index, Intent::Confirm, ballot);
    }
}
