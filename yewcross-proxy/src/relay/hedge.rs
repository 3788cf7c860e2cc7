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
        let usual = HEDGE_FACTOR * self.balance.usual(&claim.to.service) + claim.reading_us();
        usual
            .max(route.target_ms * MS * HEDGE_TARGET_PERCENT / 100)
            .max(HEDGE_DELAY_MIN)
    }

    /// Sends a repeatable request to a server, and to a second one if the first is silent. The
    /// first good answer counts; a bad one leaves the other to be waited for.
    pub(super) async fn attempt_hedged(
        self: &Arc<Self>,
        s: &ClientRequest,
        route: &Route,
        claim: Claim,
        tried: &mut Vec<String>,
        sent: &mut u32,
    ) -> Outcome {
        if !self.balance.policies.has(Mechanism::Hedging) {
            return self.attempt(s, claim, route).await;
        }
        let pause = self.hedge_after(route, &claim);
        let mut first = std::pin::pin!(self.attempt(s, claim, route));
        if let Some(outcome) = self.runtime.timeout(pause, first.as_mut()).await {
            return outcome;
        }
        let Ok((second_route, claim)) = self.seat(s, route, None, tried).await else {
            return first.await;
        };
        if !self.retries.withdraw() {
            drop(claim);
            return first.await;
        }
        self.counts.second.fetch_add(1, SeqCst);
        tried.push(claim.to.server.clone());
        *sent += 1;
        let mut second = std::pin::pin!(self.attempt(s, claim, &second_route));
        let (outcome, is_first) = async { (first.as_mut().await, true) }
            .or(async { (second.as_mut().await, false) })
            .await;
        match outcome {
            Outcome::Answer(_) => outcome,
            _ if is_first => outcome.or(second.await),
            _ => outcome.or(first.await),
        }
    }
}
