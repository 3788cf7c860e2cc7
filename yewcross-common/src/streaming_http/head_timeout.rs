//! Limits how long a connection may wait for a request's head.
//!
//! hyper starts one timer when it begins to wait for a head, and cannot tell an idle connection from
//! one whose head trickles in. Here the connection records when a head's first byte arrives, and
//! hyper's timer, which runs by the runtime's clock, ends earlier from then on.

use crate::runtime::{BoxFuture, Connection, Runtime};
use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

/// What a connection has received of the head that is being read.
#[derive(Default)]
pub(super) struct HeadProgress {
    /// µs (monotonic) of its first byte; 0 while none came.
    started: AtomicU64,
    /// Its request line holds a byte that a target must not have.
    is_malformed: AtomicBool,
    /// Requests answered on the connection.
    answered: AtomicU64,
}

impl HeadProgress {
    /// Whether the request line was malformed; reset for the next request.
    pub(super) fn take_malformed(&self) -> bool {
        self.is_malformed.swap(false, SeqCst)
    }

    /// The request is answered: the next byte belongs to the next head.
    pub(super) fn request_ended(&self) {
        self.started.store(0, SeqCst);
        self.answered.fetch_add(1, SeqCst);
    }
}

/// A connection that records the progress of heads.
pub(super) struct HeadWatcher {
    connection: Connection,
    runtime: Runtime,
    progress: Arc<HeadProgress>,
    /// Number of the request whose line was read completely; they are counted from 1.
    line_read: u64,
}

impl HeadWatcher {
    pub(super) fn new(
        connection: Connection,
        runtime: Runtime,
        progress: Arc<HeadProgress>,
    ) -> HeadWatcher {
        HeadWatcher {
            connection,
            runtime,
            progress,
            line_read: 0,
        }
    }

    fn record(&mut self, received: &[u8]) {
        let request_number = self.progress.answered.load(SeqCst) + 1;
        if received.is_empty() || self.line_read == request_number {
            return;
        }
        if self.progress.started.load(SeqCst) == 0 {
            self.progress.started.store(self.runtime.now(), SeqCst);
        }
        let line_end = received.iter().position(|byte| *byte == b'\n');
        // hyper would drop a fragment from the target silently.
        if received[..line_end.unwrap_or(received.len())].contains(&b'#') {
            self.progress.is_malformed.store(true, SeqCst);
        }
        if line_end.is_some() {
            self.line_read = request_number;
        }
    }
}

impl AsyncRead for HeadWatcher {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.connection).poll_read(cx, buf))?;
        self.record(&buf[..read]);
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for HeadWatcher {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_close(cx)
    }
}

/// hyper's clock and timers, by the runtime's time.
pub(super) struct HeadTimer {
    pub(super) runtime: Runtime,
    /// What hyper takes for the runtime's time 0.
    pub(super) epoch: Instant,
    pub(super) progress: Arc<HeadProgress>,
    /// µs from a head's first byte until it must be complete.
    pub(super) head_timeout: u64,
    /// µs that a connection may wait for a head's first byte.
    pub(super) idle_timeout: u64,
}

impl hyper::rt::Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        let until = self.runtime.now() + (duration.as_micros() as u64).min(self.idle_timeout);
        let timer = self.runtime.sleep(until - self.runtime.now());
        Box::pin(HeadSleep {
            runtime: self.runtime.clone(),
            progress: self.progress.clone(),
            head_timeout: self.head_timeout,
            until,
            timer_until: until,
            timer: Mutex::new(timer),
        })
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep(deadline.saturating_duration_since(self.now()))
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_micros(self.runtime.now())
    }
}

/// A timer that ends at `until`, or earlier once a head's first byte has come.
struct HeadSleep {
    runtime: Runtime,
    progress: Arc<HeadProgress>,
    /// µs from a head's first byte until it must be complete.
    head_timeout: u64,
    /// µs (monotonic).
    until: u64,
    /// µs (monotonic) that `timer` is set to.
    timer_until: u64,
    /// In a mutex because hyper's timers must be `Sync`; never contended.
    timer: Mutex<BoxFuture<'static, ()>>,
}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let started = self.progress.started.load(SeqCst);
        let until = if started > 0 {
            self.until.min(started + self.head_timeout)
        } else {
            self.until
        };
        let now = self.runtime.now();
        if now >= until {
            return Poll::Ready(());
        }
        if until < self.timer_until {
            self.timer_until = until;
            let timer = self.runtime.sleep(until - now);
            *self.timer.get_mut().unwrap() = timer;
        }
        self.timer.get_mut().unwrap().as_mut().poll(cx)
    }
}

impl hyper::rt::Sleep for HeadSleep {}
