//! A thread pool for blocking disk operations, separate from the threads that run tasks.

use crate::constants::DISK_THREADS;
use async_channel::{Receiver, Sender};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Stack size of each thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// A blocking operation to run on a disk thread.
pub(super) type DiskOperation = Box<dyn FnOnce() + Send>;

/// A pool of up to `DISK_THREADS` threads. Threads are started on demand and are never stopped.
pub(super) struct DiskThreads {
    sender: Sender<DiskOperation>,
    receiver: Receiver<DiskOperation>,
    /// Threads started so far.
    started: AtomicUsize,
    /// Threads that wait for an operation.
    idle: Arc<AtomicUsize>,
}

impl DiskThreads {
    pub(super) fn new() -> DiskThreads {
        let (sender, receiver) = async_channel::unbounded();
        DiskThreads {
            sender,
            receiver,
            started: AtomicUsize::new(0),
            idle: Default::default(),
        }
    }

    /// Queues an operation and starts another thread if no idle one is available and the limit of
    /// `DISK_THREADS` is not reached.
    pub(super) fn run(&self, operation: DiskOperation) {
        let has_idle_thread = self.idle.load(SeqCst) > self.sender.len();
        if !has_idle_thread
            && self.started.load(SeqCst) < DISK_THREADS
            && self.started.fetch_add(1, SeqCst) < DISK_THREADS
        {
            self.start_thread();
        }
        // Cannot fail: the queue is unbounded and never closed.
        let _ = self.sender.try_send(operation);
    }

    fn start_thread(&self) {
        let (receiver, idle) = (self.receiver.clone(), self.idle.clone());
        let started = std::thread::Builder::new()
            .name("disk".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                loop {
                    idle.fetch_add(1, SeqCst);
                    let Ok(operation) = receiver.recv_blocking() else {
                        return;
                    };
                    idle.fetch_sub(1, SeqCst);
                    operation();
                }
            });
        // If the system cannot start another thread, the existing ones process the queue, and the next
        // operation tries again.
        if started.is_err() {
            self.started.fetch_sub(1, SeqCst);
        }
    }
}
