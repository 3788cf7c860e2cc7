//! A node's entry in the membership table and the precedence between two versions of it.

use crate::constants::WIRE_VERSION_MIN;
use crate::process_settings::Role;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of a node. The order of the variants is the precedence: at equal incarnation and
/// refutation count, a later state overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The node responds to probes.
    Alive,
    /// The node responded neither to a direct nor to an indirect probe; it still counts as a member.
    Suspect,
    /// The node stopped, or was suspect for `SUSPICION_TIMEOUT`; it is no longer a member.
    #[serde(rename = "Gone")]
    Removed,
}

impl MemberState {
    /// The state's name in the table digest, which must be the same in all program versions.
    fn digest_name(self) -> &'static str {
        match self {
            MemberState::Alive => "Alive",
            MemberState::Suspect => "Suspect",
            MemberState::Removed => "Gone",
        }
    }
}

/// A node's entry in the membership table, in the form that nodes exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Name from the settings, unique in the tier.
    pub name: String,
    /// Chosen when the process starts: the wall clock in ms, shifted left by eight bits, plus eight
    /// random bits. A later process of the same name has a higher incarnation.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Number of times that the node has refuted a suspicion. Only the node itself increases it.
    #[serde(rename = "inc")]
    pub refutations: u32,
    /// State of the node.
    pub state: MemberState,
    /// Role of the process.
    pub role: Role,
    /// Site (failure domain) of the node.
    pub site: String,
    /// Address for requests from other nodes.
    pub peer: SocketAddr,
    /// Address of the HTTP interface.
    pub http: SocketAddr,
    /// Identity of the node's disk; empty if it has none.
    pub disk: String,
    /// Newest frame version that the node supports.
    #[serde(default = "oldest_wire_version")]
    #[serde(rename = "wire")]
    pub wire_version: u16,
}

fn oldest_wire_version() -> u16 {
    WIRE_VERSION_MIN
}

/// Precedence of an update about a node. Compared field by field, in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    incarnation: u64,
    refutations: u32,
    state: MemberState,
}

impl Node {
    /// The precedence of this entry: of two updates about a node, the higher one is applied.
    pub(super) fn precedence(&self) -> Precedence {
        Precedence {
            incarnation: self.incarnation,
            refutations: self.refutations,
            state: self.state,
        }
    }

    /// Whether the node has a disk that stores replicated state of the tier.
    pub(super) fn has_disk(&self) -> bool {
        !self.disk.is_empty()
    }

    fn digest_entry(&self) -> String {
        format!(
            "{}({}, {}, {})",
            self.name,
            self.incarnation,
            self.refutations,
            self.state.digest_name()
        )
    }
}

/// Digest of a membership table, by which two nodes detect that their tables differ. `nodes` must be in
/// the order of their names.
pub(super) fn table_digest<'a>(nodes: impl Iterator<Item = &'a Node>) -> u64 {
    let entries: String = nodes.map(Node::digest_entry).collect();
    crate::hash::rendezvous_weight(&entries, "")
}
