//! One thread that runs the tasks and waits for sockets and timers: one system call a wake-up.
//!
//! Sockets are waited for by edges (mio), as epoll(7) has it under "Level-triggered and
//! edge-triggered": each is registered once, and a read that did not fill its buffer has emptied
//! the socket.

use mio::{Events, Interest, Poll as Poller, Registry, Token, Waker as Bell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

const BELL: Token = Token(0);

pub struct Reactor {
    registry: Registry,
    bell: Bell,
    /// The thread waits, or is about to; whoever has work for it rings.
    asleep: AtomicBool,
    due: AtomicBool,
    timers: Mutex<BTreeMap<(u64, u64), Waker>>,
    sources: Mutex<BTreeMap<usize, Arc<Ready>>>,
    next: AtomicUsize,
    t0: Instant,
    /// Times the thread came back from waiting.
    pub wakes: AtomicU64,
}

#[derive(Default)]
struct Side {
    /// Edges seen; a refusal older than the newest edge does not count.
    edges: u64,
    dry: bool,
    ended: bool,
    waker: Option<Waker>,
}

/// What is known of a socket's two directions.
#[derive(Default)]
pub struct Ready([Mutex<Side>; 2]);

pub const READ: usize = 0;
pub const WRITE: usize = 1;

impl Ready {
    fn edge(&self, side: usize, ended: bool) {
        let mut s = self.0[side].lock().unwrap();
        s.edges += 1;
        s.dry = false;
        s.ended |= ended;
        let w = s.waker.take();
        drop(s);
        w.into_iter().for_each(|w| w.wake());
    }

    /// Tries `op` unless the socket is known to refuse it; `all` is what it would take to leave the
    /// socket unsure.
    fn attempt(
        &self,
        side: usize,
        cx: &mut Context<'_>,
        all: usize,
        mut op: impl FnMut() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let edges = {
                let mut s = self.0[side].lock().unwrap();
                if s.dry {
                    if s.waker.as_ref().is_none_or(|w| !w.will_wake(cx.waker())) {
                        s.waker = Some(cx.waker().clone());
                    }
                    return Poll::Pending;
                }
                s.edges
            };
            let r = op();
            let refused = r
                .as_ref()
                .is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
            if r.as_ref()
                .is_err_and(|e| e.kind() == io::ErrorKind::Interrupted)
            {
                continue;
            }
            let short = r.as_ref().is_ok_and(|n| *n > 0 && *n < all);
            if refused || short {
                let mut s = self.0[side].lock().unwrap();
                s.dry = s.edges == edges && (refused || !s.ended);
            }
            if !refused {
                return Poll::Ready(r);
            }
        }
    }
}

/// A socket that the reactor watches.
pub struct Watched<S: mio::event::Source> {
    pub io: S,
    token: usize,
    ready: Arc<Ready>,
    reactor: Arc<Reactor>,
}

impl<S: mio::event::Source> Watched<S> {
    pub fn attempt(
        &self,
        side: usize,
        cx: &mut Context<'_>,
        all: usize,
        mut op: impl FnMut(&S) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.ready.attempt(side, cx, all, || op(&self.io))
    }
}

impl<S: mio::event::Source> Drop for Watched<S> {
    fn drop(&mut self) {
        self.reactor.sources.lock().unwrap().remove(&self.token);
        let _ = self.reactor.registry.deregister(&mut self.io);
    }
}

impl Wake for Reactor {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref()
    }
    fn wake_by_ref(self: &Arc<Self>) {
        self.due.store(true, SeqCst);
        self.ring();
    }
}

impl Reactor {
    pub fn new() -> io::Result<(Arc<Reactor>, Poller)> {
        let p = Poller::new()?;
        let r = Reactor {
            registry: p.registry().try_clone()?,
            bell: Bell::new(p.registry(), BELL)?,
            asleep: AtomicBool::new(false),
            due: AtomicBool::new(false),
            timers: Default::default(),
            sources: Default::default(),
            next: AtomicUsize::new(1),
            t0: Instant::now(),
            wakes: AtomicU64::new(0),
        };
        Ok((Arc::new(r), p))
    }

    /// Monotonic microseconds since the start.
    pub fn now(&self) -> u64 {
        self.t0.elapsed().as_micros() as u64 + 1
    }

    fn ring(&self) {
        if self.asleep.swap(false, SeqCst) {
            let _ = self.bell.wake();
        }
    }

    pub fn watch<S: mio::event::Source>(
        self: &Arc<Self>,
        mut io: S,
        interest: Interest,
    ) -> io::Result<Watched<S>> {
        let token = self.next.fetch_add(1, SeqCst);
        let ready = Arc::new(Ready::default());
        self.sources.lock().unwrap().insert(token, ready.clone());
        let r = self.registry.register(&mut io, Token(token), interest);
        if r.is_err() {
            self.sources.lock().unwrap().remove(&token);
        }
        r.map(|_| Watched {
            io,
            token,
            ready,
            reactor: self.clone(),
        })
    }

    /// Ready at the given time, rounded up to the millisecond that the system waits by.
    pub fn sleep_until(self: &Arc<Self>, at: u64) -> Sleep {
        Sleep {
            reactor: self.clone(),
            at,
            key: None,
        }
    }

    /// Runs `f` on this thread, and with it all that wakes this reactor's thread.
    pub fn drive<T>(self: &Arc<Self>, mut poller: Poller, f: impl Future<Output = T>) -> T {
        let waker = Waker::from(self.clone());
        let mut f = pin!(f);
        let mut events = Events::with_capacity(256);
        loop {
            self.due.store(false, SeqCst);
            if let Poll::Ready(x) = f.as_mut().poll(&mut Context::from_waker(&waker)) {
                return x;
            }
            self.asleep.store(true, SeqCst);
            let first = self
                .timers
                .lock()
                .unwrap()
                .first_key_value()
                .map(|(k, _)| k.0);
            let wait = match first {
                _ if self.due.load(SeqCst) => Some(Duration::ZERO),
                Some(t) => Some(Duration::from_micros(t.saturating_sub(self.now()))),
                None => None,
            };
            let r = poller.poll(&mut events, wait);
            self.asleep.store(false, SeqCst);
            self.wakes.fetch_add(1, SeqCst);
            if r.is_ok() {
                events
                    .iter()
                    .filter(|e| e.token() != BELL)
                    .for_each(|e| self.tell(e));
            }
            self.expire();
        }
    }

    fn tell(&self, e: &mio::event::Event) {
        let Some(s) = self.sources.lock().unwrap().get(&e.token().0).cloned() else {
            return;
        };
        let ended = e.is_error() || e.is_read_closed();
        if e.is_readable() || ended {
            s.edge(READ, ended);
        }
        if e.is_writable() || e.is_error() || e.is_write_closed() {
            s.edge(WRITE, e.is_error() || e.is_write_closed());
        }
    }

    fn expire(&self) {
        let mut g = self.timers.lock().unwrap();
        if g.is_empty() {
            return;
        }
        let later = g.split_off(&(self.now() + 1, 0));
        let due = std::mem::replace(&mut *g, later);
        drop(g);
        due.into_values().for_each(|w| w.wake());
    }
}

pub struct Sleep {
    reactor: Arc<Reactor>,
    at: u64,
    key: Option<u64>,
}

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let r = self.reactor.clone();
        if r.now() >= self.at {
            return Poll::Ready(());
        }
        let n = self
            .key
            .unwrap_or_else(|| r.next.fetch_add(1, SeqCst) as u64);
        self.key = Some(n);
        let mut g = r.timers.lock().unwrap();
        g.insert((self.at, n), cx.waker().clone());
        let first = g.first_key_value().is_some_and(|(k, _)| k.1 == n);
        drop(g);
        if first {
            r.ring();
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        let at = self.at;
        self.key.into_iter().for_each(|n| {
            self.reactor.timers.lock().unwrap().remove(&(at, n));
        });
    }
}
