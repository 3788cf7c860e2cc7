//! What is known of the servers: home nodes poll and tell, everyone keeps a table.

use crate::Front;
use crate::server_table::{ReceivedReport, designated_front};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::buffered_http;
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::*;
use yewcross_common::runtime::*;

fn home(f: &Front, service: &str, site: &str) -> Option<String> {
    designated_front(&f.members.nodes_of_role(Role::Front), service, site)
}

pub async fn run(f: Arc<Front>) {
    loop {
        let t0 = f.runtime.now();
        let list = f.documents.server_list.load_full();
        let conf = f.documents.config.load_full();
        for svc in conf.1.services.keys() {
            let mine: Vec<ListedServer> = list
                .1
                .servers
                .iter()
                .filter(|s| {
                    s.service == *svc && home(&f, svc, &s.site).as_deref() == Some(&f.settings.name)
                })
                .cloned()
                .collect();
            if !mine.is_empty() {
                let (f, svc) = (f.clone(), svc.clone());
                f.runtime
                    .clone()
                    .spawn(async move { poll(f, svc, mine).await });
            }
        }
        crate::kv::prefetch_for_lost_homes(&f);
        f.remove_expired();
        f.runtime
            .sleep(LOAD_REPORT_INTERVAL.saturating_sub(f.runtime.now() - t0))
            .await;
    }
}

async fn poll(f: Arc<Front>, svc: String, servers: Vec<ListedServer>) {
    let fs = servers
        .iter()
        .map(|s| {
            let (f, s) = (f.clone(), s.clone());
            let x: BoxFuture<'static, _> = Box::pin(async move {
                f.counts.polls.fetch_add(1, SeqCst);
                let (_, _, b) = buffered_http::fetch(
                    &f.runtime,
                    s.addr,
                    http_types::Method::Get,
                    "/report",
                    &[],
                    vec![],
                    UPSTREAM_REPORT_TIMEOUT,
                )
                .await
                .ok()?;
                let r: LoadReport = serde_json::from_slice(&b).ok()?;
                if !r.is_plausible() {
                    f.counts.absurd.fetch_add(1, SeqCst);
                }
                (r.server == s.server && r.service == s.service && r.is_plausible()).then_some(r)
            });
            x
        })
        .collect::<Vec<_>>();
    let (k, rx) = (fs.len(), f.runtime.spawn_all(fs));
    let mut got = vec![];
    for _ in 0..k {
        if let Ok(Some(r)) = rx.recv().await {
            got.push(r);
        }
    }
    if got.is_empty() {
        return;
    }
    receive_reports(&f, &svc, got.clone(), vec![], false);
    let all = got.clone();
    let (got, same) = f.fresh(got);
    let (near, far): (Vec<_>, Vec<_>) = f
        .members
        .nodes_of_role(Role::Front)
        .into_iter()
        .filter(|n| n.name != f.settings.name)
        .partition(|n| n.site == f.settings.site);
    let sites: std::collections::BTreeSet<String> = far.iter().map(|n| n.site.clone()).collect();
    let homes = sites
        .iter()
        .filter_map(|s| home(&f, &svc, s))
        .filter_map(|h| far.iter().find(|n| n.name == h).cloned());
    near.iter()
        .cloned()
        .map(|n| (n, false))
        .chain(homes.map(|n| (n, true)))
        .for_each(|(n, relay)| {
            let by_difference = f.peers.version(n.peer) >= WIRE_VERSION_DELTAS;
            let (reports, same) = if by_difference {
                (got.clone(), same.clone())
            } else {
                (all.clone(), vec![])
            };
            let (p, a) = (
                f.peers.clone(),
                PeerRequest::LoadReports {
                    service: svc.clone(),
                    reports,
                    same,
                    relay,
                },
            );
            f.runtime.spawn(async move {
                let _ = p.request(n.peer, &a, &[], PEER_REQUEST_TIMEOUT).await;
            });
        });
}

impl Front {
    /// Parts reports into those that say something new and the names of the rest; now and then all
    /// are told whole.
    fn fresh(&self, got: Vec<LoadReport>) -> (Vec<LoadReport>, Vec<String>) {
        let whole =
            (self.runtime.now() / LOAD_REPORT_INTERVAL).is_multiple_of(FULL_REPORT_EVERY_POLLS);
        let mut told = self.announced_reports.lock().unwrap();
        let (new, old): (Vec<LoadReport>, Vec<LoadReport>) = got.into_iter().partition(|r| {
            let plain = LoadReport {
                sequence: 0,
                age_us: 0,
                ..r.clone()
            };
            whole || told.insert(r.server.clone(), plain.clone()) != Some(plain)
        });
        (new, old.into_iter().map(|r| r.server).collect())
    }
}

/// Takes news in; a home node passes on to its own site what came from another.
pub fn receive_reports(
    front: &Arc<Front>,
    svc: &str,
    reports: Vec<LoadReport>,
    same: Vec<String>,
    relay: bool,
) {
    let t = front.runtime.now();
    let mut left = false;
    {
        let mut g = front.received_reports.lock().unwrap();
        same.iter().for_each(|n| {
            g.get_mut(n).into_iter().for_each(|h| h.as_of = t);
            front.dispatched_since_report.lock().unwrap().remove(n);
        });
        reports.iter().filter(|r| r.is_plausible()).for_each(|r| {
            let newer = g.get(&r.server).is_none_or(|h| {
                (r.instance, r.sequence) > (h.report.instance, h.report.sequence)
                    || t > h.as_of + LOAD_REPORT_LOST_AFTER
            });
            if newer {
                let was = g.get(&r.server).map(|h| h.report.leaving);
                if r.leaving && was != Some(true) {
                    front
                        .runtime
                        .log(&format!("server {} is leaving", r.server));
                    left = true;
                }
                g.insert(
                    r.server.clone(),
                    ReceivedReport {
                        report: r.clone(),
                        as_of: t.saturating_sub(r.age_us),
                    },
                );
                front
                    .dispatched_since_report
                    .lock()
                    .unwrap()
                    .remove(&r.server);
            }
        });
    }
    front.admission.wake(svc);
    if left {
        crate::kv::prefetch_for_lost_homes(front);
    }
    if relay {
        front
            .members
            .nodes_of_role(Role::Front)
            .into_iter()
            .filter(|n| n.site == front.settings.site && n.name != front.settings.name)
            .for_each(|n| {
                let (p, a) = (
                    front.peers.clone(),
                    PeerRequest::LoadReports {
                        service: svc.to_string(),
                        reports: reports.clone(),
                        same: same.clone(),
                        relay: false,
                    },
                );
                front.runtime.spawn(async move {
                    let _ = p.request(n.peer, &a, &[], PEER_REQUEST_TIMEOUT).await;
                });
            });
    }
}
