//! What this front knows of the servers: their last reports, and which of them may take a request.

use crate::Front;
use crate::admission::Slots;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use yewcross_common::constants::LOAD_REPORT_LOST_AFTER;
use yewcross_common::membership::Node;
use yewcross_common::protocol::{CachedPrefix, ListedServer, LoadReport};

#[derive(Clone, Debug, Default)]
pub struct ReceivedReport {
    pub report: LoadReport,
    pub as_of: u64,
}

/// A server as the judges see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Server {
    #[serde(rename = "at")]
    pub listed: ListedServer,
    pub report: LoadReport,
    #[serde(rename = "age")]
    pub age_us: u64,
    #[serde(rename = "mine")]
    pub sent_since_report: u32,
    #[serde(rename = "slow")]
    pub recent_failures: u32,
}

impl Server {
    pub fn occupied(&self) -> u32 {
        self.report.running + self.report.waiting + self.sent_since_report
    }
    pub fn free(&self) -> u32 {
        self.report.slots.saturating_sub(self.occupied())
    }
    /// Whether a prefix placed there is still held, from counts alone.
    pub fn holds(&self, p: &CachedPrefix) -> bool {
        p.server == self.listed.server
            && p.instance == self.report.instance
            && p.weights == self.report.weights
            && self
                .report
                .placed_tokens
                .saturating_sub(p.placed_tokens)
                .saturating_add(p.tokens)
                <= self.report.cache_tokens
    }
}

/// The front of a site that polls and tells for a service there; of any site where that one has
/// none.
pub fn designated_front(fronts: &[Node], service: &str, site: &str) -> Option<String> {
    let near: Vec<&str> = fronts
        .iter()
        .filter(|n| n.site == site)
        .map(|n| n.name.as_str())
        .collect();
    let all: Vec<&str> = fronts.iter().map(|n| n.name.as_str()).collect();
    let from = if near.is_empty() { all } else { near };
    yewcross_common::hash::ranked(service, from.into_iter())
        .first()
        .map(|s| s.to_string())
}

/// Servers that may take a job of the service now: allowed, listed, heard of, not leaving.
pub fn eligible_servers(front: &Front, svc: &str) -> Vec<Server> {
    let conf = front.documents.config.load();
    let Some(s) = conf.1.services.get(svc) else {
        return vec![];
    };
    let t = front.runtime.now();
    let heard = front.received_reports.lock().unwrap();
    let sent = front.dispatched_since_report.lock().unwrap();
    let slow = front.recent_failures.lock().unwrap();
    front
        .documents
        .server_list
        .load()
        .1
        .servers
        .iter()
        .filter(|l| l.service == svc && !l.leaving && s.allows(&l.server))
        .filter_map(|l| {
            let h = heard.get(&l.server)?;
            let age = t.saturating_sub(h.as_of);
            let ok = !h.report.leaving && age < LOAD_REPORT_LOST_AFTER && h.report.service == svc;
            ok.then(|| Server {
                listed: l.clone(),
                report: h.report.clone(),
                age_us: age,
                sent_since_report: sent.get(&l.server).cloned().unwrap_or(0),
                recent_failures: slow
                    .get(&l.server)
                    .filter(|x| t < x.1)
                    .map(|x| x.0)
                    .unwrap_or(0),
            })
        })
        .collect()
}

pub fn eligible_servers_by_service(front: &Front) -> BTreeMap<String, Vec<Server>> {
    front
        .documents
        .config
        .load()
        .1
        .services
        .keys()
        .map(|s| (s.clone(), eligible_servers(front, s)))
        .collect()
}

/// Slots of the servers that may take a request of the service now.
pub fn slots(front: &Front, service: &str) -> Slots {
    let servers = eligible_servers(front, service);
    Slots {
        free: servers.iter().map(|s| s.free()).sum(),
        total: servers.iter().map(|s| s.report.slots).sum(),
    }
}
