//! Control plane of the yewcross serving tier: configuration, layout of replicas, leases.
//!
//! A node of this crate is a core or a store. Cores decide the documents (configuration, layout,
//! the platform's list of servers) by a majority of their disks; stores hold records of sessions
//! and turns. [`Control`] is one such node, built by `start` and reached by other processes through
//! `request_handler`.

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
use yewcross_common::buffered_http::ConnectionTracker;
use yewcross_common::constants::MS;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::documents::watcher::DocumentWatcher;
use yewcross_common::membership::Membership;
use yewcross_common::process_settings::ProcessSettings;
use yewcross_common::register::{RegisterClient, Replica, ReplicaSet};
use yewcross_common::runtime::Runtime;
use yewcross_common::storage::DurableStorage;
use yewcross_common::transport::PeerClient;
use yewcross_state::records::RecordStore;
use yewcross_state::turn_store::TurnStore;

/// us. A stopping node stays this long after it has announced that it leaves, so that operators'
/// requests already on their way are answered.
const LEAVE_GRACE: u64 = 200 * MS;

/// A control node: its parts, shared by its tasks.
pub struct Control {
    pub runtime: Runtime,
    pub settings: ProcessSettings,
    pub peers: Arc<PeerClient>,
    pub members: Arc<Membership>,
    /// The documents applied here.
    pub documents: Arc<DocumentCache>,
    pub storage: Arc<DurableStorage>,
    /// This disk's registers.
    pub replica: Arc<Replica>,
    /// Reads and changes registers by a majority of their replicas.
    pub registers: Arc<RegisterClient>,
    /// Records of sessions and budgets.
    pub record_store: Arc<RecordStore>,
    /// The turn log.
    pub turn_store: Arc<TurnStore>,
    pub singleton_tasks: singleton_tasks::SingletonTasks,
    /// Newest version of the configuration known to be in force.
    pub in_force_version: AtomicU64,
    /// Version of the layout under which every key on this disk was last found complete.
    pub swept_layout_version: AtomicU64,
    /// Where the platform's list is polled; a reload may change it.
    pub platform: Mutex<Option<SocketAddr>>,
    pub(crate) watcher: Arc<DocumentWatcher>,
    /// Of the operators' interface.
    pub(crate) connections: Arc<ConnectionTracker>,
    /// When the serving lease granted here to each front expires.
    pub(crate) serving_leases: Mutex<BTreeMap<String, u64>>,
    /// Keys that the running sweep has yet to check.
    pub(crate) sweep_keys_left: AtomicU64,
    /// A sweep was requested; `sweep_call` wakes the one that waits.
    pub(crate) is_sweep_requested: AtomicBool,
    pub(crate) sweep_requested: Event,
    /// Held while this node bootstraps the tier.
    pub(crate) bootstrap_lock: futures_util::lock::Mutex<()>,
    /// The first layout and the empty configuration are decided.
    pub(crate) is_bootstrapped: AtomicBool,
    pub(crate) publications: config::PendingPublications,
    pub(crate) counters: Counters,
    pub(crate) options: api::Options,
}

impl Control {
    /// A planned stop: the lease is given up, the others are told, and operators' requests under way
    /// are answered.
    pub async fn stop(self: &Arc<Self>) {
        lease_holder::resign(self).await;
        self.members.announce_leaving().await;
        self.connections.closing.set();
        self.runtime.sleep(LEAVE_GRACE).await;
        self.connections.idle().await;
    }

    /// Version of the layout that this node's own disk holds.
    pub fn persisted_layout_version(&self) -> u64 {
        self.replica.layout_version.load(SeqCst)
    }
}

/// The replicas of a key by the layout applied here, with the addresses of those that are known.
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
