//! Placement: the choice of the disks that replicate a key.

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
    /// Whether the disk is in any set in force; during a change that includes the previous sets.
    pub fn includes_disk(&self, disk: &str) -> bool {
        let sets = [
            &self.core.current,
            &self.core.previous,
            &self.store.current,
            &self.store.previous,
        ];
        sets.iter()
            .any(|set| set.iter().any(|member| member == disk))
    }

    /// The group whose disks replicate a key: the core disks for documents, the store disks for all
    /// other keys.
    pub fn group(&self, key: &str) -> &ReplicaGroup {
        if is_document(key) {
            &self.core
        } else {
            &self.store
        }
    }

    /// The disks out of `disks` that replicate a key, most preferred first: all of them for a
    /// document, [`RECORD_REPLICAS`] for any other key. No site gets a second replica while another
    /// site has none; a disk whose site is unknown counts as a separate site.
    pub fn replicas_for<'a>(&self, key: &str, disks: &'a [String]) -> Vec<&'a str> {
        let ranked = crate::hash::rank_by_weight(key, disks.iter().map(|disk| disk.as_str()));
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
    /// The replicas of a key under a layout. `address_of` returns the address of the node that has a
    /// disk.
    pub fn of(
        key: &str,
        layout: &Layout,
        layout_version: u64,
        address_of: impl Fn(&str) -> Option<SocketAddr>,
    ) -> ReplicaSet {
        let group = layout.group(key);
        let locations = |disks: &[String]| -> Vec<ReplicaLocation> {
            let selected = layout.replicas_for(key, disks);
            selected
                .into_iter()
                .map(|disk| ReplicaLocation {
                    disk: disk.into(),
                    addr: address_of(disk),
                })
                .collect()
        };
        ReplicaSet {
            layout_version,
            current: locations(&group.current),
            previous: locations(&group.previous),
        }
    }
}
