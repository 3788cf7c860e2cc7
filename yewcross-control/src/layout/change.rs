//! Maintains the replica assignment of a tier that needs no operator: begins and amends changes.
//!
//! The core's and the stores' changes run side by side: one may begin, be amended and end while the
//! other is under way. A step that begins or amends is bound to the layout's version, and every step
//! to the term of the lease under which it was planned.

use super::finish::finish_changes;
use super::planning::{self, ClusterView, GROUPS_BY_URGENCY, group};
use super::report::survey;
use super::{LAYOUT, VersionedLayout};
use crate::{Control, config};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{
    BOOTSTRAP_WAIT, LAYOUT_CHANGE_POLL_INTERVAL, LAYOUT_STEP_RETRY_DELAY, LAYOUT_STEP_TIMEOUT,
    MISSING_REPLICA_POLL_INTERVAL, SEC, SWEEP_REPORT_TIMEOUT,
};
use yewcross_common::membership::{MemberState, Node};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, ReplicaGroup};
use yewcross_common::register::ValueUpdate;

/// us. How soon the replicas are looked at again after one did not answer, so that a change that
/// enlarges the group had to wait.
const SILENT_REPLICA_AGAIN: u64 = LAYOUT_STEP_RETRY_DELAY / 2;

/// Looks at the replicas once and takes at most one step of a group that needs one. Returns how long
/// to rest, in us, unless something changes before.
pub async fn maintain_replicas(control: &Arc<Control>) -> u64 {
    let adopted = control.documents.layout.load_full();
    let (version, layout) = &*adopted;
    if *version == 0 || !control.is_bootstrapped.load(SeqCst) {
        return SEC;
    }
    let adopted = VersionedLayout {
        version: *version,
        layout,
    };
    let live: Vec<Node> = control.members.view.load().values().cloned().collect();
    let missing_since = note_missing(control, layout, &live);
    let mut rest = if missing_since.is_empty() {
        SEC
    } else {
        MISSING_REPLICA_POLL_INTERVAL
    };
    for role in GROUPS_BY_URGENCY {
        let Some(next) = plan_step(control, adopted, &live, &missing_since, role) else {
            continue;
        };
        match postponed_by(control, adopted, &next, role, &live).await {
            Some(wait) => rest = rest.min(wait),
            None if decide(control, *version, &next).await => return 0,
            None => return rest.min(LAYOUT_STEP_RETRY_DELAY),
        }
    }
    if !layout.core.is_changing() && !layout.store.is_changing() {
        return rest;
    }
    if finish_changes(control, adopted).await {
        0
    } else {
        rest.min(LAYOUT_CHANGE_POLL_INTERVAL)
    }
}

/// Publishes the newest layout here after a step that could not be done: one that another core has
/// adopted, or else what a majority of the disks holds.
pub(super) async fn refresh(control: &Arc<Control>) {
    if !super::catch_up(control).await {
        super::publish_newest(control).await;
    }
}

/// Since when the machine of each replica, incoming or outgoing, is missing, in us.
fn note_missing(control: &Control, layout: &Layout, live: &[Node]) -> BTreeMap<String, u64> {
    let now = control.runtime.now();
    let is_alive = |disk: &String| {
        live.iter()
            .any(|node| node.disk == *disk && node.state == MemberState::Alive)
    };
    let replicas: Vec<&String> = planning::all_disks(layout).collect();
    let mut missing = control.singleton_tasks.missing.lock().unwrap();
    missing.retain(|disk, _| replicas.contains(&disk) && !is_alive(disk));
    for disk in replicas.into_iter().filter(|disk| !is_alive(disk)) {
        missing.entry(disk.clone()).or_insert(now);
    }
    missing.clone()
}

/// The group's next step, planned from what is known at this moment.
fn plan_step(
    control: &Control,
    adopted: VersionedLayout<'_>,
    live: &[Node],
    missing_since: &BTreeMap<String, u64>,
    role: Role,
) -> Option<Layout> {
    let now = control.runtime.now();
    let missing = |disk: &str| {
        missing_since
            .get(disk)
            .map_or(0, |since| (now - since).max(1))
    };
    let view = ClusterView {
        live,
        recently_seen: &control.members.all_nodes(),
        missing_us: &missing,
        max_lost: control.settings.bounds.lost,
    };
    planning::next_step(adopted.layout, adopted.version, &view, role)
}

/// How long a step must wait, in us: for more stores at bootstrap, or for a replica that does not
/// answer.
async fn postponed_by(
    control: &Arc<Control>,
    adopted: VersionedLayout<'_>,
    next: &Layout,
    role: Role,
    live: &[Node],
) -> Option<u64> {
    let (before, after) = (adopted.group(role), group(next, role));
    if before.is_changing() {
        return None;
    }
    if before.current.is_empty() {
        return awaits_first_stores(control, role, live).then_some(LAYOUT_STEP_RETRY_DELAY);
    }
    if after.current.len() <= before.current.len() {
        return None;
    }
    // The group grows only while all replicas that stay answer: a newcomer may be the successor of
    // one whose loss is not yet noticed.
    let staying: Vec<String> = before
        .current
        .iter()
        .filter(|disk| after.current.contains(disk))
        .cloned()
        .collect();
    let has_silent_replica = probe_silent(control, staying, adopted.since(role)).await;
    has_silent_replica.then_some(SILENT_REPLICA_AGAIN)
}

/// Whether the first stores must still wait for others: they become replicas together.
fn awaits_first_stores(control: &Control, role: Role, live: &[Node]) -> bool {
    let stores = live
        .iter()
        .filter(|node| node.role == Role::Store && node.state == MemberState::Alive)
        .count();
    role == Role::Store
        && stores > 0
        && control.runtime.now()
            < control.singleton_tasks.bootstrapped_at.load(SeqCst) + BOOTSTRAP_WAIT
}

/// Asks the disks for a report, and has those that do not answer counted as missing and probed.
/// Returns whether there are any.
async fn probe_silent(control: &Arc<Control>, disks: Vec<String>, since: u64) -> bool {
    let reports = survey(control, &disks, since, SWEEP_REPORT_TIMEOUT, |_| false).await;
    let silent: Vec<String> = disks
        .into_iter()
        .filter(|disk| !reports.iter().any(|report| report.disk == *disk))
        .collect();
    if silent.is_empty() {
        return false;
    }
    let now = control.runtime.now();
    for disk in &silent {
        let mut missing = control.singleton_tasks.missing.lock().unwrap();
        missing.entry(disk.clone()).or_insert(now);
    }
    let silent_nodes: Vec<Node> = silent
        .iter()
        .filter_map(|disk| control.members.node_with_disk(disk))
        .collect();
    for node in silent_nodes {
        control.members.clone().probe_or_suspect(node).await;
    }
    true
}

/// Decides `next` as the successor of layout `version`, and publishes it. Returns whether it was
/// decided.
async fn decide(control: &Arc<Control>, version: u64, next: &Layout) -> bool {
    let Some(term) = control.acting_term() else {
        return false;
    };
    let planned_on_term = next.term;
    let next = Layout {
        term,
        ..next.clone()
    };
    let content = serde_json::to_vec(&next).unwrap_or_default();
    let step = |found_version, _: &[u8]| {
        if found_version == version && control.may_write(term, planned_on_term) {
            ValueUpdate::Write(content.clone(), true)
        } else {
            ValueUpdate::Keep(false)
        }
    };
    let decided = control
        .registers
        .change(LAYOUT, LAYOUT_STEP_TIMEOUT, step)
        .await
        == Ok(true);
    if decided {
        control.runtime.log(&format!(
            "seats change: core {:?} store {:?}",
            machine_names(&next, &next.core),
            machine_names(&next, &next.store)
        ));
        config::publish(control, LAYOUT, version + 1, content);
    } else {
        // Another process's version is newer, or ours was decided and the answers were lost.
        refresh(control).await;
    }
    decided
}

/// Names of the machines of the group's incoming set.
fn machine_names(layout: &Layout, group: &ReplicaGroup) -> String {
    let names: Vec<&str> = group
        .current
        .iter()
        .map(|disk| layout.names.get(disk).map_or("?", String::as_str))
        .collect();
    names.join(" ")
}
