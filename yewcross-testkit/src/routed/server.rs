//! Servers that run a request and lose the answer, say that they did not run it, send what belongs
//! to nothing, break off, slow down, end, and whose addresses go to others; each run is written
//! down as it begins.

use super::ports::Page;
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
    Lose,
    /// The connection closes, and it does not run.
    Reset,
    /// It says that it did not run.
    NotRun,
    /// It runs and says nothing for ten seconds.
    Silent,
    /// It runs and the answer is cut in its middle.
    Half,
    /// It runs and answers 500 without a stamp.
    Fails,
    NoStamp,
    /// It runs and answers for another try.
    OtherTry,
    /// It runs and sends what is no answer.
    Garble,
    /// A good answer with bytes behind it that belong to nothing.
    Surplus,
    /// A good answer, and a whole answer to another try behind it a little later.
    Late,
    /// A good answer; the connection closes soon after.
    ThenClose,
    /// A row of events breaks off.
    Break,
    /// It takes five times as long.
    Slow,
    /// A row of events pauses for a second.
    Pause,
}

/// How often of a thousand requests each fault comes.
pub type Mood = Vec<(Fault, u64)>;

#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Of this life; another start has another.
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub site: String,
    pub slots: usize,
    pub queue: usize,
    pub max_conns: usize,
    /// us a plain request, and between events.
    pub work: u64,
    pub gap: u64,
}

/// A request that a server began work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub server: String,
    pub service: String,
    pub attempt: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    /// What a whole answer has as its body, and as its status.
    pub out: Vec<u8>,
    pub status: u16,
    /// The server knew that it was leaving.
    pub leaving: bool,
}

/// What all servers saw.
#[derive(Default)]
pub struct Ground {
    pub runs: Mutex<Vec<Run>>,
    /// When a request came to a server, and it was not answered 421: us, server, try.
    pub reached: Mutex<Vec<(u64, String, String)>>,
    pub conns: AtomicU64,
    pub faults: Mutex<BTreeMap<Fault, u64>>,
    /// What no server should be sent.
    pub odd: Mutex<Vec<String>>,
}

pub struct Server {
    pub spec: ServerSpec,
    pub mood: Mutex<Mood>,
    pub leaving: AtomicBool,
    w: Runtime,
    g: Arc<Ground>,
    active: AtomicUsize,
    waiting: AtomicUsize,
    conns: AtomicUsize,
    freed: Notifier,
}

struct Head {
    method: String,
    target: String,
    heads: BTreeMap<String, String>,
}

/// One head, by httparse; none when the caller is gone or falls silent.
async fn head(c: &mut Connection, buf: &mut Vec<u8>) -> Result<Option<Head>, String> {
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
                let h = Head {
                    method: q.method.unwrap_or_default().into(),
                    target: q.path.unwrap_or_default().into(),
                    heads: q
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

async fn fill(c: &mut Connection, buf: &mut Vec<u8>, n: usize) -> Option<Vec<u8>> {
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

struct Seat<'a>(&'a Server);

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, SeqCst);
        self.0.freed.notify();
    }
}

impl Server {
    pub async fn start(
        runtime: &Runtime,
        spec: ServerSpec,
        g: Arc<Ground>,
        mood: Mood,
    ) -> io::Result<Arc<Server>> {
        let door = runtime.bind(spec.addr).await?;
        let s = Arc::new(Server {
            spec,
            mood: Mutex::new(mood),
            leaving: AtomicBool::new(false),
            w: runtime.clone(),
            g,
            active: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            conns: AtomicUsize::new(0),
            freed: Notifier::default(),
        });
        let me = s.clone();
        runtime.spawn(async move {
            while let Ok(c) = door.accept().await {
                me.g.conns.fetch_add(1, SeqCst);
                if me.conns.fetch_add(1, SeqCst) >= me.spec.max_conns {
                    me.conns.fetch_sub(1, SeqCst);
                    continue;
                }
                let s = me.clone();
                me.w.spawn(async move {
                    s.attend(c).await;
                    s.conns.fetch_sub(1, SeqCst);
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

    fn fault(&self) -> Option<Fault> {
        let mut x = self.w.random() % 1000;
        let m = self.mood.lock().unwrap();
        m.iter().find_map(|(f, n)| {
            let hit = x < *n;
            x = x.saturating_sub(*n);
            hit.then_some(*f)
        })
    }

    async fn seat(&self) -> Option<Seat<'_>> {
        if self.active.load(SeqCst) >= self.spec.slots {
            if self.waiting.load(SeqCst) >= self.spec.queue {
                return None;
            }
            self.waiting.fetch_add(1, SeqCst);
            let free = self
                .w
                .timeout(
                    500 * MS,
                    self.freed
                        .wait_until(|| self.active.load(SeqCst) < self.spec.slots),
                )
                .await;
            self.waiting.fetch_sub(1, SeqCst);
            free?;
        }
        self.active.fetch_add(1, SeqCst);
        Some(Seat(self))
    }

    async fn attend(self: &Arc<Self>, mut c: Connection) {
        let mut buf = vec![];
        loop {
            let h = match self.w.timeout(20 * SEC, head(&mut c, &mut buf)).await {
                Some(Ok(Some(h))) => h,
                Some(Err(e)) => {
                    return self
                        .g
                        .odd
                        .lock()
                        .unwrap()
                        .push(format!("{}: {e}", self.spec.id));
                }
                _ => return,
            };
            if h.heads.contains_key("transfer-encoding") {
                return self
                    .g
                    .odd
                    .lock()
                    .unwrap()
                    .push(format!("{}: a body in chunks", self.spec.id));
            }
            let n = h
                .heads
                .get("content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            let Some(body) = fill(&mut c, &mut buf, n).await else {
                return;
            };
            if self.answer(&mut c, h, body).await.is_none() {
                let _ = c.close().await;
                return;
            }
        }
    }

    /// None: the connection ends.
    async fn answer(self: &Arc<Self>, c: &mut Connection, h: Head, body: Vec<u8>) -> Option<()> {
        let get = |n: &str| h.heads.get(n).cloned().unwrap_or_default();
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
        if h.heads.get("for").is_some_and(|x| *x != self.spec.id) {
            return c
                .write_all(&say(421, &attempt, "unrun: 1\r\n", b""))
                .await
                .ok();
        }
        self.g
            .reached
            .lock()
            .unwrap()
            .push((self.w.now(), self.spec.id.clone(), attempt.clone()));
        let fault = self.fault();
        fault
            .iter()
            .for_each(|f| *self.g.faults.lock().unwrap().entry(*f).or_default() += 1);
        match fault {
            Some(Fault::Reset) => return None,
            Some(Fault::NotRun) => {
                return c
                    .write_all(&say(503, &attempt, "unrun: 1\r\n", b""))
                    .await
                    .ok();
            }
            _ => {}
        }
        let Some(_seat) = self.seat().await else {
            return c
                .write_all(&say(503, &attempt, "unrun: 1\r\n", b"full"))
                .await
                .ok();
        };
        let most: u64 = get("most").parse().unwrap_or(0);
        let stream = most > 0;
        let (n, events) = {
            let mut g = self.g.runs.lock().unwrap();
            let n = g.len();
            let k = if stream {
                1 + self.w.random() % (most / super::PER_EVENT).max(1)
            } else {
                0
            };
            let events: Vec<String> = (0..k).map(|i| format!("{attempt}.{i}")).collect();
            let own = self.w.random().is_multiple_of(40);
            let out = match (stream, own) {
                (true, _) => events
                    .iter()
                    .enumerate()
                    .map(|(i, d)| event(i, d))
                    .collect::<String>()
                    .into_bytes(),
                (_, true) => format!("none of that for {attempt}").into_bytes(),
                _ => format!(
                    "run {n} of {attempt}: {}",
                    "z".repeat((self.w.random() % 6000) as usize)
                )
                .into_bytes(),
            };
            g.push(Run {
                at: self.w.now(),
                server: self.spec.id.clone(),
                service: self.spec.service.clone(),
                attempt: attempt.clone(),
                method: h.method,
                target: h.target,
                body,
                out,
                status: if own && !stream { 404 } else { 200 },
                leaving: self.leaving.load(SeqCst),
            });
            (n, events)
        };
        let (status, out) = {
            let g = self.g.runs.lock().unwrap();
            (g[n].status, g[n].out.clone())
        };
        let slow = if fault == Some(Fault::Slow) { 5 } else { 1 };
        self.w
            .sleep(slow * (self.spec.work / 2 + self.w.random() % (self.spec.work + 1)))
            .await;
        let stamp = format!("stamp: r{n}\r\n");
        if stream
            && !matches!(
                fault,
                Some(
                    Fault::Lose
                        | Fault::Silent
                        | Fault::Fails
                        | Fault::Garble
                        | Fault::OtherTry
                        | Fault::NoStamp
                )
            )
        {
            return self
                .row(c, fault, &attempt, &stamp, bye, slow, &events)
                .await;
        }
        let good = say(status, &attempt, &stamp, &out);
        let whole = match fault {
            Some(Fault::Lose) => return None,
            Some(Fault::Silent) => {
                self.w.sleep(10 * SEC).await;
                return None;
            }
            Some(Fault::Half) => {
                c.write_all(&good[..good.len() - 1 - out.len() / 2])
                    .await
                    .ok()?;
                return None;
            }
            Some(Fault::Fails) => say(500, &attempt, "", b"mine"),
            Some(Fault::NoStamp) => say(200, &attempt, "", &out),
            Some(Fault::OtherTry) => say(200, "nobody", &stamp, &out),
            Some(Fault::Garble) => {
                c.write_all(b"\x00\x01no answer at all\r\n\r\n")
                    .await
                    .ok()?;
                return None;
            }
            _ => good,
        };
        c.write_all(&whole).await.ok()?;
        self.after(c, fault).await
    }

    /// What follows a whole answer.
    async fn after(&self, c: &mut Connection, fault: Option<Fault>) -> Option<()> {
        match fault {
            Some(Fault::Surplus) => c
                .write_all(
                    b"HTTP/1.1 200 X\r\ntry: nobody\r\nstamp: r0\r\ncontent-length: 2\r\n\r\nno",
                )
                .await
                .ok(),
            Some(Fault::Late) => {
                self.w.sleep(20 * MS).await;
                c.write_all(
                    b"HTTP/1.1 200 X\r\ntry: nobody\r\nstamp: r0\r\ncontent-length: 5\r\n\r\nstale",
                )
                .await
                .ok()
            }
            Some(Fault::ThenClose) => {
                self.w.sleep(30 * MS).await;
                None
            }
            _ => (!self.leaving.load(SeqCst)).then_some(()),
        }
    }

    #[allow(clippy::too_many_arguments)]
    async fn row(
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
        let cut = self.w.random() as usize % (events.len() + 1);
        for (i, d) in events.iter().enumerate() {
            if i == cut {
                match f {
                    Some(Fault::Break | Fault::Half) => return None,
                    Some(Fault::Pause) => self.w.sleep(SEC).await,
                    _ => {}
                }
            }
            let e = event(i, d);
            let at = self.w.random() as usize % e.len();
            // Events come in any pieces.
            if at > 0 {
                c.write_all(&chunk(&e.as_bytes()[..at])).await.ok()?;
            }
            c.write_all(&chunk(&e.as_bytes()[at..])).await.ok()?;
            self.w.sleep(slow * self.spec.gap).await;
        }
        if matches!(f, Some(Fault::Break | Fault::Half)) {
            return None;
        }
        c.write_all(b"0\r\n\r\n").await.ok()?;
        self.after(c, f).await
    }
}

pub fn event(i: usize, data: &str) -> String {
    format!("id: {}\ndata: {data}\n\n", i + 1)
}

/// The platform's list: it lags, comes in pages, and takes only so many calls a second.
pub struct Roster {
    w: Runtime,
    /// us that it lags.
    pub lag: u64,
    pub page: usize,
    pub rate: u64,
    /// Down: it answers nothing.
    pub away: AtomicBool,
    past: Mutex<Vec<(u64, Vec<ListedServer>)>>,
    calls: Mutex<(u64, u64)>,
    pub refused: AtomicU64,
    pub served: AtomicU64,
}

impl Roster {
    pub async fn start(
        runtime: &Runtime,
        at: SocketAddr,
        lag: u64,
        page: usize,
        rate: u64,
    ) -> io::Result<Arc<Roster>> {
        let door = runtime.bind(at).await?;
        let r = Arc::new(Roster {
            w: runtime.clone(),
            lag,
            page,
            rate,
            away: AtomicBool::new(false),
            past: Default::default(),
            calls: Default::default(),
            refused: AtomicU64::new(0),
            served: AtomicU64::new(0),
        });
        let me = r.clone();
        let h: buffered_http::Handler = Arc::new(move |j| Box::pin(answer(me.clone(), j)));
        runtime.spawn(buffered_http::serve(
            runtime.clone(),
            door,
            h,
            Arc::new(ConnectionTracker::default()),
        ));
        Ok(r)
    }

    pub fn set(&self, v: Vec<ListedServer>) {
        let mut g = self.past.lock().unwrap();
        g.push((self.w.now(), v));
    }

    /// As it is shown now.
    pub fn shown(&self) -> Vec<ListedServer> {
        let t = self.w.now();
        let g = self.past.lock().unwrap();
        g.iter()
            .rev()
            .find(|x| x.0 + self.lag <= t)
            .or(g.first())
            .map(|x| x.1.clone())
            .unwrap_or_default()
    }
}

async fn answer(r: Arc<Roster>, j: BufferedRequest) -> http_types::Response {
    if r.away.load(SeqCst) {
        r.w.sleep(30 * SEC).await;
    }
    let over = {
        let s = r.w.now() / SEC;
        let mut g = r.calls.lock().unwrap();
        *g = if g.0 == s { (s, g.1 + 1) } else { (s, 1) };
        g.1 > r.rate
    };
    // The product's own list, whole and numbered.
    if !over && j.path == "/servers" {
        let rev = r
            .past
            .lock()
            .unwrap()
            .iter()
            .filter(|x| x.0 + r.lag <= r.w.now())
            .count() as u64;
        return buffered_http::json_response(
            200,
            &yewcross_common::protocol::ServerList {
                revision: rev.max(1),
                term: 0,
                servers: r.shown(),
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
    let all = r.shown();
    let servers: Vec<ListedServer> = all.iter().skip(from).take(r.page).cloned().collect();
    let next = (from + servers.len() < all.len()).then(|| (from + servers.len()).to_string());
    buffered_http::json_response(200, &Page { servers, next })
}
