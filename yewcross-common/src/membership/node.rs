//! A member of the tier as the others know it.

use crate::constants::WIRE_VERSION_MIN;
use crate::process_settings::Role;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What is believed of a node. The order is that of precedence: at equal incarnation and
/// refutation count the later state overrides the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It answered neither a direct nor an indirect probe; it still counts as a member.
    Suspect,
    /// It stopped, or stayed suspect for `SUSPICION_TIMEOUT`; it is no member any more.
    #[serde(rename = "Gone")]
    Removed,
}

impl MemberState {
    /// The state's name in the table digest, which nodes of all versions must compute alike.
    fn digest_name(self) -> &'static str {
        match self {
            MemberState::Alive => "Alive",
            MemberState::Suspect => "Suspect",
            MemberState::Removed => "Gone",
        }
    }
}

/// A node's entry in the membership table, as nodes exchange it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Name from the settings, unique in the tier.
    pub name: String,
    /// Drawn when the process starts: wall clock in ms, shifted left by eight bits, and eight
    /// random bits. A later process of the same name has a higher one.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// How often the node itself has refuted a suspicion. Only the node raises it.
    #[serde(rename = "inc")]
    pub refutations: u32,
    /// What is believed of it.
    pub state: MemberState,
    /// What kind of process it is.
    pub role: Role,
    /// Site (failure domain) that it runs in.
    pub site: String,
    /// Address for requests of other nodes.
    pub peer: SocketAddr,
    /// Address of its HTTP interface.
    pub http: SocketAddr,
    /// Identity of its disk; empty where it has none.
    pub disk: String,
    /// Newest frame version that it speaks.
    #[serde(default = "oldest_wire_version")]
    #[serde(rename = "wire")]
    pub wire_version: u16,
}

fn oldest_wire_version() -> u16 {
    WIRE_VERSION_MIN
}

/// Precedence of a statement about a node. Compared field by field, in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    incarnation: u64,
    refutations: u32,
    state: MemberState,
}

impl Node {
    /// Of two statements about a node, the one of higher precedence is believed.
    pub(super) fn precedence(&self) -> Precedence {
        Precedence {
            incarnation: self.incarnation,
            refutations: self.refutations,
            state: self.state,
        }
    }

    /// Whether the node runs on a disk that the tier's state lives on.
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

/// Digest by which two nodes tell whether their tables are alike. `nodes` come in order of their
/// names.
pub(super) fn table_digest<'a>(nodes: impl Iterator<Item = &'a Node>) -> u64 {
    let entries: String = nodes.map(Node::digest_entry).collect();
    crate::hash::rendezvous_weight(&entries, "")
}
