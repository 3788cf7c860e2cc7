//! Bootstrap of a tier that maintains itself, from the seeds that every node is configured with.
//!
//! # Which layouts are proposed
//!
//! Every core that was told of the first start proposes the layout that consists of the disks of all
//! seeds, the seeds themselves first. If some of the seeds stay unknown for the contact time, it proposes the disks of the others,
//! provided that each majority of them is a majority of the seeds. Two such layouts can therefore not
//! both be decided: their majorities share a disk, and a disk accepts only one first layout.
//!
//! # Why one of them is accepted
//!
//! A layout is sent to the seeds in their configured order, until one rejects it. Of two layouts, the
//! first disk that both name accepts one and stops the other. A disk that has accepted a layout
//! proposes it until the tier is bootstrapped, so it survives the loss of its first proposer.

use super::first_start::seeds_of_first_start;
use super::{FIRST_VERSION, is_bootstrapped, send_first_layout};
use crate::Control;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, PeerResponse, ReplicaGroup};

/// Interval at which an automatic bootstrap is retried while nothing changes, in µs.
const BOOTSTRAP_RETRY_INTERVAL: u64 = 300 * MS;

/// Time after which an accepted layout that is not decided yet is proposed again, in µs.
const ACCEPTED_LAYOUT_REPEAT_DELAY: u64 = SEC;

/// Time for which a core that is no seed leaves the bootstrap to the seeds, in µs.
const SEEDS_FIRST_PERIOD: u64 = SEC;

/// Time after which a bootstrap that still waits says so in the log, in µs.
const WAIT_LOG_DELAY: u64 = SEC;

/// Bootstraps the tier. Returns once the first layout and the empty configuration are decided.
pub async fn bootstrap_automatically(control: Arc<Control>) {
    let is_layout_known = control.documents.layout.load().0 > 0;
    let seeds = if is_layout_known {
        None
    } else {
        seeds_of_first_start(&control).await
    };
    let mut bootstrap = Bootstrap::new(&control, seeds);
    loop {
        let documents_changed = control.documents.changed.listen();
        let members_changed = control.members.changed.listen();
        if is_bootstrapped(&control) {
            record_bootstrapped(&control);
            return;
        }
        bootstrap.advance().await;
        let any_change = futures_lite::future::or(documents_changed, members_changed);
        control
            .runtime
            .timeout(BOOTSTRAP_RETRY_INTERVAL, any_change)
            .await;
    }
}

fn record_bootstrapped(control: &Control) {
    control
        .singleton_tasks
        .bootstrapped_at
        .store(control.runtime.now(), SeqCst);
    control.is_bootstrapped.store(true, SeqCst);
    control.documents.changed.notify(usize::MAX);
}

/// The bootstrap as one core process sees it.
struct Bootstrap {
    control: Arc<Control>,
    /// The seeds that the process bootstraps from; `None` if it was not told of the first start.
    seeds: Option<Vec<SocketAddr>>,
    /// The seeds whose disks are not known, and since when exactly these, in µs.
    missing: Vec<SocketAddr>,
    missing_since: u64,
    has_logged_wait: bool,
    /// When this disk was first seen to have accepted a layout, in µs.
    accepted_at: Option<u64>,
}

impl Bootstrap {
    fn new(control: &Arc<Control>, seeds: Option<Vec<SocketAddr>>) -> Bootstrap {
        Bootstrap {
            control: control.clone(),
            missing: seeds.clone().unwrap_or_default(),
            seeds,
            missing_since: control.runtime.now(),
            has_logged_wait: false,
            accepted_at: None,
        }
    }

    /// Does what is due: proposes a layout, or the one that this disk has accepted.
    async fn advance(&mut self) {
        let (version, layout) = (*self.control.documents.layout.load_full()).clone();
        match version {
            0 => self.propose_if_possible().await,
            FIRST_VERSION => self.repeat_accepted(&layout).await,
            _ => {}
        }
    }

    async fn propose_if_possible(&mut self) {
        let Some(seeds) = self.seeds.clone() else {
            self.log_wait("this process was not told of the first start, and no other one has made a layout known");
            return;
        };
        let known = self.known_seeds(&seeds);
        self.record_missing(&seeds, &known);
        let waited = self.control.runtime.now() - self.missing_since;
        let is_due = waited >= self.control.settings.bounds.contact * MS
            && is_majority_safe(known.len(), seeds.len());
        let is_own_turn =
            seeds.contains(&self.control.settings.peer) || waited >= SEEDS_FIRST_PERIOD;
        if self.missing.is_empty() || is_due {
            if is_own_turn {
                propose(&self.control, &known).await;
            }
        } else {
            let addresses: Vec<String> = self.missing.iter().map(SocketAddr::to_string).collect();
            self.log_wait(&format!("seeds not known: {}", addresses.join(", ")));
        }
    }

    /// The core nodes at the addresses of the seeds, in the order of the seeds.
    fn known_seeds(&self, seeds: &[SocketAddr]) -> Vec<Node> {
        let view = self.control.members.view.load();
        let node_at = |seed: &SocketAddr| {
            view.values()
                .find(|node| node.peer == *seed && node.role == Role::Core && !node.disk.is_empty())
                .cloned()
        };
        seeds.iter().filter_map(node_at).collect()
    }

    fn record_missing(&mut self, seeds: &[SocketAddr], known: &[Node]) {
        let is_missing = |seed: &&SocketAddr| !known.iter().any(|node| node.peer == **seed);
        let missing: Vec<SocketAddr> = seeds.iter().filter(is_missing).copied().collect();
        if missing != self.missing {
            self.missing = missing;
            self.missing_since = self.control.runtime.now();
            self.has_logged_wait = false;
        }
    }

    fn log_wait(&mut self, reason: &str) {
        let waited = self.control.runtime.now() - self.missing_since;
        if !self.has_logged_wait && waited >= WAIT_LOG_DELAY {
            self.has_logged_wait = true;
            self.control
                .runtime
                .log(&format!("bootstrap of the tier is waiting: {reason}"));
        }
    }

    /// Proposes the layout that this disk has accepted to the other disks that it names.
    async fn repeat_accepted(&mut self, layout: &Layout) {
        let now = self.control.runtime.now();
        let accepted_at = *self.accepted_at.get_or_insert(now);
        if now < accepted_at + ACCEPTED_LAYOUT_REPEAT_DELAY {
            return;
        }
        let content = self
            .control
            .documents
            .document(super::LAYOUT)
            .content
            .clone();
        for node in self.nodes_named_in(layout) {
            let is_own = node.peer == self.control.settings.peer;
            send_first_layout(&self.control, node.peer, is_own, &content).await;
        }
    }

    /// The known nodes whose disks a layout names, in the order of the seeds.
    fn nodes_named_in(&self, layout: &Layout) -> Vec<Node> {
        let node_with = |disk: &String| self.control.members.node_with_disk(disk);
        let mut nodes: Vec<Node> = layout.core.current.iter().filter_map(node_with).collect();
        let seeds = self.seeds.as_deref().unwrap_or_default();
        nodes.sort_by_key(|node| seeds.iter().position(|seed| *seed == node.peer));
        nodes
    }
}

/// Whether each majority of `known` disks is a majority of the seeds.
fn is_majority_safe(known: usize, seeds: usize) -> bool {
    known / 2 >= seeds / 2 && known > 0
}

/// The first layout of these nodes. It is the same on every process that knows them.
fn first_layout_of(nodes: &[Node]) -> Layout {
    let mut voters: Vec<String> = nodes.iter().map(|node| node.disk.clone()).collect();
    voters.sort();
    voters.dedup();
    let names = nodes
        .iter()
        .map(|node| (node.disk.clone(), node.name.clone()));
    let sites = nodes
        .iter()
        .map(|node| (node.disk.clone(), node.site.clone()));
    Layout {
        core: ReplicaGroup {
            current: voters,
            ..Default::default()
        },
        names: names.collect(),
        sites: sites.collect(),
        change_started: FIRST_VERSION,
        ..Default::default()
    }
}

/// Sends the layout of the nodes to each of them in turn, until one does not accept it.
async fn propose(control: &Arc<Control>, nodes: &[Node]) {
    let content = serde_json::to_vec(&first_layout_of(nodes)).unwrap_or_default();
    for node in nodes {
        let is_own = node.peer == control.settings.peer;
        let answer = send_first_layout(control, node.peer, is_own, &content).await;
        if !matches!(answer, PeerResponse::Ok) {
            return;
        }
    }
}
