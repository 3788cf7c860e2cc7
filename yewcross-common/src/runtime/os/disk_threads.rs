//! Threads for operations that wait for the disk, apart from those that run tasks.

use crate::constants::DISK_THREADS;
use async_channel::{Receiver, Sender};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Bytes of stack for each thread.
const STACK_BYTES: usize = 256 << 10;

pub(super) type DiskOperation = Box<dyn FnOnce() + Send>;

/// Up to `DISK_THREADS` threads. They start when they are needed and then stay.
pub(super) struct DiskThreads {
    sender: Sender<DiskOperation>,
    receiver: Receiver<DiskOperation>,
    started: AtomicUsize,
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

    /// Queues an operation, and starts a thread for it where none is idle.
    pub(super) fn run(&self, operation: DiskOperation) {
        let has_idle_thread = self.idle.load(SeqCst) > self.sender.len();
        if !has_idle_thread
            && self.started.load(SeqCst) < DISK_THREADS
            && self.started.fetch_add(1, SeqCst) < DISK_THREADS
        {
            self.start_thread();
        }
        // The queue is unbounded and never closed.
        let _ = self.sender.try_send(operation);
    }

    fn start_thread(&self) {
        let (receiver, idle) = (self.receiver.clone(), self.idle.clone());
        // Where the system has no thread left, those that run take the operation.
        let _ = std::thread::Builder::new()
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
    }
}
