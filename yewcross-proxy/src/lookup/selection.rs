//! Which server a lookup goes to.

use super::once::RegisteredLookup;
use crate::backend::{BackendConnection, Verified};
use crate::scoring::{self, ScoreWeights, ScoringInput};
use crate::{Front, server_table};
use std::io;
use yewcross_common::configuration::ProgramClass;
use yewcross_common::constants::{COMMIT_RESERVE, MS};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{ListedServer, SessionCacheState};

/// us. How often a lookup looks for a server again while none has room.
const SELECTION_INTERVAL: u64 = 10 * MS;
/// us. With less time left than this, no server is waited for.
const LEAST_WAIT_LEFT: u64 = 20 * MS;

/// A server with room, and the time that is left for it.
pub(super) struct SelectedServer {
    pub(super) server: ListedServer,
    /// us.
    pub(super) time_left: u64,
}

/// Selects the best server that is not excluded; waits for one with room while the lookup may
/// queue.
pub(super) async fn select_server(
    front: &Front,
    lookup: &RegisteredLookup,
    excluded: &[String],
) -> Result<SelectedServer, Code> {
    let request = &lookup.request;
    let weights = ScoreWeights::from(&ProgramClass::default());
    let no_cache = SessionCacheState::default();
    loop {
        let end = front.runtime.now() + COMMIT_RESERVE / 2;
        let time_left = request.deadline.saturating_sub(end);
        let servers = server_table::eligible_servers(front, &request.body.service);
        let case = ScoringInput {
            key: &request.body.key,
            site: &front.settings.site,
            prompt_tokens: 0,
            max_output_tokens: 0,
            cache: &no_cache,
            time_left,
        };
        let pick = scoring::select_best(&servers, &case, &weights, excluded);
        if let Some(pick) = pick.filter(|_| time_left > 0 && front.watcher.may_serve()) {
            return Ok(SelectedServer {
                server: pick.server.listed,
                time_left,
            });
        }
        let may_wait = front.runtime.now() < request.queueing_deadline
            && time_left > LEAST_WAIT_LEFT
            && servers.iter().any(|s| !excluded.contains(&s.listed.server));
        if !may_wait || !front.watcher.may_serve() {
            return Err(if servers.is_empty() {
                Code::NoServer
            } else {
                Code::TooLate
            });
        }
        front.runtime.sleep(SELECTION_INTERVAL).await;
    }
}

/// A verified connection to the server.
pub(super) async fn connect(
    front: &Front,
    lookup: &RegisteredLookup,
    server: &ListedServer,
) -> io::Result<BackendConnection<Verified>> {
    let service = &lookup.request.body.service;
    front
        .pool
        .get(&front.runtime, service, &server.server, server.addr)
        .await
}

/// Whether the lookup may still go there. Checked last before it is sent: what was decided before
/// a freeze is decided again.
pub(super) fn is_still_fit(
    front: &Front,
    lookup: &RegisteredLookup,
    server: &ListedServer,
) -> bool {
    front.watcher.may_serve()
        && server_table::eligible_servers(front, &lookup.request.body.service)
            .iter()
            .any(|candidate| candidate.listed == *server)
}
