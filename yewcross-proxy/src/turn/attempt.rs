//! One attempt at a server: the request, its pieces, its verified end.

use crate::back::{Back, Lines, Sent, Stamp, Verified};
use crate::judge::Pick;
use crate::turn::answer::{Event, Kept, Out};
use crate::turn::request::tokens;
use crate::turn::state::{Begun, Ran};
use crate::{Front, kv, server_table};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{BACK_WAIT, MS, PIECE_WAIT};
use yewcross_common::hash::digest;
use yewcross_common::protocol::ListedServer;

#[derive(Deserialize)]
struct Piece {
    n: u64,
    text: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct End {
    pub end: bool,
    pub pieces: u64,
    pub digest: String,
    pub prompt: u64,
    pub reused: u64,
    pub output: u64,
    #[serde(default)]
    pub placed: u64,
    pub stamp: Stamp,
}

pub(super) enum Shot {
    Ran(Box<Ran>),
    /// The server said so itself, or nothing was sent.
    NotRun(Box<Begun>),
    Lost(Box<Begun>, bool),
    /// Cut short for want of a listener, after so many tokens.
    Left(Box<Begun>, u64),
}

pub(super) fn shot_id(g: &Begun) -> String {
    format!("{}#{:x}", g.r.b.job, g.shot)
}

pub(super) async fn shot(f: &Arc<Front>, g: Begun, p: &Pick, b: Back<Verified>, out: &Out) -> Shot {
    let job = shot_id(&g);
    let mut prompt = g.hist.clone();
    prompt.extend(&g.ask);
    let left = g.r.horizon.saturating_sub(f.runtime.now());
    // Fenced last: what was decided before a freeze is decided again.
    if !f.watcher.may_serve()
        || !server_table::fit(f, &g.r.fam.service)
            .iter()
            .any(|s| s.at == p.server.at)
    {
        return Shot::NotRun(Box::new(g));
    }
    let body = json!({"job": job, "session": g.r.key, "program": g.r.b.program, "service": g.r.fam.service,
        "prompt": String::from_utf8_lossy(&prompt), "max_output": g.r.max_out, "horizon_ms": left / MS});
    let p_at = p.server.at.clone();
    let started = f.runtime.now();
    let mut r = match b
        .send(
            &f.runtime,
            "/turn",
            serde_json::to_vec(&body).unwrap_or_default(),
            left + PIECE_WAIT,
        )
        .await
    {
        Sent::Answered(r) => r,
        Sent::Lost => return Shot::Lost(Box::new(g), false),
    };
    if !r.status().is_success() {
        let v = f
            .runtime
            .timeout(
                BACK_WAIT,
                yewcross_common::buffered_http::body(&mut r, 64 << 10),
            )
            .await
            .and_then(|v| v.ok())
            .unwrap_or_default();
        let v: Value = serde_json::from_slice(&v).unwrap_or_default();
        let said = v["refused"] == json!(true)
            && serde_json::from_value::<Stamp>(v["stamp"].clone())
                .is_ok_and(|s| b.stamped(&s, &job));
        return if said {
            Shot::NotRun(Box::new(g))
        } else {
            Shot::Lost(Box::new(g), false)
        };
    }
    let mut lines = Lines::of(&mut r);
    let (mut n, mut text) = (0u64, String::new());
    loop {
        let until = g.r.horizon + PIECE_WAIT;
        let Some(l) = lines
            .next(
                &f.runtime,
                PIECE_WAIT.min(until.saturating_sub(f.runtime.now())),
            )
            .await
        else {
            return Shot::Lost(Box::new(g), n > 0);
        };
        if let Ok(p) = serde_json::from_slice::<Piece>(&l) {
            if p.n != n || tokens(text.len() + p.text.len()) > g.r.max_out + 1 {
                f.counts.broken.fetch_add(1, SeqCst);
                return Shot::Lost(Box::new(g), n > 0);
            }
            text += &p.text;
            n += 1;
            let gone = out.send(Event::Piece(p.n, p.text)).await.is_err();
            // A run that may be repeated is cut short when nobody listens; one that may not goes on
            // and is kept.
            if gone && g.r.fam.repeatable {
                f.counts.cancelled.fetch_add(1, SeqCst);
                // What was passed on is not what it put out: only its own stamped word says less
                // than all.
                let said = cancel(f, &p_at, &g.r.fam.service, &job).await;
                let used = said
                    .filter(|c| b.stamped(&c.stamp, &job))
                    .and_then(|c| c.output)
                    .unwrap_or(g.r.max_out)
                    .min(g.r.max_out);
                return Shot::Left(Box::new(g), used);
            }
            continue;
        }
        let e = serde_json::from_slice::<End>(&l).ok();
        let whole = e.filter(|e| {
            e.end
                && e.pieces == n
                && e.digest == digest(text.as_bytes())
                && b.stamped(&e.stamp, &job)
        });
        let Some(e) = whole else {
            f.counts.broken.fetch_add(1, SeqCst);
            return Shot::Lost(Box::new(g), n > 0);
        };
        if lines.drained(&f.runtime).await {
            f.pool.put(&f.runtime, b);
        }
        f.admission
            .served_in(&g.r.fam.service, f.runtime.now() - started);
        kv::count(f, &g.r.fam, &g.kv, &e.stamp.server, e.prompt, e.reused);
        let stamp = Stamp {
            job: g.r.b.job.clone(),
            ..e.stamp
        };
        let kept = Kept {
            digest: e.digest,
            prompt: e.prompt,
            reused: e.reused,
            output: e.output.min(g.r.max_out),
            stamp,
            text,
        };
        return Shot::Ran(Box::new(Ran {
            g,
            kept,
            placed: e.placed,
            pieces: n,
        }));
    }
}

#[derive(Deserialize)]
pub(super) struct Stopped {
    pub(super) output: Option<u64>,
    pub(super) stamp: Stamp,
}

pub(super) async fn cancel(
    front: &Arc<Front>,
    at: &ListedServer,
    svc: &str,
    job: &str,
) -> Option<Stopped> {
    let b = serde_json::to_vec(&json!({"job": job})).unwrap_or_default();
    let v = crate::back::ask_once(
        &front.runtime,
        &front.pool,
        svc,
        &at.server,
        at.addr,
        "/cancel",
        b,
        BACK_WAIT,
    )
    .await?;
    serde_json::from_slice(&v).ok()
}
