//! The document that assigns replicas to disks.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The disks that hold the replicas of one kind of data.
#[derive(Clone, Debug, Default, PartialEq, Hash, Serialize, Deserialize)]
pub struct ReplicaGroup {
    /// Identities of the disks.
    #[serde(rename = "now")]
    pub current: Vec<String>,
    /// The disks before a change that is in progress, during which the majorities of both sets must
    /// agree. Empty otherwise.
    #[serde(rename = "old")]
    pub previous: Vec<String>,
    /// Number of the layout that wrote these sets. Progress of the group's change is measured from
    /// it, independently of changes of the other group. 0 if an older process wrote the layout.
    #[serde(default)]
    #[serde(rename = "since")]
    pub layout_number: u64,
}

impl ReplicaGroup {
    /// Whether a change of the group is in progress.
    pub fn is_changing(&self) -> bool {
        !self.previous.is_empty()
    }
}

/// The assignment of replicas to disks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// Replicas of the tier's documents.
    pub core: ReplicaGroup,
    /// Replicas of sessions and budgets.
    pub store: ReplicaGroup,
    /// Name of the node that each disk belongs to.
    pub names: BTreeMap<String, String>,
    /// Site of each disk, written once and never changed, because the placement of replicas depends
    /// on it.
    #[serde(default)]
    pub sites: BTreeMap<String, String>,
    /// Number of the layout from which the anti-entropy passes of the current change are counted.
    #[serde(rename = "turn")]
    pub change_started: u64,
    /// Names of the retired nodes; they are not assigned replicas automatically.
    #[serde(default)]
    pub retired: BTreeSet<String>,
    /// Term of the singleton tasks' lease under which replicas were last reassigned.
    #[serde(default)]
    pub term: u64,
}

impl Layout {
    /// Number of the layout that wrote the group's sets; `number` is the number of this layout,
    /// which is returned if an older process wrote it.
    pub fn layout_number_of(&self, group: &ReplicaGroup, number: u64) -> u64 {
        if group.layout_number == 0 {
            number
        } else {
            group.layout_number
        }
    }
}
