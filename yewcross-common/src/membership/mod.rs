//! Membership of the tier, after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002).
//!
//! - **Failure detection** (`prober`): each node probes the others in rounds of random order. A
//!   node that does not answer is probed indirectly, through `INDIRECT_PROBES` other members.
//! - **Suspicion**: a node that no probe reaches is suspect first and removed `SUSPICION_TIMEOUT` later.
//!   It refutes the suspicion by a higher refutation count, which only the node itself raises.
//! - **Dissemination** (`table`): recent changes are piggybacked on probes and their answers,
//!   together with a digest of the table; where the digests differ, whole tables are exchanged
//!   (anti-entropy). Changes to nodes with disks are besides sent to all nodes with disks at once,
//!   since replicas and singleton tasks depend on them.
//! - **Incarnation**: a process draws its incarnation at its start. Of two processes of one name
//!   the younger one stays, and the other one sees [`Membership::replaced`] set.
//! - **Time** (`clock`): probes also measure the wall clocks of the others; their median is the
//!   tier's time.
//!
//! Unlike SWIM, the interval between probes of nodes with disks may be shorter than that of the
//! others.

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

/// ms. The shortest probe interval that the settings can ask for.
const PROBE_INTERVAL_MIN_MS: u64 = 50;

/// Nodes that a leaving node tells of it, at least.
const LEAVING_ANNOUNCEMENTS: usize = 4;

/// The membership of one process: what it knows of the others, and what it tells them of itself.
///
/// Locks are taken in the order `own_node`, `table`.
pub struct Membership {
    /// What this process runs on.
    pub runtime: Runtime,
    /// Connections to the other nodes.
    pub peers: Arc<PeerClient>,
    /// This process's own entry.
    pub own_node: Mutex<Node>,
    /// Addresses from the settings at which other nodes may be met; without the own one.
    pub seeds: Mutex<Vec<SocketAddr>>,
    /// Peer addresses that an earlier process has left on this machine's disk.
    pub persisted_peers: Mutex<Vec<SocketAddr>>,
    table: Mutex<MembershipTable>,
    /// Read-copy-update view of all nodes that are not removed, by name.
    pub view: ArcSwap<BTreeMap<String, Node>>,
    clocks: Mutex<ClockSamples>,
    /// µs: when this process started.
    started: u64,
    /// µs between two probes of this process.
    probe_interval: u64,
    /// µs that a probe may take.
    probe_timeout: u64,
    /// Digest of `table` as it was published last.
    table_digest: AtomicU64,
    /// Set when a younger process carries this node's name.
    pub replaced: Latch,
    /// Outbid a younger process of this node's name instead of giving way to it.
    pub supersedes_newer_process: AtomicBool,
    /// Notified when the view changed.
    pub changed: Event,
}

impl Membership {
    /// The membership of a process that knows only itself. `disk` is the identity of its disk;
    /// empty where it has none.
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
            probe_interval: settings.bounds.beat.max(PROBE_INTERVAL_MIN_MS) * MS,
            probe_timeout: PROBE_TIMEOUT.max(settings.bounds.beat * MS / 3),
            replaced: Latch::default(),
            supersedes_newer_process: AtomicBool::new(false),
            changed: Event::new(),
        })
    }

    /// The members of a role.
    pub fn nodes_of_role(&self, role: Role) -> Vec<Node> {
        self.view
            .load()
            .values()
            .filter(|node| node.role == role)
            .cloned()
            .collect()
    }

    /// The member that runs on a disk.
    pub fn node_with_disk(&self, disk: &str) -> Option<Node> {
        self.view
            .load()
            .values()
            .find(|node| node.disk == disk)
            .cloned()
    }

    /// All nodes known, the removed ones among them.
    pub fn all_nodes(&self) -> Vec<Node> {
        self.table.lock().unwrap().nodes().cloned().collect()
    }

    /// The median of the known wall clocks in ms since 1970, and whether enough of them are known
    /// to rely on it.
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

    /// Merges statements about nodes and announces what changed.
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
        if node.is_announced {
            self.runtime
                .log(&format!("member {} {:?}", node.name, node.state));
        }
        self.peers
            .record_peer(node.peer, &node.site, node.wire_version);
    }

    /// Makes the table's state visible. The caller holds the table's lock, so that views are
    /// published in the order of the changes.
    fn publish(&self, table: &MembershipTable) {
        self.view.store(Arc::new(table.members()));
        self.table_digest.store(table.digest(), SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Moves a process on to a later state, unless it was replaced or is as far already.
    fn set_state(&self, name: &str, incarnation: u64, state: MemberState) {
        let known = self.table.lock().unwrap().get(name).cloned();
        let Some(mut node) = known else { return };
        if node.incarnation != incarnation || node.state >= state {
            return;
        }
        node.state = state;
        self.merge(vec![node.clone()]);
        if node.has_disk() {
            self.notify_disk_nodes(node);
        }
    }

    /// Answers the requests of this module.
    pub async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Probe { digest, nodes } => self.answer_probe(digest, nodes),
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

    fn answer_probe(&self, their_digest: u64, nodes: Vec<Node>) -> PeerResponse {
        if their_digest != self.digest() {
            self.merge(nodes);
        }
        let digest = self.digest();
        let nodes = if digest == their_digest {
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

    /// Replicas and singleton tasks depend on the nodes with disks: a change to one of them is sent
    /// to all the others without waiting for a probe.
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
                // A lost update is made good by the next probe.
                let _ = peers
                    .request(recipient, &update, &[], PEER_REQUEST_TIMEOUT)
                    .await;
            });
        }
    }

    /// One line for all members that a starting node has met, in place of one for each.
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

    /// Announces a planned stop to other nodes, those with disks first, and
    /// waits for the answers.
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
            // An error only says that a task was dropped; there is nothing more to wait for.
            let _ = answers.recv().await;
        }
    }

    /// A node with a disk tells all others with disks, any other node just a few; gossip does the
    /// rest.
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
            // Whoever misses the announcement notices the stop by its probes.
            let _ = peers.request(to, &request, &[], PROBE_TIMEOUT).await;
        })
    }
}
