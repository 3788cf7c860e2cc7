//! How a change of disks is made good: every store brings what it holds to where it is needed.

use crate::turn_store::TurnStore;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering::{Relaxed, SeqCst};
use yewcross_common::constants::*;
use yewcross_common::hash::ranked;
use yewcross_common::runtime::*;
use yewcross_common::turn_log::store_client::*;

/// us. Longest wait for a disk that something is brought to: its own sync, and the way there and
/// back.
const PUSH_WAIT: u64 = PEER_WAIT + SYNC_WAIT;

impl TurnStore {
    /// Whether all that this disk held when it adopted the layout is where that layout needs it,
    /// and how much is not yet. A disk without a seat has nothing to bring.
    pub fn swept(&self, layout: u64) -> (bool, u64) {
        let seated = self.stores.replicas().has(&self.own_disk);
        (
            !seated || self.swept_layout.load(SeqCst) >= layout,
            self.under_replicated.load(SeqCst),
        )
    }

    pub(crate) async fn watch(self: Arc<Self>) {
        loop {
            let moved = self.stores.documents.changed.listen();
            let seats = self.stores.replicas();
            let seated = seats.has(&self.own_disk);
            if seated && self.recovery_pending.load(SeqCst) {
                self.ask_mend(&seats).await;
            }
            if seated && self.swept_layout.load(SeqCst) < seats.since {
                let begun = self.runtime.now();
                let done = seats.previous.is_empty() || self.sweep(&seats).await;
                if done && self.stores.replicas().since == seats.since {
                    self.swept_layout.fetch_max(seats.since, SeqCst);
                    if !seats.previous.is_empty() {
                        self.runtime.log(&format!(
                            "swept for layout {} in {} ms",
                            seats.since,
                            (self.runtime.now() - begun) / MS
                        ));
                    }
                    continue;
                }
            }
            if seated
                && (self.swept_layout.load(SeqCst) < seats.since
                    || self.recovery_pending.load(SeqCst))
            {
                self.runtime.timeout(2 * CHAIN_AGAIN, moved).await;
            } else {
                moved.await;
            }
        }
    }

    /// Another disk was damaged: it is brought up to date.
    pub(crate) async fn repair_replicas(self: &Arc<Self>) -> TurnLogResponse {
        let seats = self.stores.replicas();
        if self.recovery_pending.load(SeqCst)
            || !self.sweep_to(&seats, &seats.current.clone()).await
        {
            TurnLogResponse::Unavailable
        } else {
            TurnLogResponse::Ok
        }
    }

    async fn ask_mend(self: &Arc<Self>, seats: &StoreReplicas) {
        let order: Vec<String> = seats
            .all()
            .into_iter()
            .filter(|d| *d != self.own_disk)
            .collect();
        let until = self.runtime.now() + 10 * SEC;
        let (me, lay) = (self.clone(), seats.layout_version);
        let ask = move |d: &str| -> BoxFuture<'static, TurnLogResponse> {
            let (me, d) = (me.clone(), d.to_string());
            Box::pin(async move {
                me.stores
                    .request(&d, lay, &TurnLogOperation::Repair, 10 * SEC)
                    .await
                    .unwrap_or(TurnLogResponse::Unavailable)
            })
        };
        let enough = |s: &BTreeSet<String>| seats.is_read_quorum(|d| s.contains(d));
        let took = |_: &str, t| {
            if t == TurnLogResponse::Ok {
                GatherStep::Accept
            } else {
                GatherStep::Reject
            }
        };
        let g = self
            .stores
            .gather(order, true, lay, until, ask, enough, took)
            .await;
        if g.enough {
            self.recovery_pending.store(false, SeqCst);
            self.runtime.log("what was damaged is whole again");
        }
    }

    async fn push(
        self: &Arc<Self>,
        d: &str,
        lay: u64,
        rows: Vec<StoredTurn>,
        ledgers: Vec<LedgerRecord>,
    ) -> bool {
        let n = rows.len() + ledgers.len();
        let ok = self
            .stores
            .request(
                d,
                lay,
                &TurnLogOperation::TransferRecords { rows, ledgers },
                PUSH_WAIT,
            )
            .await
            == Ok(TurnLogResponse::Ok);
        self.counters
            .transferred
            .fetch_add(if ok { n as u64 } else { 0 }, Relaxed);
        ok
    }

    async fn push_ledgers(self: &Arc<Self>, d: &str) -> bool {
        let all: Vec<LedgerRecord> = self
            .index
            .lock()
            .unwrap()
            .ledgers
            .iter()
            .map(|(p, l)| l.to_record(p))
            .collect();
        for part in all.chunks(1024) {
            if !self
                .push(
                    d,
                    self.stores.replicas().layout_version,
                    vec![],
                    part.to_vec(),
                )
                .await
            {
                return false;
            }
        }
        true
    }

    /// Brings all ledgers to these disks at once; how many of them have it.
    async fn push_ledgers_to(self: &Arc<Self>, disks: &[&String]) -> usize {
        let pushes: Vec<BoxFuture<'static, bool>> = disks
            .iter()
            .map(|d| {
                let (me, d) = (self.clone(), d.to_string());
                let push: BoxFuture<'static, bool> =
                    Box::pin(async move { me.push_ledgers(&d).await });
                push
            })
            .collect();
        let (n, rx) = (pushes.len(), self.runtime.spawn_all(pushes));
        let mut reached = 0;
        for _ in 0..n {
            reached += (rx.recv().await == Ok(true)) as usize;
        }
        reached
    }

    /// Brings all ledgers to the disks that lack them. Where one of those cannot be reached, to
    /// every disk of the incoming set, of which as many may then be missed as may be lost: what is
    /// read meets the rest.
    async fn sweep_ledgers(self: &Arc<Self>, seats: &StoreReplicas, to: &[String]) -> bool {
        let lacking: Vec<&String> = to.iter().filter(|d| **d != self.own_disk).collect();
        if self.push_ledgers_to(&lacking).await == lacking.len() {
            return true;
        }
        let others: Vec<&String> = seats
            .current
            .iter()
            .filter(|d| **d != self.own_disk)
            .collect();
        let mine = seats.current.len() - others.len();
        self.push_ledgers_to(&others).await + mine + seats.may_miss() >= seats.current.len()
    }

    /// Which of these turns each of the other disks holds.
    async fn holders(
        self: &Arc<Self>,
        seats: &StoreReplicas,
        ids: &[u128],
    ) -> HashMap<String, BTreeSet<u128>> {
        // One that does not answer at all holds nothing that counts, and is not waited for in every
        // pass.
        let others: Vec<String> = seats
            .current
            .iter()
            .filter(|d| **d != self.own_disk && self.stores.is_responsive(d))
            .cloned()
            .collect();
        let n = others.len();
        let fs = others
            .into_iter()
            .map(|d| {
                let (me, ids, lay) = (
                    self.clone(),
                    ids.to_vec(),
                    self.stores.replicas().layout_version,
                );
                let f: BoxFuture<'static, _> = Box::pin(async move {
                    let mut has = BTreeSet::new();
                    let asked = me.runtime.now();
                    for part in ids.chunks(CHAIN_IDS) {
                        let Ok(TurnLogResponse::Contains(v)) = me
                            .stores
                            .request(
                                &d,
                                lay,
                                &TurnLogOperation::ContainsTurns { ids: part.to_vec() },
                                PEER_WAIT,
                            )
                            .await
                        else {
                            me.stores.has_not_answered_since(&d, asked);
                            me.stores.mark_slow(&d);
                            break;
                        };
                        has.extend(part.iter().zip(v).filter(|x| x.1).map(|x| *x.0));
                    }
                    (d, has)
                });
                f
            })
            .collect();
        let rx = self.runtime.spawn_all(fs);
        let mut m = HashMap::new();
        for _ in 0..n {
            m.extend(rx.recv().await);
        }
        m
    }

    /// Makes the change of disks that is under way good for what this disk holds.
    async fn sweep(self: &Arc<Self>, seats: &StoreReplicas) -> bool {
        let fresh: Vec<String> = seats
            .current
            .iter()
            .filter(|d| !seats.previous.contains(d))
            .cloned()
            .collect();
        // Fewer disks than before: what was enough on the old ones may not be on those that stay.
        let fewer = seats.current.len() < seats.previous.len();
        self.sweep_to(seats, if fewer { &seats.current } else { &fresh })
            .await
    }

    /// Brings ledgers to these disks, and every turn to as many present disks as it needs.
    async fn sweep_to(self: &Arc<Self>, seats: &StoreReplicas, to: &[String]) -> bool {
        // Whatever was checked against an older layout is on the disk after this.
        let rx = {
            let _g = self.index.lock().unwrap();
            self.append(vec![])
        };
        if rx.recv().await != Ok(true) || !self.sweep_ledgers(seats, to).await {
            return false;
        }
        for pass in 0.. {
            if self.stores.replicas().since != seats.since
                || self.storage.failed.load(SeqCst)
                || pass > 50
            {
                return false;
            }
            let now = self.stores.members.clock();
            let ids: Vec<u128> = {
                let g = self.index.lock().unwrap();
                g.turns
                    .iter()
                    .filter(|(_, k)| !now.1 || k.retained_until_ms >= now.0)
                    .map(|x| *x.0)
                    .collect()
            };
            let has = self.holders(seats, &ids).await;
            let mine = seats.current.contains(&self.own_disk);
            let short: Vec<u128> = ids
                .into_iter()
                .filter(|i| {
                    mine as usize + has.values().filter(|s| s.contains(i)).count()
                        < seats.replica_count()
                })
                .collect();
            self.under_replicated.store(short.len() as u64, SeqCst);
            if short.is_empty() {
                return true;
            }
            let jobs = self.plan(seats, to, &short, &has, pass);
            let some = !jobs.is_empty();
            let fs = jobs
                .into_iter()
                .map(|(d, rows)| {
                    let me = self.clone();
                    let f: BoxFuture<'static, bool> =
                        Box::pin(async move { me.push_turns(&d, rows).await });
                    f
                })
                .collect::<Vec<_>>();
            let (n, rx) = (fs.len(), self.runtime.spawn_all(fs));
            let mut ok = true;
            for _ in 0..n {
                ok &= rx.recv().await == Ok(true);
            }
            if !some || !ok {
                self.runtime.sleep(CHAIN_AGAIN * 2).await;
            }
        }
        false
    }

    async fn push_turns(self: &Arc<Self>, d: &str, rows: Vec<StoredTurn>) -> bool {
        let (mut part, mut size) = (vec![], 0);
        let n = rows.len();
        for (i, r) in rows.into_iter().enumerate() {
            size += r.bytes();
            part.push(r);
            if (size >= CHAIN_PUSH || i + 1 == n)
                && !self
                    .push(
                        d,
                        self.stores.replicas().layout_version,
                        std::mem::take(&mut part),
                        vec![],
                    )
                    .await
            {
                return false;
            }
            if part.is_empty() {
                size = 0;
            }
        }
        true
    }

    /// Who gets which turns from this disk, each with all that comes before it that is not there.
    /// Of the holders one begins; the others join in after some passes.
    fn plan(
        &self,
        seats: &StoreReplicas,
        fresh: &[String],
        short: &[u128],
        has: &HashMap<String, BTreeSet<u128>>,
        pass: usize,
    ) -> BTreeMap<String, Vec<StoredTurn>> {
        let g = self.index.lock().unwrap();
        let mut jobs: BTreeMap<String, (Vec<StoredTurn>, BTreeSet<u128>)> = BTreeMap::new();
        for i in short {
            let Some(k) = g.turns.get(i) else { continue };
            let holds: Vec<&str> = has
                .iter()
                .filter(|x| x.1.contains(i))
                .map(|x| x.0.as_str())
                .chain([self.own_disk.as_str()])
                .collect();
            let key = if k.stored.program.is_empty() {
                &k.stored.turn.id
            } else {
                &k.stored.program
            };
            if pass < 3
                && ranked(key, holds.iter().cloned()).first() != Some(&self.own_disk.as_str())
            {
                continue;
            }
            let want = seats.replica_count().saturating_sub(
                holds
                    .iter()
                    .filter(|d| seats.current.iter().any(|x| x == *d))
                    .count(),
            );
            let mut to: Vec<&str> = ranked(key, seats.current.iter().map(|d| d.as_str()));
            to.retain(|d| !holds.contains(d) && *d != self.own_disk && self.stores.is_alive(d));
            to.sort_by_key(|d| !fresh.iter().any(|x| x == d));
            for d in to.into_iter().take(want) {
                let (rows, sent) = jobs.entry(d.into()).or_default();
                let there = has.get(d);
                let mut chain: Vec<StoredTurn> = g
                    .history(&k.stored.turn.id)
                    .turns
                    .into_iter()
                    .filter(|r| {
                        let h = yewcross_common::hash::key_128(r.turn.id.as_bytes());
                        !there.is_some_and(|s| s.contains(&h)) && sent.insert(h)
                    })
                    .collect();
                chain.reverse();
                rows.extend(chain);
            }
        }
        jobs.into_iter().map(|(d, x)| (d, x.0)).collect()
    }
}
