//! Sends the same request to several stores until enough of them have responded.

use crate::constants::STORE_HEDGE_DELAY;
use crate::runtime::BoxFuture;
use crate::turn_log::messages::TurnLogResponse;
use crate::turn_log::store_client::StoreClient;
use async_channel::Sender;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The disks to send a request to, and the deadline.
pub struct Gather {
    /// Disks in the order in which the request is sent.
    pub order: Vec<String>,
    /// Whether to send the request to all disks at once, instead of only as many as are enough.
    pub is_broadcast: bool,
    /// The layout version by which the caller counts quorums.
    pub layout_version: u64,
    /// Deadline in us of the runtime's clock.
    pub deadline_us: u64,
}

/// The caller's verdict on a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GatherStep {
    /// The disk counts as accepted.
    Accept,
    /// The disk does not count; the request may be sent to another disk instead.
    Reject,
    /// No further response is needed.
    Stop,
}

/// The result of gathering responses.
#[derive(Default, Debug)]
pub struct GatherOutcome {
    /// Whether the accepted disks are enough.
    pub is_enough: bool,
    /// Disks whose response was accepted.
    pub accepted: BTreeSet<String>,
    /// The newest layout version reported by a store, at least that of the request; 0 if no store
    /// reported a newer layout.
    pub newer_layout: u64,
}

/// The progress of a gather.
struct Progress {
    remaining: std::vec::IntoIter<String>,
    /// Disks that the request was sent to, without those whose response was rejected.
    requested: BTreeSet<String>,
    /// Disks that responded.
    responded: BTreeSet<String>,
    in_flight: usize,
    /// Whether to send the request to one more disk because the others are slow.
    needs_hedge: bool,
    outcome: GatherOutcome,
}

impl Progress {
    fn new(order: Vec<String>) -> Progress {
        Progress {
            remaining: order.into_iter(),
            requested: BTreeSet::new(),
            responded: BTreeSet::new(),
            in_flight: 0,
            needs_hedge: false,
            outcome: GatherOutcome::default(),
        }
    }

    /// The next disk to send the request to; recorded as requested.
    fn next_disk(&mut self) -> Option<String> {
        let disk = self.remaining.next()?;
        self.requested.insert(disk.clone());
        self.needs_hedge = false;
        self.in_flight += 1;
        Some(disk)
    }

    /// How long to wait for a response before the request is sent to another disk, if one is left.
    fn wait_us(&self, remaining_us: u64) -> u64 {
        if self.remaining.len() == 0 {
            remaining_us
        } else {
            remaining_us.min(STORE_HEDGE_DELAY)
        }
    }

    /// Applies the verdict on a disk's response; returns whether the gather is finished.
    fn apply_response(
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
                self.requested.remove(&disk);
                false
            }
            GatherStep::Stop => true,
        }
    }

    /// Records the arrival of a response, and the layout version if it reports a newer one.
    fn record_response(&mut self, disk: &str, response: &TurnLogResponse, layout_version: u64) {
        self.in_flight -= 1;
        self.responded.insert(disk.to_string());
        if let TurnLogResponse::NewerLayout(version) = response {
            let outcome = &mut self.outcome;
            outcome.newer_layout = outcome.newer_layout.max(*version).max(layout_version);
        }
    }
}

impl StoreClient {
    /// Sends the request to the disks in order, and to one more disk whenever a response is rejected
    /// or slow. Ends when enough responses have been accepted, no disk is left, the deadline has
    /// passed, or a store reports a newer layout.
    pub async fn gather(
        self: &Arc<Self>,
        gather: Gather,
        request: impl Fn(&str) -> BoxFuture<'static, TurnLogResponse>,
        is_enough: impl Fn(&BTreeSet<String>) -> bool,
        mut on_response: impl FnMut(&str, TurnLogResponse) -> GatherStep,
    ) -> GatherOutcome {
        let (sender, responses) = async_channel::unbounded();
        let mut progress = Progress::new(gather.order);
        // The caller may already have enough disks without any request.
        if is_enough(&progress.outcome.accepted) {
            progress.outcome.is_enough = true;
            return progress.outcome;
        }
        loop {
            while gather.is_broadcast || progress.needs_hedge || !is_enough(&progress.requested) {
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
                progress.needs_hedge = true;
                let unanswered = progress.requested.difference(&progress.responded);
                unanswered.for_each(|disk| self.mark_slow(disk));
                continue;
            };
            progress.record_response(&disk, &response, gather.layout_version);
            let step = on_response(&disk, response);
            if progress.apply_response(disk, step, &is_enough)
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
            // The receiver is closed if the gather has already ended.
            let _ = sender.try_send((disk, response.await));
        });
    }
}
