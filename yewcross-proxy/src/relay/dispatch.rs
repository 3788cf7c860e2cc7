//! The choice of servers for a request, and its attempts at them within `max_tries`.

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

/// What became of a request that a server answered.
pub(super) struct Dispatched {
    pub(super) route: Route,
    pub(super) answer: Answer,
    /// Servers that were chosen, and how many of them a byte of it was sent to.
    pub(super) tried: Vec<String>,
    pub(super) sent: u32,
}

/// How far a request has come that is sent to one server after another.
#[derive(Default)]
struct Progress {
    tried: Vec<String>,
    sent: u32,
    /// A server may have run it, and its answer was lost.
    is_lost: bool,
    /// The last answer that told of an error of its server: passed on where no better one comes.
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

    /// No further attempt is made.
    fn end(mut self, route: &Route, rejection: Rejection) -> Result<Dispatched, Rejection> {
        match self.error.take() {
            Some(error) => Ok(self.done(route.clone(), error)),
            None => Err(rejection),
        }
    }
}

impl Relay {
    /// Whether a request may run more than once.
    fn repeatable(&self, route: &Route) -> bool {
        match route.mode {
            Mode::Pure => true,
            Mode::Stream => route.resumable && self.balance.policies.has(Mechanism::StreamRetry),
            Mode::Effectful => false,
        }
    }

    /// Sends it to one server after another until one answers; at most `max_tries` of them ever see
    /// a byte of it.
    pub(super) async fn dispatch(
        self: &Arc<Self>,
        request: &ClientRequest,
        first: &Route,
        previous: Option<&Turn>,
    ) -> Result<Dispatched, Rejection> {
        let mut progress = Progress::default();
        self.retry_budget.deposit();
        loop {
            let place = self.seat(request, first, previous, &progress.tried).await;
            let (route, claim) = match place {
                Ok(place) => place,
                Err(_) if progress.is_lost => return progress.end(first, self.gave_up(request)),
                Err(rejection) => return progress.end(first, rejection),
            };
            let server = claim.target.server.clone();
            progress.tried.push(server.clone());
            let outcome = self
                .attempt_once(request, &route, claim, &mut progress)
                .await;
            progress.sent += !outcome.nothing_sent() as u32;
            let may_go_on = progress.sent < route.max_tries && self.runtime.now() < request.until;
            let may_run_again =
                || self.repeatable(&route) && may_go_on && self.retry_budget.withdraw();
            match outcome {
                Outcome::Answer(answer) => {
                    let is_error = answer.head.status.is_server_error();
                    if !is_error || !may_run_again() {
                        return Ok(progress.done(route, *answer));
                    }
                    progress.error = Some(*answer);
                }
                // It may be chosen again by what holds now; where no time is left, that is told
                // there.
                Outcome::Withdrawn => progress.tried.retain(|tried| *tried != server),
                Outcome::NotRun | Outcome::Unsent if may_go_on => {}
                Outcome::NotRun | Outcome::Unsent if progress.is_lost => {
                    return Err(self.gave_up(request));
                }
                Outcome::NotRun | Outcome::Unsent => {
                    let back = self.soon(&route);
                    let full = Rejection(Code::LineFull, "every server turned it away", back);
                    return progress.end(&route, full);
                }
                Outcome::Lost if may_run_again() => progress.is_lost = true,
                Outcome::Lost => return Err(self.gave_up(request)),
            }
        }
    }

    /// Sends it to the server of a claim, and to a second one where that may be done and the first
    /// is silent.
    async fn attempt_once(
        self: &Arc<Self>,
        request: &ClientRequest,
        route: &Route,
        claim: Claim,
        progress: &mut Progress,
    ) -> Outcome {
        if self.repeatable(route) && progress.sent + 1 < route.max_tries {
            let Progress { tried, sent, .. } = progress;
            self.attempt_hedged(request, route, claim, tried, sent)
                .await
        } else {
            self.attempt(request, claim, route).await
        }
    }

    fn gave_up(&self, request: &ClientRequest) -> Rejection {
        if self.runtime.now() + MS >= request.until {
            self.counts.expired.fetch_add(1, SeqCst);
            return Rejection(Code::Expired, "no answer by its deadline", 0);
        }
        Rejection(Code::MayHaveRun, "its answer was lost", 0)
    }

    /// A place at a server, by the newest configuration and list at the moment it is taken.
    pub(super) async fn seat(
        &self,
        request: &ClientRequest,
        first: &Route,
        previous: Option<&Turn>,
        tried: &[String],
    ) -> Result<(Route, Claim), Rejection> {
        let patience =
            self.runtime.now() + first.target_ms.max(40) * MS * QUEUEING_TARGET_PERCENT / 100;
        loop {
            let now = self.runtime.now();
            let (route, upstream) = {
                let configuration = self.documents.config.load();
                let (version, routes) = (configuration.0, &configuration.1.routing);
                self.route(routes, version, &request.host, &request.head, &request.meta)?
            };
            // What was sent as repeatable, or opened as a turn, is not sent again as anything else.
            if route.retained != first.retained || route.mode != first.mode {
                return Err(Rejection(Code::NotServing, "the route has changed", 20));
            }
            if now >= request.until {
                let back = self.soon(&route);
                return Err(Rejection(Code::TooLate, "no time is left", back));
            }
            let need = self.need(request, &route, &upstream, previous);
            let due = match self.pick(&need, tried) {
                Ok(claim) => return Ok((route, claim)),
                Err(PickError::None) => {
                    let back = self.soon(&route);
                    let none = "no server of the service may take it now";
                    return Err(Rejection(Code::NoServer, none, back));
                }
                Err(PickError::AtCapacity(due)) => due,
            };
            let end = patience.min(request.until);
            if now + due >= end
                || !self
                    .balance
                    .wait_for_capacity(&self.runtime, &need, end)
                    .await
            {
                let back = (due / MS).clamp(self.soon(&route) / 2, (route.target_ms / 2).max(20));
                return Err(Rejection(Code::LineFull, "all places are taken", back));
            }
        }
    }

    fn pick(&self, need: &Requirements, tried: &[String]) -> Result<Claim, PickError> {
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

    fn need(
        &self,
        request: &ClientRequest,
        route: &Route,
        upstream: &Upstream,
        previous: Option<&Turn>,
    ) -> Requirements {
        let fronts = self.front_count.load(SeqCst).max(1) as u32;
        let meta = &request.meta;
        let finish = request.began + meta.program_deadline_ms.unwrap_or(route.timeout_ms) * MS;
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
            rank: (route.rank, finish),
            affinity_key: if route.pinned {
                meta.affinity.clone()
            } else {
                String::new()
            },
            max_connections: (upstream.max_conns * 3 / 2 / fronts).max(2),
        }
    }

    /// 0 for the most urgent: by the route's rank, and by the time that its program has left.
    pub(super) fn urgency(
        &self,
        request: &ClientRequest,
        route: &Route,
        has_engine: bool,
    ) -> Option<u8> {
        let is_in_hurry = |finish_ms: u64| finish_ms < 4 * route.target_ms.max(1);
        let hurry = request.meta.program_deadline_ms.is_some_and(is_in_hurry);
        has_engine.then(|| {
            (2 + 3 * route.rank.min(2))
                .saturating_sub(hurry as u8)
                .min(9)
        })
    }
}
