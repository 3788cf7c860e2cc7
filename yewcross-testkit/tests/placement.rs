//! What the choice of a server learns from answers and from other fronts; each test fails with its
//! mechanism off.

#[path = "support/placement.rs"]
mod support;

use support::{advance, front_runtime, servers};
use yewcross_common::configuration::route::Engine;
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::*;
use yewcross_proxy::balance::{Claim, Load, LoadBalancer, Requirements, SlopeEstimator};
use yewcross_proxy::load_exchange::{LoadCollector, ServerKey, ServerLoad};
use yewcross_proxy::policy::{Mechanism, Policies};
use yewcross_testkit::sim::Sim;

fn model(parts: &[(u64, u64)]) -> Requirements {
    let engine = Some(Engine {
        slots: 12,
        cache_tokens: 1_000_000,
        token_bytes: 1,
        tokens_per_event: 2,
    });
    let prompt = parts.iter().map(|p| p.1).sum();
    let plain = Requirements {
        service: "x".into(),
        site: "z0".into(),
        target_us: 250 * MS,
        max_connections: 100,
        ..Requirements::default()
    };
    Requirements {
        engine,
        parts: parts.to_vec(),
        prompt_tokens: prompt,
        max_output_tokens: 100,
        ..plain
    }
}

fn pick(b: &LoadBalancer, w: &Runtime, n: &Requirements, v: &[ListedServer]) -> Claim {
    b.pick(w, n, v, &[], |_| true).expect("a place is free")
}

/// Runs a request alone at the first server: it reads its prompt at this pace, and streams its
/// events at that one.
fn run(
    sim: &Sim,
    w: &Runtime,
    b: &LoadBalancer,
    v: &[ListedServer],
    tokens: u64,
    token_us: f64,
    gap_us: u64,
) {
    let mut c = pick(b, w, &model(&[(sim.rand(), tokens)]), &v[..1]);
    advance(sim, w, 10 * MS + (tokens as f64 * token_us) as u64);
    c.record_response_head();
    advance(sim, w, 7 * gap_us);
    c.record_stream_end(8);
}

fn others(b: &LoadBalancer, w: &Runtime, at: &str, in_flight: u32, ejected_by: u32) {
    b.update_peer_loads(w.now(), |server| {
        Some(if server == at {
            Load {
                in_flight,
                ejected_by,
            }
        } else {
            Load::default()
        })
    });
}

#[test]
fn a_slope_is_found_whatever_is_added_to_all_and_follows_what_changes() {
    let mut slope = SlopeEstimator::new(33.0, 1_000.0);
    assert_eq!(slope.value(), 33.0, "nothing was seen yet");
    (0..60u64).for_each(|i| {
        slope.add(
            (i * 997 % 15_000) as f64,
            20_000.0 + (i * 997 % 15_000) as f64 * 7.0,
        )
    });
    assert!((6.5..8.0).contains(&slope.value()), "{}", slope.value());
    (0..900u64).for_each(|i| {
        slope.add(
            (i * 997 % 15_000) as f64,
            90_000.0 + (i * 997 % 15_000) as f64 * 30.0,
        )
    });
    assert!((28.0..32.0).contains(&slope.value()), "{}", slope.value());
    let mut falling = SlopeEstimator::new(500.0, 2.0);
    (0..2_000u64).for_each(|i| falling.add((i % 9) as f64, 900.0 - (i % 9) as f64 * 50.0));
    assert_eq!(falling.value(), 0.0, "more work makes nothing faster");
}

/// Where prompts are read fast, a place beside few is worth more than a prefix beside many.
#[test]
fn the_price_of_a_token_is_learned_from_first_events() {
    for (policies, cold_is_taken) in [
        (Policies::all(), true),
        (Policies::all().without(Mechanism::LearnedPromptCost), false),
    ] {
        let ((sim, w), b, v) = (
            front_runtime(),
            LoadBalancer::with_policies(policies),
            servers(2, 1),
        );
        (0..40).for_each(|i| run(&sim, &w, &b, &v, 1_000 + i * 300, 7.0, 30 * MS));
        let prompt = [(7, 4_000)];
        pick(&b, &w, &model(&prompt), &v[..1]).record_prefill(&prompt, 1_000_000);
        let _ = pick(&b, &w, &model(&[]), &v[1..]);
        others(&b, &w, "s0", 11, 0);
        let taken = pick(&b, &w, &model(&prompt), &v).target.server.clone();
        assert_eq!(
            taken == "s1",
            cold_is_taken,
            "reads {} us a token",
            b.observed("x").prefill.value()
        );
    }
}

/// Where neighbours slow a stream down much, a prefix is left for a place with fewer of them.
#[test]
fn the_price_of_a_neighbour_is_learned_from_the_pace_of_streams() {
    for (policies, idle_is_taken) in [
        (Policies::all(), true),
        (
            Policies::all().without(Mechanism::LearnedConcurrencyCost),
            false,
        ),
    ] {
        let ((sim, w), b, v) = (
            front_runtime(),
            LoadBalancer::with_policies(policies),
            servers(2, 1),
        );
        (0..40).for_each(|i| run(&sim, &w, &b, &v, 1_000 + i * 300, 7.0, 30 * MS));
        for i in 0..300u32 {
            others(&b, &w, "s0", i % 10, 0);
            let mut c = pick(&b, &w, &model(&[]), &v[..1]);
            c.record_response_head();
            advance(&sim, &w, 7 * (30 + 5 * (i as u64 % 10)) * MS);
            c.record_stream_end(8);
        }
        let prompt = [(7, 4_000)];
        pick(&b, &w, &model(&prompt), &v[..1]).record_prefill(&prompt, 1_000_000);
        let _ = pick(&b, &w, &model(&[]), &v[1..]);
        others(&b, &w, "s0", 4, 0);
        let taken = pick(&b, &w, &model(&prompt), &v).target.server.clone();
        assert_eq!(
            taken == "s1",
            idle_is_taken,
            "a neighbour costs {} us",
            b.observed("x").contention_us()
        );
    }
}

#[test]
fn what_other_fronts_have_under_way_keeps_requests_off_a_hot_server() {
    let ((sim, w), b, v) = (front_runtime(), LoadBalancer::default(), servers(3, 1));
    v.iter()
        .for_each(|s| drop(pick(&b, &w, &model(&[]), std::slice::from_ref(s))));
    let hits = |b: &LoadBalancer| {
        (0..60)
            .filter(|_| pick(b, &w, &model(&[]), &v).target.server == "s1")
            .count()
    };
    assert!(
        hits(&b) > 5,
        "nothing is heard: each front chooses for itself"
    );
    others(&b, &w, "s1", 9, 0);
    assert_eq!(hits(&b), 0);
    (0..9).for_each(|_| {
        advance(&sim, &w, LOAD_DECAY_TIME);
        others(&b, &w, "s1", 0, 0);
    });
    assert!(hits(&b) > 5, "it is idle again");
}

#[test]
fn a_server_that_several_fronts_leave_alone_is_left_alone_unless_they_are_many() {
    for (policies, left_alone) in [
        (Policies::all(), true),
        (Policies::all().without(Mechanism::SharedEjection), false),
    ] {
        let ((sim, w), b, v) = (
            front_runtime(),
            LoadBalancer::with_policies(policies),
            servers(4, 1),
        );
        v.iter()
            .for_each(|s| drop(pick(&b, &w, &model(&[]), std::slice::from_ref(s))));
        let hits = || {
            (0..80)
                .filter(|_| pick(&b, &w, &model(&[]), &v).target.server == "s2")
                .count()
        };
        others(&b, &w, "s2", 0, EJECTION_QUORUM - 1);
        assert!(hits() > 5, "one front alone may be cut off from it");
        others(&b, &w, "s2", 0, EJECTION_QUORUM);
        assert_eq!(hits() == 0, left_alone);
        advance(&sim, &w, EJECTION_TIME);
        assert!(hits() > 5, "what was heard is old");
        b.update_peer_loads(w.now(), |server| {
            Some(Load {
                in_flight: 0,
                ejected_by: if server == "s0" { 0 } else { 9 },
            })
        });
        assert!(
            hits() > 5,
            "most are left alone: that is no word about a server"
        );
    }
}

#[test]
fn what_concerns_the_same_thing_goes_to_one_server_until_that_costs_too_much() {
    let ((_sim, w), v) = (front_runtime(), servers(6, 1));
    let plain = |key: &str| Requirements {
        engine: None,
        affinity_key: key.into(),
        ..model(&[])
    };
    let slots = |b: &LoadBalancer| {
        v.iter().for_each(|s| {
            pick(b, &w, &plain(""), std::slice::from_ref(s)).record_reported_load((1, 0, 4))
        })
    };
    let places = |b: &LoadBalancer, key: &str| {
        let all: std::collections::BTreeSet<String> = (0..40)
            .map(|_| pick(b, &w, &plain(key), &v).target.server.clone())
            .collect();
        all.into_iter().collect::<Vec<_>>()
    };
    let (on, off) = (
        LoadBalancer::default(),
        LoadBalancer::with_policies(Policies::all().without(Mechanism::Affinity)),
    );
    slots(&on);
    slots(&off);
    let home = places(&on, "17");
    assert_eq!(
        (home.len(), places(&LoadBalancer::default(), "17")),
        (1, home.clone()),
        "the same at every front"
    );
    assert!(places(&off, "17").len() > 1);
    assert!(
        (0..30)
            .map(|i| places(&on, &i.to_string()))
            .collect::<std::collections::BTreeSet<_>>()
            .len()
            > 3,
        "keys are spread"
    );
    let held: Vec<Claim> = (0..3).map(|_| pick(&on, &w, &plain("17"), &v)).collect();
    assert!(
        held.iter().any(|c| c.target.server != home[0]),
        "it is not flooded for it"
    );
}

#[test]
fn a_collector_sums_what_still_counts() {
    let v = servers(2, 1);
    let load = |server: &str, in_flight: u32, ejected_by: u32| ServerLoad {
        server: ServerKey::of(server),
        load: Load {
            in_flight,
            ejected_by,
        },
    };
    let mut c = LoadCollector::default();
    c.add_report("f1", false, &[load("s0", 3, 0), load("s1", 1, 1)], 1_000);
    c.add_report("f2", false, &[load("s0", 2, 1)], 1_000);
    c.add_report("z9", true, &[load("s1", 4, 1)], 500_000);
    let total = |now: u64| {
        c.total(v.iter(), now)
            .into_iter()
            .map(|l| (l.load.in_flight, l.load.ejected_by))
            .collect::<Vec<_>>()
    };
    assert_eq!(total(2_000), [(5, 1), (5, 2)]);
    assert_eq!(
        total(1_000 + LOAD_REPORT_LIFETIME),
        [(0, 0), (4, 1)],
        "fronts that fell silent count for nothing"
    );
    c.add_report("f1", false, &[], 2_000);
    let again = c.total(v.iter(), 2_000);
    assert_eq!(
        again[0].load,
        Load {
            in_flight: 2,
            ejected_by: 1
        },
        "a new report replaces the old one"
    );
}
