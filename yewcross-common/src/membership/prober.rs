//! The failure detector: probe rounds, indirect probes, suspicion, expiry, and attempts to contact
//! nodes that are missing from the view.

use super::Membership;
use super::node::{MemberState, Node};
use crate::constants::{
    INDIRECT_PROBES, MS, PEER_REQUEST_TIMEOUT, PROBE_INTERVAL, REJOIN_PROBE_INTERVALS,
    SEED_CONTACT_INTERVAL, SEEDS_CONTACTED_AT_ONCE,
};
use crate::protocol::{PeerRequest, PeerResponse};
use crate::runtime::BoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;

/// Minimum interval, in µs, between two attempts to contact nodes that are missing from the view.
const REJOIN_INTERVAL: u64 = REJOIN_PROBE_INTERVALS * PROBE_INTERVAL;

/// The nodes still to be probed in the current round, in random order. Each node of the view is probed
/// once per round, which bounds the time until a failure is detected.
struct ProbeRound {
    own_name: String,
    /// Whether only nodes with disks are probed.
    disks_only: bool,
    pending: Vec<String>,
}

impl ProbeRound {
    fn new(own_name: &str, disks_only: bool) -> ProbeRound {
        ProbeRound {
            own_name: own_name.into(),
            disks_only,
            pending: vec![],
        }
    }

    /// The next node to probe, if it is still in the view; starts a new round after the last node.
    fn next(&mut self, membership: &Membership) -> Option<Node> {
        if self.pending.is_empty() {
            self.pending = self.shuffled_names(membership);
        }
        let name = self.pending.pop()?;
        membership.view.load().get(&name).cloned()
    }

    fn shuffled_names(&self, membership: &Membership) -> Vec<String> {
        let mut names: Vec<String> = membership
            .view
            .load()
            .values()
            .filter(|node| node.name != self.own_name && (!self.disks_only || node.has_disk()))
            .map(|node| node.name.clone())
            .collect();
        for index in (1..names.len()).rev() {
            names.swap(index, membership.runtime.random_index(index + 1));
        }
        names
    }
}

/// The state of the probe loop and the times of its next actions (µs, monotonic).
struct ProbeSchedule {
    all: ProbeRound,
    next_all: u64,
    disks: ProbeRound,
    next_disk: u64,
    next_rejoin: u64,
    /// Whether nodes with disks are also probed in separate, more frequent rounds: this node has a
    /// disk, and the configured probe interval is longer than `PROBE_INTERVAL`.
    probes_disks_separately: bool,
}

impl ProbeSchedule {
    fn next_probe(&self) -> u64 {
        if self.probes_disks_separately {
            self.next_disk.min(self.next_all)
        } else {
            self.next_all
        }
    }
}

impl Membership {
    /// Probes the other nodes until the process ends.
    pub async fn run(self: Arc<Self>) {
        self.runtime.spawn(self.clone().log_members_at_start());
        let own_node = self.own_node();
        let mut schedule = ProbeSchedule {
            all: ProbeRound::new(&own_node.name, false),
            next_all: 0,
            disks: ProbeRound::new(&own_node.name, true),
            next_disk: 0,
            next_rejoin: self.runtime.now() + REJOIN_INTERVAL,
            probes_disks_separately: own_node.has_disk() && self.probe_interval > PROBE_INTERVAL,
        };
        let mut is_announced = false;
        loop {
            let now = self.runtime.now();
            if self.view.load().len() <= 1 {
                self.join().await;
                continue;
            }
            if own_node.has_disk() && !is_announced {
                is_announced = true;
                self.notify_disk_nodes(self.own_node());
            }
            self.run_due(&mut schedule, now);
            self.expire();
            let wait = schedule
                .next_probe()
                .saturating_sub(self.runtime.now())
                .max(MS);
            self.runtime.sleep(wait).await;
        }
    }

    /// Starts the actions that are due at `now`.
    fn run_due(self: &Arc<Self>, schedule: &mut ProbeSchedule, now: u64) {
        if now >= schedule.next_rejoin {
            schedule.next_rejoin = now + self.probe_interval.max(REJOIN_INTERVAL);
            self.contact_missing_node();
        }
        if now >= schedule.next_all {
            schedule.next_all = now + self.probe_interval;
            self.probe_next(&mut schedule.all);
        }
        if schedule.probes_disks_separately && now >= schedule.next_disk {
            schedule.next_disk = now + PROBE_INTERVAL;
            self.probe_next(&mut schedule.disks);
        }
    }

    /// Called while no other node is in the view: exchanges tables with a few candidate addresses and
    /// waits for a change of the view.
    async fn join(self: &Arc<Self>) {
        for address in self.join_candidates() {
            self.clone().start_table_exchange(address);
        }
        let changed = self.changed.listen();
        self.runtime.timeout(SEED_CONTACT_INTERVAL, changed).await;
    }

    /// Exchanges tables with one random address that is missing from the view, including the seeds. This
    /// is needed after a partition: each side has removed the nodes of the other and does not probe
    /// them.
    fn contact_missing_node(self: &Arc<Self>) {
        let members: Vec<SocketAddr> = self.view.load().values().map(|node| node.peer).collect();
        let mut missing = self.candidate_addresses();
        missing.retain(|address| !members.contains(address));
        if !missing.is_empty() {
            let chosen = missing.swap_remove(self.runtime.random_index(missing.len()));
            self.clone().start_table_exchange(chosen);
        }
    }

    /// A random selection of a few addresses at which a node may respond.
    fn join_candidates(&self) -> Vec<SocketAddr> {
        let mut candidates = self.candidate_addresses();
        while candidates.len() > SEEDS_CONTACTED_AT_ONCE {
            candidates.swap_remove(self.runtime.random_index(candidates.len()));
        }
        candidates
    }

    /// Addresses at which nodes may respond in addition to those of the view: the seeds, the peers
    /// stored on this node's disk, and the removed nodes.
    fn candidate_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.seeds.lock().unwrap().clone();
        addresses.extend(self.persisted_peers.lock().unwrap().iter().cloned());
        addresses.extend(
            self.all_nodes()
                .iter()
                .filter(|node| node.state == MemberState::Removed)
                .map(|node| node.peer),
        );
        let own_address = self.own_node.lock().unwrap().peer;
        addresses.retain(|address| *address != own_address);
        addresses.sort();
        addresses.dedup();
        addresses
    }

    fn start_table_exchange(self: Arc<Self>, to: SocketAddr) {
        let runtime = self.runtime.clone();
        runtime.spawn(async move { self.exchange_tables(to).await });
    }

    fn probe_next(self: &Arc<Self>, round: &mut ProbeRound) {
        if let Some(node) = round.next(self) {
            let membership = self.clone();
            self.runtime
                .spawn(async move { membership.probe_or_suspect(node).await });
        }
    }

    /// Probes a node immediately, first directly and then through other members, and marks it as suspect
    /// if it responds to no probe.
    pub async fn probe_or_suspect(self: Arc<Self>, node: Node) {
        if self.probe(node.peer).await || self.probe_indirectly(&node).await {
            return;
        }
        self.set_state(&node.name, node.incarnation, MemberState::Suspect);
    }

    /// Probes a node once and merges the updates in its response; returns whether it responded.
    pub(super) async fn probe(&self, to: SocketAddr) -> bool {
        let sent = self.runtime.now();
        let request = PeerRequest::Probe {
            digest: self.digest(),
            nodes: self.recent_changes(),
        };
        let response = self
            .peers
            .request(to, &request, &[], self.probe_timeout)
            .await;
        let Ok((
            PeerResponse::Probe {
                digest,
                nodes,
                wall_clock_ms,
            },
            _,
        )) = response
        else {
            return false;
        };
        // 0 means that the response does not contain the node's clock.
        if wall_clock_ms > 0 {
            let received = self.runtime.now();
            self.clocks
                .lock()
                .unwrap()
                .record(to.to_string(), wall_clock_ms, sent, received);
        }
        self.merge(nodes);
        if digest != self.digest() {
            self.exchange_tables(to).await;
        }
        true
    }

    /// Requests randomly chosen members to probe the node; returns whether it responded to any of them.
    async fn probe_indirectly(&self, node: &Node) -> bool {
        let own_name = self.own_node.lock().unwrap().name.clone();
        let mut candidates: Vec<Node> = self
            .view
            .load()
            .values()
            .filter(|other| other.name != own_name && other.name != node.name)
            .filter(|other| other.state == MemberState::Alive)
            .cloned()
            .collect();
        let mut probes: Vec<BoxFuture<'static, bool>> = vec![];
        while !candidates.is_empty() && probes.len() < INDIRECT_PROBES {
            let index = self.runtime.random_index(candidates.len());
            let relay = candidates.swap_remove(index);
            probes.push(self.indirect_probe(relay.peer, node.peer));
        }
        let probe_count = probes.len();
        let results = self.runtime.spawn_all(probes);
        for _ in 0..probe_count {
            if results.recv().await == Ok(true) {
                return true;
            }
        }
        false
    }

    fn indirect_probe(&self, relay: SocketAddr, target: SocketAddr) -> BoxFuture<'static, bool> {
        let peers = self.peers.clone();
        // The relay's own probe takes up to one timeout, and its response to this node another.
        let timeout = 2 * self.probe_timeout;
        Box::pin(async move {
            let request = PeerRequest::ProbeOnBehalf { target };
            let response = peers.request(relay, &request, &[], timeout).await;
            matches!(
                response,
                Ok((PeerResponse::ProbeOnBehalf { reachable: true }, _))
            )
        })
    }

    /// Full anti-entropy: both sides merge the other's complete table. If the other node does not
    /// respond, nothing is done; later probes trigger the exchange again.
    async fn exchange_tables(&self, with: SocketAddr) {
        let request = PeerRequest::ExchangeMembership {
            nodes: self.all_nodes(),
        };
        let response = self
            .peers
            .request(with, &request, &[], PEER_REQUEST_TIMEOUT)
            .await;
        if let Ok((PeerResponse::Membership { nodes }, _)) = response {
            self.merge(nodes);
        }
    }

    /// Marks suspect nodes that did not refute the suspicion in time as removed, and deletes the entries
    /// of removed nodes after their retention period.
    fn expire(&self) {
        let now = self.runtime.now();
        let expired = self.table.lock().unwrap().expired(now);
        for suspect in expired.suspects {
            self.set_state(&suspect.name, suspect.incarnation, MemberState::Removed);
        }
        for name in expired.removed {
            self.table.lock().unwrap().remove(&name);
        }
    }
}
