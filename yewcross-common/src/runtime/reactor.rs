//! The event loop: one thread that runs tasks and waits for sockets and timers, with one system
//! call for each wake-up.
//!
//! Sockets are watched edge-triggered (mio), as epoll(7) describes under "Level-triggered and
//! edge-triggered": each is registered once, and a read that did not fill its buffer has drained
//! the socket.

use mio::event::{Event, Source};
use mio::{Events, Interest, Poll as Poller, Registry, Token, Waker as PollWaker};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Token of the event by which other threads end the reactor's wait.
const WAKE_TOKEN: Token = Token(0);

/// Events taken from the system at once.
const EVENT_CAPACITY: usize = 256;

/// A direction of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Bytes that come in; for a listener, connections.
    Read,
    /// Bytes that go out; also the end of a connect.
    Write,
}

/// Waits for sockets and timers, and wakes the tasks that they concern.
pub struct Reactor {
    registry: Registry,
    /// Ends the wait of the reactor's thread.
    poll_waker: PollWaker,
    /// The thread waits, or is about to; whoever has work for it must wake it.
    is_waiting: AtomicBool,
    /// The future that the thread drives was woken and must be polled before the next wait.
    is_woken: AtomicBool,
    timers: Mutex<BTreeMap<TimerKey, Waker>>,
    sockets: Mutex<BTreeMap<usize, Arc<Readiness>>>,
    /// The next number for a socket or a timer.
    next_id: AtomicUsize,
    started: Instant,
    /// Times the thread came back from waiting.
    pub wakeups: AtomicU64,
}

/// Timers in the order in which they are due.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    /// µs on the reactor's clock.
    due: u64,
    id: u64,
}

/// What is known of one direction of a socket.
#[derive(Default)]
struct DirectionState {
    /// Edges seen. A `WouldBlock` older than the newest edge does not count.
    edges: u64,
    /// The next operation would block until there is an edge.
    would_block: bool,
    /// The direction ended or failed; operations return at once from then on.
    has_ended: bool,
    /// The task that waits for the next edge.
    waker: Option<Waker>,
}

/// What is known of a socket's two directions.
#[derive(Default)]
struct Readiness {
    read: Mutex<DirectionState>,
    write: Mutex<DirectionState>,
}

impl Readiness {
    fn direction(&self, direction: Direction) -> &Mutex<DirectionState> {
        match direction {
            Direction::Read => &self.read,
            Direction::Write => &self.write,
        }
    }

    /// The system reported that the direction is ready.
    fn record_edge(&self, direction: Direction, has_ended: bool) {
        let mut state = self.direction(direction).lock().unwrap();
        state.edges += 1;
        state.would_block = false;
        state.has_ended |= has_ended;
        let waker = state.waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Tries `operation` unless it is known that it would block. An operation that transfers fewer
    /// bytes than `full` has drained the socket.
    fn attempt(
        &self,
        direction: Direction,
        cx: &mut Context<'_>,
        full: usize,
        mut operation: impl FnMut() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let Some(edges) = self.edges_or_wait(direction, cx) else {
                return Poll::Pending;
            };
            let result = operation();
            let error_kind = result.as_ref().err().map(io::Error::kind);
            if error_kind == Some(io::ErrorKind::Interrupted) {
                continue;
            }
            let is_blocked = error_kind == Some(io::ErrorKind::WouldBlock);
            let is_short = result
                .as_ref()
                .is_ok_and(|bytes| *bytes > 0 && *bytes < full);
            if is_blocked || is_short {
                // An edge since then may have come after the operation: it must be tried again. A
                // direction that has ended sees no further edge, and its end is still to be read.
                let mut state = self.direction(direction).lock().unwrap();
                state.would_block = state.edges == edges && (is_blocked || !state.has_ended);
            }
            if !is_blocked {
                return Poll::Ready(result);
            }
        }
    }

    /// The number of edges seen; none where the task has to wait for the next one.
    fn edges_or_wait(&self, direction: Direction, cx: &Context<'_>) -> Option<u64> {
        let mut state = self.direction(direction).lock().unwrap();
        if !state.would_block {
            return Some(state.edges);
        }
        let is_registered = state
            .waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()));
        if !is_registered {
            state.waker = Some(cx.waker().clone());
        }
        None
    }
}

/// A socket that the reactor watches until it is dropped.
pub struct WatchedSocket<S: Source> {
    /// The socket itself.
    pub io: S,
    token: usize,
    readiness: Arc<Readiness>,
    reactor: Arc<Reactor>,
}

impl<S: Source> WatchedSocket<S> {
    /// Tries `operation` in one direction, or waits until it can go on. An operation that transfers
    /// fewer bytes than `full` has drained the socket.
    pub fn attempt(
        &self,
        direction: Direction,
        cx: &mut Context<'_>,
        full: usize,
        mut operation: impl FnMut(&S) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.readiness
            .attempt(direction, cx, full, || operation(&self.io))
    }
}

impl<S: Source> Drop for WatchedSocket<S> {
    fn drop(&mut self) {
        self.reactor.sockets.lock().unwrap().remove(&self.token);
        // The system forgets the socket anyway when it is closed.
        let _ = self.reactor.registry.deregister(&mut self.io);
    }
}

impl Wake for Reactor {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref()
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.is_woken.store(true, SeqCst);
        self.end_wait();
    }
}

impl Reactor {
    /// A reactor, and what its thread has to hand to [`Reactor::drive`].
    pub fn new() -> io::Result<(Arc<Reactor>, Poller)> {
        let poller = Poller::new()?;
        let reactor = Reactor {
            registry: poller.registry().try_clone()?,
            poll_waker: PollWaker::new(poller.registry(), WAKE_TOKEN)?,
            is_waiting: AtomicBool::new(false),
            is_woken: AtomicBool::new(false),
            timers: Default::default(),
            sockets: Default::default(),
            next_id: AtomicUsize::new(WAKE_TOKEN.0 + 1),
            started: Instant::now(),
            wakeups: AtomicU64::new(0),
        };
        Ok((Arc::new(reactor), poller))
    }

    /// Monotonic µs since the start; never 0.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64 + 1
    }

    fn end_wait(&self) {
        if self.is_waiting.swap(false, SeqCst) {
            // Fails where a wake-up is pending already.
            let _ = self.poll_waker.wake();
        }
    }

    /// Watches a socket for the directions of `interest`.
    pub fn watch<S: Source>(
        self: &Arc<Self>,
        mut io: S,
        interest: Interest,
    ) -> io::Result<WatchedSocket<S>> {
        let token = self.next_id.fetch_add(1, SeqCst);
        let readiness = Arc::new(Readiness::default());
        // Known before it is registered: its first event may come at once.
        self.sockets
            .lock()
            .unwrap()
            .insert(token, readiness.clone());
        if let Err(error) = self.registry.register(&mut io, Token(token), interest) {
            self.sockets.lock().unwrap().remove(&token);
            return Err(error);
        }
        Ok(WatchedSocket {
            io,
            token,
            readiness,
            reactor: self.clone(),
        })
    }

    /// Ready at `due` (µs on the reactor's clock), rounded up to the millisecond that the system
    /// waits by.
    pub fn sleep_until(self: &Arc<Self>, due: u64) -> Sleep {
        Sleep {
            reactor: self.clone(),
            due,
            timer_id: None,
        }
    }

    /// Runs `future` on this thread, and waits for sockets and timers whenever it has nothing to
    /// do.
    pub fn drive<T>(self: &Arc<Self>, mut poller: Poller, future: impl Future<Output = T>) -> T {
        let waker = Waker::from(self.clone());
        let mut future = pin!(future);
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            self.is_woken.store(false, SeqCst);
            let mut context = Context::from_waker(&waker);
            if let Poll::Ready(output) = future.as_mut().poll(&mut context) {
                return output;
            }
            self.wait(&mut poller, &mut events);
            self.wake_due_timers();
        }
    }

    /// Waits for an event, the next timer or a wake-up, and passes on what came.
    fn wait(&self, poller: &mut Poller, events: &mut Events) {
        // Announced before `is_woken` is read: a wake-up in between either is seen there or ends
        // the wait.
        self.is_waiting.store(true, SeqCst);
        let timeout = self.time_to_next_timer();
        let result = poller.poll(events, timeout);
        self.is_waiting.store(false, SeqCst);
        self.wakeups.fetch_add(1, SeqCst);
        if result.is_ok() {
            events
                .iter()
                .filter(|event| event.token() != WAKE_TOKEN)
                .for_each(|event| self.record_event(event));
        }
    }

    /// How long the thread may wait; none where no timer is set.
    fn time_to_next_timer(&self) -> Option<Duration> {
        let timers = self.timers.lock().unwrap();
        let next_due = timers.first_key_value().map(|(key, _)| key.due);
        drop(timers);
        if self.is_woken.load(SeqCst) {
            return Some(Duration::ZERO);
        }
        next_due.map(|due| Duration::from_micros(due.saturating_sub(self.now())))
    }

    fn record_event(&self, event: &Event) {
        let readiness = self.sockets.lock().unwrap().get(&event.token().0).cloned();
        // An event may still come of a socket that was dropped just now.
        let Some(readiness) = readiness else { return };
        let has_read_ended = event.is_error() || event.is_read_closed();
        if event.is_readable() || has_read_ended {
            readiness.record_edge(Direction::Read, has_read_ended);
        }
        let has_write_ended = event.is_error() || event.is_write_closed();
        if event.is_writable() || has_write_ended {
            readiness.record_edge(Direction::Write, has_write_ended);
        }
    }

    fn wake_due_timers(&self) {
        let mut timers = self.timers.lock().unwrap();
        if timers.is_empty() {
            return;
        }
        let first_later = TimerKey {
            due: self.now() + 1,
            id: 0,
        };
        let later = timers.split_off(&first_later);
        let due = std::mem::replace(&mut *timers, later);
        drop(timers);
        due.into_values().for_each(Waker::wake);
    }
}

/// A timer; see [`Reactor::sleep_until`].
pub struct Sleep {
    reactor: Arc<Reactor>,
    /// µs on the reactor's clock.
    due: u64,
    /// Set once the timer is registered.
    timer_id: Option<u64>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let reactor = self.reactor.clone();
        if reactor.now() >= self.due {
            return Poll::Ready(());
        }
        let id = self
            .timer_id
            .unwrap_or_else(|| reactor.next_id.fetch_add(1, SeqCst) as u64);
        self.timer_id = Some(id);
        let key = TimerKey { due: self.due, id };
        let mut timers = reactor.timers.lock().unwrap();
        timers.insert(key, cx.waker().clone());
        let is_next = timers
            .first_key_value()
            .is_some_and(|(first, _)| first.id == id);
        drop(timers);
        // The thread may wait for a later one.
        if is_next {
            reactor.end_wait();
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(id) = self.timer_id {
            let key = TimerKey { due: self.due, id };
            self.reactor.timers.lock().unwrap().remove(&key);
        }
    }
}
