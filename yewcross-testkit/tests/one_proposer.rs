//! Documents have one proposer at a time: on slow processors, with many orders, after every core
//! has restarted, a first change is decided and a holder is on duty in a bounded time, and few
//! ballots are prepared (docs/control-safety.md, 1c).

use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::ListedServer;
use yewcross_testkit::tier::*;

#[path = "support/operators.rs"]
mod operators;
use operators::{Orders, TEXT, begin, operators_at, small_machines};

/// us. Longest time from the return of the cores to a holder on duty: grants of an earlier life run
/// out in 1 s, candidates step forward one after the other, and the holder takes three documents.
const DUTY_WITHIN: u64 = 2_500 * MS;
/// us. Longest time from their return to the first order decided.
const ORDER_WITHIN: u64 = 3 * SEC;
/// us. Longest time in which no order is decided while nothing is wrong.
const CALM_WITHIN: u64 = 1_500 * MS;
/// count. Ballots prepared for a document in one term: the holder's first, and others after rounds
/// that were lost.
const BALLOTS_A_TERM: u64 = 12;

fn ballots(tier: &Tier) -> u64 {
    tier.control_nodes
        .lock()
        .unwrap()
        .values()
        .map(|control| control.registers.prepared_ballots.load(SeqCst))
        .sum()
}

fn terms(tier: &Tier) -> u64 {
    tier.control_nodes
        .lock()
        .unwrap()
        .values()
        .map(|control| control.singleton_tasks.acquired.load(SeqCst))
        .sum()
}

/// us from now until a core is on duty, and until an order is acknowledged.
async fn back_after(tier: &Arc<Tier>, orders: &Orders) -> (u64, u64) {
    let (begin, limit) = (tier.operator.now(), 30 * SEC);
    let (mut duty, mut order) = (0, 0);
    while tier.operator.now() < begin + limit && (duty == 0 || order == 0) {
        tier.operator.sleep(5 * MS).await;
        let since = tier.operator.now() - begin;
        if duty == 0 && !tier.acting_holders().is_empty() {
            duty = since;
        }
        if order == 0 && orders.last_at.load(SeqCst) > begin {
            order = since;
        }
    }
    let or_never = |us: u64| if us == 0 { limit } else { us };
    (or_never(duty), or_never(order))
}

#[test]
fn after_all_cores_restart_there_is_a_holder_and_orders_are_decided() {
    let worst: Arc<Mutex<(u64, u64)>> = Default::default();
    let runs: Vec<(u64, bool)> = (0..6).map(|nth| (8800 + nth, nth % 2 == 1)).collect();
    let late = yewcross_testkit::proof::each(runs, |(seed, power)| {
        let tier = small_machines(seed, [8, 9, 55], 2);
        let times = run_script(&tier, |tier| {
            Box::pin(async move {
                let orders = begin(&tier).await;
                let mut times = vec![];
                for _ in 0..3 {
                    tier.operator
                        .sleep(3 * SEC + tier.operator.random() % SEC)
                        .await;
                    let cores = tier.names_with_role(Role::Core);
                    cores.iter().for_each(|name| tier.kill(name, power));
                    tier.operator.sleep(700 * MS).await;
                    for name in &cores {
                        tier.boot(name, false);
                        tier.operator
                            .sleep(tier.operator.random() % (10 * MS))
                            .await;
                    }
                    times.push(back_after(&tier, &orders).await);
                }
                orders.ended.store(true, SeqCst);
                times
            })
        });
        println!(
            "seed {seed}, power {power}: ms to a holder and to an order {:?}",
            times
                .iter()
                .map(|t| (t.0 / MS, t.1 / MS))
                .collect::<Vec<_>>()
        );
        let mut worst = worst.lock().unwrap();
        times
            .iter()
            .for_each(|(duty, order)| *worst = (worst.0.max(*duty), worst.1.max(*order)));
        times
            .iter()
            .all(|(duty, order)| *duty < DUTY_WITHIN && *order < ORDER_WITHIN)
    });
    let worst = worst.lock().unwrap();
    println!(
        "worst: a holder after {} ms, an order after {} ms",
        worst.0 / MS,
        worst.1 / MS
    );
    assert_eq!(late, 0, "restarts after which the core was late");
}

/// A change that one other disk holds and no majority decided, and then all cores start again.
#[test]
fn a_write_that_one_disk_holds_does_not_hold_the_core_up() {
    for seed in 0..4u64 {
        let tier = small_machines(8900 + seed, [8, 9, 12], 2);
        let (duty, order) = run_script(&tier, |tier| {
            Box::pin(async move {
                boot_and_wait(&tier).await;
                tier.put_until_acknowledged(0, "1 first").await;
                tier.operator.sleep(3 * SEC).await;
                let cores = tier.names_with_role(Role::Core);
                let writer = tier.acting_holders().first().cloned().unwrap();
                let witness = cores.iter().find(|name| **name != writer).unwrap().clone();
                let others: Vec<String> = cores
                    .iter()
                    .filter(|name| **name != witness)
                    .cloned()
                    .collect();
                tier.block_from(&writer, &others);
                let text = format!("2 undecided {}", "x".repeat(TEXT));
                tier.put_configuration(&writer, 1, &text).await;
                tier.sim.heal();
                cores.iter().for_each(|name| tier.kill(name, false));
                tier.operator.sleep(300 * MS).await;
                cores.iter().for_each(|name| tier.boot(name, false));
                let orders = operators_at(&tier, 1);
                let times = back_after(&tier, &orders).await;
                orders.ended.store(true, SeqCst);
                times
            })
        });
        println!(
            "seed {seed}: a holder after {} ms, an order after {} ms",
            duty / MS,
            order / MS
        );
        assert!(
            duty < DUTY_WITHIN && order < ORDER_WITHIN,
            "{duty} {order}\n{}",
            format_log(&tier)
        );
    }
}

/// Eight orders at a time on a core of a tenth of a processor a machine: the lease stays where it
/// is, orders are decided all the time, and ballots are prepared by the holder alone.
#[test]
fn many_orders_neither_move_the_lease_nor_prepare_ballots() {
    for seed in 0..3u64 {
        let tier = small_machines(9000 + seed, [8, 9, 55], 2);
        let (decided, pause, ballots, terms) = run_script(&tier, |tier| {
            Box::pin(async move {
                let orders = begin(&tier).await;
                tier.operator.sleep(SEC).await;
                let before = (ballots(&tier), terms(&tier));
                orders.decided.store(0, SeqCst);
                orders.longest_pause.store(0, SeqCst);
                tier.operator.sleep(20 * SEC).await;
                orders.ended.store(true, SeqCst);
                let decided = orders.decided.load(SeqCst);
                (
                    decided,
                    orders.longest_pause.load(SeqCst),
                    ballots(&tier) - before.0,
                    terms(&tier) - before.1,
                )
            })
        });
        println!(
            "seed {seed}: {decided} orders decided in 20 s, longest pause {} ms, {ballots} ballots, {terms} new terms",
            pause / MS
        );
        assert!(decided > 40 && pause < CALM_WITHIN, "{decided} {pause}");
        assert!(
            ballots <= BALLOTS_A_TERM * (terms + 1),
            "{ballots} ballots in {} terms",
            terms + 1
        );
        assert!(terms <= 1, "the lease changed hands {terms} times");
    }
}

fn server(number: u8, leaving: bool) -> ListedServer {
    let addr = std::net::SocketAddr::new([10, 7, 0, number].into(), 80);
    ListedServer {
        server: format!("s{number}"),
        service: "llm".into(),
        addr,
        site: "z1".into(),
        leaving,
    }
}

/// A server leaves while every core starts again, with orders on their way: all fronts know of it
/// before a machine counts as in touch again.
#[test]
fn a_server_that_leaves_while_the_core_restarts_is_known_in_time() {
    let mut worst = 0;
    for seed in 0..4u64 {
        let tier = small_machines(9100 + seed, [8, 9, 55], 2);
        let us = run_script(&tier, |tier| {
            Box::pin(async move {
                let platform = tier
                    .start_platform(vec![server(1, false), server(2, false)])
                    .await;
                let orders = begin(&tier).await;
                tier.operator.sleep(3 * SEC).await;
                let cores = tier.names_with_role(Role::Core);
                cores.iter().for_each(|name| tier.kill(name, seed % 2 == 1));
                platform.update_servers(|list| list[0].leaving = true);
                tier.operator.sleep(700 * MS).await;
                cores.iter().for_each(|name| tier.boot(name, false));
                let begin = tier.operator.now();
                let knows = |front: &Arc<StubFront>| {
                    front
                        .documents
                        .server_list
                        .load()
                        .1
                        .servers
                        .iter()
                        .all(|s| s.server != "s1" || s.leaving)
                };
                while !tier.fronts.lock().unwrap().values().all(knows) {
                    tier.operator.sleep(5 * MS).await;
                    assert!(
                        tier.operator.now() < begin + 30 * SEC,
                        "{}",
                        format_log(&tier)
                    );
                }
                orders.ended.store(true, SeqCst);
                tier.operator.now() - begin
            })
        });
        println!("seed {seed}: all fronts know after {} ms", us / MS);
        worst = worst.max(us);
    }
    assert!(worst < 3 * SEC, "{worst}");
}

/// Most core disks refuse whatever the holder asks of them, as they do one that goes by an older
/// layout: it gives the lease up in time, others try, and once the disks answer a holder is on
/// duty.
#[test]
fn a_holder_that_cannot_take_the_documents_gives_the_lease_up() {
    let tier = Tier::new(9400, [8, 5, 4], 2);
    let (longest, terms, back) = run_script(&tier, |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            tier.operator.sleep(2 * SEC).await;
            let holder = tier.acting_holders().first().cloned().unwrap();
            let others: Vec<String> = tier
                .names_with_role(Role::Core)
                .into_iter()
                .filter(|name| *name != holder)
                .collect();
            let kept: Vec<u64> = others
                .iter()
                .map(|name| {
                    tier.control_node(name)
                        .unwrap()
                        .replica
                        .layout_version
                        .swap(u64::MAX, SeqCst)
                })
                .collect();
            tier.kill(&holder, true);
            let (mut longest, mut since, mut last) = (0, tier.operator.now(), None);
            let end = tier.operator.now() + 12 * SEC;
            while tier.operator.now() < end {
                tier.operator.sleep(5 * MS).await;
                let now_held = others
                    .iter()
                    .find_map(|name| tier.control_node(name).unwrap().lease_term());
                if now_held != last {
                    (since, last) = (tier.operator.now(), now_held);
                }
                longest = longest.max(if now_held.is_some() {
                    tier.operator.now() - since
                } else {
                    0
                });
                assert!(tier.acting_holders().is_empty(), "{}", format_log(&tier));
            }
            let terms = terms(&tier);
            others.iter().zip(kept).for_each(|(name, layout)| {
                tier.control_node(name)
                    .unwrap()
                    .replica
                    .layout_version
                    .store(layout, SeqCst)
            });
            let begin = tier.operator.now();
            while tier.acting_holders().is_empty() {
                tier.operator.sleep(5 * MS).await;
                assert!(
                    tier.operator.now() < begin + 10 * SEC,
                    "{}",
                    format_log(&tier)
                );
            }
            (longest, terms, tier.operator.now() - begin)
        })
    });
    println!(
        "held {} ms at most in {terms} terms, a holder on duty {} ms after the disks answer",
        longest / MS,
        back / MS
    );
    assert!(longest < FENCING_TIMEOUT + SEC && terms >= 3 && back < DUTY_WITHIN + CANDIDACY_PAUSE);
}
