//! One front in the simulator, with servers that misbehave, stores in memory, and callers.

use crate::server::*;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::buffer_memory::{BufferMemory, Reservation};
use yewcross_common::configuration::route::Limits;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::overload::{OverloadLimits, OverloadManager};
use yewcross_common::protocol::{ListedServer, ServerList};
use yewcross_common::register::Ballot;
use yewcross_common::runtime::*;
use yewcross_common::turn_log::{OpenTurn, OpenTurnError, OpenedTurn, Turn, TurnLogService};
use yewcross_proxy::balance::LoadBalancer;
use yewcross_proxy::policy::Policies;
use yewcross_proxy::relay::{Relay, RetryBudget};
use yewcross_testkit::routed::test_adapter::TestAdapter;
use yewcross_testkit::sim::Sim;

/// The turn log: it keeps turns in memory, and does what a test asks for.
#[derive(Default)]
pub struct MemoryTurnLog {
    /// Memory of the chains that are returned.
    pub buffers: Arc<BufferMemory>,
    pub turns: Mutex<BTreeMap<String, Arc<Turn>>>,
    pub settled: Mutex<Vec<(String, u64)>>,
    pub opened: AtomicUsize,
    pub finish_fails: Mutex<bool>,
    pub refuses: Mutex<Option<OpenTurnError>>,
    /// What happens while a turn is opened.
    pub on_open: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

impl TurnLogService for MemoryTurnLog {
    fn open(&self, o: OpenTurn, _: u64) -> BoxFuture<'_, Result<OpenedTurn, OpenTurnError>> {
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
                let t = g.get(&at).ok_or(OpenTurnError::UnknownTurn)?;
                chain.insert(0, t.clone());
                at = t.prev.clone();
            }
            let mut memory = Reservation::new(&self.buffers);
            let bytes = chain.iter().map(|turn| turn.text_bytes()).sum();
            if !memory.try_grow(bytes) {
                self.settled.lock().unwrap().push((o.turn, 0));
                return Err(OpenTurnError::OutOfMemory);
            }
            Ok(OpenedTurn { chain, memory })
        })
    }
    fn finish(
        &self,
        _: OpenTurn,
        t: Turn,
        used: u64,
        _: u64,
    ) -> BoxFuture<'_, Result<(), OpenTurnError>> {
        Box::pin(async move {
            if *self.finish_fails.lock().unwrap() {
                return Err(OpenTurnError::Unavailable);
            }
            self.settled
                .lock()
                .unwrap()
                .push((format!("kept {}", t.id), used));
            let kept = Arc::new(t.detached());
            self.turns.lock().unwrap().insert(t.id.clone(), kept);
            Ok(())
        })
    }
    fn settle(&self, o: OpenTurn, used: u64) {
        self.settled.lock().unwrap().push((o.turn, used));
    }
}

#[derive(Clone)]
pub struct Rig {
    pub sim: Sim,
    pub relay: Arc<Relay>,
    pub server_state: Arc<ServerState>,
    pub turn_log: Arc<MemoryTurnLog>,
    pub connections: Arc<yewcross_common::streaming_http::ConnectionTracker>,
    pub address: SocketAddr,
    pub machines: Vec<usize>,
    pub worlds: Arc<Mutex<Vec<Runtime>>>,
}

#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub heads: BTreeMap<String, String>,
    pub body: String,
    pub whole: bool,
    /// us of the world's clock when each piece came.
    pub at: Vec<u64>,
    pub took: u64,
}

pub fn config(routes: Value) -> Vec<u8> {
    let t = json!({"routing": {"routes": routes, "upstreams": [{"name": "a"}, {"name": "b"},
        {"name": "model", "engine": {"slots": 4, "cache_tokens": 100_000, "token_bytes": 1, "tokens_per_event": 2}}], "limits":
        {"head_bytes": 8192, "body_bytes": 10_000, "head_ms": 1000, "idle_ms": 5000}}});
    serde_json::to_vec(&json!({"text": t.to_string(), "put": "", "note": "", "past": []})).unwrap()
}

pub fn route(name: &str, mode: &str, to: &str, tries: u32) -> Value {
    json!({"name": name, "host": "h.example", "prefix": format!("/{name}/"), "mode": mode, "variants": [[to, 1]], "timeout_ms": 3000,
        "target_ms": 200, "max_tries": tries, "retained": name.starts_with("kept"), "retain_ms": 60_000})
}

/// A route whose streams may be taken up again; a pause of 200 ms is still in time.
pub fn resumable(name: &str, tries: u32) -> Value {
    let mut r = route(name, "stream", "model", tries);
    r["resumable"] = true.into();
    r["gap_ms"] = 200.into();
    r
}

pub fn routes() -> Value {
    json!([
        route("pure", "pure", "a", 3),
        route("once", "effectful", "a", 3),
        route("stream", "stream", "model", 2),
        route("kept/stream", "stream", "model", 2),
        route("other", "pure", "b", 1),
        resumable("again/stream", 2)
    ])
}

impl Rig {
    pub fn new(seed: u64, servers: usize) -> Rig {
        Rig::with_policies(seed, servers, Policies::all())
    }

    /// A front in which some mechanisms may be switched off.
    pub fn with_policies(seed: u64, servers: usize, policies: Policies) -> Rig {
        Rig::with_buffers(seed, servers, policies, usize::MAX)
    }

    /// A front whose buffers may use so many bytes.
    pub fn with_buffers(seed: u64, servers: usize, policies: Policies, limit: usize) -> Rig {
        let sim = Sim::new(seed, 1_000);
        let fm = sim.add_machine("front", "z", "10.0.0.1".parse().unwrap());
        let w = sim.boot(fm);
        let server_state: Arc<ServerState> = Default::default();
        let buffer_memory = Arc::new(BufferMemory::with_limit(limit));
        let turn_log = Arc::new(MemoryTurnLog {
            buffers: buffer_memory.clone(),
            ..MemoryTurnLog::default()
        });
        let book = DocumentCache::new(&w);
        let relay = Arc::new(Relay {
            runtime: w.clone(),
            documents: book,
            site: "z".into(),
            caller: Arc::new(TestAdapter),
            upstream_protocol: Arc::new(TestAdapter),
            turn_log: Some(turn_log.clone()),
            front_count: AtomicUsize::new(1),
            pool: Default::default(),
            balance: LoadBalancer::with_policies(policies),
            retry_budget: RetryBudget::new(policies),
            counts: Default::default(),
            buffer_memory,
            shutdown: Default::default(),
        });
        let address: SocketAddr = "10.0.0.1:80".parse().unwrap();
        // As in a process, the server's connections and the relay share the memory for buffers.
        let overload = Arc::new(OverloadManager::with_limits(
            OverloadLimits::default(),
            relay.buffer_memory.clone(),
        ));
        let connections = Arc::new(yewcross_common::streaming_http::ConnectionTracker::new(
            &overload,
        ));
        let mut rig = Rig {
            sim: sim.clone(),
            relay: relay.clone(),
            server_state,
            turn_log,
            connections: connections.clone(),
            address,
            machines: vec![],
            worlds: Default::default(),
        };
        let (w2, b) = (w.clone(), relay.documents.clone());
        w.spawn(async move {
            let d = w2.bind(address).await.unwrap();
            let h: yewcross_common::streaming_http::Handler =
                Arc::new(move |q, _| Box::pin(relay.clone().serve(q)));
            let limits: Arc<dyn Fn() -> Limits + Send + Sync> =
                Arc::new(move || b.config.load().1.routing.limits.clone());
            yewcross_common::streaming_http::serve(w2, d, h, limits, connections).await;
        });
        rig.configure(1, routes());
        (0..servers).for_each(|i| rig.server(i));
        rig.list(
            1,
            &(0..servers)
                .map(|i| rig.listed(i, "a"))
                .chain((0..servers).map(|i| rig.listed(i, "model")))
                .collect::<Vec<_>>(),
        );
        rig
    }

    pub fn configure(&self, seq: u64, routes: Value) {
        assert!(
            self.relay
                .documents
                .apply("config", seq, Ballot::default(), config(routes))
        );
    }

    pub fn list(&self, seq: u64, v: &[ListedServer]) {
        let l = ServerList {
            revision: seq,
            term: 0,
            servers: v.to_vec(),
        };
        assert!(self.relay.documents.apply(
            "list",
            seq,
            Ballot::default(),
            serde_json::to_vec(&l).unwrap()
        ));
    }

    /// One machine carries a server of service `a` at port 1 and one of `model` at port 2.
    pub fn listed(&self, i: usize, service: &str) -> ListedServer {
        let port = if service == "model" { 2 } else { 1 };
        ListedServer {
            server: format!("{service}{i}"),
            service: service.into(),
            addr: SocketAddr::new(std::net::IpAddr::from([10, 0, 1, i as u8]), port),
            site: "z".into(),
            leaving: false,
        }
    }

    pub fn server(&mut self, i: usize) {
        let m = self
            .sim
            .add_machine(&format!("s{i}"), "z", [10, 0, 1, i as u8].into());
        self.machines.push(m);
        self.worlds.lock().unwrap().push(self.sim.boot(m));
        ["a", "model"]
            .iter()
            .for_each(|s| self.stand(i, &self.listed(i, s)));
    }

    pub fn stand(&self, i: usize, l: &ListedServer) {
        if !self.sim.is_up(self.machines[i]) {
            self.worlds.lock().unwrap()[i] = self.sim.boot(self.machines[i]);
        }
        let w = self.worlds.lock().unwrap()[i].clone();
        let (f, id, at) = (self.server_state.clone(), l.server.clone(), l.addr);
        w.clone().spawn(async move {
            let d = w.bind(at).await.unwrap();
            while let Ok(c) = d.accept().await {
                w.spawn(serve_one(w.clone(), c, id.clone(), f.clone()));
            }
        });
    }

    pub fn act(&self, server: &str, acts: &[Act]) {
        self.server_state
            .acts
            .lock()
            .unwrap()
            .entry(server.into())
            .or_default()
            .extend(acts);
    }

    pub fn all(&self, a: Act) {
        *self.server_state.other.lock().unwrap() = Some(a);
    }

    pub fn runs(&self, attempt: &str) -> Vec<Run> {
        self.server_state
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(|r| r.attempt == attempt)
            .cloned()
            .collect()
    }

    /// Runs a caller on a machine of its own to its end.
    pub fn with<T: Send + 'static>(
        &self,
        f: impl FnOnce(Rig, Runtime) -> BoxFuture<'static, T>,
    ) -> T {
        let n = self.sim.rand() as u16;
        let m = self.sim.add_machine(
            &format!("caller{n}"),
            "z",
            [10, 1, (n >> 8) as u8, n as u8].into(),
        );
        let w = self.sim.boot(m);
        let out: Arc<Mutex<Option<T>>> = Default::default();
        let (o, fut) = (out.clone(), f(self.clone(), w.clone()));
        w.spawn(async move {
            let x = fut.await;
            *o.lock().unwrap() = Some(x);
        });
        self.sim
            .run(self.sim.now() + 60 * SEC, || out.lock().unwrap().is_some());
        out.lock()
            .unwrap()
            .take()
            .expect("the caller came to its end")
    }

    pub fn ask(&self, attempt: &str, path: &str, heads: &[(&str, &str)], body: &str) -> Answer {
        let (a, p, b) = (attempt.to_string(), path.to_string(), body.to_string());
        let hs: Vec<(String, String)> = heads
            .iter()
            .map(|h| (h.0.to_string(), h.1.to_string()))
            .collect();
        self.with(move |r, w| Box::pin(async move { call(&w, r.address, &a, &p, &hs, &b).await }))
    }

    pub fn rest(&self, us: u64) {
        self.sim.run(self.sim.now() + us, || false);
    }
}

pub async fn call(
    runtime: &Runtime,
    to: SocketAddr,
    attempt: &str,
    path: &str,
    heads: &[(String, String)],
    body: &str,
) -> Answer {
    let connection = runtime.connect(to).await.unwrap();
    call_on(runtime, connection, attempt, path, heads, body).await
}

/// Sends a request on a connection that was just opened, and reads the answer.
pub async fn call_on(
    runtime: &Runtime,
    connection: Connection,
    attempt: &str,
    path: &str,
    heads: &[(String, String)],
    body: &str,
) -> Answer {
    let (mut s, conn) =
        hyper::client::conn::http1::handshake(smol_hyper::rt::FuturesIo::new(connection))
            .await
            .unwrap();
    runtime.spawn(async move {
        let _ = conn.await;
    });
    let mut q = Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "h.example")
        .header("try", attempt);
    for (k, v) in heads {
        q = q.header(k, v);
    }
    let t0 = runtime.now();
    let Ok(r) = s
        .send_request(q.body(Full::new(Bytes::from(body.to_string()))).unwrap())
        .await
    else {
        return Answer::default();
    };
    let heads = r
        .headers()
        .iter()
        .map(|(k, v)| (k.to_string(), v.to_str().unwrap().to_string()))
        .collect();
    let mut h = Answer {
        status: r.status().as_u16(),
        heads,
        whole: true,
        ..Answer::default()
    };
    let mut b = r.into_body();
    while let Some(f) = b.frame().await {
        match f {
            Ok(f) => {
                h.at.push(runtime.now());
                h.body += std::str::from_utf8(&f.into_data().unwrap()).unwrap();
            }
            Err(_) => h.whole = false,
        }
    }
    h.took = runtime.now() - t0;
    h
}
