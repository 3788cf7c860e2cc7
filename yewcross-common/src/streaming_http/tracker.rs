//! Counts open connections and requests in progress, and shuts a server down.

use crate::overload::OverloadManager;
use async_channel::{Receiver, Sender};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};

/// A one-time signal, implemented as a channel that never carries an item and is closed to send the
/// signal.
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
    /// Sends the signal; repeated calls have no effect.
    fn send(&self) {
        self.sender.close();
    }

    /// Returns once the signal has been sent.
    async fn wait(&self) {
        // The channel never carries an item: `recv` returns only once it is closed.
        let _ = self.receiver.recv().await;
    }
}

/// Counts the open connections of a server and signals its shutdown to all of them. Waiting tasks are
/// woken by events, without polling.
#[derive(Default)]
pub struct ConnectionTracker {
    /// Limits what the connections hold.
    overload: Arc<OverloadManager>,
    /// Each response closes its connection.
    keep_alive_disabled: AtomicBool,
    /// Number of open connections, plus one for the listener while it is open.
    open_connections: AtomicUsize,
    /// Number of requests in progress.
    active_requests: AtomicUsize,
    /// Sent when the shutdown begins.
    shutdown: Signal,
    /// Sent when the listener and all connections are closed.
    all_closed: Signal,
}

impl ConnectionTracker {
    /// A tracker for a server whose connections are admitted by `overload`.
    pub fn new(overload: &Arc<OverloadManager>) -> ConnectionTracker {
        ConnectionTracker {
            overload: overload.clone(),
            ..ConnectionTracker::default()
        }
    }

    pub(super) fn overload(&self) -> &Arc<OverloadManager> {
        &self.overload
    }

    /// Closes each connection after its next response; new connections are still accepted.
    pub fn disable_keep_alive(&self) {
        self.keep_alive_disabled.store(true, SeqCst);
    }

    /// Whether each connection is closed after its next response.
    pub fn keep_alive_disabled(&self) -> bool {
        self.keep_alive_disabled.load(SeqCst)
    }

    /// Begins a graceful shutdown: the server accepts the connections in the backlog, closes idle
    /// connections and completes requests in progress.
    pub fn begin_shutdown(&self) {
        self.disable_keep_alive();
        self.shutdown.send();
    }

    /// Returns once [`ConnectionTracker::begin_shutdown`] has been called.
    pub async fn shutdown_started(&self) {
        self.shutdown.wait().await;
    }

    /// Returns once the listener and all connections are closed.
    pub async fn all_closed(&self) {
        self.all_closed.wait().await;
    }

    /// Number of open connections; the listener counts as one.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(SeqCst)
    }

    /// Number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(SeqCst)
    }

    pub(super) fn connection_opened(&self) {
        self.open_connections.fetch_add(1, SeqCst);
    }

    pub(super) fn connection_closed(&self) {
        if self.open_connections.fetch_sub(1, SeqCst) == 1 {
            self.all_closed.send();
        }
    }

    pub(super) fn request_started(&self) {
        self.active_requests.fetch_add(1, SeqCst);
    }

    pub(super) fn request_ended(&self) {
        self.active_requests.fetch_sub(1, SeqCst);
    }
}
