//! What fronts and stores say to each other about turns and ledgers, and what counts as enough
//! disks.

use crate::constants::*;
use crate::documents::cache::DocumentCache;
use crate::documents::watcher::DocumentWatcher;
use crate::hash::{ranked, rendezvous_weight};
use crate::membership::{MemberState, Membership, Node};
use crate::protocol::{Layout, PeerRequest, PeerResponse};
use crate::register::Ballot;
use crate::runtime::*;
use crate::transport::SendError;
use crate::turn_log::Turn;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// What a turn counts in its program's ledger, tokens. `Done` stands against `Open`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerEntry {
    Open(u64),
    Done(u64),
}

impl LedgerEntry {
    pub fn amount(self) -> u64 {
        match self {
            LedgerEntry::Open(n) | LedgerEntry::Done(n) => n,
        }
    }

    pub fn merge(self, o: LedgerEntry) -> LedgerEntry {
        match (self, o) {
            (LedgerEntry::Open(a), LedgerEntry::Open(b)) => LedgerEntry::Open(a.max(b)),
            (LedgerEntry::Done(a), LedgerEntry::Done(b)) => LedgerEntry::Done(a.max(b)),
            (LedgerEntry::Done(a), _) | (_, LedgerEntry::Done(a)) => LedgerEntry::Done(a),
        }
    }
}

/// A kept turn. `end` is in ms of the middle clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredTurn {
    pub turn: Arc<Turn>,
    pub program: String,
    pub ended_at_ms: u64,
}

impl StoredTurn {
    pub fn bytes(&self) -> usize {
        let t = &self.turn;
        t.input.len()
            + t.output.len()
            + t.id.len()
            + t.prev.len()
            + t.server.len()
            + self.program.len()
            + 200
    }
}

/// Part of a program's ledger. `keep` is in ms after its last change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerRecord {
    pub program: String,
    pub epoch: Ballot,
    pub entries: Vec<(String, LedgerEntry)>,
    pub retain_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TurnLogRequest {
    /// Layout that the asker counts by.
    pub layout_version: u64,
    /// The disk that is meant: an address may have passed to another.
    pub disk: String,
    /// us that the asker will wait.
    pub timeout_us: u64,
    pub operation: TurnLogOperation,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TurnLogOperation {
    /// Reserve `max` tokens of the program for the turn, where there is a budget, and hand over the
    /// chain that ends in `need`, where one is named.
    OpenTurn {
        program: String,
        turn: String,
        max_output_tokens: u64,
        budget: Option<u64>,
        parent: String,
        /// Take the program over although another store holds it.
        take_over: bool,
    },
    /// The chain that ends in this turn, as far as this disk holds it.
    FindHistory { id: String },
    /// Promise the ledger's epoch, add its entries, tell all that is known.
    AcquireLedger { ledger: LedgerRecord },
    /// Add entries under the very epoch that was promised.
    AppendEntries { ledger: LedgerRecord },
    /// Keep turns, and count what they used. The epoch is no promise: it names whom the asker takes
    /// for the owner.
    StoreTurns {
        rows: Vec<StoredTurn>,
        ledger: Option<LedgerRecord>,
    },
    /// Which of these turns, by the hash of their id, does the disk hold safely?
    ContainsTurns { ids: Vec<u128> },
    /// Turns and ledgers of another disk.
    TransferRecords {
        rows: Vec<StoredTurn>,
        ledgers: Vec<LedgerRecord>,
    },
    /// The asker's disk was damaged: bring it up to date.
    Repair,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TurnLogResponse {
    Ok,
    /// It cannot now; nothing was done, or it is not known.
    Unavailable,
    /// The asker's layout is older than this one.
    NewerLayout(u64),
    Opened {
        rows: Vec<StoredTurn>,
    },
    BudgetSpent,
    UnknownTurn,
    /// This disk's machine holds the program.
    Owner(String),
    History(Vec<StoredTurn>),
    /// Certain: this disk does not hold it.
    NotStored,
    LedgerAcquired(Vec<(String, LedgerEntry)>),
    StaleEpoch(Ballot),
    /// A turn that comes before is not here, so the rows were not kept.
    MissingParent(String),
    Contains(Vec<bool>),
}

pub fn encode<T: Serialize>(x: &T) -> Vec<u8> {
    postcard::to_allocvec(x).unwrap_or_default()
}

pub fn decode<'a, T: Deserialize<'a>>(b: &'a [u8]) -> Option<T> {
    postcard::from_bytes(b).ok()
}

/// The disks of the store group under one layout, and what is enough of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreReplicas {
    pub layout_version: u64,
    /// Layout number that wrote these sets; `lay` may be newer by a change of other seats.
    pub since: u64,
    pub current: Vec<String>,
    pub previous: Vec<String>,
    /// Disks that may be lost at the same time.
    tolerated_losses: usize,
}

impl StoreReplicas {
    pub fn of(lay: u64, l: &Layout, lost: usize) -> StoreReplicas {
        StoreReplicas {
            layout_version: lay,
            since: l.since(&l.store, lay),
            current: l.store.current.clone(),
            previous: l.store.previous.clone(),
            tolerated_losses: lost,
        }
    }

    /// Fewer may be lost where there are too few disks for two quorums to meet.
    fn lost(&self, g: &[String]) -> usize {
        self.tolerated_losses.min(g.len().saturating_sub(1) / 2)
    }

    pub fn all(&self) -> Vec<String> {
        self.current
            .iter()
            .chain(self.previous.iter().filter(|d| !self.current.contains(d)))
            .cloned()
            .collect()
    }

    pub fn has(&self, d: &str) -> bool {
        self.current.iter().chain(&self.previous).any(|x| x == d)
    }

    fn each(&self, need: impl Fn(&[String]) -> usize, ok: impl Fn(&str) -> bool) -> bool {
        let enough = |g: &[String]| g.iter().filter(|d| ok(d)).count() >= need(g);
        !self.current.is_empty()
            && enough(&self.current)
            && (self.previous.is_empty() || enough(&self.previous))
    }

    /// Enough to outlast the loss of as many as may be lost.
    pub fn is_write_quorum(&self, ok: impl Fn(&str) -> bool) -> bool {
        self.each(|g| self.lost(g) + 1, ok)
    }

    /// Enough to meet every set that was enough to write.
    pub fn is_read_quorum(&self, ok: impl Fn(&str) -> bool) -> bool {
        self.each(|g| g.len() - self.lost(g), ok)
    }

    /// Of a set of so many disks, how many may be missed where all of them were to keep something.
    pub fn may_miss(&self) -> usize {
        self.lost(&self.current)
    }

    /// ReplicaSet that outlast the losses, of the present disks.
    pub fn replica_count(&self) -> usize {
        self.lost(&self.current) + 1
    }
}

/// How stores are asked: used by fronts and by stores among themselves.
pub struct StoreClient {
    pub runtime: Runtime,
    pub members: Arc<Membership>,
    pub documents: Arc<DocumentCache>,
    pub watcher: Arc<DocumentWatcher>,
    pub tolerated_losses: usize,
    /// Disks that let somebody wait, and until when they are asked last, us.
    slow_until_us: Mutex<BTreeMap<String, u64>>,
    /// us of the last answer of each disk, and until when those count as gone that say nothing at
    /// all.
    last_answer_us: Mutex<BTreeMap<String, u64>>,
    unresponsive_until_us: Mutex<BTreeMap<String, u64>>,
}

impl StoreClient {
    pub fn new(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        name: &str,
        lost: usize,
    ) -> Arc<StoreClient> {
        let w = members.runtime.clone();
        Arc::new(StoreClient {
            runtime: w,
            members: members.clone(),
            documents: documents.clone(),
            watcher: DocumentWatcher::new(members, documents, name, false),
            tolerated_losses: lost,
            slow_until_us: Default::default(),
            last_answer_us: Default::default(),
            unresponsive_until_us: Default::default(),
        })
    }

    pub fn replicas(&self) -> StoreReplicas {
        let l = self.documents.layout.load();
        StoreReplicas::of(l.0, &l.1, self.tolerated_losses)
    }

    pub fn node(&self, disk: &str) -> Option<Node> {
        self.members.by_disk(disk)
    }

    /// In the view and not suspected.
    pub fn is_alive(&self, disk: &str) -> bool {
        self.members
            .view
            .load()
            .values()
            .any(|n| n.disk == disk && n.state == MemberState::Alive)
    }

    /// Well as far as membership knows, and not silent of late.
    pub fn is_responsive(&self, disk: &str) -> bool {
        self.is_alive(disk)
            && self
                .unresponsive_until_us
                .lock()
                .unwrap()
                .get(disk)
                .is_none_or(|t| *t < self.runtime.now())
    }

    /// A store that is merely slow answers something; one that has answered nothing since then is
    /// as good as gone.
    pub fn has_not_answered_since(&self, disk: &str, since: u64) -> bool {
        let silent = self
            .last_answer_us
            .lock()
            .unwrap()
            .get(disk)
            .is_none_or(|t| *t < since);
        if silent {
            self.unresponsive_until_us
                .lock()
                .unwrap()
                .insert(disk.into(), self.runtime.now() + CHAIN_SLOW);
        }
        silent
    }

    /// Fit, and not slow of late.
    pub fn is_prompt(&self, disk: &str) -> bool {
        self.is_responsive(disk)
            && self
                .slow_until_us
                .lock()
                .unwrap()
                .get(disk)
                .is_none_or(|t| *t < self.runtime.now())
    }

    /// It let somebody wait: asked last for a while, and membership looks at it now, not when its
    /// turn comes.
    pub fn mark_slow(&self, disk: &str) {
        let t = self.runtime.now();
        let was = self
            .slow_until_us
            .lock()
            .unwrap()
            .insert(disk.into(), t + CHAIN_SLOW);
        if was.is_none_or(|u| u < t)
            && let Some(n) = self.node(disk)
        {
            self.runtime.spawn(self.members.clone().probe_or_suspect(n));
        }
    }

    /// Disks in the order in which they are asked for a key: prompt ones first, then those of other
    /// sites than `beside`.
    pub fn order(&self, key: &str, seats: &StoreReplicas, beside: Option<&str>) -> Vec<String> {
        let l = self.documents.layout.load();
        let site = |d: &str| l.1.sites.get(d).cloned();
        let all = seats.all();
        let mut v: Vec<String> = ranked(key, all.iter().map(|d| d.as_str()))
            .into_iter()
            .map(|d| d.to_string())
            .collect();
        let at = beside.and_then(&site);
        v.sort_by_cached_key(|d| {
            (
                !self.is_prompt(d),
                beside == Some(d),
                at.is_some() && site(d) == at,
            )
        });
        v
    }

    /// Disks of the asker's own site first.
    pub fn order_by_site(&self, key: &str, seats: &StoreReplicas, site: &str) -> Vec<String> {
        let l = self.documents.layout.load();
        let mut v = self.order(key, seats, None);
        v.sort_by_cached_key(|d| {
            (
                !self.is_prompt(d),
                l.1.sites.get(d).is_none_or(|s| s != site),
            )
        });
        v
    }

    pub async fn request(
        &self,
        disk: &str,
        lay: u64,
        what: &TurnLogOperation,
        us: u64,
    ) -> Result<TurnLogResponse, SendError> {
        let to = self.node(disk).ok_or(SendError::NotSent)?.peer;
        let a = encode(&TurnLogRequest {
            layout_version: lay,
            disk: disk.into(),
            timeout_us: us,
            operation: what.clone(),
        });
        match self
            .members
            .peers
            .request(to, &PeerRequest::TurnLog, &a, us)
            .await?
        {
            (PeerResponse::TurnLog, b) => {
                self.last_answer_us
                    .lock()
                    .unwrap()
                    .insert(disk.into(), self.runtime.now());
                self.unresponsive_until_us.lock().unwrap().remove(disk);
                decode(&b).ok_or(SendError::OutcomeUnknown)
            }
            _ => Err(SendError::OutcomeUnknown),
        }
    }

    /// Fetches a layout that another node has told of.
    pub async fn catch_up(&self, lay: u64) {
        if self.documents.layout.load().0 < lay {
            self.watcher.fetch("layout", lay - 1).await;
        }
        if self.documents.layout.load().0 < lay {
            self.runtime.sleep(CHAIN_AGAIN).await;
        }
    }

    /// Asks disks in this order: as many at once as would be `enough`, or `all`, the next when one
    /// fails or is slow. Ends once `enough` have been taken, or nobody is left, or a newer layout
    /// is told.
    #[allow(clippy::too_many_arguments)]
    pub async fn gather(
        self: &Arc<Self>,
        order: Vec<String>,
        all: bool,
        lay: u64,
        until: u64,
        ask: impl Fn(&str) -> BoxFuture<'static, TurnLogResponse>,
        enough: impl Fn(&BTreeSet<String>) -> bool,
        mut take: impl FnMut(&str, TurnLogResponse) -> GatherStep,
    ) -> GatherOutcome {
        let (tx, rx) = async_channel::unbounded();
        let (mut asked, mut taken, mut out, mut heard) =
            (BTreeSet::new(), BTreeSet::new(), 0usize, BTreeSet::new());
        let mut line = order.into_iter();
        let mut g = GatherOutcome::default();
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
                self.runtime.spawn(async move {
                    let _ = tx.try_send((d, f.await));
                });
            }
            let left = until.saturating_sub(self.runtime.now());
            if out == 0 || left == 0 {
                return g;
            }
            let patient = line.len() == 0;
            match self
                .runtime
                .timeout(
                    if patient { left } else { left.min(CHAIN_SPARE) },
                    rx.recv(),
                )
                .await
            {
                Some(Ok((d, t))) => {
                    out -= 1;
                    heard.insert(d.clone());
                    if let TurnLogResponse::NewerLayout(n) = t {
                        g.newer = g.newer.max(n).max(lay);
                    }
                    match take(&d, t) {
                        GatherStep::Accept => {
                            taken.insert(d);
                            g.taken = taken.clone();
                            if enough(&taken) {
                                g.enough = true;
                                return g;
                            }
                        }
                        GatherStep::Reject => {
                            asked.remove(&d);
                        }
                        GatherStep::Stop => return g,
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
pub enum GatherStep {
    Accept,
    Reject,
    Stop,
}

#[derive(Default, Debug)]
pub struct GatherOutcome {
    pub enough: bool,
    pub taken: BTreeSet<String>,
    /// A layout newer than ours was told of.
    pub newer: u64,
}

/// A disk's mark in the epochs its machine takes; the low bits differ from one life of the process
/// to the next.
pub fn epoch_owner_id(disk: &str) -> u64 {
    rendezvous_weight(disk, "owner") & !0xffff
}
