//! The one seam between the logic and what it runs on.

use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::task::{Context, Poll};

pub type Fut<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

pub trait Pipe: Send + Sync {
    fn read(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>>;
    fn write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>>;
    fn close(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    fn give_up_after(&self, _us: u64) {}
}

#[derive(Clone)]
pub struct Conn {
    pipe: Arc<dyn Pipe>,
    allow: Arc<AtomicU64>,
    pub peer: SocketAddr,
}

impl std::fmt::Debug for Conn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Conn({})", self.peer)
    }
}

impl Conn {
    pub fn new(pipe: Arc<dyn Pipe>, peer: SocketAddr) -> Conn {
        Conn { pipe, allow: Arc::new(AtomicU64::new(u64::MAX)), peer }
    }
    /// Bytes that may still be read before the connection counts as abusive.
    pub fn allow(&self, n: u64) {
        self.allow.store(n, Relaxed);
    }
    /// us. Sent bytes that stay unacknowledged this long end the connection (RFC 793's USER TIMEOUT).
    pub fn give_up_after(&self, us: u64) {
        self.pipe.give_up_after(us);
    }
    pub fn spent(&self) -> bool {
        self.allow.load(Relaxed) == 0
    }
}

impl AsyncRead for Conn {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
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

impl AsyncWrite for Conn {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.pipe.write(cx, buf)
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.pipe.close(cx)
    }
}

pub trait Door: Send + Sync {
    fn accept(&self) -> Fut<'_, io::Result<Conn>>;
}

/// What the world does with a frame about to leave for a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Pass,
    Lose,
    Twice,
    Late(u64),
}

pub trait Host: Send + Sync {
    /// Monotonic microseconds.
    fn now(&self) -> u64;
    /// Milliseconds of the calendar; may jump.
    fn wall(&self) -> u64;
    fn rand(&self) -> u64;
    fn sleep(&self, us: u64) -> Fut<'static, ()>;
    fn spawn(&self, f: Fut<'static, ()>);
    fn connect(&self, to: SocketAddr) -> Fut<'static, io::Result<Conn>>;
    fn bind(&self, at: SocketAddr) -> Fut<'static, io::Result<Box<dyn Door>>>;
    fn fate(&self, to: SocketAddr) -> Fate;
    fn put(&self, path: &str, data: Vec<u8>) -> Fut<'static, io::Result<()>>;
    fn sync(&self, path: &str) -> Fut<'static, io::Result<()>>;
    fn rename(&self, a: &str, b: &str) -> Fut<'static, io::Result<()>>;
    /// Writes `data` to `aside`, syncs it, renames it to `at` and syncs the folder `dir`: safe once it returns.
    fn keep(&self, aside: &str, at: &str, dir: &str, data: Vec<u8>) -> Fut<'static, io::Result<()>>;
    fn remove(&self, path: &str) -> Fut<'static, io::Result<()>>;
    /// Adds to the file's end, and returns once it is safe; where the file is new, its name is safe too. One hop.
    fn append(&self, path: &str, data: Vec<u8>) -> Fut<'static, io::Result<()>>;
    fn get(&self, path: &str) -> Fut<'static, io::Result<Vec<u8>>>;
    fn list(&self, dir: &str) -> Fut<'static, io::Result<Vec<String>>>;
    fn mkdir(&self, dir: &str) -> Fut<'static, io::Result<()>>;
    fn log(&self, line: &str);
}

#[derive(Clone)]
pub struct World(pub Arc<dyn Host>);

impl std::ops::Deref for World {
    type Target = dyn Host;
    fn deref(&self) -> &Self::Target {
        &*self.0
    }
}

impl World {
    pub fn go(&self, f: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(Box::pin(f));
    }

    pub async fn within<T>(&self, us: u64, f: impl Future<Output = T>) -> Option<T> {
        futures_lite::future::or(async { Some(f.await) }, async {
            self.0.sleep(us).await;
            None
        })
        .await
    }

    pub async fn dial(&self, to: SocketAddr, us: u64) -> io::Result<Conn> {
        self.within(us, self.0.connect(to)).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    pub fn pick(&self, n: usize) -> usize {
        (self.0.rand() % n.max(1) as u64) as usize
    }

    /// Runs `f` over all items at once, handing back each outcome as it comes.
    pub fn fan<T: Send + 'static>(&self, fs: Vec<Fut<'static, T>>) -> async_channel::Receiver<T> {
        let (tx, rx) = async_channel::bounded(fs.len().max(1));
        fs.into_iter().for_each(|f| {
            let tx = tx.clone();
            self.go(async move {
                let _ = tx.send(f.await).await;
            })
        });
        rx
    }
}
