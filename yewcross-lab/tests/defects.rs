//! One test for each defect that was found by reading: each failed before it was mended.

use std::sync::Arc;
use yewcross::ask::*;
use yewcross::book::owners;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::startup::Role;
use yewcross::tree::Rule;
use yewcross_control::Control;
use yewcross_control::store::{Purse, purse_key};
use yewcross_lab::proof::Lab;
use yewcross_lab::script::on_fleet_of;

fn begin(key: &str, job: &str, nonce: u64, budget: Option<&str>) -> Begin {
    Begin {
        key: key.into(),
        job: job.into(),
        digest: "d".into(),
        nonce,
        front: "front1".into(),
        left: 5000,
        budget: budget.map(|b| (b.to_string(), 1000)),
        max_out: 100,
        keep: 3_600_000,
        hand: None,
    }
}

async fn ask(c: &Arc<Control>, a: Ask) -> Tell {
    c.store.hear(a, vec![]).await.0
}

/// The stores in the order in which they would own the key.
fn ranked(lab: &Lab, key: &str) -> Vec<String> {
    let c = lab.control("store1").unwrap();
    let at = owners(&c.book, &c.members, key);
    at.iter().filter_map(|a| lab.sh.of(Role::Store).iter().find(|n| n.peer == *a).map(|n| n.name.clone())).collect()
}

async fn purse(lab: &Lab, budget: &str) -> Purse {
    let c = lab.control(&ranked(lab, &purse_key(budget))[0]).unwrap();
    let (_, _, v) = c.owner.read(&purse_key(budget), 2 * SEC).await.unwrap();
    Purse::read(&v)
}

/// A begin that could not be written was given its reservation back, and the same shot then began elsewhere without one.
#[test]
fn a_shot_that_begins_at_the_second_try_keeps_its_reservation() {
    let (first, second, open) = on_fleet_of(
        "disks",
        31,
        |_| (),
        |lab| {
            Box::pin(async move {
                let names = lab.names(Role::Store);
                let key = "session/p/s".to_string();
                let copies = ranked(&lab, &key);
                let out = names.iter().find(|n| !copies.contains(n)).unwrap().clone();
                let b = (0..).map(|i| format!("b{i}")).find(|b| ranked(&lab, &purse_key(b))[0] == out).unwrap();
                let id = |n: &String| lab.sim.find(n);
                lab.sim.split(&[id(&copies[0])], &[id(&copies[1]), id(&copies[2])]);
                let x = begin(&key, "j", 7, Some(&b));
                let first = ask(&lab.control(&copies[0]).unwrap(), Ask::Begin(x.clone())).await;
                lab.sim.heal();
                lab.op.sleep(2 * SEC).await;
                let second = ask(&lab.control(&copies[1]).unwrap(), Ask::Begin(x)).await;
                (first, second, purse(&lab, &b).await.open.len())
            })
        },
    );
    assert!(matches!(first, Tell::No(Code::StoreAway)), "{first:?}");
    assert!(matches!(second, Tell::Begun(_)), "{second:?}");
    assert_eq!(open, 1, "it runs on no reservation");
}

/// A begin that was given up and arrives late blocked its session, and its budget, for a whole horizon.
#[test]
fn a_shot_given_up_cannot_begin_any_more() {
    let (late, next, p) = on_fleet_of(
        "small",
        32,
        |_| (),
        |lab| {
            Box::pin(async move {
                let c = lab.control("store1").unwrap();
                let x = begin("session/p/s", "j", 7, Some("b"));
                let a = Ask::Abort { key: x.key.clone(), job: "j".into(), nonce: 7, budget: Some("b".into()) };
                ask(&c, a).await;
                let late = ask(&c, Ask::Begin(x.clone())).await;
                let next = ask(&c, Ask::Begin(Begin { nonce: 8, ..x.clone() })).await;
                ask(&c, Ask::Abort { key: x.key, job: "j".into(), nonce: 8, budget: Some("b".into()) }).await;
                lab.op.sleep(50 * SEC).await;
                (late, next, purse(&lab, "b").await)
            })
        },
    );
    assert!(matches!(late, Tell::No(Code::StoreAway)), "{late:?}");
    assert!(matches!(next, Tell::Begun(_)), "{next:?}");
    assert_eq!((p.spent, p.open.len()), (0, 0));
}

/// A reservation whose job never began was charged in full.
#[test]
fn a_reservation_for_nothing_is_given_back() {
    let (early, late) = on_fleet_of(
        "small",
        33,
        |_| (),
        |lab| {
            Box::pin(async move {
                let c = lab.control(&ranked(&lab, &purse_key("b"))[0]).unwrap();
                let a = |i: u64, keep: u64| Ask::Reserve {
                    budget: "b".into(),
                    entry: format!("session/p/s{i}|j|{i}"),
                    amount: 100,
                    limit: 1000,
                    key: format!("session/p/s{i}"),
                    job: "j".into(),
                    nonce: i,
                    keep,
                };
                ask(&c, a(1, 3_600_000)).await;
                // The second one's record may have been forgotten by the time it is looked for: that one counts in full.
                ask(&c, a(2, 1000)).await;
                let early = purse(&lab, "b").await;
                lab.op.sleep(50 * SEC).await;
                (early, purse(&lab, "b").await)
            })
        },
    );
    assert_eq!((early.spent, early.open.len()), (0, 2));
    assert_eq!((late.spent, late.open.len()), (100, 0));
}

/// A job id older than the last 1,024 of its session ran again.
#[test]
fn an_id_that_fell_off_the_marks_is_refused() {
    let (done, old, new) = on_fleet_of(
        "small",
        34,
        |_| (),
        |lab| {
            Box::pin(async move {
                let c = lab.control("store1").unwrap();
                let (key, mut done) = ("session/p/s", 0);
                for i in 0..MARKS_KEPT as u64 + 3 {
                    let Tell::Begun(g) = ask(&c, Ask::Begin(begin(key, &format!("j{i}"), i, None))).await else { continue };
                    let x = Commit {
                        key: key.into(),
                        job: format!("j{i}"),
                        epoch: g.epoch,
                        nonce: i,
                        code: Code::Done,
                        used: 1,
                        rule: Rule::Turns(1),
                        kv: Kv::default(),
                        hist: 0,
                    };
                    done += matches!(ask(&c, Ask::Commit(x)).await, Tell::Committed) as u64;
                }
                let old = ask(&c, Ask::Begin(begin(key, "j0", 9000, None))).await;
                (done, old, ask(&c, Ask::Begin(begin(key, "jnew", 9001, None))).await)
            })
        },
    );
    assert_eq!(done, MARKS_KEPT as u64 + 3);
    assert!(matches!(old, Tell::No(Code::Forgotten)), "{old:?}");
    assert!(matches!(new, Tell::Begun(_)), "{new:?}");
}
