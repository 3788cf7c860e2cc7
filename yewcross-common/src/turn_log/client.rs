//! The front's side of `TurnLogService`: one question to a program's owner opens a turn, one to
//! each of enough disks keeps it.

use crate::constants::*;
use crate::documents::cache::DocumentCache;
use crate::membership::Membership;
use crate::process_settings::ProcessSettings;
use crate::runtime::*;
use crate::turn_log::store_client::*;
use crate::turn_log::*;
use lru::LruCache;
use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

pub struct TurnLogClient(Arc<Inner>);

#[derive(Default, Debug)]
struct ClientCounts {
    opens: AtomicU64,
    /// Opened with the whole chain on hand.
    at_hand: AtomicU64,
    spent: AtomicU64,
    unknown: AtomicU64,
    away: AtomicU64,
    /// Times that a program's next store was asked because the one before was gone.
    moved: AtomicU64,
    finishes: AtomicU64,
    unkept: AtomicU64,
    /// Settled without a turn, and how many were given up.
    settles: AtomicU64,
    unsettled: AtomicU64,
}

struct Inner {
    line: Arc<StoreClient>,
    site: String,
    hand: Mutex<Hand>,
    counts: ClientCounts,
}

struct Hand {
    /// Turns by id, with disks known to hold them.
    turns: LruCache<String, (StoredTurn, Vec<String>)>,
    bytes: usize,
    max: usize,
    owners: LruCache<String, String>,
    /// Chains of turns that are open now.
    pins: LruCache<String, Vec<StoredTurn>>,
}

impl Hand {
    fn put(&mut self, r: StoredTurn, holders: Vec<String>) {
        self.bytes += r.bytes();
        let was = self.turns.put(r.turn.id.clone(), (r, holders));
        self.bytes -= was.map_or(0, |x| x.0.bytes());
        while self.bytes > self.max && self.turns.len() > 1 {
            self.bytes -= self.turns.pop_lru().map_or(0, |x| x.1.0.bytes());
        }
    }

    /// The chain that ends in `id`, newest first, and the first turn of it that is not on hand.
    fn walk(&mut self, id: &str) -> (Vec<StoredTurn>, String) {
        let (mut v, mut at) = (vec![], id.to_string());
        while let Some((r, _)) = self.turns.get(&at).filter(|_| !at.is_empty()) {
            at = r.turn.prev.clone();
            v.push(r.clone());
        }
        (v, at)
    }
}

/// Whatever becomes of the one who asks, what was reserved does not stay at its most.
struct Undo {
    me: Arc<Inner>,
    o: Option<OpenTurn>,
    used: u64,
}

impl Drop for Undo {
    fn drop(&mut self) {
        self.o
            .take()
            .into_iter()
            .for_each(|o| self.me.settle(o, self.used));
    }
}

impl TurnLogClient {
    pub fn new(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        settings: &ProcessSettings,
    ) -> TurnLogClient {
        let max = if settings.bounds.memory_mb == 0 {
            CHAIN_HAND
        } else {
            (settings.bounds.memory_mb as usize) << 17
        };
        let hand = Hand {
            turns: LruCache::unbounded(),
            bytes: 0,
            max: max.min(CHAIN_HAND),
            owners: LruCache::new(NonZeroUsize::new(CHAIN_OWNERS).unwrap_or(NonZeroUsize::MIN)),
            pins: LruCache::new(NonZeroUsize::new(CHAIN_OWNERS).unwrap_or(NonZeroUsize::MIN)),
        };
        let line = StoreClient::new(members, documents, &settings.name, settings.bounds.lost);
        TurnLogClient(Arc::new(Inner {
            line,
            site: settings.site.clone(),
            hand: Mutex::new(hand),
            counts: Default::default(),
        }))
    }

    /// For an operator: what this front asked of the stores, and what it has on hand.
    pub fn figures(&self) -> BTreeMap<&'static str, u64> {
        let c = &self.0.counts;
        let n = |x: &AtomicU64| x.load(Relaxed);
        let (turns, bytes) = {
            let g = self.0.hand.lock().unwrap();
            (g.turns.len() as u64, g.bytes as u64)
        };
        [
            ("turns", turns),
            ("turn_bytes", bytes),
            ("opens", n(&c.opens)),
            ("at_hand", n(&c.at_hand)),
            ("spent", n(&c.spent)),
            ("unknown", n(&c.unknown)),
            ("away", n(&c.away)),
            ("moved", n(&c.moved)),
            ("finishes", n(&c.finishes)),
            ("unkept", n(&c.unkept)),
            ("settles", n(&c.settles)),
            ("unsettled", n(&c.unsettled)),
        ]
        .into()
    }
}

impl TurnLogService for TurnLogClient {
    fn open(&self, o: OpenTurn, until: u64) -> BoxFuture<'_, Result<OpenedTurn, OpenTurnError>> {
        let me = self.0.clone();
        Box::pin(async move {
            let r = me.open(o, until).await;
            let c = &me.counts;
            c.opens.fetch_add(1, Relaxed);
            match &r {
                Ok(_) => {}
                Err(OpenTurnError::BudgetSpent) => _ = c.spent.fetch_add(1, Relaxed),
                Err(OpenTurnError::UnknownTurn) => _ = c.unknown.fetch_add(1, Relaxed),
                Err(OpenTurnError::Unavailable) => _ = c.away.fetch_add(1, Relaxed),
            }
            r
        })
    }

    fn finish(
        &self,
        o: OpenTurn,
        t: Turn,
        used: u64,
        until: u64,
    ) -> BoxFuture<'_, Result<(), OpenTurnError>> {
        let me = self.0.clone();
        Box::pin(async move { me.finish(o, t, used, until).await })
    }

    fn settle(&self, o: OpenTurn, used: u64) {
        self.0.settle(o, used);
    }
}

impl Inner {
    fn budgeted(o: &OpenTurn) -> bool {
        !o.program.is_empty() && o.budget.is_some()
    }

    /// What ranks the stores for a turn.
    fn key(o: &OpenTurn) -> &str {
        [&o.program, &o.prev, &o.turn]
            .into_iter()
            .find(|s| !s.is_empty())
            .map_or("", |s| s)
    }

    fn owner(&self, program: &str) -> Option<String> {
        self.hand.lock().unwrap().owners.get(program).cloned()
    }

    fn learn(&self, program: &str, disk: &str) {
        if !program.is_empty() {
            self.hand
                .lock()
                .unwrap()
                .owners
                .put(program.into(), disk.into());
        }
    }

    async fn open(self: &Arc<Self>, o: OpenTurn, until: u64) -> Result<OpenedTurn, OpenTurnError> {
        let (mut chain, need) = self.hand.lock().unwrap().walk(&o.prev);
        if need.is_empty() {
            self.counts.at_hand.fetch_add(1, Relaxed);
        }
        if !need.is_empty() || Self::budgeted(&o) {
            let mut undo = Undo {
                me: self.clone(),
                o: Some(o.clone()),
                used: 0,
            };
            let rows = self.ask_open(&o, need, until).await;
            if !matches!(rows, Err(OpenTurnError::Unavailable)) {
                undo.o = None;
            }
            chain.extend(rows?);
        }
        chain.reverse();
        let turns = chain.iter().map(|r| r.turn.clone()).collect();
        self.hand.lock().unwrap().pins.put(o.turn, chain);
        Ok(OpenedTurn { chain: turns })
    }

    /// Hands back what was needed of the chain, newest first.
    async fn ask_open(
        self: &Arc<Self>,
        o: &OpenTurn,
        need: String,
        until: u64,
    ) -> Result<Vec<StoredTurn>, OpenTurnError> {
        let w = &self.line.runtime;
        let (mut tried, mut take, mut told) = (BTreeSet::new(), false, None);
        while w.now() < until {
            let seats = self.line.replicas();
            let mut order = self.line.order_by_site(Self::key(o), &seats, &self.site);
            let owner = told
                .take()
                .or_else(|| self.owner(&o.program))
                .filter(|d| seats.has(d));
            let first = owner.filter(|d| !tried.contains(d) && self.line.is_responsive(d));
            order.retain(|d| !tried.contains(d) && first.as_ref() != Some(d));
            let Some(to) = first.into_iter().chain(order).next() else {
                tried.clear();
                w.sleep(CHAIN_AGAIN + w.random() % CHAIN_AGAIN).await;
                continue;
            };
            let what = TurnLogOperation::OpenTurn {
                program: o.program.clone(),
                turn: o.turn.clone(),
                max_output_tokens: o.max_output_tokens,
                budget: o.budget.filter(|_| !o.program.is_empty()),
                parent: need.clone(),
                take_over: take,
            };
            match self.patient(&to, seats.layout_version, &what, until).await {
                Some(TurnLogResponse::Opened { rows }) => {
                    self.learn(&o.program, &to);
                    let mut g = self.hand.lock().unwrap();
                    rows.iter().for_each(|r| g.put(r.clone(), vec![to.clone()]));
                    return Ok(rows);
                }
                Some(TurnLogResponse::BudgetSpent) => return Err(OpenTurnError::BudgetSpent),
                Some(TurnLogResponse::UnknownTurn) => return Err(OpenTurnError::UnknownTurn),
                Some(TurnLogResponse::NewerLayout(n)) => self.line.catch_up(n).await,
                Some(TurnLogResponse::Owner(d))
                    if seats.has(&d) && self.line.is_responsive(&d) && !tried.contains(&d) =>
                {
                    told = Some(d)
                }
                // It holds back for one that we cannot reach.
                Some(TurnLogResponse::Owner(_)) => take = true,
                _ => {
                    self.counts.moved.fetch_add(1, Relaxed);
                    self.hand.lock().unwrap().owners.pop(&o.program);
                    tried.insert(to);
                    take = true;
                }
            }
        }
        Err(OpenTurnError::Unavailable)
    }

    /// Waits for one store as long as it is not suspected and says anything at all: one that is
    /// merely slow is not passed by.
    async fn patient(
        &self,
        to: &str,
        lay: u64,
        what: &TurnLogOperation,
        until: u64,
    ) -> Option<TurnLogResponse> {
        let w = &self.line.runtime;
        let sent = w.now();
        let ask = async {
            self.line
                .request(to, lay, what, until.saturating_sub(w.now()))
                .await
                .ok()
        };
        let watch = async {
            for n in 1.. {
                w.sleep(CHAIN_SPARE).await;
                self.line.mark_slow(to);
                if !self.line.is_alive(to)
                    || (n >= CHAIN_MUTE && self.line.has_not_answered_since(to, sent))
                {
                    break;
                }
            }
            None
        };
        futures_lite::future::or(ask, watch).await
    }

    async fn finish(
        self: &Arc<Self>,
        o: OpenTurn,
        t: Turn,
        used: u64,
        until: u64,
    ) -> Result<(), OpenTurnError> {
        let row = StoredTurn {
            turn: Arc::new(t),
            program: o.program.clone(),
            ended_at_ms: self.line.members.clock().0,
        };
        let chain = {
            let mut g = self.hand.lock().unwrap();
            let pin = g.pins.pop(&o.turn);
            pin.unwrap_or_else(|| g.walk(&o.prev).0.into_iter().rev().collect())
        };
        let ledger = Self::budgeted(&o).then(|| Self::done(&o, used, row.turn.retain_ms));
        self.counts.finishes.fetch_add(1, Relaxed);
        let mut undo = Undo {
            me: self.clone(),
            o: Some(o.clone()),
            used,
        };
        let got = self
            .write(
                &o,
                Some((row.clone(), chain)),
                ledger,
                until,
                &mut BTreeSet::new(),
            )
            .await;
        let told = self.owner(&o.program).is_none_or(|d| got.contains(&d));
        if !got.is_empty() {
            self.hand
                .lock()
                .unwrap()
                .put(row, got.iter().cloned().collect());
        }
        if told && !got.is_empty() {
            undo.o = None;
        }
        if got.is_empty() {
            self.counts.unkept.fetch_add(1, Relaxed);
            return Err(OpenTurnError::Unavailable);
        }
        Ok(())
    }

    fn done(o: &OpenTurn, used: u64, retain: u64) -> LedgerRecord {
        let entries = vec![(o.turn.clone(), LedgerEntry::Done(used))];
        LedgerRecord {
            program: o.program.clone(),
            entries,
            retain_ms: retain.max(LEDGER_KEPT),
            ..Default::default()
        }
    }

    /// Keeps it on enough disks; hands back which, none if it was not enough.
    async fn write(
        self: &Arc<Self>,
        o: &OpenTurn,
        row: Option<(StoredTurn, Vec<StoredTurn>)>,
        ledger: Option<LedgerRecord>,
        until: u64,
        kept: &mut BTreeSet<String>,
    ) -> BTreeSet<String> {
        let w = &self.line.runtime;
        let row = row.map(Arc::new);
        while w.now() < until {
            let seats = self.line.replicas();
            let owner = self.owner(&o.program).filter(|d| seats.has(d));
            let held = self
                .hand
                .lock()
                .unwrap()
                .turns
                .peek(&o.prev)
                .map(|x| x.1.clone())
                .unwrap_or_default();
            let mut order: Vec<String> = vec![];
            let rank = self.line.order(Self::key(o), &seats, owner.as_deref());
            let likely = owner
                .iter()
                .chain(&held)
                .filter(|d| self.line.is_prompt(d) && seats.has(d))
                .cloned();
            likely.chain(rank).for_each(|d| {
                if !order.contains(&d) && !kept.contains(&d) {
                    order.push(d);
                }
            });
            let was = kept.clone();
            let enough =
                |s: &BTreeSet<String>| seats.is_write_quorum(|d| s.contains(d) || was.contains(d));
            let ask = |d: &str| -> BoxFuture<'static, TurnLogResponse> {
                let mut ledger = ledger.clone();
                // Whoever knows of another owner passes it on to that one.
                ledger
                    .iter_mut()
                    .for_each(|l| l.epoch.by = owner.as_deref().map_or(0, epoch_owner_id));
                let (me, d, row, lay) = (
                    self.clone(),
                    d.to_string(),
                    row.clone(),
                    seats.layout_version,
                );
                Box::pin(async move { me.write_to(&d, lay, row, ledger, until).await })
            };
            let g = self
                .line
                .gather(
                    order,
                    false,
                    seats.layout_version,
                    until,
                    ask,
                    enough,
                    |d, t| match t {
                        TurnLogResponse::Ok => {
                            kept.insert(d.into());
                            GatherStep::Accept
                        }
                        _ => GatherStep::Reject,
                    },
                )
                .await;
            if g.enough {
                return kept.clone();
            }
            if g.newer > seats.layout_version {
                self.line.catch_up(g.newer).await;
            } else {
                w.sleep(CHAIN_AGAIN + w.random() % CHAIN_AGAIN).await;
            }
        }
        BTreeSet::new()
    }

    /// To one disk; with all that comes before it where the disk says that it lacks some.
    async fn write_to(
        &self,
        d: &str,
        lay: u64,
        row: Option<Arc<(StoredTurn, Vec<StoredTurn>)>>,
        ledger: Option<LedgerRecord>,
        until: u64,
    ) -> TurnLogResponse {
        let w = &self.line.runtime;
        let mut what = TurnLogOperation::StoreTurns {
            rows: row.iter().map(|x| x.0.clone()).collect(),
            ledger: ledger.clone(),
        };
        for _ in 0..2 {
            let left = until
                .saturating_sub(w.now())
                .min(PEER_WAIT.max(4 * CHAIN_SPARE));
            match self
                .line
                .request(d, lay, &what, left)
                .await
                .unwrap_or(TurnLogResponse::Unavailable)
            {
                TurnLogResponse::MissingParent(_) => {
                    let rows = row
                        .iter()
                        .flat_map(|x| x.1.iter().chain([&x.0]).cloned())
                        .collect();
                    what = TurnLogOperation::StoreTurns {
                        rows,
                        ledger: ledger.clone(),
                    };
                }
                t => return t,
            }
        }
        TurnLogResponse::Unavailable
    }

    fn settle(self: &Arc<Self>, o: OpenTurn, used: u64) {
        self.hand.lock().unwrap().pins.pop(&o.turn);
        if !Self::budgeted(&o) {
            return;
        }
        self.counts.settles.fetch_add(1, Relaxed);
        let me = self.clone();
        self.line.runtime.spawn(async move {
            let w = &me.line.runtime;
            let (end, mut rest, mut kept) = (w.now() + CHAIN_SETTLE, CHAIN_AGAIN, BTreeSet::new());
            while w.now() < end {
                let l = Self::done(&o, used, 0);
                let ok = !me
                    .write(&o, None, Some(l), (w.now() + SEC).min(end), &mut kept)
                    .await
                    .is_empty();
                // The owner is told too, unless it is away: it counts the turn at its most until
                // then.
                let owner = me.owner(&o.program).filter(|d| me.line.is_alive(d));
                if ok && owner.is_none_or(|d| kept.contains(&d)) {
                    return;
                }
                if ok {
                    kept.clear();
                }
                w.sleep(rest + w.random() % rest).await;
                rest = (rest * 2).min(2 * SEC);
            }
            me.counts.unsettled.fetch_add(1, Relaxed);
        });
    }
}
