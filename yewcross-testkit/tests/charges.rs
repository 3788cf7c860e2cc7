//! The simulator's machines charge for processor and disk as small real ones do.

use std::sync::Arc;
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_testkit::proof::TestCluster;
use yewcross_testkit::sim::MachineCosts;
use yewcross_testkit::topology::RoleCosts;

/// Founded and left alone for ten seconds: what each role's first machine was charged, us.
fn idle(c: MachineCosts) -> Vec<u64> {
    let lab = TestCluster::with_topology(7, "small", |s| {
        s.costs = RoleCosts {
            front: c,
            core: c,
            store: c,
        }
    });
    lab.boot("platform");
    lab.topology.nodes.iter().for_each(|n| lab.boot(&n.name));
    let me = lab.clone();
    lab.operator.spawn(async move {
        me.operator.sleep(1500 * MS).await;
        me.bootstrap().await;
        me.put("core1", 1, "first").await;
    });
    lab.sim.run(10 * SEC, || false);
    let of = |r| {
        lab.sim
            .processor_time_used(lab.sim.find(&lab.topology.nodes_with_role(r)[0].name))
    };
    let all = || [Role::Front, Role::Core, Role::Store].map(of);
    let a = all();
    lab.sim.run(20 * SEC, || false);
    all().iter().zip(a).map(|(b, a)| b - a).collect()
}

#[test]
fn an_idle_machine_is_charged_by_its_wakes() {
    let v = idle(MachineCosts {
        core_percent: 100,
        poll_us: 1,
        byte_ns: 0,
        sync_us: 0,
    });
    println!("tasks woken over 10 s at rest: front, core, store: {v:?}");
    assert!(v.iter().all(|n| *n > 0));
    let free = idle(MachineCosts::default());
    assert!(free.iter().all(|n| *n == 0), "{free:?}");
}

/// Turns done in 10 s by so many sessions, with servers that are never the narrow place.
fn done(costs: RoleCosts, sessions: usize) -> (usize, u64) {
    let lab = TestCluster::with_topology(11, "metered", |s| {
        s.costs = costs;
        s.servers
            .iter_mut()
            .filter(|b| b.is_model)
            .for_each(|b| (b.slots, b.prefill_us_per_1000, b.output_us) = (1000, 10, 10));
    });
    lab.boot_all();
    let me = lab.clone();
    lab.operator.spawn(async move {
        me.operator.sleep(1500 * MS).await;
        me.bootstrap().await;
        me.put("core1", 1, "first").await;
        me.operator.sleep(4 * SEC).await;
        let w = me.sim.boot(me.sim.find("callers"));
        (0..sessions).for_each(|i| {
            w.spawn(yewcross_testkit::caller::run_session(
                w.clone(),
                me.topology.clone(),
                me.diary.clone(),
                i,
                100_000,
            ))
        });
    });
    lab.sim.run(18 * SEC, || false);
    let store = lab.sim.processor_time_used(lab.sim.find("store1"));
    let d: Arc<_> = lab.diary.clone();
    let n = d
        .records
        .lock()
        .unwrap()
        .iter()
        .filter(|s| {
            s.kind == "turn" && matches!(s.outcome, yewcross_testkit::caller::Outcome::Done)
        })
        .count();
    (n, store)
}

#[test]
fn slow_disks_and_small_processors_bound_what_is_served() {
    let (free, _) = done(RoleCosts::default(), 150);
    let (small, used) = done(RoleCosts::small_machines(2 * MS), 150);
    println!(
        "done by 150 sessions: free {free}, charged {small}, store1 used {} ms",
        used / MS
    );
    assert!(small * 2 < free, "free {free}, charged {small}");
    assert!(small > 0);
}
