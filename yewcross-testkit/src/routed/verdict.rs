//! What must hold whatever happens, checked against what callers heard and servers ran.

use super::caller::Try;
use super::ports::text;
use super::server::Run;
use super::{PER_EVENT, cfg::Version};
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::configuration::route::Mode;
use yewcross_common::constants::*;

/// All there is to judge by. Times in us of the world's clock.
#[derive(Default)]
pub struct Evidence {
    pub tries: Vec<Try>,
    pub runs: Vec<Run>,
    pub reached: Vec<(u64, String, String)>,
    pub odd: Vec<String>,
    /// Every configuration that was ever sent, with when it was acknowledged.
    pub versions: Vec<Version>,
    /// From when on the list showed a server as leaving.
    pub leaving: Vec<(u64, String)>,
    /// When machines or links were in trouble.
    pub troubles: Vec<(u64, u64)>,
    /// When the platform's list was away.
    pub blind: Vec<(u64, u64)>,
    /// Everything is back and runs from then on; 0: nothing was ever taken away.
    pub back: u64,
    pub end: u64,
    pub contact: u64,
    pub apply: u64,
    pub drain: u64,
    pub recover: u64,
}

impl Evidence {
    fn calm(&self, from: u64, to: u64) -> bool {
        self.troubles
            .iter()
            .all(|(a, b)| to < *a || from > b + self.contact)
    }
    fn by_try(&self) -> BTreeMap<&str, &Try> {
        self.tries.iter().map(|t| (t.attempt.as_str(), t)).collect()
    }
    fn runs_of(&self) -> BTreeMap<&str, Vec<&Run>> {
        let mut m: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        self.runs
            .iter()
            .for_each(|r| m.entry(&r.attempt).or_default().push(r));
        m
    }
}

pub fn judge(e: &Evidence) -> Vec<String> {
    let all: [fn(&Evidence) -> Vec<String>; 12] = [
        asked,
        twice,
        refused,
        mixed,
        order,
        chains,
        budgets,
        refusals_are_due,
        known,
        drained,
        in_force,
        back,
    ];
    let mut v: Vec<String> = e.odd.iter().map(|o| format!("ODD {o}")).collect();
    v.extend(all.iter().flat_map(|f| f(e)));
    v
}

/// Runs only what some caller sent, unchanged, where some configuration lets it go.
fn asked(e: &Evidence) -> Vec<String> {
    let by = e.by_try();
    let mut v = vec![];
    for r in &e.runs {
        let Some(t) = by.get(r.attempt.as_str()) else {
            v.push(format!(
                "UNASKED {} ran {} that nobody sent",
                r.server, r.attempt
            ));
            continue;
        };
        if (&r.method, &r.target) != (&t.method, &t.target) {
            v.push(format!(
                "UNASKED {} became {} {}",
                t.attempt, r.method, r.target
            ));
        }
        if !t.route.retained && r.body != t.input {
            v.push(format!("UNASKED the body of {} changed", t.attempt));
        }
        let may = e.versions.iter().any(|x| {
            x.to.get(&t.route.name)
                .is_some_and(|s| s.contains(&r.service))
        });
        if !may {
            v.push(format!(
                "ROUTE {} of {} ran at {} of {}",
                t.attempt, t.route.name, r.server, r.service
            ));
        }
    }
    v
}

fn twice(e: &Evidence) -> Vec<String> {
    let by = e.by_try();
    let bad = |a: &str, n: usize| {
        by.get(a).is_some_and(|t| {
            n > if t.route.mode == Mode::Pure {
                super::TRIES
            } else {
                1
            }
        })
    };
    e.runs_of()
        .into_iter()
        .filter(|(a, r)| bad(a, r.len()))
        .map(|(a, r)| format!("TWICE {a} ran {} times", r.len()))
        .collect()
}

fn refused(e: &Evidence) -> Vec<String> {
    let runs = e.runs_of();
    let ran = |t: &&Try| runs.contains_key(t.attempt.as_str());
    e.tries
        .iter()
        .filter(|t| t.promised() && t.route.mode != Mode::Pure)
        .filter(ran)
        .map(|t| format!("REFUSED {} got {} and ran", t.attempt, t.status))
        .collect()
}

/// A success is its own server's whole answer, stamp and all.
fn mixed(e: &Evidence) -> Vec<String> {
    let mut v = vec![];
    for t in e.tries.iter().filter(|t| (200..300).contains(&t.status)) {
        let n: Option<usize> = text(&t.heads, "stamp")
            .strip_prefix('r')
            .and_then(|n| n.parse().ok());
        let Some(r) = n.and_then(|n| e.runs.get(n)) else {
            v.push(format!("MIXED {} has no server's stamp", t.attempt));
            continue;
        };
        if !(200..300).contains(&r.status) {
            v.push(format!(
                "MIXED {} got {} where its server said {}",
                t.attempt, t.status, r.status
            ));
        } else if r.attempt != t.attempt || text(&t.heads, "try") != t.attempt {
            v.push(format!(
                "MIXED {} got the answer of {}",
                t.attempt, r.attempt
            ));
        } else if t.whole && t.heard != r.out {
            v.push(format!(
                "MIXED {} looks whole with {} of {} bytes",
                t.attempt,
                t.heard.len(),
                r.out.len()
            ));
        } else if !r.out.starts_with(&t.heard) {
            v.push(format!(
                "MIXED {} got bytes that its server did not send",
                t.attempt
            ));
        }
    }
    v
}

/// Events come in their order, none missing, none twice.
fn order(e: &Evidence) -> Vec<String> {
    let ids = |t: &Try| -> Vec<usize> {
        let s = String::from_utf8_lossy(&t.heard).into_owned();
        s.lines()
            .filter_map(|l| l.strip_prefix("id: ")?.parse().ok())
            .collect()
    };
    e.tries
        .iter()
        .filter(|t| t.route.mode == Mode::Stream && t.status == 200)
        .filter(|t| ids(t).iter().enumerate().any(|(i, n)| *n != i + 1))
        .map(|t| format!("ORDER {} got {:?}", t.attempt, ids(t)))
        .collect()
}

/// A turn's server gets its whole chain, byte for byte.
fn chains(e: &Evidence) -> Vec<String> {
    let by = e.by_try();
    let mut v = vec![];
    for r in &e.runs {
        let Some(t) = by.get(r.attempt.as_str()).filter(|t| t.route.retained) else {
            continue;
        };
        let (mut want, mut at, mut known) = (vec![t.input.clone()], t.prev.clone(), true);
        while known && !at.is_empty() {
            match by.get(at.as_str()).filter(|p| p.good()) {
                Some(p) => {
                    want.push(p.data());
                    want.push(p.input.clone());
                    at = p.prev.clone();
                }
                None => known = false,
            }
        }
        want.reverse();
        if !known {
            v.push(format!(
                "UNASKED {} ran on {at}, which was never answered whole",
                t.attempt
            ));
        } else if want.concat() != r.body {
            v.push(format!(
                "UNASKED {} ran with {} bytes of chain instead of {}",
                t.attempt,
                r.body.len(),
                want.concat().len()
            ));
        }
    }
    v
}

fn budgets(e: &Evidence) -> Vec<String> {
    let mut m: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
    e.tries
        .iter()
        .filter(|t| t.route.retained && !t.program.is_empty())
        .for_each(|t| {
            let x = m.entry(&t.program).or_default();
            *x = (x.0 + t.events() * PER_EVENT, x.1.max(t.most), t.budget);
        });
    m.into_iter()
        .filter(|(_, (got, most, budget))| *got > budget + most)
        .map(|(p, (got, most, budget))| format!("BUDGET {p} got {got} of {budget} and {most}"))
        .collect()
}

/// us. What a turn that has ended used is known to the stores this much later.
const SETTLE: u64 = SEC;

/// The most that the turns of a program before this one may have put out: what was answered whole
/// counts by its events, what was turned away counts nothing, and anything else, or what has only
/// just ended, counts at its most.
fn most_spent_before(e: &Evidence, refused: &Try) -> u64 {
    let before = e
        .tries
        .iter()
        .filter(|t| t.route.retained && t.program == refused.program && t.at < refused.at);
    before
        .map(|t| match t.status {
            _ if t.end + SETTLE > refused.at => t.most,
            _ if t.good() => t.events() * PER_EVENT,
            400..500 | 503 if t.whole => 0,
            _ => t.most,
        })
        .sum()
}

/// The tries that were told that their budget is spent although it held one turn more.
pub fn refused_too_early(e: &Evidence) -> Vec<&Try> {
    let spent = e.tries.iter().filter(|t| t.status == 402);
    spent
        .filter(|t| most_spent_before(e, t) + t.most <= t.budget)
        .collect()
}

/// 402 is told only where the budget does not hold one turn more.
fn refusals_are_due(e: &Evidence) -> Vec<String> {
    let early = refused_too_early(e).into_iter();
    early
        .map(|t| {
            format!(
                "DENIED {} got 402 with {} of {} spent",
                t.attempt,
                most_spent_before(e, t),
                t.budget
            )
        })
        .collect()
}

/// No turn that was answered whole lately is unknown.
fn known(e: &Evidence) -> Vec<String> {
    let by = e.by_try();
    e.tries
        .iter()
        .filter(|t| t.route.retained && matches!(t.status, 404 | 410) && !t.prev.is_empty())
        .filter(|t| {
            by.get(t.prev.as_str())
                .is_some_and(|p| p.good() && t.end < p.end + p.route.retain_ms * MS)
        })
        .map(|t| format!("LOST {} was told that {} is unknown", t.attempt, t.prev))
        .collect()
}

/// Nothing reaches a server that has long been shown as leaving.
fn drained(e: &Evidence) -> Vec<String> {
    let by = e.by_try();
    let mut v = vec![];
    for (from, server) in &e.leaving {
        let sighted = |at: u64| {
            e.blind
                .iter()
                .all(|(a, b)| at < *a || *from > b + e.contact)
        };
        for (at, s, a) in e
            .reached
            .iter()
            .filter(|x| x.1 == *server && x.0 > from + e.drain)
        {
            let calm = by
                .get(a.as_str())
                .is_some_and(|t| e.calm(*from.min(&t.at), *at))
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
fn in_force(e: &Evidence) -> Vec<String> {
    let runs = e.runs_of();
    let mut v = vec![];
    for t in &e.tries {
        let newest = e
            .versions
            .iter()
            .filter(|x| x.acked.is_some_and(|a| t.at > a + e.apply))
            .map(|x| x.number)
            .max();
        let Some(n) = newest else { continue };
        let mut may: Vec<_> = e.versions.iter().filter(|x| x.number >= n).collect();
        may.sort_by_key(|x| x.number);
        let acked = e
            .versions
            .iter()
            .find(|x| x.number == n)
            .and_then(|x| x.acked)
            .unwrap_or(0);
        if !e.calm(acked, t.end) {
            continue;
        }
        let ok: BTreeSet<&String> = may
            .iter()
            .filter_map(|x| x.to.get(&t.route.name))
            .flatten()
            .collect();
        let bad = runs
            .get(t.attempt.as_str())
            .into_iter()
            .flatten()
            .find(|r| !ok.contains(&r.service));
        bad.iter().for_each(|r| {
            v.push(format!(
                "CONFIG {} ran at {} long after version {n}",
                t.attempt, r.service
            ))
        });
        let there = may.iter().all(|x| x.to.contains_key(&t.route.name));
        if there && t.status == 404 && t.prev.is_empty() && !t.heads.contains_key("stamp") {
            v.push(format!(
                "CONFIG {} was told there is no route {}",
                t.attempt, t.route.name
            ));
        }
    }
    v
}

/// Once all machines are back a good part is served again.
fn back(e: &Evidence) -> Vec<String> {
    let share = |from: u64, to: u64| {
        let v: Vec<&Try> = e
            .tries
            .iter()
            .filter(|t| t.at >= from && t.at < to && t.end + SEC < e.end.max(1))
            .collect();
        (
            v.len(),
            v.iter()
                .filter(|t| t.good() || t.heads.contains_key("stamp"))
                .count(),
        )
    };
    let (n, good) = share(e.back + e.recover, u64::MAX);
    if n >= 20 && good * 4 < n {
        vec![format!("RECOVER {good} of {n} served after all are back")]
    } else {
        vec![]
    }
}
