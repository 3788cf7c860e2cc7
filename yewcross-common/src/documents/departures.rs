//! Servers that the platform showed as leaving.
//!
//! That a server leaves is final for its name, so it needs no agreement and no order: whoever reads
//! the platform's list tells all nodes at once, and every node tells it on. Only what is added to
//! the list waits until it is decided.

use std::collections::BTreeMap;

/// us. A mark is kept this long: longer than any list that still shows the server as ready is on
/// its way.
const KEPT: u64 = 600 * crate::constants::SEC;
/// count. Marks kept at most, the newest: a region's servers replaced at once, several times over.
const MOST: usize = 8_192;

/// The servers marked, and when each was, us.
#[derive(Debug, Default)]
pub struct Departures {
    marked_at: BTreeMap<String, u64>,
    digest: u64,
}

/// Alike for alike sets of servers; 0 for the empty one.
pub fn digest<'a>(servers: impl IntoIterator<Item = &'a String>) -> u64 {
    servers.into_iter().fold(0, |sum, server| {
        sum ^ crate::hash::rendezvous_weight(server, "")
    })
}

impl Departures {
    /// Marks servers; whether any of them was not marked before.
    pub fn mark(&mut self, servers: &[String], now: u64) -> bool {
        let before = self.marked_at.len();
        for server in servers {
            self.marked_at.entry(server.clone()).or_insert(now);
        }
        let is_news = self.marked_at.len() > before;
        if is_news {
            self.drop_old(now);
            self.digest = digest(self.marked_at.keys());
        }
        is_news
    }

    fn drop_old(&mut self, now: u64) {
        self.marked_at.retain(|_, at| now < *at + KEPT);
        while self.marked_at.len() > MOST {
            let Some(oldest) = self
                .marked_at
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(server, _)| server.clone())
            else {
                return;
            };
            self.marked_at.remove(&oldest);
        }
    }

    pub fn is_marked(&self, server: &str) -> bool {
        self.marked_at.contains_key(server)
    }

    pub fn servers(&self) -> Vec<String> {
        self.marked_at.keys().cloned().collect()
    }

    /// The digest of all that are marked.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
