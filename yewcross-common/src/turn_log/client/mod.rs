//! The proxy's client of the turn log: a turn is opened by one request to the owner of the program's
//! ledger, and stored by one request to each disk of a write quorum.
//!
//! - `open`: requests a store to open a turn;
//! - `write`: stores turns and ledger entries on a write quorum of disks;
//! - `settlement`: charges, in the background, the tokens of turns that end without being stored;
//! - `chain_reader`: reads the chain before a turn into reserved memory;
//! - `cache`: caches turns and ledger owners.

mod cache;
mod chain_reader;
mod open;
mod settlement;
mod write;

use crate::buffer_memory::BufferMemory;
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

/// Binary logarithm of the cache's size in bytes per MB of the process's memory: cached turns may use
/// an eighth of the memory.
const CACHE_BYTES_PER_MB_SHIFT: u32 = 17;

/// A proxy's client of the turn log.
pub struct TurnLogClient(Arc<Inner>);

struct Inner {
    stores: Arc<StoreClient>,
    /// Site of this node.
    site: String,
    cache: Mutex<TurnCache>,
    /// Memory for chains, and for turns while they are sent and received.
    memory: Arc<BufferMemory>,
    /// Held by the turn that waits for memory for its chain.
    waiting_reader: smol::lock::Mutex<()>,
    counters: ClientCounters,
}

/// Counters since the start of the process.
#[derive(Default, Debug)]
struct ClientCounters {
    opens: AtomicU64,
    /// Turns whose complete chain was found in the cache.
    cache_hits: AtomicU64,
    budget_spent: AtomicU64,
    unknown_turns: AtomicU64,
    unavailable: AtomicU64,
    /// Turns for whose chain there was no memory.
    out_of_memory: AtomicU64,
    /// Requests to open a turn that failed at one store and were then sent to another.
    failovers: AtomicU64,
    finishes: AtomicU64,
    /// Finished turns that were not stored on a write quorum of disks.
    not_stored: AtomicU64,
    /// Settlements started for turns whose charge was not confirmed by a stored turn.
    settlements: AtomicU64,
    /// Settlements abandoned after the retry period.
    abandoned_settlements: AtomicU64,
}

impl TurnLogClient {
    /// Creates a client with an empty cache. What is not cached is held in `memory`.
    pub fn new(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        settings: &ProcessSettings,
        memory: &Arc<BufferMemory>,
    ) -> TurnLogClient {
        TurnLogClient(Arc::new(Inner {
            stores: StoreClient::new(members, documents, &settings.name, settings.bounds.lost),
            site: settings.site.clone(),
            cache: Mutex::new(TurnCache::new(cache_bytes(settings))),
            memory: memory.clone(),
            waiting_reader: Default::default(),
            counters: Default::default(),
        }))
    }

    /// Metrics by name: counts of this proxy's requests to stores, and the size of its cache.
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
            ("out_of_memory", counters.out_of_memory.load(Relaxed)),
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
    let limit_bytes = (settings.bounds.memory_mb as usize) << CACHE_BYTES_PER_MB_SHIFT;
    limit_bytes.min(TURN_CACHE_BYTES)
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
        let counter = match opened {
            Ok(_) => return,
            Err(OpenTurnError::BudgetSpent) => &self.budget_spent,
            Err(OpenTurnError::UnknownTurn) => &self.unknown_turns,
            Err(OpenTurnError::Unavailable) => &self.unavailable,
            Err(OpenTurnError::OutOfMemory) => &self.out_of_memory,
        };
        counter.fetch_add(1, Relaxed);
    }
}

impl Inner {
    /// The disk whose store owns a program's ledger, according to the cache.
    fn cached_owner(&self, program: &str) -> Option<String> {
        self.cache.lock().unwrap().owners.get(program).cloned()
    }
}
