//! Protection of a process against what its callers make it hold: connections, buffers, and bytes that
//! have arrived and are not read yet, on all ports together.
//!
//! One [`OverloadManager`] belongs to a process. Each port asks it to admit a connection, and buffers
//! reserve their memory through [`crate::buffer_memory`]. When either is used up, the connections that
//! hold most for longest are closed first, so that an ordinary caller is still let in:
//!
//! - `limits`: what a process may hold within its bounds.
//! - `connection`: what one connection holds, and whether it waits for its caller.
//! - `observed_connection`: records whether a caller reads its responses.
//! - `eviction`: chooses the connections to close.
//!
//! A connection is closed only while it waits for its caller: while a request or a frame is received,
//! while a response is not read, or between two requests. A request that was received completely is
//! never cut off by this while its response is awaited or read.

mod connection;
mod eviction;
mod limits;
mod observed_connection;

pub use connection::{CallerConnection, ConnectionPermit, WorkingGuard};
pub use limits::{OverloadLimits, available_memory};
pub use observed_connection::ObservedConnection;

use crate::buffer_memory::{BufferMemory, Reservation};
use crate::constants::{
    EVICTION_TIMEOUT, FRAME_MEMORY_TIMEOUT, RECEIVE_STALL_TIMEOUT, STALL_TIME_MIN,
};
use crate::notify::Notifier;
use crate::process_settings::Bounds;
use crate::runtime::{Connection, Runtime};
use eviction::{Candidates, Choice};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// Admits connections of callers and closes those that hold most for longest when a process is short
/// of connections or memory.
#[derive(Debug)]
pub struct OverloadManager {
    limits: OverloadLimits,
    /// Memory for buffers whose size callers determine.
    pub memory: Arc<BufferMemory>,
    /// All open connections by id.
    connections: Mutex<BTreeMap<u64, Arc<CallerConnection>>>,
    next_id: AtomicU64,
    /// Notified when a connection is closed.
    closed: Notifier,
    /// Number of connections that were closed to make room.
    evictions: AtomicU64,
}

impl Default for OverloadManager {
    fn default() -> OverloadManager {
        OverloadManager::with_limits(OverloadLimits::default(), Arc::default())
    }
}

impl OverloadManager {
    /// The manager of a process within these bounds.
    pub fn within(bounds: &Bounds) -> Arc<OverloadManager> {
        let limits = OverloadLimits::within(bounds);
        Arc::new(OverloadManager::with_limits(
            limits,
            BufferMemory::within(bounds),
        ))
    }

    /// A manager with these limits and this memory.
    pub fn with_limits(limits: OverloadLimits, memory: Arc<BufferMemory>) -> OverloadManager {
        OverloadManager {
            limits,
            memory,
            connections: Mutex::default(),
            next_id: AtomicU64::default(),
            closed: Notifier::default(),
            evictions: AtomicU64::default(),
        }
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.lock().unwrap().len()
    }

    /// Number of connections that were closed to make room for others.
    pub fn evictions(&self) -> u64 {
        self.evictions.load(SeqCst)
    }

    /// Admits a connection. If there is no room for it, closes others first; `None` if none of them
    /// waits for its caller.
    pub async fn admit(
        self: &Arc<Self>,
        runtime: &Runtime,
        connection: &Connection,
    ) -> Option<ConnectionPermit> {
        loop {
            if let Some(permit) = self.try_admit(runtime, connection) {
                return Some(permit);
            }
            let wait = match self.make_room_for_connections(runtime.now()) {
                Choice::Begun => EVICTION_TIMEOUT,
                Choice::Later(delay) => delay,
                Choice::Nobody => return None,
            };
            let has_room = self
                .closed
                .wait_until(|| self.open_connections() < self.limits.max_connections);
            runtime.timeout(wait, has_room).await;
        }
    }

    fn try_admit(
        self: &Arc<Self>,
        runtime: &Runtime,
        connection: &Connection,
    ) -> Option<ConnectionPermit> {
        let mut connections = self.connections.lock().unwrap();
        if connections.len() >= self.limits.max_connections {
            return None;
        }
        let id = self.next_id.fetch_add(1, SeqCst);
        let admitted = Arc::new(CallerConnection::new(self, runtime, connection));
        connections.insert(id, admitted.clone());
        drop(connections);
        Some(ConnectionPermit::new(self.clone(), id, admitted))
    }

    fn release(&self, id: u64) {
        self.connections.lock().unwrap().remove(&id);
        self.closed.notify();
    }

    fn make_room_for_connections(&self, now: u64) -> Choice {
        let batch = self.limits.eviction_batch();
        let candidates = Candidates::collect(&self.connections.lock().unwrap(), now);
        let (choice, victims) = candidates.choose_for_connections(batch, STALL_TIME_MIN);
        self.evict(victims);
        choice
    }

    /// Closes connections that hold buffers and have waited for their callers for `age_min` µs, until
    /// their buffers make up `bytes`. Returns whether there was any.
    fn make_room_for_buffers(
        &self,
        requester: &CallerConnection,
        bytes: usize,
        now: u64,
        age_min: u64,
    ) -> bool {
        let candidates = Candidates::collect(&self.connections.lock().unwrap(), now);
        let victims = candidates.choose_for_buffers(requester, bytes, age_min);
        let has_begun = !victims.is_empty();
        self.evict(victims);
        has_begun
    }

    fn evict(&self, victims: Vec<Arc<CallerConnection>>) {
        self.evictions.fetch_add(victims.len() as u64, SeqCst);
        victims.iter().for_each(|victim| victim.evict());
    }

    /// Reserves further memory for a buffer. If there is none, closes connections that hold buffers and
    /// have waited for their callers for `age_min` µs.
    async fn grow(
        &self,
        requester: &CallerConnection,
        reservation: &mut Reservation,
        bytes: usize,
        age_min: u64,
    ) -> bool {
        if reservation.try_grow(bytes) {
            return true;
        }
        let runtime = requester.runtime();
        if !self.make_room_for_buffers(requester, bytes, runtime.now(), age_min) {
            return false;
        }
        self.wait_for_memory(runtime, reservation, bytes).await
    }

    /// Reserves memory for a frame of a peer: waits longer than for callers, and makes room more than
    /// once.
    async fn grow_frame(
        &self,
        requester: &CallerConnection,
        reservation: &mut Reservation,
        bytes: usize,
    ) -> bool {
        let runtime = requester.runtime();
        let deadline = runtime.now() + FRAME_MEMORY_TIMEOUT;
        while !reservation.try_grow(bytes) {
            let now = runtime.now();
            if bytes > self.memory.limit() || now >= deadline {
                return false;
            }
            self.make_room_for_buffers(requester, bytes, now, STALL_TIME_MIN);
            if self.wait_for_memory(runtime, reservation, bytes).await {
                return true;
            }
        }
        true
    }

    /// Waits until memory is released that connections which are being closed have held.
    async fn wait_for_memory(
        &self,
        runtime: &Runtime,
        reservation: &mut Reservation,
        bytes: usize,
    ) -> bool {
        let has_grown = self
            .memory
            .released()
            .wait_until(|| reservation.try_grow(bytes));
        runtime.timeout(EVICTION_TIMEOUT, has_grown).await.is_some()
    }

    /// Closes connections that have made no progress for longer than any caller needs. It is called at
    /// regular intervals.
    pub fn close_stalled(&self, now: u64) {
        let candidates = Candidates::collect(&self.connections.lock().unwrap(), now);
        self.evict(candidates.stalled_for(RECEIVE_STALL_TIMEOUT));
    }
}
