//! Records which core replicas have answered this process lately, and the newest document versions
//! that they reported.

use crate::lease::has_quorum;
use std::collections::BTreeMap;
use yewcross_common::protocol::ReplicaGroup;

/// When each voter last answered, and what its disk held. A pure record: it reads no clock and no
/// network.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// By disk, when the newest request was sent that it has answered.
    answered: BTreeMap<String, u64>,
    /// By document, the newest version that any voter has reported.
    versions: BTreeMap<String, u64>,
}

impl Contact {
    /// Records that a disk answered a request sent at `sent`, and reported these versions.
    pub fn record_answer(&mut self, disk: &str, sent: u64, versions: &[(String, u64)]) {
        let last = self.answered.entry(disk.into()).or_default();
        *last = (*last).max(sent);
        for (document, version) in versions {
            let newest = self.versions.entry(document.clone()).or_default();
            *newest = (*newest).max(*version);
        }
    }

    /// The latest moment such that a quorum of the group has answered requests sent at it or later;
    /// 0 if there is none. Every change decided before that moment is among the versions reported.
    pub fn quorum_since(&self, group: &ReplicaGroup) -> u64 {
        let mut moments: Vec<u64> = self.answered.values().copied().collect();
        moments.sort_unstable_by(|earlier, later| later.cmp(earlier));
        let has_quorum_at = |moment: u64| {
            has_quorum(group, |disk| {
                self.answered.get(disk).is_some_and(|sent| *sent >= moment)
            })
        };
        moments
            .into_iter()
            .find(|moment| has_quorum_at(*moment))
            .unwrap_or(0)
    }

    /// The newest version of a document that any voter has reported; 0 if none has.
    pub fn newest_version(&self, document: &str) -> u64 {
        self.versions.get(document).copied().unwrap_or(0)
    }

    /// Forgets disks that are not in the group any more.
    pub fn retain(&mut self, group: &ReplicaGroup) {
        self.answered
            .retain(|disk, _| group.current.contains(disk) || group.previous.contains(disk));
    }
}
