//! Bad input at every door: answered at once with its own code or closed, nothing touched, never a
//! panic or a hang.

use serde_json::{Value, json};
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::{Configuration, Rule};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_testkit::caller::{self, Outcome};
use yewcross_testkit::http_transcript::{exchange, request};
use yewcross_testkit::proof::with_cluster;

const TURN: &str = r#"{"program":"chargeback","session":"s","job":"j1","budget":"chargeback","horizon_ms":2000,"messages":[{"role":"user","text":"hello"}],"max_output":16,"stream":true}"#;
const LOOKUP: &str =
    r#"{"service":"settlement","method":"confirm","key":"k1","horizon_ms":1000,"job":"o1"}"#;
const ODD: [&str; 12] = [
    "-1",
    "18446744073709551615",
    "1e400",
    "null",
    "[]",
    "{}",
    "\"\"",
    "\"\\u0000\"",
    "true",
    "0.5",
    "\"/\"",
    "[[[[[[[[[[[[[[[[[[",
];

/// The text with one thing wrong: a value made odd, a piece cut, doubled, or some bytes turned.
fn spoil(r: &mut fastrand::Rng, text: &str) -> Vec<u8> {
    let mut b = text.as_bytes().to_vec();
    match r.u8(0..5) {
        0 => b.truncate(r.usize(0..b.len())),
        1 => (0..r.usize(1..6)).for_each(|_| {
            let i = r.usize(0..b.len());
            b[i] = r.u8(..);
        }),
        2 => {
            let (i, n) = (r.usize(0..b.len()), r.usize(0..40));
            let piece = b[i..(i + n).min(b.len())].to_vec();
            b.splice(i..i, piece);
        }
        3 => b
            .splice(0..0, "[".repeat(r.usize(1..2000)).into_bytes())
            .for_each(drop),
        _ => {
            let at: Vec<usize> = text.match_indices(':').map(|x| x.0 + 1).collect();
            let i = at[r.usize(0..at.len())];
            let end = text[i..].find([',', '}']).map_or(text.len(), |n| i + n);
            b.splice(i..end, ODD[r.usize(0..ODD.len())].bytes())
                .for_each(drop);
        }
    }
    b
}

fn http(r: &mut fastrand::Rng, verb: &str, path: &str, body: &str) -> Vec<u8> {
    let heads = "if-match: \"2\"\r\n";
    if r.u8(0..4) == 0 {
        return spoil(r, &request(verb, path, heads, body));
    }
    let b = spoil(r, body);
    let mut q =
        format!("{verb} {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\n{heads}content-length: {}\r\n\r\n", b.len()).into_bytes();
    q.extend(b);
    q
}

#[test]
fn spoiled_requests_and_frames_touch_nothing() {
    let (answers, bad, last, odd) = with_cluster(
        51,
        |_| (),
        |lab| {
            Box::pin(async move {
                let mut r = fastrand::Rng::with_seed(51);
                let (f, c) = (
                    lab.topology.nodes_with_role(Role::Front)[0].clone(),
                    lab.topology.nodes_with_role(Role::Core)[0].clone(),
                );
                let conf = lab.config.lock().unwrap().to_string();
                let found =
                    json!({"cores": ["core1", "core2", "core3"], "stores": ["store1"]}).to_string();
                let doors = [
                    (f.http, "POST", "/v1/turn", TURN),
                    (f.http, "POST", "/v1/lookup", LOOKUP),
                    (
                        f.http,
                        "POST",
                        "/v1/session/end",
                        r#"{"program":"chargeback","session":"s"}"#,
                    ),
                    (c.http, "PUT", "/v1/config?dry=1", conf.as_str()),
                    (c.http, "POST", "/v1/found", found.as_str()),
                    (c.http, "POST", "/v1/disks/:x/replace/:y", "{:}"),
                    (c.http, "GET", "/v1/config/:9", "{:}"),
                ];
                let (mut answers, mut bad) = (0, vec![]);
                for i in 0..420 {
                    let (to, verb, path, body) = doors[i % doors.len()];
                    let q = http(&mut r, verb, path, body);
                    let t0 = lab.sim.now();
                    let a = exchange(&lab.operator, to, &[&q], 0).await;
                    answers += a.starts_with("HTTP/1.1 ") as usize;
                    // A head or body that never comes whole is waited for, five seconds each.
                    let slow = lab.sim.now() > t0 + 11 * SEC;
                    if slow || a.starts_with("HTTP/1.1 500") || a.starts_with("refused") {
                        bad.push(format!("{}: {a}", String::from_utf8_lossy(&q)));
                    }
                }
                // Frames: spoiled questions under a sound frame, and bytes that are no frame.
                let asks = [
                    json!({"Begin": {"key": "session/p/s", "job": "j", "digest": "d", "nonce": 1, "front": "f", "left": 1, "budget": ["b", 1],
                    "max_out": 1, "keep": 1, "hand": null}}),
                    json!({"Newer": {"have": [["config", 2]], "front": true}}),
                    json!({"Adopt": {"name": "config", "seq": 1, "epoch": {"n": 1, "by": 1}}}),
                    json!({"Reg": {"Accept": {"key": "k", "epoch": {"n": 1, "by": 1}, "seq": 1, "lay": 1, "delta": true}}}),
                    json!({"Reserve": {"budget": "b", "entry": "e", "amount": 1, "limit": 1, "key": "k", "job": "j", "nonce": 1, "keep": 1}}),
                    json!({"Commit": {"key": "session/p/s", "job": "j", "epoch": 1, "nonce": 1, "code": "Done", "used": 1, "rule": {"turns": 1},
                    "kv": {"home": null, "replica": null, "program": ""}, "hist": 1}}),
                    json!({"News": {"service": "llm", "reports": [], "same": ["m1"], "relay": true}}),
                    json!({"Probe": {"dig": 1}}),
                ];
                for i in 0..240 {
                    let to = lab.topology.nodes[i % lab.topology.nodes.len()].peer;
                    let body = spoil(&mut r, &asks[i % asks.len()].to_string());
                    let blob: Vec<u8> = (0..r.usize(0..64)).map(|_| r.u8(..)).collect();
                    let mut b = yewcross_common::transport::encode_frame(
                        WIRE_VERSION,
                        i as u64,
                        false,
                        "nobody",
                        "z1",
                        &body,
                        &blob,
                    );
                    if i % 5 == 0 {
                        let k = r.usize(0..b.len());
                        b[k] ^= 1 << r.u8(0..8);
                    }
                    lab.operator
                        .timeout(SEC, exchange(&lab.operator, to, &[&b], 0))
                        .await;
                }
                lab.operator.sleep(3 * SEC).await;
                let a = caller::TurnRequest {
                    program: "chargeback".into(),
                    session: "sound".into(),
                    job: "sound".into(),
                    budget: "chargeback".into(),
                    horizon_ms: 6000,
                    text: "hello".into(),
                    max_output: 16,
                    stream: false,
                };
                let last = caller::send_turn(&lab.operator, f.http, &a).await;
                let odd = lab
                    .control("store1")
                    .unwrap()
                    .peers
                    .rejected_frames
                    .load(SeqCst);
                (answers, bad, (last.outcome, lab.version().await), odd)
            })
        },
    );
    println!(
        "seed 51: {answers} of 420 spoiled requests were answered, the rest closed; {odd} odd frames at store1"
    );
    assert!(bad.is_empty(), "{bad:?}");
    assert!(answers > 300);
    assert_eq!(last, (Outcome::Done, 2));
}

/// Settings at the ends of their ranges overflowed: a session to be kept for ever was forgotten at
/// once.
#[test]
fn settings_at_the_ends_of_their_ranges_hold() {
    let conf = |k: &str, v: Value| {
        json!({"families": {"a": {"set": {k: v}}}, "services": {"llm": {"allow": ["m1"]}}})
            .to_string()
    };
    assert!(Configuration::read(conf("keep_ms", json!(u64::MAX)).as_bytes()).is_err());
    [
        Rule::All,
        Rule::Turns(usize::MAX),
        Rule::Turns(1),
        Rule::Tokens(u64::MAX),
        Rule::Tokens(1),
    ]
    .into_iter()
    .for_each(|r| {
        let mut h = b"one\ntwo\n".to_vec();
        r.trim(&mut h);
        assert!(h.ends_with(b"two\n"));
    });
    // Whatever is read as a configuration can be used as one.
    arbtest::arbtest(|u| {
        let odd: String = format!("{}", u.int_in_range(0..=u64::MAX)?);
        let key = u.choose(&[
            "history",
            "max_output",
            "horizon_ms",
            "keep_ms",
            "kv_session_bytes",
            "judge_load",
        ])?;
        let v = if *key == "history" {
            json!({"turns": odd.parse::<u64>().unwrap()})
        } else {
            json!(odd.parse::<u64>().unwrap())
        };
        if let Ok(t) = Configuration::read(conf(key, v).as_bytes()) {
            let mut h = b"one\ntwo\nthree\n".to_vec();
            t.families["a"].settings.history.trim(&mut h);
            assert!(h.ends_with(b"three\n"));
        }
        let any: Vec<u8> = u.arbitrary()?;
        let _ = (
            Configuration::read(&any),
            yewcross_state::records::SessionRecord::read(&any),
            yewcross_state::records::BudgetRecord::read(&any),
        );
        let _ = (
            yewcross_common::storage::decode_frame(&any),
            yewcross_common::documents::delta::apply(b"some\nold\n", &any),
        );
        let _ = (
            serde_json::from_slice::<PeerRequest>(&any),
            serde_json::from_slice::<PeerResponse>(&any),
        );
        Ok(())
    });
}

/// A server that reports absurd figures must not bring a front down: sums overflowed.
#[test]
fn a_server_with_absurd_figures_harms_only_itself() {
    let done = with_cluster(
        52,
        |_| (),
        |lab| {
            Box::pin(async move {
                let m = lab.sim.find("m1");
                lab.sim.kill(m, false);
                let b = lab
                    .topology
                    .servers
                    .iter()
                    .find(|b| b.server == "m1")
                    .cloned()
                    .unwrap();
                let absurd = yewcross_testkit::stub_server::StubServerSettings {
                    slots: u32::MAX,
                    prefill_us_per_1000: u64::MAX,
                    output_us: u64::MAX,
                    cache_tokens: u64::MAX,
                    ..b
                };
                let w = lab.sim.boot(m);
                yewcross_testkit::stub_server::StubServer::start(
                    &w,
                    absurd,
                    lab.execution_log.clone(),
                )
                .await
                .unwrap();
                lab.operator.sleep(2 * SEC).await;
                let mut done = 0;
                for i in 0..12 {
                    let a = caller::TurnRequest {
                        program: "chargeback".into(),
                        session: format!("s{i}"),
                        job: "j".into(),
                        budget: "chargeback".into(),
                        horizon_ms: 6000,
                        text: "hello".into(),
                        max_output: 16,
                        stream: true,
                    };
                    done += (caller::send_turn(
                        &lab.operator,
                        lab.topology.nodes_with_role(Role::Front)[i % 2].http,
                        &a,
                    )
                    .await
                    .outcome
                        == Outcome::Done) as usize;
                }
                done
            })
        },
    );
    assert_eq!(done, 12);
}
