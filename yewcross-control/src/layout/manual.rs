//! Disk changes requested by an operator, in a tier that is maintained manually.

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

/// A change of disks. A disk is given by its identity or by the name of its machine.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskChange {
    /// Removes a replica after its data has been transferred to others.
    Remove(String),
    /// Adds a replica.
    Add(String),
    /// Replaces the first disk with the second.
    Replace(String, String),
}

/// Transfer progress of an outgoing replica during a change. Encoded for operators as a JSON array of
/// three elements.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, bool, u64)")]
pub struct ReplicaProgress {
    /// Identity of the disk.
    pub disk: String,
    /// Whether all its data has reached the incoming set.
    pub is_swept: bool,
    /// Number of keys that it still has to transfer.
    pub keys_left: u64,
}

impl From<ReplicaProgress> for (String, bool, u64) {
    fn from(progress: ReplicaProgress) -> Self {
        (progress.disk, progress.is_swept, progress.keys_left)
    }
}

/// Builds the layout that starts a change of disks; `None` if the assignment already matches the
/// change. `node_of` finds a live machine by its name or its disk. The capacity planner uses this
/// function as well.
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
        .map(|requested| {
            replica_disk(layout, requested).ok_or_else(|| DiskChangeError::NotAReplica {
                disk: requested.clone(),
            })
        })
        .transpose()?;
    let added = added
        .map(|requested| {
            node_of(requested)
                .filter(|node| !node.disk.is_empty())
                .ok_or_else(|| DiskChangeError::NotLive {
                    disk: requested.clone(),
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

/// Resolves a disk identity or the name of a replica's machine to the disk.
fn replica_disk(layout: &Layout, requested: &str) -> Option<String> {
    if layout.names.contains_key(requested) {
        return Some(requested.to_string());
    }
    let is_replica =
        |disk: &String| layout.store.current.contains(disk) || layout.core.current.contains(disk);
    layout
        .names
        .iter()
        .find(|(disk, machine)| *machine == requested && is_replica(disk))
        .map(|(disk, _)| disk.clone())
}

/// The role whose group changes: the one of the removed disk, or else of the added machine.
fn changed_role(layout: &Layout, removed: Option<&String>, added: Option<&Node>) -> Role {
    let is_core = match removed {
        Some(disk) => layout.core.current.contains(disk) || layout.core.previous.contains(disk),
        None => added.is_some_and(|node| node.role == Role::Core),
    };
    if is_core { Role::Core } else { Role::Store }
}

/// Starts a change of disks and returns the version of the layout that contains it. Repeating a
/// request for a change that has already started does not start it again.
pub async fn begin(control: &Arc<Control>, change: DiskChange) -> Result<u64, LayoutError> {
    let view = control.members.view.load_full();
    let node_of = |requested: &str| {
        view.values()
            .find(|node| node.disk == requested || node.name == requested)
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
        Ok(started) => started,
        Err(ChangeError::Undecided) => Err(LayoutError::ChangeUndecided),
        Err(ChangeError::NotApplied | ChangeError::NotProposer) => Err(LayoutError::NoMajority),
    }
}

/// The version of the layout and the progress of each outgoing replica of the changes in progress. A
/// replica that does not answer counts as not swept.
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
                report::request_report(control, disk, adopted.since(role), SWEEP_REPORT_TIMEOUT)
                    .await;
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

/// Checks the layout once: ends changes that may end or, if none is in progress, starts to replace the
/// disk of a machine that returned with an empty one.
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
        control.runtime.log(&format!(
            "replacing lost disk {lost} with the new empty disk {empty} of the same machine"
        ));
        // An error needs no handling: the next check of the layout retries the replacement.
        let _ = begin(control, DiskChange::Replace(lost, empty)).await;
    }
}

/// The old and the new disk of a machine that returned with another disk.
struct ReplacedDisk {
    lost: String,
    empty: String,
}

/// Finds a machine with the name of a replica's machine and a disk that is not in the layout.
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

/// Ends all changes in progress in layout `base_version` if enough outgoing replicas have swept.
async fn finish_if_swept(control: &Arc<Control>, base_version: u64) {
    let (version, replicas) = progress(control).await;
    let swept = replicas.iter().filter(|replica| replica.is_swept).count();
    if version != base_version || swept + control.settings.bounds.lost < replicas.len() {
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
            if version != base_version || !control.may_write(term, layout.term) {
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
        control.runtime.log("replica assignment change completed");
    }
    publish_newest(control).await;
}
