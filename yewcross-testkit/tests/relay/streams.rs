//! Streams and turns: events as they come, ends after the turn is kept, settling.

use crate::rig::*;
use crate::server::*;
use serde_json::json;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::register::Ballot;
use yewcross_common::turn_log::OpenTurnError;

/// A caller takes an answer for whole once all the bytes that its head names are there, so the head
/// may name none where the end waits for the turn to be kept.
#[test]
fn a_turn_of_known_length_does_not_look_complete_before_it_is_kept() {
    let rig = Rig::new(95, 1);
    rig.all(Act::Counted);
    *rig.turn_log.finish_fails.lock().unwrap() = true;
    let h = rig.ask("t1", "/kept/stream/x", &[], "in");
    // Head and body may go out at once: then the connection ends without either.
    assert!(!h.whole && matches!(h.status, 0 | 200), "{h:?}");
    *rig.turn_log.finish_fails.lock().unwrap() = false;
    let h = rig.ask("t2", "/kept/stream/x", &[], "in");
    assert_eq!((h.status, h.whole), (200, true), "{h:?}");
    assert!(rig.turn_log.turns.lock().unwrap().contains_key("t2"));
}

/// Tokens are counted as the service counts them that ran the turn, also where its route has moved
/// since it was opened.
#[test]
fn a_turn_is_settled_by_the_service_that_ran_it() {
    let rig = Rig::new(96, 1);
    let config = |to: &str| {
        let engine = |each: u64| json!({"slots": 4, "cache_tokens": 100_000, "token_bytes": 1, "tokens_per_event": each});
        let t = json!({"routing": {"routes": [route("kept/stream", "stream", to, 2)], "upstreams": [
            {"name": "a", "engine": engine(1)}, {"name": "model", "engine": engine(5)}]}});
        serde_json::to_vec(&json!({"text": t.to_string(), "put": "", "note": "", "past": []}))
            .unwrap()
    };
    assert!(
        rig.relay
            .documents
            .apply("config", 2, Ballot::default(), config("a"))
    );
    let (book, moved) = (rig.relay.documents.clone(), config("model"));
    *rig.turn_log.on_open.lock().unwrap() = Some(Box::new(move || {
        assert!(book.apply("config", 3, Ballot::default(), moved))
    }));
    let h = rig.ask(
        "t1",
        "/kept/stream/x",
        &[("program", "p"), ("budget", "500"), ("most", "50")],
        "in",
    );
    assert_eq!(
        (h.status, h.whole, rig.runs("t1")[0].server.as_str()),
        (200, true, "model0"),
        "{h:?}"
    );
    assert_eq!(
        *rig.turn_log.settled.lock().unwrap(),
        [("kept t1".into(), 20)]
    );
}

#[test]
fn events_pass_as_they_come_and_the_end_only_after_the_turn_is_kept() {
    let rig = Rig::new(70, 2);
    let h = rig.ask(
        "t1",
        "/kept/stream/x",
        &[
            ("tokens", "100"),
            ("most", "50"),
            ("program", "p"),
            ("budget", "500"),
        ],
        "in1;",
    );
    assert_eq!((h.status, h.whole, h.at.len()), (200, true, 4));
    h.at.windows(2)
        .for_each(|w| assert!((15 * MS..30 * MS).contains(&(w[1] - w[0])), "{:?}", h.at));
    let out = "t1-0\nt1-1\nt1-2\nt1-3\n";
    let t = rig.turn_log.turns.lock().unwrap()["t1"].clone();
    assert_eq!(
        (t.input.as_ref(), t.output.as_ref(), t.tokens),
        (&b"in1;"[..], out.as_bytes(), 108)
    );
    let h = rig.ask(
        "t2",
        "/kept/stream/x",
        &[("after", "t1"), ("tokens", "120")],
        "in2;",
    );
    assert!(h.whole);
    let r = rig.runs("t2");
    assert_eq!(
        (r.len(), String::from_utf8_lossy(&r[0].body).into_owned()),
        (1, format!("in1;{out}in2;"))
    );
    assert_eq!(r[0].server, t.server, "a chain stays where its prefix is");
    assert_eq!(
        *rig.turn_log.settled.lock().unwrap(),
        [("kept t1".into(), 8), ("kept t2".into(), 8)]
    );
}

#[test]
fn a_turn_that_cannot_be_kept_does_not_look_complete() {
    let rig = Rig::new(71, 1);
    *rig.turn_log.finish_fails.lock().unwrap() = true;
    let h = rig.ask("t1", "/kept/stream/x", &[], "in");
    assert_eq!((h.status, h.whole, h.at.len()), (200, false, 4));
    assert_eq!(*rig.turn_log.settled.lock().unwrap(), [("t1".into(), 8)]);
}

#[test]
fn a_refused_turn_reaches_no_server() {
    for (r, status) in [
        (OpenTurnError::BudgetSpent, 402),
        (OpenTurnError::UnknownTurn, 404),
        (OpenTurnError::Unavailable, 503),
    ] {
        let rig = Rig::new(72, 1);
        *rig.turn_log.refuses.lock().unwrap() = Some(r);
        assert_eq!(rig.ask("t1", "/kept/stream/x", &[], "in").status, status);
        assert_eq!(rig.server_state.seen.load(SeqCst), 0);
    }
}

#[test]
fn a_stream_that_breaks_off_breaks_off_and_is_settled_by_what_passed() {
    let rig = Rig::new(73, 2);
    rig.all(Act::Break(3));
    let h = rig.ask("t1", "/kept/stream/x", &[], "in");
    assert_eq!(
        (h.status, h.whole, h.at.len(), rig.runs("t1").len()),
        (200, false, 3, 1)
    );
    assert_eq!(*rig.turn_log.settled.lock().unwrap(), [("t1".into(), 6)]);
    let rig = Rig::new(74, 2);
    rig.all(Act::Lose);
    let h = rig.ask("t1", "/kept/stream/x", &[], "in");
    assert_eq!((h.status, rig.runs("t1").len()), (502, 1));
    assert_eq!(*rig.turn_log.settled.lock().unwrap(), [("t1".into(), 0)]);
    let rig = Rig::new(75, 1);
    rig.all(Act::NotRun(503));
    assert_eq!(rig.ask("t1", "/kept/stream/x", &[], "in").status, 503);
    assert_eq!(*rig.turn_log.settled.lock().unwrap(), [("t1".into(), 0)]);
}

#[test]
fn a_stream_ends_at_its_deadline() {
    let rig = Rig::new(76, 1);
    rig.all(Act::Forever);
    let h = rig.ask("t1", "/stream/x", &[("patience", "500")], "in");
    assert_eq!((h.status, h.whole), (200, false));
    assert!((480 * MS..560 * MS).contains(&h.took), "{}", h.took);
}
