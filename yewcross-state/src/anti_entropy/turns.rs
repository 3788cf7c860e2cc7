//! Transfers turns until each is on enough disks.

use crate::turn_store::history_limit::HistoryLimit;
use crate::turn_store::{TurnIndex, TurnStore};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, STORE_RETRY_DELAY, TURN_IDS_PER_REQUEST};
use yewcross_common::hash::{hash_128, rank_by_weight};
use yewcross_common::runtime::BoxFuture;
use yewcross_common::turn_log::{StoreReplicas, StoredTurn, TurnLogOperation, TurnLogResponse};

/// The last pass of a sweep; if turns are still under-replicated after it, the sweep fails and is
/// restarted.
const LAST_PASS: usize = 50;

/// The first pass in which every holder of a turn transfers it. In earlier passes only the
/// highest-ranked holder does.
const FIRST_SHARED_PASS: usize = 3;

/// Delay after a pass that had nothing to transfer or failed to transfer everything, us.
const PASS_DELAY_US: u64 = STORE_RETRY_DELAY * 2;

/// For each other disk, the turns that it holds, by the hash of their ids.
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

/// The turns to transfer to one disk, each after its predecessors.
#[derive(Default)]
struct Transfer {
    turns: Vec<StoredTurn>,
    ids: BTreeSet<u128>,
}

/// Inputs for planning the transfers of one pass.
struct PassInputs<'a> {
    pass: usize,
    replicas: &'a StoreReplicas,
    /// Disks that are preferred as targets of transfers.
    preferred: &'a [String],
    under_replicated: &'a [u128],
    holders: &'a TurnHolders,
}

impl TurnStore {
    /// Transfers turns, in passes, until each is on as many current disks as are required to survive
    /// the tolerated losses.
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
            let transfers = self.plan_transfers(&PassInputs {
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

    /// The turns whose retention period has not ended; all turns while the clock is uncertain.
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

    /// Queries the other disks for which of these turns they hold. A disk that does not respond counts
    /// as holding none, and is skipped in later passes while it is unresponsive.
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

    /// Queries one disk for which of these turns it holds. The result is incomplete if the disk stops
    /// responding.
    async fn find_held(&self, disk: &str, layout_version: u64, ids: &[u128]) -> BTreeSet<u128> {
        let mut held = BTreeSet::new();
        let started_us = self.runtime.now();
        for batch in ids.chunks(TURN_IDS_PER_REQUEST) {
            let operation = TurnLogOperation::ContainsTurns {
                ids: batch.to_vec(),
            };
            let response = self
                .stores
                .request(disk, layout_version, &operation, PEER_REQUEST_TIMEOUT)
                .await;
            let Ok(TurnLogResponse::Contains(contains)) = response else {
                self.stores.has_not_answered_since(disk, started_us);
                self.stores.mark_slow(disk);
                break;
            };
            let checked = batch.iter().zip(contains);
            held.extend(checked.filter(|(_, is_held)| *is_held).map(|(id, _)| *id));
        }
        held
    }

    /// The turns that too few of the current disks hold.
    fn under_replicated_turns(
        &self,
        replicas: &StoreReplicas,
        ids: Vec<u128>,
        holders: &TurnHolders,
    ) -> Vec<u128> {
        let own_copies = replicas.current.contains(&self.own_disk) as usize;
        ids.into_iter()
            .filter(|id| own_copies + holders.count(*id) < replicas.replica_count())
            .collect()
    }

    /// The turns that this store transfers, by target disk. The highest-ranked holder of a turn
    /// transfers it; from `FIRST_SHARED_PASS` on, all holders do.
    fn plan_transfers(&self, inputs: &PassInputs<'_>) -> BTreeMap<String, Transfer> {
        let index = self.index.lock().unwrap();
        let mut transfers: BTreeMap<String, Transfer> = BTreeMap::new();
        for id in inputs.under_replicated {
            let Some(indexed) = index.turns.get(id) else {
                continue;
            };
            for disk in self.targets(inputs, *id, &indexed.stored) {
                let transfer = transfers.entry(disk.clone()).or_default();
                transfer.add_history(&index, &indexed.stored.turn.id, |id| {
                    inputs.holders.holds(&disk, id)
                });
            }
        }
        transfers
    }

    /// The disks that this store transfers a turn to; empty if another holder transfers it.
    fn targets(&self, inputs: &PassInputs<'_>, id: u128, stored: &StoredTurn) -> Vec<String> {
        let current = &inputs.replicas.current;
        let holders: Vec<&str> = inputs
            .holders
            .holders_of(id)
            .chain([self.own_disk.as_str()])
            .collect();
        let key = if stored.program.is_empty() {
            &stored.turn.id
        } else {
            &stored.program
        };
        let is_highest_ranked =
            rank_by_weight(key, holders.iter().copied()).first() == Some(&self.own_disk.as_str());
        if inputs.pass < FIRST_SHARED_PASS && !is_highest_ranked {
            return vec![];
        }
        let current_copies = holders
            .iter()
            .filter(|holder| current.iter().any(|disk| disk == *holder))
            .count();
        let missing = inputs
            .replicas
            .replica_count()
            .saturating_sub(current_copies);
        let mut candidates: Vec<&str> =
            rank_by_weight(key, current.iter().map(|disk| disk.as_str()));
        candidates.retain(|disk| {
            !holders.contains(disk) && *disk != self.own_disk && self.stores.is_alive(disk)
        });
        candidates.sort_by_key(|candidate| !inputs.preferred.iter().any(|disk| disk == candidate));
        candidates
            .into_iter()
            .take(missing)
            .map(str::to_string)
            .collect()
    }

    /// Runs all transfers concurrently. Returns whether all of them succeeded.
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
    /// Adds a turn and its predecessors, oldest first, except those that the disk holds or that are
    /// already batch of the transfer.
    fn add_history(&mut self, index: &TurnIndex, id: &str, is_held: impl Fn(u128) -> bool) {
        let mut history: Vec<StoredTurn> = index
            .history(id, HistoryLimit::NONE)
            .turns
            .into_iter()
            .filter(|stored| {
                let id = hash_128(stored.turn.id.as_bytes());
                !is_held(id) && self.ids.insert(id)
            })
            .collect();
        history.reverse();
        self.turns.extend(history);
    }
}
