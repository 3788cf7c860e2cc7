//! The one seam between the logic and what it runs on.

pub mod os;
pub mod reactor;

use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::task::{Context, Poll};

pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

pub trait ByteStream: Send + Sync {
    fn read(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>>;
    fn write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>>;
    fn close(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    fn set_send_timeout(&self, _us: u64) {}
}

#[derive(Clone)]
pub struct Connection {
    pipe: Arc<dyn ByteStream>,
    allow: Arc<AtomicU64>,
    pub peer: SocketAddr,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Conn({})", self.peer)
    }
}

impl Connection {
    pub fn new(pipe: Arc<dyn ByteStream>, peer: SocketAddr) -> Connection {
        Connection {
            pipe,
            allow: Arc::new(AtomicU64::new(u64::MAX)),
            peer,
        }
    }
    /// Bytes that may still be read before the connection counts as abusive.
    pub fn limit_reads(&self, n: u64) {
        self.allow.store(n, Relaxed);
    }
    /// us. Sent bytes that stay unacknowledged this long end the connection (RFC 793's USER
    /// TIMEOUT).
    pub fn set_send_timeout(&self, us: u64) {
        self.pipe.set_send_timeout(us);
    }
    pub fn read_limit_reached(&self) -> bool {
        self.allow.load(Relaxed) == 0
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.allow.load(Relaxed);
        if left == 0 {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "too large")));
        }
        let n = buf.len().min(left.min(usize::MAX as u64) as usize);
        self.pipe.read(cx, &mut buf[..n]).map_ok(|k| {
            if left != u64::MAX {
                self.allow.store(left - k as u64, Relaxed);
            }
            k
        })
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.pipe.write(cx, buf)
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.pipe.close(cx)
    }
}

pub trait Listener: Send + Sync {
    fn accept(&self) -> BoxFuture<'_, io::Result<Connection>>;
}

/// What the world does with a frame about to leave for a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FrameFault {
    Deliver,
    Drop,
    Duplicate,
    Delay(u64),
}

pub trait RuntimeBackend: Send + Sync {
    /// Monotonic microseconds.
    fn now(&self) -> u64;
    /// Milliseconds of the calendar; may jump.
    fn wall_clock_ms(&self) -> u64;
    fn random(&self) -> u64;
    fn sleep(&self, us: u64) -> BoxFuture<'static, ()>;
    fn spawn(&self, f: BoxFuture<'static, ()>);
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Connection>>;
    fn bind(&self, at: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>>;
    fn frame_fault(&self, to: SocketAddr) -> FrameFault;
    fn write_file(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>>;
    fn sync(&self, path: &str) -> BoxFuture<'static, io::Result<()>>;
    fn rename(&self, a: &str, b: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Writes `data` to `aside`, syncs it, renames it to `at` and syncs the folder `dir`: safe once
    /// it returns.
    fn write_durably(
        &self,
        aside: &str,
        at: &str,
        dir: &str,
        data: Vec<u8>,
    ) -> BoxFuture<'static, io::Result<()>>;
    fn remove(&self, path: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Adds to the file's end, and returns once it is safe; where the file is new, its name is safe
    /// too. One hop.
    fn append(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>>;
    fn read_file(&self, path: &str) -> BoxFuture<'static, io::Result<Vec<u8>>>;
    fn list(&self, dir: &str) -> BoxFuture<'static, io::Result<Vec<String>>>;
    fn mkdir(&self, dir: &str) -> BoxFuture<'static, io::Result<()>>;
    fn log(&self, line: &str);
}

#[derive(Clone)]
pub struct Runtime(pub Arc<dyn RuntimeBackend>);

impl std::ops::Deref for Runtime {
    type Target = dyn RuntimeBackend;
    fn deref(&self) -> &Self::Target {
        &*self.0
    }
}

impl Runtime {
    pub fn spawn(&self, f: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(Box::pin(f));
    }

    pub async fn timeout<T>(&self, us: u64, f: impl Future<Output = T>) -> Option<T> {
        futures_lite::future::or(async { Some(f.await) }, async {
            self.0.sleep(us).await;
            None
        })
        .await
    }

    pub async fn connect_within(&self, to: SocketAddr, us: u64) -> io::Result<Connection> {
        self.timeout(us, self.0.connect(to))
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    pub fn random_index(&self, n: usize) -> usize {
        (self.0.random() % n.max(1) as u64) as usize
    }

    /// Runs `f` over all items at once, handing back each outcome as it comes.
    pub fn spawn_all<T: Send + 'static>(
        &self,
        fs: Vec<BoxFuture<'static, T>>,
    ) -> async_channel::Receiver<T> {
        let (tx, rx) = async_channel::bounded(fs.len().max(1));
        fs.into_iter().for_each(|f| {
            let tx = tx.clone();
            self.spawn(async move {
                let _ = tx.send(f.await).await;
            })
        });
        rx
    }
}
