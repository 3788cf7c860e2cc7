//! What ran where, and how often: at most once, within budgets, only where allowed.

use crate::caller::RequestRecord;
use crate::proof::evidence::{Account, Evidence, Withdrawal};
use crate::stub_server::Execution;
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::constants::{MS, SEC};

/// us after which a new figure of a budget, and what was put out, must be known everywhere.
const BUDGET_DELAY: u64 = SEC;
/// us after a server began to drain within which jobs may still reach it.
const DRAIN_DELAY: u64 = 3 * SEC;
/// us after a withdrawal for what was on its way to arrive.
const WITHDRAWAL_DELAY: u64 = 250 * MS;

fn is_once_only(evidence: &Evidence, execution: &Execution) -> bool {
    evidence.once.contains(&execution.program)
}

/// Once-only jobs that ran more often.
pub(super) fn run_twice(evidence: &Evidence) -> Vec<String> {
    let mut counts: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    let executions = evidence.executions.iter();
    for execution in executions.filter(|execution| is_once_only(evidence, execution)) {
        *counts
            .entry((&execution.session, &execution.job))
            .or_default() += 1;
    }
    counts
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|((session, job), count)| format!("2 {job} of {session} ran {count} times"))
        .collect()
}

/// An attempt that was answered "not run" must never run, whatever other attempts of its job were
/// answered; and a once-only job whose every answer so far said "not run" must not run either.
pub(super) fn run_though_rejected(evidence: &Evidence) -> Vec<String> {
    let mut violations = rejected_attempts_that_ran(evidence);
    violations.extend(rejected_jobs_that_ran(evidence));
    violations
}

fn rejected_attempts_that_ran(evidence: &Evidence) -> Vec<String> {
    let executions = evidence.executions.iter();
    let ran: BTreeSet<(&str, &str)> = executions
        .map(|execution| (execution.job.as_str(), execution.attempt.as_str()))
        .collect();
    // A lookup without a job of its own goes by its attempt's name.
    let has_run = |seen: &RequestRecord| {
        [&seen.job, &seen.shot]
            .into_iter()
            .any(|job| ran.contains(&(job.as_str(), seen.shot.as_str())))
    };
    let rejected = evidence.seen.iter();
    let rejected = rejected.filter(|seen| seen.ran == "not_run" && !seen.shot.is_empty());
    rejected
        .filter(|seen| has_run(seen))
        .map(|seen| {
            format!(
                "3 {} {} at {} was told {:?}, not run, and its shot {} ran",
                seen.kind, seen.job, seen.at, seen.outcome, seen.shot
            )
        })
        .collect()
}

fn rejected_jobs_that_ran(evidence: &Evidence) -> Vec<String> {
    let mut answers: BTreeMap<(&str, &str), Vec<&RequestRecord>> = BTreeMap::new();
    for seen in evidence.seen.iter().filter(|seen| !seen.job.is_empty()) {
        let job = (seen.session.as_str(), seen.job.as_str());
        answers.entry(job).or_default().push(seen);
    }
    let was_rejected = |execution: &Execution| {
        let session = execution.session.rsplit('/').next().unwrap_or("");
        let answers = answers.get(&(session, execution.job.as_str()));
        answers.is_some_and(|answers| {
            !answers
                .iter()
                .any(|seen| seen.ran != "not_run" && seen.at <= execution.at)
        })
    };
    let once_only = evidence.executions.iter();
    let once_only = once_only.filter(|execution| is_once_only(evidence, execution));
    once_only
        .filter(|execution| was_rejected(execution))
        .map(|execution| {
            format!(
                "3 {} ran at {} though all its refusals said not run",
                execution.job, execution.at
            )
        })
        .collect()
}

/// Budgets of which more was put out than they allow.
pub(super) fn over_budget(evidence: &Evidence) -> Vec<String> {
    let mut violations = vec![];
    for (budget, account) in &evidence.budgets {
        let executions = evidence.executions.iter();
        let mut executions: Vec<&Execution> = executions
            .filter(|execution| account.programs.contains(&execution.program))
            .collect();
        executions.sort_by_key(|execution| execution.at);
        violations.extend(over_total(budget, account, &executions));
        violations.extend(started_over(budget, account, &executions));
    }
    violations
}

fn over_total(budget: &str, account: &Account, executions: &[&Execution]) -> Option<String> {
    let output: u64 = executions.iter().map(|execution| execution.output).sum();
    let most = account.caps.iter().map(|cap| cap.tokens).max().unwrap_or(0);
    let turn = account.max_turn_tokens;
    (output > most + turn)
        .then(|| format!("4 {budget} put out {output} of {most} and one turn of {turn}"))
}

/// Nothing more may start once what had started a second before passes the figure then in force.
fn started_over(budget: &str, account: &Account, executions: &[&Execution]) -> Option<String> {
    let mut known_output = 0;
    let mut known = 0;
    for execution in executions {
        while executions[known].at + BUDGET_DELAY < execution.at {
            known_output += executions[known].output;
            known += 1;
        }
        let is_in_force = |from: u64| from + BUDGET_DELAY < execution.at;
        let current = account.caps.iter().rfind(|cap| is_in_force(cap.from));
        let current = current.map_or(u64::MAX, |cap| cap.tokens);
        let coming = account.caps.iter().filter(|cap| !is_in_force(cap.from));
        let coming = coming.map(|cap| cap.tokens).max().unwrap_or(0);
        let allowed = current.max(coming).saturating_add(account.max_turn_tokens);
        if known_output > allowed {
            return Some(format!(
                "4 {budget}: {} started at {} with {known_output} of {current} put out",
                execution.job, execution.at
            ));
        }
    }
    None
}

/// Requests that reached a server long after it began to drain.
pub(super) fn run_while_draining(evidence: &Evidence) -> Vec<String> {
    let mut violations = vec![];
    for arrival in &evidence.late_arrivals {
        let departures = evidence.departures.iter();
        let since = departures
            .filter(|departure| departure.server == arrival.server && departure.at <= arrival.at)
            .map(|departure| departure.at)
            .max();
        if let Some(since) = since.filter(|since| arrival.at > since + DRAIN_DELAY) {
            violations.push(format!(
                "7 {} {} came {} ms after it began to leave",
                arrival.server,
                arrival.request,
                (arrival.at - since) / 1000
            ));
        }
    }
    violations
}

/// What a configuration does not allow, or no longer allows, must not run: neither at a stranger
/// who took a known address, nor at what an acknowledged put withdrew.
pub(super) fn not_allowed(evidence: &Evidence) -> Vec<String> {
    let strangers = evidence.executions.iter();
    let strangers = strangers.filter(|execution| execution.server.starts_with('x'));
    let mut violations: Vec<String> = strangers
        .map(|execution| {
            format!(
                "10 {} ran at {} which nobody allowed",
                execution.job, execution.server
            )
        })
        .collect();
    for withdrawal in &evidence.withdrawals {
        let executions = evidence.executions.iter();
        let withdrawn = executions.filter(|execution| is_withdrawn(withdrawal, execution));
        violations.extend(withdrawn.map(|execution| {
            format!(
                "10 {} ran at {} {} ms after {} was withdrawn",
                execution.job,
                execution.server,
                (execution.at - withdrawal.from) / 1000,
                withdrawal.subject
            )
        }));
    }
    violations
}

fn is_withdrawn(withdrawal: &Withdrawal, execution: &Execution) -> bool {
    let subject = withdrawal.subject.as_str();
    let method = format!("{}/{}", execution.service, execution.program);
    let is_subject = execution.server == subject
        || method == subject
        || (subject.ends_with('/') && method.starts_with(subject));
    is_subject
        && execution.at > withdrawal.from + WITHDRAWAL_DELAY
        && execution.at < withdrawal.until
}
