//! What is read from a caller, and where it may go.

use crate::rig::*;
use crate::server::*;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use yewcross_common::configuration::route::Limits;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::register::Ballot;
use yewcross_common::runtime::*;
use yewcross_proxy::relay::Relay;
use yewcross_testkit::routed::test_adapter::TestAdapter;

#[test]
fn targets_pass_byte_for_byte_or_are_refused() {
    let rig = Rig::new(2, 1);
    let targets = [
        "/pure//a/../%2e",
        "/pure/é",
        "/pure/'\"",
        "/pure/a?b=c?d&e='",
        "/pure/%C3%A9/;x=1,2",
        "/pure/?",
        "/pure/a//",
        "/pure/{x}|^`\\",
        "/pure/a#frag",
        "/pure/<x>",
        "http://h.example/pure/x",
    ];
    for (i, t) in targets.iter().enumerate() {
        let (id, t2) = (format!("t{i}"), t.to_string());
        let said = {
            let id = id.clone();
            rig.with(move |r, w| {
                Box::pin(async move {
                    let mut c = w.connect(r.address).await.unwrap();
                    let q = format!("GET {t2} HTTP/1.1\r\nhost: h.example\r\ntry: {id}\r\nconnection: close\r\n\r\n");
                    c.write_all(q.as_bytes()).await.unwrap();
                    let mut v = vec![];
                    let _ = c.read_to_end(&mut v).await;
                    String::from_utf8(v).unwrap()
                })
            })
        };
        match rig.runs(&id).as_slice() {
            [] => assert!(said.starts_with("HTTP/1.1 400"), "{t}: {said}"),
            [r] => assert!(
                r.target == *t && said.starts_with("HTTP/1.1 200"),
                "{t}: {} {said}",
                r.target
            ),
            v => panic!("{t}: ran {} times", v.len()),
        }
    }
    let ran = rig.server_state.runs.lock().unwrap().len();
    assert!(ran >= 7, "{ran} of the targets passed");
}

#[test]
fn a_leaving_mark_counts_at_once() {
    let rig = Rig::new(63, 2);
    let mut gone = rig.listed(0, "a");
    gone.leaving = true;
    rig.list(2, &[gone, rig.listed(1, "a")]);
    (0..6).for_each(|i| assert_eq!(rig.ask(&format!("t{i}"), "/pure/x", &[], "b").status, 200));
    assert!(
        rig.server_state
            .runs
            .lock()
            .unwrap()
            .iter()
            .all(|r| r.server == "a1")
    );
    rig.list(3, &[]);
    let h = rig.ask("none", "/once/x", &[], "b");
    assert_eq!((h.status, rig.runs("none").len()), (503, 0));
}

#[test]
fn the_newest_configuration_decides() {
    let rig = Rig::new(64, 2);
    assert_eq!(rig.ask("t", "/never/x", &[], "b").status, 404);
    assert_eq!(rig.ask("t0", "/pure/x", &[], "b").status, 200);
    rig.configure(2, json!([route("never", "pure", "a", 1)]));
    assert_eq!(
        (
            rig.ask("t1", "/never/x", &[], "b").status,
            rig.ask("t2", "/pure/x", &[], "b").status
        ),
        (200, 404)
    );
    // Held in line while the route moves: it goes where the new version says, or nowhere.
    let rig = Rig::new(65, 1);
    assert_eq!(
        rig.ask("b", "/other/x", &[], "b").status,
        503,
        "service b has no server"
    );
}

#[test]
fn a_front_that_has_just_begun_waits_for_its_first_news() {
    let rig = Rig::new(68, 1);
    // A relay of its own that knows nothing yet.
    let h = rig.with(|r, w| {
        Box::pin(async move {
            let old = r.relay.documents.document("list");
            let book = DocumentCache::new(&w);
            let fresh = Relay {
                runtime: w.clone(),
                documents: book.clone(),
                site: "z".into(),
                caller: Arc::new(TestAdapter),
                upstream_protocol: Arc::new(TestAdapter),
                turn_log: None,
                front_count: AtomicUsize::new(1),
                pool: Default::default(),
                balance: Default::default(),
                retry_budget: Default::default(),
                counts: Default::default(),
                buffer_memory: Default::default(),
                shutdown: Default::default(),
            };
            let (fresh, w2) = (Arc::new(fresh), w.clone());
            let own: SocketAddr = "10.9.9.9:81".parse().unwrap();
            let me = r.sim.add_machine("young", "z", own.ip());
            let wd = r.sim.boot(me);
            let d = wd.bind(own).await.unwrap();
            let h: yewcross_common::streaming_http::Handler =
                Arc::new(move |q, _| Box::pin(fresh.clone().serve(q)));
            w2.spawn(yewcross_common::streaming_http::serve(
                w2.clone(),
                d,
                h,
                Arc::new(Limits::default),
                Default::default(),
            ));
            let ask = |id: &'static str| {
                let w = w.clone();
                w.clone().spawn_all(vec![Box::pin(async move {
                    call(&w, own, id, "/once/x", &[], "").await
                }) as BoxFuture<'static, Answer>])
            };
            let one = ask("early");
            w.sleep(100 * MS).await;
            book.apply("config", 1, Ballot::default(), config(routes()));
            w.sleep(100 * MS).await;
            book.apply("list", 1, Ballot::default(), old.content.to_vec());
            one.recv().await.unwrap()
        })
    });
    assert_eq!((h.status, rig.runs("early").len()), (200, 1));
    assert!((200 * MS..220 * MS).contains(&h.took), "{}", h.took);
}

#[test]
fn bad_requests_are_refused_without_a_run() {
    let rig = Rig::new(66, 1);
    let big = "x".repeat(10_001);
    assert_eq!(rig.ask("t", "/pure/x", &[], &big).status, 413);
    assert_eq!(rig.ask("t", "/pure/x", &[], &big[..10_000]).status, 200);
    assert_eq!(rig.ask("", "/pure/x", &[], "").status, 400);
    let h = "y".repeat(9_000);
    assert_eq!(rig.ask("u", "/pure/x", &[("long", &h)], "").status, 431);
    assert_eq!(
        (rig.runs("").len(), rig.runs("u").len(), rig.runs("t").len()),
        (0, 0, 1)
    );
}

#[test]
fn a_head_that_never_ends_is_cut_off_and_an_idle_connection_later() {
    let rig = Rig::new(67, 1);
    let until = |say: &'static [u8]| {
        rig.with(move |r, w| {
            Box::pin(async move {
                let mut c = w.connect(r.address).await.unwrap();
                let t0 = w.now();
                c.write_all(say).await.unwrap();
                let mut v = vec![];
                let _ = c.read_to_end(&mut v).await;
                (w.now() - t0) / MS
            })
        })
    };
    let (slow, idle) = (until(b"GET / HTTP/1.1\r\nhost:"), until(b""));
    assert!(
        (1_000..1_100).contains(&slow) && (5_000..5_100).contains(&idle),
        "{slow} {idle}"
    );
}

#[test]
fn a_caller_that_goes_takes_its_request_at_the_server_along() {
    for (path, act) in [("/kept/stream/x", Act::Forever), ("/once/x", Act::Silent)] {
        let rig = Rig::new(77, 1);
        rig.all(act);
        let p = path.to_string();
        let left = rig.with(move |r, w| {
            Box::pin(async move {
                let mut c = w.connect(r.address).await.unwrap();
                let q = format!(
                    "POST {p} HTTP/1.1\r\nhost: h.example\r\ntry: t\r\ncontent-length: 0\r\n\r\n"
                );
                c.write_all(q.as_bytes()).await.unwrap();
                w.sleep(300 * MS).await;
                drop(c);
                w.now()
            })
        });
        rig.rest(200 * MS);
        let gone = rig.server_state.gone.lock().unwrap().clone();
        assert!(
            gone.len() == 1 && gone[0] < left + 100 * MS,
            "{path}: {gone:?} {left}"
        );
        if path.starts_with("/kept") {
            let s = rig.turn_log.settled.lock().unwrap().clone();
            assert!(s.len() == 1 && s[0].0 == "t" && s[0].1 >= 20, "{s:?}");
        }
    }
}

#[test]
fn places_that_are_all_taken_are_told_early() {
    let rig = Rig::new(80, 1);
    rig.all(Act::Slow(1_000 * MS));
    // The model server has four slots; a route without events goes to it.
    rig.configure(2, json!([route("full", "effectful", "model", 1)]));
    let hs = rig.with(|r, w| {
        Box::pin(async move {
            let fs: Vec<BoxFuture<'static, Answer>> = (0..6)
                .map(|i| {
                    let (r, w) = (r.clone(), w.clone());
                    let f: BoxFuture<'static, Answer> = Box::pin(async move {
                        call(&w, r.address, &format!("t{i}"), "/full/x", &[], "").await
                    });
                    f
                })
                .collect();
            let rx = w.spawn_all(fs);
            let mut v = vec![];
            for _ in 0..6 {
                v.push(rx.recv().await.unwrap());
            }
            v
        })
    });
    let refused: Vec<&Answer> = hs.iter().filter(|h| h.status == 503).collect();
    assert_eq!(
        (refused.len(), hs.iter().filter(|h| h.status == 200).count()),
        (2, 4)
    );
    assert!(
        refused
            .iter()
            .all(|h| h.took < 50 * MS && h.heads["back-ms"].parse::<u64>().unwrap() <= 200),
        "{refused:?}"
    );
}
