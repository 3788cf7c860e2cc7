//! Which disks the ledgers go to.

use crate::turn_store::TurnStore;
use std::sync::Arc;
use yewcross_common::runtime::BoxFuture;
use yewcross_common::turn_log::StoreReplicas;

impl TurnStore {
    /// Brings all ledgers to the disks that lack them. Where one of those cannot be reached, they
    /// go to every disk of the incoming set, and as many disks may be missed as losses are
    /// tolerated: a read quorum meets the rest.
    pub(super) async fn sweep_ledgers(
        self: &Arc<Self>,
        replicas: &StoreReplicas,
        to: &[String],
    ) -> bool {
        let lacking = self.other_disks(to);
        if self.transfer_ledgers_to(&lacking).await == lacking.len() {
            return true;
        }
        let others = self.other_disks(&replicas.current);
        let own = replicas.current.len() - others.len();
        let reached = self.transfer_ledgers_to(&others).await;
        reached + own + replicas.max_missing_disks() >= replicas.current.len()
    }

    fn other_disks(&self, disks: &[String]) -> Vec<String> {
        disks
            .iter()
            .filter(|disk| **disk != self.own_disk)
            .cloned()
            .collect()
    }

    /// Brings all ledgers to these disks at once; returns how many of them have them.
    async fn transfer_ledgers_to(self: &Arc<Self>, disks: &[String]) -> usize {
        let transfers: Vec<BoxFuture<'static, bool>> = disks
            .iter()
            .map(|disk| -> BoxFuture<'static, bool> {
                let store = self.clone();
                let disk = disk.clone();
                Box::pin(async move { store.transfer_ledgers(&disk).await })
            })
            .collect();
        let results = self.run_all(transfers).await;
        results
            .into_iter()
            .filter(|reached| *reached == Some(true))
            .count()
    }
}
