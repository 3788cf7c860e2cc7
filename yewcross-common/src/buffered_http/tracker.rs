//! Counts open connections and requests in progress, so that a graceful shutdown can wait for them.

use crate::buffer_memory::{BufferMemory, max_caller_connections};
use crate::constants::MAX_CALLER_CONNECTIONS;
use crate::notify::{Latch, Notifier};
use crate::process_settings::Bounds;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Counts the open connections of a server, limits what they use, and signals its shutdown.
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
    /// Upper limit on open connections; further ones are rejected.
    pub(super) max_connections: usize,
    /// Memory for the bodies of requests.
    pub(super) memory: Arc<BufferMemory>,
}

impl Default for ConnectionTracker {
    fn default() -> ConnectionTracker {
        ConnectionTracker {
            open_connections: AtomicUsize::default(),
            active_requests: AtomicUsize::default(),
            shutdown: Latch::default(),
            decreased: Notifier::default(),
            max_connections: MAX_CALLER_CONNECTIONS,
            memory: Arc::default(),
        }
    }
}

impl ConnectionTracker {
    /// A tracker for the server of a process within these bounds.
    pub fn within(bounds: &Bounds, memory: &Arc<BufferMemory>) -> ConnectionTracker {
        ConnectionTracker {
            max_connections: max_caller_connections(bounds),
            memory: memory.clone(),
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
