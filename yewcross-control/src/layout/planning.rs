//! Decisions about the replica assignment as pure functions: which change starts, how a change in
//! progress is amended, and when it may end.
//!
//! The core replicas (voters) and the store replicas form two groups. Each changes independently, by
//! joint consensus: while a change is in progress, every decision needs a quorum of the incoming set
//! (`ReplicaGroup::current`) and a quorum of the outgoing one (`ReplicaGroup::previous`). The
//! outgoing set stays in force until the change ends, so the incoming one may be amended at any
//! time.

use yewcross_common::constants::{REPLICA_LOST_AFTER, REPLICA_MISSING_AFTER};
use yewcross_common::membership::{MemberState, Node};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, ReplicaGroup};
use yewcross_common::register::majority;

/// The groups in the order in which they are checked: the core first, since nothing can be decided
/// without its majority.
pub const GROUPS_BY_URGENCY: [Role; 2] = [Role::Core, Role::Store];

/// The state of the machines on which a change is planned.
pub struct ClusterView<'a> {
    /// Machines in the current membership.
    pub live: &'a [Node],
    /// All machines seen recently, including those that have left the membership.
    pub recently_seen: &'a [Node],
    /// Returns for how long the machine of a disk has been missing, in µs; 0 if it is not missing.
    pub missing_us: &'a dyn Fn(&str) -> u64,
    /// Number of machines with disks that may be lost at the same time.
    pub max_lost: usize,
}

/// A disk's report on a change in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaReport {
    /// The disk that reports.
    pub disk: String,
    /// Version of the newest layout that it has persisted. It rejects requests made under older
    /// layouts.
    pub persisted_layout_version: u64,
    /// Whether all its data has reached the replicas that the incoming set requires.
    pub is_swept: bool,
}

/// The layout that results from the group's next step: the start of a change, or an amendment of the
/// one in progress. `None` if no step is needed or possible yet. The step is valid only while layout
/// `version` is still the newest.
pub fn next_step(layout: &Layout, version: u64, view: &ClusterView, role: Role) -> Option<Layout> {
    if group(layout, role).is_changing() {
        amend(layout, version, view, role)
    } else {
        begin(layout, version, view, role)
    }
}

/// Number of disks out of `replicas` that may be lost: at most `max_lost`, and fewer if the group is so
/// small that two quorums would no longer intersect.
pub fn max_tolerated_losses(replicas: usize, max_lost: usize) -> usize {
    max_lost.min(replicas.saturating_sub(1) / 2)
}

/// Whether enough outgoing voters reject older layouts that a process that uses only the outgoing set
/// can no longer reach a majority of it.
pub fn core_is_joint(group: &ReplicaGroup, since: u64, reports: &[ReplicaReport]) -> bool {
    let persisted = reports
        .iter()
        .filter(|report| {
            group.previous.contains(&report.disk) && report.persisted_layout_version >= since
        })
        .count();
    let needed = majority(group.previous.len());
    persisted >= needed && group.previous.len() - persisted < needed
}

/// Whether the outgoing set of the stores is no longer needed. This takes two conditions: everything
/// written under it is on at least one disk that has completed a sweep to the incoming set, and enough
/// disks of the incoming set reject older layouts.
pub fn store_may_end(
    group: &ReplicaGroup,
    since: u64,
    max_lost: usize,
    reports: &[ReplicaReport],
) -> bool {
    let count = |set: &[String], is_counted: &dyn Fn(&ReplicaReport) -> bool| {
        reports
            .iter()
            .filter(|report| set.contains(&report.disk) && is_counted(report))
            .count()
    };
    let swept = count(&group.previous, &|report| report.is_swept);
    let persisted = count(&group.current, &|report| {
        report.persisted_layout_version >= since
    });
    swept + max_tolerated_losses(group.previous.len(), max_lost) >= group.previous.len()
        && persisted + max_tolerated_losses(group.current.len(), max_lost) >= group.current.len()
}

/// Ends the group's change: only the incoming set stays in force.
pub fn end(layout: &mut Layout, version: u64, role: Role) {
    let ended = group_mut(layout, role);
    ended.previous.clear();
    ended.layout_number = version + 1;
    remove_unassigned(layout);
}

/// Removes the names and sites of disks that are no longer in either group.
fn remove_unassigned(layout: &mut Layout) {
    let assigned: Vec<String> = all_disks(layout).cloned().collect();
    layout.names.retain(|disk, _| assigned.contains(disk));
    layout.sites.retain(|disk, _| assigned.contains(disk));
}

/// All disks of both groups, incoming and outgoing. A disk that stays during a change occurs twice.
pub fn all_disks(layout: &Layout) -> impl Iterator<Item = &String> {
    [&layout.core, &layout.store]
        .into_iter()
        .flat_map(|group| group.current.iter().chain(&group.previous))
}

/// The replica group of a role; every role except the core maps to the store group.
pub fn group(layout: &Layout, role: Role) -> &ReplicaGroup {
    if role == Role::Core {
        &layout.core
    } else {
        &layout.store
    }
}

/// Mutable variant of [`group`].
pub fn group_mut(layout: &mut Layout, role: Role) -> &mut ReplicaGroup {
    if role == Role::Core {
        &mut layout.core
    } else {
        &mut layout.store
    }
}

/// Plans a change that also removes retired machines or, if that is not possible, one that keeps them.
fn begin(layout: &Layout, version: u64, view: &ClusterView, role: Role) -> Option<Layout> {
    plan(layout, version, view, role, true).or_else(|| plan(layout, version, view, role, false))
}

/// Amends a change in progress that has lost replicas. If a joining disk is lost, the change is planned
/// again from the outgoing set; if a staying disk is lost, its replacement is added to the change.
fn amend(layout: &Layout, version: u64, view: &ClusterView, role: Role) -> Option<Layout> {
    let changing_group = group(layout, role);
    let is_lost = |disk: &String| {
        let has_new_disk = view
            .live
            .iter()
            .any(|node| node.disk != *disk && layout.names.get(disk) == Some(&node.name));
        has_new_disk || (view.missing_us)(disk) >= REPLICA_MISSING_AFTER
    };
    if !changing_group.current.iter().any(is_lost) {
        return None;
    }
    let joining_disk_is_lost = changing_group
        .current
        .iter()
        .any(|disk| !changing_group.previous.contains(disk) && is_lost(disk));
    let initial_set = if joining_disk_is_lost {
        &changing_group.previous
    } else {
        &changing_group.current
    };
    let mut stable_layout = layout.clone();
    *group_mut(&mut stable_layout, role) = ReplicaGroup {
        current: initial_set.clone(),
        previous: vec![],
        layout_number: changing_group.layout_number,
    };
    let planned = if joining_disk_is_lost {
        begin(&stable_layout, version, view, role)
    } else {
        plan(&stable_layout, version, view, role, false)
    };
    match planned {
        Some(mut next) => {
            group_mut(&mut next, role).previous = changing_group.previous.clone();
            (group(&next, role).current != changing_group.current).then_some(next)
        }
        // The outgoing set needs no change any more, so the change is cancelled.
        None if joining_disk_is_lost => {
            end(&mut stable_layout, version, role);
            Some(stable_layout)
        }
        None => None,
    }
}

/// Plans a change of a group that has no change in progress. Retired and lost replicas are replaced
/// first; then disks that are not yet replicas join.
fn plan(
    layout: &Layout,
    version: u64,
    view: &ClusterView,
    role: Role,
    may_retire: bool,
) -> Option<Layout> {
    let mut change = GroupChange::new(layout, view, role);
    if may_retire && role == Role::Store {
        change.remove_retired();
    }
    let retires = !change.leaving.is_empty();
    change.replace_returned();
    let unreplaced = change.replace_missing();
    change.remove_lost(&unreplaced);

    let current = change.resulting_set();
    let is_short = role == Role::Store && current.len() < change.min_replicas();
    let was_empty = change.replicas.is_empty();
    if current == *change.replicas || current.is_empty() || (is_short && (retires || was_empty)) {
        return None;
    }
    Some(change.into_layout(version, current))
}

/// A replica whose machine does not answer. Ordered by missing time, then by disk.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MissingReplica<'a> {
    missing_us: u64,
    disk: &'a String,
}

/// Builder of a change of one group that has no change in progress.
struct GroupChange<'a> {
    layout: &'a Layout,
    view: &'a ClusterView<'a>,
    role: Role,
    /// The group's current set.
    replicas: &'a [String],
    /// Live machines whose disks are not replicas and may become replicas.
    free: Vec<&'a Node>,
    leaving: Vec<&'a String>,
    joining: Vec<&'a Node>,
}

impl<'a> GroupChange<'a> {
    fn new(layout: &'a Layout, view: &'a ClusterView<'a>, role: Role) -> Self {
        let replicas = &group(layout, role).current;
        let is_free = |node: &&Node| {
            node.role == role
                && node.state == MemberState::Alive
                && !node.disk.is_empty()
                && !replicas.contains(&node.disk)
                && !layout.retired.contains(&node.name)
        };
        GroupChange {
            layout,
            view,
            role,
            replicas,
            free: view.live.iter().filter(is_free).collect(),
            leaving: vec![],
            joining: vec![],
        }
    }

    /// Minimum number of replicas of which a majority remains after the tolerated number of losses.
    fn min_replicas(&self) -> usize {
        2 * self.view.max_lost + 1
    }

    /// Name of the machine behind a disk; empty if unknown.
    fn machine_name(&self, disk: &str) -> &str {
        self.layout.names.get(disk).map_or("", String::as_str)
    }

    fn staying(&self) -> impl Iterator<Item = &'a String> {
        self.replicas
            .iter()
            .filter(|disk| !self.leaving.contains(disk))
    }

    fn remove_retired(&mut self) {
        self.leaving = self
            .replicas
            .iter()
            .filter(|disk| self.layout.retired.contains(self.machine_name(disk)))
            .collect();
    }

    /// Replaces the disk of each machine that returned with a new disk, under the same name or at the
    /// same address.
    fn replace_returned(&mut self) {
        for node in self.free.clone() {
            let returned = self
                .staying()
                .find(|disk| self.belonged_to(disk.as_str(), node));
            if let Some(disk) = returned {
                self.leaving.push(disk);
                self.joining.push(node);
            }
        }
    }

    /// Whether the disk belonged to the machine `node`, judged by its name or its address.
    fn belonged_to(&self, disk: &str, node: &Node) -> bool {
        let is_at_its_address = |other: &Node| other.disk == disk && other.peer == node.peer;
        self.machine_name(disk) == node.name
            || self.view.recently_seen.iter().any(is_at_its_address)
    }

    /// Replaces the replicas that have been missing longest with free disks, and adds the other free
    /// disks. Returns the missing replicas that were not replaced, in ascending order of missing time.
    fn replace_missing(&mut self) -> Vec<MissingReplica<'a>> {
        let mut missing: Vec<MissingReplica> = self
            .staying()
            .map(|disk| MissingReplica {
                missing_us: (self.view.missing_us)(disk),
                disk,
            })
            .filter(|replica| replica.missing_us > 0)
            .collect();
        missing.sort();
        let is_joining = |node: &&Node| self.joining.iter().any(|other| other.disk == node.disk);
        let free: Vec<&Node> = self
            .free
            .iter()
            .copied()
            .filter(|node| !is_joining(node))
            .collect();
        for node in free {
            match missing.pop() {
                Some(replica) if replica.missing_us >= REPLICA_MISSING_AFTER => {
                    self.leaving.push(replica.disk);
                    self.joining.push(node);
                }
                // The machine has not been missing for long and may return: the free disk is held
                // back and not added.
                Some(_) => {}
                None => self.joining.push(node),
            }
        }
        missing
    }

    /// Removes lost replicas for which there is no replacement, as long as enough replicas remain. If
    /// a lost replica stayed in the group, the next loss would exceed the tolerated number; a smaller
    /// group without it tolerates that loss.
    fn remove_lost(&mut self, unreplaced: &[MissingReplica<'a>]) {
        let mut remaining = self.replicas.len() + self.joining.len() - self.leaving.len();
        let lost = unreplaced
            .iter()
            .rev()
            .filter(|replica| replica.missing_us >= REPLICA_LOST_AFTER);
        for replica in lost {
            if remaining > self.min_replicas() {
                self.leaving.push(replica.disk);
                remaining -= 1;
            }
        }
    }

    fn resulting_set(&self) -> Vec<String> {
        let joining = self.joining.iter().map(|node| &node.disk);
        let mut current: Vec<String> = self.staying().chain(joining).cloned().collect();
        current.sort();
        current
    }

    /// Builds the layout in which this change is in progress.
    fn into_layout(self, version: u64, current: Vec<String>) -> Layout {
        let mut next = self.layout.clone();
        for node in self.joining {
            next.names.insert(node.disk.clone(), node.name.clone());
            next.sites.insert(node.disk.clone(), node.site.clone());
        }
        start_change(&mut next, version, self.role, current);
        next
    }
}

/// Starts a change of the group to the set `current`, as the successor of layout `version`.
pub(super) fn start_change(layout: &mut Layout, version: u64, role: Role, current: Vec<String>) {
    let changed = group_mut(layout, role);
    changed.previous = std::mem::replace(&mut changed.current, current);
    changed.layout_number = version + 1;
    layout.change_started = version + 1;
}
