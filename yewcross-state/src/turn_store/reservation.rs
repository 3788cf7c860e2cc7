//! Reserves a turn's tokens in its program's budget.
//!
//! A reservation is acknowledged once this store, as the ledger's owner, has found that it fits the
//! budget, and a write quorum of the disks has stored its entry. An unacknowledged reservation may
//! be on any disk: it is released, or counts at its maximum until its turn's end is recorded.

use crate::segment_log::LogRecord;
use crate::turn_store::TurnStore;
use crate::turn_store::open_turn::OpenTurnRequest;
use crate::turn_store::ownership::{Acquisition, OwnedLedger, SharedOwnership};
use async_channel::Receiver;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::{Relaxed, SeqCst};
use yewcross_common::constants::{
    LEDGER_REFRESH_INTERVAL, LEDGER_RETENTION_MS, PEER_REQUEST_TIMEOUT, STORE_RETRY_DELAY,
};
use yewcross_common::register::Ballot;
use yewcross_common::turn_log::{
    Gather, GatherOutcome, GatherStep, LedgerEntry, LedgerRecord, StoreReplicas, TurnLogOperation,
    TurnLogResponse,
};

/// Maximum number of attempts to release a reservation on a write quorum.
const RELEASE_ATTEMPTS: usize = 5;

/// A request to reserve tokens for one turn.
pub(super) struct Reservation<'a> {
    program: &'a str,
    turn: &'a str,
    max_output_tokens: u64,
    budget: u64,
    take_over: bool,
    deadline_us: u64,
}

impl<'a> Reservation<'a> {
    pub(super) fn new(request: &'a OpenTurnRequest, budget: u64) -> Reservation<'a> {
        Reservation {
            program: &request.program,
            turn: &request.turn,
            max_output_tokens: request.max_output_tokens,
            budget,
            take_over: request.take_over,
            deadline_us: request.deadline_us,
        }
    }

    fn entry(&self) -> LedgerEntry {
        LedgerEntry::Open(self.max_output_tokens)
    }

    /// A record of the program's ledger, with the reservation's entry.
    fn record(&self, epoch: Ballot) -> LedgerRecord {
        LedgerRecord {
            entries: vec![(self.turn.to_string(), self.entry())],
            ..self.empty_record(epoch)
        }
    }

    fn empty_record(&self, epoch: Ballot) -> LedgerRecord {
        LedgerRecord {
            program: self.program.into(),
            epoch,
            entries: vec![],
            retain_ms: LEDGER_RETENTION_MS,
        }
    }
}

/// Result of one attempt to reserve.
enum Attempt {
    Finished(TurnLogResponse),
    /// Repeat once this layout version has been received.
    CatchUp(u64),
    /// Repeat after a random backoff: another store is acquiring the same ledger.
    BackOff,
    /// Repeat immediately.
    Retry,
}

/// Result of adding the entry on this disk.
enum LocalEntry {
    /// In the index, and queued for the log.
    Added {
        record: LedgerRecord,
        written: Receiver<bool>,
    },
    /// This disk has promised another epoch in the meantime.
    EpochChanged,
    /// An earlier unacknowledged reservation of the same turn does not fit the budget.
    Overdrawn,
    Rejected(TurnLogResponse),
}

/// An entry that was added on this disk and has to be replicated.
struct AddedEntry {
    record: LedgerRecord,
    written: Receiver<bool>,
    /// Disks that have promised the entry's epoch.
    promised_by: BTreeSet<String>,
}

impl TurnStore {
    /// Reserves the tokens. Acquires the program's ledger first if this store does not own it.
    pub(super) async fn reserve(
        self: &Arc<Self>,
        reservation: &Reservation<'_>,
    ) -> TurnLogResponse {
        let ownership = self.ownership_of(reservation.program);
        while self.runtime.now() < reservation.deadline_us {
            match self.try_reserve(&ownership, reservation).await {
                Attempt::Finished(response) => return response,
                Attempt::CatchUp(layout_version) => self.stores.catch_up(layout_version).await,
                Attempt::BackOff => {
                    let backoff_us =
                        STORE_RETRY_DELAY / 4 + self.runtime.random() % STORE_RETRY_DELAY;
                    self.runtime.sleep(backoff_us).await;
                }
                Attempt::Retry => {}
            }
        }
        TurnLogResponse::Unavailable
    }

    /// Makes one attempt to reserve. The ownership's lock is released before the entry is replicated,
    /// so that concurrent reservations of one program share batches of the log.
    async fn try_reserve(
        self: &Arc<Self>,
        ownership: &SharedOwnership,
        reservation: &Reservation<'_>,
    ) -> Attempt {
        let mut owned = ownership.lock().await;
        let replicas = self.stores.replicas();
        if self.runtime.now() >= reservation.deadline_us
            || !replicas.contains(&self.own_disk)
            || self.recovery_pending.load(SeqCst)
        {
            return Attempt::Finished(TurnLogResponse::Unavailable);
        }
        let epoch = self.promised_epoch(reservation.program).unwrap_or_default();
        if !owned.is_valid(epoch, &replicas) {
            return self
                .reserve_with_acquisition(&mut owned, &replicas, reservation)
                .await;
        }
        if self.exceeds_budget(reservation)
            && self.runtime.now() >= owned.refreshed_at_us + LEDGER_REFRESH_INTERVAL
        {
            return self
                .refresh_entries(&mut owned, &replicas, reservation, epoch)
                .await;
        }
        let (record, written) = match self.add_entry(reservation, epoch) {
            LocalEntry::Added { record, written } => (record, written),
            LocalEntry::EpochChanged => return Attempt::Retry,
            LocalEntry::Rejected(response) => return Attempt::Finished(response),
            LocalEntry::Overdrawn => {
                drop(owned);
                self.release_reservation(reservation.program, reservation.turn);
                return Attempt::Finished(TurnLogResponse::Unavailable);
            }
        };
        let promised_by = owned.promised_by.clone();
        drop(owned);
        let entry = AddedEntry {
            record,
            written,
            promised_by,
        };
        self.replicate_entry(ownership, &replicas, entry, reservation.deadline_us)
            .await
    }

    /// Acquires the ledger and replicates the reservation's entry in the same request. The budget can
    /// only be checked afterwards, against the entries that the disks returned.
    async fn reserve_with_acquisition(
        self: &Arc<Self>,
        owned: &mut OwnedLedger,
        replicas: &StoreReplicas,
        reservation: &Reservation<'_>,
    ) -> Attempt {
        if let Some(disk) = self.live_owner(reservation.program, reservation.take_over) {
            return Attempt::Finished(TurnLogResponse::Owner(disk));
        }
        let record = reservation.record(Ballot::default());
        match self
            .acquire_ownership(owned, replicas, record, reservation.deadline_us)
            .await
        {
            Acquisition::Acquired => {}
            Acquisition::Unavailable => return Attempt::Finished(TurnLogResponse::Unavailable),
            Acquisition::NewerLayout(version) => return Attempt::CatchUp(version),
            Acquisition::Rejected => return Attempt::BackOff,
        }
        let (spent, entry) = {
            let index = self.index.lock().unwrap();
            index
                .ledgers
                .get(reservation.program)
                .map(|ledger| (ledger.spent, ledger.entries.get(reservation.turn).copied()))
                .unwrap_or_default()
        };
        if entry != Some(reservation.entry()) {
            return Attempt::Finished(TurnLogResponse::Unavailable);
        }
        if spent > reservation.budget {
            self.release_reservation(reservation.program, reservation.turn);
            return Attempt::Finished(TurnLogResponse::BudgetSpent);
        }
        Attempt::Finished(TurnLogResponse::Ok)
    }

    /// Whether the reservation exceeds the budget according to the entries on this disk.
    fn exceeds_budget(&self, reservation: &Reservation<'_>) -> bool {
        self.index
            .lock()
            .unwrap()
            .ledgers
            .get(reservation.program)
            .is_some_and(|ledger| {
                ledger.spent + reservation.max_output_tokens > reservation.budget
                    && !ledger.entries.contains_key(reservation.turn)
            })
    }

    /// Merges turn ends that were recorded only on other disks. Done before a reservation is
    /// rejected, because an ended turn may use fewer tokens than it had reserved.
    async fn refresh_entries(
        self: &Arc<Self>,
        owned: &mut OwnedLedger,
        replicas: &StoreReplicas,
        reservation: &Reservation<'_>,
        epoch: Ballot,
    ) -> Attempt {
        let record = reservation.empty_record(epoch);
        match self
            .confirm_epoch(owned, replicas, record, None, reservation.deadline_us)
            .await
        {
            Acquisition::Acquired | Acquisition::Rejected => Attempt::Retry,
            Acquisition::Unavailable => Attempt::Finished(TurnLogResponse::Unavailable),
            Acquisition::NewerLayout(version) => Attempt::CatchUp(version),
        }
    }

    /// Adds the entry on this disk if it fits the budget and `epoch` is still the promised one.
    fn add_entry(self: &Arc<Self>, reservation: &Reservation<'_>, epoch: Ballot) -> LocalEntry {
        let record = reservation.record(epoch);
        let now_ms = self.clock_ms();
        let mut index = self.index.lock().unwrap();
        let Some(ledger) = index
            .ledgers
            .get_mut(reservation.program)
            .filter(|ledger| ledger.promised == epoch)
        else {
            return LocalEntry::EpochChanged;
        };
        let budget = reservation.budget;
        let earlier = ledger.entries.get(reservation.turn).copied();
        match earlier {
            Some(LedgerEntry::Done(_)) => {
                return LocalEntry::Rejected(TurnLogResponse::Unavailable);
            }
            // Left by an attempt to open the turn that was not acknowledged. Its reservation was never
            // checked against the budget.
            Some(LedgerEntry::Open(_)) if ledger.spent > budget => return LocalEntry::Overdrawn,
            None if ledger.spent + reservation.max_output_tokens > budget => {
                return LocalEntry::Rejected(TurnLogResponse::BudgetSpent);
            }
            _ => ledger.merge(&record.entries, now_ms, record.retain_ms),
        }
        if earlier.is_some() && ledger.spent > budget {
            return LocalEntry::Overdrawn;
        }
        let written = self.append(vec![LogRecord::Ledger {
            record: record.clone(),
            changed_at_ms: now_ms,
        }]);
        LocalEntry::Added { record, written }
    }

    /// Replicates an entry to a write quorum. Fast disks come first, and among these the disks that
    /// have promised its epoch.
    async fn replicate_entry(
        self: &Arc<Self>,
        ownership: &SharedOwnership,
        replicas: &StoreReplicas,
        entry: AddedEntry,
        deadline_us: u64,
    ) -> Attempt {
        self.counters.reservations.fetch_add(1, Relaxed);
        let epoch = entry.record.epoch;
        let (outcome, highest_rejected) = self
            .gather_appends(replicas, entry.record, &entry.promised_by, deadline_us)
            .await;
        if outcome.is_enough {
            return Attempt::Finished(if self.is_durable(entry.written).await {
                TurnLogResponse::Ok
            } else {
                TurnLogResponse::Unavailable
            });
        }
        if outcome.newer_layout > replicas.layout_version {
            return Attempt::CatchUp(outcome.newer_layout);
        }
        // Another store took over the ledger, or too many disks lost the promise. The next attempt
        // acquires the ledger again, unless another store owns it.
        let mut owned = ownership.lock().await;
        if owned.epoch == Some(epoch) {
            owned.epoch = None;
            owned.highest_number = owned.highest_number.max(highest_rejected.number);
        }
        drop(owned);
        if highest_rejected == Ballot::default() {
            return Attempt::Finished(TurnLogResponse::Unavailable);
        }
        Attempt::Retry
    }

    /// Sends the entries to the other disks until a write quorum has appended them. Also returns the
    /// highest epoch that a disk reported when it rejected them.
    async fn gather_appends(
        self: &Arc<Self>,
        replicas: &StoreReplicas,
        record: LedgerRecord,
        promised_by: &BTreeSet<String>,
        deadline_us: u64,
    ) -> (GatherOutcome, Ballot) {
        let epoch = record.epoch;
        let mut order = self
            .stores
            .order(&record.program, replicas, Some(&self.own_disk));
        order.retain(|disk| *disk != self.own_disk);
        order
            .sort_by_cached_key(|disk| (!self.stores.is_prompt(disk), !promised_by.contains(disk)));
        let operation = TurnLogOperation::AppendEntries { ledger: record };
        let request = self.requester(replicas.layout_version, operation, deadline_us);
        let is_enough = |appended: &BTreeSet<String>| {
            replicas.is_write_quorum(|disk| appended.contains(disk) || disk == self.own_disk)
        };
        let mut highest_rejected = Ballot::default();
        let on_response = |_: &str, response| match response {
            TurnLogResponse::Ok => GatherStep::Accept,
            TurnLogResponse::StaleEpoch(promised) => {
                highest_rejected = highest_rejected.max(promised);
                if promised > epoch {
                    GatherStep::Stop
                } else {
                    GatherStep::Reject
                }
            }
            _ => GatherStep::Reject,
        };
        let outcome = self
            .stores
            .gather(
                Gather {
                    order,
                    is_broadcast: false,
                    layout_version: replicas.layout_version,
                    deadline_us,
                },
                request,
                is_enough,
                on_response,
            )
            .await;
        (outcome, highest_rejected)
    }

    /// Releases an unacknowledged reservation on all disks that may hold it, in the background.
    pub(super) fn release_reservation(self: &Arc<Self>, program: &str, turn: &str) {
        let record = LedgerRecord {
            program: program.into(),
            entries: vec![(turn.into(), LedgerEntry::Done(0))],
            retain_ms: LEDGER_RETENTION_MS,
            ..Default::default()
        };
        // Released in the local index immediately, so that the next reservation does not count it.
        self.index
            .lock()
            .unwrap()
            .ledgers
            .entry(record.program.clone())
            .or_default()
            .merge(&record.entries, self.clock_ms(), record.retain_ms);
        let store = self.clone();
        self.runtime.spawn(async move {
            for _ in 0..RELEASE_ATTEMPTS {
                let outcome = store.replicate_release(&record).await;
                if outcome.is_enough {
                    return;
                }
                store.stores.catch_up(outcome.newer_layout).await;
                store.runtime.sleep(STORE_RETRY_DELAY).await;
            }
        });
    }

    async fn replicate_release(self: &Arc<Self>, record: &LedgerRecord) -> GatherOutcome {
        let replicas = self.stores.replicas();
        let layout_version = replicas.layout_version;
        let deadline_us = self.runtime.now() + PEER_REQUEST_TIMEOUT;
        let is_stored_here = self
            .store_records(layout_version, vec![], vec![record.clone()])
            .await
            == TurnLogResponse::Ok;
        let mut order = replicas.all();
        order.retain(|disk| *disk != self.own_disk);
        let operation = TurnLogOperation::StoreTurns {
            rows: vec![],
            ledger: Some(record.clone()),
        };
        let request = self.requester(layout_version, operation, deadline_us);
        let is_enough = |stored: &BTreeSet<String>| {
            replicas.is_write_quorum(|disk| {
                stored.contains(disk) || (is_stored_here && disk == self.own_disk)
            })
        };
        let on_response = |_: &str, response| {
            if response == TurnLogResponse::Ok {
                GatherStep::Accept
            } else {
                GatherStep::Reject
            }
        };
        self.stores
            .gather(
                Gather {
                    order,
                    is_broadcast: true,
                    layout_version,
                    deadline_us,
                },
                request,
                is_enough,
                on_response,
            )
            .await
    }
}
