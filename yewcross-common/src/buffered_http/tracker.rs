//! Counts open connections and requests in progress, so that a graceful shutdown can wait for them.

use crate::notify::{Latch, Notifier};
use crate::overload::OverloadManager;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Counts the open connections of a server, and signals its shutdown.
#[derive(Default)]
pub struct ConnectionTracker {
    /// Number of open connections.
    pub open_connections: AtomicUsize,
    /// Number of requests in progress.
    pub active_requests: AtomicUsize,
    /// Set to begin a graceful shutdown: the server accepts the connections in the backlog, closes
    /// idle connections and completes requests in progress.
    pub shutdown: Latch,
    /// Notified when either count decreases.
    decreased: Notifier,
    /// Limits what the connections hold.
    pub(super) overload: Arc<OverloadManager>,
}

impl ConnectionTracker {
    /// A tracker for a server whose connections are admitted by `overload`.
    pub fn new(overload: &Arc<OverloadManager>) -> ConnectionTracker {
        ConnectionTracker {
            overload: overload.clone(),
            ..ConnectionTracker::default()
        }
    }

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
