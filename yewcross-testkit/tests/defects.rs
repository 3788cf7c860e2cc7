//! One test for each defect that was found by reading: each failed before it was mended.

use std::sync::Arc;
use yewcross_common::configuration::Rule;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::replicas_by_preference;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::*;
use yewcross_control::Control;
use yewcross_state::records::{BudgetRecord, budget_key};
use yewcross_testkit::proof::{TestCluster, with_cluster_of};

fn begin(key: &str, job: &str, nonce: u64, budget: Option<&str>) -> BeginTurn {
    BeginTurn {
        key: key.into(),
        request_id: job.into(),
        digest: "d".into(),
        nonce,
        front: "front1".into(),
        remaining_ms: 5000,
        budget: budget.map(|b| (b.to_string(), 1000)),
        max_output_tokens: 100,
        retain_ms: 3_600_000,
        known_history: None,
    }
}

async fn ask(c: &Arc<Control>, a: PeerRequest) -> PeerResponse {
    c.record_store.handle(a, vec![]).await.0
}

/// The stores in the order in which they would own the key.
fn ranked(lab: &TestCluster, key: &str) -> Vec<String> {
    let c = lab.control("store1").unwrap();
    let at = replicas_by_preference(&c.documents, &c.members, key);
    at.iter()
        .filter_map(|a| {
            lab.topology
                .nodes_with_role(Role::Store)
                .iter()
                .find(|n| n.peer == *a)
                .map(|n| n.name.clone())
        })
        .collect()
}

async fn purse(lab: &TestCluster, budget: &str) -> BudgetRecord {
    let c = lab.control(&ranked(lab, &budget_key(budget))[0]).unwrap();
    let (_, _, v) = c
        .registers
        .read_with_ballot(&budget_key(budget), 2 * SEC)
        .await
        .unwrap();
    BudgetRecord::read(&v)
}

/// A begin that could not be written was given its reservation back, and the same shot then began
/// elsewhere without one.
#[test]
fn a_shot_that_begins_at_the_second_try_keeps_its_reservation() {
    let (first, second, open) = with_cluster_of(
        "disks",
        31,
        |_| (),
        |lab| {
            Box::pin(async move {
                let names = lab.names(Role::Store);
                let key = "session/p/s".to_string();
                let copies = ranked(&lab, &key);
                let out = names.iter().find(|n| !copies.contains(n)).unwrap().clone();
                let b = (0..)
                    .map(|i| format!("b{i}"))
                    .find(|b| ranked(&lab, &budget_key(b))[0] == out)
                    .unwrap();
                let id = |n: &String| lab.sim.find(n);
                lab.sim
                    .partition(&[id(&copies[0])], &[id(&copies[1]), id(&copies[2])]);
                let x = begin(&key, "j", 7, Some(&b));
                let first = ask(
                    &lab.control(&copies[0]).unwrap(),
                    PeerRequest::BeginTurn(x.clone()),
                )
                .await;
                lab.sim.heal();
                lab.operator.sleep(2 * SEC).await;
                let second =
                    ask(&lab.control(&copies[1]).unwrap(), PeerRequest::BeginTurn(x)).await;
                (first, second, purse(&lab, &b).await.open.len())
            })
        },
    );
    assert!(
        matches!(first, PeerResponse::Rejected(Code::StoreAway)),
        "{first:?}"
    );
    assert!(matches!(second, PeerResponse::TurnBegun(_)), "{second:?}");
    assert_eq!(open, 1, "it runs on no reservation");
}

/// A begin that was given up and arrives late blocked its session, and its budget, for a whole
/// horizon.
#[test]
fn a_shot_given_up_cannot_begin_any_more() {
    let (late, next, p) = with_cluster_of(
        "small",
        32,
        |_| (),
        |lab| {
            Box::pin(async move {
                let c = lab.control("store1").unwrap();
                let x = begin("session/p/s", "j", 7, Some("b"));
                let a = PeerRequest::AbortTurn {
                    key: x.key.clone(),
                    request_id: "j".into(),
                    nonce: 7,
                    budget: Some("b".into()),
                };
                ask(&c, a).await;
                let late = ask(&c, PeerRequest::BeginTurn(x.clone())).await;
                let next = ask(
                    &c,
                    PeerRequest::BeginTurn(BeginTurn {
                        nonce: 8,
                        ..x.clone()
                    }),
                )
                .await;
                ask(
                    &c,
                    PeerRequest::AbortTurn {
                        key: x.key,
                        request_id: "j".into(),
                        nonce: 8,
                        budget: Some("b".into()),
                    },
                )
                .await;
                lab.operator.sleep(50 * SEC).await;
                (late, next, purse(&lab, "b").await)
            })
        },
    );
    assert!(
        matches!(late, PeerResponse::Rejected(Code::StoreAway)),
        "{late:?}"
    );
    assert!(matches!(next, PeerResponse::TurnBegun(_)), "{next:?}");
    assert_eq!((p.spent, p.open.len()), (0, 0));
}

/// A reservation whose job never began was charged in full.
#[test]
fn a_reservation_for_nothing_is_given_back() {
    let (early, late) = with_cluster_of(
        "small",
        33,
        |_| (),
        |lab| {
            Box::pin(async move {
                let c = lab.control(&ranked(&lab, &budget_key("b"))[0]).unwrap();
                let a = |i: u64, keep: u64| PeerRequest::ReserveBudget {
                    budget: "b".into(),
                    entry: format!("session/p/s{i}|j|{i}"),
                    amount: 100,
                    limit: 1000,
                    key: format!("session/p/s{i}"),
                    request_id: "j".into(),
                    nonce: i,
                    retain_ms: keep,
                };
                ask(&c, a(1, 3_600_000)).await;
                // The second one's record may have been forgotten by the time it is looked for:
                // that one counts in full.
                ask(&c, a(2, 1000)).await;
                let early = purse(&lab, "b").await;
                lab.operator.sleep(50 * SEC).await;
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
    let (done, old, new) = with_cluster_of(
        "small",
        34,
        |_| (),
        |lab| {
            Box::pin(async move {
                let c = lab.control("store1").unwrap();
                let (key, mut done) = ("session/p/s", 0);
                for i in 0..RETAINED_REQUEST_DIGESTS as u64 + 3 {
                    let PeerResponse::TurnBegun(g) = ask(
                        &c,
                        PeerRequest::BeginTurn(begin(key, &format!("j{i}"), i, None)),
                    )
                    .await
                    else {
                        continue;
                    };
                    let x = CommitTurn {
                        key: key.into(),
                        request_id: format!("j{i}"),
                        epoch: g.epoch,
                        nonce: i,
                        code: Code::Done,
                        used_tokens: 1,
                        history_rule: Rule::Turns(1),
                        cache: SessionCacheState::default(),
                        history_bytes: 0,
                    };
                    done += matches!(
                        ask(&c, PeerRequest::CommitTurn(x)).await,
                        PeerResponse::Committed
                    ) as u64;
                }
                let old = ask(&c, PeerRequest::BeginTurn(begin(key, "j0", 9000, None))).await;
                (
                    done,
                    old,
                    ask(&c, PeerRequest::BeginTurn(begin(key, "jnew", 9001, None))).await,
                )
            })
        },
    );
    assert_eq!(done, RETAINED_REQUEST_DIGESTS as u64 + 3);
    assert!(
        matches!(old, PeerResponse::Rejected(Code::Forgotten)),
        "{old:?}"
    );
    assert!(matches!(new, PeerResponse::TurnBegun(_)), "{new:?}");
}

/// An owner frozen past the keeping time wrote over the key's next life: its epoch was higher than
/// the new one's.
#[test]
fn an_owner_that_wakes_after_its_key_was_forgotten_cannot_bring_it_back() {
    use yewcross_common::register::ValueUpdate;
    let add = |what: &'static str| {
        move |_: u64, v: &[u8]| {
            if v.ends_with(what.as_bytes()) {
                ValueUpdate::Keep(())
            } else {
                ValueUpdate::Write([v, what.as_bytes()].concat(), ())
            }
        }
    };
    let end = with_cluster_of(
        "small",
        35,
        |_| (),
        move |lab| {
            Box::pin(async move {
                let own = |n: &str| lab.control(n).unwrap().registers.clone();
                let sleeper = own("store1");
                // Fights raise the sleeper's epoch.
                for _ in 0..4 {
                    own("store2").change("k", SEC, add("a")).await.unwrap();
                    sleeper.change("k", SEC, add("b")).await.unwrap();
                }
                let m = lab.sim.find("store1");
                lab.sim.freeze(m);
                for n in ["store1", "store2", "store3"] {
                    lab.control(n).unwrap().replica.remove_record("k").await;
                }
                // A new life, begun by one that knows nothing of the old.
                let new = own("store3");
                new.change("k", 2 * SEC, add("new")).await.unwrap();
                lab.sim.thaw(m);
                let _ = sleeper.change("k", SEC, add("woken")).await;
                let (_, _, v) = new.read_with_ballot("k", 2 * SEC).await.unwrap();
                String::from_utf8_lossy(&v).into_owned()
            })
        },
    );
    assert!(end.starts_with("new"), "{end}");
}

/// Fronts cut off together kept each other's lease under an old list while a put two steps on was
/// acknowledged.
#[test]
fn lists_of_fronts_not_yet_proved_are_not_stepped_over() {
    let fronts = |lab: &TestCluster, n: &[u8]| {
        lab.config.lock().unwrap()["fronts"] =
            serde_json::json!(n.iter().map(|i| format!("front{i}")).collect::<Vec<_>>());
    };
    let edit =
        |t: &mut serde_json::Value| t["fronts"] = serde_json::json!(["front1", "front2", "front3"]);
    let (acks, stale, healed) = with_cluster_of("consorcio", 36, edit, move |lab| {
        Box::pin(async move {
            let id = |n: &String| lab.sim.find(n);
            let cut: Vec<String> = vec!["front1".into(), "front2".into()];
            let rest: Vec<usize> = lab
                .topology
                .nodes
                .iter()
                .map(|n| &n.name)
                .filter(|n| !cut.contains(n))
                .map(id)
                .collect();
            lab.sim
                .partition(&cut.iter().map(id).collect::<Vec<_>>(), &rest);
            lab.operator.sleep(3 * SEC).await;
            let (mut acks, mut stale) = (vec![], vec![]);
            for list in [&[2, 3][..], &[2, 3, 4], &[4, 5, 6]] {
                fronts(&lab, list);
                let base = lab.version().await;
                let a = lab
                    .put(
                        "core1",
                        base,
                        &format!("l{}", list.len() * 10 + list[0] as usize),
                    )
                    .await;
                if a.code == 1000 {
                    let old = |f: &String| {
                        lab.front(f)
                            .filter(|f| {
                                f.watcher.may_serve() && f.documents.config.load().0 < a.version
                            })
                            .is_some()
                    };
                    stale.extend(cut.iter().filter(|f| old(f)).cloned());
                }
                acks.push(a.code);
            }
            lab.sim.heal();
            lab.operator.sleep(3 * SEC).await;
            let base = lab.version().await;
            fronts(&lab, &[4, 5, 6]);
            let whole = lab.put("core1", base, "whole").await.code;
            // What was left behind is proved by now: the old fronts may go for good.
            cut.iter()
                .chain([&"front3".to_string()])
                .for_each(|f| lab.sim.kill(lab.sim.find(f), true));
            let base = lab.version().await;
            (
                acks,
                stale,
                vec![whole, lab.put("core2", base, "after").await.code],
            )
        })
    });
    assert!(
        stale.is_empty(),
        "{stale:?} served by an older list after {acks:?}"
    );
    assert_ne!(acks[1], 1000);
    assert_eq!(healed, [1000, 1000]);
}

/// A caller that never read its stream held a server's slot, and a planned stop, for ever.
#[test]
fn a_caller_that_does_not_read_holds_nothing_up() {
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    let edit = |t: &mut serde_json::Value| {
        let s = &mut t["families"]["talk"]["set"];
        (s["max_output"], s["horizon_ms"]) = (6000.into(), 60_000.into());
    };
    let (held, stop, cut, whole) = with_cluster_of("small", 37, edit, |lab| {
        Box::pin(async move {
            lab.sim.set_receive_window(4 << 10);
            let (f, to) = (
                lab.front("front1").unwrap(),
                lab.topology.nodes_with_role(Role::Front)[0].http,
            );
            let body = |n: &str| {
                format!(
                    r#"{{"program":"chargeback","session":"{n}","job":"{n}","budget":"chargeback","horizon_ms":60000,"messages":[{{"role":"user","text":"hi"}}],"max_output":6000,"stream":true}}"#
                )
            };
            let mut deaf = vec![];
            for i in 0..12 {
                let mut c = lab.operator.connect(to).await.unwrap();
                let q = yewcross_testkit::http_transcript::request(
                    "POST",
                    "/v1/turn",
                    "",
                    &body(&format!("s{i}")),
                );
                c.write_all(q.as_bytes()).await.unwrap();
                deaf.push(c);
            }
            // One reads slowly but to the end: it must lose nothing.
            let mut slow = deaf.pop().unwrap();
            let (tx, rx) = async_channel::bounded(1);
            let w = lab.operator.clone();
            lab.operator.spawn(async move {
                let (mut v, mut b) = (vec![], [0u8; 512]);
                while let Ok(n @ 1..) = slow.read(&mut b).await {
                    v.extend(&b[..n]);
                    w.sleep(20 * MS).await;
                }
                let _ = tx.send(String::from_utf8_lossy(&v).into_owned()).await;
            });
            // By now all are made: 6,000 tokens take 24 s, in two rounds at most.
            lab.operator.sleep(50 * SEC).await;
            let held: u32 = yewcross_proxy::server_table::eligible_servers(&f, "llm")
                .iter()
                .map(|s| s.report.running)
                .sum();
            let t0 = lab.sim.now();
            let g = f.clone();
            let stopped = lab
                .operator
                .timeout(60 * SEC, async move { g.stop().await })
                .await;
            let stop = stopped.map(|_| (lab.sim.now() - t0) / SEC);
            let mut b = [0u8; 64];
            let cut = deaf[0].read(&mut b).await.is_ok();
            (held, stop, cut, rx.recv().await.unwrap_or_default())
        })
    });
    assert_eq!(held, 0, "slots are held by callers that do not read");
    assert!(
        stop.is_some_and(|s| s < 15),
        "a planned stop took {stop:?} s"
    );
    assert!(
        cut && whole.contains(r#""end":true"#),
        "the slow reader got {} bytes",
        whole.len()
    );
}

/// One machine's clock, days ahead, erased what was to be kept and closed what still ran.
#[test]
fn one_clock_far_ahead_erases_nothing_and_closes_nothing() {
    let (kept, running, second) = with_cluster_of(
        "small",
        38,
        |_| (),
        |lab| {
            Box::pin(async move {
                let key = "session/p/s".to_string();
                let first = ranked(&lab, &key)[0].clone();
                let c = lab.control(&first).unwrap();
                let PeerResponse::TurnBegun(g) =
                    ask(&c, PeerRequest::BeginTurn(begin(&key, "j1", 1, None))).await
                else {
                    panic!("not begun")
                };
                let x = CommitTurn {
                    key: key.clone(),
                    request_id: "j1".into(),
                    epoch: g.epoch,
                    nonce: 1,
                    code: Code::Done,
                    used_tokens: 1,
                    history_rule: Rule::All,
                    cache: SessionCacheState::default(),
                    history_bytes: 5,
                };
                c.record_store
                    .handle(PeerRequest::CommitTurn(x), b"turn\n".to_vec())
                    .await;
                lab.sim.set_clock_skew(lab.sim.find(&first), 5 * 86_400_000);
                // Long enough for several sweeps.
                lab.operator.sleep(40 * SEC).await;
                let kept = ask(&c, PeerRequest::BeginTurn(begin(&key, "j2", 2, None))).await;
                lab.operator.sleep(SEC).await;
                lab.sim.set_clock_skew(lab.sim.find(&first), 9 * 86_400_000);
                let second = ask(&c, PeerRequest::BeginTurn(begin(&key, "j3", 3, None))).await;
                let PeerResponse::SessionReservations { open, .. } =
                    ask(&c, PeerRequest::InspectSession { key }).await
                else {
                    panic!("no look")
                };
                (kept, open.len(), second)
            })
        },
    );
    assert!(
        matches!(&kept, PeerResponse::TurnBegun(g) if g.history_bytes == 5),
        "{kept:?}"
    );
    assert!(
        matches!(second, PeerResponse::Rejected(Code::SessionBusy)),
        "{second:?}"
    );
    assert_eq!(running, 1);
}

/// A machine whose clock had been ahead ended itself at every start until its last life was
/// forgotten.
#[test]
fn a_clock_set_back_does_not_keep_a_machine_out() {
    let (out, in_again) = with_cluster_of(
        "small",
        39,
        |_| (),
        |lab| {
            Box::pin(async move {
                let m = lab.sim.find("store2");
                lab.sim.set_clock_skew(m, 3_600_000);
                lab.sim.kill(m, false);
                lab.boot("store2");
                lab.operator.sleep(5 * SEC).await;
                lab.sim.set_clock_skew(m, 0);
                lab.sim.kill(m, false);
                lab.boot("store2");
                lab.operator.sleep(5 * SEC).await;
                let c = lab.control("store2").unwrap();
                let seen = lab
                    .control("core1")
                    .unwrap()
                    .members
                    .view
                    .load()
                    .get("store2")
                    .map(|n| n.incarnation);
                (
                    c.members.replaced.is_set(),
                    seen == Some(c.members.own_node.lock().unwrap().incarnation),
                )
            })
        },
    );
    assert!(!out && in_again);
}

/// With more disks than sites, two of a key's three copies could stand in one site, and a lost site
/// took the key along.
#[test]
fn no_site_holds_a_majority_of_a_key() {
    let (mut tried, mut away) = (0, 0);
    for seed in 40..43 {
        let got = with_cluster_of(
            "wide",
            seed,
            |_| (),
            |lab| {
                Box::pin(async move {
                    let all: Vec<_> = lab
                        .topology
                        .nodes
                        .iter()
                        .map(|n| (lab.sim.find(&n.name), n.site == "z2"))
                        .collect();
                    let (x, y): (Vec<_>, Vec<_>) = all.into_iter().partition(|n| n.1);
                    let ids =
                        |v: Vec<(usize, bool)>| v.into_iter().map(|n| n.0).collect::<Vec<_>>();
                    lab.sim.partition(&ids(x), &ids(y));
                    lab.operator.sleep(6 * SEC).await;
                    let (mut tried, mut away) = (0, 0);
                    for i in 0..40u64 {
                        let key = format!("session/p/s{i}");
                        let to = ranked(&lab, &key)
                            .into_iter()
                            .find(|n| !["store2", "store6"].contains(&n.as_str()));
                        let c = lab.control(&to.unwrap()).unwrap();
                        let t = ask(&c, PeerRequest::BeginTurn(begin(&key, "j", i, None))).await;
                        tried += 1;
                        away += !matches!(t, PeerResponse::TurnBegun(_)) as u32;
                    }
                    (tried, away)
                })
            },
        );
        (tried, away) = (tried + got.0, away + got.1);
    }
    println!("seeds 40 to 42: {away} of {tried} keys were away with one site");
    assert_eq!((tried, away), (120, 0));
}

/// A run cut short as its caller left settled what had been passed on, not what the server had put
/// out.
#[test]
fn a_run_cut_short_settles_what_was_put_out() {
    let edit = |t: &mut serde_json::Value| {
        let s = &mut t["families"]["talk"]["set"];
        (s["repeatable"], s["max_output"]) = (true.into(), 600.into());
    };
    let (mut cut, mut spent, mut out) = (0, 0, 0);
    for seed in 60..64 {
        let got = with_cluster_of("small", seed, edit, |lab| {
            Box::pin(async move {
                use futures_lite::{AsyncReadExt, AsyncWriteExt};
                let body = r#"{"program":"chargeback","session":"s","job":"j","budget":"chargeback","horizon_ms":6000,"messages":[{"role":"user","text":"hi"}],"max_output":600,"stream":true}"#;
                let mut c = lab
                    .operator
                    .connect(lab.topology.nodes_with_role(Role::Front)[0].http)
                    .await
                    .unwrap();
                c.write_all(
                    yewcross_testkit::http_transcript::request("POST", "/v1/turn", "", body)
                        .as_bytes(),
                )
                .await
                .unwrap();
                // Pieces are under way while the cancel is.
                lab.sim
                    .set_network_conditions(yewcross_testkit::sim::NetworkConditions {
                        max_jitter: 100 * MS,
                        ..Default::default()
                    });
                let mut b = [0u8; 2000];
                while c
                    .read(&mut b)
                    .await
                    .is_ok_and(|n| !b[..n].windows(5).any(|w| w == b"\"n\":2"))
                {}
                drop(c);
                lab.operator.sleep(8 * SEC).await;
                let f = lab.front("front1").unwrap();
                let cut = f.counts.cancelled.load(std::sync::atomic::Ordering::SeqCst);
                let out: u64 = lab
                    .execution_log
                    .executions
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|r| r.output)
                    .sum();
                (cut, purse(&lab, "chargeback").await.spent, out)
            })
        });
        assert!(
            got.1 >= got.2,
            "seed {seed}: {} spent, {} put out",
            got.1,
            got.2
        );
        (cut, spent, out) = (cut + got.0, spent + got.1, out + got.2);
    }
    println!("seeds 60 to 63: {cut} runs cut short, {spent} spent for {out} put out");
    assert!(cut == 4 && spent < 4 * 600);
}
