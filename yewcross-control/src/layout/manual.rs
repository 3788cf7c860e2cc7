//! Changes of disks that an operator orders, for a tier that is maintained manually.

use super::error::{DiskChangeError, LayoutError};
use super::planning::{self, GROUPS_BY_URGENCY};
use super::{LAYOUT, VersionedLayout, publish_newest, report};
use crate::Control;
use serde::Serialize;
use std::sync::Arc;
use yewcross_common::constants::{PUT_TIMEOUT, RECORD_REPLICAS, SWEEP_REPORT_TIMEOUT};
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::Layout;
use yewcross_common::register::{ChangeError, ValueUpdate};

/// A change of disks. Disks are named by their identity or by the name of their machine.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskChange {
    /// Removes a replica; what it stores is transferred to others first.
    Remove(String),
    /// Adds a replica.
    Add(String),
    /// Replaces the first disk by the second.
    Replace(String, String),
}

/// How far an outgoing replica of a change under way is. Operators read it as a JSON array of three.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, bool, u64)")]
pub struct ReplicaProgress {
    /// Identity of the disk.
    pub disk: String,
    /// Whether all that it stores has reached the incoming set.
    pub is_swept: bool,
    /// How many keys it has yet to transfer.
    pub keys_left: u64,
}

impl From<ReplicaProgress> for (String, bool, u64) {
    fn from(progress: ReplicaProgress) -> Self {
        (progress.disk, progress.is_swept, progress.keys_left)
    }
}

/// The layout that a change of disks begins with; `None` if the disks are assigned like that
/// already. `node_of` finds a live machine by its name or its disk. The capacity planner asks the
/// same.
pub fn propose(
    layout: &Layout,
    version: u64,
    change: &DiskChange,
    node_of: impl Fn(&str) -> Option<Node>,
) -> Result<Option<Layout>, DiskChangeError> {
    let (removed, added) = match change {
        DiskChange::Remove(removed) => (Some(removed), None),
        DiskChange::Add(added) => (None, Some(added)),
        DiskChange::Replace(removed, added) => (Some(removed), Some(added)),
    };
    let removed = removed
        .map(|wanted| {
            replica_disk(layout, wanted).ok_or_else(|| DiskChangeError::NotAReplica {
                disk: wanted.clone(),
            })
        })
        .transpose()?;
    let added = added
        .map(|wanted| {
            node_of(wanted)
                .filter(|node| !node.disk.is_empty())
                .ok_or_else(|| DiskChangeError::NotLive {
                    disk: wanted.clone(),
                })
        })
        .transpose()?;
    let role = changed_role(layout, removed.as_ref(), added.as_ref());

    let mut before = planning::group(layout, role).current.clone();
    before.sort();
    let mut after = before.clone();
    after.retain(|disk| Some(disk) != removed.as_ref());
    if let Some(node) = added.as_ref().filter(|node| !before.contains(&node.disk)) {
        after.push(node.disk.clone());
    }
    after.sort();
    if after == before {
        return Ok(None);
    }
    if layout.core.is_changing() || layout.store.is_changing() {
        return Err(DiskChangeError::AnotherUnderWay);
    }
    let is_core = role == Role::Core;
    if added
        .as_ref()
        .is_some_and(|node| (node.role == Role::Core) != is_core)
    {
        return Err(DiskChangeError::OtherRole);
    }
    if after.len() < RECORD_REPLICAS {
        return Err(DiskChangeError::TooFewLeft);
    }
    let mut next = layout.clone();
    if let Some(node) = added {
        next.names.insert(node.disk.clone(), node.name);
        next.sites.insert(node.disk, node.site);
    }
    planning::start_change(&mut next, version, role, after);
    Ok(Some(next))
}

/// The disk that an operator means by its identity, or by the name of a replica's machine.
fn replica_disk(layout: &Layout, wanted: &str) -> Option<String> {
    if layout.names.contains_key(wanted) {
        return Some(wanted.to_string());
    }
    let is_replica =
        |disk: &String| layout.store.current.contains(disk) || layout.core.current.contains(disk);
    layout
        .names
        .iter()
        .find(|(disk, machine)| *machine == wanted && is_replica(disk))
        .map(|(disk, _)| disk.clone())
}

/// The role whose group changes: that of the removed disk, or else that of the added machine.
fn changed_role(layout: &Layout, removed: Option<&String>, added: Option<&Node>) -> Role {
    let is_core = match removed {
        Some(disk) => layout.core.current.contains(disk) || layout.core.previous.contains(disk),
        None => added.is_some_and(|node| node.role == Role::Core),
    };
    if is_core { Role::Core } else { Role::Store }
}

/// Begins a change of disks, and returns the version of the layout that has it. A change that is
/// ordered again after it began is not begun anew.
pub async fn begin(control: &Arc<Control>, change: DiskChange) -> Result<u64, LayoutError> {
    let view = control.members.view.load_full();
    let node_of = |wanted: &str| {
        view.values()
            .find(|node| node.disk == wanted || node.name == wanted)
            .cloned()
    };
    let outcome = control
        .registers
        .change(LAYOUT, PUT_TIMEOUT, |version, content| {
            let Ok(layout) = serde_json::from_slice::<Layout>(content) else {
                return ValueUpdate::Keep(Err(LayoutError::NotBootstrapped));
            };
            match propose(&layout, version, &change, node_of) {
                Err(source) => ValueUpdate::Keep(Err(source.into())),
                Ok(None) => ValueUpdate::Keep(Ok(version)),
                Ok(Some(next)) => ValueUpdate::Write(
                    serde_json::to_vec(&next).unwrap_or_default(),
                    Ok(version + 1),
                ),
            }
        })
        .await;
    publish_newest(control).await;
    match outcome {
        Ok(begun) => begun,
        Err(ChangeError::Undecided) => Err(LayoutError::ChangeUndecided),
        Err(ChangeError::NotApplied | ChangeError::NotProposer) => Err(LayoutError::NoMajority),
    }
}

/// The version of the layout, and how far each outgoing replica of the changes under way is. One
/// that does not answer counts as not swept.
pub async fn progress(control: &Arc<Control>) -> (u64, Vec<ReplicaProgress>) {
    let adopted = control.documents.layout.load_full();
    let (version, layout) = &*adopted;
    let adopted = VersionedLayout {
        version: *version,
        layout,
    };
    let mut replicas = vec![];
    for role in GROUPS_BY_URGENCY {
        for disk in &adopted.group(role).previous {
            let report =
                report::ask(control, disk, adopted.since(role), SWEEP_REPORT_TIMEOUT).await;
            let (is_swept, keys_left) = report.map_or((false, 0), |report| {
                (report.replica.is_swept, report.keys_left)
            });
            replicas.push(ReplicaProgress {
                disk: disk.clone(),
                is_swept,
                keys_left,
            });
        }
    }
    (*version, replicas)
}

/// Looks at the layout once: ends changes that may end and, where none is under way, replaces the
/// disk of a machine that came back empty.
pub async fn maintain_manual_layout(control: &Arc<Control>) {
    let adopted = control.documents.layout.load_full();
    let (version, layout) = &*adopted;
    if *version == 0 {
        return;
    }
    if layout.core.is_changing() || layout.store.is_changing() {
        return finish_if_swept(control, *version).await;
    }
    if let Some(replaced) =
        replaced_disk(control, layout).filter(|_| control.acting_term().is_some())
    {
        let ReplacedDisk { lost, empty } = replaced;
        control
            .runtime
            .log(&format!("disk {lost} came back empty as {empty}"));
        // Another look at the layout tries again whatever could not be done.
        let _ = begin(control, DiskChange::Replace(lost, empty)).await;
    }
}

/// A machine that came back with another disk.
struct ReplacedDisk {
    lost: String,
    empty: String,
}

/// The first machine found that has a replica's name and an unknown disk.
fn replaced_disk(control: &Control, layout: &Layout) -> Option<ReplacedDisk> {
    control.members.view.load().values().find_map(|node| {
        let replicas = &planning::group(layout, node.role).current;
        let (lost, _) = layout.names.iter().find(|(disk, machine)| {
            **machine == node.name && replicas.contains(disk) && **disk != node.disk
        })?;
        let is_new_disk = node.role != Role::Front
            && !node.disk.is_empty()
            && !layout.names.contains_key(&node.disk);
        is_new_disk.then(|| ReplacedDisk {
            lost: lost.clone(),
            empty: node.disk.clone(),
        })
    })
}

/// Ends all changes under way in layout `planned_on` if enough outgoing replicas have swept.
async fn finish_if_swept(control: &Arc<Control>, planned_on: u64) {
    let (version, replicas) = progress(control).await;
    let swept = replicas.iter().filter(|replica| replica.is_swept).count();
    if version != planned_on || swept + control.settings.bounds.lost < replicas.len() {
        return;
    }
    let Some(term) = control.acting_term() else {
        return;
    };
    let ended = control
        .registers
        .change(LAYOUT, PUT_TIMEOUT, |version, content| {
            let Ok(mut layout) = serde_json::from_slice::<Layout>(content) else {
                return ValueUpdate::Keep(());
            };
            if version != planned_on || !control.may_write(term, layout.term) {
                return ValueUpdate::Keep(());
            }
            layout.term = term;
            for role in GROUPS_BY_URGENCY {
                if planning::group(&layout, role).is_changing() {
                    planning::end(&mut layout, version, role);
                }
            }
            ValueUpdate::Write(serde_json::to_vec(&layout).unwrap_or_default(), ())
        })
        .await;
    if ended.is_ok() {
        control.runtime.log("change of disks done");
    }
    publish_newest(control).await;
}
