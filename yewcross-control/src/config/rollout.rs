//! Rollout of a decided document: it is sent to every node, and a configuration is in force once no
//! front can serve by an older one.

use super::decoding::decode_configuration;
use super::front_groups::front_groups;
use super::rollout_progress::RolloutProgress;
use super::serving_leases::collect_serving_leases;
use crate::Control;
use async_channel::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, PEER_REQUEST_TIMEOUT, PUT_TIMEOUT};
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, PeerRequest, PeerResponse};
use yewcross_common::register::Ballot;

/// us. Delay between attempts to send the document to a node that has not acknowledged it.
const PUBLISH_RETRY_INTERVAL: u64 = 50 * MS;

/// us. Delay between requests for leases to a core that does not hold the version yet.
const COLLECT_RETRY_INTERVAL: u64 = 30 * MS;

/// us. Interval at which received acknowledgements and lease reports are processed.
const PROGRESS_POLL_INTERVAL: u64 = 5 * MS;

/// A running rollout of a decided document.
struct Rollout {
    control: Arc<Control>,
    name: String,
    version: u64,
    ballot: Ballot,
    content: Arc<Vec<u8>>,
    /// Time after which no more attempts are made, in us of the runtime's clock.
    deadline: u64,
}

/// A node's confirmation that it has applied the version or a newer one.
struct Acknowledgement {
    node: String,
    is_front: bool,
}

/// The leases that a core has granted, collected after its disk held the version.
struct LeaseReport {
    /// Fronts with the remaining time of their leases in us.
    leases: Vec<(String, u64)>,
    /// Time at which the report arrived, in us of the runtime's clock.
    received_at: u64,
}

/// Sends a decided document to every node. For a configuration, returns `true` once no front can
/// serve by an older one, or `false` if that was not confirmed within `PUT_TIMEOUT`. For the other
/// documents returns `true` immediately.
pub async fn roll_out(
    control: &Arc<Control>,
    name: &str,
    version: u64,
    ballot: Ballot,
    content: &Arc<Vec<u8>>,
) -> bool {
    control
        .documents
        .apply(name, version, ballot, content.to_vec());
    let rollout = Arc::new(Rollout {
        control: control.clone(),
        name: name.to_string(),
        version,
        ballot,
        content: content.clone(),
        deadline: control.runtime.now() + PUT_TIMEOUT,
    });
    let acknowledgements = rollout.publish_to_all();
    if name != "config" {
        return true;
    }
    let layout = control.documents.layout.load_full();
    let lease_reports = rollout.collect_leases(&layout.1);
    if !rollout
        .wait_until_in_force(&layout.1, acknowledgements, lease_reports)
        .await
    {
        return false;
    }
    rollout.announce_in_force(&layout.1);
    record_in_force(control, version).await;
    true
}

/// Records in memory and on disk that a version is in force, so that after a restart a rollout does
/// not wait for fronts of versions superseded before it.
pub(crate) async fn record_in_force(control: &Arc<Control>, version: u64) -> PeerResponse {
    if control.in_force_version.fetch_max(version, SeqCst) < version {
        // An error is ignored: without the file, rollouts after a restart only wait for more fronts
        // than necessary.
        let _ = control
            .storage
            .persist("local", "proved", version, &version.to_le_bytes())
            .await;
    }
    PeerResponse::Ok
}

impl Rollout {
    /// Starts sending the document to each other node until the node acknowledges it or the
    /// deadline passes.
    fn publish_to_all(self: &Arc<Self>) -> Receiver<Acknowledgement> {
        let (sender, acknowledgements) = async_channel::unbounded();
        let other_nodes = self
            .control
            .members
            .all_nodes()
            .into_iter()
            .filter(|node| node.name != self.control.settings.name);
        for node in other_nodes {
            let task = self.clone().publish_to(node, sender.clone());
            self.control.runtime.spawn(task);
        }
        acknowledgements
    }

    async fn publish_to(self: Arc<Self>, node: Node, acknowledgements: Sender<Acknowledgement>) {
        let request = PeerRequest::PublishDocument {
            name: self.name.clone(),
            version: self.version,
            ballot: self.ballot,
            relays: vec![],
        };
        while self.is_running() {
            let answer = self
                .control
                .peers
                .request(node.peer, &request, &self.content, PEER_REQUEST_TIMEOUT)
                .await;
            match answer {
                Ok((PeerResponse::DocumentApplied { version }, _)) if version >= self.version => {
                    // Fails only if the rollout no longer waits.
                    let _ = acknowledgements.try_send(Acknowledgement {
                        node: node.name,
                        is_front: node.role == Role::Front,
                    });
                    return;
                }
                _ => self.control.runtime.sleep(PUBLISH_RETRY_INTERVAL).await,
            }
        }
    }

    /// Starts requesting from each core the serving leases that it has granted, until the core
    /// holds the version or the deadline passes.
    fn collect_leases(self: &Arc<Self>, layout: &Layout) -> Receiver<LeaseReport> {
        let (sender, lease_reports) = async_channel::unbounded();
        let cores: Vec<SocketAddr> = current_cores(&self.control, layout)
            .map(|core| core.peer)
            .collect();
        for core in cores {
            let task = self.clone().collect_leases_of(core, sender.clone());
            self.control.runtime.spawn(task);
        }
        lease_reports
    }

    async fn collect_leases_of(self: Arc<Self>, core: SocketAddr, reports: Sender<LeaseReport>) {
        while self.is_running() {
            match self.request_leases(core).await {
                Some(PeerResponse::ServingLeases {
                    version,
                    fronts,
                    in_force,
                }) if version >= self.version => {
                    self.control.in_force_version.fetch_max(in_force, SeqCst);
                    // Fails only if the rollout no longer waits.
                    let _ = reports.try_send(LeaseReport {
                        leases: fronts,
                        received_at: self.control.runtime.now(),
                    });
                    return;
                }
                _ => self.control.runtime.sleep(COLLECT_RETRY_INTERVAL).await,
            }
        }
    }

    async fn request_leases(&self, core: SocketAddr) -> Option<PeerResponse> {
        if core == self.control.settings.peer {
            return Some(collect_serving_leases(&self.control, "config", self.version).await);
        }
        let request = PeerRequest::CollectServingLeases {
            name: "config".into(),
            version: self.version,
        };
        let answer = self
            .control
            .peers
            .request(core, &request, &[], PEER_REQUEST_TIMEOUT)
            .await;
        answer.ok().map(|(response, _)| response)
    }

    async fn wait_until_in_force(
        &self,
        layout: &Layout,
        acknowledgements: Receiver<Acknowledgement>,
        lease_reports: Receiver<LeaseReport>,
    ) -> bool {
        // The fronts of an unreadable configuration are unknown, so it is never considered in
        // force.
        let document = match decode_configuration(&self.content) {
            Ok(document) => document,
            Err(error) => {
                self.control.runtime.log(&error.to_string());
                return false;
            }
        };
        let mut in_force_version = self.control.in_force_version.load(SeqCst);
        let groups = front_groups(&document, in_force_version);
        let mut progress = RolloutProgress::new(layout.core.current.len(), groups);
        while self.is_running() {
            record_received(&mut progress, &acknowledgements, &lease_reports);
            let now = self.control.runtime.now();
            // Cores report the version in force along with their leases; until such a report
            // arrives, the fronts of all older versions are waited for.
            let newest_in_force_version = self.control.in_force_version.load(SeqCst);
            if newest_in_force_version != in_force_version {
                in_force_version = newest_in_force_version;
                progress.set_front_groups(front_groups(&document, newest_in_force_version));
            }
            if progress.is_in_force(now) {
                return true;
            }
            self.control.runtime.sleep(PROGRESS_POLL_INTERVAL).await;
        }
        false
    }

    /// Notifies the other cores that the version is in force, without waiting for responses: a core
    /// that misses the notification only waits for more fronts than necessary in its next rollout.
    fn announce_in_force(&self, layout: &Layout) {
        let request = PeerRequest::AnnounceInForce {
            version: self.version,
        };
        let other_cores = current_cores(&self.control, layout)
            .filter(|core| core.name != self.control.settings.name);
        for core in other_cores {
            let (peers, request) = (self.control.peers.clone(), request.clone());
            self.control.runtime.spawn(async move {
                let _ = peers
                    .request(core.peer, &request, &[], PEER_REQUEST_TIMEOUT)
                    .await;
            });
        }
    }

    fn is_running(&self) -> bool {
        self.control.runtime.now() < self.deadline
    }
}

/// Records the received lease reports and acknowledgements. An acknowledgement of a core or a store
/// ends the iteration; those queued behind it are recorded at the next poll.
fn record_received(
    progress: &mut RolloutProgress,
    acknowledgements: &Receiver<Acknowledgement>,
    lease_reports: &Receiver<LeaseReport>,
) {
    while let Ok(report) = lease_reports.try_recv() {
        progress.record_leases(report.received_at, report.leases);
    }
    while let Ok(Acknowledgement {
        node,
        is_front: true,
    }) = acknowledgements.try_recv()
    {
        progress.record_acknowledgement(node);
    }
}

/// The known nodes of the core disks in the current layout.
fn current_cores<'a>(control: &'a Control, layout: &'a Layout) -> impl Iterator<Item = Node> + 'a {
    layout
        .core
        .current
        .iter()
        .filter_map(|disk| control.members.node_with_disk(disk))
}
