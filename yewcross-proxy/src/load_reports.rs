//! Collection and distribution of the servers' load reports. The designated front of each site
//! polls the servers of a service there and sends their reports to the other fronts; every front
//! keeps a table of them.

use crate::Front;
use crate::server_table::{ReceivedReport, designated_front};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::buffered_http;
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::*;
use yewcross_common::runtime::*;

/// The front that polls the servers of a service in a site.
fn polling_front(front: &Front, service: &str, site: &str) -> Option<String> {
    designated_front(&front.members.nodes_of_role(Role::Front), service, site)
}

/// Polls the servers that this front is designated for, every `LOAD_REPORT_INTERVAL`.
pub async fn run(front: Arc<Front>) {
    loop {
        let started_at = front.runtime.now();
        let list = front.documents.server_list.load_full();
        let configuration = front.documents.config.load_full();
        for service in configuration.1.services.keys() {
            let polled: Vec<ListedServer> = list
                .1
                .servers
                .iter()
                .filter(|server| {
                    server.service == *service
                        && polling_front(&front, service, &server.site).as_deref()
                            == Some(&front.settings.name)
                })
                .cloned()
                .collect();
            if !polled.is_empty() {
                let (front, service) = (front.clone(), service.clone());
                front
                    .runtime
                    .clone()
                    .spawn(async move { poll(front, service, polled).await });
            }
        }
        crate::kv::prefetch_for_lost_homes(&front);
        front.remove_expired();
        front
            .runtime
            .sleep(LOAD_REPORT_INTERVAL.saturating_sub(front.runtime.now() - started_at))
            .await;
    }
}

/// Polls servers of a service, stores their reports and sends them to the other fronts of the site
/// and to the designated fronts of other sites, which forward them there.
async fn poll(front: Arc<Front>, service: String, servers: Vec<ListedServer>) {
    let requests = servers
        .iter()
        .map(|server| {
            let (front, server) = (front.clone(), server.clone());
            let request: BoxFuture<'static, _> = Box::pin(async move {
                front.counts.polls.fetch_add(1, SeqCst);
                let (_, _, body) = buffered_http::fetch(
                    &front.runtime,
                    server.addr,
                    http_types::Method::Get,
                    "/report",
                    &[],
                    vec![],
                    UPSTREAM_REPORT_TIMEOUT,
                )
                .await
                .ok()?;
                let report: LoadReport = serde_json::from_slice(&body).ok()?;
                if !report.is_plausible() {
                    front.counts.absurd.fetch_add(1, SeqCst);
                }
                (report.server == server.server
                    && report.service == server.service
                    && report.is_plausible())
                .then_some(report)
            });
            request
        })
        .collect::<Vec<_>>();
    let (count, results) = (requests.len(), front.runtime.spawn_all(requests));
    let mut reports = vec![];
    for _ in 0..count {
        if let Ok(Some(report)) = results.recv().await {
            reports.push(report);
        }
    }
    if reports.is_empty() {
        return;
    }
    receive_reports(&front, &service, reports.clone(), vec![], false);
    let all = reports.clone();
    let (changed, unchanged) = front.split_unchanged(reports);
    let (local, remote): (Vec<_>, Vec<_>) = front
        .members
        .nodes_of_role(Role::Front)
        .into_iter()
        .filter(|node| node.name != front.settings.name)
        .partition(|node| node.site == front.settings.site);
    let sites: std::collections::BTreeSet<String> =
        remote.iter().map(|node| node.site.clone()).collect();
    let remote_polling_fronts = sites
        .iter()
        .filter_map(|site| polling_front(&front, &service, site))
        .filter_map(|name| remote.iter().find(|node| node.name == name).cloned());
    local
        .iter()
        .cloned()
        .map(|node| (node, false))
        .chain(remote_polling_fronts.map(|node| (node, true)))
        .for_each(|(node, relay)| {
            let accepts_deltas = front.peers.version(node.peer) >= WIRE_VERSION_DELTAS;
            let (reports, same) = if accepts_deltas {
                (changed.clone(), unchanged.clone())
            } else {
                (all.clone(), vec![])
            };
            let (peers, request) = (
                front.peers.clone(),
                PeerRequest::LoadReports {
                    service: service.clone(),
                    reports,
                    same,
                    relay,
                },
            );
            front.runtime.spawn(async move {
                let _ = peers
                    .request(node.peer, &request, &[], PEER_REQUEST_TIMEOUT)
                    .await;
            });
        });
}

impl Front {
    /// Separates reports that differ from the last one sent from the names of servers whose report
    /// is unchanged. Every `FULL_REPORT_EVERY_POLLS` polls all reports are sent in full, for fronts
    /// that have just started.
    fn split_unchanged(&self, reports: Vec<LoadReport>) -> (Vec<LoadReport>, Vec<String>) {
        let is_full =
            (self.runtime.now() / LOAD_REPORT_INTERVAL).is_multiple_of(FULL_REPORT_EVERY_POLLS);
        let mut last_sent = self.announced_reports.lock().unwrap();
        let (changed, unchanged): (Vec<LoadReport>, Vec<LoadReport>) =
            reports.into_iter().partition(|report| {
                let content = LoadReport {
                    sequence: 0,
                    age_us: 0,
                    ..report.clone()
                };
                is_full || last_sent.insert(report.server.clone(), content.clone()) != Some(content)
            });
        (
            changed,
            unchanged.into_iter().map(|report| report.server).collect(),
        )
    }
}

/// Stores received reports. A designated front forwards those from another site to the fronts of
/// its own site (`relay`).
pub fn receive_reports(
    front: &Arc<Front>,
    service: &str,
    reports: Vec<LoadReport>,
    same: Vec<String>,
    relay: bool,
) {
    let now = front.runtime.now();
    let mut is_newly_leaving = false;
    {
        let mut stored = front.received_reports.lock().unwrap();
        same.iter().for_each(|name| {
            stored
                .get_mut(name)
                .into_iter()
                .for_each(|received| received.as_of = now);
            front.dispatched_since_report.lock().unwrap().remove(name);
        });
        reports
            .iter()
            .filter(|report| report.is_plausible())
            .for_each(|report| {
                let is_newer = stored.get(&report.server).is_none_or(|received| {
                    (report.instance, report.sequence)
                        > (received.report.instance, received.report.sequence)
                        || now > received.as_of + LOAD_REPORT_LOST_AFTER
                });
                if is_newer {
                    let was_leaving = stored
                        .get(&report.server)
                        .map(|received| received.report.leaving);
                    if report.leaving && was_leaving != Some(true) {
                        front
                            .runtime
                            .log(&format!("server {} is leaving", report.server));
                        is_newly_leaving = true;
                    }
                    stored.insert(
                        report.server.clone(),
                        ReceivedReport {
                            report: report.clone(),
                            as_of: now.saturating_sub(report.age_us),
                        },
                    );
                    front
                        .dispatched_since_report
                        .lock()
                        .unwrap()
                        .remove(&report.server);
                }
            });
    }
    front.admission.wake(service);
    if is_newly_leaving {
        crate::kv::prefetch_for_lost_homes(front);
    }
    if relay {
        front
            .members
            .nodes_of_role(Role::Front)
            .into_iter()
            .filter(|node| node.site == front.settings.site && node.name != front.settings.name)
            .for_each(|node| {
                let (peers, request) = (
                    front.peers.clone(),
                    PeerRequest::LoadReports {
                        service: service.to_string(),
                        reports: reports.clone(),
                        same: same.clone(),
                        relay: false,
                    },
                );
                front.runtime.spawn(async move {
                    let _ = peers
                        .request(node.peer, &request, &[], PEER_REQUEST_TIMEOUT)
                        .await;
                });
            });
    }
}
