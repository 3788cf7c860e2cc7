//! Hedged requests: a second server is asked where the first one is silent.

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
    /// us of silence after which a second server is asked: longer than the first would take if it
    /// were well.
    fn hedge_after(&self, route: &Route, claim: &Claim) -> u64 {
        let usual = HEDGE_FACTOR * self.balance.usual_head_us(&claim.target.service)
            + claim.expected_prefill_us();
        usual
            .max(route.target_ms * MS * HEDGE_TARGET_PERCENT / 100)
            .max(HEDGE_DELAY_MIN)
    }

    /// Sends a repeatable request to a server, and to a second one if the first is silent. The
    /// first good answer counts; a bad one leaves the other to be waited for.
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
        let pause = self.hedge_after(route, &claim);
        let mut first = std::pin::pin!(self.attempt(request, claim, route));
        if let Some(outcome) = self.runtime.timeout(pause, first.as_mut()).await {
            return outcome;
        }
        let Some(mut permit) = self.retry_budget.reserve() else {
            return first.await;
        };
        let place = async { Raced::Second(self.seat(request, route, None, tried).await) };
        let (second_route, claim) = match finished(first.as_mut()).or(place).await {
            Raced::First(outcome) => return outcome,
            Raced::Second(Err(_)) => return first.await,
            Raced::Second(Ok(place)) => place,
        };
        self.counts.second.fetch_add(1, SeqCst);
        let server = claim.target.server.clone();
        tried.push(server.clone());
        *sent += 1;
        permit.spend();
        let mut second = std::pin::pin!(self.attempt(request, claim, &second_route));
        let answered = async { Raced::Second(second.as_mut().await) };
        match finished(first.as_mut()).or(answered).await {
            Raced::First(outcome) if outcome.is_good() => outcome,
            Raced::First(outcome) => outcome.or(second.await),
            Raced::Second(outcome) if outcome.is_good() => outcome,
            Raced::Second(outcome) => {
                if matches!(outcome, Outcome::Withdrawn) {
                    tried.retain(|tried| *tried != server);
                }
                if outcome.nothing_sent() {
                    *sent -= 1;
                    permit.give_back();
                }
                outcome.or(first.await)
            }
        }
    }
}

/// Which of two that are under way is over.
enum Raced<T> {
    /// The attempt at the first server.
    First(Outcome),
    /// What is done for the second one.
    Second(T),
}

async fn finished<T>(first: impl Future<Output = Outcome>) -> Raced<T> {
    Raced::First(first.await)
}
