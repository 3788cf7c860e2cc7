//! Anti-entropy: after a change of the set of disks, or after a disk was damaged, every store sweeps
//! its records and transfers them to the disks that lack them.
//!
//! A change of the set of disks completes once [`TurnStore::sweep_status`] reports that the sweep has
//! finished. `ledgers` and `turns` decide which records to transfer to which disks, and `transfer`
//! sends them.

mod ledgers;
mod transfer;
mod turns;

use crate::turn_store::TurnStore;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, SEC, STORE_RETRY_DELAY};
use yewcross_common::runtime::BoxFuture;
use yewcross_common::turn_log::{
    Gather, GatherStep, StoreReplicas, TurnLogOperation, TurnLogResponse,
};

/// Time-out for the other stores to repair this one, us.
const REPAIR_TIMEOUT_US: u64 = 10 * SEC;

/// Delay before a failed sweep or repair is repeated, us; a change of the layout ends it early.
const RETRY_DELAY_US: u64 = 2 * STORE_RETRY_DELAY;

impl TurnStore {
    /// Whether all records that this disk held when it adopted the layout are on the disks that the
    /// layout requires, and the number of turns that are still under-replicated. A disk that is not a
    /// replica has nothing to transfer.
    pub fn sweep_status(&self, layout: u64) -> (bool, u64) {
        let is_replica = self.stores.replicas().contains(&self.own_disk);
        (
            !is_replica || self.swept_layout.load(SeqCst) >= layout,
            self.under_replicated.load(SeqCst),
        )
    }

    /// Runs anti-entropy for each layout, and requests the repair of damage to this disk.
    pub(crate) async fn run_anti_entropy(self: Arc<Self>) {
        loop {
            // Registered before the sweep, so that a change during the sweep is not missed.
            let layout_changed = self.stores.documents.changed.listen();
            let replicas = self.stores.replicas();
            let is_replica = replicas.contains(&self.own_disk);
            if is_replica && self.recovery_pending.load(SeqCst) {
                self.request_repair(&replicas).await;
            }
            if is_replica && self.needs_sweep(&replicas) && self.sweep_layout(&replicas).await {
                continue;
            }
            if is_replica && (self.needs_sweep(&replicas) || self.recovery_pending.load(SeqCst)) {
                // The loop continues after the delay as well as after a change of the layout.
                self.runtime.timeout(RETRY_DELAY_US, layout_changed).await;
            } else {
                layout_changed.await;
            }
        }
    }

    fn needs_sweep(&self, replicas: &StoreReplicas) -> bool {
        self.swept_layout.load(SeqCst) < replicas.group_version
    }

    /// Sweeps for this layout. Returns whether the sweep has finished and the layout is still current.
    async fn sweep_layout(self: &Arc<Self>, replicas: &StoreReplicas) -> bool {
        let started_us = self.runtime.now();
        let is_change = !replicas.previous.is_empty();
        let is_finished = !is_change || self.sweep_change(replicas).await;
        if !is_finished || self.stores.replicas().group_version != replicas.group_version {
            return false;
        }
        self.swept_layout.fetch_max(replicas.group_version, SeqCst);
        if is_change {
            self.runtime.log(&format!(
                "anti-entropy of the turn log finished for layout {} in {} ms",
                replicas.group_version,
                (self.runtime.now() - started_us) / MS
            ));
        }
        true
    }

    /// Transfers this disk's records as required by the change of disks in progress.
    async fn sweep_change(self: &Arc<Self>, replicas: &StoreReplicas) -> bool {
        let added: Vec<String> = replicas
            .current
            .iter()
            .filter(|disk| !replicas.previous.contains(disk))
            .cloned()
            .collect();
        // With fewer disks than before, a quorum of the old set may not include a quorum of the
        // remaining disks.
        let is_smaller = replicas.current.len() < replicas.previous.len();
        let to = if is_smaller {
            &replicas.current
        } else {
            &added
        };
        self.sweep_to(replicas, to).await
    }

    /// Transfers the ledgers to the disks `to`, and every turn to as many current disks as it
    /// requires.
    async fn sweep_to(self: &Arc<Self>, replicas: &StoreReplicas, to: &[String]) -> bool {
        // Requests check the layout under this lock. Once this empty append is durable, all records
        // accepted under an older layout are durable and in the index.
        let written = {
            let _index = self.index.lock().unwrap();
            self.append(vec![])
        };
        if written.recv().await != Ok(true) || !self.sweep_ledgers(replicas, to).await {
            return false;
        }
        self.sweep_turns(replicas, to).await
    }

    /// Handles a repair request from a store with a damaged disk: transfers to all disks the records
    /// that they lack. Fails if this store is damaged itself, as its own records are incomplete.
    pub(crate) async fn repair_replicas(self: &Arc<Self>) -> TurnLogResponse {
        let replicas = self.stores.replicas();
        let is_pending = self.recovery_pending.load(SeqCst);
        if is_pending || !self.sweep_to(&replicas, &replicas.current).await {
            TurnLogResponse::Unavailable
        } else {
            TurnLogResponse::Ok
        }
    }

    /// Requests the other stores to repair this one. Recovery is complete once a read quorum has done
    /// so.
    async fn request_repair(self: &Arc<Self>, replicas: &StoreReplicas) {
        let layout_version = replicas.layout_version;
        let mut order = replicas.all();
        order.retain(|disk| *disk != self.own_disk);
        let deadline_us = self.runtime.now() + REPAIR_TIMEOUT_US;
        let store = self.clone();
        let request = move |disk: &str| -> BoxFuture<'static, TurnLogResponse> {
            let store = store.clone();
            let disk = disk.to_string();
            Box::pin(async move {
                let operation = TurnLogOperation::Repair;
                store
                    .stores
                    .request(&disk, layout_version, &operation, REPAIR_TIMEOUT_US)
                    .await
                    .unwrap_or(TurnLogResponse::Unavailable)
            })
        };
        let is_enough =
            |repaired: &BTreeSet<String>| replicas.is_read_quorum(|disk| repaired.contains(disk));
        let on_response = |_: &str, response| {
            if response == TurnLogResponse::Ok {
                GatherStep::Accept
            } else {
                GatherStep::Reject
            }
        };
        let outcome = self
            .stores
            .gather(
                Gather {
                    order,
                    is_broadcast: true,
                    layout_version,
                    deadline_us,
                },
                request,
                is_enough,
                on_response,
            )
            .await;
        if outcome.is_enough {
            self.recovery_pending.store(false, SeqCst);
            self.runtime
                .log("damaged turn log repaired from the other disks");
        }
    }

    /// Runs the futures concurrently and waits for all of them; the result of a cancelled one is
    /// `None`.
    async fn run_all<T: Send + 'static>(
        &self,
        futures: Vec<BoxFuture<'static, T>>,
    ) -> Vec<Option<T>> {
        let count = futures.len();
        let results = self.runtime.spawn_all(futures);
        let mut finished = Vec::with_capacity(count);
        for _ in 0..count {
            finished.push(results.recv().await.ok());
        }
        finished
    }
}
