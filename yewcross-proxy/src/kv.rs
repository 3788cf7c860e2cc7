//! kv_share: one replica of a session's cache, at the server it would spill to.

use crate::back;
use crate::judge::{self, Weights};
use crate::{Front, server_table};
use lru::LruCache;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::num::NonZeroUsize;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::configuration::ProgramClass;
use yewcross_common::constants::*;
use yewcross_common::protocol::*;

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
    /// The server's count of tokens placed in its cache after the import; 0 where it does not tell.
    #[serde(default)]
    pub placed: u64,
}

/// A session whose last turn this front ran: it holds the session's transfer state until a turn
/// begins elsewhere.
#[derive(Clone, Debug)]
pub struct Spare {
    pub epoch: u64,
    pub kv: SessionCacheState,
    /// Prefixes that turns and imports seen here have placed, newest first, one a server.
    pub placed: Vec<CachedPrefix>,
}

/// A replica that is to be brought into its server's cache.
#[derive(Clone, Debug)]
pub struct Due {
    pub key: String,
    pub service: String,
    pub replica: CachedPrefix,
    /// The record is told of it. A turn under way carries it into its own commit instead.
    pub tell: bool,
}

/// Tokens that a server places in its cache: counted from `since` (us), and the last full window's.
#[derive(Clone, Debug, Default)]
struct Flow {
    inst: u64,
    since: u64,
    from: u64,
    last: Option<u64>,
}

/// Transfer state by session, and the imports under way by server.
pub struct Spares {
    shards: [Mutex<LruCache<String, Spare>>; KV_SHARDS],
    fit: Mutex<BTreeSet<String>>,
    /// How fast each server's cache turns over.
    flow: Mutex<BTreeMap<String, Flow>>,
    due: Mutex<BTreeMap<String, VecDeque<Due>>>,
}

impl Default for Spares {
    fn default() -> Spares {
        let each = NonZeroUsize::new(KV_RECORDS / KV_SHARDS).unwrap_or(NonZeroUsize::MIN);
        Spares {
            shards: std::array::from_fn(|_| Mutex::new(LruCache::new(each))),
            fit: Default::default(),
            flow: Default::default(),
            due: Default::default(),
        }
    }
}

impl Spares {
    fn shard(&self, key: &str) -> &Mutex<LruCache<String, Spare>> {
        &self.shards[yewcross_common::hash::rendezvous_weight(key, "") as usize % KV_SHARDS]
    }

    pub fn get(&self, key: &str) -> Option<Spare> {
        self.shard(key).lock().unwrap().peek(key).cloned()
    }

    /// A turn that ended here.
    pub fn ran(&self, key: &str, epoch: u64, kv: &SessionCacheState) {
        let mut g = self.shard(key).lock().unwrap();
        let s = g.get_or_insert_mut(key.to_string(), || Spare {
            epoch,
            kv: kv.clone(),
            placed: vec![],
        });
        (s.epoch, s.kv) = (epoch, kv.clone());
        kv.home.iter().for_each(|h| place(&mut s.placed, h));
    }

    fn imported(&self, key: &str, p: &CachedPrefix) {
        self.shard(key)
            .lock()
            .unwrap()
            .peek_mut(key)
            .into_iter()
            .for_each(|s| place(&mut s.placed, p));
    }

    pub fn forget(&self, key: &str) {
        self.shard(key).lock().unwrap().pop(key);
    }

    fn flows(&self, t: u64, servers: &[server_table::Server]) {
        let mut g = self.flow.lock().unwrap();
        g.retain(|n, _| servers.iter().any(|s| s.at.server == *n));
        servers
            .iter()
            .filter(|s| s.report.cache_tokens > 0)
            .for_each(|s| {
                let (inst, placed) = (s.report.instance, s.report.placed_tokens);
                let e = g.entry(s.at.server.clone()).or_default();
                if e.inst != inst {
                    *e = Flow {
                        inst,
                        since: t,
                        from: placed,
                        last: None,
                    };
                } else if t >= e.since + KV_TURNOVER_WINDOW {
                    *e = Flow {
                        inst,
                        since: t,
                        from: placed,
                        last: Some(placed.saturating_sub(e.from)),
                    };
                }
            });
    }

    /// Whether what is placed there now is likely to stand for `KV_PREFETCH_LIFETIME`.
    fn roomy(&self, s: &server_table::Server, tokens: u64) -> bool {
        let g = self.flow.lock().unwrap();
        let Some(e) = g.get(&s.at.server).filter(|e| e.inst == s.report.instance) else {
            return false;
        };
        let fast = s
            .report
            .placed_tokens
            .saturating_sub(e.from)
            .max(e.last.unwrap_or(0));
        fast.saturating_mul(KV_PREFETCH_LIFETIME / KV_TURNOVER_WINDOW)
            .saturating_add(tokens)
            <= s.report.cache_tokens
    }

    /// Sessions whose home is one of these, the latest used of each shard first.
    fn homed(&self, at: &BTreeSet<String>) -> Vec<(String, Spare)> {
        let mine = |s: &Spare| s.kv.home.as_ref().is_some_and(|h| at.contains(&h.server));
        let of = |m: &Mutex<LruCache<String, Spare>>| {
            m.lock()
                .unwrap()
                .iter()
                .filter(|x| mine(x.1))
                .map(|(k, s)| (k.clone(), s.clone()))
                .collect::<Vec<_>>()
        };
        self.shards.iter().flat_map(of).collect()
    }
}

fn place(v: &mut Vec<CachedPrefix>, p: &CachedPrefix) {
    v.retain(|o| o.server != p.server);
    v.insert(0, p.clone());
    v.truncate(KV_PREFIXES_PER_SESSION);
}

/// The record's state and what this front saw itself: an import made ahead, or a prefix that a turn
/// or an import placed at the replica's server and that covers most of it. Whether it is still held
/// is for the judges. A place without a digest is a held prefix alone: nothing stands there that
/// could be imported.
pub fn known(f: &Front, key: &str, kv: &SessionCacheState) -> SessionCacheState {
    let away = |p: &&CachedPrefix| kv.home.as_ref().is_none_or(|h| h.server != p.server);
    let pushed = f.replicas.lock().unwrap().get(key).filter(away).cloned();
    let placed = f
        .kv_transfers
        .get(key)
        .map(|s| s.placed)
        .unwrap_or_default();
    let Some(r) = pushed.or(kv.replica.clone()) else {
        // Nothing stands anywhere; yet the home before may still hold most of it.
        let most = |p: &&CachedPrefix| {
            kv.home
                .as_ref()
                .is_some_and(|h| h.weights == p.weights && p.tokens * 100 >= h.tokens * KV_WARM)
        };
        let before = placed.iter().filter(away).find(most).map(|p| CachedPrefix {
            digest: String::new(),
            ..p.clone()
        });
        return SessionCacheState {
            replica: before,
            ..kv.clone()
        };
    };
    let covers = |p: &&CachedPrefix| {
        (&p.server, p.instance, &p.weights) == (&r.server, r.instance, &r.weights)
            && p.tokens * 100 >= r.tokens * KV_WARM
    };
    let p = Some(r.clone())
        .filter(|r| r.placed_tokens > 0)
        .or_else(|| placed.iter().find(covers).cloned());
    SessionCacheState {
        replica: p
            .map(|p| CachedPrefix {
                tokens: p.tokens,
                placed_tokens: p.placed_tokens,
                ..r.clone()
            })
            .or(Some(r)),
        ..kv.clone()
    }
}

/// A turn begins here under this epoch: what was known of the session is void if other turns began
/// elsewhere since.
pub fn begins(front: &Front, key: &str, epoch: u64) {
    if front
        .kv_transfers
        .get(key)
        .is_some_and(|s| s.epoch + 1 < epoch)
    {
        front.kv_transfers.forget(key);
        front.replicas.lock().unwrap().remove(key);
    }
}

/// Has a replica brought into its server's cache ahead of need, one at a time at each server.
/// Nobody waits for it.
pub fn ahead(front: &Arc<Front>, x: Due, first: bool) {
    let to = x.replica.server.clone();
    let mut g = front.kv_transfers.due.lock().unwrap();
    let idle = !g.contains_key(&to);
    let line = g.entry(to.clone()).or_default();
    if line.iter().any(|d| d.key == x.key) {
        return;
    }
    if first {
        line.push_front(x)
    } else {
        line.push_back(x)
    }
    if idle {
        let me = front.clone();
        front.runtime.spawn(async move {
            let next = || {
                let mut g = me.kv_transfers.due.lock().unwrap();
                let x = g.get_mut(&to).and_then(|l| l.pop_front());
                if x.is_none() {
                    g.remove(&to);
                }
                x
            };
            while let Some(x) = next() {
                bring(&me, x).await;
            }
        });
    }
}

/// Whatever goes wrong, the session's next turn there is served cold.
async fn bring(front: &Arc<Front>, x: Due) {
    let Due {
        key,
        service,
        replica,
        tell,
    } = x;
    let newer = front
        .replicas
        .lock()
        .unwrap()
        .get(&key)
        .is_some_and(|p| p.digest != replica.digest);
    let servers = server_table::fit(front, &service);
    let Some(s) = servers
        .iter()
        .find(|s| s.at.server == replica.server && s.report.instance == replica.instance)
        .filter(|_| !newer)
    else {
        return;
    };
    let kv = known(
        front,
        &key,
        &SessionCacheState {
            replica: Some(replica.clone()),
            ..Default::default()
        },
    );
    if let Some(p) = kv.replica.filter(|p| p.placed_tokens > 0 && s.holds(p)) {
        front.counts.imports_skipped.fetch_add(1, SeqCst);
        return stands(front, &key, p, tell).await;
    }
    if s.report.weights != replica.weights || !judge::pays(s, &replica) {
        return;
    }
    let body =
        serde_json::to_vec(&json!({"session": key, "digest": replica.digest})).unwrap_or_default();
    front.counts.imports.fetch_add(1, SeqCst);
    let t0 = front.runtime.now();
    let got = back::request_once(
        &front.runtime,
        &front.pool,
        &service,
        &replica.server,
        s.at.addr,
        "/kv/import",
        body,
        KV_IMPORT_TIMEOUT,
    )
    .await;
    front
        .counts
        .import_us
        .fetch_add(front.runtime.now() - t0, SeqCst);
    let Some(i) = got
        .and_then(|b| serde_json::from_slice::<Imported>(&b).ok())
        .filter(|i| i.ok)
    else {
        front.counts.imports_failed.fetch_add(1, SeqCst);
        return;
    };
    // The count from before the import errs to the safe side.
    let p = CachedPrefix {
        placed_tokens: if i.placed > 0 {
            i.placed
        } else {
            s.report.placed_tokens.max(1)
        },
        ..replica
    };
    front.kv_transfers.imported(&key, &p);
    stands(front, &key, p, tell).await;
}

/// The replica is in its server's cache: kept in mind and, where others have to know, told to the
/// record.
async fn stands(front: &Arc<Front>, key: &str, p: CachedPrefix, tell: bool) {
    if front
        .replicas
        .lock()
        .unwrap()
        .get(key)
        .is_some_and(|o| o.digest != p.digest)
    {
        return;
    }
    remember(front, key, &p);
    if let Some(s) = front
        .kv_transfers
        .get(key)
        .filter(|s| tell && s.kv.replica.as_ref() != Some(&p))
    {
        note(
            front,
            key,
            s.epoch,
            SessionCacheState {
                replica: Some(p),
                ..s.kv
            },
        )
        .await;
    }
}

/// Writes transfer state into the record. Refused once a later turn has begun; then that turn's
/// front holds it.
async fn note(front: &Arc<Front>, key: &str, epoch: u64, kv: SessionCacheState) {
    let told = front
        .call_store(
            key,
            &PeerRequest::RecordCacheState {
                key: key.into(),
                epoch,
                cache: kv,
            },
            &[],
            2,
        )
        .await;
    if !matches!(told, Some((PeerResponse::Ok, _))) {
        front.counts.note_refused.fetch_add(1, SeqCst);
    }
}

/// Sessions whose home has begun to leave or has fallen silent since the last look: their replicas
/// are brought in.
pub fn watch(front: &Arc<Front>) {
    let conf = front.documents.config.load_full();
    let servers: Vec<server_table::Server> = conf
        .1
        .services
        .keys()
        .flat_map(|s| server_table::fit(front, s))
        .collect();
    front.kv_transfers.flows(front.runtime.now(), &servers);
    let fit: BTreeSet<String> = servers.into_iter().map(|s| s.at.server).collect();
    let was = std::mem::replace(&mut *front.kv_transfers.fit.lock().unwrap(), fit.clone());
    let gone: BTreeSet<String> = was.difference(&fit).cloned().collect();
    if gone.is_empty() {
        return;
    }
    front
        .kv_transfers
        .homed(&gone)
        .into_iter()
        .for_each(|(key, s)| {
            let replica = front
                .replicas
                .lock()
                .unwrap()
                .get(&key)
                .cloned()
                .or(s.kv.replica);
            let fam = conf
                .1
                .families
                .get(&s.kv.program)
                .filter(|p| p.eff.kv_share);
            replica.zip(fam).into_iter().for_each(|(replica, p)| {
                ahead(
                    front,
                    Due {
                        key: key.clone(),
                        service: p.eff.service.clone(),
                        replica,
                        tell: true,
                    },
                    false,
                );
            });
        });
}

/// A replica has just arrived: it is brought in at once where the target's cache turns over slowly,
/// and else where the home is nearly full, or no longer takes turns, and the target has places.
fn after(f: &Arc<Front>, x: &Fresh, replica: CachedPrefix) {
    let servers = server_table::fit(f, &x.fam.service);
    let at = |n: &str| servers.iter().find(|s| s.at.server == n);
    let full = |s: &server_table::Server| {
        s.occupied() as u64 * 100 >= s.report.slots as u64 * KV_NEAR_FULL
    };
    let Some(to) = at(&replica.server) else {
        return;
    };
    let press =
        x.kv.home
            .as_ref()
            .and_then(|h| at(&h.server))
            .is_none_or(full)
            && !full(to);
    if press || f.kv_transfers.roomy(to, replica.tokens) {
        ahead(
            f,
            Due {
                key: x.key.clone(),
                service: x.fam.service.clone(),
                replica,
                tell: press,
            },
            false,
        );
    }
}

/// How a finished turn began: counted for all turns and for those that changed server.
pub fn count(
    f: &Front,
    fam: &ProgramClass,
    kv: &SessionCacheState,
    server: &str,
    prompt: u64,
    reused: u64,
) {
    let moved = kv.home.as_ref().is_some_and(|h| h.server != server);
    let pct = reused.saturating_mul(100) / prompt.max(1);
    let c = &f.counts;
    let (all, mv) = match pct {
        p if p >= KV_WARM => (&c.warm, &c.moved_warm),
        p if p >= KV_PARTLY_WARM => (&c.partly, &c.moved_partly),
        _ => (&c.cold, &c.moved_cold),
    };
    all.fetch_add(1, SeqCst);
    if moved {
        // Short prompts have no replica by design.
        let short = kv
            .home
            .as_ref()
            .is_some_and(|h| h.tokens < fam.kv_min_tokens);
        if short { &c.moved_short } else { mv }.fetch_add(1, SeqCst);
    }
}

/// A finished turn whose cache may be worth a replica.
#[derive(Clone)]
pub struct Fresh {
    pub key: String,
    pub epoch: u64,
    pub kv: SessionCacheState,
    pub fam: ProgramClass,
}

/// One push a session at a time; a turn that ends meanwhile waits, and only the newest of those is
/// pushed.
pub async fn share(f: Arc<Front>, x: Fresh) {
    if x.fam.kv_share
        && x.kv
            .home
            .as_ref()
            .is_some_and(|h| h.tokens >= x.fam.kv_min_tokens)
    {
        f.kv_transfers.ran(&x.key, x.epoch, &x.kv);
    }
    {
        let mut g = f.pushes_in_progress.lock().unwrap();
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
            if f.pushes_in_progress
                .lock()
                .unwrap()
                .get(&key)
                .is_some_and(|n| n.is_none())
            {
                note(
                    &f,
                    &key,
                    x.epoch,
                    SessionCacheState {
                        replica: Some(p.clone()),
                        ..x.kv.clone()
                    },
                )
                .await;
            }
            after(&f, &x, p);
        }
        let mut g = f.pushes_in_progress.lock().unwrap();
        now = g.get_mut(&key).and_then(|n| n.take());
        if now.is_none() {
            g.remove(&key);
        }
    }
}

fn remember(f: &Front, key: &str, p: &CachedPrefix) {
    let mut g = f.replicas.lock().unwrap();
    g.insert(key.into(), p.clone());
    while g.len() > KV_RECORDS {
        g.pop_first();
    }
}

/// Save at the turn's server, send what is new to exactly one spill target; gives the replica that
/// stands there.
async fn push(f: &Arc<Front>, x: &Fresh) -> Option<CachedPrefix> {
    let Fresh { key, kv, fam, .. } = x;
    let home = kv.home.clone()?;
    let big =
        home.tokens >= fam.kv_min_tokens && home.tokens * KV_TOKEN_BYTES <= fam.kv_session_bytes;
    if !fam.kv_share || !big {
        return None;
    }
    let servers = server_table::fit(f, &fam.service);
    let at = servers
        .iter()
        .find(|s| s.at.server == home.server)
        .cloned()?;
    let here = judge::Home {
        server: home.server.clone(),
        site: at.at.site.clone(),
    };
    let to = judge::spill(&servers, key, &here, &Weights::from(fam)).cloned()?;
    let old = kv.replica.clone().filter(|r| {
        r.server == to.at.server && r.instance == to.report.instance && r.weights == home.weights
    });
    if let Some(gone) = kv.replica.clone().filter(|r| r.server != to.at.server) {
        f.replicas.lock().unwrap().remove(key);
        drop_at(f, &fam.service, key, &gone.server).await;
    }
    let Some(_line) = f
        .push_pacer
        .acquire(&f.runtime, &home.server, &to.at.server)
        .await
    else {
        f.counts.push_skipped.fetch_add(1, SeqCst);
        return None;
    };
    let base = old.as_ref().map(|r| r.digest.clone());
    let ask = |path: &'static str, v: serde_json::Value| {
        let (f, svc, at) = (f.clone(), fam.service.clone(), at.at.clone());
        async move {
            let b = serde_json::to_vec(&v).unwrap_or_default();
            back::request_once(
                &f.runtime,
                &f.pool,
                &svc,
                &at.server,
                at.addr,
                path,
                b,
                KV_PUSH_TIMEOUT,
            )
            .await
        }
    };
    let saved = ask(
        "/kv/save",
        json!({"session": key, "digest": home.digest, "base": base}),
    )
    .await;
    let Some(s) = saved
        .and_then(|b| serde_json::from_slice::<Saved>(&b).ok())
        .filter(|s| s.digest == home.digest)
    else {
        f.counts.push_failed.fetch_add(1, SeqCst);
        return None;
    };
    let limit = f
        .documents
        .config
        .load()
        .1
        .services
        .get(&fam.service)
        .map(|s| s.link_bytes)
        .unwrap_or(u64::MAX);
    f.push_pacer
        .charge_link(f.runtime.now(), &home.server, s.bytes, limit);
    let v = json!({"session": key, "digest": s.digest, "base": base, "to": to.at.addr, "target": to.at.server, "service": fam.service});
    let sent = ask("/kv/send", v)
        .await
        .and_then(|b| serde_json::from_slice::<Pushed>(&b).ok())
        .filter(|p| p.ok);
    let Some(p) = sent else {
        f.counts.push_failed.fetch_add(1, SeqCst);
        return None;
    };
    let c = &f.counts;
    c.pushes.fetch_add(1, SeqCst);
    if to.at.site == at.at.site {
        &c.push_within
    } else {
        &c.push_across
    }
    .fetch_add(p.bytes, SeqCst);
    let inst = if p.inst > 0 {
        p.inst
    } else {
        to.report.instance
    };
    Some(CachedPrefix {
        server: to.at.server.clone(),
        instance: inst,
        weights: home.weights,
        tokens: s.tokens,
        digest: s.digest,
        placed_tokens: 0,
    })
}

pub async fn drop_at(front: &Arc<Front>, svc: &str, key: &str, server: &str) {
    let list = front.documents.list.load_full();
    if let Some(l) = list.1.servers.iter().find(|l| l.server == server) {
        let b = serde_json::to_vec(&json!({"session": key})).unwrap_or_default();
        front.counts.drops.fetch_add(1, SeqCst);
        back::request_once(
            &front.runtime,
            &front.pool,
            svc,
            server,
            l.addr,
            "/kv/drop",
            b,
            UPSTREAM_REPORT_TIMEOUT,
        )
        .await;
    }
}
