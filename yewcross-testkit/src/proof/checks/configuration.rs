//! Which configuration was in force where, and what operators were answered.

use crate::caller::RequestRecord;
use crate::proof::evidence::{Ack, Evidence};
use std::collections::BTreeMap;
use yewcross_common::constants::SEC;
use yewcross_common::hash::content_digest;

/// Code of a put that was acknowledged.
const ACKNOWLEDGED: u16 = 1000;
/// Versions that are kept at least.
const KEPT_VERSIONS: u64 = 16;
/// us in which a put must be acknowledged with all at rest.
const PUT_TIME: u64 = 2 * SEC;

fn acknowledged(evidence: &Evidence) -> impl Iterator<Item = &Ack> {
    evidence.acks.iter().filter(|ack| ack.code == ACKNOWLEDGED)
}

/// Requests that were served under an older version than was acknowledged before, and nodes that
/// adopted an older version or another text.
pub(super) fn out_of_force(evidence: &Evidence) -> Vec<String> {
    let mut violations: Vec<String> = evidence
        .seen
        .iter()
        .filter_map(|seen| served_under_old(evidence, seen))
        .collect();
    violations.extend(wrong_adoptions(evidence));
    violations
}

fn served_under_old(evidence: &Evidence, seen: &RequestRecord) -> Option<String> {
    if seen.config == 0 || seen.ran == "not_run" {
        return None;
    }
    let newer = acknowledged(evidence).find(|ack| ack.at < seen.at && ack.version > seen.config)?;
    Some(format!(
        "8 {} was served under {} at {}, {} was acknowledged at {}",
        seen.job, seen.config, seen.at, newer.version, newer.at
    ))
}

/// A line of the log that says which version was adopted, and the digest of its text if given.
fn parse_adoption(line: &str) -> Option<(u64, Option<&str>)> {
    let mut words = line.strip_prefix("adopted config ")?.split(' ');
    let version = words.next()?.parse().ok()?;
    Some((version, words.next()))
}

fn wrong_adoptions(evidence: &Evidence) -> Vec<String> {
    let mut violations = vec![];
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    for (at, node, line) in &evidence.log {
        if line == "killed" || line == "loses power" {
            newest.remove(node.as_str());
        }
        let Some((version, said)) = parse_adoption(line) else {
            continue;
        };
        let previous = newest.entry(node).or_default();
        if version <= *previous {
            violations.push(format!(
                "8 {node} slipped back from {previous} to {version} at {at}"
            ));
        }
        *previous = version;
        let text = evidence.history.get(&version);
        let digest = text.map(|text| content_digest(text.as_bytes()));
        if said
            .zip(digest)
            .is_some_and(|(said, digest)| said != digest)
        {
            violations.push(format!(
                "9 {node} adopted as {version} at {at} what is not version {version}"
            ));
        }
    }
    violations
}

fn holds(text: &str, ack: &Ack) -> bool {
    text.contains(&format!("\"mark-{}\"", ack.mark))
}

/// Puts that were acknowledged and are not in force, or were rejected and are.
pub(super) fn false_acks(evidence: &Evidence) -> Vec<String> {
    let Some(last) = &evidence.last else {
        return vec!["9 no configuration could be read at the end".into()];
    };
    let mut violations = lost_puts(evidence, last.version);
    let rejected = evidence.acks.iter();
    let rejected = rejected.filter(|ack| (6001..=6005).contains(&ack.code));
    let in_force = rejected.filter(|ack| evidence.history.values().any(|text| holds(text, ack)));
    violations.extend(in_force.map(|ack| {
        format!(
            "9 {} was refused with {} and was in force",
            ack.mark, ack.code
        )
    }));
    violations.extend(slow_last_put(evidence));
    violations
}

fn lost_puts(evidence: &Evidence, newest: u64) -> Vec<String> {
    let mut violations = vec![];
    let mut by_version: BTreeMap<u64, &Ack> = BTreeMap::new();
    for ack in acknowledged(evidence) {
        if let Some(other) = by_version.insert(ack.version, ack) {
            violations.push(format!(
                "9 {} and {} both won version {}",
                other.mark, ack.mark, ack.version
            ));
        }
        if ack.version > newest {
            violations.push(format!(
                "9 version {} was acknowledged, the newest at the end is {newest}",
                ack.version
            ));
        }
        let is_kept = ack.version + KEPT_VERSIONS > newest;
        let text = evidence.history.get(&ack.version);
        if is_kept && evidence.is_complete && !text.is_some_and(|text| holds(text, ack)) {
            violations.push(format!(
                "9 version {} does not hold what was acknowledged as {}",
                ack.version, ack.mark
            ));
        }
    }
    violations
}

/// With all at rest, a put is acknowledged within two seconds.
fn slow_last_put(evidence: &Evidence) -> impl Iterator<Item = String> {
    evidence
        .acks
        .iter()
        .filter(|ack| ack.mark == "last")
        .filter(|ack| ack.code != ACKNOWLEDGED || ack.at > ack.sent + PUT_TIME)
        .map(|ack| {
            format!(
                "9 the last put, with all at rest, got {} after {} ms",
                ack.code,
                (ack.at - ack.sent) / 1000
            )
        })
}
