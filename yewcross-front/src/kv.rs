//! kv_share: one replica of a session's cache, at the server it would spill to.

use crate::back::{self, Back, Sent, Verified};
use crate::judge::{self, Weights};
use crate::{Front, news};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::consts::*;
use yewcross::http;
use yewcross::tree::Family;

#[derive(Deserialize)]
struct Saved {
    tokens: u64,
    digest: String,
    bytes: u64,
}

#[derive(Deserialize)]
struct Pushed {
    ok: bool,
    bytes: u64,
    #[serde(default)]
    inst: u64,
}

#[derive(Serialize, Deserialize)]
pub struct Imported {
    pub ok: bool,
    #[serde(default)]
    pub tokens: u64,
}

/// Brings the replica into the picked server's cache; whatever goes wrong, the turn is served cold.
pub async fn import(f: &Arc<Front>, b: &Back<Verified>, key: &str, p: &Place, us: u64) -> bool {
    let body = serde_json::to_vec(&json!({"session": key, "digest": p.digest})).unwrap_or_default();
    f.counts.imports.fetch_add(1, SeqCst);
    let t0 = f.w.now();
    let ok = match b.send(&f.w, "/kv/import", body, us).await {
        Sent::Answered(mut r) => {
            let v = f.w.within(us, http::body(&mut r, 64 << 10)).await.and_then(|v| v.ok());
            v.and_then(|v| serde_json::from_slice::<Imported>(&v).ok()).is_some_and(|i| i.ok)
        }
        _ => false,
    };
    f.counts.import_us.fetch_add(f.w.now() - t0, SeqCst);
    if !ok {
        f.counts.imports_failed.fetch_add(1, SeqCst);
    }
    ok
}

/// How a finished turn began: counted for all turns and for those that changed server.
pub fn count(f: &Front, fam: &Family, kv: &Kv, server: &str, prompt: u64, reused: u64) {
    let moved = kv.home.as_ref().is_some_and(|h| h.server != server);
    let pct = reused.saturating_mul(100) / prompt.max(1);
    let c = &f.counts;
    let (all, mv) = match pct {
        p if p >= KV_WARM => (&c.warm, &c.moved_warm),
        p if p >= KV_PARTLY => (&c.partly, &c.moved_partly),
        _ => (&c.cold, &c.moved_cold),
    };
    all.fetch_add(1, SeqCst);
    if moved {
        // Short prompts have no replica by design.
        let short = kv.home.as_ref().is_some_and(|h| h.tokens < fam.kv_min_tokens);
        if short { &c.moved_short } else { mv }.fetch_add(1, SeqCst);
    }
}

/// A finished turn whose cache may be worth a replica.
#[derive(Clone)]
pub struct Fresh {
    pub key: String,
    pub epoch: u64,
    pub kv: Kv,
    pub fam: Family,
}

/// One push a session at a time; a turn that ends meanwhile waits, and only the newest of those is pushed.
pub async fn share(f: Arc<Front>, x: Fresh) {
    {
        let mut g = f.pushing.lock().unwrap();
        if let Some(next) = g.get_mut(&x.key) {
            *next = Some(x);
            return;
        }
        g.insert(x.key.clone(), None);
    }
    let key = x.key.clone();
    let mut now = Some(x);
    while let Some(mut x) = now {
        // What was pushed since may be newer than the record that this turn began from.
        let known = f.replicas.lock().unwrap().get(&key).cloned();
        x.kv.replica = known.or(x.kv.replica);
        if let Some(p) = push(&f, &x).await {
            remember(&f, &key, &p);
            if f.pushing.lock().unwrap().get(&key).is_some_and(|n| n.is_none()) {
                let kv = Kv { replica: Some(p), ..x.kv };
                let told = f.store(&key, &Ask::Note { key: key.clone(), epoch: x.epoch, kv }, &[], 2).await;
                if !matches!(told, Some((Tell::Ok, _))) {
                    f.counts.note_refused.fetch_add(1, SeqCst);
                }
            }
        }
        let mut g = f.pushing.lock().unwrap();
        now = g.get_mut(&key).and_then(|n| n.take());
        if now.is_none() {
            g.remove(&key);
        }
    }
}

fn remember(f: &Front, key: &str, p: &Place) {
    let mut g = f.replicas.lock().unwrap();
    g.insert(key.into(), p.clone());
    while g.len() > KV_RECORDS {
        g.pop_first();
    }
}

/// Save at the turn's server, send what is new to exactly one spill target; gives the replica that stands there.
async fn push(f: &Arc<Front>, x: &Fresh) -> Option<Place> {
    let Fresh { key, kv, fam, .. } = x;
    let home = kv.home.clone()?;
    let big = home.tokens >= fam.kv_min_tokens && home.tokens * KV_TOKEN_BYTES <= fam.kv_session_bytes;
    if !fam.kv_share || !big {
        return None;
    }
    let servers = news::fit(f, &fam.service);
    let at = servers.iter().find(|s| s.at.server == home.server).cloned()?;
    let here = judge::Home { server: home.server.clone(), site: at.at.site.clone() };
    let to = judge::spill(&servers, key, &here, &Weights::from(fam)).cloned()?;
    let old = kv.replica.clone().filter(|r| r.server == to.at.server && r.inst == to.report.inst && r.weights == home.weights);
    if let Some(gone) = kv.replica.clone().filter(|r| r.server != to.at.server) {
        f.replicas.lock().unwrap().remove(key);
        drop_at(f, &fam.service, key, &gone.server).await;
    }
    let Some(_line) = f.links.take(&f.w, &home.server, &to.at.server).await else {
        f.counts.push_skipped.fetch_add(1, SeqCst);
        return None;
    };
    let base = old.as_ref().map(|r| r.digest.clone());
    let ask = |path: &'static str, v: serde_json::Value| {
        let (f, svc, at) = (f.clone(), fam.service.clone(), at.at.clone());
        async move {
            let b = serde_json::to_vec(&v).unwrap_or_default();
            back::ask_once(&f.w, &f.pool, &svc, &at.server, at.addr, path, b, KV_PUSH_WAIT).await
        }
    };
    let saved = ask("/kv/save", json!({"session": key, "digest": home.digest, "base": base})).await;
    let Some(s) = saved.and_then(|b| serde_json::from_slice::<Saved>(&b).ok()).filter(|s| s.digest == home.digest) else {
        f.counts.push_failed.fetch_add(1, SeqCst);
        return None;
    };
    let limit = f.book.config.load().1.services.get(&fam.service).map(|s| s.link_bytes).unwrap_or(u64::MAX);
    f.links.spend(f.w.now(), &home.server, s.bytes, limit);
    let v = json!({"session": key, "digest": s.digest, "base": base, "to": to.at.addr, "target": to.at.server, "service": fam.service});
    let sent = ask("/kv/send", v).await.and_then(|b| serde_json::from_slice::<Pushed>(&b).ok()).filter(|p| p.ok);
    let Some(p) = sent else {
        f.counts.push_failed.fetch_add(1, SeqCst);
        return None;
    };
    let c = &f.counts;
    c.pushes.fetch_add(1, SeqCst);
    if to.at.site == at.at.site { &c.push_within } else { &c.push_across }.fetch_add(p.bytes, SeqCst);
    let inst = if p.inst > 0 { p.inst } else { to.report.inst };
    Some(Place { server: to.at.server.clone(), inst, weights: home.weights, tokens: s.tokens, digest: s.digest, mark: 0 })
}

pub async fn drop_at(f: &Arc<Front>, svc: &str, key: &str, server: &str) {
    let list = f.book.list.load_full();
    if let Some(l) = list.1.servers.iter().find(|l| l.server == server) {
        let b = serde_json::to_vec(&json!({"session": key})).unwrap_or_default();
        f.counts.drops.fetch_add(1, SeqCst);
        back::ask_once(&f.w, &f.pool, svc, server, l.addr, "/kv/drop", b, BACK_WAIT).await;
    }
}
