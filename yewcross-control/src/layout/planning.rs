//! Decisions about seats as pure functions: which change begins, how one under way is amended, and
//! when it may end.
//!
//! The seats of the core and of the stores form two groups. Each goes through joint sets by itself:
//! while a change is under way, whatever is decided needs enough of the incoming set (`now`) and
//! enough of the outgoing one (`old`). The outgoing set stays in force until the change ends, so
//! the incoming one may be amended at any time.

use yewcross_common::constants::{SEAT_LOST, SEAT_MISSING};
use yewcross_common::membership::{MemberState, Node};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, ReplicaGroup};
use yewcross_common::register::majority;

/// The core first: nothing can be decided without its majority.
pub const IN_ORDER_OF_DANGER: [Role; 2] = [Role::Core, Role::Store];

/// What is known of the machines when seats are planned.
pub struct Known<'a> {
    /// Machines that answer.
    pub live: &'a [Node],
    /// All that were heard of lately, the gone among them.
    pub heard: &'a [Node],
    /// us that the machine of a seat has been missing.
    pub missing: &'a dyn Fn(&str) -> u64,
    /// Disk machines that may be lost at once.
    pub lost: usize,
}

/// What a disk says of a change: the newest layout that it keeps, and whether all that it held is
/// where the incoming set needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct SeatReport {
    pub disk: String,
    pub kept: u64,
    pub swept: bool,
}

/// The layout that the group's next step leads to: the beginning of a change, or an amendment of
/// the one under way. `None` where nothing is to be done, or nothing yet. It takes effect only if
/// layout number `seq` is still the newest.
pub fn next_step(layout: &Layout, seq: u64, known: &Known, role: Role) -> Option<Layout> {
    match group(layout, role).previous.is_empty() {
        true => begin(layout, seq, known, role),
        false => amend(layout, seq, known, role),
    }
}

/// Disks of so many seats that may be lost: fewer where there are too few for two quorums to meet.
pub fn tolerated(seats: usize, lost: usize) -> usize {
    lost.min(seats.saturating_sub(1) / 2)
}

/// Whether so many outgoing core seats refuse older layouts that no majority of them is left for
/// anyone who knows only the outgoing set.
pub fn core_is_joint(group: &ReplicaGroup, since: u64, reports: &[SeatReport]) -> bool {
    let kept = reports
        .iter()
        .filter(|r| group.previous.contains(&r.disk) && r.kept >= since)
        .count();
    kept >= majority(group.previous.len())
        && group.previous.len() - kept < majority(group.previous.len())
}

/// Whether the stores' outgoing set is no longer needed: whatever was written under it is on one of
/// these at least, and they brought what they held to the incoming set; and enough of that set
/// refuse older layouts.
pub fn store_may_end(
    group: &ReplicaGroup,
    since: u64,
    lost: usize,
    reports: &[SeatReport],
) -> bool {
    let count = |set: &[String], ok: &dyn Fn(&SeatReport) -> bool| {
        reports
            .iter()
            .filter(|r| set.contains(&r.disk) && ok(r))
            .count()
    };
    let swept = count(&group.previous, &|r| r.swept);
    let kept = count(&group.current, &|r| r.kept >= since);
    swept + tolerated(group.previous.len(), lost) >= group.previous.len()
        && kept + tolerated(group.current.len(), lost) >= group.current.len()
}

/// Ends the group's change: only the incoming set stays in force.
pub fn end(layout: &mut Layout, seq: u64, role: Role) {
    let ended = group_mut(layout, role);
    ended.previous.clear();
    ended.since = seq + 1;
    forget_unseated(layout);
}

fn forget_unseated(layout: &mut Layout) {
    let seated: Vec<String> = [&layout.core, &layout.store]
        .into_iter()
        .flat_map(|g| g.current.iter().chain(&g.previous))
        .cloned()
        .collect();
    layout.names.retain(|disk, _| seated.contains(disk));
    layout.sites.retain(|disk, _| seated.contains(disk));
}

pub fn group(layout: &Layout, role: Role) -> &ReplicaGroup {
    if role == Role::Core {
        &layout.core
    } else {
        &layout.store
    }
}

pub fn group_mut(layout: &mut Layout, role: Role) -> &mut ReplicaGroup {
    if role == Role::Core {
        &mut layout.core
    } else {
        &mut layout.store
    }
}

fn begin(layout: &Layout, seq: u64, known: &Known, role: Role) -> Option<Layout> {
    plan(layout, seq, known, role, true).or_else(|| plan(layout, seq, known, role, false))
}

/// A change under way whose seats were lost. Where a newcomer is gone it is planned anew from the
/// outgoing set; where a seat that was to stay is lost, its successor is taken into the change.
fn amend(layout: &Layout, seq: u64, known: &Known, role: Role) -> Option<Layout> {
    let under_way = group(layout, role);
    let is_lost = |disk: &String| {
        let came_back = known
            .live
            .iter()
            .any(|n| n.disk != *disk && layout.names.get(disk) == Some(&n.name));
        came_back || (known.missing)(disk) >= SEAT_MISSING
    };
    if !under_way.current.iter().any(is_lost) {
        return None;
    }
    let newcomer_is_lost = under_way
        .current
        .iter()
        .any(|d| !under_way.previous.contains(d) && is_lost(d));
    let base = if newcomer_is_lost {
        &under_way.previous
    } else {
        &under_way.current
    };
    let mut from = layout.clone();
    *group_mut(&mut from, role) = ReplicaGroup {
        current: base.clone(),
        previous: vec![],
        since: under_way.since,
    };
    let planned = if newcomer_is_lost {
        begin(&from, seq, known, role)
    } else {
        plan(&from, seq, known, role, false)
    };
    match planned {
        Some(mut next) => {
            group_mut(&mut next, role).previous = under_way.previous.clone();
            (group(&next, role).current != under_way.current).then_some(next)
        }
        None if newcomer_is_lost => {
            end(&mut from, seq, role);
            Some(from)
        }
        None => None,
    }
}

/// A change from a settled group: retired and lost seats first, then seats for disks that have
/// none.
fn plan(layout: &Layout, seq: u64, known: &Known, role: Role, retire: bool) -> Option<Layout> {
    let seats = &group(layout, role).current;
    let free: Vec<&Node> = known
        .live
        .iter()
        .filter(|n| n.role == role && n.state == MemberState::Alive && !n.disk.is_empty())
        .filter(|n| !seats.contains(&n.disk) && !layout.retired.contains(&n.name))
        .collect();
    let name = |disk: &String| layout.names.get(disk).cloned().unwrap_or_default();
    let mut leaving: Vec<&String> = seats
        .iter()
        .filter(|d| retire && role == Role::Store && layout.retired.contains(&name(d)))
        .collect();
    let retires = !leaving.is_empty();
    let mut joining: Vec<&Node> = vec![];
    // A machine that came back empty, under its name or at its address.
    for node in &free {
        let was_here = |d: &&String| {
            name(d) == node.name
                || known
                    .heard
                    .iter()
                    .any(|h| h.disk == **d && h.peer == node.peer)
        };
        if let Some(disk) = seats.iter().find(|d| !leaving.contains(d) && was_here(d)) {
            leaving.push(disk);
            joining.push(node);
        }
    }
    let mut missing: Vec<(u64, &String)> = seats
        .iter()
        .filter(|d| !leaving.contains(d))
        .map(|d| ((known.missing)(d), d))
        .filter(|x| x.0 > 0)
        .collect();
    missing.sort();
    for node in free
        .iter()
        .filter(|n| !joining.iter().any(|j| j.disk == n.disk))
        .collect::<Vec<_>>()
    {
        match missing.pop() {
            Some((us, disk)) if us >= SEAT_MISSING => {
                leaving.push(disk);
                joining.push(node);
            }
            // It may be back in a moment.
            Some(_) => {}
            None => joining.push(node),
        }
    }
    // With a seat that nobody takes, a further loss would be one too many: fewer seats bear it.
    let fewest = 2 * known.lost + 1;
    let mut left = seats.len() + joining.len() - leaving.len();
    for (_, disk) in missing.iter().rev().filter(|x| x.0 >= SEAT_LOST) {
        if left > fewest {
            leaving.push(disk);
            left -= 1;
        }
    }
    let mut now: Vec<String> = seats
        .iter()
        .filter(|d| !leaving.contains(d))
        .cloned()
        .collect();
    now.extend(joining.iter().map(|n| n.disk.clone()));
    now.sort();
    let short = role == Role::Store && now.len() < fewest;
    if now == *seats || now.is_empty() || (short && (retires || seats.is_empty())) {
        return None;
    }
    let mut next = layout.clone();
    next.names
        .extend(joining.iter().map(|n| (n.disk.clone(), n.name.clone())));
    next.sites
        .extend(joining.iter().map(|n| (n.disk.clone(), n.site.clone())));
    let changed = group_mut(&mut next, role);
    changed.previous = std::mem::replace(&mut changed.current, now);
    changed.since = seq + 1;
    next.change_started = seq + 1;
    Some(next)
}
