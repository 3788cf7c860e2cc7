//! Polling without serving leases: one core at a time.

use super::super::departures;
use super::DocumentWatcher;
use crate::constants::SERVING_LEASE_RENEWAL;
use crate::membership::{MemberState, Node};
use crate::process_settings::Role;
use crate::protocol::{PeerRequest, PeerResponse};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

/// Largest number of cores polled in one round until one of them brings this node up to date.
const CORES_PER_ROUND: usize = 3;

/// A core's response to a poll.
struct PollAnswer {
    /// Name and newest version of each document on the core.
    newest: Vec<(String, u64)>,
    /// Whether a majority of core replicas has recently responded to the core. The documents of any
    /// other core may be outdated.
    is_authoritative: bool,
    /// Whether the core was notified of a newer version than it holds.
    is_behind: bool,
    /// The servers that are leaving; empty if they are the same as in the core's last response.
    leaving: Vec<String>,
}

impl DocumentWatcher {
    /// Polls one core at a time, in every other round those of the local site first; starts
    /// immediately when cores are discovered.
    pub(super) async fn poll_round_robin(self: &Arc<Self>) {
        // Until the first documents have been received, the polling interval is short. Cores that
        // have just started soon have contact with a majority, so the interval grows only after
        // successful rounds.
        let mut bootstrap_interval = self.poll_interval / 4;
        loop {
            let members_changed = self.members.changed.listen();
            let cores = self.cores_for_round();
            if cores.is_empty() {
                self.runtime
                    .timeout(self.poll_interval, members_changed)
                    .await;
                continue;
            }
            let is_up_to_date = self.poll_until_up_to_date(&cores).await;
            let interval = if self.has_documents() {
                self.poll_interval * 9 / 10 + self.runtime.random() % (self.poll_interval / 5)
            } else {
                bootstrap_interval
            };
            if is_up_to_date {
                bootstrap_interval = (2 * bootstrap_interval).min(self.poll_interval);
            }
            self.runtime.sleep(interval).await;
        }
    }

    fn has_documents(&self) -> bool {
        self.documents.config.load().0 > 0 && self.documents.layout.load().0 > 0
    }

    fn cores_for_round(&self) -> Vec<Node> {
        let round = self.rounds.fetch_add(1, SeqCst) as usize;
        let mut cores: Vec<Node> = self
            .members
            .nodes_of_role(Role::Core)
            .into_iter()
            .filter(|core| core.name != self.name && core.state == MemberState::Alive)
            .collect();
        let count = cores.len().max(1);
        cores.rotate_left(round / 2 % count);
        if round.is_multiple_of(2) {
            cores.sort_by_key(|core| core.site != self.members.peers.site);
        }
        cores
    }

    async fn poll_until_up_to_date(&self, cores: &[Node]) -> bool {
        for core in cores.iter().take(CORES_PER_ROUND) {
            if self.poll_core(core).await {
                return true;
            }
        }
        false
    }

    /// Returns whether the core responded, a majority of core replicas has recently responded to
    /// it, and this node now holds the versions that it reported. From a core without a majority,
    /// only the leaving servers are applied.
    async fn poll_core(&self, core: &Node) -> bool {
        let known = self.documents.versions();
        let request = PeerRequest::PollDocuments {
            known: known.clone(),
            front: false,
            leaving_digest: self.leaving_digest_of(core),
        };
        let sent_at = self.runtime.now();
        let Some(answer) = self.request_versions(core, &request).await else {
            return false;
        };
        self.record_leaving(core, &answer.leaving);
        if !answer.is_authoritative {
            return false;
        }
        self.confirmed_at.fetch_max(sent_at, SeqCst);
        for (name, version) in &answer.newest {
            let known_version = known
                .iter()
                .find(|(known_name, _)| known_name == name)
                .map_or(0, |(_, version)| *version);
            self.catch_up(core, name, known_version, *version).await;
        }
        !answer.is_behind
            && answer
                .newest
                .iter()
                .all(|(name, version)| self.documents.document(name).version >= *version)
    }

    async fn request_versions(&self, core: &Node, request: &PeerRequest) -> Option<PollAnswer> {
        let peers = &self.members.peers;
        match peers
            .request(core.peer, request, &[], SERVING_LEASE_RENEWAL)
            .await
        {
            Ok((
                PeerResponse::DocumentVersions {
                    newest,
                    authoritative,
                    behind,
                    leaving,
                },
                _,
            )) => Some(PollAnswer {
                newest,
                is_authoritative: authoritative,
                is_behind: behind,
                leaving,
            }),
            _ => None,
        }
    }

    fn leaving_digest_of(&self, core: &Node) -> u64 {
        let digests = self.leaving_digests.lock().unwrap();
        digests.get(&core.name).copied().unwrap_or(0)
    }

    /// Records the leaving servers that a core reported. A departure is final, so this needs no
    /// majority.
    fn record_leaving(&self, core: &Node, leaving: &[String]) {
        if leaving.is_empty() {
            return;
        }
        self.documents.mark_leaving(leaving);
        self.leaving_digests
            .lock()
            .unwrap()
            .insert(core.name.clone(), departures::digest(leaving));
    }

    /// Fetches a document from the core unless this node holds it, or its delta is about to arrive.
    async fn catch_up(&self, core: &Node, name: &str, known_version: u64, version: u64) {
        if version <= known_version {
            return;
        }
        if known_version > 0 && self.wait_for_publication(name, version).await {
            return;
        }
        let request = PeerRequest::FetchDocument {
            name: name.into(),
            newer_than: known_version,
        };
        self.fetch_from(core.peer, name, &request).await;
    }

    /// Waits for the version to be published and returns whether it has been received: a version
    /// that was just decided is sent to every node as a delta, so the complete document need not be
    /// fetched.
    async fn wait_for_publication(&self, name: &str, version: u64) -> bool {
        let deadline = self.runtime.now() + self.poll_interval / 4;
        loop {
            let changed = self.documents.changed.listen();
            if self.documents.document(name).version >= version {
                return true;
            }
            let remaining = deadline.saturating_sub(self.runtime.now());
            if remaining == 0 || self.runtime.timeout(remaining, changed).await.is_none() {
                return self.documents.document(name).version >= version;
            }
        }
    }
}
