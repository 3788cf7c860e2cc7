//! Connections and listeners, independent of the network that carries them.

use super::BoxFuture;
use futures_lite::{AsyncRead, AsyncWrite};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll};

/// The read allowance of a connection whose reads are not limited.
const UNLIMITED: u64 = u64::MAX;

/// A bidirectional byte stream that several owners use through shared references.
pub trait ByteStream: Send + Sync {
    /// Reads into `buf`, with the semantics of `AsyncRead::poll_read`.
    fn read(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>>;
    /// Writes from `buf`, with the semantics of `AsyncWrite::poll_write`.
    fn write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>>;
    /// Shuts down the sending direction.
    fn close(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Sets the send timeout in µs, see [`Connection::set_send_timeout`]. Ignored by default.
    fn set_send_timeout(&self, _timeout_us: u64) {}
    /// Sets the size of the receive window in bytes, see [`WeakConnection::set_receive_window`]. Ignored
    /// by default.
    fn set_receive_window(&self, _bytes: usize) {}
    /// Limits the receive window, see [`Connection::limit_receive_window`]. Ignored by default.
    fn limit_receive_window(&self) {}
}

/// A connection to a peer. Clones share the stream and the read allowance.
#[derive(Clone)]
pub struct Connection {
    stream: Arc<dyn ByteStream>,
    /// Bytes that may still be read; [`UNLIMITED`] for no limit.
    read_allowance: Arc<AtomicU64>,
    /// Address of the remote end.
    pub peer: SocketAddr,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Connection({})", self.peer)
    }
}

impl Connection {
    /// Creates a connection over `stream` without a read limit.
    pub fn new(stream: Arc<dyn ByteStream>, peer: SocketAddr) -> Connection {
        Connection {
            stream,
            read_allowance: Arc::new(AtomicU64::new(UNLIMITED)),
            peer,
        }
    }

    /// Limits further reads to `bytes` bytes; reads beyond the limit fail with `InvalidData`.
    pub fn limit_reads(&self, bytes: u64) {
        self.read_allowance.store(bytes, Relaxed);
    }

    /// Closes the connection if sent bytes stay unacknowledged for `timeout_us` µs (the USER TIMEOUT
    /// of RFC 793).
    pub fn set_send_timeout(&self, timeout_us: u64) {
        self.stream.set_send_timeout(timeout_us);
    }

    /// Limits what the system keeps for the process before it reads it, as it does for the connections
    /// that the process accepts. For connections whose reads wait for a caller.
    pub fn limit_receive_window(&self) {
        self.stream.limit_receive_window();
    }

    /// A reference that does not keep the connection open.
    pub fn downgrade(&self) -> WeakConnection {
        WeakConnection(Arc::downgrade(&self.stream))
    }

    /// Whether all bytes allowed by [`Connection::limit_reads`] have been read.
    pub fn read_limit_reached(&self) -> bool {
        self.read_allowance.load(Relaxed) == 0
    }
}

/// A reference to a connection that does not keep it open.
pub struct WeakConnection(Weak<dyn ByteStream>);

impl std::fmt::Debug for WeakConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("WeakConnection")
    }
}

impl WeakConnection {
    /// Sets how many bytes the system keeps for the process before it reads them. Has no effect on a
    /// connection that is closed.
    pub fn set_receive_window(&self, bytes: usize) {
        if let Some(stream) = self.0.upgrade() {
            stream.set_receive_window(bytes);
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let allowance = self.read_allowance.load(Relaxed);
        if allowance == 0 {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "connection read limit exceeded",
            )));
        }
        let max_read = buf.len().min(allowance.min(usize::MAX as u64) as usize);
        self.stream.read(cx, &mut buf[..max_read]).map_ok(|read| {
            if allowance != UNLIMITED {
                self.read_allowance.store(allowance - read as u64, Relaxed);
            }
            read
        })
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream.write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.close(cx)
    }
}

/// Accepts incoming connections.
pub trait Listener: Send + Sync {
    /// Waits for the next incoming connection.
    fn accept(&self) -> BoxFuture<'_, io::Result<Connection>>;
}
