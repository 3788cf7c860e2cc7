//! Replication of KV caches: keeps one replica of a session's cached prefix, at the server to which
//! the session would move if its home were unavailable.

use crate::back;
use crate::scoring::{self, ScoreWeights};
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

/// A server's response to `/kv/save`.
#[derive(Deserialize)]
struct SaveResponse {
    tokens: u64,
    digest: String,
    bytes: u64,
}

/// A server's response to `/kv/send`.
#[derive(Deserialize)]
struct SendResponse {
    ok: bool,
    bytes: u64,
    /// Instance of the server that received the replica; 0 where it is not reported.
    #[serde(default)]
    #[serde(rename = "inst")]
    instance: u64,
}

/// A server's response to `/kv/import`.
#[derive(Serialize, Deserialize)]
pub struct ImportResponse {
    pub ok: bool,
    #[serde(default)]
    pub tokens: u64,
    /// The server's count of tokens placed in its cache after the import; 0 where it is not reported.
    #[serde(default)]
    #[serde(rename = "placed")]
    pub placed_tokens: u64,
}

/// Transfer state of a session whose last turn ran through this proxy; kept until a turn begins at
/// another proxy.
#[derive(Clone, Debug)]
pub struct SessionTransfer {
    pub epoch: u64,
    pub cache: SessionCacheState,
    /// Prefixes that turns and imports of this proxy have placed in caches: newest first, one for
    /// each server.
    pub placed_prefixes: Vec<CachedPrefix>,
}

/// A replica that is to be imported into its server's cache.
#[derive(Clone, Debug)]
pub struct PrefetchJob {
    pub key: String,
    pub service: String,
    pub replica: CachedPrefix,
    /// Whether the import is written to the session's record. It is not where a turn in progress
    /// writes it with its own commit.
    pub update_record: bool,
}

/// Rate at which a server places tokens in its cache: measured over the current window, and over the
/// last complete one.
#[derive(Clone, Debug, Default)]
struct CacheTurnover {
    instance: u64,
    /// When the current window began, in µs.
    window_start: u64,
    /// The server's count of placed tokens at that time.
    tokens_at_start: u64,
    /// Tokens placed in the last complete window.
    last_window_tokens: Option<u64>,
}

/// Transfer state of sessions, and the queues of pending imports.
pub struct SessionTransfers {
    shards: [Mutex<LruCache<String, SessionTransfer>>; KV_SHARDS],
    /// Servers that were available when `prefetch_for_lost_homes` ran last.
    available: Mutex<BTreeSet<String>>,
    /// Turnover of each server's cache.
    turnover: Mutex<BTreeMap<String, CacheTurnover>>,
    /// Pending imports by server; a server has an entry while a task imports replicas there.
    prefetch_queues: Mutex<BTreeMap<String, VecDeque<PrefetchJob>>>,
}

impl Default for SessionTransfers {
    fn default() -> SessionTransfers {
        let shard_capacity =
            NonZeroUsize::new(KV_TRANSFER_RECORDS / KV_SHARDS).unwrap_or(NonZeroUsize::MIN);
        SessionTransfers {
            shards: std::array::from_fn(|_| Mutex::new(LruCache::new(shard_capacity))),
            available: Default::default(),
            turnover: Default::default(),
            prefetch_queues: Default::default(),
        }
    }
}

impl SessionTransfers {
    fn shard(&self, key: &str) -> &Mutex<LruCache<String, SessionTransfer>> {
        &self.shards[yewcross_common::hash::rendezvous_weight(key, "") as usize % KV_SHARDS]
    }

    pub fn get(&self, key: &str) -> Option<SessionTransfer> {
        self.shard(key).lock().unwrap().peek(key).cloned()
    }

    /// Records where the session's prefix is cached after a turn that ended at this proxy.
    pub fn record_turn(&self, key: &str, epoch: u64, cache: &SessionCacheState) {
        let mut shard = self.shard(key).lock().unwrap();
        let session = shard.get_or_insert_mut(key.to_string(), || SessionTransfer {
            epoch,
            cache: cache.clone(),
            placed_prefixes: vec![],
        });
        (session.epoch, session.cache) = (epoch, cache.clone());
        cache
            .home
            .iter()
            .for_each(|home| add_prefix(&mut session.placed_prefixes, home));
    }

    fn record_import(&self, key: &str, replica: &CachedPrefix) {
        self.shard(key)
            .lock()
            .unwrap()
            .peek_mut(key)
            .into_iter()
            .for_each(|session| add_prefix(&mut session.placed_prefixes, replica));
    }

    pub fn remove(&self, key: &str) {
        self.shard(key).lock().unwrap().pop(key);
    }

    fn update_turnover(&self, now: u64, servers: &[server_table::Server]) {
        let mut turnover = self.turnover.lock().unwrap();
        turnover.retain(|name, _| servers.iter().any(|server| server.listed.server == *name));
        servers
            .iter()
            .filter(|server| server.report.cache_tokens > 0)
            .for_each(|server| {
                let (instance, placed_tokens) =
                    (server.report.instance, server.report.placed_tokens);
                let entry = turnover.entry(server.listed.server.clone()).or_default();
                if entry.instance != instance {
                    *entry = CacheTurnover {
                        instance,
                        window_start: now,
                        tokens_at_start: placed_tokens,
                        last_window_tokens: None,
                    };
                } else if now >= entry.window_start + KV_TURNOVER_WINDOW {
                    *entry = CacheTurnover {
                        instance,
                        window_start: now,
                        tokens_at_start: placed_tokens,
                        last_window_tokens: Some(
                            placed_tokens.saturating_sub(entry.tokens_at_start),
                        ),
                    };
                }
            });
    }

    /// Whether a prefix of this many tokens, placed in the server's cache now, is likely to remain
    /// there for `KV_PREFETCH_LIFETIME`.
    fn would_remain_cached(&self, server: &server_table::Server, tokens: u64) -> bool {
        let turnover = self.turnover.lock().unwrap();
        let Some(entry) = turnover
            .get(&server.listed.server)
            .filter(|entry| entry.instance == server.report.instance)
        else {
            return false;
        };
        let window_tokens = server
            .report
            .placed_tokens
            .saturating_sub(entry.tokens_at_start)
            .max(entry.last_window_tokens.unwrap_or(0));
        window_tokens
            .saturating_mul(KV_PREFETCH_LIFETIME / KV_TURNOVER_WINDOW)
            .saturating_add(tokens)
            <= server.report.cache_tokens
    }

    /// Sessions whose home is one of these servers; within each shard the most recently used first.
    fn with_home_at(&self, servers: &BTreeSet<String>) -> Vec<(String, SessionTransfer)> {
        let has_home_there = |session: &SessionTransfer| {
            session
                .cache
                .home
                .as_ref()
                .is_some_and(|home| servers.contains(&home.server))
        };
        let in_shard = |shard: &Mutex<LruCache<String, SessionTransfer>>| {
            shard
                .lock()
                .unwrap()
                .iter()
                .filter(|entry| has_home_there(entry.1))
                .map(|(key, session)| (key.clone(), session.clone()))
                .collect::<Vec<_>>()
        };
        self.shards.iter().flat_map(in_shard).collect()
    }
}

fn add_prefix(prefixes: &mut Vec<CachedPrefix>, prefix: &CachedPrefix) {
    prefixes.retain(|other| other.server != prefix.server);
    prefixes.insert(0, prefix.clone());
    prefixes.truncate(KV_PREFIXES_PER_SESSION);
}

/// The cache state in the session's record, completed by what this proxy has seen: a replica that it
/// pushed or imported, or a prefix that a turn or an import placed at the replica's server and that
/// covers most of the replica. Whether the prefix is still cached is decided by
/// `scoring::cache_warmth`. A replica without a digest is only a cached prefix: nothing is stored
/// there that could be imported.
pub fn effective_cache_state(
    front: &Front,
    key: &str,
    recorded: &SessionCacheState,
) -> SessionCacheState {
    let is_not_home = |prefix: &&CachedPrefix| {
        recorded
            .home
            .as_ref()
            .is_none_or(|home| home.server != prefix.server)
    };
    let pushed = front
        .replicas
        .lock()
        .unwrap()
        .get(key)
        .filter(is_not_home)
        .cloned();
    let placed_prefixes = front
        .kv_transfers
        .get(key)
        .map(|session| session.placed_prefixes)
        .unwrap_or_default();
    let Some(replica) = pushed.or(recorded.replica.clone()) else {
        // There is no replica, but the previous home may still cache most of the prefix.
        let covers_home = |prefix: &&CachedPrefix| {
            recorded.home.as_ref().is_some_and(|home| {
                home.weights == prefix.weights
                    && prefix.tokens * 100 >= home.tokens * KV_WARM_PERCENT
            })
        };
        let at_previous_home = placed_prefixes
            .iter()
            .filter(is_not_home)
            .find(covers_home)
            .map(|prefix| CachedPrefix {
                digest: String::new(),
                ..prefix.clone()
            });
        return SessionCacheState {
            replica: at_previous_home,
            ..recorded.clone()
        };
    };
    let covers_replica = |prefix: &&CachedPrefix| {
        (&prefix.server, prefix.instance, &prefix.weights)
            == (&replica.server, replica.instance, &replica.weights)
            && prefix.tokens * 100 >= replica.tokens * KV_WARM_PERCENT
    };
    let placed = Some(replica.clone())
        .filter(|replica| replica.placed_tokens > 0)
        .or_else(|| placed_prefixes.iter().find(covers_replica).cloned());
    SessionCacheState {
        replica: placed
            .map(|prefix| CachedPrefix {
                tokens: prefix.tokens,
                placed_tokens: prefix.placed_tokens,
                ..replica.clone()
            })
            .or(Some(replica)),
        ..recorded.clone()
    }
}

/// Called when a turn begins at this proxy under this epoch. Discards what the proxy has kept of the
/// session if other turns have begun elsewhere since.
pub fn begin_turn(front: &Front, key: &str, epoch: u64) {
    if front
        .kv_transfers
        .get(key)
        .is_some_and(|session| session.epoch + 1 < epoch)
    {
        front.kv_transfers.remove(key);
        front.replicas.lock().unwrap().remove(key);
    }
}

/// Queues a replica for import into its server's cache, at the head of the queue or at its end. Each
/// server imports one replica at a time; no request waits for it.
pub fn prefetch(front: &Arc<Front>, job: PrefetchJob, at_head: bool) {
    let server = job.replica.server.clone();
    let mut queues = front.kv_transfers.prefetch_queues.lock().unwrap();
    let is_idle = !queues.contains_key(&server);
    let queue = queues.entry(server.clone()).or_default();
    if queue.iter().any(|queued| queued.key == job.key) {
        return;
    }
    if at_head {
        queue.push_front(job)
    } else {
        queue.push_back(job)
    }
    if is_idle {
        let importer = front.clone();
        front.runtime.spawn(async move {
            let next_job = || {
                let mut queues = importer.kv_transfers.prefetch_queues.lock().unwrap();
                let job = queues.get_mut(&server).and_then(|queue| queue.pop_front());
                if job.is_none() {
                    queues.remove(&server);
                }
                job
            };
            while let Some(job) = next_job() {
                import_replica(&importer, job).await;
            }
        });
    }
}

/// Has a server import a replica into its cache. If that fails, the session's next turn there starts
/// with a cold cache.
async fn import_replica(front: &Arc<Front>, job: PrefetchJob) {
    let PrefetchJob {
        key,
        service,
        replica,
        update_record,
    } = job;
    let is_superseded = front
        .replicas
        .lock()
        .unwrap()
        .get(&key)
        .is_some_and(|pushed| pushed.digest != replica.digest);
    let servers = server_table::eligible_servers(front, &service);
    let Some(server) = servers
        .iter()
        .find(|server| {
            server.listed.server == replica.server && server.report.instance == replica.instance
        })
        .filter(|_| !is_superseded)
    else {
        return;
    };
    let cache = effective_cache_state(
        front,
        &key,
        &SessionCacheState {
            replica: Some(replica.clone()),
            ..Default::default()
        },
    );
    if let Some(placed) = cache
        .replica
        .filter(|prefix| prefix.placed_tokens > 0 && server.holds(prefix))
    {
        front.counts.imports_skipped.fetch_add(1, SeqCst);
        return record_cached_replica(front, &key, placed, update_record).await;
    }
    if server.report.weights != replica.weights || !scoring::is_import_faster(server, &replica) {
        return;
    }
    let body =
        serde_json::to_vec(&json!({"session": key, "digest": replica.digest})).unwrap_or_default();
    front.counts.imports.fetch_add(1, SeqCst);
    let started = front.runtime.now();
    let response = back::request_once(
        &front.runtime,
        &front.pool,
        &service,
        &replica.server,
        server.listed.addr,
        "/kv/import",
        body,
        KV_IMPORT_TIMEOUT,
    )
    .await;
    front
        .counts
        .import_us
        .fetch_add(front.runtime.now() - started, SeqCst);
    let Some(imported) = response
        .and_then(|body| serde_json::from_slice::<ImportResponse>(&body).ok())
        .filter(|imported| imported.ok)
    else {
        front.counts.imports_failed.fetch_add(1, SeqCst);
        return;
    };
    // Without a count in the response, the one from before the import is used: with it the replica
    // counts as evicted too early rather than too late.
    let placed = CachedPrefix {
        placed_tokens: if imported.placed_tokens > 0 {
            imported.placed_tokens
        } else {
            server.report.placed_tokens.max(1)
        },
        ..replica
    };
    front.kv_transfers.record_import(&key, &placed);
    record_cached_replica(front, &key, placed, update_record).await;
}

/// Records that a replica is in its server's cache: at this proxy and, with `update_record`, in the
/// session's record, where other proxies find it. Does nothing if a newer replica was pushed.
async fn record_cached_replica(
    front: &Arc<Front>,
    key: &str,
    replica: CachedPrefix,
    update_record: bool,
) {
    if front
        .replicas
        .lock()
        .unwrap()
        .get(key)
        .is_some_and(|pushed| pushed.digest != replica.digest)
    {
        return;
    }
    keep_replica(front, key, &replica);
    if let Some(session) = front
        .kv_transfers
        .get(key)
        .filter(|session| update_record && session.cache.replica.as_ref() != Some(&replica))
    {
        record_cache_state(
            front,
            key,
            session.epoch,
            SessionCacheState {
                replica: Some(replica),
                ..session.cache
            },
        )
        .await;
    }
}

/// Writes where the session's prefix is cached to the session's record. The store rejects this once
/// a later turn has begun; the proxy of that turn then holds the transfer state.
async fn record_cache_state(
    front: &Arc<Front>,
    key: &str,
    epoch: u64,
    cache_state: SessionCacheState,
) {
    let response = front
        .call_store(
            key,
            &PeerRequest::RecordCacheState {
                key: key.into(),
                epoch,
                cache: cache_state,
            },
            &[],
            2,
        )
        .await;
    if !matches!(response, Some((PeerResponse::Ok, _))) {
        front.counts.note_refused.fetch_add(1, SeqCst);
    }
}

/// Prefetches the replicas of sessions whose home has begun to drain or has stopped reporting since
/// the last call. Also updates the turnover of the servers' caches.
pub fn prefetch_for_lost_homes(front: &Arc<Front>) {
    let configuration = front.documents.config.load_full();
    let servers: Vec<server_table::Server> = configuration
        .1
        .services
        .keys()
        .flat_map(|service| server_table::eligible_servers(front, service))
        .collect();
    front
        .kv_transfers
        .update_turnover(front.runtime.now(), &servers);
    let available: BTreeSet<String> = servers
        .into_iter()
        .map(|server| server.listed.server)
        .collect();
    let previous = std::mem::replace(
        &mut *front.kv_transfers.available.lock().unwrap(),
        available.clone(),
    );
    let lost: BTreeSet<String> = previous.difference(&available).cloned().collect();
    if lost.is_empty() {
        return;
    }
    front
        .kv_transfers
        .with_home_at(&lost)
        .into_iter()
        .for_each(|(key, session)| {
            let replica = front
                .replicas
                .lock()
                .unwrap()
                .get(&key)
                .cloned()
                .or(session.cache.replica);
            let program = configuration
                .1
                .families
                .get(&session.cache.program)
                .filter(|program| program.settings.kv_share);
            replica
                .zip(program)
                .into_iter()
                .for_each(|(replica, program)| {
                    prefetch(
                        front,
                        PrefetchJob {
                            key: key.clone(),
                            service: program.settings.service.clone(),
                            replica,
                            update_record: true,
                        },
                        false,
                    );
                });
        });
}

/// Prefetches a replica that has just been pushed if the target's cache turns over slowly enough to
/// retain it. Otherwise only if the home is nearly full or unavailable, and the target is not
/// nearly full.
fn prefetch_after_push(front: &Arc<Front>, turn: &FinishedTurn, replica: CachedPrefix) {
    let servers = server_table::eligible_servers(front, &turn.class.service);
    let find = |name: &str| servers.iter().find(|server| server.listed.server == name);
    let is_nearly_full = |server: &server_table::Server| {
        server.occupied() as u64 * 100 >= server.report.slots as u64 * KV_NEAR_FULL_PERCENT
    };
    let Some(target) = find(&replica.server) else {
        return;
    };
    let is_needed_soon = turn
        .cache
        .home
        .as_ref()
        .and_then(|home| find(&home.server))
        .is_none_or(is_nearly_full)
        && !is_nearly_full(target);
    if is_needed_soon
        || front
            .kv_transfers
            .would_remain_cached(target, replica.tokens)
    {
        prefetch(
            front,
            PrefetchJob {
                key: turn.key.clone(),
                service: turn.class.service.clone(),
                replica,
                update_record: is_needed_soon,
            },
            false,
        );
    }
}

/// Counts a finished turn as warm, partly warm or cold by the share of its prompt that was reused
/// from the cache. Turns that ran at another server than the session's home are also counted
/// separately.
pub fn count_turn(
    front: &Front,
    class: &ProgramClass,
    cache: &SessionCacheState,
    server: &str,
    prompt_tokens: u64,
    reused_tokens: u64,
) {
    let has_moved = cache
        .home
        .as_ref()
        .is_some_and(|home| home.server != server);
    let reused_percent = reused_tokens.saturating_mul(100) / prompt_tokens.max(1);
    let counts = &front.counts;
    let (all, moved) = match reused_percent {
        percent if percent >= KV_WARM_PERCENT => (&counts.warm, &counts.moved_warm),
        percent if percent >= KV_PARTLY_WARM_PERCENT => (&counts.partly, &counts.moved_partly),
        _ => (&counts.cold, &counts.moved_cold),
    };
    all.fetch_add(1, SeqCst);
    if has_moved {
        // Prompts shorter than `kv_min_tokens` are not replicated.
        let is_short = cache
            .home
            .as_ref()
            .is_some_and(|home| home.tokens < class.kv_min_tokens);
        if is_short { &counts.moved_short } else { moved }.fetch_add(1, SeqCst);
    }
}

/// A finished turn whose cached prefix may be replicated.
#[derive(Clone)]
pub struct FinishedTurn {
    pub key: String,
    pub epoch: u64,
    /// Where the session's prefix is cached after the turn.
    pub cache: SessionCacheState,
    pub class: ProgramClass,
}

/// Replicates the cached prefix of a finished turn. Each session has one push in progress at a time;
/// of the turns that end meanwhile, only the newest is pushed next.
pub async fn replicate(front: Arc<Front>, turn: FinishedTurn) {
    if turn.class.kv_share
        && turn
            .cache
            .home
            .as_ref()
            .is_some_and(|home| home.tokens >= turn.class.kv_min_tokens)
    {
        front
            .kv_transfers
            .record_turn(&turn.key, turn.epoch, &turn.cache);
    }
    {
        let mut pushing = front.pushes_in_progress.lock().unwrap();
        if let Some(pending) = pushing.get_mut(&turn.key) {
            *pending = Some(turn);
            return;
        }
        pushing.insert(turn.key.clone(), None);
    }
    let key = turn.key.clone();
    let mut next = Some(turn);
    while let Some(mut turn) = next {
        // A replica pushed since may be newer than the one in the record that this turn began from.
        let pushed = front.replicas.lock().unwrap().get(&key).cloned();
        turn.cache.replica = pushed.or(turn.cache.replica);
        if let Some(pushed) = push_replica(&front, &turn).await {
            keep_replica(&front, &key, &pushed);
            if front
                .pushes_in_progress
                .lock()
                .unwrap()
                .get(&key)
                .is_some_and(|pending| pending.is_none())
            {
                record_cache_state(
                    &front,
                    &key,
                    turn.epoch,
                    SessionCacheState {
                        replica: Some(pushed.clone()),
                        ..turn.cache.clone()
                    },
                )
                .await;
            }
            prefetch_after_push(&front, &turn, pushed);
        }
        let mut pushing = front.pushes_in_progress.lock().unwrap();
        next = pushing.get_mut(&key).and_then(|pending| pending.take());
        if next.is_none() {
            pushing.remove(&key);
        }
    }
}

/// Keeps a pushed replica in this proxy's memory, for at most `KV_TRANSFER_RECORDS` sessions.
fn keep_replica(front: &Front, key: &str, replica: &CachedPrefix) {
    let mut replicas = front.replicas.lock().unwrap();
    replicas.insert(key.into(), replica.clone());
    while replicas.len() > KV_TRANSFER_RECORDS {
        replicas.pop_first();
    }
}

/// Saves the prefix at the turn's server and has it sent to the session's spill target, as a delta
/// where the target has an earlier replica. A replica at any other server is dropped, so that there
/// is only one. Returns the replica that is now stored at the target.
async fn push_replica(front: &Arc<Front>, turn: &FinishedTurn) -> Option<CachedPrefix> {
    let FinishedTurn {
        key, cache, class, ..
    } = turn;
    let home = cache.home.clone()?;
    let is_eligible = home.tokens >= class.kv_min_tokens
        && home.tokens * KV_TOKEN_BYTES <= class.kv_session_bytes;
    if !class.kv_share || !is_eligible {
        return None;
    }
    let servers = server_table::eligible_servers(front, &class.service);
    let source = servers
        .iter()
        .find(|server| server.listed.server == home.server)
        .cloned()?;
    let home_server = scoring::HomeServer {
        server: home.server.clone(),
        site: source.listed.site.clone(),
    };
    let target =
        scoring::spill_target(&servers, key, &home_server, &ScoreWeights::from(class)).cloned()?;
    let earlier = cache.replica.clone().filter(|replica| {
        replica.server == target.listed.server
            && replica.instance == target.report.instance
            && replica.weights == home.weights
    });
    if let Some(misplaced) = cache
        .replica
        .clone()
        .filter(|replica| replica.server != target.listed.server)
    {
        front.replicas.lock().unwrap().remove(key);
        drop_prefix(front, &class.service, key, &misplaced.server).await;
    }
    let Some(_link) = front
        .push_pacer
        .acquire(&front.runtime, &home.server, &target.listed.server)
        .await
    else {
        front.counts.push_skipped.fetch_add(1, SeqCst);
        return None;
    };
    let base = earlier.as_ref().map(|replica| replica.digest.clone());
    let request = |path: &'static str, parameters: serde_json::Value| {
        let (front, service, server) =
            (front.clone(), class.service.clone(), source.listed.clone());
        async move {
            let body = serde_json::to_vec(&parameters).unwrap_or_default();
            back::request_once(
                &front.runtime,
                &front.pool,
                &service,
                &server.server,
                server.addr,
                path,
                body,
                KV_PUSH_TIMEOUT,
            )
            .await
        }
    };
    let response = request(
        "/kv/save",
        json!({"session": key, "digest": home.digest, "base": base}),
    )
    .await;
    let Some(saved) = response
        .and_then(|body| serde_json::from_slice::<SaveResponse>(&body).ok())
        .filter(|saved| saved.digest == home.digest)
    else {
        front.counts.push_failed.fetch_add(1, SeqCst);
        return None;
    };
    let link_bytes = front
        .documents
        .config
        .load()
        .1
        .services
        .get(&class.service)
        .map(|service| service.link_bytes)
        .unwrap_or(u64::MAX);
    front
        .push_pacer
        .charge_link(front.runtime.now(), &home.server, saved.bytes, link_bytes);
    let parameters = json!({"session": key, "digest": saved.digest, "base": base, "to": target.listed.addr, "target": target.listed.server, "service": class.service});
    let response = request("/kv/send", parameters)
        .await
        .and_then(|body| serde_json::from_slice::<SendResponse>(&body).ok())
        .filter(|sent| sent.ok);
    let Some(sent) = response else {
        front.counts.push_failed.fetch_add(1, SeqCst);
        return None;
    };
    let counts = &front.counts;
    counts.pushes.fetch_add(1, SeqCst);
    if target.listed.site == source.listed.site {
        &counts.push_within
    } else {
        &counts.push_across
    }
    .fetch_add(sent.bytes, SeqCst);
    let target_instance = if sent.instance > 0 {
        sent.instance
    } else {
        target.report.instance
    };
    Some(CachedPrefix {
        server: target.listed.server.clone(),
        instance: target_instance,
        weights: home.weights,
        tokens: saved.tokens,
        digest: saved.digest,
        placed_tokens: 0,
    })
}

/// Has a listed server drop the session's prefix. A failure is ignored.
pub async fn drop_prefix(front: &Arc<Front>, service: &str, key: &str, server: &str) {
    let list = front.documents.server_list.load_full();
    if let Some(listed) = list.1.servers.iter().find(|listed| listed.server == server) {
        let body = serde_json::to_vec(&json!({"session": key})).unwrap_or_default();
        front.counts.drops.fetch_add(1, SeqCst);
        back::request_once(
            &front.runtime,
            &front.pool,
            service,
            server,
            listed.addr,
            "/kv/drop",
            body,
            UPSTREAM_REPORT_TIMEOUT,
        )
        .await;
    }
}
