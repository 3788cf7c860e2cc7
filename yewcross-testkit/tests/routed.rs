//! Whole tiers serving routed requests under troubles. `SEEDS=from..to` and
//! `ACTS=kill_front,faults` run other plans.

use strum::IntoEnumIterator;
use yewcross_common::constants::*;
use yewcross_testkit::routed::tier::{Disruption, Plan, run};
use yewcross_testkit::routed::verdict::{Evidence, find_violations};

/// What a plan came to.
struct Played {
    violations: Vec<String>,
    /// Tries whose programs had budget left for them.
    owed: usize,
    /// Tries that were answered well.
    good: usize,
}

/// Runs a plan and judges it. A try that is told 402 is not owed an answer; the verdict holds each
/// such refusal to be due.
fn play(seed: u64, acts: &[Disruption]) -> Played {
    let (t, e) = run(&Plan {
        seed,
        topology: "metered".into(),
        disruptions: acts.to_vec(),
    });
    let v = find_violations(&e);
    let good = e
        .attempts
        .iter()
        .filter(|t| t.is_success() || t.headers.contains_key("stamp"))
        .count();
    let words: Vec<String> = acts.iter().map(|a| a.to_string()).collect();
    let mut by: std::collections::BTreeMap<String, usize> = Default::default();
    e.attempts.iter().for_each(|t| {
        let why = t
            .headers
            .get("why")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default();
        *by.entry(format!(
            "{}{}{why}",
            t.status,
            if t.complete { " " } else { " cut " }
        ))
        .or_default() += 1;
    });
    println!(
        "seed {seed} [{}]: {} tries, {good} good, {} runs, {} programs of {}, {} s, {by:?}, {} faults",
        words.join(","),
        e.attempts.len(),
        e.executions.len(),
        t.caller_records
            .programs_completed
            .load(std::sync::atomic::Ordering::SeqCst),
        t.caller_records
            .programs_started
            .load(std::sync::atomic::Ordering::SeqCst),
        e.ended_at / SEC,
        v.len()
    );
    if !v.is_empty() && std::env::var("TRACE").is_ok() {
        t.sim
            .log()
            .iter()
            .for_each(|(at, who, l)| println!("{:>9} {who}: {l}", at / MS));
    }
    v.iter().take(20).for_each(|l| println!("  {l}"));
    let spent = e.attempts.iter().filter(|t| t.status == 402).count();
    Played {
        violations: v,
        owed: e.attempts.len() - spent,
        good,
    }
}

#[test]
fn a_quiet_tier_serves_all() {
    let Played {
        violations,
        owed,
        good,
    } = play(1, &[]);
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(owed > 200 && good * 100 >= owed * 97, "{good} of {owed}");
}

#[test]
fn plans_of_other_seeds() {
    let Ok(r) = std::env::var("SEEDS") else {
        return;
    };
    let (a, b) = r
        .split_once("..")
        .map(|(a, b)| (a.parse::<u64>().unwrap(), b.parse::<u64>().unwrap()))
        .unwrap();
    let acts: Vec<Disruption> = std::env::var("ACTS").map_or(vec![], |s| {
        s.split(',').map(|a| a.parse().unwrap()).collect()
    });
    let all: Vec<Disruption> = Disruption::iter().collect();
    let bad: usize = yewcross_testkit::proof::each((a..b).collect(), |seed| {
        let mut r = fastrand::Rng::with_seed(seed);
        let mut v = acts.clone();
        if v.is_empty() {
            v = (0..3).map(|_| all[r.usize(0..all.len())]).collect();
            v.sort_by_key(|a| a.affects_all_nodes());
            v.dedup_by_key(|a| {
                (
                    a.affects_all_nodes(),
                    if a.affects_all_nodes() {
                        0
                    } else {
                        *a as usize + 1
                    },
                )
            });
        }
        play(seed, &v).violations.is_empty()
    });
    assert_eq!(bad, 0, "plans that broke a rule");
}

#[test]
fn each_trouble_alone() {
    let all: Vec<(u64, Disruption)> = Disruption::iter()
        .enumerate()
        .map(|(i, a)| (100 + i as u64, a))
        .collect();
    let bad =
        yewcross_testkit::proof::each(all, |(seed, a)| play(seed, &[a]).violations.is_empty());
    assert_eq!(bad, 0, "troubles that broke a rule");
}

/// A judge that cannot fail proves nothing: each kind of wrong, put into good evidence, is seen.
#[test]
fn every_check_sees_its_own_wrong() {
    let sees = |word: &str, spoil: &dyn Fn(&mut Evidence)| {
        let (_, mut e) = run(&Plan {
            seed: 5,
            topology: "small".into(),
            disruptions: vec![Disruption::DrainServer],
        });
        assert!(find_violations(&e).is_empty());
        spoil(&mut e);
        let v = find_violations(&e);
        assert!(
            v.iter().any(|l| l.starts_with(word)),
            "{word} was not seen: {v:?}"
        );
    };
    let turn = |e: &Evidence| {
        e.attempts
            .iter()
            .position(|t| t.is_success() && t.route.retained && !t.previous_turn.is_empty())
            .unwrap()
    };
    let row = |e: &Evidence| {
        e.attempts
            .iter()
            .position(|t| t.is_success() && t.event_count() > 3)
            .unwrap()
    };
    let once = |e: &Evidence| {
        e.attempts
            .iter()
            .position(|t| {
                t.is_success()
                    && t.route.mode == yewcross_common::configuration::route::Mode::Effectful
            })
            .unwrap()
    };
    let run_of = |e: &Evidence, a: &str| e.executions.iter().position(|r| r.attempt == a).unwrap();
    sees("UNASKED", &|e| e.executions[7].attempt = "nobody".into());
    sees("UNASKED", &|e| e.executions[7].target.push('x'));
    sees("UNASKED", &|e| {
        let i = turn(e);
        let k = run_of(e, &e.attempts[i].id.clone());
        e.executions[k].body[0] ^= 1;
    });
    sees("ROUTE", &|e| {
        let i = once(e);
        let k = run_of(e, &e.attempts[i].id.clone());
        e.executions[k].service = "model".into();
    });
    sees("TWICE", &|e| {
        let i = once(e);
        let k = run_of(e, &e.attempts[i].id.clone());
        e.executions.push(e.executions[k].clone());
    });
    sees("REFUSED", &|e| {
        let i = once(e);
        e.attempts[i].status = 503;
    });
    sees("MIXED", &|e| {
        let i = once(e);
        e.attempts[i].received.pop();
    });
    sees("MIXED", &|e| {
        let i = once(e);
        e.attempts[i].headers.remove("stamp");
    });
    sees("ORDER", &|e| {
        let i = row(e);
        let s = String::from_utf8_lossy(&e.attempts[i].received).replace("id: 2\n", "id: 1\n");
        e.attempts[i].received = s.into_bytes();
    });
    sees("BUDGET", &|e| {
        let i = turn(e);
        let p = e.attempts[i].program.clone();
        e.attempts
            .iter_mut()
            .filter(|t| t.program == p)
            .for_each(|t| (t.budget, t.max_tokens) = (0, 0));
    });
    sees("DENIED", &|e| {
        let first = e
            .attempts
            .iter()
            .position(|t| {
                t.is_success()
                    && t.route.retained
                    && t.previous_turn.is_empty()
                    && t.budget >= t.max_tokens
            })
            .unwrap();
        e.attempts[first].status = 402;
    });
    sees("LOST", &|e| {
        let i = turn(e);
        (e.attempts[i].status, e.attempts[i].headers) = (404, Default::default());
    });
    sees("DRAIN", &|e| {
        let (at, server) = e.leaving_since[0].clone();
        let a = e
            .attempts
            .iter()
            .find(|t| t.sent_at > at + 4 * SEC)
            .unwrap()
            .id
            .clone();
        e.arrivals.push((at + 4 * SEC, server, a));
    });
    sees("CONFIG", &|e| {
        let v = e.versions[0].clone();
        let to = v
            .services
            .keys()
            .map(|k| (k.clone(), vec!["elsewhere".to_string()]))
            .collect();
        e.versions
            .push(yewcross_testkit::routed::cfg::ConfigVersion {
                number: v.number + 1,
                services: to,
                ..v
            });
    });
    sees("RECOVER", &|e| {
        e.restored_at = 1;
        e.attempts
            .iter_mut()
            .filter(|t| t.sent_at > 12 * SEC)
            .for_each(|t| {
                t.status = 503;
                t.headers.clear();
            });
        e.executions.clear();
    });
}
