//! The answer to a caller: one JSON object, or a stream of lines.

use crate::Front;
use crate::back::Stamp;
use crate::turn::drive::drive;
use crate::turn::request::{TurnBody, check};
use http_types::Response;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, refuse, reply, stream, until};
use yewcross_common::constants::{BACK_SOON, HORIZON_LATE, HORIZON_MAX, MS};
use yewcross_common::error_code::Code;

/// What is kept of a done turn, and given again to whoever repeats its id.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Kept {
    pub text: String,
    pub digest: String,
    pub prompt: u64,
    pub reused: u64,
    pub output: u64,
    pub stamp: Stamp,
}

pub enum Event {
    No(Code, String, u64),
    Piece(u64, String),
    End(Box<Kept>, u64, bool),
}

pub async fn answer(front: Arc<Front>, j: BufferedRequest, nonce: u64) -> Response {
    let t0 = front.runtime.now();
    let b: TurnBody = match serde_json::from_slice(&j.body) {
        Ok(b) => b,
        Err(e) => return refuse(Code::BadBody, &e.to_string(), 0),
    };
    if let Err((c, w)) = check(&b) {
        return refuse(c, &w, 0);
    }
    let cap = front
        .documents
        .config
        .load()
        .1
        .families
        .get(&b.program)
        .map_or(HORIZON_MAX, |p| p.eff.horizon_ms);
    let end = t0 + b.horizon_ms.min(cap) * MS + HORIZON_LATE;
    // What is said at the last moment still has to be sent.
    let cut = end + HORIZON_LATE / 2;
    // As long as a turn's output may be: a caller that reads slowly holds no server up.
    let (tx, rx) = async_channel::unbounded();
    let (me, streamed) = (front.clone(), b.stream);
    front
        .runtime
        .spawn(async move { drive(me, b, t0, nonce, tx).await });
    let w = front.runtime.clone();
    let next = async move || {
        let left = end.saturating_sub(w.now());
        let late = Event::No(
            Code::StillRunning,
            "its horizon has passed".into(),
            BACK_SOON,
        );
        w.timeout(left, rx.recv())
            .await
            .unwrap_or(Ok(late))
            .unwrap_or(Event::No(Code::MayHaveRun, String::new(), 0))
    };
    if !streamed {
        let mut text = String::new();
        loop {
            match next().await {
                Event::No(c, w, back) => return refuse(c, &w, back),
                Event::Piece(_, t) => text += &t,
                Event::End(k, _, again) => {
                    if again {
                        text = k.text.clone();
                    }
                    return until(reply(200, &end_line(&k, 1, again, Some(&text))), cut);
                }
            }
        }
    }
    let mut x = match next().await {
        Event::No(c, w, back) => return refuse(c, &w, back),
        x => x,
    };
    let (otx, orx) = async_channel::bounded::<Vec<u8>>(64);
    front.runtime.spawn(async move {
        loop {
            let (v, last) = match x {
                Event::Piece(n, t) => (vec![json!({"n": n, "text": t})], false),
                Event::No(c, w, back) => {
                    let ran: &str = c.ran().into();
                    (vec![json!({"broken": true, "code": c.number(), "ran": ran, "why": w, "retry_after": back})], true)
                }
                Event::End(k, _, true) => (vec![json!({"n": 0, "text": k.text}), end_line(&k, 1, true, None)], true),
                Event::End(k, n, false) => (vec![end_line(&k, n, false, None)], true),
            };
            for l in v {
                let mut l = serde_json::to_vec(&l).unwrap_or_default();
                l.push(b'\n');
                if otx.send(l).await.is_err() {
                    return;
                }
            }
            if last {
                return;
            }
            x = next().await;
        }
    });
    until(stream(orx), cut)
}

pub(super) fn end_line(k: &Kept, pieces: u64, again: bool, text: Option<&str>) -> Value {
    let mut v = json!({"end": true, "code": Code::Done.number(), "pieces": pieces, "digest": k.digest, "replayed": again,
        "usage": {"prompt": k.prompt, "reused": k.reused, "output": k.output}, "stamp": k.stamp});
    text.iter().for_each(|t| v["text"] = json!(t));
    v
}

pub(super) type Out = async_channel::Sender<Event>;

pub(super) async fn no(out: &Out, c: Code, why: &str, back: u64) {
    let _ = out.send(Event::No(c, why.into(), back)).await;
}
