//! The disks that hold the turn log, and how many of them are a quorum.
//!
//! Of n disks t losses are tolerated: t + 1 are a write quorum, n - t a read quorum, so any two of
//! them meet. While the set changes, a quorum of the old and of the new set is needed.

use crate::protocol::Layout;

/// The disks of the store group under one layout.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreReplicas {
    /// The layout.
    pub layout_version: u64,
    /// The layout that wrote these sets; `layout_version` may be newer by a change of other
    /// groups.
    pub since: u64,
    /// The present set.
    pub current: Vec<String>,
    /// The set before, while a change is in progress; else empty.
    pub previous: Vec<String>,
    /// Disks that may be lost at the same time.
    tolerated_losses: usize,
}

impl StoreReplicas {
    /// The sets of a layout.
    pub fn of(layout_version: u64, layout: &Layout, tolerated_losses: usize) -> StoreReplicas {
        StoreReplicas {
            layout_version,
            since: layout.layout_number_of(&layout.store, layout_version),
            current: layout.store.current.clone(),
            previous: layout.store.previous.clone(),
            tolerated_losses,
        }
    }

    /// Fewer losses are tolerated where there are too few disks for two quorums to meet.
    fn tolerated_losses_of(&self, set: &[String]) -> usize {
        self.tolerated_losses.min(set.len().saturating_sub(1) / 2)
    }

    /// The disks of both sets, each once.
    pub fn all(&self) -> Vec<String> {
        let previous = self.previous.iter();
        self.current
            .iter()
            .chain(previous.filter(|disk| !self.current.contains(disk)))
            .cloned()
            .collect()
    }

    /// Whether a disk is in either set.
    pub fn has(&self, disk: &str) -> bool {
        let mut disks = self.current.iter().chain(&self.previous);
        disks.any(|known| known == disk)
    }

    /// Whether each set has as many chosen disks as it needs.
    fn is_quorum(
        &self,
        needed: impl Fn(&[String]) -> usize,
        is_chosen: impl Fn(&str) -> bool,
    ) -> bool {
        let is_enough =
            |set: &[String]| set.iter().filter(|disk| is_chosen(disk)).count() >= needed(set);
        !self.current.is_empty()
            && is_enough(&self.current)
            && (self.previous.is_empty() || is_enough(&self.previous))
    }

    /// Whether the chosen disks are enough to outlast the tolerated losses.
    pub fn is_write_quorum(&self, is_chosen: impl Fn(&str) -> bool) -> bool {
        self.is_quorum(|set| self.tolerated_losses_of(set) + 1, is_chosen)
    }

    /// Whether the chosen disks are enough to meet every write quorum.
    pub fn is_read_quorum(&self, is_chosen: impl Fn(&str) -> bool) -> bool {
        self.is_quorum(|set| set.len() - self.tolerated_losses_of(set), is_chosen)
    }

    /// How many disks of the present set may be missed by what all of them were to hold.
    pub fn may_miss(&self) -> usize {
        self.tolerated_losses_of(&self.current)
    }

    /// How many disks of the present set hold a turn, to outlast the tolerated losses.
    pub fn replica_count(&self) -> usize {
        self.tolerated_losses_of(&self.current) + 1
    }
}
