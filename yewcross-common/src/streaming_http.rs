//! HTTP/1.1 by hyper over the world's connections. Targets pass byte for byte; what cannot is
//! answered 400.

use crate::configuration::route::Limits;
use crate::constants::*;
use crate::runtime::*;
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

pub type Body = http_body_util::combinators::BoxBody<Bytes, io::Error>;
/// A handler's future is dropped when its caller goes.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>, SocketAddr) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Counts what is open and tells everything that serves to come to an end. Woken by events only.
pub struct ConnectionTracker {
    last: AtomicBool,
    open: AtomicUsize,
    busy: AtomicUsize,
    closing: (async_channel::Sender<()>, async_channel::Receiver<()>),
    empty: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Default for ConnectionTracker {
    fn default() -> ConnectionTracker {
        ConnectionTracker {
            last: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            closing: async_channel::bounded(1),
            empty: async_channel::bounded(1),
        }
    }
}

impl ConnectionTracker {
    /// From now on each answer is its connection's last; new connections are still taken.
    pub fn last(&self) {
        self.last.store(true, SeqCst);
    }
    pub fn is_last(&self) -> bool {
        self.last.load(SeqCst)
    }
    /// Takes what stands in the backlog, ends idle connections, lets requests under way finish.
    pub fn close(&self) {
        self.last();
        self.closing.0.close();
    }
    pub async fn closed(&self) {
        let _ = self.closing.1.recv().await;
    }
    /// Waits until the door is shut and no connection is open.
    pub async fn emptied(&self) {
        let _ = self.empty.1.recv().await;
    }
    pub fn open(&self) -> usize {
        self.open.load(SeqCst)
    }
    pub fn busy(&self) -> usize {
        self.busy.load(SeqCst)
    }
    fn leave(&self) {
        if self.open.fetch_sub(1, SeqCst) == 1 {
            self.empty.0.close();
        }
    }
}

/// What a connection has shown of the head that is being read.
#[derive(Default)]
struct Seen {
    /// us of its first byte; 0 while none came.
    began: AtomicU64,
    /// Its request line holds a byte that would not pass.
    odd: AtomicBool,
    answered: AtomicU64,
}

struct Watched {
    c: Connection,
    w: Runtime,
    seen: Arc<Seen>,
    /// The request line was looked through.
    line: u64,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let n = std::task::ready!(Pin::new(&mut self.c).poll_read(cx, buf))?;
        let turn = self.seen.answered.load(SeqCst) + 1;
        if n > 0 && self.line != turn {
            let end = buf[..n].iter().position(|b| *b == b'\n');
            if self.seen.began.load(SeqCst) == 0 {
                self.seen.began.store(self.w.now(), SeqCst);
            }
            if buf[..end.unwrap_or(n)].contains(&b'#') {
                self.seen.odd.store(true, SeqCst);
            }
            if end.is_some() {
                self.line = turn;
            }
        }
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.c).poll_write(cx, buf)
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.c).poll_close(cx)
    }
}

/// hyper's clock, told by the world. The wait for a head ends `idle` after it began while no byte
/// came, and `head` after the first byte. us.
struct Clock {
    w: Runtime,
    t0: Instant,
    seen: Arc<Seen>,
    head: u64,
    idle: u64,
}

struct Nap {
    w: Runtime,
    seen: Arc<Seen>,
    head: u64,
    until: u64,
    set: u64,
    f: std::sync::Mutex<BoxFuture<'static, ()>>,
}

impl Future for Nap {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let began = self.seen.began.load(SeqCst);
        let until = if began > 0 {
            self.until.min(began + self.head)
        } else {
            self.until
        };
        let t = self.w.now();
        if t >= until {
            return Poll::Ready(());
        }
        if until < self.set {
            self.set = until;
            *self.f.get_mut().unwrap() = self.w.sleep(until - t);
        }
        self.f.get_mut().unwrap().as_mut().poll(cx)
    }
}

impl hyper::rt::Sleep for Nap {}

impl hyper::rt::Timer for Clock {
    fn sleep(&self, d: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        let until = self.w.now() + (d.as_micros() as u64).min(self.idle);
        let f = std::sync::Mutex::new(self.w.sleep(until - self.w.now()));
        Box::pin(Nap {
            w: self.w.clone(),
            seen: self.seen.clone(),
            head: self.head,
            until,
            set: until,
            f,
        })
    }
    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep(at.saturating_duration_since(self.now()))
    }
    fn now(&self) -> Instant {
        self.t0 + Duration::from_micros(self.w.now())
    }
}

pub fn full(b: impl Into<Bytes>) -> Body {
    Full::new(b.into()).map_err(|x| match x {}).boxed()
}

fn bare(s: StatusCode) -> Response<Body> {
    let mut r = Response::new(full(Bytes::new()));
    *r.status_mut() = s;
    r
}

struct Busy(Arc<ConnectionTracker>, Arc<Seen>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, SeqCst);
        self.1.began.store(0, SeqCst);
        self.1.answered.fetch_add(1, SeqCst);
    }
}

async fn one(
    h: Handler,
    q: Request<Incoming>,
    from: SocketAddr,
    b: Busy,
) -> Result<Response<Body>, Infallible> {
    let odd = b.1.odd.swap(false, SeqCst) || q.uri().authority().is_some();
    let mut r = if odd {
        bare(StatusCode::BAD_REQUEST)
    } else {
        h(q, from).await
    };
    if odd || b.0.is_last() {
        r.headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(r)
}

async fn attend(runtime: Runtime, c: Connection, h: Handler, l: Limits, g: Arc<ConnectionTracker>) {
    let (seen, from) = (Arc::new(Seen::default()), c.peer);
    let clock = Clock {
        w: runtime.clone(),
        t0: Instant::now(),
        seen: seen.clone(),
        head: l.head_ms * MS,
        idle: l.idle_ms.max(l.head_ms) * MS,
    };
    let (g2, s2) = (g.clone(), seen.clone());
    let service = hyper::service::service_fn(move |q| {
        g2.busy.fetch_add(1, SeqCst);
        one(h.clone(), q, from, Busy(g2.clone(), s2.clone()))
    });
    let io = FuturesIo::new(Watched {
        c,
        w: runtime.clone(),
        seen,
        line: 0,
    });
    let mut conn = std::pin::pin!(
        hyper::server::conn::http1::Builder::new()
            .timer(clock)
            .header_read_timeout(Duration::from_millis(l.idle_ms.max(l.head_ms)))
            .max_header_size(l.head_bytes)
            .max_buf_size(l.head_bytes.max(8 << 10))
            .auto_date_header(false)
            .serve_connection(io, service)
    );
    let over = async {
        let _ = conn.as_mut().await;
        true
    }
    .or(async {
        g.closed().await;
        false
    })
    .await;
    if !over {
        // What its caller sends at this very moment is still taken.
        if runtime.timeout(LAST_LOOK, conn.as_mut()).await.is_none() {
            conn.as_mut().graceful_shutdown();
            let _ = conn.await;
        }
    }
    g.leave();
}

/// Serves until the gate closes; then empties the accept backlog and returns when all is answered.
pub async fn serve(
    runtime: Runtime,
    door: Box<dyn Listener>,
    h: Handler,
    limits: Arc<dyn Fn() -> Limits + Send + Sync>,
    g: Arc<ConnectionTracker>,
) {
    g.open.fetch_add(1, SeqCst);
    let take = |c: Connection| {
        g.open.fetch_add(1, SeqCst);
        runtime.spawn(attend(runtime.clone(), c, h.clone(), limits(), g.clone()));
    };
    loop {
        let got = async { Some(door.accept().await) }
            .or(async {
                g.closed().await;
                None
            })
            .await;
        match got {
            // Beyond that many the rest waits in the backlog, where a caller's platform sees it.
            Some(Ok(c)) if g.open() <= CALLERS_MAX => take(c),
            Some(Ok(c)) => drop(c),
            Some(Err(_)) => runtime.sleep(10 * MS).await,
            None => break,
        }
    }
    while let Some(Ok(c)) = runtime.timeout(LAST_LOOK, door.accept()).await {
        take(c);
    }
    drop(door);
    g.leave();
    g.emptied().await;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    TooLarge,
    Broken,
}

/// A body read whole.
pub async fn read_body(b: Incoming, max: usize) -> Result<Bytes, Unread> {
    use hyper::body::Body as _;
    if b.size_hint().lower() > max as u64 {
        return Err(Unread::TooLarge);
    }
    let got = Limited::new(b, max).collect().await;
    got.map(|c| c.to_bytes()).map_err(|e| {
        if e.is::<http_body_util::LengthLimitError>() {
            Unread::TooLarge
        } else {
            Unread::Broken
        }
    })
}

pub(crate) fn wrong(e: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e)
}

/// Dial, ask, read all, all within `us`. Each ask has a connection of its own.
pub async fn fetch(
    runtime: &Runtime,
    to: SocketAddr,
    mut q: Request<Full<Bytes>>,
    max: usize,
    us: u64,
) -> io::Result<Response<Bytes>> {
    if !q.headers().contains_key(header::HOST) {
        q.headers_mut().insert(
            header::HOST,
            HeaderValue::try_from(to.to_string()).map_err(wrong)?,
        );
    }
    runtime
        .timeout(us, async {
            let c = runtime.connect(to).await?;
            let (mut s, conn) = hyper::client::conn::http1::handshake(FuturesIo::new(c))
                .await
                .map_err(wrong)?;
            let drive = async {
                let _ = conn.await;
                std::future::pending().await
            };
            async {
                let (p, b) = s.send_request(q).await.map_err(wrong)?.into_parts();
                let b = Limited::new(b, max)
                    .collect()
                    .await
                    .map_err(wrong)?
                    .to_bytes();
                Ok(Response::from_parts(p, b))
            }
            .or(drive)
            .await
        })
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
