//! Sends turns and ledgers to another disk, in batches of bounded size.

use crate::turn_store::TurnStore;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, SYNC_TIMEOUT, TRANSFER_BATCH_BYTES};
use yewcross_common::turn_log::{LedgerRecord, StoredTurn, TurnLogOperation, TurnLogResponse};

/// Time-out of a transfer request, us: the network round trip and the sync of the receiving disk.
const TRANSFER_TIMEOUT_US: u64 = PEER_REQUEST_TIMEOUT + SYNC_TIMEOUT;

/// Maximum number of ledgers in one transfer request.
const LEDGERS_PER_TRANSFER: usize = 1024;

impl TurnStore {
    /// Transfers all ledgers to the disk. Returns whether they are durable there.
    pub(super) async fn transfer_ledgers(self: &Arc<Self>, disk: &str) -> bool {
        let ledgers: Vec<LedgerRecord> = self
            .index
            .lock()
            .unwrap()
            .ledgers
            .iter()
            .map(|(program, ledger)| ledger.to_record(program))
            .collect();
        for batch in ledgers.chunks(LEDGERS_PER_TRANSFER) {
            if !self.transfer(disk, vec![], batch.to_vec()).await {
                return false;
            }
        }
        true
    }

    /// Transfers turns, given with each turn after its predecessors, to the disk. Returns whether
    /// they are durable there.
    pub(super) async fn transfer_turns(
        self: &Arc<Self>,
        disk: &str,
        turns: Vec<StoredTurn>,
    ) -> bool {
        let mut batch = vec![];
        let mut batch_bytes = 0;
        let mut remaining = turns.len();
        for stored in turns {
            batch_bytes += stored.bytes();
            batch.push(stored);
            remaining -= 1;
            if batch_bytes >= TRANSFER_BATCH_BYTES || remaining == 0 {
                if !self
                    .transfer(disk, std::mem::take(&mut batch), vec![])
                    .await
                {
                    return false;
                }
                batch_bytes = 0;
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
