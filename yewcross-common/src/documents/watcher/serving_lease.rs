//! Serving leases: a front serves while a quorum has recently confirmed that no newer configuration
//! or layout is in force.
//!
//! The quorum of cores intersects any majority of cores: no majority puts a newer configuration in
//! force without a core that the lease depends on. While cores are unreachable, a majority of the
//! fronts named in the configuration is used instead.

use super::DocumentWatcher;
use crate::constants::{MS, SERVING_LEASE, SERVING_LEASE_RENEWAL};
use crate::documents::DocumentName;
use crate::membership::Node;
use crate::process_settings::Role;
use crate::protocol::{PeerRequest, PeerResponse};
use crate::register::majority;
use crate::runtime::BoxFuture;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

/// Shortest sleep between two rounds, in µs.
const ROUND_SLEEP_MIN: u64 = 10 * MS;

/// A node that confirmed the local documents.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Confirmer {
    /// A core, identified by its disk: a core that lost its disk is a different confirmer.
    CoreDisk(String),
    /// Another front, identified by its name.
    Front(String),
}

impl Confirmer {
    fn of(node: Node) -> Confirmer {
        if node.role == Role::Core {
            Confirmer::CoreDisk(node.disk)
        } else {
            Confirmer::Front(node.name)
        }
    }
}

/// A node's response to a poll; `None` if it did not respond.
struct PollAnswer {
    node: Node,
    response: Option<PeerResponse>,
}

/// The newest reported version of each document that is newer than the local one.
type NewerVersions = BTreeMap<String, u64>;

/// Latest time since which at least `count` of the nodes have confirmed; `None` if fewer have, or
/// `count` is 0.
fn confirmed_since(
    confirmations: &BTreeMap<Confirmer, u64>,
    nodes: &[Confirmer],
    count: usize,
) -> Option<u64> {
    let mut times: Vec<u64> = nodes
        .iter()
        .filter_map(|node| confirmations.get(node).copied())
        .collect();
    times.sort_by(|left, right| right.cmp(left));
    times.get(count.checked_sub(1)?).copied()
}

/// Smallest number of nodes, out of `count`, that intersects any majority of them.
fn majority_blocking(count: usize) -> usize {
    count - majority(count).min(count) + 1
}

impl DocumentWatcher {
    /// Requests confirmations in rounds, [`SERVING_LEASE_RENEWAL`] apart.
    pub(super) async fn renew_in_rounds(self: &Arc<Self>) {
        loop {
            let round_start = self.runtime.now();
            self.run_round().await;
            let elapsed = self.runtime.now() - round_start;
            let sleep = SERVING_LEASE_RENEWAL
                .saturating_sub(elapsed)
                .max(ROUND_SLEEP_MIN);
            self.runtime.sleep(sleep).await;
        }
    }

    async fn run_round(self: &Arc<Self>) {
        let targets = self.round_targets();
        let sent_at = self.runtime.now();
        let polls: Vec<_> = targets.into_iter().map(|node| self.poll(node)).collect();
        let poll_count = polls.len();
        let answers = self.runtime.spawn_all(polls);
        let known = self.documents.versions();
        let mut newer = NewerVersions::new();
        for _ in 0..poll_count {
            if let Ok(answer) = answers.recv().await {
                self.record_answer(answer, &known, sent_at, &mut newer);
            }
        }
        self.fetch_in_background(newer);
    }

    /// The nodes that are polled in this round. A lease needs the confirmation of only some of the
    /// cores, and a node without a lease only needs to be notified of new versions. Therefore cores
    /// are polled in rotation, one more than necessary for a lease. While a lease is about to
    /// expire, all cores and the other fronts are polled.
    fn round_targets(&self) -> Vec<Node> {
        let mut targets = self.members.nodes_of_role(Role::Core);
        if self.is_front && self.is_expiring() {
            let fronts = self.members.nodes_of_role(Role::Front);
            targets.extend(fronts.into_iter().filter(|front| front.name != self.name));
            return targets;
        }
        let core_count = targets.len();
        if core_count > 0 {
            let round = self.rounds.fetch_add(1, SeqCst) as usize;
            targets.rotate_left(round % core_count);
            targets.truncate(if self.is_front {
                majority_blocking(core_count) + 1
            } else {
                1
            });
        }
        targets
    }

    /// Whether the lease was not renewed in the last two rounds.
    fn is_expiring(&self) -> bool {
        self.serving_until.load(SeqCst)
            < self.runtime.now() + SERVING_LEASE - 2 * SERVING_LEASE_RENEWAL
    }

    fn poll(&self, node: Node) -> BoxFuture<'static, PollAnswer> {
        let peers = self.members.peers.clone();
        let request = PeerRequest::PollDocuments {
            known: self.documents.versions(),
            front: self.is_front,
            leaving_digest: 0,
        };
        Box::pin(async move {
            let answer = peers
                .request(node.peer, &request, &[], SERVING_LEASE_RENEWAL)
                .await;
            PollAnswer {
                node,
                response: answer.ok().map(|(response, _)| response),
            }
        })
    }

    /// Records newer versions. A node that authoritatively has no newer configuration or layout
    /// confirms the local ones.
    fn record_answer(
        &self,
        answer: PollAnswer,
        known: &[(String, u64)],
        sent_at: u64,
        newer: &mut NewerVersions,
    ) {
        let Some(PeerResponse::DocumentVersions {
            newest,
            authoritative,
            ..
        }) = answer.response
        else {
            return;
        };
        let mut is_current_in_force = true;
        for (name, version) in newest {
            let is_newer = known
                .iter()
                .any(|(known_name, known_version)| *known_name == name && version > *known_version);
            if !is_newer {
                continue;
            }
            if matches!(
                DocumentName::parse(&name),
                Some(DocumentName::Configuration | DocumentName::Layout)
            ) {
                is_current_in_force = false;
            }
            let wanted = newer.entry(name).or_default();
            *wanted = (*wanted).max(version);
        }
        if authoritative && is_current_in_force && self.is_front {
            self.confirmations
                .lock()
                .unwrap()
                .insert(Confirmer::of(answer.node), sent_at);
            self.renew();
        }
    }

    fn fetch_in_background(self: &Arc<Self>, newer: NewerVersions) {
        for (name, version) in newer {
            let watcher = self.clone();
            self.runtime.spawn(async move {
                if watcher.documents.document(&name).version < version {
                    watcher.fetch(&name, version - 1).await;
                }
            });
        }
    }

    /// Extends the lease according to the confirmations. It is measured from the time when the poll
    /// that completed the quorum was sent, because this front has no information about what a node
    /// decides after its response.
    fn renew(&self) {
        if self.documents.config.load().0 == 0 {
            return;
        }
        let confirmations = self.confirmations.lock().unwrap();
        let by_cores = self.confirmed_by_cores(&confirmations);
        if by_cores.is_some_and(|since| self.runtime.now() < since + SERVING_LEASE) {
            self.is_confirmed.store(true, SeqCst);
        }
        let by_fronts = self.confirmed_by_fronts(&confirmations);
        let lease_end = by_cores
            .max(by_fronts)
            .map_or(0, |since| since + SERVING_LEASE);
        self.serving_until.fetch_max(lease_end, SeqCst);
        self.log_serving();
    }

    /// Time since which enough cores have confirmed to intersect any majority of cores.
    fn confirmed_by_cores(&self, confirmations: &BTreeMap<Confirmer, u64>) -> Option<u64> {
        let layout = self.documents.layout.load();
        let disks = &layout.1.core.current;
        if disks.is_empty() {
            return None;
        }
        let cores: Vec<Confirmer> = disks.iter().cloned().map(Confirmer::CoreDisk).collect();
        confirmed_since(confirmations, &cores, majority_blocking(cores.len()))
    }

    /// Time since which a majority of the fronts named in the configuration, including this one,
    /// has confirmed. A front counts itself only if cores have once confirmed its own
    /// configuration.
    fn confirmed_by_fronts(&self, confirmations: &BTreeMap<Confirmer, u64>) -> Option<u64> {
        let configuration = self.documents.config.load();
        let named = &configuration.1.fronts;
        if !named.contains(&self.name) || !self.is_confirmed.load(SeqCst) {
            return None;
        }
        let others: Vec<Confirmer> = named
            .iter()
            .filter(|front| **front != self.name)
            .cloned()
            .map(Confirmer::Front)
            .collect();
        confirmed_since(confirmations, &others, majority(named.len()) - 1)
    }

    fn log_serving(&self) {
        let may_serve = self.may_serve();
        if self.was_serving.swap(may_serve, SeqCst) != may_serve {
            self.runtime.log(if may_serve {
                "serving lease confirmed: accepting requests"
            } else {
                "serving lease expired: rejecting requests"
            });
        }
    }
}
