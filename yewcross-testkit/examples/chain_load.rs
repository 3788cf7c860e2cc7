//! Stores and a front as they run in deployment, one thread each, over loopback: what a turn costs
//! in processor time. `cargo run --release --example chain_load -- TURNS_A_SECOND SECONDS
//! BYTES_A_TURN`

use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::membership::Membership;
use yewcross_common::process_settings::{Bounds, ProcessSettings, Role};
use yewcross_common::protocol::*;
use yewcross_common::register::Ballot;
use yewcross_common::runtime::os::OsRuntime;
use yewcross_common::runtime::*;
use yewcross_common::storage::DurableStorage;
use yewcross_common::transport::*;
use yewcross_common::turn_log::client::TurnLogClient;
use yewcross_common::turn_log::*;
use yewcross_state::turn_store::TurnStore;

struct Ear(Arc<Membership>, Option<Arc<TurnStore>>);

impl RequestHandler for Ear {
    fn handle(self: Arc<Self>, p: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let (t, b) = match (p.decode::<PeerRequest>(), &self.1) {
                (Some(PeerRequest::TurnLog), Some(e)) => {
                    (PeerResponse::TurnLog, e.handle(p.payload, p.version).await)
                }
                (Some(a), _) => (self.0.handle(a).await, vec![]),
                _ => (PeerResponse::Ok, vec![]),
            };
            Reply {
                message: serde_json::to_vec(&t).unwrap_or_default(),
                payload: b,
            }
        })
    }
}

/// Disk, documents, site.
type Up = (String, Arc<DocumentCache>, String);

fn addr(i: usize) -> SocketAddr {
    SocketAddr::new([127, 0, 0, 1].into(), 17_700 + i as u16)
}

/// User and system time of every thread of this process, ms, oldest thread first.
fn times() -> Vec<(u64, String, u64)> {
    let mut v: Vec<(u64, String, u64)> = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .filter_map(|e| {
            let s = std::fs::read_to_string(e.ok()?.path().join("stat")).ok()?;
            let (a, b) = s.rsplit_once(')')?;
            let f: Vec<&str> = b.split_whitespace().collect();
            let (id, name) = a.split_once('(')?;
            Some((
                id.trim().parse().ok()?,
                name.to_string(),
                (f[11].parse::<u64>().ok()? + f[12].parse::<u64>().ok()?) * 10,
            ))
        })
        .collect();
    v.sort();
    v
}

fn main() {
    let a: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|x| x.parse().ok())
        .collect();
    let (rate, secs, bytes) = (
        a.first().copied().unwrap_or(100),
        a.get(1).copied().unwrap_or(10),
        a.get(2).copied().unwrap_or(5000),
    );
    let root = std::env::temp_dir().join(format!("chain-load-{}", std::process::id()));
    let nodes: Arc<Mutex<Vec<Up>>> = Arc::default();
    let client: Arc<Mutex<Option<Arc<TurnLogClient>>>> = Arc::default();
    let mut worlds = vec![];
    for i in 0..5 {
        let dir = root.join(i.to_string());
        std::fs::create_dir_all(&dir).expect("a folder");
        let w = OsRuntime::start(dir.to_str().unwrap_or_default(), 1);
        worlds.push(w.clone());
        let store = i < 4;
        let st = ProcessSettings {
            name: format!("n{i}"),
            role: if store { Role::Store } else { Role::Front },
            site: format!("z{}", i % 4),
            peer: addr(i),
            http: addr(i),
            seeds: vec![addr(0), addr(1)],
            data: String::new(),
            platform: None,
            threads: 1,
            wire: WIRE_VERSION,
            bootstrap: false,
            start_timeout_ms: yewcross_common::constants::START_TIMEOUT_MS,
            bounds: Bounds::default(),
        };
        let (nodes, client) = (nodes.clone(), client.clone());
        w.clone().spawn(async move {
            let vault = if store {
                DurableStorage::open(&w).await.ok()
            } else {
                None
            };
            let disk = vault
                .as_ref()
                .map(|v| v.disk_id.clone())
                .unwrap_or_default();
            let peers = PeerClient::new(&w, &st.name, &st.site, st.wire);
            let members = Membership::new(&w, &st, &peers, &disk);
            let book = DocumentCache::new(&w);
            let engine = match &vault {
                Some(v) => TurnStore::start(&w, &st, &members, &book, v).await.ok(),
                None => None,
            };
            if !store {
                *client.lock().unwrap() = Some(Arc::new(TurnLogClient::new(
                    &members,
                    &book,
                    &st,
                    &Default::default(),
                )));
            }
            let door = w.bind(st.peer).await.expect("a port");
            w.spawn(
                peers
                    .clone()
                    .serve(door, Arc::new(Ear(members.clone(), engine))),
            );
            w.spawn(members.run());
            nodes.lock().unwrap().push((disk, book, st.site));
        });
    }
    let nap = |ms| std::thread::sleep(std::time::Duration::from_millis(ms));
    while nodes.lock().unwrap().len() < 5 {
        nap(50);
    }
    nap(3000);
    let mut l = Layout {
        change_started: 1,
        ..Default::default()
    };
    nodes
        .lock()
        .unwrap()
        .iter()
        .filter(|n| !n.0.is_empty())
        .for_each(|n| {
            l.store.current.push(n.0.clone());
            l.sites.insert(n.0.clone(), n.2.clone());
        });
    let raw = serde_json::to_vec(&l).unwrap_or_default();
    nodes
        .lock()
        .unwrap()
        .iter()
        .for_each(|n| _ = n.1.apply("layout", 1, Ballot::default(), raw.clone()));
    nap(500);
    let idle = times();
    nap(3000);
    let t0 = times();
    let c = client.lock().unwrap().clone().expect("a client");
    let (done, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let waits: Arc<Mutex<Vec<(u64, u64)>>> = Arc::default();
    let w = worlds[4].clone();
    // Lines of five turns, a turn a second.
    let lines = rate;
    for i in 0..lines {
        let (c, w, done, failed, waits) = (
            c.clone(),
            w.clone(),
            done.clone(),
            failed.clone(),
            waits.clone(),
        );
        w.clone().spawn(async move {
            w.sleep(i * SEC / lines).await;
            let mut prev = String::new();
            for n in 0..secs {
                if n % 5 == 0 {
                    prev = String::new();
                }
                let t1 = w.now();
                let id = format!("t{i}-{n}");
                let o = OpenTurn {
                    turn: id.clone(),
                    program: format!("p{i}-{}", n / 5),
                    prev: prev.clone(),
                    max_output_tokens: 100,
                    budget: Some(1000),
                };
                let ok = c.open(o.clone(), t1 + 2 * SEC).await.is_ok();
                let t2 = w.now();
                w.sleep(300 * MS).await;
                let t = Turn {
                    id: id.clone(),
                    prev: prev.clone(),
                    input: Bytes::from(vec![7; bytes as usize]),
                    output: Bytes::from(vec![7; 600]),
                    retain_ms: 60_000,
                    ..Default::default()
                };
                let t3 = w.now();
                let ok = ok && c.finish(o, t, 30, t3 + 2 * SEC).await.is_ok();
                let t4 = w.now();
                if ok { &done } else { &failed }.fetch_add(1, SeqCst);
                waits.lock().unwrap().push((t2 - t1, t4 - t3));
                prev = id;
                w.sleep((t1 + SEC).saturating_sub(w.now())).await;
            }
        });
    }
    nap(secs * 1000 + 2000);
    let t1 = times();
    let n = done.load(SeqCst).max(1);
    println!("{n} turns kept, {} not", failed.load(SeqCst));
    let mut ws = waits.lock().unwrap().clone();
    let mut at = |f: fn(&(u64, u64)) -> u64| {
        ws.sort_by_key(f);
        (
            f(&ws[ws.len() / 2]) as f64 / 1000.0,
            f(&ws[ws.len() * 99 / 100]) as f64 / 1000.0,
        )
    };
    println!(
        "opening ms, half and 99 in 100: {:?}; keeping: {:?}",
        at(|x| x.0),
        at(|x| x.1)
    );
    let mut all = 0;
    for (id, name, t) in &t1 {
        let get = |v: &[(u64, String, u64)]| v.iter().find(|x| x.0 == *id).map_or(0, |x| x.2);
        let (busy, rest) = (t - get(&t0), get(&t0) - get(&idle));
        all += busy;
        if busy > 0 {
            println!(
                "{name} {id}: {busy} ms busy, {} us a turn of all; idle {rest} ms in 3 s",
                busy * 1000 / n
            );
        }
    }
    println!("in all {} us a turn", all * 1000 / n);
    let _ = std::fs::remove_dir_all(root);
}
