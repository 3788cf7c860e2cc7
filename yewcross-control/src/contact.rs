//! Tracks which core replicas have answered requests of this process recently, and the newest
//! document versions that they have reported.

use crate::lease::has_quorum;
use std::collections::BTreeMap;
use yewcross_common::protocol::ReplicaGroup;

/// The latest request that each voter has answered, and the document versions on the voters' disks.
/// It accesses neither clock nor network.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// By disk, the time at which the newest request that it has answered was sent.
    answered_request_sent_at: BTreeMap<String, u64>,
    /// By document name, the newest version that any voter has reported.
    newest_versions: BTreeMap<String, u64>,
}

impl Contact {
    /// Records that a disk has answered a request sent at `sent_at`, and has reported these
    /// versions.
    pub fn record_answer(&mut self, disk: &str, sent_at: u64, reported_versions: &[(String, u64)]) {
        let newest_sent = self
            .answered_request_sent_at
            .entry(disk.into())
            .or_default();
        *newest_sent = (*newest_sent).max(sent_at);
        for (document, version) in reported_versions {
            let newest = self.newest_versions.entry(document.clone()).or_default();
            *newest = (*newest).max(*version);
        }
    }

    /// The latest time such that a quorum of the group has answered requests sent at or after it; 0
    /// if there is none. The reported versions include every change decided before that time.
    pub fn latest_quorum_contact(&self, group: &ReplicaGroup) -> u64 {
        let mut send_times: Vec<u64> = self.answered_request_sent_at.values().copied().collect();
        send_times.sort_unstable_by(|earlier, later| later.cmp(earlier));
        let has_quorum_at = |send_time: u64| {
            has_quorum(group, |disk| {
                self.answered_request_sent_at
                    .get(disk)
                    .is_some_and(|sent_at| *sent_at >= send_time)
            })
        };
        send_times
            .into_iter()
            .find(|send_time| has_quorum_at(*send_time))
            .unwrap_or(0)
    }

    /// The newest version of a document that any voter has reported; 0 if none has.
    pub fn newest_version(&self, document: &str) -> u64 {
        self.newest_versions.get(document).copied().unwrap_or(0)
    }

    /// Removes the disks that are no longer in the group.
    pub fn retain(&mut self, group: &ReplicaGroup) {
        self.answered_request_sent_at
            .retain(|disk, _| group.current.contains(disk) || group.previous.contains(disk));
    }
}
