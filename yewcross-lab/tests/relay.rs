//! Routed requests through one front, against servers that misbehave: what each rule asks, counted by runs per try.

use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross::ask::{List, Listed};
use yewcross::book::Book;
use yewcross::chain::{Chains, OpenTurn, OpenedTurn, Refusal, Turn};
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::port::{AnswerMeta, BackEnd, Caller, RequestMeta};
use yewcross::reg::Epoch;
use yewcross::route::Limits;
use yewcross::world::*;
use yewcross_front::relay::Relay;
use yewcross_lab::sim::Sim;

struct Ports;

fn text<'a>(h: &'a HeaderMap, n: &str) -> &'a str {
    h.get(n).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

impl Caller for Ports {
    fn request(&self, h: &HeaderMap) -> Result<RequestMeta, String> {
        let num = |n: &str| text(h, n).parse().ok();
        let attempt = text(h, "try").to_string();
        if attempt.is_empty() {
            return Err("try".into());
        }
        Ok(RequestMeta {
            attempt,
            deadline_ms: num("patience"),
            program: text(h, "program").into(),
            budget: num("budget"),
            max_output_tokens: num("most").unwrap_or(0),
            prompt_tokens: num("tokens").unwrap_or(0),
            prev: text(h, "after").into(),
            ..Default::default()
        })
    }
    fn refuse(&self, c: Code, _: &str, back: u64) -> Response<Bytes> {
        Response::builder().status(c.http()).header("back-ms", back).body(Bytes::new()).unwrap()
    }
}

impl BackEnd for Ports {
    fn dress(&self, h: &mut HeaderMap, to: &Listed, left: u64, urgency: Option<u8>) {
        h.insert("for", to.server.parse().unwrap());
        h.insert("patience", left.into());
        urgency.into_iter().for_each(|u| {
            h.insert("urgency", u16::from(u).into());
        });
    }
    fn answer(&self, status: u16, h: &HeaderMap) -> AnswerMeta {
        AnswerMeta {
            attempt: text(h, "try").into(),
            stamped: h.contains_key("stamp"),
            not_run: h.contains_key("unrun") || status == 421,
            load: None,
            idle_ms: text(h, "idle-ms").parse().ok(),
            closes: text(h, "connection") == "close",
            weights: String::new(),
        }
    }
}

/// What a server does with the next request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Good,
    /// It runs, and the connection closes without a word.
    Lose,
    /// It runs and says nothing.
    Silent,
    /// It runs and the answer is cut in its middle.
    Half,
    /// It says that it did not run.
    NotRun(u16),
    /// It runs, and answers with this status.
    Fails(u16),
    NoStamp,
    /// It runs and answers for another try.
    OtherTry,
    /// It runs and sends what is no answer.
    Garble,
    /// A good answer with bytes behind it that belong to nothing.
    Surplus,
    /// A good answer, another whole answer behind it a little later.
    Late,
    /// A good answer; the connection closes soon after.
    ThenClose,
    /// A body whose end is told by nothing.
    Endless,
    /// A body whose end is told by nothing, under a transfer coding that tells no end either.
    OtherCoding,
    /// A good answer with a coded body, which no caller asked for.
    Encoded,
    /// A good answer of HTTP/1.0.
    OldVersion,
    /// A row of events with its length told in the head.
    Counted,
    /// It says only after a while that it did not run it.
    SlowNotRun(u64),
    /// A good answer, and the very same once more behind it.
    Again,
    /// So many events, and then it breaks off.
    Break(usize),
    /// Events without end.
    Forever,
    Slow(u64),
}

#[derive(Clone, Debug)]
struct Run {
    server: String,
    attempt: String,
    target: String,
    body: Vec<u8>,
    heads: BTreeMap<String, String>,
}

#[derive(Default)]
struct Floor {
    acts: Mutex<BTreeMap<String, VecDeque<Act>>>,
    runs: Mutex<Vec<Run>>,
    /// Requests that reached a server, run or not.
    seen: AtomicUsize,
    conns: AtomicUsize,
    /// us of the world's clock when a server saw its caller go in the middle of a stream.
    gone: Mutex<Vec<u64>>,
    /// The acts of servers that are told nothing.
    other: Mutex<Option<Act>>,
}

async fn head(c: &mut Conn, buf: &mut Vec<u8>) -> Option<(String, BTreeMap<String, String>)> {
    loop {
        if let Some(i) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let t = String::from_utf8(buf[..i].to_vec()).unwrap();
            buf.drain(..i + 4);
            let mut ls = t.split("\r\n");
            let first = ls.next().unwrap().to_string();
            return Some((first, ls.map(|l| l.split_once(": ").unwrap()).map(|(a, b)| (a.to_string(), b.to_string())).collect()));
        }
        let mut b = [0; 4096];
        let n = c.read(&mut b).await.ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&b[..n]);
    }
}

async fn serve_one(w: World, mut c: Conn, id: String, f: Arc<Floor>) {
    f.conns.fetch_add(1, SeqCst);
    let mut buf = vec![];
    while let Some((first, heads)) = head(&mut c, &mut buf).await {
        let len: usize = heads.get("content-length").map_or(0, |v| v.parse().unwrap());
        while buf.len() < len {
            let mut b = [0; 4096];
            match c.read(&mut b).await {
                Ok(n) if n > 0 => buf.extend_from_slice(&b[..n]),
                _ => return,
            }
        }
        let body: Vec<u8> = buf.drain(..len).collect();
        f.seen.fetch_add(1, SeqCst);
        let a = heads.get("try").cloned().unwrap_or_default();
        let told = f.acts.lock().unwrap().get_mut(&id).and_then(|v| v.pop_front());
        let act = told.or(*f.other.lock().unwrap()).unwrap_or(Act::Good);
        let act = if heads.get("for").is_some_and(|x| *x != id) { Act::NotRun(421) } else { act };
        if !matches!(act, Act::NotRun(_) | Act::SlowNotRun(_)) {
            let mut w2 = first.split(' ');
            let target = w2.nth(1).unwrap().to_string();
            f.runs.lock().unwrap().push(Run { server: id.clone(), attempt: a.clone(), target, body: body.clone(), heads });
        }
        let say = |status: u16, a: &str, more: &str, body: &str| {
            format!("HTTP/1.1 {status} X\r\ntry: {a}\r\n{more}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
        };
        let event = |i: usize| {
            let e = format!("id: {i}\ndata: {a}-{i}\n\n");
            format!("{:x}\r\n{e}\r\n", e.len()).into_bytes()
        };
        let top =
            format!("HTTP/1.1 200 X\r\ntry: {a}\r\nstamp: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
        let good = say(200, &a, "stamp: 1\r\n", "good");
        let (out, close) = match act {
            Act::Good if first.contains("/stream/") => {
                let _ = c.write_all(top.as_bytes()).await;
                for i in 0..4 {
                    let _ = c.write_all(&event(i)).await;
                    w.sleep(20 * MS).await;
                }
                (b"0\r\n\r\n".to_vec(), false)
            }
            Act::Good => (good, false),
            Act::Lose => (vec![], true),
            Act::Silent => {
                let mut b = [0; 64];
                let _ = c.read(&mut b).await;
                f.gone.lock().unwrap().push(w.now());
                return;
            }
            Act::Half => (good[..good.len() - 2].to_vec(), true),
            Act::NotRun(s) => (say(s, &a, "unrun: 1\r\n", ""), false),
            Act::Fails(s) => (say(s, &a, "", "mine"), false),
            Act::NoStamp => (say(200, &a, "", "good"), false),
            Act::OtherTry => (say(200, "another", "stamp: 1\r\n", "other"), false),
            Act::Garble => (b"\x00\x01garbage, no answer\r\n\r\n".to_vec(), true),
            Act::Surplus => ([good, b"surplus".to_vec()].concat(), false),
            Act::Late => {
                let _ = c.write_all(&good).await;
                w.sleep(30 * MS).await;
                (say(200, "stale", "stamp: 1\r\n", "stale"), false)
            }
            Act::ThenClose => {
                let _ = c.write_all(&good).await;
                w.sleep(30 * MS).await;
                (vec![], true)
            }
            Act::Endless => (format!("HTTP/1.1 200 X\r\ntry: {a}\r\nstamp: 1\r\n\r\ngood").into_bytes(), true),
            Act::OtherCoding => {
                (format!("HTTP/1.1 200 X\r\ntry: {a}\r\nstamp: 1\r\ntransfer-encoding: identity\r\n\r\ngo").into_bytes(), true)
            }
            Act::Encoded => (say(200, &a, "stamp: 1\r\ncontent-encoding: br\r\n", "good"), false),
            Act::OldVersion => (String::from_utf8(good).unwrap().replace("HTTP/1.1", "HTTP/1.0").into_bytes(), true),
            Act::Counted => {
                let b: String = (0..4).map(|i| format!("id: {i}\ndata: {a}-{i}\n\n")).collect();
                (say(200, &a, "stamp: 1\r\ncontent-type: text/event-stream\r\n", &b), false)
            }
            Act::SlowNotRun(us) => {
                w.sleep(us).await;
                (say(503, &a, "unrun: 1\r\n", ""), false)
            }
            Act::Again => ([good.clone(), good].concat(), false),
            Act::Break(n) => {
                let _ = c.write_all(top.as_bytes()).await;
                for i in 0..n {
                    let _ = c.write_all(&event(i)).await;
                    w.sleep(20 * MS).await;
                }
                (vec![], true)
            }
            Act::Forever => {
                let _ = c.write_all(top.as_bytes()).await;
                let mut i = 0;
                while c.write_all(&event(i)).await.is_ok() {
                    w.sleep(20 * MS).await;
                    i += 1;
                }
                f.gone.lock().unwrap().push(w.now());
                return;
            }
            Act::Slow(us) => {
                w.sleep(us).await;
                (good, false)
            }
        };
        if c.write_all(&out).await.is_err() || close {
            return;
        }
    }
}

#[derive(Default)]
struct Memory {
    turns: Mutex<BTreeMap<String, Arc<Turn>>>,
    settled: Mutex<Vec<(String, u64)>>,
    opened: AtomicUsize,
    finish_fails: Mutex<bool>,
    refuses: Mutex<Option<Refusal>>,
    /// What happens while a turn is opened.
    on_open: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

impl Chains for Memory {
    fn open(&self, o: OpenTurn, _: u64) -> Fut<'_, Result<OpenedTurn, Refusal>> {
        Box::pin(async move {
            if let Some(r) = *self.refuses.lock().unwrap() {
                return Err(r);
            }
            self.opened.fetch_add(1, SeqCst);
            if let Some(f) = self.on_open.lock().unwrap().take() {
                f();
            }
            let (g, mut chain, mut at) = (self.turns.lock().unwrap(), vec![], o.prev.clone());
            while !at.is_empty() {
                let t = g.get(&at).ok_or(Refusal::Unknown)?;
                chain.insert(0, t.clone());
                at = t.prev.clone();
            }
            Ok(OpenedTurn { chain })
        })
    }
    fn finish(&self, _: OpenTurn, t: Turn, used: u64, _: u64) -> Fut<'_, Result<(), Refusal>> {
        Box::pin(async move {
            if *self.finish_fails.lock().unwrap() {
                return Err(Refusal::Away);
            }
            self.settled.lock().unwrap().push((format!("kept {}", t.id), used));
            self.turns.lock().unwrap().insert(t.id.clone(), Arc::new(t));
            Ok(())
        })
    }
    fn settle(&self, o: OpenTurn, used: u64) {
        self.settled.lock().unwrap().push((o.turn, used));
    }
}

#[derive(Clone)]
struct Rig {
    sim: Sim,
    relay: Arc<Relay>,
    floor: Arc<Floor>,
    memory: Arc<Memory>,
    gate: Arc<yewcross::web::Gate>,
    door: SocketAddr,
    machines: Vec<usize>,
    worlds: Arc<Mutex<Vec<World>>>,
}

#[derive(Debug, Default)]
struct Heard {
    status: u16,
    heads: BTreeMap<String, String>,
    body: String,
    whole: bool,
    /// us of the world's clock when each piece came.
    at: Vec<u64>,
    took: u64,
}

fn config(routes: Value) -> Vec<u8> {
    let t = json!({"routing": {"routes": routes, "upstreams": [{"name": "a"}, {"name": "b"},
        {"name": "model", "engine": {"slots": 4, "cache_tokens": 100_000, "token_bytes": 1, "tokens_per_event": 2}}], "limits":
        {"head_bytes": 8192, "body_bytes": 10_000, "head_ms": 1000, "idle_ms": 5000}}});
    serde_json::to_vec(&json!({"text": t.to_string(), "put": "", "note": "", "past": []})).unwrap()
}

fn route(name: &str, mode: &str, to: &str, tries: u32) -> Value {
    json!({"name": name, "host": "h.example", "prefix": format!("/{name}/"), "mode": mode, "variants": [[to, 1]], "timeout_ms": 3000,
        "target_ms": 200, "max_tries": tries, "retained": name.starts_with("kept"), "retain_ms": 60_000})
}

fn routes() -> Value {
    json!([
        route("pure", "pure", "a", 3),
        route("once", "effectful", "a", 3),
        route("stream", "stream", "model", 2),
        route("kept/stream", "stream", "model", 2),
        route("other", "pure", "b", 1)
    ])
}

impl Rig {
    fn new(seed: u64, servers: usize) -> Rig {
        let sim = Sim::new(seed, 1_000);
        let fm = sim.machine("front", "z", "10.0.0.1".parse().unwrap());
        let w = sim.boot(fm);
        let floor: Arc<Floor> = Default::default();
        let memory: Arc<Memory> = Default::default();
        let book = Book::new(&w);
        let relay = Arc::new(Relay {
            w: w.clone(),
            book,
            site: "z".into(),
            caller: Arc::new(Ports),
            back: Arc::new(Ports),
            chains: Some(memory.clone()),
            fronts: AtomicUsize::new(1),
            pool: Default::default(),
            balance: Default::default(),
            counts: Default::default(),
        });
        let door: SocketAddr = "10.0.0.1:80".parse().unwrap();
        let gate: Arc<yewcross::web::Gate> = Default::default();
        let mut rig = Rig {
            sim: sim.clone(),
            relay: relay.clone(),
            floor,
            memory,
            gate: gate.clone(),
            door,
            machines: vec![],
            worlds: Default::default(),
        };
        let (w2, b) = (w.clone(), relay.book.clone());
        w.go(async move {
            let d = w2.bind(door).await.unwrap();
            let h: yewcross::web::Handler = Arc::new(move |q, _| Box::pin(relay.clone().serve(q)));
            let limits: Arc<dyn Fn() -> Limits + Send + Sync> = Arc::new(move || b.config.load().1.routing.limits.clone());
            yewcross::web::serve(w2, d, h, limits, gate).await;
        });
        rig.configure(1, routes());
        (0..servers).for_each(|i| rig.server(i));
        rig.list(1, &(0..servers).map(|i| rig.listed(i, "a")).chain((0..servers).map(|i| rig.listed(i, "model"))).collect::<Vec<_>>());
        rig
    }

    fn configure(&self, seq: u64, routes: Value) {
        assert!(self.relay.book.adopt("config", seq, Epoch::default(), config(routes)));
    }

    fn list(&self, seq: u64, v: &[Listed]) {
        let l = List { rev: seq, term: 0, servers: v.to_vec() };
        assert!(self.relay.book.adopt("list", seq, Epoch::default(), serde_json::to_vec(&l).unwrap()));
    }

    /// One machine carries a server of service `a` at port 1 and one of `model` at port 2.
    fn listed(&self, i: usize, service: &str) -> Listed {
        let port = if service == "model" { 2 } else { 1 };
        Listed {
            server: format!("{service}{i}"),
            service: service.into(),
            addr: SocketAddr::new(std::net::IpAddr::from([10, 0, 1, i as u8]), port),
            site: "z".into(),
            leaving: false,
        }
    }

    fn server(&mut self, i: usize) {
        let m = self.sim.machine(&format!("s{i}"), "z", [10, 0, 1, i as u8].into());
        self.machines.push(m);
        self.worlds.lock().unwrap().push(self.sim.boot(m));
        ["a", "model"].iter().for_each(|s| self.stand(i, &self.listed(i, s)));
    }

    fn stand(&self, i: usize, l: &Listed) {
        if !self.sim.up(self.machines[i]) {
            self.worlds.lock().unwrap()[i] = self.sim.boot(self.machines[i]);
        }
        let w = self.worlds.lock().unwrap()[i].clone();
        let (f, id, at) = (self.floor.clone(), l.server.clone(), l.addr);
        w.clone().go(async move {
            let d = w.bind(at).await.unwrap();
            while let Ok(c) = d.accept().await {
                w.go(serve_one(w.clone(), c, id.clone(), f.clone()));
            }
        });
    }

    fn act(&self, server: &str, acts: &[Act]) {
        self.floor.acts.lock().unwrap().entry(server.into()).or_default().extend(acts);
    }

    fn all(&self, a: Act) {
        *self.floor.other.lock().unwrap() = Some(a);
    }

    fn runs(&self, attempt: &str) -> Vec<Run> {
        self.floor.runs.lock().unwrap().iter().filter(|r| r.attempt == attempt).cloned().collect()
    }

    /// Runs a caller on a machine of its own to its end.
    fn with<T: Send + 'static>(&self, f: impl FnOnce(Rig, World) -> Fut<'static, T>) -> T {
        let n = self.sim.rand() as u16;
        let m = self.sim.machine(&format!("caller{n}"), "z", [10, 1, (n >> 8) as u8, n as u8].into());
        let w = self.sim.boot(m);
        let out: Arc<Mutex<Option<T>>> = Default::default();
        let (o, fut) = (out.clone(), f(self.clone(), w.clone()));
        w.go(async move {
            let x = fut.await;
            *o.lock().unwrap() = Some(x);
        });
        self.sim.run(self.sim.now() + 60 * SEC, || out.lock().unwrap().is_some());
        out.lock().unwrap().take().expect("the caller came to its end")
    }

    fn ask(&self, attempt: &str, path: &str, heads: &[(&str, &str)], body: &str) -> Heard {
        let (a, p, b) = (attempt.to_string(), path.to_string(), body.to_string());
        let hs: Vec<(String, String)> = heads.iter().map(|h| (h.0.to_string(), h.1.to_string())).collect();
        self.with(move |r, w| Box::pin(async move { call(&w, r.door, &a, &p, &hs, &b).await }))
    }

    fn rest(&self, us: u64) {
        self.sim.run(self.sim.now() + us, || false);
    }
}

async fn call(w: &World, to: SocketAddr, attempt: &str, path: &str, heads: &[(String, String)], body: &str) -> Heard {
    let c = w.connect(to).await.unwrap();
    let (mut s, conn) = hyper::client::conn::http1::handshake(smol_hyper::rt::FuturesIo::new(c)).await.unwrap();
    w.go(async move {
        let _ = conn.await;
    });
    let mut q = Request::builder().method("POST").uri(path).header("host", "h.example").header("try", attempt);
    for (k, v) in heads {
        q = q.header(k, v);
    }
    let t0 = w.now();
    let Ok(r) = s.send_request(q.body(Full::new(Bytes::from(body.to_string()))).unwrap()).await else { return Heard::default() };
    let heads = r.headers().iter().map(|(k, v)| (k.to_string(), v.to_str().unwrap().to_string())).collect();
    let mut h = Heard { status: r.status().as_u16(), heads, whole: true, ..Heard::default() };
    let mut b = r.into_body();
    while let Some(f) = b.frame().await {
        match f {
            Ok(f) => {
                h.at.push(w.now());
                h.body += std::str::from_utf8(&f.into_data().unwrap()).unwrap();
            }
            Err(_) => h.whole = false,
        }
    }
    h.took = w.now() - t0;
    h
}

#[test]
fn a_good_answer_passes_unchanged_with_its_headers() {
    let rig = Rig::new(1, 2);
    let heads = [("x-own", "kept"), ("connection", "x-hop"), ("x-hop", "gone"), ("te", "trailers"), ("accept-encoding", "identity")];
    let h = rig.ask("t1", "/once/x?q=1", &heads, "hello");
    assert_eq!((h.status, h.body.as_str(), h.whole), (200, "good", true));
    assert_eq!((h.heads["stamp"].as_str(), h.heads["try"].as_str()), ("1", "t1"));
    let runs = rig.runs("t1");
    assert_eq!((runs.len(), runs[0].body.as_slice(), runs[0].target.as_str()), (1, &b"hello"[..], "/once/x?q=1"));
    let r = &runs[0].heads;
    assert_eq!((r["x-own"].as_str(), r["accept-encoding"].as_str(), r["for"].as_str()), ("kept", "identity", runs[0].server.as_str()));
    assert_eq!(r["host"], "h.example");
    assert!(!r.contains_key("x-hop") && !r.contains_key("te") && !r.contains_key("connection"), "{r:?}");
    assert!(r["patience"].parse::<u64>().unwrap() <= 3000);
}

#[test]
fn targets_pass_byte_for_byte_or_are_refused() {
    let rig = Rig::new(2, 1);
    let targets = [
        "/pure//a/../%2e",
        "/pure/é",
        "/pure/'\"",
        "/pure/a?b=c?d&e='",
        "/pure/%C3%A9/;x=1,2",
        "/pure/?",
        "/pure/a//",
        "/pure/{x}|^`\\",
        "/pure/a#frag",
        "/pure/<x>",
        "http://h.example/pure/x",
    ];
    for (i, t) in targets.iter().enumerate() {
        let (id, t2) = (format!("t{i}"), t.to_string());
        let said = {
            let id = id.clone();
            rig.with(move |r, w| {
                Box::pin(async move {
                    let mut c = w.connect(r.door).await.unwrap();
                    let q = format!("GET {t2} HTTP/1.1\r\nhost: h.example\r\ntry: {id}\r\nconnection: close\r\n\r\n");
                    c.write_all(q.as_bytes()).await.unwrap();
                    let mut v = vec![];
                    let _ = c.read_to_end(&mut v).await;
                    String::from_utf8(v).unwrap()
                })
            })
        };
        match rig.runs(&id).as_slice() {
            [] => assert!(said.starts_with("HTTP/1.1 400"), "{t}: {said}"),
            [r] => assert!(r.target == *t && said.starts_with("HTTP/1.1 200"), "{t}: {} {said}", r.target),
            v => panic!("{t}: ran {} times", v.len()),
        }
    }
    let ran = rig.floor.runs.lock().unwrap().len();
    assert!(ran >= 7, "{ran} of the targets passed");
}

#[test]
fn what_may_have_run_is_never_sent_again() {
    for (i, act) in [Act::Lose, Act::Half, Act::Garble, Act::OtherTry, Act::NoStamp, Act::Fails(503), Act::Fails(429), Act::Endless]
        .into_iter()
        .enumerate()
    {
        let rig = Rig::new(10 + i as u64, 3);
        rig.all(act);
        let h = rig.ask("t", "/once/x", &[], "b");
        assert_eq!((h.status, h.whole), (502, true), "{act:?}");
        assert_eq!(rig.runs("t").len(), 1, "{act:?}");
        assert_eq!(rig.floor.seen.load(SeqCst), 1, "{act:?}");
    }
}

#[test]
fn a_failure_of_the_server_is_passed_on() {
    let rig = Rig::new(20, 2);
    rig.all(Act::Fails(500));
    let h = rig.ask("t", "/once/x", &[], "b");
    assert_eq!((h.status, h.body.as_str(), rig.runs("t").len()), (500, "mine", 1));
}

#[test]
fn what_was_not_run_goes_to_another_server_within_max_tries() {
    for code in [503, 429, 421] {
        let rig = Rig::new(21, 4);
        (0..4).for_each(|i| rig.act(&format!("a{i}"), &[Act::NotRun(code)]));
        let h = rig.ask("t", "/once/x", &[], "b");
        assert_eq!((h.status, rig.runs("t").len(), rig.floor.seen.load(SeqCst)), (503, 0, 3));
        assert!(h.heads["back-ms"].parse::<u64>().unwrap() > 0);
        let rig = Rig::new(22, 4);
        (0..3).for_each(|i| rig.act(&format!("a{i}"), &[Act::NotRun(code)]));
        rig.act("a3", &[Act::Good]);
        let h = rig.ask("t", "/pure/x", &[], "b");
        assert!(matches!((h.status, rig.runs("t").len()), (200, 1) | (503, 0)), "{h:?}");
    }
}

#[test]
fn a_pure_request_is_sent_to_another_server_after_a_loss() {
    for (i, act) in [Act::Lose, Act::Half, Act::Garble, Act::OtherTry, Act::NoStamp, Act::Fails(500), Act::Endless].into_iter().enumerate()
    {
        let rig = Rig::new(30 + i as u64, 3);
        rig.act("a0", &[act]);
        rig.act("a1", &[act]);
        let h = rig.ask("t", "/pure/x", &[], "b");
        assert_eq!((h.status, h.body.as_str()), (200, "good"), "{act:?}");
        assert!((1..=3).contains(&rig.runs("t").len()), "{act:?}");
    }
}

#[test]
fn a_pure_request_leaves_a_silent_server_and_an_effectful_one_waits() {
    let rig = Rig::new(40, 2);
    rig.act("a0", &[Act::Silent]);
    rig.act("a1", &[Act::Silent]);
    let h = rig.ask("p", "/pure/x", &[("patience", "1000")], "b");
    assert_eq!((h.status, rig.runs("p").len()), (504, 2), "both are silent: {h:?}");
    let rig = Rig::new(41, 2);
    rig.act("a0", &[Act::Silent]);
    // At first a0 is the only one.
    rig.list(2, &[rig.listed(0, "a")]);
    let h = rig.with(|r, w| {
        Box::pin(async move {
            let (r2, w2) = (r.clone(), w.clone());
            let one = w.fan(vec![Box::pin(async move { call(&w2, r2.door, "p", "/pure/x", &[], "").await }) as Fut<'static, Heard>]);
            w.sleep(50 * MS).await;
            r.list(3, &[r.listed(0, "a"), r.listed(1, "a")]);
            one.recv().await.unwrap()
        })
    });
    let by: Vec<String> = rig.runs("p").iter().map(|r| r.server.clone()).collect();
    assert_eq!((h.status, by), (200, vec!["a0".to_string(), "a1".to_string()]));
    assert!(h.took < 200 * MS, "{}", h.took);
    // The silent one is left alone.
    (0..6).for_each(|i| assert_eq!(rig.ask(&format!("q{i}"), "/pure/x", &[], "b").status, 200));
    assert!(rig.floor.runs.lock().unwrap().iter().filter(|r| r.server == "a0").count() <= 2);
    let rig = Rig::new(42, 2);
    rig.all(Act::Silent);
    let h = rig.ask("e", "/once/x", &[("patience", "700")], "b");
    assert_eq!((h.status, rig.runs("e").len()), (504, 1));
    assert!((690 * MS..760 * MS).contains(&h.took), "{}", h.took);
}

#[test]
fn a_slow_answer_is_waited_for_to_the_deadline() {
    let rig = Rig::new(43, 1);
    rig.all(Act::Slow(2_500 * MS));
    let h = rig.ask("e", "/once/x", &[], "b");
    assert_eq!((h.status, h.body.as_str(), rig.runs("e").len()), (200, "good", 1));
}

#[test]
fn surplus_bytes_reach_nobody() {
    for (i, act) in [Act::Surplus, Act::Late, Act::ThenClose, Act::Again].into_iter().enumerate() {
        let rig = Rig::new(50 + i as u64, 1);
        rig.act("a0", &[act]);
        let h = rig.ask("one", "/once/x", &[], "b");
        assert_eq!((h.status, h.body.as_str()), (200, "good"), "{act:?}");
        rig.rest(100 * MS);
        let h = rig.ask("two", "/once/x", &[], "b");
        assert_eq!((h.status, h.body.as_str(), h.heads["try"].as_str()), (200, "good", "two"), "{act:?}");
        assert_eq!((rig.runs("one").len(), rig.runs("two").len(), rig.floor.conns.load(SeqCst)), (1, 1, 2), "{act:?}");
    }
}

#[test]
fn connections_are_used_again_until_they_are_old() {
    let rig = Rig::new(60, 1);
    (0..5).for_each(|i| assert_eq!(rig.ask(&format!("t{i}"), "/once/x", &[], "b").status, 200));
    assert_eq!(rig.floor.conns.load(SeqCst), 1);
    rig.rest(LINK_IDLE);
    assert_eq!(rig.ask("late", "/once/x", &[], "b").status, 200);
    assert_eq!(rig.floor.conns.load(SeqCst), 2);
}

#[test]
fn a_server_that_refuses_connections_costs_no_run() {
    let rig = Rig::new(61, 3);
    rig.sim.kill(rig.machines[0], false);
    rig.sim.kill(rig.machines[1], true);
    (0..8).for_each(|i| {
        let t = format!("t{i}");
        assert_eq!(rig.ask(&t, "/once/x", &[], "b").status, 200, "{t}");
        assert_eq!(rig.runs(&t).len(), 1);
    });
}

#[test]
fn another_server_at_the_address_does_not_run_it() {
    let rig = Rig::new(62, 2);
    assert_eq!(rig.ask("t", "/pure/x", &[], "b").status, 200);
    // The list still names a0 and a1, but other lives stand at their places.
    rig.sim.kill(rig.machines[0], false);
    rig.stand(0, &Listed { server: "b9".into(), ..rig.listed(0, "a") });
    (0..4).for_each(|i| {
        let h = rig.ask(&format!("t{i}"), "/once/x", &[], "b");
        assert_eq!(h.status, 200);
    });
    assert!(rig.floor.runs.lock().unwrap().iter().all(|r| r.server != "b9"));
}

#[test]
fn a_leaving_mark_counts_at_once() {
    let rig = Rig::new(63, 2);
    let mut gone = rig.listed(0, "a");
    gone.leaving = true;
    rig.list(2, &[gone, rig.listed(1, "a")]);
    (0..6).for_each(|i| assert_eq!(rig.ask(&format!("t{i}"), "/pure/x", &[], "b").status, 200));
    assert!(rig.floor.runs.lock().unwrap().iter().all(|r| r.server == "a1"));
    rig.list(3, &[]);
    let h = rig.ask("none", "/once/x", &[], "b");
    assert_eq!((h.status, rig.runs("none").len()), (503, 0));
}

#[test]
fn the_newest_configuration_decides() {
    let rig = Rig::new(64, 2);
    assert_eq!(rig.ask("t", "/never/x", &[], "b").status, 404);
    assert_eq!(rig.ask("t0", "/pure/x", &[], "b").status, 200);
    rig.configure(2, json!([route("never", "pure", "a", 1)]));
    assert_eq!((rig.ask("t1", "/never/x", &[], "b").status, rig.ask("t2", "/pure/x", &[], "b").status), (200, 404));
    // Held in line while the route moves: it goes where the new version says, or nowhere.
    let rig = Rig::new(65, 1);
    assert_eq!(rig.ask("b", "/other/x", &[], "b").status, 503, "service b has no server");
}

#[test]
fn a_front_that_has_just_begun_waits_for_its_first_news() {
    let rig = Rig::new(68, 1);
    // A relay of its own that knows nothing yet.
    let h = rig.with(|r, w| {
        Box::pin(async move {
            let old = r.relay.book.page("list");
            let book = Book::new(&w);
            let fresh = Relay {
                w: w.clone(),
                book: book.clone(),
                site: "z".into(),
                caller: Arc::new(Ports),
                back: Arc::new(Ports),
                chains: None,
                fronts: AtomicUsize::new(1),
                pool: Default::default(),
                balance: Default::default(),
                counts: Default::default(),
            };
            let (fresh, w2) = (Arc::new(fresh), w.clone());
            let own: SocketAddr = "10.9.9.9:81".parse().unwrap();
            let me = r.sim.machine("young", "z", own.ip());
            let wd = r.sim.boot(me);
            let d = wd.bind(own).await.unwrap();
            let h: yewcross::web::Handler = Arc::new(move |q, _| Box::pin(fresh.clone().serve(q)));
            w2.go(yewcross::web::serve(w2.clone(), d, h, Arc::new(Limits::default), Default::default()));
            let ask = |id: &'static str| {
                let w = w.clone();
                w.clone().fan(vec![Box::pin(async move { call(&w, own, id, "/once/x", &[], "").await }) as Fut<'static, Heard>])
            };
            let one = ask("early");
            w.sleep(100 * MS).await;
            book.adopt("config", 1, Epoch::default(), config(routes()));
            w.sleep(100 * MS).await;
            book.adopt("list", 1, Epoch::default(), old.raw.to_vec());
            one.recv().await.unwrap()
        })
    });
    assert_eq!((h.status, rig.runs("early").len()), (200, 1));
    assert!((200 * MS..220 * MS).contains(&h.took), "{}", h.took);
}

#[test]
fn bad_requests_are_refused_without_a_run() {
    let rig = Rig::new(66, 1);
    let big = "x".repeat(10_001);
    assert_eq!(rig.ask("t", "/pure/x", &[], &big).status, 413);
    assert_eq!(rig.ask("t", "/pure/x", &[], &big[..10_000]).status, 200);
    assert_eq!(rig.ask("", "/pure/x", &[], "").status, 400);
    let h = "y".repeat(9_000);
    assert_eq!(rig.ask("u", "/pure/x", &[("long", &h)], "").status, 431);
    assert_eq!((rig.runs("").len(), rig.runs("u").len(), rig.runs("t").len()), (0, 0, 1));
}

#[test]
fn a_head_that_never_ends_is_cut_off_and_an_idle_connection_later() {
    let rig = Rig::new(67, 1);
    let until = |say: &'static [u8]| {
        rig.with(move |r, w| {
            Box::pin(async move {
                let mut c = w.connect(r.door).await.unwrap();
                let t0 = w.now();
                c.write_all(say).await.unwrap();
                let mut v = vec![];
                let _ = c.read_to_end(&mut v).await;
                (w.now() - t0) / MS
            })
        })
    };
    let (slow, idle) = (until(b"GET / HTTP/1.1\r\nhost:"), until(b""));
    assert!((1_000..1_100).contains(&slow) && (5_000..5_100).contains(&idle), "{slow} {idle}");
}

#[test]
fn an_answer_whose_end_cannot_be_told_is_none() {
    let rig = Rig::new(92, 1);
    rig.all(Act::OtherCoding);
    let h = rig.ask("t", "/once/x", &[], "b");
    assert_eq!((h.status, rig.runs("t").len()), (502, 1), "{h:?}");
}

#[test]
fn an_encoded_answer_passes_only_to_who_asked_for_it() {
    let rig = Rig::new(93, 1);
    rig.all(Act::Encoded);
    let h = rig.ask("t1", "/once/x", &[], "b");
    assert_eq!((h.status, rig.runs("t1").len()), (502, 1), "{h:?}");
    let h = rig.ask("t2", "/once/x", &[("accept-encoding", "gzip, br;q=0.5")], "b");
    assert_eq!((h.status, h.heads["content-encoding"].as_str()), (200, "br"));
}

#[test]
fn an_answer_of_an_old_version_goes_out_as_ours() {
    let rig = Rig::new(94, 1);
    rig.all(Act::OldVersion);
    let said = rig.with(move |r, w| {
        Box::pin(async move {
            let mut c = w.connect(r.door).await.unwrap();
            let q = "GET /once/x HTTP/1.1\r\nhost: h.example\r\ntry: t\r\nconnection: close\r\n\r\n";
            c.write_all(q.as_bytes()).await.unwrap();
            let mut v = vec![];
            let _ = c.read_to_end(&mut v).await;
            String::from_utf8(v).unwrap()
        })
    });
    assert!(said.starts_with("HTTP/1.1 200") && said.ends_with("good"), "{said}");
}

/// A caller takes an answer for whole once all the bytes that its head names are there, so the head may name none
/// where the end waits for the turn to be kept.
#[test]
fn a_turn_of_known_length_does_not_look_complete_before_it_is_kept() {
    let rig = Rig::new(95, 1);
    rig.all(Act::Counted);
    *rig.memory.finish_fails.lock().unwrap() = true;
    let h = rig.ask("t1", "/kept/stream/x", &[], "in");
    // Head and body may go out at once: then the connection ends without either.
    assert!(!h.whole && matches!(h.status, 0 | 200), "{h:?}");
    *rig.memory.finish_fails.lock().unwrap() = false;
    let h = rig.ask("t2", "/kept/stream/x", &[], "in");
    assert_eq!((h.status, h.whole), (200, true), "{h:?}");
    assert!(rig.memory.turns.lock().unwrap().contains_key("t2"));
}

/// Tokens are counted as the service counts them that ran the turn, also where its route has moved since it was opened.
#[test]
fn a_turn_is_settled_by_the_service_that_ran_it() {
    let rig = Rig::new(96, 1);
    let config = |to: &str| {
        let engine = |each: u64| json!({"slots": 4, "cache_tokens": 100_000, "token_bytes": 1, "tokens_per_event": each});
        let t = json!({"routing": {"routes": [route("kept/stream", "stream", to, 2)], "upstreams": [
            {"name": "a", "engine": engine(1)}, {"name": "model", "engine": engine(5)}]}});
        serde_json::to_vec(&json!({"text": t.to_string(), "put": "", "note": "", "past": []})).unwrap()
    };
    assert!(rig.relay.book.adopt("config", 2, Epoch::default(), config("a")));
    let (book, moved) = (rig.relay.book.clone(), config("model"));
    *rig.memory.on_open.lock().unwrap() = Some(Box::new(move || assert!(book.adopt("config", 3, Epoch::default(), moved))));
    let h = rig.ask("t1", "/kept/stream/x", &[("program", "p"), ("budget", "500"), ("most", "50")], "in");
    assert_eq!((h.status, h.whole, rig.runs("t1")[0].server.as_str()), (200, true, "model0"), "{h:?}");
    assert_eq!(*rig.memory.settled.lock().unwrap(), [("kept t1".into(), 20)]);
}

/// What was begun as repeatable is not sent again under a configuration in which it is not.
#[test]
fn what_may_have_run_is_not_sent_again_by_a_route_that_changed_its_kind() {
    let rig = Rig::new(97, 2);
    rig.act("a0", &[Act::Silent]);
    rig.act("a1", &[Act::Silent]);
    rig.list(2, &[rig.listed(0, "a")]);
    let h = rig.with(|r, w| {
        Box::pin(async move {
            let (r2, w2) = (r.clone(), w.clone());
            let heads = vec![("patience".to_string(), "900".to_string())];
            let one = w.fan(vec![Box::pin(async move { call(&w2, r2.door, "t", "/pure/x", &heads, "").await }) as Fut<'static, Heard>]);
            w.sleep(60 * MS).await;
            r.configure(2, json!([route("pure", "effectful", "a", 3)]));
            r.list(3, &[r.listed(0, "a"), r.listed(1, "a")]);
            r.sim.kill(r.machines[0], false);
            one.recv().await.unwrap()
        })
    });
    assert_eq!((h.status, rig.runs("t").len()), (502, 1), "{h:?}");
}

/// Of two servers that were asked, one may have run it though the other says that it did not.
#[test]
fn a_second_server_that_did_not_run_it_says_nothing_of_the_first() {
    let rig = Rig::new(98, 2);
    rig.list(2, &[rig.listed(0, "a")]);
    rig.configure(2, json!([route("pure", "pure", "a", 2)]));
    rig.act("a0", &[Act::Silent]);
    rig.act("a1", &[Act::SlowNotRun(300 * MS)]);
    let h = rig.with(|r, w| {
        Box::pin(async move {
            let (r2, w2) = (r.clone(), w.clone());
            let one = w.fan(vec![Box::pin(async move { call(&w2, r2.door, "t", "/pure/x", &[], "").await }) as Fut<'static, Heard>]);
            w.sleep(50 * MS).await;
            r.list(3, &[r.listed(0, "a"), r.listed(1, "a")]);
            w.sleep(200 * MS).await;
            r.sim.kill(r.machines[0], false);
            one.recv().await.unwrap()
        })
    });
    assert_eq!((h.status, rig.runs("t").len()), (502, 1), "{h:?}");
}

/// A front that stood still between the choice of a server and the first byte to it, whatever changed meanwhile.
#[test]
fn a_front_that_wakes_sends_nothing_that_it_chose_before() {
    type Change = fn(&Rig);
    let changes: [(&str, Change); 4] = [
        ("its deadline is over", |_| {}),
        ("its route goes elsewhere", |r| r.configure(2, json!([route("once", "effectful", "b", 3)]))),
        ("its server is leaving", |r| r.list(2, &[Listed { leaving: true, ..r.listed(0, "a") }])),
        ("its server is gone", |r| r.list(2, &[])),
    ];
    let (mut caught, mut served, mut wrong) = (0, 0, vec![]);
    for (what, change) in changes {
        for step in 0..150 {
            let rig = Rig::new(3_000 + step, 1);
            // A kept connection for every second of them.
            if step % 2 == 0 {
                assert_eq!(rig.ask("first", "/once/x", &[], "b").status, 200);
            }
            let (patience, still) = if what.starts_with("its deadline") { ("900", 2 * SEC) } else { ("2900", SEC) };
            let (taken, seen) = (rig.relay.counts.all()["taken"], rig.floor.seen.load(SeqCst));
            let h = rig.with(move |r, w| {
                Box::pin(async move {
                    let (r2, w2) = (r.clone(), w.clone());
                    let heads = vec![("patience".to_string(), patience.to_string())];
                    let one =
                        w.fan(vec![Box::pin(async move { call(&w2, r2.door, "t", "/once/x", &heads, "b").await }) as Fut<'static, Heard>]);
                    w.sleep(step * 10).await;
                    let front = r.sim.find("front");
                    r.sim.freeze(front);
                    w.sleep(20 * MS).await;
                    let (had, ran) = (r.relay.counts.all()["taken"] > taken, r.floor.seen.load(SeqCst) > seen);
                    w.sleep(still).await;
                    change(&r);
                    r.sim.thaw(front);
                    let h = one.recv().await.unwrap();
                    (h, had, ran)
                })
            });
            let (h, had, ran) = h;
            let runs = rig.runs("t").len();
            match (had, ran) {
                (true, false) => {
                    caught += 1;
                    if (h.status, runs) != (503, 0) {
                        wrong.push(format!("{what}, frozen {} us after the call: {} and {runs} runs", step * 10, h.status));
                    }
                }
                (true, true) => {
                    served += 1;
                    if runs != 1 || h.status == 503 {
                        wrong.push(format!("{what}, sent before the freeze: {} and {runs} runs", h.status));
                    }
                }
                // The request itself had not been read: it is dealt with as one that comes after the freeze.
                (false, _) => assert!(runs <= 1 && (h.status != 503 || runs == 0), "{what}: {h:?}"),
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {caught}: {wrong:#?}", wrong.len());
    assert!(caught > 20 && served > 20, "{caught} {served}");
}

#[test]
fn events_pass_as_they_come_and_the_end_only_after_the_turn_is_kept() {
    let rig = Rig::new(70, 2);
    let h = rig.ask("t1", "/kept/stream/x", &[("tokens", "100"), ("most", "50"), ("program", "p"), ("budget", "500")], "in1;");
    assert_eq!((h.status, h.whole, h.at.len()), (200, true, 4));
    h.at.windows(2).for_each(|w| assert!((15 * MS..30 * MS).contains(&(w[1] - w[0])), "{:?}", h.at));
    let out = "t1-0\nt1-1\nt1-2\nt1-3\n";
    let t = rig.memory.turns.lock().unwrap()["t1"].clone();
    assert_eq!((t.input.as_ref(), t.output.as_ref(), t.tokens), (&b"in1;"[..], out.as_bytes(), 108));
    let h = rig.ask("t2", "/kept/stream/x", &[("after", "t1"), ("tokens", "120")], "in2;");
    assert!(h.whole);
    let r = rig.runs("t2");
    assert_eq!((r.len(), String::from_utf8_lossy(&r[0].body).into_owned()), (1, format!("in1;{out}in2;")));
    assert_eq!(r[0].server, t.server, "a chain stays where its prefix is");
    assert_eq!(*rig.memory.settled.lock().unwrap(), [("kept t1".into(), 8), ("kept t2".into(), 8)]);
}

#[test]
fn a_turn_that_cannot_be_kept_does_not_look_complete() {
    let rig = Rig::new(71, 1);
    *rig.memory.finish_fails.lock().unwrap() = true;
    let h = rig.ask("t1", "/kept/stream/x", &[], "in");
    assert_eq!((h.status, h.whole, h.at.len()), (200, false, 4));
    assert_eq!(*rig.memory.settled.lock().unwrap(), [("t1".into(), 8)]);
}

#[test]
fn a_refused_turn_reaches_no_server() {
    for (r, status) in [(Refusal::Spent, 402), (Refusal::Unknown, 404), (Refusal::Away, 503)] {
        let rig = Rig::new(72, 1);
        *rig.memory.refuses.lock().unwrap() = Some(r);
        assert_eq!(rig.ask("t1", "/kept/stream/x", &[], "in").status, status);
        assert_eq!(rig.floor.seen.load(SeqCst), 0);
    }
}

#[test]
fn a_stream_that_breaks_off_breaks_off_and_is_settled_by_what_passed() {
    let rig = Rig::new(73, 2);
    rig.all(Act::Break(3));
    let h = rig.ask("t1", "/kept/stream/x", &[], "in");
    assert_eq!((h.status, h.whole, h.at.len(), rig.runs("t1").len()), (200, false, 3, 1));
    assert_eq!(*rig.memory.settled.lock().unwrap(), [("t1".into(), 6)]);
    let rig = Rig::new(74, 2);
    rig.all(Act::Lose);
    let h = rig.ask("t1", "/kept/stream/x", &[], "in");
    assert_eq!((h.status, rig.runs("t1").len()), (502, 1));
    assert_eq!(*rig.memory.settled.lock().unwrap(), [("t1".into(), 0)]);
    let rig = Rig::new(75, 1);
    rig.all(Act::NotRun(503));
    assert_eq!(rig.ask("t1", "/kept/stream/x", &[], "in").status, 503);
    assert_eq!(*rig.memory.settled.lock().unwrap(), [("t1".into(), 0)]);
}

#[test]
fn a_stream_ends_at_its_deadline() {
    let rig = Rig::new(76, 1);
    rig.all(Act::Forever);
    let h = rig.ask("t1", "/stream/x", &[("patience", "500")], "in");
    assert_eq!((h.status, h.whole), (200, false));
    assert!((480 * MS..560 * MS).contains(&h.took), "{}", h.took);
}

#[test]
fn a_caller_that_goes_takes_its_request_at_the_server_along() {
    for (path, act) in [("/kept/stream/x", Act::Forever), ("/once/x", Act::Silent)] {
        let rig = Rig::new(77, 1);
        rig.all(act);
        let p = path.to_string();
        let left = rig.with(move |r, w| {
            Box::pin(async move {
                let mut c = w.connect(r.door).await.unwrap();
                let q = format!("POST {p} HTTP/1.1\r\nhost: h.example\r\ntry: t\r\ncontent-length: 0\r\n\r\n");
                c.write_all(q.as_bytes()).await.unwrap();
                w.sleep(300 * MS).await;
                drop(c);
                w.now()
            })
        });
        rig.rest(200 * MS);
        let gone = rig.floor.gone.lock().unwrap().clone();
        assert!(gone.len() == 1 && gone[0] < left + 100 * MS, "{path}: {gone:?} {left}");
        if path.starts_with("/kept") {
            let s = rig.memory.settled.lock().unwrap().clone();
            assert!(s.len() == 1 && s[0].0 == "t" && s[0].1 >= 20, "{s:?}");
        }
    }
}

#[test]
fn places_that_are_all_taken_are_told_early() {
    let rig = Rig::new(80, 1);
    rig.all(Act::Slow(1_000 * MS));
    // The model server has four slots; a route without events goes to it.
    rig.configure(2, json!([route("full", "effectful", "model", 1)]));
    let hs = rig.with(|r, w| {
        Box::pin(async move {
            let fs: Vec<Fut<'static, Heard>> = (0..6)
                .map(|i| {
                    let (r, w) = (r.clone(), w.clone());
                    let f: Fut<'static, Heard> = Box::pin(async move { call(&w, r.door, &format!("t{i}"), "/full/x", &[], "").await });
                    f
                })
                .collect();
            let rx = w.fan(fs);
            let mut v = vec![];
            for _ in 0..6 {
                v.push(rx.recv().await.unwrap());
            }
            v
        })
    });
    let refused: Vec<&Heard> = hs.iter().filter(|h| h.status == 503).collect();
    assert_eq!((refused.len(), hs.iter().filter(|h| h.status == 200).count()), (2, 4));
    assert!(refused.iter().all(|h| h.took < 50 * MS && h.heads["back-ms"].parse::<u64>().unwrap() <= 200), "{refused:?}");
}

#[test]
fn a_stopping_front_takes_what_still_comes_and_finishes_what_it_has() {
    let rig = Rig::new(90, 2);
    rig.act("a0", &[Act::Slow(700 * MS)]);
    rig.act("a1", &[Act::Slow(700 * MS)]);
    let hs = rig.with(|r, w| {
        Box::pin(async move {
            let one = {
                let (r, w2) = (r.clone(), w.clone());
                w.fan(vec![Box::pin(async move { call(&w2, r.door, "slow", "/once/x", &[], "").await }) as Fut<'static, Heard>])
            };
            w.sleep(100 * MS).await;
            r.gate.last();
            let during = call(&w, r.door, "during", "/once/x", &[], "").await;
            r.gate.close();
            // In the backlog at this moment.
            let last = call(&w, r.door, "last", "/once/x", &[], "").await;
            let slow = one.recv().await.unwrap();
            r.gate.emptied().await;
            (during, last, slow, w.connect(r.door).await.is_err())
        })
    });
    assert_eq!((hs.0.status, hs.0.heads["connection"].as_str()), (200, "close"));
    assert_eq!((hs.1.status, hs.2.status, hs.2.body.as_str(), hs.3), (200, 200, "good", true));
}

#[test]
fn an_idle_caller_is_let_go_when_the_gate_closes() {
    let rig = Rig::new(91, 1);
    let t = rig.with(|r, w| {
        Box::pin(async move {
            let mut c = w.connect(r.door).await.unwrap();
            c.write_all(b"GET /pure/x HTTP/1.1\r\nhost: h.example\r\ntry: t\r\n\r\n").await.unwrap();
            let mut b = [0; 4096];
            let n = c.read(&mut b).await.unwrap();
            assert!(n > 0);
            w.sleep(50 * MS).await;
            let t0 = w.now();
            r.gate.close();
            let rest = c.read(&mut b).await;
            assert!(matches!(rest, Ok(0)), "{rest:?}");
            r.gate.emptied().await;
            w.now() - t0
        })
    });
    assert!(t < 200 * MS, "{t}");
}

/// Many callers at once against servers that do anything: whatever is drawn, what is promised holds.
#[test]
fn whatever_servers_do_the_promises_hold() {
    let acts = [
        Act::Good,
        Act::Good,
        Act::Good,
        Act::Lose,
        Act::Silent,
        Act::Half,
        Act::NotRun(503),
        Act::NotRun(421),
        Act::Fails(500),
        Act::Fails(503),
        Act::NoStamp,
        Act::OtherTry,
        Act::Garble,
        Act::Surplus,
        Act::Late,
        Act::ThenClose,
        Act::Endless,
        Act::Slow(300 * MS),
    ];
    let (mut served, mut promised) = (0, 0);
    for seed in 0..80 {
        let rig = Rig::new(1_000 + seed, 3);
        let mut rng = fastrand::Rng::with_seed(seed);
        (0..3).for_each(|i| {
            let v: Vec<Act> = (0..30).map(|_| acts[rng.usize(0..acts.len())]).collect();
            rig.act(&format!("a{i}"), &v);
            let v: Vec<Act> = (0..30)
                .map(|_| if rng.bool() { Act::Good } else { [Act::Break(2), Act::Lose, Act::NotRun(503)][rng.usize(0..3)] })
                .collect();
            rig.act(&format!("model{i}"), &v);
        });
        let paths = ["/pure/x", "/once/x", "/once/x", "/kept/stream/x"];
        let plan: Vec<(String, String, u64)> =
            (0..60).map(|i| (format!("t{i}"), paths[rng.usize(0..paths.len())].to_string(), rng.u64(0..3_000) * MS)).collect();
        let (p, crash) = (plan.clone(), rng.u64(500..2_500) * MS);
        let hs = rig.with(move |r, w| {
            Box::pin(async move {
                let fs: Vec<Fut<'static, (usize, Heard)>> = p
                    .into_iter()
                    .enumerate()
                    .map(|(i, (id, path, at))| {
                        let (r, w) = (r.clone(), w.clone());
                        let f: Fut<'static, (usize, Heard)> = Box::pin(async move {
                            w.sleep(at).await;
                            (i, call(&w, r.door, &id, &path, &[("patience".into(), "900".into())], "in").await)
                        });
                        f
                    })
                    .collect();
                let (n, rx) = (fs.len(), w.fan(fs));
                w.sleep(crash).await;
                r.sim.kill(r.machines[0], crash % 2 == 0);
                let mut v = vec![];
                for _ in 0..n {
                    v.push(rx.recv().await.unwrap());
                }
                v
            })
        });
        for (i, h) in &hs {
            let (id, path, _) = &plan[*i];
            let runs = rig.runs(id).len();
            let what = format!("seed {seed} {id} {path}: {h:?}, {runs} runs");
            assert!(h.status != 0, "an answer came: {what}");
            assert!(runs <= if path.starts_with("/pure") { 3 } else { 1 }, "{what}");
            if h.status == 200 && h.whole {
                assert!(runs >= 1 && h.heads["stamp"] == "1" && h.heads["try"] == *id, "{what}");
                assert!(if path.starts_with("/kept") { h.at.len() == 4 } else { h.body == "good" }, "{what}");
                served += 1;
            }
            if h.status == 503 && !path.starts_with("/pure") {
                assert_eq!(runs, 0, "{what}");
                promised += 1;
            }
            assert!(h.took < 960 * MS, "{what}");
            if path.starts_with("/kept") {
                let s = rig.memory.settled.lock().unwrap();
                let ends: Vec<_> = s.iter().filter(|x| x.0 == *id || x.0 == format!("kept {id}")).collect();
                assert_eq!(ends.len(), 1, "each open turn ends once: {what} {ends:?}");
                assert_eq!(ends[0].0.starts_with("kept"), h.whole && h.status == 200, "{what}");
                assert!(ends[0].1 >= 2 * h.at.len() as u64 || h.status != 200, "{what} {ends:?}");
            }
        }
    }
    assert!(served > 2_000 && promised > 20, "{served} {promised}");
}
