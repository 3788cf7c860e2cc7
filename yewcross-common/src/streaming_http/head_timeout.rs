//! Limits how long a connection may wait for a request head.
//!
//! hyper starts a single timer when it begins to wait for a head, and cannot distinguish an idle
//! connection from one that receives a head slowly. Here, the connection records when the first byte
//! of a head arrives, and hyper's timer, which uses the runtime's clock, is shortened from then on.

use crate::overload::{CallerConnection, ObservedConnection};
use crate::runtime::{BoxFuture, Connection, Runtime};
use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

/// Progress of a connection in receiving the current request head.
#[derive(Default)]
pub(super) struct HeadProgress {
    /// Arrival time of the first byte, in µs (monotonic); 0 if none has arrived.
    started: AtomicU64,
    /// The request line contains a byte that is not allowed in a target.
    is_malformed: AtomicBool,
    /// Number of requests answered on the connection.
    requests_answered: AtomicU64,
}

impl HeadProgress {
    /// Whether the request line is malformed. Resets the flag for the next request.
    pub(super) fn take_malformed(&self) -> bool {
        self.is_malformed.swap(false, SeqCst)
    }

    /// Records that the request was answered: the next byte received starts the next head.
    pub(super) fn request_ended(&self) {
        self.started.store(0, SeqCst);
        self.requests_answered.fetch_add(1, SeqCst);
    }
}

/// A connection that records the progress of request heads.
pub(super) struct HeadProgressRecorder {
    connection: ObservedConnection,
    runtime: Runtime,
    progress: Arc<HeadProgress>,
    caller: Arc<CallerConnection>,
    /// Number, counted from 1, of the last request whose request line was received completely.
    last_line_received: u64,
}

impl HeadProgressRecorder {
    pub(super) fn new(
        connection: Connection,
        runtime: Runtime,
        progress: Arc<HeadProgress>,
        caller: Arc<CallerConnection>,
    ) -> HeadProgressRecorder {
        HeadProgressRecorder {
            connection: ObservedConnection::new(connection, caller.clone()),
            runtime,
            progress,
            caller,
            last_line_received: 0,
        }
    }

    /// Updates the progress with newly received bytes.
    fn record(&mut self, received: &[u8]) {
        let request_number = self.progress.requests_answered.load(SeqCst) + 1;
        if received.is_empty() || self.last_line_received == request_number {
            return;
        }
        if self.progress.started.load(SeqCst) == 0 {
            self.progress.started.store(self.runtime.now(), SeqCst);
            self.caller.begin_receiving();
        }
        let line_end = received.iter().position(|byte| *byte == b'\n');
        // hyper would silently remove a fragment from the target.
        if received[..line_end.unwrap_or(received.len())].contains(&b'#') {
            self.progress.is_malformed.store(true, SeqCst);
        }
        if line_end.is_some() {
            self.last_line_received = request_number;
        }
    }
}

impl AsyncRead for HeadProgressRecorder {
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

impl AsyncWrite for HeadProgressRecorder {
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

/// Provides hyper with a clock and timers based on the runtime's clock.
pub(super) struct HeadTimer {
    pub(super) runtime: Runtime,
    /// The `Instant` that corresponds to time 0 of the runtime's clock.
    pub(super) epoch: Instant,
    /// Progress of the connection that the timers belong to.
    pub(super) progress: Arc<HeadProgress>,
    /// Time limit from the first byte of a head until it is complete, in µs.
    pub(super) head_timeout: u64,
    /// Time limit for the first byte of a head, in µs.
    pub(super) idle_timeout: u64,
}

impl hyper::rt::Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        let deadline = self.runtime.now() + (duration.as_micros() as u64).min(self.idle_timeout);
        let timer = self.runtime.sleep(deadline - self.runtime.now());
        Box::pin(HeadSleep {
            runtime: self.runtime.clone(),
            progress: self.progress.clone(),
            head_timeout: self.head_timeout,
            deadline,
            timer_deadline: deadline,
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

/// A timer that expires at `deadline`, or earlier once the first byte of a head has arrived.
struct HeadSleep {
    runtime: Runtime,
    progress: Arc<HeadProgress>,
    /// Time limit from the first byte of a head until it is complete, in µs.
    head_timeout: u64,
    /// Latest expiry, in µs (monotonic).
    deadline: u64,
    /// Time that `timer` is set to, in µs (monotonic).
    timer_deadline: u64,
    /// In a mutex only because hyper requires timers to be `Sync`; the mutex is never contended.
    timer: Mutex<BoxFuture<'static, ()>>,
}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let started = self.progress.started.load(SeqCst);
        let deadline = if started > 0 {
            self.deadline.min(started + self.head_timeout)
        } else {
            self.deadline
        };
        let now = self.runtime.now();
        if now >= deadline {
            return Poll::Ready(());
        }
        if deadline < self.timer_deadline {
            self.timer_deadline = deadline;
            let timer = self.runtime.sleep(deadline - now);
            *self.timer.get_mut().unwrap() = timer;
        }
        self.timer.get_mut().unwrap().as_mut().poll(cx)
    }
}

impl hyper::rt::Sleep for HeadSleep {}
