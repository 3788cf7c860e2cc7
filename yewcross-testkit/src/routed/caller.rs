//! Callers that keep to the rules: tries with ids of their own, again only what may be sent again,
//! programs of turns and calls; each writes down what it heard.

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::configuration::route::Mode;
use yewcross_common::constants::*;
use yewcross_common::runtime::*;

use super::ports::text;

/// A route as callers know it.
#[derive(Clone, Debug)]
pub struct Known {
    pub name: String,
    pub mode: Mode,
    pub retained: bool,
    pub retain_ms: u64,
    pub deadline_ms: u64,
}

pub const HOST: &str = "tier.example";

/// One try and what came of it.
#[derive(Clone, Debug)]
pub struct Try {
    /// us it was sent, and ended.
    pub at: u64,
    pub end: u64,
    pub attempt: String,
    pub route: Known,
    pub front: String,
    pub method: String,
    pub target: String,
    pub input: Vec<u8>,
    pub program: String,
    pub budget: u64,
    pub most: u64,
    pub prev: String,
    /// 0: no head came.
    pub status: u16,
    pub heads: HeaderMap,
    pub heard: Vec<u8>,
    /// The answer came to its proper end.
    pub whole: bool,
    /// The caller gave it up itself.
    pub gave_up: bool,
}

impl Try {
    pub fn good(&self) -> bool {
        self.whole && (200..300).contains(&self.status)
    }
    pub fn promised(&self) -> bool {
        matches!(self.status, 402 | 408 | 421 | 429 | 503)
    }
    /// The data of the events that came whole, each with a line feed behind.
    pub fn data(&self) -> Vec<u8> {
        let t = String::from_utf8_lossy(&self.heard);
        let n = t.matches("\n\n").count();
        t.split("\n\n")
            .take(n)
            .filter_map(|e| e.lines().find_map(|l| l.strip_prefix("data: ")))
            .map(|d| format!("{d}\n"))
            .collect::<String>()
            .into()
    }
    pub fn events(&self) -> u64 {
        String::from_utf8_lossy(&self.heard).matches("\n\n").count() as u64
    }
}

#[derive(Default)]
pub struct Book {
    pub tries: Mutex<Vec<Try>>,
    pub stop: AtomicBool,
    next: AtomicUsize,
    pub programs: AtomicU64,
    pub programs_done: AtomicU64,
}

/// Which fronts there are, by name and address; a platform's balancer knows no more.
pub type Fronts = Arc<dyn Fn() -> Vec<(String, SocketAddr)> + Send + Sync>;

pub struct Caller {
    pub w: Runtime,
    pub book: Arc<Book>,
    pub fronts: Fronts,
    conn: Option<(String, SendRequest<Full<Bytes>>)>,
}

/// What is asked for, before it has an id.
#[derive(Clone)]
pub struct Want {
    pub route: Known,
    pub method: Method,
    pub input: Vec<u8>,
    pub program: String,
    pub budget: u64,
    pub most: u64,
    pub prev: String,
    pub prompt: u64,
}

impl Caller {
    pub fn new(runtime: &Runtime, book: &Arc<Book>, fronts: &Fronts) -> Caller {
        Caller {
            w: runtime.clone(),
            book: book.clone(),
            fronts: fronts.clone(),
            conn: None,
        }
    }

    async fn open(&mut self) -> Option<(String, SendRequest<Full<Bytes>>)> {
        let fs = (self.fronts)();
        let (name, at) = fs.get(self.w.random_index(fs.len()))?.clone();
        let c = self.w.connect_within(at, SEC).await.ok()?;
        let (s, conn) = handshake(FuturesIo::new(c)).await.ok()?;
        self.w.spawn(async move {
            let _ = conn.await;
        });
        Some((name, s))
    }

    /// One try, on the connection at hand or a new one.
    pub async fn send(&mut self, x: &Want) -> Try {
        let kept = self
            .conn
            .take()
            .filter(|c| c.1.is_ready() && !self.w.random().is_multiple_of(4));
        let opened = match kept {
            Some(c) => Some(c),
            None => self.open().await,
        };
        let attempt = format!("t{:x}", self.book.next.fetch_add(1, SeqCst));
        let target = format!(
            "/{}/{:x}?q={:x}",
            x.route.name,
            self.w.random() % 4096,
            self.w.random() % 256
        );
        let at = self.w.now();
        let front = opened.as_ref().map(|c| c.0.clone()).unwrap_or_default();
        let mut t = Try {
            at,
            end: at,
            attempt: attempt.clone(),
            route: x.route.clone(),
            front,
            method: x.method.to_string(),
            target: target.clone(),
            input: x.input.clone(),
            program: x.program.clone(),
            budget: x.budget,
            most: x.most,
            prev: x.prev.clone(),
            status: 0,
            heads: HeaderMap::new(),
            heard: vec![],
            whole: false,
            gave_up: false,
        };
        let mut q = Request::builder()
            .method(x.method.clone())
            .uri(&target)
            .header("host", HOST)
            .header("try", &attempt);
        q = q.header("patience", x.route.deadline_ms);
        if x.route.mode == Mode::Stream {
            q = q.header("tokens", x.prompt).header("most", x.most);
        }
        if !x.program.is_empty() {
            q = q
                .header("program", &x.program)
                .header("session", &x.program);
        }
        if x.budget > 0 && x.route.mode == Mode::Stream {
            q = q.header("budget", x.budget);
        }
        if !x.prev.is_empty() {
            q = q.header("after", &x.prev);
        }
        let q = q.body(Full::new(Bytes::from(x.input.clone())));
        let (Some((name, mut s)), Ok(q)) = (opened, q) else {
            self.w.sleep(20 * MS).await;
            t.end = self.w.now();
            self.book.tries.lock().unwrap().push(t.clone());
            return t;
        };
        // The front sees these while they run, so they are on the books before their end.
        let slot = {
            let mut g = self.book.tries.lock().unwrap();
            g.push(t.clone());
            g.len() - 1
        };
        let until = at + x.route.deadline_ms * MS;
        let over = async {
            self.w
                .sleep(until.saturating_sub(self.w.now()) + 50 * MS)
                .await;
            false
        };
        let (w, book) = (self.w.clone(), self.book.clone());
        let heard = Mutex::new(t.clone());
        let go = async {
            let Ok(r) = s.send_request(q).await else {
                return true;
            };
            let (p, mut b) = r.into_parts();
            {
                let mut g = heard.lock().unwrap();
                (g.status, g.heads) = (p.status.as_u16(), p.headers);
            }
            loop {
                match b.frame().await {
                    Some(Ok(f)) => {
                        let d = f.into_data().unwrap_or_default();
                        let mut g = heard.lock().unwrap();
                        g.heard.extend_from_slice(&d);
                        g.end = w.now();
                        book.tries.lock().unwrap()[slot] = g.clone();
                    }
                    Some(Err(_)) => return true,
                    None => {
                        heard.lock().unwrap().whole = true;
                        return true;
                    }
                }
            }
        };
        let heard_end = go.or(over).await;
        t = heard.into_inner().unwrap_or_else(|e| e.into_inner());
        t.gave_up = !heard_end;
        t.end = self.w.now();
        if t.whole && text(&t.heads, "connection") != "close" {
            self.conn = Some((name, s));
        }
        self.book.tries.lock().unwrap()[slot] = t.clone();
        t
    }

    /// Tries again where the rules allow, a few times; the last try.
    pub async fn ask(&mut self, x: &Want) -> Try {
        let until = self.w.now() + x.route.deadline_ms * MS;
        let mut n = 0;
        loop {
            let t = self.send(x).await;
            n += 1;
            let again = match t.status {
                200..300 if t.whole => false,
                400 | 401 | 402 | 404 | 413 | 431 => false,
                _ if x.route.mode == Mode::Pure => true,
                _ => t.promised() || t.front.is_empty(),
            };
            if !again || n >= 4 || self.w.now() >= until {
                return t;
            }
            let back = text(&t.heads, "back-ms").parse::<u64>().unwrap_or(0) * MS;
            self.conn = None;
            self.w
                .sleep(back.min(until.saturating_sub(self.w.now()) / 3) + 10 * MS)
                .await;
        }
    }
}

/// Plain requests, one after the other.
pub async fn plain(mut c: Caller, routes: Vec<Known>, pause: u64) {
    while !c.book.stop.load(SeqCst) {
        let r = routes[c.w.random_index(routes.len())].clone();
        let n = if c.w.random().is_multiple_of(3) {
            c.w.random() % 5000
        } else {
            0
        };
        let input: Vec<u8> = (0..n).map(|i| (i % 251) as u8).collect();
        let method = if n > 0 { Method::POST } else { Method::GET };
        let x = Want {
            route: r,
            method,
            input,
            program: String::new(),
            budget: 0,
            most: 40,
            prev: String::new(),
            prompt: 10,
        };
        c.ask(&x).await;
        let p = c.w.random() % (pause + 1);
        c.w.sleep(pause / 2 + p).await;
    }
}

/// Programs: a row of turns that bring only what is new, with calls between; now and then two turns
/// go on from one.
pub async fn programs(mut c: Caller, turn: Known, calls: Vec<Known>, pause: u64) {
    while !c.book.stop.load(SeqCst) {
        let n = c.book.next.fetch_add(1, SeqCst);
        c.book.programs.fetch_add(1, SeqCst);
        let program = format!("p{n:x}");
        let turns = 2 + c.w.random() % 6;
        let most = 16 + 2 * (c.w.random() % 20);
        // A third of the programs cannot end within their budget.
        let budget = if c.w.random().is_multiple_of(3) {
            most * turns / 3
        } else {
            most * (turns + 2)
        };
        let (mut prev, mut prompt, mut done) = (String::new(), 0, true);
        for i in 0..turns {
            let size = 1 + c.w.random() % 2000;
            let input: Vec<u8> = format!("{program} turn {i} ")
                .bytes()
                .chain((0..size).map(|i| b'a' + (i % 26) as u8))
                .collect();
            prompt += size / 4;
            let x = Want {
                route: turn.clone(),
                method: Method::POST,
                input,
                program: program.clone(),
                budget,
                most,
                prev: prev.clone(),
                prompt,
            };
            let mut t = c.ask(&x).await;
            for _ in 0..2 {
                if t.good() || matches!(t.status, 400 | 402 | 404 | 413) {
                    break;
                }
                let p = c.w.random() % 300;
                c.w.sleep((100 + p) * MS).await;
                t = c.ask(&x).await;
            }
            if !t.good() {
                done = t.status == 402;
                break;
            }
            // A side line that ends at once.
            if c.w.random().is_multiple_of(5) {
                c.ask(&Want {
                    prev: t.attempt.clone(),
                    input: b"aside".to_vec(),
                    ..x.clone()
                })
                .await;
            }
            prev = t.attempt.clone();
            for _ in 0..c.w.random() % 3 {
                let r = calls[c.w.random_index(calls.len())].clone();
                let y = Want {
                    route: r,
                    method: Method::POST,
                    input: b"call".to_vec(),
                    prev: String::new(),
                    ..x.clone()
                };
                c.ask(&y).await;
            }
            let p = c.w.random() % (pause + 1);
            c.w.sleep(p).await;
            if c.book.stop.load(SeqCst) {
                return;
            }
        }
        if done {
            c.book.programs_done.fetch_add(1, SeqCst);
        }
    }
}
