//! Stores a completed turn and the ledger entry for its tokens on a write quorum of disks.

use crate::buffer_memory::Reservation;
use crate::constants::{
    HISTORY_PAGE_BYTES, LEDGER_RETENTION_MS, PEER_REQUEST_TIMEOUT, SMALL_BUFFER_BYTES,
    STORE_HEDGE_DELAY, STORE_RETRY_DELAY,
};
use crate::hash::hash_128;
use crate::runtime::BoxFuture;
use crate::turn_log::client::Inner;
use crate::turn_log::client::cache::ChainLink;
use crate::turn_log::client::chain_reader::ChainRange;
use crate::turn_log::client::settlement::SettleOnDrop;
use crate::turn_log::epoch::epoch_owner_id;
use crate::turn_log::gather::{Gather, GatherStep};
use crate::turn_log::messages::{
    LedgerEntry, LedgerRecord, StoredTurn, TurnLogOperation, TurnLogResponse,
};
use crate::turn_log::replicas::StoreReplicas;
use crate::turn_log::{OpenTurn, OpenTurnError, Turn};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

/// Longest wait, in us, for the response of one disk, which may also have to store the chain before
/// the turn.
const WRITE_TIMEOUT_US: u64 = if PEER_REQUEST_TIMEOUT > 4 * STORE_HEDGE_DELAY {
    PEER_REQUEST_TIMEOUT
} else {
    4 * STORE_HEDGE_DELAY
};

/// Copies of a turn while it is sent to a disk: the encoded request, which may have up to twice its size,
/// and two of its frame.
const WRITE_COPIES: usize = 4;

/// The largest share of the memory for buffers that the copies of a turn may reserve, as a divisor.
const WRITE_MEMORY_DIVISOR: usize = 8;

/// A turn to store and the chain before it, oldest first.
pub(super) struct TurnWithChain {
    stored: StoredTurn,
    chain: Vec<ChainLink>,
}

/// The turn and ledger entry to write, and the deadline.
#[derive(Clone)]
pub(super) struct TurnWrite {
    pub(super) turn: Option<Arc<TurnWithChain>>,
    pub(super) ledger: Option<LedgerRecord>,
    pub(super) deadline_us: u64,
}

impl TurnWrite {
    /// The request that stores the turn after `chain`, which holds the end of the chain before it.
    fn operation(&self, mut chain: Vec<StoredTurn>) -> TurnLogOperation {
        let turn = self.turn.iter().map(|turn| turn.stored.clone());
        chain.extend(turn);
        TurnLogOperation::StoreTurns {
            rows: chain,
            ledger: self.ledger.clone(),
        }
    }
}

/// The ledger record with the final entry of a turn that has ended.
pub(super) fn final_ledger_entry(
    open: &OpenTurn,
    used_tokens: u64,
    retain_ms: u64,
) -> LedgerRecord {
    LedgerRecord {
        program: open.program.clone(),
        entries: vec![(open.turn.clone(), LedgerEntry::Done(used_tokens))],
        retain_ms: retain_ms.max(LEDGER_RETENTION_MS),
        ..Default::default()
    }
}

impl Inner {
    pub(super) async fn finish(
        self: &Arc<Self>,
        open: OpenTurn,
        turn: Turn,
        used_tokens: u64,
        deadline_us: u64,
    ) -> Result<(), OpenTurnError> {
        let stored = StoredTurn {
            turn: Arc::new(turn),
            program: open.program.clone(),
            ended_at_ms: self.stores.members.clock().0,
        };
        let chain = self.take_open_chain(&open);
        let ledger = open
            .is_budgeted()
            .then(|| final_ledger_entry(&open, used_tokens, stored.turn.retain_ms));
        self.counters.finishes.fetch_add(1, Relaxed);
        let mut guard = SettleOnDrop::new(self, &open, used_tokens);
        let write = TurnWrite {
            turn: Some(Arc::new(TurnWithChain {
                stored: stored.clone(),
                chain,
            })),
            ledger,
            deadline_us,
        };
        let holders = self.write(&open, write, &mut BTreeSet::new()).await;
        let is_owner_notified = self
            .cached_owner(&open.program)
            .is_none_or(|disk| holders.contains(&disk));
        if holders.is_empty() {
            self.counters.not_stored.fetch_add(1, Relaxed);
            return Err(OpenTurnError::Unavailable);
        }
        let cached = StoredTurn {
            turn: Arc::new(stored.turn.detached()),
            ..stored
        };
        let mut cache = self.cache.lock().unwrap();
        cache.put(cached, holders.into_iter().collect());
        drop(cache);
        if is_owner_notified {
            guard.disarm();
        }
        Ok(())
    }

    /// The chain before an open turn, oldest first.
    fn take_open_chain(&self, open: &OpenTurn) -> Vec<ChainLink> {
        let mut cache = self.cache.lock().unwrap();
        let chain = cache.open_chains.pop(&open.turn);
        chain.unwrap_or_else(|| {
            let turns = cache.history(&open.prev, "").turns;
            turns.iter().rev().map(ChainLink::of).collect()
        })
    }

    /// Writes to disks until a write quorum has the record. Returns the disks that have it, or an empty
    /// set if the deadline passed first. The disks in `written` already have the record; each further
    /// disk that stores it is added.
    pub(super) async fn write(
        self: &Arc<Self>,
        open: &OpenTurn,
        write: TurnWrite,
        written: &mut BTreeSet<String>,
    ) -> BTreeSet<String> {
        let runtime = &self.stores.runtime;
        while runtime.now() < write.deadline_us {
            let replicas = self.stores.replicas();
            let layout_version = replicas.layout_version;
            let owner = self
                .cached_owner(&open.program)
                .filter(|disk| replicas.contains(disk));
            let gather = Gather {
                order: self.write_order(open, &replicas, owner.as_deref(), written),
                is_broadcast: false,
                layout_version,
                deadline_us: write.deadline_us,
            };
            let request = self.write_requester(&write, layout_version, owner.as_deref());
            let written_before = written.clone();
            let is_enough = |accepted: &BTreeSet<String>| {
                replicas.is_write_quorum(|disk| {
                    accepted.contains(disk) || written_before.contains(disk)
                })
            };
            let on_response = |disk: &str, response| match response {
                TurnLogResponse::Ok => {
                    written.insert(disk.into());
                    GatherStep::Accept
                }
                _ => GatherStep::Reject,
            };
            let outcome = self
                .stores
                .gather(gather, request, is_enough, on_response)
                .await;
            if outcome.is_enough {
                return written.clone();
            }
            if outcome.newer_layout > layout_version {
                self.stores.catch_up(outcome.newer_layout).await;
            } else {
                runtime
                    .sleep(STORE_RETRY_DELAY + runtime.random() % STORE_RETRY_DELAY)
                    .await;
            }
        }
        BTreeSet::new()
    }

    /// The disks that still need the write, in the order of the requests: the owner first, then the
    /// disks that store the previous turn and therefore do not need the chain, both only if they are
    /// prompt, and then the others.
    fn write_order(
        &self,
        open: &OpenTurn,
        replicas: &StoreReplicas,
        owner: Option<&str>,
        written: &BTreeSet<String>,
    ) -> Vec<String> {
        let holders = self.cache.lock().unwrap().holders(&open.prev);
        let ranked = self.stores.order(open.rank_key(), replicas, owner);
        let preferred = owner
            .map(str::to_string)
            .into_iter()
            .chain(holders)
            .filter(|disk| self.stores.is_prompt(disk) && replicas.contains(disk));
        let mut order: Vec<String> = vec![];
        for disk in preferred.chain(ranked) {
            if !order.contains(&disk) && !written.contains(&disk) {
                order.push(disk);
            }
        }
        order
    }

    /// Returns a function that writes to a disk. The ledger's epoch names the cached owner: a store
    /// that has recorded another owner forwards the entries to that one.
    fn write_requester(
        self: &Arc<Self>,
        write: &TurnWrite,
        layout_version: u64,
        owner: Option<&str>,
    ) -> impl Fn(&str) -> BoxFuture<'static, TurnLogResponse> + use<> {
        let inner = self.clone();
        let mut write = write.clone();
        if let Some(ledger) = &mut write.ledger {
            ledger.epoch.proposer_id = owner.map_or(0, epoch_owner_id);
        }
        move |disk: &str| -> BoxFuture<'static, TurnLogResponse> {
            let inner = inner.clone();
            let disk = disk.to_string();
            let write = write.clone();
            Box::pin(async move { inner.write_to(&disk, layout_version, write).await })
        }
    }

    /// Writes to one disk. If the disk lacks a part of the chain before the turn, the chain is stored
    /// there, too.
    async fn write_to(&self, disk: &str, layout_version: u64, write: TurnWrite) -> TurnLogResponse {
        let addressed = AddressedDisk {
            disk,
            layout_version,
            deadline_us: write.deadline_us,
        };
        let response = self.store(&addressed, &write.operation(vec![])).await;
        match (&response, &write.turn) {
            (TurnLogResponse::MissingParent(_), Some(turn)) => {
                self.write_with_chain(&addressed, &write, turn).await
            }
            _ => response,
        }
    }

    /// Stores the chain before a turn on a disk, in pages, and the turn with the last page.
    async fn write_with_chain(
        &self,
        addressed: &AddressedDisk<'_>,
        write: &TurnWrite,
        turn: &TurnWithChain,
    ) -> TurnLogResponse {
        let pages = pages_before(turn);
        let stored_pages = match pages.len() {
            0 | 1 => 0,
            // The last page is sent in any case, with the turn.
            count => self
                .count_stored_pages(addressed, &pages)
                .await
                .min(count - 1),
        };
        let mut before = match stored_pages {
            0 => "",
            count => last_id(pages[count - 1]),
        };
        for (index, page) in pages.iter().enumerate().skip(stored_pages) {
            let range = ChainRange {
                last: last_id(page),
                before,
                rank_key: &turn.stored.program,
            };
            before = range.last;
            let Ok(mut read) = self.read_chain(range, write.deadline_us).await else {
                return TurnLogResponse::Unavailable;
            };
            read.turns.reverse();
            if index + 1 == pages.len() {
                return self.store(addressed, &write.operation(read.turns)).await;
            }
            let operation = TurnLogOperation::StoreTurns {
                rows: read.turns,
                ledger: None,
            };
            let response = self.store(addressed, &operation).await;
            if response != TurnLogResponse::Ok {
                return response;
            }
        }
        TurnLogResponse::Unavailable
    }

    /// Number of the first pages whose turns a disk has stored.
    async fn count_stored_pages(
        &self,
        addressed: &AddressedDisk<'_>,
        pages: &[&[ChainLink]],
    ) -> usize {
        let last_ids = pages.iter().map(|page| last_id(page));
        let operation = TurnLogOperation::ContainsTurns {
            ids: last_ids.map(|id| hash_128(id.as_bytes())).collect(),
        };
        match self.request_write(addressed, &operation).await {
            TurnLogResponse::Contains(is_stored) => {
                is_stored.iter().take_while(|is_stored| **is_stored).count()
            }
            _ => 0,
        }
    }

    /// Sends turns to a disk, in reserved memory.
    async fn store(
        &self,
        addressed: &AddressedDisk<'_>,
        operation: &TurnLogOperation,
    ) -> TurnLogResponse {
        let bytes = match operation {
            TurnLogOperation::StoreTurns { rows, .. } => rows.iter().map(StoredTurn::bytes).sum(),
            _ => 0,
        };
        let mut memory = Reservation::new(&self.memory).with_precedence();
        if bytes > SMALL_BUFFER_BYTES {
            let copied_bytes =
                (WRITE_COPIES * bytes).min(self.memory.limit() / WRITE_MEMORY_DIVISOR);
            let runtime = &self.stores.runtime;
            if !memory
                .grow_until(runtime, copied_bytes, addressed.deadline_us)
                .await
            {
                return TurnLogResponse::Unavailable;
            }
        }
        self.request_write(addressed, operation).await
    }

    async fn request_write(
        &self,
        addressed: &AddressedDisk<'_>,
        operation: &TurnLogOperation,
    ) -> TurnLogResponse {
        let left_us = addressed
            .deadline_us
            .saturating_sub(self.stores.runtime.now());
        let timeout_us = left_us.min(WRITE_TIMEOUT_US);
        self.stores
            .request(
                addressed.disk,
                addressed.layout_version,
                operation,
                timeout_us,
            )
            .await
            .unwrap_or(TurnLogResponse::Unavailable)
    }
}

/// The disk that a write is sent to, under a layout version and within a deadline.
struct AddressedDisk<'a> {
    disk: &'a str,
    layout_version: u64,
    deadline_us: u64,
}

/// The chain before a turn, oldest first, in pages. The last one leaves room for the turn itself where
/// that is possible.
fn pages_before(turn: &TurnWithChain) -> Vec<&[ChainLink]> {
    let chain = turn.chain.as_slice();
    let (mut pages, mut start, mut bytes) = (vec![], 0, 0);
    for (index, link) in chain.iter().enumerate() {
        let following_bytes = match chain.get(index + 1) {
            Some(_) => 0,
            None => turn.stored.bytes(),
        };
        let is_full = bytes + link.bytes + following_bytes > HISTORY_PAGE_BYTES;
        if is_full && index > start {
            pages.push(&chain[start..index]);
            (start, bytes) = (index, 0);
        }
        bytes += link.bytes;
    }
    if start < chain.len() {
        pages.push(&chain[start..]);
    }
    pages
}

/// Id of the last turn of a page, which is not empty.
fn last_id(page: &[ChainLink]) -> &str {
    page.last().map_or("", |link| &link.id)
}
