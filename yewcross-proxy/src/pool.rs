//! Connections to servers: one request at a time on each, kept while the server keeps them.

use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use http::{Request, Response};
use http_body_util::Full;
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

/// What a request may still do on its connection.
#[derive(Default)]
struct Departure {
    /// Bytes that left since the connection was opened.
    written: AtomicU64,
    /// What `written` was when the request was handed over.
    begins_at: AtomicU64,
    /// us of the world's clock. Later than this its first byte may not leave: what it was chosen by
    /// may have changed.
    latest: AtomicU64,
}

impl Departure {
    fn begin(&self, latest: u64) {
        self.begins_at.store(self.written.load(SeqCst), SeqCst);
        self.latest.store(latest, SeqCst);
    }

    fn nothing_left(&self) -> bool {
        self.written.load(SeqCst) == self.begins_at.load(SeqCst)
    }

    fn too_late(&self, now: u64) -> bool {
        self.nothing_left() && now > self.latest.load(SeqCst)
    }
}

/// Counts the bytes that leave, so that a request of which none did is known as not sent, and holds
/// back the first byte of one that has been overtaken by time: a process that stood still does not
/// know what it missed.
struct Counted {
    conn: Connection,
    world: Runtime,
    departure: Arc<Departure>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.conn).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.departure.too_late(self.world.now()) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let n = std::task::ready!(Pin::new(&mut self.conn).poll_write(cx, buf))?;
        self.departure.written.fetch_add(n as u64, SeqCst);
        Poll::Ready(Ok(n))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_close(cx)
    }
}

pub struct UpstreamConnection {
    send: SendRequest<Full<Bytes>>,
    departure: Arc<Departure>,
    pub used_at: u64,
    until: u64,
    pub is_new: bool,
}

pub enum SendFailure {
    /// No byte of the request left.
    NotSent,
    /// No byte of it left, since what it was chosen by has changed or may have.
    Expired,
    /// It may have run.
    OutcomeUnknown,
}

impl UpstreamConnection {
    /// Sends a request whose first byte leaves by `latest` (us of the world's clock) or not at all.
    pub async fn send_request(
        &mut self,
        runtime: &Runtime,
        q: Request<Full<Bytes>>,
        latest: u64,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.departure.begin(latest);
        let failed = match self.send.try_send_request(q).await {
            Ok(r) => return Ok(r),
            Err(e) => e,
        };
        let unsent = failed.message().is_some() || self.departure.nothing_left();
        match (unsent, runtime.now() > latest) {
            (true, true) => Err(SendFailure::Expired),
            (true, false) => Err(SendFailure::NotSent),
            (false, _) => Err(SendFailure::OutcomeUnknown),
        }
    }
}

#[derive(Default)]
pub struct Pool {
    /// By instance: another life at the same address gets connections of its own.
    idle: Mutex<HashMap<String, Vec<UpstreamConnection>>>,
    pub dials: AtomicU64,
}

impl Pool {
    /// An idle connection, the last used first; those used long ago are left alone where `recent`
    /// is asked for.
    pub fn take(&self, server: &str, now: u64, recent: bool) -> Option<UpstreamConnection> {
        let mut g = self.idle.lock().unwrap();
        let v = g.get_mut(server)?;
        v.retain(|l| !l.send.is_closed() && now < l.until);
        let i = v.iter().rposition(|l| l.send.is_ready())?;
        (!recent || now < v[i].used_at + UPSTREAM_RECENT_USE).then(|| v.remove(i))
    }

    pub fn has_idle(&self, server: &str) -> bool {
        self.idle
            .lock()
            .unwrap()
            .get(server)
            .is_some_and(|v| !v.is_empty())
    }

    pub async fn dial(
        &self,
        runtime: &Runtime,
        to: &ListedServer,
        us: u64,
    ) -> io::Result<UpstreamConnection> {
        self.dials.fetch_add(1, SeqCst);
        let c = runtime.connect_within(to.addr, us).await?;
        let departure = Arc::new(Departure::default());
        let io = FuturesIo::new(Counted {
            conn: c,
            world: runtime.clone(),
            departure: departure.clone(),
        });
        let (send, conn) = Builder::new()
            .max_buf_size(UPSTREAM_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        runtime.spawn(async move {
            let _ = conn.await;
        });
        Ok(UpstreamConnection {
            send,
            departure,
            used_at: runtime.now(),
            until: u64::MAX,
            is_new: true,
        })
    }

    /// Keeps a connection whose answer was read whole; `idle_ms` is the time that the server names.
    pub fn put_idle(
        &self,
        server: &str,
        mut l: UpstreamConnection,
        now: u64,
        idle_ms: Option<u64>,
        most: usize,
    ) {
        let told = idle_ms.unwrap_or(UPSTREAM_IDLE_TIMEOUT / MS) * MS;
        l.used_at = now;
        l.until = now
            + if told > 2 * UPSTREAM_IDLE_MARGIN {
                told - UPSTREAM_IDLE_MARGIN
            } else {
                told / 2
            };
        l.is_new = false;
        let mut g = self.idle.lock().unwrap();
        let v = g.entry(server.into()).or_default();
        if v.len() >= most.max(1) {
            v.remove(0);
        }
        v.push(l);
    }

    /// Drops what is over its time and what belongs to servers no longer listed.
    pub fn remove_expired(&self, now: u64, listed: impl Fn(&str) -> bool) {
        let mut g = self.idle.lock().unwrap();
        g.retain(|s, v| {
            v.retain(|l| !l.send.is_closed() && now < l.until);
            !v.is_empty() && listed(s)
        });
    }
}
