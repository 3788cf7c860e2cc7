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
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
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

pub struct Members {
    pub w: World,
    pub peers: Arc<Peers>,
    pub me: Mutex<Node>,
    pub seeds: Mutex<Vec<SocketAddr>>,
    table: Mutex<BTreeMap<String, (Node, u64)>>,
    /// Read-copy-update view of all nodes not gone.
    pub view: ArcSwap<BTreeMap<String, Node>>,
    /// ms between each other node's calendar and our monotonic clock, and when it was heard.
    clocks: Mutex<BTreeMap<String, (i64, u64)>>,
    started: u64,
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
            table: Mutex::new([(me.name.clone(), (me.clone(), w.now()))].into()),
            view: ArcSwap::from_pointee([(me.name.clone(), me.clone())].into()),
            me: Mutex::new(me),
            clocks: Default::default(),
            started: w.now(),
            replaced: Latch::default(),
            stays: AtomicBool::new(false),
            moved: Event::new(),
        };
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
        let g = self.table.lock().unwrap();
        let s: String = g.values().map(|(n, _)| format!("{}{:?}", n.name, n.rank())).collect();
        crate::hash::weigh(&s, "")
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
                if was != Some(n.state) {
                    self.w.log(&format!("member {} {:?}", n.name, n.state));
                }
                self.peers.learn(n.peer, &n.site, n.wire);
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
        self.moved.notify(usize::MAX);
    }

    fn mark(&self, name: &str, born: u64, to: State) {
        let n = self.table.lock().unwrap().get(name).map(|x| x.0.clone());
        n.filter(|n| n.born == born && n.state < to).into_iter().for_each(|mut n| {
            n.state = to;
            self.merge(vec![n]);
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
        let r = self.peers.ask(to, &Ask::Probe { dig: self.digest() }, &[], PROBE_WAIT).await;
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
            Ask::Probe { dig } => {
                let d = self.digest();
                Tell::Probe { dig: d, nodes: if d == dig { vec![] } else { self.all() }, wall: self.w.wall() }
            }
            Ask::Second { to } => Tell::Second { heard: self.probe(to).await },
            Ask::Table { nodes } => {
                self.merge(nodes);
                Tell::Table { nodes: self.all() }
            }
            _ => Tell::No(crate::code::Code::BadField),
        }
    }

    pub async fn run(self: Arc<Self>) {
        let mut line: Vec<String> = vec![];
        let mut beat = 0u64;
        loop {
            let known = self.view.load().len() > 1;
            if !known || beat % REJOIN_BEATS == REJOIN_BEATS - 1 {
                // After a cut each side holds the other for gone: one that is missed is asked, the seeds among them.
                let ours: Vec<SocketAddr> = self.view.load().values().map(|n| n.peer).collect();
                let mut missed = self.seeds.lock().unwrap().clone();
                missed.extend(self.all().iter().filter(|n| n.state == State::Gone).map(|n| n.peer));
                missed.retain(|a| !known || !ours.contains(a));
                let n = if known { 1 } else { missed.len() };
                (0..n.min(missed.len())).for_each(|_| {
                    let (me, to) = (self.clone(), missed.swap_remove(self.w.pick(missed.len())));
                    self.w.go(async move {
                        let _ = me.swap(to).await;
                    });
                });
            }
            beat += 1;
            let me = self.me.lock().unwrap().name.clone();
            if line.is_empty() {
                line = self.view.load().keys().filter(|n| **n != me).cloned().collect();
                (1..line.len()).rev().for_each(|i| line.swap(i, self.w.pick(i + 1)));
            }
            let t0 = self.w.now();
            if let Some(n) = line.pop().and_then(|n| self.view.load().get(&n).cloned()) {
                let s = self.clone();
                self.w.go(async move { s.check(n).await });
            }
            self.expire();
            self.w.sleep(PROBE_EVERY.saturating_sub(self.w.now() - t0)).await;
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
            let (p, to) = (self.peers.clone(), n.peer);
            fs.push(Box::pin(async move {
                let r = p.ask(o.peer, &Ask::Second { to }, &[], 2 * PROBE_WAIT).await;
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
        let ns: Vec<Node> = self.view.load().values().filter(|n| n.name != me.name).take(4).cloned().collect();
        for n in ns {
            let _ = self.peers.ask(n.peer, &Ask::Table { nodes: vec![me.clone()] }, &[], PROBE_WAIT).await;
        }
    }
}
