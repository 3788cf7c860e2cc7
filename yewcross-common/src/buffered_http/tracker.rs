//! Counts open connections and requests in progress, so that a planned stop can wait for them.

use crate::notify::{Latch, Notifier};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Counts what is open, and tells a server to come to an end.
#[derive(Default)]
pub struct ConnectionTracker {
    /// Open connections.
    pub open_connections: AtomicUsize,
    /// Requests in progress.
    pub active_requests: AtomicUsize,
    /// Set to end the server: it accepts what is in the backlog, ends idle connections, and lets
    /// requests in progress finish.
    pub shutdown: Latch,
    /// Notified when either count falls.
    decreased: Notifier,
}

impl ConnectionTracker {
    /// Returns once no connection is open.
    pub async fn all_closed(&self) {
        self.decreased
            .wait_until(|| self.open_connections.load(SeqCst) == 0)
            .await
    }

    /// Returns once no request is in progress.
    pub async fn requests_finished(&self) {
        self.decreased
            .wait_until(|| self.active_requests.load(SeqCst) == 0)
            .await
    }

    pub(super) fn connection_closed(&self) {
        self.open_connections.fetch_sub(1, SeqCst);
        self.decreased.notify();
    }

    pub(super) fn request_ended(&self) {
        self.active_requests.fetch_sub(1, SeqCst);
        self.decreased.notify();
    }
}
