//! Fronts tell each other what they have under way at each server, so that each chooses by the load
//! of all.
//!
//! One front of each site collects what the fronts there report, and its answers tell them the
//! sums. Collectors tell each other what their sites have under way in the other's, and hear the
//! load of the servers there. Nothing rests on it but the quality of a choice: what is not heard in
//! time fades, and a collector that cannot be reached is replaced as soon as membership says so.

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

/// Names the front of a site that collects, among its fronts.
const COLLECTOR: &str = "load collector";

/// A server's name in few bytes. Two servers under one key would share a load, and nothing worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerKey(u32);

impl ServerKey {
    pub fn of(server: &str) -> ServerKey {
        ServerKey(rendezvous_weight(server, "") as u32)
    }
}

/// Requests under way at one server, and the fronts that leave it alone since it failed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    pub server: ServerKey,
    pub load: Load,
}

/// What one front, or the collector of another site, last reported.
struct Report {
    at: u64,
    loads: HashMap<ServerKey, Load>,
}

/// The collector's side: the newest report of each front of its site, and of each other site.
#[derive(Default)]
pub struct LoadCollector {
    fronts: HashMap<String, Report>,
    sites: HashMap<String, Report>,
    /// Load of the servers of other sites, as their collectors told it.
    elsewhere: HashMap<String, Vec<ServerLoad>>,
}

impl LoadCollector {
    pub fn add_report(&mut self, from: &str, by_site: bool, loads: &[ServerLoad], now: u64) {
        let report = Report {
            at: now,
            loads: loads.iter().map(|l| (l.server, l.load)).collect(),
        };
        let reports = if by_site {
            &mut self.sites
        } else {
            &mut self.fronts
        };
        reports.insert(from.into(), report);
    }

    /// Load at these servers by all reports that still count.
    pub fn total<'a>(
        &self,
        servers: impl Iterator<Item = &'a ListedServer>,
        now: u64,
    ) -> Vec<ServerLoad> {
        sums(
            self.fronts.values().chain(self.sites.values()),
            servers,
            now,
        )
    }

    /// What the fronts of this site alone have under way at these servers.
    fn ours<'a>(
        &self,
        servers: impl Iterator<Item = &'a ListedServer>,
        now: u64,
    ) -> Vec<ServerLoad> {
        let mut ours = sums(self.fronts.values(), servers, now);
        ours.retain(|l| l.load != Load::default());
        ours
    }

    fn tidy(&mut self, now: u64) {
        self.fronts.retain(|_, r| r.counts(now));
        self.sites.retain(|_, r| r.counts(now));
    }
}

/// What the reports that still count come to, for each of these servers.
fn sums<'r, 's>(
    reports: impl Iterator<Item = &'r Report>,
    servers: impl Iterator<Item = &'s ListedServer>,
    now: u64,
) -> Vec<ServerLoad> {
    let counting: Vec<&Report> = reports.filter(|r| r.counts(now)).collect();
    let sum = |server: ServerKey| {
        counting
            .iter()
            .filter_map(|r| r.loads.get(&server))
            .copied()
            .sum()
    };
    servers
        .map(|s| ServerKey::of(&s.server))
        .map(|server| ServerLoad {
            server,
            load: sum(server),
        })
        .collect()
}

impl Report {
    fn counts(&self, now: u64) -> bool {
        now < self.at + LOAD_REPORT_LIFETIME
    }
}

/// A front's part in the exchange.
pub struct LoadExchange {
    runtime: Runtime,
    name: String,
    site: String,
    members: Arc<Membership>,
    documents: Arc<DocumentCache>,
    collected: Mutex<LoadCollector>,
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
            collected: Default::default(),
        })
    }

    /// Answers a report with the load of all servers known here.
    pub fn handle_report(&self, from: &str, by_site: bool, blob: &[u8]) -> Option<Vec<u8>> {
        let loads: Vec<ServerLoad> = postcard::from_bytes(blob).ok()?;
        let now = self.runtime.now();
        let mut collected = self.collected.lock().unwrap();
        collected.add_report(from, by_site, &loads, now);
        let told = if by_site {
            self.least_loaded(&collected, now)
        } else {
            self.known(&collected, now)
        };
        postcard::to_allocvec(&told).ok()
    }

    /// Load of the servers of our site, and of those of others as far as they were told.
    fn known(&self, collected: &LoadCollector, now: u64) -> Vec<ServerLoad> {
        let list = self.documents.server_list.load();
        let mut all = collected.total(list.1.servers.iter().filter(|s| s.site == self.site), now);
        all.extend(collected.elsewhere.values().flatten());
        all
    }

    /// Load of the servers of our site that another site would send requests to.
    fn least_loaded(&self, collected: &LoadCollector, now: u64) -> Vec<ServerLoad> {
        let list = self.documents.server_list.load();
        let mut all = collected.total(list.1.servers.iter().filter(|s| s.site == self.site), now);
        all.sort_by_key(|l| l.load.in_flight);
        all.truncate(LOAD_SITE_SERVERS);
        all
    }

    /// Reports and hears, again and again.
    pub async fn run(self: Arc<Self>, relay: Arc<Relay>) {
        let (mut idle_since, mut next_sites) = (0, 0);
        loop {
            self.runtime
                .sleep(
                    LOAD_EXCHANGE_INTERVAL * 9 / 10
                        + self.runtime.random() % (LOAD_EXCHANGE_INTERVAL / 5),
                )
                .await;
            let now = self.runtime.now();
            let loads = own_loads(&relay.balance, now);
            // A front without requests has nothing to tell and nothing to choose, and servers that
            // tell their load say more.
            let is_needless = loads.is_empty() || relay.balance.servers_report_load(now);
            if is_needless && now < idle_since + LOAD_EXCHANGE_IDLE_INTERVAL {
                continue;
            }
            idle_since = now;
            let fronts = self.members.nodes_of_role(Role::Front);
            let collector = designated_front(&fronts, COLLECTOR, &self.site);
            if collector.as_deref() == Some(self.name.as_str()) {
                self.collect(&loads, &relay.balance);
                if now >= next_sites {
                    next_sites = now + LOAD_SITE_EXCHANGE_INTERVAL;
                    self.tell_sites(&fronts);
                }
            } else if let Some(node) =
                collector.and_then(|name| fronts.into_iter().find(|n| n.name == name))
            {
                self.report_to(&node, &loads, &relay.balance).await;
            }
        }
    }

    /// The collector's own report.
    fn collect(&self, loads: &[ServerLoad], balance: &LoadBalancer) {
        let now = self.runtime.now();
        let mut collected = self.collected.lock().unwrap();
        collected.tidy(now);
        collected.add_report(&self.name, false, loads, now);
        let known = self.known(&collected, now);
        drop(collected);
        apply(balance, &known, loads, now);
    }

    async fn report_to(&self, collector: &Node, loads: &[ServerLoad], balance: &LoadBalancer) {
        let Ok(blob) = postcard::to_allocvec(loads) else {
            return;
        };
        let answer = self
            .members
            .peers
            .request(
                collector.peer,
                &PeerRequest::ExchangeLoads { by_site: false },
                &blob,
                LOAD_EXCHANGE_TIMEOUT,
            )
            .await;
        let Ok((PeerResponse::Loads, blob)) = answer else {
            return;
        };
        if let Ok(known) = postcard::from_bytes::<Vec<ServerLoad>>(&blob) {
            apply(balance, &known, loads, self.runtime.now());
        }
    }

    /// Tells the collector of each other site what this one has under way there, and takes what it
    /// tells.
    fn tell_sites(self: &Arc<Self>, fronts: &[Node]) {
        let sites: BTreeSet<&str> = fronts
            .iter()
            .map(|n| n.site.as_str())
            .filter(|s| *s != self.site)
            .collect();
        for site in sites {
            let Some(node) = designated_front(fronts, COLLECTOR, site)
                .and_then(|name| fronts.iter().find(|n| n.name == name))
            else {
                continue;
            };
            let (me, node) = (self.clone(), node.clone());
            self.runtime.spawn(async move { me.tell_site(node).await });
        }
    }

    async fn tell_site(self: Arc<Self>, node: Node) {
        let ours = {
            let list = self.documents.server_list.load();
            let there = list.1.servers.iter().filter(|s| s.site == node.site);
            self.collected
                .lock()
                .unwrap()
                .ours(there, self.runtime.now())
        };
        let Ok(blob) = postcard::to_allocvec(&ours) else {
            return;
        };
        let answer = self
            .members
            .peers
            .request(
                node.peer,
                &PeerRequest::ExchangeLoads { by_site: true },
                &blob,
                LOAD_EXCHANGE_TIMEOUT,
            )
            .await;
        let told = match answer {
            Ok((PeerResponse::Loads, blob)) => postcard::from_bytes(&blob).unwrap_or_default(),
            _ => vec![],
        };
        self.collected
            .lock()
            .unwrap()
            .elsewhere
            .insert(node.site, told);
    }
}

fn own_loads(balance: &LoadBalancer, now: u64) -> Vec<ServerLoad> {
    balance
        .own_loads(now)
        .into_iter()
        .map(|(server, load)| ServerLoad {
            server: ServerKey::of(&server),
            load,
        })
        .collect()
}

/// Hands the balance what others have under way: all that is known, less what we reported
/// ourselves.
fn apply(balance: &LoadBalancer, known: &[ServerLoad], reported: &[ServerLoad], now: u64) {
    let mut others: HashMap<ServerKey, Load> = known.iter().map(|l| (l.server, l.load)).collect();
    for own in reported {
        others
            .entry(own.server)
            .and_modify(|load| *load = load.minus(own.load));
    }
    balance.update_peer_loads(now, |server| others.get(&ServerKey::of(server)).copied());
}
