//! Whole tiers serving routed requests under troubles. `SEEDS=from..to` and `ACTS=kill_front,faults` run other plans.

use strum::IntoEnumIterator;
use yewcross::consts::*;
use yewcross_lab::routed::tier::{Act, Plan, run};
use yewcross_lab::routed::verdict::judge;

/// Runs a plan; what went wrong, and how many of the callers' tries were answered well.
fn play(seed: u64, acts: &[Act]) -> (Vec<String>, usize, usize) {
    let (t, e) = run(&Plan { seed, shape: "metered".into(), acts: acts.to_vec() });
    let v = judge(&e);
    let good = e.tries.iter().filter(|t| t.good() || t.heads.contains_key("stamp")).count();
    let words: Vec<String> = acts.iter().map(|a| a.to_string()).collect();
    let mut by: std::collections::BTreeMap<String, usize> = Default::default();
    e.tries.iter().for_each(|t| {
        let why = t.heads.get("why").and_then(|v| v.to_str().ok()).unwrap_or_default();
        *by.entry(format!("{}{}{why}", t.status, if t.whole { " " } else { " cut " })).or_default() += 1;
    });
    println!(
        "seed {seed} [{}]: {} tries, {good} good, {} runs, {} programs of {}, {} s, {by:?}, {} faults",
        words.join(","),
        e.tries.len(),
        e.runs.len(),
        t.callers.programs_done.load(std::sync::atomic::Ordering::SeqCst),
        t.callers.programs.load(std::sync::atomic::Ordering::SeqCst),
        e.end / SEC,
        v.len()
    );
    if !v.is_empty() && std::env::var("TRACE").is_ok() {
        t.sim.log().iter().for_each(|(at, who, l)| println!("{:>9} {who}: {l}", at / MS));
    }
    v.iter().take(20).for_each(|l| println!("  {l}"));
    (v, e.tries.len(), good)
}

fn holds(seed: u64, acts: &[Act]) {
    let (v, ..) = play(seed, acts);
    assert!(v.is_empty(), "seed {seed} {acts:?}: {v:#?}");
}

#[test]
fn a_quiet_tier_serves_all() {
    let (v, tries, good) = play(1, &[]);
    assert!(v.is_empty(), "{v:#?}");
    assert!(tries > 200 && good * 100 >= tries * 97, "{good} of {tries}");
}

#[test]
fn plans_of_other_seeds() {
    let Ok(r) = std::env::var("SEEDS") else { return };
    let (a, b) = r.split_once("..").map(|(a, b)| (a.parse::<u64>().unwrap(), b.parse::<u64>().unwrap())).unwrap();
    let acts: Vec<Act> = std::env::var("ACTS").map_or(vec![], |s| s.split(',').map(|a| a.parse().unwrap()).collect());
    let all: Vec<Act> = Act::iter().collect();
    let bad: usize = yewcross_lab::proof::each((a..b).collect(), |seed| {
        let mut r = fastrand::Rng::with_seed(seed);
        let mut v = acts.clone();
        if v.is_empty() {
            v = (0..3).map(|_| all[r.usize(0..all.len())]).collect();
            v.sort_by_key(|a| a.closing());
            v.dedup_by_key(|a| (a.closing(), if a.closing() { 0 } else { *a as usize + 1 }));
        }
        play(seed, &v).0.is_empty()
    });
    assert_eq!(bad, 0, "plans that broke a rule");
}

#[test]
fn each_trouble_alone() {
    for (i, a) in Act::iter().enumerate() {
        holds(100 + i as u64, &[a]);
    }
}
