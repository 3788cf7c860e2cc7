//! Anti-entropy of the registers: every key on this disk is brought to all its replicas, again and
//! again; faster while a change of the assignment is under way, since it ends only after the disks
//! have swept.

use super::planning::group;
use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, PEER_REQUEST_TIMEOUT, SEC, SWEEP_INTERVAL, SWEEP_PAUSE};
use yewcross_common::documents::cache::DOCUMENT_NAMES;
use yewcross_common::protocol::{PeerRequest, PeerResponse};

/// us. Pause after each key while a change is under way.
const CHANGING_PAUSE: u64 = MS;

/// us. Rest after a sweep that was not complete, or while a change is under way.
const SWEEP_AGAIN: u64 = SEC;

/// The assignment that one sweep goes by.
#[derive(Clone, Copy)]
struct Assignment {
    /// Version of the layout.
    version: u64,
    /// Version that wrote the sets of this disk's group.
    since: u64,
    is_changing: bool,
}

impl Assignment {
    /// The assignment as adopted now; `None` if this disk is no replica.
    fn of_this_disk(control: &Control) -> Option<Assignment> {
        let adopted = control.documents.layout.load_full();
        let (version, layout) = &*adopted;
        let group = group(layout, control.settings.role);
        let own_disk = &control.storage.disk_id;
        let is_replica = group.current.contains(own_disk) || group.previous.contains(own_disk);
        (*version > 0 && is_replica).then(|| Assignment {
            version: *version,
            since: layout.since(group, *version),
            is_changing: group.is_changing(),
        })
    }

    /// Whether the sets of this disk's group are still the same. Changes of the other group do not
    /// interrupt a sweep.
    fn is_current(self, control: &Control) -> bool {
        let adopted = control.documents.layout.load();
        let (version, layout) = &**adopted;
        layout.since(group(layout, control.settings.role), *version) == self.since
    }
}

/// Sweeps this disk over and over.
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
                .store(assignment.version, SeqCst);
        }
        let rest = if assignment.is_changing || !is_complete {
            SWEEP_AGAIN
        } else {
            SWEEP_INTERVAL
        };
        wait_for_next(&control, assignment, rest).await;
    }
}

/// Brings every key to its replicas once. Returns whether all of them were.
async fn sweep_once(control: &Arc<Control>, assignment: Assignment) -> bool {
    let (mut keys, damaged) = control.replica.keys().await;
    // Replicas of the same keys begin at different ones.
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

/// Brings one key to its replicas. Returns false if it has to be tried again.
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
    if control.options.tends && is_document {
        return repair_document(control, key).await;
    }
    if is_document && !control.has_quorum_contact() {
        return false;
    }
    control.counters.repaired_records.fetch_add(1, SeqCst);
    // Through the key's first owner, so that replicas of the same key do not compete for it.
    let repair = PeerRequest::RepairKey { key: key.into() };
    let answer = (control.record_store.route)(key.into(), repair).await;
    let is_repaired = matches!(answer, Some(PeerResponse::Ok));
    let may_expire = !is_document && !key.starts_with("budget/");
    if is_repaired && may_expire && is_expired(control, key).await {
        (control.record_store.route)(key.into(), PeerRequest::ExpireSession { key: key.into() })
            .await;
    }
    let pause = if assignment.is_changing {
        CHANGING_PAUSE
    } else {
        SWEEP_PAUSE
    };
    control.runtime.sleep(pause).await;
    is_repaired
}

/// Whether the session of this key is over and may be removed.
async fn is_expired(control: &Control, key: &str) -> bool {
    control
        .replica
        .read_record(key)
        .await
        .is_some_and(|slot| slot.value.is_empty() || control.record_store.outlived(&slot.value))
}

/// Returns after `rest` us, or when another disk requests a sweep or the layout is another one.
async fn wait_for_next(control: &Control, assignment: Assignment, rest: u64) {
    let deadline = control.runtime.now() + rest;
    loop {
        let layout_changed = control.documents.changed.listen();
        let sweep_requested = control.sweep_requested.listen();
        let now = control.runtime.now();
        if now >= deadline
            || control.is_sweep_requested.swap(false, SeqCst)
            || control.documents.layout.load().0 != assignment.version
        {
            return;
        }
        let any = futures_lite::future::or(layout_changed, sweep_requested);
        control.runtime.timeout(deadline - now, any).await;
    }
}

/// Documents are repaired by the process that proposes, and by no other. Returns false if it has to
/// be tried again.
async fn repair_document(control: &Control, name: &str) -> bool {
    if control.lease_term().is_none() || control.registers.all_replicas_agree(name).await {
        return true;
    }
    control.counters.repaired_records.fetch_add(1, SeqCst);
    control.registers.repair(name).await
}

/// Asks all machines of the same role to sweep. The names of damaged keys are lost with them, so
/// only the other replicas can tell which they are.
fn request_sweeps(control: &Control) {
    let others = control
        .members
        .nodes_of_role(control.settings.role)
        .into_iter()
        .filter(|node| node.name != control.settings.name);
    for node in others {
        let peers = control.peers.clone();
        control.runtime.spawn(async move {
            // This disk's next sweep asks again for as long as keys are damaged.
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
