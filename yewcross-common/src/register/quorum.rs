//! The replicas of a key, and which of them make a quorum.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A replica: its disk, and the address where the disk's machine was last seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaLocation {
    /// Identity of the disk; votes are counted by it.
    pub disk: String,
    /// `None` while no machine is known to have the disk.
    pub addr: Option<SocketAddr>,
}

/// The replicas of a key under one layout. While they change, the previous set is in force beside
/// the current one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaSet {
    /// Version of the layout.
    pub layout_version: u64,
    /// The set that remains after a change.
    pub current: Vec<ReplicaLocation>,
    /// Empty unless a change is under way.
    pub previous: Vec<ReplicaLocation>,
}

/// The fewest of `count` members such that any two sets of as many share one.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

impl ReplicaSet {
    /// Every replica once, the current set first.
    pub fn all(&self) -> Vec<ReplicaLocation> {
        let previous_only = self
            .previous
            .iter()
            .filter(|seat| !self.current.contains(seat));
        self.current.iter().chain(previous_only).cloned().collect()
    }

    /// Whether both sets have the same disks: a ballot prepared at the one is prepared at the
    /// other, whatever the version of the layout.
    pub fn has_same_disks(&self, other: &ReplicaSet) -> bool {
        disks(&self.current) == disks(&other.current)
            && disks(&self.previous) == disks(&other.previous)
    }

    /// Whether the disks that `granted` accepts are a majority of each set in force.
    pub fn is_quorum(&self, granted: impl Fn(&str) -> bool) -> bool {
        let has_majority = |set: &[ReplicaLocation]| {
            set.iter().filter(|seat| granted(&seat.disk)).count() >= majority(set.len())
        };
        !self.current.is_empty()
            && has_majority(&self.current)
            && (self.previous.is_empty() || has_majority(&self.previous))
    }
}

fn disks(seats: &[ReplicaLocation]) -> BTreeSet<&str> {
    seats.iter().map(|seat| seat.disk.as_str()).collect()
}
