//! Keeps a turn's outcome in the store, whatever it is.

use crate::turn::answer::{Event, Out, no};
use crate::turn::request::tokens;
use crate::turn::state::{Begun, Ran};
use crate::{Front, kv};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::{Ask, Commit, Kv, Place, Tell};
use yewcross::code::Code;
use yewcross::consts::{BACK_SOON, MS};
use yewcross::hash::digest;

/// One round trip: history, outcome and budget are on a majority before the end line goes out.
pub(super) async fn keep(f: Arc<Front>, x: Ran, out: &Out) {
    let Ran { g, kept, placed, pieces } = x;
    let mut line = g.ask.clone();
    line.extend(serde_json::to_vec(&kept.text).unwrap_or_default());
    let mut prefix = g.hist.clone();
    prefix.extend(&line);
    line.push(b'\n');
    let mut hist = g.hist.clone();
    hist.extend(&line);
    g.r.fam.history.trim(&mut hist);
    let home = Place {
        server: kept.stamp.server.clone(),
        inst: kept.stamp.inst,
        weights: kept.stamp.weights.clone(),
        tokens: tokens(prefix.len()),
        digest: digest(&prefix),
        mark: placed,
    };
    let pushed = f.replicas.lock().unwrap().get(&g.r.key).cloned();
    let replica =
        pushed.or(g.kv.replica.clone()).filter(|r| r.weights == home.weights && r.server != home.server && g.kv.program == g.r.b.program);
    let kv = Kv { home: Some(home), replica, program: g.r.b.program.clone() };
    let c = Commit {
        key: g.r.key.clone(),
        job: g.r.b.job.clone(),
        epoch: g.epoch,
        nonce: g.nonce,
        code: Code::Done,
        used: kept.output,
        rule: g.r.fam.history,
        kv: kv.clone(),
        hist: line.len() as u64,
    };
    let mut blob = line;
    blob.extend(serde_json::to_vec(&kept).unwrap_or_default());
    let a = Ask::Commit(c);
    loop {
        match f.store(&g.r.key, &a, &blob, 1).await {
            Some((Tell::Committed, _)) => break,
            Some((Tell::No(Code::MayHaveRun), _)) => return no(out, Code::MayHaveRun, "the session went on without it", 0).await,
            _ if f.w.now() > g.r.horizon => return no(out, Code::Undecided, "the outcome is not yet kept", BACK_SOON).await,
            _ => f.w.sleep(30 * MS).await,
        }
    }
    f.counts.done.fetch_add(1, SeqCst);
    f.remember(&g.r.key, hist);
    let _ = out.send(Event::End(Box::new(kept), pieces, false)).await;
    kv::share(f, kv::Fresh { key: g.r.key, epoch: g.epoch, kv, fam: g.r.fam }).await;
}

/// Sent, and its outcome lost: told at once, then closed for good as "may have run", its reservation spent in full.
pub(super) async fn lost(f: &Arc<Front>, g: Begun, out: &Out) {
    f.counts.lost.fetch_add(1, SeqCst);
    no(out, Code::MayHaveRun, "", 0).await;
    let all = g.r.max_out;
    close(f, g, Code::MayHaveRun, all).await;
}

pub(super) async fn close(f: &Arc<Front>, g: Begun, code: Code, used: u64) {
    let c = Commit {
        key: g.r.key.clone(),
        job: g.r.b.job.clone(),
        epoch: g.epoch,
        nonce: g.nonce,
        code,
        used,
        rule: g.r.fam.history,
        kv: Kv { home: None, ..g.kv.clone() },
        hist: 0,
    };
    f.store(&g.r.key, &Ask::Commit(c), &[], 4).await;
}
