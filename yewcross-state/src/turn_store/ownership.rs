//! Ownership of a program's ledger.
//!
//! One owner at a time reserves, under an epoch that enough disks promised to meet every write. A
//! disk that promised an epoch rejects entries under every other; so the entries that the promises
//! return are all that an earlier owner can have had acknowledged.

use crate::segment_log::LogRecord;
use crate::turn_store::TurnStore;
use async_channel::Receiver;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use yewcross_common::register::Ballot;
use yewcross_common::turn_log::{
    Gather, GatherStep, LedgerEntry, LedgerRecord, StoreReplicas, TurnLogOperation, TurnLogResponse,
};

/// What this store knows of its own ownership of a program's ledger.
#[derive(Default)]
pub(super) struct OwnedLedger {
    /// The epoch that it owns the ledger under.
    pub(super) epoch: Option<Ballot>,
    /// Disks that promised the epoch.
    pub(super) promised_by: BTreeSet<String>,
    /// The highest number of an epoch that another store was found to have.
    pub(super) highest_number: u64,
    /// When enough disks last returned their entries.
    pub(super) refreshed_at_us: u64,
}

/// Its lock is held while an epoch is acquired or refreshed, and until an entry is in the index.
pub(super) type SharedOwnership = Arc<futures_util::lock::Mutex<OwnedLedger>>;

/// How an attempt to acquire or refresh an epoch ended.
pub(super) enum Acquisition {
    Acquired,
    /// A disk has promised a higher epoch.
    Rejected,
    /// A replica goes by this newer layout.
    NewerLayout(u64),
    /// Too few disks answered.
    Unavailable,
}

/// The promises of other disks.
struct Promises {
    entries: Vec<(String, LedgerEntry)>,
    /// The highest epoch that a disk had promised instead.
    highest_rejected: Ballot,
    promised_by: BTreeSet<String>,
    is_quorum: bool,
    newer_layout: u64,
}

impl OwnedLedger {
    /// Whether the epoch is still the one promised here, and by enough of the present disks.
    pub(super) fn is_valid(&self, promised: Ballot, replicas: &StoreReplicas) -> bool {
        self.epoch == Some(promised)
            && replicas.is_read_quorum(|disk| self.promised_by.contains(disk))
    }
}

impl TurnStore {
    pub(super) fn ownership_of(&self, program: &str) -> SharedOwnership {
        self.owned_ledgers
            .lock()
            .unwrap()
            .entry(program.into())
            .or_default()
            .clone()
    }

    /// Becomes the owner under a new epoch, with a first entry.
    pub(super) async fn acquire_ownership(
        self: &Arc<Self>,
        owned: &mut OwnedLedger,
        replicas: &StoreReplicas,
        mut record: LedgerRecord,
        deadline_us: u64,
    ) -> Acquisition {
        self.counters.acquisitions.fetch_add(1, Relaxed);
        let now_ms = self.clock_ms();
        let written = {
            let mut index = self.index.lock().unwrap();
            let ledger = index.ledgers.entry(record.program.clone()).or_default();
            record.epoch = Ballot {
                number: ledger.promised.number.max(owned.highest_number) + 1,
                proposer_id: self.owner_id,
            };
            ledger.promised = record.epoch;
            ledger.merge(&record.entries, now_ms, record.retain_ms);
            self.append(vec![LogRecord::Ledger {
                record: record.clone(),
                changed_at_ms: now_ms,
            }])
        };
        self.confirm_epoch(owned, replicas, record, Some(written), deadline_us)
            .await
    }

    /// Asks all disks to promise the record's epoch, and takes over the entries that they know.
    pub(super) async fn confirm_epoch(
        self: &Arc<Self>,
        owned: &mut OwnedLedger,
        replicas: &StoreReplicas,
        record: LedgerRecord,
        written: Option<Receiver<bool>>,
        deadline_us: u64,
    ) -> Acquisition {
        let now_ms = self.clock_ms();
        let program = record.program.clone();
        let epoch = record.epoch;
        owned.epoch = None;
        let promises = self.gather_promises(replicas, record, deadline_us).await;
        if promises.newer_layout > replicas.layout_version {
            return Acquisition::NewerLayout(promises.newer_layout);
        }
        if promises.highest_rejected > Ballot::default() {
            owned.highest_number = owned.highest_number.max(promises.highest_rejected.number);
            return Acquisition::Rejected;
        }
        let is_durable_here = match written {
            Some(written) => self.is_durable(written).await,
            None => true,
        };
        if !promises.is_quorum || !is_durable_here {
            return Acquisition::Unavailable;
        }
        let mut index = self.index.lock().unwrap();
        let ledger = index.ledgers.entry(program).or_default();
        ledger.merge(&promises.entries, now_ms, 0);
        // This disk may have promised another store a higher epoch meanwhile.
        if ledger.promised != epoch {
            return Acquisition::Rejected;
        }
        owned.epoch = Some(epoch);
        owned.refreshed_at_us = self.runtime.now();
        owned.promised_by = promises.promised_by;
        owned.promised_by.insert(self.own_disk.clone());
        Acquisition::Acquired
    }

    async fn gather_promises(
        self: &Arc<Self>,
        replicas: &StoreReplicas,
        record: LedgerRecord,
        deadline_us: u64,
    ) -> Promises {
        let mut order = self
            .stores
            .order(&record.program, replicas, Some(&self.own_disk));
        order.retain(|disk| *disk != self.own_disk);
        let operation = TurnLogOperation::AcquireLedger { ledger: record };
        let request = self.requester(replicas.layout_version, operation, deadline_us);
        let is_enough = |promised: &BTreeSet<String>| {
            replicas.is_read_quorum(|disk| promised.contains(disk) || disk == self.own_disk)
        };
        let mut entries: Vec<(String, LedgerEntry)> = vec![];
        let mut highest_rejected = Ballot::default();
        let on_response = |_: &str, response| match response {
            TurnLogResponse::LedgerAcquired(known) => {
                entries.extend(known);
                GatherStep::Accept
            }
            TurnLogResponse::StaleEpoch(epoch) => {
                highest_rejected = highest_rejected.max(epoch);
                GatherStep::Stop
            }
            _ => GatherStep::Reject,
        };
        let outcome = self
            .stores
            .gather(
                Gather {
                    order,
                    is_broadcast: true,
                    layout_version: replicas.layout_version,
                    deadline_us,
                },
                request,
                is_enough,
                on_response,
            )
            .await;
        Promises {
            entries,
            highest_rejected,
            promised_by: outcome.accepted,
            is_quorum: outcome.is_enough,
            newer_layout: outcome.newer_layout,
        }
    }
}
