//! Servers that run a request and lose the answer, say that they did not run it, send what belongs
//! to nothing, break off, slow down, end, and whose addresses go to others; each run is written
//! down as it begins.

use super::test_adapter::Page;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::{self, BufferedRequest, ConnectionTracker};
use yewcross_common::constants::*;
use yewcross_common::notify::Notifier;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::*;

#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::EnumString,
    strum::Display,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// It runs, and the connection closes without a word.
    #[strum(serialize = "lose")]
    LoseAnswer,
    /// The connection closes, and it does not run.
    Reset,
    /// It says that it did not run.
    #[strum(serialize = "not_run")]
    NotExecuted,
    /// It runs and says nothing for ten seconds.
    #[strum(serialize = "silent")]
    Hang,
    /// It runs and the answer is cut in its middle.
    #[strum(serialize = "half")]
    TruncateAnswer,
    /// It runs and answers 500 without a stamp.
    #[strum(serialize = "fails")]
    UnstampedError,
    #[strum(serialize = "no_stamp")]
    MissingStamp,
    /// It runs and answers for another try.
    #[strum(serialize = "other_try")]
    WrongAttempt,
    /// It runs and sends what is no answer.
    #[strum(serialize = "garble")]
    MalformedAnswer,
    /// A good answer with bytes behind it that belong to nothing.
    #[strum(serialize = "surplus")]
    TrailingBytes,
    /// A good answer, and a whole answer to another try behind it a little later.
    #[strum(serialize = "late")]
    LateExtraAnswer,
    /// A good answer; the connection closes soon after.
    #[strum(serialize = "then_close")]
    CloseAfterAnswer,
    /// A row of events breaks off.
    #[strum(serialize = "break")]
    BreakStream,
    /// It takes five times as long.
    Slow,
    /// A row of events pauses for a second.
    #[strum(serialize = "pause")]
    PauseStream,
}

/// How often of a thousand requests each fault comes.
pub type FaultRates = Vec<(Fault, u64)>;

#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Of this life; another start has another.
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub site: String,
    pub slots: usize,
    pub queue_limit: usize,
    pub max_connections: usize,
    /// us a plain request, and between events.
    pub service_time: u64,
    pub event_interval: u64,
}

/// A request that a server began work on.
#[derive(Clone, Debug)]
pub struct Execution {
    pub started_at: u64,
    pub server: String,
    pub service: String,
    pub attempt: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    /// What a whole answer has as its body, and as its status.
    pub answer_body: Vec<u8>,
    pub status: u16,
    /// The server knew that it was leaving.
    pub leaving: bool,
}

/// What all servers saw.
#[derive(Default)]
pub struct ServerRecords {
    pub executions: Mutex<Vec<Execution>>,
    /// When a request came to a server, and it was not answered 421: us, server, try.
    pub arrivals: Mutex<Vec<(u64, String, String)>>,
    pub connections: AtomicU64,
    pub fault_counts: Mutex<BTreeMap<Fault, u64>>,
    /// What no server should be sent.
    pub protocol_errors: Mutex<Vec<String>>,
}

pub struct Server {
    pub spec: ServerSpec,
    pub fault_rates: Mutex<FaultRates>,
    pub leaving: AtomicBool,
    runtime: Runtime,
    records: Arc<ServerRecords>,
    active: AtomicUsize,
    waiting: AtomicUsize,
    connections: AtomicUsize,
    slot_freed: Notifier,
}

struct RequestHead {
    method: String,
    target: String,
    headers: BTreeMap<String, String>,
}

/// One head, by httparse; none when the caller is gone or falls silent.
async fn read_head(c: &mut Connection, buf: &mut Vec<u8>) -> Result<Option<RequestHead>, String> {
    loop {
        let mut hs = [httparse::EMPTY_HEADER; 64];
        let mut q = httparse::Request::new(&mut hs);
        match q.parse(buf).map_err(|e| e.to_string())? {
            httparse::Status::Complete(n) => {
                let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
                let mut seen = BTreeSet::new();
                if let Some(h) = q
                    .headers
                    .iter()
                    .find(|h| !seen.insert(h.name.to_ascii_lowercase()))
                {
                    return Err(format!("{} comes twice", h.name));
                }
                let h = RequestHead {
                    method: q.method.unwrap_or_default().into(),
                    target: q.path.unwrap_or_default().into(),
                    headers: q
                        .headers
                        .iter()
                        .map(|h| (h.name.to_ascii_lowercase(), text(h.value)))
                        .collect(),
                };
                buf.drain(..n);
                return Ok(Some(h));
            }
            httparse::Status::Partial => {
                let mut b = [0; 4096];
                match c.read(&mut b).await {
                    Ok(n) if n > 0 => buf.extend_from_slice(&b[..n]),
                    _ => return Ok(None),
                }
            }
        }
    }
}

async fn read_body(c: &mut Connection, buf: &mut Vec<u8>, n: usize) -> Option<Vec<u8>> {
    while buf.len() < n {
        let mut b = [0; 4096];
        let k = c.read(&mut b).await.ok().filter(|k| *k > 0)?;
        buf.extend_from_slice(&b[..k]);
    }
    Some(buf.drain(..n).collect())
}

fn chunk(b: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", b.len()).as_bytes(), b, b"\r\n"].concat()
}

struct SlotGuard<'a>(&'a Server);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, SeqCst);
        self.0.slot_freed.notify();
    }
}

impl Server {
    pub async fn start(
        runtime: &Runtime,
        spec: ServerSpec,
        g: Arc<ServerRecords>,
        mood: FaultRates,
    ) -> io::Result<Arc<Server>> {
        let door = runtime.bind(spec.addr).await?;
        let s = Arc::new(Server {
            spec,
            fault_rates: Mutex::new(mood),
            leaving: AtomicBool::new(false),
            runtime: runtime.clone(),
            records: g,
            active: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            slot_freed: Notifier::default(),
        });
        let me = s.clone();
        runtime.spawn(async move {
            while let Ok(c) = door.accept().await {
                me.records.connections.fetch_add(1, SeqCst);
                if me.connections.fetch_add(1, SeqCst) >= me.spec.max_connections {
                    me.connections.fetch_sub(1, SeqCst);
                    continue;
                }
                let s = me.clone();
                me.runtime.spawn(async move {
                    s.serve_connection(c).await;
                    s.connections.fetch_sub(1, SeqCst);
                });
            }
        });
        Ok(s)
    }

    pub fn listed(&self) -> ListedServer {
        let s = &self.spec;
        ListedServer {
            server: s.id.clone(),
            service: s.service.clone(),
            addr: s.addr,
            site: s.site.clone(),
            leaving: self.leaving.load(SeqCst),
        }
    }

    fn draw_fault(&self) -> Option<Fault> {
        let mut x = self.runtime.random() % 1000;
        let m = self.fault_rates.lock().unwrap();
        m.iter().find_map(|(f, n)| {
            let hit = x < *n;
            x = x.saturating_sub(*n);
            hit.then_some(*f)
        })
    }

    async fn acquire_slot(&self) -> Option<SlotGuard<'_>> {
        if self.active.load(SeqCst) >= self.spec.slots {
            if self.waiting.load(SeqCst) >= self.spec.queue_limit {
                return None;
            }
            self.waiting.fetch_add(1, SeqCst);
            let free = self
                .runtime
                .timeout(
                    500 * MS,
                    self.slot_freed
                        .wait_until(|| self.active.load(SeqCst) < self.spec.slots),
                )
                .await;
            self.waiting.fetch_sub(1, SeqCst);
            free?;
        }
        self.active.fetch_add(1, SeqCst);
        Some(SlotGuard(self))
    }

    async fn serve_connection(self: &Arc<Self>, mut c: Connection) {
        let mut buf = vec![];
        loop {
            let h = match self
                .runtime
                .timeout(20 * SEC, read_head(&mut c, &mut buf))
                .await
            {
                Some(Ok(Some(h))) => h,
                Some(Err(e)) => {
                    return self
                        .records
                        .protocol_errors
                        .lock()
                        .unwrap()
                        .push(format!("{}: {e}", self.spec.id));
                }
                _ => return,
            };
            if h.headers.contains_key("transfer-encoding") {
                return self
                    .records
                    .protocol_errors
                    .lock()
                    .unwrap()
                    .push(format!("{}: a body in chunks", self.spec.id));
            }
            let n = h
                .headers
                .get("content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            let Some(body) = read_body(&mut c, &mut buf, n).await else {
                return;
            };
            if self.serve_request(&mut c, h, body).await.is_none() {
                let _ = c.close().await;
                return;
            }
        }
    }

    /// None: the connection ends.
    async fn serve_request(
        self: &Arc<Self>,
        c: &mut Connection,
        h: RequestHead,
        body: Vec<u8>,
    ) -> Option<()> {
        let get = |n: &str| h.headers.get(n).cloned().unwrap_or_default();
        let attempt = get("try");
        let load = format!(
            "{},{},{}",
            self.active.load(SeqCst),
            self.waiting.load(SeqCst),
            self.spec.slots
        );
        let bye = if self.leaving.load(SeqCst) {
            "connection: close\r\n"
        } else {
            ""
        };
        let say = |status: u16, a: &str, more: &str, body: &[u8]| {
            let top = format!(
                "HTTP/1.1 {status} X\r\ntry: {a}\r\nload: {load}\r\n{bye}{more}content-length: {}\r\n\r\n",
                body.len()
            );
            [top.as_bytes(), body].concat()
        };
        if h.headers.get("for").is_some_and(|x| *x != self.spec.id) {
            return c
                .write_all(&say(421, &attempt, "unrun: 1\r\n", b""))
                .await
                .ok();
        }
        self.records.arrivals.lock().unwrap().push((
            self.runtime.now(),
            self.spec.id.clone(),
            attempt.clone(),
        ));
        let fault = self.draw_fault();
        fault.iter().for_each(|f| {
            *self
                .records
                .fault_counts
                .lock()
                .unwrap()
                .entry(*f)
                .or_default() += 1
        });
        match fault {
            Some(Fault::Reset) => return None,
            Some(Fault::NotExecuted) => {
                return c
                    .write_all(&say(503, &attempt, "unrun: 1\r\n", b""))
                    .await
                    .ok();
            }
            _ => {}
        }
        let Some(_seat) = self.acquire_slot().await else {
            return c
                .write_all(&say(503, &attempt, "unrun: 1\r\n", b"full"))
                .await
                .ok();
        };
        let most: u64 = get("most").parse().unwrap_or(0);
        let stream = most > 0;
        let (n, events) = {
            let mut g = self.records.executions.lock().unwrap();
            let n = g.len();
            let k = if stream {
                1 + self.runtime.random() % (most / super::TOKENS_PER_EVENT).max(1)
            } else {
                0
            };
            let events: Vec<String> = (0..k).map(|i| format!("{attempt}.{i}")).collect();
            let own = self.runtime.random().is_multiple_of(40);
            let out = match (stream, own) {
                (true, _) => events
                    .iter()
                    .enumerate()
                    .map(|(i, d)| encode_event(i, d))
                    .collect::<String>()
                    .into_bytes(),
                (_, true) => format!("none of that for {attempt}").into_bytes(),
                _ => format!(
                    "run {n} of {attempt}: {}",
                    "z".repeat((self.runtime.random() % 6000) as usize)
                )
                .into_bytes(),
            };
            g.push(Execution {
                started_at: self.runtime.now(),
                server: self.spec.id.clone(),
                service: self.spec.service.clone(),
                attempt: attempt.clone(),
                method: h.method,
                target: h.target,
                body,
                answer_body: out,
                status: if own && !stream { 404 } else { 200 },
                leaving: self.leaving.load(SeqCst),
            });
            (n, events)
        };
        let (status, out) = {
            let g = self.records.executions.lock().unwrap();
            (g[n].status, g[n].answer_body.clone())
        };
        let slow = if fault == Some(Fault::Slow) { 5 } else { 1 };
        self.runtime
            .sleep(
                slow * (self.spec.service_time / 2
                    + self.runtime.random() % (self.spec.service_time + 1)),
            )
            .await;
        let stamp = format!("stamp: r{n}\r\n");
        if stream
            && !matches!(
                fault,
                Some(
                    Fault::LoseAnswer
                        | Fault::Hang
                        | Fault::UnstampedError
                        | Fault::MalformedAnswer
                        | Fault::WrongAttempt
                        | Fault::MissingStamp
                )
            )
        {
            return self
                .write_events(c, fault, &attempt, &stamp, bye, slow, &events)
                .await;
        }
        let good = say(status, &attempt, &stamp, &out);
        let whole = match fault {
            Some(Fault::LoseAnswer) => return None,
            Some(Fault::Hang) => {
                self.runtime.sleep(10 * SEC).await;
                return None;
            }
            Some(Fault::TruncateAnswer) => {
                c.write_all(&good[..good.len() - 1 - out.len() / 2])
                    .await
                    .ok()?;
                return None;
            }
            Some(Fault::UnstampedError) => say(500, &attempt, "", b"mine"),
            Some(Fault::MissingStamp) => say(200, &attempt, "", &out),
            Some(Fault::WrongAttempt) => say(200, "nobody", &stamp, &out),
            Some(Fault::MalformedAnswer) => {
                c.write_all(b"\x00\x01no answer at all\r\n\r\n")
                    .await
                    .ok()?;
                return None;
            }
            _ => good,
        };
        c.write_all(&whole).await.ok()?;
        self.finish_answer(c, fault).await
    }

    /// What follows a whole answer.
    async fn finish_answer(&self, c: &mut Connection, fault: Option<Fault>) -> Option<()> {
        match fault {
            Some(Fault::TrailingBytes) => c
                .write_all(
                    b"HTTP/1.1 200 X\r\ntry: nobody\r\nstamp: r0\r\ncontent-length: 2\r\n\r\nno",
                )
                .await
                .ok(),
            Some(Fault::LateExtraAnswer) => {
                self.runtime.sleep(20 * MS).await;
                c.write_all(
                    b"HTTP/1.1 200 X\r\ntry: nobody\r\nstamp: r0\r\ncontent-length: 5\r\n\r\nstale",
                )
                .await
                .ok()
            }
            Some(Fault::CloseAfterAnswer) => {
                self.runtime.sleep(30 * MS).await;
                None
            }
            _ => (!self.leaving.load(SeqCst)).then_some(()),
        }
    }

    #[allow(clippy::too_many_arguments)]
    async fn write_events(
        &self,
        c: &mut Connection,
        f: Option<Fault>,
        attempt: &str,
        stamp: &str,
        bye: &str,
        slow: u64,
        events: &[String],
    ) -> Option<()> {
        let top = format!(
            "HTTP/1.1 200 X\r\ntry: {attempt}\r\n{stamp}{bye}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        c.write_all(top.as_bytes()).await.ok()?;
        let cut = self.runtime.random() as usize % (events.len() + 1);
        for (i, d) in events.iter().enumerate() {
            if i == cut {
                match f {
                    Some(Fault::BreakStream | Fault::TruncateAnswer) => return None,
                    Some(Fault::PauseStream) => self.runtime.sleep(SEC).await,
                    _ => {}
                }
            }
            let e = encode_event(i, d);
            let at = self.runtime.random() as usize % e.len();
            // Events come in any pieces.
            if at > 0 {
                c.write_all(&chunk(&e.as_bytes()[..at])).await.ok()?;
            }
            c.write_all(&chunk(&e.as_bytes()[at..])).await.ok()?;
            self.runtime.sleep(slow * self.spec.event_interval).await;
        }
        if matches!(f, Some(Fault::BreakStream | Fault::TruncateAnswer)) {
            return None;
        }
        c.write_all(b"0\r\n\r\n").await.ok()?;
        self.finish_answer(c, f).await
    }
}

pub fn encode_event(i: usize, data: &str) -> String {
    format!("id: {}\ndata: {data}\n\n", i + 1)
}

/// The platform's list: it lags, comes in pages, and takes only so many calls a second.
pub struct CatalogueServer {
    runtime: Runtime,
    /// us that it lags.
    pub lag: u64,
    pub page_size: usize,
    pub max_calls_per_second: u64,
    /// Down: it answers nothing.
    pub unavailable: AtomicBool,
    revisions: Mutex<Vec<(u64, Vec<ListedServer>)>>,
    calls_this_second: Mutex<(u64, u64)>,
    pub refused: AtomicU64,
    pub served: AtomicU64,
}

impl CatalogueServer {
    pub async fn start(
        runtime: &Runtime,
        at: SocketAddr,
        lag: u64,
        page: usize,
        rate: u64,
    ) -> io::Result<Arc<CatalogueServer>> {
        let door = runtime.bind(at).await?;
        let r = Arc::new(CatalogueServer {
            runtime: runtime.clone(),
            lag,
            page_size: page,
            max_calls_per_second: rate,
            unavailable: AtomicBool::new(false),
            revisions: Default::default(),
            calls_this_second: Default::default(),
            refused: AtomicU64::new(0),
            served: AtomicU64::new(0),
        });
        let me = r.clone();
        let h: buffered_http::Handler = Arc::new(move |j| Box::pin(serve_catalogue(me.clone(), j)));
        runtime.spawn(buffered_http::serve(
            runtime.clone(),
            door,
            h,
            Arc::new(ConnectionTracker::default()),
        ));
        Ok(r)
    }

    pub fn publish(&self, v: Vec<ListedServer>) {
        let mut g = self.revisions.lock().unwrap();
        g.push((self.runtime.now(), v));
    }

    /// As it is shown now.
    pub fn listed_now(&self) -> Vec<ListedServer> {
        let t = self.runtime.now();
        let g = self.revisions.lock().unwrap();
        g.iter()
            .rev()
            .find(|x| x.0 + self.lag <= t)
            .or(g.first())
            .map(|x| x.1.clone())
            .unwrap_or_default()
    }
}

async fn serve_catalogue(r: Arc<CatalogueServer>, j: BufferedRequest) -> http_types::Response {
    if r.unavailable.load(SeqCst) {
        r.runtime.sleep(30 * SEC).await;
    }
    let over = {
        let s = r.runtime.now() / SEC;
        let mut g = r.calls_this_second.lock().unwrap();
        *g = if g.0 == s { (s, g.1 + 1) } else { (s, 1) };
        g.1 > r.max_calls_per_second
    };
    // The product's own list, whole and numbered.
    if !over && j.path == "/servers" {
        let rev = r
            .revisions
            .lock()
            .unwrap()
            .iter()
            .filter(|x| x.0 + r.lag <= r.runtime.now())
            .count() as u64;
        return buffered_http::json_response(
            200,
            &yewcross_common::protocol::ServerList {
                revision: rev.max(1),
                term: 0,
                servers: r.listed_now(),
            },
        );
    }
    if over || j.path != "/roster" {
        r.refused.fetch_add(1, SeqCst);
        return buffered_http::json_response(if over { 429 } else { 404 }, &serde_json::json!({}));
    }
    r.served.fetch_add(1, SeqCst);
    let from: usize = j
        .query
        .as_deref()
        .and_then(|q| q.strip_prefix("page="))
        .and_then(|p| p.parse().ok())
        .unwrap_or(0);
    let all = r.listed_now();
    let servers: Vec<ListedServer> = all.iter().skip(from).take(r.page_size).cloned().collect();
    let next = (from + servers.len() < all.len()).then(|| (from + servers.len()).to_string());
    buffered_http::json_response(200, &Page { servers, next })
}
