//! Which configuration was in force where, and what operators were told.

use crate::proof::evidence::{Ack, Evidence};
use std::collections::BTreeMap;
use yewcross_common::constants::SEC;

pub(super) fn in_force(e: &Evidence) -> Vec<String> {
    let mut v = vec![];
    let acked: Vec<&Ack> = e.acks.iter().filter(|a| a.code == 1000).collect();
    e.seen.iter().filter(|s| s.config > 0).for_each(|s| {
        if let Some(a) = acked
            .iter()
            .find(|a| a.at < s.at && a.version > s.config && s.ran != "not_run")
        {
            v.push(format!(
                "8 {} was served under {} at {}, {} was acknowledged at {}",
                s.job, s.config, s.at, a.version, a.at
            ));
        }
    });
    let mut top: BTreeMap<&str, u64> = BTreeMap::new();
    e.log.iter().for_each(|(t, n, l)| {
        if l == "killed" || l == "loses power" {
            top.remove(n.as_str());
        }
        let mut words = l
            .strip_prefix("adopted config ")
            .into_iter()
            .flat_map(|k| k.split(' '));
        if let Some(k) = words.next().and_then(|k| k.parse::<u64>().ok()) {
            let x = top.entry(n).or_default();
            if k <= *x {
                v.push(format!("8 {n} slipped back from {x} to {k} at {t}"));
            }
            *x = k;
            let text = e
                .history
                .get(&k)
                .map(|t| yewcross_common::hash::content_digest(t.as_bytes()));
            if words
                .next()
                .zip(text)
                .is_some_and(|(said, text)| said != text)
            {
                v.push(format!(
                    "9 {n} adopted as {k} at {t} what is not version {k}"
                ));
            }
        }
    });
    v
}

pub(super) fn acked(e: &Evidence) -> Vec<String> {
    let mut v = vec![];
    let Some((top, _)) = &e.last else {
        return vec!["9 no configuration could be read at the end".into()];
    };
    let holds = |t: &String, a: &Ack| t.contains(&format!("\"mark-{}\"", a.mark));
    let mut by: BTreeMap<u64, &Ack> = BTreeMap::new();
    e.acks.iter().filter(|a| a.code == 1000).for_each(|a| {
        if let Some(o) = by.insert(a.version, a) {
            v.push(format!(
                "9 {} and {} both won version {}",
                o.mark, a.mark, a.version
            ));
        }
        if a.version > *top {
            v.push(format!(
                "9 version {} was acknowledged, the newest at the end is {top}",
                a.version
            ));
        }
        if a.version + 16 > *top
            && !e.history.get(&a.version).is_some_and(|t| holds(t, a))
            && e.whole
        {
            v.push(format!(
                "9 version {} does not hold what was acknowledged as {}",
                a.version, a.mark
            ));
        }
    });
    let lost = e
        .acks
        .iter()
        .filter(|a| (6001..=6005).contains(&a.code) && e.history.values().any(|t| holds(t, a)));
    lost.for_each(|a| {
        v.push(format!(
            "9 {} was refused with {} and was in force",
            a.mark, a.code
        ))
    });
    // With all at rest, a put is acknowledged within two seconds.
    e.acks
        .iter()
        .filter(|a| a.mark == "last" && (a.code != 1000 || a.at > a.sent + 2 * SEC))
        .for_each(|a| {
            v.push(format!(
                "9 the last put, with all at rest, got {} after {} ms",
                a.code,
                (a.at - a.sent) / 1000
            ));
        });
    v
}
