//! Sends requests to stores and records which of them are slow or unresponsive. Used by proxies, and by
//! stores for requests to each other.

use crate::constants::{STORE_RETRY_DELAY, STORE_SLOW_PERIOD};
use crate::documents::cache::DocumentCache;
use crate::documents::watcher::DocumentWatcher;
use crate::hash::rank_by_weight;
use crate::membership::{MemberState, Membership, Node};
use crate::protocol::{PeerRequest, PeerResponse};
use crate::runtime::Runtime;
use crate::transport::SendError;
use crate::turn_log::messages::{
    TurnLogOperation, TurnLogRequest, TurnLogResponse, decode, encode,
};
use crate::turn_log::replicas::StoreReplicas;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Client for requests to the stores.
pub struct StoreClient {
    /// The runtime of this process.
    pub runtime: Runtime,
    /// The membership, which has the addresses and states of the stores.
    pub members: Arc<Membership>,
    /// The document cache, which has the current layout.
    pub documents: Arc<DocumentCache>,
    /// Fetches newer layouts.
    watcher: Arc<DocumentWatcher>,
    tolerated_losses: usize,
    /// Disks that were slow to respond, and the time, in us, until which they rank last.
    slow_until_us: Mutex<BTreeMap<String, u64>>,
    /// Time of the last response from each disk, in us.
    last_response_us: Mutex<BTreeMap<String, u64>>,
    /// Disks that stopped responding, and the time, in us, until which they count as unresponsive.
    unresponsive_until_us: Mutex<BTreeMap<String, u64>>,
}

impl StoreClient {
    /// Creates a client without any record of slow or unresponsive stores. `name` is this node's name.
    pub fn new(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        name: &str,
        tolerated_losses: usize,
    ) -> Arc<StoreClient> {
        Arc::new(StoreClient {
            runtime: members.runtime.clone(),
            members: members.clone(),
            documents: documents.clone(),
            watcher: DocumentWatcher::new(members, documents, name, false),
            tolerated_losses,
            slow_until_us: Default::default(),
            last_response_us: Default::default(),
            unresponsive_until_us: Default::default(),
        })
    }

    /// The disks of the stores under the current layout.
    pub fn replicas(&self) -> StoreReplicas {
        let layout = self.documents.layout.load();
        StoreReplicas::of(layout.0, &layout.1, self.tolerated_losses)
    }

    /// The member that has the disk.
    pub fn node(&self, disk: &str) -> Option<Node> {
        self.members.node_with_disk(disk)
    }

    /// Whether the disk's node is a member and not suspected of having failed.
    pub fn is_alive(&self, disk: &str) -> bool {
        self.members
            .view
            .load()
            .values()
            .any(|node| node.disk == disk && node.state == MemberState::Alive)
    }

    /// Whether the disk's node is alive and is not currently marked as unresponsive.
    pub fn is_responsive(&self, disk: &str) -> bool {
        self.is_alive(disk) && self.is_past(&self.unresponsive_until_us, disk)
    }

    /// Whether the disk's node is responsive and is not currently marked as slow.
    pub fn is_prompt(&self, disk: &str) -> bool {
        self.is_responsive(disk) && self.is_past(&self.slow_until_us, disk)
    }

    fn is_past(&self, until_us: &Mutex<BTreeMap<String, u64>>, disk: &str) -> bool {
        until_us
            .lock()
            .unwrap()
            .get(disk)
            .is_none_or(|until_us| *until_us < self.runtime.now())
    }

    /// Whether a store has sent no response at all since `since_us`; if so, it is marked as unresponsive
    /// for `STORE_SLOW_PERIOD`. A store that is merely slow still responds to some requests.
    pub fn has_not_answered_since(&self, disk: &str, since_us: u64) -> bool {
        let has_no_response = self
            .last_response_us
            .lock()
            .unwrap()
            .get(disk)
            .is_none_or(|responded_us| *responded_us < since_us);
        if has_no_response {
            self.unresponsive_until_us
                .lock()
                .unwrap()
                .insert(disk.into(), self.runtime.now() + STORE_SLOW_PERIOD);
        }
        has_no_response
    }

    /// Marks a store as slow: it ranks last for `STORE_SLOW_PERIOD`, and its node is probed immediately
    /// instead of in the next regular probe.
    pub fn mark_slow(&self, disk: &str) {
        let now_us = self.runtime.now();
        let earlier_until_us = self
            .slow_until_us
            .lock()
            .unwrap()
            .insert(disk.into(), now_us + STORE_SLOW_PERIOD);
        if earlier_until_us.is_none_or(|until_us| until_us < now_us)
            && let Some(node) = self.node(disk)
        {
            self.runtime
                .spawn(self.members.clone().probe_or_suspect(node));
        }
    }

    /// Disks in the order in which requests for a key are sent to them: prompt disks first, and among
    /// these the disks of other sites than that of the disk `avoided`, which comes last among them.
    pub fn order(&self, key: &str, replicas: &StoreReplicas, avoided: Option<&str>) -> Vec<String> {
        let layout = self.documents.layout.load();
        let site_of = |disk: &str| layout.1.sites.get(disk).cloned();
        let all = replicas.all();
        let mut order: Vec<String> = rank_by_weight(key, all.iter().map(|disk| disk.as_str()))
            .into_iter()
            .map(|disk| disk.to_string())
            .collect();
        let avoided_site = avoided.and_then(&site_of);
        order.sort_by_cached_key(|disk| {
            (
                !self.is_prompt(disk),
                avoided == Some(disk),
                avoided_site.is_some() && site_of(disk) == avoided_site,
            )
        });
        order
    }

    /// Disks in the order in which requests for a key are sent to them: prompt disks first, and among
    /// these the disks of the given site.
    pub fn order_by_site(&self, key: &str, replicas: &StoreReplicas, site: &str) -> Vec<String> {
        let layout = self.documents.layout.load();
        let mut order = self.order(key, replicas, None);
        order.sort_by_cached_key(|disk| {
            let is_elsewhere = layout
                .1
                .sites
                .get(disk)
                .is_none_or(|disk_site| disk_site != site);
            (!self.is_prompt(disk), is_elsewhere)
        });
        order
    }

    /// Sends a request to the store of a disk.
    pub async fn request(
        &self,
        disk: &str,
        layout_version: u64,
        operation: &TurnLogOperation,
        timeout_us: u64,
    ) -> Result<TurnLogResponse, SendError> {
        let peer = self.node(disk).ok_or(SendError::NotSent)?.peer;
        let body = encode(&TurnLogRequest {
            layout_version,
            disk: disk.into(),
            timeout_us,
            operation: operation.clone(),
        });
        let response = self
            .members
            .peers
            .request(peer, &PeerRequest::TurnLog, &body, timeout_us)
            .await?;
        match response {
            (PeerResponse::TurnLog, body) => {
                self.record_response(disk);
                decode(&body).ok_or(SendError::OutcomeUnknown)
            }
            _ => Err(SendError::OutcomeUnknown),
        }
    }

    fn record_response(&self, disk: &str) {
        self.last_response_us
            .lock()
            .unwrap()
            .insert(disk.into(), self.runtime.now());
        self.unresponsive_until_us.lock().unwrap().remove(disk);
    }

    /// Fetches a layout version that another node has reported. If that fails, waits before the caller
    /// retries.
    pub async fn catch_up(&self, layout_version: u64) {
        if self.documents.layout.load().0 < layout_version {
            self.watcher.fetch("layout", layout_version - 1).await;
        }
        if self.documents.layout.load().0 < layout_version {
            self.runtime.sleep(STORE_RETRY_DELAY).await;
        }
    }
}
