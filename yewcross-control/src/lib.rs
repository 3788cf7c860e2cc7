//! Control plane of the yewcross serving tier: configuration, layout of replicas, leases.
//!
//! A node of this crate is a core or a store. Cores decide the documents (configuration, layout,
//! the platform's list of servers) by a majority of their disks; stores hold records of sessions
//! and turns. [`Control`] is one such node. It is created by `start` and serves the requests of other
//! processes in `request_handler`.

pub mod api;
pub mod config;
pub mod contact;
mod counters;
mod disk_recovery;
pub mod layout;
pub mod lease;
mod lease_granter;
pub mod lease_holder;
mod maintenance;
pub mod operator;
mod persisted_documents;
mod persisted_peers;
pub mod platform_list;
pub mod proposer;
pub mod quorum_contact;
mod record_router;
mod request_handler;
pub mod singleton_tasks;
pub mod start;

use counters::Counters;
use event_listener::Event;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::buffer_memory::BufferMemory;
use yewcross_common::buffered_http::ConnectionTracker;
use yewcross_common::constants::MS;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::documents::watcher::DocumentWatcher;
use yewcross_common::membership::Membership;
use yewcross_common::overload::OverloadManager;
use yewcross_common::process_settings::ProcessSettings;
use yewcross_common::register::{RegisterClient, Replica, ReplicaSet};
use yewcross_common::runtime::Runtime;
use yewcross_common::storage::DurableStorage;
use yewcross_common::transport::PeerClient;
use yewcross_state::records::RecordStore;
use yewcross_state::turn_store::TurnStore;

/// Time for which a stopping node keeps running after it has announced its departure, in µs, so that
/// operators' requests that are already in transit are answered.
const LEAVE_GRACE_PERIOD: u64 = 200 * MS;

/// A control node: its components, shared by its tasks.
pub struct Control {
    pub runtime: Runtime,
    pub settings: ProcessSettings,
    pub peers: Arc<PeerClient>,
    pub members: Arc<Membership>,
    /// The documents applied here.
    pub documents: Arc<DocumentCache>,
    pub storage: Arc<DurableStorage>,
    /// The replica of the registers on this disk.
    pub replica: Arc<Replica>,
    /// Client that reads and changes registers through a majority of their replicas.
    pub registers: Arc<RegisterClient>,
    /// Records of sessions and budgets.
    pub record_store: Arc<RecordStore>,
    /// The turn log.
    pub turn_store: Arc<TurnStore>,
    /// State of the lease and of the tasks that only its holder runs.
    pub singleton_tasks: singleton_tasks::SingletonTasks,
    /// Newest version of the configuration known to be in force.
    pub in_force_version: AtomicU64,
    /// Version of the layout under which a sweep of this disk last replicated every key.
    pub swept_layout_version: AtomicU64,
    /// Address at which the platform's list is polled; a reload of the startup file may change it.
    pub platform: Mutex<Option<SocketAddr>>,
    pub(crate) watcher: Arc<DocumentWatcher>,
    /// Open connections of the operators' HTTP interface.
    pub(crate) connections: Arc<ConnectionTracker>,
    /// Memory for the requests of operators.
    pub buffer_memory: Arc<BufferMemory>,
    /// Limits what the node holds for callers and peers, on all its ports.
    pub overload: Arc<OverloadManager>,
    /// By front, when the serving lease granted here expires, in µs.
    pub(crate) serving_leases: Mutex<BTreeMap<String, u64>>,
    /// Number of keys that the running sweep still has to check.
    pub(crate) sweep_keys_left: AtomicU64,
    /// Whether a sweep has been requested; `sweep_requested` wakes the waiting anti-entropy task.
    pub(crate) is_sweep_requested: AtomicBool,
    pub(crate) sweep_requested: Event,
    /// Held while this node bootstraps the tier.
    pub(crate) bootstrap_lock: futures_util::lock::Mutex<()>,
    /// Whether the first layout and the empty configuration are known to be decided.
    pub(crate) is_bootstrapped: AtomicBool,
    pub(crate) publications: config::PendingPublications,
    pub(crate) counters: Counters,
    pub(crate) options: api::Options,
}

impl Control {
    /// Stops the node as planned: releases the lease, announces the departure to the other members and
    /// answers the operators' requests in progress.
    pub async fn stop(self: &Arc<Self>) {
        lease_holder::resign(self).await;
        self.members.announce_leaving().await;
        self.connections.shutdown.set();
        self.runtime.sleep(LEAVE_GRACE_PERIOD).await;
        self.connections.requests_finished().await;
    }

    /// Version of the layout that is persisted on this node's own disk.
    pub fn persisted_layout_version(&self) -> u64 {
        self.replica.layout_version.load(SeqCst)
    }
}

/// The replicas of a key according to the layout applied here, with the known addresses.
pub(crate) fn replica_set(
    documents: &DocumentCache,
    members: &Membership,
    key: &str,
) -> ReplicaSet {
    let layout = documents.layout.load();
    ReplicaSet::of(key, &layout.1, layout.0, |disk| {
        members.node_with_disk(disk).map(|node| node.peer)
    })
}
