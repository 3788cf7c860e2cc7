//! Founding: the first layout and the empty configuration.

use crate::{Control, config};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::member::Node;
use yewcross::register::*;
use yewcross::startup::Role;

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
    let b = serde_json::to_vec(&(1u64, Ballot::default(), String::from_utf8_lossy(&blob))).unwrap_or_default();
    if c.vault.keep("local", "layout", 1, &b).await.is_err() {
        return Tell::No(Code::StoreAway);
    }
    c.book.adopt("layout", 1, Ballot::default(), blob);
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
    let core = Group { now: ids(cores, Role::Core)?, ..Default::default() };
    let store = Group { now: ids(stores, Role::Store)?, ..Default::default() };
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
        if lay.0 == 0 {
            if let Some(raw) = nth.filter(|_| founds).and_then(|_| first(&c, &seeds)) {
                propose_first(&c, &seeds, raw).await;
            }
        } else if is_founded(&c) {
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
        core: Group { now: core, ..Default::default() },
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

/// Decides the first layout and the empty configuration where nothing is decided yet. The process that proposes does it; it
/// brings both under its own ballots by the way.
pub async fn first_documents(c: &Arc<Control>) -> bool {
    let page = c.book.page("layout");
    let layout = |seq, _: &[u8]| if seq == 0 && page.seq == 1 { Step::Write(page.raw.to_vec(), true) } else { Step::Keep(seq > 0) };
    if c.owner.change("layout", SEC, layout).await != Ok(true) {
        return false;
    }
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    let configuration = |seq, _: &[u8]| if seq == 0 { Step::Write(empty.clone(), true) } else { Step::Keep(false) };
    let founded_now = c.owner.change("config", SEC, configuration).await;
    if founded_now == Ok(true) {
        c.w.log("founded");
        c.book.adopt("config", 1, Ballot::default(), empty);
        config::tell_all_of(c, "layout");
        config::tell_all_of(c, "config");
    }
    founded_now.is_ok()
}

/// Whether it is known here that the first layout and configuration are decided. Both documents are written after that only,
/// and a disk keeps the layout that it was told of.
fn is_founded(c: &Control) -> bool {
    c.book.page("config").seq > 0 || c.book.layout.load().0 > 1
}
