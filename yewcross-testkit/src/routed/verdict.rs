//! What must hold whatever happens, checked against what callers heard and servers ran.

use super::caller::Attempt;
use super::server::Execution;
use super::test_adapter::header_text;
use super::{TOKENS_PER_EVENT, cfg::ConfigVersion};
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::configuration::route::Mode;
use yewcross_common::constants::*;

/// All there is to judge by. Times in us of the world's clock.
#[derive(Default)]
pub struct Evidence {
    pub attempts: Vec<Attempt>,
    pub executions: Vec<Execution>,
    pub arrivals: Vec<(u64, String, String)>,
    pub errors: Vec<String>,
    /// Every configuration that was ever sent, with when it was acknowledged.
    pub versions: Vec<ConfigVersion>,
    /// From when on the list showed a server as leaving.
    pub leaving_since: Vec<(u64, String)>,
    /// When machines or links were in trouble.
    pub disruptions: Vec<(u64, u64)>,
    /// When the platform's list was away.
    pub catalogue_outages: Vec<(u64, u64)>,
    /// Everything is back and runs from then on; 0: nothing was ever taken away.
    pub restored_at: u64,
    pub ended_at: u64,
    pub disruption_grace: u64,
    pub config_grace: u64,
    pub drain_grace: u64,
    pub recovery_grace: u64,
}

impl Evidence {
    fn is_undisturbed(&self, from: u64, to: u64) -> bool {
        self.disruptions
            .iter()
            .all(|(a, b)| to < *a || from > b + self.disruption_grace)
    }
    fn attempts_by_id(&self) -> BTreeMap<&str, &Attempt> {
        self.attempts.iter().map(|t| (t.id.as_str(), t)).collect()
    }
    fn executions_by_attempt(&self) -> BTreeMap<&str, Vec<&Execution>> {
        let mut m: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
        self.executions
            .iter()
            .for_each(|r| m.entry(&r.attempt).or_default().push(r));
        m
    }
}

pub fn find_violations(e: &Evidence) -> Vec<String> {
    let all: [fn(&Evidence) -> Vec<String>; 12] = [
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
    let mut v: Vec<String> = e.errors.iter().map(|o| format!("ODD {o}")).collect();
    v.extend(all.iter().flat_map(|f| f(e)));
    v
}

/// Runs only what some caller sent, unchanged, where some configuration lets it go.
fn unrequested_executions(e: &Evidence) -> Vec<String> {
    let by = e.attempts_by_id();
    let mut v = vec![];
    for r in &e.executions {
        let Some(t) = by.get(r.attempt.as_str()) else {
            v.push(format!(
                "UNASKED {} ran {} that nobody sent",
                r.server, r.attempt
            ));
            continue;
        };
        if (&r.method, &r.target) != (&t.method, &t.target) {
            v.push(format!("UNASKED {} became {} {}", t.id, r.method, r.target));
        }
        if !t.route.retained && r.body != t.input {
            v.push(format!("UNASKED the body of {} changed", t.id));
        }
        let may = e.versions.iter().any(|x| {
            x.services
                .get(&t.route.name)
                .is_some_and(|s| s.contains(&r.service))
        });
        if !may {
            v.push(format!(
                "ROUTE {} of {} ran at {} of {}",
                t.id, t.route.name, r.server, r.service
            ));
        }
    }
    v
}

fn repeated_executions(e: &Evidence) -> Vec<String> {
    let by = e.attempts_by_id();
    let bad = |a: &str, n: usize| {
        by.get(a).is_some_and(|t| {
            n > if t.route.mode == Mode::Pure {
                super::MAX_TRIES
            } else {
                1
            }
        })
    };
    e.executions_by_attempt()
        .into_iter()
        .filter(|(a, r)| bad(a, r.len()))
        .map(|(a, r)| format!("TWICE {a} ran {} times", r.len()))
        .collect()
}

fn executed_rejections(e: &Evidence) -> Vec<String> {
    let runs = e.executions_by_attempt();
    let ran = |t: &&Attempt| runs.contains_key(t.id.as_str());
    e.attempts
        .iter()
        .filter(|t| t.is_rejected_unexecuted() && t.route.mode != Mode::Pure)
        .filter(ran)
        .map(|t| format!("REFUSED {} got {} and ran", t.id, t.status))
        .collect()
}

/// A success is its own server's whole answer, stamp and all.
fn wrong_answers(e: &Evidence) -> Vec<String> {
    let mut v = vec![];
    for t in e.attempts.iter().filter(|t| (200..300).contains(&t.status)) {
        let n: Option<usize> = header_text(&t.headers, "stamp")
            .strip_prefix('r')
            .and_then(|n| n.parse().ok());
        let Some(r) = n.and_then(|n| e.executions.get(n)) else {
            v.push(format!("MIXED {} has no server's stamp", t.id));
            continue;
        };
        if !(200..300).contains(&r.status) {
            v.push(format!(
                "MIXED {} got {} where its server said {}",
                t.id, t.status, r.status
            ));
        } else if r.attempt != t.id || header_text(&t.headers, "try") != t.id {
            v.push(format!("MIXED {} got the answer of {}", t.id, r.attempt));
        } else if t.complete && t.received != r.answer_body {
            v.push(format!(
                "MIXED {} looks whole with {} of {} bytes",
                t.id,
                t.received.len(),
                r.answer_body.len()
            ));
        } else if !r.answer_body.starts_with(&t.received) {
            v.push(format!(
                "MIXED {} got bytes that its server did not send",
                t.id
            ));
        }
    }
    v
}

/// Events come in their order, none missing, none twice.
fn misordered_events(e: &Evidence) -> Vec<String> {
    let ids = |t: &Attempt| -> Vec<usize> {
        let s = String::from_utf8_lossy(&t.received).into_owned();
        s.lines()
            .filter_map(|l| l.strip_prefix("id: ")?.parse().ok())
            .collect()
    };
    e.attempts
        .iter()
        .filter(|t| t.route.mode == Mode::Stream && t.status == 200)
        .filter(|t| ids(t).iter().enumerate().any(|(i, n)| *n != i + 1))
        .map(|t| format!("ORDER {} got {:?}", t.id, ids(t)))
        .collect()
}

/// A turn's server gets its whole chain, byte for byte.
fn incomplete_chains(e: &Evidence) -> Vec<String> {
    let by = e.attempts_by_id();
    let mut v = vec![];
    for r in &e.executions {
        let Some(t) = by.get(r.attempt.as_str()).filter(|t| t.route.retained) else {
            continue;
        };
        let (mut want, mut at, mut known) = (vec![t.input.clone()], t.previous_turn.clone(), true);
        while known && !at.is_empty() {
            match by.get(at.as_str()).filter(|p| p.is_success()) {
                Some(p) => {
                    want.push(p.event_data());
                    want.push(p.input.clone());
                    at = p.previous_turn.clone();
                }
                None => known = false,
            }
        }
        want.reverse();
        if !known {
            v.push(format!(
                "UNASKED {} ran on {at}, which was never answered whole",
                t.id
            ));
        } else if want.concat() != r.body {
            v.push(format!(
                "UNASKED {} ran with {} bytes of chain instead of {}",
                t.id,
                r.body.len(),
                want.concat().len()
            ));
        }
    }
    v
}

fn exceeded_budgets(e: &Evidence) -> Vec<String> {
    let mut m: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
    e.attempts
        .iter()
        .filter(|t| t.route.retained && !t.program.is_empty())
        .for_each(|t| {
            let x = m.entry(&t.program).or_default();
            *x = (
                x.0 + t.event_count() * TOKENS_PER_EVENT,
                x.1.max(t.max_tokens),
                t.budget,
            );
        });
    m.into_iter()
        .filter(|(_, (got, most, budget))| *got > budget + most)
        .map(|(p, (got, most, budget))| format!("BUDGET {p} got {got} of {budget} and {most}"))
        .collect()
}

/// us. What a turn that has ended used is known to the stores this much later.
const USAGE_DELAY: u64 = SEC;

/// The most that the turns of a program before this one may have put out: what was answered whole
/// counts by its events, what was turned away counts nothing, and anything else, or what has only
/// just ended, counts at its most.
fn max_tokens_used_before(e: &Evidence, refused: &Attempt) -> u64 {
    let before = e.attempts.iter().filter(|t| {
        t.route.retained && t.program == refused.program && t.sent_at < refused.sent_at
    });
    before
        .map(|t| match t.status {
            _ if t.ended_at + USAGE_DELAY > refused.sent_at => t.max_tokens,
            _ if t.is_success() => t.event_count() * TOKENS_PER_EVENT,
            400..500 | 503 if t.complete => 0,
            _ => t.max_tokens,
        })
        .sum()
}

/// The tries that were told that their budget is spent although it held one turn more.
pub fn rejected_within_budget(e: &Evidence) -> Vec<&Attempt> {
    let spent = e.attempts.iter().filter(|t| t.status == 402);
    spent
        .filter(|t| max_tokens_used_before(e, t) + t.max_tokens <= t.budget)
        .collect()
}

/// 402 is told only where the budget does not hold one turn more.
fn premature_budget_rejections(e: &Evidence) -> Vec<String> {
    let early = rejected_within_budget(e).into_iter();
    early
        .map(|t| {
            format!(
                "DENIED {} got 402 with {} of {} spent",
                t.id,
                max_tokens_used_before(e, t),
                t.budget
            )
        })
        .collect()
}

/// No turn that was answered whole lately is unknown.
fn lost_turns(e: &Evidence) -> Vec<String> {
    let by = e.attempts_by_id();
    e.attempts
        .iter()
        .filter(|t| {
            t.route.retained && matches!(t.status, 404 | 410) && !t.previous_turn.is_empty()
        })
        .filter(|t| {
            by.get(t.previous_turn.as_str())
                .is_some_and(|p| p.is_success() && t.ended_at < p.ended_at + p.route.retain_ms * MS)
        })
        .map(|t| format!("LOST {} was told that {} is unknown", t.id, t.previous_turn))
        .collect()
}

/// Nothing reaches a server that has long been shown as leaving.
fn arrivals_after_drain(e: &Evidence) -> Vec<String> {
    let by = e.attempts_by_id();
    let mut v = vec![];
    for (from, server) in &e.leaving_since {
        let sighted = |at: u64| {
            e.catalogue_outages
                .iter()
                .all(|(a, b)| at < *a || *from > b + e.disruption_grace)
        };
        for (at, s, a) in e
            .arrivals
            .iter()
            .filter(|x| x.1 == *server && x.0 > from + e.drain_grace)
        {
            let calm = by
                .get(a.as_str())
                .is_some_and(|t| e.is_undisturbed(*from.min(&t.sent_at), *at))
                && sighted(*at);
            if calm {
                v.push(format!(
                    "DRAIN {a} reached {s} {} ms after it was shown leaving",
                    (at - from) / MS
                ));
            }
        }
    }
    v
}

/// What is sent well after a version was acknowledged runs where that version, or a newer one, lets
/// it.
fn outdated_configurations(e: &Evidence) -> Vec<String> {
    let runs = e.executions_by_attempt();
    let mut v = vec![];
    for t in &e.attempts {
        let newest = e
            .versions
            .iter()
            .filter(|x| {
                x.acknowledged_at
                    .is_some_and(|a| t.sent_at > a + e.config_grace)
            })
            .map(|x| x.number)
            .max();
        let Some(n) = newest else { continue };
        let mut may: Vec<_> = e.versions.iter().filter(|x| x.number >= n).collect();
        may.sort_by_key(|x| x.number);
        let acked = e
            .versions
            .iter()
            .find(|x| x.number == n)
            .and_then(|x| x.acknowledged_at)
            .unwrap_or(0);
        if !e.is_undisturbed(acked, t.ended_at) {
            continue;
        }
        let ok: BTreeSet<&String> = may
            .iter()
            .filter_map(|x| x.services.get(&t.route.name))
            .flatten()
            .collect();
        let bad = runs
            .get(t.id.as_str())
            .into_iter()
            .flatten()
            .find(|r| !ok.contains(&r.service));
        bad.iter().for_each(|r| {
            v.push(format!(
                "CONFIG {} ran at {} long after version {n}",
                t.id, r.service
            ))
        });
        let there = may.iter().all(|x| x.services.contains_key(&t.route.name));
        if there
            && t.status == 404
            && t.previous_turn.is_empty()
            && !t.headers.contains_key("stamp")
        {
            v.push(format!(
                "CONFIG {} was told there is no route {}",
                t.id, t.route.name
            ));
        }
    }
    v
}

/// Once all machines are back a good part is served again.
fn failed_recovery(e: &Evidence) -> Vec<String> {
    let share = |from: u64, to: u64| {
        let v: Vec<&Attempt> = e
            .attempts
            .iter()
            .filter(|t| t.sent_at >= from && t.sent_at < to && t.ended_at + SEC < e.ended_at.max(1))
            .collect();
        (
            v.len(),
            v.iter()
                .filter(|t| t.is_success() || t.headers.contains_key("stamp"))
                .count(),
        )
    };
    let (n, good) = share(e.restored_at + e.recovery_grace, u64::MAX);
    if n >= 20 && good * 4 < n {
        vec![format!("RECOVER {good} of {n} served after all are back")]
    } else {
        vec![]
    }
}
