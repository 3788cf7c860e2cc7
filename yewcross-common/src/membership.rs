//! Who is in the tier: probes in turn, second opinions, suspicion before removal.

use crate::constants::*;
use crate::notify::Latch;
use crate::process_settings::{ProcessSettings, Role};
use crate::protocol::{PeerRequest, PeerResponse};
use crate::runtime::*;
use crate::transport::*;
use arc_swap::ArcSwap;
use event_listener::Event;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    Suspect,
    #[serde(rename = "Gone")]
    Removed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    pub name: String,
    #[serde(rename = "born")]
    pub incarnation: u64,
    #[serde(rename = "inc")]
    pub refutations: u32,
    pub state: MemberState,
    pub role: Role,
    pub site: String,
    pub peer: SocketAddr,
    pub http: SocketAddr,
    pub disk: String,
    #[serde(default = "oldest")]
    #[serde(rename = "wire")]
    pub wire_version: u16,
}

fn oldest() -> u16 {
    WIRE_OLDEST
}

impl MemberState {
    /// The state's name in the table digest, which nodes of all versions must compute alike.
    fn digest_name(self) -> &'static str {
        match self {
            MemberState::Alive => "Alive",
            MemberState::Suspect => "Suspect",
            MemberState::Removed => "Gone",
        }
    }
}

impl Node {
    fn rank(&self) -> (u64, u32, MemberState) {
        (self.incarnation, self.refutations, self.state)
    }

    fn digest_entry(&self) -> String {
        format!(
            "{}({}, {}, {})",
            self.name,
            self.incarnation,
            self.refutations,
            self.state.digest_name()
        )
    }
}

/// Digest by which two nodes tell whether their tables are alike.
fn table_digest(table: &BTreeMap<String, (Node, u64)>) -> u64 {
    let entries: String = table
        .values()
        .map(|(node, _)| node.digest_entry())
        .collect();
    crate::hash::rendezvous_weight(&entries, "")
}

pub struct Membership {
    pub runtime: Runtime,
    pub peers: Arc<PeerClient>,
    pub own_node: Mutex<Node>,
    pub seeds: Mutex<Vec<SocketAddr>>,
    /// Peer addresses of an earlier life, as this machine's disk kept them.
    pub persisted_peers: Mutex<Vec<SocketAddr>>,
    table: Mutex<BTreeMap<String, (Node, u64)>>,
    /// Read-copy-update view of all nodes not gone.
    pub view: ArcSwap<BTreeMap<String, Node>>,
    /// ms between each other node's calendar and our monotonic clock, and when it was heard.
    clocks: Mutex<BTreeMap<String, (i64, u64)>>,
    started: u64,
    /// us between two probes of ours, and how long one may take.
    probe_interval: u64,
    probe_timeout: u64,
    table_digest: AtomicU64,
    /// Set when a younger process carries our name.
    pub replaced: Latch,
    /// Outbid a younger process of our name instead of giving way to it.
    pub outranks_namesake: AtomicBool,
    /// The view changed.
    pub changed: Event,
}

impl Membership {
    pub fn new(
        runtime: &Runtime,
        settings: &ProcessSettings,
        peers: &Arc<PeerClient>,
        disk: &str,
    ) -> Arc<Membership> {
        let me = Node {
            name: settings.name.clone(),
            incarnation: runtime.wall_clock_ms() << 8 | (runtime.random() & 0xff),
            refutations: 0,
            state: MemberState::Alive,
            role: settings.role,
            site: settings.site.clone(),
            peer: settings.peer,
            http: settings.http,
            disk: disk.into(),
            wire_version: settings.wire,
        };
        let m = Membership {
            runtime: runtime.clone(),
            peers: peers.clone(),
            seeds: Mutex::new(
                settings
                    .seeds
                    .iter()
                    .filter(|a| **a != settings.peer)
                    .cloned()
                    .collect(),
            ),
            persisted_peers: Default::default(),
            table: Mutex::new([(me.name.clone(), (me.clone(), runtime.now()))].into()),
            view: ArcSwap::from_pointee([(me.name.clone(), me.clone())].into()),
            own_node: Mutex::new(me),
            clocks: Default::default(),
            started: runtime.now(),
            probe_interval: settings.bounds.beat.max(50) * MS,
            probe_timeout: PROBE_WAIT.max(settings.bounds.beat * MS / 3),
            table_digest: AtomicU64::new(0),
            replaced: Latch::default(),
            outranks_namesake: AtomicBool::new(false),
            changed: Event::new(),
        };
        m.table_digest
            .store(table_digest(&m.table.lock().unwrap()), SeqCst);
        Arc::new(m)
    }

    pub fn nodes_of_role(&self, r: Role) -> Vec<Node> {
        self.view
            .load()
            .values()
            .filter(|n| n.role == r)
            .cloned()
            .collect()
    }

    pub fn by_disk(&self, d: &str) -> Option<Node> {
        self.view.load().values().find(|n| n.disk == d).cloned()
    }

    pub fn all(&self) -> Vec<Node> {
        self.table
            .lock()
            .unwrap()
            .values()
            .map(|x| x.0.clone())
            .collect()
    }

    fn digest(&self) -> u64 {
        self.table_digest.load(SeqCst)
    }

    /// What changed lately, the newest of it.
    fn recent(&self) -> Vec<Node> {
        let t = self.runtime.now();
        let g = self.table.lock().unwrap();
        let mut v: Vec<&(Node, u64)> = g.values().filter(|x| t < x.1 + NEWS_YOUNG).collect();
        v.sort_by_key(|x| std::cmp::Reverse(x.1));
        v.into_iter().take(NEWS_MOST).map(|x| x.0.clone()).collect()
    }

    pub fn merge(&self, ns: Vec<Node>) {
        let mut me = self.own_node.lock().unwrap();
        let mut g = self.table.lock().unwrap();
        let t = self.runtime.now();
        let mut moved = false;
        ns.into_iter().for_each(|mut n| {
            if n.name == me.name {
                if n.incarnation > me.incarnation
                    && (n.peer == me.peer
                        || t < self.started + YOUNG
                        || self.outranks_namesake.load(SeqCst))
                    && me.state == MemberState::Alive
                {
                    me.incarnation = n.incarnation + 1;
                    g.insert(me.name.clone(), (me.clone(), t));
                    moved = true;
                } else if n.incarnation > me.incarnation {
                    self.replaced.set();
                } else if n.incarnation == me.incarnation
                    && n.state != MemberState::Alive
                    && n.refutations >= me.refutations
                    && me.state == MemberState::Alive
                {
                    me.refutations = n.refutations + 1;
                    g.insert(me.name.clone(), (me.clone(), t));
                    moved = true;
                }
                return;
            }
            // Another's removal of a node that stands well here is suspicion at most: after a cut,
            // either side holds the other for gone. Only the node itself raises its inc, so a
            // farewell is told by that.
            let well = g.get(&n.name).is_some_and(|(o, _)| {
                (o.incarnation, o.refutations, o.state)
                    == (n.incarnation, n.refutations, MemberState::Alive)
            });
            if well && n.state == MemberState::Removed {
                n.state = MemberState::Suspect;
            }
            let newer = g.get(&n.name).is_none_or(|(o, _)| n.rank() > o.rank());
            if newer {
                let was = g.get(&n.name).map(|x| x.0.state);
                let met_at_start = was.is_none()
                    && n.state == MemberState::Alive
                    && t < self.started + MEMBERS_QUIET;
                if was != Some(n.state) && !met_at_start {
                    self.runtime
                        .log(&format!("member {} {:?}", n.name, n.state));
                }
                self.peers.record_peer(n.peer, &n.site, n.wire_version);
                // A younger process at the address of another: that one is no more.
                g.values_mut()
                    .filter(|(o, _)| {
                        n.state == MemberState::Alive
                            && o.peer == n.peer
                            && o.name != n.name
                            && o.incarnation < n.incarnation
                    })
                    .for_each(|(o, s)| {
                        if o.state != MemberState::Removed {
                            (o.state, *s) = (MemberState::Removed, t);
                        }
                    });
                g.insert(n.name.clone(), (n, t));
                moved = true;
            }
        });
        if moved {
            self.publish(&g);
        }
    }

    fn publish(&self, g: &BTreeMap<String, (Node, u64)>) {
        let v = g
            .values()
            .filter(|x| x.0.state != MemberState::Removed)
            .map(|(n, _)| (n.name.clone(), n.clone()))
            .collect();
        self.view.store(Arc::new(v));
        self.table_digest.store(table_digest(g), SeqCst);
        self.changed.notify(usize::MAX);
    }

    fn set_state(&self, name: &str, born: u64, to: MemberState) {
        let n = self.table.lock().unwrap().get(name).map(|x| x.0.clone());
        n.filter(|n| n.incarnation == born && n.state < to)
            .into_iter()
            .for_each(|mut n| {
                n.state = to;
                self.merge(vec![n.clone()]);
                if !n.disk.is_empty() {
                    self.notify_disk_nodes(n);
                }
            });
    }

    /// Seats and duties hang on the machines with disks: what happens to one, the others hear at
    /// once.
    fn notify_disk_nodes(&self, n: Node) {
        let me = self.own_node.lock().unwrap().name.clone();
        let to = self
            .view
            .load()
            .values()
            .filter(|x| !x.disk.is_empty() && x.name != me && x.name != n.name)
            .cloned()
            .collect::<Vec<_>>();
        to.into_iter().for_each(|x| {
            let (p, a) = (
                self.peers.clone(),
                PeerRequest::MembershipUpdate {
                    nodes: vec![n.clone()],
                },
            );
            self.runtime.spawn(async move {
                let _ = p.request(x.peer, &a, &[], PEER_WAIT).await;
            });
        });
    }

    /// The middle one of the clocks known, and whether they are enough to be sure of it.
    pub fn clock(&self) -> (u64, bool) {
        let t = self.runtime.now();
        let mut g = self.clocks.lock().unwrap();
        g.retain(|_, c| t < c.1 + CLOCK_KEPT);
        let mut v: Vec<i64> = g
            .values()
            .map(|c| c.0)
            .chain([self.runtime.wall_clock_ms() as i64 - (t / MS) as i64])
            .collect();
        v.sort();
        (
            (v[(v.len() - 1) / 2] + (t / MS) as i64).max(0) as u64,
            v.len() >= CLOCKS,
        )
    }

    async fn probe(&self, to: SocketAddr) -> bool {
        let sent = self.runtime.now();
        let r = self
            .peers
            .request(
                to,
                &PeerRequest::Probe {
                    digest: self.digest(),
                    nodes: self.recent(),
                },
                &[],
                self.probe_timeout,
            )
            .await;
        match r {
            Ok((
                PeerResponse::Probe {
                    digest: dig,
                    nodes,
                    wall_clock_ms: wall,
                },
                _,
            )) => {
                if wall > 0 {
                    // The calendar was read somewhere between asking and hearing.
                    let t = self.runtime.now();
                    let off = wall as i64 - ((sent + t) / 2 / MS) as i64;
                    self.clocks.lock().unwrap().insert(to.to_string(), (off, t));
                }
                self.merge(nodes);
                if dig != self.digest() {
                    let _ = self.exchange_tables(to).await;
                }
                true
            }
            _ => false,
        }
    }

    async fn exchange_tables(&self, to: SocketAddr) -> Option<()> {
        let r = self
            .peers
            .request(
                to,
                &PeerRequest::ExchangeMembership { nodes: self.all() },
                &[],
                PEER_WAIT,
            )
            .await;
        match r {
            Ok((PeerResponse::Membership { nodes }, _)) => {
                self.merge(nodes);
                Some(())
            }
            _ => None,
        }
    }

    pub async fn handle(&self, a: PeerRequest) -> PeerResponse {
        match a {
            PeerRequest::Probe { digest: dig, nodes } => {
                if dig != self.digest() {
                    self.merge(nodes);
                }
                let d = self.digest();
                PeerResponse::Probe {
                    digest: d,
                    nodes: if d == dig { vec![] } else { self.recent() },
                    wall_clock_ms: self.runtime.wall_clock_ms(),
                }
            }
            PeerRequest::MembershipUpdate { nodes } => {
                self.merge(nodes);
                PeerResponse::Ok
            }
            PeerRequest::ProbeOnBehalf { target: to } => PeerResponse::ProbeOnBehalf {
                reachable: self.probe(to).await,
            },
            PeerRequest::ExchangeMembership { nodes } => {
                self.merge(nodes);
                PeerResponse::Membership { nodes: self.all() }
            }
            _ => PeerResponse::Rejected(crate::error_code::Code::BadField),
        }
    }

    /// One line for all that a starting node has met, in place of one for each.
    async fn log_known(self: Arc<Self>) {
        self.runtime
            .sleep((self.started + MEMBERS_QUIET).saturating_sub(self.runtime.now()))
            .await;
        let [cores, stores, fronts] =
            [Role::Core, Role::Store, Role::Front].map(|role| self.nodes_of_role(role).len());
        self.runtime.log(&format!(
            "members known: {cores} core, {stores} store, {fronts} front"
        ));
    }

    pub async fn run(self: Arc<Self>) {
        self.runtime.spawn(self.clone().log_known());
        let (me, disk) = {
            let g = self.own_node.lock().unwrap();
            (g.name.clone(), !g.disk.is_empty())
        };
        let (mut all, mut disks): (Vec<String>, Vec<String>) = (vec![], vec![]);
        let (mut next_all, mut next_disk, mut next_missed, mut told) =
            (0, 0, self.runtime.now() + REJOIN_BEATS * PROBE_EVERY, false);
        loop {
            let t = self.runtime.now();
            let known = self.view.load().len() > 1;
            if !known {
                self.missing_peers(true)
                    .into_iter()
                    .for_each(|a| self.clone().rejoin(a));
                let moved = self.changed.listen();
                self.runtime.timeout(SEED_EVERY, moved).await;
                continue;
            }
            if disk && !told {
                told = true;
                let n = self.own_node.lock().unwrap().clone();
                self.notify_disk_nodes(n);
            }
            if t >= next_missed {
                next_missed = t + self.probe_interval.max(REJOIN_BEATS * PROBE_EVERY);
                // After a cut each side holds the other for gone: one that is missed is asked, the
                // seeds among them.
                let mut v = self.missing_peers(false);
                if !v.is_empty() {
                    self.clone()
                        .rejoin(v.swap_remove(self.runtime.random_index(v.len())));
                }
            }
            if t >= next_all {
                next_all = t + self.probe_interval;
                self.clone().probe_next(&mut all, &me, false);
            }
            // Machines with disks look after each other more closely.
            if disk && self.probe_interval > PROBE_EVERY && t >= next_disk {
                next_disk = t + PROBE_EVERY;
                self.clone().probe_next(&mut disks, &me, true);
            }
            self.expire();
            let next = if disk && self.probe_interval > PROBE_EVERY {
                next_disk.min(next_all)
            } else {
                next_all
            };
            self.runtime
                .sleep(next.saturating_sub(self.runtime.now()).max(MS))
                .await;
        }
    }

    /// Addresses that ought to answer and are not in the view; all that are known where it is
    /// empty.
    fn missing_peers(&self, all: bool) -> Vec<SocketAddr> {
        let ours: Vec<SocketAddr> = self.view.load().values().map(|n| n.peer).collect();
        let mut v = self.seeds.lock().unwrap().clone();
        v.extend(self.persisted_peers.lock().unwrap().iter().cloned());
        v.extend(
            self.all()
                .iter()
                .filter(|n| n.state == MemberState::Removed)
                .map(|n| n.peer),
        );
        let me = self.own_node.lock().unwrap().peer;
        v.retain(|a| *a != me && (all || !ours.contains(a)));
        v.sort();
        v.dedup();
        while all && v.len() > SEEDS_AT_ONCE {
            v.swap_remove(self.runtime.random_index(v.len()));
        }
        v
    }

    fn rejoin(self: Arc<Self>, to: SocketAddr) {
        let w = self.runtime.clone();
        w.spawn(async move {
            let _ = self.exchange_tables(to).await;
        });
    }

    fn probe_next(self: Arc<Self>, line: &mut Vec<String>, me: &str, disks: bool) {
        if line.is_empty() {
            *line = self
                .view
                .load()
                .values()
                .filter(|n| n.name != me && (!disks || !n.disk.is_empty()))
                .map(|n| n.name.clone())
                .collect();
            (1..line.len())
                .rev()
                .for_each(|i| line.swap(i, self.runtime.random_index(i + 1)));
        }
        if let Some(n) = line.pop().and_then(|n| self.view.load().get(&n).cloned()) {
            let w = self.runtime.clone();
            w.spawn(async move { self.probe_or_suspect(n).await });
        }
    }

    /// Probes a node now, ourselves and by others, and suspects it where nobody hears it.
    pub async fn probe_or_suspect(self: Arc<Self>, n: Node) {
        if self.probe(n.peer).await {
            return;
        }
        let me = self.own_node.lock().unwrap().name.clone();
        let mut others: Vec<Node> = self
            .view
            .load()
            .values()
            .filter(|x| x.name != me && x.name != n.name && x.state == MemberState::Alive)
            .cloned()
            .collect();
        let mut fs: Vec<BoxFuture<'static, bool>> = vec![];
        while !others.is_empty() && fs.len() < PROBE_HELPERS {
            let o = others.swap_remove(self.runtime.random_index(others.len()));
            let (p, to, me_wait) = (self.peers.clone(), n.peer, self.probe_timeout);
            fs.push(Box::pin(async move {
                let r = p
                    .request(
                        o.peer,
                        &PeerRequest::ProbeOnBehalf { target: to },
                        &[],
                        2 * me_wait,
                    )
                    .await;
                matches!(r, Ok((PeerResponse::ProbeOnBehalf { reachable: true }, _)))
            }));
        }
        let (k, rx) = (fs.len(), self.runtime.spawn_all(fs));
        for _ in 0..k {
            if rx.recv().await == Ok(true) {
                return;
            }
        }
        self.set_state(&n.name, n.incarnation, MemberState::Suspect);
    }

    fn expire(&self) {
        let t = self.runtime.now();
        let g = self.table.lock().unwrap();
        let due: Vec<(String, u64)> = g
            .values()
            .filter(|(n, s)| n.state == MemberState::Suspect && t > s + SUSPECT_FOR)
            .map(|(n, _)| (n.name.clone(), n.incarnation))
            .collect();
        let old: Vec<String> = g
            .values()
            .filter(|(n, s)| n.state == MemberState::Removed && t > s + GONE_KEPT)
            .map(|(n, _)| n.name.clone())
            .collect();
        drop(g);
        due.into_iter()
            .for_each(|(n, b)| self.set_state(&n, b, MemberState::Removed));
        old.iter().for_each(|n| {
            self.table.lock().unwrap().remove(n);
        });
    }

    /// A planned stop tells a few others at once.
    pub async fn announce_leaving(&self) {
        let me = {
            let mut me = self.own_node.lock().unwrap();
            me.state = MemberState::Removed;
            me.refutations += 1;
            me.clone()
        };
        let mut ns: Vec<Node> = self
            .view
            .load()
            .values()
            .filter(|n| n.name != me.name)
            .cloned()
            .collect();
        ns.sort_by_key(|n| n.disk.is_empty());
        let disks = ns.iter().filter(|n| !n.disk.is_empty()).count();
        ns.truncate(if me.disk.is_empty() { 4 } else { disks.max(4) });
        let fs: Vec<BoxFuture<'static, ()>> = ns
            .into_iter()
            .map(|n| {
                let (p, a) = (
                    self.peers.clone(),
                    PeerRequest::ExchangeMembership {
                        nodes: vec![me.clone()],
                    },
                );
                let f: BoxFuture<'static, ()> = Box::pin(async move {
                    let _ = p.request(n.peer, &a, &[], PROBE_WAIT).await;
                });
                f
            })
            .collect();
        let (k, rx) = (fs.len(), self.runtime.spawn_all(fs));
        for _ in 0..k {
            let _ = rx.recv().await;
        }
    }
}
