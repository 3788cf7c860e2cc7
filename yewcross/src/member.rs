//! Who is in the tier: probes in turn, second opinions, suspicion before removal.

use crate::ask::{Ask, Tell};
use crate::consts::*;
use crate::event::Latch;
use crate::startup::{Role, Startup};
use crate::wire::*;
use crate::world::*;
use arc_swap::ArcSwap;
use event_listener::Event;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    Suspect,
    Gone,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    pub name: String,
    pub born: u64,
    pub inc: u32,
    pub state: State,
    pub role: Role,
    pub site: String,
    pub peer: SocketAddr,
    pub http: SocketAddr,
    pub disk: String,
    #[serde(default = "oldest")]
    pub wire: u16,
}

fn oldest() -> u16 {
    WIRE_OLDEST
}

impl Node {
    fn rank(&self) -> (u64, u32, State) {
        (self.born, self.inc, self.state)
    }
}

fn weigh(g: &BTreeMap<String, (Node, u64)>) -> u64 {
    let s: String = g.values().map(|(n, _)| format!("{}{:?}", n.name, n.rank())).collect();
    crate::hash::weigh(&s, "")
}

pub struct Members {
    pub w: World,
    pub peers: Arc<Peers>,
    pub me: Mutex<Node>,
    pub seeds: Mutex<Vec<SocketAddr>>,
    /// Peer addresses of an earlier life, as this machine's disk kept them.
    pub known: Mutex<Vec<SocketAddr>>,
    table: Mutex<BTreeMap<String, (Node, u64)>>,
    /// Read-copy-update view of all nodes not gone.
    pub view: ArcSwap<BTreeMap<String, Node>>,
    /// ms between each other node's calendar and our monotonic clock, and when it was heard.
    clocks: Mutex<BTreeMap<String, (i64, u64)>>,
    started: u64,
    /// us between two probes of ours, and how long one may take.
    beat: u64,
    wait: u64,
    dig: AtomicU64,
    /// Set when a younger process carries our name.
    pub replaced: Latch,
    /// Outbid a younger process of our name instead of giving way to it.
    pub stays: AtomicBool,
    /// The view changed.
    pub moved: Event,
}

impl Members {
    pub fn new(w: &World, s: &Startup, peers: &Arc<Peers>, disk: &str) -> Arc<Members> {
        let me = Node {
            name: s.name.clone(),
            born: w.wall() << 8 | (w.rand() & 0xff),
            inc: 0,
            state: State::Alive,
            role: s.role,
            site: s.site.clone(),
            peer: s.peer,
            http: s.http,
            disk: disk.into(),
            wire: s.wire,
        };
        let m = Members {
            w: w.clone(),
            peers: peers.clone(),
            seeds: Mutex::new(s.seeds.iter().filter(|a| **a != s.peer).cloned().collect()),
            known: Default::default(),
            table: Mutex::new([(me.name.clone(), (me.clone(), w.now()))].into()),
            view: ArcSwap::from_pointee([(me.name.clone(), me.clone())].into()),
            me: Mutex::new(me),
            clocks: Default::default(),
            started: w.now(),
            beat: s.bounds.beat.max(50) * MS,
            wait: PROBE_WAIT.max(s.bounds.beat * MS / 3),
            dig: AtomicU64::new(0),
            replaced: Latch::default(),
            stays: AtomicBool::new(false),
            moved: Event::new(),
        };
        m.dig.store(weigh(&m.table.lock().unwrap()), SeqCst);
        Arc::new(m)
    }

    pub fn alive(&self, r: Role) -> Vec<Node> {
        self.view.load().values().filter(|n| n.role == r).cloned().collect()
    }

    pub fn by_disk(&self, d: &str) -> Option<Node> {
        self.view.load().values().find(|n| n.disk == d).cloned()
    }

    pub fn all(&self) -> Vec<Node> {
        self.table.lock().unwrap().values().map(|x| x.0.clone()).collect()
    }

    fn digest(&self) -> u64 {
        self.dig.load(SeqCst)
    }

    /// What changed lately, the newest of it.
    fn recent(&self) -> Vec<Node> {
        let t = self.w.now();
        let g = self.table.lock().unwrap();
        let mut v: Vec<&(Node, u64)> = g.values().filter(|x| t < x.1 + NEWS_YOUNG).collect();
        v.sort_by_key(|x| std::cmp::Reverse(x.1));
        v.into_iter().take(NEWS_MOST).map(|x| x.0.clone()).collect()
    }

    pub fn merge(&self, ns: Vec<Node>) {
        let mut me = self.me.lock().unwrap();
        let mut g = self.table.lock().unwrap();
        let t = self.w.now();
        let mut moved = false;
        ns.into_iter().for_each(|mut n| {
            if n.name == me.name {
                if n.born > me.born
                    && (n.peer == me.peer || t < self.started + YOUNG || self.stays.load(SeqCst))
                    && me.state == State::Alive
                {
                    me.born = n.born + 1;
                    g.insert(me.name.clone(), (me.clone(), t));
                    moved = true;
                } else if n.born > me.born {
                    self.replaced.set();
                } else if n.born == me.born && n.state != State::Alive && n.inc >= me.inc && me.state == State::Alive {
                    me.inc = n.inc + 1;
                    g.insert(me.name.clone(), (me.clone(), t));
                    moved = true;
                }
                return;
            }
            // Another's removal of a node that stands well here is suspicion at most: after a cut, either side holds the
            // other for gone. Only the node itself raises its inc, so a farewell is told by that.
            let well = g.get(&n.name).is_some_and(|(o, _)| (o.born, o.inc, o.state) == (n.born, n.inc, State::Alive));
            if well && n.state == State::Gone {
                n.state = State::Suspect;
            }
            let newer = g.get(&n.name).is_none_or(|(o, _)| n.rank() > o.rank());
            if newer {
                let was = g.get(&n.name).map(|x| x.0.state);
                let met_at_start = was.is_none() && n.state == State::Alive && t < self.started + MEMBERS_QUIET;
                if was != Some(n.state) && !met_at_start {
                    self.w.log(&format!("member {} {:?}", n.name, n.state));
                }
                self.peers.learn(n.peer, &n.site, n.wire);
                // A younger process at the address of another: that one is no more.
                g.values_mut()
                    .filter(|(o, _)| n.state == State::Alive && o.peer == n.peer && o.name != n.name && o.born < n.born)
                    .for_each(|(o, s)| {
                        if o.state != State::Gone {
                            (o.state, *s) = (State::Gone, t);
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
        let v = g.values().filter(|x| x.0.state != State::Gone).map(|(n, _)| (n.name.clone(), n.clone())).collect();
        self.view.store(Arc::new(v));
        self.dig.store(weigh(g), SeqCst);
        self.moved.notify(usize::MAX);
    }

    fn mark(&self, name: &str, born: u64, to: State) {
        let n = self.table.lock().unwrap().get(name).map(|x| x.0.clone());
        n.filter(|n| n.born == born && n.state < to).into_iter().for_each(|mut n| {
            n.state = to;
            self.merge(vec![n.clone()]);
            if !n.disk.is_empty() {
                self.tell_disks(n);
            }
        });
    }

    /// Seats and duties hang on the machines with disks: what happens to one, the others hear at once.
    fn tell_disks(&self, n: Node) {
        let me = self.me.lock().unwrap().name.clone();
        let to = self.view.load().values().filter(|x| !x.disk.is_empty() && x.name != me && x.name != n.name).cloned().collect::<Vec<_>>();
        to.into_iter().for_each(|x| {
            let (p, a) = (self.peers.clone(), Ask::Heard { nodes: vec![n.clone()] });
            self.w.go(async move {
                let _ = p.ask(x.peer, &a, &[], PEER_WAIT).await;
            });
        });
    }

    /// The middle one of the clocks known, and whether they are enough to be sure of it.
    pub fn clock(&self) -> (u64, bool) {
        let t = self.w.now();
        let mut g = self.clocks.lock().unwrap();
        g.retain(|_, c| t < c.1 + CLOCK_KEPT);
        let mut v: Vec<i64> = g.values().map(|c| c.0).chain([self.w.wall() as i64 - (t / MS) as i64]).collect();
        v.sort();
        ((v[(v.len() - 1) / 2] + (t / MS) as i64).max(0) as u64, v.len() >= CLOCKS)
    }

    async fn probe(&self, to: SocketAddr) -> bool {
        let sent = self.w.now();
        let r = self.peers.ask(to, &Ask::Probe { dig: self.digest(), nodes: self.recent() }, &[], self.wait).await;
        match r {
            Ok((Tell::Probe { dig, nodes, wall }, _)) => {
                if wall > 0 {
                    // The calendar was read somewhere between asking and hearing.
                    let t = self.w.now();
                    let off = wall as i64 - ((sent + t) / 2 / MS) as i64;
                    self.clocks.lock().unwrap().insert(to.to_string(), (off, t));
                }
                self.merge(nodes);
                if dig != self.digest() {
                    let _ = self.swap(to).await;
                }
                true
            }
            _ => false,
        }
    }

    async fn swap(&self, to: SocketAddr) -> Option<()> {
        let r = self.peers.ask(to, &Ask::Table { nodes: self.all() }, &[], PEER_WAIT).await;
        match r {
            Ok((Tell::Table { nodes }, _)) => {
                self.merge(nodes);
                Some(())
            }
            _ => None,
        }
    }

    pub async fn hear(&self, a: Ask) -> Tell {
        match a {
            Ask::Probe { dig, nodes } => {
                if dig != self.digest() {
                    self.merge(nodes);
                }
                let d = self.digest();
                Tell::Probe { dig: d, nodes: if d == dig { vec![] } else { self.recent() }, wall: self.w.wall() }
            }
            Ask::Heard { nodes } => {
                self.merge(nodes);
                Tell::Ok
            }
            Ask::Second { to } => Tell::Second { heard: self.probe(to).await },
            Ask::Table { nodes } => {
                self.merge(nodes);
                Tell::Table { nodes: self.all() }
            }
            _ => Tell::No(crate::code::Code::BadField),
        }
    }

    /// One line for all that a starting node has met, in place of one for each.
    async fn log_known(self: Arc<Self>) {
        self.w.sleep((self.started + MEMBERS_QUIET).saturating_sub(self.w.now())).await;
        let [cores, stores, fronts] = [Role::Core, Role::Store, Role::Front].map(|role| self.alive(role).len());
        self.w.log(&format!("members known: {cores} core, {stores} store, {fronts} front"));
    }

    pub async fn run(self: Arc<Self>) {
        self.w.go(self.clone().log_known());
        let (me, disk) = {
            let g = self.me.lock().unwrap();
            (g.name.clone(), !g.disk.is_empty())
        };
        let (mut all, mut disks): (Vec<String>, Vec<String>) = (vec![], vec![]);
        let (mut next_all, mut next_disk, mut next_missed, mut told) = (0, 0, self.w.now() + REJOIN_BEATS * PROBE_EVERY, false);
        loop {
            let t = self.w.now();
            let known = self.view.load().len() > 1;
            if !known {
                self.missed(true).into_iter().for_each(|a| self.clone().rejoin(a));
                let moved = self.moved.listen();
                self.w.within(SEED_EVERY, moved).await;
                continue;
            }
            if disk && !told {
                told = true;
                let n = self.me.lock().unwrap().clone();
                self.tell_disks(n);
            }
            if t >= next_missed {
                next_missed = t + self.beat.max(REJOIN_BEATS * PROBE_EVERY);
                // After a cut each side holds the other for gone: one that is missed is asked, the seeds among them.
                let mut v = self.missed(false);
                if !v.is_empty() {
                    self.clone().rejoin(v.swap_remove(self.w.pick(v.len())));
                }
            }
            if t >= next_all {
                next_all = t + self.beat;
                self.clone().probe_next(&mut all, &me, false);
            }
            // Machines with disks look after each other more closely.
            if disk && self.beat > PROBE_EVERY && t >= next_disk {
                next_disk = t + PROBE_EVERY;
                self.clone().probe_next(&mut disks, &me, true);
            }
            self.expire();
            let next = if disk && self.beat > PROBE_EVERY { next_disk.min(next_all) } else { next_all };
            self.w.sleep(next.saturating_sub(self.w.now()).max(MS)).await;
        }
    }

    /// Addresses that ought to answer and are not in the view; all that are known where it is empty.
    fn missed(&self, all: bool) -> Vec<SocketAddr> {
        let ours: Vec<SocketAddr> = self.view.load().values().map(|n| n.peer).collect();
        let mut v = self.seeds.lock().unwrap().clone();
        v.extend(self.known.lock().unwrap().iter().cloned());
        v.extend(self.all().iter().filter(|n| n.state == State::Gone).map(|n| n.peer));
        let me = self.me.lock().unwrap().peer;
        v.retain(|a| *a != me && (all || !ours.contains(a)));
        v.sort();
        v.dedup();
        while all && v.len() > SEEDS_AT_ONCE {
            v.swap_remove(self.w.pick(v.len()));
        }
        v
    }

    fn rejoin(self: Arc<Self>, to: SocketAddr) {
        let w = self.w.clone();
        w.go(async move {
            let _ = self.swap(to).await;
        });
    }

    fn probe_next(self: Arc<Self>, line: &mut Vec<String>, me: &str, disks: bool) {
        if line.is_empty() {
            *line = self.view.load().values().filter(|n| n.name != me && (!disks || !n.disk.is_empty())).map(|n| n.name.clone()).collect();
            (1..line.len()).rev().for_each(|i| line.swap(i, self.w.pick(i + 1)));
        }
        if let Some(n) = line.pop().and_then(|n| self.view.load().get(&n).cloned()) {
            let w = self.w.clone();
            w.go(async move { self.check(n).await });
        }
    }

    /// Probes a node now, ourselves and by others, and suspects it where nobody hears it.
    pub async fn check(self: Arc<Self>, n: Node) {
        if self.probe(n.peer).await {
            return;
        }
        let me = self.me.lock().unwrap().name.clone();
        let mut others: Vec<Node> =
            self.view.load().values().filter(|x| x.name != me && x.name != n.name && x.state == State::Alive).cloned().collect();
        let mut fs: Vec<Fut<'static, bool>> = vec![];
        while !others.is_empty() && fs.len() < PROBE_HELPERS {
            let o = others.swap_remove(self.w.pick(others.len()));
            let (p, to, me_wait) = (self.peers.clone(), n.peer, self.wait);
            fs.push(Box::pin(async move {
                let r = p.ask(o.peer, &Ask::Second { to }, &[], 2 * me_wait).await;
                matches!(r, Ok((Tell::Second { heard: true }, _)))
            }));
        }
        let (k, rx) = (fs.len(), self.w.fan(fs));
        for _ in 0..k {
            if rx.recv().await == Ok(true) {
                return;
            }
        }
        self.mark(&n.name, n.born, State::Suspect);
    }

    fn expire(&self) {
        let t = self.w.now();
        let g = self.table.lock().unwrap();
        let due: Vec<(String, u64)> =
            g.values().filter(|(n, s)| n.state == State::Suspect && t > s + SUSPECT_FOR).map(|(n, _)| (n.name.clone(), n.born)).collect();
        let old: Vec<String> =
            g.values().filter(|(n, s)| n.state == State::Gone && t > s + GONE_KEPT).map(|(n, _)| n.name.clone()).collect();
        drop(g);
        due.into_iter().for_each(|(n, b)| self.mark(&n, b, State::Gone));
        old.iter().for_each(|n| {
            self.table.lock().unwrap().remove(n);
        });
    }

    /// A planned stop tells a few others at once.
    pub async fn leave(&self) {
        let me = {
            let mut me = self.me.lock().unwrap();
            me.state = State::Gone;
            me.inc += 1;
            me.clone()
        };
        let mut ns: Vec<Node> = self.view.load().values().filter(|n| n.name != me.name).cloned().collect();
        ns.sort_by_key(|n| n.disk.is_empty());
        let disks = ns.iter().filter(|n| !n.disk.is_empty()).count();
        ns.truncate(if me.disk.is_empty() { 4 } else { disks.max(4) });
        let fs: Vec<Fut<'static, ()>> = ns
            .into_iter()
            .map(|n| {
                let (p, a) = (self.peers.clone(), Ask::Table { nodes: vec![me.clone()] });
                let f: Fut<'static, ()> = Box::pin(async move {
                    let _ = p.ask(n.peer, &a, &[], PROBE_WAIT).await;
                });
                f
            })
            .collect();
        let (k, rx) = (fs.len(), self.w.fan(fs));
        for _ in 0..k {
            let _ = rx.recv().await;
        }
    }
}
