//! Selects the server for a turn.

use super::request::tokens;
use super::state::BegunTurn;
use crate::admission::Permit;
use crate::back::{BackendConnection, Verified};
use crate::kv::PrefetchJob;
use crate::scoring::{CacheWarmth, ScoreWeights, ScoringInput, Selection};
use crate::server_table::Server;
use crate::{Front, kv, scoring, server_table};
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{COMMIT_RESERVE, MS};
use yewcross_common::protocol::{CachedPrefix, SessionCacheState};

/// us. Interval at which a waiting turn retries the selection.
const SELECTION_INTERVAL: u64 = 20 * MS;

/// The selected server, with a verified connection to it.
pub(super) struct SelectedServer {
    pub(super) pick: Selection,
    pub(super) connection: BackendConnection<Verified>,
}

/// The next step of the selection.
enum Decision {
    Dispatch(Box<Selection>),
    /// No server has a free slot.
    WaitForSlot,
    /// The session's home server has no free slot, and waiting for one costs less than running on
    /// another server.
    WaitForHome,
    GiveUp,
}

/// The inputs of a selection at one moment.
struct Candidates<'a> {
    servers: &'a [Server],
    cache: &'a SessionCacheState,
    excluded: &'a [String],
    /// us within which the server must finish.
    time_left: u64,
    /// When the selection began (us of the node's clock).
    started: u64,
}

/// Selects a server and connects to it; a server that cannot be reached is excluded. Imports are
/// never waited for: while the session's home server has no free slot, the replica is imported in
/// parallel with the wait, and a turn that has to move before the import is complete is served
/// without the cached prefix.
pub(super) async fn select_server(
    front: &Arc<Front>,
    turn: &BegunTurn,
    excluded: &mut Vec<String>,
    permit: &mut Option<Permit<'_>>,
) -> Option<SelectedServer> {
    let started = front.runtime.now();
    let mut is_import_started = false;
    loop {
        let latest_finish = front.runtime.now() + COMMIT_RESERVE;
        let time_left = turn.request.deadline.checked_sub(latest_finish)?;
        if !front.watcher.may_serve() {
            return None;
        }
        let servers = server_table::eligible_servers(front, &turn.request.class.service);
        if servers
            .iter()
            .all(|server| excluded.contains(&server.listed.server))
        {
            return None;
        }
        let cache = kv::effective_cache_state(front, &turn.request.key, &turn.cache);
        let candidates = Candidates {
            servers: &servers,
            cache: &cache,
            excluded,
            time_left,
            started,
        };
        match decide(front, turn, &candidates) {
            Decision::GiveUp => return None,
            Decision::Dispatch(pick) => {
                match connect(front, turn, &pick).await {
                    Some(connection) => return Some(selected(front, *pick, connection)),
                    None => excluded.push(pick.server.listed.server),
                }
                continue;
            }
            Decision::WaitForSlot => {}
            Decision::WaitForHome => *permit = None,
        }
        if !is_import_started {
            is_import_started = start_import(front, turn, &servers, &cache);
        }
        front.runtime.sleep(SELECTION_INTERVAL).await;
    }
}

fn decide(front: &Front, turn: &BegunTurn, candidates: &Candidates) -> Decision {
    let request = &turn.request;
    let case = ScoringInput {
        key: &request.key,
        site: &front.settings.site,
        prompt_tokens: tokens(turn.history.len() + turn.open_line.len()),
        max_output_tokens: request.max_output_tokens,
        cache: candidates.cache,
        time_left: candidates.time_left,
    };
    let weights = ScoreWeights::from(&request.class);
    let now = front.runtime.now();
    let excluded = candidates.excluded;
    let Some(pick) = scoring::select_best(candidates.servers, &case, &weights, excluded) else {
        let mut allowed = candidates
            .servers
            .iter()
            .filter(|server| !excluded.contains(&server.listed.server));
        let is_too_late = allowed.all(|server| {
            scoring::estimated_us(server, &case, &scoring::cache_warmth(server, &case))
                > candidates.time_left
        });
        return if is_too_late || now > request.queueing_deadline {
            Decision::GiveUp
        } else {
            Decision::WaitForSlot
        };
    };
    let wait_until = home_wait_end(turn, candidates, &case, &pick);
    if wait_until.is_some_and(|end| now < end) {
        Decision::WaitForHome
    } else {
        Decision::Dispatch(Box::new(pick))
    }
}

/// When waiting for the session's home server ends; None if the picked server is the home server,
/// or if that no longer holds the prefix. The wait is no longer than the time by which running on
/// the picked server takes longer than on the home server.
fn home_wait_end(
    turn: &BegunTurn,
    candidates: &Candidates,
    case: &ScoringInput,
    pick: &Selection,
) -> Option<u64> {
    let home_name = &turn.cache.home.as_ref()?.server;
    if candidates.excluded.contains(home_name) || pick.server.listed.server == *home_name {
        return None;
    }
    let mut servers = candidates.servers.iter();
    let home = servers.find(|server| server.listed.server == *home_name)?;
    let warmth = scoring::cache_warmth(home, case);
    if !matches!(warmth, CacheWarmth::Cached(_)) {
        return None;
    }
    let saved = pick
        .estimated_us
        .saturating_sub(scoring::estimated_us(home, case, &warmth));
    let slack = candidates.time_left.saturating_sub(pick.estimated_us);
    let end = candidates.started + saved.min(slack);
    Some(end.min(turn.request.queueing_deadline))
}

/// Starts the import of the session's replica into its server's cache, if there is a replica and
/// that server has a free slot.
fn start_import(
    front: &Arc<Front>,
    turn: &BegunTurn,
    servers: &[Server],
    cache: &SessionCacheState,
) -> bool {
    let has_room = |replica: &&CachedPrefix| {
        !replica.digest.is_empty()
            && servers
                .iter()
                .any(|server| server.listed.server == replica.server && server.free() > 0)
    };
    let Some(replica) = cache.replica.as_ref().filter(has_room) else {
        return false;
    };
    let due = PrefetchJob {
        key: turn.request.key.clone(),
        service: turn.request.class.service.clone(),
        replica: replica.clone(),
        update_record: false,
    };
    kv::prefetch(front, due, true);
    true
}

/// Opens a verified connection to the picked server.
async fn connect(
    front: &Front,
    turn: &BegunTurn,
    pick: &Selection,
) -> Option<BackendConnection<Verified>> {
    let server = &pick.server.listed;
    let service = &turn.request.class.service;
    let connection = front
        .pool
        .get(&front.runtime, service, &server.server, server.addr)
        .await;
    if let Err(error) = &connection {
        if error.kind() == ErrorKind::PermissionDenied {
            front.counts.strangers.fetch_add(1, SeqCst);
        }
        front.record_failure(&server.server);
    }
    connection.ok()
}

fn selected(
    front: &Front,
    pick: Selection,
    connection: BackendConnection<Verified>,
) -> SelectedServer {
    if matches!(pick.warmth, CacheWarmth::Importable(_)) {
        front.counts.unready.fetch_add(1, SeqCst);
    }
    SelectedServer { pick, connection }
}
