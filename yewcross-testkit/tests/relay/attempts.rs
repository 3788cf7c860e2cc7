//! Which server a request goes to next, and what is never sent again.

use crate::rig::*;
use crate::server::*;
use serde_json::json;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::*;

#[test]
fn what_may_have_run_is_never_sent_again() {
    for (i, act) in [
        Act::Lose,
        Act::Half,
        Act::Garble,
        Act::OtherTry,
        Act::NoStamp,
        Act::Fails(503),
        Act::Fails(429),
        Act::Endless,
    ]
    .into_iter()
    .enumerate()
    {
        let rig = Rig::new(10 + i as u64, 3);
        rig.all(act);
        let h = rig.ask("t", "/once/x", &[], "b");
        assert_eq!((h.status, h.whole), (502, true), "{act:?}");
        assert_eq!(rig.runs("t").len(), 1, "{act:?}");
        assert_eq!(rig.server_state.seen.load(SeqCst), 1, "{act:?}");
    }
}

#[test]
fn what_was_not_run_goes_to_another_server_within_max_tries() {
    for code in [503, 429, 421] {
        let rig = Rig::new(21, 4);
        (0..4).for_each(|i| rig.act(&format!("a{i}"), &[Act::NotRun(code)]));
        let h = rig.ask("t", "/once/x", &[], "b");
        assert_eq!(
            (
                h.status,
                rig.runs("t").len(),
                rig.server_state.seen.load(SeqCst)
            ),
            (503, 0, 3)
        );
        assert!(h.heads["back-ms"].parse::<u64>().unwrap() > 0);
        let rig = Rig::new(22, 4);
        (0..3).for_each(|i| rig.act(&format!("a{i}"), &[Act::NotRun(code)]));
        rig.act("a3", &[Act::Good]);
        let h = rig.ask("t", "/pure/x", &[], "b");
        assert!(
            matches!((h.status, rig.runs("t").len()), (200, 1) | (503, 0)),
            "{h:?}"
        );
    }
}

#[test]
fn a_pure_request_is_sent_to_another_server_after_a_loss() {
    for (i, act) in [
        Act::Lose,
        Act::Half,
        Act::Garble,
        Act::OtherTry,
        Act::NoStamp,
        Act::Fails(500),
        Act::Endless,
    ]
    .into_iter()
    .enumerate()
    {
        let rig = Rig::new(30 + i as u64, 3);
        rig.act("a0", &[act]);
        rig.act("a1", &[act]);
        let h = rig.ask("t", "/pure/x", &[], "b");
        assert_eq!((h.status, h.body.as_str()), (200, "good"), "{act:?}");
        assert!((1..=3).contains(&rig.runs("t").len()), "{act:?}");
    }
}

#[test]
fn a_pure_request_leaves_a_silent_server_and_an_effectful_one_waits() {
    let rig = Rig::new(40, 2);
    rig.act("a0", &[Act::Silent]);
    rig.act("a1", &[Act::Silent]);
    let h = rig.ask("p", "/pure/x", &[("patience", "1000")], "b");
    assert_eq!(
        (h.status, rig.runs("p").len()),
        (504, 2),
        "both are silent: {h:?}"
    );
    let rig = Rig::new(41, 2);
    rig.act("a0", &[Act::Silent]);
    // At first a0 is the only one.
    rig.list(2, &[rig.listed(0, "a")]);
    let h = rig.with(|r, w| {
        Box::pin(async move {
            let (r2, w2) = (r.clone(), w.clone());
            let one = w.spawn_all(vec![Box::pin(async move {
                call(&w2, r2.address, "p", "/pure/x", &[], "").await
            }) as BoxFuture<'static, Answer>]);
            w.sleep(50 * MS).await;
            r.list(3, &[r.listed(0, "a"), r.listed(1, "a")]);
            one.recv().await.unwrap()
        })
    });
    let by: Vec<String> = rig.runs("p").iter().map(|r| r.server.clone()).collect();
    assert_eq!(
        (h.status, by),
        (200, vec!["a0".to_string(), "a1".to_string()])
    );
    assert!(h.took < 200 * MS, "{}", h.took);
    // The silent one is left alone.
    (0..6).for_each(|i| assert_eq!(rig.ask(&format!("q{i}"), "/pure/x", &[], "b").status, 200));
    assert!(
        rig.server_state
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(|r| r.server == "a0")
            .count()
            <= 2
    );
    let rig = Rig::new(42, 2);
    rig.all(Act::Silent);
    let h = rig.ask("e", "/once/x", &[("patience", "700")], "b");
    assert_eq!((h.status, rig.runs("e").len()), (504, 1));
    assert!((690 * MS..760 * MS).contains(&h.took), "{}", h.took);
}

#[test]
fn connections_are_used_again_until_they_are_old() {
    let rig = Rig::new(60, 1);
    (0..5).for_each(|i| assert_eq!(rig.ask(&format!("t{i}"), "/once/x", &[], "b").status, 200));
    assert_eq!(rig.server_state.conns.load(SeqCst), 1);
    rig.rest(UPSTREAM_IDLE_TIMEOUT);
    assert_eq!(rig.ask("late", "/once/x", &[], "b").status, 200);
    assert_eq!(rig.server_state.conns.load(SeqCst), 2);
}

#[test]
fn a_server_that_refuses_connections_costs_no_run() {
    let rig = Rig::new(61, 3);
    rig.sim.kill(rig.machines[0], false);
    rig.sim.kill(rig.machines[1], true);
    (0..8).for_each(|i| {
        let t = format!("t{i}");
        assert_eq!(rig.ask(&t, "/once/x", &[], "b").status, 200, "{t}");
        assert_eq!(rig.runs(&t).len(), 1);
    });
}

#[test]
fn another_server_at_the_address_does_not_run_it() {
    let rig = Rig::new(62, 2);
    assert_eq!(rig.ask("t", "/pure/x", &[], "b").status, 200);
    // The list still names a0 and a1, but other lives stand at their places.
    rig.sim.kill(rig.machines[0], false);
    rig.stand(
        0,
        &ListedServer {
            server: "b9".into(),
            ..rig.listed(0, "a")
        },
    );
    (0..4).for_each(|i| {
        let h = rig.ask(&format!("t{i}"), "/once/x", &[], "b");
        assert_eq!(h.status, 200);
    });
    assert!(
        rig.server_state
            .runs
            .lock()
            .unwrap()
            .iter()
            .all(|r| r.server != "b9")
    );
}

/// What was begun as repeatable is not sent again under a configuration in which it is not.
#[test]
fn what_may_have_run_is_not_sent_again_by_a_route_that_changed_its_kind() {
    let rig = Rig::new(97, 2);
    rig.act("a0", &[Act::Silent]);
    rig.act("a1", &[Act::Silent]);
    rig.list(2, &[rig.listed(0, "a")]);
    let h = rig.with(|r, w| {
        Box::pin(async move {
            let (r2, w2) = (r.clone(), w.clone());
            let heads = vec![("patience".to_string(), "900".to_string())];
            let one = w.spawn_all(vec![Box::pin(async move {
                call(&w2, r2.address, "t", "/pure/x", &heads, "").await
            }) as BoxFuture<'static, Answer>]);
            w.sleep(60 * MS).await;
            r.configure(2, json!([route("pure", "effectful", "a", 3)]));
            r.list(3, &[r.listed(0, "a"), r.listed(1, "a")]);
            r.sim.kill(r.machines[0], false);
            one.recv().await.unwrap()
        })
    });
    assert_eq!((h.status, rig.runs("t").len()), (502, 1), "{h:?}");
}

/// Of two servers that were asked, one may have run it though the other says that it did not.
#[test]
fn a_second_server_that_did_not_run_it_says_nothing_of_the_first() {
    let rig = Rig::new(98, 2);
    rig.list(2, &[rig.listed(0, "a")]);
    rig.configure(2, json!([route("pure", "pure", "a", 2)]));
    rig.act("a0", &[Act::Silent]);
    rig.act("a1", &[Act::SlowNotRun(300 * MS)]);
    let h = rig.with(|r, w| {
        Box::pin(async move {
            let (r2, w2) = (r.clone(), w.clone());
            let one = w.spawn_all(vec![Box::pin(async move {
                call(&w2, r2.address, "t", "/pure/x", &[], "").await
            }) as BoxFuture<'static, Answer>]);
            w.sleep(50 * MS).await;
            r.list(3, &[r.listed(0, "a"), r.listed(1, "a")]);
            w.sleep(200 * MS).await;
            r.sim.kill(r.machines[0], false);
            one.recv().await.unwrap()
        })
    });
    assert_eq!((h.status, rig.runs("t").len()), (502, 1), "{h:?}");
}

/// Guards against giving up a second server that is at work because the first one, silent until then,
/// answers with an error.
#[test]
fn an_error_of_the_first_server_leaves_the_second_one_at_work() {
    for (seed, tries) in [(99, 2), (100, 3)] {
        // A second server is asked after 120 ms.
        let rig = Rig::new(seed, 2);
        rig.configure(2, json!([route("pure", "pure", "a", tries)]));
        rig.list(2, &[rig.listed(0, "a")]);
        rig.act("a0", &[Act::SlowFails(200 * MS, 500)]);
        rig.act("a1", &[Act::Slow(300 * MS)]);
        let h = rig.with(|r, w| {
            Box::pin(async move {
                let (r2, w2) = (r.clone(), w.clone());
                let one = w.spawn_all(vec![Box::pin(async move {
                    call(&w2, r2.address, "t", "/pure/x", &[], "").await
                }) as BoxFuture<'static, Answer>]);
                w.sleep(50 * MS).await;
                r.list(3, &[r.listed(0, "a"), r.listed(1, "a")]);
                one.recv().await.unwrap()
            })
        });
        assert_eq!((h.status, h.body.as_str()), (200, "good"), "{tries}: {h:?}");
        assert_eq!(rig.runs("t").len(), 2, "{tries}");
    }
}

/// The error is passed on where the second server has nothing better.
#[test]
fn of_two_errors_one_is_passed_on() {
    let rig = Rig::new(101, 2);
    rig.configure(2, json!([route("pure", "pure", "a", 2)]));
    rig.act("a0", &[Act::SlowFails(200 * MS, 500)]);
    rig.act("a1", &[Act::SlowFails(200 * MS, 500)]);
    let h = rig.ask("t", "/pure/x", &[], "");
    assert_eq!((h.status, h.body.as_str()), (500, "mine"), "{h:?}");
    assert_eq!(rig.runs("t").len(), 2);
}
