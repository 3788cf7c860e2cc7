//! A back end that behaves as docs/backends.md says, and can be made to misbehave.

use http_types::{Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::{self, BufferedRequest, ConnectionTracker, reply, stream};
use yewcross_common::constants::*;
use yewcross_common::hash::digest;
use yewcross_common::protocol::LoadReport;
use yewcross_common::runtime::*;
use yewcross_proxy::turn::tokens;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub server: String,
    pub service: String,
    pub addr: SocketAddr,
    pub site: String,
    pub model: bool,
    pub slots: u32,
    /// us per thousand prompt tokens; us per output token, or per lookup.
    pub per_k: u64,
    pub per_out: u64,
    pub cache: u64,
    /// bytes per second between servers
    pub link: u64,
    pub weights: String,
}

/// How many of the next jobs go wrong, each in its way.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    pub lose: u32,
    pub stall: u32,
    pub splice: u32,
    pub truncate: u32,
    pub mistake: u32,
    pub repeat: u32,
    pub fail_import: u32,
    /// Imports take so many times as long; 0 is as ever.
    pub slow_import: u32,
    /// Everything takes so many times as long; 0 is as ever.
    pub slow: u32,
    pub leaving: Option<bool>,
    /// Claims to be this server from now on.
    pub become_server: Option<String>,
}

#[derive(Clone, Debug)]
struct Entry {
    len: usize,
    digest: String,
    tokens: u64,
    used: u64,
}

/// One execution, written down as it starts; its output grows with each piece made.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    pub at: u64,
    pub job: String,
    /// What the front called this shot.
    pub shot: String,
    pub server: String,
    pub service: String,
    pub session: String,
    pub program: String,
    pub output: u64,
}

/// The audit of what ran; it outlives the servers.
#[derive(Default)]
pub struct Ledger {
    pub runs: Mutex<Vec<Run>>,
    /// Jobs that reached a server after it began to leave.
    pub knocks: Mutex<Vec<(u64, String)>>,
}

#[derive(Default)]
struct State {
    running: u32,
    waiting: u32,
    seq: u64,
    placed: u64,
    cache: BTreeMap<String, Entry>,
    replicas: BTreeMap<String, Entry>,
    /// Digest and size of each session's last save.
    saved: BTreeMap<String, (String, u64)>,
    faults: Faults,
    leaving: bool,
    pushed: u64,
    cancelled: std::collections::BTreeSet<String>,
    /// Runs under way, by job, as places in the ledger.
    live: BTreeMap<String, usize>,
}

pub struct Standin {
    w: Runtime,
    pub ledger: Arc<Ledger>,
    pub spec: Spec,
    pub inst: u64,
    s: Mutex<State>,
}

struct Running<'a>(&'a Standin);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.s.lock().unwrap().running -= 1;
    }
}

struct Live<'a>(&'a Standin, String);

impl Drop for Live<'_> {
    fn drop(&mut self) {
        let mut g = self.0.s.lock().unwrap();
        g.live.remove(&self.1);
        g.cancelled.remove(&self.1);
    }
}

impl Standin {
    pub async fn start(
        runtime: &Runtime,
        spec: Spec,
        ledger: Arc<Ledger>,
    ) -> std::io::Result<Arc<Standin>> {
        let door = runtime.bind(spec.addr).await?;
        let s = Arc::new(Standin {
            w: runtime.clone(),
            ledger,
            inst: runtime.wall_clock_ms() << 4 | (runtime.random() & 15),
            spec,
            s: Default::default(),
        });
        let me = s.clone();
        let h: buffered_http::Handler = Arc::new(move |j| Box::pin(answer(me.clone(), j)));
        runtime.spawn(buffered_http::serve(
            runtime.clone(),
            door,
            h,
            Arc::new(ConnectionTracker::default()),
        ));
        Ok(s)
    }

    pub fn fault(&self, f: Faults) {
        let mut s = self.s.lock().unwrap();
        f.leaving.iter().for_each(|l| s.leaving = *l);
        s.faults = f;
    }

    pub fn leaving(&self, on: bool) {
        self.s.lock().unwrap().leaving = on;
    }

    /// Tokens of the session's replica stored here, and of its prefix in the cache.
    pub fn holds(&self, session: &str) -> (Option<u64>, Option<u64>) {
        let g = self.s.lock().unwrap();
        (
            g.replicas.get(session).map(|e| e.tokens),
            g.cache.get(session).map(|e| e.tokens),
        )
    }

    fn times(&self) -> u64 {
        self.s.lock().unwrap().faults.slow.max(1) as u64
    }

    fn name(&self) -> String {
        self.s
            .lock()
            .unwrap()
            .faults
            .become_server
            .clone()
            .unwrap_or_else(|| self.spec.server.clone())
    }

    fn stamp(&self, job: &str) -> Value {
        json!({"service": self.spec.service, "server": self.name(), "inst": self.inst, "weights": self.spec.weights, "job": job})
    }

    fn report(&self) -> LoadReport {
        let name = self.name();
        let mut s = self.s.lock().unwrap();
        s.seq += 1;
        LoadReport {
            service: self.spec.service.clone(),
            server: name,
            instance: self.inst,
            sequence: s.seq,
            slots: self.spec.slots,
            running: s.running,
            waiting: s.waiting,
            weights: self.spec.weights.clone(),
            leaving: s.leaving,
            placed_tokens: s.placed,
            cache_tokens: self.spec.cache,
            prefill_us_per_1000: self.spec.per_k,
            decode_us_per_token: self.spec.per_out,
            age_us: 0,
        }
    }

    fn refuse(&self, job: &str) -> Response {
        reply(503, &json!({"refused": true, "stamp": self.stamp(job)}))
    }

    fn take(&self, f: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut s = self.s.lock().unwrap();
        let n = f(&mut s.faults);
        let on = *n > 0;
        *n -= on as u32;
        on
    }

    fn evict(s: &mut State, cap: u64) {
        while s.cache.values().map(|e| e.tokens).sum::<u64>() > cap && s.cache.len() > 1 {
            let k = s
                .cache
                .iter()
                .min_by_key(|e| e.1.used)
                .map(|e| e.0.clone())
                .unwrap_or_default();
            s.cache.remove(&k);
        }
    }

    fn runs(&self, job: &str, session: &str, program: &str) -> usize {
        let r = Run {
            at: self.w.now(),
            job: job.split('#').next().unwrap_or("").into(),
            shot: job.split('#').next_back().unwrap_or("").into(),
            server: self.spec.server.clone(),
            service: self.spec.service.clone(),
            session: session.into(),
            program: program.into(),
            output: 0,
        };
        let mut g = self.ledger.runs.lock().unwrap();
        g.push(r);
        g.len() - 1
    }

    fn knock(&self, job: &str) {
        if self.s.lock().unwrap().leaving {
            self.ledger
                .knocks
                .lock()
                .unwrap()
                .push((self.w.now(), format!("{} {job}", self.spec.server)));
        }
    }

    /// Waits for a slot in a short line of its own.
    async fn slot(&self) -> Option<Running<'_>> {
        {
            let mut s = self.s.lock().unwrap();
            if s.leaving || s.waiting >= self.spec.slots {
                return None;
            }
            s.waiting += 1;
        }
        loop {
            {
                let mut s = self.s.lock().unwrap();
                if s.running < self.spec.slots {
                    s.running += 1;
                    s.waiting -= 1;
                    return Some(Running(self));
                }
            }
            self.w.sleep(5 * MS).await;
        }
    }
}

fn text(v: &Value, k: &str) -> String {
    v[k].as_str().unwrap_or("").to_string()
}

async fn answer(s: Arc<Standin>, j: BufferedRequest) -> Response {
    let v: Value = serde_json::from_slice(&j.body).unwrap_or(Value::Null);
    match (j.verb, j.path.as_str()) {
        (Method::Get, "/identity") => reply(200, &s.stamp("")),
        (Method::Get, "/report") => reply(200, &s.report()),
        (Method::Post, "/turn") => turn(s, v).await,
        (Method::Post, "/lookup") => lookup(s, v).await,
        (Method::Post, "/cancel") => {
            let job = text(&v, "job");
            let mut g = s.s.lock().unwrap();
            let run = g.live.get(&job).cloned();
            run.iter().for_each(|_| {
                g.cancelled.insert(job.clone());
            });
            drop(g);
            // A job that is not under way here has no figure to tell.
            let output = run.map(|i| s.ledger.runs.lock().unwrap()[i].output);
            reply(
                200,
                &json!({"ok": true, "output": output, "stamp": s.stamp(&job)}),
            )
        }
        (Method::Post, "/kv/save") => save(s, v).await,
        (Method::Post, "/kv/send") => send(s, v).await,
        (Method::Post, "/kv/put") => put(s, v).await,
        (Method::Post, "/kv/import") => import(s, v).await,
        (Method::Post, "/kv/drop") => {
            let mut g = s.s.lock().unwrap();
            g.replicas.remove(&text(&v, "session"));
            g.saved.remove(&text(&v, "session"));
            drop(g);
            reply(200, &json!({"ok": true}))
        }
        (Method::Get, "/lab/runs") => reply(200, &*s.ledger.runs.lock().unwrap()),
        (Method::Post, "/lab/fault") => match serde_json::from_slice::<Faults>(&j.body) {
            Ok(f) => {
                s.fault(f);
                reply(200, &json!({"ok": true}))
            }
            Err(e) => reply(400, &json!({"why": e.to_string()})),
        },
        _ => reply(404, &json!({"why": "no such path"})),
    }
}

pub const MARKS: usize = 12;

/// The newest lines of history in a prompt, each by a short mark, so that a caller can see what was
/// kept.
pub fn marks(prompt: &str) -> String {
    let v: Vec<&str> = prompt
        .split_inclusive('\n')
        .filter(|l| l.ends_with('\n'))
        .collect();
    let v: Vec<String> = v
        .iter()
        .skip(v.len().saturating_sub(MARKS))
        .map(|l| mark(l))
        .collect();
    v.join(",")
}

pub fn mark(line: &str) -> String {
    digest(line.as_bytes())[..6].to_string()
}

async fn turn(s: Arc<Standin>, v: Value) -> Response {
    let (job, session, prompt) = (text(&v, "job"), text(&v, "session"), text(&v, "prompt"));
    let max = v["max_output"].as_u64().unwrap_or(16);
    s.knock(&job);
    if s.s.lock().unwrap().leaving {
        return s.refuse(&job);
    }
    let program = text(&v, "program");
    let me = s.clone();
    let (tx, rx) = async_channel::bounded::<Vec<u8>>(16);
    let (okx, okr) = async_channel::bounded::<bool>(1);
    s.w.spawn(async move {
        let Some(_slot) = me.slot().await else {
            let _ = okx.try_send(false);
            return;
        };
        let _ = okx.try_send(true);
        let run = me.runs(&job, &session, &program);
        me.s.lock().unwrap().live.insert(job.clone(), run);
        let _live = Live(&me, job.clone());
        let reused = {
            let mut g = me.s.lock().unwrap();
            let t = me.w.now();
            let hit = g.cache.get_mut(&session).filter(|e| e.len <= prompt.len() && digest(&prompt.as_bytes()[..e.len]) == e.digest);
            hit.map(|e| {
                e.used = t;
                e.tokens
            })
            .unwrap_or(0)
        };
        let all = tokens(prompt.len());
        me.w.sleep((all.saturating_sub(reused)) * me.spec.per_k / 1000 * me.times()).await;
        if me.take(|f| &mut f.stall) {
            me.w.sleep(60 * SEC).await;
            return;
        }
        let seed = digest(prompt.as_bytes());
        let head = format!("[{}]", marks(&prompt));
        let mut words = vec![head];
        let room = (max as usize * TOKEN_BYTES).saturating_sub(words[0].len());
        (0..(room / 8).min(max as usize / 2)).for_each(|i| words.push(format!(" {}", &seed[i % 24..i % 24 + 7])));
        let whole: String = words.concat();
        let lost = me.take(|f| &mut f.lose);
        let cut = me.take(|f| &mut f.truncate);
        let splice = me.take(|f| &mut f.splice);
        let again = me.take(|f| &mut f.repeat);
        let mut n = 0u64;
        for (i, c) in words.chunks(4).enumerate() {
            me.w.sleep(tokens(c.concat().len()) * me.spec.per_out * me.times()).await;
            if me.s.lock().unwrap().cancelled.remove(&job) {
                return;
            }
            me.ledger.runs.lock().unwrap()[run].output = tokens(words[..(4 * (i + 1)).min(words.len())].concat().len());
            let t = if splice && i == 1 { " of another job".to_string() } else { c.concat() };
            let mut l = serde_json::to_vec(&json!({"n": n, "text": t})).unwrap_or_default();
            l.push(b'\n');
            if !lost {
                if again && i == 1 {
                    let _ = tx.send(l.clone()).await;
                }
                let _ = tx.send(l).await;
            }
            n += 1;
            if cut && i == 1 {
                return;
            }
        }
        let mut full = prompt.clone();
        full += &serde_json::to_string(&whole).unwrap_or_default();
        let out = tokens(whole.len());
        let placed = {
            let mut g = me.s.lock().unwrap();
            let e = Entry { len: full.len(), digest: digest(full.as_bytes()), tokens: tokens(full.len()), used: me.w.now() };
            g.placed += e.tokens.saturating_sub(reused);
            g.cache.insert(session.clone(), e);
            Standin::evict(&mut g, me.spec.cache);
            g.placed
        };
        if lost {
            return;
        }
        let other = me.take(|f| &mut f.mistake);
        let said = if other { format!("{job}-other") } else { job };
        let e = json!({"end": true, "pieces": n, "digest": digest(whole.as_bytes()), "prompt": all, "reused": reused, "output": out,
            "placed": placed, "stamp": me.stamp(&said)});
        let mut l = serde_json::to_vec(&e).unwrap_or_default();
        l.push(b'\n');
        let _ = tx.send(l).await;
    });
    match okr.recv().await {
        Ok(true) => buffered_http::until(stream(rx), s.w.now() + HORIZON_MAX * MS),
        _ => s.refuse(&text(&v, "job")),
    }
}

async fn lookup(s: Arc<Standin>, v: Value) -> Response {
    let (job, key) = (text(&v, "job"), text(&v, "key"));
    s.knock(&job);
    let Some(_slot) = s.slot().await else {
        return s.refuse(&job);
    };
    s.runs(&job, &key, &text(&v, "method"));
    s.w.sleep(s.spec.per_out * s.times()).await;
    if s.take(|f| &mut f.stall) {
        s.w.sleep(60 * SEC).await;
    }
    if s.take(|f| &mut f.lose) {
        return reply(200, &"lost");
    }
    let said = if s.take(|f| &mut f.mistake) {
        format!("{job}-other")
    } else {
        job
    };
    reply(
        200,
        &json!({"value": format!("{}={}", key, &digest(key.as_bytes())[..8]), "stamp": s.stamp(&said)}),
    )
}

async fn save(s: Arc<Standin>, v: Value) -> Response {
    let e = s.s.lock().unwrap().cache.get(&text(&v, "session")).cloned();
    match e.filter(|e| e.digest == text(&v, "digest")) {
        Some(e) => {
            let base = v["base"].as_str().and_then(|b| {
                s.s.lock()
                    .unwrap()
                    .saved
                    .get(&text(&v, "session"))
                    .filter(|x| x.0 == b)
                    .map(|x| x.1)
            });
            let bytes = e.tokens.saturating_sub(base.unwrap_or(0)) * KV_TOKEN_BYTES;
            s.s.lock()
                .unwrap()
                .saved
                .insert(text(&v, "session"), (e.digest.clone(), e.tokens));
            s.w.sleep(bytes / 4_000).await;
            reply(
                200,
                &json!({"tokens": e.tokens, "digest": e.digest, "bytes": bytes}),
            )
        }
        None => reply(404, &json!({"ok": false})),
    }
}

async fn send(s: Arc<Standin>, v: Value) -> Response {
    let session = text(&v, "session");
    let e = s.s.lock().unwrap().cache.get(&session).cloned();
    let (Some(e), Ok(to)) = (
        e.filter(|e| e.digest == text(&v, "digest")),
        text(&v, "to").parse::<SocketAddr>(),
    ) else {
        return reply(404, &json!({"ok": false, "bytes": 0}));
    };
    let offer = |base: &str| json!({"session": session, "digest": e.digest, "len": e.len, "tokens": e.tokens, "base": base, "target": text(&v, "target")});
    let mut bytes = 0;
    for base in [text(&v, "base"), String::new()] {
        let ask = serde_json::to_vec(&offer(&base)).unwrap_or_default();
        let got =
            buffered_http::fetch(&s.w, to, Method::Post, "/kv/put", &[], ask, KV_PUSH_WAIT).await;
        let Ok((status, _, b)) = got else { break };
        let r: Value = serde_json::from_slice(&b).unwrap_or_default();
        bytes += r["bytes"].as_u64().unwrap_or(0);
        if status == 200 {
            s.s.lock().unwrap().pushed += bytes;
            return reply(200, &json!({"ok": true, "bytes": bytes, "inst": r["inst"]}));
        }
        if base.is_empty() {
            break;
        }
    }
    reply(200, &json!({"ok": false, "bytes": bytes}))
}

/// Receives a replica: a delta only on top of the base it names. The link's time passes here.
async fn put(s: Arc<Standin>, v: Value) -> Response {
    let (session, base) = (text(&v, "session"), text(&v, "base"));
    s.knock(&format!("push of {session}"));
    if text(&v, "target") != s.name() {
        return reply(403, &json!({"ok": false, "bytes": 0}));
    }
    let had = s.s.lock().unwrap().replicas.get(&session).cloned();
    let from = if base.is_empty() {
        Some(0)
    } else {
        had.filter(|h| h.digest == base).map(|h| h.tokens)
    };
    let Some(from) = from else {
        return reply(409, &json!({"ok": false, "bytes": 0}));
    };
    let n = v["tokens"].as_u64().unwrap_or(0);
    let bytes = n.saturating_sub(from) * KV_TOKEN_BYTES;
    s.w.sleep(bytes.saturating_mul(SEC) / s.spec.link.max(1))
        .await;
    let e = Entry {
        len: v["len"].as_u64().unwrap_or(0) as usize,
        digest: text(&v, "digest"),
        tokens: n,
        used: s.w.now(),
    };
    let mut g = s.s.lock().unwrap();
    g.replicas.insert(session, e);
    while g.replicas.values().map(|e| e.tokens).sum::<u64>() > 4 * s.spec.cache
        && g.replicas.len() > 1
    {
        let k = g
            .replicas
            .iter()
            .min_by_key(|e| e.1.used)
            .map(|e| e.0.clone())
            .unwrap_or_default();
        g.replicas.remove(&k);
    }
    reply(200, &json!({"ok": true, "bytes": bytes, "inst": s.inst}))
}

async fn import(s: Arc<Standin>, v: Value) -> Response {
    let session = text(&v, "session");
    s.knock(&format!("import of {session}"));
    let e = s.s.lock().unwrap().replicas.get(&session).cloned();
    let Some(e) = e.filter(|e| e.digest == text(&v, "digest")) else {
        return reply(200, &json!({"ok": false}));
    };
    let times = s.s.lock().unwrap().faults.slow_import.max(1) as u64;
    s.w.sleep(e.tokens * KV_IMPORT_PER_K / 1000 * times).await;
    if s.take(|f| &mut f.fail_import) {
        return reply(200, &json!({"ok": false}));
    }
    let mut g = s.s.lock().unwrap();
    g.placed += e.tokens;
    let n = e.tokens;
    let t = s.w.now();
    g.cache.insert(session, Entry { used: t, ..e });
    Standin::evict(&mut g, s.spec.cache);
    reply(200, &json!({"ok": true, "tokens": n, "placed": g.placed}))
}
