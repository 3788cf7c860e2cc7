//! Whether every key has its full set of replicas.

use super::{Process, TestCluster};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, SEC};
use yewcross_control::Control;

/// us between two looks whether all replicas are complete.
const REPLICATION_POLL: u64 = 250 * MS;

impl TestCluster {
    pub(in crate::proof) fn running_controls(&self) -> Vec<Arc<Control>> {
        let processes = self.processes.lock().unwrap();
        let running = processes
            .iter()
            .filter_map(|(name, process)| match process {
                Process::Control(control) if self.sim.is_up(self.sim.find(name)) => {
                    Some(control.clone())
                }
                _ => None,
            });
        running.collect()
    }

    /// Waits until every key has its full set of replicas: one disk may be lost at a time. Returns
    /// whether it is so within the time.
    pub async fn wait_fully_replicated(&self, seconds: u64) -> bool {
        let deadline = self.sim.now() + seconds * SEC;
        while self.sim.now() < deadline {
            if is_fully_replicated(&self.running_controls()).await {
                return true;
            }
            self.operator.sleep(REPLICATION_POLL).await;
        }
        false
    }
}

/// Whether all that hold a disk of the newest layout have its replicas, and no change of disks is
/// under way.
async fn is_fully_replicated(controls: &[Arc<Control>]) -> bool {
    let newest = controls
        .iter()
        .map(|control| control.documents.layout.load().0)
        .max()
        .unwrap_or(0);
    let mut is_complete = !controls.is_empty();
    for control in controls {
        is_complete &= has_all_replicas(control, newest).await;
    }
    is_complete
}

async fn has_all_replicas(control: &Control, newest: u64) -> bool {
    let layout = control.documents.layout.load();
    let (store, core) = (&layout.1.store, &layout.1.core);
    let has_seat = store
        .current
        .iter()
        .chain(&core.current)
        .any(|disk| *disk == control.storage.disk_id);
    let is_settled = layout.0 == newest && store.previous.is_empty() && core.previous.is_empty();
    if !is_settled {
        return false;
    }
    if !has_seat {
        return true;
    }
    control.swept_layout_version.load(SeqCst) >= newest && control.replica.keys().await.1 == 0
}
