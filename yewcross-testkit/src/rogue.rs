//! A front that breaks its promises, one at a time, to show that each checker can fail.

use crate::proof::evidence::Ack;
use crate::proof::lab::Lab;
use crate::standin::Spec;
use http_types::Response;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use strum::{EnumIter, IntoStaticStr};
use yewcross_common::buffered_http::{
    self, BufferedRequest, ConnectionTracker, fetch, refuse, reply, stream,
};
use yewcross_common::constants::*;
use yewcross_common::hash::digest;
use yewcross_common::runtime::*;

#[derive(Clone, Copy, Debug, PartialEq, EnumIter, IntoStaticStr)]
pub enum Sin {
    OthersAnswer = 1,
    RunsTwice = 2,
    RunsRefused = 3,
    Overspends = 4,
    Forgets = 5,
    RepeatsPiece = 6,
    UsesLeaving = 7,
    OldConfig = 8,
    FalseAck = 9,
    UsesStranger = 10,
    Drops = 11,
    RefusesAll = 12,
    NoComeBack = 13,
}

struct Rogue {
    w: Runtime,
    lab: Arc<Lab>,
    sin: Sin,
    n: AtomicU64,
}

/// Takes the place of every front at the callers' side.
pub async fn start(lab: Arc<Lab>, runtime: Runtime, at: std::net::SocketAddr, sin: Sin) {
    let Ok(door) = runtime.bind(at).await else {
        return;
    };
    let r = Arc::new(Rogue {
        w: runtime.clone(),
        lab,
        sin,
        n: AtomicU64::new(0),
    });
    let h: buffered_http::Handler = Arc::new(move |j| Box::pin(answer(r.clone(), j)));
    buffered_http::serve(runtime, door, h, Arc::new(ConnectionTracker::default())).await;
}

/// What a rogue needs around it to show its fault.
pub async fn prepare(lab: &Arc<Lab>, sin: Sin) {
    match sin {
        Sin::UsesLeaving => lab.leave("m1"),
        Sin::UsesStranger => {
            let b = Spec {
                server: "x9".into(),
                addr: crate::proof::lab::stranger(),
                ..lab.sh.backs[0].clone()
            };
            let m = lab.sim.machine("x9", &b.site, b.addr.ip());
            lab.boot_back(lab.sim.boot(m), b);
        }
        Sin::Drops => lab
            .planned
            .lock()
            .unwrap()
            .push((lab.sim.now(), lab.sim.now())),
        Sin::OldConfig => {
            lab.put("core1", 2, "newer").await;
        }
        Sin::FalseAck => {
            let a = Ack {
                sent: 0,
                at: lab.sim.now(),
                base: 2,
                mark: "never".into(),
                code: 1000,
                version: 9,
            };
            lab.acks.lock().unwrap().push(a);
        }
        _ => {}
    }
}

async fn at_server(r: &Rogue, job: &str, v: &Value, server: &str) -> Value {
    let b = r
        .lab
        .sh
        .backs
        .iter()
        .find(|b| b.server == server)
        .map(|b| b.addr)
        .unwrap_or(crate::proof::lab::stranger());
    let q = json!({"job": job, "session": format!("session/{}/{}", v["program"].as_str().unwrap_or(""), v["session"].as_str().unwrap_or("")),
        "program": v["program"], "prompt": "hello\t", "max_output": v["max_output"], "horizon_ms": 6000});
    let got = fetch(
        &r.w,
        b,
        http_types::Method::Post,
        "/turn",
        &[],
        q.to_string().into_bytes(),
        5 * SEC,
    )
    .await;
    let text = got
        .map(|x| String::from_utf8_lossy(&x.2).into_owned())
        .unwrap_or_default();
    let whole: String = text
        .lines()
        .filter_map(|l| serde_json::from_str::<Value>(l).ok())
        .filter_map(|l| l["text"].as_str().map(|s| s.to_string()))
        .collect();
    json!({"text": whole})
}

async fn answer(r: Arc<Rogue>, j: BufferedRequest) -> Response {
    let n = r.n.fetch_add(1, SeqCst);
    let v: Value = serde_json::from_slice(&j.body).unwrap_or(Value::Null);
    let job = v["job"].as_str().unwrap_or("").to_string();
    if j.path != "/v1/turn" {
        let key = v["key"].as_str().unwrap_or("");
        return match r.sin {
            Sin::RefusesAll => refuse(yewcross_common::error_code::Code::NoServer, "", 1),
            _ => reply(
                200,
                &json!({"code": 1000, "value": format!("{key}={}", &digest(key.as_bytes())[..8]), "stamp": {"server": "l1", "job": job}}),
            ),
        };
    }
    let server = match r.sin {
        Sin::UsesLeaving => r
            .lab
            .left
            .lock()
            .unwrap()
            .first()
            .map(|l| l.1.clone())
            .unwrap_or("m1".into()),
        Sin::UsesStranger => "x9".into(),
        _ => "m1".into(),
    };
    match r.sin {
        Sin::RefusesAll => return refuse(yewcross_common::error_code::Code::NoServer, "", 1),
        Sin::NoComeBack => return refuse(yewcross_common::error_code::Code::NoServer, "", 0),
        _ => {}
    }
    let shot = format!("{n:x}");
    let got = at_server(&r, &format!("{job}#{shot}"), &v, &server).await;
    if r.sin == Sin::RunsTwice {
        at_server(&r, &job, &v, "m2").await;
    }
    if r.sin == Sin::RunsRefused {
        let mut no = refuse(yewcross_common::error_code::Code::NoServer, "", 1);
        no.insert_header("yewcross-shot", shot);
        return no;
    }
    let text = got["text"].as_str().unwrap_or("").to_string();
    let said = if r.sin == Sin::OthersAnswer {
        "another".to_string()
    } else {
        job
    };
    let mut e = json!({"end": true, "code": 1000, "pieces": 1, "digest": digest(text.as_bytes()), "replayed": false,
        "usage": {"prompt": 2, "reused": 0, "output": v["max_output"]}, "stamp": {"server": server, "job": said}});
    let mut out = if v["stream"] == json!(true) {
        let (tx, rx) = async_channel::bounded::<Vec<u8>>(4);
        let p = format!("{}\n", json!({"n": 0, "text": text})).into_bytes();
        let _ = tx.try_send(p.clone());
        if r.sin == Sin::RepeatsPiece {
            let _ = tx.try_send(p);
        }
        if r.sin != Sin::Drops || !n.is_multiple_of(7) {
            let _ = tx.try_send(format!("{e}\n").into_bytes());
        }
        stream(rx)
    } else {
        e["text"] = json!(text);
        reply(200, &e)
    };
    if r.sin == Sin::OldConfig {
        out.insert_header("yewcross-config", "1");
    }
    out
}
