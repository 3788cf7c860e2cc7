//! Changes of disks that an operator orders, for a tier that is kept by hand.

use super::{planning, report, spread};
use crate::Control;
use std::sync::Arc;
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::*;
use yewcross_common::register::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Move {
    Empty(String),
    Admit(String),
    Replace(String, String),
}

/// The layout that a change would begin with, `None` if it already stands; the planner asks the
/// same.
pub fn propose(
    l: &Layout,
    seq: u64,
    m: &Move,
    of: impl Fn(&str) -> Option<Node>,
) -> Result<Option<Layout>, String> {
    let mut l = l.clone();
    let seated = |d: &String| l.store.current.contains(d) || l.core.current.contains(d);
    let seat = |d: &str| {
        let by_name = l
            .names
            .iter()
            .find(|x| x.1 == d && seated(x.0))
            .map(|x| x.0.clone());
        if l.names.contains_key(d) {
            Some(d.to_string())
        } else {
            by_name
        }
    };
    let (out, put) = match m {
        Move::Empty(d) => (Some(d), None),
        Move::Admit(d) => (None, Some(d)),
        Move::Replace(a, b) => (Some(a), Some(b)),
    };
    let out = out
        .map(|d| seat(d).ok_or(format!("{d} has no seat")))
        .transpose()?;
    let put = put
        .map(|d| {
            of(d)
                .filter(|n| !n.disk.is_empty())
                .ok_or(format!("{d} is not a live machine with a disk"))
        })
        .transpose()?;
    let of_core = |d: &String| l.core.current.contains(d) || l.core.previous.contains(d);
    let core = out
        .as_ref()
        .map(of_core)
        .unwrap_or(put.as_ref().is_some_and(|n| n.role == Role::Core));
    let mut was = if core {
        l.core.current.clone()
    } else {
        l.store.current.clone()
    };
    was.sort();
    let mut now = was.clone();
    now.retain(|d| Some(d) != out.as_ref());
    now.extend(
        put.iter()
            .map(|n| n.disk.clone())
            .filter(|d| !was.contains(d)),
    );
    now.sort();
    if now == was {
        return Ok(None);
    }
    if !l.core.previous.is_empty() || !l.store.previous.is_empty() {
        return Err("another change of disks is under way".into());
    }
    if put.as_ref().is_some_and(|n| (n.role == Role::Core) != core) {
        return Err("a core seat needs a core machine, a store seat a store machine".into());
    }
    if now.len() < STORE_COPIES {
        return Err("too few disks would be left".into());
    }
    l.names
        .extend(put.iter().map(|n| (n.disk.clone(), n.name.clone())));
    l.sites
        .extend(put.iter().map(|n| (n.disk.clone(), n.site.clone())));
    let g = if core { &mut l.core } else { &mut l.store };
    g.previous = std::mem::replace(&mut g.current, now);
    g.since = seq + 1;
    l.change_started = seq + 1;
    Ok(Some(l))
}

/// Begins a change of disks. The same change asked again is no new one.
pub async fn begin(control: &Arc<Control>, m: Move) -> Result<u64, (Code, String)> {
    let view = control.members.view.load_full();
    let of = |d: &str| view.values().find(|n| n.disk == d || n.name == d).cloned();
    let got = control
        .registers
        .change("layout", PUT_WAIT, |seq, v| {
            let Ok(l) = serde_json::from_slice::<Layout>(v) else {
                return Step::Keep(Err((Code::NotFounded, String::new())));
            };
            match propose(&l, seq, &m, of) {
                Err(why) => Step::Keep(Err((Code::BadLayout, why))),
                Ok(None) => Step::Keep(Ok(seq)),
                Ok(Some(n)) => Step::Write(serde_json::to_vec(&n).unwrap_or_default(), Ok(seq + 1)),
            }
        })
        .await;
    let r = got.unwrap_or_else(|t| {
        Err((
            if t == ChangeError::Undecided {
                Code::Undecided
            } else {
                Code::NoMajority
            },
            String::new(),
        ))
    });
    spread(control).await;
    r
}

/// Of each outgoing seat of the changes under way: whether it has kept this layout and found all
/// its keys whole under it, and how many it has yet to bring.
pub async fn progress(control: &Arc<Control>) -> (u64, Vec<(String, bool, u64)>) {
    let l = control.documents.layout.load_full();
    let mut filled = vec![];
    for role in planning::IN_ORDER_OF_DANGER {
        let seats = planning::group(&l.1, role);
        for disk in &seats.previous {
            let told = report::ask(control, disk, l.1.since(seats, l.0), SEAT_REPORT_WAIT).await;
            filled.push(told.map_or((disk.clone(), false, 0), |(r, left)| {
                (r.disk, r.swept, left)
            }));
        }
    }
    (l.0, filled)
}

/// The layout duty: finishes changes, and replaces the disk of a machine that came back empty.
pub async fn tend_layout(control: &Arc<Control>) {
    let l = control.documents.layout.load_full();
    if l.0 == 0 {
        return;
    }
    if l.1.core.previous.is_empty() && l.1.store.previous.is_empty() {
        let back = control.members.view.load().values().find_map(|n| {
            let seats = if n.role == Role::Core {
                &l.1.core.current
            } else {
                &l.1.store.current
            };
            let lost =
                l.1.names
                    .iter()
                    .find(|x| *x.1 == n.name && seats.contains(x.0) && *x.0 != n.disk)?
                    .0
                    .clone();
            (n.role != Role::Front && !n.disk.is_empty() && !l.1.names.contains_key(&n.disk))
                .then(|| (lost, n.disk.clone()))
        });
        if let Some((a, b)) = back.filter(|_| control.duty_term().is_some()) {
            control
                .runtime
                .log(&format!("disk {a} came back empty as {b}"));
            let _ = begin(control, Move::Replace(a, b)).await;
        }
        return;
    }
    let (at, v) = progress(control).await;
    let done = v.iter().filter(|x| x.1).count();
    if at != l.0 || done + control.settings.bounds.lost < v.len() {
        return;
    }
    let Some(term) = control.duty_term() else {
        return;
    };
    let got = control
        .registers
        .change("layout", PUT_WAIT, |seq, v| {
            let Ok(mut l) = serde_json::from_slice::<Layout>(v) else {
                return Step::Keep(());
            };
            if seq != at || !control.may_write(term, l.term) {
                return Step::Keep(());
            }
            l.term = term;
            for role in planning::IN_ORDER_OF_DANGER {
                if planning::group(&l, role).is_changing() {
                    planning::end(&mut l, seq, role);
                }
            }
            Step::Write(serde_json::to_vec(&l).unwrap_or_default(), ())
        })
        .await;
    if got.is_ok() {
        control.runtime.log("change of disks done");
    }
    spread(control).await;
}
