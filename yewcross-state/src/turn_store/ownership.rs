//! Ownership of a program's ledger.
//!
//! One owner at a time reserves tokens, under an epoch that a read quorum of the disks has promised. A
//! disk that has promised an epoch rejects entries under any other epoch. As a read quorum overlaps
//! every write quorum, the entries returned with the promises include all that an earlier owner can
//! have acknowledged.

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

/// State of this store's ownership of a program's ledger.
#[derive(Default)]
pub(super) struct OwnedLedger {
    /// The epoch under which this store owns the ledger; `None` if it does not own it.
    pub(super) epoch: Option<Ballot>,
    /// Disks that have promised the epoch.
    pub(super) promised_by: BTreeSet<String>,
    /// The highest epoch number known to be promised to another store.
    pub(super) highest_number: u64,
    /// Time at which a read quorum last returned its entries, us.
    pub(super) refreshed_at_us: u64,
}

/// The lock is held while an epoch is acquired or refreshed, and until a new entry is in the index.
pub(super) type SharedOwnership = Arc<futures_util::lock::Mutex<OwnedLedger>>;

/// Result of an attempt to acquire or refresh an epoch.
pub(super) enum Acquisition {
    Acquired,
    /// A disk has promised a higher epoch.
    Rejected,
    /// A replica uses this newer layout.
    NewerLayout(u64),
    /// Too few disks responded.
    Unavailable,
}

/// Promises received from other disks.
struct Promises {
    entries: Vec<(String, LedgerEntry)>,
    /// The highest epoch that a disk reported when it rejected the request.
    highest_rejected: Ballot,
    promised_by: BTreeSet<String>,
    is_quorum: bool,
    newer_layout: u64,
}

impl OwnedLedger {
    /// Whether the epoch is still the one promised on this disk, and by a read quorum of the
    /// replicas.
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

    /// Acquires the ledger under a new epoch, together with the entries of `record`.
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

    /// Requests a promise of the record's epoch from all disks, and merges the entries that they
    /// return. `written` resolves once the record is durable on this disk; `None` if there is nothing
    /// to write.
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
        // This disk may have promised a higher epoch to another store in the meantime.
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
            TurnLogResponse::LedgerAcquired(returned) => {
                entries.extend(returned);
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
