//! Taking up a broken or stalled stream at another server, within the answer that its client
//! already has.

use super::attempt::{Answer, AnswerBody, Outcome};
use super::dispatch::Dispatched;
use super::{ClientRequest, Relay};
use crate::policy::Mechanism;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::route::{Mode, Route};
use yewcross_common::runtime::*;

/// What is needed to take a stream up again.
pub(super) struct Resumption {
    request: Arc<ClientRequest>,
    route: Route,
    tried: Vec<String>,
    sent: u32,
    /// Weights that the first server answered with: a stream stays with them.
    weights: String,
}

/// The rest of a stream, from another server.
pub(super) type Rest = BoxFuture<'static, Option<Answer>>;

impl Resumption {
    /// None where the route's streams may not be resumed.
    pub(super) fn of(
        relay: &Relay,
        request: &Arc<ClientRequest>,
        dispatched: &Dispatched,
    ) -> Option<Resumption> {
        let may = dispatched.route.mode == Mode::Stream && dispatched.route.resumable;
        (may && relay.balance.policies.has(Mechanism::Resumption)).then(|| Resumption {
            request: request.clone(),
            route: dispatched.route.clone(),
            tried: dispatched.tried.clone(),
            sent: dispatched.sent,
            weights: dispatched.answer.meta.weights.clone(),
        })
    }

    /// us of silence after which the stream is stalled; none where that is not looked for.
    pub(super) fn stalled_after(&self, relay: &Relay, answer: &Answer) -> Option<u64> {
        let may = self.route.gap_ms > 0 && relay.balance.policies.has(Mechanism::StallDetection);
        may.then(|| answer.claim.stalled_after(self.route.gap_ms))
    }

    /// Begins to take the stream up behind the event of this id; none where no further attempt may
    /// be made.
    pub(super) fn begin(&mut self, relay: &Arc<Relay>, last_id: &[u8]) -> Option<Rest> {
        if self.sent >= self.route.max_tries
            || relay.runtime.now() >= self.request.until
            || !relay.retries.withdraw()
        {
            return None;
        }
        self.sent += 1;
        let (relay, route, tried, weights) = (
            relay.clone(),
            self.route.clone(),
            self.tried.clone(),
            self.weights.clone(),
        );
        let mut request = ClientRequest::clone(&self.request);
        relay.back.resume_after(&mut request.head.headers, last_id);
        Some(Box::pin(async move {
            let (route, claim) = relay.seat(&request, &route, None, &tried).await.ok()?;
            relay.counts.resumed.fetch_add(1, SeqCst);
            let Outcome::Answer(answer) = relay.attempt(&request, claim, &route).await else {
                return None;
            };
            let goes_on = answer.head.status.is_success() && answer.meta.weights == weights;
            (goes_on && matches!(answer.body, AnswerBody::Coming(..))).then_some(*answer)
        }))
    }
}
