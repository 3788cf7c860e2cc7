//! Hedged requests: a request is sent to a second server when the first one does not respond in
//! time.

use super::attempt::Outcome;
use super::{ClientRequest, Relay};
use crate::balance::Claim;
use crate::policy::Mechanism;
use futures_lite::FutureExt;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::route::Route;
use yewcross_common::constants::*;

impl Relay {
    /// us without a response after which a second server is tried: longer than the first one takes
    /// when it is healthy.
    fn hedge_delay(&self, route: &Route, claim: &Claim) -> u64 {
        let expected_us = HEDGE_FACTOR * self.balance.usual_head_us(&claim.target.service)
            + claim.expected_prefill_us();
        expected_us
            .max(route.target_ms * MS * HEDGE_TARGET_PERCENT / 100)
            .max(HEDGE_DELAY_MIN)
    }

    /// Sends a repeatable request to a server, and to a second one if the first does not respond in
    /// time. The first answer that is no server error is returned; after any other outcome the
    /// other attempt is awaited. The second server is added to `tried` and `sent`.
    pub(super) async fn attempt_hedged(
        self: &Arc<Self>,
        request: &ClientRequest,
        route: &Route,
        claim: Claim,
        tried: &mut Vec<String>,
        sent: &mut u32,
    ) -> Outcome {
        if !self.balance.policies.has(Mechanism::Hedging) {
            return self.attempt(request, claim, route).await;
        }
        let delay = self.hedge_delay(route, &claim);
        let mut first = std::pin::pin!(self.attempt(request, claim, route));
        if let Some(outcome) = self.runtime.timeout(delay, first.as_mut()).await {
            return outcome;
        }
        let Some(mut permit) = self.retry_budget.reserve() else {
            return first.await;
        };
        let second_claim =
            async { Raced::Second(self.claim_server(request, route, None, tried).await) };
        let (second_route, claim) = match first_finished(first.as_mut()).or(second_claim).await {
            Raced::First(outcome) => return outcome,
            Raced::Second(Err(_)) => return first.await,
            Raced::Second(Ok(claimed)) => claimed,
        };
        self.counts.second.fetch_add(1, SeqCst);
        let server = claim.target.server.clone();
        tried.push(server.clone());
        *sent += 1;
        permit.mark_spent();
        let mut second = std::pin::pin!(self.attempt(request, claim, &second_route));
        let second_finished = async { Raced::Second(second.as_mut().await) };
        match first_finished(first.as_mut()).or(second_finished).await {
            Raced::First(outcome) if outcome.is_non_5xx_answer() => outcome,
            Raced::First(outcome) => outcome.better_of(second.await),
            Raced::Second(outcome) if outcome.is_non_5xx_answer() => outcome,
            Raced::Second(outcome) => {
                if matches!(outcome, Outcome::Withdrawn) {
                    tried.retain(|tried| *tried != server);
                }
                if outcome.nothing_sent() {
                    *sent -= 1;
                    permit.mark_unspent();
                }
                outcome.better_of(first.await)
            }
        }
    }
}

/// Which of two concurrent operations finished first.
enum Raced<T> {
    /// The attempt at the first server.
    First(Outcome),
    /// The claim of the second server, or the attempt at it.
    Second(T),
}

async fn first_finished<T>(first: impl Future<Output = Outcome>) -> Raced<T> {
    Raced::First(first.await)
}
