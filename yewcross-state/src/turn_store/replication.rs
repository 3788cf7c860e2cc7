//! Handles the requests that every replica serves for other stores and proxies.
//!
//! The layout is checked under the index's lock, so that anti-entropy for a newer layout includes all
//! records accepted under the older one.

use crate::segment_log::LogRecord;
use crate::turn_store::TurnStore;
use crate::turn_store::history_limit::HistoryLimit;
use crate::turn_store::index::TurnIndex;
use async_channel::Receiver;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::{Relaxed, SeqCst};
use yewcross_common::constants::PEER_REQUEST_TIMEOUT;
use yewcross_common::register::Ballot;
use yewcross_common::turn_log::epoch::{epoch_owner_id, owner_of};
use yewcross_common::turn_log::{LedgerRecord, StoredTurn, TurnLogOperation, TurnLogResponse};

impl TurnStore {
    pub(super) fn find_history(
        &self,
        layout_version: u64,
        id: &str,
        limit: HistoryLimit,
    ) -> TurnLogResponse {
        let index = self.index.lock().unwrap();
        if layout_version < self.layout_version() {
            return TurnLogResponse::NewerLayout(self.layout_version());
        }
        let turns = index.history(id, limit).turns;
        if !turns.is_empty() {
            TurnLogResponse::History(turns)
        } else if self.recovery_pending.load(SeqCst) {
            TurnLogResponse::Unavailable
        } else {
            TurnLogResponse::NotStored
        }
    }

    pub(super) fn contains_turns(&self, ids: &[u128]) -> TurnLogResponse {
        let index = self.index.lock().unwrap();
        TurnLogResponse::Contains(ids.iter().map(|id| index.turns.contains_key(id)).collect())
    }

    /// Promises the record's epoch unless a higher one has been promised, and returns all entries of
    /// the ledger.
    pub(super) async fn promise_epoch(
        self: &Arc<Self>,
        layout_version: u64,
        record: LedgerRecord,
    ) -> TurnLogResponse {
        let now_ms = self.clock_ms();
        let (written, entries) = {
            let mut index = self.index.lock().unwrap();
            if layout_version < self.layout_version() {
                return TurnLogResponse::NewerLayout(self.layout_version());
            }
            if self.recovery_pending.load(SeqCst) {
                return TurnLogResponse::Unavailable;
            }
            let ledger = index.ledgers.entry(record.program.clone()).or_default();
            if record.epoch < ledger.promised {
                self.counters.stale_epochs.fetch_add(1, Relaxed);
                return TurnLogResponse::StaleEpoch(ledger.promised);
            }
            // A repeated request appends no record, and waits only for the writes already queued.
            let is_repeated = ledger.promised == record.epoch && record.entries.is_empty();
            ledger.promised = record.epoch;
            ledger.merge(&record.entries, now_ms, record.retain_ms);
            let entries = ledger.to_record("").entries;
            let records = if is_repeated {
                vec![]
            } else {
                vec![LogRecord::Ledger {
                    record,
                    changed_at_ms: now_ms,
                }]
            };
            (self.append(records), entries)
        };
        self.respond_when_durable(written, TurnLogResponse::LedgerAcquired(entries))
            .await
    }

    /// Adds an owner's entries only if their epoch is the one promised on this disk. A disk that lost
    /// the promise or never made it must not count towards the owner's quorum.
    pub(super) async fn append_entries(
        self: &Arc<Self>,
        layout_version: u64,
        record: LedgerRecord,
    ) -> TurnLogResponse {
        let now_ms = self.clock_ms();
        let written = {
            let mut index = self.index.lock().unwrap();
            if layout_version < self.layout_version() {
                return TurnLogResponse::NewerLayout(self.layout_version());
            }
            let promised = index
                .ledgers
                .get(&record.program)
                .map(|ledger| ledger.promised)
                .unwrap_or_default();
            let Some(ledger) = index
                .ledgers
                .get_mut(&record.program)
                .filter(|ledger| ledger.promised == record.epoch)
            else {
                self.counters.stale_epochs.fetch_add(1, Relaxed);
                return TurnLogResponse::StaleEpoch(promised);
            };
            ledger.merge(&record.entries, now_ms, record.retain_ms);
            self.append(vec![LogRecord::Ledger {
                record,
                changed_at_ms: now_ms,
            }])
        };
        self.respond_when_durable(written, TurnLogResponse::Ok)
            .await
    }

    /// Forwards the end of a turn to the ledger's owner if the sender addressed it to a different
    /// owner.
    pub(super) fn forward_to_owner(self: &Arc<Self>, record: &LedgerRecord) {
        let Some(owner) = self.promised_epoch(&record.program).map(owner_of) else {
            return;
        };
        let replicas = self.stores.replicas();
        let owner_disk = replicas.all().into_iter().find(|disk| {
            epoch_owner_id(disk) == owner
                && *disk != self.own_disk
                && owner != owner_of(record.epoch)
        });
        let Some(disk) = owner_disk else { return };
        self.counters.forwarded.fetch_add(1, Relaxed);
        let store = self.clone();
        let mut record = record.clone();
        record.epoch.proposer_id = owner;
        self.runtime.spawn(async move {
            let operation = TurnLogOperation::StoreTurns {
                rows: vec![],
                ledger: Some(record),
            };
            // Best effort: until the owner receives the end of the turn, it counts the turn at its
            // maximum.
            let _ = store
                .stores
                .request(
                    &disk,
                    replicas.layout_version,
                    &operation,
                    PEER_REQUEST_TIMEOUT,
                )
                .await;
        });
    }

    /// Stores turns, oldest first, and ledger entries that require no epoch.
    pub async fn store_records(
        self: &Arc<Self>,
        layout_version: u64,
        turns: Vec<StoredTurn>,
        ledgers: Vec<LedgerRecord>,
    ) -> TurnLogResponse {
        let now_ms = self.clock_ms();
        self.counters.writes.fetch_add(1, Relaxed);
        let written = {
            let mut index = self.index.lock().unwrap();
            if layout_version < self.layout_version() {
                return TurnLogResponse::NewerLayout(self.layout_version());
            }
            if !turns.is_empty() && index.turn_bytes > self.turn_bytes_limit {
                return TurnLogResponse::Unavailable;
            }
            if let Some(parent) = missing_parent(&index, &turns) {
                return TurnLogResponse::MissingParent(parent.into());
            }
            // Turns are added to the index only once they are durable.
            let mut records: Vec<LogRecord> = turns
                .iter()
                .filter(|stored| index.get(&stored.turn.id).is_none())
                .cloned()
                .map(LogRecord::Turn)
                .collect();
            for mut record in ledgers {
                record.epoch = Ballot::default();
                index
                    .ledgers
                    .entry(record.program.clone())
                    .or_default()
                    .merge(&record.entries, now_ms, record.retain_ms);
                records.push(LogRecord::Ledger {
                    record,
                    changed_at_ms: now_ms,
                });
            }
            self.append(records)
        };
        self.respond_when_durable(written, TurnLogResponse::Ok)
            .await
    }

    /// Returns `response` once the append is durable, `Unavailable` if it fails or times out.
    async fn respond_when_durable(
        &self,
        written: Receiver<bool>,
        response: TurnLogResponse,
    ) -> TurnLogResponse {
        if self.is_durable(written).await {
            response
        } else {
            TurnLogResponse::Unavailable
        }
    }
}

/// The first parent of these turns that is neither indexed nor earlier in the list.
fn missing_parent<'a>(index: &TurnIndex, turns: &'a [StoredTurn]) -> Option<&'a str> {
    let mut added: BTreeSet<&str> = BTreeSet::new();
    for stored in turns {
        let parent = stored.turn.prev.as_str();
        if !parent.is_empty() && !added.contains(parent) && index.get(parent).is_none() {
            return Some(parent);
        }
        added.insert(&stored.turn.id);
    }
    None
}
