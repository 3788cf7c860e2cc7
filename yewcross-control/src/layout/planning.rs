//! Decisions about the replica assignment as pure functions: which change begins, how a change under
//! way is amended, and when it may end.
//!
//! The core replicas (voters) and the store replicas form two groups. Each changes through joint
//! groups by itself: while a change is under way, every decision needs a quorum of the incoming set
//! (`ReplicaGroup::current`) and a quorum of the outgoing one (`ReplicaGroup::previous`). The
//! outgoing set stays in force until the change ends, so the incoming one may be amended at any
//! time.

use yewcross_common::constants::{REPLICA_LOST_AFTER, REPLICA_MISSING_AFTER};
use yewcross_common::membership::{MemberState, Node};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, ReplicaGroup};
use yewcross_common::register::majority;

/// The groups in the order in which they are looked at: the core first, since nothing can be decided
/// without its majority.
pub const GROUPS_BY_URGENCY: [Role; 2] = [Role::Core, Role::Store];

/// What is known of the machines when a change is planned.
pub struct ClusterView<'a> {
    /// Machines that answer.
    pub live: &'a [Node],
    /// All machines heard of lately, also those that are gone.
    pub recently_seen: &'a [Node],
    /// How long the machine of a disk has been missing, in us; 0 if it is not.
    pub missing_us: &'a dyn Fn(&str) -> u64,
    /// How many machines with disks may be lost at once.
    pub max_lost: usize,
}

/// A disk's report of a change.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaReport {
    /// The disk that reports.
    pub disk: String,
    /// Version of the newest layout that it has persisted. It rejects requests by older layouts.
    pub persisted_layout_version: u64,
    /// Whether all that it stores has reached the replicas that the incoming set requires.
    pub is_swept: bool,
}

/// The layout that the group's next step leads to: the beginning of a change, or an amendment of
/// the one under way. `None` if there is nothing to do, or nothing yet. The step is valid only while
/// layout `version` is still the newest.
pub fn next_step(layout: &Layout, version: u64, view: &ClusterView, role: Role) -> Option<Layout> {
    if group(layout, role).is_changing() {
        amend(layout, version, view, role)
    } else {
        begin(layout, version, view, role)
    }
}

/// How many of `replicas` disks may be lost: at most `lost`, and fewer where the group is so small
/// that two quorums would no longer intersect.
pub fn max_tolerated_losses(replicas: usize, lost: usize) -> usize {
    lost.min(replicas.saturating_sub(1) / 2)
}

/// Whether so many outgoing voters reject older layouts that nobody who knows only the outgoing set
/// can find a majority of it any more.
pub fn core_is_joint(group: &ReplicaGroup, since: u64, reports: &[ReplicaReport]) -> bool {
    let kept = reports
        .iter()
        .filter(|report| {
            group.previous.contains(&report.disk) && report.persisted_layout_version >= since
        })
        .count();
    let needed = majority(group.previous.len());
    kept >= needed && group.previous.len() - kept < needed
}

/// Whether the outgoing set of the stores is no longer needed. Two conditions: everything written
/// under it is on at least one disk that has swept to the incoming set, and enough of the incoming
/// set reject older layouts.
pub fn store_may_end(
    group: &ReplicaGroup,
    since: u64,
    lost: usize,
    reports: &[ReplicaReport],
) -> bool {
    let count = |set: &[String], counts: &dyn Fn(&ReplicaReport) -> bool| {
        reports
            .iter()
            .filter(|report| set.contains(&report.disk) && counts(report))
            .count()
    };
    let swept = count(&group.previous, &|report| report.is_swept);
    let kept = count(&group.current, &|report| {
        report.persisted_layout_version >= since
    });
    swept + max_tolerated_losses(group.previous.len(), lost) >= group.previous.len()
        && kept + max_tolerated_losses(group.current.len(), lost) >= group.current.len()
}

/// Ends the group's change: only the incoming set stays in force.
pub fn end(layout: &mut Layout, version: u64, role: Role) {
    let ended = group_mut(layout, role);
    ended.previous.clear();
    ended.since = version + 1;
    forget_unassigned(layout);
}

/// Drops names and sites of disks that are in neither group any more.
fn forget_unassigned(layout: &mut Layout) {
    let assigned: Vec<String> = all_disks(layout).cloned().collect();
    layout.names.retain(|disk, _| assigned.contains(disk));
    layout.sites.retain(|disk, _| assigned.contains(disk));
}

/// Every disk that is a replica of either group, incoming or outgoing.
pub fn all_disks(layout: &Layout) -> impl Iterator<Item = &String> {
    [&layout.core, &layout.store]
        .into_iter()
        .flat_map(|group| group.current.iter().chain(&group.previous))
}

/// The replica group of a role; any role but the core has the stores' group.
pub fn group(layout: &Layout, role: Role) -> &ReplicaGroup {
    if role == Role::Core {
        &layout.core
    } else {
        &layout.store
    }
}

/// As [`group`], to be changed.
pub fn group_mut(layout: &mut Layout, role: Role) -> &mut ReplicaGroup {
    if role == Role::Core {
        &mut layout.core
    } else {
        &mut layout.store
    }
}

/// Retires machines if that is possible at all, and else plans without.
fn begin(layout: &Layout, version: u64, view: &ClusterView, role: Role) -> Option<Layout> {
    plan(layout, version, view, role, true).or_else(|| plan(layout, version, view, role, false))
}

/// Amends a change under way that lost replicas. If an incoming disk is lost, the change is planned
/// anew from the outgoing set; if a disk that was to stay is lost, its successor joins the change.
fn amend(layout: &Layout, version: u64, view: &ClusterView, role: Role) -> Option<Layout> {
    let under_way = group(layout, role);
    let is_lost = |disk: &String| {
        let came_back_empty = view
            .live
            .iter()
            .any(|node| node.disk != *disk && layout.names.get(disk) == Some(&node.name));
        came_back_empty || (view.missing_us)(disk) >= REPLICA_MISSING_AFTER
    };
    if !under_way.current.iter().any(is_lost) {
        return None;
    }
    let newcomer_is_lost = under_way
        .current
        .iter()
        .any(|disk| !under_way.previous.contains(disk) && is_lost(disk));
    let base = if newcomer_is_lost {
        &under_way.previous
    } else {
        &under_way.current
    };
    let mut settled = layout.clone();
    *group_mut(&mut settled, role) = ReplicaGroup {
        current: base.clone(),
        previous: vec![],
        since: under_way.since,
    };
    let planned = if newcomer_is_lost {
        begin(&settled, version, view, role)
    } else {
        plan(&settled, version, view, role, false)
    };
    match planned {
        Some(mut next) => {
            group_mut(&mut next, role).previous = under_way.previous.clone();
            (group(&next, role).current != under_way.current).then_some(next)
        }
        // The outgoing set alone needs no change any more.
        None if newcomer_is_lost => {
            end(&mut settled, version, role);
            Some(settled)
        }
        None => None,
    }
}

/// A change from a settled group. Retired and lost replicas are replaced first; then disks that are
/// no replicas yet join.
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
    let is_short = role == Role::Store && current.len() < change.fewest();
    let was_empty = change.replicas.is_empty();
    if current == *change.replicas || current.is_empty() || (is_short && (retires || was_empty)) {
        return None;
    }
    Some(change.into_layout(version, current))
}

/// A replica whose machine does not answer. The order is by time, then by disk.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MissingReplica<'a> {
    missing_us: u64,
    disk: &'a String,
}

/// A change of one settled group while it is put together.
struct GroupChange<'a> {
    layout: &'a Layout,
    view: &'a ClusterView<'a>,
    role: Role,
    /// The group as it is.
    replicas: &'a [String],
    /// Live machines whose disks are no replicas and may become ones.
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

    /// Fewest replicas with which as many losses as are tolerated leave a majority.
    fn fewest(&self) -> usize {
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

    /// Replaces the disk of each machine that came back empty, under its name or at its address.
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

    fn belonged_to(&self, disk: &str, node: &Node) -> bool {
        let is_at_its_address = |other: &Node| other.disk == disk && other.peer == node.peer;
        self.machine_name(disk) == node.name
            || self.view.recently_seen.iter().any(is_at_its_address)
    }

    /// Replaces the replicas missing longest by free disks, and lets the other free disks join.
    /// Returns the missing replicas that no disk was left for, in ascending order of time.
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
                // Its machine may be back in a moment: the free disk waits for that.
                Some(_) => {}
                None => self.joining.push(node),
            }
        }
        missing
    }

    /// Removes lost replicas that no disk replaces, while enough remain. Kept in the group, a lost
    /// replica would make the next loss one too many; a smaller group bears that loss.
    fn remove_lost(&mut self, unreplaced: &[MissingReplica<'a>]) {
        let mut remaining = self.replicas.len() + self.joining.len() - self.leaving.len();
        let lost = unreplaced
            .iter()
            .rev()
            .filter(|replica| replica.missing_us >= REPLICA_LOST_AFTER);
        for replica in lost {
            if remaining > self.fewest() {
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

    /// The layout in which this change is under way.
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

/// Puts a change to the set `current` under way, on top of layout `version`.
pub(super) fn start_change(layout: &mut Layout, version: u64, role: Role, current: Vec<String>) {
    let changed = group_mut(layout, role);
    changed.previous = std::mem::replace(&mut changed.current, current);
    changed.since = version + 1;
    layout.change_started = version + 1;
}
