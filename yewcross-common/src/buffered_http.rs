//! HTTP/1.1 by async-h1, over the world's connections, with every wait and size bounded.

use crate::constants::*;
use crate::error_code::Code;
use crate::notify::{Latch, Notifier};
use crate::runtime::*;
use futures_lite::io::BufReader;
use futures_lite::{AsyncReadExt, AsyncWriteExt, Stream};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use serde::Serialize;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::task::{Context, Poll};

/// A job that was read whole.
#[derive(Debug)]
pub struct BufferedRequest {
    pub verb: Method,
    pub path: String,
    pub query: Option<String>,
    pub if_match: Option<String>,
    pub etag: Option<String>,
    pub body: Vec<u8>,
}

pub type Handler = Arc<dyn Fn(BufferedRequest) -> BoxFuture<'static, Response> + Send + Sync>;

/// Counts what is open so that a planned stop can wait for it.
#[derive(Default)]
pub struct ConnectionTracker {
    pub open: AtomicUsize,
    pub busy: AtomicUsize,
    pub closing: Latch,
    fell: Notifier,
}

impl ConnectionTracker {
    /// Returns once no connection is open.
    pub async fn emptied(&self) {
        self.fell.wait_until(|| self.open.load(SeqCst) == 0).await
    }
    /// Returns once no request is under way.
    pub async fn idle(&self) {
        self.fell.wait_until(|| self.busy.load(SeqCst) == 0).await
    }
    fn drop_one(&self, n: &AtomicUsize) {
        n.fetch_sub(1, SeqCst);
        self.fell.notify();
    }
}

/// When an outcome must have been taken by its caller, carried along with it.
struct Until(u64);

pub fn until(mut r: Response, at: u64) -> Response {
    r.ext_mut().insert(Until(at));
    r
}

pub fn reply(status: u16, v: &impl Serialize) -> Response {
    let mut r =
        Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError));
    r.set_body(Body::from_bytes(serde_json::to_vec(v).unwrap_or_default()));
    r.insert_header("content-type", "application/json");
    r
}

pub fn refuse(c: Code, why: &str, back: u64) -> Response {
    let ran: &str = c.ran().into();
    let name: &str = c.into();
    let mut r = reply(
        c.http(),
        &json!({"code": c.number(), "name": name, "ran": ran, "text": c.text(), "why": why, "retry_after": back}),
    );
    if back > 0 {
        r.insert_header("retry-after", back.to_string());
    }
    r
}

struct Pieces(Pin<Box<async_channel::Receiver<Vec<u8>>>>, Vec<u8>, usize);

impl futures_lite::AsyncRead for Pieces {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.2 == self.1.len() {
            match self.0.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(v)) => {
                    self.1 = v;
                    self.2 = 0;
                }
            }
        }
        let n = buf.len().min(self.1.len() - self.2);
        buf[..n].copy_from_slice(&self.1[self.2..self.2 + n]);
        self.2 += n;
        Poll::Ready(Ok(n))
    }
}

/// A chunked outcome whose pieces are sent as they come. The channel closing is the end of the
/// body.
pub fn stream(rx: async_channel::Receiver<Vec<u8>>) -> Response {
    let mut r = Response::new(StatusCode::Ok);
    r.set_body(Body::from_reader(
        BufReader::new(Pieces(Box::pin(rx), vec![], 0)),
        None,
    ));
    r.insert_header("content-type", "application/x-ndjson");
    r
}

async fn send(c: &mut Connection, r: Response, verb: Method) -> io::Result<()> {
    let mut e = async_h1::server::Encoder::new(r, verb);
    futures_lite::io::copy(&mut e, c).await.map(|_| ())
}

async fn refuse_and_close(runtime: &Runtime, mut c: Connection, k: Code) {
    let mut r = refuse(k, "", k.back());
    r.insert_header("connection", "close");
    runtime.timeout(SEC, send(&mut c, r, Method::Post)).await;
    let _ = c.close().await;
}

async fn one(
    runtime: &Runtime,
    c: &mut Connection,
    h: &Handler,
    g: &ConnectionTracker,
    first: bool,
) -> Option<bool> {
    c.limit_reads(2 * HEAD_MAX);
    let wait = if first { HEAD_WAIT } else { IDLE_WAIT };
    let gone = async {
        if first {
            std::future::pending::<()>().await;
        }
        g.closing.wait().await;
        runtime.sleep(100 * MS).await;
    };
    let head = futures_lite::future::or(
        runtime.timeout(wait, async_h1::server::decode(c.clone())),
        async {
            gone.await;
            Some(Ok(None))
        },
    )
    .await;
    let (mut q, mut rest) = match head {
        Some(Ok(Some(x))) => x,
        Some(Ok(None)) => return None,
        Some(Err(_)) if c.read_limit_reached() => {
            refuse_and_close(runtime, c.clone(), Code::TooLarge).await;
            return None;
        }
        Some(Err(e)) => {
            let k = if e.to_string().contains("8kb") {
                Code::TooLarge
            } else {
                Code::BadHead
            };
            refuse_and_close(runtime, c.clone(), k).await;
            return None;
        }
        None if first => {
            refuse_and_close(runtime, c.clone(), Code::TooSlow).await;
            return None;
        }
        None => return None,
    };
    c.limit_reads(u64::MAX);
    let verb = q.method();
    let mut body = Vec::new();
    let told = q.len();
    if told.is_some_and(|n| n > BODY_MAX) {
        refuse_and_close(runtime, c.clone(), Code::TooLarge).await;
        return None;
    }
    let b = q.take_body();
    let got = runtime
        .timeout(
            BODY_WAIT,
            b.take(BODY_MAX as u64 + 1).read_to_end(&mut body),
        )
        .await;
    let bad = match got {
        None => Some(Code::TooSlow),
        Some(Err(_)) => Some(Code::BadBody),
        Some(Ok(_)) if body.len() > BODY_MAX => Some(Code::TooLarge),
        Some(Ok(_)) if told.is_some_and(|n| n != body.len()) => Some(Code::BadBody),
        _ => None,
    };
    if let Some(k) = bad {
        refuse_and_close(runtime, c.clone(), k).await;
        return None;
    }
    g.busy.fetch_add(1, SeqCst);
    let close = q
        .header("connection")
        .is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"));
    let text = |n: &str| {
        q.header(n)
            .map(|v| v.as_str().trim_matches('"').to_string())
    };
    let job = BufferedRequest {
        verb,
        path: q.url().path().to_string(),
        query: q.url().query().map(|s| s.to_string()),
        if_match: text("if-match"),
        etag: text("if-none-match"),
        body,
    };
    let mut r = h(job).await;
    let last = close || g.closing.is_set();
    if last {
        r.insert_header("connection", "close");
    }
    let until = r
        .ext()
        .get::<Until>()
        .map_or(runtime.now() + ANSWER_WAIT, |u| u.0);
    let sent = runtime
        .timeout(until.saturating_sub(runtime.now()), send(c, r, verb))
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()));
    g.drop_one(&g.busy);
    let mut sink = Vec::new();
    let _ = runtime.timeout(SEC, rest.read_to_end(&mut sink)).await;
    sent.ok().map(|_| last)
}

async fn attend(runtime: Runtime, mut c: Connection, h: Handler, g: Arc<ConnectionTracker>) {
    let mut first = true;
    while let Some(false) = one(&runtime, &mut c, &h, &g, first).await {
        first = false;
    }
    let _ = c.close().await;
    g.drop_one(&g.open);
}

/// Serves until the gate closes; then empties the accept backlog and returns when all is answered.
pub async fn serve(
    runtime: Runtime,
    door: Box<dyn Listener>,
    h: Handler,
    g: Arc<ConnectionTracker>,
) {
    loop {
        let late = async {
            g.closing.wait().await;
            runtime.sleep(60 * MS).await;
            None
        };
        let Some(c) = futures_lite::future::or(async { Some(door.accept().await) }, late).await
        else {
            break;
        };
        let Ok(c) = c else {
            runtime.sleep(10 * MS).await;
            continue;
        };
        if g.open.fetch_add(1, SeqCst) >= CALLERS_MAX {
            g.drop_one(&g.open);
            let w2 = runtime.clone();
            runtime.spawn(async move { refuse_and_close(&w2, c, Code::TooMany).await });
            continue;
        }
        let (w2, h, g) = (runtime.clone(), h.clone(), g.clone());
        runtime.spawn(attend(w2, c, h, g));
    }
    drop(door);
    g.emptied().await;
}

/// One exchange on a connection that stays usable if the body is read to its end.
pub async fn exchange(
    c: &Connection,
    verb: Method,
    path: &str,
    heads: &[(&str, String)],
    body: Vec<u8>,
) -> io::Result<Response> {
    let bad = |e: String| io::Error::new(io::ErrorKind::InvalidData, e);
    let url = Url::parse(&format!("http://{}{}", c.peer, path)).map_err(|e| bad(e.to_string()))?;
    let mut q = Request::new(verb, url);
    heads.iter().for_each(|(k, v)| {
        q.insert_header(*k, v.as_str());
    });
    q.set_body(Body::from_bytes(body));
    c.limit_reads(u64::MAX);
    async_h1::connect(c.clone(), q)
        .await
        .map_err(|e| bad(e.to_string()))
}

pub async fn body(r: &mut Response, max: usize) -> io::Result<Vec<u8>> {
    let want = r.len();
    let mut v = Vec::new();
    r.take_body()
        .take(max as u64 + 1)
        .read_to_end(&mut v)
        .await?;
    if v.len() > max || want.is_some_and(|n| n != v.len()) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(v)
}

/// Dial, ask, read all, all within `us`.
pub async fn fetch(
    runtime: &Runtime,
    to: SocketAddr,
    verb: Method,
    path: &str,
    heads: &[(&str, String)],
    send: Vec<u8>,
    us: u64,
) -> io::Result<(u16, Response, Vec<u8>)> {
    runtime
        .timeout(us, async {
            let mut c = runtime.connect(to).await?;
            let mut r = exchange(&c, verb, path, heads, send).await?;
            let b = body(&mut r, FRAME_MAX).await?;
            let _ = c.close().await;
            Ok((r.status().into(), r, b))
        })
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
