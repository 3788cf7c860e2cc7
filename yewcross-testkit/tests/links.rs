//! Links between nodes: an answer counts only for the question it was given to, on the connection
//! that carried it.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::runtime::*;
use yewcross_common::transport::{
    Envelope, PeerClient, Reply, RequestHandler, SendError, encode_frame,
};
use yewcross_testkit::sim::Sim;

const ASKER: &str = "10.0.0.1";
const ASKED: &str = "10.0.0.2:70";

/// What an ask came to: the name that the answer carries inside, or how it was lost.
type Said = Result<String, SendError>;

async fn ask(peers: &Arc<PeerClient>, question: &str, us: u64) -> Said {
    let to: SocketAddr = ASKED.parse().unwrap();
    let got = peers
        .request(
            to,
            &PeerRequest::ExchangeMembership { nodes: vec![] },
            question.as_bytes(),
            us,
        )
        .await;
    got.map(|(_, blob)| String::from_utf8(blob).unwrap())
}

fn answer(id: u64, text: &str) -> Vec<u8> {
    encode_frame(
        WIRE_VERSION_MIN,
        id,
        true,
        "asked",
        "z",
        &serde_json::to_vec(&PeerResponse::Ok).unwrap(),
        text.as_bytes(),
    )
}

/// Runs `f` on a machine to its end.
fn play<T: Send + 'static>(
    sim: &Sim,
    runtime: &Runtime,
    f: impl Future<Output = T> + Send + 'static,
) -> T {
    let out: Arc<Mutex<Option<T>>> = Default::default();
    let o = out.clone();
    runtime.spawn(async move {
        let x = f.await;
        *o.lock().unwrap() = Some(x);
    });
    sim.run(sim.now() + 60 * SEC, || out.lock().unwrap().is_some());
    out.lock().unwrap().take().expect("it came to its end")
}

/// A node that answers the `n`th question it reads, over all connections, with the frames of
/// `script(n)`; where there are none, it closes the connection. Questions of these tests come one
/// at a time, so one read holds one.
async fn scripted(
    runtime: Runtime,
    script: impl Fn(usize) -> Vec<Vec<u8>> + Send + Sync + 'static,
) {
    let door = runtime.bind(ASKED.parse().unwrap()).await.unwrap();
    let (script, asked) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
    while let Ok(mut c) = door.accept().await {
        let (script, asked) = (script.clone(), asked.clone());
        runtime.spawn(async move {
            let mut buf = [0; 4096];
            while let Ok(n) = c.read(&mut buf).await {
                let frames = if n > 0 {
                    script(asked.fetch_add(1, SeqCst) + 1)
                } else {
                    vec![]
                };
                if frames.is_empty() {
                    let _ = c.close().await;
                    return;
                }
                for f in frames {
                    let _ = c.write_all(&f).await;
                }
            }
        });
    }
}

#[test]
fn answers_to_other_questions_are_dropped() {
    let sim = Sim::new(1, 1_000);
    let (a, b) = (
        sim.add_machine("asker", "z", ASKER.parse().unwrap()),
        sim.add_machine("asked", "z", "10.0.0.2".parse().unwrap()),
    );
    let (w, wb) = (sim.boot(a), sim.boot(b));
    wb.spawn(scripted(wb.clone(), |n| match n {
        // The same answer twice, and one to a question that is yet to come.
        1 => vec![answer(1, "one"), answer(1, "one again"), answer(3, "early")],
        // An answer to the question before, and one to none.
        2 => vec![
            answer(1, "late"),
            answer(0, "none"),
            answer(99, "none"),
            answer(2, "two"),
        ],
        3 => vec![answer(3, "three")],
        // Nothing in time; it comes with the next.
        4 => vec![answer(2, "two again")],
        5 => vec![answer(4, "four, too late"), answer(5, "five")],
        // The connection ends; what was asked on it is answered on the next.
        6 => vec![],
        _ => vec![answer(6, "six, on another connection"), answer(7, "seven")],
    }));
    let w2 = w.clone();
    let said = play(&sim, &w, async move {
        let p = PeerClient::new(&w2, "asker", "z", WIRE_VERSION_MIN);
        let mut v = vec![];
        for i in 1..=7 {
            v.push(ask(&p, &format!("question {i}"), 300 * MS).await);
            w2.sleep(10 * MS).await;
        }
        v
    });
    let ok = |s: &str| Ok(s.to_string());
    assert_eq!(
        said,
        [
            ok("one"),
            ok("two"),
            ok("three"),
            Err(SendError::OutcomeUnknown),
            ok("five"),
            Err(SendError::OutcomeUnknown),
            ok("seven")
        ]
    );
}

/// Says which process it is and what it was asked; the first question takes it long.
struct Slow {
    w: Runtime,
    name: &'static str,
    asked: AtomicUsize,
}

impl RequestHandler for Slow {
    fn handle(self: Arc<Self>, p: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let first = self.asked.fetch_add(1, SeqCst) == 0;
            self.w.sleep(if first { 400 * MS } else { 600 * MS }).await;
            let text = format!("{} to {}", self.name, String::from_utf8_lossy(&p.payload));
            Reply {
                message: serde_json::to_vec(&PeerResponse::Ok).unwrap(),
                payload: text.into_bytes(),
            }
        })
    }
}

async fn listen(runtime: Runtime, name: &'static str) {
    let door = runtime.bind(ASKED.parse().unwrap()).await.unwrap();
    let slow = Arc::new(Slow {
        w: runtime.clone(),
        name,
        asked: AtomicUsize::new(0),
    });
    PeerClient::new(&runtime, name, "z", WIRE_VERSION_MIN)
        .serve(door, slow)
        .await;
}

/// Each process counts its questions from one, so the numbers alone would not tell two lives of an
/// asker apart.
#[test]
fn an_answer_to_an_earlier_process_does_not_reach_the_next() {
    for power in [false, true] {
        let sim = Sim::new(2, 1_000);
        let (a, b) = (
            sim.add_machine("asker", "z", ASKER.parse().unwrap()),
            sim.add_machine("asked", "z", "10.0.0.2".parse().unwrap()),
        );
        let (w, wb) = (sim.boot(a), sim.boot(b));
        wb.spawn(listen(wb.clone(), "asked"));
        sim.run(10 * MS, || false);
        let w2 = w.clone();
        w.spawn(async move {
            let p = PeerClient::new(&w2, "asker", "z", WIRE_VERSION_MIN);
            let _ = ask(&p, "the old question", 2 * SEC).await;
        });
        sim.run(200 * MS, || false);
        sim.kill(a, power);
        sim.power_on(a);
        let w = sim.boot(a);
        let w2 = w.clone();
        let said = play(&sim, &w, async move {
            let p = PeerClient::new(&w2, "asker", "z", WIRE_VERSION_MIN);
            ask(&p, "the new question", 2 * SEC).await
        });
        assert_eq!(
            said,
            Ok("asked to the new question".into()),
            "power {power}"
        );
    }
}

/// What was asked of a node that is gone is lost, however soon another one answers at its address.
#[test]
fn a_successor_at_the_address_answers_only_what_it_was_asked() {
    for power in [false, true] {
        let sim = Sim::new(3, 1_000);
        let (a, b) = (
            sim.add_machine("asker", "z", ASKER.parse().unwrap()),
            sim.add_machine("asked", "z", "10.0.0.2".parse().unwrap()),
        );
        let (w, wb) = (sim.boot(a), sim.boot(b));
        wb.spawn(listen(wb.clone(), "first"));
        sim.run(10 * MS, || false);
        let p = PeerClient::new(&w, "asker", "z", WIRE_VERSION_MIN);
        let said: Arc<Mutex<Vec<Said>>> = Default::default();
        let (p2, s2) = (p.clone(), said.clone());
        w.spawn(async move {
            let x = ask(&p2, "a question to the first", 5 * SEC).await;
            s2.lock().unwrap().push(x);
        });
        sim.run(200 * MS, || false);
        sim.kill(b, power);
        sim.power_on(b);
        let wb = sim.boot(b);
        wb.spawn(listen(wb.clone(), "second"));
        let (w2, p2) = (w.clone(), p.clone());
        let next = play(&sim, &w, async move {
            loop {
                match ask(&p2, "a question to the second", SEC).await {
                    Ok(text) => return text,
                    Err(_) => w2.sleep(100 * MS).await,
                }
            }
        });
        sim.run(sim.now() + 6 * SEC, || false);
        assert_eq!(next, "second to a question to the second", "power {power}");
        assert_eq!(
            *said.lock().unwrap(),
            [Err(SendError::OutcomeUnknown)],
            "power {power}"
        );
    }
}
