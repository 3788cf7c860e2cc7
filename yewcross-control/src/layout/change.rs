//! Maintains the replica assignment of a tier that needs no operator: starts and amends changes.
//!
//! The core group and the store group change independently: a change of one may start, be amended and
//! end while a change of the other is in progress. A step that starts or amends a change is valid only
//! for the layout version on which it was planned, and every step only under the lease term in which
//! it was planned.

use super::finish::finish_changes;
use super::planning::{self, ClusterView, GROUPS_BY_URGENCY, group};
use super::report::collect_reports;
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

/// Delay before the replicas are checked again after one did not answer and so postponed a change that
/// enlarges the group, in µs.
const UNRESPONSIVE_REPLICA_RETRY_DELAY: u64 = LAYOUT_STEP_RETRY_DELAY / 2;

/// Checks the replicas once and takes at most one step of a change. Returns the delay before the next
/// check in µs; an event such as a membership change may shorten it.
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
    let missing_since = update_missing_replicas(control, layout, &live);
    let mut delay = if missing_since.is_empty() {
        SEC
    } else {
        MISSING_REPLICA_POLL_INTERVAL
    };
    for role in GROUPS_BY_URGENCY {
        let Some(next) = plan_step(control, adopted, &live, &missing_since, role) else {
            continue;
        };
        match step_delay(control, adopted, &next, role, &live).await {
            Some(postponement) => delay = delay.min(postponement),
            None if decide_step(control, *version, &next).await => return 0,
            None => return delay.min(LAYOUT_STEP_RETRY_DELAY),
        }
    }
    if !layout.core.is_changing() && !layout.store.is_changing() {
        return delay;
    }
    if finish_changes(control, adopted).await {
        0
    } else {
        delay.min(LAYOUT_CHANGE_POLL_INTERVAL)
    }
}

/// Applies the newest layout here after a step that was not decided: a newer one that another core has
/// applied, or else the one that a majority of the disks holds, which is then also published.
pub(super) async fn apply_newest(control: &Arc<Control>) {
    if !super::catch_up(control).await {
        super::publish_newest(control).await;
    }
}

/// Updates and returns the time in µs since which the machine of each incoming or outgoing replica has
/// been missing.
fn update_missing_replicas(
    control: &Control,
    layout: &Layout,
    live: &[Node],
) -> BTreeMap<String, u64> {
    let now = control.runtime.now();
    let is_alive = |disk: &String| {
        live.iter()
            .any(|node| node.disk == *disk && node.state == MemberState::Alive)
    };
    let replicas: Vec<&String> = planning::all_disks(layout).collect();
    let mut missing = control.singleton_tasks.missing_since.lock().unwrap();
    missing.retain(|disk, _| replicas.contains(&disk) && !is_alive(disk));
    for disk in replicas.into_iter().filter(|disk| !is_alive(disk)) {
        missing.entry(disk.clone()).or_insert(now);
    }
    missing.clone()
}

/// Plans the group's next step from the current membership and the applied layout.
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

/// The delay in µs by which a step must be postponed, to wait for more stores at bootstrap or for a
/// replica that does not answer; `None` if the step may be taken now.
async fn step_delay(
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
        return is_waiting_for_first_stores(control, role, live).then_some(LAYOUT_STEP_RETRY_DELAY);
    }
    if after.current.len() <= before.current.len() {
        return None;
    }
    // The group grows only if all staying replicas answer: a joining disk may be the replacement of
    // a replica whose loss has not been detected yet.
    let staying: Vec<String> = before
        .current
        .iter()
        .filter(|disk| after.current.contains(disk))
        .cloned()
        .collect();
    let has_unresponsive_replica = probe_unresponsive(control, staying, adopted.since(role)).await;
    has_unresponsive_replica.then_some(UNRESPONSIVE_REPLICA_RETRY_DELAY)
}

/// Whether the first stores still wait for further stores, since all of them become replicas in one
/// step.
fn is_waiting_for_first_stores(control: &Control, role: Role, live: &[Node]) -> bool {
    let stores = live
        .iter()
        .filter(|node| node.role == Role::Store && node.state == MemberState::Alive)
        .count();
    role == Role::Store
        && stores > 0
        && control.runtime.now()
            < control.singleton_tasks.bootstrapped_at.load(SeqCst) + BOOTSTRAP_WAIT
}

/// Requests a report from each of the disks. Marks those that do not answer as missing and probes
/// their machines. Returns whether there are any.
async fn probe_unresponsive(control: &Arc<Control>, disks: Vec<String>, since: u64) -> bool {
    let reports = collect_reports(control, &disks, since, SWEEP_REPORT_TIMEOUT, |_| false).await;
    let unresponsive: Vec<String> = disks
        .into_iter()
        .filter(|disk| !reports.iter().any(|report| report.disk == *disk))
        .collect();
    if unresponsive.is_empty() {
        return false;
    }
    let now = control.runtime.now();
    for disk in &unresponsive {
        let mut missing = control.singleton_tasks.missing_since.lock().unwrap();
        missing.entry(disk.clone()).or_insert(now);
    }
    let unresponsive_nodes: Vec<Node> = unresponsive
        .iter()
        .filter_map(|disk| control.members.node_with_disk(disk))
        .collect();
    for node in unresponsive_nodes {
        control.members.clone().probe_or_suspect(node).await;
    }
    true
}

/// Decides `next` as the successor of layout `version` and publishes it. Returns whether it was
/// decided.
async fn decide_step(control: &Arc<Control>, version: u64, next: &Layout) -> bool {
    let Some(term) = control.acting_term() else {
        return false;
    };
    let base_term = next.term;
    let next = Layout {
        term,
        ..next.clone()
    };
    let content = serde_json::to_vec(&next).unwrap_or_default();
    let step = |found_version, _: &[u8]| {
        if found_version == version && control.may_write(term, base_term) {
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
            "replica assignment changed: core replicas {:?}, store replicas {:?}",
            machine_names(&next, &next.core),
            machine_names(&next, &next.store)
        ));
        config::publish(control, LAYOUT, version + 1, content);
    } else {
        // Either another process has decided a newer version, or this one was decided and the
        // answers were lost.
        apply_newest(control).await;
    }
    decided
}

/// Names of the machines of the group's current set, separated by spaces.
fn machine_names(layout: &Layout, group: &ReplicaGroup) -> String {
    let names: Vec<&str> = group
        .current
        .iter()
        .map(|disk| layout.names.get(disk).map_or("?", String::as_str))
        .collect();
    names.join(" ")
}
