//! The document that assigns replicas to disks.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The disks that hold the replicas of one kind of data.
#[derive(Clone, Debug, Default, PartialEq, Hash, Serialize, Deserialize)]
pub struct ReplicaGroup {
    /// Identities of the disks.
    #[serde(rename = "now")]
    pub current: Vec<String>,
    /// The disks before a change that is under way; both majorities must then agree. Empty
    /// otherwise.
    #[serde(rename = "old")]
    pub previous: Vec<String>,
    /// Number of the layout that wrote these sets: progress of the group's change is counted by it,
    /// whatever the other group does meanwhile. 0 where an older process wrote the layout.
    #[serde(default)]
    pub since: u64,
}

impl ReplicaGroup {
    /// Whether a change of the group is under way.
    pub fn is_changing(&self) -> bool {
        !self.previous.is_empty()
    }
}

/// Which disks hold which replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// Replicas of the tier's documents.
    pub core: ReplicaGroup,
    /// Replicas of sessions and budgets.
    pub store: ReplicaGroup,
    /// Name of the node behind each disk.
    pub names: BTreeMap<String, String>,
    /// Site of each disk, written once and never changed: the placement of replicas follows from
    /// it.
    #[serde(default)]
    pub sites: BTreeMap<String, String>,
    /// Number of the layout from which the running change counts its anti-entropy passes.
    #[serde(rename = "turn")]
    pub change_started: u64,
    /// Names of the nodes that were retired; they get no replica again by themselves.
    #[serde(default)]
    pub retired: BTreeSet<String>,
    /// Term of the singleton task's lease under which replicas were last reassigned.
    #[serde(default)]
    pub term: u64,
}

impl Layout {
    /// Number of the layout that wrote the group's sets; `number` is that of this layout.
    pub fn since(&self, group: &ReplicaGroup, number: u64) -> u64 {
        if group.since == 0 {
            number
        } else {
            group.since
        }
    }
}
