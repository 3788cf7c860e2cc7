//! How soon requests are served again after a fault.

use crate::caller::{Heard, Seen};
use crate::proof::evidence::Evidence;
use std::collections::BTreeMap;
use yewcross_common::constants::{MS, SEC};

/// Done; or told that its twin, asked at another front at the same time, is running, and that one
/// was done; or told of a budget that is small enough to run out, or of a service while it is
/// withdrawn.
pub(super) fn served(e: &Evidence, s: &Seen) -> bool {
    let twin = |o: &Seen| {
        o.heard == Heard::Done && o.kind == s.kind && o.job == s.job && o.session == s.session
    };
    match s.heard {
        Heard::Done => true,
        Heard::Code(4002) => e.seen.iter().any(twin),
        Heard::Code(3005) => e.capped,
        Heard::Code(2006) => e
            .banned
            .iter()
            .any(|b| s.at + 2 * SEC > b.0 && s.at < b.1 + 2 * SEC),
        _ => false,
    }
}

/// From 9 to 14 s after the last hard fault, each kind, each program, each site and each front must
/// serve.
pub(super) fn back_in_time(e: &Evidence) -> Vec<String> {
    let mut v = vec![];
    let crowded = e
        .log
        .iter()
        .any(|l| ["act flood", "act crowd", "act urgent-crowd"].contains(&l.2.as_str()));
    let front = |s: &Seen| {
        s.front
            .and_then(|a| e.doors.get(&a))
            .cloned()
            .unwrap_or_default()
    };
    for (t, what) in &e.hard {
        if e.hard.iter().any(|h| h.0 > *t && h.0 < t + 14 * SEC) {
            continue;
        }
        let mut groups: BTreeMap<String, Vec<&Seen>> = BTreeMap::new();
        e.seen
            .iter()
            .filter(|s| s.at >= t + 9 * SEC && s.at < t + 14 * SEC && s.at + 6 * SEC < e.end)
            .for_each(|s| {
                let (n, z) = front(s);
                let program = if s.kind == "turn" { &s.program } else { "" };
                let names = [
                    s.kind.clone(),
                    format!("{} of {program}", s.kind),
                    format!("{} in {z}", s.kind),
                    format!("{} by {n}", s.kind),
                ];
                names
                    .into_iter()
                    .for_each(|g| groups.entry(g).or_default().push(s));
            });
        for kind in ["turn", "lookup"] {
            let n = groups.get(kind).map_or(0, |x| x.len());
            if n < 4 && t + 16 * SEC < e.end && !crowded {
                v.push(format!(
                    "12 {what} at {t}: only {n} {kind}s were asked 9 to 14 s later"
                ));
            }
        }
        groups
            .into_iter()
            .filter(|x| x.1.len() >= 4)
            .for_each(|(g, x)| {
                let ok = x.iter().filter(|s| served(e, s)).count();
                // In a crowd many are rightly told to come back; then some of each kind must get
                // through.
                let enough = if crowded {
                    ok >= 5 || x.len() < 20
                } else {
                    2 * ok >= x.len()
                };
                if !enough {
                    v.push(format!(
                        "12 {what} at {t}: {ok} of {} {g} done 9 to 14 s later",
                        x.len()
                    ));
                }
            });
    }
    let done = e.seen.iter().filter(|s| served(e, s)).count();
    let flood = e.log.iter().any(|l| l.2 == "act flood");
    if (10 * done < 6 * e.seen.len() && !flood) || done < 50 {
        v.push(format!("12 only {done} of {} were done", e.seen.len()));
    }
    v
}

/// ms from the last hard fault until the last job that was not served because of it was asked;
/// nothing after 14 s counts.
pub fn back_ms(e: &Evidence) -> Option<u64> {
    let t = e.hard.last()?.0;
    let bad = e
        .seen
        .iter()
        .filter(|s| s.at + s.took >= t && s.at < t + 14 * SEC && !served(e, s));
    Some(bad.map(|s| s.at.saturating_sub(t) / MS).max().unwrap_or(0))
}
