//! How soon requests are served again after a fault.

use crate::caller::{Outcome, RequestRecord};
use crate::proof::evidence::{Disruption, Evidence, FrontMachine};
use std::collections::BTreeMap;
use yewcross_common::constants::{MS, SEC};

/// us from a disruption until requests must be served again, and until when they are looked at.
const RECOVERY_TIME: u64 = 9 * SEC;
const OBSERVED_UNTIL: u64 = 14 * SEC;
/// us before the end within which a request may not come to its own end.
const END_MARGIN: u64 = 6 * SEC;
/// us after a disruption that a run must go on for its requests to be missed.
const OBSERVED_FULLY: u64 = 16 * SEC;
/// us within which a withdrawal shows around its times.
const WITHDRAWAL_MARGIN: u64 = 2 * SEC;
/// Requests of a group that are enough to judge it.
const ENOUGH_REQUESTS: usize = 4;
/// Requests of a group of which a crowd gets some served, and how many.
const CROWDED_REQUESTS: usize = 20;
const SERVED_IN_CROWD: usize = 5;
/// Requests that any run must have served.
const LEAST_SERVED: usize = 50;

/// Done; or answered that its twin, asked at another front at the same time, is running, and that
/// one was done; or that its budget is spent, where budgets are small; or that its service is not
/// allowed, while that is withdrawn.
fn is_served(evidence: &Evidence, seen: &RequestRecord) -> bool {
    let is_done_twin = |other: &RequestRecord| {
        other.outcome == Outcome::Done
            && other.kind == seen.kind
            && other.job == seen.job
            && other.session == seen.session
    };
    match seen.outcome {
        Outcome::Done => true,
        Outcome::Code(4002) => evidence.seen.iter().any(is_done_twin),
        Outcome::Code(3005) => evidence.has_small_budgets,
        Outcome::Code(2006) => evidence.withdrawals.iter().any(|withdrawal| {
            seen.at + WITHDRAWAL_MARGIN > withdrawal.from
                && seen.at < withdrawal.until + WITHDRAWAL_MARGIN
        }),
        _ => false,
    }
}

fn has_fault(evidence: &Evidence, faults: &[&str]) -> bool {
    let mut log = evidence.log.iter();
    log.any(|(_, _, text)| {
        text.strip_prefix("act ")
            .is_some_and(|fault| faults.contains(&fault))
    })
}

/// From 9 to 14 s after the last disruption, each kind, each program, each site and each front must
/// serve.
pub(super) fn not_back_in_time(evidence: &Evidence) -> Vec<String> {
    let mut violations = vec![];
    for disruption in &evidence.disruptions {
        let is_followed = evidence
            .disruptions
            .iter()
            .any(|other| other.at > disruption.at && other.at < disruption.at + OBSERVED_UNTIL);
        if !is_followed {
            violations.extend(not_back_after(evidence, disruption));
        }
    }
    violations.extend(too_few_served(evidence));
    violations
}

fn not_back_after(evidence: &Evidence, disruption: &Disruption) -> Vec<String> {
    let Disruption { at, subject } = disruption;
    let is_crowded = has_fault(evidence, &["flood", "crowd", "urgent-crowd"]);
    let groups = requests_after(evidence, *at);
    let mut violations = vec![];
    for kind in ["turn", "lookup"] {
        let count = groups.get(kind).map_or(0, Vec::len);
        if count < ENOUGH_REQUESTS && at + OBSERVED_FULLY < evidence.end && !is_crowded {
            violations.push(format!(
                "12 {subject} at {at}: only {count} {kind}s were asked 9 to 14 s later"
            ));
        }
    }
    for (group, requests) in groups {
        if requests.len() < ENOUGH_REQUESTS {
            continue;
        }
        let is_served = |seen: &&&RequestRecord| is_served(evidence, seen);
        let served = requests.iter().filter(is_served).count();
        // In a crowd many are rightly told to come back; then some of each kind must get through.
        let is_enough = if is_crowded {
            served >= SERVED_IN_CROWD || requests.len() < CROWDED_REQUESTS
        } else {
            2 * served >= requests.len()
        };
        if !is_enough {
            violations.push(format!(
                "12 {subject} at {at}: {served} of {} {group} done 9 to 14 s later",
                requests.len()
            ));
        }
    }
    violations
}

/// Requests from 9 to 14 s after the time: by kind, and by kind and program, site and front.
fn requests_after(evidence: &Evidence, at: u64) -> BTreeMap<String, Vec<&RequestRecord>> {
    let mut groups: BTreeMap<String, Vec<&RequestRecord>> = BTreeMap::new();
    let observed = evidence.seen.iter().filter(|seen| {
        seen.at >= at + RECOVERY_TIME
            && seen.at < at + OBSERVED_UNTIL
            && seen.at + END_MARGIN < evidence.end
    });
    for seen in observed {
        let front = seen.front.and_then(|front| evidence.fronts.get(&front));
        let FrontMachine { name, site } = front.cloned().unwrap_or_default();
        let kind = &seen.kind;
        let program = if kind == "turn" { &seen.program } else { "" };
        let names = [
            kind.clone(),
            format!("{kind} of {program}"),
            format!("{kind} in {site}"),
            format!("{kind} by {name}"),
        ];
        for group in names {
            groups.entry(group).or_default().push(seen);
        }
    }
    groups
}

fn too_few_served(evidence: &Evidence) -> Option<String> {
    let all = evidence.seen.len();
    let served = evidence.seen.iter();
    let served = served.filter(|seen| is_served(evidence, seen)).count();
    let is_flooded = has_fault(evidence, &["flood"]);
    let is_too_few = (10 * served < 6 * all && !is_flooded) || served < LEAST_SERVED;
    is_too_few.then(|| format!("12 only {served} of {all} were done"))
}

/// ms from the last disruption until the last job that was not served because of it was asked;
/// nothing after 14 s counts.
pub fn back_ms(evidence: &Evidence) -> Option<u64> {
    let last = evidence.disruptions.last()?.at;
    let failed = evidence.seen.iter().filter(|seen| {
        seen.at + seen.took >= last && seen.at < last + OBSERVED_UNTIL && !is_served(evidence, seen)
    });
    let delays = failed.map(|seen| seen.at.saturating_sub(last) / MS);
    Some(delays.max().unwrap_or(0))
}
