//! Contact with a majority of the core seats, and the newest versions that such a majority holds.

use crate::lease::quorum;
use std::collections::BTreeMap;
use yewcross_common::protocol::ReplicaGroup;

/// When each core seat last answered, and what its disk held. A pure record: no clock, no network.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// When the question was sent that the seat answered last.
    answered: BTreeMap<String, u64>,
    versions: BTreeMap<String, u64>,
}

impl Contact {
    /// The seat answered a question sent at `sent`, holding these versions.
    pub fn heard(&mut self, disk: &str, sent: u64, versions: &[(String, u64)]) {
        let at = self.answered.entry(disk.into()).or_default();
        *at = (*at).max(sent);
        for (document, version) in versions {
            let newest = self.versions.entry(document.clone()).or_default();
            *newest = (*newest).max(*version);
        }
    }

    /// Every change decided before this moment is among `versions`: a majority of the seats
    /// answered later questions.
    pub fn since(&self, seats: &ReplicaGroup) -> u64 {
        let mut times: Vec<u64> = self.answered.values().copied().collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let met = |at: u64| quorum(seats, |d| self.answered.get(d).is_some_and(|t| *t >= at));
        times.into_iter().find(|at| met(*at)).unwrap_or(0)
    }

    /// The newest version of a document that any seat was heard to hold.
    pub fn version(&self, document: &str) -> u64 {
        self.versions.get(document).copied().unwrap_or(0)
    }

    /// Seats that are no longer in the layout are forgotten.
    pub fn retain(&mut self, seats: &ReplicaGroup) {
        self.answered
            .retain(|d, _| seats.current.contains(d) || seats.previous.contains(d));
    }
}
