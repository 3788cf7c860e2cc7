//! The choice of servers for a request, and its attempts at them within `max_tries`.

use super::attempt::{Answer, Outcome};
use super::{ClientRequest, Rejection, Relay};
use crate::balance::{Claim, Need, NoSeat};
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
        s: &ClientRequest,
        first: &Route,
        prev: Option<&Turn>,
    ) -> Result<Dispatched, Rejection> {
        let (mut tried, mut sent, mut lost): (Vec<String>, u32, bool) = (vec![], 0, false);
        let mut last: Option<Answer> = None;
        self.retries.deposit();
        let done = |route: Route, answer: Answer, tried: Vec<String>, sent: u32| Dispatched {
            route,
            answer,
            tried,
            sent,
        };
        loop {
            let (route, claim) = match self.seat(s, first, prev, &tried).await {
                Ok(x) => x,
                Err(e) => {
                    let rejection = if lost { self.gave_up(s) } else { e };
                    return last
                        .map(|a| done(first.clone(), a, tried, sent))
                        .ok_or(rejection);
                }
            };
            let repeatable = self.repeatable(&route);
            let server = claim.to.server.clone();
            tried.push(server.clone());
            let got = if repeatable && sent + 1 < route.max_tries {
                self.attempt_hedged(s, &route, claim, &mut tried, &mut sent)
                    .await
            } else {
                self.attempt(s, claim, &route).await
            };
            sent += !got.nothing_sent() as u32;
            let more = sent < route.max_tries && self.runtime.now() < s.until;
            match got {
                Outcome::Answer(a) => {
                    let ill = a.head.status.is_server_error();
                    if !(ill && repeatable && more && self.retries.withdraw()) {
                        return Ok(done(route, *a, tried, sent));
                    }
                    last = Some(*a);
                }
                // It may be chosen again by what holds now; where no time is left, that is told
                // there.
                Outcome::Withdrawn => tried.retain(|x| *x != server),
                Outcome::NotRun | Outcome::Unsent if more => {}
                Outcome::NotRun | Outcome::Unsent if lost => return Err(self.gave_up(s)),
                Outcome::NotRun | Outcome::Unsent => {
                    return last
                        .map(|a| done(route.clone(), a, tried, sent))
                        .ok_or(Rejection(
                            Code::LineFull,
                            "every server turned it away",
                            self.soon(&route),
                        ));
                }
                Outcome::Lost if repeatable && more && self.retries.withdraw() => lost = true,
                Outcome::Lost => return Err(self.gave_up(s)),
            }
        }
    }

    fn gave_up(&self, s: &ClientRequest) -> Rejection {
        if self.runtime.now() + MS >= s.until {
            self.counts.expired.fetch_add(1, SeqCst);
            return Rejection(Code::Expired, "no answer by its deadline", 0);
        }
        Rejection(Code::MayHaveRun, "its answer was lost", 0)
    }

    /// A place at a server, by the newest configuration and list at the moment it is taken.
    pub(super) async fn seat(
        &self,
        s: &ClientRequest,
        first: &Route,
        prev: Option<&Turn>,
        tried: &[String],
    ) -> Result<(Route, Claim), Rejection> {
        let patience =
            self.runtime.now() + first.target_ms.max(40) * MS * QUEUEING_TARGET_PERCENT / 100;
        loop {
            let now = self.runtime.now();
            let (route, up) = {
                let c = self.documents.config.load();
                self.route(&c.1.routing, c.0, &s.host, &s.head, &s.meta)?
            };
            // What was sent as repeatable, or opened as a turn, is not sent again as anything else.
            if route.retained != first.retained || route.mode != first.mode {
                return Err(Rejection(Code::NotServing, "the route has changed", 20));
            }
            if now >= s.until {
                return Err(Rejection(
                    Code::TooLate,
                    "no time is left",
                    self.soon(&route),
                ));
            }
            let n = self.need(s, &route, &up, prev);
            let got = {
                let l = self.documents.list.load();
                self.balance
                    .pick(&self.runtime, &n, &l.1.servers, tried, |x| self.pool.has(x))
            };
            let due = match got {
                Ok(c) => return Ok((route, c)),
                Err(NoSeat::None) => {
                    return Err(Rejection(
                        Code::NoServer,
                        "no server of the service may take it now",
                        self.soon(&route),
                    ));
                }
                Err(NoSeat::Full(due)) => due,
            };
            let end = patience.min(s.until);
            if now + due >= end || !self.balance.wait(&self.runtime, &n, end).await {
                let back = (due / MS).clamp(self.soon(&route) / 2, (route.target_ms / 2).max(20));
                return Err(Rejection(Code::LineFull, "all places are taken", back));
            }
        }
    }

    fn need(&self, s: &ClientRequest, r: &Route, up: &Upstream, prev: Option<&Turn>) -> Need {
        let fronts = self.fronts.load(SeqCst).max(1) as u32;
        Need {
            service: up.name.clone(),
            engine: up.engine.clone(),
            parts: s.meta.parts.clone(),
            prompt: s.meta.prompt_tokens,
            output: s.meta.max_output_tokens,
            prev: prev.map(|t| t.server.clone()).unwrap_or_default(),
            prev_tokens: prev.map_or(0, |t| t.tokens),
            site: self.site.clone(),
            target_us: r.target_ms.max(1) * MS,
            rank: (
                r.rank,
                s.began + s.meta.finish_ms.unwrap_or(r.timeout_ms) * MS,
            ),
            affinity: if r.pinned {
                s.meta.affinity.clone()
            } else {
                String::new()
            },
            conns: (up.max_conns * 3 / 2 / fronts).max(2),
        }
    }

    /// 0 for the most urgent: by the route's rank, and by the time that its program has left.
    pub(super) fn urgency(&self, s: &ClientRequest, r: &Route, up: bool) -> Option<u8> {
        let hurry = s.meta.finish_ms.is_some_and(|f| f < 4 * r.target_ms.max(1));
        up.then(|| (2 + 3 * r.rank.min(2)).saturating_sub(hurry as u8).min(9))
    }
}
