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

use super::test_adapter::header_text;

/// A route as callers know it.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    pub name: String,
    pub mode: Mode,
    pub retained: bool,
    pub retain_ms: u64,
    pub deadline_ms: u64,
}

pub const HOST: &str = "tier.example";

/// One try and what came of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// us it was sent, and ended.
    pub sent_at: u64,
    pub ended_at: u64,
    pub id: String,
    pub route: RouteSpec,
    pub front: String,
    pub method: String,
    pub target: String,
    pub input: Vec<u8>,
    pub program: String,
    pub budget: u64,
    pub max_tokens: u64,
    pub previous_turn: String,
    /// 0: no head came.
    pub status: u16,
    pub headers: HeaderMap,
    pub received: Vec<u8>,
    /// The answer came to its proper end.
    pub complete: bool,
    /// The caller gave it up itself.
    pub timed_out: bool,
}

impl Attempt {
    pub fn is_success(&self) -> bool {
        self.complete && (200..300).contains(&self.status)
    }
    pub fn is_rejected_unexecuted(&self) -> bool {
        matches!(self.status, 402 | 408 | 421 | 429 | 503)
    }
    /// The data of the events that came whole, each with a line feed behind.
    pub fn event_data(&self) -> Vec<u8> {
        let t = String::from_utf8_lossy(&self.received);
        let n = t.matches("\n\n").count();
        t.split("\n\n")
            .take(n)
            .filter_map(|e| e.lines().find_map(|l| l.strip_prefix("data: ")))
            .map(|d| format!("{d}\n"))
            .collect::<String>()
            .into()
    }
    pub fn event_count(&self) -> u64 {
        String::from_utf8_lossy(&self.received)
            .matches("\n\n")
            .count() as u64
    }
}

#[derive(Default)]
pub struct CallerRecords {
    pub attempts: Mutex<Vec<Attempt>>,
    pub stop: AtomicBool,
    next_id: AtomicUsize,
    pub programs_started: AtomicU64,
    pub programs_completed: AtomicU64,
}

/// Which fronts there are, by name and address; a platform's balancer knows no more.
pub type Fronts = Arc<dyn Fn() -> Vec<(String, SocketAddr)> + Send + Sync>;

pub struct Caller {
    pub runtime: Runtime,
    pub records: Arc<CallerRecords>,
    pub fronts: Fronts,
    connection: Option<(String, SendRequest<Full<Bytes>>)>,
}

/// What is asked for, before it has an id.
#[derive(Clone)]
pub struct RequestSpec {
    pub route: RouteSpec,
    pub method: Method,
    pub input: Vec<u8>,
    pub program: String,
    pub budget: u64,
    pub max_tokens: u64,
    pub previous_turn: String,
    pub prompt_tokens: u64,
}

impl Caller {
    pub fn new(runtime: &Runtime, book: &Arc<CallerRecords>, fronts: &Fronts) -> Caller {
        Caller {
            runtime: runtime.clone(),
            records: book.clone(),
            fronts: fronts.clone(),
            connection: None,
        }
    }

    async fn connect(&mut self) -> Option<(String, SendRequest<Full<Bytes>>)> {
        let fs = (self.fronts)();
        let (name, at) = fs.get(self.runtime.random_index(fs.len()))?.clone();
        let c = self.runtime.connect_within(at, SEC).await.ok()?;
        let (s, conn) = handshake(FuturesIo::new(c)).await.ok()?;
        self.runtime.spawn(async move {
            let _ = conn.await;
        });
        Some((name, s))
    }

    /// One try, on the connection at hand or a new one.
    pub async fn send_attempt(&mut self, x: &RequestSpec) -> Attempt {
        let kept = self
            .connection
            .take()
            .filter(|c| c.1.is_ready() && !self.runtime.random().is_multiple_of(4));
        let opened = match kept {
            Some(c) => Some(c),
            None => self.connect().await,
        };
        let attempt = format!("t{:x}", self.records.next_id.fetch_add(1, SeqCst));
        let target = format!(
            "/{}/{:x}?q={:x}",
            x.route.name,
            self.runtime.random() % 4096,
            self.runtime.random() % 256
        );
        let at = self.runtime.now();
        let front = opened.as_ref().map(|c| c.0.clone()).unwrap_or_default();
        let mut t = Attempt {
            sent_at: at,
            ended_at: at,
            id: attempt.clone(),
            route: x.route.clone(),
            front,
            method: x.method.to_string(),
            target: target.clone(),
            input: x.input.clone(),
            program: x.program.clone(),
            budget: x.budget,
            max_tokens: x.max_tokens,
            previous_turn: x.previous_turn.clone(),
            status: 0,
            headers: HeaderMap::new(),
            received: vec![],
            complete: false,
            timed_out: false,
        };
        let mut q = Request::builder()
            .method(x.method.clone())
            .uri(&target)
            .header("host", HOST)
            .header("try", &attempt);
        q = q.header("patience", x.route.deadline_ms);
        if x.route.mode == Mode::Stream {
            q = q
                .header("tokens", x.prompt_tokens)
                .header("most", x.max_tokens);
        }
        if !x.program.is_empty() {
            q = q
                .header("program", &x.program)
                .header("session", &x.program);
        }
        if x.budget > 0 && x.route.mode == Mode::Stream {
            q = q.header("budget", x.budget);
        }
        if !x.previous_turn.is_empty() {
            q = q.header("after", &x.previous_turn);
        }
        let q = q.body(Full::new(Bytes::from(x.input.clone())));
        let (Some((name, mut s)), Ok(q)) = (opened, q) else {
            self.runtime.sleep(20 * MS).await;
            t.ended_at = self.runtime.now();
            self.records.attempts.lock().unwrap().push(t.clone());
            return t;
        };
        // The front sees these while they run, so they are on the books before their end.
        let slot = {
            let mut g = self.records.attempts.lock().unwrap();
            g.push(t.clone());
            g.len() - 1
        };
        let until = at + x.route.deadline_ms * MS;
        let over = async {
            self.runtime
                .sleep(until.saturating_sub(self.runtime.now()) + 50 * MS)
                .await;
            false
        };
        let (w, book) = (self.runtime.clone(), self.records.clone());
        let heard = Mutex::new(t.clone());
        let go = async {
            let Ok(r) = s.send_request(q).await else {
                return true;
            };
            let (p, mut b) = r.into_parts();
            {
                let mut g = heard.lock().unwrap();
                (g.status, g.headers) = (p.status.as_u16(), p.headers);
            }
            loop {
                match b.frame().await {
                    Some(Ok(f)) => {
                        let d = f.into_data().unwrap_or_default();
                        let mut g = heard.lock().unwrap();
                        g.received.extend_from_slice(&d);
                        g.ended_at = w.now();
                        book.attempts.lock().unwrap()[slot] = g.clone();
                    }
                    Some(Err(_)) => return true,
                    None => {
                        heard.lock().unwrap().complete = true;
                        return true;
                    }
                }
            }
        };
        let heard_end = go.or(over).await;
        t = heard.into_inner().unwrap_or_else(|e| e.into_inner());
        t.timed_out = !heard_end;
        t.ended_at = self.runtime.now();
        if t.complete && header_text(&t.headers, "connection") != "close" {
            self.connection = Some((name, s));
        }
        self.records.attempts.lock().unwrap()[slot] = t.clone();
        t
    }

    /// Tries again where the rules allow, a few times; the last try.
    pub async fn send_with_retries(&mut self, x: &RequestSpec) -> Attempt {
        let until = self.runtime.now() + x.route.deadline_ms * MS;
        let mut n = 0;
        loop {
            let t = self.send_attempt(x).await;
            n += 1;
            let again = match t.status {
                200..300 if t.complete => false,
                400 | 401 | 402 | 404 | 413 | 431 => false,
                _ if x.route.mode == Mode::Pure => true,
                _ => t.is_rejected_unexecuted() || t.front.is_empty(),
            };
            if !again || n >= 4 || self.runtime.now() >= until {
                return t;
            }
            let back = header_text(&t.headers, "back-ms")
                .parse::<u64>()
                .unwrap_or(0)
                * MS;
            self.connection = None;
            self.runtime
                .sleep(back.min(until.saturating_sub(self.runtime.now()) / 3) + 10 * MS)
                .await;
        }
    }
}

/// Plain requests, one after the other.
pub async fn run_plain_requests(mut c: Caller, routes: Vec<RouteSpec>, pause: u64) {
    while !c.records.stop.load(SeqCst) {
        let r = routes[c.runtime.random_index(routes.len())].clone();
        let n = if c.runtime.random().is_multiple_of(3) {
            c.runtime.random() % 5000
        } else {
            0
        };
        let input: Vec<u8> = (0..n).map(|i| (i % 251) as u8).collect();
        let method = if n > 0 { Method::POST } else { Method::GET };
        let x = RequestSpec {
            route: r,
            method,
            input,
            program: String::new(),
            budget: 0,
            max_tokens: 40,
            previous_turn: String::new(),
            prompt_tokens: 10,
        };
        c.send_with_retries(&x).await;
        let p = c.runtime.random() % (pause + 1);
        c.runtime.sleep(pause / 2 + p).await;
    }
}

/// Programs: a row of turns that bring only what is new, with calls between; now and then two turns
/// go on from one.
pub async fn run_programs(mut c: Caller, turn: RouteSpec, calls: Vec<RouteSpec>, pause: u64) {
    while !c.records.stop.load(SeqCst) {
        let n = c.records.next_id.fetch_add(1, SeqCst);
        c.records.programs_started.fetch_add(1, SeqCst);
        let program = format!("p{n:x}");
        let turns = 2 + c.runtime.random() % 6;
        let most = 16 + 2 * (c.runtime.random() % 20);
        // A third of the programs cannot end within their budget.
        let budget = if c.runtime.random().is_multiple_of(3) {
            most * turns / 3
        } else {
            most * (turns + 2)
        };
        let (mut prev, mut prompt, mut done) = (String::new(), 0, true);
        for i in 0..turns {
            let size = 1 + c.runtime.random() % 2000;
            let input: Vec<u8> = format!("{program} turn {i} ")
                .bytes()
                .chain((0..size).map(|i| b'a' + (i % 26) as u8))
                .collect();
            prompt += size / 4;
            let x = RequestSpec {
                route: turn.clone(),
                method: Method::POST,
                input,
                program: program.clone(),
                budget,
                max_tokens: most,
                previous_turn: prev.clone(),
                prompt_tokens: prompt,
            };
            let mut t = c.send_with_retries(&x).await;
            for _ in 0..2 {
                if t.is_success() || matches!(t.status, 400 | 402 | 404 | 413) {
                    break;
                }
                let p = c.runtime.random() % 300;
                c.runtime.sleep((100 + p) * MS).await;
                t = c.send_with_retries(&x).await;
            }
            if !t.is_success() {
                done = t.status == 402;
                break;
            }
            // A side line that ends at once.
            if c.runtime.random().is_multiple_of(5) {
                c.send_with_retries(&RequestSpec {
                    previous_turn: t.id.clone(),
                    input: b"aside".to_vec(),
                    ..x.clone()
                })
                .await;
            }
            prev = t.id.clone();
            for _ in 0..c.runtime.random() % 3 {
                let r = calls[c.runtime.random_index(calls.len())].clone();
                let y = RequestSpec {
                    route: r,
                    method: Method::POST,
                    input: b"call".to_vec(),
                    previous_turn: String::new(),
                    ..x.clone()
                };
                c.send_with_retries(&y).await;
            }
            let p = c.runtime.random() % (pause + 1);
            c.runtime.sleep(p).await;
            if c.records.stop.load(SeqCst) {
                return;
            }
        }
        if done {
            c.records.programs_completed.fetch_add(1, SeqCst);
        }
    }
}
