//! What fronts and stores say to each other about turns and ledgers, and what counts as enough disks.

use crate::ask::{Ask, Layout, Tell};
use crate::book::Book;
use crate::chain::Turn;
use crate::consts::*;
use crate::follow::Follow;
use crate::hash::{ranked, weigh};
use crate::member::{Members, Node, State};
use crate::register::Ballot;
use crate::wire::Lost;
use crate::world::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// What a turn counts in its program's ledger, tokens. `Done` stands against `Open`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    Open(u64),
    Done(u64),
}

impl Entry {
    pub fn amount(self) -> u64 {
        match self {
            Entry::Open(n) | Entry::Done(n) => n,
        }
    }

    pub fn merge(self, o: Entry) -> Entry {
        match (self, o) {
            (Entry::Open(a), Entry::Open(b)) => Entry::Open(a.max(b)),
            (Entry::Done(a), Entry::Done(b)) => Entry::Done(a.max(b)),
            (Entry::Done(a), _) | (_, Entry::Done(a)) => Entry::Done(a),
        }
    }
}

/// A kept turn. `end` is in ms of the middle clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub turn: Arc<Turn>,
    pub program: String,
    pub end: u64,
}

impl Row {
    pub fn bytes(&self) -> usize {
        let t = &self.turn;
        t.input.len() + t.output.len() + t.id.len() + t.prev.len() + t.server.len() + self.program.len() + 200
    }
}

/// Part of a program's ledger. `keep` is in ms after its last change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerRow {
    pub program: String,
    pub epoch: Ballot,
    pub entries: Vec<(String, Entry)>,
    pub keep: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChainAsk {
    /// Layout that the asker counts by.
    pub lay: u64,
    /// The disk that is meant: an address may have passed to another.
    pub disk: String,
    /// us that the asker will wait.
    pub left: u64,
    pub what: What,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum What {
    /// Reserve `max` tokens of the program for the turn, where there is a budget, and hand over the chain that ends in
    /// `need`, where one is named.
    Open {
        program: String,
        turn: String,
        max: u64,
        budget: Option<u64>,
        need: String,
        /// Take the program over although another store holds it.
        take: bool,
    },
    /// The chain that ends in this turn, as far as this disk holds it.
    Find { id: String },
    /// Promise the ledger's epoch, add its entries, tell all that is known.
    Take { ledger: LedgerRow },
    /// Add entries under the very epoch that was promised.
    Add { ledger: LedgerRow },
    /// Keep turns, and count what they used. The epoch is no promise: it names whom the asker takes for the owner.
    Write { rows: Vec<Row>, ledger: Option<LedgerRow> },
    /// Which of these turns, by the hash of their id, does the disk hold safely?
    Have { ids: Vec<u128> },
    /// Turns and ledgers of another disk.
    Push { rows: Vec<Row>, ledgers: Vec<LedgerRow> },
    /// The asker's disk was damaged: bring it up to date.
    Mend,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    Ok,
    /// It cannot now; nothing was done, or it is not known.
    Away,
    /// The asker's layout is older than this one.
    Newer(u64),
    Opened {
        rows: Vec<Row>,
    },
    Spent,
    Unknown,
    /// This disk's machine holds the program.
    Owner(String),
    Rows(Vec<Row>),
    /// Certain: this disk does not hold it.
    No,
    Taken(Vec<(String, Entry)>),
    Refused(Ballot),
    /// A turn that comes before is not here, so the rows were not kept.
    Lacks(String),
    Have(Vec<bool>),
}

pub fn encode<T: Serialize>(x: &T) -> Vec<u8> {
    postcard::to_allocvec(x).unwrap_or_default()
}

pub fn decode<'a, T: Deserialize<'a>>(b: &'a [u8]) -> Option<T> {
    postcard::from_bytes(b).ok()
}

/// The disks of the store group under one layout, and what is enough of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seats {
    pub lay: u64,
    /// Layout number that wrote these sets; `lay` may be newer by a change of other seats.
    pub since: u64,
    pub now: Vec<String>,
    pub old: Vec<String>,
    /// Disks that may be lost at the same time.
    lost: usize,
}

impl Seats {
    pub fn of(lay: u64, l: &Layout, lost: usize) -> Seats {
        Seats { lay, since: l.since(&l.store, lay), now: l.store.now.clone(), old: l.store.old.clone(), lost }
    }

    /// Fewer may be lost where there are too few disks for two quorums to meet.
    fn lost(&self, g: &[String]) -> usize {
        self.lost.min(g.len().saturating_sub(1) / 2)
    }

    pub fn all(&self) -> Vec<String> {
        self.now.iter().chain(self.old.iter().filter(|d| !self.now.contains(d))).cloned().collect()
    }

    pub fn has(&self, d: &str) -> bool {
        self.now.iter().chain(&self.old).any(|x| x == d)
    }

    fn each(&self, need: impl Fn(&[String]) -> usize, ok: impl Fn(&str) -> bool) -> bool {
        let enough = |g: &[String]| g.iter().filter(|d| ok(d)).count() >= need(g);
        !self.now.is_empty() && enough(&self.now) && (self.old.is_empty() || enough(&self.old))
    }

    /// Enough to outlast the loss of as many as may be lost.
    pub fn wrote(&self, ok: impl Fn(&str) -> bool) -> bool {
        self.each(|g| self.lost(g) + 1, ok)
    }

    /// Enough to meet every set that was enough to write.
    pub fn read(&self, ok: impl Fn(&str) -> bool) -> bool {
        self.each(|g| g.len() - self.lost(g), ok)
    }

    /// Of a set of so many disks, how many may be missed where all of them were to keep something.
    pub fn spare(&self) -> usize {
        self.lost(&self.now)
    }

    /// ReplicaSet that outlast the losses, of the present disks.
    pub fn copies(&self) -> usize {
        self.lost(&self.now) + 1
    }
}

/// How stores are asked: used by fronts and by stores among themselves.
pub struct Line {
    pub w: World,
    pub members: Arc<Members>,
    pub book: Arc<Book>,
    pub follow: Arc<Follow>,
    pub lost: usize,
    /// Disks that let somebody wait, and until when they are asked last, us.
    slow: Mutex<BTreeMap<String, u64>>,
    /// us of the last answer of each disk, and until when those count as gone that say nothing at all.
    heard: Mutex<BTreeMap<String, u64>>,
    mute: Mutex<BTreeMap<String, u64>>,
}

impl Line {
    pub fn new(members: &Arc<Members>, book: &Arc<Book>, name: &str, lost: usize) -> Arc<Line> {
        let w = members.w.clone();
        Arc::new(Line {
            w,
            members: members.clone(),
            book: book.clone(),
            follow: Follow::new(members, book, name, false),
            lost,
            slow: Default::default(),
            heard: Default::default(),
            mute: Default::default(),
        })
    }

    pub fn seats(&self) -> Seats {
        let l = self.book.layout.load();
        Seats::of(l.0, &l.1, self.lost)
    }

    pub fn node(&self, disk: &str) -> Option<Node> {
        self.members.by_disk(disk)
    }

    /// In the view and not suspected.
    pub fn well(&self, disk: &str) -> bool {
        self.members.view.load().values().any(|n| n.disk == disk && n.state == State::Alive)
    }

    /// Well as far as membership knows, and not silent of late.
    pub fn fit(&self, disk: &str) -> bool {
        self.well(disk) && self.mute.lock().unwrap().get(disk).is_none_or(|t| *t < self.w.now())
    }

    /// A store that is merely slow answers something; one that has answered nothing since then is as good as gone.
    pub fn silent(&self, disk: &str, since: u64) -> bool {
        let silent = self.heard.lock().unwrap().get(disk).is_none_or(|t| *t < since);
        if silent {
            self.mute.lock().unwrap().insert(disk.into(), self.w.now() + CHAIN_SLOW);
        }
        silent
    }

    /// Fit, and not slow of late.
    pub fn prompt(&self, disk: &str) -> bool {
        self.fit(disk) && self.slow.lock().unwrap().get(disk).is_none_or(|t| *t < self.w.now())
    }

    /// It let somebody wait: asked last for a while, and membership looks at it now, not when its turn comes.
    pub fn mark_slow(&self, disk: &str) {
        let t = self.w.now();
        let was = self.slow.lock().unwrap().insert(disk.into(), t + CHAIN_SLOW);
        if was.is_none_or(|u| u < t)
            && let Some(n) = self.node(disk)
        {
            self.w.go(self.members.clone().check(n));
        }
    }

    /// Disks in the order in which they are asked for a key: prompt ones first, then those of other sites than `beside`.
    pub fn order(&self, key: &str, seats: &Seats, beside: Option<&str>) -> Vec<String> {
        let l = self.book.layout.load();
        let site = |d: &str| l.1.sites.get(d).cloned();
        let all = seats.all();
        let mut v: Vec<String> = ranked(key, all.iter().map(|d| d.as_str())).into_iter().map(|d| d.to_string()).collect();
        let at = beside.and_then(&site);
        v.sort_by_cached_key(|d| (!self.prompt(d), beside == Some(d), at.is_some() && site(d) == at));
        v
    }

    /// Disks of the asker's own site first.
    pub fn near(&self, key: &str, seats: &Seats, site: &str) -> Vec<String> {
        let l = self.book.layout.load();
        let mut v = self.order(key, seats, None);
        v.sort_by_cached_key(|d| (!self.prompt(d), l.1.sites.get(d).is_none_or(|s| s != site)));
        v
    }

    pub async fn ask(&self, disk: &str, lay: u64, what: &What, us: u64) -> Result<Told, Lost> {
        let to = self.node(disk).ok_or(Lost::Unsent)?.peer;
        let a = encode(&ChainAsk { lay, disk: disk.into(), left: us, what: what.clone() });
        match self.members.peers.ask(to, &Ask::Chain, &a, us).await? {
            (Tell::Chain, b) => {
                self.heard.lock().unwrap().insert(disk.into(), self.w.now());
                self.mute.lock().unwrap().remove(disk);
                decode(&b).ok_or(Lost::Unknown)
            }
            _ => Err(Lost::Unknown),
        }
    }

    /// Fetches a layout that another node has told of.
    pub async fn catch_up(&self, lay: u64) {
        if self.book.layout.load().0 < lay {
            self.follow.fetch("layout", lay - 1).await;
        }
        if self.book.layout.load().0 < lay {
            self.w.sleep(CHAIN_AGAIN).await;
        }
    }

    /// Asks disks in this order: as many at once as would be `enough`, or `all`, the next when one fails or is slow. Ends once
    /// `enough` have been taken, or nobody is left, or a newer layout is told.
    #[allow(clippy::too_many_arguments)]
    pub async fn gather(
        self: &Arc<Self>,
        order: Vec<String>,
        all: bool,
        lay: u64,
        until: u64,
        ask: impl Fn(&str) -> Fut<'static, Told>,
        enough: impl Fn(&BTreeSet<String>) -> bool,
        mut take: impl FnMut(&str, Told) -> Took,
    ) -> Gathered {
        let (tx, rx) = async_channel::unbounded();
        let (mut asked, mut taken, mut out, mut heard) = (BTreeSet::new(), BTreeSet::new(), 0usize, BTreeSet::new());
        let mut line = order.into_iter();
        let mut g = Gathered::default();
        let mut spare = 0;
        // Nothing may be needed at all.
        g.enough = enough(&taken);
        if g.enough {
            return g;
        }
        loop {
            // Those that failed do not count towards what is on its way.
            while all || !enough(&asked) || spare > 0 {
                let Some(d) = line.next() else { break };
                asked.insert(d.clone());
                spare = 0;
                out += 1;
                let (f, tx) = (ask(&d), tx.clone());
                self.w.go(async move {
                    let _ = tx.try_send((d, f.await));
                });
            }
            let left = until.saturating_sub(self.w.now());
            if out == 0 || left == 0 {
                return g;
            }
            let patient = line.len() == 0;
            match self.w.within(if patient { left } else { left.min(CHAIN_SPARE) }, rx.recv()).await {
                Some(Ok((d, t))) => {
                    out -= 1;
                    heard.insert(d.clone());
                    if let Told::Newer(n) = t {
                        g.newer = g.newer.max(n).max(lay);
                    }
                    match take(&d, t) {
                        Took::Yes => {
                            taken.insert(d);
                            g.taken = taken.clone();
                            if enough(&taken) {
                                g.enough = true;
                                return g;
                            }
                        }
                        Took::No => {
                            asked.remove(&d);
                        }
                        Took::Stop => return g,
                    }
                    if g.newer > lay {
                        return g;
                    }
                }
                _ => {
                    spare = 1;
                    asked.difference(&heard).for_each(|d| self.mark_slow(d));
                }
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Took {
    Yes,
    No,
    Stop,
}

#[derive(Default, Debug)]
pub struct Gathered {
    pub enough: bool,
    pub taken: BTreeSet<String>,
    /// A layout newer than ours was told of.
    pub newer: u64,
}

/// A disk's mark in the epochs its machine takes; the low bits differ from one life of the process to the next.
pub fn mark_of(disk: &str) -> u64 {
    weigh(disk, "owner") & !0xffff
}
