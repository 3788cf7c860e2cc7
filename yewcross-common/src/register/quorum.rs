//! The replicas of a key, and which of them make a quorum.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A replica: its disk, and the address where the disk's machine was last seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Seat {
    pub disk: String,
    pub addr: Option<SocketAddr>,
}

/// The replicas of a key under one layout. While they change, the old set stands beside the new
/// one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaSet {
    /// Number of the layout.
    pub layout_version: u64,
    pub current: Vec<Seat>,
    /// Empty unless a change is under way.
    pub previous: Vec<Seat>,
}

/// The fewest of `n` that any other majority of them shares a member with.
pub fn majority(n: usize) -> usize {
    n / 2 + 1
}

impl ReplicaSet {
    /// Every replica once, the new set first.
    pub fn all(&self) -> Vec<Seat> {
        let leaving = self
            .previous
            .iter()
            .filter(|seat| !self.current.contains(seat));
        self.current.iter().chain(leaving).cloned().collect()
    }

    /// Whether both sets have the same disks: a ballot prepared at the one is prepared at the
    /// other, whatever the number of the layout.
    pub fn same_disks(&self, other: &ReplicaSet) -> bool {
        disks(&self.current) == disks(&other.current)
            && disks(&self.previous) == disks(&other.previous)
    }

    /// Whether the disks that `granted` accepts are a majority of each set in force.
    pub fn quorum(&self, granted: impl Fn(&str) -> bool) -> bool {
        let most = |set: &[Seat]| {
            set.iter().filter(|seat| granted(&seat.disk)).count() >= majority(set.len())
        };
        !self.current.is_empty()
            && most(&self.current)
            && (self.previous.is_empty() || most(&self.previous))
    }
}

fn disks(seats: &[Seat]) -> BTreeSet<&str> {
    seats.iter().map(|seat| seat.disk.as_str()).collect()
}
