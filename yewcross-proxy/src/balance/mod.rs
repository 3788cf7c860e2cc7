//! Which server takes a request.
//!
//! `server` holds what is known of one server, `observed` what a service's answers teach, `cost`
//! ranks servers by it, `ejection` leaves ill ones out, `queue` orders those who wait, `claim` is a
//! place that was taken.

mod claim;
mod cost;
mod ejection;
mod load;
mod observed;
mod queue;
mod server;

pub use claim::Claim;
pub use load::Load;
pub use observed::{ObservedCosts, SlopeEstimator};

use crate::policy::{Mechanism, Policies};
use cost::Pricing;
use queue::Queue;
use server::ServerState;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use yewcross_common::configuration::route::Engine;
use yewcross_common::constants::*;
use yewcross_common::hash::rendezvous_weight;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::Runtime;

/// What is known of one service.
#[derive(Default)]
struct ServiceState {
    servers: HashMap<String, ServerState>,
    queue: Queue,
    /// us from dispatch to the head.
    usual: f64,
    observed: ObservedCosts,
    /// us. When one of its servers last told its load in an answer; 0 before.
    told_at: u64,
}

/// What a request needs of a server.
#[derive(Clone, Default)]
pub struct Requirements {
    pub service: String,
    pub engine: Option<Engine>,
    /// Parts of its prompt in order, with their tokens.
    pub parts: Vec<(u64, u64)>,
    /// Tokens of the prompt and of the output.
    pub prompt_tokens: u64,
    pub max_output_tokens: u64,
    /// The server that ran the turn before, and the tokens that it may still hold of it.
    pub previous_server: String,
    pub previous_tokens: u64,
    pub site: String,
    pub target_us: u64,
    /// Place in the queue: rank, then us of the world's clock by which it should be over.
    pub rank: (u8, u64),
    /// Names the thing that it concerns, where a server that saw it lately does the work faster;
    /// else empty.
    pub affinity_key: String,
    /// Connections that we may have to one server.
    pub max_connections: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PickError {
    /// The list names no server that may take it.
    None,
    /// All places are taken; one is due in so many us.
    AtCapacity(u64),
}

/// The choice of servers, over all services.
#[derive(Default)]
pub struct LoadBalancer {
    pub policies: Policies,
    services: RwLock<HashMap<String, Arc<Mutex<ServiceState>>>>,
}

impl ServiceState {
    /// us until a place is due.
    fn due(&self, need: &Requirements, servers: usize, now: u64) -> u64 {
        let most = self
            .servers
            .values()
            .map(|s| s.slots(need))
            .max()
            .unwrap_or(1)
            .max(1);
        let slots = most as usize * servers.max(1);
        let first_free = self
            .servers
            .values()
            .map(|s| s.full_until.saturating_sub(now))
            .min()
            .unwrap_or(0);
        ((self.queue.len() + 1) as f64 * self.usual.max(MIN_USUAL_HEAD_US) / slots as f64) as u64
            + first_free
    }

    /// Those that are neither ejected nor silent; all where none is well.
    fn sound<'a>(
        &self,
        servers: Vec<&'a ListedServer>,
        now: u64,
        policies: Policies,
    ) -> Vec<&'a ListedServer> {
        let is_well = |server: &&&ListedServer| {
            let ejection = &self.servers[&server.server].ejection;
            let ejected = policies.has(Mechanism::Ejection) && ejection.is_ejected(now);
            let silent =
                policies.has(Mechanism::UnansweredEjection) && ejection.is_silent(now, self.usual);
            !ejected && !silent
        };
        let sound: Vec<&ListedServer> = servers.iter().filter(is_well).copied().collect();
        let sound = if sound.is_empty() { servers } else { sound };
        if policies.has(Mechanism::SharedEjection) {
            self.well_by_others(sound, now)
        } else {
            sound
        }
    }

    /// Those that other fronts do not leave alone; all where that would be too few: what so many
    /// fail at is no server's own.
    fn well_by_others<'a>(
        &self,
        servers: Vec<&'a ListedServer>,
        now: u64,
    ) -> Vec<&'a ListedServer> {
        let is_well = |server: &&&ListedServer| {
            !self.servers[&server.server]
                .ejection
                .is_ejected_by_others(now)
        };
        let well: Vec<&ListedServer> = servers.iter().filter(is_well).copied().collect();
        if well.len() * 100 < servers.len() * (100 - EJECTED_MAX_PERCENT) {
            servers
        } else {
            well
        }
    }
}

/// Fronts that all saw the same load must not all choose the same server. One of the two is near.
fn two_at_random<'a>(
    runtime: &Runtime,
    need: &Requirements,
    free: Vec<&'a ListedServer>,
) -> Vec<&'a ListedServer> {
    if free.len() < 3 {
        return free;
    }
    let near: Vec<usize> = (0..free.len())
        .filter(|i| free[*i].site == need.site)
        .collect();
    let first = near
        .get(runtime.random_index(near.len()))
        .copied()
        .unwrap_or_else(|| runtime.random_index(free.len()));
    let second = (first + 1 + runtime.random_index(free.len() - 1)) % free.len();
    vec![free[first], free[second]]
}

/// The one for the request's affinity key, of those that are free: the same at all fronts, by
/// rendezvous hashing.
fn affine<'a>(
    need: &Requirements,
    free: &[&'a ListedServer],
    policies: Policies,
) -> Option<&'a ListedServer> {
    let is_asked =
        !need.affinity_key.is_empty() && need.engine.is_none() && policies.has(Mechanism::Affinity);
    free.iter()
        .copied()
        .filter(|_| is_asked)
        .max_by_key(|server| rendezvous_weight(&need.affinity_key, &server.server))
}

impl LoadBalancer {
    pub fn with_policies(policies: Policies) -> LoadBalancer {
        LoadBalancer {
            policies,
            ..LoadBalancer::default()
        }
    }

    fn service(&self, name: &str) -> Arc<Mutex<ServiceState>> {
        if let Some(state) = self.services.read().unwrap().get(name) {
            return state.clone();
        }
        self.services
            .write()
            .unwrap()
            .entry(name.into())
            .or_default()
            .clone()
    }

    /// us from dispatch to the head at this service; 0 while unknown.
    pub fn usual_head_us(&self, service: &str) -> u64 {
        self.service(service).lock().unwrap().usual as u64
    }

    /// What the answers of a service have taught so far.
    pub fn observed(&self, service: &str) -> ObservedCosts {
        self.service(service).lock().unwrap().observed.clone()
    }

    /// Requests that wait for a place.
    pub fn queue_len(&self, service: &str) -> usize {
        self.service(service).lock().unwrap().queue.len()
    }

    /// The best place at this moment, or why there is none.
    pub fn pick(
        &self,
        runtime: &Runtime,
        n: &Requirements,
        servers: &[ListedServer],
        tried: &[String],
        kept: impl Fn(&str) -> bool,
    ) -> Result<Claim, PickError> {
        let (service, now, policies) = (self.service(&n.service), runtime.now(), self.policies);
        let mut g = service.lock().unwrap();
        let may: Vec<&ListedServer> = servers
            .iter()
            .filter(|s| s.service == n.service && !s.leaving && !tried.contains(&s.server))
            .collect();
        for server in &may {
            g.servers.entry(server.server.clone()).or_default();
        }
        let sound = g.sound(may, now, policies);
        if sound.is_empty() {
            return Err(PickError::None);
        }
        let is_free = |server: &&&ListedServer| {
            !g.servers[&server.server].full(n, &server.server, now, g.usual, policies)
        };
        let free: Vec<&ListedServer> = sound.iter().filter(is_free).copied().collect();
        let pricing = Pricing {
            need: n,
            observed: &g.observed,
            usual: g.usual,
            now,
            policies,
        };
        let work = |server: &ListedServer| pricing.work(&g.servers[&server.server], &server.server);
        let by_affinity = affine(n, &free, policies);
        let candidates = match n.engine.is_none() && policies.has(Mechanism::PowerOfTwoChoices) {
            true => two_at_random(runtime, n, free),
            false => free,
        };
        // Those that cost about the same take turns: what is known of the load is a little old, and
        // the same at all fronts.
        let jitter = if n.engine.is_some() {
            pricing.contention_us().max(1.0) as usize
        } else {
            1
        };
        let price = |server: &&&ListedServer| {
            (work(server) + pricing.distance(&server.site) + pricing.dial(kept(&server.server)))
                as u64
                + runtime.random_index(jitter) as u64
        };
        let Some(best) = candidates.iter().min_by_key(price).copied() else {
            return Err(PickError::AtCapacity(g.due(n, sound.len(), now)));
        };
        let to = by_affinity
            .filter(|server| work(server) <= work(best) * AFFINITY_BOUND)
            .unwrap_or(best)
            .clone();
        let state = g
            .servers
            .get_mut(&to.server)
            .expect("every server has a state");
        let missing = if n.engine.is_some() {
            state.missing(n, &to.server, policies)
        } else {
            0
        };
        let tokens = if n.engine.is_some() {
            missing + n.max_output_tokens
        } else {
            0
        };
        let load = state.load(now);
        let had_slot = load < state.slots(n) as f64;
        let reading_ahead = state.reading;
        state.in_flight += 1;
        state.reading += missing;
        state.tokens += tokens;
        state.ejection.sent(now);
        drop(g);
        Ok(Claim {
            service,
            w: runtime.clone(),
            policies,
            target: to,
            at: now,
            missing,
            reading_ahead,
            tokens,
            load,
            had_slot,
            headed_at: 0,
        })
    }

    /// Waits for a place to come free, until `until`; false if none did.
    pub async fn wait_for_capacity(&self, runtime: &Runtime, n: &Requirements, until: u64) -> bool {
        let rank = self
            .policies
            .has(Mechanism::QueuePriority)
            .then_some(n.rank);
        let rx = self.service(&n.service).lock().unwrap().queue.join(rank);
        runtime
            .timeout(until.saturating_sub(runtime.now()), rx.recv())
            .await
            .is_some()
    }

    /// What we have under way and whom we leave alone, by server.
    pub fn own_loads(&self, now: u64) -> Vec<(String, Load)> {
        let services = self.services.read().unwrap();
        let mut loads = vec![];
        for service in services.values() {
            let g = service.lock().unwrap();
            let all = g
                .servers
                .iter()
                .map(|(server, state)| (server.clone(), state.own_load(now)));
            loads.extend(all.filter(|(_, load)| *load != Load::default()));
        }
        loads
    }

    /// Whether all services at which we have requests under way have servers that tell their load
    /// themselves.
    pub fn servers_report_load(&self, now: u64) -> bool {
        let services = self.services.read().unwrap();
        services.values().all(|service| {
            let g = service.lock().unwrap();
            let is_told = g.told_at > 0 && now < g.told_at + REPORTED_LOAD_LIFETIME;
            is_told || g.servers.values().all(|state| state.in_flight == 0)
        })
    }

    /// Takes what other fronts have under way at each server; none where they are not known.
    pub fn update_peer_loads(&self, now: u64, others: impl Fn(&str) -> Option<Load>) {
        for service in self.services.read().unwrap().values() {
            let mut g = service.lock().unwrap();
            for (server, state) in &mut g.servers {
                others(server)
                    .iter()
                    .for_each(|load| state.shared(*load, now));
            }
        }
    }

    /// Forgets servers no longer listed, and waiters that left.
    pub fn prune(&self, listed: impl Fn(&str) -> bool) {
        for service in self.services.read().unwrap().values() {
            let mut g = service.lock().unwrap();
            g.servers
                .retain(|server, state| state.in_flight > 0 || listed(server));
            g.queue.tidy();
        }
    }
}
