//! What counts as the server's answer, and how it is passed on.

use crate::rig::*;
use crate::server::*;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;

#[test]
fn a_good_answer_passes_unchanged_with_its_headers() {
    let rig = Rig::new(1, 2);
    let heads = [
        ("x-own", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "gone"),
        ("te", "trailers"),
        ("accept-encoding", "identity"),
    ];
    let h = rig.ask("t1", "/once/x?q=1", &heads, "hello");
    assert_eq!((h.status, h.body.as_str(), h.whole), (200, "good", true));
    assert_eq!(
        (h.heads["stamp"].as_str(), h.heads["try"].as_str()),
        ("1", "t1")
    );
    let runs = rig.runs("t1");
    assert_eq!(
        (runs.len(), runs[0].body.as_slice(), runs[0].target.as_str()),
        (1, &b"hello"[..], "/once/x?q=1")
    );
    let r = &runs[0].heads;
    assert_eq!(
        (
            r["x-own"].as_str(),
            r["accept-encoding"].as_str(),
            r["for"].as_str()
        ),
        ("kept", "identity", runs[0].server.as_str())
    );
    assert_eq!(r["host"], "h.example");
    assert!(
        !r.contains_key("x-hop") && !r.contains_key("te") && !r.contains_key("connection"),
        "{r:?}"
    );
    assert!(r["patience"].parse::<u64>().unwrap() <= 3000);
}

#[test]
fn a_failure_of_the_server_is_passed_on() {
    let rig = Rig::new(20, 2);
    rig.all(Act::Fails(500));
    let h = rig.ask("t", "/once/x", &[], "b");
    assert_eq!(
        (h.status, h.body.as_str(), rig.runs("t").len()),
        (500, "mine", 1)
    );
}

#[test]
fn a_slow_answer_is_waited_for_to_the_deadline() {
    let rig = Rig::new(43, 1);
    rig.all(Act::Slow(2_500 * MS));
    let h = rig.ask("e", "/once/x", &[], "b");
    assert_eq!(
        (h.status, h.body.as_str(), rig.runs("e").len()),
        (200, "good", 1)
    );
}

#[test]
fn surplus_bytes_reach_nobody() {
    for (i, act) in [Act::Surplus, Act::Late, Act::ThenClose, Act::Again]
        .into_iter()
        .enumerate()
    {
        let rig = Rig::new(50 + i as u64, 1);
        rig.act("a0", &[act]);
        let h = rig.ask("one", "/once/x", &[], "b");
        assert_eq!((h.status, h.body.as_str()), (200, "good"), "{act:?}");
        rig.rest(100 * MS);
        let h = rig.ask("two", "/once/x", &[], "b");
        assert_eq!(
            (h.status, h.body.as_str(), h.heads["try"].as_str()),
            (200, "good", "two"),
            "{act:?}"
        );
        assert_eq!(
            (
                rig.runs("one").len(),
                rig.runs("two").len(),
                rig.server_state.conns.load(SeqCst)
            ),
            (1, 1, 2),
            "{act:?}"
        );
    }
}

#[test]
fn an_answer_whose_end_cannot_be_told_is_none() {
    let rig = Rig::new(92, 1);
    rig.all(Act::OtherCoding);
    let h = rig.ask("t", "/once/x", &[], "b");
    assert_eq!((h.status, rig.runs("t").len()), (502, 1), "{h:?}");
}

#[test]
fn an_encoded_answer_passes_only_to_who_asked_for_it() {
    let rig = Rig::new(93, 1);
    rig.all(Act::Encoded);
    let h = rig.ask("t1", "/once/x", &[], "b");
    assert_eq!((h.status, rig.runs("t1").len()), (502, 1), "{h:?}");
    let h = rig.ask(
        "t2",
        "/once/x",
        &[("accept-encoding", "gzip, br;q=0.5")],
        "b",
    );
    assert_eq!(
        (h.status, h.heads["content-encoding"].as_str()),
        (200, "br")
    );
}

#[test]
fn an_answer_of_an_old_version_goes_out_as_ours() {
    let rig = Rig::new(94, 1);
    rig.all(Act::OldVersion);
    let said = rig.with(move |r, w| {
        Box::pin(async move {
            let mut c = w.connect(r.address).await.unwrap();
            let q =
                "GET /once/x HTTP/1.1\r\nhost: h.example\r\ntry: t\r\nconnection: close\r\n\r\n";
            c.write_all(q.as_bytes()).await.unwrap();
            let mut v = vec![];
            let _ = c.read_to_end(&mut v).await;
            String::from_utf8(v).unwrap()
        })
    });
    assert!(
        said.starts_with("HTTP/1.1 200") && said.ends_with("good"),
        "{said}"
    );
}

#[test]
fn an_interim_head_is_no_answer() {
    for (seed, status) in [(100, 100), (101, 103)] {
        let rig = Rig::new(seed, 1);
        rig.all(Act::Interim(status));
        let h = rig.ask("t", "/once/x", &[], "b");
        assert_eq!(
            (
                h.status,
                h.body.as_str(),
                h.heads["try"].as_str(),
                rig.runs("t").len()
            ),
            (200, "good", "t", 1),
            "{status}"
        );
    }
    let rig = Rig::new(102, 1);
    rig.all(Act::Switches);
    let h = rig.ask("t", "/once/x", &[("patience", "500")], "b");
    assert!(
        matches!(h.status, 502 | 504) && rig.runs("t").len() == 1,
        "{h:?}"
    );
}
