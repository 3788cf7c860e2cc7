//! The store of turns and program budgets: one replica of the turn log.
//!
//! Invariants:
//! - A turn is immutable. It is stored on a write quorum of the disks, and every disk that holds it
//!   also holds all its predecessors.
//! - A ledger is a grow-only set. One owner at a time adds reservations to it, under an epoch that a
//!   read quorum of the disks has promised; recording the end of a turn requires no epoch.
//! - Nothing is acknowledged before it is durable in this disk's log.
//!
//! Modules:
//! - [`history_limit`] bounds what a response carries of a chain;
//! - [`index`] holds turns and ledgers in memory, [`ledger`] is one program's ledger;
//! - `requests` validates and dispatches requests, `open_turn` opens turns, `replication` applies
//!   records received from other stores;
//! - `ownership` acquires a ledger's epoch, `reservation` reserves tokens under it;
//! - `expiry` removes records whose retention period has ended, `metrics` exports counters.

pub mod history_limit;
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

/// Limit for the stored turns, in bytes per MB of the process's memory limit: three eighths of it.
const TURN_BYTES_PER_MB: usize = 3 << 17;

/// One replica of the turn log: the turns and ledgers of one disk, and the protocol that replicates
/// them.
///
/// Lock order: a program's ownership, `index`, then `owned_ledgers` or `log`.
pub struct TurnStore {
    pub(crate) runtime: Runtime,
    pub(crate) stores: Arc<StoreClient>,
    pub(crate) storage: Arc<DurableStorage>,
    /// The id of this store's disk.
    pub(crate) own_disk: String,
    pub index: Mutex<TurnIndex>,
    pub(crate) log: Mutex<LogWriter>,
    /// Ownership state by program, for each ledger that this store owns or has owned.
    owned_ledgers: Mutex<HashMap<String, SharedOwnership>>,
    pub(crate) counters: TurnStoreCounters,
    /// Identifies this incarnation of the store in the epochs that it acquires.
    owner_id: u64,
    requests_in_flight: AtomicUsize,
    /// Size of the indexed turns, in bytes, above which further turns are rejected.
    turn_bytes_limit: usize,
    /// Acknowledged records on this disk are damaged and have not yet been restored from other disks.
    /// Until then the absence of a record on this disk proves nothing.
    pub recovery_pending: AtomicBool,
    /// The newest layout version for which anti-entropy has finished.
    pub(crate) swept_layout: AtomicU64,
    /// Number of turns that the last pass of anti-entropy found on too few disks.
    pub(crate) under_replicated: AtomicU64,
}

impl TurnStore {
    /// Loads the log from the disk and starts the background tasks. Fails on errors of the disk.
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
                "damaged segment {segment:x} of the turn log; requesting repair from the other disks"
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
        runtime.spawn_essential("turn expiry", store.clone().run_expiry());
        runtime.spawn_essential("turn log anti-entropy", store.clone().run_anti_entropy());
        Ok(store)
    }

    /// Queues the marks of torn ends as the first records, so that no segment is written after an
    /// unmarked torn end.
    fn mark_torn_ends(self: &Arc<Self>, torn: &[TornEnd]) {
        self.counters.torn.store(torn.len() as u64, Relaxed);
        if torn.is_empty() {
            return;
        }
        let marks = torn.iter().map(|end| LogRecord::Torn(*end)).collect();
        self.append(marks);
    }

    /// Version of the layout that this store uses. Checked under the index's lock before a record is
    /// stored: anti-entropy for a newer layout must include every record accepted under an older
    /// one.
    fn layout_version(&self) -> u64 {
        self.stores.documents.layout.load().0
    }

    /// The cluster's median clock, in ms.
    fn clock_ms(&self) -> u64 {
        self.stores.members.clock().0
    }

    /// The epoch that this store has promised for a program's ledger.
    fn promised_epoch(&self, program: &str) -> Option<Ballot> {
        self.index
            .lock()
            .unwrap()
            .ledgers
            .get(program)
            .map(|ledger| ledger.promised)
    }

    /// Returns a function that sends the operation to a disk; a failed request counts as
    /// `Unavailable`. Each request times out at the deadline, or earlier after
    /// `PEER_REQUEST_TIMEOUT`.
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
