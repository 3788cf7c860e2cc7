//! Selection of servers for a request, and its attempts at them, limited by `max_tries`.

use super::attempt::{Answer, Outcome};
use super::{ClientRequest, Rejection, Relay};
use crate::balance::{Claim, PickError, Requirements};
use crate::policy::Mechanism;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::route::{Mode, Route, Upstream};
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::turn_log::Turn;

/// A request that a server answered.
pub(super) struct Dispatched {
    pub(super) route: Route,
    pub(super) answer: Answer,
    /// Servers that were selected, except those withdrawn before a byte was sent.
    pub(super) tried: Vec<String>,
    /// Number of servers that bytes of the request were sent to.
    pub(super) sent: u32,
}

/// Progress of a request that is attempted at one server after another.
#[derive(Default)]
struct Progress {
    /// Servers that are not selected again.
    tried: Vec<String>,
    /// Number of servers that bytes of the request were sent to.
    sent: u32,
    /// An answer was lost: a server may have executed the request.
    is_lost: bool,
    /// The last answer with a server error: it is forwarded if no better one follows.
    error: Option<Answer>,
}

impl Progress {
    fn done(self, route: Route, answer: Answer) -> Dispatched {
        Dispatched {
            route,
            answer,
            tried: self.tried,
            sent: self.sent,
        }
    }

    /// Ends the request without a further attempt: with the last error answer if there is one, else
    /// with the rejection.
    fn end(mut self, route: &Route, rejection: Rejection) -> Result<Dispatched, Rejection> {
        match self.error.take() {
            Some(error) => Ok(self.done(route.clone(), error)),
            None => Err(rejection),
        }
    }
}

impl Relay {
    /// Whether a request of the route may be executed more than once.
    fn is_repeatable(&self, route: &Route) -> bool {
        match route.mode {
            Mode::Pure => true,
            Mode::Stream => route.resumable && self.balance.policies.has(Mechanism::StreamRetry),
            Mode::Effectful => false,
        }
    }

    /// Sends a request to one server after another until one answers. Bytes of it are sent to at
    /// most `max_tries` servers. `first` is the route that was selected when the request was read.
    pub(super) async fn dispatch(
        self: &Arc<Self>,
        request: &ClientRequest,
        first: &Route,
        previous: Option<&Turn>,
    ) -> Result<Dispatched, Rejection> {
        let mut progress = Progress::default();
        self.retry_budget.deposit();
        loop {
            let claimed = self
                .claim_server(request, first, previous, &progress.tried)
                .await;
            let (route, claim) = match claimed {
                Ok(claimed) => claimed,
                Err(_) if progress.is_lost => return progress.end(first, self.no_answer(request)),
                Err(rejection) => return progress.end(first, rejection),
            };
            let server = claim.target.server.clone();
            progress.tried.push(server.clone());
            let outcome = self
                .attempt_once(request, &route, claim, &mut progress)
                .await;
            progress.sent += !outcome.nothing_sent() as u32;
            let may_continue =
                progress.sent < route.max_tries && self.runtime.now() < request.deadline;
            let may_run_again =
                || self.is_repeatable(&route) && may_continue && self.retry_budget.withdraw();
            match outcome {
                Outcome::Answer(answer) => {
                    let is_error = answer.head.status.is_server_error();
                    if !is_error || !may_run_again() {
                        return Ok(progress.done(route, *answer));
                    }
                    progress.error = Some(*answer);
                }
                // The server may be selected again under the current configuration and list. If no
                // time is left, the next selection rejects the request.
                Outcome::Withdrawn => progress.tried.retain(|tried| *tried != server),
                Outcome::NotRun | Outcome::Unsent if may_continue => {}
                Outcome::NotRun | Outcome::Unsent if progress.is_lost => {
                    return Err(self.no_answer(request));
                }
                Outcome::NotRun | Outcome::Unsent => {
                    let retry_after_ms = self.retry_after_ms(&route);
                    let all_refused = Rejection(
                        Code::LineFull,
                        "every server turned it away",
                        retry_after_ms,
                    );
                    return progress.end(&route, all_refused);
                }
                Outcome::Lost if may_run_again() => progress.is_lost = true,
                Outcome::Lost => return Err(self.no_answer(request)),
            }
        }
    }

    /// Sends the request to the claimed server, and also to a second one if the first does not
    /// respond in time and the route and `max_tries` allow it.
    async fn attempt_once(
        self: &Arc<Self>,
        request: &ClientRequest,
        route: &Route,
        claim: Claim,
        progress: &mut Progress,
    ) -> Outcome {
        if self.is_repeatable(route) && progress.sent + 1 < route.max_tries {
            let Progress { tried, sent, .. } = progress;
            self.attempt_hedged(request, route, claim, tried, sent)
                .await
        } else {
            self.attempt(request, claim, route).await
        }
    }

    /// The rejection of a request that a server may have executed without answering it.
    fn no_answer(&self, request: &ClientRequest) -> Rejection {
        if self.runtime.now() + MS >= request.deadline {
            self.counts.expired.fetch_add(1, SeqCst);
            return Rejection(Code::Expired, "no answer by its deadline", 0);
        }
        Rejection(Code::MayHaveRun, "its answer was lost", 0)
    }

    /// Claims a server under the configuration and list that are current at that moment. Waits for
    /// free capacity up to a share of the route's target latency.
    pub(super) async fn claim_server(
        &self,
        request: &ClientRequest,
        first: &Route,
        previous: Option<&Turn>,
        tried: &[String],
    ) -> Result<(Route, Claim), Rejection> {
        let queue_deadline =
            self.runtime.now() + first.target_ms.max(40) * MS * QUEUEING_TARGET_PERCENT / 100;
        loop {
            let now = self.runtime.now();
            let (route, upstream) = {
                let configuration = self.documents.config.load();
                let (version, routes) = (configuration.0, &configuration.1.routing);
                self.select_route(routes, version, &request.host, &request.head, &request.meta)?
            };
            // A request that was opened as a turn, or sent under one execution mode, must not be
            // sent again under another.
            if route.retained != first.retained || route.mode != first.mode {
                return Err(Rejection(Code::NotServing, "the route has changed", 20));
            }
            if now >= request.deadline {
                let retry_after_ms = self.retry_after_ms(&route);
                return Err(Rejection(Code::TooLate, "no time is left", retry_after_ms));
            }
            let need = self.need(request, &route, &upstream, previous);
            let free_in_us = match self.pick_server(&need, tried) {
                Ok(claim) => return Ok((route, claim)),
                Err(PickError::None) => {
                    let retry_after_ms = self.retry_after_ms(&route);
                    let reason = "no server of the service may take it now";
                    return Err(Rejection(Code::NoServer, reason, retry_after_ms));
                }
                Err(PickError::AtCapacity(free_in_us)) => free_in_us,
            };
            let wait_until = queue_deadline.min(request.deadline);
            if now + free_in_us >= wait_until
                || !self
                    .balance
                    .wait_for_capacity(&self.runtime, &need, wait_until)
                    .await
            {
                let retry_after_ms = (free_in_us / MS).clamp(
                    self.retry_after_ms(&route) / 2,
                    (route.target_ms / 2).max(20),
                );
                return Err(Rejection(
                    Code::LineFull,
                    "all places are taken",
                    retry_after_ms,
                ));
            }
        }
    }

    fn pick_server(&self, need: &Requirements, tried: &[String]) -> Result<Claim, PickError> {
        let list = self.documents.server_list.load();
        let has_kept_connection = |server: &str| self.pool.has_idle(server);
        self.balance.pick(
            &self.runtime,
            need,
            &list.1.servers,
            tried,
            has_kept_connection,
        )
    }

    /// What the request needs of a server, for the selection.
    fn need(
        &self,
        request: &ClientRequest,
        route: &Route,
        upstream: &Upstream,
        previous: Option<&Turn>,
    ) -> Requirements {
        let front_count = self.front_count.load(SeqCst).max(1) as u32;
        let meta = &request.meta;
        let finish_at =
            request.received_at + meta.program_deadline_ms.unwrap_or(route.timeout_ms) * MS;
        Requirements {
            service: upstream.name.clone(),
            engine: upstream.engine.clone(),
            parts: meta.prompt_segments.clone(),
            prompt_tokens: meta.prompt_tokens,
            max_output_tokens: meta.max_output_tokens,
            previous_server: previous.map(|turn| turn.server.clone()).unwrap_or_default(),
            previous_tokens: previous.map_or(0, |turn| turn.tokens),
            site: self.site.clone(),
            target_us: route.target_ms.max(1) * MS,
            rank: (route.rank, finish_at),
            affinity_key: if route.pinned {
                meta.affinity.clone()
            } else {
                String::new()
            },
            max_connections: (upstream.max_conns * 3 / 2 / front_count).max(2),
        }
    }

    /// Urgency of a request for a model engine, from the route's rank and the time left for its
    /// program; 0 is the most urgent. None where the service has no engine.
    pub(super) fn urgency(
        &self,
        request: &ClientRequest,
        route: &Route,
        has_engine: bool,
    ) -> Option<u8> {
        let is_finish_near = |finish_ms: u64| finish_ms < 4 * route.target_ms.max(1);
        let is_urgent = request.meta.program_deadline_ms.is_some_and(is_finish_near);
        has_engine.then(|| {
            (2 + 3 * route.rank.min(2))
                .saturating_sub(is_urgent as u8)
                .min(9)
        })
    }
}
