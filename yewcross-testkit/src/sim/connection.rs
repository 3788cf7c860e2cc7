//! The state of connections: two directions with the bytes on their way.

use super::World;
use super::clock::TimerEvent;
use super::fingerprint::Event;
use super::machine::{MachineId, ProcessId};
use std::collections::VecDeque;
use std::io;
use std::task::Waker;

/// Arrival of what a partition holds back.
const NEVER: u64 = u64::MAX;

pub(super) type ConnectionId = u64;

/// 0: the end that connected, 1: the end that accepted.
pub(super) type Side = usize;

pub(super) fn opposite(side: Side) -> Side {
    1 - side
}

/// Bytes of one write.
struct Chunk {
    arrival: u64,
    bytes: Vec<u8>,
}

/// One direction of a connection.
#[derive(Default)]
pub(super) struct HalfConnection {
    chunks: VecDeque<Chunk>,
    /// Arrival of the latest chunk: none overtakes another.
    last_arrival: u64,
    /// When the reader sees the end of the stream.
    closed_at: Option<u64>,
    /// Whether the stream ends by a reset.
    is_reset: bool,
    is_reader_gone: bool,
    /// Waits for bytes.
    reader: Option<Waker>,
    /// Bytes written and not yet read.
    buffered: usize,
    /// Waits for room to write.
    writer: Option<Waker>,
}

pub(super) struct ConnectionState {
    /// Counts the world's connections by the order of opening.
    number: u64,
    pub(super) ends: [ProcessId; 2],
    /// What each side sends.
    halves: [HalfConnection; 2],
}

/// The way from one end of a connection to the other, as it is now.
pub(super) struct Route {
    from: MachineId,
    /// When bytes sent now arrive, unless blocked.
    arrival: u64,
    is_blocked: bool,
}

impl HalfConnection {
    /// Takes bytes that have arrived.
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
        self.buffered -= count;
        Some(count)
    }

    /// How the stream ended, once the reader has taken all of it.
    fn end_of_stream(&self, now: u64) -> Option<io::Result<usize>> {
        let is_over = self.chunks.is_empty() && self.closed_at.is_some_and(|at| at <= now);
        is_over.then(|| {
            if self.is_reset {
                Err(io::ErrorKind::ConnectionReset.into())
            } else {
                Ok(0)
            }
        })
    }

    fn is_broken(&self) -> bool {
        self.closed_at.is_some() || self.is_reader_gone
    }

    /// How many of the bytes may be written now. None while the window is nearly full: it takes
    /// all of them or a good part of the window, so that no tiny chunks arise.
    fn writable(&self, length: usize, window: usize) -> Option<usize> {
        let free = window.saturating_sub(self.buffered);
        (free >= length.min(window / 4)).then_some(length.min(free))
    }

    /// Sends the bytes and returns when they arrive.
    fn send(&mut self, bytes: &[u8], route: &Route) -> u64 {
        let is_held_back = route.is_blocked
            || self
                .chunks
                .back()
                .is_some_and(|chunk| chunk.arrival == NEVER);
        let arrival = if is_held_back {
            NEVER
        } else {
            self.last_arrival = route.arrival.max(self.last_arrival);
            self.last_arrival
        };
        self.buffered += bytes.len();
        self.chunks.push_back(Chunk {
            arrival,
            bytes: bytes.to_vec(),
        });
        arrival
    }

    /// Ends the stream behind what was sent; returns when the reader sees it.
    fn close(&mut self, route: &Route) -> u64 {
        let arrival = if route.is_blocked {
            NEVER
        } else {
            route.arrival.max(self.last_arrival)
        };
        self.closed_at = Some(arrival);
        arrival
    }

    /// Lets what was held back arrive at the given time. Returns whether anything was.
    fn release_held(&mut self, arrival: u64) -> bool {
        let is_close_held = self.closed_at == Some(NEVER);
        let mut is_any_held = is_close_held;
        for chunk in self.chunks.iter_mut().filter(|c| c.arrival == NEVER) {
            chunk.arrival = arrival;
            is_any_held = true;
        }
        if is_close_held {
            self.closed_at = Some(arrival);
        }
        if is_any_held {
            self.last_arrival = arrival;
        }
        is_any_held
    }
}

/// What came of a write.
pub(super) enum WriteOutcome {
    Written(usize),
    Broken,
    /// The reader has to make room first.
    Full,
}

/// What came of a read.
pub(super) enum ReadOutcome {
    /// Bytes were read; the writer that waited for room.
    Read(usize, Option<Waker>),
    EndOfStream(io::Result<usize>),
    /// Nothing has arrived.
    Empty,
}

impl World {
    /// Opens a connection between two processes.
    pub(super) fn open_connection(&mut self, ends: [ProcessId; 2]) -> ConnectionId {
        let id = self.next_id();
        self.connections_opened += 1;
        let connection = ConnectionState {
            number: self.connections_opened,
            ends,
            halves: Default::default(),
        };
        self.connections.insert(id, connection);
        id
    }

    /// Takes an event on a connection into the fingerprint. `event` gets the connection's number
    /// and the name of the machine at its other end.
    pub(super) fn record_on<'a>(
        &'a mut self,
        connection: ConnectionId,
        side: Side,
        event: impl FnOnce(u64, &'a str) -> Event<'a>,
    ) {
        let Some(state) = self.connections.get(&connection) else {
            return;
        };
        let [own, peer] =
            [side, opposite(side)].map(|end| self.machines[state.ends[end].machine].name.as_str());
        self.fingerprint
            .add(self.now, own, event(state.number, peer));
    }

    /// Draws the latency from the side to the other.
    pub(super) fn route(&mut self, connection: ConnectionId, side: Side) -> Option<Route> {
        let ends = self.connections.get(&connection)?.ends;
        let from = ends[side].machine;
        let to = ends[opposite(side)].machine;
        let latency = self.latency(from, to);
        Some(Route {
            from,
            arrival: self.now + latency,
            is_blocked: self.is_blocked(from, to),
        })
    }

    fn sent_by(&mut self, connection: ConnectionId, side: Side) -> Option<&mut HalfConnection> {
        let state = self.connections.get_mut(&connection)?;
        Some(&mut state.halves[side])
    }

    /// Takes the waker of whoever reads what the side sends.
    pub(super) fn take_reader(&mut self, connection: ConnectionId, side: Side) -> Option<Waker> {
        self.sent_by(connection, side)?.reader.take()
    }

    fn schedule_arrival(&mut self, arrival: u64, connection: ConnectionId, side: Side) {
        if arrival != NEVER {
            self.schedule(arrival, TimerEvent::Arrival(connection, side));
        }
    }

    /// Reads what the other side sent; `waker` is kept until something arrives.
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
        let machine = state.ends[side].machine;
        let half = &mut state.halves[opposite(side)];
        if let Some(count) = half.read(now, buffer) {
            let writer = half.writer.take();
            self.machines[machine].processor.count_bytes(count);
            return ReadOutcome::Read(count, writer);
        }
        if let Some(end) = half.end_of_stream(now) {
            return ReadOutcome::EndOfStream(end);
        }
        half.reader = Some(waker.clone());
        ReadOutcome::Empty
    }

    /// Writes to the other side; `waker` is kept while there is no room.
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
        let Some(half) = self.sent_by(connection, side).filter(|h| !h.is_broken()) else {
            return WriteOutcome::Broken;
        };
        let Some(count) = half.writable(bytes.len(), window) else {
            half.writer = Some(waker.clone());
            return WriteOutcome::Full;
        };
        let written = &bytes[..count];
        let arrival = half.send(written, &route);
        self.machines[route.from].processor.count_bytes(count);
        self.record_on(connection, side, |number, to| Event::Wrote {
            connection: number,
            to,
            data: written,
        });
        self.schedule_arrival(arrival, connection, side);
        WriteOutcome::Written(count)
    }

    /// Ends what the side sends.
    pub(super) fn close(&mut self, connection: ConnectionId, side: Side) {
        let Some(route) = self.route(connection, side) else {
            return;
        };
        let is_open = |half: &&mut HalfConnection| half.closed_at.is_none();
        let Some(half) = self.sent_by(connection, side).filter(is_open) else {
            return;
        };
        let arrival = half.close(&route);
        self.record_on(connection, side, |number, to| Event::Closed {
            connection: number,
            to,
        });
        self.schedule_arrival(arrival, connection, side);
    }

    /// The side neither writes nor reads any more. Returns the writer at the other side that
    /// waited for room.
    pub(super) fn drop_end(&mut self, connection: ConnectionId, side: Side) -> Option<Waker> {
        self.record_on(connection, side, |number, to| Event::Left {
            connection: number,
            to,
        });
        let state = self.connections.get_mut(&connection)?;
        let received = &mut state.halves[opposite(side)];
        received.is_reader_gone = true;
        let writer = received.writer.take();
        if state.halves.iter().all(|half| half.is_reader_gone) {
            self.connections.remove(&connection);
        }
        writer
    }

    /// The side's process was killed: its peer sees a reset. Returns the writer at the other side
    /// that waited for room.
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
        received.is_reader_gone = true;
        let writer = received.writer.take();
        self.schedule_arrival(route.arrival, connection, side);
        writer
    }

    /// Delivers what a partition held back of what the side sends.
    pub(super) fn release_held(&mut self, connection: ConnectionId, side: Side) {
        let Some(route) = self.route(connection, side) else {
            return;
        };
        let is_any_held = self
            .sent_by(connection, side)
            .is_some_and(|half| half.release_held(route.arrival));
        if is_any_held {
            self.schedule_arrival(route.arrival, connection, side);
        }
    }
}
