//! The proposers of the keys that this process used recently. A cached proposer with a prepared ballot
//! saves the prepare round of the next change.

use super::super::proposer::Proposer;
use super::super::{SHARDS, hash_and_shard};
use crate::constants::OWNED_VALUE_IDLE_TIMEOUT;
use futures_util::lock::Mutex as AsyncMutex;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// One key's proposer. The holder of the lock is the only task of this process that may propose for
/// the key.
pub(super) type CacheEntry = Arc<AsyncMutex<CachedProposer>>;

/// A key's proposer and the time of its last use.
#[derive(Default)]
pub(super) struct CachedProposer {
    pub(super) proposer: Proposer,
    /// Start of the last attempt of a change, in us.
    pub(super) last_used: u64,
}

/// The cached proposers by key, in independently locked shards.
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
    /// The entry of a key; created if it does not exist.
    pub(super) fn entry(&self, key: &str) -> CacheEntry {
        self.shard(key)
            .lock()
            .unwrap()
            .entry(key.into())
            .or_default()
            .clone()
    }

    /// The cached value of a key. `None` if no ballot is prepared for the key or its entry is locked.
    pub(super) fn value(&self, key: &str) -> Option<Arc<Vec<u8>>> {
        let entry = self.shard(key).lock().unwrap().get(key).cloned()?;
        let cached = entry.try_lock()?;
        cached
            .proposer
            .ballot()
            .map(|_| cached.proposer.value().clone())
    }

    /// All cached keys with the prefix.
    pub(super) fn keys_with_prefix(&self, prefix: &str) -> Vec<String> {
        let mut keys = vec![];
        for shard in &self.shards {
            let entries = shard.lock().unwrap();
            let matching = entries.keys().filter(|key| key.starts_with(prefix));
            keys.extend(matching.cloned());
        }
        keys
    }

    /// Evicts the entries that are idle and not in use by any task; returns the number of remaining
    /// entries.
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
        &self.shards[hash_and_shard(key).1]
    }
}
