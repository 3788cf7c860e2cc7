//! The membership table and the rules by which statements about nodes are merged into it.
//!
//! Nothing here does I/O or reads a clock: a merge takes nodes and the time, changes the table, and
//! returns what the caller has to announce.
//!
//! Invariants:
//! - A node's entry only ever gains precedence (incarnation, then refutations, then state), so that
//!   merging is commutative and idempotent and the tables of all nodes converge.
//! - Only the node itself raises its incarnation and its refutation count.

use super::node::{MemberState, Node, table_digest};
use crate::constants::{
    GOSSIP_MAX_AGE, GOSSIP_MAX_NODES, MEMBER_LOG_DELAY, NEW_INCARNATION_PERIOD,
    REMOVED_NODE_RETENTION, SUSPICION_TIMEOUT,
};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node and when its entry last changed.
struct TableEntry {
    node: Node,
    /// µs on this process's monotonic clock.
    changed_at: u64,
}

/// All nodes known, this one and the removed ones among them, by name.
pub(super) struct MembershipTable {
    entries: BTreeMap<String, TableEntry>,
}

/// What the rules of a merge depend on besides the table.
pub(super) struct MergeContext {
    /// µs on this process's monotonic clock.
    pub(super) now: u64,
    /// µs: when this process started.
    pub(super) started: u64,
    /// Outbid a younger process of this node's name instead of giving way to it.
    pub(super) supersedes_newer_process: bool,
}

/// A statement about another node that a merge took into the table.
#[derive(Debug)]
pub(super) struct AcceptedNode {
    pub(super) name: String,
    pub(super) state: MemberState,
    pub(super) peer: SocketAddr,
    pub(super) site: String,
    pub(super) wire_version: u16,
    /// Whether the change of state is worth a log line of its own.
    pub(super) is_announced: bool,
}

/// What a merge did.
#[derive(Debug, Default)]
pub(super) struct MergeOutcome {
    /// Whether the table changed.
    pub(super) is_changed: bool,
    /// Whether a younger process carries this node's name and this one has to give way.
    pub(super) is_replaced: bool,
    /// The other nodes whose entries changed, in the order of the statements.
    pub(super) accepted: Vec<AcceptedNode>,
}

/// A process of a node, told apart from later ones of the same name.
pub(super) struct ProcessId {
    pub(super) name: String,
    pub(super) incarnation: u64,
}

/// Entries whose time has run out.
pub(super) struct ExpiredEntries {
    /// Suspects that have not refuted the suspicion in time.
    pub(super) suspects: Vec<ProcessId>,
    /// Names of removed nodes that need not be remembered any longer.
    pub(super) forgotten: Vec<String>,
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

    /// The nodes that count as members: all but the removed ones.
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

    /// Merges statements about nodes, one after the other.
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

    /// A statement about this node itself, or about another process of its name.
    fn merge_own(
        &mut self,
        own_node: &mut Node,
        statement: &Node,
        context: &MergeContext,
        outcome: &mut MergeOutcome,
    ) {
        if statement.incarnation > own_node.incarnation {
            // Under a clock that was ahead, an earlier process of this very node drew a higher
            // incarnation: at the same address, or just after the start, it is outbid.
            let is_earlier_process = statement.peer == own_node.peer
                || context.now < context.started + NEW_INCARNATION_PERIOD
                || context.supersedes_newer_process;
            if !is_earlier_process || own_node.state != MemberState::Alive {
                outcome.is_replaced = true;
                return;
            }
            own_node.incarnation = statement.incarnation + 1;
        } else if is_refutable(own_node, statement) {
            own_node.refutations = statement.refutations + 1;
        } else {
            return;
        }
        self.insert(own_node.clone(), context.now);
        outcome.is_changed = true;
    }

    /// A statement about another node: taken where it has precedence over what is known.
    fn merge_other(
        &mut self,
        mut statement: Node,
        context: &MergeContext,
        outcome: &mut MergeOutcome,
    ) {
        self.weaken_foreign_removal(&mut statement);
        let known = self.get(&statement.name);
        if known.is_some_and(|known| statement.precedence() <= known.precedence()) {
            return;
        }
        let known_state = known.map(|known| known.state);
        // The nodes met while this process starts are logged in one line.
        let is_met_at_start = known_state.is_none()
            && statement.state == MemberState::Alive
            && context.now < context.started + MEMBER_LOG_DELAY;
        outcome.accepted.push(AcceptedNode {
            name: statement.name.clone(),
            state: statement.state,
            peer: statement.peer,
            site: statement.site.clone(),
            wire_version: statement.wire_version,
            is_announced: known_state != Some(statement.state) && !is_met_at_start,
        });
        outcome.is_changed = true;
        if statement.state == MemberState::Alive {
            self.remove_predecessors(&statement, context.now);
        }
        self.insert(statement, context.now);
    }

    /// Another's removal of a node that is alive here is suspicion at most: after a partition each
    /// side has removed the other. A node's own announcement that it leaves carries a higher
    /// refutation count, which only the node itself raises, and is left as it is.
    fn weaken_foreign_removal(&self, statement: &mut Node) {
        let is_alive_here = self.get(&statement.name).is_some_and(|known| {
            known.state == MemberState::Alive
                && known.incarnation == statement.incarnation
                && known.refutations == statement.refutations
        });
        if is_alive_here && statement.state == MemberState::Removed {
            statement.state = MemberState::Suspect;
        }
    }

    /// An address has one process: where a younger one listens at it, the older ones have ended.
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

    /// The entries whose suspicion or remembrance ends at `now`.
    pub(super) fn expired(&self, now: u64) -> ExpiredEntries {
        let older_than = |state: MemberState, age: u64| {
            self.entries
                .values()
                .filter(move |entry| entry.node.state == state && now > entry.changed_at + age)
                .map(|entry| &entry.node)
        };
        ExpiredEntries {
            suspects: older_than(MemberState::Suspect, SUSPICION_TIMEOUT)
                .map(|node| ProcessId {
                    name: node.name.clone(),
                    incarnation: node.incarnation,
                })
                .collect(),
            forgotten: older_than(MemberState::Removed, REMOVED_NODE_RETENTION)
                .map(|node| node.name.clone())
                .collect(),
        }
    }

    pub(super) fn forget(&mut self, name: &str) {
        self.entries.remove(name);
    }
}

/// Whether `statement` says of this process that it is not alive, and is not yet refuted. A node
/// that leaves does not contradict.
fn is_refutable(own_node: &Node, statement: &Node) -> bool {
    statement.incarnation == own_node.incarnation
        && statement.state != MemberState::Alive
        && statement.refutations >= own_node.refutations
        && own_node.state == MemberState::Alive
}
