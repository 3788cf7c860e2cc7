//! What one connection of a caller holds, and whether it waits for its caller.

use super::OverloadManager;
use crate::buffer_memory::Reservation;
use crate::constants::{
    CALLER_CONNECTION_BYTES, LARGE_HOLD_TIME_MIN, LARGE_RECEIVE_WINDOW_BYTES, SMALL_BUFFER_BYTES,
    UNREAD_WINDOWS,
};
use crate::notify::Latch;
use crate::runtime::{Connection, Runtime, WeakConnection};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request was received on it so far.
    Fresh,
    /// A request or a frame is being received.
    Receiving,
    /// A request that was received completely is being answered.
    Working,
    /// It is kept open between two requests.
    Idle,
}

/// The phase of a connection and since when it waits for its caller, in µs of the runtime's clock.
#[derive(Debug)]
struct Progress {
    phase: Phase,
    /// When the phase began.
    since: u64,
    /// Since when the caller has not read what was written; `None` while it reads.
    unread_since: Option<u64>,
}

/// How a connection waits for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Waiting {
    /// The caller has begun something and does not complete it.
    Stalled {
        /// Since when, in µs.
        since: u64,
    },
    /// It rests between two requests.
    Resting {
        /// Since when, in µs.
        since: u64,
    },
}

/// One connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    runtime: RuntimeHandle,
    stream: WeakConnection,
    manager: Arc<OverloadManager>,
    progress: Mutex<Progress>,
    /// Bytes that the connection has reserved.
    reserved: Arc<AtomicUsize>,
    /// Memory of its widened receive window; `None` while that is the usual one.
    widened_window: Mutex<Option<Reservation>>,
    evicted: Latch,
}

/// A runtime whose debug form is short.
struct RuntimeHandle(Runtime);

impl std::fmt::Debug for RuntimeHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Runtime")
    }
}

impl CallerConnection {
    pub(super) fn new(
        manager: &Arc<OverloadManager>,
        runtime: &Runtime,
        connection: &Connection,
    ) -> CallerConnection {
        CallerConnection {
            runtime: RuntimeHandle(runtime.clone()),
            stream: connection.downgrade(),
            manager: manager.clone(),
            progress: Mutex::new(Progress {
                phase: Phase::Fresh,
                since: runtime.now(),
                unread_since: None,
            }),
            reserved: Arc::default(),
            widened_window: Mutex::default(),
            evicted: Latch::default(),
        }
    }

    pub(super) fn runtime(&self) -> &Runtime {
        &self.runtime.0
    }

    /// An empty reservation whose memory counts as held by this connection.
    pub fn reservation(&self) -> Reservation {
        Reservation::new(&self.manager.memory).counted_in(&self.reserved)
    }

    /// Reserves further memory for a buffer of this connection. If there is none, closes connections
    /// that have held large buffers for longer than a caller needs to send one.
    #[must_use]
    pub async fn grow(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let age_min = LARGE_HOLD_TIME_MIN;
        self.manager.grow(self, reservation, bytes, age_min).await
    }

    /// Like [`CallerConnection::grow`] for a frame of a peer, which takes precedence over callers.
    #[must_use]
    pub async fn grow_frame(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        self.manager.grow_frame(self, reservation, bytes).await
    }

    /// Records that the first bytes of a request or a frame have arrived.
    pub fn begin_receiving(&self) {
        let mut progress = self.progress.lock().unwrap();
        if matches!(progress.phase, Phase::Fresh | Phase::Idle) {
            progress.phase = Phase::Receiving;
            progress.since = self.runtime().now();
        }
    }

    /// Records that a request was received completely; it is not cut off from now on.
    pub fn begin_working(&self) {
        self.progress.lock().unwrap().phase = Phase::Working;
    }

    /// Records that a request was answered, or a frame was received, and the next one may come.
    pub fn begin_idle(&self) {
        let now = self.runtime().now();
        let mut progress = self.progress.lock().unwrap();
        progress.phase = Phase::Idle;
        progress.since = now;
    }

    /// Records that the caller does not read what is written for it.
    pub fn record_unread(&self) {
        let now = self.runtime().now();
        let mut progress = self.progress.lock().unwrap();
        progress.unread_since.get_or_insert(now);
    }

    /// Records that the caller has read what was written for it.
    pub fn record_read(&self) {
        self.progress.lock().unwrap().unread_since = None;
    }

    /// Widens the system's receive window for a large request if there is memory for it. The window
    /// stays wide until the connection is closed, since bytes may wait in it until then.
    pub fn widen_receive_window(&self) {
        let mut widened_window = self.widened_window.lock().unwrap();
        let is_usual_limited = self.manager.limits.receive_window.is_some();
        if widened_window.is_some() || !is_usual_limited {
            return;
        }
        let mut reservation = self.reservation();
        if reservation.try_grow(LARGE_RECEIVE_WINDOW_BYTES * UNREAD_WINDOWS) {
            self.stream.set_receive_window(LARGE_RECEIVE_WINDOW_BYTES);
            *widened_window = Some(reservation);
        }
    }

    /// Restores the usual receive window of a connection that is always read, and releases the memory of
    /// the wide one.
    pub fn restore_receive_window(&self) {
        let reservation = self.widened_window.lock().unwrap().take();
        let usual_window = self.manager.limits.receive_window;
        if let (Some(_), Some(window)) = (reservation, usual_window) {
            self.stream.set_receive_window(window);
        }
    }

    /// Whether a request or frame of this size is received through a wide window.
    pub fn is_large(bytes: usize) -> bool {
        bytes > SMALL_BUFFER_BYTES
    }

    pub(super) fn waiting(&self) -> Option<Waiting> {
        let progress = self.progress.lock().unwrap();
        let since = progress.since;
        match (progress.unread_since, progress.phase) {
            (Some(since), _) => Some(Waiting::Stalled { since }),
            (None, Phase::Fresh | Phase::Receiving) => Some(Waiting::Stalled { since }),
            (None, Phase::Idle) => Some(Waiting::Resting { since }),
            (None, Phase::Working) => None,
        }
    }

    /// Bytes of the buffers that it has reserved.
    pub(super) fn reserved_bytes(&self) -> usize {
        self.reserved.load(SeqCst)
    }

    /// All bytes that the process holds for it.
    pub(super) fn held_bytes(&self) -> usize {
        CALLER_CONNECTION_BYTES + self.reserved_bytes()
    }

    pub(super) fn evict(&self) {
        self.evicted.set();
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.is_set()
    }

    /// Returns once the connection is to be closed to make room for others.
    pub async fn evicted(&self) {
        self.evicted.wait().await;
    }
}

/// The place of an open connection; it is free again when this is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    manager: Arc<OverloadManager>,
    id: u64,
    connection: Arc<CallerConnection>,
}

impl ConnectionPermit {
    pub(super) fn new(
        manager: Arc<OverloadManager>,
        id: u64,
        connection: Arc<CallerConnection>,
    ) -> ConnectionPermit {
        ConnectionPermit {
            manager,
            id,
            connection,
        }
    }

    /// The connection that has the place.
    pub fn connection(&self) -> &Arc<CallerConnection> {
        &self.connection
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.manager.release(self.id);
    }
}

/// A request that is being answered; its connection rests once this is dropped.
#[derive(Debug)]
pub struct WorkingGuard(Arc<CallerConnection>);

impl WorkingGuard {
    /// A guard for the current request of a connection.
    pub fn new(connection: &Arc<CallerConnection>) -> WorkingGuard {
        WorkingGuard(connection.clone())
    }
}

impl Drop for WorkingGuard {
    fn drop(&mut self) {
        self.0.begin_idle();
    }
}
