//! What callers were answered: complete, consistent, prompt.

use crate::caller::{Outcome, RequestRecord};
use crate::proof::evidence::{Disruption, Evidence};
use std::collections::BTreeMap;
use yewcross_common::constants::{MS, SEC};

/// us for which a disruption excuses an error after it.
const DISRUPTION_TIME: u64 = 9 * SEC;
/// us within which a front that cannot serve rejects; a longer silence is a dropped request.
const PROMPT: u64 = 100 * MS;
/// us after its deadline within which a request must have ended.
const DEADLINE_GRACE: u64 = SEC;

/// What callers themselves found wrong with an answer.
pub(super) fn malformed(evidence: &Evidence) -> Vec<String> {
    let faulty = evidence.seen.iter().filter(|seen| !seen.fault.is_empty());
    faulty
        .map(|seen| {
            let checker = if seen.fault.starts_with("an earlier turn is missing") {
                5
            } else if seen.fault.contains("piece") || seen.fault.contains("digest") {
                6
            } else {
                1
            };
            format!("{checker} {} at {}: {}", seen.job, seen.at, seen.fault)
        })
        .collect()
}

fn is_turn(seen: &RequestRecord) -> bool {
    seen.kind == "turn"
}

/// A stream that broke off and its repetition, joined as a caller would: what came first must begin
/// what came complete.
pub(super) fn inconsistent(evidence: &Evidence) -> Vec<String> {
    let mut violations = vec![];
    let mut complete: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    let turns = || evidence.seen.iter().filter(|seen| is_turn(seen));
    for seen in turns().filter(|seen| seen.outcome == Outcome::Done) {
        let earlier = complete.insert((&seen.session, &seen.job), &seen.text);
        if earlier.is_some_and(|text| text != seen.text) {
            violations.push(format!("6 {} was answered with two texts", seen.job));
        }
    }
    for seen in turns().filter(|seen| seen.outcome != Outcome::Done && !seen.text.is_empty()) {
        let text = complete.get(&(seen.session.as_str(), seen.job.as_str()));
        if text.is_some_and(|text| !text.starts_with(&seen.text)) {
            violations.push(format!(
                "6 {} at {} began otherwise than it was repeated",
                seen.job, seen.at
            ));
        }
    }
    violations
}

/// A front that was itself disrupted, or partitioned, may leave a caller without an answer; no
/// other may, whatever goes on.
pub(super) fn dropped(evidence: &Evidence) -> Vec<String> {
    let is_dropped = |seen: &RequestRecord| {
        seen.outcome == Outcome::Cut || (seen.outcome == Outcome::Nothing && seen.took > PROMPT)
    };
    let is_excused = |seen: &RequestRecord| {
        let front = seen.front.and_then(|front| evidence.fronts.get(&front));
        let front = front.map_or("", |front| front.name.as_str());
        evidence.disruptions.iter().any(|disruption| {
            disruption.subject == front
                && seen.at < disruption.at + DISRUPTION_TIME
                && seen.at + seen.took + SEC > disruption.at
        })
    };
    let dropped = evidence.seen.iter().filter(|seen| is_dropped(seen));
    dropped
        .filter(|seen| !is_excused(seen))
        .map(|seen| {
            format!(
                "11 {} at {} got {:?} after {} ms from a front that was not struck",
                seen.job,
                seen.at,
                seen.outcome,
                seen.took / 1000
            )
        })
        .collect()
}

/// Whether the request was under way during the disruption, or soon after it.
fn meets(seen: &RequestRecord, disruption: &Disruption) -> bool {
    seen.at < disruption.at + DISRUPTION_TIME && seen.at + seen.took > disruption.at
}

/// Whether the disruption keeps a front from answering its caller.
fn silences_fronts(disruption: &Disruption) -> bool {
    let subject = disruption.subject.as_str();
    subject.starts_with("front") || ["freeze-front", "site-cut", "one-way-cut"].contains(&subject)
}

/// What is given up is rejected at once, with a time to come back; never near the deadline for the
/// sake of waiting.
pub(super) fn late_rejections(evidence: &Evidence) -> Vec<String> {
    let is_given_up =
        |seen: &&RequestRecord| matches!(seen.outcome, Outcome::Code(3001..=3004 | 3006..=3009));
    let rejected = || evidence.seen.iter().filter(is_given_up);
    let without_time = rejected().filter(|seen| seen.retry_after == 0).map(|seen| {
        format!(
            "13 {} was refused with {:?} and no time to come back",
            seen.job, seen.outcome
        )
    });
    // A front that froze, or a site that was partitioned, cannot answer meanwhile.
    let is_excused = |seen: &RequestRecord| evidence.disruptions.iter().any(|d| meets(seen, d));
    let held_back = rejected()
        .filter(|seen| seen.took > seen.horizon * 6 / 10 && !is_excused(seen))
        .map(|seen| {
            format!(
                "13 {} was held {} of {} ms and then refused with {:?}",
                seen.job,
                seen.took / 1000,
                seen.horizon / 1000,
                seen.outcome
            )
        });
    without_time
        .chain(held_back)
        .chain(ended_late(evidence))
        .collect()
}

/// Only a front that was itself disrupted, or partitioned from its caller, may answer later than
/// the deadline.
fn ended_late(evidence: &Evidence) -> impl Iterator<Item = String> {
    let is_excused = |seen: &RequestRecord| {
        let mut silencing = evidence.disruptions.iter().filter(|d| silences_fronts(d));
        silencing.any(|disruption| meets(seen, disruption))
    };
    evidence
        .seen
        .iter()
        .filter(move |seen| seen.took > seen.horizon + DEADLINE_GRACE && !is_excused(seen))
        .map(|seen| {
            format!(
                "13 {} {} ended with {:?} {} ms after its horizon",
                seen.kind,
                seen.job,
                seen.outcome,
                (seen.took - seen.horizon) / 1000
            )
        })
}
