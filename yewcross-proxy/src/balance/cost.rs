//! The price of sending a request to a server, in us until its answer is whole.

use super::Requirements;
use super::observed::ObservedCosts;
use super::server::ServerState;
use crate::policy::{Mechanism, Policies};

use yewcross_common::constants::*;

/// What the choice knows of the service and the moment.
pub(super) struct Pricing<'a> {
    pub(super) need: &'a Requirements,
    pub(super) observed: &'a ObservedCosts,
    /// us from dispatch to the head.
    pub(super) usual: f64,
    pub(super) now: u64,
    pub(super) policies: Policies,
}

impl Pricing<'_> {
    /// us that the request takes there, as far as it depends on the server.
    pub(super) fn work(&self, state: &ServerState, server: &str) -> f64 {
        let load = state.load(self.now);
        if self.need.engine.is_none() {
            return self.usual.max(MIN_USUAL_HEAD_US) * (load + 1.0)
                / state.slots(self.need).max(1) as f64;
        }
        let tokens = (state.missing(self.need, server, self.policies) + state.reading) as f64;
        tokens * self.token_us() + load * self.contention_us()
    }

    fn token_us(&self) -> f64 {
        if self.policies.has(Mechanism::LearnedPromptCost) {
            self.observed.prefill.value()
        } else {
            ASSUMED_PREFILL_US_PER_TOKEN
        }
    }

    /// us that each request under way beside it adds.
    pub(super) fn contention_us(&self) -> f64 {
        if self.policies.has(Mechanism::LearnedConcurrencyCost) {
            self.observed.contention_us()
        } else {
            ASSUMED_CONCURRENCY_COST_US
        }
    }

    /// What a server of another zone costs more.
    pub(super) fn distance(&self, site: &str) -> f64 {
        let is_near = site == self.need.site || !self.policies.has(Mechanism::ZonePreference);
        match (is_near, self.need.engine.is_some()) {
            (true, _) => 0.0,
            (false, true) => ZONE_COST_MODEL,
            (false, false) => ZONE_COST_LOOKUP,
        }
    }

    /// What a server costs more to which no connection is kept.
    pub(super) fn dial(&self, is_kept: bool) -> f64 {
        if is_kept || !self.policies.has(Mechanism::KeptConnectionPreference) {
            0.0
        } else {
            CONNECT_COST_US
        }
    }
}
