//! State that a proxy keeps of one server: its load, the prompt parts in its cache, and its
//! failures.

use super::ejection::Ejection;
use super::{Load, Requirements};
use crate::policy::{Mechanism, Policies};
use lru::LruCache;
use yewcross_common::constants::*;

/// The state of one server, as this proxy sees it.
#[derive(Default)]
pub(super) struct ServerState {
    /// Requests of this proxy in flight.
    pub(super) in_flight: u32,
    peer_load: PeerLoad,
    /// Slots that the server reported; 0 where it reports none.
    slots: u32,
    /// Prompt tokens of this proxy's requests that the server still has to prefill.
    pub(super) prefill_backlog: u64,
    /// Tokens that this proxy's requests may occupy in the server's memory.
    pub(super) reserved_tokens: u64,
    /// Time until which the server counts as full, because it rejected a request as overloaded (µs).
    pub(super) overloaded_until: u64,
    pub(super) ejection: Ejection,
    /// Prompt parts that the server may still cache, with their tokens.
    cached_parts: Option<LruCache<u64, u64>>,
    cached_tokens: u64,
}

/// Requests of other proxies in flight: the latest count and the mean, towards which the estimate
/// decays as the latest count ages.
#[derive(Default)]
struct PeerLoad {
    latest: f64,
    mean: f64,
    updated_at: u64,
}

impl PeerLoad {
    fn update(&mut self, count: f64, now: u64) {
        self.mean = if self.updated_at == 0 {
            count
        } else {
            self.mean * 0.9 + count * 0.1
        };
        (self.latest, self.updated_at) = (count, now);
    }

    fn estimate(&self, now: u64) -> f64 {
        if self.updated_at == 0 {
            return 0.0;
        }
        let age = (now - self.updated_at) as f64 / LOAD_DECAY_TIME as f64;
        self.mean + (self.latest - self.mean) * (-age).exp()
    }
}

impl ServerState {
    /// Records the load that the server reported in a response to one of this proxy's requests.
    pub(super) fn record_reported_load(
        &mut self,
        running: u32,
        waiting: u32,
        slots: u32,
        now: u64,
    ) {
        self.peer_load.update(
            (running + waiting).saturating_sub(self.in_flight.saturating_sub(1)) as f64,
            now,
        );
        self.slots = slots;
    }

    /// Records the load that other proxies put on the server, and how many of them have ejected it.
    pub(super) fn record_peer_load(&mut self, peers: Load, now: u64) {
        // The server's own reports are newer than the sums of the proxies and take precedence.
        if self.slots == 0 {
            self.peer_load.update(peers.in_flight as f64, now);
        }
        self.ejection.record_peer_ejections(peers.ejected_by, now);
    }

    pub(super) fn own_load(&self, now: u64) -> Load {
        Load {
            in_flight: self.in_flight,
            ejected_by: self.ejection.is_ejected(now) as u32,
        }
    }

    /// Requests in flight at the server, of this proxy and of the others.
    pub(super) fn load(&self, now: u64) -> f64 {
        self.in_flight as f64 + self.peer_load.estimate(now)
    }

    /// Slots that the server reported, else those that are configured; 0 where neither is known.
    pub(super) fn slots(&self, requirements: &Requirements) -> u32 {
        if self.slots > 0 {
            self.slots
        } else {
            requirements
                .engine
                .as_ref()
                .map_or(0, |engine| engine.slots)
        }
    }

    /// Tokens of the prompt that the server would have to prefill.
    pub(super) fn uncached_tokens(
        &self,
        requirements: &Requirements,
        server: &str,
        policies: Policies,
    ) -> u64 {
        let is_cached = |part: &&(u64, u64)| {
            self.cached_parts
                .as_ref()
                .is_some_and(|cached| cached.contains(&part.0))
        };
        let by_parts: u64 = match policies.has(Mechanism::PrefixPlacement) {
            true => requirements
                .parts
                .iter()
                .take_while(is_cached)
                .map(|part| part.1)
                .sum(),
            false => 0,
        };
        let by_turn =
            if requirements.previous_server == server && policies.has(Mechanism::PreviousServer) {
                requirements.previous_tokens
            } else {
                0
            };
        requirements
            .prompt_tokens
            .saturating_sub(by_parts.max(by_turn))
    }

    /// Records that the server has prefilled these parts and may cache them within `capacity`
    /// tokens; the least recently used parts are evicted.
    pub(super) fn record_prefill(&mut self, parts: &[(u64, u64)], capacity: u64) {
        let cached = self.cached_parts.get_or_insert_with(LruCache::unbounded);
        for (id, tokens) in parts {
            self.cached_tokens =
                self.cached_tokens + tokens - cached.put(*id, *tokens).unwrap_or(0);
        }
        while self.cached_tokens > capacity
            && let Some((_, tokens)) = cached.pop_lru()
        {
            self.cached_tokens -= tokens;
        }
    }

    /// Whether the server should receive no further request now. `usual_head_us` is the usual time
    /// from dispatch to the response head in µs.
    pub(super) fn is_full(
        &self,
        requirements: &Requirements,
        server: &str,
        now: u64,
        usual_head_us: f64,
        policies: Policies,
    ) -> bool {
        let is_busy = policies.has(Mechanism::FullServerAvoidance)
            && (now < self.overloaded_until
                || self.are_slots_taken(requirements, now, usual_head_us));
        let is_at_connection_limit = policies.has(Mechanism::ConnectionLimit)
            && self.in_flight >= requirements.max_connections;
        let is_out_of_memory = policies.has(Mechanism::MemoryLimit)
            && self.is_memory_taken(requirements, server, now, policies);
        is_busy || is_at_connection_limit || is_out_of_memory
    }

    /// Whether the slots are taken. A server that is no model server may also queue some requests
    /// itself, for about a quarter of the latency target.
    fn are_slots_taken(&self, requirements: &Requirements, now: u64, usual_head_us: f64) -> bool {
        let slots = self.slots(requirements) as f64;
        let queue_allowance = match &requirements.engine {
            Some(_) => 0.0,
            None => SERVER_QUEUE_ALLOWANCE
                .min(slots * requirements.target_us as f64 / 4.0 / usual_head_us.max(1.0)),
        };
        slots > 0.0 && self.load(now) >= slots + queue_allowance
    }

    /// Whether the request would exceed the memory of a model server. Requests of other proxies are
    /// assumed to occupy as much as the mean of this proxy's requests.
    fn is_memory_taken(
        &self,
        requirements: &Requirements,
        server: &str,
        now: u64,
        policies: Policies,
    ) -> bool {
        let Some(engine) = requirements.engine.as_ref().filter(|_| self.in_flight > 0) else {
            return false;
        };
        let mean_tokens = self.reserved_tokens as f64 / self.in_flight as f64;
        let taken = self.reserved_tokens as f64 + self.peer_load.estimate(now) * mean_tokens;
        taken
            + (self.uncached_tokens(requirements, server, policies)
                + requirements.max_output_tokens) as f64
            > engine.cache_tokens as f64
    }
}
