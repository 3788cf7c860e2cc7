//! Which disks hold a key.

use super::quorum::{ReplicaSet, Seat};
use crate::constants::STORE_COPIES;
use crate::documents::cache::DOCS;
use crate::protocol::{Layout, ReplicaGroup};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Layout {
    /// Whether the disk is in a set that is in force, the old ones of a change under way among
    /// them.
    pub fn has_seat(&self, disk: &str) -> bool {
        let sets = [
            &self.core.current,
            &self.core.previous,
            &self.store.current,
            &self.store.previous,
        ];
        sets.iter().any(|set| set.iter().any(|seat| seat == disk))
    }

    /// The disks that a key lives on: all core disks for the documents, three store disks for the
    /// rest.
    pub fn group(&self, key: &str) -> &ReplicaGroup {
        if DOCS.contains(&key) {
            &self.core
        } else {
            &self.store
        }
    }

    /// First choice first; no site holds two copies while another holds none. A disk of no known
    /// site counts as one of its own.
    pub fn replicas_for<'a>(&self, key: &str, disks: &'a [String]) -> Vec<&'a str> {
        let ranked = crate::hash::ranked(key, disks.iter().map(|disk| disk.as_str()));
        if DOCS.contains(&key) {
            return ranked;
        }
        let site = |disk: &str| self.sites.get(disk).cloned().unwrap_or(disk.into());
        let mut seen = BTreeSet::new();
        let (first, rest): (Vec<&str>, Vec<&str>) =
            ranked.into_iter().partition(|disk| seen.insert(site(disk)));
        first.into_iter().chain(rest).take(STORE_COPIES).collect()
    }
}

impl ReplicaSet {
    /// The replicas of a key among the group's disks.
    pub fn of(
        key: &str,
        layout: &Layout,
        number: u64,
        address: impl Fn(&str) -> Option<SocketAddr>,
    ) -> ReplicaSet {
        let group = layout.group(key);
        let seats = |disks: &[String]| -> Vec<Seat> {
            let chosen = layout.replicas_for(key, disks);
            chosen
                .into_iter()
                .map(|disk| Seat {
                    disk: disk.into(),
                    addr: address(disk),
                })
                .collect()
        };
        ReplicaSet {
            layout_version: number,
            current: seats(&group.current),
            previous: seats(&group.previous),
        }
    }
}
