//! Which server is chosen, and who waits.

#[path = "support/placement.rs"]
mod support;

use support::{advance, front_runtime, servers};
use yewcross_common::configuration::route::Engine;
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::*;
use yewcross_proxy::balance::{Claim, LoadBalancer, PickError, Requirements};

fn plain() -> Requirements {
    Requirements {
        service: "x".into(),
        site: "z0".into(),
        target_us: 250 * MS,
        max_connections: 100,
        ..Requirements::default()
    }
}

fn model(parts: &[(u64, u64)]) -> Requirements {
    let engine = Some(Engine {
        slots: 8,
        cache_tokens: 20_000,
        token_bytes: 1,
        tokens_per_event: 2,
    });
    let prompt = parts.iter().map(|p| p.1).sum();
    Requirements {
        engine,
        parts: parts.to_vec(),
        prompt_tokens: prompt,
        max_output_tokens: 100,
        ..plain()
    }
}

fn take(
    b: &LoadBalancer,
    w: &Runtime,
    n: &Requirements,
    v: &[ListedServer],
) -> Result<Claim, PickError> {
    b.pick(w, n, v, &[], |_| true)
}

/// A claim that has told a load with so many slots, given back.
fn tell(b: &LoadBalancer, w: &Runtime, v: &[ListedServer], slots: u32) {
    v.iter().for_each(|s| {
        take(b, w, &plain(), std::slice::from_ref(s))
            .unwrap()
            .record_reported_load((1, 0, slots))
    });
}

#[test]
fn requests_spread_by_what_is_under_way() {
    let (_, w) = front_runtime();
    let (b, v) = (LoadBalancer::default(), servers(4, 2));
    tell(&b, &w, &v, 6);
    let mut held: Vec<Claim> = vec![];
    (0..20).for_each(|_| held.push(take(&b, &w, &plain(), &v).unwrap()));
    let n = |i: usize| {
        held.iter()
            .filter(|c| c.target.server == format!("s{i}"))
            .count()
    };
    assert!(
        (0..4).all(|i| (3..=7).contains(&n(i))),
        "{:?}",
        (0..4).map(n).collect::<Vec<_>>()
    );
}

#[test]
fn nobody_is_refused_while_a_place_is_free() {
    let (_, w) = front_runtime();
    let (b, v) = (LoadBalancer::default(), servers(3, 2));
    tell(&b, &w, &v, 6);
    let held: Vec<Claim> = (0..18)
        .map(|_| take(&b, &w, &plain(), &v).unwrap())
        .collect();
    assert_eq!(held.len(), 18);
    let more = (0..20)
        .map(|_| take(&b, &w, &plain(), &v))
        .filter_map(|r| r.err())
        .next();
    drop(held);
    assert!(more.is_none_or(|e| matches!(e, PickError::AtCapacity(_))));
}

#[test]
fn a_server_that_failed_is_left_alone_for_a_while_but_not_for_ever() {
    let (sim, w) = front_runtime();
    let (b, v) = (LoadBalancer::default(), servers(2, 2));
    let c = take(&b, &w, &plain(), &v[..1]).unwrap();
    c.record_failure();
    drop(c);
    (0..8).for_each(|_| assert_eq!(take(&b, &w, &plain(), &v).unwrap().target.server, "s1"));
    // Where it is the only one, it is still asked.
    assert_eq!(take(&b, &w, &plain(), &v[..1]).unwrap().target.server, "s0");
    advance(&sim, &w, EJECTION_TIME);
    assert_eq!(
        take(&b, &w, &plain(), &v).unwrap().target.server,
        "s0",
        "its zone is ours"
    );
}

#[test]
fn a_prompt_goes_where_its_parts_are_held_unless_that_costs_more() {
    let (_, w) = front_runtime();
    let (b, v) = (LoadBalancer::default(), servers(4, 2));
    let parts = [(7, 2_500), (8, 1_000)];
    let c = take(&b, &w, &model(&parts), &v[3..]).unwrap();
    c.record_prefill(&parts, 20_000);
    drop(c);
    let longer = [(7, 2_500), (8, 1_000), (9, 300)];
    assert_eq!(
        take(&b, &w, &model(&longer), &v).unwrap().target.server,
        "s3"
    );
    let n = Requirements {
        previous_server: "s1".into(),
        previous_tokens: 3_500,
        ..model(&[(17, 3_500), (18, 300)])
    };
    assert_eq!(
        take(&b, &w, &n, &v).unwrap().target.server,
        "s1",
        "the turn before ran there"
    );
    let held: Vec<Claim> = (0..8)
        .map(|_| take(&b, &w, &model(&[]), &v[3..]).unwrap())
        .collect();
    assert_ne!(
        take(&b, &w, &model(&longer), &v).unwrap().target.server,
        "s3",
        "all its places are taken"
    );
    drop(held);
    let c = take(&b, &w, &model(&parts), &v[3..]).unwrap();
    c.record_prefill(&[(30, 19_000)], 20_000);
    drop(c);
    let (longer, other) = (model(&longer), model(&[(40, 3_800)]));
    let where_to = |n: &Requirements| {
        (0..12)
            .map(|_| take(&b, &w, n, &v).unwrap().target.server.clone())
            .collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(where_to(&longer), where_to(&other), "what it held gave way");
}

#[test]
fn those_who_wait_are_let_in_by_rank_and_by_the_time_they_have() {
    let (sim, w) = front_runtime();
    let (b, v) = (std::sync::Arc::new(LoadBalancer::default()), servers(1, 2));
    let held: Vec<Claim> = (0..8)
        .map(|_| take(&b, &w, &model(&[]), &v).unwrap())
        .collect();
    assert!(matches!(
        take(&b, &w, &model(&[]), &v),
        Err(PickError::AtCapacity(_))
    ));
    let order: std::sync::Arc<std::sync::Mutex<Vec<u64>>> = Default::default();
    for (id, rank) in [(1, (2, 10)), (2, (0, 90)), (3, (0, 20)), (4, (1, 5))] {
        let (b, w2, o, n) = (
            b.clone(),
            w.clone(),
            order.clone(),
            Requirements { rank, ..model(&[]) },
        );
        w.spawn(async move {
            if b.wait_for_capacity(&w2, &n, w2.now() + SEC).await {
                o.lock().unwrap().push(id);
            }
        });
    }
    sim.run(sim.now() + MS, || false);
    assert_eq!(b.queue_len("x"), 4);
    let mut held = held;
    (0..3).for_each(|_| {
        held.pop();
        sim.run(sim.now() + MS, || false);
    });
    sim.run(sim.now() + 2 * SEC, || false);
    assert_eq!(*order.lock().unwrap(), [3, 2, 4]);
}
