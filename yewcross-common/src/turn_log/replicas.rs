//! The disks that store the turn log, and the sizes of their quorums.
//!
//! With n disks of which t may be lost, t + 1 disks are a write quorum and n - t a read quorum, so that
//! any write quorum and any read quorum share a disk. During a change of the set, a quorum of both the
//! old and the new set is required.

use crate::protocol::Layout;

/// The disks of the store group under one layout.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreReplicas {
    /// Version of the layout.
    pub layout_version: u64,
    /// The layout version in which these sets were last changed. `layout_version` may be newer because
    /// of changes to other groups.
    pub group_version: u64,
    /// The set in force, or the new set during a change.
    pub current: Vec<String>,
    /// The old set during a change; otherwise empty.
    pub previous: Vec<String>,
    /// The configured number of disks that may be lost at the same time.
    tolerated_losses: usize,
}

impl StoreReplicas {
    /// The replica sets of a layout.
    pub fn of(layout_version: u64, layout: &Layout, tolerated_losses: usize) -> StoreReplicas {
        StoreReplicas {
            layout_version,
            group_version: layout.layout_number_of(&layout.store, layout_version),
            current: layout.store.current.clone(),
            previous: layout.store.previous.clone(),
            tolerated_losses,
        }
    }

    /// The losses that a set tolerates: fewer than configured if the set is too small for a read and
    /// a write quorum to share a disk otherwise.
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
    pub fn contains(&self, disk: &str) -> bool {
        let mut disks = self.current.iter().chain(&self.previous);
        disks.any(|member| member == disk)
    }

    /// Whether each set has the required number of disks for which `is_selected` is true.
    fn is_quorum(
        &self,
        required_count: impl Fn(&[String]) -> usize,
        is_selected: impl Fn(&str) -> bool,
    ) -> bool {
        let has_required_count = |set: &[String]| {
            set.iter().filter(|disk| is_selected(disk)).count() >= required_count(set)
        };
        !self.current.is_empty()
            && has_required_count(&self.current)
            && (self.previous.is_empty() || has_required_count(&self.previous))
    }

    /// Whether the selected disks are a write quorum, of which one disk survives the tolerated losses.
    pub fn is_write_quorum(&self, is_selected: impl Fn(&str) -> bool) -> bool {
        self.is_quorum(|set| self.tolerated_losses_of(set) + 1, is_selected)
    }

    /// Whether the selected disks are a read quorum, which shares a disk with every write quorum.
    pub fn is_read_quorum(&self, is_selected: impl Fn(&str) -> bool) -> bool {
        self.is_quorum(|set| set.len() - self.tolerated_losses_of(set), is_selected)
    }

    /// The number of disks of the current set that may lack a record that is to be on all of them.
    pub fn max_missing_disks(&self) -> usize {
        self.tolerated_losses_of(&self.current)
    }

    /// The number of disks of the current set that store a turn, so that it survives the tolerated
    /// losses.
    pub fn replica_count(&self) -> usize {
        self.tolerated_losses_of(&self.current) + 1
    }
}
