//! Members that were away while hundreds of orders were taken: how soon they hold the newest, and
//! that none leads with old state.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_control::api::{PutAnswer, ReadAnswer};
use yewcross_testkit::tier::*;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Away {
    Killed,
    WithoutPower,
    Frozen,
    CutOff,
}

const ORDERS: u64 = 240;
const SPAN: u64 = 30 * SEC;
/// bytes. A text as long as those of some sixty routes.
const TEXT: usize = 18_000;
const LOST: [&str; 3] = ["core2", "store3", "front1"];

fn text(number: u64) -> String {
    format!("{number} {}", "x".repeat(TEXT))
}

/// The newest order acknowledged so far, and whether more follow.
#[derive(Default)]
struct Progress {
    newest: AtomicU64,
    ended: AtomicBool,
}

/// Puts the orders evenly over the span, at any core that answers.
async fn put_all(tier: Arc<Tier>, progress: Arc<Progress>) {
    let begin = tier.operator.now();
    let cores = tier.names_with_role(Role::Core);
    for number in 2..=ORDERS + 1 {
        let due = begin + (number - 2) * SPAN / ORDERS;
        tier.operator
            .sleep(due.saturating_sub(tier.operator.now()))
            .await;
        loop {
            let core = &cores[tier.operator.random() as usize % cores.len()];
            if let Some(PutAnswer::InForce(_)) = tier
                .put_configuration(core, number - 1, &text(number))
                .await
            {
                break;
            }
            tier.operator.sleep(10 * MS).await;
        }
        progress.newest.store(number, SeqCst);
    }
    progress.ended.store(true, SeqCst);
}

fn leave(tier: &Tier, name: &str, away: Away) {
    let machine = tier.sim.find(name);
    match away {
        Away::Killed | Away::WithoutPower => tier.kill(name, away == Away::WithoutPower),
        Away::Frozen => tier.sim.freeze(machine),
        Away::CutOff => {
            let all: Vec<String> = tier
                .settings
                .lock()
                .unwrap()
                .keys()
                .filter(|n| *n != name)
                .cloned()
                .collect();
            let others: Vec<usize> = all.iter().map(|n| tier.sim.find(n)).collect();
            tier.sim.partition(&[machine], &others);
        }
    }
}

fn come_back(tier: &Arc<Tier>, name: &str, away: Away) {
    match away {
        Away::Killed | Away::WithoutPower => tier.boot(name, false),
        Away::Frozen => tier.sim.thaw(tier.sim.find(name)),
        Away::CutOff => tier.sim.heal(),
    }
}

/// The number of the configuration that the machine holds.
fn held(tier: &Tier, name: &str) -> u64 {
    let page = match (tier.control_node(name), tier.front(name)) {
        (Some(control), _) => control.documents.document("config"),
        (_, Some(front)) => front.documents.document("config"),
        _ => return 0,
    };
    yewcross_common::protocol::ConfigDoc::decode(&page.content).map_or(0, |d| d.number)
}

/// us from its return until the machine holds what was newest then.
async fn caught_up(tier: Arc<Tier>, name: &'static str, newest: u64, limit: u64) -> u64 {
    let begin = tier.operator.now();
    while held(&tier, name) < newest {
        tier.operator.sleep(5 * MS).await;
        assert!(
            tier.operator.now() < begin + limit,
            "{name} holds {} of {newest}\n{}",
            held(&tier, name),
            format_log(&tier)
        );
    }
    tier.operator.now() - begin
}

/// Whatever the core answers an operator is no older than what was acknowledged before it was
/// asked.
async fn read_back(tier: Arc<Tier>, core: &'static str, progress: Arc<Progress>) -> u64 {
    let begin = tier.operator.now();
    let mut first = None;
    while tier.operator.now() < begin + 3 * SEC {
        let newest = progress.newest.load(SeqCst);
        if let Some(ReadAnswer::Text(number, _)) = tier.read_configuration(core).await {
            assert!(
                number >= newest,
                "{core} answers {number}, and {newest} was acknowledged\n{}",
                format_log(&tier)
            );
            first.get_or_insert(tier.operator.now() - begin);
        }
        tier.operator.sleep(20 * MS).await;
    }
    first.unwrap_or_else(|| panic!("{core} answers no read\n{}", format_log(&tier)))
}

/// us until each machine holds the newest, and until the core answers an operator.
fn run(seed: u64, away: Away, gone_for: u64) -> BTreeMap<&'static str, u64> {
    let tier = Tier::new(seed, [4, 4, 4], 1);
    run_script(&tier, |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            tier.put_until_acknowledged(0, &text(1)).await;
            tier.operator.sleep(2 * SEC).await;
            let files = |tier: &Tier| -> BTreeMap<String, usize> {
                let names = tier
                    .names_with_role(Role::Core)
                    .into_iter()
                    .chain(tier.names_with_role(Role::Store));
                names
                    .map(|n| {
                        (
                            n.clone(),
                            tier.sim.disk(tier.sim.find(&n), |d| d.file_count()),
                        )
                    })
                    .collect()
            };
            let before = files(&tier);
            let progress: Arc<Progress> = Default::default();
            progress.newest.store(1, SeqCst);
            tier.operator.spawn(put_all(tier.clone(), progress.clone()));
            tier.operator.sleep(SEC).await;
            LOST.iter().for_each(|n| leave(&tier, n, away));
            tier.operator.sleep(gone_for).await;
            let newest = progress.newest.load(SeqCst);
            LOST.iter().for_each(|n| come_back(&tier, n, away));
            let times: Arc<Mutex<BTreeMap<&str, u64>>> = Default::default();
            let (done_tx, done) = async_channel::unbounded();
            for name in LOST {
                let (tier, times, done_tx) = (tier.clone(), times.clone(), done_tx.clone());
                tier.operator.clone().spawn(async move {
                    let us = caught_up(tier, name, newest, 10 * SEC).await;
                    times.lock().unwrap().insert(name, us);
                    let _ = done_tx.send(()).await;
                });
            }
            let first_read = read_back(tier.clone(), "core2", progress.clone()).await;
            times.lock().unwrap().insert("first read", first_read);
            for _ in LOST {
                let _ = done.recv().await;
            }
            while !progress.ended.load(SeqCst) {
                tier.operator.sleep(100 * MS).await;
            }
            tier.wait_until_adopted(&text(ORDERS + 1), 2 * SEC)
                .await
                .unwrap_or_else(|| panic!("{}", format_log(&tier)));
            tier.operator.sleep(5 * SEC).await;
            let document = tier
                .control_node("core1")
                .unwrap()
                .documents
                .document("config");
            assert!(
                document.content.len() < TEXT + 100 * RETAINED_ORDERS_MAX,
                "{}",
                document.content.len()
            );
            // A change of seats more on disk, and no file for an order.
            for (name, count) in files(&tier) {
                assert!(
                    count <= before[&name] + 4,
                    "{name} had {} files and has {count}",
                    before[&name]
                );
            }
            times.lock().unwrap().clone()
        })
    })
}

fn measure(away: Away, seed: u64) {
    let mut worst: BTreeMap<&str, u64> = BTreeMap::new();
    for (nth, gone_for) in [12, 20, 28, 33].into_iter().enumerate() {
        let times = run(seed + nth as u64, away, gone_for * SEC);
        println!(
            "{away:?} for {gone_for} s: ms until it holds the newest {:?}",
            times
                .iter()
                .map(|(n, us)| (*n, us / MS))
                .collect::<Vec<_>>()
        );
        times.into_iter().for_each(|(n, us)| {
            let most = worst.entry(n).or_default();
            *most = (*most).max(us);
        });
    }
    assert!(worst.values().all(|us| *us < 2 * SEC), "{worst:?}");
}

#[test]
fn members_that_were_killed_catch_up() {
    measure(Away::Killed, 7300);
}

#[test]
fn members_that_had_no_power_catch_up() {
    measure(Away::WithoutPower, 7310);
}

#[test]
fn members_that_were_frozen_catch_up() {
    measure(Away::Frozen, 7320);
}

#[test]
fn members_that_were_cut_off_catch_up() {
    measure(Away::CutOff, 7330);
}
