//! A vote belongs to a disk, not to an address: a machine that comes back empty where another disk
//! was votes for nobody.

use std::sync::Arc;
use yewcross_common::constants::*;
use yewcross_common::register::{RegisterClient, ValueUpdate};
use yewcross_testkit::proof::{TestCluster, with_cluster_of};

const KEY: &str = "k";

/// Appends the text unless the value already ends with it.
fn append(text: &'static str) -> impl FnMut(u64, &[u8]) -> ValueUpdate<()> {
    move |_, value| {
        if value.ends_with(text.as_bytes()) {
            ValueUpdate::Keep(())
        } else {
            ValueUpdate::Write([value, text.as_bytes()].concat(), ())
        }
    }
}

fn owner(lab: &TestCluster, node: &str) -> Arc<RegisterClient> {
    lab.control(node).unwrap().registers.clone()
}

/// What the node led with while the wiped machine was back, and what stands in the end.
#[derive(Debug)]
struct Outcome {
    stale_reads: Vec<String>,
    overwritten: bool,
    end: String,
}

/// `store3` is frozen while `first second` is decided by `store1` and `store2`. Then `store1` loses
/// power, `store2` loses its disk and is back at its address at once, and `store3` wakes: it
/// remembers only `first`, and the two that decided are a machine that is down and a copy that
/// forgot. With `unnamed`, `store3` takes the machine at that address for one of an older program,
/// which knows no names of disks.
fn wiped_behind_its_address(seed: u64, unnamed: bool) -> Outcome {
    with_cluster_of(
        "small",
        seed,
        |_| (),
        move |lab| {
            Box::pin(async move {
                let machine = |name: &str| lab.sim.find(name);
                owner(&lab, "store1")
                    .change(KEY, 2 * SEC, append("first"))
                    .await
                    .unwrap();
                assert!(owner(&lab, "store1").repair(KEY).await);
                lab.sim.freeze(machine("store3"));
                while owner(&lab, "store1")
                    .change(KEY, 2 * SEC, append("second"))
                    .await
                    .is_err()
                {}
                lab.sim.kill(machine("store1"), true);
                lab.sim.kill(machine("store2"), true);
                lab.sim.wipe_disk(machine("store2"));
                lab.sim.power_on(machine("store2"));
                // Nobody tells `store3` yet which disk answers there now.
                let others: Vec<usize> = lab
                    .topology
                    .nodes
                    .iter()
                    .filter(|n| !["store2", "store3"].contains(&n.name.as_str()))
                    .map(|n| machine(&n.name))
                    .collect();
                lab.sim.partition(&[machine("store2")], &others);
                lab.boot("store2");
                lab.sim.thaw(machine("store3"));
                let stale = owner(&lab, "store3");
                let (mut stale_reads, mut overwritten) = (vec![], false);
                let end = lab.sim.now() + 3 * SEC;
                while lab.sim.now() < end {
                    if unnamed {
                        let node = lab
                            .topology
                            .nodes
                            .iter()
                            .find(|n| n.name == "store2")
                            .unwrap();
                        lab.control("store3").unwrap().peers.record_peer(
                            node.peer,
                            &node.site,
                            WIRE_VERSION_MIN,
                        );
                    }
                    if let Ok((_, _, value)) = stale.read_with_ballot(KEY, 20 * MS).await
                        && !value.ends_with(b"second")
                    {
                        stale_reads.push(String::from_utf8_lossy(&value).into_owned());
                        overwritten |= stale.change(KEY, 100 * MS, append(" third")).await.is_ok();
                        break;
                    }
                    lab.operator.sleep(2 * MS).await;
                }
                lab.sim.heal();
                lab.sim.power_on(machine("store1"));
                lab.boot("store1");
                lab.operator.sleep(6 * SEC).await;
                let mut value = Err(yewcross_common::register::ChangeError::NotApplied);
                while value.is_err() {
                    value = owner(&lab, "store1").read_with_ballot(KEY, 2 * SEC).await;
                }
                let end = String::from_utf8_lossy(&value.unwrap().2).into_owned();
                Outcome {
                    stale_reads,
                    overwritten,
                    end,
                }
            })
        },
    )
}

fn the_decided_value_leads(unnamed: bool) {
    for seed in 900..908 {
        let outcome = wiped_behind_its_address(seed, unnamed);
        assert!(
            outcome.stale_reads.is_empty() && !outcome.overwritten,
            "seed {seed}: {outcome:?}"
        );
        assert_eq!(outcome.end, "firstsecond", "seed {seed}: {outcome:?}");
    }
}

#[test]
fn a_wiped_machine_does_not_vote_for_the_disk_it_lost() {
    the_decided_value_leads(false);
}

/// In the middle of an upgrade: an asker of the older program names nobody, so the machine that
/// comes back empty must refuse.
#[test]
fn a_wiped_machine_does_not_vote_for_an_asker_that_names_no_disk() {
    the_decided_value_leads(true);
}

/// Stores that all hold a key of an earlier life, under ballots that rose with each fight over it.
async fn an_earlier_life(lab: &TestCluster) {
    for text in ["a", "b", "c", "d"] {
        owner(lab, "store1")
            .change(KEY, 2 * SEC, append(text))
            .await
            .unwrap();
        owner(lab, "store2")
            .change(KEY, 2 * SEC, append(text))
            .await
            .unwrap();
    }
    assert!(owner(lab, "store2").repair(KEY).await);
}

/// What each store reads once all of them are there.
async fn read_by_all(lab: &TestCluster) -> Vec<String> {
    let mut values = vec![];
    for node in ["store3", "store1", "store2"] {
        let (_, _, value) = owner(lab, node)
            .read_with_ballot(KEY, 5 * SEC)
            .await
            .unwrap();
        values.push(String::from_utf8_lossy(&value).into_owned());
    }
    values
}

/// Power goes right after a key was erased: the disk must not hold a record of the earlier life
/// when it is back.
#[test]
fn a_record_erased_right_before_power_goes_does_not_come_back() {
    for seed in 910..926 {
        let held = with_cluster_of(
            "small",
            seed,
            |_| (),
            |lab| {
                Box::pin(async move {
                    let third = lab.sim.find("store3");
                    an_earlier_life(&lab).await;
                    while !owner(&lab, "store2").erase(KEY, |_| true).await {}
                    // The erase returns at a majority.
                    while lab
                        .control("store3")
                        .unwrap()
                        .replica
                        .read_record(KEY)
                        .await
                        .is_some()
                    {
                        lab.operator.sleep(MS).await;
                    }
                    lab.operator.sleep(5 * MS).await;
                    lab.sim.kill(third, true);
                    lab.boot("store3");
                    lab.operator.sleep(200 * MS).await;
                    lab.control("store3")
                        .unwrap()
                        .replica
                        .read_record(KEY)
                        .await
                        .map(|record| (record.seq, record.value.len()))
                })
            },
        );
        assert_eq!(held, None, "seed {seed}");
    }
}

/// One copy of a key was never told that it is erased, or is back by itself: what began anew
/// without it must lead.
#[test]
fn a_leftover_of_an_earlier_life_does_not_lead() {
    for seed in 920..924 {
        let values = with_cluster_of(
            "small",
            seed,
            |_| (),
            |lab| {
                Box::pin(async move {
                    an_earlier_life(&lab).await;
                    lab.sim.kill(lab.sim.find("store3"), true);
                    for node in ["store1", "store2"] {
                        lab.control(node).unwrap().replica.remove_record(KEY).await;
                    }
                    // The proposers of the earlier life have forgotten it as well.
                    for node in ["store1", "store2"] {
                        lab.sim.kill(lab.sim.find(node), false);
                        lab.boot(node);
                    }
                    lab.operator.sleep(4 * SEC).await;
                    owner(&lab, "store1")
                        .change(KEY, 5 * SEC, append("new"))
                        .await
                        .unwrap();
                    lab.boot("store3");
                    lab.operator.sleep(4 * SEC).await;
                    read_by_all(&lab).await
                })
            },
        );
        assert_eq!(values, ["new", "new", "new"], "seed {seed}");
    }
}
