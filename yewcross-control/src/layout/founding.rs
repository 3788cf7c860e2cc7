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
pub async fn found_here(control: &Arc<Control>, blob: Vec<u8>) -> PeerResponse {
    let _one = control.finding.lock().await;
    // The message goes to an address: only a disk that the layout names may found.
    let names_us = serde_json::from_slice::<Layout>(&blob)
        .is_ok_and(|l| l.core.current.contains(&control.storage.disk_id));
    if !names_us {
        return PeerResponse::Rejected(Code::Conflict);
    }
    let p = control.documents.document("layout");
    if p.version > 0 {
        return if *p.content == blob {
            PeerResponse::Ok
        } else {
            PeerResponse::Rejected(Code::Conflict)
        };
    }
    let b = serde_json::to_vec(&(1u64, Ballot::default(), String::from_utf8_lossy(&blob)))
        .unwrap_or_default();
    if control
        .storage
        .persist("local", "layout", 1, &b)
        .await
        .is_err()
    {
        return PeerResponse::Rejected(Code::StoreAway);
    }
    control
        .documents
        .apply("layout", 1, Ballot::default(), blob);
    control.replica.layout_version.fetch_max(1, SeqCst);
    PeerResponse::Ok
}

/// Founds the tier from the machines named; all of them must be there and new.
pub async fn found(
    control: &Arc<Control>,
    cores: &[String],
    stores: &[String],
) -> Result<(), (Code, String)> {
    let view = control.members.view.load_full();
    let (mut names, mut sites) = (BTreeMap::new(), BTreeMap::new());
    let mut ids = |ns: &[String], r: Role| -> Result<Vec<String>, (Code, String)> {
        ns.iter()
            .map(|n| {
                let x = view.get(n).filter(|x| x.role == r && !x.disk.is_empty());
                let x = x.ok_or((
                    Code::BadLayout,
                    format!("{n} is not a known {r:?} machine with a disk"),
                ))?;
                names.insert(x.disk.clone(), n.clone());
                sites.insert(x.disk.clone(), x.site.clone());
                Ok(x.disk.clone())
            })
            .collect()
    };
    let core = ReplicaGroup {
        current: ids(cores, Role::Core)?,
        ..Default::default()
    };
    let store = ReplicaGroup {
        current: ids(stores, Role::Store)?,
        ..Default::default()
    };
    if core.current.len() < 3 || store.current.len() < STORE_COPIES {
        return Err((
            Code::BadLayout,
            "at least three core and three store machines are needed".into(),
        ));
    }
    let raw = serde_json::to_vec(&Layout {
        core,
        store,
        names,
        sites,
        change_started: 1,
        ..Default::default()
    })
    .unwrap_or_default();
    for n in cores.iter().filter_map(|n| view.get(n)) {
        let t = if n.name == control.settings.name {
            found_here(control, raw.clone()).await
        } else {
            control
                .peers
                .request(n.peer, &PeerRequest::Bootstrap, &raw, PEER_WAIT)
                .await
                .map(|x| x.0)
                .unwrap_or(PeerResponse::Rejected(Code::StoreAway))
        };
        if !matches!(t, PeerResponse::Ok) {
            return Err((
                Code::Conflict,
                format!("{} is founded otherwise or cannot be reached", n.name),
            ));
        }
    }
    let got = control
        .registers
        .change("layout", PUT_WAIT, |s, _| {
            if s == 0 {
                Step::Write(raw.clone(), ())
            } else {
                Step::Keep(())
            }
        })
        .await;
    got.map_err(|_| {
        (
            Code::Undecided,
            "founding is not yet decided; send it again".to_string(),
        )
    })?;
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    let first = control
        .registers
        .change("config", PUT_WAIT, |s, _| {
            if s == 0 {
                Step::Write(empty.clone(), ())
            } else {
                Step::Keep(())
            }
        })
        .await;
    first.map_err(|_| {
        (
            Code::Undecided,
            "founding is not yet decided; send it again".to_string(),
        )
    })?;
    for d in ["layout", "config"] {
        if let Ok((seq, epoch, v)) = control.registers.read(d, PEER_WAIT).await {
            let (me, d) = (control.clone(), d.to_string());
            control.runtime.spawn(async move {
                config::carry(&me, &d, seq, epoch, &v).await;
            });
        }
    }
    Ok(())
}

/// Founds the tier without a hand: the first core disks are those of the three machines that every
/// node was told of, so that all who try write the same. Ends once the first layout and the empty
/// configuration are decided.
pub async fn found_self(control: Arc<Control>) {
    let told = serde_json::to_vec(&control.settings.seeds).unwrap_or_default();
    let mut seeds = control.settings.seeds.clone();
    let mut founds = control.settings.found;
    if control.documents.layout.load().0 == 0 {
        // A founder that restarts in the middle goes on.
        match control.storage.load("local", "founding").await {
            Ok(Some((_, b))) => {
                founds = true;
                seeds = serde_json::from_slice(&b).unwrap_or(seeds);
            }
            _ if founds => {
                let _ = control.storage.persist("local", "founding", 1, &told).await;
            }
            _ => {}
        }
    }
    let nth = seeds.iter().position(|a| *a == control.settings.peer);
    loop {
        let (l, m) = (
            control.documents.changed.listen(),
            control.members.changed.listen(),
        );
        let lay = control.documents.layout.load_full();
        if lay.0 == 0 {
            if let Some(raw) = nth.filter(|_| founds).and_then(|_| first(&control, &seeds)) {
                propose_first(&control, &seeds, raw).await;
            }
        } else if is_founded(&control) {
            control.duties.since.store(control.runtime.now(), SeqCst);
            control.founded.store(true, SeqCst);
            control.documents.changed.notify(usize::MAX);
            return;
        }
        control
            .runtime
            .timeout(300 * MS, futures_lite::future::or(l, m))
            .await;
    }
}

/// The first layout, once all its machines are known.
fn first(control: &Arc<Control>, seeds: &[std::net::SocketAddr]) -> Option<Vec<u8>> {
    let view = control.members.view.load();
    let ns: Option<Vec<Node>> = seeds
        .iter()
        .map(|a| {
            view.values()
                .find(|n| n.peer == *a && n.role == Role::Core && !n.disk.is_empty())
                .cloned()
        })
        .collect();
    let ns = ns?;
    let mut core: Vec<String> = ns.iter().map(|n| n.disk.clone()).collect();
    core.sort();
    core.dedup();
    let l = Layout {
        core: ReplicaGroup {
            current: core,
            ..Default::default()
        },
        names: ns
            .iter()
            .map(|n| (n.disk.clone(), n.name.clone()))
            .collect(),
        sites: ns
            .iter()
            .map(|n| (n.disk.clone(), n.site.clone()))
            .collect(),
        change_started: 1,
        ..Default::default()
    };
    serde_json::to_vec(&l).ok()
}

/// In the order of the seeds: where two differ, the first seed's word decides before any other has
/// kept one.
async fn propose_first(control: &Arc<Control>, seeds: &[std::net::SocketAddr], raw: Vec<u8>) {
    for a in seeds {
        let t = if *a == control.settings.peer {
            found_here(control, raw.clone()).await
        } else {
            control
                .peers
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

/// Decides the first layout and the empty configuration where nothing is decided yet. The process
/// that proposes does it; it brings both under its own ballots by the way.
pub async fn first_documents(control: &Arc<Control>) -> bool {
    let page = control.documents.document("layout");
    let layout = |seq, _: &[u8]| {
        if seq == 0 && page.version == 1 {
            Step::Write(page.content.to_vec(), true)
        } else {
            Step::Keep(seq > 0)
        }
    };
    if control.registers.change("layout", SEC, layout).await != Ok(true) {
        return false;
    }
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    let configuration = |seq, _: &[u8]| {
        if seq == 0 {
            Step::Write(empty.clone(), true)
        } else {
            Step::Keep(false)
        }
    };
    let founded_now = control.registers.change("config", SEC, configuration).await;
    if founded_now == Ok(true) {
        control.runtime.log("founded");
        control
            .documents
            .apply("config", 1, Ballot::default(), empty);
        config::tell_all_of(control, "layout");
        config::tell_all_of(control, "config");
    }
    founded_now.is_ok()
}

/// Whether it is known here that the first layout and configuration are decided. Both documents are
/// written after that only, and a disk keeps the layout that it was told of.
fn is_founded(control: &Control) -> bool {
    control.documents.document("config").version > 0 || control.documents.layout.load().0 > 1
}
