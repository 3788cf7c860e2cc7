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
    *rig.server_state.other.lock().unwrap() = Some(Act::Good);
    let (server_state, w) = (rig.server_state.clone(), rig.relay.runtime.clone());
    // Once one of the two has begun, the other forgets what it was told.
    w.clone().spawn(async move {
        while server_state.runs.lock().unwrap().is_empty() {
            w.sleep(MS).await;
        }
        server_state.acts.lock().unwrap().clear();
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
        r.server_state.gone.lock().unwrap().len(),
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
            (r.runs("t").len(), r.server_state.seen.load(SeqCst)),
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
                (r.runs("t").len(), r.server_state.seen.load(SeqCst)),
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
        r.server_state.seen.load(SeqCst)
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
        *r.turn_log.settled.lock().unwrap(),
        [("t".into(), 8)],
        "four events of two tokens"
    );
}

/// us. Longer than the 200 ms in which a pause is in time, far shorter than the 3 s of the deadline.
const PAUSE: u64 = 700 * MS;

fn check_paused(r: &Rig, attempt: &str, path: &str, heads: &[(&str, &str)], what: &str) {
    let h = r.ask(attempt, path, heads, "b");
    let expected = WHOLE.replace("t-", &format!("{attempt}-"));
    assert_eq!(
        (h.status, h.whole, h.body.as_str()),
        (200, true, expected.as_str()),
        "{what}"
    );
    assert!(h.took > PAUSE, "{what}: {} us", h.took);
}

/// Guards against cutting an answer whose server pauses and goes on: it was given up before another
/// one had the stream, and no other had room.
#[test]
fn a_paused_stream_goes_on_at_its_server_where_no_other_has_room() {
    for (seed, status) in [(230, 503), (231, 429), (232, 421)] {
        let r = first_is(Act::Pause(2, PAUSE), seed, Policies::all());
        *r.server_state.other.lock().unwrap() = Some(Act::NotRun(status));
        check_paused(&r, "t", "/again/stream/x", &[], &format!("{status}"));
        assert_eq!(r.runs("t").len(), 1, "{status}");
        assert!(r.server_state.gone.lock().unwrap().is_empty(), "{status}");
    }
}

/// The same where there is no other server at all, where the route allows none, and where the retry
/// budget is spent: nothing can stand in.
#[test]
fn a_paused_stream_goes_on_where_nothing_may_stand_in() {
    let r = rig(233, &[Act::Pause(2, PAUSE)], Policies::all());
    check_paused(&r, "t", "/again/stream/x", &[], "one server");

    let r = first_is(Act::Pause(2, PAUSE), 234, Policies::all());
    r.configure(2, json!([resumable("again/stream", 1)]));
    check_paused(&r, "t", "/again/stream/x", &[], "one attempt");
    assert_eq!(r.server_state.seen.load(SeqCst), 1);

    let r = first_is(Act::Pause(2, PAUSE), 235, Policies::all());
    while r.relay.retry_budget.withdraw() {}
    check_paused(&r, "t", "/again/stream/x", &[], "no retry budget");
    assert_eq!(r.server_state.seen.load(SeqCst), 1);

    let r = rig(236, &[Act::Lose, Act::Lose], Policies::all());
    *r.server_state.other.lock().unwrap() = Some(Act::Pause(2, PAUSE));
    let (server_state, w) = (r.server_state.clone(), r.relay.runtime.clone());
    w.clone().spawn(async move {
        while server_state.runs.lock().unwrap().is_empty() {
            w.sleep(MS).await;
        }
        server_state.acts.lock().unwrap().clear();
    });
    check_paused(&r, "t", "/again/stream/x", &[], "attempts spent");
    assert_eq!(r.server_state.seen.load(SeqCst), 2);
}

/// The same where another server takes the stream and then does not go on with it.
#[test]
fn a_paused_stream_goes_on_where_the_other_server_does_not() {
    for (seed, other) in [
        (240, Act::Lose),
        (241, Act::Fails(500)),
        (242, Act::Garble),
        (243, Act::Silent),
        (244, Act::Break(0)),
        (245, Act::BreakInside(2)),
        (246, Act::Stall(0)),
        (247, Act::SlowStream(3 * SEC)),
        (248, Act::SlowNotRun(3 * SEC)),
        // It begins anew.
        (249, Act::Break(3)),
    ] {
        let r = first_is(Act::Pause(2, PAUSE), seed, Policies::all());
        *r.server_state.other.lock().unwrap() = Some(other);
        check_paused(&r, "t", "/again/stream/x", &[], &format!("{other:?}"));
        r.rest(100 * MS);
        let is_waiting = matches!(
            other,
            Act::Silent | Act::Stall(_) | Act::SlowStream(_) | Act::SlowNotRun(_)
        );
        if is_waiting && !matches!(other, Act::SlowNotRun(_)) {
            let gone = r.server_state.gone.lock().unwrap().len();
            assert_eq!(gone, 1, "{other:?} hears that it is not wanted any more");
        }
    }
}

/// Whoever sends the next event goes on, without a gap or a repeat, and the other one is let go.
#[test]
fn of_two_servers_the_first_with_an_event_goes_on() {
    // A stream is stalled after 120 ms; the first one goes on after PAUSE.
    for (seed, slow) in [
        (250, 10),
        (251, 300),
        (252, 500),
        (253, 560),
        (254, 600),
        (255, 900),
    ] {
        let r = first_is(Act::Pause(2, PAUSE), seed, Policies::all());
        *r.server_state.other.lock().unwrap() = Some(Act::SlowStream(slow * MS));
        let h = r.ask("t", "/again/stream/x", &[], "b");
        assert_eq!(
            (h.status, h.whole, h.body.as_str(), r.runs("t").len()),
            (200, true, WHOLE, 2),
            "{slow} ms"
        );
        r.rest(1_500 * MS);
        let counts = r.relay.counts.all();
        let is_first = slow > PAUSE / MS - 120;
        assert_eq!(
            (
                counts["stalled"] >= 1,
                counts["resumed"],
                counts["recovered"]
            ),
            (true, 1, is_first as u64),
            "{slow} ms"
        );
        assert_eq!(r.server_state.gone.lock().unwrap().len(), 1, "{slow} ms");
    }
}

/// The stream has sent all its events and pauses before its end: the other server only ends it.
#[test]
fn a_stream_that_pauses_before_its_end_is_ended_by_the_other_server() {
    let r = first_is(Act::Pause(4, PAUSE), 256, Policies::all());
    *r.server_state.other.lock().unwrap() = Some(Act::EndsAtOnce);
    let h = r.ask("t", "/again/stream/x", &[], "b");
    assert_eq!((h.status, h.whole, h.body.as_str()), (200, true, WHOLE));
    assert!(h.took < PAUSE, "{}", h.took);
}

/// A pause in which nobody could be asked spends neither the route's attempts nor the retry budget:
/// a later break is still taken up.
#[test]
fn a_break_after_a_pause_is_taken_up() {
    let r = rig(
        257,
        &[Act::PauseThenBreak(2, PAUSE), Act::Good],
        Policies::all(),
    );
    r.list(2, &[r.listed(0, "model")]);
    let (rig, w) = (r.clone(), r.relay.runtime.clone());
    w.clone().spawn(async move {
        while rig.server_state.runs.lock().unwrap().is_empty() {
            w.sleep(MS).await;
        }
        // Two events, the pause, and half of the time until it breaks off.
        w.sleep(40 * MS + PAUSE + 10 * MS).await;
        rig.list(3, &[rig.listed(0, "model"), rig.listed(1, "model")]);
    });
    let h = r.ask("t", "/again/stream/x", &[], "b");
    assert_eq!((h.status, h.whole, h.body.as_str()), (200, true, WHOLE));
    let counts = r.relay.counts.all();
    assert!(counts["stalled"] > 1, "{counts:?}");
    assert_eq!(counts["resumed"], 1, "{counts:?}");
    let left = (0..20).filter(|_| r.relay.retry_budget.withdraw()).count();
    assert_eq!(left as f64, RETRY_BURST - 1.0, "one attempt was made");
}

/// A server that was asked for the rest and failed is not asked for it again.
#[test]
fn each_server_is_asked_for_the_rest_once() {
    for (seed, act) in [(264, Act::Break(2)), (265, Act::Stall(2))] {
        let r = rig(seed, &[act; 3], Policies::all());
        r.configure(2, json!([resumable("again/stream", 3)]));
        *r.server_state.other.lock().unwrap() = Some(Act::Lose);
        let (server_state, w) = (r.server_state.clone(), r.relay.runtime.clone());
        w.clone().spawn(async move {
            while server_state.runs.lock().unwrap().is_empty() {
                w.sleep(MS).await;
            }
            server_state.acts.lock().unwrap().clear();
        });
        let h = r.ask("t", "/again/stream/x", &[("patience", "900")], "b");
        assert_eq!((h.status, h.whole), (200, false), "{act:?}");
        let runs = r.runs("t");
        let servers: std::collections::BTreeSet<&String> =
            runs.iter().map(|run| &run.server).collect();
        assert_eq!((runs.len(), servers.len()), (3, 3), "{act:?}");
    }
}

/// A broken stream whose next server is silent is taken up at a third one, as far as its route allows.
#[test]
fn a_silent_server_does_not_hold_a_broken_stream_up() {
    for (seed, act) in [(266, Act::Silent), (267, Act::Stall(0))] {
        let r = rig(seed, &[Act::Break(2); 3], Policies::all());
        r.configure(2, json!([resumable("again/stream", 3)]));
        let (server_state, w) = (r.server_state.clone(), r.relay.runtime.clone());
        *server_state.other.lock().unwrap() = Some(act);
        w.clone().spawn(async move {
            while server_state.runs.lock().unwrap().is_empty() {
                w.sleep(MS).await;
            }
            server_state.acts.lock().unwrap().clear();
            while server_state.runs.lock().unwrap().len() < 2 {
                w.sleep(MS).await;
            }
            *server_state.other.lock().unwrap() = Some(Act::Good);
        });
        let h = r.ask("t", "/again/stream/x", &[], "b");
        assert_eq!(
            (h.status, h.whole, h.body.as_str(), r.runs("t").len()),
            (200, true, WHOLE, 3),
            "{act:?}"
        );
        assert!(h.took < SEC, "{act:?}: {}", h.took);
    }
}

/// A broken stream whose next server cannot be reached is taken up at another one: nothing was sent,
/// so that no attempt is spent.
#[test]
fn an_unreachable_server_does_not_cost_a_broken_stream() {
    for tries in [2, 3] {
        for seed in 270..276 {
            let r = rig(seed, &[Act::Break(2); 3], Policies::all());
            r.configure(2, json!([resumable("again/stream", tries)]));
            *r.server_state.other.lock().unwrap() = Some(Act::Good);
            let (rig, w) = (r.clone(), r.relay.runtime.clone());
            w.clone().spawn(async move {
                while rig.server_state.runs.lock().unwrap().is_empty() {
                    w.sleep(MS).await;
                }
                rig.server_state.acts.lock().unwrap().clear();
                let first = rig.server_state.runs.lock().unwrap()[0].server.clone();
                let other = (0..3).find(|i| first != format!("model{i}")).unwrap();
                rig.sim.kill(rig.machines[other], false);
            });
            let h = r.ask("t", "/again/stream/x", &[], "b");
            assert_eq!(
                (h.status, h.whole, h.body.as_str(), r.runs("t").len()),
                (200, true, WHOLE, 2),
                "{tries} tries, seed {seed}"
            );
        }
    }
}

/// A front that is stopped while its stream's server pauses waits for it like any other.
#[test]
fn a_paused_stream_outlasts_the_stop_of_its_front() {
    let r = first_is(Act::Pause(2, PAUSE), 260, Policies::all());
    *r.server_state.other.lock().unwrap() = Some(Act::NotRun(503));
    let (connections, w) = (r.connections.clone(), r.relay.runtime.clone());
    w.clone().spawn(async move {
        w.sleep(60 * MS).await;
        connections.disable_keep_alive();
        w.sleep(100 * MS).await;
        connections.begin_shutdown();
    });
    check_paused(&r, "t", "/again/stream/x", &[], "stopped");
}

/// What is kept of a turn is what its client got, whichever server went on.
#[test]
fn a_turn_that_paused_is_kept_as_its_client_got_it() {
    for (seed, other) in [
        (261, Act::NotRun(503)),
        (262, Act::Good),
        (263, Act::Break(3)),
    ] {
        let r = first_is(Act::Pause(2, PAUSE), seed, Policies::all());
        r.configure(2, json!([resumable("kept/again/stream", 2)]));
        *r.server_state.other.lock().unwrap() = Some(other);
        let h = r.ask("t", "/kept/again/stream/x", &[], "b");
        assert_eq!(
            (h.status, h.whole, h.body.as_str()),
            (200, true, WHOLE),
            "{other:?}"
        );
        let turns = r.turn_log.turns.lock().unwrap();
        assert_eq!(&turns["t"].output[..], b"t-0\nt-1\nt-2\nt-3\n", "{other:?}");
        let settled = r.turn_log.settled.lock().unwrap();
        assert_eq!(*settled, [("kept t".into(), 8)], "{other:?}");
    }
}

/// A request that is refused before its body has come leaves its connection in order for the next
/// one.
#[test]
fn what_is_left_of_a_refused_body_is_not_taken_for_the_next_head() {
    let rig = Rig::new(221, 1);
    let statuses = rig.with(|r, w| {
        Box::pin(async move {
            let c = w.connect(r.address).await.unwrap();
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
