//! Counts open connections and requests in progress, and brings a server to an end.

use async_channel::{Receiver, Sender};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};

/// A signal that is given once; a channel that never carries anything and is closed to give it.
struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Signal {
        let (sender, receiver) = async_channel::bounded(1);
        Signal { sender, receiver }
    }
}

impl Signal {
    fn give(&self) {
        self.sender.close();
    }

    async fn wait(&self) {
        // The error that the channel is closed is the signal.
        let _ = self.receiver.recv().await;
    }
}

/// Counts what is open, and tells all connections of a server to come to an end. Those who wait are
/// woken by events only.
#[derive(Default)]
pub struct ConnectionTracker {
    is_last: AtomicBool,
    /// Open connections, and the listener while it accepts.
    open: AtomicUsize,
    /// Requests in progress.
    busy: AtomicUsize,
    closing: Signal,
    empty: Signal,
}

impl ConnectionTracker {
    /// From now on each response is its connection's last; new connections are still accepted.
    pub fn disable_keep_alive(&self) {
        self.is_last.store(true, SeqCst);
    }

    /// Whether each response is its connection's last.
    pub fn keep_alive_disabled(&self) -> bool {
        self.is_last.load(SeqCst)
    }

    /// Accepts what is in the backlog, ends idle connections, and lets requests in progress finish.
    pub fn begin_shutdown(&self) {
        self.disable_keep_alive();
        self.closing.give();
    }

    /// Returns once [`ConnectionTracker::close`] was called.
    pub async fn shutdown_started(&self) {
        self.closing.wait().await;
    }

    /// Returns once the listener is closed and no connection is open.
    pub async fn all_closed(&self) {
        self.empty.wait().await;
    }

    /// Open connections; the listener counts as one.
    pub fn open_connections(&self) -> usize {
        self.open.load(SeqCst)
    }

    /// Requests in progress.
    pub fn active_requests(&self) -> usize {
        self.busy.load(SeqCst)
    }

    pub(super) fn connection_opened(&self) {
        self.open.fetch_add(1, SeqCst);
    }

    pub(super) fn connection_closed(&self) {
        if self.open.fetch_sub(1, SeqCst) == 1 {
            self.empty.give();
        }
    }

    pub(super) fn request_started(&self) {
        self.busy.fetch_add(1, SeqCst);
    }

    pub(super) fn request_ended(&self) {
        self.busy.fetch_sub(1, SeqCst);
    }
}
