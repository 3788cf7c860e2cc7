//! A turn's way through a front, from the caller's bytes to the kept outcome.

use crate::back::{Back, Lines, Sent, Stamp, Verified};
use crate::judge::{self, Case, Pick, Warmth, Weights};
use crate::kv::Due;
use crate::line::Pass;
use crate::{Front, kv, news};
use http_types::Response;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::hash::{digest, mark};
use yewcross::http::{Job, refuse, reply, stream, until};
use yewcross::tree::{Family, Placed};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    pub role: String,
    pub text: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TurnBody {
    pub program: String,
    pub session: String,
    pub job: String,
    pub horizon_ms: u64,
    #[serde(default)]
    pub budget: String,
    pub messages: Vec<Message>,
    #[serde(default)]
    pub max_output: Option<u64>,
    #[serde(default)]
    pub stream: bool,
}

#[derive(Deserialize)]
struct Piece {
    n: u64,
    text: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct End {
    pub end: bool,
    pub pieces: u64,
    pub digest: String,
    pub prompt: u64,
    pub reused: u64,
    pub output: u64,
    #[serde(default)]
    pub placed: u64,
    pub stamp: Stamp,
}

/// What is kept of a done turn, and given again to whoever repeats its id.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kept {
    pub text: String,
    pub digest: String,
    pub prompt: u64,
    pub reused: u64,
    pub output: u64,
    pub stamp: Stamp,
}

pub enum Event {
    No(Code, String, u64),
    Piece(u64, String),
    End(Box<Kept>, u64, bool),
}

pub fn name_ok(s: &str) -> bool {
    !s.is_empty() && s.len() <= 128 && s.bytes().all(|b| b.is_ascii_graphic() && b != b'/' && b != b'|')
}

fn check(b: &TurnBody) -> Result<(), (Code, String)> {
    let bad = |k: &str| Err((Code::BadField, k.to_string()));
    match b {
        _ if !name_ok(&b.program) => bad("program"),
        _ if !name_ok(&b.session) => bad("session"),
        _ if !name_ok(&b.job) => bad("job"),
        _ if b.messages.is_empty() => bad("messages"),
        _ if b.max_output == Some(0) => bad("max_output"),
        _ if !(HORIZON_MIN..=HORIZON_MAX).contains(&b.horizon_ms) => Err((Code::BadHorizon, format!("{HORIZON_MIN} to {HORIZON_MAX} ms"))),
        _ => Ok(()),
    }
}

pub async fn answer(f: Arc<Front>, j: Job, nonce: u64) -> Response {
    let t0 = f.w.now();
    let b: TurnBody = match serde_json::from_slice(&j.body) {
        Ok(b) => b,
        Err(e) => return refuse(Code::BadBody, &e.to_string(), 0),
    };
    if let Err((c, w)) = check(&b) {
        return refuse(c, &w, 0);
    }
    let cap = f.book.config.load().1.families.get(&b.program).map_or(HORIZON_MAX, |p| p.eff.horizon_ms);
    let end = t0 + b.horizon_ms.min(cap) * MS + HORIZON_LATE;
    // What is said at the last moment still has to be sent.
    let cut = end + HORIZON_LATE / 2;
    // As long as a turn's output may be: a caller that reads slowly holds no server up.
    let (tx, rx) = async_channel::unbounded();
    let (me, streamed) = (f.clone(), b.stream);
    f.w.go(async move { drive(me, b, t0, nonce, tx).await });
    let w = f.w.clone();
    let next = async move || {
        let left = end.saturating_sub(w.now());
        let late = Event::No(Code::StillRunning, "its horizon has passed".into(), BACK_SOON);
        w.within(left, rx.recv()).await.unwrap_or(Ok(late)).unwrap_or(Event::No(Code::MayHaveRun, String::new(), 0))
    };
    if !streamed {
        let mut text = String::new();
        loop {
            match next().await {
                Event::No(c, w, back) => return refuse(c, &w, back),
                Event::Piece(_, t) => text += &t,
                Event::End(k, _, again) => {
                    if again {
                        text = k.text.clone();
                    }
                    return until(reply(200, &end_line(&k, 1, again, Some(&text))), cut);
                }
            }
        }
    }
    let mut x = match next().await {
        Event::No(c, w, back) => return refuse(c, &w, back),
        x => x,
    };
    let (otx, orx) = async_channel::bounded::<Vec<u8>>(64);
    f.w.go(async move {
        loop {
            let (v, last) = match x {
                Event::Piece(n, t) => (vec![json!({"n": n, "text": t})], false),
                Event::No(c, w, back) => {
                    let ran: &str = c.ran().into();
                    (vec![json!({"broken": true, "code": c.number(), "ran": ran, "why": w, "retry_after": back})], true)
                }
                Event::End(k, _, true) => (vec![json!({"n": 0, "text": k.text}), end_line(&k, 1, true, None)], true),
                Event::End(k, n, false) => (vec![end_line(&k, n, false, None)], true),
            };
            for l in v {
                let mut l = serde_json::to_vec(&l).unwrap_or_default();
                l.push(b'\n');
                if otx.send(l).await.is_err() {
                    return;
                }
            }
            if last {
                return;
            }
            x = next().await;
        }
    });
    until(stream(orx), cut)
}

fn end_line(k: &Kept, pieces: u64, again: bool, text: Option<&str>) -> Value {
    let mut v = json!({"end": true, "code": Code::Done.number(), "pieces": pieces, "digest": k.digest, "replayed": again,
        "usage": {"prompt": k.prompt, "reused": k.reused, "output": k.output}, "stamp": k.stamp});
    text.iter().for_each(|t| v["text"] = json!(t));
    v
}

pub fn tokens(bytes: usize) -> u64 {
    bytes.div_ceil(TOKEN_BYTES) as u64
}

/// Type-states of a turn: read, begun in the store, run by a server.
struct Read {
    b: TurnBody,
    fam: Family,
    key: String,
    horizon: u64,
    patience: u64,
    max_out: u64,
}

struct Begun {
    r: Read,
    nonce: u64,
    /// What servers know the present shot by.
    shot: u64,
    /// A shot went out whose outcome never came.
    lost: bool,
    epoch: u64,
    kv: Kv,
    hist: Vec<u8>,
    /// This turn's messages as a history line yet open.
    ask: Vec<u8>,
}

struct Ran {
    g: Begun,
    kept: Kept,
    placed: u64,
    pieces: u64,
}

type Out = async_channel::Sender<Event>;

async fn no(out: &Out, c: Code, why: &str, back: u64) {
    let _ = out.send(Event::No(c, why.into(), back)).await;
}

async fn drive(f: Arc<Front>, b: TurnBody, t0: u64, nonce: u64, out: Out) {
    f.counts.turns.fetch_add(1, SeqCst);
    if !f.follow.serving() {
        return no(&out, Code::NotServing, "", BACK_SOON).await;
    }
    let conf = f.book.config.load_full();
    let Some(Placed { eff: fam, .. }) = conf.1.families.get(&b.program).cloned() else {
        return no(&out, Code::UnknownProgram, &b.program, 0).await;
    };
    if b.budget != fam.budget {
        return no(&out, Code::WrongBudget, &b.budget, 0).await;
    }
    let horizon = t0 + b.horizon_ms.min(fam.horizon_ms) * MS;
    let key = format!("session/{}/{}", b.program, b.session);
    let max_out = b.max_output.unwrap_or(fam.max_output).min(fam.max_output);
    let cap = conf.1.services.get(&fam.service).map(|s| (s.line, s.urgent_share)).unwrap_or((1, 0));
    let room = || {
        let v = news::fit(&f, &fam.service);
        (v.iter().map(|s| s.free()).sum(), v.iter().map(|s| s.report.slots).sum())
    };
    // A session not on hand may be new: then all of its prompt must be read.
    let fresh = if f.hand.lock().unwrap().contains_key(&key) { 0 } else { tokens(b.messages.iter().map(|m| m.text.len()).sum()) };
    let needs = |s: &news::Server| s.report.per_out * max_out + s.report.per_k * fresh / 1000;
    let least = news::fit(&f, &fam.service).iter().map(needs).min().unwrap_or(0) + HORIZON_SPARE;
    let patience = t0 + (horizon - t0) * PATIENCE / 100;
    let mut pass = match f.lines.enter(&f.w, &fam.service, fam.class, horizon, cap, patience, least, room).await {
        Ok(p) => Some(p),
        Err((c, back)) => return no(&out, c, "", back).await,
    };
    let r = Read { b, fam, key, horizon, patience, max_out };
    let mut g = match begin(&f, r, nonce, &out).await {
        Some(g) => g,
        None => return,
    };
    kv::begins(&f, &g.r.key, g.epoch);
    let mut not: Vec<String> = vec![];
    let ran = loop {
        let Some((p, b)) = place(&f, &mut g, &mut not, &mut pass).await else {
            if g.lost {
                return lost(&f, g, &out).await;
            }
            f.abort(&g.r.key, &g.r.b.job, g.nonce, purse(&f, &g.r));
            let c = if news::fit(&f, &g.r.fam.service).is_empty() { Code::NoServer } else { Code::TooLate };
            return no(&out, c, "", BACK_SOON).await;
        };
        let claim = f.claim(&p.server.at.server);
        let s = shot(&f, g, &p, b, &out).await;
        drop(claim);
        match s {
            Shot::Ran(r) => {
                f.calm(&p.server.at.server);
                break *r;
            }
            Shot::Left(back, used) => {
                close(&f, *back, Code::Cancelled, used).await;
                return;
            }
            Shot::NotRun(back) => {
                not.push(p.server.at.server.clone());
                g = *back;
            }
            Shot::Lost(mut back, sent_any) => {
                f.slowed(&p.server.at.server);
                back.lost = true;
                let again = back.r.fam.repeatable && !sent_any && f.w.now() + HORIZON_SPARE < back.r.horizon;
                if !again || !another(&f, &mut back, &p.server.at).await {
                    lost(&f, *back, &out).await;
                    return;
                }
                not.push(p.server.at.server.clone());
                g = *back;
            }
        }
    };
    drop(pass);
    keep(f, ran, &out).await;
}

/// The budget that a turn spends from, if the configuration limits it.
fn purse(f: &Front, r: &Read) -> Option<String> {
    f.book.config.load().1.budgets.contains_key(&r.fam.budget).then(|| r.fam.budget.clone())
}

/// The lost shot may yet put out all it was allowed: the next one needs a reservation of its own, which stays spent.
async fn another(f: &Arc<Front>, g: &mut Begun, was: &Listed) -> bool {
    let (me, at, svc, job) = (f.clone(), was.clone(), g.r.fam.service.clone(), shot_id(g));
    f.w.go(async move {
        cancel(&me, &at, &svc, &job).await;
    });
    g.shot = f.w.rand();
    let limit = f.book.config.load().1.budgets.get(&g.r.fam.budget).map(|b| b.tokens);
    let Some(limit) = limit else { return true };
    let (budget, entry) = (g.r.fam.budget.clone(), format!("{}|{}|{}", g.r.key, g.r.b.job, g.shot));
    let (key, job, nonce) = (g.r.key.clone(), g.r.b.job.clone(), g.shot);
    let a = Ask::Reserve { budget: budget.clone(), entry: entry.clone(), amount: g.r.max_out, limit, key, job, nonce, keep: 0 };
    let at = format!("budget/{budget}");
    if !matches!(f.store(&at, &a, &[], 1).await, Some((Tell::Ok, _))) {
        return false;
    }
    f.store(&at, &Ask::Settle { budget, entry, used: None }, &[], 1).await;
    true
}

fn shot_id(g: &Begun) -> String {
    format!("{}#{:x}", g.r.b.job, g.shot)
}

/// One round trip: the record is ours under a new epoch, the budget holds our reservation.
async fn begin(f: &Arc<Front>, r: Read, nonce: u64, out: &Out) -> Option<Begun> {
    let ask = {
        let mut v = serde_json::to_vec(&r.b.messages).unwrap_or_default();
        v.push(b'\t');
        v
    };
    let limit = f.book.config.load().1.budgets.get(&r.fam.budget).map(|b| b.tokens);
    let hand = f.hand.lock().unwrap().get(&r.key).cloned();
    let body = serde_json::to_vec(&(&r.b.program, &r.b.session, &r.b.messages, r.b.max_output)).unwrap_or_default();
    let a = Ask::Begin(yewcross::ask::Begin {
        key: r.key.clone(),
        job: r.b.job.clone(),
        digest: mark(&body),
        nonce,
        front: f.st.name.clone(),
        left: (r.horizon.saturating_sub(f.w.now())) / MS,
        budget: limit.map(|l| (r.fam.budget.clone(), l)),
        max_out: r.max_out,
        keep: r.fam.keep_ms,
        hand: hand.as_ref().map(|h| (h.len() as u64, mark(h))),
    });
    match f.store_until(&r.key, &a, &[], 3, r.patience).await {
        Some((Tell::Begun(g), blob)) => {
            let hist = if g.whole { blob } else { hand.unwrap_or_default() };
            let all = tokens(hist.len() + ask.len());
            if all > r.fam.max_prompt {
                f.abort(&r.key, &r.b.job, nonce, purse(f, &r));
                no(out, Code::TooLarge, "the prompt with its history passes max_prompt", 0).await;
                return None;
            }
            Some(Begun { nonce, shot: nonce, lost: false, epoch: g.epoch, kv: g.kv, hist, ask, r })
        }
        Some((Tell::Kept { .. }, blob)) => {
            f.counts.replayed.fetch_add(1, SeqCst);
            match serde_json::from_slice::<Kept>(&blob) {
                Ok(k) => {
                    let _ = out.send(Event::End(Box::new(k), 1, true)).await;
                }
                Err(_) => no(out, Code::Forgotten, "", 0).await,
            }
            None
        }
        Some((Tell::No(Code::Undecided | Code::StoreAway), _)) | None => {
            f.abort(&r.key, &r.b.job, nonce, purse(f, &r));
            no(out, Code::StoreAway, "", BACK_SOON).await;
            None
        }
        Some((Tell::No(c), _)) => {
            no(out, c, "", c.back()).await;
            None
        }
        Some(_) => {
            no(out, Code::StoreAway, "", BACK_SOON).await;
            None
        }
    }
}

/// The judges' pick, with a verified connection to it. No import is waited for: while the session's home is full, its
/// replica is brought in beside the wait, and a turn that must move before that is served cold.
async fn place(f: &Arc<Front>, g: &mut Begun, not: &mut Vec<String>, pass: &mut Option<Pass<'_>>) -> Option<(Pick, Back<Verified>)> {
    let w = Weights::from(&g.r.fam);
    let began = f.w.now();
    let mut asked = false;
    loop {
        let left = g.r.horizon.checked_sub(f.w.now() + HORIZON_SPARE)?;
        if !f.follow.serving() {
            return None;
        }
        let servers = news::fit(f, &g.r.fam.service);
        if servers.iter().all(|s| not.contains(&s.at.server)) {
            return None;
        }
        let kv = kv::known(f, &g.r.key, &g.kv);
        let case =
            Case { key: &g.r.key, site: &f.st.site, tokens: tokens(g.hist.len() + g.ask.len()), max_out: g.r.max_out, kv: &kv, left };
        let mut beside = || {
            let due = |r: Place| Due { key: g.r.key.clone(), service: g.r.fam.service.clone(), replica: r, tell: false };
            let room = |r: &&Place| !r.digest.is_empty() && servers.iter().any(|s| s.at.server == r.server && s.free() > 0);
            if let Some(r) = kv.replica.as_ref().filter(room)
                && !std::mem::replace(&mut asked, true)
            {
                kv::ahead(f, due(r.clone()), true);
            }
        };
        let Some(p) = judge::pick(&servers, &case, &w, not) else {
            let could = servers.iter().filter(|s| !not.contains(&s.at.server));
            let hopeless = could.map(|s| judge::takes(s, &case, &judge::warmth(s, &case))).all(|t| t > left);
            if hopeless || f.w.now() > g.r.patience {
                return None;
            }
            beside();
            f.w.sleep(20 * MS).await;
            continue;
        };
        // A full home is waited for no longer than the move would cost over staying.
        let stay = servers.iter().find(|s| g.kv.home.as_ref().is_some_and(|h| h.server == s.at.server) && !not.contains(&s.at.server));
        let stay = stay.filter(|s| p.server.at.server != s.at.server).map(|s| (s, judge::warmth(s, &case)));
        if let Some((s, m @ Warmth::Held(_))) = stay {
            let more = p.takes.saturating_sub(judge::takes(s, &case, &m));
            if f.w.now() < (began + more.min(left.saturating_sub(p.takes))).min(g.r.patience) {
                *pass = None;
                beside();
                f.w.sleep(20 * MS).await;
                continue;
            }
        }
        let at = &p.server.at;
        let b = match f.pool.get(&f.w, &g.r.fam.service, &at.server, at.addr).await {
            Ok(b) => b,
            Err(e) => {
                if e.kind() == std::io::ErrorKind::PermissionDenied {
                    f.counts.strangers.fetch_add(1, SeqCst);
                }
                f.slowed(&at.server);
                not.push(at.server.clone());
                continue;
            }
        };
        if matches!(p.warmth, Warmth::Import(_)) {
            f.counts.unready.fetch_add(1, SeqCst);
        }
        return Some((p, b));
    }
}

enum Shot {
    Ran(Box<Ran>),
    /// The server said so itself, or nothing was sent.
    NotRun(Box<Begun>),
    Lost(Box<Begun>, bool),
    /// Cut short for want of a listener, after so many tokens.
    Left(Box<Begun>, u64),
}

async fn shot(f: &Arc<Front>, g: Begun, p: &Pick, b: Back<Verified>, out: &Out) -> Shot {
    let job = shot_id(&g);
    let mut prompt = g.hist.clone();
    prompt.extend(&g.ask);
    let left = g.r.horizon.saturating_sub(f.w.now());
    // Fenced last: what was decided before a freeze is decided again.
    if !f.follow.serving() || !news::fit(f, &g.r.fam.service).iter().any(|s| s.at == p.server.at) {
        return Shot::NotRun(Box::new(g));
    }
    let body = json!({"job": job, "session": g.r.key, "program": g.r.b.program, "service": g.r.fam.service,
        "prompt": String::from_utf8_lossy(&prompt), "max_output": g.r.max_out, "horizon_ms": left / MS});
    let p_at = p.server.at.clone();
    let started = f.w.now();
    let mut r = match b.send(&f.w, "/turn", serde_json::to_vec(&body).unwrap_or_default(), left + PIECE_WAIT).await {
        Sent::Answered(r) => r,
        Sent::Lost => return Shot::Lost(Box::new(g), false),
    };
    if !r.status().is_success() {
        let v = f.w.within(BACK_WAIT, yewcross::http::body(&mut r, 64 << 10)).await.and_then(|v| v.ok()).unwrap_or_default();
        let v: Value = serde_json::from_slice(&v).unwrap_or_default();
        let said = v["refused"] == json!(true) && serde_json::from_value::<Stamp>(v["stamp"].clone()).is_ok_and(|s| b.stamped(&s, &job));
        return if said { Shot::NotRun(Box::new(g)) } else { Shot::Lost(Box::new(g), false) };
    }
    let mut lines = Lines::of(&mut r);
    let (mut n, mut text) = (0u64, String::new());
    loop {
        let until = g.r.horizon + PIECE_WAIT;
        let Some(l) = lines.next(&f.w, PIECE_WAIT.min(until.saturating_sub(f.w.now()))).await else {
            return Shot::Lost(Box::new(g), n > 0);
        };
        if let Ok(p) = serde_json::from_slice::<Piece>(&l) {
            if p.n != n || tokens(text.len() + p.text.len()) > g.r.max_out + 1 {
                f.counts.broken.fetch_add(1, SeqCst);
                return Shot::Lost(Box::new(g), n > 0);
            }
            text += &p.text;
            n += 1;
            let gone = out.send(Event::Piece(p.n, p.text)).await.is_err();
            // A run that may be repeated is cut short when nobody listens; one that may not goes on and is kept.
            if gone && g.r.fam.repeatable {
                f.counts.cancelled.fetch_add(1, SeqCst);
                // What was passed on is not what it put out: only its own stamped word says less than all.
                let said = cancel(f, &p_at, &g.r.fam.service, &job).await;
                let used = said.filter(|c| b.stamped(&c.stamp, &job)).and_then(|c| c.output).unwrap_or(g.r.max_out).min(g.r.max_out);
                return Shot::Left(Box::new(g), used);
            }
            continue;
        }
        let e = serde_json::from_slice::<End>(&l).ok();
        let whole = e.filter(|e| e.end && e.pieces == n && e.digest == digest(text.as_bytes()) && b.stamped(&e.stamp, &job));
        let Some(e) = whole else {
            f.counts.broken.fetch_add(1, SeqCst);
            return Shot::Lost(Box::new(g), n > 0);
        };
        if lines.drained(&f.w).await {
            f.pool.put(&f.w, b);
        }
        f.lines.took(&g.r.fam.service, f.w.now() - started);
        kv::count(f, &g.r.fam, &g.kv, &e.stamp.server, e.prompt, e.reused);
        let stamp = Stamp { job: g.r.b.job.clone(), ..e.stamp };
        let kept = Kept { digest: e.digest, prompt: e.prompt, reused: e.reused, output: e.output.min(g.r.max_out), stamp, text };
        return Shot::Ran(Box::new(Ran { g, kept, placed: e.placed, pieces: n }));
    }
}

/// One round trip: history, outcome and budget are on a majority before the end line goes out.
async fn keep(f: Arc<Front>, x: Ran, out: &Out) {
    let Ran { g, kept, placed, pieces } = x;
    let mut line = g.ask.clone();
    line.extend(serde_json::to_vec(&kept.text).unwrap_or_default());
    let mut prefix = g.hist.clone();
    prefix.extend(&line);
    line.push(b'\n');
    let mut hist = g.hist.clone();
    hist.extend(&line);
    g.r.fam.history.trim(&mut hist);
    let home = Place {
        server: kept.stamp.server.clone(),
        inst: kept.stamp.inst,
        weights: kept.stamp.weights.clone(),
        tokens: tokens(prefix.len()),
        digest: digest(&prefix),
        mark: placed,
    };
    let pushed = f.replicas.lock().unwrap().get(&g.r.key).cloned();
    let replica =
        pushed.or(g.kv.replica.clone()).filter(|r| r.weights == home.weights && r.server != home.server && g.kv.program == g.r.b.program);
    let kv = Kv { home: Some(home), replica, program: g.r.b.program.clone() };
    let c = Commit {
        key: g.r.key.clone(),
        job: g.r.b.job.clone(),
        epoch: g.epoch,
        nonce: g.nonce,
        code: Code::Done,
        used: kept.output,
        rule: g.r.fam.history,
        kv: kv.clone(),
        hist: line.len() as u64,
    };
    let mut blob = line;
    blob.extend(serde_json::to_vec(&kept).unwrap_or_default());
    let a = Ask::Commit(c);
    loop {
        match f.store(&g.r.key, &a, &blob, 1).await {
            Some((Tell::Committed, _)) => break,
            Some((Tell::No(Code::MayHaveRun), _)) => return no(out, Code::MayHaveRun, "the session went on without it", 0).await,
            _ if f.w.now() > g.r.horizon => return no(out, Code::Undecided, "the outcome is not yet kept", BACK_SOON).await,
            _ => f.w.sleep(30 * MS).await,
        }
    }
    f.counts.done.fetch_add(1, SeqCst);
    f.remember(&g.r.key, hist);
    let _ = out.send(Event::End(Box::new(kept), pieces, false)).await;
    kv::share(f, kv::Fresh { key: g.r.key, epoch: g.epoch, kv, fam: g.r.fam }).await;
}

#[derive(Deserialize)]
struct Stopped {
    output: Option<u64>,
    stamp: Stamp,
}

async fn cancel(f: &Arc<Front>, at: &Listed, svc: &str, job: &str) -> Option<Stopped> {
    let b = serde_json::to_vec(&json!({"job": job})).unwrap_or_default();
    let v = crate::back::ask_once(&f.w, &f.pool, svc, &at.server, at.addr, "/cancel", b, BACK_WAIT).await?;
    serde_json::from_slice(&v).ok()
}

/// Sent, and its outcome lost: told at once, then closed for good as "may have run", its reservation spent in full.
async fn lost(f: &Arc<Front>, g: Begun, out: &Out) {
    f.counts.lost.fetch_add(1, SeqCst);
    no(out, Code::MayHaveRun, "", 0).await;
    let all = g.r.max_out;
    close(f, g, Code::MayHaveRun, all).await;
}

async fn close(f: &Arc<Front>, g: Begun, code: Code, used: u64) {
    let c = Commit {
        key: g.r.key.clone(),
        job: g.r.b.job.clone(),
        epoch: g.epoch,
        nonce: g.nonce,
        code,
        used,
        rule: g.r.fam.history,
        kv: Kv { home: None, ..g.kv.clone() },
        hist: 0,
    };
    f.store(&g.r.key, &Ask::Commit(c), &[], 4).await;
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndBody {
    program: String,
    session: String,
}

/// The session is over: its history is forgotten and its replica dropped.
pub async fn end(f: Arc<Front>, j: Job) -> Response {
    let b: EndBody = match serde_json::from_slice(&j.body) {
        Ok(b) => b,
        Err(e) => return refuse(Code::BadBody, &e.to_string(), 0),
    };
    if !name_ok(&b.program) || !name_ok(&b.session) {
        return refuse(Code::BadField, "program or session", 0);
    }
    let Some(p) = f.book.config.load().1.families.get(&b.program).cloned() else { return refuse(Code::UnknownProgram, &b.program, 0) };
    let key = format!("session/{}/{}", b.program, b.session);
    match f.store(&key, &Ask::End { key: key.clone() }, &[], 3).await {
        Some((Tell::Ended { kv }, _)) => {
            let pushed = f.replicas.lock().unwrap().remove(&key);
            f.spares.forget(&key);
            f.hand.lock().unwrap().remove(&key);
            for at in kv.replica.into_iter().chain(pushed).chain(kv.home) {
                kv::drop_at(&f, &p.eff.service, &key, &at.server).await;
            }
            reply(200, &json!({"code": Code::Done.number(), "ended": true}))
        }
        Some((Tell::No(c), _)) => refuse(c, "", c.back()),
        _ => refuse(Code::StoreAway, "", BACK_SOON),
    }
}
