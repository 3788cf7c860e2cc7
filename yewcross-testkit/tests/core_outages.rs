//! The whole core away or in halves: what was acknowledged is read back after all power and some
//! disks are lost, and a read in a split core is the newest or none (docs/control-safety.md, 1c).

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_control::api::{PutAnswer, ReadAnswer};
use yewcross_testkit::tier::*;

#[path = "support/operators.rs"]
mod operators;
use operators::{begin, small_machines};

/// us. Longest time from the return of all machines until an operator reads the newest acknowledged
/// configuration, and until every front holds it: within what a deployment gives for recovery, 12 s
/// and more.
const READ_WITHIN: u64 = 4 * SEC;
const HELD_WITHIN: u64 = 8 * SEC;

/// Every machine loses power right after an order was acknowledged, those without a disk too, and
/// as many disks are lost at the same moment as may be, the proposer's among them.
#[test]
fn what_was_acknowledged_outlives_all_power_and_the_disks_that_may_be_lost() {
    let runs: Vec<u64> = (0..6).collect();
    let late = yewcross_testkit::proof::each(runs, |nth| {
        let tier = small_machines(9200 + nth, [8, 9, 30], 2);
        let (read, held) = run_script(&tier, |tier| {
            Box::pin(async move {
                let orders = begin(&tier).await;
                tier.operator
                    .sleep(2 * SEC + tier.operator.random() % SEC)
                    .await;
                let before = orders.newest.load(SeqCst);
                while orders.newest.load(SeqCst) == before {
                    tier.operator.sleep(MS).await;
                }
                let acknowledged = orders.newest.load(SeqCst);
                orders.ended.store(true, SeqCst);
                let (cores, stores) = (
                    tier.names_with_role(Role::Core),
                    tier.names_with_role(Role::Store),
                );
                let holder = tier.acting_holders().first().cloned().unwrap();
                let other = cores.iter().find(|name| **name != holder).unwrap().clone();
                let lost = if nth % 2 == 0 {
                    vec![holder, other]
                } else {
                    vec![holder, stores[0].clone()]
                };
                let all: Vec<String> = tier.settings.lock().unwrap().keys().cloned().collect();
                all.iter().for_each(|name| tier.kill(name, true));
                lost.iter()
                    .for_each(|name| tier.sim.wipe_disk(tier.sim.find(name)));
                tier.operator.sleep(600 * MS).await;
                all.iter().for_each(|name| tier.boot(name, false));
                let begin = tier.operator.now();
                let reader = cores.iter().find(|name| !lost.contains(name)).unwrap();
                loop {
                    match tier.read_configuration(reader).await {
                        Some(ReadAnswer::Text(number, _)) if number >= acknowledged => break,
                        Some(ReadAnswer::Text(number, _)) => panic!(
                            "{number} is read, {acknowledged} was acknowledged\n{}",
                            format_log(&tier)
                        ),
                        _ => tier.operator.sleep(20 * MS).await,
                    }
                    assert!(
                        tier.operator.now() < begin + 30 * SEC,
                        "not read back\n{}",
                        format_log(&tier)
                    );
                }
                let read = tier.operator.now() - begin;
                let holds = |front: &Arc<StubFront>| {
                    front
                        .configuration_text()
                        .split(' ')
                        .next()
                        .is_some_and(|n| n.parse::<u64>().unwrap_or(0) >= acknowledged)
                };
                let fronts = tier.names_with_role(Role::Front).len();
                while tier
                    .fronts
                    .lock()
                    .unwrap()
                    .values()
                    .filter(|front| holds(front))
                    .count()
                    < fronts
                {
                    tier.operator.sleep(20 * MS).await;
                    assert!(
                        tier.operator.now() < begin + 30 * SEC,
                        "not held by all\n{}",
                        format_log(&tier)
                    );
                }
                (read, tier.operator.now() - begin)
            })
        });
        println!(
            "seed {}: read back after {} ms, held by all fronts after {} ms",
            9200 + nth,
            read / MS,
            held / MS
        );
        read < READ_WITHIN && held < HELD_WITHIN
    });
    assert_eq!(late, 0, "runs that were late");
}

/// The core is cut into halves, which all other machines reach: an operator reads the newest at any
/// core, or is sent on.
#[test]
fn a_read_in_a_split_core_is_the_newest_or_none() {
    for (nth, (counts, lost)) in [([4, 4, 4], 1), ([8, 5, 4], 2), ([5, 5, 4], 2)]
        .into_iter()
        .enumerate()
    {
        let tier = Tier::new(9300 + nth as u64, counts, lost);
        let (read, sent_on) = run_script(&tier, |tier| {
            Box::pin(async move {
                boot_and_wait(&tier).await;
                tier.put_until_acknowledged(0, "1 first").await;
                let cores = tier.names_with_role(Role::Core);
                let (mut newest, mut read, mut sent_on) = (1, 0, 0);
                for _ in 0..4 {
                    let machines: Vec<usize> =
                        cores.iter().map(|name| tier.sim.find(name)).collect();
                    let (left, right) = machines.split_at(machines.len() / 2);
                    tier.sim.partition(left, right);
                    let end = tier.operator.now() + 3 * SEC;
                    while tier.operator.now() < end {
                        let core = &cores[tier.operator.random() as usize % cores.len()];
                        if let Some(PutAnswer::InForce(number)) = tier
                            .put_configuration(core, newest, &format!("{} next", newest + 1))
                            .await
                        {
                            newest = number;
                        }
                        for core in &cores {
                            match tier.read_configuration(core).await {
                                Some(ReadAnswer::Text(number, _)) => {
                                    assert!(
                                        number >= newest,
                                        "{core} reads {number} of {newest}\n{}",
                                        format_log(&tier)
                                    );
                                    read += 1;
                                }
                                _ => sent_on += 1,
                            }
                        }
                    }
                    tier.sim.heal();
                    newest = read_surely(&tier, newest).await;
                    tier.operator.sleep(SEC).await;
                }
                (read, sent_on)
            })
        });
        println!(
            "{} cores: {read} reads answered, {sent_on} sent on",
            counts[0]
        );
        let a_half_has_a_majority = counts[0] % 2 == 1;
        assert!(sent_on > 0 && (read > 0) == a_half_has_a_majority);
    }
}

/// The number in force once a majority answers: an order that was under way may have been taken.
async fn read_surely(tier: &Arc<Tier>, at_least: u64) -> u64 {
    for _ in 0..200 {
        if let Some(ReadAnswer::Text(number, _)) = tier.read_configuration("core1").await {
            assert!(
                number >= at_least,
                "{number} is read, {at_least} was acknowledged"
            );
            return number;
        }
        tier.operator.sleep(50 * MS).await;
    }
    panic!("no read after the cut\n{}", format_log(tier))
}
