//! Operators' orders: one winner a number, and a repeated order is acknowledged again.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_control::api::{PutAnswer, ReadAnswer};
use yewcross_testkit::tier::*;

/// Puts `count` orders one after another, on top of `base`, at one core after another; the last
/// number.
async fn put_many(tier: &Arc<Tier>, base: u64, count: u64) -> u64 {
    for number in base + 1..=base + count {
        tier.put_until_acknowledged(number - 1, &format!("{number} one of many"))
            .await;
    }
    base + count
}

/// The answer to an order is lost, a hundred others follow within the time for an answer, and the
/// order is sent again.
#[test]
fn an_order_whose_answer_was_lost_is_known_after_many_others() {
    let tier = Tier::new(7101, [4, 4, 2], 1);
    run_script(&tier, |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            tier.put_until_acknowledged(0, "1 first").await;
            let sent = tier.operator.now();
            tier.put_until_acknowledged(1, "2 the answer is lost").await;
            let newest = put_many(&tier, 2, 100).await;
            let took = tier.operator.now() - sent;
            println!("100 orders took {} ms", took / MS);
            assert!(took < 4 * SEC, "the orders took {took} us");
            for core in ["core1", "core2", "core3", "core4"] {
                assert_eq!(
                    tier.put_configuration(core, 1, "2 the answer is lost")
                        .await,
                    Some(PutAnswer::InForce(2)),
                    "{core}"
                );
                assert_eq!(
                    tier.put_configuration(core, 1, "2 another text").await,
                    Some(PutAnswer::Conflict(newest)),
                    "{core}"
                );
            }
        })
    });
}

/// What every core answers to an order, each from the copy that it has applied or by the proposer.
async fn put_everywhere(tier: &Arc<Tier>, base: u64, text: &str) -> Vec<Option<PutAnswer>> {
    let mut answers = vec![];
    for core in tier.names_with_role(Role::Core) {
        answers.push(tier.put_configuration(&core, base, text).await);
    }
    answers
}

/// The orders `5 a` on 0, `9 b` on 5 and `12 c` on 9 have been taken, and nothing else.
async fn check_taken_orders(tier: &Arc<Tier>, when: &str) {
    let is_invalid = |answer: &Option<PutAnswer>| matches!(answer, Some(PutAnswer::Invalid(_)));
    for (base, text, number) in [(0, "5 a", 5), (5, "9 b", 9), (9, "12 c", 12)] {
        let again = put_everywhere(tier, base, text).await;
        let expected = Some(PutAnswer::InForce(number));
        assert!(
            again.iter().all(|answer| *answer == expected),
            "{when}: {text} on its own base: {again:?}"
        );
        let on_newest = put_everywhere(tier, 12, text).await;
        assert!(
            on_newest.iter().all(is_invalid),
            "{when}: {text} on the newest version: {on_newest:?}"
        );
        let on_another = put_everywhere(tier, 7, text).await;
        let expected = Some(PutAnswer::Conflict(12));
        assert!(
            on_another.iter().all(|answer| *answer == expected),
            "{when}: {text} on a version that never was: {on_another:?}"
        );
    }
    for core in tier.names_with_role(Role::Core) {
        let newest = tier.read_configuration(&core).await;
        assert_eq!(newest, Some(ReadAnswer::Text(12, "12 c".into())), "{when}");
    }
}

/// Guards against acknowledging an old text on top of a newer version, which is never applied: at
/// the proposer, at cores that forward or answer from their copy, after restarts, losses of power and
/// of a disk.
#[test]
fn an_old_text_on_a_newer_version_is_refused_at_every_core() {
    let tier = Tier::new(7131, [4, 4, 2], 1);
    run_script(&tier, |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            for (base, text) in [(0, "5 a"), (5, "9 b"), (9, "12 c")] {
                tier.put_until_acknowledged(base, text).await;
            }
            tier.operator.sleep(SEC).await;
            check_taken_orders(&tier, "at once").await;
            for (power, when) in [(false, "after a restart"), (true, "after a loss of power")] {
                let cores = tier.names_with_role(Role::Core);
                cores.iter().for_each(|core| tier.kill(core, power));
                tier.operator.sleep(300 * MS).await;
                cores.iter().for_each(|core| tier.boot(core, false));
                tier.operator.sleep(6 * SEC).await;
                check_taken_orders(&tier, when).await;
            }
            tier.kill("core2", true);
            tier.sim.wipe_disk(tier.sim.find("core2"));
            tier.operator.sleep(300 * MS).await;
            tier.boot("core2", false);
            tier.operator.sleep(6 * SEC).await;
            check_taken_orders(&tier, "with a core that lost its disk").await;
        })
    });
}

/// The same once the digests of the first orders are gone: what a taken order cannot have named is
/// refused, and what it may have named is left open.
#[test]
fn an_old_text_is_refused_on_the_newest_version_once_its_digest_is_gone() {
    let tier = Tier::new(7141, [4, 4, 2], 1);
    run_script(&tier, |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            let newest = put_many(&tier, 0, RETAINED_ORDERS_MAX as u64 + 20).await;
            // Every core holds the newest version.
            tier.operator.sleep(SEC).await;
            for number in [1, 10] {
                let text = format!("{number} one of many");
                let on_newest = put_everywhere(&tier, newest, &text).await;
                assert!(
                    on_newest
                        .iter()
                        .all(|answer| matches!(answer, Some(PutAnswer::Invalid(_)))),
                    "{text}: {on_newest:?}"
                );
                let again = put_everywhere(&tier, number - 1, &text).await;
                assert!(
                    again
                        .iter()
                        .all(|answer| *answer == Some(PutAnswer::Forgotten)),
                    "{text}: {again:?}"
                );
            }
        })
    });
}

/// Readers at every core do not take the key from the owner that writes it, so that orders stay as
/// quick.
#[test]
fn many_readers_do_not_slow_orders_down() {
    let tier = Tier::new(7111, [4, 4, 2], 1);
    let (slowest, takes, reads) = run_script(&tier, |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            tier.put_until_acknowledged(0, "1 first").await;
            tier.put_at_until_acknowledged("core2", 1, "2 the usual owner")
                .await;
            let reads = Arc::new(AtomicU64::new(0));
            let end = tier.operator.now() + 10 * SEC;
            for core in tier
                .names_with_role(Role::Core)
                .into_iter()
                .cycle()
                .take(12)
            {
                let (tier, reads) = (tier.clone(), reads.clone());
                tier.operator.clone().spawn(async move {
                    while tier.operator.now() < end {
                        if tier
                            .read_configuration(&core)
                            .await
                            .is_some_and(|r| r != ReadAnswer::Unavailable)
                        {
                            reads.fetch_add(1, SeqCst);
                        }
                        tier.operator
                            .sleep(tier.operator.random() % (10 * MS))
                            .await;
                    }
                });
            }
            let takes = |tier: &Tier| {
                tier.control_nodes
                    .lock()
                    .unwrap()
                    .values()
                    .map(|c| c.registers.prepared_ballots.load(SeqCst))
                    .sum::<u64>()
            };
            let before = takes(&tier);
            let (mut base, mut slowest) = (2, 0);
            while tier.operator.now() < end {
                slowest = slowest.max(
                    tier.put_at_until_acknowledged("core2", base, &format!("{} next", base + 1))
                        .await,
                );
                base += 1;
                tier.operator.sleep(20 * MS).await;
            }
            (slowest, takes(&tier) - before, reads.load(SeqCst))
        })
    });
    println!(
        "{reads} reads in 10 s; slowest order {} ms; the key was taken {takes} times",
        slowest / MS
    );
    assert!(reads > 1_000, "{reads}");
    assert!(slowest < 100 * MS, "{slowest}");
    assert!(takes < 20, "{takes}");
}

/// A document that skips versions replaces the file of the version kept before: none is left
/// behind.
#[test]
fn documents_that_skip_versions_leave_no_files_behind() {
    let tier = Tier::new(7121, [4, 4, 2], 1);
    let (before, after) = run_script(&tier, |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            tier.operator.sleep(2 * SEC).await;
            let store = tier.control_node("store1").unwrap();
            let files = |tier: &Tier| tier.sim.disk(tier.sim.find("store1"), |d| d.file_count());
            let before = files(&tier);
            let layout = store.documents.document("layout");
            for nth in 1..=30 {
                assert!(store.documents.apply(
                    "layout",
                    layout.version + 10 * nth,
                    layout.ballot,
                    layout.content.to_vec()
                ));
                tier.operator.sleep(50 * MS).await;
            }
            (before, files(&tier))
        })
    });
    println!("files before and after 30 versions: {before} {after}");
    assert!(after <= before + 1, "{before} {after}");
}
