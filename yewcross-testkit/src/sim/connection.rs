//! The state of connections: two directions, each with its bytes in flight.

use super::World;
use super::clock::TimerEvent;
use super::fingerprint::Event;
use super::machine::{MachineId, ProcessId};
use std::collections::VecDeque;
use std::io;
use std::task::Waker;

/// Arrival time of data that a partition delays.
const NEVER: u64 = u64::MAX;

pub(super) type ConnectionId = u64;

/// Index of an endpoint: 0 for the process that connected, 1 for the one that accepted.
pub(super) type Side = usize;

pub(super) fn opposite(side: Side) -> Side {
    1 - side
}

/// Bytes of one write.
struct Chunk {
    /// Time of arrival, us.
    arrival: u64,
    bytes: Vec<u8>,
}

/// One direction of a connection.
#[derive(Default)]
pub(super) struct HalfConnection {
    chunks: VecDeque<Chunk>,
    /// Arrival (us) of the latest chunk. Later chunks arrive no earlier, so bytes stay in order.
    last_arrival: u64,
    /// Time (us) at which the end of the stream arrives at the reader.
    closed_at: Option<u64>,
    /// Whether the stream ends by a reset.
    is_reset: bool,
    is_reader_closed: bool,
    /// Wakes the task that waits for bytes.
    reader_waker: Option<Waker>,
    /// Bytes written and not yet read.
    unread_bytes: usize,
    /// Wakes the task that waits for space in the receive window.
    writer_waker: Option<Waker>,
}

pub(super) struct ConnectionState {
    /// Position in the order in which connections were opened, from 1.
    number: u64,
    pub(super) endpoints: [ProcessId; 2],
    /// The direction in which each side sends.
    halves: [HalfConnection; 2],
}

/// The current path from one endpoint of a connection to the other.
pub(super) struct Route {
    from: MachineId,
    /// Arrival time (us) of bytes sent now, unless the path is blocked.
    arrival: u64,
    is_blocked: bool,
}

impl HalfConnection {
    /// Moves arrived bytes into the buffer. Returns their number, or None if nothing has arrived.
    fn read(&mut self, now: u64, buffer: &mut [u8]) -> Option<usize> {
        let chunk = self
            .chunks
            .front_mut()
            .filter(|chunk| chunk.arrival <= now)?;
        let count = buffer.len().min(chunk.bytes.len());
        buffer[..count].copy_from_slice(&chunk.bytes[..count]);
        chunk.bytes.drain(..count);
        if chunk.bytes.is_empty() {
            self.chunks.pop_front();
        }
        self.unread_bytes -= count;
        Some(count)
    }

    /// How the stream ended, once the reader has read all of it.
    fn end_of_stream(&self, now: u64) -> Option<io::Result<usize>> {
        let is_finished = self.chunks.is_empty() && self.closed_at.is_some_and(|at| at <= now);
        is_finished.then(|| {
            if self.is_reset {
                Err(io::ErrorKind::ConnectionReset.into())
            } else {
                Ok(0)
            }
        })
    }

    fn is_closed(&self) -> bool {
        self.closed_at.is_some() || self.is_reader_closed
    }

    /// How many of the bytes may be written now. None unless the free space holds all of them or at
    /// least a quarter of the window, so that no tiny chunks are sent.
    fn writable_bytes(&self, length: usize, window: usize) -> Option<usize> {
        let free = window.saturating_sub(self.unread_bytes);
        (free >= length.min(window / 4)).then_some(length.min(free))
    }

    /// Sends the bytes and returns their arrival time (us).
    fn send(&mut self, bytes: &[u8], route: &Route) -> u64 {
        let is_delayed = route.is_blocked
            || self
                .chunks
                .back()
                .is_some_and(|chunk| chunk.arrival == NEVER);
        let arrival = if is_delayed {
            NEVER
        } else {
            self.last_arrival = route.arrival.max(self.last_arrival);
            self.last_arrival
        };
        self.unread_bytes += bytes.len();
        self.chunks.push_back(Chunk {
            arrival,
            bytes: bytes.to_vec(),
        });
        arrival
    }

    /// Ends the stream after the bytes sent so far; returns when the end arrives at the reader
    /// (us).
    fn close(&mut self, route: &Route) -> u64 {
        let arrival = if route.is_blocked {
            NEVER
        } else {
            route.arrival.max(self.last_arrival)
        };
        self.closed_at = Some(arrival);
        arrival
    }

    /// Sets the arrival time of everything that a partition delayed. Returns whether there was
    /// anything.
    fn release_delayed(&mut self, arrival: u64) -> bool {
        let is_close_delayed = self.closed_at == Some(NEVER);
        let mut is_any_delayed = is_close_delayed;
        for chunk in self
            .chunks
            .iter_mut()
            .filter(|chunk| chunk.arrival == NEVER)
        {
            chunk.arrival = arrival;
            is_any_delayed = true;
        }
        if is_close_delayed {
            self.closed_at = Some(arrival);
        }
        if is_any_delayed {
            self.last_arrival = arrival;
        }
        is_any_delayed
    }
}

/// The outcome of a write.
pub(super) enum WriteOutcome {
    Written(usize),
    Broken,
    /// The receive window is full: the reader has to read first.
    Full,
}

/// The outcome of a read.
pub(super) enum ReadOutcome {
    /// The number of bytes read, and the waker of the writer that waited for space.
    Read(usize, Option<Waker>),
    EndOfStream(io::Result<usize>),
    /// No bytes have arrived.
    Empty,
}

impl World {
    /// Opens a connection between two processes.
    pub(super) fn open_connection(&mut self, ends: [ProcessId; 2]) -> ConnectionId {
        let id = self.next_id();
        self.connections_opened += 1;
        let connection = ConnectionState {
            number: self.connections_opened,
            endpoints: ends,
            halves: Default::default(),
        };
        self.connections.insert(id, connection);
        id
    }

    /// Adds an event on a connection to the fingerprint. `event` is called with the connection's
    /// number and the name of the machine at its other endpoint.
    pub(super) fn record_connection_event<'a>(
        &'a mut self,
        connection: ConnectionId,
        side: Side,
        event: impl FnOnce(u64, &'a str) -> Event<'a>,
    ) {
        let Some(state) = self.connections.get(&connection) else {
            return;
        };
        let [own, peer] = [side, opposite(side)]
            .map(|end| self.machines[state.endpoints[end].machine].name.as_str());
        self.fingerprint
            .add(self.now, own, event(state.number, peer));
    }

    /// Draws the latency from this side to the other and returns the path.
    pub(super) fn route(&mut self, connection: ConnectionId, side: Side) -> Option<Route> {
        let ends = self.connections.get(&connection)?.endpoints;
        let from = ends[side].machine;
        let to = ends[opposite(side)].machine;
        let latency = self.latency(from, to);
        Some(Route {
            from,
            arrival: self.now + latency,
            is_blocked: self.is_blocked(from, to),
        })
    }

    fn outgoing_half(
        &mut self,
        connection: ConnectionId,
        side: Side,
    ) -> Option<&mut HalfConnection> {
        let state = self.connections.get_mut(&connection)?;
        Some(&mut state.halves[side])
    }

    /// Takes the waker of the task that waits for bytes from this side.
    pub(super) fn take_reader_waker(
        &mut self,
        connection: ConnectionId,
        side: Side,
    ) -> Option<Waker> {
        self.outgoing_half(connection, side)?.reader_waker.take()
    }

    fn schedule_arrival(&mut self, arrival: u64, connection: ConnectionId, side: Side) {
        if arrival != NEVER {
            self.schedule(arrival, TimerEvent::Arrival(connection, side));
        }
    }

    /// Reads what the other side sent. If nothing has arrived, `waker` is woken once something
    /// does.
    pub(super) fn read(
        &mut self,
        connection: ConnectionId,
        side: Side,
        buffer: &mut [u8],
        waker: &Waker,
    ) -> ReadOutcome {
        let now = self.now;
        let Some(state) = self.connections.get_mut(&connection) else {
            return ReadOutcome::EndOfStream(Ok(0));
        };
        let machine = state.endpoints[side].machine;
        let half = &mut state.halves[opposite(side)];
        if let Some(count) = half.read(now, buffer) {
            let writer = half.writer_waker.take();
            self.machines[machine].processor.count_bytes(count);
            return ReadOutcome::Read(count, writer);
        }
        if let Some(end) = half.end_of_stream(now) {
            return ReadOutcome::EndOfStream(end);
        }
        half.reader_waker = Some(waker.clone());
        ReadOutcome::Empty
    }

    /// Writes to the other side. While the receive window is full, `waker` is stored and woken once
    /// the reader has read.
    pub(super) fn write(
        &mut self,
        connection: ConnectionId,
        side: Side,
        bytes: &[u8],
        waker: &Waker,
    ) -> WriteOutcome {
        let window = self.receive_window;
        let Some(route) = self.route(connection, side) else {
            return WriteOutcome::Broken;
        };
        let Some(half) = self
            .outgoing_half(connection, side)
            .filter(|half| !half.is_closed())
        else {
            return WriteOutcome::Broken;
        };
        let Some(count) = half.writable_bytes(bytes.len(), window) else {
            half.writer_waker = Some(waker.clone());
            return WriteOutcome::Full;
        };
        let written = &bytes[..count];
        let arrival = half.send(written, &route);
        self.machines[route.from].processor.count_bytes(count);
        self.record_connection_event(connection, side, |number, to| Event::Wrote {
            connection: number,
            to,
            data: written,
        });
        self.schedule_arrival(arrival, connection, side);
        WriteOutcome::Written(count)
    }

    /// Closes the direction in which this side sends.
    pub(super) fn close(&mut self, connection: ConnectionId, side: Side) {
        let Some(route) = self.route(connection, side) else {
            return;
        };
        let is_open = |half: &&mut HalfConnection| half.closed_at.is_none();
        let Some(half) = self.outgoing_half(connection, side).filter(is_open) else {
            return;
        };
        let arrival = half.close(&route);
        self.record_connection_event(connection, side, |number, to| Event::Closed {
            connection: number,
            to,
        });
        self.schedule_arrival(arrival, connection, side);
    }

    /// Closes this side for writing and reading. Returns the waker of the writer at the other side
    /// that waited for space.
    pub(super) fn drop_endpoint(&mut self, connection: ConnectionId, side: Side) -> Option<Waker> {
        self.record_connection_event(connection, side, |number, to| Event::Dropped {
            connection: number,
            to,
        });
        let state = self.connections.get_mut(&connection)?;
        let received = &mut state.halves[opposite(side)];
        received.is_reader_closed = true;
        let writer = received.writer_waker.take();
        if state.halves.iter().all(|half| half.is_reader_closed) {
            self.connections.remove(&connection);
        }
        writer
    }

    /// Resets the connection towards the peer, as when this side's process is killed. Returns the
    /// waker of the writer at the other side that waited for space.
    pub(super) fn reset(
        &mut self,
        connection: ConnectionId,
        side: Side,
        route: &Route,
    ) -> Option<Waker> {
        let state = self.connections.get_mut(&connection)?;
        let sent = &mut state.halves[side];
        sent.closed_at.get_or_insert(route.arrival);
        sent.is_reset = true;
        let received = &mut state.halves[opposite(side)];
        received.is_reader_closed = true;
        let writer = received.writer_waker.take();
        self.schedule_arrival(route.arrival, connection, side);
        writer
    }

    /// Delivers what this side sent and a partition delayed.
    pub(super) fn release_delayed(&mut self, connection: ConnectionId, side: Side) {
        let Some(route) = self.route(connection, side) else {
            return;
        };
        let is_any_delayed = self
            .outgoing_half(connection, side)
            .is_some_and(|half| half.release_delayed(route.arrival));
        if is_any_delayed {
            self.schedule_arrival(route.arrival, connection, side);
        }
    }
}
