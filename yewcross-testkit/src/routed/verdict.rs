//! The checks of a simulation run. They compare what callers received with what servers executed.
//! Each violation starts with a code in capitals.

use super::caller::Attempt;
use super::server::Execution;
use super::test_adapter::header_text;
use super::{TOKENS_PER_EVENT, cfg::ConfigVersion};
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::configuration::route::Mode;
use yewcross_common::constants::*;

/// Everything that a run recorded. All times are in us of virtual time.
#[derive(Default)]
pub struct Evidence {
    pub attempts: Vec<Attempt>,
    pub executions: Vec<Execution>,
    /// Requests that arrived at a server: time, the server's id and the attempt's id.
    pub arrivals: Vec<(u64, String, String)>,
    /// Violations that were found while the run was in progress.
    pub errors: Vec<String>,
    /// Every configuration that was put.
    pub versions: Vec<ConfigVersion>,
    /// Time from which the list shows a server as leaving, with the server's id.
    pub leaving_since: Vec<(u64, String)>,
    /// Begin and end of every disruption of nodes or the network.
    pub disruptions: Vec<(u64, u64)>,
    /// Begin and end of every outage of the platform's server list.
    pub catalogue_outages: Vec<(u64, u64)>,
    /// Time at which all nodes had been started again after an outage of all nodes; 0 if there was
    /// no such outage.
    pub restored_at: u64,
    /// Time at which the run ended.
    pub ended_at: u64,
    /// How long after a disruption its effects are excused.
    pub disruption_grace: u64,
    /// How long after its acknowledgement a configuration may not be in force everywhere yet.
    pub config_grace: u64,
    /// How long requests may still arrive at a server that the list shows as leaving.
    pub drain_grace: u64,
    /// How long after `restored_at` requests may fail.
    pub recovery_grace: u64,
}

impl Evidence {
    /// Whether no disruption, nor the grace period after one, overlaps the interval.
    fn is_undisturbed(&self, from: u64, to: u64) -> bool {
        self.disruptions
            .iter()
            .all(|(begin, end)| to < *begin || from > end + self.disruption_grace)
    }
    fn attempts_by_id(&self) -> BTreeMap<&str, &Attempt> {
        self.attempts
            .iter()
            .map(|attempt| (attempt.id.as_str(), attempt))
            .collect()
    }
    fn executions_by_attempt(&self) -> BTreeMap<&str, Vec<&Execution>> {
        let mut executions: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
        self.executions.iter().for_each(|execution| {
            executions
                .entry(&execution.attempt)
                .or_default()
                .push(execution)
        });
        executions
    }
}

/// Runs all checks and returns the violations.
pub fn find_violations(evidence: &Evidence) -> Vec<String> {
    let checks: [fn(&Evidence) -> Vec<String>; 12] = [
        unrequested_executions,
        repeated_executions,
        executed_rejections,
        wrong_answers,
        misordered_events,
        incomplete_chains,
        exceeded_budgets,
        premature_budget_rejections,
        lost_turns,
        arrivals_after_drain,
        outdated_configurations,
        failed_recovery,
    ];
    let mut violations: Vec<String> = evidence
        .errors
        .iter()
        .map(|error| format!("ODD {error}"))
        .collect();
    violations.extend(checks.iter().flat_map(|check| check(evidence)));
    violations
}

/// Executions of requests that no caller sent, that were changed on the way, or that no
/// configuration routes to the server's service.
fn unrequested_executions(evidence: &Evidence) -> Vec<String> {
    let attempts = evidence.attempts_by_id();
    let mut violations = vec![];
    for execution in &evidence.executions {
        let Some(attempt) = attempts.get(execution.attempt.as_str()) else {
            violations.push(format!(
                "UNASKED {} executed {}, which no caller sent",
                execution.server, execution.attempt
            ));
            continue;
        };
        if (&execution.method, &execution.target) != (&attempt.method, &attempt.target) {
            violations.push(format!(
                "UNASKED {} was executed as {} {}",
                attempt.id, execution.method, execution.target
            ));
        }
        if !attempt.route.retained && execution.body != attempt.input {
            violations.push(format!(
                "UNASKED {} was executed with a different body",
                attempt.id
            ));
        }
        let is_allowed = evidence.versions.iter().any(|version| {
            version
                .services
                .get(&attempt.route.name)
                .is_some_and(|services| services.contains(&execution.service))
        });
        if !is_allowed {
            violations.push(format!(
                "ROUTE {} of route {} was executed by {} of service {}",
                attempt.id, attempt.route.name, execution.server, execution.service
            ));
        }
    }
    violations
}

/// Attempts that were executed more than once, or on pure routes more than [`super::MAX_TRIES`]
/// times.
fn repeated_executions(evidence: &Evidence) -> Vec<String> {
    let attempts = evidence.attempts_by_id();
    let is_repeated = |id: &str, count: usize| {
        attempts.get(id).is_some_and(|attempt| {
            count
                > if attempt.route.mode == Mode::Pure {
                    super::MAX_TRIES
                } else {
                    1
                }
        })
    };
    evidence
        .executions_by_attempt()
        .into_iter()
        .filter(|(id, executions)| is_repeated(id, executions.len()))
        .map(|(id, executions)| format!("TWICE {id} was executed {} times", executions.len()))
        .collect()
}

/// Attempts that were executed although the status guaranteed that they were not.
fn executed_rejections(evidence: &Evidence) -> Vec<String> {
    let executions = evidence.executions_by_attempt();
    let was_executed = |attempt: &&Attempt| executions.contains_key(attempt.id.as_str());
    evidence
        .attempts
        .iter()
        .filter(|attempt| attempt.is_rejected_unexecuted() && attempt.route.mode != Mode::Pure)
        .filter(was_executed)
        .map(|attempt| {
            format!(
                "REFUSED {} was rejected with {} and executed",
                attempt.id, attempt.status
            )
        })
        .collect()
}

/// Successful responses that are not what a server sent for the same attempt, or that look complete
/// although bytes are missing.
fn wrong_answers(evidence: &Evidence) -> Vec<String> {
    let mut violations = vec![];
    for attempt in evidence
        .attempts
        .iter()
        .filter(|attempt| (200..300).contains(&attempt.status))
    {
        let index: Option<usize> = header_text(&attempt.headers, "stamp")
            .strip_prefix('r')
            .and_then(|index| index.parse().ok());
        let Some(execution) = index.and_then(|index| evidence.executions.get(index)) else {
            violations.push(format!(
                "MIXED the response to {} has no stamp of a server",
                attempt.id
            ));
            continue;
        };
        if !(200..300).contains(&execution.status) {
            violations.push(format!(
                "MIXED {} got status {} while its server sent {}",
                attempt.id, attempt.status, execution.status
            ));
        } else if execution.attempt != attempt.id
            || header_text(&attempt.headers, "try") != attempt.id
        {
            violations.push(format!(
                "MIXED {} got the response to {}",
                attempt.id, execution.attempt
            ));
        } else if attempt.complete && attempt.received != execution.answer_body {
            violations.push(format!(
                "MIXED the response to {} looks complete with {} of {} bytes",
                attempt.id,
                attempt.received.len(),
                execution.answer_body.len()
            ));
        } else if !execution.answer_body.starts_with(&attempt.received) {
            violations.push(format!(
                "MIXED {} got bytes that its server did not send",
                attempt.id
            ));
        }
    }
    violations
}

/// Streams in which an event is missing, duplicated or out of order.
fn misordered_events(evidence: &Evidence) -> Vec<String> {
    let event_ids = |attempt: &Attempt| -> Vec<usize> {
        let received = String::from_utf8_lossy(&attempt.received).into_owned();
        received
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    };
    evidence
        .attempts
        .iter()
        .filter(|attempt| attempt.route.mode == Mode::Stream && attempt.status == 200)
        .filter(|attempt| {
            event_ids(attempt)
                .iter()
                .enumerate()
                .any(|(i, id)| *id != i + 1)
        })
        .map(|attempt| {
            format!(
                "ORDER {} got events with the ids {:?}",
                attempt.id,
                event_ids(attempt)
            )
        })
        .collect()
}

/// Turns that were executed without the exact bytes of all the turns that they continue.
fn incomplete_chains(evidence: &Evidence) -> Vec<String> {
    let attempts = evidence.attempts_by_id();
    let mut violations = vec![];
    for execution in &evidence.executions {
        let Some(attempt) = attempts
            .get(execution.attempt.as_str())
            .filter(|attempt| attempt.route.retained)
        else {
            continue;
        };
        let (mut expected, mut previous, mut is_answered) = (
            vec![attempt.input.clone()],
            attempt.previous_turn.clone(),
            true,
        );
        while is_answered && !previous.is_empty() {
            match attempts
                .get(previous.as_str())
                .filter(|turn| turn.is_success())
            {
                Some(turn) => {
                    expected.push(turn.event_data());
                    expected.push(turn.input.clone());
                    previous = turn.previous_turn.clone();
                }
                None => is_answered = false,
            }
        }
        expected.reverse();
        if !is_answered {
            violations.push(format!(
                "UNASKED {} continued {previous}, which was not answered completely",
                attempt.id
            ));
        } else if expected.concat() != execution.body {
            violations.push(format!(
                "UNASKED {} was executed with a wrong chain of {} bytes, expected {}",
                attempt.id,
                execution.body.len(),
                expected.concat().len()
            ));
        }
    }
    violations
}

/// Programs whose turns put out more tokens than the budget and one turn together.
fn exceeded_budgets(evidence: &Evidence) -> Vec<String> {
    let mut programs: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
    evidence
        .attempts
        .iter()
        .filter(|attempt| attempt.route.retained && !attempt.program.is_empty())
        .for_each(|attempt| {
            let usage = programs.entry(&attempt.program).or_default();
            *usage = (
                usage.0 + attempt.event_count() * TOKENS_PER_EVENT,
                usage.1.max(attempt.max_tokens),
                attempt.budget,
            );
        });
    programs
        .into_iter()
        .filter(|(_, (used, max_tokens, budget))| *used > budget + max_tokens)
        .map(|(program, (used, max_tokens, budget))| {
            format!(
                "BUDGET {program} got {used} tokens with a budget of {budget} and turns of {max_tokens}"
            )
        })
        .collect()
}

/// Time in us after the end of a turn within which the stores may not have recorded its usage yet.
const USAGE_DELAY: u64 = SEC;

/// The maximum number of tokens that earlier turns of the program may have used. A turn that was
/// answered completely counts with its events, and a rejected one with nothing. Any other turn, and
/// one that ended less than [`USAGE_DELAY`] before, counts with its limit.
fn max_tokens_used_before(evidence: &Evidence, rejected: &Attempt) -> u64 {
    let earlier = evidence.attempts.iter().filter(|attempt| {
        attempt.route.retained
            && attempt.program == rejected.program
            && attempt.sent_at < rejected.sent_at
    });
    earlier
        .map(|attempt| match attempt.status {
            _ if attempt.ended_at + USAGE_DELAY > rejected.sent_at => attempt.max_tokens,
            _ if attempt.is_success() => attempt.event_count() * TOKENS_PER_EVENT,
            400..500 | 503 if attempt.complete => 0,
            _ => attempt.max_tokens,
        })
        .sum()
}

/// Attempts that were rejected with 402 although the budget sufficed for one more turn.
pub fn rejected_within_budget(evidence: &Evidence) -> Vec<&Attempt> {
    let rejected = evidence
        .attempts
        .iter()
        .filter(|attempt| attempt.status == 402);
    rejected
        .filter(|attempt| {
            max_tokens_used_before(evidence, attempt) + attempt.max_tokens <= attempt.budget
        })
        .collect()
}

/// The violations of [`rejected_within_budget`].
fn premature_budget_rejections(evidence: &Evidence) -> Vec<String> {
    let premature = rejected_within_budget(evidence).into_iter();
    premature
        .map(|attempt| {
            format!(
                "DENIED {} was rejected with 402 after at most {} of {} tokens",
                attempt.id,
                max_tokens_used_before(evidence, attempt),
                attempt.budget
            )
        })
        .collect()
}

/// Attempts that were rejected because the turn that they continue is unknown, although it was
/// answered completely within the retention period.
fn lost_turns(evidence: &Evidence) -> Vec<String> {
    let attempts = evidence.attempts_by_id();
    evidence
        .attempts
        .iter()
        .filter(|attempt| {
            attempt.route.retained
                && matches!(attempt.status, 404 | 410)
                && !attempt.previous_turn.is_empty()
        })
        .filter(|attempt| {
            attempts
                .get(attempt.previous_turn.as_str())
                .is_some_and(|turn| {
                    turn.is_success()
                        && attempt.ended_at < turn.ended_at + turn.route.retain_ms * MS
                })
        })
        .map(|attempt| {
            format!(
                "LOST {} was rejected because its previous turn {} is unknown",
                attempt.id, attempt.previous_turn
            )
        })
        .collect()
}

/// Requests that arrived at a server more than `drain_grace` after the list showed it as leaving.
/// Outages of the list and disruptions are excused.
fn arrivals_after_drain(evidence: &Evidence) -> Vec<String> {
    let attempts = evidence.attempts_by_id();
    let mut violations = vec![];
    for (from, server) in &evidence.leaving_since {
        let is_list_available = |at: u64| {
            evidence
                .catalogue_outages
                .iter()
                .all(|(begin, end)| at < *begin || *from > end + evidence.disruption_grace)
        };
        for (at, server, id) in evidence
            .arrivals
            .iter()
            .filter(|arrival| arrival.1 == *server && arrival.0 > from + evidence.drain_grace)
        {
            let is_violation = attempts
                .get(id.as_str())
                .is_some_and(|attempt| evidence.is_undisturbed(*from.min(&attempt.sent_at), *at))
                && is_list_available(*at);
            if is_violation {
                violations.push(format!(
                    "DRAIN {id} arrived at {server} {} ms after the list showed it as leaving",
                    (at - from) / MS
                ));
            }
        }
    }
    violations
}

/// Attempts that were sent more than `config_grace` after a version was acknowledged, but were not
/// executed where that version or a newer one routes them. Disruptions are excused.
fn outdated_configurations(evidence: &Evidence) -> Vec<String> {
    let executions = evidence.executions_by_attempt();
    let mut violations = vec![];
    for attempt in &evidence.attempts {
        let newest = evidence
            .versions
            .iter()
            .filter(|version| {
                version
                    .acknowledged_at
                    .is_some_and(|at| attempt.sent_at > at + evidence.config_grace)
            })
            .map(|version| version.number)
            .max();
        let Some(number) = newest else { continue };
        let mut valid: Vec<_> = evidence
            .versions
            .iter()
            .filter(|version| version.number >= number)
            .collect();
        valid.sort_by_key(|version| version.number);
        let acknowledged_at = evidence
            .versions
            .iter()
            .find(|version| version.number == number)
            .and_then(|version| version.acknowledged_at)
            .unwrap_or(0);
        if !evidence.is_undisturbed(acknowledged_at, attempt.ended_at) {
            continue;
        }
        let services: BTreeSet<&String> = valid
            .iter()
            .filter_map(|version| version.services.get(&attempt.route.name))
            .flatten()
            .collect();
        let misrouted = executions
            .get(attempt.id.as_str())
            .into_iter()
            .flatten()
            .find(|execution| !services.contains(&execution.service));
        misrouted.iter().for_each(|execution| {
            violations.push(format!(
                "CONFIG {} was executed by service {}, which no version from {number} on allows",
                attempt.id, execution.service
            ))
        });
        let has_route = valid
            .iter()
            .all(|version| version.services.contains_key(&attempt.route.name));
        if has_route
            && attempt.status == 404
            && attempt.previous_turn.is_empty()
            && !attempt.headers.contains_key("stamp")
        {
            violations.push(format!(
                "CONFIG {} was rejected because route {} is unknown",
                attempt.id, attempt.route.name
            ));
        }
    }
    violations
}

/// Whether less than a quarter of the attempts got a server's response once the recovery period
/// after an outage of all nodes, or after the start of the run, had passed. Fewer than 20 attempts
/// are not judged.
fn failed_recovery(evidence: &Evidence) -> Vec<String> {
    let count_served = |from: u64, to: u64| {
        let attempts: Vec<&Attempt> = evidence
            .attempts
            .iter()
            .filter(|attempt| {
                attempt.sent_at >= from
                    && attempt.sent_at < to
                    && attempt.ended_at + SEC < evidence.ended_at.max(1)
            })
            .collect();
        (
            attempts.len(),
            attempts
                .iter()
                .filter(|attempt| attempt.is_success() || attempt.headers.contains_key("stamp"))
                .count(),
        )
    };
    let (total, served) = count_served(evidence.restored_at + evidence.recovery_grace, u64::MAX);
    if total >= 20 && served * 4 < total {
        vec![format!(
            "RECOVER {served} of {total} attempts served after all nodes were restored"
        )]
    } else {
        vec![]
    }
}
