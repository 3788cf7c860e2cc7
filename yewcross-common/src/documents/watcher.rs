//! Keeps a node's documents up to date.
//!
//! There are two modes, depending on the settings of the tier:
//! - without serving leases ([`DocumentWatcher::without_leases`], `poll`): one core is polled at a
//!   time, and a front serves with its current configuration;
//! - with serving leases ([`DocumentWatcher::new`], `serving_lease`): a front serves only while a
//!   quorum of cores, or of fronts, has recently confirmed that no newer configuration or layout is
//!   in force.

mod poll;
mod serving_lease;

use super::cache::DocumentCache;
use crate::constants::{MS, PEER_REQUEST_TIMEOUT};
use crate::membership::{Membership, Node};
use crate::process_settings::Role;
use crate::protocol::{PeerRequest, PeerResponse};
use crate::runtime::Runtime;
use serving_lease::Confirmer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// Number of polls within the time in which a decided document must be applied.
const POLLS_PER_APPLY_SPAN: u64 = 5;
/// Shortest interval between two polls, in µs.
const POLL_INTERVAL_MIN: u64 = 50 * MS;
/// Number of different positions in the order of cores at which a process starts to poll. Each
/// process selects one at random, so that nodes that start together do not all poll the same core.
const POLL_START_SPREAD: u64 = 64;

/// Keeps the documents of one node up to date and, for a front, confirms that they are in force.
pub struct DocumentWatcher {
    runtime: Runtime,
    members: Arc<Membership>,
    documents: Arc<DocumentCache>,
    name: String,
    is_front: bool,
    /// Interval between two polls without serving leases, in µs; 0 if fronts serve under leases.
    poll_interval: u64,
    /// End of the serving lease, in µs.
    serving_until: AtomicU64,
    /// Whether a core quorum has confirmed the local configuration since this process started.
    is_confirmed: AtomicBool,
    /// Number of rounds so far, from a random first value: cores are polled in rotation.
    rounds: AtomicU64,
    /// Time at which the last poll that each node confirmed was sent, in µs.
    confirmations: Mutex<BTreeMap<Confirmer, u64>>,
    /// Digest of the leaving servers that each core reported last, by the core's name: a core
    /// reports them again only if they differ.
    leaving_digests: Mutex<BTreeMap<String, u64>>,
    was_serving: AtomicBool,
    /// Time at which the last poll was sent that a core in contact with a majority answered, in µs;
    /// 0 before the first.
    confirmed_at: AtomicU64,
}

impl DocumentWatcher {
    /// Creates a watcher with serving leases.
    pub fn new(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        name: &str,
        is_front: bool,
    ) -> Arc<DocumentWatcher> {
        DocumentWatcher::with_poll_interval(members, documents, name, is_front, 0)
    }

    /// Creates a watcher without serving leases: a front serves with its current documents, and one
    /// core is polled often enough that a decided document is applied within `apply_within` (µs).
    pub fn without_leases(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        name: &str,
        is_front: bool,
        apply_within: u64,
    ) -> Arc<DocumentWatcher> {
        let poll_interval = (apply_within / POLLS_PER_APPLY_SPAN).max(POLL_INTERVAL_MIN);
        DocumentWatcher::with_poll_interval(members, documents, name, is_front, poll_interval)
    }

    fn with_poll_interval(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        name: &str,
        is_front: bool,
        poll_interval: u64,
    ) -> Arc<DocumentWatcher> {
        let runtime = members.runtime.clone();
        let first_round = runtime.random() % POLL_START_SPREAD;
        Arc::new(DocumentWatcher {
            runtime,
            members: members.clone(),
            documents: documents.clone(),
            name: name.into(),
            is_front,
            poll_interval,
            serving_until: AtomicU64::new(0),
            is_confirmed: AtomicBool::new(false),
            rounds: AtomicU64::new(first_round),
            confirmations: Mutex::default(),
            leaving_digests: Mutex::default(),
            was_serving: AtomicBool::new(false),
            confirmed_at: AtomicU64::new(0),
        })
    }

    /// Keeps the documents up to date for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        if self.uses_leases() {
            self.renew_in_rounds().await
        } else {
            self.poll_round_robin().await
        }
    }

    fn uses_leases(&self) -> bool {
        self.poll_interval == 0
    }

    /// Whether this front may serve now.
    pub fn may_serve(&self) -> bool {
        if self.uses_leases() {
            self.runtime.now() < self.serving_until.load(SeqCst)
        } else {
            self.documents.config.load().0 > 0
        }
    }

    /// Time since the last poll that a core in contact with a majority answered, in µs; `None`
    /// before the first.
    pub fn since_confirmation(&self) -> Option<u64> {
        let confirmed_at = self.confirmed_at.load(SeqCst);
        (confirmed_at > 0).then(|| self.runtime.now() - confirmed_at)
    }

    /// The response of this front to polls of other fronts: its versions, and whether a core quorum
    /// has ever confirmed them.
    pub fn poll_response(&self) -> PeerResponse {
        PeerResponse::DocumentVersions {
            newest: self.documents.versions(),
            authoritative: self.is_confirmed.load(SeqCst),
            behind: false,
            leaving: vec![],
        }
    }

    /// Requests the decided version of a document from one core after the other, until one responds
    /// and either the document is not newer than `known_version` or it has been applied.
    pub async fn fetch(&self, name: &str, known_version: u64) {
        for core in self.cores_by_preference(name) {
            let request = PeerRequest::ReadDecidedDocument {
                name: name.into(),
                hops: 0,
            };
            if let Some(version) = self.fetch_from(core.peer, name, &request).await
                && (self.documents.document(name).version > known_version
                    || version <= known_version)
            {
                return;
            }
        }
    }

    /// The cores in the order in which this document is requested from them.
    fn cores_by_preference(&self, name: &str) -> Vec<Node> {
        let cores = self.members.nodes_of_role(Role::Core);
        crate::hash::rank_by_weight(name, cores.iter().map(|core| core.name.as_str()))
            .into_iter()
            .filter_map(|ranked| cores.iter().find(|core| core.name == ranked))
            .cloned()
            .collect()
    }

    /// Requests a document from a peer and applies it unless it is the empty one; returns its
    /// version.
    async fn fetch_from(
        &self,
        address: SocketAddr,
        name: &str,
        request: &PeerRequest,
    ) -> Option<u64> {
        let peers = &self.members.peers;
        let answer = peers
            .request(address, request, &[], PEER_REQUEST_TIMEOUT)
            .await;
        let Ok((
            PeerResponse::Document {
                version,
                ballot: epoch,
            },
            content,
        )) = answer
        else {
            return None;
        };
        if version > 0 {
            self.documents.apply(name, version, epoch, content);
        }
        Some(version)
    }

    /// Discards the confirmations of the old document after a newer one was received.
    pub fn reset_confirmations(&self) {
        self.confirmations.lock().unwrap().clear();
    }
}
