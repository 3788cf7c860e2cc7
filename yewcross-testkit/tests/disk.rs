//! What a disk keeps over a kill and a loss of power, and how a node comes back whose disk failed
//! for a while.

use std::net::IpAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_common::register::{Ballot, RegisterReply, RegisterRequest, Replica};
use yewcross_common::runtime::{BoxFuture, Runtime};
use yewcross_common::storage::{DurableStorage, encode_frame};
use yewcross_common::turn_log::LedgerRecord;
use yewcross_common::turn_log::messages::encode;
use yewcross_control::api::{PutAnswer, ReadAnswer};
use yewcross_state::segment_log::{self, LogRecord};
use yewcross_testkit::sim::Sim;
use yewcross_testkit::tier::{Tier, boot_and_wait, format_log, run_script};

const KEY: &str = "session/a";

/// One machine with a disk; its processes come and go.
struct Bench {
    sim: Sim,
    machine: usize,
    random: fastrand::Rng,
}

impl Bench {
    fn new(seed: u64) -> Bench {
        let sim = Sim::new(seed, 900);
        let machine = sim.add_machine("m", "z1", IpAddr::from([10, 1, 0, 1]));
        Bench {
            sim,
            machine,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Starts a process that runs the task; it is left running for so many us at most.
    fn run<T: Send + 'static>(
        &self,
        us: u64,
        task: impl FnOnce(Runtime) -> BoxFuture<'static, T>,
    ) -> Option<T> {
        let world = self.sim.boot(self.machine);
        let done: Arc<Mutex<Option<T>>> = Default::default();
        let (result, task) = (done.clone(), task(world.clone()));
        world.spawn(async move {
            let outcome = task.await;
            *result.lock().unwrap() = Some(outcome);
        });
        self.sim
            .run(self.sim.now() + us, || done.lock().unwrap().is_some());
        done.lock().unwrap().take()
    }

    fn kill(&self) {
        self.sim.kill(self.machine, false);
    }

    fn lose_power(&self) {
        self.sim.kill(self.machine, true);
        self.sim.power_on(self.machine);
    }
}

fn epoch(n: u64) -> Ballot {
    Ballot {
        number: n,
        proposer_id: 1,
    }
}

fn promise(n: u64) -> RegisterRequest {
    RegisterRequest::Promise {
        key: KEY.into(),
        ballot: epoch(n),
        layout_version: 0,
    }
}

fn accept(n: u64, seq: u64) -> RegisterRequest {
    RegisterRequest::Accept {
        key: KEY.into(),
        ballot: epoch(n),
        seq,
        layout_version: 0,
        delta: false,
    }
}

async fn open(w: &Runtime) -> Arc<Replica> {
    let vault = DurableStorage::open(w).await.unwrap();
    Replica::open(&vault).await.unwrap()
}

/// Invariant D1: a disk that bears its identity holds every vote that was given under it.
#[test]
fn an_identity_never_outlives_its_votes() {
    let (mut same, mut new) = (0, 0);
    for seed in 0..300 {
        let bench = Bench::new(seed);
        let vote = |w: Runtime| -> BoxFuture<'static, String> {
            Box::pin(async move {
                let replica = open(&w).await;
                assert!(matches!(
                    replica.handle(promise(5), vec![]).await.0,
                    RegisterReply::Promised { .. }
                ));
                replica.storage.disk_id.clone()
            })
        };
        let before = bench.run(SEC, vote).unwrap();
        bench.lose_power();
        let look = |w: Runtime| -> BoxFuture<'static, (String, u64)> {
            Box::pin(async move {
                let replica = open(&w).await;
                (
                    replica.storage.disk_id.clone(),
                    replica
                        .read_record(KEY)
                        .await
                        .map_or(0, |slot| slot.promised.number),
                )
            })
        };
        let (after, promised) = bench.run(SEC, look).unwrap();
        if after == before {
            same += 1;
            assert_eq!(
                promised, 5,
                "seed {seed}: {after} forgot its vote and keeps its name"
            );
        } else {
            new += 1;
        }
    }
    println!("identity kept {same} times, new {new} times");
    assert_eq!(
        new, 0,
        "an identity that was answered with must outlast the power"
    );
}

/// The process dies at any moment of its first start, by a kill or a loss of power, and then power
/// goes once more.
#[test]
fn a_first_start_cut_short_leaves_no_forgetful_disk() {
    for seed in 0..400 {
        let mut bench = Bench::new(seed);
        let us = bench.random.u64(0..60 * MS);
        let names: Arc<Mutex<Vec<(String, u64)>>> = Default::default();
        for round in 0..3u64 {
            let told = names.clone();
            bench.run(if round < 2 { us / (round + 1) } else { SEC }, move |w| {
                Box::pin(async move {
                    let replica = open(&w).await;
                    let id = replica.storage.disk_id.clone();
                    let known = replica
                        .read_record(KEY)
                        .await
                        .map_or(0, |slot| slot.promised.number);
                    let vouched = told
                        .lock()
                        .unwrap()
                        .iter()
                        .filter(|x| x.0 == id)
                        .map(|x| x.1)
                        .max()
                        .unwrap_or(0);
                    assert!(
                        known >= vouched,
                        "seed {seed}: {id} promised {vouched} and knows {known}"
                    );
                    if matches!(
                        replica.handle(promise(known + 1), vec![]).await.0,
                        RegisterReply::Promised { .. }
                    ) {
                        told.lock().unwrap().push((id, known + 1));
                    }
                })
            });
            if bench.random.bool() {
                bench.kill()
            } else {
                bench.lose_power()
            }
        }
    }
}

/// Invariant D2: what a process read of its disk and answered for outlasts a later loss of power.
#[test]
fn a_vote_read_after_a_kill_outlasts_the_power() {
    let mut read_after_a_kill = 0;
    for seed in 0..400 {
        let mut bench = Bench::new(1000 + seed);
        let us = 20 * MS + bench.random.u64(0..20 * MS);
        bench.run(us, |w| {
            Box::pin(async move {
                let replica = open(&w).await;
                for n in 1.. {
                    replica.handle(promise(n), vec![]).await;
                }
            })
        });
        bench.kill();
        let known = |w: Runtime| -> BoxFuture<'static, u64> {
            Box::pin(async move {
                open(&w)
                    .await
                    .read_record(KEY)
                    .await
                    .map_or(0, |slot| slot.promised.number)
            })
        };
        let read = bench.run(SEC, known).unwrap();
        bench.lose_power();
        let left = bench.run(SEC, known).unwrap();
        read_after_a_kill += read.min(1);
        assert!(
            left >= read,
            "seed {seed}: {read} was read after the kill, {left} after the loss of power"
        );
    }
    assert!(read_after_a_kill > 100, "{read_after_a_kill}");
}

/// Invariant D3: a key's next life is not outranked by a file of the one before.
#[test]
fn an_erased_key_never_comes_back_over_its_next_life() {
    for (seed, dropped) in (0..200).flat_map(|seed| [(seed, true), (seed, false)]) {
        let bench = Bench::new(2000 + seed);
        let lives = move |w: Runtime| -> BoxFuture<'static, ()> {
            Box::pin(async move {
                let replica = open(&w).await;
                for (n, value) in [(1, "old"), (2, "older"), (3, "")] {
                    assert!(matches!(
                        replica.handle(promise(n), vec![]).await.0,
                        RegisterReply::Promised { .. }
                    ));
                    assert_eq!(
                        replica.handle(accept(n, n), value.into()).await.0,
                        RegisterReply::Accepted
                    );
                }
                if dropped {
                    let drop = RegisterRequest::Erase {
                        key: KEY.into(),
                        ballot: epoch(3),
                        seq: 3,
                        layout_version: 0,
                    };
                    assert_eq!(
                        replica.handle(drop, vec![]).await.0,
                        RegisterReply::Accepted
                    );
                } else {
                    replica.remove_record(KEY).await;
                }
                assert!(matches!(
                    replica.handle(promise(1), vec![]).await.0,
                    RegisterReply::Promised { .. }
                ));
                assert_eq!(
                    replica.handle(accept(1, 1), b"new".to_vec()).await.0,
                    RegisterReply::Accepted
                );
            })
        };
        bench.run(SEC, lives).unwrap();
        bench.lose_power();
        let value = bench
            .run(SEC, |w| {
                Box::pin(async move {
                    open(&w)
                        .await
                        .read_record(KEY)
                        .await
                        .unwrap()
                        .value
                        .to_vec()
                })
            })
            .unwrap();
        assert_eq!(
            String::from_utf8_lossy(&value),
            "new",
            "seed {seed}, dropped {dropped}"
        );
    }
}

fn ledger(n: u64) -> LogRecord {
    LogRecord::Ledger {
        record: LedgerRecord {
            program: format!("p{n}"),
            ..Default::default()
        },
        changed_at_ms: n,
    }
}

/// Segments are appended to, the process is killed at any moment, another reads and goes on, and
/// power goes: nothing that was read is gone, and no torn end passes for damage.
#[test]
fn a_log_read_after_a_kill_outlasts_the_power() {
    // What the log holds, and which of its segments are damaged.
    let read = |w: Runtime| -> BoxFuture<'static, (Vec<u64>, Vec<u64>)> {
        Box::pin(async move {
            DurableStorage::open(&w).await.unwrap();
            let mut items = vec![];
            let note = |item: &LogRecord, _| {
                if let LogRecord::Ledger {
                    changed_at_ms: at, ..
                } = item
                {
                    items.push(*at);
                }
            };
            let found = segment_log::read(&w, note).await.unwrap();
            let next = found.segment_bytes.keys().last().map_or(1, |s| s + 1);
            let mut batch: Vec<LogRecord> =
                found.torn.iter().map(|end| LogRecord::Torn(*end)).collect();
            batch.push(ledger(1_000_000 + next));
            w.append(&segment_log::path(next), encode_frame(&encode(&batch)))
                .await
                .unwrap();
            (items, found.damaged)
        })
    };
    for seed in 0..400 {
        let mut bench = Bench::new(3000 + seed);
        let us = 20 * MS + bench.random.u64(0..20 * MS);
        bench.run(us, |w| {
            Box::pin(async move {
                DurableStorage::open(&w).await.unwrap();
                segment_log::read(&w, |_, _| {}).await.unwrap();
                for n in 1u64.. {
                    let segment = 1 + n / 6;
                    let _ = w
                        .append(
                            &segment_log::path(segment),
                            encode_frame(&encode(&vec![ledger(n)])),
                        )
                        .await;
                }
            })
        });
        if bench.random.bool() {
            bench.kill()
        } else {
            bench.lose_power()
        }
        let (mut known, _) = bench.run(SEC, read).unwrap();
        for round in 0..2 {
            bench.lose_power();
            let (items, hurt) = bench.run(SEC, read).unwrap();
            assert!(
                hurt.is_empty(),
                "seed {seed}, round {round}: damage in {hurt:?}"
            );
            assert!(
                known.iter().all(|n| items.contains(n)),
                "seed {seed}, round {round}: {known:?} became {items:?}"
            );
            known = items;
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Full,
    Errors,
}

fn set(tier: &Tier, name: &str, trouble: Trouble, on: bool) {
    let machine = tier.sim.find(name);
    tier.sim.disk(machine, |disk| match trouble {
        Trouble::Full => disk.full = on,
        Trouble::Errors => disk.failing = on,
    });
}

/// us until the node takes part again.
async fn until_restored(tier: &Tier, name: &str, us: u64) -> Option<u64> {
    let since = tier.operator.now();
    while tier.operator.now() < since + us {
        if tier
            .control_node(name)
            .is_some_and(|c| !c.storage.failed.load(SeqCst))
        {
            return Some(tier.operator.now() - since);
        }
        tier.operator.sleep(5 * MS).await;
    }
    None
}

/// A core disk fails for 4 s while configurations are put, and works again. The node is back
/// without a restart, so that the next loss is not one too many.
#[test]
fn a_core_disk_that_works_again_bears_the_next_loss() {
    let mut worst = 0;
    for (seed, trouble) in (0..6).flat_map(|seed| [(seed, Trouble::Full), (seed, Trouble::Errors)])
    {
        let tier = Tier::new(4000 + seed, [4, 4, 3], 1);
        let us = run_script(&tier, move |t| {
            Box::pin(async move {
                boot_and_wait(&t).await;
                t.put_until_acknowledged(0, "1 a").await;
                let id = t.control_node("core2").unwrap().storage.disk_id.clone();
                set(&t, "core2", trouble, true);
                for (base, text) in [(1, "2 b"), (2, "3 c"), (3, "4 d")] {
                    t.put_until_acknowledged(base, text).await;
                    t.operator.sleep(SEC).await;
                }
                assert!(
                    t.control_node("core2").unwrap().storage.failed.load(SeqCst),
                    "{trouble:?} is not noticed\n{}",
                    format_log(&t)
                );
                set(&t, "core2", trouble, false);
                let us = until_restored(&t, "core2", 10 * SEC).await;
                let us = us.unwrap_or_else(|| panic!("{trouble:?}: not back\n{}", format_log(&t)));
                assert_eq!(t.control_node("core2").unwrap().storage.disk_id, id);
                t.operator.sleep(4 * SEC).await;
                t.kill("core3", true);
                t.put_until_acknowledged(4, "5 e").await;
                t.kill("core2", true);
                t.boot("core2", false);
                t.put_until_acknowledged(5, "6 f").await;
                us
            })
        });
        worst = worst.max(us);
    }
    println!("back after {} ms at most", worst / MS);
    assert!(worst < SEC, "{worst}");
}

/// Disks of a core and a store refuse writes for 2 s from their first start on.
#[test]
fn a_disk_that_refuses_writes_at_the_first_start_does_not_end_the_process() {
    for (seed, trouble) in (0..3).flat_map(|seed| [(seed, Trouble::Full), (seed, Trouble::Errors)])
    {
        let tier = Tier::new(4500 + seed, [4, 4, 1], 1);
        run_script(&tier, move |t| {
            Box::pin(async move {
                for name in ["core2", "store2"] {
                    set(&t, name, trouble, true);
                }
                t.boot_all();
                t.operator.sleep(2 * SEC).await;
                for name in ["core2", "store2"] {
                    assert!(
                        t.control_node(name).is_none(),
                        "{name} did not need its disk"
                    );
                    set(&t, name, trouble, false);
                }
                for name in ["core2", "store2"] {
                    let restored = until_restored(&t, name, 5 * SEC).await;
                    assert!(
                        restored.is_some(),
                        "{trouble:?}: {name}\n{}",
                        format_log(&t)
                    );
                }
                t.put_until_acknowledged(0, "1 a").await;
            })
        });
    }
}

/// A store's log after a disk that failed: what was answered is there, what was not is believed
/// neither way, and the store answers again.
#[test]
fn a_store_disk_that_works_again_answers_again() {
    for (seed, trouble) in (0..6).flat_map(|seed| [(seed, Trouble::Full), (seed, Trouble::Errors)])
    {
        let tier = Tier::new(5000 + seed, [4, 4, 1], 1);
        run_script(&tier, move |t| {
            Box::pin(async move {
                boot_and_wait(&t).await;
                let store = t.control_node("store1").unwrap();
                let keep = |n: u64| {
                    let store = store.clone();
                    async move { store.turn_store.append(vec![ledger(n)]).recv().await == Ok(true) }
                };
                assert!(keep(1).await);
                set(&t, "store1", trouble, true);
                assert!(!keep(2).await);
                assert!(store.storage.failed.load(SeqCst));
                t.operator.sleep(4 * SEC).await;
                assert!(
                    store.storage.failed.load(SeqCst),
                    "{trouble:?}: took part while its disk did not work"
                );
                set(&t, "store1", trouble, false);
                until_restored(&t, "store1", SEC)
                    .await
                    .unwrap_or_else(|| panic!("{trouble:?}: not back\n{}", format_log(&t)));
                let programs = |c: &yewcross_control::Control| {
                    let shelf = c.turn_store.index.lock().unwrap();
                    let mut names: Vec<String> = shelf.ledgers.keys().cloned().collect();
                    names.sort();
                    names
                };
                assert_eq!(programs(&store), ["p1"], "{trouble:?}");
                assert!(
                    !store.turn_store.recovery_pending.load(SeqCst),
                    "{trouble:?}: nothing was lost"
                );
                assert!(keep(3).await, "{trouble:?}: keeps nothing any more");
                t.kill("store1", true);
                t.boot("store1", false);
                t.operator.sleep(2 * SEC).await;
                assert_eq!(
                    programs(&t.control_node("store1").unwrap()),
                    ["p1", "p3"],
                    "{trouble:?}"
                );
            })
        });
    }
}

/// A disk that bears no identity any more is not taken for the one that was opened.
#[test]
fn a_disk_that_was_changed_is_not_restored() {
    let tier = Tier::new(6000, [4, 4, 1], 1);
    run_script(&tier, |t| {
        Box::pin(async move {
            boot_and_wait(&t).await;
            t.put_until_acknowledged(0, "1 a").await;
            set(&t, "core2", Trouble::Errors, true);
            t.put_until_acknowledged(1, "2 b").await;
            t.operator.sleep(SEC).await;
            assert!(t.control_node("core2").unwrap().storage.failed.load(SeqCst));
            t.sim.wipe_disk(t.sim.find("core2"));
            assert_eq!(
                until_restored(&t, "core2", 5 * SEC).await,
                None,
                "{}",
                format_log(&t)
            );
        })
    });
}

/// A disk that stalls or is 30 times as slow is never believed for what it did not sync, and needs
/// no restoring.
#[test]
fn a_stalled_or_slow_core_disk_only_loses_its_vote_meanwhile() {
    for (seed, stalled) in (0..4).flat_map(|seed| [(seed, true), (seed, false)]) {
        let tier = Tier::new(7000 + seed, [4, 4, 1], 1);
        run_script(&tier, move |t| {
            Box::pin(async move {
                boot_and_wait(&t).await;
                t.put_until_acknowledged(0, "1 a").await;
                let machine = t.sim.find("core2");
                t.sim.disk(machine, |d| {
                    if stalled {
                        d.stalled = true
                    } else {
                        d.slowness = 30
                    }
                });
                let mut worst = 0;
                for n in 1..4 {
                    worst = worst.max(t.put_until_acknowledged(n, &format!("{} x", n + 1)).await);
                    t.operator.sleep(SEC).await;
                }
                t.sim
                    .disk(machine, |d| (d.stalled, d.slowness) = (false, 1));
                t.operator.sleep(SEC).await;
                assert!(!t.control_node("core2").unwrap().storage.failed.load(SeqCst));
                t.kill("core3", true);
                let after = t.put_until_acknowledged(4, "5 e").await;
                println!(
                    "stalled {stalled}: puts took {} ms at most meanwhile, {} ms after",
                    worst / MS,
                    after / MS
                );
                assert!(worst < 4 * SEC && after < 4 * SEC, "{worst} {after}");
            })
        });
    }
}

/// The newest configuration as a majority has it.
async fn newest(tier: &Tier) -> Option<String> {
    for name in tier.names_with_role(Role::Core) {
        if let Some(ReadAnswer::Text(_, text)) = tier.read_configuration(&name).await {
            return Some(text.to_string());
        }
    }
    None
}

/// Ends all machines with disks at a moment of an order that is under way, four times, and starts
/// them a second later: what was acknowledged is there, the order can be sent again, and in the end
/// every machine has its seat.
async fn orders_outlast_herds(t: &Arc<Tier>, power: bool) {
    let (cores, stores) = (
        t.names_with_role(Role::Core),
        t.names_with_role(Role::Store),
    );
    let all: Vec<String> = cores.iter().chain(&stores).cloned().collect();
    for base in 0..4 {
        let (tier, moment, machines) = (t.clone(), t.operator.random() % (30 * MS), all.clone());
        t.operator.spawn(async move {
            tier.operator.sleep(moment).await;
            machines.iter().for_each(|n| tier.kill(n, power));
        });
        let text = format!("{} r", base + 1);
        let answer = t
            .put_configuration(&cores[base as usize % cores.len()], base, &text)
            .await;
        t.operator.sleep(SEC).await;
        all.iter().for_each(|n| t.boot(n, false));
        t.operator.sleep(3 * SEC).await;
        if matches!(answer, Some(PutAnswer::InForce(_))) {
            assert_eq!(
                newest(t).await,
                Some(text.clone()),
                "acknowledged and gone\n{}",
                format_log(t)
            );
        }
        t.put_until_acknowledged(base, &text).await;
    }
    t.wait_for_members(&cores, &stores, 10 * SEC)
        .await
        .unwrap_or_else(|| panic!("not whole\n{}", format_log(t)));
}

const SIZES: [([usize; 3], usize); 3] = [([4, 4, 2], 1), ([5, 5, 2], 2), ([8, 8, 2], 2)];

/// Invariant D4, for a loss of power of all.
#[test]
fn acknowledged_configurations_outlast_a_loss_of_power_of_all() {
    for (seed, (counts, lost)) in (0..8).flat_map(|seed| SIZES.map(|size| (seed, size))) {
        let tier = Tier::new(8000 + seed, counts, lost);
        run_script(&tier, |t| {
            Box::pin(async move {
                boot_and_wait(&t).await;
                orders_outlast_herds(&t, true).await;
            })
        });
    }
}

/// Invariant D4, for a kill of all, while the clocks of a third of the machines jump back and
/// ahead.
#[test]
fn acknowledged_configurations_outlast_herd_kills_and_clock_steps() {
    for (seed, (counts, lost)) in (0..8).flat_map(|seed| SIZES.map(|size| (seed, size))) {
        let tier = Tier::new(8500 + seed, counts, lost);
        run_script(&tier, |t| {
            Box::pin(async move {
                boot_and_wait(&t).await;
                let steps = t.clone();
                t.operator.spawn(async move {
                    let machines: Vec<String> =
                        steps.settings.lock().unwrap().keys().cloned().collect();
                    loop {
                        for name in machines
                            .iter()
                            .filter(|_| steps.operator.random().is_multiple_of(3))
                        {
                            let ms = (steps.operator.random() % 4_000) as i64 - 2_000;
                            steps.sim.set_clock_skew(steps.sim.find(name), ms);
                        }
                        steps.operator.sleep(700 * MS).await;
                    }
                });
                orders_outlast_herds(&t, false).await;
            })
        });
    }
}

/// A start at a deployment of 78 machines is one line of counts a node; a loss afterwards is a line
/// as ever.
#[test]
fn a_start_is_logged_in_one_line() {
    let tier = Tier::new(9000, [8, 9, 61], 2);
    run_script(&tier, |t| {
        Box::pin(async move {
            boot_and_wait(&t).await;
            t.operator.sleep(4 * SEC).await;
            let lines = |what: &str| {
                t.sim
                    .log()
                    .iter()
                    .filter(|l| l.1 == "core2" && l.2.starts_with(what))
                    .count()
            };
            assert_eq!(
                lines("members known: 8 core, 9 store, 61 front"),
                1,
                "{}",
                format_log(&t)
            );
            assert_eq!(lines("member "), 0, "{}", format_log(&t));
            t.kill("front7", true);
            t.operator.sleep(10 * SEC).await;
            assert!(lines("member front7 Removed") == 1, "{}", format_log(&t));
        })
    });
}
