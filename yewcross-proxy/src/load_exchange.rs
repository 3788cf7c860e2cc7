//! Exchange of load between proxies: each proxy reports how many of its requests are in flight at
//! each server, so that all of them balance by the total load.
//!
//! In each site one proxy is the collector. The other proxies of the site send it their reports, and
//! its responses contain the sums. Collectors of different sites also exchange reports: each sends
//! the load that its site puts on the other site's servers, and receives the total load of those
//! servers.
//!
//! Only the quality of server selection depends on the exchange: reports that are not renewed
//! expire, and an unreachable collector is replaced as soon as membership reports its failure.

use crate::balance::{Load, LoadBalancer};
use crate::relay::Relay;
use crate::server_table::designated_front;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::hash::rendezvous_weight;
use yewcross_common::membership::{Membership, Node};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{ListedServer, PeerRequest, PeerResponse};
use yewcross_common::runtime::Runtime;

/// Key by which rendezvous hashing selects the collector among the proxies of a site.
const COLLECTOR: &str = "load collector";

/// Compact identifier of a server: a hash of its name. If two servers have the same key, their loads
/// are added up; nothing else is affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerKey(u32);

impl ServerKey {
    /// The key of the server with this name.
    pub fn of(server: &str) -> ServerKey {
        ServerKey(rendezvous_weight(server, "") as u32)
    }
}

/// The load of one server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    pub server: ServerKey,
    pub load: Load,
}

/// The newest report of a proxy, or of another site's collector.
struct Report {
    /// When the report was received, in µs.
    received_at: u64,
    loads: HashMap<ServerKey, Load>,
}

/// State of a collector: the newest report of each proxy of its site and of each other site.
#[derive(Default)]
pub struct LoadCollector {
    proxies: HashMap<String, Report>,
    sites: HashMap<String, Report>,
    /// Load of the servers of other sites, as reported by their collectors.
    remote_loads: HashMap<String, Vec<ServerLoad>>,
}

impl LoadCollector {
    /// Replaces the report of a proxy or, with `by_site`, of another site.
    pub fn add_report(&mut self, from: &str, by_site: bool, loads: &[ServerLoad], now: u64) {
        let report = Report {
            received_at: now,
            loads: loads
                .iter()
                .map(|server_load| (server_load.server, server_load.load))
                .collect(),
        };
        let reports = if by_site {
            &mut self.sites
        } else {
            &mut self.proxies
        };
        reports.insert(from.into(), report);
    }

    /// Load of these servers, summed over all current reports.
    pub fn total<'a>(
        &self,
        servers: impl Iterator<Item = &'a ListedServer>,
        now: u64,
    ) -> Vec<ServerLoad> {
        sum_loads(
            self.proxies.values().chain(self.sites.values()),
            servers,
            now,
        )
    }

    /// Load that the proxies of this site put on these servers; servers without any are left out.
    fn own_site_loads<'a>(
        &self,
        servers: impl Iterator<Item = &'a ListedServer>,
        now: u64,
    ) -> Vec<ServerLoad> {
        let mut loads = sum_loads(self.proxies.values(), servers, now);
        loads.retain(|server_load| server_load.load != Load::default());
        loads
    }

    /// Removes expired reports.
    fn prune(&mut self, now: u64) {
        self.proxies.retain(|_, report| report.is_current(now));
        self.sites.retain(|_, report| report.is_current(now));
    }
}

/// Sums the current reports for each of these servers.
fn sum_loads<'r, 's>(
    reports: impl Iterator<Item = &'r Report>,
    servers: impl Iterator<Item = &'s ListedServer>,
    now: u64,
) -> Vec<ServerLoad> {
    let current: Vec<&Report> = reports.filter(|report| report.is_current(now)).collect();
    let sum = |server: ServerKey| {
        current
            .iter()
            .filter_map(|report| report.loads.get(&server))
            .copied()
            .sum()
    };
    servers
        .map(|listed| ServerKey::of(&listed.server))
        .map(|server| ServerLoad {
            server,
            load: sum(server),
        })
        .collect()
}

impl Report {
    fn is_current(&self, now: u64) -> bool {
        now < self.received_at + LOAD_REPORT_LIFETIME
    }
}

/// The load exchange as one proxy takes part in it.
pub struct LoadExchange {
    runtime: Runtime,
    name: String,
    site: String,
    members: Arc<Membership>,
    documents: Arc<DocumentCache>,
    /// In use while this proxy is its site's collector.
    collector: Mutex<LoadCollector>,
}

impl LoadExchange {
    pub fn new(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        name: &str,
        site: &str,
    ) -> Arc<LoadExchange> {
        Arc::new(LoadExchange {
            runtime: members.runtime.clone(),
            name: name.into(),
            site: site.into(),
            members: members.clone(),
            documents: documents.clone(),
            collector: Default::default(),
        })
    }

    /// Adds a report and returns the encoded response: to a proxy the load of all known servers, to
    /// another site's collector the load of this site's servers. None if the report cannot be
    /// decoded.
    pub fn handle_report(&self, from: &str, by_site: bool, report: &[u8]) -> Option<Vec<u8>> {
        let loads: Vec<ServerLoad> = postcard::from_bytes(report).ok()?;
        let now = self.runtime.now();
        let mut collector = self.collector.lock().unwrap();
        collector.add_report(from, by_site, &loads, now);
        let response = if by_site {
            self.least_loaded(&collector, now)
        } else {
            self.known_loads(&collector, now)
        };
        postcard::to_allocvec(&response).ok()
    }

    /// Load of this site's servers, and of other sites' servers as far as their collectors have
    /// reported it.
    fn known_loads(&self, collector: &LoadCollector, now: u64) -> Vec<ServerLoad> {
        let list = self.documents.server_list.load();
        let mut loads = collector.total(
            list.1
                .servers
                .iter()
                .filter(|server| server.site == self.site),
            now,
        );
        loads.extend(collector.remote_loads.values().flatten());
        loads
    }

    /// Load of this site's least loaded servers: the ones to which another site would send requests.
    fn least_loaded(&self, collector: &LoadCollector, now: u64) -> Vec<ServerLoad> {
        let list = self.documents.server_list.load();
        let mut loads = collector.total(
            list.1
                .servers
                .iter()
                .filter(|server| server.site == self.site),
            now,
        );
        loads.sort_by_key(|server_load| server_load.load.in_flight);
        loads.truncate(LOAD_SITE_SERVERS);
        loads
    }

    /// Exchanges load at random intervals of about `LOAD_EXCHANGE_INTERVAL`, for the lifetime of the
    /// process.
    pub async fn run(self: Arc<Self>, relay: Arc<Relay>) {
        let (mut last_exchange, mut next_site_exchange) = (0, 0);
        loop {
            self.runtime
                .sleep(
                    LOAD_EXCHANGE_INTERVAL * 9 / 10
                        + self.runtime.random() % (LOAD_EXCHANGE_INTERVAL / 5),
                )
                .await;
            let now = self.runtime.now();
            let loads = own_loads(&relay.balance, now);
            // Without requests in flight a proxy has neither load to report nor servers to pick, and
            // servers that report their load themselves give better figures.
            let is_optional = loads.is_empty() || relay.balance.servers_report_load(now);
            if is_optional && now < last_exchange + LOAD_EXCHANGE_IDLE_INTERVAL {
                continue;
            }
            last_exchange = now;
            let proxies = self.members.nodes_of_role(Role::Front);
            let collector = designated_front(&proxies, COLLECTOR, &self.site);
            if collector.as_deref() == Some(self.name.as_str()) {
                self.collect_own_loads(&loads, &relay.balance);
                if now >= next_site_exchange {
                    next_site_exchange = now + LOAD_SITE_EXCHANGE_INTERVAL;
                    self.exchange_with_sites(&proxies);
                }
            } else if let Some(node) =
                collector.and_then(|name| proxies.into_iter().find(|node| node.name == name))
            {
                self.exchange_with_collector(&node, &loads, &relay.balance)
                    .await;
            }
        }
    }

    /// Adds the collector's own report and updates its load balancer.
    fn collect_own_loads(&self, loads: &[ServerLoad], balancer: &LoadBalancer) {
        let now = self.runtime.now();
        let mut collector = self.collector.lock().unwrap();
        collector.prune(now);
        collector.add_report(&self.name, false, loads, now);
        let known = self.known_loads(&collector, now);
        drop(collector);
        update_peer_loads(balancer, &known, loads, now);
    }

    /// Sends this proxy's loads to its collector and updates the load balancer from the response.
    async fn exchange_with_collector(
        &self,
        collector: &Node,
        loads: &[ServerLoad],
        balancer: &LoadBalancer,
    ) {
        let Ok(report) = postcard::to_allocvec(loads) else {
            return;
        };
        let response = self
            .members
            .peers
            .request(
                collector.peer,
                &PeerRequest::ExchangeLoads { by_site: false },
                &report,
                LOAD_EXCHANGE_TIMEOUT,
            )
            .await;
        let Ok((PeerResponse::Loads, encoded)) = response else {
            return;
        };
        if let Ok(known) = postcard::from_bytes::<Vec<ServerLoad>>(&encoded) {
            update_peer_loads(balancer, &known, loads, self.runtime.now());
        }
    }

    /// Starts an exchange with the collector of each other site.
    fn exchange_with_sites(self: &Arc<Self>, proxies: &[Node]) {
        let sites: BTreeSet<&str> = proxies
            .iter()
            .map(|node| node.site.as_str())
            .filter(|site| *site != self.site)
            .collect();
        for site in sites {
            let Some(node) = designated_front(proxies, COLLECTOR, site)
                .and_then(|name| proxies.iter().find(|node| node.name == name))
            else {
                continue;
            };
            let (exchange, node) = (self.clone(), node.clone());
            self.runtime
                .spawn(async move { exchange.exchange_with_site(node).await });
        }
    }

    /// Sends another site's collector the load that this site puts on that site's servers, and keeps
    /// the load that it returns. If the exchange fails, the load of that site's servers is unknown.
    async fn exchange_with_site(self: Arc<Self>, node: Node) {
        let loads = {
            let list = self.documents.server_list.load();
            let remote = list
                .1
                .servers
                .iter()
                .filter(|server| server.site == node.site);
            self.collector
                .lock()
                .unwrap()
                .own_site_loads(remote, self.runtime.now())
        };
        let Ok(report) = postcard::to_allocvec(&loads) else {
            return;
        };
        let response = self
            .members
            .peers
            .request(
                node.peer,
                &PeerRequest::ExchangeLoads { by_site: true },
                &report,
                LOAD_EXCHANGE_TIMEOUT,
            )
            .await;
        let remote_loads = match response {
            Ok((PeerResponse::Loads, encoded)) => {
                postcard::from_bytes(&encoded).unwrap_or_default()
            }
            _ => vec![],
        };
        self.collector
            .lock()
            .unwrap()
            .remote_loads
            .insert(node.site, remote_loads);
    }
}

fn own_loads(balancer: &LoadBalancer, now: u64) -> Vec<ServerLoad> {
    balancer
        .own_loads(now)
        .into_iter()
        .map(|(server, load)| ServerLoad {
            server: ServerKey::of(&server),
            load,
        })
        .collect()
}

/// Updates the load balancer with the load of other proxies: all known load without the part that
/// this proxy reported.
fn update_peer_loads(
    balancer: &LoadBalancer,
    known: &[ServerLoad],
    reported: &[ServerLoad],
    now: u64,
) {
    let mut peer_loads: HashMap<ServerKey, Load> = known
        .iter()
        .map(|server_load| (server_load.server, server_load.load))
        .collect();
    for own in reported {
        peer_loads
            .entry(own.server)
            .and_modify(|load| *load = load.minus(own.load));
    }
    balancer.update_peer_loads(now, |server| {
        peer_loads.get(&ServerKey::of(server)).copied()
    });
}
