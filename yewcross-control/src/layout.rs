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
use yewcross::member::{Node, State};
use yewcross::reg::*;
use yewcross::startup::Role;
use yewcross::world::Fut;

/// A core disk takes part only after it was founded, or once a decided layout names it.
pub async fn found_here(c: &Arc<Control>, blob: Vec<u8>) -> Tell {
    let _one = c.finding.lock().await;
    // The message goes to an address: only a disk that the layout names may found.
    let names_us = serde_json::from_slice::<Layout>(&blob).is_ok_and(|l| l.core.now.contains(&c.vault.id));
    if !names_us {
        return Tell::No(Code::Conflict);
    }
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
        if c.options.tends {
            return config::push(c, "layout", seq, v.to_vec());
        }
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
            Some(n) if n.name == c.st.name => Some(c.hear(Ask::SweepDone { layout: l.0, disk: d.clone() }, vec![], "").await.0),
            Some(n) => {
                let question = Ask::SweepDone { layout: l.0, disk: d.clone() };
                c.peers.ask(n.peer, &question, &[], PEER_WAIT).await.ok().map(|x| x.0)
            }
            None => None,
        };
        match r {
            Some(Tell::Swept { done, left, disk, .. }) if disk.is_empty() || disk == *d => v.push((d.clone(), done, left)),
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
    if at != l.0 || done + c.st.bounds.lost < v.len() || !c.on_duty(1) {
        return;
    }
    let got = c
        .owner
        .change("layout", PUT_WAIT, |seq, v| {
            let Ok(mut l) = serde_json::from_slice::<Layout>(v) else { return Step::Keep(()) };
            if seq != at {
                return Step::Keep(());
            }
            settle(&mut l);
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
        let moved = c.book.moved.listen();
        let l = c.book.layout.load_full();
        let seated = |g: &Group| g.now.contains(&c.vault.id) || g.old.contains(&c.vault.id);
        if l.0 == 0 || !(seated(&l.1.core) || seated(&l.1.store)) {
            c.w.within(SWEEP_REST, moved).await;
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
            if c.options.tends && DOCS.contains(&k.as_str()) && c.owner.uniform(&k).await {
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
        loop {
            let (m, s) = (c.book.moved.listen(), c.sweep_call.listen());
            let t = c.w.now();
            if t >= until || c.sweep_now.swap(false, SeqCst) || c.book.layout.load().0 != l.0 {
                break;
            }
            c.w.within(until - t, futures_lite::future::or(m, s)).await;
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

/// Founds the tier without a hand: the first core disks are those of the three machines that every node was told of, so
/// that all who try write the same. Ends once the first layout and the empty configuration are decided.
pub async fn found_self(c: Arc<Control>) {
    let told = serde_json::to_vec(&c.st.seeds).unwrap_or_default();
    let mut seeds = c.st.seeds.clone();
    let mut founds = c.st.found;
    if c.book.layout.load().0 == 0 {
        // A founder that restarts in the middle goes on.
        match c.vault.load("local", "founding").await {
            Ok(Some((_, b))) => {
                founds = true;
                seeds = serde_json::from_slice(&b).unwrap_or(seeds);
            }
            _ if founds => {
                let _ = c.vault.keep("local", "founding", 1, &told).await;
            }
            _ => {}
        }
    }
    let nth = seeds.iter().position(|a| *a == c.st.peer);
    loop {
        let (l, m) = (c.book.moved.listen(), c.members.moved.listen());
        let lay = c.book.layout.load_full();
        let seat = lay.1.core.now.iter().position(|d| *d == c.vault.id);
        if lay.0 == 0 {
            if let Some(raw) = nth.filter(|_| founds).and_then(|_| first(&c, &seeds)) {
                propose_first(&c, &seeds, raw).await;
            }
        } else if seat.is_none() || settle_first(&c, seat.unwrap_or(0)).await {
            c.duties.since.store(c.w.now(), SeqCst);
            c.founded.store(true, SeqCst);
            c.book.moved.notify(usize::MAX);
            return;
        }
        c.w.within(300 * MS, futures_lite::future::or(l, m)).await;
    }
}

/// The first layout, once all its machines are known.
fn first(c: &Arc<Control>, seeds: &[std::net::SocketAddr]) -> Option<Vec<u8>> {
    let view = c.members.view.load();
    let ns: Option<Vec<Node>> =
        seeds.iter().map(|a| view.values().find(|n| n.peer == *a && n.role == Role::Core && !n.disk.is_empty()).cloned()).collect();
    let ns = ns?;
    let mut core: Vec<String> = ns.iter().map(|n| n.disk.clone()).collect();
    core.sort();
    core.dedup();
    let l = Layout {
        core: Group { now: core, old: vec![] },
        names: ns.iter().map(|n| (n.disk.clone(), n.name.clone())).collect(),
        sites: ns.iter().map(|n| (n.disk.clone(), n.site.clone())).collect(),
        turn: 1,
        ..Default::default()
    };
    serde_json::to_vec(&l).ok()
}

/// In the order of the seeds: where two differ, the first seed's word decides before any other has kept one.
async fn propose_first(c: &Arc<Control>, seeds: &[std::net::SocketAddr], raw: Vec<u8>) {
    for a in seeds {
        let t = if *a == c.st.peer {
            found_here(c, raw.clone()).await
        } else {
            c.peers.ask(*a, &Ask::Found, &raw, PEER_WAIT).await.map(|x| x.0).unwrap_or(Tell::No(Code::StoreAway))
        };
        if !matches!(t, Tell::Ok) {
            return;
        }
    }
}

/// Whether the first layout and configuration are decided; decides them where they are not.
async fn settle_first(c: &Arc<Control>, nth: usize) -> bool {
    // What a node adopts was decided: it need not ask again, least of all while all of them start at once.
    if c.book.config.load().0 > 0 || matches!(c.owner.newest("config", PEER_WAIT).await, Ok((s, ..)) if s > 0) {
        return true;
    }
    if !c.options.tends {
        return false;
    }
    // The others give the first one a moment, so that they do not take the keys from each other.
    c.w.sleep(nth as u64 * 150 * MS).await;
    let p = c.book.page("layout");
    let l = c.owner.change("layout", SEC, |s, _| if s == 0 && p.seq == 1 { Step::Write(p.raw.to_vec(), ()) } else { Step::Keep(()) }).await;
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    let f = c.owner.change("config", SEC, |s, _| if s == 0 { Step::Write(empty.clone(), ()) } else { Step::Keep(()) }).await;
    let ok = l.is_ok() && f.is_ok();
    if ok {
        c.w.log("founded");
        spread(c).await;
    }
    ok
}

/// What is known of the machines when seats are planned.
pub struct Known<'a> {
    /// Machines that answer.
    pub live: &'a [Node],
    /// All that were heard of lately, the gone among them.
    pub heard: &'a [Node],
    /// us that the machine of a seat has been missing.
    pub missing: &'a dyn Fn(&str) -> u64,
    /// Disk machines that may be lost at once.
    pub lost: usize,
}

/// The layout that the next change begins with: retired and empty seats first, then seats for disks that have none. `None`
/// where nothing is to be done, or nothing yet.
pub fn plan(l: &Layout, seq: u64, k: &Known) -> Option<Layout> {
    if !l.core.old.is_empty() || !l.store.old.is_empty() {
        return None;
    }
    [Role::Store, Role::Core].into_iter().find_map(|role| plan_of(l, seq, k, role))
}

/// A change whose newcomer is gone begins anew from the old seats, which are in force all along.
pub fn amend(l: &Layout, seq: u64, k: &Known) -> Option<Layout> {
    let role = if l.core.old.is_empty() { Role::Store } else { Role::Core };
    let g = if role == Role::Core { &l.core } else { &l.store };
    let gone = |d: &String| {
        let back = k.live.iter().any(|n| n.disk != *d && l.names.get(d) == Some(&n.name));
        back || (k.missing)(d) >= SEAT_MISSING
    };
    if g.old.is_empty() || !g.now.iter().any(|d| !g.old.contains(d) && gone(d)) {
        return None;
    }
    let mut n = l.clone();
    let g = if role == Role::Core { &mut n.core } else { &mut n.store };
    (g.now, g.old) = (std::mem::take(&mut g.old), vec![]);
    Some(plan_of(&n, seq, k, role).unwrap_or_else(|| {
        settle(&mut n);
        n
    }))
}

fn plan_of(l: &Layout, seq: u64, k: &Known, role: Role) -> Option<Layout> {
    plan_with(l, seq, k, role, true).or_else(|| plan_with(l, seq, k, role, false))
}

fn plan_with(l: &Layout, seq: u64, k: &Known, role: Role, retire: bool) -> Option<Layout> {
    let g = if role == Role::Core { &l.core } else { &l.store };
    let free: Vec<&Node> = k
        .live
        .iter()
        .filter(|n| n.role == role && n.state == State::Alive && !n.disk.is_empty())
        .filter(|n| !g.now.contains(&n.disk) && !l.retired.contains(&n.name))
        .collect();
    let name = |d: &String| l.names.get(d).cloned().unwrap_or_default();
    let mut out: Vec<&String> = g.now.iter().filter(|d| retire && role == Role::Store && l.retired.contains(&name(d))).collect();
    let retires = !out.is_empty();
    let mut put: Vec<&Node> = vec![];
    // A machine that came back empty, under its name or at its address.
    free.iter().for_each(|n| {
        let was = |d: &&String| name(d) == n.name || k.heard.iter().any(|h| h.disk == **d && h.peer == n.peer);
        if let Some(d) = g.now.iter().find(|d| !out.contains(d) && was(d)) {
            out.push(d);
            put.push(n);
        }
    });
    let mut gone: Vec<(u64, &String)> =
        g.now.iter().filter(|d| !out.contains(d)).map(|d| ((k.missing)(d), d)).filter(|x| x.0 > 0).collect();
    gone.sort();
    for n in free.iter().filter(|n| !put.iter().any(|p| p.disk == n.disk)).collect::<Vec<_>>() {
        match gone.pop() {
            Some((us, d)) if us >= SEAT_MISSING => {
                out.push(d);
                put.push(n);
            }
            // It may be back in a moment.
            Some(_) => {}
            None => put.push(n),
        }
    }
    // With a seat that nobody takes, a further loss would be one too many: fewer seats bear it.
    let fewest = 2 * k.lost + 1;
    let mut left = g.now.len() + put.len() - out.len();
    gone.iter().rev().filter(|x| x.0 >= SEAT_LOST).for_each(|x| {
        if left > fewest {
            out.push(x.1);
            left -= 1;
        }
    });
    let mut now: Vec<String> = g.now.iter().filter(|d| !out.contains(d)).cloned().collect();
    now.extend(put.iter().map(|n| n.disk.clone()));
    now.sort();
    let short = role == Role::Store && now.len() < fewest;
    if now == g.now || now.is_empty() || (short && (retires || g.now.is_empty())) {
        return None;
    }
    let mut n = l.clone();
    n.names.extend(put.iter().map(|n| (n.disk.clone(), n.name.clone())));
    n.sites.extend(put.iter().map(|n| (n.disk.clone(), n.site.clone())));
    let g = if role == Role::Core { &mut n.core } else { &mut n.store };
    g.old = std::mem::replace(&mut g.now, now);
    n.turn = seq + 1;
    Some(n)
}

/// The duty of keeping the seats, for a tier without an operator's hand. Returns how long to rest if nothing moves, us.
pub async fn tend_seats(c: &Arc<Control>) -> u64 {
    let l = c.book.layout.load_full();
    if l.0 == 0 || !c.founded.load(SeqCst) {
        return SEC;
    }
    let moving = !l.1.core.old.is_empty() || !l.1.store.old.is_empty();
    let t = c.w.now();
    let live: Vec<Node> = c.members.view.load().values().cloned().collect();
    let here = |d: &String| live.iter().any(|n| n.disk == *d && n.state == State::Alive);
    {
        let mut g = c.duties.missing.lock().unwrap();
        let seats: Vec<&String> = l.1.core.now.iter().chain(&l.1.store.now).collect();
        g.retain(|d, _| seats.contains(&d) && !here(d));
        seats.into_iter().filter(|d| !here(d)).for_each(|d| {
            g.entry(d.clone()).or_insert(t);
        });
    }
    let since = c.duties.missing.lock().unwrap().clone();
    let rest = if since.is_empty() { SEC } else { 200 * MS };
    let next = {
        let missing = |d: &str| since.get(d).map_or(0, |s| (t - s).max(1));
        let k = Known { live: &live, heard: &c.members.all(), missing: &missing, lost: c.st.bounds.lost };
        if moving { amend(&l.1, l.0, &k) } else { plan(&l.1, l.0, &k) }
    };
    if moving && next.is_none() {
        let done = if l.1.core.old.is_empty() { finish_store(c, &l).await } else { finish_core(c, &l).await };
        return if done { 0 } else { MOVE_LOOK };
    }
    let stores = live.iter().filter(|n| n.role == Role::Store && n.state == State::Alive).count();
    // The first stores are seated together.
    let early = l.1.store.now.is_empty() && stores > 0 && t < c.duties.since.load(SeqCst) + FOUND_WAIT;
    if early {
        return 100 * MS;
    }
    let Some(n) = next else { return rest };
    // A seat more is given only while all that have one answer: a newcomer may stand for one whose loss is not yet seen.
    let grows = |was: &Group, now: &Group| !was.now.is_empty() && now.now.len() > was.now.len();
    for g in [&l.1.core, &l.1.store].into_iter().zip([&n.core, &n.store]).filter(|(a, b)| !moving && grows(a, b)).map(|x| x.0) {
        let v = said(c, &g.now, l.0).await;
        let mute: Vec<&String> = g.now.iter().filter(|d| !v.iter().any(|x| x.0 == **d)).collect();
        if !mute.is_empty() {
            let now = c.w.now();
            mute.iter().for_each(|d| {
                c.duties.missing.lock().unwrap().entry(d.to_string()).or_insert(now);
            });
            let nodes: Vec<Node> = mute.iter().filter_map(|d| c.members.by_disk(d)).collect();
            for x in nodes {
                c.members.clone().check(x).await;
            }
            return 50 * MS;
        }
    }
    if !c.on_duty(1) {
        return rest;
    }
    let raw = serde_json::to_vec(&n).unwrap_or_default();
    let got = c.owner.change("layout", SEC, |s, _| if s == l.0 { Step::Write(raw.clone(), true) } else { Step::Keep(false) }).await;
    if got == Ok(true) {
        c.w.log(&format!("seats change: core {:?} store {:?}", named(&n, &n.core), named(&n, &n.store)));
    }
    spread(c).await;
    if got == Ok(true) { 0 } else { 100 * MS }
}

fn named(l: &Layout, g: &Group) -> String {
    let v: Vec<&str> = g.now.iter().map(|d| l.names.get(d).map_or("?", |n| n.as_str())).collect();
    v.join(" ")
}

/// What each of the disks says of a layout: whether it keeps it, whether all it holds is whole under it.
async fn said(c: &Arc<Control>, disks: &[String], lay: u64) -> Vec<(String, bool, bool)> {
    let fs: Vec<Fut<'static, Option<(String, bool, bool)>>> = disks
        .iter()
        .map(|d| {
            let (me, d) = (c.clone(), d.clone());
            let f: Fut<'static, _> = Box::pin(async move {
                let a = Ask::SweepDone { layout: lay, disk: d.clone() };
                let t = if d == me.vault.id {
                    me.hear(a, vec![], "").await.0
                } else {
                    let n = me.members.by_disk(&d)?;
                    me.peers.ask(n.peer, &a, &[], PEER_WAIT / 2).await.ok()?.0
                };
                match t {
                    Tell::Swept { done, kept, disk, .. } if disk.is_empty() || disk == d => Some((d, kept >= lay, done)),
                    _ => None,
                }
            });
            f
        })
        .collect();
    let (k, rx) = (fs.len(), c.w.fan(fs));
    let mut v = vec![];
    for _ in 0..k {
        v.extend(rx.recv().await.ok().flatten());
    }
    v
}

/// Once so many old seats refuse older layouts that no old majority is left, whoever decides does so in both sets; then the
/// documents, once taken under both, are on majorities of the new one.
async fn finish_core(c: &Arc<Control>, l: &Arc<(u64, Layout)>) -> bool {
    let old = &l.1.core.old;
    let v = said(c, old, l.0).await;
    if v.iter().filter(|x| x.1).count() < majority(old.len()) || !majority_left(old.len(), v.iter().filter(|x| x.1).count()) {
        spread(c).await;
        return false;
    }
    for d in DOCS {
        if c.owner.change(d, SEC, |_, _| Step::Keep(())).await.is_err() {
            return false;
        }
    }
    drop_old(c, l.0).await
}

/// No majority of the old seats can be found among those that have not kept the new layout.
fn majority_left(n: usize, kept: usize) -> bool {
    n - kept < majority(n)
}

async fn finish_store(c: &Arc<Control>, l: &Arc<(u64, Layout)>) -> bool {
    let (old, now) = (&l.1.store.old, &l.1.store.now);
    let both: Vec<String> = old.iter().chain(now.iter().filter(|d| !old.contains(d))).cloned().collect();
    let v = said(c, &both, l.0).await;
    let swept = v.iter().filter(|x| x.2 && old.contains(&x.0)).count();
    let live = |d: &String| c.members.by_disk(d).is_some_and(|n| n.state == State::Alive);
    let adopted = now.iter().filter(|d| live(d)).all(|d| v.iter().any(|x| x.0 == *d && x.1));
    if swept + c.st.bounds.lost < old.len() || !adopted {
        if v.iter().any(|x| !x.1) {
            spread(c).await;
        }
        return false;
    }
    drop_old(c, l.0).await
}

/// Ends the change that layout number `at` began.
async fn drop_old(c: &Arc<Control>, at: u64) -> bool {
    if !c.on_duty(1) {
        return false;
    }
    let got = c
        .owner
        .change("layout", SEC, |seq, v| {
            let Some(mut l) = serde_json::from_slice::<Layout>(v).ok().filter(|_| seq == at) else { return Step::Keep(seq) };
            settle(&mut l);
            Step::Write(serde_json::to_vec(&l).unwrap_or_default(), seq + 1)
        })
        .await;
    if got == Ok(at + 1) {
        c.w.log("change of disks done");
    }
    spread(c).await;
    got.is_ok()
}

/// Only the new sets are in force.
fn settle(l: &mut Layout) {
    let live: Vec<String> = l.core.now.iter().chain(&l.store.now).cloned().collect();
    l.core.old.clear();
    l.store.old.clear();
    l.names.retain(|d, _| live.contains(d));
    l.sites.retain(|d, _| live.contains(d));
}

/// Writes down that a store machine is to be emptied; the layout duty does it.
pub async fn retire(c: &Arc<Control>, node: &str) -> RetireBegin {
    if c.book.layout.load().0 == 0 {
        return RetireBegin::Away;
    }
    let fewest = 2 * c.st.bounds.lost + 1;
    let known = c.members.all().iter().any(|n| n.name == node && n.role == Role::Store);
    let got = c
        .owner
        .change("layout", SEC, |seq, v| {
            let Ok(mut l) = serde_json::from_slice::<Layout>(v) else { return Step::Keep((RetireBegin::Away, 0, vec![])) };
            if l.retired.contains(node) {
                return Step::Keep((RetireBegin::Begun, 0, vec![]));
            }
            let named = |d: &&String| l.names.get(*d).is_some_and(|n| n == node);
            let seated = l.store.now.iter().chain(&l.store.old).any(|d| named(&d));
            if !seated && !known {
                return Step::Keep((RetireBegin::Unknown, 0, vec![]));
            }
            let left = l.store.now.iter().filter(|d| !named(d) && !l.names.get(*d).is_some_and(|n| l.retired.contains(n))).count();
            if left < fewest {
                return Step::Keep((RetireBegin::TooFew, 0, vec![]));
            }
            l.retired.insert(node.into());
            let raw = serde_json::to_vec(&l).unwrap_or_default();
            Step::Write(raw.clone(), (RetireBegin::Begun, seq + 1, raw))
        })
        .await;
    match got {
        Ok((r, seq, raw)) => {
            if seq > 0 {
                c.w.log(&format!("{node} is to retire"));
                config::push(c, "layout", seq, raw);
            }
            r
        }
        Err(_) => RetireBegin::Away,
    }
}

pub async fn retired(c: &Arc<Control>, node: &str) -> RetireState {
    if c.book.layout.load().0 == 0 {
        return RetireState::Away;
    }
    let Ok((seq, epoch, raw)) = c.owner.newest("layout", PEER_WAIT).await else { return RetireState::Away };
    let Ok(l) = serde_json::from_slice::<Layout>(&raw) else { return RetireState::Away };
    c.book.adopt("layout", seq, epoch, raw.to_vec());
    let there = |g: &Group| g.now.iter().chain(&g.old).any(|d| l.names.get(d).is_some_and(|n| n == node));
    match (l.retired.contains(node), there(&l.store)) {
        (false, _) => RetireState::Unknown,
        (true, true) => RetireState::Running,
        (true, false) => RetireState::Finished,
    }
}
