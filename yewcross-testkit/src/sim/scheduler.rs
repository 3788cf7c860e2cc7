//! The scheduler: polls one runnable task at a time, chosen by the seeded random generator.

use super::clock::TimerEvent;
use super::machine::ProcessId;
use super::{Sim, World};
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Wake, Waker};

pub(super) type TaskId = u64;

pub(super) type TaskFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Tasks that were woken and not yet polled.
#[derive(Default)]
pub(super) struct RunQueue {
    tasks: Vec<TaskId>,
    /// The members of `tasks`.
    queued: BTreeSet<TaskId>,
}

impl RunQueue {
    pub(super) fn push(&mut self, task: TaskId) {
        if self.queued.insert(task) {
            self.tasks.push(task);
        }
    }

    /// Removes a task drawn at random. Draws nothing while no task is runnable.
    fn take_random(&mut self, random: &mut fastrand::Rng) -> Option<TaskId> {
        if self.tasks.is_empty() {
            return None;
        }
        let index = random.usize(0..self.tasks.len());
        let task = self.tasks.swap_remove(index);
        self.queued.remove(&task);
        Some(task)
    }
}

/// Puts its task into the run queue.
struct TaskWaker {
    run_queue: Arc<Mutex<RunQueue>>,
    task: TaskId,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.run_queue.lock().unwrap().push(self.task);
    }
}

pub(super) struct Task {
    pub(super) process: ProcessId,
    /// Absent during a poll.
    future: Option<TaskFuture>,
    waker: Waker,
}

/// The parts of a task that a poll needs.
struct TaskPoll {
    process: ProcessId,
    future: TaskFuture,
    waker: Waker,
}

impl World {
    /// Takes the task's future for a poll. None if the task has ended, or if its machine is frozen:
    /// then the task is deferred until the machine is thawed.
    fn begin_poll(&mut self, task: TaskId, process: ProcessId) -> Option<TaskPoll> {
        let machine = &mut self.machines[process.machine];
        machine.processor.begin_poll();
        self.polls += 1;
        if machine.is_frozen {
            machine.deferred_tasks.push(task);
            return None;
        }
        let state = self.tasks.get_mut(&task)?;
        Some(TaskPoll {
            process,
            future: state.future.take()?,
            waker: state.waker.clone(),
        })
    }

    /// Stores the future again, or returns it if the task has ended: its destructor may lock the
    /// world, so the caller drops it after releasing the lock.
    fn end_poll(&mut self, task: TaskId, poll: TaskPoll, is_finished: bool) -> Option<TaskFuture> {
        let now = self.now;
        let process = poll.process;
        self.machines[process.machine].processor.end_poll(now);
        if is_finished || !self.is_running(process) {
            self.tasks.remove(&task);
            return Some(poll.future);
        }
        if let Some(state) = self.tasks.get_mut(&task) {
            state.future = Some(poll.future);
            return None;
        }
        Some(poll.future)
    }
}

impl Sim {
    /// Starts a task of a process. If the process has ended, the future is dropped.
    pub(super) fn spawn(&self, process: ProcessId, future: TaskFuture) {
        let mut world = self.world();
        if !world.is_running(process) {
            return;
        }
        let id = world.next_id();
        let waker = Waker::from(Arc::new(TaskWaker {
            run_queue: self.run_queue.clone(),
            task: id,
        }));
        let task = Task {
            process,
            future: Some(future),
            waker: waker.clone(),
        };
        world.tasks.insert(id, task);
        drop(world);
        waker.wake();
    }

    /// Runs the world until the given virtual time (us), until `is_done` returns true, or until no
    /// task is runnable and no timer is set.
    pub fn run(&self, until: u64, mut is_done: impl FnMut() -> bool) {
        while !is_done() {
            match self.next_runnable() {
                Some(task) => self.poll_runnable(task),
                None => {
                    let Some(event) = self.advance_clock(until) else {
                        return;
                    };
                    self.handle_timer(event);
                }
            }
        }
    }

    fn next_runnable(&self) -> Option<TaskId> {
        let mut world = self.world();
        let mut run_queue = self.run_queue.lock().unwrap();
        run_queue.take_random(&mut world.random)
    }

    /// Advances the clock to the next timer and removes it. None if no timer expires by `until`.
    fn advance_clock(&self, until: u64) -> Option<TimerEvent> {
        let mut world = self.world();
        let expiry = world.timers.next_expiry()?;
        if expiry > until {
            world.now = until;
            return None;
        }
        world.now = world.now.max(expiry);
        world.timers.pop()
    }

    fn handle_timer(&self, event: TimerEvent) {
        match event {
            TimerEvent::LosePower(machine) => self.kill(machine, true),
            TimerEvent::ProcessorFree(machine) => self.run_next_queued(machine),
            TimerEvent::Wake(waker) => waker.wake(),
            TimerEvent::Arrival(connection, sender) => {
                let waker = self.world().take_reader_waker(connection, sender);
                if let Some(waker) = waker {
                    waker.wake();
                }
            }
        }
    }

    /// Polls a task that was woken, or queues it for its machine's processor.
    fn poll_runnable(&self, task: TaskId) {
        let mut world = self.world();
        let Some(process) = world.tasks.get(&task).map(|task| task.process) else {
            return;
        };
        let now = world.now;
        let processor = &mut world.machines[process.machine].processor;
        if processor.must_queue(now) {
            processor.enqueue(task);
            drop(world);
            self.set_processor_timer(process.machine);
            return;
        }
        drop(world);
        self.poll(task, process);
    }

    /// Polls a task that was queued for its machine's processor.
    pub(super) fn poll_dequeued(&self, task: TaskId) {
        let process = self.world().tasks.get(&task).map(|task| task.process);
        if let Some(process) = process {
            self.poll(task, process);
        }
    }

    fn poll(&self, task: TaskId, process: ProcessId) {
        // The world is unlocked during the poll, because the future calls back into the simulator.
        let started = self.world().begin_poll(task, process);
        let Some(mut poll) = started else {
            return;
        };
        let mut context = Context::from_waker(&poll.waker);
        let is_finished = poll.future.as_mut().poll(&mut context).is_ready();
        let finished_future = self.world().end_poll(task, poll, is_finished);
        drop(finished_future);
    }
}
