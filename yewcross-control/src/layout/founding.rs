//! Founding: the first layout and the empty configuration.

use crate::{Control, config};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::*;
use yewcross_common::register::*;

/// A core disk takes part only after it was founded, or once a decided layout names it.
pub async fn found_here(c: &Arc<Control>, blob: Vec<u8>) -> PeerResponse {
    let _one = c.finding.lock().await;
    // The message goes to an address: only a disk that the layout names may found.
    let names_us = serde_json::from_slice::<Layout>(&blob).is_ok_and(|l| l.core.current.contains(&c.storage.disk_id));
    if !names_us {
        return PeerResponse::Rejected(Code::Conflict);
    }
    let p = c.documents.document("layout");
    if p.version > 0 {
        return if *p.content == blob { PeerResponse::Ok } else { PeerResponse::Rejected(Code::Conflict) };
    }
    let b = serde_json::to_vec(&(1u64, Ballot::default(), String::from_utf8_lossy(&blob))).unwrap_or_default();
    if c.storage.persist("local", "layout", 1, &b).await.is_err() {
        return PeerResponse::Rejected(Code::StoreAway);
    }
    c.documents.apply("layout", 1, Ballot::default(), blob);
    c.replica.layout_version.fetch_max(1, SeqCst);
    PeerResponse::Ok
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
    let core = ReplicaGroup { current: ids(cores, Role::Core)?, ..Default::default() };
    let store = ReplicaGroup { current: ids(stores, Role::Store)?, ..Default::default() };
    if core.current.len() < 3 || store.current.len() < STORE_COPIES {
        return Err((Code::BadLayout, "at least three core and three store machines are needed".into()));
    }
    let raw = serde_json::to_vec(&Layout { core, store, names, sites, change_started: 1, ..Default::default() }).unwrap_or_default();
    for n in cores.iter().filter_map(|n| view.get(n)) {
        let t = if n.name == c.settings.name {
            found_here(c, raw.clone()).await
        } else {
            c.peers
                .request(n.peer, &PeerRequest::Bootstrap, &raw, PEER_WAIT)
                .await
                .map(|x| x.0)
                .unwrap_or(PeerResponse::Rejected(Code::StoreAway))
        };
        if !matches!(t, PeerResponse::Ok) {
            return Err((Code::Conflict, format!("{} is founded otherwise or cannot be reached", n.name)));
        }
    }
    let got = c.registers.change("layout", PUT_WAIT, |s, _| if s == 0 { Step::Write(raw.clone(), ()) } else { Step::Keep(()) }).await;
    got.map_err(|_| (Code::Undecided, "founding is not yet decided; send it again".to_string()))?;
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    let first = c.registers.change("config", PUT_WAIT, |s, _| if s == 0 { Step::Write(empty.clone(), ()) } else { Step::Keep(()) }).await;
    first.map_err(|_| (Code::Undecided, "founding is not yet decided; send it again".to_string()))?;
    for d in ["layout", "config"] {
        if let Ok((seq, epoch, v)) = c.registers.read(d, PEER_WAIT).await {
            let (me, d) = (c.clone(), d.to_string());
            c.runtime.spawn(async move {
                config::carry(&me, &d, seq, epoch, &v).await;
            });
        }
    }
    Ok(())
}

/// Founds the tier without a hand: the first core disks are those of the three machines that every node was told of, so
/// that all who try write the same. Ends once the first layout and the empty configuration are decided.
pub async fn found_self(c: Arc<Control>) {
    let told = serde_json::to_vec(&c.settings.seeds).unwrap_or_default();
    let mut seeds = c.settings.seeds.clone();
    let mut founds = c.settings.found;
    if c.documents.layout.load().0 == 0 {
        // A founder that restarts in the middle goes on.
        match c.storage.load("local", "founding").await {
            Ok(Some((_, b))) => {
                founds = true;
                seeds = serde_json::from_slice(&b).unwrap_or(seeds);
            }
            _ if founds => {
                let _ = c.storage.persist("local", "founding", 1, &told).await;
            }
            _ => {}
        }
    }
    let nth = seeds.iter().position(|a| *a == c.settings.peer);
    loop {
        let (l, m) = (c.documents.changed.listen(), c.members.changed.listen());
        let lay = c.documents.layout.load_full();
        if lay.0 == 0 {
            if let Some(raw) = nth.filter(|_| founds).and_then(|_| first(&c, &seeds)) {
                propose_first(&c, &seeds, raw).await;
            }
        } else if is_founded(&c) {
            c.duties.since.store(c.runtime.now(), SeqCst);
            c.founded.store(true, SeqCst);
            c.documents.changed.notify(usize::MAX);
            return;
        }
        c.runtime.timeout(300 * MS, futures_lite::future::or(l, m)).await;
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
        core: ReplicaGroup { current: core, ..Default::default() },
        names: ns.iter().map(|n| (n.disk.clone(), n.name.clone())).collect(),
        sites: ns.iter().map(|n| (n.disk.clone(), n.site.clone())).collect(),
        change_started: 1,
        ..Default::default()
    };
    serde_json::to_vec(&l).ok()
}

/// In the order of the seeds: where two differ, the first seed's word decides before any other has kept one.
async fn propose_first(c: &Arc<Control>, seeds: &[std::net::SocketAddr], raw: Vec<u8>) {
    for a in seeds {
        let t = if *a == c.settings.peer {
            found_here(c, raw.clone()).await
        } else {
            c.peers
                .request(*a, &PeerRequest::Bootstrap, &raw, PEER_WAIT)
                .await
                .map(|x| x.0)
                .unwrap_or(PeerResponse::Rejected(Code::StoreAway))
        };
        if !matches!(t, PeerResponse::Ok) {
            return;
        }
    }
}

/// Decides the first layout and the empty configuration where nothing is decided yet. The process that proposes does it; it
/// brings both under its own ballots by the way.
pub async fn first_documents(c: &Arc<Control>) -> bool {
    let page = c.documents.document("layout");
    let layout = |seq, _: &[u8]| if seq == 0 && page.version == 1 { Step::Write(page.content.to_vec(), true) } else { Step::Keep(seq > 0) };
    if c.registers.change("layout", SEC, layout).await != Ok(true) {
        return false;
    }
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    let configuration = |seq, _: &[u8]| if seq == 0 { Step::Write(empty.clone(), true) } else { Step::Keep(false) };
    let founded_now = c.registers.change("config", SEC, configuration).await;
    if founded_now == Ok(true) {
        c.runtime.log("founded");
        c.documents.apply("config", 1, Ballot::default(), empty);
        config::tell_all_of(c, "layout");
        config::tell_all_of(c, "config");
    }
    founded_now.is_ok()
}

/// Whether it is known here that the first layout and configuration are decided. Both documents are written after that only,
/// and a disk keeps the layout that it was told of.
fn is_founded(c: &Control) -> bool {
    c.documents.document("config").version > 0 || c.documents.layout.load().0 > 1
}
