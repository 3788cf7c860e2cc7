//! Load reports of the servers, and the servers that are eligible for a request.

use crate::Front;
use crate::admission::Slots;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use yewcross_common::constants::LOAD_REPORT_LOST_AFTER;
use yewcross_common::membership::Node;
use yewcross_common::protocol::{CachedPrefix, ListedServer, LoadReport};

/// The last load report of a server.
#[derive(Clone, Debug, Default)]
pub struct ReceivedReport {
    pub report: LoadReport,
    /// us of the runtime's clock. When the server made the report, or when it was last confirmed as
    /// unchanged.
    pub as_of: u64,
}

/// A server with its load, as input of the selection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Server {
    /// Its entry in the server list.
    #[serde(rename = "at")]
    pub listed: ListedServer,
    pub report: LoadReport,
    /// us since the report was made or confirmed.
    #[serde(rename = "age")]
    pub age_us: u64,
    /// Jobs that this front has sent to it since the report.
    #[serde(rename = "mine")]
    pub sent_since_report: u32,
    /// Consecutive failures, the last of which is recent enough to count.
    #[serde(rename = "slow")]
    pub recent_failures: u32,
}

impl Server {
    /// Jobs that run or wait on the server.
    pub fn occupied(&self) -> u32 {
        self.report.running + self.report.waiting + self.sent_since_report
    }
    /// Slots that are not occupied.
    pub fn free(&self) -> u32 {
        self.report.slots.saturating_sub(self.occupied())
    }
    /// Whether a prefix is still in the server's cache. Estimated from token counts: it is evicted
    /// once more tokens were placed after it than the rest of the cache holds.
    pub fn holds(&self, prefix: &CachedPrefix) -> bool {
        prefix.server == self.listed.server
            && prefix.instance == self.report.instance
            && prefix.weights == self.report.weights
            && self
                .report
                .placed_tokens
                .saturating_sub(prefix.placed_tokens)
                .saturating_add(prefix.tokens)
                <= self.report.cache_tokens
    }
}

/// The front that polls the servers of a service in a site and distributes their reports. It is
/// chosen by rendezvous hashing among the fronts of the site, or among all fronts where the site
/// has none.
pub fn designated_front(fronts: &[Node], service: &str, site: &str) -> Option<String> {
    let local: Vec<&str> = fronts
        .iter()
        .filter(|node| node.site == site)
        .map(|node| node.name.as_str())
        .collect();
    let all: Vec<&str> = fronts.iter().map(|node| node.name.as_str()).collect();
    let candidates = if local.is_empty() { all } else { local };
    yewcross_common::hash::rank_by_weight(service, candidates.into_iter())
        .first()
        .map(|name| name.to_string())
}

/// Servers that may take a job of the service now: they are listed and allowed by the service's
/// configuration, are not leaving, and have reported within `LOAD_REPORT_LOST_AFTER`.
pub fn eligible_servers(front: &Front, service: &str) -> Vec<Server> {
    let configuration = front.documents.config.load();
    let Some(configured) = configuration.1.services.get(service) else {
        return vec![];
    };
    let now = front.runtime.now();
    let reports = front.received_reports.lock().unwrap();
    let sent = front.dispatched_since_report.lock().unwrap();
    let failures = front.recent_failures.lock().unwrap();
    front
        .documents
        .server_list
        .load()
        .1
        .servers
        .iter()
        .filter(|listed| {
            listed.service == service && !listed.leaving && configured.allows(&listed.server)
        })
        .filter_map(|listed| {
            let received = reports.get(&listed.server)?;
            let age_us = now.saturating_sub(received.as_of);
            let is_eligible = !received.report.leaving
                && age_us < LOAD_REPORT_LOST_AFTER
                && received.report.service == service;
            is_eligible.then(|| Server {
                listed: listed.clone(),
                report: received.report.clone(),
                age_us,
                sent_since_report: sent.get(&listed.server).cloned().unwrap_or(0),
                recent_failures: failures
                    .get(&listed.server)
                    .filter(|entry| now < entry.1)
                    .map(|entry| entry.0)
                    .unwrap_or(0),
            })
        })
        .collect()
}

/// The eligible servers of each configured service.
pub fn eligible_servers_by_service(front: &Front) -> BTreeMap<String, Vec<Server>> {
    front
        .documents
        .config
        .load()
        .1
        .services
        .keys()
        .map(|service| (service.clone(), eligible_servers(front, service)))
        .collect()
}

/// Free and total slots of the eligible servers of a service.
pub fn slots(front: &Front, service: &str) -> Slots {
    let servers = eligible_servers(front, service);
    Slots {
        free: servers.iter().map(|server| server.free()).sum(),
        total: servers.iter().map(|server| server.report.slots).sum(),
    }
}
