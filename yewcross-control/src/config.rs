//! Putting a configuration in force, and telling fronts whether a newer one may be.

use crate::Control;
use crate::api::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::book::DOCS;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::reg::*;
use yewcross::startup::Role;
use yewcross::tree::{Bad, Tree};
use yewcross::wire::Lost;

/// Grants are written down before the disk is looked at, so that a put that follows cannot miss one.
pub async fn newer(c: &Arc<Control>, have: Vec<(String, u64)>, front: bool, who: &str) -> Tell {
    if front && !who.is_empty() {
        c.grants.lock().unwrap().insert(who.into(), c.w.now() + SERVE_LEASE + 100 * MS);
    }
    let mut newest = vec![];
    for d in DOCS {
        let s = c.replica.peek(d).await.map(|s| s.seq).unwrap_or(0);
        newest.push((d.to_string(), s.max(c.book.page(d).seq)));
    }
    let l = c.book.layout.load();
    let seat = l.1.core.now.contains(&c.vault.id);
    let sure = seat && !c.vault.failed.load(SeqCst) && c.replica.peek("config").await.is_some() && !have.is_empty();
    Tell::Newer { newest, sure }
}

pub async fn doc(c: &Arc<Control>, name: &str) -> (Tell, Vec<u8>) {
    if !DOCS.contains(&name) {
        return (Tell::No(Code::BadField), vec![]);
    }
    if c.st.role != Role::Core || c.book.layout.load().0 == 0 {
        return (Tell::No(Code::NotFounded), vec![]);
    }
    // A core whose answers are lost on their way would only take the key from the one that has a majority.
    if !c.has_quorum_contact() {
        return (Tell::No(Code::NoMajority), vec![]);
    }
    match c.owner.newest(name, PEER_WAIT).await {
        Ok((seq, epoch, v)) => {
            if seq > 0 {
                c.book.adopt(name, seq, epoch, v.to_vec());
            }
            (Tell::Doc { seq, epoch }, v.to_vec())
        }
        Err(_) => (Tell::No(Code::NoMajority), vec![]),
    }
}

pub async fn grants(c: &Arc<Control>, name: &str, seq: u64) -> Tell {
    let s = c.replica.peek(name).await.map(|s| s.seq).unwrap_or(0);
    let t = c.w.now();
    let mut g = c.grants.lock().unwrap();
    g.retain(|_, u| *u > t);
    Tell::Grants {
        seq: if s >= seq { s } else { 0 },
        fronts: g.iter().map(|(f, u)| (f.clone(), u - t)).collect(),
        proved: c.proved.load(SeqCst),
    }
}

pub enum Put {
    InForce(u64),
    No(Code, String, Vec<Bad>),
}

/// Written down on disk as well, so that lists of fronts long gone are not asked for after a restart.
pub async fn proved(c: &Arc<Control>, seq: u64) -> Tell {
    if c.proved.fetch_max(seq, SeqCst) < seq {
        let _ = c.vault.keep("local", "proved", seq, &seq.to_le_bytes()).await;
    }
    Tell::Ok
}

/// Every list of fronts whose members may yet hold each other's leases: this version's own, and those back to the last
/// version proved in force, that one included.
pub fn lists(d: &ConfigDoc, proved: u64) -> Vec<Vec<String>> {
    let fronts = |text: &str| Tree::read(text.as_bytes()).map(|t| t.fronts).unwrap_or_default();
    let mut v = vec![fronts(&d.text)];
    let mut older = true;
    d.past.iter().take_while(|p| std::mem::replace(&mut older, p.0 > proved)).for_each(|p| v.push(fronts(&p.2)));
    v.retain(|l| !l.is_empty());
    v.sort();
    v.dedup();
    v
}

/// The first list that could not be proved now, most of its fronts being gone; the planner asks the same.
pub fn gone(lists: &[Vec<String>], up: impl Fn(&str) -> bool) -> Option<Bad> {
    let l = lists.iter().find(|l| l.iter().filter(|f| up(f)).count() < majority(l.len()))?;
    Some(Bad {
        path: "fronts".into(),
        why: format!("a majority of {} must be up, so that none of them can serve by an older version", l.join(", ")),
    })
}

/// Checks, decides, carries to all, and answers only once no front can serve by an older one.
pub async fn put(c: &Arc<Control>, base: u64, text: String, note: String, dry: bool) -> Put {
    if let Err(b) = Tree::read(text.as_bytes()) {
        return Put::No(Code::BadConfig, String::new(), b);
    }
    if c.book.layout.load().0 == 0 {
        return Put::No(Code::NotFounded, String::new(), vec![]);
    }
    if dry {
        let now = c.book.config.load();
        return if now.0 == base { Put::InForce(base) } else { Put::No(Code::Conflict, format!("newest is {}", now.0), vec![]) };
    }
    c.counts.puts.fetch_add(1, SeqCst);
    let id = format!("{}-{:016x}", c.st.name, c.w.rand());
    let view = c.members.view.load_full();
    let mut last = Vec::new();
    let got = c
        .owner
        .change("config", PUT_WAIT, |seq, v| {
            let d: ConfigDoc = serde_json::from_slice(v).unwrap_or_default();
            let mine = if d.put == id { Some(seq) } else { d.past.iter().find(|p| p.1 == id).map(|p| p.0) };
            if let Some(s) = mine {
                last = v.to_vec();
                return Step::Keep(Ok(s));
            }
            if seq != base {
                return Step::Keep(Err((seq, None)));
            }
            let mut past = d.past.clone();
            if seq > 0 {
                past.insert(0, (seq, d.put.clone(), d.text.clone()));
                past.truncate(PAST_KEPT);
            }
            let n = ConfigDoc { text: text.clone(), put: id.clone(), note: note.clone(), past, number: 0 };
            let proved = c.proved.load(SeqCst);
            let lost = n.past.len() == PAST_KEPT && n.past.last().is_some_and(|p| p.0 > proved);
            let why = lost.then(|| Bad { path: "fronts".into(), why: format!("none of the last {PAST_KEPT} versions is proved in force") });
            if let Some(b) = why.or_else(|| gone(&lists(&n, proved), |f| view.contains_key(f))) {
                return Step::Keep(Err((seq, Some(b))));
            }
            last = serde_json::to_vec(&n).unwrap_or_default();
            Step::Write(last.clone(), Ok(seq + 1))
        })
        .await;
    match got {
        Ok(Ok(s)) => {
            let (top, epoch, raw) = match c.owner.read("config", PEER_WAIT).await {
                Ok(x) => x,
                Err(_) => return Put::No(Code::Undecided, format!("version {s} is stored, not yet proved in force"), vec![]),
            };
            if carry(c, "config", top, epoch, &raw).await {
                Put::InForce(s)
            } else {
                Put::No(Code::Undecided, format!("version {s} is stored, not yet proved in force"), vec![])
            }
        }
        Ok(Err((_, Some(b)))) => Put::No(Code::NoMajority, b.why, vec![]),
        Ok(Err((s, None))) => Put::No(Code::Conflict, format!("newest is {s}"), vec![]),
        Err(Trouble::NotDone) => Put::No(Code::NoMajority, String::new(), vec![]),
        Err(Trouble::Undecided) => Put::No(Code::Undecided, "some disk may hold it".into(), vec![]),
    }
}

/// Sends a decided document to every node; true once none can act on an older one.
pub async fn carry(c: &Arc<Control>, name: &str, seq: u64, epoch: Epoch, raw: &Arc<Vec<u8>>) -> bool {
    c.book.adopt(name, seq, epoch, raw.to_vec());
    let t0 = c.w.now();
    let (tx, rx) = async_channel::unbounded::<(String, bool)>();
    c.members.all().into_iter().filter(|n| n.name != c.st.name).for_each(|n| {
        let (me, tx, raw, name) = (c.clone(), tx.clone(), raw.clone(), name.to_string());
        c.w.go(async move {
            let a = Ask::Adopt { name, seq, epoch };
            while me.w.now() < t0 + PUT_WAIT {
                match me.peers.ask(n.peer, &a, &raw, PEER_WAIT).await {
                    Ok((Tell::Adopted { seq: s }, _)) if s >= seq => {
                        let _ = tx.try_send((n.name.clone(), n.role == Role::Front));
                        return;
                    }
                    _ => me.w.sleep(50 * MS).await,
                }
            }
        });
    });
    if name != "config" {
        return true;
    }
    let lay = c.book.layout.load_full();
    let cores: Vec<_> = lay.1.core.now.iter().filter_map(|d| c.members.by_disk(d).map(|n| (d.clone(), n.peer))).collect();
    let (gx, gr) = async_channel::unbounded::<(String, Vec<(String, u64)>, u64)>();
    cores.into_iter().for_each(|(d, to)| {
        let (me, gx) = (c.clone(), gx.clone());
        c.w.go(async move {
            while me.w.now() < t0 + PUT_WAIT {
                let a = Ask::Grants { name: "config".into(), seq };
                let r = if to == me.st.peer {
                    Some(grants(&me, "config", seq).await)
                } else {
                    me.peers.ask(to, &a, &[], PEER_WAIT).await.ok().map(|x| x.0)
                };
                match r {
                    Some(Tell::Grants { seq: s, fronts, proved }) if s >= seq => {
                        me.proved.fetch_max(proved, SeqCst);
                        let _ = gx.try_send((d, fronts, me.w.now()));
                        return;
                    }
                    _ => me.w.sleep(30 * MS).await,
                }
            }
        });
    });
    let need = majority(lay.1.core.now.len());
    let doc: ConfigDoc = serde_json::from_slice(raw).unwrap_or_default();
    let mut at = c.proved.load(SeqCst);
    let mut fronts = lists(&doc, at);
    let (mut seen, mut owed, mut adopted, mut most_at) = (0, std::collections::BTreeMap::<String, u64>::new(), BTreeSet::new(), None);
    while c.w.now() < t0 + PUT_WAIT {
        while let Ok((_, g, t)) = gr.try_recv() {
            seen += 1;
            g.into_iter().for_each(|(f, left)| {
                let e = owed.entry(f).or_default();
                *e = (*e).max(t + left);
            });
        }
        while let Ok((n, true)) = rx.try_recv() {
            adopted.insert(n);
        }
        let t = c.w.now();
        // Who granted a lease tells at once what is proved; until then every older list counts.
        let known = c.proved.load(SeqCst);
        if known != at {
            (at, fronts) = (known, lists(&doc, known));
        }
        let most = fronts.iter().all(|l| l.iter().filter(|f| adopted.contains(*f)).count() >= majority(l.len()));
        if most && most_at.is_none() {
            most_at = Some(t);
        }
        let quiet = owed.iter().all(|(f, u)| adopted.contains(f) || t > *u);
        let named = most_at.is_some_and(|m| t > m + SERVE_LEASE + 100 * MS || fronts.iter().flatten().all(|f| adopted.contains(f)));
        if seen >= need && most && quiet && named {
            let a = Ask::Proved { seq };
            lay.1.core.now.iter().filter_map(|d| c.members.by_disk(d)).filter(|n| n.name != c.st.name).for_each(|n| {
                let (p, a) = (c.peers.clone(), a.clone());
                c.w.go(async move {
                    let _ = p.ask(n.peer, &a, &[], PEER_WAIT).await;
                });
            });
            proved(c, seq).await;
            return true;
        }
        c.w.sleep(5 * MS).await;
    }
    false
}

/// us. A put that finds no majority is told so within this, so that the operator moves on.
fn patience(c: &Control) -> u64 {
    (c.st.bounds.ack * MS / 4).min(1_500 * MS)
}

enum Ordered {
    /// The version, and the document as it now stands.
    Stands(u64, u64, Vec<u8>),
    Conflict(u64),
    Bad(Vec<Bad>),
}

/// What an order makes of the document. Run again on a document that has its change, it says so again.
fn decide(seq: u64, v: &[u8], base: u64, text: &str, number: Option<u64>, id: &str) -> Step<Ordered> {
    let d: ConfigDoc = serde_json::from_slice(v).unwrap_or_default();
    let now = if number.is_some() { d.number } else { seq };
    if d.text == text && !text.is_empty() {
        return Step::Keep(Ordered::Stands(now, seq, v.to_vec()));
    }
    let mark = crate::config::mark(text);
    if let Some(p) = d.past.iter().find(|p| number.is_some() && p.1 == mark) {
        return Step::Keep(Ordered::Stands(p.0, seq, v.to_vec()));
    }
    if base != now {
        return Step::Keep(Ordered::Conflict(now));
    }
    let next = number.unwrap_or(seq + 1);
    if next <= now {
        return Step::Keep(Ordered::Bad(vec![Bad { path: "number".into(), why: format!("must be above {now}") }]));
    }
    let mut past = d.past.clone();
    if !d.text.is_empty() {
        past.insert(0, (now, crate::config::mark(&d.text), String::new()));
        past.truncate(ORDERS_KEPT);
    }
    let n = ConfigDoc { text: text.into(), put: id.into(), note: String::new(), past, number: number.unwrap_or(0) };
    let raw = serde_json::to_vec(&n).unwrap_or_default();
    Step::Write(raw.clone(), Ordered::Stands(next, seq + 1, raw))
}

fn mark(text: &str) -> String {
    yewcross::hash::mark(text.as_bytes())
}

/// An operator's text on top of a version: checked, decided by a majority of core disks, then carried.
pub async fn order(c: &Arc<Control>, base: u64, text: Vec<u8>) -> PutAnswer {
    let bad = |path: &str, why: &str| PutAnswer::Bad(vec![Bad { path: path.into(), why: why.into() }]);
    let Ok(text) = String::from_utf8(text) else { return bad("", "not UTF-8") };
    if c.options.rollout == Rollout::Proved {
        return match put(c, base, text, String::new(), false).await {
            Put::InForce(v) => PutAnswer::InForce(v),
            Put::No(Code::BadConfig, _, b) => PutAnswer::Bad(b),
            Put::No(Code::Conflict, _, _) => PutAnswer::Conflict(c.book.config.load().0),
            Put::No(Code::NotFounded, ..) => PutAnswer::NotFounded,
            Put::No(Code::NoMajority, ..) => PutAnswer::NoMajority,
            Put::No(..) => PutAnswer::Undecided,
        };
    }
    if let Err(b) = c.options.dialect.read(text.as_bytes()) {
        return PutAnswer::Bad(b);
    }
    if c.book.layout.load().0 == 0 {
        return PutAnswer::NotFounded;
    }
    c.counts.puts.fetch_add(1, SeqCst);
    let number = c.options.dialect.number(text.as_bytes());
    let (tx, rx) = async_channel::bounded(1);
    let me = c.clone();
    // It runs on its own: whoever asked may go, and half a change is never dropped.
    c.w.go(async move {
        let id = format!("{}-{:016x}", me.st.name, me.w.rand());
        let us = patience(&me) * 9 / 10;
        let got = me.owner.change("config", us, |seq, v| decide(seq, v, base, &text, number, &id)).await;
        let r = match got {
            Ok(Ordered::Stands(n, seq, raw)) => {
                push(&me, "config", seq, raw);
                PutAnswer::InForce(n)
            }
            Ok(Ordered::Conflict(n)) => PutAnswer::Conflict(n),
            Ok(Ordered::Bad(b)) => PutAnswer::Bad(b),
            Err(Trouble::NotDone) => PutAnswer::NoMajority,
            Err(Trouble::Undecided) => PutAnswer::Undecided,
        };
        let _ = tx.try_send(r);
    });
    c.w.within(patience(c), rx.recv()).await.and_then(|r| r.ok()).unwrap_or(PutAnswer::Undecided)
}

pub async fn newest(c: &Arc<Control>) -> ReadAnswer {
    if c.book.layout.load().0 == 0 {
        return ReadAnswer::Away;
    }
    match c.owner.newest("config", PEER_WAIT).await {
        Ok((seq, epoch, raw)) => {
            c.book.adopt("config", seq, epoch, raw.to_vec());
            let d: ConfigDoc = serde_json::from_slice(&raw).unwrap_or_default();
            let n = if c.options.dialect.number(d.text.as_bytes()).is_some() { d.number } else { seq };
            if d.text.is_empty() { ReadAnswer::None } else { ReadAnswer::Text(n, d.text.into()) }
        }
        Err(_) => ReadAnswer::Away,
    }
}

/// Tells every node of a decided document, once; whoever misses it asks for it soon. Who holds the version before gets
/// only what changed.
pub fn push(c: &Arc<Control>, name: &'static str, seq: u64, raw: Vec<u8>) {
    let was = c.book.page(name);
    c.book.adopt(name, seq, Epoch::default(), raw.clone());
    let delta = Some(yewcross::delta::diff(&was.raw, &raw)).filter(|d| was.seq > 0 && was.seq < seq && 2 * d.len() < raw.len());
    let (raw, delta) = (Arc::new(raw), Arc::new(delta));
    let mut ns: Vec<_> = c.members.view.load().values().filter(|n| n.name != c.st.name).cloned().collect();
    ns.sort_by_key(|n| (n.role != Role::Core, n.role != Role::Store));
    ns.into_iter().for_each(|n| {
        let (me, raw, delta, base) = (c.clone(), raw.clone(), delta.clone(), was.seq);
        c.w.go(async move {
            let (name, epoch) = (name.to_string(), Epoch::default());
            if let Some(d) = &*delta {
                let a = Ask::Patch { name: name.clone(), seq, epoch, base };
                match me.peers.ask(n.peer, &a, d, PEER_WAIT).await {
                    Ok((Tell::Adopted { seq: s }, _)) if s >= seq => return,
                    Err(Lost::Unsent) => return,
                    _ => {}
                }
            }
            for _ in 0..2 {
                let a = Ask::Adopt { name: name.clone(), seq, epoch };
                match me.peers.ask(n.peer, &a, &raw, PEER_WAIT).await {
                    Ok(_) | Err(Lost::Unsent) => return,
                    Err(Lost::Unknown) => {}
                }
            }
        });
    });
}
