//! Servers that the platform reported as leaving.
//!
//! A server's departure is final for its name, so it needs no consensus and no ordering: the node
//! that reads the platform's list notifies all nodes at once, and every node forwards it. Only
//! additions to the list wait until they are decided.

use crate::constants::SEC;
use std::collections::BTreeMap;

/// Retention of a mark, in µs: longer than any list that still contains the server as ready can be
/// in flight.
const MARK_RETENTION: u64 = 600 * SEC;
/// Limit on the number of marks, of which the newest are retained. It is sufficient for replacing
/// all servers of a region at once several times.
const MARKS_MAX: usize = 8_192;

/// The servers marked as leaving.
#[derive(Debug, Default)]
pub struct Departures {
    /// Time at which each server was marked, in µs.
    marked_at: BTreeMap<String, u64>,
    digest: u64,
}

/// Digest of a set of servers, independent of their order; 0 for the empty set.
pub fn digest<'a>(servers: impl IntoIterator<Item = &'a String>) -> u64 {
    servers.into_iter().fold(0, |digest, server| {
        digest ^ crate::hash::rendezvous_weight(server, "")
    })
}

impl Departures {
    /// Marks servers; returns whether any of them was not marked before.
    pub fn mark(&mut self, servers: &[String], now: u64) -> bool {
        let count_before = self.marked_at.len();
        for server in servers {
            self.marked_at.entry(server.clone()).or_insert(now);
        }
        let has_new = self.marked_at.len() > count_before;
        if has_new {
            self.drop_old(now);
            self.digest = digest(self.marked_at.keys());
        }
        has_new
    }

    fn drop_old(&mut self, now: u64) {
        self.marked_at
            .retain(|_, marked_at| now < *marked_at + MARK_RETENTION);
        while self.marked_at.len() > MARKS_MAX {
            let Some(oldest) = self.oldest() else {
                return;
            };
            self.marked_at.remove(&oldest);
        }
    }

    fn oldest(&self) -> Option<String> {
        self.marked_at
            .iter()
            .min_by_key(|(_, marked_at)| **marked_at)
            .map(|(server, _)| server.clone())
    }

    /// Whether the server is marked.
    pub fn is_marked(&self, server: &str) -> bool {
        self.marked_at.contains_key(server)
    }

    /// All marked servers, in order of their names.
    pub fn servers(&self) -> Vec<String> {
        self.marked_at.keys().cloned().collect()
    }

    /// The digest of all marked servers.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
