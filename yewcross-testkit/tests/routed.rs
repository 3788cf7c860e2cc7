//! Whole tiers serving routed requests under troubles. `SEEDS=from..to` and
//! `ACTS=kill_front,faults` run other plans.

use strum::IntoEnumIterator;
use yewcross_common::constants::*;
use yewcross_testkit::routed::tier::{Act, Plan, run};
use yewcross_testkit::routed::verdict::{Evidence, judge};

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
fn play(seed: u64, acts: &[Act]) -> Played {
    let (t, e) = run(&Plan {
        seed,
        shape: "metered".into(),
        acts: acts.to_vec(),
    });
    let v = judge(&e);
    let good = e
        .tries
        .iter()
        .filter(|t| t.good() || t.heads.contains_key("stamp"))
        .count();
    let words: Vec<String> = acts.iter().map(|a| a.to_string()).collect();
    let mut by: std::collections::BTreeMap<String, usize> = Default::default();
    e.tries.iter().for_each(|t| {
        let why = t
            .heads
            .get("why")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default();
        *by.entry(format!(
            "{}{}{why}",
            t.status,
            if t.whole { " " } else { " cut " }
        ))
        .or_default() += 1;
    });
    println!(
        "seed {seed} [{}]: {} tries, {good} good, {} runs, {} programs of {}, {} s, {by:?}, {} faults",
        words.join(","),
        e.tries.len(),
        e.runs.len(),
        t.callers
            .programs_done
            .load(std::sync::atomic::Ordering::SeqCst),
        t.callers.programs.load(std::sync::atomic::Ordering::SeqCst),
        e.end / SEC,
        v.len()
    );
    if !v.is_empty() && std::env::var("TRACE").is_ok() {
        t.sim
            .log()
            .iter()
            .for_each(|(at, who, l)| println!("{:>9} {who}: {l}", at / MS));
    }
    v.iter().take(20).for_each(|l| println!("  {l}"));
    let spent = e.tries.iter().filter(|t| t.status == 402).count();
    Played {
        violations: v,
        owed: e.tries.len() - spent,
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
    let acts: Vec<Act> = std::env::var("ACTS").map_or(vec![], |s| {
        s.split(',').map(|a| a.parse().unwrap()).collect()
    });
    let all: Vec<Act> = Act::iter().collect();
    let bad: usize = yewcross_testkit::proof::each((a..b).collect(), |seed| {
        let mut r = fastrand::Rng::with_seed(seed);
        let mut v = acts.clone();
        if v.is_empty() {
            v = (0..3).map(|_| all[r.usize(0..all.len())]).collect();
            v.sort_by_key(|a| a.closing());
            v.dedup_by_key(|a| (a.closing(), if a.closing() { 0 } else { *a as usize + 1 }));
        }
        play(seed, &v).violations.is_empty()
    });
    assert_eq!(bad, 0, "plans that broke a rule");
}

#[test]
fn each_trouble_alone() {
    let all: Vec<(u64, Act)> = Act::iter()
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
            shape: "small".into(),
            acts: vec![Act::LeaveServer],
        });
        assert!(judge(&e).is_empty());
        spoil(&mut e);
        let v = judge(&e);
        assert!(
            v.iter().any(|l| l.starts_with(word)),
            "{word} was not seen: {v:?}"
        );
    };
    let turn = |e: &Evidence| {
        e.tries
            .iter()
            .position(|t| t.good() && t.route.retained && !t.prev.is_empty())
            .unwrap()
    };
    let row = |e: &Evidence| {
        e.tries
            .iter()
            .position(|t| t.good() && t.events() > 3)
            .unwrap()
    };
    let once = |e: &Evidence| {
        e.tries
            .iter()
            .position(|t| {
                t.good() && t.route.mode == yewcross_common::configuration::route::Mode::Effectful
            })
            .unwrap()
    };
    let run_of = |e: &Evidence, a: &str| e.runs.iter().position(|r| r.attempt == a).unwrap();
    sees("UNASKED", &|e| e.runs[7].attempt = "nobody".into());
    sees("UNASKED", &|e| e.runs[7].target.push('x'));
    sees("UNASKED", &|e| {
        let i = turn(e);
        let k = run_of(e, &e.tries[i].attempt.clone());
        e.runs[k].body[0] ^= 1;
    });
    sees("ROUTE", &|e| {
        let i = once(e);
        let k = run_of(e, &e.tries[i].attempt.clone());
        e.runs[k].service = "model".into();
    });
    sees("TWICE", &|e| {
        let i = once(e);
        let k = run_of(e, &e.tries[i].attempt.clone());
        e.runs.push(e.runs[k].clone());
    });
    sees("REFUSED", &|e| {
        let i = once(e);
        e.tries[i].status = 503;
    });
    sees("MIXED", &|e| {
        let i = once(e);
        e.tries[i].heard.pop();
    });
    sees("MIXED", &|e| {
        let i = once(e);
        e.tries[i].heads.remove("stamp");
    });
    sees("ORDER", &|e| {
        let i = row(e);
        let s = String::from_utf8_lossy(&e.tries[i].heard).replace("id: 2\n", "id: 1\n");
        e.tries[i].heard = s.into_bytes();
    });
    sees("BUDGET", &|e| {
        let i = turn(e);
        let p = e.tries[i].program.clone();
        e.tries
            .iter_mut()
            .filter(|t| t.program == p)
            .for_each(|t| (t.budget, t.most) = (0, 0));
    });
    sees("DENIED", &|e| {
        let first = e
            .tries
            .iter()
            .position(|t| t.good() && t.route.retained && t.prev.is_empty() && t.budget >= t.most)
            .unwrap();
        e.tries[first].status = 402;
    });
    sees("LOST", &|e| {
        let i = turn(e);
        (e.tries[i].status, e.tries[i].heads) = (404, Default::default());
    });
    sees("DRAIN", &|e| {
        let (at, server) = e.leaving[0].clone();
        let a = e
            .tries
            .iter()
            .find(|t| t.at > at + 4 * SEC)
            .unwrap()
            .attempt
            .clone();
        e.reached.push((at + 4 * SEC, server, a));
    });
    sees("CONFIG", &|e| {
        let v = e.versions[0].clone();
        let to =
            v.to.keys()
                .map(|k| (k.clone(), vec!["elsewhere".to_string()]))
                .collect();
        e.versions.push(yewcross_testkit::routed::cfg::Version {
            number: v.number + 1,
            to,
            ..v
        });
    });
    sees("RECOVER", &|e| {
        e.back = 1;
        e.tries
            .iter_mut()
            .filter(|t| t.at > 12 * SEC)
            .for_each(|t| {
                t.status = 503;
                t.heads.clear();
            });
        e.runs.clear();
    });
}
