//! A front that is stopped, or stands still and wakes.

use crate::rig::*;
use crate::server::*;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use serde_json::json;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::*;

/// A front that stood still between the choice of a server and the first byte to it, whatever
/// changed meanwhile.
#[test]
fn a_front_that_wakes_sends_nothing_that_it_chose_before() {
    type Change = fn(&Rig);
    let changes: [(&str, Change); 4] = [
        ("its deadline is over", |_| {}),
        ("its route goes elsewhere", |r| {
            r.configure(2, json!([route("once", "effectful", "b", 3)]))
        }),
        ("its server is leaving", |r| {
            r.list(
                2,
                &[ListedServer {
                    leaving: true,
                    ..r.listed(0, "a")
                }],
            )
        }),
        ("its server is gone", |r| r.list(2, &[])),
    ];
    let (mut caught, mut served, mut wrong) = (0, 0, vec![]);
    for (what, change) in changes {
        for step in 0..150 {
            let rig = Rig::new(3_000 + step, 1);
            // A kept connection for every second of them.
            if step % 2 == 0 {
                assert_eq!(rig.ask("first", "/once/x", &[], "b").status, 200);
            }
            let (patience, still) = if what.starts_with("its deadline") {
                ("900", 2 * SEC)
            } else {
                ("2900", SEC)
            };
            let (taken, seen) = (
                rig.relay.counts.all()["taken"],
                rig.server_state.seen.load(SeqCst),
            );
            let h = rig.with(move |r, w| {
                Box::pin(async move {
                    let (r2, w2) = (r.clone(), w.clone());
                    let heads = vec![("patience".to_string(), patience.to_string())];
                    let one = w.spawn_all(vec![Box::pin(async move {
                        call(&w2, r2.address, "t", "/once/x", &heads, "b").await
                    })
                        as BoxFuture<'static, Answer>]);
                    w.sleep(step * 10).await;
                    let front = r.sim.find("front");
                    r.sim.freeze(front);
                    w.sleep(20 * MS).await;
                    let (had, ran) = (
                        r.relay.counts.all()["taken"] > taken,
                        r.server_state.seen.load(SeqCst) > seen,
                    );
                    w.sleep(still).await;
                    change(&r);
                    r.sim.thaw(front);
                    let h = one.recv().await.unwrap();
                    (h, had, ran)
                })
            });
            let (h, had, ran) = h;
            let runs = rig.runs("t").len();
            match (had, ran) {
                (true, false) => {
                    caught += 1;
                    if (h.status, runs) != (503, 0) {
                        wrong.push(format!(
                            "{what}, frozen {} us after the call: {} and {runs} runs",
                            step * 10,
                            h.status
                        ));
                    }
                }
                (true, true) => {
                    served += 1;
                    if runs != 1 || h.status == 503 {
                        wrong.push(format!(
                            "{what}, sent before the freeze: {} and {runs} runs",
                            h.status
                        ));
                    }
                }
                // The request itself had not been read: it is dealt with as one that comes after
                // the freeze.
                (false, _) => assert!(runs <= 1 && (h.status != 503 || runs == 0), "{what}: {h:?}"),
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {caught}: {wrong:#?}", wrong.len());
    assert!(caught > 20 && served > 20, "{caught} {served}");
}

#[test]
fn a_stopping_front_takes_what_still_comes_and_finishes_what_it_has() {
    let rig = Rig::new(90, 2);
    rig.act("a0", &[Act::Slow(700 * MS)]);
    rig.act("a1", &[Act::Slow(700 * MS)]);
    let hs = rig.with(|r, w| {
        Box::pin(async move {
            let one = {
                let (r, w2) = (r.clone(), w.clone());
                w.spawn_all(vec![Box::pin(async move {
                    call(&w2, r.address, "slow", "/once/x", &[], "").await
                }) as BoxFuture<'static, Answer>])
            };
            w.sleep(100 * MS).await;
            r.connections.disable_keep_alive();
            let during = call(&w, r.address, "during", "/once/x", &[], "").await;
            r.connections.begin_shutdown();
            // In the backlog at this moment.
            let last = call(&w, r.address, "last", "/once/x", &[], "").await;
            let slow = one.recv().await.unwrap();
            r.connections.all_closed().await;
            (during, last, slow, w.connect(r.address).await.is_err())
        })
    });
    assert_eq!(
        (hs.0.status, hs.0.heads["connection"].as_str()),
        (200, "close")
    );
    assert_eq!(
        (hs.1.status, hs.2.status, hs.2.body.as_str(), hs.3),
        (200, 200, "good", true)
    );
}

#[test]
fn an_idle_caller_is_let_go_when_the_gate_closes() {
    let rig = Rig::new(91, 1);
    let t = rig.with(|r, w| {
        Box::pin(async move {
            let mut c = w.connect(r.address).await.unwrap();
            c.write_all(b"GET /pure/x HTTP/1.1\r\nhost: h.example\r\ntry: t\r\n\r\n")
                .await
                .unwrap();
            let mut b = [0; 4096];
            let n = c.read(&mut b).await.unwrap();
            assert!(n > 0);
            w.sleep(50 * MS).await;
            let t0 = w.now();
            r.connections.begin_shutdown();
            let rest = c.read(&mut b).await;
            assert!(matches!(rest, Ok(0)), "{rest:?}");
            r.connections.all_closed().await;
            w.now() - t0
        })
    });
    assert!(t < 200 * MS, "{t}");
}
