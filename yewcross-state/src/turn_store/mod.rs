//! The store of turns and program budgets: one replica of the turn log.
//!
//! Invariants:
//! - A turn is immutable. Enough disks hold it, and a disk that holds it holds every turn before it.
//! - A ledger is a set that only grows. One owner at a time adds reservations to it, under an epoch
//!   that enough disks promised; the end of a turn needs no epoch.
//! - Nothing is acknowledged before it is durable in this disk's log.
//!
//! The parts:
//! - [`index`] holds turns and ledgers in memory, [`ledger`] is one program's ledger;
//! - `requests` checks a request and dispatches it; `open_turn` opens turns; `replication` does what
//!   every replica does with records of others;
//! - `ownership` acquires a ledger's epoch, `reservation` reserves under it;
//! - `expiry` drops what is out of its retention, `metrics` counts.

pub mod index;
pub mod ledger;

mod expiry;
mod metrics;
mod open_turn;
mod ownership;
mod replication;
mod requests;
mod reservation;

pub use index::{IndexedTurn, TurnIndex};
pub use ledger::Ledger;

use crate::segment_log::{LogRecord, LogWriter, TornEnd, next_segment};
use crate::turn_store::metrics::TurnStoreCounters;
use crate::turn_store::ownership::SharedOwnership;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, TURN_STORE_BYTES};
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::membership::Membership;
use yewcross_common::process_settings::ProcessSettings;
use yewcross_common::register::Ballot;
use yewcross_common::runtime::{BoxFuture, Runtime};
use yewcross_common::storage::DurableStorage;
use yewcross_common::turn_log::epoch::{INCARNATION_MASK, epoch_owner_id};
use yewcross_common::turn_log::{StoreClient, TurnLogOperation, TurnLogResponse};

/// Turns may take three eighths of a process's memory, in bytes per MB of its bound.
const TURN_BYTES_PER_MB: usize = 3 << 17;

/// The turns and ledgers of one disk, and its side of the turn log's protocol.
///
/// Where several locks are taken, it is in the order: a program's ownership, `index`, then
/// `owned_ledgers` or `log`.
pub struct TurnStore {
    pub(crate) runtime: Runtime,
    pub(crate) stores: Arc<StoreClient>,
    pub(crate) storage: Arc<DurableStorage>,
    /// The id of this store's disk.
    pub(crate) own_disk: String,
    pub index: Mutex<TurnIndex>,
    pub(crate) log: Mutex<LogWriter>,
    /// Programs that this store is or was an owner of.
    owned_ledgers: Mutex<HashMap<String, SharedOwnership>>,
    pub(crate) counters: TurnStoreCounters,
    /// Names this incarnation of the store in the epochs that it acquires.
    owner_id: u64,
    requests_in_flight: AtomicUsize,
    /// Bytes of turns above which no more are stored.
    turn_bytes_limit: usize,
    /// Something that was acknowledged is damaged on this disk, and other disks have not yet
    /// restored it: until then the absence of a record here proves nothing.
    pub recovery_pending: AtomicBool,
    /// The newest layout that anti-entropy has finished for.
    pub(crate) swept_layout: AtomicU64,
    /// Turns that the last pass of anti-entropy found on too few disks.
    pub(crate) under_replicated: AtomicU64,
}

impl TurnStore {
    /// Reads what the disk holds, and starts the background tasks. Errors are those of the disk.
    pub async fn start(
        runtime: &Runtime,
        settings: &ProcessSettings,
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        storage: &Arc<DurableStorage>,
    ) -> io::Result<Arc<TurnStore>> {
        let (index, scan) = TurnIndex::load(runtime).await?;
        for segment in &scan.damaged {
            runtime.log(&format!(
                "damaged segment {segment:x} of the log; asking the other disks"
            ));
        }
        let segment = next_segment(&scan);
        let store = Arc::new(TurnStore {
            runtime: runtime.clone(),
            stores: StoreClient::new(members, documents, &settings.name, settings.bounds.lost),
            storage: storage.clone(),
            own_disk: storage.disk_id.clone(),
            index: Mutex::new(index),
            log: Mutex::new(LogWriter::new(segment, scan.segment_bytes)),
            owned_ledgers: Default::default(),
            counters: Default::default(),
            owner_id: epoch_owner_id(&storage.disk_id) | (runtime.random() & INCARNATION_MASK),
            requests_in_flight: AtomicUsize::new(0),
            turn_bytes_limit: turn_bytes_limit(settings),
            recovery_pending: AtomicBool::new(!scan.damaged.is_empty()),
            swept_layout: AtomicU64::new(0),
            under_replicated: AtomicU64::new(0),
        });
        store.mark_torn_ends(&scan.torn);
        runtime.spawn(store.clone().run_expiry());
        runtime.spawn(store.clone().run_anti_entropy());
        Ok(store)
    }

    /// Torn ends are marked before anything else is written behind them.
    fn mark_torn_ends(self: &Arc<Self>, torn: &[TornEnd]) {
        self.counters.torn.store(torn.len() as u64, Relaxed);
        if torn.is_empty() {
            return;
        }
        let marks = torn.iter().map(|end| LogRecord::Torn(*end)).collect();
        self.append(marks);
    }

    /// The version of the layout that this store goes by. Checked under the index's lock before a
    /// record is stored: anti-entropy for a newer layout must see all that was stored before it.
    fn layout_version(&self) -> u64 {
        self.stores.documents.layout.load().0
    }

    /// The cluster's median clock.
    fn clock_ms(&self) -> u64 {
        self.stores.members.clock().0
    }

    /// The epoch that this store has promised for a program.
    fn promised_epoch(&self, program: &str) -> Option<Ballot> {
        self.index
            .lock()
            .unwrap()
            .ledgers
            .get(program)
            .map(|ledger| ledger.promised)
    }

    /// A function that sends the operation to a disk; a failure to send reads as `Unavailable`.
    fn requester(
        self: &Arc<Self>,
        layout_version: u64,
        operation: TurnLogOperation,
        deadline_us: u64,
    ) -> impl Fn(&str) -> BoxFuture<'static, TurnLogResponse> + use<> {
        let store = self.clone();
        let operation = Arc::new(operation);
        move |disk: &str| -> BoxFuture<'static, TurnLogResponse> {
            let store = store.clone();
            let disk = disk.to_string();
            let operation = operation.clone();
            Box::pin(async move {
                let timeout_us = deadline_us
                    .saturating_sub(store.runtime.now())
                    .min(PEER_REQUEST_TIMEOUT);
                store
                    .stores
                    .request(&disk, layout_version, &operation, timeout_us)
                    .await
                    .unwrap_or(TurnLogResponse::Unavailable)
            })
        }
    }
}

fn turn_bytes_limit(settings: &ProcessSettings) -> usize {
    if settings.bounds.memory_mb == 0 {
        TURN_STORE_BYTES
    } else {
        (settings.bounds.memory_mb as usize) * TURN_BYTES_PER_MB
    }
}
