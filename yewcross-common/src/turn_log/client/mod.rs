//! The proxy's side of the turn log: one request to a program's owner opens a turn, one to each of
//! a write quorum of disks stores it.
//!
//! - `open` asks a store to open a turn;
//! - `write` stores turns and ledger entries on enough disks;
//! - `settlement` counts what turns used that end otherwise, in the background;
//! - `cache` remembers turns and owners.

mod cache;
mod open;
mod settlement;
mod write;

use crate::constants::TURN_CACHE_BYTES;
use crate::documents::cache::DocumentCache;
use crate::membership::Membership;
use crate::process_settings::ProcessSettings;
use crate::runtime::BoxFuture;
use crate::turn_log::client::cache::TurnCache;
use crate::turn_log::store_client::StoreClient;
use crate::turn_log::{OpenTurn, OpenTurnError, OpenedTurn, Turn, TurnLogService};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

/// Cached turns may take an eighth of a process's memory, in powers of two of bytes per MB.
const CACHE_BYTES_PER_MB_SHIFT: u32 = 17;

/// A proxy's client of the turn log.
pub struct TurnLogClient(Arc<Inner>);

struct Inner {
    stores: Arc<StoreClient>,
    /// The site of this node.
    site: String,
    cache: Mutex<TurnCache>,
    counters: ClientCounters,
}

/// Counters since the start of the process.
#[derive(Default, Debug)]
struct ClientCounters {
    opens: AtomicU64,
    /// Opened with the complete chain from the cache.
    cache_hits: AtomicU64,
    budget_spent: AtomicU64,
    unknown_turns: AtomicU64,
    unavailable: AtomicU64,
    /// Times that another store was asked because the one before did not open the turn.
    failovers: AtomicU64,
    finishes: AtomicU64,
    /// Finished turns that were not stored on enough disks.
    not_stored: AtomicU64,
    /// Turns settled without being stored.
    settlements: AtomicU64,
    /// Settlements that were given up.
    abandoned_settlements: AtomicU64,
}

impl TurnLogClient {
    /// A client with nothing cached.
    pub fn new(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        settings: &ProcessSettings,
    ) -> TurnLogClient {
        TurnLogClient(Arc::new(Inner {
            stores: StoreClient::new(members, documents, &settings.name, settings.bounds.lost),
            site: settings.site.clone(),
            cache: Mutex::new(TurnCache::new(cache_bytes(settings))),
            counters: Default::default(),
        }))
    }

    /// Metrics by name: what this proxy asked of the stores, and what it has cached.
    pub fn metrics(&self) -> BTreeMap<&'static str, u64> {
        let (turns, turn_bytes) = {
            let cache = self.0.cache.lock().unwrap();
            (cache.len() as u64, cache.turn_bytes() as u64)
        };
        let counters = &self.0.counters;
        [
            ("turns", turns),
            ("turn_bytes", turn_bytes),
            ("opens", counters.opens.load(Relaxed)),
            ("at_hand", counters.cache_hits.load(Relaxed)),
            ("spent", counters.budget_spent.load(Relaxed)),
            ("unknown", counters.unknown_turns.load(Relaxed)),
            ("away", counters.unavailable.load(Relaxed)),
            ("moved", counters.failovers.load(Relaxed)),
            ("finishes", counters.finishes.load(Relaxed)),
            ("unkept", counters.not_stored.load(Relaxed)),
            ("settles", counters.settlements.load(Relaxed)),
            ("unsettled", counters.abandoned_settlements.load(Relaxed)),
        ]
        .into()
    }
}

fn cache_bytes(settings: &ProcessSettings) -> usize {
    if settings.bounds.memory_mb == 0 {
        return TURN_CACHE_BYTES;
    }
    let share = (settings.bounds.memory_mb as usize) << CACHE_BYTES_PER_MB_SHIFT;
    share.min(TURN_CACHE_BYTES)
}

impl TurnLogService for TurnLogClient {
    fn open(
        &self,
        open: OpenTurn,
        deadline_us: u64,
    ) -> BoxFuture<'_, Result<OpenedTurn, OpenTurnError>> {
        let inner = self.0.clone();
        Box::pin(async move {
            let opened = inner.open(open, deadline_us).await;
            inner.counters.count_open(&opened);
            opened
        })
    }

    fn finish(
        &self,
        open: OpenTurn,
        turn: Turn,
        used_tokens: u64,
        deadline_us: u64,
    ) -> BoxFuture<'_, Result<(), OpenTurnError>> {
        let inner = self.0.clone();
        Box::pin(async move { inner.finish(open, turn, used_tokens, deadline_us).await })
    }

    fn settle(&self, open: OpenTurn, used_tokens: u64) {
        self.0.settle(open, used_tokens);
    }
}

impl ClientCounters {
    fn count_open(&self, opened: &Result<OpenedTurn, OpenTurnError>) {
        self.opens.fetch_add(1, Relaxed);
        let failures = match opened {
            Ok(_) => return,
            Err(OpenTurnError::BudgetSpent) => &self.budget_spent,
            Err(OpenTurnError::UnknownTurn) => &self.unknown_turns,
            Err(OpenTurnError::Unavailable) => &self.unavailable,
        };
        failures.fetch_add(1, Relaxed);
    }
}

impl Inner {
    /// The disk whose store was last known to own a program's ledger.
    fn known_owner(&self, program: &str) -> Option<String> {
        self.cache.lock().unwrap().owners.get(program).cloned()
    }
}
