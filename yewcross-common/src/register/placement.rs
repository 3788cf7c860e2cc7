//! Placement: which disks replicate a key.

use super::quorum::{ReplicaLocation, ReplicaSet};
use crate::constants::RECORD_REPLICAS;
use crate::documents::DocumentName;
use crate::protocol::{Layout, ReplicaGroup};
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn is_document(key: &str) -> bool {
    DocumentName::parse(key).is_some()
}

impl Layout {
    /// Whether the disk is in a set that is in force, which includes the previous sets of a change
    /// under way.
    pub fn includes_disk(&self, disk: &str) -> bool {
        let sets = [
            &self.core.current,
            &self.core.previous,
            &self.store.current,
            &self.store.previous,
        ];
        sets.iter().any(|set| set.iter().any(|seat| seat == disk))
    }

    /// The group whose disks replicate a key: the core disks for the documents, the store disks for
    /// all other keys.
    pub fn group(&self, key: &str) -> &ReplicaGroup {
        if is_document(key) {
            &self.core
        } else {
            &self.store
        }
    }

    /// The disks out of `disks` that replicate a key, most preferred first: all of them for a
    /// document, [`RECORD_REPLICAS`] for any other key. No site has two replicas while another has
    /// none; a disk of no known site counts as a site of its own.
    pub fn replicas_for<'a>(&self, key: &str, disks: &'a [String]) -> Vec<&'a str> {
        let ranked = crate::hash::ranked(key, disks.iter().map(|disk| disk.as_str()));
        if is_document(key) {
            return ranked;
        }
        let site_of = |disk: &str| self.sites.get(disk).cloned().unwrap_or(disk.into());
        let mut sites_seen = BTreeSet::new();
        let (first_of_site, others): (Vec<&str>, Vec<&str>) = ranked
            .into_iter()
            .partition(|disk| sites_seen.insert(site_of(disk)));
        first_of_site
            .into_iter()
            .chain(others)
            .take(RECORD_REPLICAS)
            .collect()
    }
}

impl ReplicaSet {
    /// The replicas of a key under a layout. `address_of` finds the machine of a disk.
    pub fn of(
        key: &str,
        layout: &Layout,
        layout_version: u64,
        address_of: impl Fn(&str) -> Option<SocketAddr>,
    ) -> ReplicaSet {
        let group = layout.group(key);
        let seats = |disks: &[String]| -> Vec<ReplicaLocation> {
            let chosen = layout.replicas_for(key, disks);
            chosen
                .into_iter()
                .map(|disk| ReplicaLocation {
                    disk: disk.into(),
                    addr: address_of(disk),
                })
                .collect()
        };
        ReplicaSet {
            layout_version,
            current: seats(&group.current),
            previous: seats(&group.previous),
        }
    }
}
