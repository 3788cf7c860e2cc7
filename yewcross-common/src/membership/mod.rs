//! Membership of the tier, based on SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002).
//!
//! - **Failure detection** (`prober`): each node probes the others in rounds of random order. A node
//!   that does not respond is probed indirectly, through `INDIRECT_PROBES` other members.
//! - **Suspicion**: a node that responds to no probe becomes suspect and is removed
//!   `SUSPICION_TIMEOUT` later, unless it refutes the suspicion by a higher refutation count, which
//!   only the node itself increases.
//! - **Dissemination** (`table`): recent changes are piggybacked on probes and their responses,
//!   together with a digest of the table; if the digests differ, complete tables are exchanged
//!   (anti-entropy). Changes to nodes with disks are also sent to all nodes with disks
//!   immediately, because replicas and singleton tasks depend on them.
//! - **Incarnation**: a process chooses its incarnation when it starts. Of two processes with the same
//!   name, the newer one remains a member, and [`Membership::replaced`] is set in the older one.
//! - **Time** (`clock`): probes also measure the wall clocks of other nodes; the median is the tier's
//!   time.
//!
//! Unlike in SWIM, nodes with disks may be probed at a shorter interval than the others.

mod clock;
mod node;
mod prober;
mod table;

pub use node::{MemberState, Node};

use crate::constants::{MEMBER_LOG_DELAY, MS, PEER_REQUEST_TIMEOUT, PROBE_TIMEOUT};
use crate::error_code::Code;
use crate::notify::Latch;
use crate::process_settings::{ProcessSettings, Role};
use crate::protocol::{PeerRequest, PeerResponse};
use crate::runtime::{BoxFuture, Runtime};
use crate::transport::PeerClient;
use arc_swap::ArcSwap;
use clock::ClockSamples;
use event_listener::Event;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use table::{AcceptedNode, MembershipTable, MergeContext};

/// Lower bound, in ms, of the probe interval from the settings.
const PROBE_INTERVAL_MIN_MS: u64 = 50;

/// Minimum number of nodes to which a leaving node announces that it stops.
const LEAVING_ANNOUNCEMENTS: usize = 4;

/// The membership of one process: its view of the other nodes, and its own entry as sent to them.
///
/// Lock order: `own_node`, then `table`.
pub struct Membership {
    /// The runtime of this process.
    pub runtime: Runtime,
    /// Client for requests to the other nodes.
    pub peers: Arc<PeerClient>,
    /// This process's own table entry.
    pub own_node: Mutex<Node>,
    /// Addresses from the settings at which other nodes may be reached, without this node's own.
    pub seeds: Mutex<Vec<SocketAddr>>,
    /// Peer addresses that an earlier process stored on this node's disk.
    pub persisted_peers: Mutex<Vec<SocketAddr>>,
    table: Mutex<MembershipTable>,
    /// Read-copy-update snapshot of all nodes that are not removed, by name.
    pub view: ArcSwap<BTreeMap<String, Node>>,
    clocks: Mutex<ClockSamples>,
    /// Start of this process in µs of the monotonic clock.
    started: u64,
    /// Interval between two probes of this process in µs.
    probe_interval: u64,
    /// Timeout of a probe in µs.
    probe_timeout: u64,
    /// Digest of `table` at its last publication.
    table_digest: AtomicU64,
    /// Set when a newer process has the same name as this node and this process must stop.
    pub replaced: Latch,
    /// Whether this process raises its incarnation above that of a newer process with the same name,
    /// instead of being replaced by it.
    pub supersedes_newer_process: AtomicBool,
    /// Notified when `view` changes.
    pub changed: Event,
}

impl Membership {
    /// Creates a membership whose table contains only this process. `disk` is the identity of the
    /// process's disk; empty if it has none.
    pub fn new(
        runtime: &Runtime,
        settings: &ProcessSettings,
        peers: &Arc<PeerClient>,
        disk: &str,
    ) -> Arc<Membership> {
        let own_node = Node {
            name: settings.name.clone(),
            incarnation: runtime.wall_clock_ms() << 8 | (runtime.random() & 0xff),
            refutations: 0,
            state: MemberState::Alive,
            role: settings.role,
            site: settings.site.clone(),
            peer: settings.peer,
            http: settings.http,
            disk: disk.into(),
            wire_version: settings.wire,
        };
        let seeds: Vec<SocketAddr> = settings
            .seeds
            .iter()
            .filter(|address| **address != settings.peer)
            .cloned()
            .collect();
        let started = runtime.now();
        let table = MembershipTable::new(&own_node, started);
        Arc::new(Membership {
            runtime: runtime.clone(),
            peers: peers.clone(),
            seeds: Mutex::new(seeds),
            persisted_peers: Default::default(),
            view: ArcSwap::from_pointee(table.members()),
            table_digest: AtomicU64::new(table.digest()),
            table: Mutex::new(table),
            own_node: Mutex::new(own_node),
            clocks: Default::default(),
            started,
            probe_interval: settings.bounds.probe_interval.max(PROBE_INTERVAL_MIN_MS) * MS,
            probe_timeout: PROBE_TIMEOUT.max(settings.bounds.probe_interval * MS / 3),
            replaced: Latch::default(),
            supersedes_newer_process: AtomicBool::new(false),
            changed: Event::new(),
        })
    }

    /// The members that have a role.
    pub fn nodes_of_role(&self, role: Role) -> Vec<Node> {
        self.view
            .load()
            .values()
            .filter(|node| node.role == role)
            .cloned()
            .collect()
    }

    /// The member that has the disk.
    pub fn node_with_disk(&self, disk: &str) -> Option<Node> {
        self.view
            .load()
            .values()
            .find(|node| node.disk == disk)
            .cloned()
    }

    /// All nodes in the table, including the removed ones.
    pub fn all_nodes(&self) -> Vec<Node> {
        self.table.lock().unwrap().nodes().cloned().collect()
    }

    /// The median of the measured wall clocks, in ms since 1970, and whether there are enough clocks
    /// for it to be reliable.
    pub fn clock(&self) -> (u64, bool) {
        let now = self.runtime.now();
        let own_wall_clock_ms = self.runtime.wall_clock_ms();
        self.clocks.lock().unwrap().median(now, own_wall_clock_ms)
    }

    fn own_node(&self) -> Node {
        self.own_node.lock().unwrap().clone()
    }

    fn digest(&self) -> u64 {
        self.table_digest.load(SeqCst)
    }

    fn recent_changes(&self) -> Vec<Node> {
        let now = self.runtime.now();
        self.table.lock().unwrap().recent_changes(now)
    }

    /// Merges updates about nodes into the table and publishes the changes.
    pub fn merge(&self, nodes: Vec<Node>) {
        let mut own_node = self.own_node.lock().unwrap();
        let mut table = self.table.lock().unwrap();
        let context = MergeContext {
            now: self.runtime.now(),
            started: self.started,
            supersedes_newer_process: self.supersedes_newer_process.load(SeqCst),
        };
        let outcome = table.merge(&mut own_node, nodes, &context);
        for accepted in &outcome.accepted {
            self.record_accepted(accepted);
        }
        if outcome.is_replaced {
            self.replaced.set();
        }
        if outcome.is_changed {
            self.publish(&table);
        }
    }

    fn record_accepted(&self, node: &AcceptedNode) {
        if node.is_logged {
            self.runtime
                .log(&format!("member {} {:?}", node.name, node.state));
        }
        self.peers
            .record_peer(node.peer, &node.site, node.wire_version);
    }

    /// Publishes the table's state as the new view and digest. The caller must hold the lock of the
    /// table, so that views are published in the order of the changes.
    fn publish(&self, table: &MembershipTable) {
        self.view.store(Arc::new(table.members()));
        self.table_digest.store(table.digest(), SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Changes the state of a process to one of higher precedence, unless the process was replaced or
    /// already has such a state.
    fn set_state(&self, name: &str, incarnation: u64, state: MemberState) {
        let entry = self.table.lock().unwrap().get(name).cloned();
        let Some(mut node) = entry else { return };
        if node.incarnation != incarnation || node.state >= state {
            return;
        }
        node.state = state;
        self.merge(vec![node.clone()]);
        if node.has_disk() {
            self.notify_disk_nodes(node);
        }
    }

    /// Handles a membership request from another node.
    pub async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Probe { digest, nodes } => self.handle_probe(digest, nodes),
            PeerRequest::MembershipUpdate { nodes } => {
                self.merge(nodes);
                PeerResponse::Ok
            }
            PeerRequest::ProbeOnBehalf { target } => PeerResponse::ProbeOnBehalf {
                reachable: self.probe(target).await,
            },
            PeerRequest::ExchangeMembership { nodes } => {
                self.merge(nodes);
                PeerResponse::Membership {
                    nodes: self.all_nodes(),
                }
            }
            _ => PeerResponse::Rejected(Code::BadField),
        }
    }

    fn handle_probe(&self, sender_digest: u64, nodes: Vec<Node>) -> PeerResponse {
        if sender_digest != self.digest() {
            self.merge(nodes);
        }
        let digest = self.digest();
        let nodes = if digest == sender_digest {
            vec![]
        } else {
            self.recent_changes()
        };
        PeerResponse::Probe {
            digest,
            nodes,
            wall_clock_ms: self.runtime.wall_clock_ms(),
        }
    }

    /// Sends a change of a node with a disk to all other nodes with disks immediately, without waiting
    /// for a probe, because replicas and singleton tasks depend on these nodes.
    fn notify_disk_nodes(&self, changed: Node) {
        let own_name = self.own_node.lock().unwrap().name.clone();
        let recipients: Vec<SocketAddr> = self
            .view
            .load()
            .values()
            .filter(|node| node.has_disk() && node.name != own_name && node.name != changed.name)
            .map(|node| node.peer)
            .collect();
        for recipient in recipients {
            let peers = self.peers.clone();
            let update = PeerRequest::MembershipUpdate {
                nodes: vec![changed.clone()],
            };
            self.runtime.spawn(async move {
                // If the update is lost, the next probe delivers the change.
                let _ = peers
                    .request(recipient, &update, &[], PEER_REQUEST_TIMEOUT)
                    .await;
            });
        }
    }

    /// Logs one line with the number of members discovered during the start, instead of one line per
    /// member.
    async fn log_members_at_start(self: Arc<Self>) {
        let until = self.started + MEMBER_LOG_DELAY;
        self.runtime
            .sleep(until.saturating_sub(self.runtime.now()))
            .await;
        let [cores, stores, fronts] =
            [Role::Core, Role::Store, Role::Front].map(|role| self.nodes_of_role(role).len());
        self.runtime.log(&format!(
            "members known: {cores} core, {stores} store, {fronts} front"
        ));
    }

    /// Announces a planned stop to other nodes, those with disks first, and waits for the responses.
    pub async fn announce_leaving(&self) {
        let own_node = {
            let mut own_node = self.own_node.lock().unwrap();
            own_node.state = MemberState::Removed;
            own_node.refutations += 1;
            own_node.clone()
        };
        let announcements: Vec<BoxFuture<'static, ()>> = self
            .leaving_recipients(&own_node)
            .into_iter()
            .map(|recipient| self.leaving_announcement(recipient, own_node.clone()))
            .collect();
        let announcement_count = announcements.len();
        let answers = self.runtime.spawn_all(announcements);
        for _ in 0..announcement_count {
            // An error means that a task was dropped, so that its response will not arrive.
            let _ = answers.recv().await;
        }
    }

    /// The recipients of the announcement: all nodes with disks if this node has a disk, otherwise only
    /// a few nodes. Gossip notifies the remaining nodes.
    fn leaving_recipients(&self, own_node: &Node) -> Vec<SocketAddr> {
        let mut others: Vec<Node> = self
            .view
            .load()
            .values()
            .filter(|node| node.name != own_node.name)
            .cloned()
            .collect();
        others.sort_by_key(|node| !node.has_disk());
        let disk_nodes = others.iter().filter(|node| node.has_disk()).count();
        let recipients = if own_node.has_disk() {
            disk_nodes.max(LEAVING_ANNOUNCEMENTS)
        } else {
            LEAVING_ANNOUNCEMENTS
        };
        others.truncate(recipients);
        others.into_iter().map(|node| node.peer).collect()
    }

    fn leaving_announcement(&self, to: SocketAddr, own_node: Node) -> BoxFuture<'static, ()> {
        let peers = self.peers.clone();
        Box::pin(async move {
            let request = PeerRequest::ExchangeMembership {
                nodes: vec![own_node],
            };
            // A node that misses the announcement detects the stop by its probes.
            let _ = peers.request(to, &request, &[], PROBE_TIMEOUT).await;
        })
    }
}
