//! What a client keeps of the keys that it used lately: the proposer of each, which spares the
//! prepare round of the next change.

use super::super::proposer::Proposer;
use super::super::{SHARDS, locate};
use crate::constants::OWNED_VALUE_IDLE_TIMEOUT;
use futures_util::lock::Mutex as AsyncMutex;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// One key's proposer. Whoever locks it is the only one in this process to propose for the key.
pub(super) type CacheEntry = Arc<AsyncMutex<CachedProposer>>;

/// A key's proposer, and when it was used last.
#[derive(Default)]
pub(super) struct CachedProposer {
    pub(super) proposer: Proposer,
    /// us. Start of the last attempt of a change.
    pub(super) last_used: u64,
}

/// The cached proposers by key, in shards that lock independently.
pub(super) struct ProposerCache {
    shards: Vec<Mutex<BTreeMap<String, CacheEntry>>>,
}

impl Default for ProposerCache {
    fn default() -> ProposerCache {
        ProposerCache {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl ProposerCache {
    /// The entry of a key; a new one where there is none.
    pub(super) fn entry(&self, key: &str) -> CacheEntry {
        self.shard(key)
            .lock()
            .unwrap()
            .entry(key.into())
            .or_default()
            .clone()
    }

    /// The value last known of a key; `None` where no ballot is prepared for it, or its entry is
    /// locked.
    pub(super) fn hint(&self, key: &str) -> Option<Arc<Vec<u8>>> {
        let entry = self.shard(key).lock().unwrap().get(key).cloned()?;
        let cached = entry.try_lock()?;
        cached
            .proposer
            .ballot()
            .map(|_| cached.proposer.value().clone())
    }

    /// All cached keys that begin with the prefix.
    pub(super) fn keys_with_prefix(&self, prefix: &str) -> Vec<String> {
        let mut keys = vec![];
        for shard in &self.shards {
            let entries = shard.lock().unwrap();
            let matching = entries.keys().filter(|key| key.starts_with(prefix));
            keys.extend(matching.cloned());
        }
        keys
    }

    /// Drops entries that are idle and in nobody's hands; returns how many remain.
    pub(super) fn prune(&self, now: u64) -> usize {
        let is_idle = |entry: &CacheEntry| {
            entry
                .try_lock()
                .is_some_and(|cached| now >= cached.last_used + OWNED_VALUE_IDLE_TIMEOUT)
        };
        let mut remaining = 0;
        for shard in &self.shards {
            let mut entries = shard.lock().unwrap();
            entries.retain(|_, entry| Arc::strong_count(entry) > 1 || !is_idle(entry));
            remaining += entries.len();
        }
        remaining
    }

    fn shard(&self, key: &str) -> &Mutex<BTreeMap<String, CacheEntry>> {
        &self.shards[locate(key).1]
    }
}
