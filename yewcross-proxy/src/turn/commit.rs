//! Keeps a turn's outcome in the store, whatever it is.

use crate::turn::answer::{Event, Out, no};
use crate::turn::request::tokens;
use crate::turn::state::{Begun, Ran};
use crate::{Front, kv};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{BACK_SOON, MS};
use yewcross_common::error_code::Code;
use yewcross_common::hash::digest;
use yewcross_common::protocol::{
    CachedPrefix, CommitTurn, PeerRequest, PeerResponse, SessionCacheState,
};

/// One round trip: history, outcome and budget are on a majority before the end line goes out.
pub(super) async fn keep(front: Arc<Front>, x: Ran, out: &Out) {
    let Ran {
        g,
        kept,
        placed,
        pieces,
    } = x;
    let mut line = g.ask.clone();
    line.extend(serde_json::to_vec(&kept.text).unwrap_or_default());
    let mut prefix = g.hist.clone();
    prefix.extend(&line);
    line.push(b'\n');
    let mut hist = g.hist.clone();
    hist.extend(&line);
    g.r.fam.history.trim(&mut hist);
    let home = CachedPrefix {
        server: kept.stamp.server.clone(),
        instance: kept.stamp.inst,
        weights: kept.stamp.weights.clone(),
        tokens: tokens(prefix.len()),
        digest: digest(&prefix),
        placed_tokens: placed,
    };
    let pushed = front.replicas.lock().unwrap().get(&g.r.key).cloned();
    let replica = pushed.or(g.kv.replica.clone()).filter(|r| {
        r.weights == home.weights && r.server != home.server && g.kv.program == g.r.b.program
    });
    let kv = SessionCacheState {
        home: Some(home),
        replica,
        program: g.r.b.program.clone(),
    };
    let c = CommitTurn {
        key: g.r.key.clone(),
        request_id: g.r.b.job.clone(),
        epoch: g.epoch,
        nonce: g.nonce,
        code: Code::Done,
        used_tokens: kept.output,
        rule: g.r.fam.history,
        cache: kv.clone(),
        history_bytes: line.len() as u64,
    };
    let mut blob = line;
    blob.extend(serde_json::to_vec(&kept).unwrap_or_default());
    let a = PeerRequest::CommitTurn(c);
    loop {
        match front.store(&g.r.key, &a, &blob, 1).await {
            Some((PeerResponse::Committed, _)) => break,
            Some((PeerResponse::Rejected(Code::MayHaveRun), _)) => {
                return no(out, Code::MayHaveRun, "the session went on without it", 0).await;
            }
            _ if front.runtime.now() > g.r.horizon => {
                return no(
                    out,
                    Code::Undecided,
                    "the outcome is not yet kept",
                    BACK_SOON,
                )
                .await;
            }
            _ => front.runtime.sleep(30 * MS).await,
        }
    }
    front.counts.done.fetch_add(1, SeqCst);
    front.remember(&g.r.key, hist);
    let _ = out.send(Event::End(Box::new(kept), pieces, false)).await;
    kv::share(
        front,
        kv::Fresh {
            key: g.r.key,
            epoch: g.epoch,
            kv,
            fam: g.r.fam,
        },
    )
    .await;
}

/// Sent, and its outcome lost: told at once, then closed for good as "may have run", its
/// reservation spent in full.
pub(super) async fn lost(front: &Arc<Front>, g: Begun, out: &Out) {
    front.counts.lost.fetch_add(1, SeqCst);
    no(out, Code::MayHaveRun, "", 0).await;
    let all = g.r.max_out;
    close(front, g, Code::MayHaveRun, all).await;
}

pub(super) async fn close(front: &Arc<Front>, g: Begun, code: Code, used: u64) {
    let c = CommitTurn {
        key: g.r.key.clone(),
        request_id: g.r.b.job.clone(),
        epoch: g.epoch,
        nonce: g.nonce,
        code,
        used_tokens: used,
        rule: g.r.fam.history,
        cache: SessionCacheState {
            home: None,
            ..g.kv.clone()
        },
        history_bytes: 0,
    };
    front
        .store(&g.r.key, &PeerRequest::CommitTurn(c), &[], 4)
        .await;
}
