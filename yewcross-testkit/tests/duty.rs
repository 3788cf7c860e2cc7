//! The duty lease: one holder at most, taken over in a bounded time, fenced in what it writes
//! (docs/control-safety.md, 1a).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::ListedServer;
use yewcross_testkit::sim::{MachineCosts, NetworkConditions};
use yewcross_testkit::tier::*;

#[path = "support/partitions.rs"]
mod partitions;
use partitions::{PARTITIONS, Partition, TIER_SIZES, partition_core};

/// Longest time without a process on duty while a majority of the core seats can reach each other.
const TAKEOVER: u64 = 2 * SEC;

fn server(n: usize, leaving: bool) -> ListedServer {
    let addr = std::net::SocketAddr::new([10, 7, 0, n as u8].into(), 80);
    ListedServer {
        server: format!("s{n}"),
        service: "llm".into(),
        addr,
        site: "z1".into(),
        leaving,
    }
}

/// Looks at all cores every millisecond: at most one is on duty, and the term that a document was
/// written under never falls from one version to the next. Remembers the longest time without
/// anybody on duty since `begin` was last called.
struct Watch {
    on: AtomicBool,
    longest_gap: std::sync::Mutex<u64>,
    since: std::sync::Mutex<u64>,
}

impl Watch {
    fn start(t: &Arc<Tier>) -> Arc<Watch> {
        let watch = Arc::new(Watch {
            on: AtomicBool::new(true),
            longest_gap: Default::default(),
            since: Default::default(),
        });
        let (me, t) = (watch.clone(), t.clone());
        t.operator.clone().spawn(async move {
            let mut terms: [BTreeMap<u64, u64>; 2] = Default::default();
            while me.on.load(SeqCst) {
                me.look(&t, &mut terms);
                t.operator.sleep(MS).await;
            }
        });
        watch
    }

    fn look(&self, t: &Tier, terms: &mut [BTreeMap<u64, u64>; 2]) {
        let (now, holders) = (t.operator.now(), t.acting_holders());
        assert!(
            holders.len() <= 1,
            "two on duty: {holders:?}\n{}",
            format_log(t)
        );
        if !holders.is_empty() {
            *self.since.lock().unwrap() = now;
        }
        let gap = now - *self.since.lock().unwrap();
        let mut longest = self.longest_gap.lock().unwrap();
        *longest = gap.max(*longest);
        for c in t.control_nodes.lock().unwrap().values() {
            let (layout, list) = (c.documents.layout.load(), c.documents.server_list.load());
            for (written, (version, term)) in terms
                .iter_mut()
                .zip([(layout.0, layout.1.term), (list.0, list.1.term)])
            {
                assert_eq!(
                    *written.entry(version).or_insert(term),
                    term,
                    "two documents under one version\n{}",
                    format_log(t)
                );
                let falls = written
                    .range(..version)
                    .next_back()
                    .is_some_and(|(_, earlier)| *earlier > term);
                assert!(!falls, "a term fell\n{}", format_log(t));
            }
        }
    }

    fn begin(&self, now: u64) {
        *self.since.lock().unwrap() = now;
        *self.longest_gap.lock().unwrap() = 0;
    }

    fn end(&self) -> u64 {
        self.on.store(false, SeqCst);
        *self.longest_gap.lock().unwrap()
    }
}

/// us until every front holds a list in which the server is leaving.
async fn list_known(t: &Tier, server: &str, us: u64) -> Option<u64> {
    let t0 = t.operator.now();
    while t.operator.now() < t0 + us {
        let knows = |b: &Arc<StubFront>| {
            b.documents
                .server_list
                .load()
                .1
                .servers
                .iter()
                .any(|s| s.server == server && s.leaving)
        };
        if t.fronts.lock().unwrap().values().all(knows) {
            return Some(t.operator.now() - t0);
        }
        t.operator.sleep(10 * MS).await;
    }
    None
}

/// The holder is cut off from the other cores for 20 s while fronts reach all; a server leaves
/// every second.
fn holder_cut_off(seed: u64, counts: [usize; 3], lost: usize, how: Partition) -> (u64, u64) {
    let t = Tier::new(seed, counts, lost);
    run_script(&t, |t| {
        Box::pin(async move {
            let platform = t
                .start_platform((0..20).map(|n| server(n, false)).collect())
                .await;
            boot_and_wait(&t).await;
            t.operator.sleep(3 * SEC + t.operator.random() % SEC).await;
            let watch = Watch::start(&t);
            let holder = t
                .acting_holders()
                .first()
                .cloned()
                .unwrap_or_else(|| panic!("nobody on duty\n{}", format_log(&t)));
            watch.begin(t.operator.now());
            partition_core(&t, &holder, how);
            let mut slowest = 0;
            for n in 0..20 {
                let t0 = t.operator.now();
                platform.update_servers(|v| v[n].leaving = true);
                let us = list_known(&t, &format!("s{n}"), 20 * SEC).await;
                slowest = slowest.max(us.unwrap_or_else(|| {
                    panic!("{holder} {how:?}: the list is not read\n{}", format_log(&t))
                }));
                t.operator
                    .sleep(SEC.saturating_sub(t.operator.now() - t0))
                    .await;
            }
            t.sim.heal();
            t.operator.sleep(5 * SEC).await;
            (watch.end(), slowest)
        })
    })
}

#[test]
fn a_holder_that_is_cut_off_is_replaced_in_time() {
    let (mut worst_gap, mut slowest) = (0, 0);
    for (size, (counts, lost)) in TIER_SIZES.into_iter().enumerate() {
        for (i, how) in PARTITIONS.into_iter().enumerate() {
            for k in 0..3 {
                let seed = 5000 + 100 * size as u64 + 10 * i as u64 + k;
                let (gap, known) = holder_cut_off(seed, counts, lost, how);
                println!(
                    "{} cores, {how:?}: {} ms without a holder, a leaving server known after {} ms at most",
                    counts[0],
                    gap / MS,
                    known / MS
                );
                worst_gap = worst_gap.max(gap);
                slowest = slowest.max(known);
            }
        }
    }
    assert!(worst_gap < TAKEOVER, "{worst_gap}");
    assert!(slowest < 3 * SEC, "{slowest}");
}

/// All cores die at once and are back soon; each has a tenth of a processor.
#[test]
fn the_lease_is_taken_after_the_whole_core_restarts() {
    let mut worst = 0;
    for (size, (counts, lost)) in TIER_SIZES.into_iter().enumerate() {
        for power in [false, true] {
            let t = Tier::new(5300 + 10 * size as u64 + power as u64, counts, lost);
            t.names_with_role(Role::Core).iter().for_each(|n| {
                t.sim.set_costs(
                    t.sim.find(n),
                    MachineCosts {
                        core_percent: 11,
                        poll_us: 20,
                        byte_ns: 3,
                        sync_us: 500,
                    },
                )
            });
            let (us, terms) = run_script(&t, |t| {
                Box::pin(async move {
                    t.start_platform(vec![server(1, false)]).await;
                    boot_and_wait(&t).await;
                    t.operator.sleep(3 * SEC).await;
                    let cores = t.names_with_role(Role::Core);
                    let watch = Watch::start(&t);
                    let was = t
                        .control_node(&t.acting_holders()[0])
                        .unwrap()
                        .acting_term()
                        .unwrap();
                    cores.iter().for_each(|n| t.kill(n, power));
                    t.operator.sleep(500 * MS).await;
                    cores.iter().for_each(|n| t.boot(n, false));
                    let t0 = t.operator.now();
                    while t.acting_holders().is_empty() {
                        t.operator.sleep(MS).await;
                        assert!(
                            t.operator.now() < t0 + 10 * SEC,
                            "nobody on duty\n{}",
                            format_log(&t)
                        );
                    }
                    let us = t.operator.now() - t0;
                    let is = t
                        .control_node(&t.acting_holders()[0])
                        .unwrap()
                        .acting_term()
                        .unwrap();
                    t.operator.sleep(3 * SEC).await;
                    watch.end();
                    (us, (was, is))
                })
            });
            println!(
                "{} cores, power {power}: on duty {} ms after their start, terms {terms:?}",
                counts[0],
                us / MS
            );
            assert!(terms.1 > terms.0, "{terms:?}");
            worst = worst.max(us);
        }
    }
    assert!(worst < 2500 * MS, "{worst}");
}

/// The holder freezes at any moment, often while it has read the list and not yet written it, and
/// thaws later.
#[test]
fn a_holder_that_thaws_writes_nothing() {
    let mut worst = 0;
    for seed in 0..24u64 {
        let (counts, lost) = TIER_SIZES[seed as usize % TIER_SIZES.len()];
        let t = Tier::new(5400 + seed, counts, lost);
        let gap = run_script(&t, |t| {
            Box::pin(async move {
                let platform = t
                    .start_platform((0..20).map(|n| server(n, false)).collect())
                    .await;
                boot_and_wait(&t).await;
                t.operator.sleep(3 * SEC).await;
                let watch = Watch::start(&t);
                for n in 0..4 {
                    let holder = t
                        .acting_holders()
                        .first()
                        .cloned()
                        .unwrap_or_else(|| panic!("nobody on duty\n{}", format_log(&t)));
                    let term = t.control_node(&holder).unwrap().acting_term().unwrap();
                    watch.begin(t.operator.now());
                    platform.update_servers(|v| v[2 * n].leaving = true);
                    t.operator.sleep(t.operator.random() % (700 * MS)).await;
                    t.sim.freeze(t.sim.find(&holder));
                    t.operator.sleep(t.operator.random() % (3 * SEC)).await;
                    platform.update_servers(|v| v[2 * n + 1].leaving = true);
                    t.operator.sleep(2 * SEC).await;
                    let now = t
                        .acting_holders()
                        .first()
                        .cloned()
                        .unwrap_or_else(|| panic!("nobody took over\n{}", format_log(&t)));
                    assert_ne!(now, holder);
                    t.sim.thaw(t.sim.find(&holder));
                    t.operator.sleep(2 * SEC).await;
                    assert_ne!(t.control_node(&holder).unwrap().acting_term(), Some(term));
                    for name in t.names_with_role(Role::Front) {
                        let held = t
                            .front(&name)
                            .unwrap()
                            .documents
                            .server_list
                            .load()
                            .1
                            .servers
                            .clone();
                        assert_eq!(held, platform.servers(), "{name}\n{}", format_log(&t));
                    }
                }
                watch.end()
            })
        });
        worst = worst.max(gap);
    }
    println!("longest time without a holder: {} ms", worst / MS);
    assert!(worst < TAKEOVER, "{worst}");
}

/// Cuts, freezes and kills of any cores in a row, with frames lost, doubled and late: never two
/// holders.
#[test]
fn two_never_hold_the_lease_at_once() {
    for seed in 0..30u64 {
        let (counts, lost) = TIER_SIZES[seed as usize % TIER_SIZES.len()];
        let t = Tier::new(5500 + seed, counts, lost);
        run_script(&t, |t| {
            Box::pin(async move {
                t.start_platform(vec![server(1, false)]).await;
                boot_and_wait(&t).await;
                let watch = Watch::start(&t);
                t.sim.set_network_conditions(NetworkConditions {
                    drop_per_mille: 10,
                    duplicate_per_mille: 20,
                    delay_per_mille: 20,
                    max_jitter: 2000,
                });
                for _ in 0..10 {
                    let cores = t.names_with_role(Role::Core);
                    let any = |t: &Tier| cores[t.operator.random() as usize % cores.len()].clone();
                    let victim = t
                        .acting_holders()
                        .first()
                        .cloned()
                        .filter(|_| !t.operator.random().is_multiple_of(3))
                        .unwrap_or_else(|| any(&t));
                    match t.operator.random() % 5 {
                        0 => t.sim.freeze(t.sim.find(&victim)),
                        1 => t.kill(&victim, t.operator.random().is_multiple_of(2)),
                        n => partition_core(&t, &victim, PARTITIONS[n as usize - 2]),
                    }
                    t.operator.sleep(t.operator.random() % (3 * SEC)).await;
                    t.sim.heal();
                    t.sim.thaw(t.sim.find(&victim));
                    if t.control_node(&victim).is_none() {
                        t.boot(&victim, false);
                    }
                    t.operator.sleep(t.operator.random() % (2 * SEC)).await;
                }
                t.sim.set_network_conditions(NetworkConditions::default());
                t.operator.sleep(4 * SEC).await;
                assert_eq!(t.acting_holders().len(), 1, "{}", format_log(&t));
                watch.end();
            })
        });
    }
}
