//! How a node keeps its documents new, and how a front proves that none newer is in force.

use crate::ask::{Ask, Tell};
use crate::book::Book;
use crate::consts::*;
use crate::departures;
use crate::member::{Members, Node, State};
use crate::register::majority;
use crate::startup::Role;
use crate::world::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

pub struct Follow {
    pub w: World,
    pub members: Arc<Members>,
    pub book: Arc<Book>,
    name: String,
    front: bool,
    /// us between two questions where no lease is needed; 0: fronts serve under leases.
    every: u64,
    until: AtomicU64,
    /// A core quorum has confirmed our configuration since this process started.
    pub proved: AtomicBool,
    rounds: AtomicU64,
    heard: Mutex<BTreeMap<String, u64>>,
    /// The digest of the leaving servers that each core told of last, by its name: a core tells them again only if they differ.
    departures_told: Mutex<BTreeMap<String, u64>>,
    was: AtomicBool,
    /// us. When the question was sent that a core with a majority answered last; 0 before the first.
    told_at: AtomicU64,
}

impl Follow {
    pub fn new(members: &Arc<Members>, book: &Arc<Book>, name: &str, front: bool) -> Arc<Follow> {
        Follow::of(members, book, name, front, 0)
    }

    /// Without leases: a front serves by what it holds, and one core is asked for news often enough for `apply` (us).
    pub fn unleased(members: &Arc<Members>, book: &Arc<Book>, name: &str, front: bool, apply: u64) -> Arc<Follow> {
        Follow::of(members, book, name, front, (apply / 5).max(50 * MS))
    }

    fn of(members: &Arc<Members>, book: &Arc<Book>, name: &str, front: bool, every: u64) -> Arc<Follow> {
        let w = members.w.clone();
        Arc::new(Follow {
            w: w.clone(),
            members: members.clone(),
            book: book.clone(),
            name: name.into(),
            front,
            every,
            until: AtomicU64::new(0),
            proved: AtomicBool::new(false),
            rounds: AtomicU64::new(w.rand() % 64),
            heard: Default::default(),
            departures_told: Mutex::default(),
            was: AtomicBool::new(false),
            told_at: AtomicU64::new(0),
        })
    }

    /// Whether this front may serve at this moment.
    pub fn serving(&self) -> bool {
        if self.every > 0 {
            return self.book.config.load().0 > 0;
        }
        self.w.now() < self.until.load(SeqCst)
    }

    /// us since a core in contact with a majority last told this node what is newest; none if none ever did.
    pub fn untold_for(&self) -> Option<u64> {
        let at = self.told_at.load(SeqCst);
        (at > 0).then(|| self.w.now() - at)
    }

    /// What this front tells other fronts: its version, if it was ever proved.
    pub fn newer(&self) -> Tell {
        let newest = self.book.have();
        Tell::Newer { newest, sure: self.proved.load(SeqCst), behind: false, departed: vec![] }
    }

    pub async fn fetch(&self, name: &str, more_than: u64) {
        let cores = self.members.alive(Role::Core);
        let order: Vec<String> =
            crate::hash::ranked(name, cores.iter().map(|n| n.name.as_str())).into_iter().map(|s| s.to_string()).collect();
        for n in order.iter().filter_map(|o| cores.iter().find(|c| c.name == *o)) {
            let a = Ask::Doc { name: name.into(), hops: 0 };
            if let Ok((Tell::Doc { seq, epoch }, raw)) = self.members.peers.ask(n.peer, &a, &[], PEER_WAIT).await {
                if seq > 0 {
                    self.book.adopt(name, seq, epoch, raw);
                }
                if self.book.page(name).seq > more_than || seq <= more_than {
                    return;
                }
            }
        }
    }

    /// Asks one core at a time, those of our site every other time; wakes at once when cores become known.
    async fn ask_in_turn(self: &Arc<Self>) {
        let mut eager = self.every / 4;
        loop {
            let moved = self.members.moved.listen();
            let cores = self.cores_in_turn();
            match cores.is_empty() {
                false => {
                    let mut told = false;
                    for n in cores.iter().take(3) {
                        told = self.ask_one(n).await;
                        if told {
                            break;
                        }
                    }
                    let none = self.book.config.load().0 == 0 || self.book.layout.load().0 == 0;
                    let us = if none { eager } else { self.every * 9 / 10 + self.w.rand() % (self.every / 5) };
                    // Cores that have just begun know in a moment whether a majority answers them.
                    if told {
                        eager = (2 * eager).min(self.every);
                    }
                    self.w.sleep(us).await;
                }
                true => {
                    self.w.within(self.every, moved).await;
                }
            }
        }
    }

    fn cores_in_turn(&self) -> Vec<Node> {
        let nth = self.rounds.fetch_add(1, SeqCst) as usize;
        let mut all: Vec<Node> =
            self.members.alive(Role::Core).into_iter().filter(|n| n.name != self.name && n.state == State::Alive).collect();
        let k = all.len().max(1);
        all.rotate_left(nth / 2 % k);
        if nth.is_multiple_of(2) {
            all.sort_by_key(|n| n.site != self.members.peers.site);
        }
        all
    }

    /// Whether the core answered, and a majority of core seats had answered it lately, and this node now holds what it told of. What
    /// any other core holds may be old: nothing is taken over from it.
    async fn ask_one(self: &Arc<Self>, n: &Node) -> bool {
        let have = self.book.have();
        let told_before = self.departures_told.lock().unwrap().get(&n.name).copied().unwrap_or(0);
        let a = Ask::Newer { have: have.clone(), front: false, departed: told_before };
        let sent = self.w.now();
        let answer = self.members.peers.ask(n.peer, &a, &[], SERVE_ASK).await;
        let Ok((Tell::Newer { newest, sure, behind, departed }, _)) = answer else { return false };
        if !departed.is_empty() {
            // Whoever says that a server leaves is right.
            self.book.depart(&departed);
            self.departures_told.lock().unwrap().insert(n.name.clone(), departures::digest(&departed));
        }
        if !sure {
            return false;
        }
        self.told_at.fetch_max(sent, SeqCst);
        for (d, s) in &newest {
            let more_than = have.iter().find(|h| h.0 == *d).map_or(0, |h| h.1);
            if *s <= more_than || (more_than > 0 && self.was_pushed(d, *s).await) {
                continue;
            }
            let a = Ask::Page { name: d.clone(), more_than };
            if let Ok((Tell::Doc { seq, epoch }, raw)) = self.members.peers.ask(n.peer, &a, &[], PEER_WAIT).await {
                self.book.adopt(d, seq, epoch, raw);
            }
        }
        !behind && newest.iter().all(|(d, s)| self.book.page(d).seq >= *s)
    }

    /// Whether the version comes by itself in a moment: what was just decided is on its way to every node as the few bytes that
    /// changed, and a whole document need not be asked for.
    async fn was_pushed(&self, name: &str, seq: u64) -> bool {
        let until = self.w.now() + self.every / 4;
        loop {
            let moved = self.book.moved.listen();
            if self.book.page(name).seq >= seq {
                return true;
            }
            let left = until.saturating_sub(self.w.now());
            if left == 0 || self.w.within(left, moved).await.is_none() {
                return self.book.page(name).seq >= seq;
            }
        }
    }

    pub async fn run(self: Arc<Self>) {
        if self.every > 0 {
            return self.ask_in_turn().await;
        }
        loop {
            let t0 = self.w.now();
            self.round().await;
            self.w.sleep(SERVE_ASK.saturating_sub(self.w.now() - t0).max(10 * MS)).await;
        }
    }

    async fn round(self: &Arc<Self>) {
        let mut cores = self.members.alive(Role::Core);
        // Other fronts are asked only while the core's word is running out.
        let thin = self.until.load(SeqCst) < self.w.now() + SERVE_LEASE - 2 * SERVE_ASK;
        let fronts: Vec<_> =
            if self.front && thin { self.members.alive(Role::Front).into_iter().filter(|n| n.name != self.name).collect() } else { vec![] };
        // A lease needs the word of some cores only, and a node without one needs but to hear of news: they take turns,
        // one more than needed at a time. All are asked while a lease runs out.
        let n = cores.len();
        let few = if self.front { n - majority(n).min(n) + 2 } else { 1 };
        if n > 0 && !(self.front && thin) {
            cores.rotate_left(self.rounds.fetch_add(1, SeqCst) as usize % n);
            cores.truncate(few);
        }
        let sent = self.w.now();
        let fs: Vec<Fut<'static, _>> = cores
            .iter()
            .chain(&fronts)
            .map(|n| {
                let (p, n, a) =
                    (self.members.peers.clone(), n.clone(), Ask::Newer { have: self.book.have(), front: self.front, departed: 0 });
                let f: Fut<'static, _> = Box::pin(async move {
                    let r = p.ask(n.peer, &a, &[], SERVE_ASK).await;
                    (n, r.ok())
                });
                f
            })
            .collect();
        let (k, rx) = (fs.len(), self.w.fan(fs));
        let mut want: BTreeMap<String, u64> = BTreeMap::new();
        let have = self.book.have();
        for _ in 0..k {
            let Ok((n, Some((Tell::Newer { newest, sure, .. }, _)))) = rx.recv().await else { continue };
            let more: Vec<_> = newest.iter().filter(|x| have.iter().any(|h| h.0 == x.0 && x.1 > h.1)).cloned().collect();
            more.iter().for_each(|(d, s)| {
                let e = want.entry(d.clone()).or_default();
                *e = (*e).max(*s);
            });
            let blocks = more.iter().any(|x| x.0 == "config" || x.0 == "layout");
            if sure && !blocks && self.front {
                let id = if n.role == Role::Core { n.disk } else { format!("front {}", n.name) };
                self.heard.lock().unwrap().insert(id, sent);
                self.renew();
            }
        }
        for (d, s) in want {
            let me = self.clone();
            self.w.go(async move {
                if me.book.page(&d).seq < s {
                    me.fetch(&d, s - 1).await;
                }
            });
        }
    }

    /// The lease runs from the moment the deciding question was sent.
    fn renew(&self) {
        if self.book.config.load().0 == 0 {
            return;
        }
        let h = self.heard.lock().unwrap();
        let l = self.book.layout.load();
        let nth = |ids: Vec<String>, k: usize| {
            let mut v: Vec<u64> = ids.iter().filter_map(|i| h.get(i).cloned()).collect();
            v.sort_by(|a, b| b.cmp(a));
            if k == 0 { None } else { v.get(k - 1).cloned() }
        };
        let g = &l.1.core.now;
        let by_core = if g.is_empty() { None } else { nth(g.clone(), g.len() - majority(g.len()) + 1) };
        if by_core.is_some_and(|t| self.w.now() < t + SERVE_LEASE) {
            self.proved.store(true, SeqCst);
        }
        let named = &self.book.config.load().1.fronts;
        let mine = named.contains(&self.name) && self.proved.load(SeqCst);
        let others = named.iter().filter(|f| **f != self.name).map(|f| format!("front {f}")).collect();
        let by_front = if mine { nth(others, majority(named.len()) - 1) } else { None };
        let t = by_core.max(by_front).map(|t| t + SERVE_LEASE).unwrap_or(0);
        self.until.fetch_max(t, SeqCst);
        let now = self.serving();
        if self.was.swap(now, SeqCst) != now {
            self.w.log(if now { "serving" } else { "not serving" });
        }
    }

    /// A newer document came in: what was heard about the old one no longer counts.
    pub fn reset(&self) {
        self.heard.lock().unwrap().clear();
    }
}
