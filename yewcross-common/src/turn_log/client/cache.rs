//! A proxy's cache of turns and ledger owners, which saves requests to stores.

use crate::constants::CACHED_LEDGER_OWNERS;
use crate::turn_log::messages::StoredTurn;
use lru::LruCache;
use std::num::NonZeroUsize;

/// Cached turns, ledger owners, and the chains before open turns. The cache only saves requests: the
/// stores have every entry that was evicted.
pub(super) struct TurnCache {
    /// Turns by id.
    turns: LruCache<String, CachedTurn>,
    /// Estimated size of the cached turns in bytes.
    turn_bytes: usize,
    turn_bytes_limit: usize,
    /// The disk whose store owns a program's ledger, by program.
    pub(super) owners: LruCache<String, String>,
    /// The chain before each open turn, oldest first, by the id of the open turn.
    pub(super) open_chains: LruCache<String, Vec<ChainLink>>,
}

/// A turn of a chain without its texts.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ChainLink {
    pub(super) id: String,
    /// Estimated size of the stored turn in bytes.
    pub(super) bytes: usize,
}

impl ChainLink {
    pub(super) fn of(stored: &StoredTurn) -> ChainLink {
        ChainLink {
            id: stored.turn.id.clone(),
            bytes: stored.bytes(),
        }
    }
}

struct CachedTurn {
    stored: StoredTurn,
    /// Disks that are known to store the turn.
    holders: Vec<String>,
}

/// The cached part of a chain, up to its end.
pub(super) struct CachedHistory {
    /// The turns, newest first.
    pub(super) turns: Vec<StoredTurn>,
    /// Id of the newest turn that is not cached, or of the turn before the wanted ones; empty if the
    /// chain is complete.
    pub(super) missing: String,
}

impl TurnCache {
    pub(super) fn new(turn_bytes_limit: usize) -> TurnCache {
        let max_entries = NonZeroUsize::new(CACHED_LEDGER_OWNERS).unwrap_or(NonZeroUsize::MIN);
        TurnCache {
            turns: LruCache::unbounded(),
            turn_bytes: 0,
            turn_bytes_limit,
            owners: LruCache::new(max_entries),
            open_chains: LruCache::new(max_entries),
        }
    }

    /// Adds a turn and evicts the least recently used ones above the size limit. The added turn is kept
    /// even if it exceeds the limit alone.
    pub(super) fn put(&mut self, stored: StoredTurn, holders: Vec<String>) {
        self.turn_bytes += stored.bytes();
        let id = stored.turn.id.clone();
        let replaced = self.turns.put(id, CachedTurn { stored, holders });
        self.turn_bytes -= replaced.map_or(0, |cached| cached.stored.bytes());
        while self.turn_bytes > self.turn_bytes_limit && self.turns.len() > 1 {
            let evicted = self.turns.pop_lru();
            self.turn_bytes -= evicted.map_or(0, |(_, cached)| cached.stored.bytes());
        }
    }

    /// The cached part of the chain that ends in `id`, back to the first turn that is not cached, or to
    /// the turn `before`.
    pub(super) fn history(&mut self, id: &str, before: &str) -> CachedHistory {
        let mut turns = vec![];
        let mut missing = id.to_string();
        while let Some(cached) = self.turns.get(&missing).filter(|_| missing != before) {
            missing = cached.stored.turn.prev.clone();
            turns.push(cached.stored.clone());
        }
        CachedHistory { turns, missing }
    }

    /// Id of the newest turn of the chain that ends in `id` which is not cached; empty if all are.
    pub(super) fn first_missing(&mut self, id: &str) -> String {
        self.history(id, "").missing
    }

    /// Disks that are known to store a turn. Does not count as a use of the turn for eviction.
    pub(super) fn holders(&self, id: &str) -> Vec<String> {
        self.turns
            .peek(id)
            .map(|cached| cached.holders.clone())
            .unwrap_or_default()
    }

    pub(super) fn len(&self) -> usize {
        self.turns.len()
    }

    pub(super) fn turn_bytes(&self) -> usize {
        self.turn_bytes
    }
}
