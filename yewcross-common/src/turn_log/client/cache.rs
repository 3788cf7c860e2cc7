//! What a proxy remembers of turns and owners, so that it need not ask the stores.

use crate::constants::CACHED_LEDGER_OWNERS;
use crate::turn_log::messages::StoredTurn;
use lru::LruCache;
use std::num::NonZeroUsize;

/// Turns, owners of ledgers, and the chains of turns that are open. It only saves requests:
/// whatever it has lost, the stores know.
pub(super) struct TurnCache {
    /// By id.
    turns: LruCache<String, CachedTurn>,
    /// Bytes of the turns.
    turn_bytes: usize,
    turn_bytes_limit: usize,
    /// The disk whose store owns a program's ledger, by program.
    pub(super) owners: LruCache<String, String>,
    /// The chains before the turns that are open now, oldest first, by turn.
    pub(super) open_chains: LruCache<String, Vec<StoredTurn>>,
}

struct CachedTurn {
    stored: StoredTurn,
    /// Disks known to hold it.
    holders: Vec<String>,
}

/// The end of a chain, as far as it is cached.
pub(super) struct CachedHistory {
    /// Newest first.
    pub(super) turns: Vec<StoredTurn>,
    /// The first turn that is not cached; empty where the chain is complete.
    pub(super) missing: String,
}

impl TurnCache {
    pub(super) fn new(turn_bytes_limit: usize) -> TurnCache {
        let programs = NonZeroUsize::new(CACHED_LEDGER_OWNERS).unwrap_or(NonZeroUsize::MIN);
        TurnCache {
            turns: LruCache::unbounded(),
            turn_bytes: 0,
            turn_bytes_limit,
            owners: LruCache::new(programs),
            open_chains: LruCache::new(programs),
        }
    }

    /// Adds a turn, in the place of those used least recently. The newest stays even if it alone is
    /// above the limit.
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

    /// The chain that ends in `id`, back to the first turn that is not cached.
    pub(super) fn history(&mut self, id: &str) -> CachedHistory {
        let mut turns = vec![];
        let mut missing = id.to_string();
        while let Some(cached) = self.turns.get(&missing).filter(|_| !missing.is_empty()) {
            missing = cached.stored.turn.prev.clone();
            turns.push(cached.stored.clone());
        }
        CachedHistory { turns, missing }
    }

    /// Disks known to hold a turn. This is no use of the turn.
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
