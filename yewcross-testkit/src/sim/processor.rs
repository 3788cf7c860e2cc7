//! The cost of a machine's work: a processor that runs one task at a time, and a disk that performs
//! one sync at a time.

use super::Sim;
use super::clock::TimerEvent;
use super::machine::MachineId;
use super::scheduler::TaskId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Costs of a machine's work. All 0 by default: processor time costs nothing, and a sync takes 400
/// to 600 us.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MachineCosts {
    /// Share of a core that the machine has, percent; 0: processor time costs nothing.
    #[serde(rename = "share")]
    pub core_percent: u64,
    /// Core time of each poll of a task, us.
    #[serde(rename = "wake")]
    pub poll_us: u64,
    /// Core time of each byte read from or written to a connection, ns.
    #[serde(rename = "byte")]
    pub byte_ns: u64,
    /// Time that a sync occupies the disk, us; syncs run one at a time. 0: each sync takes 400 us
    /// and a random addition of up to 200 us, and syncs run concurrently.
    #[serde(rename = "sync")]
    pub sync_us: u64,
}

/// A machine's processor and the tasks that wait for it.
#[derive(Default)]
pub(super) struct Processor {
    pub(super) costs: MachineCosts,
    busy_until: u64,
    queue: VecDeque<TaskId>,
    /// The tasks in `queue`.
    queued: BTreeSet<TaskId>,
    /// Whether a timer is set for the head of the queue.
    is_timer_set: bool,
    /// Bytes read from or written to connections in the current poll.
    poll_bytes: u64,
    /// Core time charged so far, us.
    used_us: u64,
    disk_busy_until: u64,
}

impl Processor {
    /// Whether a task that just became runnable has to queue.
    pub(super) fn must_queue(&self, now: u64) -> bool {
        self.costs.core_percent > 0 && (now < self.busy_until || !self.queue.is_empty())
    }

    pub(super) fn enqueue(&mut self, task: TaskId) {
        if self.queued.insert(task) {
            self.queue.push_back(task);
        }
    }

    fn dequeue(&mut self) -> Option<TaskId> {
        let task = self.queue.pop_front()?;
        self.queued.remove(&task);
        Some(task)
    }

    pub(super) fn begin_poll(&mut self) {
        self.poll_bytes = 0;
    }

    /// Counts bytes that the current poll reads from or writes to a connection.
    pub(super) fn count_bytes(&mut self, bytes: usize) {
        self.poll_bytes += bytes as u64;
    }

    /// Charges the poll that just ended to the processor.
    pub(super) fn end_poll(&mut self, now: u64) {
        let costs = self.costs;
        let used = if costs.core_percent > 0 {
            costs.poll_us + self.poll_bytes * costs.byte_ns / 1000
        } else {
            0
        };
        self.used_us += used;
        let elapsed = (used * 100).checked_div(costs.core_percent).unwrap_or(0);
        self.busy_until = now + elapsed;
    }

    /// Discards all queued tasks when the process ends.
    pub(super) fn clear(&mut self) {
        self.busy_until = 0;
        self.is_timer_set = false;
        self.queue.clear();
        self.queued.clear();
    }

    /// Reserves the disk for one sync after those already reserved; returns when it ends (us).
    pub(super) fn reserve_disk(&mut self, now: u64, duration: u64) -> u64 {
        self.disk_busy_until = self.disk_busy_until.max(now) + duration;
        self.disk_busy_until
    }
}

impl Sim {
    /// Sets what the machine's work costs.
    pub fn set_costs(&self, machine: MachineId, costs: MachineCosts) {
        self.world().machines[machine].processor.costs = costs;
    }

    /// Core time charged to the machine's tasks so far, us.
    pub fn processor_time_used(&self, machine: MachineId) -> u64 {
        self.world().machines[machine].processor.used_us
    }

    /// Polls the task at the head of the machine's queue, as its processor is free again.
    pub(super) fn run_next_queued(&self, machine: MachineId) {
        let task = {
            let mut world = self.world();
            let processor = &mut world.machines[machine].processor;
            // Not set if the process ended after the timer was scheduled.
            if !std::mem::take(&mut processor.is_timer_set) {
                return;
            }
            processor.dequeue()
        };
        if let Some(task) = task {
            self.poll_dequeued(task);
        }
        self.set_processor_timer(machine);
    }

    /// Schedules a timer if tasks wait for the machine's processor and none is scheduled.
    pub(super) fn set_processor_timer(&self, machine: MachineId) {
        let mut world = self.world();
        let now = world.now;
        let processor = &mut world.machines[machine].processor;
        if processor.queue.is_empty() || processor.is_timer_set {
            return;
        }
        processor.is_timer_set = true;
        let at = processor.busy_until.max(now);
        world.schedule(at, TimerEvent::ProcessorFree(machine));
    }
}
