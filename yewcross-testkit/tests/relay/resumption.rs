//! Streams that may be resumed: a second server for a silent or ill one, and a broken stream taken
//! up within its answer.

use crate::rig::*;
use crate::server::*;
use serde_json::json;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_proxy::policy::{Mechanism, Policies};

const WHOLE: &str =
    "id: 0\ndata: t-0\n\nid: 1\ndata: t-1\n\nid: 2\ndata: t-2\n\nid: 3\ndata: t-3\n\n";

fn rig(seed: u64, acts: &[Act], policies: Policies) -> Rig {
    let rig = Rig::with_policies(seed, acts.len(), policies);
    (0..acts.len()).for_each(|i| rig.act(&format!("model{i}"), &acts[i..=i]));
    rig
}

/// Whichever server is chosen first is ill, the other one well.
fn first_is(act: Act, seed: u64, policies: Policies) -> Rig {
    let rig = rig(seed, &[act, act], policies);
    *rig.floor.other.lock().unwrap() = Some(Act::Good);
    let (floor, w) = (rig.floor.clone(), rig.relay.runtime.clone());
    // Once one of the two has begun, the other forgets what it was told.
    w.clone().spawn(async move {
        while floor.runs.lock().unwrap().is_empty() {
            w.sleep(MS).await;
        }
        floor.acts.lock().unwrap().clear();
    });
    rig
}

#[test]
fn a_broken_stream_goes_on_at_another_server_without_a_gap_or_a_repeat() {
    for (seed, act) in [
        (201, Act::Break(2)),
        (202, Act::BreakInside(2)),
        (203, Act::Stall(2)),
    ] {
        let r = first_is(act, seed, Policies::all());
        let h = r.ask("t", "/again/stream/x", &[], "b");
        assert_eq!(
            (h.status, h.whole, h.body.as_str()),
            (200, true, WHOLE),
            "{act:?}"
        );
        let runs = r.runs("t");
        assert_eq!(
            (runs.len(), runs[1].heads["resume-after"].as_str()),
            (2, "1"),
            "{act:?}"
        );
        assert_ne!(runs[0].server, runs[1].server, "{act:?}");
        let longest = h.at.windows(2).map(|w| w[1] - w[0]).max().unwrap();
        assert!(
            longest < 200 * MS,
            "{act:?}: the pause is still in time, {longest} us"
        );
    }
}

#[test]
fn without_resumption_a_broken_stream_breaks_off() {
    let r = first_is(
        Act::Break(2),
        204,
        Policies::all().without(Mechanism::Resumption),
    );
    let h = r.ask("t", "/again/stream/x", &[], "b");
    assert_eq!((h.status, h.whole, r.runs("t").len()), (200, false, 1));
    let r = first_is(
        Act::Stall(2),
        205,
        Policies::all().without(Mechanism::StallDetection),
    );
    let h = r.ask("t", "/again/stream/x", &[("patience", "900")], "b");
    assert_eq!((h.status, h.whole, r.runs("t").len()), (200, false, 1));
}

#[test]
fn before_its_first_event_such_a_stream_is_sent_to_another_server() {
    for (seed, act) in [
        (206, Act::Lose),
        (207, Act::Garble),
        (208, Act::Silent),
        (209, Act::Fails(500)),
    ] {
        let r = first_is(act, seed, Policies::all());
        let h = r.ask("t", "/again/stream/x", &[], "b");
        assert_eq!(
            (h.status, h.whole, h.body.as_str(), r.runs("t").len()),
            (200, true, WHOLE, 2),
            "{act:?}"
        );
        let r = first_is(act, seed, Policies::all().without(Mechanism::StreamRetry));
        let h = r.ask("t", "/again/stream/x", &[("patience", "900")], "b");
        assert!(h.status >= 500 && r.runs("t").len() == 1, "{act:?}: {h:?}");
    }
}

#[test]
fn a_silent_first_server_hears_that_its_caller_has_left() {
    let r = first_is(Act::Silent, 210, Policies::all());
    let h = r.ask("t", "/again/stream/x", &[], "b");
    assert_eq!((h.status, h.whole), (200, true));
    r.rest(100 * MS);
    assert_eq!(
        r.floor.gone.lock().unwrap().len(),
        1,
        "the loser's connection is closed"
    );
}

#[test]
fn a_stream_is_never_sent_to_more_servers_than_its_route_allows() {
    for (seed, act) in [
        (211, Act::Break(1)),
        (212, Act::Stall(1)),
        (213, Act::Lose),
        (214, Act::Silent),
    ] {
        let r = rig(seed, &[act; 4], Policies::all());
        r.all(act);
        let h = r.ask("t", "/again/stream/x", &[("patience", "900")], "b");
        assert!(!h.whole || h.status >= 500, "{act:?}");
        assert_eq!(
            (r.runs("t").len(), r.floor.seen.load(SeqCst)),
            (2, 2),
            "{act:?}"
        );
    }
}

#[test]
fn a_stream_that_may_not_be_resumed_runs_once() {
    for (seed, act) in [
        (215, Act::Break(2)),
        (216, Act::Stall(2)),
        (217, Act::Lose),
        (218, Act::Silent),
    ] {
        for path in ["/stream/x", "/kept/stream/x"] {
            let r = first_is(act, seed, Policies::all());
            let h = r.ask("t", path, &[("patience", "900")], "b");
            assert!(!h.whole || h.status >= 500, "{act:?}");
            assert_eq!(
                (r.runs("t").len(), r.floor.seen.load(SeqCst)),
                (1, 1),
                "{act:?} {path}"
            );
        }
    }
}

/// Where every server is ill, second attempts stay a share of the first ones.
#[test]
fn second_attempts_are_bounded_by_the_retry_budget() {
    let seen = |policies: Policies| {
        let r = rig(219, &[Act::Lose; 4], policies);
        r.all(Act::Lose);
        (0..60).for_each(|i| drop(r.ask(&format!("t{i}"), "/again/stream/x", &[], "b")));
        r.floor.seen.load(SeqCst)
    };
    let bounded = seen(Policies::all());
    assert!(
        (70..=77).contains(&bounded),
        "60 first attempts, 10 at once and a tenth: {bounded}"
    );
    assert_eq!(seen(Policies::all().without(Mechanism::RetryBudget)), 120);
}

#[test]
fn a_turn_is_settled_by_the_events_of_both_servers() {
    let r = first_is(Act::Break(2), 220, Policies::all());
    let h = r.ask(
        "t",
        "/again/stream/x",
        &[("program", "p"), ("budget", "500"), ("most", "50")],
        "b",
    );
    assert!(h.whole);
    r.rest(100 * MS);
    assert_eq!(
        *r.memory.settled.lock().unwrap(),
        [("t".into(), 8)],
        "four events of two tokens"
    );
}

/// A request that is refused before its body has come leaves its connection in order for the next
/// one.
#[test]
fn what_is_left_of_a_refused_body_is_not_taken_for_the_next_head() {
    let rig = Rig::new(221, 1);
    let statuses = rig.with(|r, w| {
        Box::pin(async move {
            let c = w.connect(r.door).await.unwrap();
            let io = smol_hyper::rt::FuturesIo::new(c);
            let (mut s, conn) = hyper::client::conn::http1::handshake(io).await.unwrap();
            w.spawn(async move { drop(conn.await) });
            let mut statuses = vec![];
            for (path, body) in [("/unknown/x", "#".repeat(9_000)), ("/pure/x", "b".into())] {
                let q = http::Request::builder()
                    .method("POST")
                    .uri(path)
                    .header("host", "h.example")
                    .header("try", "t");
                let q = q
                    .body(http_body_util::Full::new(bytes::Bytes::from(body)))
                    .unwrap();
                statuses.push(s.send_request(q).await.map_or(0, |r| r.status().as_u16()));
                w.sleep(20 * MS).await;
            }
            statuses
        })
    });
    assert_eq!(json!(statuses), json!([404, 200]));
}
