//! Which disks carry what: founding, changes under majorities of old and new, the sweep that fills copies.

use crate::api::*;
use crate::{Control, config};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::book::DOCS;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::member::Node;
use yewcross::reg::*;
use yewcross::startup::Role;

/// A core disk takes part only after it was founded, or once a decided layout names it.
pub async fn found_here(c: &Arc<Control>, blob: Vec<u8>) -> Tell {
    let p = c.book.page("layout");
    if p.seq > 0 {
        return if *p.raw == blob { Tell::Ok } else { Tell::No(Code::Conflict) };
    }
    let b = serde_json::to_vec(&(1u64, Epoch::default(), String::from_utf8_lossy(&blob))).unwrap_or_default();
    if c.vault.keep("local", "layout", 1, &b).await.is_err() {
        return Tell::No(Code::StoreAway);
    }
    c.book.adopt("layout", 1, Epoch::default(), blob);
    c.replica.lay.fetch_max(1, SeqCst);
    Tell::Ok
}

/// Founds the tier from the machines named; all of them must be there and new.
pub async fn found(c: &Arc<Control>, cores: &[String], stores: &[String]) -> Result<(), (Code, String)> {
    let view = c.members.view.load_full();
    let (mut names, mut sites) = (BTreeMap::new(), BTreeMap::new());
    let mut ids = |ns: &[String], r: Role| -> Result<Vec<String>, (Code, String)> {
        ns.iter()
            .map(|n| {
                let x = view.get(n).filter(|x| x.role == r && !x.disk.is_empty());
                let x = x.ok_or((Code::BadLayout, format!("{n} is not a known {r:?} machine with a disk")))?;
                names.insert(x.disk.clone(), n.clone());
                sites.insert(x.disk.clone(), x.site.clone());
                Ok(x.disk.clone())
            })
            .collect()
    };
    let core = Group { now: ids(cores, Role::Core)?, old: vec![] };
    let store = Group { now: ids(stores, Role::Store)?, old: vec![] };
    if core.now.len() < 3 || store.now.len() < STORE_COPIES {
        return Err((Code::BadLayout, "at least three core and three store machines are needed".into()));
    }
    let raw = serde_json::to_vec(&Layout { core, store, names, sites, turn: 1, ..Default::default() }).unwrap_or_default();
    for n in cores.iter().filter_map(|n| view.get(n)) {
        let t = if n.name == c.st.name {
            found_here(c, raw.clone()).await
        } else {
            c.peers.ask(n.peer, &Ask::Found, &raw, PEER_WAIT).await.map(|x| x.0).unwrap_or(Tell::No(Code::StoreAway))
        };
        if !matches!(t, Tell::Ok) {
            return Err((Code::Conflict, format!("{} is founded otherwise or cannot be reached", n.name)));
        }
    }
    let got = c.owner.change("layout", PUT_WAIT, |s, _| if s == 0 { Step::Write(raw.clone(), ()) } else { Step::Keep(()) }).await;
    got.map_err(|_| (Code::Undecided, "founding is not yet decided; send it again".to_string()))?;
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    let first = c.owner.change("config", PUT_WAIT, |s, _| if s == 0 { Step::Write(empty.clone(), ()) } else { Step::Keep(()) }).await;
    first.map_err(|_| (Code::Undecided, "founding is not yet decided; send it again".to_string()))?;
    for d in ["layout", "config"] {
        if let Ok((seq, epoch, v)) = c.owner.read(d, PEER_WAIT).await {
            let (me, d) = (c.clone(), d.to_string());
            c.w.go(async move {
                config::carry(&me, &d, seq, epoch, &v).await;
            });
        }
    }
    Ok(())
}

#[derive(Clone, Debug, PartialEq)]
pub enum Move {
    Empty(String),
    Admit(String),
    Replace(String, String),
}

/// The layout that a change would begin with, `None` if it already stands; the planner asks the same.
pub fn propose(l: &Layout, seq: u64, m: &Move, of: impl Fn(&str) -> Option<Node>) -> Result<Option<Layout>, String> {
    let mut l = l.clone();
    let seated = |d: &String| l.store.now.contains(d) || l.core.now.contains(d);
    let seat = |d: &str| {
        let by_name = l.names.iter().find(|x| x.1 == d && seated(x.0)).map(|x| x.0.clone());
        if l.names.contains_key(d) { Some(d.to_string()) } else { by_name }
    };
    let (out, put) = match m {
        Move::Empty(d) => (Some(d), None),
        Move::Admit(d) => (None, Some(d)),
        Move::Replace(a, b) => (Some(a), Some(b)),
    };
    let out = out.map(|d| seat(d).ok_or(format!("{d} has no seat"))).transpose()?;
    let put = put.map(|d| of(d).filter(|n| !n.disk.is_empty()).ok_or(format!("{d} is not a live machine with a disk"))).transpose()?;
    let of_core = |d: &String| l.core.now.contains(d) || l.core.old.contains(d);
    let core = out.as_ref().map(of_core).unwrap_or(put.as_ref().is_some_and(|n| n.role == Role::Core));
    let mut was = if core { l.core.now.clone() } else { l.store.now.clone() };
    was.sort();
    let mut now = was.clone();
    now.retain(|d| Some(d) != out.as_ref());
    now.extend(put.iter().map(|n| n.disk.clone()).filter(|d| !was.contains(d)));
    now.sort();
    if now == was {
        return Ok(None);
    }
    if !l.core.old.is_empty() || !l.store.old.is_empty() {
        return Err("another change of disks is under way".into());
    }
    if put.as_ref().is_some_and(|n| (n.role == Role::Core) != core) {
        return Err("a core seat needs a core machine, a store seat a store machine".into());
    }
    if now.len() < STORE_COPIES {
        return Err("too few disks would be left".into());
    }
    l.names.extend(put.iter().map(|n| (n.disk.clone(), n.name.clone())));
    l.sites.extend(put.iter().map(|n| (n.disk.clone(), n.site.clone())));
    let g = if core { &mut l.core } else { &mut l.store };
    g.old = std::mem::replace(&mut g.now, now);
    l.turn = seq + 1;
    Ok(Some(l))
}

/// Begins a change of disks. The same change asked again is no new one.
pub async fn begin(c: &Arc<Control>, m: Move) -> Result<u64, (Code, String)> {
    let view = c.members.view.load_full();
    let of = |d: &str| view.values().find(|n| n.disk == d || n.name == d).cloned();
    let got = c
        .owner
        .change("layout", PUT_WAIT, |seq, v| {
            let Ok(l) = serde_json::from_slice::<Layout>(v) else { return Step::Keep(Err((Code::NotFounded, String::new()))) };
            match propose(&l, seq, &m, of) {
                Err(why) => Step::Keep(Err((Code::BadLayout, why))),
                Ok(None) => Step::Keep(Ok(seq)),
                Ok(Some(n)) => Step::Write(serde_json::to_vec(&n).unwrap_or_default(), Ok(seq + 1)),
            }
        })
        .await;
    let r = got.unwrap_or_else(|t| Err((if t == Trouble::NotDone { Code::NoMajority } else { Code::Undecided }, String::new())));
    spread(c).await;
    r
}

async fn spread(c: &Arc<Control>) {
    if let Ok((seq, epoch, v)) = c.owner.read("layout", PEER_WAIT).await {
        let me = c.clone();
        c.w.go(async move {
            config::carry(&me, "layout", seq, epoch, &v).await;
        });
    }
}

/// How many of the old seats have kept this layout and found all their keys whole under it.
pub async fn progress(c: &Arc<Control>) -> (u64, Vec<(String, bool, u64)>) {
    let l = c.book.layout.load_full();
    let g = if l.1.core.old.is_empty() { &l.1.store } else { &l.1.core };
    let mut v = vec![];
    for d in &g.old {
        let r = match c.members.by_disk(d) {
            Some(n) if n.name == c.st.name => Some(c.hear(Ask::SweepDone { layout: l.0 }, vec![], "").await.0),
            Some(n) => c.peers.ask(n.peer, &Ask::SweepDone { layout: l.0 }, &[], PEER_WAIT).await.ok().map(|x| x.0),
            None => None,
        };
        match r {
            Some(Tell::Swept { done, left }) => v.push((d.clone(), done, left)),
            _ => v.push((d.clone(), false, 0)),
        }
    }
    (l.0, v)
}

/// The layout duty: finishes changes, and replaces the disk of a machine that came back empty.
pub async fn tend_layout(c: &Arc<Control>) {
    let l = c.book.layout.load_full();
    if l.0 == 0 {
        return;
    }
    if l.1.core.old.is_empty() && l.1.store.old.is_empty() {
        let back = c.members.view.load().values().find_map(|n| {
            let seats = if n.role == Role::Core { &l.1.core.now } else { &l.1.store.now };
            let lost = l.1.names.iter().find(|x| *x.1 == n.name && seats.contains(x.0) && *x.0 != n.disk)?.0.clone();
            (n.role != Role::Front && !n.disk.is_empty() && !l.1.names.contains_key(&n.disk)).then(|| (lost, n.disk.clone()))
        });
        if let Some((a, b)) = back.filter(|_| c.on_duty(1)) {
            c.w.log(&format!("disk {a} came back empty as {b}"));
            let _ = begin(c, Move::Replace(a, b)).await;
        }
        return;
    }
    let (at, v) = progress(c).await;
    let done = v.iter().filter(|x| x.1).count();
    if at != l.0 || done + 1 < v.len() || !c.on_duty(1) {
        return;
    }
    let got = c
        .owner
        .change("layout", PUT_WAIT, |seq, v| {
            let Ok(mut l) = serde_json::from_slice::<Layout>(v) else { return Step::Keep(()) };
            if seq != at {
                return Step::Keep(());
            }
            let live: Vec<String> = l.core.now.iter().chain(&l.store.now).cloned().collect();
            l.core.old.clear();
            l.store.old.clear();
            l.names.retain(|d, _| live.contains(d));
            l.sites.retain(|d, _| live.contains(d));
            Step::Write(serde_json::to_vec(&l).unwrap_or_default(), ())
        })
        .await;
    if got.is_ok() {
        c.w.log("change of disks done");
    }
    spread(c).await;
}

/// Every key on this disk is brought to all its copies, then again, at rest when nothing is amiss.
pub async fn sweep(c: Arc<Control>) {
    loop {
        let l = c.book.layout.load_full();
        let seated = |g: &Group| g.now.contains(&c.vault.id) || g.old.contains(&c.vault.id);
        if l.0 == 0 || !(seated(&l.1.core) || seated(&l.1.store)) {
            c.w.sleep(500 * MS).await;
            continue;
        }
        let moving = !l.1.core.old.is_empty() || !l.1.store.old.is_empty();
        let (mut keys, hurt) = c.replica.keys().await;
        // Holders of the same keys begin at different ones.
        let n = c.w.pick(keys.len());
        keys.rotate_left(n);
        let mut left = keys.len() as u64;
        let mut whole = hurt == 0;
        if hurt > 0 {
            call_for_help(&c);
        }
        for k in keys {
            c.sweep_left.store(left, SeqCst);
            left -= 1;
            if c.book.layout.load().0 != l.0 && moving {
                whole = false;
                break;
            }
            if c.replica.peek(&k).await.is_none() {
                continue;
            }
            let here = crate::place(&c.book, &c.members, &k).all().iter().any(|s| s.disk == c.vault.id);
            if !here && !moving {
                c.replica.forget(&k).await;
                continue;
            }
            c.counts.tended.fetch_add(1, SeqCst);
            // Through the key's first owner, so that holders of the same key do not take it from each other.
            let ok = matches!((c.store.route)(k.clone(), Ask::Tend { key: k.clone() }).await, Some(Tell::Ok));
            whole &= ok;
            let old = !DOCS.contains(&k.as_str()) && !k.starts_with("budget/");
            if ok && old && c.replica.peek(&k).await.is_some_and(|s| s.value.is_empty() || c.store.outlived(&s.value)) {
                (c.store.route)(k.clone(), Ask::Expire { key: k.clone() }).await;
            }
            c.w.sleep(if moving { MS } else { SWEEP_PAUSE }).await;
        }
        c.sweep_left.store(left, SeqCst);
        if whole && c.book.layout.load().0 == l.0 {
            c.swept.store(l.0, SeqCst);
        }
        let until = c.w.now() + if moving || !whole { SEC } else { SWEEP_REST };
        while c.w.now() < until && !c.sweep_now.swap(false, SeqCst) && c.book.layout.load().0 == l.0 {
            c.w.sleep(200 * MS).await;
        }
    }
}

/// The names of damaged keys are lost with them; only the other copies can tell.
fn call_for_help(c: &Arc<Control>) {
    let me = c.members.alive(c.st.role).into_iter().filter(|n| n.name != c.st.name);
    me.for_each(|n| {
        let p = c.peers.clone();
        c.w.go(async move {
            let _ = p.ask(n.peer, &Ask::SweepNow, &[], PEER_WAIT).await;
        });
    });
}

pub async fn retire(_c: &Arc<Control>, _node: &str) -> RetireBegin {
    RetireBegin::Away
}

pub async fn retired(_c: &Arc<Control>, _node: &str) -> RetireState {
    RetireState::Away
}
