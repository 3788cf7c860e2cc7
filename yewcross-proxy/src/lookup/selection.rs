//! Selects the server for a lookup.

use super::once::RegisteredLookup;
use crate::back::{BackendConnection, Verified};
use crate::scoring::{self, ScoreWeights, ScoringInput};
use crate::{Front, server_table};
use std::io;
use yewcross_common::configuration::ProgramClass;
use yewcross_common::constants::{COMMIT_RESERVE, MS};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{ListedServer, SessionCacheState};

/// us. Interval at which a lookup retries the selection while no server has a free slot.
const SELECTION_INTERVAL: u64 = 10 * MS;
/// us. The selection is not retried with less time left than this.
const MIN_TIME_LEFT_TO_WAIT: u64 = 20 * MS;

/// A server with a free slot, and the time left for it to respond.
pub(super) struct SelectedServer {
    pub(super) server: ListedServer,
    /// us.
    pub(super) time_left: u64,
}

/// Selects the best server that is not excluded; waits for a free slot until the lookup's queueing
/// deadline.
pub(super) async fn select_server(
    front: &Front,
    lookup: &RegisteredLookup,
    excluded: &[String],
) -> Result<SelectedServer, Code> {
    let request = &lookup.request;
    let weights = ScoreWeights::from(&ProgramClass::default());
    let no_cache = SessionCacheState::default();
    loop {
        let latest_response = front.runtime.now() + COMMIT_RESERVE / 2;
        let time_left = request.deadline.saturating_sub(latest_response);
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
            && time_left > MIN_TIME_LEFT_TO_WAIT
            && servers
                .iter()
                .any(|server| !excluded.contains(&server.listed.server));
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

/// Opens a verified connection to the server.
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

/// Whether the server is still eligible for the lookup. Checked immediately before sending, as the
/// process may have been suspended since the server was selected.
pub(super) fn is_still_eligible(
    front: &Front,
    lookup: &RegisteredLookup,
    server: &ListedServer,
) -> bool {
    front.watcher.may_serve()
        && server_table::eligible_servers(front, &lookup.request.body.service)
            .iter()
            .any(|candidate| candidate.listed == *server)
}
