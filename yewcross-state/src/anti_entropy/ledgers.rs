//! Transfers ledgers to the disks that lack them.

use crate::turn_store::TurnStore;
use std::sync::Arc;
use yewcross_common::runtime::BoxFuture;
use yewcross_common::turn_log::StoreReplicas;

impl TurnStore {
    /// Transfers all ledgers to the disks `to`, which lack them. If one of these cannot be reached,
    /// the ledgers are transferred to every disk of the new set instead; the number of unreachable
    /// disks may then be up to the number of tolerated losses, as every read quorum includes one of
    /// the other disks.
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
        let own_copies = replicas.current.len() - others.len();
        let reached = self.transfer_ledgers_to(&others).await;
        reached + own_copies + replicas.max_missing_disks() >= replicas.current.len()
    }

    fn other_disks(&self, disks: &[String]) -> Vec<String> {
        disks
            .iter()
            .filter(|disk| **disk != self.own_disk)
            .cloned()
            .collect()
    }

    /// Transfers all ledgers to these disks concurrently. Returns the number of disks that stored
    /// them.
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
            .filter(|is_transferred| *is_transferred == Some(true))
            .count()
    }
}
