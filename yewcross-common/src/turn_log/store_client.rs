//! Sends requests to stores, and remembers which of them are slow. Used by proxies, and by stores
//! among themselves.

use crate::constants::{STORE_RETRY_DELAY, STORE_SLOW_PERIOD};
use crate::documents::cache::DocumentCache;
use crate::documents::watcher::DocumentWatcher;
use crate::hash::ranked;
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

/// The client of all stores.
pub struct StoreClient {
    /// The clock and the tasks of this process.
    pub runtime: Runtime,
    /// Where the stores are, and which of them are alive.
    pub members: Arc<Membership>,
    /// Holds the present layout.
    pub documents: Arc<DocumentCache>,
    /// Fetches newer layouts.
    watcher: Arc<DocumentWatcher>,
    tolerated_losses: usize,
    /// Disks that kept a request waiting, and until when they are asked last, us.
    slow_until_us: Mutex<BTreeMap<String, u64>>,
    /// When each disk last answered, us.
    last_answer_us: Mutex<BTreeMap<String, u64>>,
    /// Disks that do not answer at all, and until when they count as gone, us.
    unresponsive_until_us: Mutex<BTreeMap<String, u64>>,
}

impl StoreClient {
    /// A client that knows nothing of any store yet. `name` is this node's.
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
            last_answer_us: Default::default(),
            unresponsive_until_us: Default::default(),
        })
    }

    /// The stores' disks under the present layout.
    pub fn replicas(&self) -> StoreReplicas {
        let layout = self.documents.layout.load();
        StoreReplicas::of(layout.0, &layout.1, self.tolerated_losses)
    }

    /// The node that a disk is in.
    pub fn node(&self, disk: &str) -> Option<Node> {
        self.members.node_with_disk(disk)
    }

    /// Whether the disk's node is a member, and not suspected.
    pub fn is_alive(&self, disk: &str) -> bool {
        self.members
            .view
            .load()
            .values()
            .any(|node| node.disk == disk && node.state == MemberState::Alive)
    }

    /// Whether the disk's node is alive, and has not been found without any answer lately.
    pub fn is_responsive(&self, disk: &str) -> bool {
        self.is_alive(disk) && self.is_past(&self.unresponsive_until_us, disk)
    }

    /// Whether the disk's node is responsive, and has not been slow lately.
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

    /// Whether a store has answered nothing since then; it counts as gone for a while. A store that
    /// is merely slow answers something.
    pub fn has_not_answered_since(&self, disk: &str, since_us: u64) -> bool {
        let is_silent = self
            .last_answer_us
            .lock()
            .unwrap()
            .get(disk)
            .is_none_or(|answered_us| *answered_us < since_us);
        if is_silent {
            self.unresponsive_until_us
                .lock()
                .unwrap()
                .insert(disk.into(), self.runtime.now() + STORE_SLOW_PERIOD);
        }
        is_silent
    }

    /// A store kept a request waiting: it is asked last for a while, and membership probes it now,
    /// not when its turn comes.
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

    /// Disks in the order in which they are asked for a key: prompt ones first, then those of other
    /// sites than that of the disk `beside`.
    pub fn order(&self, key: &str, replicas: &StoreReplicas, beside: Option<&str>) -> Vec<String> {
        let layout = self.documents.layout.load();
        let site_of = |disk: &str| layout.1.sites.get(disk).cloned();
        let all = replicas.all();
        let mut order: Vec<String> = ranked(key, all.iter().map(|disk| disk.as_str()))
            .into_iter()
            .map(|disk| disk.to_string())
            .collect();
        let site_beside = beside.and_then(&site_of);
        order.sort_by_cached_key(|disk| {
            (
                !self.is_prompt(disk),
                beside == Some(disk),
                site_beside.is_some() && site_of(disk) == site_beside,
            )
        });
        order
    }

    /// Disks in the order in which they are asked for a key: prompt ones first, of these the ones
    /// of a site.
    pub fn order_by_site(&self, key: &str, replicas: &StoreReplicas, site: &str) -> Vec<String> {
        let layout = self.documents.layout.load();
        let mut order = self.order(key, replicas, None);
        order.sort_by_cached_key(|disk| {
            let is_elsewhere = layout.1.sites.get(disk).is_none_or(|known| known != site);
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
                self.record_answer(disk);
                decode(&body).ok_or(SendError::OutcomeUnknown)
            }
            _ => Err(SendError::OutcomeUnknown),
        }
    }

    fn record_answer(&self, disk: &str) {
        self.last_answer_us
            .lock()
            .unwrap()
            .insert(disk.into(), self.runtime.now());
        self.unresponsive_until_us.lock().unwrap().remove(disk);
    }

    /// Fetches a layout that another node is known to have. Where that fails, pauses before the
    /// caller tries again.
    pub async fn catch_up(&self, layout_version: u64) {
        if self.documents.layout.load().0 < layout_version {
            self.watcher.fetch("layout", layout_version - 1).await;
        }
        if self.documents.layout.load().0 < layout_version {
            self.runtime.sleep(STORE_RETRY_DELAY).await;
        }
    }
}
