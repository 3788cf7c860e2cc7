//! Load balancing: which server receives a request.
//!
//! - `server`: the state that this proxy keeps of one server.
//! - `observed`: costs estimated from a service's responses.
//! - `cost`: the cost of a request at each server, from the two above.
//! - `ejection`: excludes servers that fail or do not answer.
//! - `queue`: the order of requests that wait for capacity.
//! - `claim`: capacity reserved at a server for one request.

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
use cost::CostModel;
use queue::Queue;
use server::ServerState;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use yewcross_common::configuration::route::Engine;
use yewcross_common::constants::*;
use yewcross_common::hash::rendezvous_weight;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::Runtime;

/// State of one service.
#[derive(Default)]
struct ServiceState {
    servers: HashMap<String, ServerState>,
    queue: Queue,
    /// Moving average of the µs from dispatch to the response head; 0 before the first response.
    usual_head_us: f64,
    observed: ObservedCosts,
    /// When one of its servers last reported its load in a response, in µs; 0 before that.
    load_reported_at: u64,
}

/// Properties of a request that decide which server it is sent to.
#[derive(Clone, Default)]
pub struct Requirements {
    /// The service that the request is for.
    pub service: String,
    /// Properties of the service's model servers; none where the service is no model.
    pub engine: Option<Engine>,
    /// Parts of the prompt in order, each with its number of tokens.
    pub parts: Vec<(u64, u64)>,
    pub prompt_tokens: u64,
    pub max_output_tokens: u64,
    /// The server that ran the previous turn; empty if there is none.
    pub previous_server: String,
    /// Tokens of the previous turn that this server may still cache.
    pub previous_tokens: u64,
    /// The site of this proxy.
    pub site: String,
    /// Time within which a response is wanted, in µs.
    pub target_us: u64,
    /// Position in the queue: the route's rank, then the time by which the request should be
    /// finished, in µs of the runtime's clock.
    pub rank: (u8, u64),
    /// Identifies what the request concerns, where a server that processed a request for it recently
    /// is faster; else empty.
    pub affinity_key: String,
    /// Connections that this proxy may open to one server.
    pub max_connections: u32,
}

/// Why no server was picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PickError {
    /// The list holds no server that may receive the request.
    None,
    /// All servers are at capacity; holds the µs until one is expected to have room.
    AtCapacity(u64),
}

/// Picks servers for the requests of all services.
#[derive(Default)]
pub struct LoadBalancer {
    pub policies: Policies,
    services: RwLock<HashMap<String, Arc<Mutex<ServiceState>>>>,
}

impl ServiceState {
    /// µs until a further request can expect capacity.
    fn expected_wait(&self, requirements: &Requirements, servers: usize, now: u64) -> u64 {
        let max_slots = self
            .servers
            .values()
            .map(|server| server.slots(requirements))
            .max()
            .unwrap_or(1)
            .max(1);
        let slots = max_slots as usize * servers.max(1);
        let overload_left = self
            .servers
            .values()
            .map(|server| server.overloaded_until.saturating_sub(now))
            .min()
            .unwrap_or(0);
        ((self.queue.len() + 1) as f64 * self.usual_head_us.max(MIN_USUAL_HEAD_US) / slots as f64)
            as u64
            + overload_left
    }

    /// Servers that are neither ejected nor unresponsive; all servers if none is healthy.
    fn healthy<'a>(
        &self,
        servers: Vec<&'a ListedServer>,
        now: u64,
        policies: Policies,
    ) -> Vec<&'a ListedServer> {
        let is_healthy = |server: &&&ListedServer| {
            let ejection = &self.servers[&server.server].ejection;
            let is_ejected = policies.has(Mechanism::Ejection) && ejection.is_ejected(now);
            let is_unresponsive = policies.has(Mechanism::UnansweredEjection)
                && ejection.is_unresponsive(now, self.usual_head_us);
            !is_ejected && !is_unresponsive
        };
        let healthy: Vec<&ListedServer> = servers.iter().filter(is_healthy).copied().collect();
        let healthy = if healthy.is_empty() { servers } else { healthy };
        if policies.has(Mechanism::SharedEjection) {
            self.healthy_for_peers(healthy, now)
        } else {
            healthy
        }
    }

    /// Servers that other proxies have not ejected. All servers if more than
    /// `EJECTED_MOST_PERCENT` are ejected: failures of so many have a common cause, and are no
    /// fault of single servers.
    fn healthy_for_peers<'a>(
        &self,
        servers: Vec<&'a ListedServer>,
        now: u64,
    ) -> Vec<&'a ListedServer> {
        let is_healthy = |server: &&&ListedServer| {
            !self.servers[&server.server]
                .ejection
                .is_ejected_by_peers(now)
        };
        let healthy: Vec<&ListedServer> = servers.iter().filter(is_healthy).copied().collect();
        if healthy.len() * 100 < servers.len() * (100 - EJECTED_MAX_PERCENT) {
            servers
        } else {
            healthy
        }
    }
}

/// Two random candidates, so that proxies with the same view of the load do not all pick the same
/// server. The first one is at this proxy's site if any candidate is.
fn two_random_choices<'a>(
    runtime: &Runtime,
    requirements: &Requirements,
    available: Vec<&'a ListedServer>,
) -> Vec<&'a ListedServer> {
    if available.len() < 3 {
        return available;
    }
    let local: Vec<usize> = (0..available.len())
        .filter(|index| available[*index].site == requirements.site)
        .collect();
    let first = local
        .get(runtime.random_index(local.len()))
        .copied()
        .unwrap_or_else(|| runtime.random_index(available.len()));
    let second = (first + 1 + runtime.random_index(available.len() - 1)) % available.len();
    vec![available[first], available[second]]
}

/// The available server for the request's affinity key. Rendezvous hashing makes it the same at all
/// proxies.
fn affinity_choice<'a>(
    requirements: &Requirements,
    available: &[&'a ListedServer],
    policies: Policies,
) -> Option<&'a ListedServer> {
    let has_affinity = !requirements.affinity_key.is_empty()
        && requirements.engine.is_none()
        && policies.has(Mechanism::Affinity);
    available
        .iter()
        .copied()
        .filter(|_| has_affinity)
        .max_by_key(|server| rendezvous_weight(&requirements.affinity_key, &server.server))
}

impl LoadBalancer {
    /// A load balancer in which only these mechanisms take part.
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

    /// Usual µs from dispatch to the response head at this service; 0 before the first response.
    pub fn usual_head_us(&self, service: &str) -> u64 {
        self.service(service).lock().unwrap().usual_head_us as u64
    }

    /// Costs estimated from the service's responses so far.
    pub fn observed(&self, service: &str) -> ObservedCosts {
        self.service(service).lock().unwrap().observed.clone()
    }

    /// Number of requests that wait for capacity at the service.
    pub fn queue_len(&self, service: &str) -> usize {
        self.service(service).lock().unwrap().queue.len()
    }

    /// Picks the cheapest server with capacity, except those already tried, and reserves capacity
    /// there. `is_connected` says whether an idle connection to a server is pooled.
    pub fn pick(
        &self,
        runtime: &Runtime,
        requirements: &Requirements,
        servers: &[ListedServer],
        tried: &[String],
        is_connected: impl Fn(&str) -> bool,
    ) -> Result<Claim, PickError> {
        let (service, now, policies) = (
            self.service(&requirements.service),
            runtime.now(),
            self.policies,
        );
        let mut service_state = service.lock().unwrap();
        let eligible: Vec<&ListedServer> = servers
            .iter()
            .filter(|server| {
                server.service == requirements.service
                    && !server.leaving
                    && !tried.contains(&server.server)
            })
            .collect();
        for server in &eligible {
            service_state
                .servers
                .entry(server.server.clone())
                .or_default();
        }
        let healthy = service_state.healthy(eligible, now, policies);
        if healthy.is_empty() {
            return Err(PickError::None);
        }
        let is_available = |server: &&&ListedServer| {
            !service_state.servers[&server.server].is_full(
                requirements,
                &server.server,
                now,
                service_state.usual_head_us,
                policies,
            )
        };
        let available: Vec<&ListedServer> = healthy.iter().filter(is_available).copied().collect();
        let cost_model = CostModel {
            requirements,
            observed: &service_state.observed,
            usual_head_us: service_state.usual_head_us,
            now,
            policies,
        };
        let processing_us = |server: &ListedServer| {
            cost_model.processing_us(&service_state.servers[&server.server], &server.server)
        };
        let by_affinity = affinity_choice(requirements, &available, policies);
        let candidates =
            match requirements.engine.is_none() && policies.has(Mechanism::PowerOfTwoChoices) {
                true => two_random_choices(runtime, requirements, available),
                false => available,
            };
        // Random jitter spreads requests over servers of about the same cost: the load figures are
        // slightly out of date, and the same at all proxies.
        let jitter = if requirements.engine.is_some() {
            cost_model.contention_us().max(1.0) as usize
        } else {
            1
        };
        let cost = |server: &&&ListedServer| {
            (processing_us(server)
                + cost_model.cross_site_us(&server.site)
                + cost_model.connect_us(is_connected(&server.server))) as u64
                + runtime.random_index(jitter) as u64
        };
        let Some(best) = candidates.iter().min_by_key(cost).copied() else {
            return Err(PickError::AtCapacity(service_state.expected_wait(
                requirements,
                healthy.len(),
                now,
            )));
        };
        let target = by_affinity
            .filter(|server| processing_us(server) <= processing_us(best) * AFFINITY_BOUND)
            .unwrap_or(best)
            .clone();
        let state = service_state
            .servers
            .get_mut(&target.server)
            .expect("every eligible server has an entry in the service's state");
        let uncached_tokens = if requirements.engine.is_some() {
            state.uncached_tokens(requirements, &target.server, policies)
        } else {
            0
        };
        let reserved_tokens = if requirements.engine.is_some() {
            uncached_tokens + requirements.max_output_tokens
        } else {
            0
        };
        let load = state.load(now);
        let had_free_slot = load < state.slots(requirements) as f64;
        let prefill_backlog = state.prefill_backlog;
        state.in_flight += 1;
        state.prefill_backlog += uncached_tokens;
        state.reserved_tokens += reserved_tokens;
        state.ejection.record_dispatch(now);
        drop(service_state);
        Ok(Claim {
            service,
            runtime: runtime.clone(),
            policies,
            target,
            claimed_at: now,
            uncached_tokens,
            prefill_backlog,
            reserved_tokens,
            load,
            had_free_slot,
            head_at: 0,
        })
    }

    /// Waits in the service's queue until it is notified of capacity. Returns false if that does not
    /// happen by `until` (µs).
    pub async fn wait_for_capacity(
        &self,
        runtime: &Runtime,
        requirements: &Requirements,
        until: u64,
    ) -> bool {
        let rank = self
            .policies
            .has(Mechanism::QueuePriority)
            .then_some(requirements.rank);
        let woken = self
            .service(&requirements.service)
            .lock()
            .unwrap()
            .queue
            .join(rank);
        runtime
            .timeout(until.saturating_sub(runtime.now()), woken.recv())
            .await
            .is_some()
    }

    /// The load that this proxy puts on each server, and whether it has ejected the server. Servers
    /// with neither are left out.
    pub fn own_loads(&self, now: u64) -> Vec<(String, Load)> {
        let services = self.services.read().unwrap();
        let mut loads = vec![];
        for service in services.values() {
            let service_state = service.lock().unwrap();
            let all = service_state
                .servers
                .iter()
                .map(|(server, state)| (server.clone(), state.own_load(now)));
            loads.extend(all.filter(|(_, load)| *load != Load::default()));
        }
        loads
    }

    /// Whether the servers report their load themselves, at every service with requests of this
    /// proxy in flight.
    pub fn servers_report_load(&self, now: u64) -> bool {
        let services = self.services.read().unwrap();
        services.values().all(|service| {
            let service_state = service.lock().unwrap();
            let is_reported = service_state.load_reported_at > 0
                && now < service_state.load_reported_at + REPORTED_LOAD_LIFETIME;
            is_reported
                || service_state
                    .servers
                    .values()
                    .all(|state| state.in_flight == 0)
        })
    }

    /// Updates the load that other proxies put on each server. `peers` returns none for a server
    /// whose load is unknown; its state does not change.
    pub fn update_peer_loads(&self, now: u64, peers: impl Fn(&str) -> Option<Load>) {
        for service in self.services.read().unwrap().values() {
            let mut service_state = service.lock().unwrap();
            for (server, state) in &mut service_state.servers {
                peers(server)
                    .iter()
                    .for_each(|load| state.record_peer_load(*load, now));
            }
        }
    }

    /// Removes the state of idle servers that are no longer listed, and requests that no longer wait.
    pub fn prune(&self, is_listed: impl Fn(&str) -> bool) {
        for service in self.services.read().unwrap().values() {
            let mut service_state = service.lock().unwrap();
            service_state
                .servers
                .retain(|server, state| state.in_flight > 0 || is_listed(server));
            service_state.queue.prune();
        }
    }
}
