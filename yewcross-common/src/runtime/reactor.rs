//! The event loop: a single thread runs tasks and waits for sockets and timers, with one system
//! call per wake-up.
//!
//! Sockets are registered edge-triggered through mio, as epoll(7) describes under "Level-triggered
//! and edge-triggered": each socket is registered once, and a read that does not fill its buffer has
//! drained the socket.

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

/// Token of the event with which other threads interrupt the reactor's wait.
const WAKE_TOKEN: Token = Token(0);

/// Maximum number of events fetched by one poll.
const EVENT_CAPACITY: usize = 256;

/// A transfer direction of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Incoming bytes; for a listener, incoming connections.
    Read,
    /// Outgoing bytes; also the completion of a connect.
    Write,
}

/// Waits for sockets and timers, and wakes the tasks that depend on them.
pub struct Reactor {
    registry: Registry,
    /// Interrupts the wait of the reactor's thread.
    poll_waker: PollWaker,
    /// The thread is waiting or about to wait; new work must interrupt the wait.
    is_waiting: AtomicBool,
    /// The future run by the thread was woken and must be polled before the next wait.
    is_woken: AtomicBool,
    timers: Mutex<BTreeMap<TimerKey, Waker>>,
    sockets: Mutex<BTreeMap<usize, Arc<Readiness>>>,
    /// The next id for a socket or a timer.
    next_id: AtomicUsize,
    /// Origin of the reactor's clock.
    started: Instant,
    /// Number of times that the thread returned from a wait.
    pub wakeups: AtomicU64,
}

/// Identifies a timer; keys are ordered by due time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    /// µs on the reactor's clock.
    due: u64,
    /// Distinguishes timers with the same due time.
    id: u64,
}

/// Readiness of one direction of a socket.
#[derive(Default)]
struct DirectionState {
    /// Number of edges received. A `WouldBlock` result older than the newest edge is obsolete.
    edges: u64,
    /// Operations would block until the next edge.
    would_block: bool,
    /// The direction was closed or failed; operations no longer block.
    has_ended: bool,
    /// The task that waits for the next edge.
    waker: Option<Waker>,
}

/// Readiness of both directions of a socket.
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

    /// Records that the operating system reported the direction as ready, and wakes the waiting task.
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

    /// Runs `operation`, or registers the task for the next edge if it would block. An operation that
    /// transfers fewer bytes than `buffer_length` has drained the socket.
    fn poll_io(
        &self,
        direction: Direction,
        cx: &mut Context<'_>,
        buffer_length: usize,
        mut operation: impl FnMut() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let Some(edges) = self.edges_or_register(direction, cx) else {
                return Poll::Pending;
            };
            let result = operation();
            let error_kind = result.as_ref().err().map(io::Error::kind);
            if error_kind == Some(io::ErrorKind::Interrupted) {
                continue;
            }
            let is_blocked = error_kind == Some(io::ErrorKind::WouldBlock);
            let is_partial = result
                .as_ref()
                .is_ok_and(|bytes| *bytes > 0 && *bytes < buffer_length);
            if is_blocked || is_partial {
                // An edge received in the meantime may be newer than the operation, which must then be
                // retried. A closed direction gets no further edge, but its end of file must still be
                // read, so a partial transfer does not block it.
                let mut state = self.direction(direction).lock().unwrap();
                state.would_block = state.edges == edges && (is_blocked || !state.has_ended);
            }
            if !is_blocked {
                return Poll::Ready(result);
            }
        }
    }

    /// The number of edges received, or `None` if the direction would block; the task is then
    /// registered for the next edge.
    fn edges_or_register(&self, direction: Direction, cx: &Context<'_>) -> Option<u64> {
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

/// A socket that stays registered with the reactor until it is dropped.
pub struct WatchedSocket<S: Source> {
    /// The socket itself.
    pub io: S,
    token: usize,
    readiness: Arc<Readiness>,
    reactor: Arc<Reactor>,
}

impl<S: Source> WatchedSocket<S> {
    /// Runs `operation` in one direction, or returns `Pending` and wakes the task once it can be
    /// retried. An operation that transfers fewer bytes than `buffer_length` has drained the socket.
    pub fn poll_io(
        &self,
        direction: Direction,
        cx: &mut Context<'_>,
        buffer_length: usize,
        mut operation: impl FnMut(&S) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.readiness
            .poll_io(direction, cx, buffer_length, || operation(&self.io))
    }
}

impl<S: Source> Drop for WatchedSocket<S> {
    fn drop(&mut self) {
        self.reactor.sockets.lock().unwrap().remove(&self.token);
        // A failure has no effect: the operating system removes a closed socket from the poller anyway.
        let _ = self.reactor.registry.deregister(&mut self.io);
    }
}

impl Wake for Reactor {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref()
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.is_woken.store(true, SeqCst);
        self.interrupt_wait();
    }
}

impl Reactor {
    /// Creates a reactor, and the poller to pass to [`Reactor::block_on`].
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

    /// Monotonic time in µs since the reactor was created; never 0.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64 + 1
    }

    /// Interrupts the wait of the reactor's thread, if it is waiting.
    fn interrupt_wait(&self) {
        if self.is_waiting.swap(false, SeqCst) {
            // Fails if a wake-up is already pending, which has the same effect.
            let _ = self.poll_waker.wake();
        }
    }

    /// Registers a socket for the directions of `interest`.
    pub fn watch<S: Source>(
        self: &Arc<Self>,
        mut io: S,
        interest: Interest,
    ) -> io::Result<WatchedSocket<S>> {
        let token = self.next_id.fetch_add(1, SeqCst);
        let readiness = Arc::new(Readiness::default());
        // Inserted before the registration: the first event may arrive immediately after it.
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

    /// Completes at `due` (µs on the reactor's clock), rounded up to a whole millisecond, the
    /// resolution of the system call that waits.
    pub fn sleep_until(self: &Arc<Self>, due: u64) -> Sleep {
        Sleep {
            reactor: self.clone(),
            due,
            timer_id: None,
        }
    }

    /// Runs `future` to completion on this thread, and waits for sockets and timers whenever the
    /// future is pending.
    pub fn block_on<T>(self: &Arc<Self>, mut poller: Poller, future: impl Future<Output = T>) -> T {
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

    /// Waits for an event, the next timer or a wake-up, and records the received events.
    fn wait(&self, poller: &mut Poller, events: &mut Events) {
        // Set before `is_woken` is read: a concurrent wake-up is either observed by that read or
        // interrupts the wait.
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

    /// How long the thread may wait; `None` if no timer is set.
    fn time_to_next_timer(&self) -> Option<Duration> {
        let timers = self.timers.lock().unwrap();
        let next_due = timers.first_key_value().map(|(key, _)| key.due);
        drop(timers);
        if self.is_woken.load(SeqCst) {
            return Some(Duration::ZERO);
        }
        next_due.map(|due| Duration::from_micros(due.saturating_sub(self.now())))
    }

    /// Records the readiness that an event reports for its socket.
    fn record_event(&self, event: &Event) {
        let readiness = self.sockets.lock().unwrap().get(&event.token().0).cloned();
        // The event may belong to a socket that was dropped after the event was queued.
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

    /// Removes the timers that are due and wakes their tasks.
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

/// A timer future; see [`Reactor::sleep_until`].
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
        // The thread may be waiting for a timer that is due later.
        if is_next {
            reactor.interrupt_wait();
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
