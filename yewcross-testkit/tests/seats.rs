//! Seats under losses that come close together: the groups' changes run beside each other, a
//! further loss is taken into the change under way, and nothing rests on a disk that leaves.

use bytes::Bytes;
use std::collections::BTreeSet;
use std::sync::Arc;
use yewcross_common::constants::*;
use yewcross_common::membership::{MemberState, Node};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, ReplicaGroup};
use yewcross_common::turn_log::Turn;
use yewcross_common::turn_log::{LedgerEntry, LedgerRecord, StoredTurn, TurnLogResponse};
use yewcross_control::api::{ReadAnswer, RetireOutcome, RetireState};
use yewcross_control::layout::planning::{self, ClusterView, ReplicaReport};
use yewcross_testkit::routed::tier::Plan;
use yewcross_testkit::sim::MachineCosts;
use yewcross_testkit::tier::*;

/// us. A core seat is whole within this from its machine's return.
const CORE_WHOLE: u64 = SEC;
/// us. Longest time in which a duty is taken over after a loss of power.
const TAKEOVER: u64 = 1_500 * MS;
/// us. A third of the shortest `catch-up-s` at hand, 4 s.
const STORE_WHOLE: u64 = 4 * SEC / 3;

fn is_whole(t: &Tier, name: &str) -> bool {
    let Some(c) = t.control_node(name) else {
        return false;
    };
    // As the newest layout that any core process holds has it.
    let layouts = t
        .names_with_role(Role::Core)
        .into_iter()
        .filter_map(|n| t.control_node(&n))
        .map(|x| x.documents.layout.load_full());
    let Some(l) = layouts.max_by_key(|l| l.0) else {
        return false;
    };
    let seats = planning::group(&l.1, c.settings.role);
    seats.current.contains(&c.storage.disk_id) && !seats.is_changing()
}

/// us until the machine's disk has its seat and no change of its group is under way.
async fn whole(t: &Arc<Tier>, name: &str, us: u64) -> u64 {
    let t0 = t.operator.now();
    while !is_whole(t, name) {
        t.operator.sleep(5 * MS).await;
        assert!(
            t.operator.now() < t0 + us,
            "{name} is not whole after {} ms\n{}",
            us / MS,
            format_log(t)
        );
    }
    t.operator.now() - t0
}

fn lose(t: &Tier, name: &str) {
    t.kill(name, true);
    t.sim.wipe_disk(t.sim.find(name));
}

/// Turns of some bytes, each on as many stores as a front writes it to, with an entry in its
/// program's ledger.
async fn load(t: &Arc<Tier>, turns: usize, bytes: usize, lost: usize) -> Vec<String> {
    let stores = t.names_with_role(Role::Store);
    let mut ids = vec![];
    let mut rows: Vec<Vec<StoredTurn>> = vec![vec![]; stores.len()];
    let end = t.control_node(&stores[0]).unwrap().members.clock().0;
    for i in 0..turns {
        let id = format!("turn-{i}");
        let turn = Turn {
            id: id.clone(),
            input: Bytes::from(vec![b'i'; bytes]),
            output: Bytes::from_static(b"out"),
            server: "m1".into(),
            tokens: 10,
            retain_ms: 600_000,
            ..Default::default()
        };
        let row = StoredTurn {
            turn: Arc::new(turn),
            program: format!("program-{}", i % 50),
            ended_at_ms: end,
        };
        let first = t.operator.random() as usize;
        (0..=lost).for_each(|k| rows[(first + k) % stores.len()].push(row.clone()));
        ids.push(id);
    }
    for (name, rows) in stores.iter().zip(rows) {
        for part in rows.chunks(200) {
            let part = part.to_vec();
            let entry = |r: &StoredTurn| LedgerRecord {
                program: r.program.clone(),
                entries: vec![(r.turn.id.clone(), LedgerEntry::Done(10))],
                retain_ms: LEDGER_RETENTION_MS,
                ..Default::default()
            };
            let ledgers: Vec<LedgerRecord> = part.iter().map(entry).collect();
            let told = t
                .run_on(name, |c| {
                    Box::pin(async move {
                        c.turn_store
                            .store_records(c.documents.layout.load().0, part, ledgers)
                            .await
                    })
                })
                .await;
            assert_eq!(told, Some(TurnLogResponse::Ok), "{name}");
        }
    }
    ids
}

/// Every turn, and its entry in the ledger, is on more present disks than may be lost.
fn assert_kept(t: &Tier, ids: &[String], copies: usize) {
    let stores: Vec<_> = t
        .names_with_role(Role::Store)
        .into_iter()
        .filter(|n| is_whole(t, n))
        .filter_map(|n| t.control_node(&n))
        .collect();
    for (i, id) in ids.iter().enumerate() {
        let holders = stores
            .iter()
            .filter(|c| c.turn_store.index.lock().unwrap().get(id).is_some())
            .count();
        assert!(
            holders >= copies,
            "{id} is on {holders} disks\n{}",
            format_log(t)
        );
        let program = format!("program-{}", i % 50);
        let knows = |c: &yewcross_control::Control| {
            c.turn_store
                .index
                .lock()
                .unwrap()
                .ledgers
                .get(&program)
                .is_some_and(|l| l.entries.contains_key(id))
        };
        let ledgers = stores.iter().filter(|c| knows(c)).count();
        assert!(
            ledgers >= copies,
            "the entry of {id} is on {ledgers} disks\n{}",
            format_log(t)
        );
    }
}

/// The bench's small machines: a third of a core, syncs of 2 ms.
fn burden(t: &Tier) {
    for (role, share) in [(Role::Core, 11), (Role::Store, 30), (Role::Front, 12)] {
        t.names_with_role(role).iter().for_each(|n| {
            t.sim.set_costs(
                t.sim.find(n),
                MachineCosts {
                    core_percent: share,
                    poll_us: 20,
                    byte_ns: 3,
                    sync_us: 2_000,
                },
            )
        });
    }
}

/// A change of stores cannot end, since one store more than may be lost is frozen: a lost core seat
/// does not wait for it.
#[test]
fn a_core_seat_does_not_wait_for_the_stores() {
    for (seed, counts, lost) in [
        (1u64, [4, 4, 3], 1usize),
        (2, [5, 9, 3], 2),
        (3, [8, 9, 3], 2),
    ] {
        for core in ["core1", "core3", "core4"] {
            let t = Tier::new(900 + seed, counts, lost);
            let us = run_script(&t, |t| {
                Box::pin(async move {
                    boot_and_wait(&t).await;
                    t.put_until_acknowledged(0, "5 a").await;
                    lose(&t, "store1");
                    (0..lost).for_each(|i| t.sim.freeze(t.sim.find(&format!("store{}", i + 2))));
                    t.operator.sleep(500 * MS).await;
                    t.boot("store1", false);
                    t.operator.sleep(1_500 * MS).await;
                    lose(&t, core);
                    t.operator.sleep(1_200 * MS).await;
                    t.boot(core, false);
                    let us = whole(&t, core, CORE_WHOLE).await;
                    assert_eq!(
                        t.read_configuration(core).await,
                        Some(ReadAnswer::Text(5, "5 a".into()))
                    );
                    (0..lost).for_each(|i| t.sim.thaw(t.sim.find(&format!("store{}", i + 2))));
                    whole(&t, "store1", 4 * SEC).await;
                    us
                })
            });
            println!("{counts:?}, {core}: whole {} ms after its return", us / MS);
        }
    }
}

/// Rounds of losses: as many stores as may be lost, and a core right after their change has begun,
/// with much on the stores and little processor everywhere. Returns the longest times to whole of a
/// core's and of a store's seat.
fn rounds(
    seed: u64,
    counts: [usize; 3],
    lost: usize,
    with_duty: bool,
    bounds: (u64, u64),
) -> (u64, u64) {
    let t = Tier::new(seed, counts, lost);
    run_script(&t, |t| {
        Box::pin(async move {
            boot_and_wait(&t).await;
            burden(&t);
            t.put_until_acknowledged(0, "5 a").await;
            let ids = load(&t, 3_000, 2_000, lost).await;
            let (mut core, mut store) = (0, 0);
            for round in 0..4 {
                let stores: Vec<String> = (0..lost)
                    .map(|i| format!("store{}", 1 + (round * lost + i) % counts[1]))
                    .collect();
                let has_duty = |n: &String| t.control_node(n).is_some_and(|c| c.is_acting_holder());
                let mut cores = t.names_with_role(Role::Core);
                cores.rotate_left(round % counts[0]);
                let lost_core = cores
                    .into_iter()
                    .find(|n| has_duty(n) == with_duty)
                    .unwrap();
                stores.iter().for_each(|n| lose(&t, n));
                t.operator.sleep(1_200 * MS).await;
                stores.iter().for_each(|n| t.boot(n, false));
                t.operator.sleep(30 * MS).await;
                lose(&t, &lost_core);
                for n in &stores {
                    store = store.max(30 * MS + whole(&t, n, bounds.1).await);
                }
                t.operator.sleep(1_200 * MS).await;
                t.boot(&lost_core, false);
                core = core.max(whole(&t, &lost_core, bounds.0).await);
                assert_kept(&t, &ids, lost + 1);
                t.operator.sleep(2 * SEC).await;
            }
            (core, store)
        })
    })
}

const SIZES: [([usize; 3], usize); 4] = [
    ([4, 4, 3], 1),
    ([5, 9, 3], 2),
    ([8, 9, 3], 2),
    ([5, 5, 3], 2),
];

#[test]
fn seats_are_whole_in_time_under_load() {
    for (i, (counts, lost)) in SIZES.into_iter().enumerate() {
        let (core, store) = rounds(
            930 + i as u64,
            counts,
            lost,
            false,
            (CORE_WHOLE, STORE_WHOLE),
        );
        println!(
            "{counts:?}: core whole after {} ms at most, store after {} ms",
            core / MS,
            store / MS
        );
    }
}

/// The core that decides about seats is itself lost: finding that out comes on top.
#[test]
fn the_loss_of_the_duty_costs_its_takeover_once() {
    for (i, (counts, lost)) in SIZES.into_iter().enumerate() {
        let (core, store) = rounds(
            950 + i as u64,
            counts,
            lost,
            true,
            (CORE_WHOLE, STORE_WHOLE + TAKEOVER),
        );
        println!(
            "{counts:?}: core whole after {} ms at most, store after {} ms",
            core / MS,
            store / MS
        );
    }
}

/// Operators race for the configuration through every core: eight orders at a time, a long text.
fn race(t: &Arc<Tier>, end: u64) {
    for nth in 0..8 {
        let t = t.clone();
        t.operator.clone().spawn(async move {
            let cores = t.names_with_role(Role::Core);
            while t.operator.now() < end {
                let core = &cores[t.operator.random() as usize % cores.len()];
                if let Some(ReadAnswer::Text(base, _)) = t.read_configuration(core).await {
                    let text = format!("{} by {nth} {}", base + 1, "x".repeat(30_000));
                    t.put_configuration(core, base, &text).await;
                }
                t.operator.sleep(t.operator.random() % (200 * MS)).await;
            }
        });
    }
}

#[test]
fn a_core_seat_is_whole_while_operators_race() {
    for (i, (counts, lost)) in SIZES.into_iter().enumerate() {
        let t = Tier::new(970 + i as u64, counts, lost);
        let us = run_script(&t, |t| {
            Box::pin(async move {
                boot_and_wait(&t).await;
                burden(&t);
                t.put_until_acknowledged(0, "1 a").await;
                race(&t, t.operator.now() + 20 * SEC);
                let mut worst = 0;
                for round in 0..4 {
                    let mut cores = t.names_with_role(Role::Core);
                    cores.rotate_left(round % counts[0]);
                    let core = cores
                        .into_iter()
                        .find(|n| t.control_node(n).is_some_and(|c| !c.is_acting_holder()))
                        .unwrap();
                    lose(&t, &core);
                    t.operator.sleep(1_200 * MS).await;
                    t.boot(&core, false);
                    worst = worst.max(whole(&t, &core, CORE_WHOLE).await);
                    t.operator.sleep(2 * SEC).await;
                }
                worst
            })
        });
        println!("{counts:?}: whole after {} ms at most", us / MS);
        assert!(us < CORE_WHOLE, "{us}");
    }
}

/// A second loss at any moment of a change: before it is decided, joint, swept, just finished.
#[test]
fn a_second_loss_at_any_moment_leaves_all_that_was_kept() {
    let mut worst = 0;
    for seed in 0..24u64 {
        let t = Tier::new(1000 + seed, [5, 7, 3], 2);
        let us = run_script(&t, |t| {
            Box::pin(async move {
                boot_and_wait(&t).await;
                t.put_until_acknowledged(0, "5 a").await;
                let ids = load(&t, 400, 500, 2).await;
                let role = if seed % 2 == 0 { "store" } else { "core" };
                let (first, second) = (format!("{role}2"), format!("{role}5"));
                lose(&t, &first);
                t.operator.sleep(700 * MS).await;
                t.boot(&first, false);
                t.operator.sleep(seed / 2 * 25 * MS).await;
                lose(&t, &second);
                t.operator.sleep(700 * MS).await;
                t.boot(&second, false);
                let us = whole(&t, &second, STORE_WHOLE).await;
                whole(&t, &first, STORE_WHOLE).await;
                assert_kept(&t, &ids, 3);
                t.put_until_acknowledged(5, "6 b").await;
                us
            })
        });
        worst = worst.max(us);
    }
    println!("whole again after {} ms at most", worst / MS);
}

/// As soon as a machine is told to be retired it loses its disk, and as many others as may be lost
/// do so with it.
#[test]
fn nothing_rests_on_a_retired_disk() {
    for seed in 0..8u64 {
        let (counts, lost) = if seed % 2 == 0 {
            ([4, 4, 3], 1usize)
        } else {
            ([5, 9, 3], 2)
        };
        let t = Tier::new(1100 + seed, counts, lost);
        run_script(&t, |t| {
            Box::pin(async move {
                boot_and_wait(&t).await;
                let ids = load(&t, 400, 500, lost).await;
                let begun = t
                    .run_on("core1", |c| {
                        Box::pin(async move { c.retire_begin("store2").await })
                    })
                    .await;
                assert_eq!(begun, Some(RetireOutcome::Begun));
                let t0 = t.operator.now();
                while t
                    .run_on("core2", |c| {
                        Box::pin(async move { c.retire_state("store2").await })
                    })
                    .await
                    != Some(RetireState::Finished)
                {
                    t.operator.sleep(2 * MS).await;
                    assert!(t.operator.now() < t0 + 3 * SEC, "{}", format_log(&t));
                }
                let mut others = t.names_with_role(Role::Store);
                others.retain(|n| n != "store2");
                let shift = seed as usize % others.len();
                others.rotate_left(shift);
                others.truncate(lost);
                lose(&t, "store2");
                others.iter().for_each(|n| lose(&t, n));
                t.operator.sleep(700 * MS).await;
                others.iter().for_each(|n| t.boot(n, false));
                for n in &others {
                    whole(&t, n, STORE_WHOLE).await;
                }
                t.settings.lock().unwrap().remove("store2");
                assert_kept(&t, &ids, lost + 1);
            })
        });
    }
}

/// Registers on stores have three copies whatever may be lost: routed calls, with chains, programs'
/// budgets, and operators' orders keep nothing in them.
#[test]
fn routed_calls_keep_nothing_in_registers_of_stores() {
    let (t, evidence) = yewcross_testkit::routed::tier::run(&Plan {
        seed: 7,
        topology: "metered".into(),
        disruptions: vec![],
    });
    assert!(evidence.attempts.len() > 200);
    let (mut stores, mut turns) = (0, 0);
    for c in t
        .control_nodes()
        .iter()
        .filter(|c| c.settings.role == Role::Store)
    {
        stores += 1;
        turns += c.turn_store.metrics()["turns"];
        let (keys, damaged) = futures_lite::future::block_on(c.replica.keys());
        assert!(
            keys.is_empty() && damaged == 0,
            "{} holds {keys:?}",
            c.settings.name
        );
    }
    assert!(stores >= 4 && turns > 0, "{stores} stores, {turns} turns");
}

fn node(name: &str, role: Role, disk: &str) -> Node {
    let at = node_address(name.bytes().map(|b| b as usize).sum::<usize>() % 200);
    let wire = WIRE_VERSION;
    Node {
        name: name.into(),
        incarnation: 1,
        refutations: 0,
        state: MemberState::Alive,
        role,
        site: "z1".into(),
        peer: at,
        http: at,
        disk: disk.into(),
        wire_version: wire,
    }
}

/// Machines `core1..` and `store1..` with the disks `c1..` and `s1..`.
fn seated(cores: usize, stores: usize) -> (Layout, Vec<Node>) {
    let mut l = Layout {
        change_started: 1,
        ..Default::default()
    };
    let mut live = vec![];
    for (role, tag, disk, n) in [
        (Role::Core, "core", "c", cores),
        (Role::Store, "store", "s", stores),
    ] {
        for i in 1..=n {
            let (name, disk) = (format!("{tag}{i}"), format!("{disk}{i}"));
            live.push(node(&name, role, &disk));
            l.names.insert(disk.clone(), name);
            planning::group_mut(&mut l, role).current.push(disk);
        }
    }
    (l, live)
}

fn known<'a>(live: &'a [Node], missing: &'a dyn Fn(&str) -> u64) -> ClusterView<'a> {
    ClusterView {
        live,
        recently_seen: live,
        missing_us: missing,
        max_lost: 1,
    }
}

/// The machine comes back with another disk.
fn reborn(live: &mut [Node], name: &str, disk: &str) {
    live.iter_mut()
        .filter(|n| n.name == name)
        .for_each(|n| n.disk = disk.into());
}

fn set(v: &[String]) -> BTreeSet<&str> {
    v.iter().map(|s| s.as_str()).collect()
}

#[test]
fn the_groups_change_beside_each_other() {
    let (l, mut live) = seated(4, 4);
    let none = |_: &str| 0;
    reborn(&mut live, "store1", "s1b");
    let l = planning::next_step(&l, 5, &known(&live, &none), Role::Store).unwrap();
    assert_eq!(
        (set(&l.store.current), l.store.layout_number),
        (BTreeSet::from(["s1b", "s2", "s3", "s4"]), 6)
    );
    // The core begins, and ends, while the stores' change goes on with the same number.
    reborn(&mut live, "core2", "c2b");
    let mut l = planning::next_step(&l, 6, &known(&live, &none), Role::Core).unwrap();
    assert!(l.core.is_changing() && l.store.is_changing());
    planning::end(&mut l, 7, Role::Core);
    assert!(
        !l.core.is_changing()
            && l.store.is_changing()
            && l.store.layout_number == 6
            && l.core.layout_number == 8
    );
    // The leaving store's name is still known.
    assert_eq!(l.names["s1"], "store1");
    assert!(!l.names.contains_key("c2"));
}

#[test]
fn a_further_loss_is_taken_into_the_change_under_way() {
    let (l, mut live) = seated(4, 5);
    let none = |_: &str| 0;
    reborn(&mut live, "store1", "s1b");
    let l = planning::next_step(&l, 5, &known(&live, &none), Role::Store).unwrap();
    assert_eq!(
        planning::next_step(&l, 6, &known(&live, &none), Role::Store),
        None
    );
    // A seat that was to stay.
    reborn(&mut live, "store3", "s3b");
    let l = planning::next_step(&l, 6, &known(&live, &none), Role::Store).unwrap();
    assert_eq!(
        set(&l.store.current),
        BTreeSet::from(["s1b", "s2", "s3b", "s4", "s5"])
    );
    assert_eq!(
        (set(&l.store.previous), l.store.layout_number),
        (BTreeSet::from(["s1", "s2", "s3", "s4", "s5"]), 7)
    );
    // The newcomer itself.
    reborn(&mut live, "store1", "s1c");
    let l = planning::next_step(&l, 7, &known(&live, &none), Role::Store).unwrap();
    assert_eq!(
        set(&l.store.current),
        BTreeSet::from(["s1c", "s2", "s3b", "s4", "s5"])
    );
    assert_eq!(
        set(&l.store.previous),
        BTreeSet::from(["s1", "s2", "s3", "s4", "s5"])
    );
    assert_eq!(
        planning::next_step(&l, 8, &known(&live, &none), Role::Store),
        None
    );
}

/// Of three disks two hold each turn: one that has swept cannot speak for the other two, whatever
/// may be lost elsewhere.
#[test]
fn a_change_ends_only_when_enough_have_swept() {
    let disks = |v: &[&str]| v.iter().map(|s| s.to_string()).collect::<Vec<_>>();
    let group = ReplicaGroup {
        current: disks(&["a", "b", "d"]),
        previous: disks(&["a", "b", "c"]),
        layout_number: 7,
    };
    let report = |disk: &str, persisted_layout_version: u64, is_swept: bool| ReplicaReport {
        disk: disk.into(),
        persisted_layout_version,
        is_swept,
    };
    let one = [
        report("a", 7, true),
        report("b", 7, false),
        report("d", 7, false),
    ];
    assert!(!planning::store_may_end(&group, 7, 2, &one));
    let two = [
        report("a", 7, true),
        report("b", 7, true),
        report("d", 6, false),
    ];
    assert!(planning::store_may_end(&group, 7, 2, &two));
    // One that has not kept the layout still answers by the outgoing set alone.
    let unkept = [
        report("a", 7, true),
        report("b", 6, true),
        report("d", 6, false),
    ];
    assert!(!planning::store_may_end(&group, 7, 2, &unkept));
    assert!(!planning::core_is_joint(&group, 7, &unkept));
    assert!(planning::core_is_joint(&group, 7, &two));
}
