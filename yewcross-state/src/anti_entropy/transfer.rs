//! Sends turns and ledgers to another disk, in parts of bounded size.

use crate::turn_store::TurnStore;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, SYNC_TIMEOUT, TRANSFER_BATCH_BYTES};
use yewcross_common::turn_log::{LedgerRecord, StoredTurn, TurnLogOperation, TurnLogResponse};

/// Longest wait for a disk that records are transferred to, us: its sync, and the way there and
/// back.
const TRANSFER_TIMEOUT_US: u64 = PEER_REQUEST_TIMEOUT + SYNC_TIMEOUT;

/// Ledgers in one transfer.
const LEDGERS_PER_TRANSFER: usize = 1024;

impl TurnStore {
    /// Transfers all ledgers; whether they are durable there.
    pub(super) async fn transfer_ledgers(self: &Arc<Self>, disk: &str) -> bool {
        let ledgers: Vec<LedgerRecord> = self
            .index
            .lock()
            .unwrap()
            .ledgers
            .iter()
            .map(|(program, ledger)| ledger.to_record(program))
            .collect();
        for part in ledgers.chunks(LEDGERS_PER_TRANSFER) {
            if !self.transfer(disk, vec![], part.to_vec()).await {
                return false;
            }
        }
        true
    }

    /// Transfers turns, each after those before it; whether they are durable there.
    pub(super) async fn transfer_turns(
        self: &Arc<Self>,
        disk: &str,
        turns: Vec<StoredTurn>,
    ) -> bool {
        let mut part = vec![];
        let mut part_bytes = 0;
        let mut remaining = turns.len();
        for stored in turns {
            part_bytes += stored.bytes();
            part.push(stored);
            remaining -= 1;
            if part_bytes >= TRANSFER_BATCH_BYTES || remaining == 0 {
                if !self.transfer(disk, std::mem::take(&mut part), vec![]).await {
                    return false;
                }
                part_bytes = 0;
            }
        }
        true
    }

    async fn transfer(
        self: &Arc<Self>,
        disk: &str,
        rows: Vec<StoredTurn>,
        ledgers: Vec<LedgerRecord>,
    ) -> bool {
        let layout_version = self.stores.replicas().layout_version;
        let count = (rows.len() + ledgers.len()) as u64;
        let operation = TurnLogOperation::TransferRecords { rows, ledgers };
        let response = self
            .stores
            .request(disk, layout_version, &operation, TRANSFER_TIMEOUT_US)
            .await;
        let is_stored = response == Ok(TurnLogResponse::Ok);
        if is_stored {
            self.counters.transferred.fetch_add(count, Relaxed);
        }
        is_stored
    }
}
