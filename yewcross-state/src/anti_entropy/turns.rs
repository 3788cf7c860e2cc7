//! Which turns go to which disks.

use crate::turn_store::{TurnIndex, TurnStore};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, STORE_RETRY_DELAY, TURN_IDS_PER_REQUEST};
use yewcross_common::hash::{key_128, ranked};
use yewcross_common::runtime::BoxFuture;
use yewcross_common::turn_log::{StoreReplicas, StoredTurn, TurnLogOperation, TurnLogResponse};

/// The last pass before a sweep is given up, to be begun anew.
const LAST_PASS: usize = 50;

/// The pass from which every holder of a turn transfers it; before, the first in rank alone does.
const FIRST_SHARED_PASS: usize = 3;

/// Pause after a pass that transferred nothing, or not all, us.
const PASS_DELAY_US: u64 = STORE_RETRY_DELAY * 2;

/// The turns, by the hash of their ids, that each of the other disks holds.
struct TurnHolders(HashMap<String, BTreeSet<u128>>);

impl TurnHolders {
    fn count(&self, id: u128) -> usize {
        self.0.values().filter(|held| held.contains(&id)).count()
    }

    fn holders_of(&self, id: u128) -> impl Iterator<Item = &str> {
        self.0
            .iter()
            .filter(move |(_, held)| held.contains(&id))
            .map(|(disk, _)| disk.as_str())
    }

    fn holds(&self, disk: &str, id: u128) -> bool {
        self.0.get(disk).is_some_and(|held| held.contains(&id))
    }
}

/// The turns to transfer to one disk, each after those before it.
#[derive(Default)]
struct Transfer {
    turns: Vec<StoredTurn>,
    ids: BTreeSet<u128>,
}

/// What a pass goes by to plan its transfers.
struct PassPlan<'a> {
    pass: usize,
    replicas: &'a StoreReplicas,
    /// Disks that a turn goes to before others.
    preferred: &'a [String],
    under_replicated: &'a [u128],
    holders: &'a TurnHolders,
}

impl TurnStore {
    /// Transfers turns, in passes, until each is on as many present disks as outlast the tolerated
    /// losses.
    pub(super) async fn sweep_turns(
        self: &Arc<Self>,
        replicas: &StoreReplicas,
        preferred: &[String],
    ) -> bool {
        for pass in 0..=LAST_PASS {
            let is_outdated = self.stores.replicas().group_version != replicas.group_version;
            if is_outdated || self.storage.failed.load(SeqCst) {
                return false;
            }
            let ids = self.retained_turns();
            let holders = self.find_holders(replicas, &ids).await;
            let under_replicated = self.under_replicated_turns(replicas, ids, &holders);
            self.under_replicated
                .store(under_replicated.len() as u64, SeqCst);
            if under_replicated.is_empty() {
                return true;
            }
            let transfers = self.plan_transfers(&PassPlan {
                pass,
                replicas,
                preferred,
                under_replicated: &under_replicated,
                holders: &holders,
            });
            let is_planned = !transfers.is_empty();
            let is_transferred = self.run_transfers(transfers).await;
            if !is_planned || !is_transferred {
                self.runtime.sleep(PASS_DELAY_US).await;
            }
        }
        false
    }

    /// While the clock is uncertain, all turns count as retained.
    fn retained_turns(&self) -> Vec<u128> {
        let (now_ms, is_clock_certain) = self.stores.members.clock();
        let index = self.index.lock().unwrap();
        index
            .turns
            .iter()
            .filter(|(_, indexed)| !is_clock_certain || indexed.retained_until_ms >= now_ms)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Asks the other disks which of these turns they hold. One that does not answer counts as
    /// holding none, and is not waited for in every pass.
    async fn find_holders(self: &Arc<Self>, replicas: &StoreReplicas, ids: &[u128]) -> TurnHolders {
        let requests = replicas
            .current
            .iter()
            .filter(|disk| **disk != self.own_disk && self.stores.is_responsive(disk))
            .map(|disk| -> BoxFuture<'static, _> {
                let store = self.clone();
                let disk = disk.clone();
                let ids = ids.to_vec();
                let layout_version = self.stores.replicas().layout_version;
                Box::pin(async move {
                    let held = store.find_held(&disk, layout_version, &ids).await;
                    (disk, held)
                })
            })
            .collect();
        let answers = self.run_all(requests).await;
        TurnHolders(answers.into_iter().flatten().collect())
    }

    /// Which of these turns a disk holds, as far as it answers.
    async fn find_held(&self, disk: &str, layout_version: u64, ids: &[u128]) -> BTreeSet<u128> {
        let mut held = BTreeSet::new();
        let started_us = self.runtime.now();
        for part in ids.chunks(TURN_IDS_PER_REQUEST) {
            let operation = TurnLogOperation::ContainsTurns { ids: part.to_vec() };
            let response = self
                .stores
                .request(disk, layout_version, &operation, PEER_REQUEST_TIMEOUT)
                .await;
            let Ok(TurnLogResponse::Contains(contains)) = response else {
                self.stores.has_not_answered_since(disk, started_us);
                self.stores.mark_slow(disk);
                break;
            };
            let answered = part.iter().zip(contains);
            held.extend(answered.filter(|(_, is_held)| *is_held).map(|(id, _)| *id));
        }
        held
    }

    /// Those of the turns that too few present disks hold.
    fn under_replicated_turns(
        &self,
        replicas: &StoreReplicas,
        ids: Vec<u128>,
        holders: &TurnHolders,
    ) -> Vec<u128> {
        let own = replicas.current.contains(&self.own_disk) as usize;
        ids.into_iter()
            .filter(|id| own + holders.count(*id) < replicas.replica_count())
            .collect()
    }

    /// Which turns this store transfers to which disk. Of a turn's holders the first in rank does
    /// it; the others join in after some passes.
    fn plan_transfers(&self, plan: &PassPlan<'_>) -> BTreeMap<String, Transfer> {
        let index = self.index.lock().unwrap();
        let mut transfers: BTreeMap<String, Transfer> = BTreeMap::new();
        for id in plan.under_replicated {
            let Some(indexed) = index.turns.get(id) else {
                continue;
            };
            for disk in self.targets(plan, *id, &indexed.stored) {
                let transfer = transfers.entry(disk.clone()).or_default();
                transfer.add_history(&index, &indexed.stored.turn.id, |id| {
                    plan.holders.holds(&disk, id)
                });
            }
        }
        transfers
    }

    /// The disks that this store transfers a turn to: none where another holder does it.
    fn targets(&self, plan: &PassPlan<'_>, id: u128, stored: &StoredTurn) -> Vec<String> {
        let current = &plan.replicas.current;
        let holders: Vec<&str> = plan
            .holders
            .holders_of(id)
            .chain([self.own_disk.as_str()])
            .collect();
        let key = if stored.program.is_empty() {
            &stored.turn.id
        } else {
            &stored.program
        };
        let is_first =
            ranked(key, holders.iter().copied()).first() == Some(&self.own_disk.as_str());
        if plan.pass < FIRST_SHARED_PASS && !is_first {
            return vec![];
        }
        let present = holders
            .iter()
            .filter(|holder| current.iter().any(|disk| disk == *holder))
            .count();
        let missing = plan.replicas.replica_count().saturating_sub(present);
        let mut candidates: Vec<&str> = ranked(key, current.iter().map(|disk| disk.as_str()));
        candidates.retain(|disk| {
            !holders.contains(disk) && *disk != self.own_disk && self.stores.is_alive(disk)
        });
        candidates.sort_by_key(|candidate| !plan.preferred.iter().any(|disk| disk == candidate));
        candidates
            .into_iter()
            .take(missing)
            .map(str::to_string)
            .collect()
    }

    /// Runs all transfers at once; whether all of them succeeded.
    async fn run_transfers(self: &Arc<Self>, transfers: BTreeMap<String, Transfer>) -> bool {
        let transfers = transfers
            .into_iter()
            .map(|(disk, transfer)| -> BoxFuture<'static, bool> {
                let store = self.clone();
                Box::pin(async move { store.transfer_turns(&disk, transfer.turns).await })
            })
            .collect();
        let results = self.run_all(transfers).await;
        results.into_iter().all(|result| result == Some(true))
    }
}

impl Transfer {
    /// Adds a turn and what comes before it, oldest first, without what the disk holds or gets
    /// already.
    fn add_history(&mut self, index: &TurnIndex, id: &str, is_held: impl Fn(u128) -> bool) {
        let mut history: Vec<StoredTurn> = index
            .history(id)
            .turns
            .into_iter()
            .filter(|stored| {
                let id = key_128(stored.turn.id.as_bytes());
                !is_held(id) && self.ids.insert(id)
            })
            .collect();
        history.reverse();
        self.turns.extend(history);
    }
}
