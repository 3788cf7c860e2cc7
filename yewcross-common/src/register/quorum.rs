//! The replicas of a key, and the rule for which of them form a quorum.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Where a replica is: its disk, and the last known address of the node that has the disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaLocation {
    /// Identity of the disk; votes are counted per disk.
    pub disk: String,
    /// `None` while no member of the tier is known to have the disk.
    pub addr: Option<SocketAddr>,
}

/// The replicas of a key under one layout. During a change of the replica set, the previous set and
/// the current one are both in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaSet {
    /// Version of the layout.
    pub layout_version: u64,
    /// The set that stays in force once a change is complete.
    pub current: Vec<ReplicaLocation>,
    /// The set before the change; empty unless a change is in progress.
    pub previous: Vec<ReplicaLocation>,
}

/// The smallest number out of `count` members such that any two sets of that size share a member.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

impl ReplicaSet {
    /// Each replica of either set once, the current set first.
    pub fn all(&self) -> Vec<ReplicaLocation> {
        let previous_only = self
            .previous
            .iter()
            .filter(|replica| !self.current.contains(replica));
        self.current.iter().chain(previous_only).cloned().collect()
    }

    /// Whether both replica sets consist of the same disks. If so, a ballot prepared at one set is
    /// prepared at the other, even if the layout versions differ.
    pub fn has_same_disks(&self, other: &ReplicaSet) -> bool {
        disks(&self.current) == disks(&other.current)
            && disks(&self.previous) == disks(&other.previous)
    }

    /// Whether the disks for which `is_granted` is true are a majority of each set in force.
    pub fn is_quorum(&self, is_granted: impl Fn(&str) -> bool) -> bool {
        let has_majority = |set: &[ReplicaLocation]| {
            set.iter()
                .filter(|replica| is_granted(&replica.disk))
                .count()
                >= majority(set.len())
        };
        !self.current.is_empty()
            && has_majority(&self.current)
            && (self.previous.is_empty() || has_majority(&self.previous))
    }
}

fn disks(replicas: &[ReplicaLocation]) -> BTreeSet<&str> {
    replicas
        .iter()
        .map(|replica| replica.disk.as_str())
        .collect()
}
