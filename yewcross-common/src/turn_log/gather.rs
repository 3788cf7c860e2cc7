//! Asks stores for the same thing until enough of them have answered.

use crate::constants::STORE_HEDGE_DELAY;
use crate::runtime::BoxFuture;
use crate::turn_log::messages::TurnLogResponse;
use crate::turn_log::store_client::StoreClient;
use async_channel::Sender;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Whom to ask, and until when.
pub struct Gather {
    /// Disks in the order in which they are asked.
    pub order: Vec<String>,
    /// Ask all disks at once, instead of as many as would be enough.
    pub is_broadcast: bool,
    /// The layout that is counted by.
    pub layout_version: u64,
    /// us.
    pub deadline_us: u64,
}

/// What an answer means to whom gathers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GatherStep {
    /// The disk counts.
    Accept,
    /// The disk does not count, and another may be asked in its place.
    Reject,
    /// No further answer matters.
    Stop,
}

/// How it ended.
#[derive(Default, Debug)]
pub struct GatherOutcome {
    /// Whether the accepted disks are enough.
    pub is_enough: bool,
    /// Disks whose answer was accepted.
    pub accepted: BTreeSet<String>,
    /// The newest layout that a store answered to know, where it is newer than the one counted by.
    pub newer_layout: u64,
}

/// The state of a gathering.
struct Progress {
    remaining: std::vec::IntoIter<String>,
    /// Disks asked, without those whose answer was rejected.
    asked: BTreeSet<String>,
    /// Disks that answered.
    answered: BTreeSet<String>,
    in_flight: usize,
    /// Another disk is to be asked beside those that are slow.
    needs_standby: bool,
    outcome: GatherOutcome,
}

impl Progress {
    fn new(order: Vec<String>) -> Progress {
        Progress {
            remaining: order.into_iter(),
            asked: BTreeSet::new(),
            answered: BTreeSet::new(),
            in_flight: 0,
            needs_standby: false,
            outcome: GatherOutcome::default(),
        }
    }

    /// The next disk to ask, counted as asked.
    fn next_disk(&mut self) -> Option<String> {
        let disk = self.remaining.next()?;
        self.asked.insert(disk.clone());
        self.needs_standby = false;
        self.in_flight += 1;
        Some(disk)
    }

    /// How long to wait for an answer before another disk is asked, if there is one.
    fn wait_us(&self, remaining_us: u64) -> u64 {
        if self.remaining.len() == 0 {
            remaining_us
        } else {
            remaining_us.min(STORE_HEDGE_DELAY)
        }
    }

    /// Counts an answered disk; whether nothing more is to be waited for.
    fn is_finished_by(
        &mut self,
        disk: String,
        step: GatherStep,
        is_enough: impl Fn(&BTreeSet<String>) -> bool,
    ) -> bool {
        match step {
            GatherStep::Accept => {
                self.outcome.accepted.insert(disk);
                self.outcome.is_enough = is_enough(&self.outcome.accepted);
                self.outcome.is_enough
            }
            GatherStep::Reject => {
                self.asked.remove(&disk);
                false
            }
            GatherStep::Stop => true,
        }
    }

    /// An answer arrived, whatever it says.
    fn record_answer(&mut self, disk: &str, response: &TurnLogResponse, layout_version: u64) {
        self.in_flight -= 1;
        self.answered.insert(disk.to_string());
        if let TurnLogResponse::NewerLayout(version) = response {
            let outcome = &mut self.outcome;
            outcome.newer_layout = outcome.newer_layout.max(*version).max(layout_version);
        }
    }
}

impl StoreClient {
    /// Asks disks in order, and the next one when an answer is rejected or slow. Ends once enough
    /// answers have been accepted, no disk is left, the deadline has passed, or a store knows a
    /// newer layout.
    pub async fn gather(
        self: &Arc<Self>,
        gather: Gather,
        request: impl Fn(&str) -> BoxFuture<'static, TurnLogResponse>,
        is_enough: impl Fn(&BTreeSet<String>) -> bool,
        mut on_response: impl FnMut(&str, TurnLogResponse) -> GatherStep,
    ) -> GatherOutcome {
        let (sender, responses) = async_channel::unbounded();
        let mut progress = Progress::new(gather.order);
        // Nothing may be needed at all.
        if is_enough(&progress.outcome.accepted) {
            progress.outcome.is_enough = true;
            return progress.outcome;
        }
        loop {
            while gather.is_broadcast || progress.needs_standby || !is_enough(&progress.asked) {
                let Some(disk) = progress.next_disk() else {
                    break;
                };
                self.spawn_request(request(&disk), disk, sender.clone());
            }
            let remaining_us = gather.deadline_us.saturating_sub(self.runtime.now());
            if progress.in_flight == 0 || remaining_us == 0 {
                return progress.outcome;
            }
            let wait_us = progress.wait_us(remaining_us);
            let received = self.runtime.timeout(wait_us, responses.recv()).await;
            let Some(Ok((disk, response))) = received else {
                progress.needs_standby = true;
                let silent = progress.asked.difference(&progress.answered);
                silent.for_each(|disk| self.mark_slow(disk));
                continue;
            };
            progress.record_answer(&disk, &response, gather.layout_version);
            let step = on_response(&disk, response);
            if progress.is_finished_by(disk, step, &is_enough)
                || progress.outcome.newer_layout > gather.layout_version
            {
                return progress.outcome;
            }
        }
    }

    fn spawn_request(
        &self,
        response: BoxFuture<'static, TurnLogResponse>,
        disk: String,
        sender: Sender<(String, TurnLogResponse)>,
    ) {
        self.runtime.spawn(async move {
            // The gathering may have ended meanwhile.
            let _ = sender.try_send((disk, response.await));
        });
    }
}
