//! The duty of keeping the seats of a tier that has no operator's hand.
//!
//! The core's and the stores' changes run beside each other: one may begin, be amended and end
//! while the other is under way. A step that begins or amends is bound to the layout's version, one
//! that ends to the group's sets (`ReplicaGroup::since`), and every step to the term of the duty
//! lease under which it was planned.

use super::planning::{self, IN_ORDER_OF_DANGER, Known, SeatReport, group};
use super::report::survey;
use crate::{Control, config};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DOCS;
use yewcross_common::membership::{MemberState, Node};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::*;
use yewcross_common::register::Ballot;
use yewcross_common::register::Step;

/// Layout and its version.
type Versioned = Arc<(u64, Layout)>;

/// Looks once at the seats and does the next step of each group. Returns how long to rest if
/// nothing moves, us.
pub async fn tend_seats(c: &Arc<Control>) -> u64 {
    let l: Versioned = c.documents.layout.load_full();
    if l.0 == 0 || !c.founded.load(SeqCst) {
        return SEC;
    }
    let live: Vec<Node> = c.members.view.load().values().cloned().collect();
    let missing_since = note_missing(c, &l.1, &live);
    let mut rest = if missing_since.is_empty() {
        SEC
    } else {
        SEATS_LOOK
    };
    for role in IN_ORDER_OF_DANGER {
        let next = {
            let t = c.runtime.now();
            let missing = |d: &str| missing_since.get(d).map_or(0, |since| (t - since).max(1));
            let known = Known {
                live: &live,
                heard: &c.members.all(),
                missing: &missing,
                lost: c.settings.bounds.lost,
            };
            planning::next_step(&l.1, l.0, &known, role)
        };
        let Some(next) = next else { continue };
        match held_back(c, &l, &next, role, &live).await {
            Some(us) => rest = rest.min(us),
            None => {
                return if decide(c, l.0, &next).await {
                    0
                } else {
                    rest.min(STEP_AGAIN)
                };
            }
        }
    }
    if !l.1.core.is_changing() && !l.1.store.is_changing() {
        return rest;
    }
    if end_changes(c, &l).await {
        0
    } else {
        rest.min(MOVE_LOOK)
    }
}

/// Since when the machine of each seat, incoming or outgoing, is missing, us.
fn note_missing(control: &Control, layout: &Layout, live: &[Node]) -> BTreeMap<String, u64> {
    let t = control.runtime.now();
    let is_here = |disk: &String| {
        live.iter()
            .any(|n| n.disk == *disk && n.state == MemberState::Alive)
    };
    let seats: Vec<&String> = [&layout.core, &layout.store]
        .into_iter()
        .flat_map(|g| g.current.iter().chain(&g.previous))
        .collect();
    let mut missing = control.duties.missing.lock().unwrap();
    missing.retain(|disk, _| seats.contains(&disk) && !is_here(disk));
    for disk in seats.into_iter().filter(|d| !is_here(d)) {
        missing.entry(disk.clone()).or_insert(t);
    }
    missing.clone()
}

/// How long a step must wait, us: for more of the first stores, or for a seat that does not answer.
async fn held_back(
    control: &Arc<Control>,
    l: &Versioned,
    next: &Layout,
    role: Role,
    live: &[Node],
) -> Option<u64> {
    let (was, to) = (group(&l.1, role), group(next, role));
    if was.is_changing() {
        return None;
    }
    if was.current.is_empty() {
        // The first stores are seated together.
        let stores = live
            .iter()
            .filter(|n| n.role == Role::Store && n.state == MemberState::Alive)
            .count();
        let early = role == Role::Store
            && stores > 0
            && control.runtime.now() < control.duties.since.load(SeqCst) + FOUND_WAIT;
        return early.then_some(STEP_AGAIN);
    }
    if to.current.len() <= was.current.len() {
        return None;
    }
    // A seat more is given only while all that keep theirs answer: a newcomer may stand for one
    // whose loss is not yet seen.
    let staying: Vec<String> = was
        .current
        .iter()
        .filter(|d| to.current.contains(d))
        .cloned()
        .collect();
    let reports = survey(
        control,
        &staying,
        l.1.since(was, l.0),
        SEAT_REPORT_WAIT,
        |_| false,
    )
    .await;
    let mute: Vec<&String> = staying
        .iter()
        .filter(|d| !reports.iter().any(|r| r.disk == **d))
        .collect();
    if mute.is_empty() {
        return None;
    }
    let t = control.runtime.now();
    for disk in &mute {
        control
            .duties
            .missing
            .lock()
            .unwrap()
            .entry(disk.to_string())
            .or_insert(t);
    }
    for node in mute
        .iter()
        .filter_map(|d| control.members.by_disk(d))
        .collect::<Vec<_>>()
    {
        control.members.clone().probe_or_suspect(node).await;
    }
    Some(STEP_AGAIN / 2)
}

/// Decides a layout on top of version `at`, and tells all of it.
async fn decide(c: &Arc<Control>, at: u64, next: &Layout) -> bool {
    let Some(term) = c.duty_term() else {
        return false;
    };
    let written = next.term;
    let next = &Layout {
        term,
        ..next.clone()
    };
    let raw = serde_json::to_vec(next).unwrap_or_default();
    let may = |seq| seq == at && c.may_write(term, written);
    let step = |seq, _: &[u8]| {
        if may(seq) {
            Step::Write(raw.clone(), true)
        } else {
            Step::Keep(false)
        }
    };
    let decided = c.registers.change("layout", STEP_WAIT, step).await;
    match decided {
        Ok(true) => {
            c.runtime.log(&format!(
                "seats change: core {:?} store {:?}",
                machines(next, &next.core),
                machines(next, &next.store)
            ));
            config::push(c, "layout", at + 1, raw);
        }
        // Another's version, or one of ours whose answers were lost.
        _ => learn(c).await,
    }
    decided == Ok(true)
}

fn machines(layout: &Layout, seats: &ReplicaGroup) -> String {
    let names: Vec<&str> = seats
        .current
        .iter()
        .map(|d| layout.names.get(d).map_or("?", |n| n.as_str()))
        .collect();
    names.join(" ")
}

/// Ends the changes that may end, each by itself.
async fn end_changes(c: &Arc<Control>, l: &Versioned) -> bool {
    let core = async { l.1.core.is_changing() && end_core(c, l).await };
    let store = async { l.1.store.is_changing() && end_store(c, l).await };
    let (core, store) = futures_lite::future::zip(core, store).await;
    core || store
}

/// Once whoever decides does so in both sets, a document that majorities of both hold alike needs
/// no more; any other is taken, and so written to both.
async fn end_core(c: &Arc<Control>, l: &Versioned) -> bool {
    let (seats, since) = (&l.1.core, l.1.since(&l.1.core, l.0));
    let known = seats
        .previous
        .iter()
        .filter(|d| c.members.by_disk(d).is_some())
        .count();
    let is_joint = |reports: &[SeatReport]| planning::core_is_joint(seats, since, reports);
    let reports = survey(c, &seats.previous, since, SEAT_REPORT_WAIT, |r| {
        r.len() == known && is_joint(r)
    })
    .await;
    if !is_joint(&reports) {
        tell_again(c, &reports, since);
        return false;
    }
    for document in DOCS {
        if is_on_both(c, document, seats, since, &reports).await {
            continue;
        }
        if c.duty_term().is_none()
            || c.registers
                .change(document, SEC, |_, _| Step::Keep(()))
                .await
                .is_err()
        {
            return false;
        }
    }
    end_change(c, Role::Core, since).await
}

/// Whether majorities of both sets hold the document alike. Of the outgoing set only disks count
/// that had kept the joint layout before: what was decided without the incoming set, they had
/// accepted by then. So operators' orders go on undisturbed.
async fn is_on_both(
    control: &Arc<Control>,
    document: &str,
    seats: &ReplicaGroup,
    since: u64,
    reports: &[SeatReport],
) -> bool {
    let may_vote = |disk: &str| {
        let has_kept = reports.iter().any(|r| r.disk == disk && r.kept >= since);
        has_kept || !seats.previous.iter().any(|d| d == disk)
    };
    for look in 0..READ_LOOKS {
        if look > 0 {
            control.runtime.sleep(READ_LOOK_AGAIN).await;
        }
        if control
            .runtime
            .timeout(
                SEAT_REPORT_WAIT,
                control.registers.is_settled(document, may_vote),
            )
            .await
            == Some(true)
        {
            return true;
        }
    }
    false
}

async fn end_store(control: &Arc<Control>, l: &Versioned) -> bool {
    let (seats, since) = (&l.1.store, l.1.since(&l.1.store, l.0));
    let both: Vec<String> = seats
        .previous
        .iter()
        .chain(seats.current.iter().filter(|d| !seats.previous.contains(d)))
        .cloned()
        .collect();
    let may_end = |reports: &[SeatReport]| {
        planning::store_may_end(seats, since, control.settings.bounds.lost, reports)
    };
    let reports = survey(control, &both, since, SEAT_REPORT_WAIT, may_end).await;
    if !may_end(&reports) {
        tell_again(control, &reports, since);
        return false;
    }
    end_change(control, Role::Store, since).await
}

/// Tells the layout to those that have not kept it.
fn tell_again(control: &Arc<Control>, reports: &[SeatReport], since: u64) {
    let page = control.documents.document("layout");
    for node in reports
        .iter()
        .filter(|r| r.kept < since)
        .filter_map(|r| control.members.by_disk(&r.disk))
    {
        let (me, raw) = (control.clone(), page.content.clone());
        let told = PeerRequest::PublishDocument {
            name: "layout".into(),
            version: page.version,
            epoch: Ballot::default(),
            relays: vec![],
        };
        control.runtime.spawn(async move {
            let _ = me.peers.request(node.peer, &told, &raw, PEER_WAIT).await;
        });
    }
}

/// Learns the newest layout after a step that could not be done.
async fn learn(control: &Arc<Control>) {
    if !super::catch_up(control).await {
        super::spread(control).await;
    }
}

/// Ends the change that layout number `since` began, whatever the other group did meanwhile.
async fn end_change(control: &Arc<Control>, role: Role, since: u64) -> bool {
    let Some(term) = control.duty_term() else {
        return false;
    };
    let ended = control
        .registers
        .change("layout", STEP_WAIT, |seq, v| {
            let Ok(mut layout) = serde_json::from_slice::<Layout>(v) else {
                return Step::Keep(None);
            };
            let seats = group(&layout, role);
            if !seats.is_changing()
                || layout.since(seats, seq) != since
                || !control.may_write(term, layout.term)
            {
                return Step::Keep(None);
            }
            layout.term = term;
            planning::end(&mut layout, seq, role);
            let raw = serde_json::to_vec(&layout).unwrap_or_default();
            Step::Write(raw.clone(), Some((seq + 1, raw)))
        })
        .await;
    match ended {
        Ok(Some((seq, raw))) => {
            control.runtime.log(&format!(
                "change of {} disks done",
                if role == Role::Core { "core" } else { "store" }
            ));
            config::push(control, "layout", seq, raw);
            true
        }
        _ => {
            learn(control).await;
            false
        }
    }
}
