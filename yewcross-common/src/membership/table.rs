//! The membership table and the rules by which updates about nodes are merged into it.
//!
//! This module does no I/O and reads no clock: a merge receives updates and the current time, changes
//! the table, and returns the changes that the caller has to publish.
//!
//! Invariants:
//! - The precedence of a node's entry (incarnation, then refutations, then state) never decreases, so
//!   that merging is commutative and idempotent and the tables of all nodes converge.
//! - Only the node itself increases its incarnation and its refutation count.

use super::node::{MemberState, Node, table_digest};
use crate::constants::{
    GOSSIP_MAX_AGE, GOSSIP_MAX_NODES, MEMBER_LOG_DELAY, NEW_INCARNATION_PERIOD,
    REMOVED_NODE_RETENTION, SUSPICION_TIMEOUT,
};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node and the time of the last change of its entry.
struct TableEntry {
    node: Node,
    /// Time of the last change in µs of this process's monotonic clock.
    changed_at: u64,
}

/// The entries of all known nodes by name, including this node and removed ones.
pub(super) struct MembershipTable {
    entries: BTreeMap<String, TableEntry>,
}

/// Inputs of a merge besides the table and the updates.
pub(super) struct MergeContext {
    /// Current time in µs of this process's monotonic clock.
    pub(super) now: u64,
    /// Start of this process in µs of the same clock.
    pub(super) started: u64,
    /// Whether this process raises its incarnation above that of a newer process with the same name,
    /// instead of being replaced by it.
    pub(super) supersedes_newer_process: bool,
}

/// An update about another node that a merge applied to the table.
#[derive(Debug)]
pub(super) struct AcceptedNode {
    pub(super) name: String,
    pub(super) state: MemberState,
    pub(super) peer: SocketAddr,
    pub(super) site: String,
    pub(super) wire_version: u16,
    /// Whether to log the change of state in a separate line.
    pub(super) is_logged: bool,
}

/// The result of a merge.
#[derive(Debug, Default)]
pub(super) struct MergeOutcome {
    /// Whether the table changed.
    pub(super) is_changed: bool,
    /// Whether a newer process has this node's name, so that this process is replaced.
    pub(super) is_replaced: bool,
    /// The updates applied to other nodes, in the order in which they were given.
    pub(super) accepted: Vec<AcceptedNode>,
}

/// A process of a node, identified by its incarnation among the processes of the same name.
pub(super) struct ProcessId {
    pub(super) name: String,
    pub(super) incarnation: u64,
}

/// Entries whose suspicion or retention period has ended.
pub(super) struct ExpiredEntries {
    /// Suspect nodes that have not refuted the suspicion in time.
    pub(super) suspects: Vec<ProcessId>,
    /// Names of removed nodes whose entries need not be retained any longer.
    pub(super) removed: Vec<String>,
}

impl MembershipTable {
    pub(super) fn new(own_node: &Node, now: u64) -> MembershipTable {
        let mut table = MembershipTable {
            entries: BTreeMap::new(),
        };
        table.insert(own_node.clone(), now);
        table
    }

    pub(super) fn get(&self, name: &str) -> Option<&Node> {
        self.entries.get(name).map(|entry| &entry.node)
    }

    pub(super) fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.entries.values().map(|entry| &entry.node)
    }

    /// The nodes that count as members: all except the removed ones.
    pub(super) fn members(&self) -> BTreeMap<String, Node> {
        self.nodes()
            .filter(|node| node.state != MemberState::Removed)
            .map(|node| (node.name.clone(), node.clone()))
            .collect()
    }

    pub(super) fn digest(&self) -> u64 {
        table_digest(self.nodes())
    }

    /// The latest changes, newest first, to be piggybacked on probes.
    pub(super) fn recent_changes(&self, now: u64) -> Vec<Node> {
        let mut recent: Vec<&TableEntry> = self
            .entries
            .values()
            .filter(|entry| now < entry.changed_at + GOSSIP_MAX_AGE)
            .collect();
        recent.sort_by_key(|entry| Reverse(entry.changed_at));
        recent
            .into_iter()
            .take(GOSSIP_MAX_NODES)
            .map(|entry| entry.node.clone())
            .collect()
    }

    /// Merges updates about nodes in the given order.
    pub(super) fn merge(
        &mut self,
        own_node: &mut Node,
        nodes: Vec<Node>,
        context: &MergeContext,
    ) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        for node in nodes {
            if node.name == own_node.name {
                self.merge_own(own_node, &node, context, &mut outcome);
            } else {
                self.merge_other(node, context, &mut outcome);
            }
        }
        outcome
    }

    /// Merges an update about this node itself or about another process with the same name.
    fn merge_own(
        &mut self,
        own_node: &mut Node,
        update: &Node,
        context: &MergeContext,
        outcome: &mut MergeOutcome,
    ) {
        if update.incarnation > own_node.incarnation {
            // An earlier process of this node may have a higher incarnation if the wall clock was
            // ahead at its start. An update that has the same address, or that arrives shortly after
            // the start, is taken to be about such a process, and this process raises its
            // incarnation above it.
            let is_earlier_process = update.peer == own_node.peer
                || context.now < context.started + NEW_INCARNATION_PERIOD
                || context.supersedes_newer_process;
            if !is_earlier_process || own_node.state != MemberState::Alive {
                outcome.is_replaced = true;
                return;
            }
            own_node.incarnation = update.incarnation + 1;
        } else if is_refutable(own_node, update) {
            own_node.refutations = update.refutations + 1;
        } else {
            return;
        }
        self.insert(own_node.clone(), context.now);
        outcome.is_changed = true;
    }

    /// Merges an update about another node: applied if it has precedence over the current entry.
    fn merge_other(
        &mut self,
        mut update: Node,
        context: &MergeContext,
        outcome: &mut MergeOutcome,
    ) {
        self.downgrade_unconfirmed_removal(&mut update);
        let current = self.get(&update.name);
        if current.is_some_and(|current| update.precedence() <= current.precedence()) {
            return;
        }
        let previous_state = current.map(|current| current.state);
        // The nodes discovered while this process starts are logged together in one line.
        let is_discovered_at_start = previous_state.is_none()
            && update.state == MemberState::Alive
            && context.now < context.started + MEMBER_LOG_DELAY;
        outcome.accepted.push(AcceptedNode {
            name: update.name.clone(),
            state: update.state,
            peer: update.peer,
            site: update.site.clone(),
            wire_version: update.wire_version,
            is_logged: previous_state != Some(update.state) && !is_discovered_at_start,
        });
        outcome.is_changed = true;
        if update.state == MemberState::Alive {
            self.remove_predecessors(&update, context.now);
        }
        self.insert(update, context.now);
    }

    /// Downgrades the removal of a node that is alive in this table to a suspicion, unless the node
    /// announced it itself: after a partition each side has removed the nodes of the other. A node's own
    /// announcement that it leaves has a higher refutation count, which only the node itself increases,
    /// and is not changed.
    fn downgrade_unconfirmed_removal(&self, update: &mut Node) {
        let is_alive_in_table = self.get(&update.name).is_some_and(|current| {
            current.state == MemberState::Alive
                && current.incarnation == update.incarnation
                && current.refutations == update.refutations
        });
        if is_alive_in_table && update.state == MemberState::Removed {
            update.state = MemberState::Suspect;
        }
    }

    /// Removes the entries of older processes at the successor's address: only one process can listen
    /// at an address, so the older ones have ended.
    fn remove_predecessors(&mut self, successor: &Node, now: u64) {
        for entry in self.entries.values_mut() {
            let is_predecessor = entry.node.peer == successor.peer
                && entry.node.name != successor.name
                && entry.node.incarnation < successor.incarnation;
            if is_predecessor && entry.node.state != MemberState::Removed {
                entry.node.state = MemberState::Removed;
                entry.changed_at = now;
            }
        }
    }

    fn insert(&mut self, node: Node, now: u64) {
        let entry = TableEntry {
            node,
            changed_at: now,
        };
        self.entries.insert(entry.node.name.clone(), entry);
    }

    /// The entries whose suspicion or retention period has ended at `now`.
    pub(super) fn expired(&self, now: u64) -> ExpiredEntries {
        let in_state_longer_than = |state: MemberState, age: u64| {
            self.entries
                .values()
                .filter(move |entry| entry.node.state == state && now > entry.changed_at + age)
                .map(|entry| &entry.node)
        };
        ExpiredEntries {
            suspects: in_state_longer_than(MemberState::Suspect, SUSPICION_TIMEOUT)
                .map(|node| ProcessId {
                    name: node.name.clone(),
                    incarnation: node.incarnation,
                })
                .collect(),
            removed: in_state_longer_than(MemberState::Removed, REMOVED_NODE_RETENTION)
                .map(|node| node.name.clone())
                .collect(),
        }
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.entries.remove(name);
    }
}

/// Whether `update` claims that this process is not alive and is not refuted yet. A node that is leaving
/// does not refute it.
fn is_refutable(own_node: &Node, update: &Node) -> bool {
    update.incarnation == own_node.incarnation
        && update.state != MemberState::Alive
        && update.refutations >= own_node.refutations
        && own_node.state == MemberState::Alive
}
