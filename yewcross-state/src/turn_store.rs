//! What a store keeps of chains of turns and of programs' budgets, and how it answers for them.
//!
//! A turn is immutable: enough disks keep it, and any that holds it, holds what comes before it. A
//! ledger is a set that only grows; reservations are added by one owner at a time, under an epoch
//! that enough disks have promised.

use crate::segment_log::{self, Item, Log};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::hash::key_128;
use yewcross_common::membership::Membership;
use yewcross_common::process_settings::ProcessSettings;
use yewcross_common::register::Ballot;
use yewcross_common::runtime::*;
use yewcross_common::storage::DurableStorage;
use yewcross_common::turn_log::store_client::*;

/// A turn on this disk; `until` is in ms of the middle clock, the longest that it or one after it
/// is kept.
pub struct Kept {
    pub row: StoredTurn,
    pub until: u64,
    seg: u64,
}

pub struct Ledger {
    pub promised: Ballot,
    pub entries: HashMap<String, LedgerEntry>,
    pub spent: u64,
    /// ms of the middle clock of its last change.
    at: u64,
    keep: u64,
    /// The oldest segment that it needs.
    seg: u64,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger {
            promised: Ballot::default(),
            entries: HashMap::new(),
            spent: 0,
            at: 0,
            keep: 0,
            seg: u64::MAX,
        }
    }
}

impl Ledger {
    fn merge(&mut self, es: &[(String, LedgerEntry)], at: u64, keep: u64) {
        es.iter().for_each(|(k, e)| match self.entries.get_mut(k) {
            Some(x) => {
                let n = x.merge(*e);
                self.spent = self.spent - x.amount() + n.amount();
                *x = n;
            }
            None => {
                self.spent += e.amount();
                self.entries.insert(k.clone(), *e);
            }
        });
        self.at = self.at.max(at);
        self.keep = self.keep.max(keep);
    }

    pub fn row(&self, program: &str) -> LedgerRecord {
        let entries = self.entries.iter().map(|(k, e)| (k.clone(), *e)).collect();
        LedgerRecord {
            program: program.into(),
            epoch: self.promised,
            entries,
            retain_ms: self.keep,
        }
    }

    fn bytes(&self) -> usize {
        200 + self.entries.len() * 80
    }
}

#[derive(Default)]
pub struct Shelf {
    /// By the hash of their id.
    pub turns: HashMap<u128, Kept>,
    pub ledgers: HashMap<String, Ledger>,
    /// Of turns.
    pub bytes: usize,
}

impl Shelf {
    /// All that the disk's log holds.
    pub async fn read(runtime: &Runtime) -> io::Result<(Shelf, segment_log::Found)> {
        let mut shelf = Shelf::default();
        let found = segment_log::read(runtime, |item, segment| shelf.apply(item, segment)).await?;
        let ends: Vec<(String, u64)> = shelf
            .turns
            .values()
            .map(|k| (k.row.turn.prev.clone(), k.until))
            .collect();
        ends.iter().for_each(|(p, u)| shelf.lengthen(p, *u));
        Ok((shelf, found))
    }

    pub fn get(&self, id: &str) -> Option<&Kept> {
        self.turns
            .get(&key_128(id.as_bytes()))
            .filter(|k| k.row.turn.id == id)
    }

    pub fn apply(&mut self, i: &Item, seg: u64) {
        match i {
            Item::Turn(r) => {
                let until = r.ended_at_ms + r.turn.retain_ms;
                let k = self
                    .turns
                    .entry(key_128(r.turn.id.as_bytes()))
                    .or_insert_with(|| {
                        self.bytes += r.bytes();
                        Kept {
                            row: r.clone(),
                            until,
                            seg,
                        }
                    });
                k.seg = k.seg.max(seg);
                self.lengthen(&r.turn.prev, until);
            }
            Item::Ledger(l, at) => {
                let x = self.ledgers.entry(l.program.clone()).or_default();
                x.promised = x.promised.max(l.epoch);
                x.merge(&l.entries, *at, l.retain_ms);
                x.seg = x.seg.min(seg);
            }
            Item::Torn(..) => {}
        }
    }

    /// What comes before a turn is kept as long as the turn.
    fn lengthen(&mut self, prev: &str, until: u64) {
        let mut at = prev.to_string();
        while let Some(k) = self
            .turns
            .get_mut(&key_128(at.as_bytes()))
            .filter(|k| k.until < until)
        {
            k.until = until;
            at = k.row.turn.prev.clone();
        }
    }

    /// The chain that ends in `id`, newest first, and the first turn of it that is not here.
    pub fn walk(&self, id: &str) -> (Vec<StoredTurn>, String) {
        let (mut v, mut at) = (vec![], id.to_string());
        while let Some(k) = self.get(&at).filter(|_| !at.is_empty()) {
            at = k.row.turn.prev.clone();
            v.push(k.row.clone());
        }
        (v, at)
    }

    /// Whether anything needs the segment.
    pub fn needs(&self, s: u64) -> bool {
        self.turns.values().any(|k| k.seg <= s) || self.ledgers.values().any(|l| l.seg <= s)
    }

    /// What the segment is needed for, to be written anew at once: from here on its ledgers count
    /// as needing none.
    pub fn in_segment(&mut self, s: u64) -> Vec<Item> {
        let turns = self
            .turns
            .values()
            .filter(|k| k.seg <= s)
            .map(|k| Item::Turn(k.row.clone()));
        let mut v: Vec<Item> = turns.collect();
        self.ledgers
            .iter_mut()
            .filter(|x| x.1.seg <= s)
            .for_each(|(p, l)| {
                l.seg = u64::MAX;
                v.push(Item::Ledger(l.row(p), l.at));
            });
        v
    }

    fn expire(&mut self, now: u64, margin: u64) {
        let bytes = &mut self.bytes;
        self.turns.retain(|_, k| {
            let keep = k.until + margin >= now;
            *bytes -= if keep { 0 } else { k.row.bytes() };
            keep
        });
        self.ledgers.retain(|_, l| l.at + l.keep + margin >= now);
    }

    /// Bytes of everything.
    fn weight(&self) -> usize {
        self.bytes + self.ledgers.values().map(Ledger::bytes).sum::<usize>()
    }
}

/// A program that this store gives out the budget of.
#[derive(Default)]
struct Hold {
    epoch: Option<Ballot>,
    /// Disks that promised it.
    by: BTreeSet<String>,
    /// Highest epoch number heard of.
    top: u64,
    /// us when enough disks last told what they know.
    fresh: u64,
}

type Own = Arc<futures_util::lock::Mutex<Hold>>;

#[derive(Default, Debug)]
pub struct ChainCounts {
    pub batches: AtomicU64,
    pub items: AtomicU64,
    pub opens: AtomicU64,
    pub takes: AtomicU64,
    pub adds: AtomicU64,
    pub writes: AtomicU64,
    pub lookups: AtomicU64,
    pub refused: AtomicU64,
    /// Ends of turns told to one who is not the owner, and passed on.
    pub passed: AtomicU64,
    pub busy: AtomicU64,
    pub pushed: AtomicU64,
    pub compacted: AtomicU64,
    /// Ends of the log found torn at the start.
    pub torn: AtomicU64,
}

pub struct Engine {
    pub w: Runtime,
    pub line: Arc<StoreClient>,
    pub vault: Arc<DurableStorage>,
    pub me: String,
    pub st: Mutex<Shelf>,
    pub log: Mutex<Log>,
    own: Mutex<HashMap<String, Own>>,
    pub counts: ChainCounts,
    mark: u64,
    busy: AtomicUsize,
    /// Bytes of turns that may be held.
    max: usize,
    /// Something that was answered for is damaged, and not yet brought back by others.
    pub doubt: AtomicBool,
    pub swept: AtomicU64,
    pub left: AtomicU64,
}

enum Taken {
    Yes,
    Refused,
    Newer(u64),
    Away,
}

impl Engine {
    /// Reads what the disk holds, and runs the upkeep. Errors are those of the disk.
    pub async fn start(
        runtime: &Runtime,
        settings: &ProcessSettings,
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        storage: &Arc<DurableStorage>,
    ) -> io::Result<Arc<Engine>> {
        let (shelf, f) = Shelf::read(runtime).await?;
        f.hurt.iter().for_each(|s| {
            runtime.log(&format!(
                "damaged segment {s:x} of the log; asking the other disks"
            ))
        });
        let seg = f.sizes.keys().last().map_or(1, |s| s + 1);
        let max = if settings.bounds.memory_mb == 0 {
            CHAIN_HELD
        } else {
            (settings.bounds.memory_mb as usize) * (3 << 17)
        };
        let e = Arc::new(Engine {
            w: runtime.clone(),
            line: StoreClient::new(members, documents, &settings.name, settings.bounds.lost),
            vault: storage.clone(),
            me: storage.disk_id.clone(),
            st: Mutex::new(shelf),
            log: Mutex::new(Log::new(seg, f.sizes)),
            own: Default::default(),
            counts: Default::default(),
            mark: epoch_owner_id(&storage.disk_id) | (runtime.random() & 0xffff),
            busy: AtomicUsize::new(0),
            max,
            doubt: AtomicBool::new(!f.hurt.is_empty()),
            swept: AtomicU64::new(0),
            left: AtomicU64::new(0),
        });
        e.counts.torn.store(f.torn.len() as u64, Relaxed);
        if !f.torn.is_empty() {
            // Before anything else is written behind it.
            let marks = f.torn.iter().map(|(s, n)| Item::Torn(*s, *n)).collect();
            e.keep(marks);
        }
        runtime.spawn(e.clone().upkeep());
        runtime.spawn(e.clone().watch());
        Ok(e)
    }

    async fn upkeep(self: Arc<Self>) {
        loop {
            self.w.sleep(CHAIN_TIDY).await;
            let (now, sure) = self.line.members.clock();
            if sure {
                let mut g = self.st.lock().unwrap();
                let tight = g.weight() > self.max / 2;
                g.expire(
                    now,
                    if tight {
                        CHAIN_MARGIN_SHORT
                    } else {
                        CHAIN_MARGIN
                    },
                );
                let gone: Vec<String> = self
                    .own
                    .lock()
                    .unwrap()
                    .keys()
                    .filter(|p| !g.ledgers.contains_key(*p))
                    .cloned()
                    .collect();
                drop(g);
                let mut o = self.own.lock().unwrap();
                gone.iter().for_each(|p| {
                    if o.get(p).is_some_and(|x| Arc::strong_count(x) == 1) {
                        o.remove(p);
                    }
                });
            }
            if !self.vault.failed.load(SeqCst) {
                self.compact().await;
            }
        }
    }

    /// For an operator: what this store did and holds.
    pub fn figures(&self) -> BTreeMap<&'static str, u64> {
        let c = &self.counts;
        let (turns, bytes, programs) = {
            let g = self.st.lock().unwrap();
            (g.turns.len() as u64, g.bytes as u64, g.ledgers.len() as u64)
        };
        let log = self.log.lock().unwrap().sizes.values().sum();
        let n = |x: &AtomicU64| x.load(Relaxed);
        [
            ("turns", turns),
            ("turn_bytes", bytes),
            ("programs", programs),
            ("log_bytes", log),
            ("batches", n(&c.batches)),
            ("items", n(&c.items)),
            ("opens", n(&c.opens)),
            ("taken", n(&c.takes)),
            ("adds", n(&c.adds)),
            ("writes", n(&c.writes)),
            ("lookups", n(&c.lookups)),
            ("refused", n(&c.refused)),
            ("passed", n(&c.passed)),
            ("busy", n(&c.busy)),
            ("pushed", n(&c.pushed)),
            ("compacted", n(&c.compacted)),
            ("torn", n(&c.torn)),
            ("left", n(&self.left)),
            ("doubt", self.doubt.load(Relaxed) as u64),
        ]
        .into()
    }

    /// The layout that every disk answers by.
    fn lay(&self) -> u64 {
        self.line.documents.layout.load().0
    }

    fn clock(&self) -> u64 {
        self.line.members.clock().0
    }

    pub async fn handle(self: &Arc<Self>, blob: Vec<u8>) -> Vec<u8> {
        let Some(a) = decode::<TurnLogRequest>(&blob) else {
            return encode(&TurnLogResponse::Unavailable);
        };
        drop(blob);
        let n = self.busy.fetch_add(1, SeqCst);
        let t = if n >= CHAIN_BUSY || self.clogged() {
            self.counts.busy.fetch_add(1, Relaxed);
            TurnLogResponse::Unavailable
        } else {
            self.answer(a).await
        };
        self.busy.fetch_sub(1, SeqCst);
        encode(&t)
    }

    async fn answer(self: &Arc<Self>, a: TurnLogRequest) -> TurnLogResponse {
        let until = self.w.now() + a.timeout_us;
        if a.disk != self.me || self.vault.failed.load(SeqCst) {
            return TurnLogResponse::Unavailable;
        }
        if a.layout_version > self.lay() {
            let me = self.clone();
            let f = async move { me.line.catch_up(a.layout_version).await };
            // Only an owner counts disks itself; the others can answer before they have the layout.
            if matches!(a.operation, TurnLogOperation::OpenTurn { .. }) {
                f.await
            } else {
                self.w.spawn(f)
            }
        } else if !self.line.replicas().has(&self.me) {
            return if a.layout_version < self.lay() {
                TurnLogResponse::NewerLayout(self.lay())
            } else {
                TurnLogResponse::Unavailable
            };
        }
        match a.operation {
            TurnLogOperation::OpenTurn {
                program,
                turn,
                max_output_tokens: max,
                budget,
                parent: need,
                take_over: take,
            } => {
                if a.layout_version < self.lay() {
                    return TurnLogResponse::NewerLayout(self.lay());
                }
                self.counts.opens.fetch_add(1, Relaxed);
                self.open(&program, &turn, max, budget, &need, take, until)
                    .await
            }
            TurnLogOperation::FindHistory { id } => self.find(a.layout_version, &id),
            TurnLogOperation::AcquireLedger { ledger } => {
                self.promise(a.layout_version, ledger).await
            }
            TurnLogOperation::AppendEntries { ledger } => self.add(a.layout_version, ledger).await,
            TurnLogOperation::StoreTurns { rows, ledger } => {
                ledger.iter().for_each(|l| self.pass_on(l));
                self.take_in(a.layout_version, rows, ledger.into_iter().collect())
                    .await
            }
            TurnLogOperation::TransferRecords { rows, ledgers } => {
                self.take_in(a.layout_version, rows, ledgers).await
            }
            TurnLogOperation::ContainsTurns { ids } => {
                let g = self.st.lock().unwrap();
                TurnLogResponse::Contains(ids.iter().map(|i| g.turns.contains_key(i)).collect())
            }
            TurnLogOperation::Repair => self.mend().await,
        }
    }

    fn find(&self, lay: u64, id: &str) -> TurnLogResponse {
        let g = self.st.lock().unwrap();
        if lay < self.lay() {
            return TurnLogResponse::NewerLayout(self.lay());
        }
        match g.walk(id).0 {
            v if !v.is_empty() => TurnLogResponse::History(v),
            _ if self.doubt.load(SeqCst) => TurnLogResponse::Unavailable,
            _ => TurnLogResponse::NotStored,
        }
    }

    async fn promise(self: &Arc<Self>, lay: u64, l: LedgerRecord) -> TurnLogResponse {
        let at = self.clock();
        let (rx, all) = {
            let mut g = self.st.lock().unwrap();
            if lay < self.lay() {
                return TurnLogResponse::NewerLayout(self.lay());
            }
            if self.doubt.load(SeqCst) {
                return TurnLogResponse::Unavailable;
            }
            let x = g.ledgers.entry(l.program.clone()).or_default();
            if l.epoch < x.promised {
                self.counts.refused.fetch_add(1, Relaxed);
                return TurnLogResponse::StaleEpoch(x.promised);
            }
            // The same again adds nothing, and waits only for what is under way to the disk.
            let again = x.promised == l.epoch && l.entries.is_empty();
            x.promised = l.epoch;
            x.merge(&l.entries, at, l.retain_ms);
            let all = x.row("").entries;
            (
                self.keep(if again {
                    vec![]
                } else {
                    vec![Item::Ledger(l, at)]
                }),
                all,
            )
        };
        if self.safe(rx).await {
            TurnLogResponse::LedgerAcquired(all)
        } else {
            TurnLogResponse::Unavailable
        }
    }

    async fn add(self: &Arc<Self>, lay: u64, l: LedgerRecord) -> TurnLogResponse {
        let at = self.clock();
        let rx = {
            let mut g = self.st.lock().unwrap();
            if lay < self.lay() {
                return TurnLogResponse::NewerLayout(self.lay());
            }
            // Only what was promised is accepted: a disk that forgot, or never knew, does not vouch
            // for the owner.
            let was = g
                .ledgers
                .get(&l.program)
                .map(|x| x.promised)
                .unwrap_or_default();
            let Some(x) = g
                .ledgers
                .get_mut(&l.program)
                .filter(|x| x.promised == l.epoch)
            else {
                self.counts.refused.fetch_add(1, Relaxed);
                return TurnLogResponse::StaleEpoch(was);
            };
            x.merge(&l.entries, at, l.retain_ms);
            self.keep(vec![Item::Ledger(l, at)])
        };
        if self.safe(rx).await {
            TurnLogResponse::Ok
        } else {
            TurnLogResponse::Unavailable
        }
    }

    /// What is told to a disk by one who does not know the program's owner goes on to that owner.
    fn pass_on(self: &Arc<Self>, l: &LedgerRecord) {
        let by = |e: Ballot| e.by & !0xffff;
        let Some(real) = self
            .st
            .lock()
            .unwrap()
            .ledgers
            .get(&l.program)
            .map(|x| by(x.promised))
        else {
            return;
        };
        let seats = self.line.replicas();
        let to = seats
            .all()
            .into_iter()
            .find(|d| epoch_owner_id(d) == real && *d != self.me && real != by(l.epoch));
        let Some(d) = to else { return };
        self.counts.passed.fetch_add(1, Relaxed);
        let (me, mut l) = (self.clone(), l.clone());
        l.epoch.by = real;
        self.w.spawn(async move {
            let _ = me
                .line
                .request(
                    &d,
                    seats.layout_version,
                    &TurnLogOperation::StoreTurns {
                        rows: vec![],
                        ledger: Some(l),
                    },
                    PEER_WAIT,
                )
                .await;
        });
    }

    /// Turns, oldest first, and entries that need no epoch.
    pub async fn take_in(
        self: &Arc<Self>,
        lay: u64,
        rows: Vec<StoredTurn>,
        ledgers: Vec<LedgerRecord>,
    ) -> TurnLogResponse {
        let at = self.clock();
        self.counts.writes.fetch_add(1, Relaxed);
        let rx = {
            let mut g = self.st.lock().unwrap();
            if lay < self.lay() {
                return TurnLogResponse::NewerLayout(self.lay());
            }
            if !rows.is_empty() && g.bytes > self.max {
                return TurnLogResponse::Unavailable;
            }
            let mut new: BTreeSet<&str> = BTreeSet::new();
            for r in &rows {
                let p = r.turn.prev.as_str();
                if !p.is_empty() && !new.contains(p) && g.get(p).is_none() {
                    return TurnLogResponse::MissingParent(p.into());
                }
                new.insert(&r.turn.id);
            }
            let mut items: Vec<Item> = rows
                .iter()
                .filter(|r| g.get(&r.turn.id).is_none())
                .cloned()
                .map(Item::Turn)
                .collect();
            ledgers.into_iter().for_each(|mut l| {
                l.epoch = Ballot::default();
                g.ledgers
                    .entry(l.program.clone())
                    .or_default()
                    .merge(&l.entries, at, l.retain_ms);
                items.push(Item::Ledger(l, at));
            });
            self.keep(items)
        };
        if self.safe(rx).await {
            TurnLogResponse::Ok
        } else {
            TurnLogResponse::Unavailable
        }
    }

    #[allow(clippy::too_many_arguments)]
    async fn open(
        self: &Arc<Self>,
        program: &str,
        turn: &str,
        max: u64,
        budget: Option<u64>,
        need: &str,
        take: bool,
        until: u64,
    ) -> TurnLogResponse {
        if let Some(d) = budget.and_then(|_| self.elsewhere(program, take)) {
            return TurnLogResponse::Owner(d);
        }
        let chain = async {
            if need.is_empty() {
                Ok(vec![])
            } else {
                self.look(program, need, until).await
            }
        };
        let room = async {
            match budget {
                Some(b) => self.reserve(program, turn, max, b, take, until).await,
                None => TurnLogResponse::Ok,
            }
        };
        match futures_lite::future::zip(room, chain).await {
            (TurnLogResponse::Ok, Ok(rows)) => TurnLogResponse::Opened { rows },
            (TurnLogResponse::Ok, Err(t)) => {
                // Where it cannot be told, another store may yet open the same turn.
                if budget.is_some() && t == TurnLogResponse::UnknownTurn {
                    self.undo(program, turn);
                }
                t
            }
            (t, _) => t,
        }
    }

    /// Another disk whose machine holds the program, as far as this disk knows, and is well.
    fn elsewhere(&self, program: &str, take: bool) -> Option<String> {
        let p = self
            .st
            .lock()
            .unwrap()
            .ledgers
            .get(program)
            .map(|l| l.promised)?;
        let by = p.by & !0xffff;
        let d = self
            .line
            .replicas()
            .all()
            .into_iter()
            .find(|d| epoch_owner_id(d) == by)?;
        (!take && p.n > 0 && d != self.me && self.line.is_alive(&d)).then_some(d)
    }

    /// The chain that ends in `need`, newest first.
    async fn look(
        self: &Arc<Self>,
        program: &str,
        need: &str,
        until: u64,
    ) -> Result<Vec<StoredTurn>, TurnLogResponse> {
        let mut rows: Vec<StoredTurn> = vec![];
        let mut at = need.to_string();
        loop {
            let (v, rest) = self.st.lock().unwrap().walk(&at);
            rows.extend(v);
            at = rest;
            if at.is_empty() {
                return Ok(rows);
            }
            if self.w.now() >= until {
                return Err(TurnLogResponse::Unavailable);
            }
            self.counts.lookups.fetch_add(1, Relaxed);
            let seats = self.line.replicas();
            let key = if program.is_empty() { need } else { program };
            let order: Vec<String> = self
                .line
                .order(key, &seats, None)
                .into_iter()
                .filter(|d| *d != self.me)
                .collect();
            let mine = seats.has(&self.me) && !self.doubt.load(SeqCst);
            let (me, id, lay) = (self.clone(), at.clone(), seats.layout_version);
            let ask = move |d: &str| -> BoxFuture<'static, TurnLogResponse> {
                let (me, d, id) = (me.clone(), d.to_string(), id.clone());
                Box::pin(async move {
                    let us = until.saturating_sub(me.w.now()).min(PEER_WAIT);
                    me.line
                        .request(&d, lay, &TurnLogOperation::FindHistory { id }, us)
                        .await
                        .unwrap_or(TurnLogResponse::Unavailable)
                })
            };
            let mut hit = None;
            let enough = |s: &BTreeSet<String>| {
                seats.is_read_quorum(|d| s.contains(d) || (mine && d == self.me))
            };
            let g = self
                .line
                .gather(order, false, lay, until, ask, enough, |_, t| match t {
                    TurnLogResponse::History(v) if !v.is_empty() => {
                        hit = Some(v);
                        GatherStep::Stop
                    }
                    TurnLogResponse::NotStored => GatherStep::Accept,
                    _ => GatherStep::Reject,
                })
                .await;
            if let Some(v) = hit {
                at = v.last().map(|r| r.turn.prev.clone()).unwrap_or_default();
                rows.extend(v);
                if at.is_empty() {
                    return Ok(rows);
                }
                continue;
            }
            if g.newer > lay {
                self.line.catch_up(g.newer).await;
                continue;
            }
            return Err(if g.enough && rows.is_empty() {
                TurnLogResponse::UnknownTurn
            } else {
                TurnLogResponse::Unavailable
            });
        }
    }

    async fn reserve(
        self: &Arc<Self>,
        program: &str,
        turn: &str,
        max: u64,
        budget: u64,
        take: bool,
        until: u64,
    ) -> TurnLogResponse {
        let own = self
            .own
            .lock()
            .unwrap()
            .entry(program.into())
            .or_default()
            .clone();
        let entry = vec![(turn.to_string(), LedgerEntry::Open(max))];
        let keep = LEDGER_KEPT;
        while self.w.now() < until {
            let mut h = own.lock().await;
            let seats = self.line.replicas();
            if self.w.now() >= until || !seats.has(&self.me) || self.doubt.load(SeqCst) {
                return TurnLogResponse::Unavailable;
            }
            let promised = self
                .st
                .lock()
                .unwrap()
                .ledgers
                .get(program)
                .map(|l| l.promised)
                .unwrap_or_default();
            let holds = h.epoch == Some(promised) && seats.is_read_quorum(|d| h.by.contains(d));
            if !holds {
                if let Some(d) = self.elsewhere(program, take) {
                    return TurnLogResponse::Owner(d);
                }
                let row = LedgerRecord {
                    program: program.into(),
                    epoch: Ballot::default(),
                    entries: entry.clone(),
                    retain_ms: keep,
                };
                match self.take(&mut h, &seats, row, until).await {
                    Taken::Yes => {}
                    Taken::Away => return TurnLogResponse::Unavailable,
                    Taken::Newer(n) => {
                        drop(h);
                        self.line.catch_up(n).await;
                        continue;
                    }
                    Taken::Refused => {
                        drop(h);
                        self.w
                            .sleep(CHAIN_AGAIN / 4 + self.w.random() % CHAIN_AGAIN)
                            .await;
                        continue;
                    }
                }
                let (spent, mine) = {
                    let g = self.st.lock().unwrap();
                    g.ledgers
                        .get(program)
                        .map(|l| (l.spent, l.entries.get(turn).cloned()))
                        .unwrap_or_default()
                };
                if mine != Some(LedgerEntry::Open(max)) {
                    return TurnLogResponse::Unavailable;
                }
                if spent > budget {
                    self.undo(program, turn);
                    return TurnLogResponse::BudgetSpent;
                }
                return TurnLogResponse::Ok;
            }
            let epoch = promised;
            let full = self
                .st
                .lock()
                .unwrap()
                .ledgers
                .get(program)
                .is_some_and(|l| l.spent + max > budget && !l.entries.contains_key(turn));
            if full && self.w.now() >= h.fresh + CHAIN_FRESH {
                // Ends of turns may have been told to others only.
                let row = LedgerRecord {
                    program: program.into(),
                    epoch,
                    entries: vec![],
                    retain_ms: keep,
                };
                match self.round(&mut h, &seats, row, None, until).await {
                    Taken::Yes | Taken::Refused => continue,
                    Taken::Away => return TurnLogResponse::Unavailable,
                    Taken::Newer(n) => {
                        drop(h);
                        self.line.catch_up(n).await;
                        continue;
                    }
                }
            }
            let row = LedgerRecord {
                program: program.into(),
                epoch,
                entries: entry.clone(),
                retain_ms: keep,
            };
            let at = self.clock();
            let rx = {
                let mut g = self.st.lock().unwrap();
                let Some(l) = g.ledgers.get_mut(program).filter(|l| l.promised == epoch) else {
                    continue;
                };
                let left = l.entries.get(turn).copied();
                match left {
                    Some(LedgerEntry::Done(_)) => return TurnLogResponse::Unavailable,
                    // Left by an opening that was not answered: it was never weighed against the
                    // budget.
                    Some(_) if l.spent > budget => {}
                    None if l.spent + max > budget => return TurnLogResponse::BudgetSpent,
                    _ => {
                        l.merge(&entry, at, keep);
                    }
                }
                if left.is_some() && l.spent > budget {
                    drop(g);
                    drop(h);
                    self.undo(program, turn);
                    return TurnLogResponse::Unavailable;
                }
                self.keep(vec![Item::Ledger(row.clone(), at)])
            };
            let by = h.by.clone();
            drop(h);
            self.counts.adds.fetch_add(1, Relaxed);
            let mut order = self.line.order(program, &seats, Some(&self.me));
            order.retain(|d| *d != self.me);
            order.sort_by_cached_key(|d| (!self.line.is_prompt(d), !by.contains(d)));
            let ask = self.asker(
                seats.layout_version,
                TurnLogOperation::AppendEntries { ledger: row },
                until,
            );
            let mut refused = Ballot::default();
            let enough =
                |s: &BTreeSet<String>| seats.is_write_quorum(|d| s.contains(d) || d == self.me);
            let g = self
                .line
                .gather(
                    order,
                    false,
                    seats.layout_version,
                    until,
                    ask,
                    enough,
                    |_, t| match t {
                        TurnLogResponse::Ok => GatherStep::Accept,
                        TurnLogResponse::StaleEpoch(e) => {
                            refused = refused.max(e);
                            if e > epoch {
                                GatherStep::Stop
                            } else {
                                GatherStep::Reject
                            }
                        }
                        _ => GatherStep::Reject,
                    },
                )
                .await;
            if g.enough {
                return if self.safe(rx).await {
                    TurnLogResponse::Ok
                } else {
                    TurnLogResponse::Unavailable
                };
            }
            if g.newer > seats.layout_version {
                self.line.catch_up(g.newer).await;
                continue;
            }
            // Taken over, or forgotten by too many: taken anew, if nobody else holds it.
            let mut h = own.lock().await;
            if h.epoch == Some(epoch) {
                h.epoch = None;
                h.top = h.top.max(refused.n);
            }
            drop(h);
            if refused == Ballot::default() {
                return TurnLogResponse::Unavailable;
            }
        }
        TurnLogResponse::Unavailable
    }

    fn asker(
        self: &Arc<Self>,
        lay: u64,
        what: TurnLogOperation,
        until: u64,
    ) -> impl Fn(&str) -> BoxFuture<'static, TurnLogResponse> + use<> {
        let (me, what) = (self.clone(), Arc::new(what));
        move |d: &str| -> BoxFuture<'static, TurnLogResponse> {
            let (me, d, what) = (me.clone(), d.to_string(), what.clone());
            Box::pin(async move {
                let us = until.saturating_sub(me.w.now()).min(PEER_WAIT);
                me.line
                    .request(&d, lay, &what, us)
                    .await
                    .unwrap_or(TurnLogResponse::Unavailable)
            })
        }
    }

    /// Becomes the program's owner, with a first entry.
    async fn take(
        self: &Arc<Self>,
        h: &mut Hold,
        seats: &StoreReplicas,
        mut row: LedgerRecord,
        until: u64,
    ) -> Taken {
        self.counts.takes.fetch_add(1, Relaxed);
        let at = self.clock();
        let rx = {
            let mut g = self.st.lock().unwrap();
            let l = g.ledgers.entry(row.program.clone()).or_default();
            row.epoch = Ballot {
                n: l.promised.n.max(h.top) + 1,
                by: self.mark,
            };
            l.promised = row.epoch;
            l.merge(&row.entries, at, row.retain_ms);
            self.keep(vec![Item::Ledger(row.clone(), at)])
        };
        self.round(h, seats, row, Some(rx), until).await
    }

    /// Puts an epoch to all disks, and learns what they know.
    async fn round(
        self: &Arc<Self>,
        h: &mut Hold,
        seats: &StoreReplicas,
        row: LedgerRecord,
        rx: Option<async_channel::Receiver<bool>>,
        until: u64,
    ) -> Taken {
        let (at, program) = (self.clock(), row.program.clone());
        h.epoch = None;
        let epoch = row.epoch;
        let mut order = self.line.order(&program, seats, Some(&self.me));
        order.retain(|d| *d != self.me);
        let ask = self.asker(
            seats.layout_version,
            TurnLogOperation::AcquireLedger { ledger: row },
            until,
        );
        let mut known: Vec<(String, LedgerEntry)> = vec![];
        let mut refused = Ballot::default();
        let enough = |s: &BTreeSet<String>| seats.is_read_quorum(|d| s.contains(d) || d == self.me);
        let g = self
            .line
            .gather(
                order,
                true,
                seats.layout_version,
                until,
                ask,
                enough,
                |_, t| match t {
                    TurnLogResponse::LedgerAcquired(es) => {
                        known.extend(es);
                        GatherStep::Accept
                    }
                    TurnLogResponse::StaleEpoch(e) => {
                        refused = refused.max(e);
                        GatherStep::Stop
                    }
                    _ => GatherStep::Reject,
                },
            )
            .await;
        if g.newer > seats.layout_version {
            return Taken::Newer(g.newer);
        }
        if refused > Ballot::default() {
            h.top = h.top.max(refused.n);
            return Taken::Refused;
        }
        let mine = match rx {
            Some(rx) => self.safe(rx).await,
            None => true,
        };
        if !g.enough || !mine {
            return Taken::Away;
        }
        let mut s = self.st.lock().unwrap();
        let l = s.ledgers.entry(program).or_default();
        l.merge(&known, at, 0);
        if l.promised != epoch {
            return Taken::Refused;
        }
        h.epoch = Some(epoch);
        h.fresh = self.w.now();
        h.by = g.taken.into_iter().chain([self.me.clone()]).collect();
        Taken::Yes
    }

    /// A reservation that was not answered for is given back, wherever it may have got to.
    fn undo(self: &Arc<Self>, program: &str, turn: &str) {
        let l = LedgerRecord {
            program: program.into(),
            entries: vec![(turn.into(), LedgerEntry::Done(0))],
            retain_ms: LEDGER_KEPT,
            ..Default::default()
        };
        let me = self.clone();
        // Here at once: the next one must not find it.
        me.st
            .lock()
            .unwrap()
            .ledgers
            .entry(l.program.clone())
            .or_default()
            .merge(&l.entries, me.clock(), l.retain_ms);
        self.w.spawn(async move {
            for _ in 0..5 {
                let seats = me.line.replicas();
                let until = me.w.now() + PEER_WAIT;
                let mine = me
                    .take_in(seats.layout_version, vec![], vec![l.clone()])
                    .await
                    == TurnLogResponse::Ok;
                let order: Vec<String> = seats.all().into_iter().filter(|d| *d != me.me).collect();
                let ask = me.asker(
                    seats.layout_version,
                    TurnLogOperation::StoreTurns {
                        rows: vec![],
                        ledger: Some(l.clone()),
                    },
                    until,
                );
                let enough = |s: &BTreeSet<String>| {
                    seats.is_write_quorum(|d| s.contains(d) || (mine && d == me.me))
                };
                let took = |_: &str, t| {
                    if t == TurnLogResponse::Ok {
                        GatherStep::Accept
                    } else {
                        GatherStep::Reject
                    }
                };
                let g = me
                    .line
                    .gather(order, true, seats.layout_version, until, ask, enough, took)
                    .await;
                if g.enough {
                    return;
                }
                me.line.catch_up(g.newer).await;
                me.w.sleep(CHAIN_AGAIN).await;
            }
        });
    }
}
