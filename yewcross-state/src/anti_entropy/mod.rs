//! Anti-entropy: after a change of the set of disks, or after damage to one, every store transfers
//! what it holds to the disks that need it.
//!
//! [`TurnStore::swept`] is what the change of disks waits for. `ledgers` and `turns` decide what
//! goes where, `transfer` sends it.

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

/// How long the other stores have to repair this one, us.
const REPAIR_TIMEOUT_US: u64 = 10 * SEC;

/// Pause before a pass that failed is repeated, us; a change of the layout ends it early.
const RETRY_DELAY_US: u64 = 2 * STORE_RETRY_DELAY;

impl TurnStore {
    /// Whether all that this disk held when it adopted the layout is where that layout needs it,
    /// and how many turns are not yet. A disk that is no replica has nothing to transfer.
    pub fn sweep_status(&self, layout: u64) -> (bool, u64) {
        let is_replica = self.stores.replicas().contains(&self.own_disk);
        (
            !is_replica || self.swept_layout.load(SeqCst) >= layout,
            self.under_replicated.load(SeqCst),
        )
    }

    /// Runs anti-entropy for each layout, and has damage to this disk repaired.
    pub(crate) async fn run_anti_entropy(self: Arc<Self>) {
        loop {
            // Listened to first: a change during the pass must not be missed.
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
                // Either way the state is looked at again.
                self.runtime.timeout(RETRY_DELAY_US, layout_changed).await;
            } else {
                layout_changed.await;
            }
        }
    }

    fn needs_sweep(&self, replicas: &StoreReplicas) -> bool {
        self.swept_layout.load(SeqCst) < replicas.group_version
    }

    /// Whether the sweep for this layout has finished, and the layout is still the present one.
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
                "swept for layout {} in {} ms",
                replicas.group_version,
                (self.runtime.now() - started_us) / MS
            ));
        }
        true
    }

    /// Transfers what this disk holds for the change of disks that is in progress.
    async fn sweep_change(self: &Arc<Self>, replicas: &StoreReplicas) -> bool {
        let added: Vec<String> = replicas
            .current
            .iter()
            .filter(|disk| !replicas.previous.contains(disk))
            .cloned()
            .collect();
        // Fewer disks than before: what was a quorum of the old ones may be none of those that stay.
        let is_smaller = replicas.current.len() < replicas.previous.len();
        let to = if is_smaller {
            &replicas.current
        } else {
            &added
        };
        self.sweep_to(replicas, to).await
    }

    /// Brings ledgers to these disks, and every turn to as many present disks as it needs.
    async fn sweep_to(self: &Arc<Self>, replicas: &StoreReplicas, to: &[String]) -> bool {
        // Requests check their layout under this lock: whatever was accepted under an older layout
        // is durable, and in the index, once this append is.
        let written = {
            let _index = self.index.lock().unwrap();
            self.append(vec![])
        };
        if written.recv().await != Ok(true) || !self.sweep_ledgers(replicas, to).await {
            return false;
        }
        self.sweep_turns(replicas, to).await
    }

    /// Another disk was damaged: transfers to all disks what they lack. A store that itself is
    /// damaged cannot vouch for its part.
    pub(crate) async fn repair_replicas(self: &Arc<Self>) -> TurnLogResponse {
        let replicas = self.stores.replicas();
        let is_pending = self.recovery_pending.load(SeqCst);
        if is_pending || !self.sweep_to(&replicas, &replicas.current).await {
            TurnLogResponse::Unavailable
        } else {
            TurnLogResponse::Ok
        }
    }

    /// Has the other stores repair this one. It has recovered once as many did as to meet every
    /// write.
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
            self.runtime.log("the damaged log is repaired");
        }
    }

    /// Runs these at once and waits for all; `None` for one that was cancelled.
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
