//! What a machine's work costs: one processor that runs a task at a time, and a disk that syncs.

use super::Sim;
use super::clock::TimerEvent;
use super::machine::MachineId;
use super::scheduler::TaskId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Costs of a machine's work. All 0 by default: its processor is free and a sync takes about
/// 400 us.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MachineCosts {
    /// Percent of a core that the machine has; 0: its processor is free.
    #[serde(rename = "share")]
    pub core_percent: u64,
    /// us of a whole core for each poll of a task.
    #[serde(rename = "wake")]
    pub poll_us: u64,
    /// ns of a whole core for each byte read from or written to a connection.
    #[serde(rename = "byte")]
    pub byte_ns: u64,
    /// us that a sync occupies the disk, one at a time; 0: 400 us and up to half of it, all at
    /// once.
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
    /// Moved over connections in the poll under way.
    bytes_moved: u64,
    /// us of a whole core, in total.
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
        self.bytes_moved = 0;
    }

    /// Counts bytes that the poll under way moves over a connection.
    pub(super) fn count_bytes(&mut self, bytes: usize) {
        self.bytes_moved += bytes as u64;
    }

    /// Charges the poll that just ended.
    pub(super) fn end_poll(&mut self, now: u64) {
        let costs = self.costs;
        let used = if costs.core_percent > 0 {
            costs.poll_us + self.bytes_moved * costs.byte_ns / 1000
        } else {
            0
        };
        self.used_us += used;
        let elapsed = (used * 100).checked_div(costs.core_percent).unwrap_or(0);
        self.busy_until = now + elapsed;
    }

    /// Drops all waiting work, as the end of the process does.
    pub(super) fn clear(&mut self) {
        self.busy_until = 0;
        self.is_timer_set = false;
        self.queue.clear();
        self.queued.clear();
    }

    /// Reserves the disk for one sync behind those already reserved; returns when it ends.
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

    /// us of a whole core that the machine's tasks were charged so far.
    pub fn processor_time_used(&self, machine: MachineId) -> u64 {
        self.world().machines[machine].processor.used_us
    }

    /// The machine's processor is free again: polls the task that has waited longest.
    pub(super) fn run_next_queued(&self, machine: MachineId) {
        let task = {
            let mut world = self.world();
            let processor = &mut world.machines[machine].processor;
            // The process ended since the timer was set.
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

    /// Makes sure that a timer is set while tasks wait for the machine's processor.
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
