//! Pooled HTTP/1.1 connections to servers. A connection carries one request at a time and is kept
//! idle as long as the server keeps it open.

use futures_lite::{AsyncRead, AsyncWrite};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::*;
use yewcross_common::streaming_http::PartedBody;

/// How much of the current request has been written to its connection, and until when its first
/// byte may be.
#[derive(Default)]
struct WriteProgress {
    /// Bytes written since the connection was opened.
    bytes_written: AtomicU64,
    /// Value of `bytes_written` when the current request was handed over.
    request_start: AtomicU64,
    /// us of the runtime's clock. The first byte of the request may not be written later: the state
    /// by which the server was selected may have changed since.
    write_deadline: AtomicU64,
}

impl WriteProgress {
    fn begin_request(&self, write_deadline: u64) {
        self.request_start
            .store(self.bytes_written.load(SeqCst), SeqCst);
        self.write_deadline.store(write_deadline, SeqCst);
    }

    fn nothing_written(&self) -> bool {
        self.bytes_written.load(SeqCst) == self.request_start.load(SeqCst)
    }

    fn is_overdue(&self, now: u64) -> bool {
        self.nothing_written() && now > self.write_deadline.load(SeqCst)
    }
}

/// Counts the bytes written, so that a request of which none was written is reported as not sent.
/// Fails instead of writing the first byte of a request after its write deadline: a process that
/// was suspended may have missed changes of the state by which the server was selected.
struct TrackedConnection {
    connection: Connection,
    runtime: Runtime,
    progress: Arc<WriteProgress>,
}

impl AsyncRead for TrackedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_read(cx, buf)
    }
}

impl AsyncWrite for TrackedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.progress.is_overdue(self.runtime.now()) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let bytes = std::task::ready!(Pin::new(&mut self.connection).poll_write(cx, buf))?;
        self.progress.bytes_written.fetch_add(bytes as u64, SeqCst);
        Poll::Ready(Ok(bytes))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_close(cx)
    }
}

/// A connection to a server, idle or carrying one request.
pub struct UpstreamConnection {
    sender: SendRequest<PartedBody>,
    progress: Arc<WriteProgress>,
    /// When it last carried a request (us of the runtime's clock).
    pub used_at: u64,
    /// When it may no longer be reused (us of the runtime's clock).
    expires_at: u64,
    /// It has not carried a request yet.
    pub is_new: bool,
}

/// Why a request has no response.
pub enum SendFailure {
    /// No byte of the request was written.
    NotSent,
    /// No byte of the request was written, as its write deadline had passed: the state by which the
    /// server was selected has changed or may have.
    Expired,
    /// The server may have executed the request.
    OutcomeUnknown,
}

impl UpstreamConnection {
    /// Sends a request whose first byte is written by `write_deadline` (us of the runtime's clock)
    /// or not at all.
    pub async fn send_request(
        &mut self,
        runtime: &Runtime,
        request: Request<PartedBody>,
        write_deadline: u64,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.progress.begin_request(write_deadline);
        let error = match self.sender.try_send_request(request).await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        let not_sent = error.message().is_some() || self.progress.nothing_written();
        match (not_sent, runtime.now() > write_deadline) {
            (true, true) => Err(SendFailure::Expired),
            (true, false) => Err(SendFailure::NotSent),
            (false, _) => Err(SendFailure::OutcomeUnknown),
        }
    }
}

/// Idle connections.
#[derive(Default)]
pub struct Pool {
    /// By server instance: a restarted server at the same address gets connections of its own.
    idle: Mutex<HashMap<String, Vec<UpstreamConnection>>>,
    /// Connections that were attempted.
    pub dials: AtomicU64,
}

impl Pool {
    /// Takes the most recently used idle connection. With `recent` set, only one that was used
    /// within the last [`UPSTREAM_RECENT_USE`].
    pub fn take(&self, server: &str, now: u64, recent: bool) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.get_mut(server)?;
        connections
            .retain(|connection| !connection.sender.is_closed() && now < connection.expires_at);
        let index = connections
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        (!recent || now < connections[index].used_at + UPSTREAM_RECENT_USE)
            .then(|| connections.remove(index))
    }

    /// Whether the pool holds connections to the server.
    pub fn has_idle(&self, server: &str) -> bool {
        self.idle
            .lock()
            .unwrap()
            .get(server)
            .is_some_and(|connections| !connections.is_empty())
    }

    /// Opens a connection within `timeout` (us).
    pub async fn dial(
        &self,
        runtime: &Runtime,
        server: &ListedServer,
        timeout: u64,
    ) -> io::Result<UpstreamConnection> {
        self.dials.fetch_add(1, SeqCst);
        let connection = runtime.connect_within(server.addr, timeout).await?;
        // Its responses wait for callers, who may not read them.
        connection.limit_receive_window();
        let progress = Arc::new(WriteProgress::default());
        let io = FuturesIo::new(TrackedConnection {
            connection,
            runtime: runtime.clone(),
            progress: progress.clone(),
        });
        let (sender, driver) = Builder::new()
            .max_buf_size(UPSTREAM_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        runtime.spawn(async move {
            let _ = driver.await;
        });
        Ok(UpstreamConnection {
            sender,
            progress,
            used_at: runtime.now(),
            expires_at: u64::MAX,
            is_new: true,
        })
    }

    /// Keeps a connection whose response was read to its end; `idle_ms` is the idle timeout that
    /// the server announced. With more than `max_idle` connections to a server, the oldest is
    /// closed.
    pub fn put_idle(
        &self,
        server: &str,
        mut connection: UpstreamConnection,
        now: u64,
        idle_ms: Option<u64>,
        max_idle: usize,
    ) {
        let idle_timeout = idle_ms.unwrap_or(UPSTREAM_IDLE_TIMEOUT / MS) * MS;
        connection.used_at = now;
        connection.expires_at = now
            + if idle_timeout > 2 * UPSTREAM_IDLE_MARGIN {
                idle_timeout - UPSTREAM_IDLE_MARGIN
            } else {
                idle_timeout / 2
            };
        connection.is_new = false;
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.entry(server.into()).or_default();
        if connections.len() >= max_idle.max(1) {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes connections that have expired and those to servers that are no longer listed.
    pub fn remove_expired(&self, now: u64, is_listed: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().unwrap();
        idle.retain(|server, connections| {
            connections
                .retain(|connection| !connection.sender.is_closed() && now < connection.expires_at);
            !connections.is_empty() && is_listed(server)
        });
    }
}
