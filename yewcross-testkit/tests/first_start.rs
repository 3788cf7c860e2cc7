//! The first start of a tier that maintains itself, with seeds that are missing, late, cut off or
//! killed.

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::{Bounds, Role};
use yewcross_common::protocol::{Layout, PeerRequest, PeerResponse, ReplicaGroup};
use yewcross_common::runtime::{BoxFuture, Runtime};
use yewcross_common::transport::PeerClient;
use yewcross_control::api::{PutAnswer, ReadAnswer};
use yewcross_testkit::tier::*;

/// Number of seeds in the settings of every process.
const SEEDS: u64 = 3;

/// Time in µs within which the tier takes a configuration once the contact time has passed.
const START_LIMIT: u64 = 4 * SEC;

/// The configuration that is put while the tier starts.
const EARLY_PUT: &str = "5 a";

fn contact_time() -> u64 {
    Bounds::default().contact * MS
}

fn machine_names(tier: &Tier) -> Vec<String> {
    tier.settings.lock().unwrap().keys().cloned().collect()
}

/// Fails unless all cores and stores become replicas of one tier.
async fn assert_is_one_tier(tier: &Arc<Tier>) {
    let cores = tier.names_with_role(Role::Core);
    let stores = tier.names_with_role(Role::Store);
    let joined = tier.wait_for_members(&cores, &stores, 20 * SEC).await;
    assert!(joined.is_some(), "{}", format_log(tier));
    for (name, control) in tier.control_nodes.lock().unwrap().iter() {
        let conflicts = control.documents.conflicts.load(SeqCst);
        assert_eq!(conflicts, 0, "{name}: {}", format_log(tier));
    }
}

#[test]
fn the_tier_starts_without_one_of_its_seeds() {
    for counts in [[3, 3, 2], [4, 4, 3], [5, 6, 4]] {
        for missing in 1..=SEEDS {
            let tier = Tier::new(10 + missing, counts, 1);
            run_script(&tier, |tier| {
                Box::pin(async move {
                    let missing = format!("core{missing}");
                    let started = machine_names(&tier).into_iter();
                    started
                        .filter(|name| *name != missing)
                        .for_each(|name| tier.boot(&name, true));
                    let time = tier.put_until_acknowledged(0, "5 a").await;
                    assert!(time < contact_time() + START_LIMIT, "{counts:?}: {time} µs");
                    tier.boot(&missing, true);
                    assert_is_one_tier(&tier).await;
                    tier.put_until_acknowledged(5, "6 b").await;
                })
            });
        }
    }
}

#[test]
fn the_tier_starts_though_no_seed_remembers_the_first_start() {
    let tier = Tier::new(20, [4, 4, 3], 1);
    run_script(&tier, |tier| {
        Box::pin(async move {
            for name in machine_names(&tier) {
                tier.boot(&name, name == "core4");
            }
            let time = tier.put_until_acknowledged(0, "5 a").await;
            assert!(time < START_LIMIT, "{time} µs");
            assert_is_one_tier(&tier).await;
        })
    });
}

/// Sends a first layout of the given disks to a core; returns whether it is accepted.
async fn is_first_layout_accepted(runtime: &Runtime, tier: &Tier, disks: Vec<String>) -> bool {
    let layout = Layout {
        core: ReplicaGroup {
            current: disks,
            ..Default::default()
        },
        change_started: 1,
        ..Default::default()
    };
    let core = tier.settings.lock().unwrap()["core1"].peer;
    let client = PeerClient::new(runtime, "operator", "z1", WIRE_VERSION);
    let content = serde_json::to_vec(&layout).unwrap();
    let answer = client
        .request(core, &PeerRequest::Bootstrap, &content, SEC)
        .await;
    match answer {
        Ok((PeerResponse::Ok, _)) => true,
        Ok((PeerResponse::Rejected(Code::Conflict), _)) => false,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_disk_that_was_not_in_the_first_start_accepts_no_layout_without_all_seeds() {
    for (was_told, disk_count, is_accepted) in [
        (true, 2, true),
        (true, 3, true),
        (false, 2, false),
        (false, 3, true),
    ] {
        let tier = Tier::new(30, [3, 3, 0], 1);
        run_script(&tier, |tier| {
            Box::pin(async move {
                tier.boot("core1", was_told);
                tier.operator.sleep(SEC).await;
                let own_disk = tier.control_node("core1").unwrap().storage.disk_id.clone();
                let others = ["other1", "other2"].map(String::from).into_iter();
                let disks = std::iter::once(own_disk).chain(others).take(disk_count);
                let accepted =
                    is_first_layout_accepted(&tier.operator, &tier, disks.collect()).await;
                assert_eq!(accepted, is_accepted, "{was_told} {disk_count}");
            })
        });
    }
}

/// What happens to one seed during the start.
async fn disturb_a_seed(tier: &Arc<Tier>) {
    let random = |limit: u64| tier.operator.random() % limit;
    let seed = format!("core{}", 1 + random(SEEDS));
    let others: Vec<String> = machine_names(tier);
    tier.operator.sleep(random(6 * SEC)).await;
    match random(3) {
        0 => {
            tier.kill(&seed, random(2) == 0);
            tier.operator.sleep(random(6 * SEC)).await;
            tier.boot(&seed, false);
        }
        1 => {
            tier.block_from(&seed, &others);
            tier.block_to(&seed, &others);
        }
        _ => tier.block_to(&seed, &others),
    }
    tier.operator.sleep(random(6 * SEC)).await;
    tier.sim.heal();
}

/// Machines come up over 8 s; one seed after another is killed or cut off meanwhile.
fn start_in_disorder(seed: u64) {
    let tier = Tier::new(seed, [3 + seed as usize % 3, 4, 2], 1);
    run_script(&tier, |tier| {
        Box::pin(async move {
            for name in machine_names(&tier) {
                let (tier, operator) = (tier.clone(), tier.operator.clone());
                let delay = match operator.random() % 3 {
                    0 => operator.random() % (8 * SEC),
                    _ => operator.random() % (300 * MS),
                };
                tier.clone().operator.spawn(async move {
                    operator.sleep(delay).await;
                    tier.boot(&name, true);
                });
            }
            let early_put = tier.operator.spawn_all(vec![put_early(tier.clone())]);
            disturb_a_seed(&tier).await;
            disturb_a_seed(&tier).await;
            for name in machine_names(&tier) {
                while tier.control_node(&name).is_none() && tier.front(&name).is_none() {
                    tier.operator.sleep(100 * MS).await;
                }
            }
            early_put.recv().await.unwrap();
            assert_is_one_tier(&tier).await;
            for core in tier.names_with_role(Role::Core) {
                assert_reads_early_put(&tier, &core).await;
            }
        })
    });
}

/// Puts a configuration from the beginning of the start on, until it is acknowledged.
fn put_early(tier: Arc<Tier>) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let cores = tier.names_with_role(Role::Core);
        for core in cores.iter().cycle() {
            let answer = tier.put_configuration(core, 0, EARLY_PUT).await;
            if let Some(PutAnswer::InForce(_)) = answer {
                return;
            }
            tier.operator.sleep(50 * MS).await;
        }
    })
}

async fn assert_reads_early_put(tier: &Tier, core: &str) {
    let deadline = tier.operator.now() + START_LIMIT;
    loop {
        let answer = tier.read_configuration(core).await;
        if let Some(ReadAnswer::Text(_, text)) = &answer {
            assert_eq!(&**text, EARLY_PUT, "{core}");
            return;
        }
        assert!(tier.operator.now() < deadline, "{core}: {answer:?}");
        tier.operator.sleep(50 * MS).await;
    }
}

#[test]
fn a_start_in_disorder_ends_in_one_tier() {
    (0..40).for_each(|seed| start_in_disorder(1_000 + seed));
}

#[test]
#[ignore = "the number of seeds is configurable and may be large"]
fn many_starts_in_disorder() {
    let number = |variable: &str, default: u64| {
        let text = std::env::var(variable).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let first = number("START_FROM", 2_000);
    for seed in first..first + number("START_COUNT", 400) {
        println!("seed {seed}");
        start_in_disorder(seed);
    }
}
