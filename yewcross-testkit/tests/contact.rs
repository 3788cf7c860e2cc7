//! A core that no majority of core seats answers gives no news, takes no orders and takes no
//! documents (docs/control-safety.md, 1b).

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::process_settings::{Bounds, Role};
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_control::api::*;
use yewcross_testkit::tier::*;

#[path = "support/partitions.rs"]
mod partitions;
use partitions::{PARTITIONS, Partition, TIER_SIZES, partition_core};

/// Contact is lost within half of the time to apply; a question under way may take that of another
/// round.
const NOTICED: u64 = 1500 * MS;

/// What a core says when it is asked for news of everything.
async fn news(t: &Arc<Tier>, name: &str) -> (PeerResponse, PeerResponse) {
    let asked = t.run_on(name, |c| {
        Box::pin(async move {
            let newer = c
                .handle(
                    PeerRequest::PollDocuments {
                        known: c.documents.versions(),
                        front: false,
                        leaving_digest: 0,
                    },
                    vec![],
                    "front1",
                )
                .await
                .0;
            let page = c
                .handle(
                    PeerRequest::FetchDocument {
                        name: "config".into(),
                        newer_than: 0,
                    },
                    vec![],
                    "front1",
                )
                .await
                .0;
            (newer, page)
        })
    });
    asked
        .await
        .unwrap_or_else(|| panic!("{name} is silent\n{}", format_log(t)))
}

async fn says_nothing(t: &Arc<Tier>, name: &str) {
    let (newer, page) = news(t, name).await;
    assert!(
        matches!(
            newer,
            PeerResponse::DocumentVersions {
                authoritative: false,
                ..
            }
        ),
        "{newer:?}\n{}",
        format_log(t)
    );
    assert!(
        matches!(page, PeerResponse::Rejected(_)),
        "{page:?}\n{}",
        format_log(t)
    );
}

#[test]
fn a_core_that_is_cut_off_gives_no_news_and_takes_no_orders() {
    for (size, (counts, lost)) in TIER_SIZES.into_iter().enumerate() {
        for (i, how) in PARTITIONS.into_iter().enumerate() {
            let t = Tier::new(6000 + 10 * size as u64 + i as u64, counts, lost);
            run_script(&t, |t| {
                Box::pin(async move {
                    boot_and_wait(&t).await;
                    t.put_until_acknowledged(0, "5 a").await;
                    t.operator.sleep(2 * SEC).await;
                    let cores = t.names_with_role(Role::Core);
                    let victim = cores[t.operator.random() as usize % cores.len()].clone();
                    let other = cores.iter().find(|n| **n != victim).unwrap().clone();
                    partition_core(&t, &victim, how);
                    t.operator.sleep(NOTICED).await;
                    let takes = t
                        .control_node(&victim)
                        .unwrap()
                        .registers
                        .prepared_ballots
                        .load(SeqCst);
                    for base in 5..12u64 {
                        let next = format!("{} b", base + 1);
                        assert_eq!(
                            t.put_configuration(&other, base, &next).await,
                            Some(PutAnswer::InForce(base + 1)),
                            "{}",
                            format_log(&t)
                        );
                        says_nothing(&t, &victim).await;
                        let t0 = t.operator.now();
                        assert_eq!(
                            t.put_configuration(&victim, base, "99 c").await,
                            Some(PutAnswer::NoMajority)
                        );
                        assert_eq!(
                            t.put_configuration(&victim, base, &next).await,
                            Some(PutAnswer::NoMajority)
                        );
                        assert_eq!(
                            t.read_configuration(&victim).await,
                            Some(ReadAnswer::Unavailable)
                        );
                        assert!(t.operator.now() < t0 + SEC, "operators wait");
                        t.operator.sleep(SEC).await;
                    }
                    let retired = t
                        .run_on(&victim, |c| {
                            Box::pin(async move { c.retire_begin("store1").await })
                        })
                        .await;
                    assert_eq!(retired, Some(RetireOutcome::Unavailable));
                    let c = t.control_node(&victim).unwrap();
                    assert!(!c.has_quorum_contact());
                    assert_eq!(
                        c.registers.prepared_ballots.load(SeqCst),
                        takes,
                        "it takes keys from their owners\n{}",
                        format_log(&t)
                    );
                    t.sim.heal();
                    let t0 = t.operator.now();
                    while t.read_configuration(&victim).await
                        != Some(ReadAnswer::Text(12, "12 b".into()))
                    {
                        t.operator.sleep(20 * MS).await;
                        assert!(
                            t.operator.now() < t0 + 5 * SEC,
                            "{how:?}: no contact after the cut\n{}",
                            format_log(&t)
                        );
                    }
                    println!(
                        "{} cores, {how:?}: reads again {} ms after the cut",
                        counts[0],
                        (t.operator.now() - t0) / MS
                    );
                })
            });
        }
    }
}

/// A core restarts and reaches no other core: what its disk holds is no news.
#[test]
fn a_core_that_restarts_alone_gives_no_news() {
    for (size, (counts, lost)) in TIER_SIZES.into_iter().enumerate() {
        let t = Tier::new(6100 + size as u64, counts, lost);
        run_script(&t, |t| {
            Box::pin(async move {
                boot_and_wait(&t).await;
                t.put_until_acknowledged(0, "5 a").await;
                t.operator.sleep(2 * SEC).await;
                t.kill("core2", true);
                partition_core(&t, "core2", Partition::Both);
                t.boot("core2", false);
                for _ in 0..20 {
                    t.operator.sleep(100 * MS).await;
                    if t.control_node("core2").is_some() {
                        says_nothing(&t, "core2").await;
                    }
                }
                t.sim.heal();
                t.operator.sleep(4 * SEC).await;
                let (newer, _) = news(&t, "core2").await;
                assert!(
                    matches!(
                        newer,
                        PeerResponse::DocumentVersions {
                            authoritative: true,
                            ..
                        }
                    ),
                    "{newer:?}\n{}",
                    format_log(&t)
                );
            })
        });
    }
}

/// One core is cut off from the others, and whoever decides reaches no front: the fronts learn it
/// from the rest in time.
#[test]
fn fronts_follow_the_side_with_a_majority() {
    let bound = Bounds::default().apply * MS;
    let mut worst = 0;
    for (size, (counts, lost)) in TIER_SIZES.into_iter().enumerate() {
        for (i, how) in PARTITIONS.into_iter().enumerate() {
            let t = Tier::new(6200 + 10 * size as u64 + i as u64, counts, lost);
            let us = run_script(&t, |t| {
                Box::pin(async move {
                    boot_and_wait(&t).await;
                    t.put_until_acknowledged(0, "5 a").await;
                    t.operator.sleep(2 * SEC).await;
                    partition_core(&t, "core1", how);
                    t.block_from("core2", &t.names_with_role(Role::Front));
                    t.operator.sleep(NOTICED).await;
                    let mut worst = 0;
                    for base in 5..15u64 {
                        let next = format!("{} b", base + 1);
                        assert_eq!(
                            t.put_configuration("core2", base, &next).await,
                            Some(PutAnswer::InForce(base + 1)),
                            "{}",
                            format_log(&t)
                        );
                        let us = t
                            .wait_until_adopted(&next, 4 * SEC)
                            .await
                            .unwrap_or_else(|| panic!("{how:?}\n{}", format_log(&t)));
                        worst = worst.max(us);
                    }
                    worst
                })
            });
            println!(
                "{} cores, {how:?}: adopted after {} ms at most",
                counts[0],
                us / MS
            );
            worst = worst.max(us);
        }
    }
    assert!(worst < bound, "{worst}");
}
