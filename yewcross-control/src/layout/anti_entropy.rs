//! Anti-entropy of the registers: repeated sweeps that replicate every key on this disk to all its
//! replicas. Sweeps run faster while a change of the replica assignment is in progress, since the
//! change ends only after the disks have completed a sweep.

use super::planning::group;
use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, PEER_REQUEST_TIMEOUT, SEC, SWEEP_INTERVAL, SWEEP_PAUSE};
use yewcross_common::documents::cache::DOCUMENT_NAMES;
use yewcross_common::protocol::{PeerRequest, PeerResponse};

/// Delay after each key while a change is in progress, in µs.
const KEY_DELAY_DURING_CHANGE: u64 = MS;

/// Delay before the next sweep after an incomplete one, or while a change is in progress, in µs.
const SWEEP_RETRY_DELAY: u64 = SEC;

/// The replica assignment on which one sweep is based.
#[derive(Clone, Copy)]
struct Assignment {
    /// Version of the layout.
    layout_version: u64,
    /// Version of the layout that last changed the sets of this disk's group.
    since: u64,
    is_changing: bool,
}

impl Assignment {
    /// The assignment of the layout applied here; `None` if this disk is not a replica.
    fn of_this_disk(control: &Control) -> Option<Assignment> {
        let adopted = control.documents.layout.load_full();
        let (version, layout) = &*adopted;
        let group = group(layout, control.settings.role);
        let own_disk = &control.storage.disk_id;
        let is_replica = group.current.contains(own_disk) || group.previous.contains(own_disk);
        (*version > 0 && is_replica).then(|| Assignment {
            layout_version: *version,
            since: layout.layout_number_of(group, *version),
            is_changing: group.is_changing(),
        })
    }

    /// Whether the sets of this disk's group are unchanged. Changes of the other group do not interrupt
    /// a sweep.
    fn is_current(self, control: &Control) -> bool {
        let adopted = control.documents.layout.load();
        let (version, layout) = &**adopted;
        layout.layout_number_of(group(layout, control.settings.role), *version) == self.since
    }
}

/// Sweeps this disk repeatedly, for as long as the process runs.
pub async fn run(control: Arc<Control>) {
    loop {
        let layout_changed = control.documents.changed.listen();
        let Some(assignment) = Assignment::of_this_disk(&control) else {
            control
                .runtime
                .timeout(SWEEP_INTERVAL, layout_changed)
                .await;
            continue;
        };
        let is_complete = sweep_once(&control, assignment).await;
        if is_complete && assignment.is_current(&control) {
            control
                .swept_layout_version
                .store(assignment.layout_version, SeqCst);
        }
        let delay = if assignment.is_changing || !is_complete {
            SWEEP_RETRY_DELAY
        } else {
            SWEEP_INTERVAL
        };
        wait_for_next(&control, assignment, delay).await;
    }
}

/// Replicates every key on this disk once. Returns whether all keys were replicated.
async fn sweep_once(control: &Arc<Control>, assignment: Assignment) -> bool {
    let (mut keys, damaged) = control.replica.keys().await;
    // Starts at a random key, so that replicas of the same keys do not all repair the same ones first.
    let first = control.runtime.random_index(keys.len());
    keys.rotate_left(first);
    let mut keys_left = keys.len() as u64;
    let mut is_complete = damaged == 0;
    if damaged > 0 {
        request_sweeps(control);
    }
    for key in keys {
        control.sweep_keys_left.store(keys_left, SeqCst);
        keys_left -= 1;
        if assignment.is_changing && !assignment.is_current(control) {
            is_complete = false;
            break;
        }
        is_complete &= sweep_key(control, assignment, &key).await;
    }
    control.sweep_keys_left.store(keys_left, SeqCst);
    is_complete
}

/// Replicates one key, or removes it if this disk is no longer its replica. Returns false if the key
/// must be retried.
async fn sweep_key(control: &Arc<Control>, assignment: Assignment, key: &str) -> bool {
    if control.replica.read_record(key).await.is_none() {
        return true;
    }
    let is_stored_here = crate::replica_set(&control.documents, &control.members, key)
        .all()
        .iter()
        .any(|replica| replica.disk == control.storage.disk_id);
    if !is_stored_here && !assignment.is_changing {
        control.replica.remove_record(key).await;
        return true;
    }
    let is_document = DOCUMENT_NAMES.contains(&key);
    if control.options.maintains_layout && is_document {
        return repair_document(control, key).await;
    }
    if is_document && !control.has_quorum_contact() {
        return false;
    }
    control.counters.repaired_records.fetch_add(1, SeqCst);
    // The repair is routed to the key's first owner, so that replicas of the same key do not run
    // competing repairs.
    let repair = PeerRequest::RepairKey { key: key.into() };
    let answer = (control.record_store.route)(key.into(), repair).await;
    let is_repaired = matches!(answer, Some(PeerResponse::Ok));
    let may_expire = !is_document && !key.starts_with("budget/");
    if is_repaired && may_expire && is_expired(control, key).await {
        (control.record_store.route)(key.into(), PeerRequest::ExpireSession { key: key.into() })
            .await;
    }
    let key_delay = if assignment.is_changing {
        KEY_DELAY_DURING_CHANGE
    } else {
        SWEEP_PAUSE
    };
    control.runtime.sleep(key_delay).await;
    is_repaired
}

/// Whether the session of this key has expired and may be removed.
async fn is_expired(control: &Control, key: &str) -> bool {
    control
        .replica
        .read_record(key)
        .await
        .is_some_and(|record| {
            record.value.is_empty() || control.record_store.is_expired(&record.value)
        })
}

/// Returns after `delay` µs, or earlier if another disk requests a sweep or the layout changes.
async fn wait_for_next(control: &Control, assignment: Assignment, delay: u64) {
    let deadline = control.runtime.now() + delay;
    loop {
        let layout_changed = control.documents.changed.listen();
        let sweep_requested = control.sweep_requested.listen();
        let now = control.runtime.now();
        if now >= deadline
            || control.is_sweep_requested.swap(false, SeqCst)
            || control.documents.layout.load().0 != assignment.layout_version
        {
            return;
        }
        let any_event = futures_lite::future::or(layout_changed, sweep_requested);
        control.runtime.timeout(deadline - now, any_event).await;
    }
}

/// Repairs a document if this process is the proposer; no other process repairs documents. Returns
/// false if the repair must be retried.
async fn repair_document(control: &Control, name: &str) -> bool {
    if control.lease_term().is_none() || control.registers.all_replicas_agree(name).await {
        return true;
    }
    control.counters.repaired_records.fetch_add(1, SeqCst);
    control.registers.repair(name).await
}

/// Requests a sweep from all machines of the same role. The name of a damaged key cannot be read
/// either, so only sweeps by the other replicas can restore it.
fn request_sweeps(control: &Control) {
    let others = control
        .members
        .nodes_of_role(control.settings.role)
        .into_iter()
        .filter(|node| node.name != control.settings.name);
    for node in others {
        let peers = control.peers.clone();
        control.runtime.spawn(async move {
            // A failed request needs no handling: this disk's next sweep repeats it for as long as
            // keys are damaged.
            let _ = peers
                .request(
                    node.peer,
                    &PeerRequest::StartSweep,
                    &[],
                    PEER_REQUEST_TIMEOUT,
                )
                .await;
        });
    }
}
