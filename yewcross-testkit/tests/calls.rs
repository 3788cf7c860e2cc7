//! Calls under everything at once: servers with every fault, fronts that are killed, frozen, slow
//! and stopped in order, addresses passed on, callers that leave. Each answer is compared with what
//! its server gave, each run counted by its id. `CALLS=from..to` plays other seeds.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::configuration::route::Mode;
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_testkit::routed::MAX_TRIES;
use yewcross_testkit::routed::tier::{Disruption, Tier};
use yewcross_testkit::routed::verdict::{Evidence, find_violations};

/// Troubles that follow each other; the rows go on side by side.
const ROWS: [&[Disruption]; 4] = [
    &[
        Disruption::ServerFaults,
        Disruption::TrafficBurst,
        Disruption::ServerFaults,
    ],
    &[
        Disruption::FreezeFront,
        Disruption::KillFront,
        Disruption::FreezeFront,
        Disruption::StopFront,
        Disruption::PowerOffFront,
    ],
    &[
        Disruption::ReuseAddress,
        Disruption::KillServer,
        Disruption::RollingRelease,
        Disruption::ReuseAddress,
        Disruption::DrainServer,
    ],
    &[
        Disruption::PutConfig,
        Disruption::UnreliableNetwork,
        Disruption::IsolateFront,
        Disruption::PutConfig,
        Disruption::CatalogueOutage,
    ],
];

/// us. A front's processor is slowed for this long, to a fifth of its share.
const SLOW_FOR: u64 = 2 * SEC;
const SLOW_TO: u64 = 5;

async fn slow_a_front(t: &Tier) {
    let fronts = t.node_names(Role::Front);
    let machine = t.sim.find(&fronts[t.operator.random_index(fronts.len())]);
    let usual = t.topology.costs.for_role(Role::Front);
    let mut slow = usual;
    slow.core_percent = (usual.core_percent / SLOW_TO).max(1);
    t.sim.set_costs(machine, slow);
    t.operator.sleep(SLOW_FOR).await;
    t.sim.set_costs(machine, usual);
}

fn play(seed: u64) -> (Arc<Tier>, Evidence) {
    let t = Tier::new(seed, "metered");
    let over: Arc<Mutex<usize>> = Default::default();
    let (me, o) = (t.clone(), over.clone());
    t.operator.spawn(async move {
        me.start_all().await;
        me.start_traffic(10, 6);
        me.operator.sleep(2 * SEC).await;
        let mut rows = vec![];
        for row in ROWS {
            let (t, ended) = (me.clone(), async_channel::bounded::<()>(1));
            rows.push(ended.1);
            me.operator.spawn(async move {
                for a in row {
                    let pause = t.operator.random() % SEC;
                    t.operator.sleep(pause).await;
                    t.inject(*a).await;
                    slow_a_front(&t).await;
                }
                ended.0.close();
            });
        }
        for r in rows {
            let _ = r.recv().await;
        }
        me.operator.sleep(4 * SEC).await;
        me.caller_records.stop.store(true, SeqCst);
        // What was refused and runs later is seen to run.
        me.operator.sleep(12 * SEC).await;
        *o.lock().unwrap() = 1;
    });
    t.sim.run(600 * SEC, || *over.lock().unwrap() > 0);
    if *over.lock().unwrap() == 0 {
        t.errors
            .lock()
            .unwrap()
            .push("STUCK the plan did not end".into());
    }
    let e = t.evidence();
    (t, e)
}

/// One try is sent to no more servers than its route allows, run or not.
fn spread(e: &Evidence) -> Vec<String> {
    let mut servers: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    e.arrivals.iter().for_each(|(_, server, attempt)| {
        servers.entry(attempt).or_default().insert(server);
    });
    servers
        .iter()
        .filter(|(_, s)| s.len() > MAX_TRIES)
        .map(|(a, s)| format!("TRIES {a} reached {s:?}"))
        .collect()
}

/// An answer is not older than its request, and a run is not older than the try that asked for it.
fn in_time(e: &Evidence) -> Vec<String> {
    let begun: BTreeMap<&str, u64> = e
        .attempts
        .iter()
        .map(|t| (t.id.as_str(), t.sent_at))
        .collect();
    let early = e.executions.iter().filter(|r| {
        begun
            .get(r.attempt.as_str())
            .is_some_and(|at| r.started_at < *at)
    });
    early
        .map(|r| format!("EARLY {} ran at {} us", r.attempt, r.started_at))
        .collect()
}

/// A stream that looks complete has every event of its run.
fn ends(e: &Evidence) -> Vec<String> {
    let count = |b: &[u8]| String::from_utf8_lossy(b).matches("\n\n").count();
    let whole = e
        .attempts
        .iter()
        .filter(|t| t.route.mode == Mode::Stream && t.is_success());
    whole
        .filter(|t| {
            e.executions
                .iter()
                .find(|r| r.attempt == t.id)
                .is_none_or(|r| count(&r.answer_body) != count(&t.received))
        })
        .map(|t| {
            format!(
                "END {} looks complete with {} events",
                t.id,
                count(&t.received)
            )
        })
        .collect()
}

fn wrongs(e: &Evidence) -> Vec<String> {
    [find_violations(e), spread(e), in_time(e), ends(e)].concat()
}

fn check(seed: u64) -> bool {
    let (t, e) = play(seed);
    let v = wrongs(&e);
    let served = e.attempts.iter().filter(|t| t.is_success()).count();
    let faults: u64 = t.server_records.fault_counts.lock().unwrap().values().sum();
    let refused = e
        .attempts
        .iter()
        .filter(|t| t.is_rejected_unexecuted())
        .count();
    println!(
        "seed {seed}: {} tries, {served} good, {refused} refused, {} runs, {faults} faults of servers, {} s, {} wrong",
        e.attempts.len(),
        e.executions.len(),
        e.ended_at / SEC,
        v.len()
    );
    v.iter().take(20).for_each(|l| println!("  {l}"));
    v.is_empty() && served > 500 && faults > 50 && refused > 10
}

#[test]
fn calls_hold_with_every_trouble_at_once() {
    let bad = yewcross_testkit::proof::each((1..=2).collect(), check);
    assert_eq!(bad, 0, "seeds that broke a rule or showed too little");
}

#[test]
fn calls_of_other_seeds() {
    let Ok(r) = std::env::var("CALLS") else {
        return;
    };
    let (a, b) = r
        .split_once("..")
        .map(|(a, b)| (a.parse::<u64>().unwrap(), b.parse::<u64>().unwrap()))
        .unwrap();
    assert_eq!(
        yewcross_testkit::proof::each((a..b).collect(), check),
        0,
        "seeds that broke a rule or showed too little"
    );
}

/// The checks of this file can fail: each sees its own wrong, put into good evidence.
#[test]
fn every_check_of_calls_sees_its_own_wrong() {
    let (_, mut e) = play(9);
    assert_eq!(wrongs(&e), Vec::<String>::new());
    let attempt = e.arrivals[0].2.clone();
    (0..=MAX_TRIES).for_each(|i| e.arrivals.push((1, format!("server {i}"), attempt.clone())));
    assert!(spread(&e).iter().any(|l| l.contains(&attempt)));
    e.executions[0].started_at = 0;
    assert!(
        in_time(&e)
            .iter()
            .any(|l| l.contains(&e.executions[0].attempt))
    );
    let i = e
        .attempts
        .iter()
        .position(|t| t.route.mode == Mode::Stream && t.is_success())
        .unwrap();
    let cut = e.attempts[i].received.len() / 2;
    e.attempts[i].received.truncate(cut);
    assert!(ends(&e).iter().any(|l| l.contains(&e.attempts[i].id)));
}
