//! Cost of sending a request to a server: the estimated µs until its response is complete.

use super::Requirements;
use super::observed::ObservedCosts;
use super::server::ServerState;
use crate::policy::{Mechanism, Policies};

use yewcross_common::constants::*;

/// Inputs of the cost estimate that are the same for all servers of a service.
pub(super) struct CostModel<'a> {
    pub(super) requirements: &'a Requirements,
    pub(super) observed: &'a ObservedCosts,
    /// Usual µs from dispatch to the response head.
    pub(super) usual_head_us: f64,
    pub(super) now: u64,
    pub(super) policies: Policies,
}

impl CostModel<'_> {
    /// The part of the request's processing time that depends on the server, in µs.
    pub(super) fn processing_us(&self, state: &ServerState, server: &str) -> f64 {
        let load = state.load(self.now);
        if self.requirements.engine.is_none() {
            return self.usual_head_us.max(MIN_USUAL_HEAD_US) * (load + 1.0)
                / state.slots(self.requirements).max(1) as f64;
        }
        let tokens = (state.uncached_tokens(self.requirements, server, self.policies)
            + state.prefill_backlog) as f64;
        tokens * self.prefill_token_us() + load * self.contention_us()
    }

    /// µs to prefill one token.
    fn prefill_token_us(&self) -> f64 {
        if self.policies.has(Mechanism::LearnedPromptCost) {
            self.observed.prefill.value()
        } else {
            ASSUMED_PREFILL_US_PER_TOKEN
        }
    }

    /// µs that each concurrent request at the server adds.
    pub(super) fn contention_us(&self) -> f64 {
        if self.policies.has(Mechanism::LearnedConcurrencyCost) {
            self.observed.contention_us()
        } else {
            ASSUMED_CONCURRENCY_COST_US
        }
    }

    /// Extra cost of a server at another site, in µs.
    pub(super) fn cross_site_us(&self, site: &str) -> f64 {
        let is_local =
            site == self.requirements.site || !self.policies.has(Mechanism::ZonePreference);
        match (is_local, self.requirements.engine.is_some()) {
            (true, _) => 0.0,
            (false, true) => ZONE_COST_MODEL,
            (false, false) => ZONE_COST_LOOKUP,
        }
    }

    /// Extra cost of a server without an idle pooled connection, in µs.
    pub(super) fn connect_us(&self, has_connection: bool) -> f64 {
        if has_connection || !self.policies.has(Mechanism::KeptConnectionPreference) {
            0.0
        } else {
            CONNECT_COST_US
        }
    }
}
