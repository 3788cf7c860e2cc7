//! What callers were answered: whole, consistent, prompt.

use crate::caller::{Heard, Seen};
use crate::proof::evidence::Evidence;
use std::collections::BTreeMap;
use yewcross_common::constants::{MS, SEC};

/// A stream that broke off and its repetition, joined as a caller would: what came first must begin
/// what came whole.
pub(super) fn joined(e: &Evidence) -> Vec<String> {
    let mut whole: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    let mut v = vec![];
    e.seen
        .iter()
        .filter(|s| s.kind == "turn" && s.heard == Heard::Done)
        .for_each(|s| {
            if whole
                .insert((&s.session, &s.job), &s.text)
                .is_some_and(|t| t != s.text)
            {
                v.push(format!("6 {} was answered with two texts", s.job));
            }
        });
    let parts = e
        .seen
        .iter()
        .filter(|s| s.kind == "turn" && s.heard != Heard::Done && !s.text.is_empty());
    let parts = parts.filter(|s| {
        whole
            .get(&(s.session.as_str(), s.job.as_str()))
            .is_some_and(|t| !t.starts_with(&s.text))
    });
    v.extend(parts.map(|s| {
        format!(
            "6 {} at {} began otherwise than it was repeated",
            s.job, s.at
        )
    }));
    v
}

/// A front that was itself struck, or cut off, may leave a caller without an answer; no other may,
/// whatever goes on.
pub(super) fn dropped(e: &Evidence) -> Vec<String> {
    let silent = |s: &&Seen| {
        matches!(s.heard, Heard::Cut) || (s.heard == Heard::Nothing && s.took > 100 * MS)
    };
    let struck = |s: &&Seen| {
        let me = s
            .front
            .and_then(|a| e.doors.get(&a))
            .map(|d| d.0.as_str())
            .unwrap_or("");
        e.hard
            .iter()
            .any(|h| h.1 == me && s.at < h.0 + 9 * SEC && s.at + s.took + SEC > h.0)
    };
    let bad = e.seen.iter().filter(silent).filter(|s| !struck(s));
    bad.map(|s| {
        format!(
            "11 {} at {} got {:?} after {} ms from a front that was not struck",
            s.job,
            s.at,
            s.heard,
            s.took / 1000
        )
    })
    .collect()
}

/// What is given up is told at once, with a time to come back; never near the horizon for the sake
/// of waiting.
pub(super) fn prompt_finals(e: &Evidence) -> Vec<String> {
    let given_up = |s: &&Seen| matches!(s.heard, Heard::Code(3001..=3004 | 3006..=3009));
    let no_time = e
        .seen
        .iter()
        .filter(given_up)
        .filter(|s| s.retry_after == 0);
    // A front that froze, or a site cut off, cannot answer meanwhile.
    let struck = |s: &&Seen| {
        e.hard
            .iter()
            .any(|h| s.at < h.0 + 9 * SEC && s.at + s.took > h.0)
    };
    let held = e
        .seen
        .iter()
        .filter(given_up)
        .filter(|s| s.took > s.horizon * 6 / 10 && !struck(s));
    // Only a front that was itself struck, or cut off from its caller, may speak later than the
    // horizon.
    let deaf = |s: &&Seen| {
        let mute = |w: &str| {
            w.starts_with("front") || ["freeze-front", "site-cut", "one-way-cut"].contains(&w)
        };
        e.hard
            .iter()
            .any(|h| mute(&h.1) && s.at < h.0 + 9 * SEC && s.at + s.took > h.0)
    };
    let late = e
        .seen
        .iter()
        .filter(|s| s.took > s.horizon + SEC && !deaf(s));
    let late = late.map(|s| {
        format!(
            "13 {} {} ended with {:?} {} ms after its horizon",
            s.kind,
            s.job,
            s.heard,
            (s.took - s.horizon) / 1000
        )
    });
    no_time
        .map(|s| {
            format!(
                "13 {} was refused with {:?} and no time to come back",
                s.job, s.heard
            )
        })
        .chain(held.map(|s| {
            format!(
                "13 {} was held {} of {} ms and then refused with {:?}",
                s.job,
                s.took / 1000,
                s.horizon / 1000,
                s.heard
            )
        }))
        .chain(late)
        .collect()
}
