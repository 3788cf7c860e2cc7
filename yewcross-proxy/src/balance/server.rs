//! What a front knows of one server: what is under way there, what it holds, how it stood.

use super::ejection::Ejection;
use super::{Load, Requirements};
use crate::policy::{Mechanism, Policies};
use lru::LruCache;
use yewcross_common::constants::*;

/// The state of one server, as this front sees it.
#[derive(Default)]
pub(super) struct ServerState {
    /// Requests of ours under way.
    pub(super) in_flight: u32,
    others: Others,
    slots: u32,
    /// Tokens that we have it read and hold.
    pub(super) reading: u64,
    pub(super) tokens: u64,
    /// It said that it is full, until then at least.
    pub(super) full_until: u64,
    pub(super) ejection: Ejection,
    held: Option<LruCache<u64, u64>>,
    held_tokens: u64,
}

/// Requests of other fronts under way: as last heard, and their mean, towards which what was heard
/// fades.
#[derive(Default)]
struct Others {
    last: f64,
    mean: f64,
    at: u64,
}

impl Others {
    fn heard(&mut self, count: f64, now: u64) {
        self.mean = if self.at == 0 {
            count
        } else {
            self.mean * 0.9 + count * 0.1
        };
        (self.last, self.at) = (count, now);
    }

    fn at(&self, now: u64) -> f64 {
        if self.at == 0 {
            return 0.0;
        }
        let age = (now - self.at) as f64 / LOAD_DECAY_TIME as f64;
        self.mean + (self.last - self.mean) * (-age).exp()
    }
}

impl ServerState {
    /// The server told its load in an answer to one of our requests.
    pub(super) fn told(&mut self, running: u32, waiting: u32, slots: u32, now: u64) {
        self.others.heard(
            (running + waiting).saturating_sub(self.in_flight.saturating_sub(1)) as f64,
            now,
        );
        self.slots = slots;
    }

    /// What other fronts have under way here, and how many of them leave it alone.
    pub(super) fn shared(&mut self, others: Load, now: u64) {
        // What it tells of itself is newer, and counts more than what fronts sum up.
        if self.slots == 0 {
            self.others.heard(others.in_flight as f64, now);
        }
        self.ejection.shared(others.ejected_by, now);
    }

    pub(super) fn own_load(&self, now: u64) -> Load {
        Load {
            in_flight: self.in_flight,
            ejected_by: self.ejection.is_ejected(now) as u32,
        }
    }

    /// Requests under way here, ours and those of others.
    pub(super) fn load(&self, now: u64) -> f64 {
        self.in_flight as f64 + self.others.at(now)
    }

    pub(super) fn slots(&self, need: &Requirements) -> u32 {
        if self.slots > 0 {
            self.slots
        } else {
            need.engine.as_ref().map_or(0, |e| e.slots)
        }
    }

    /// Tokens of the prompt that it would have to read.
    pub(super) fn missing(&self, need: &Requirements, server: &str, policies: Policies) -> u64 {
        let is_held = |part: &&(u64, u64)| self.held.as_ref().is_some_and(|h| h.contains(&part.0));
        let by_parts: u64 = match policies.has(Mechanism::PrefixPlacement) {
            true => need
                .parts
                .iter()
                .take_while(is_held)
                .map(|part| part.1)
                .sum(),
            false => 0,
        };
        let by_turn = if need.previous_server == server && policies.has(Mechanism::PreviousServer) {
            need.previous_tokens
        } else {
            0
        };
        need.prompt_tokens.saturating_sub(by_parts.max(by_turn))
    }

    /// It has read these parts and may hold them; what was unused for longest gives way.
    pub(super) fn read(&mut self, parts: &[(u64, u64)], room: u64) {
        let held = self.held.get_or_insert_with(LruCache::unbounded);
        for (id, tokens) in parts {
            self.held_tokens = self.held_tokens + tokens - held.put(*id, *tokens).unwrap_or(0);
        }
        while self.held_tokens > room
            && let Some((_, tokens)) = held.pop_lru()
        {
            self.held_tokens -= tokens;
        }
    }

    /// Whether it should not be sent another request now. `usual` is the time from dispatch to the
    /// head (us).
    pub(super) fn full(
        &self,
        need: &Requirements,
        server: &str,
        now: u64,
        usual: f64,
        policies: Policies,
    ) -> bool {
        let crowded = policies.has(Mechanism::FullServerAvoidance)
            && (now < self.full_until || self.slots_taken(need, now, usual));
        let linked =
            policies.has(Mechanism::ConnectionLimit) && self.in_flight >= need.max_connections;
        let no_memory =
            policies.has(Mechanism::MemoryLimit) && self.memory_taken(need, server, now, policies);
        crowded || linked || no_memory
    }

    fn slots_taken(&self, need: &Requirements, now: u64, usual: f64) -> bool {
        let slots = self.slots(need) as f64;
        let beyond = match &need.engine {
            Some(_) => 0.0,
            None => {
                SERVER_QUEUE_ALLOWANCE.min(slots * need.target_us as f64 / 4.0 / usual.max(1.0))
            }
        };
        slots > 0.0 && self.load(now) >= slots + beyond
    }

    fn memory_taken(
        &self,
        need: &Requirements,
        server: &str,
        now: u64,
        policies: Policies,
    ) -> bool {
        let Some(engine) = need.engine.as_ref().filter(|_| self.in_flight > 0) else {
            return false;
        };
        let each = self.tokens as f64 / self.in_flight as f64;
        let taken = self.tokens as f64 + self.others.at(now) * each;
        taken + (self.missing(need, server, policies) + need.max_output_tokens) as f64
            > engine.cache_tokens as f64
    }
}
