//! Stores a completed turn and the ledger entry for its tokens on a write quorum of disks.

use crate::constants::{
    LEDGER_RETENTION_MS, PEER_REQUEST_TIMEOUT, STORE_HEDGE_DELAY, STORE_RETRY_DELAY,
};
use crate::runtime::BoxFuture;
use crate::turn_log::client::Inner;
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

/// Number of requests to one disk: the turn alone, then the turn with the chain before it.
const REQUESTS_PER_DISK: usize = 2;

/// A turn to store and the chain before it, oldest first.
pub(super) struct TurnWithChain {
    stored: StoredTurn,
    chain: Vec<StoredTurn>,
}

/// The turn and ledger entry to write, and the deadline.
#[derive(Clone)]
pub(super) struct TurnWrite {
    pub(super) turn: Option<Arc<TurnWithChain>>,
    pub(super) ledger: Option<LedgerRecord>,
    pub(super) deadline_us: u64,
}

impl TurnWrite {
    fn operation(&self, with_chain: bool) -> TurnLogOperation {
        let mut rows = vec![];
        if let Some(turn) = &self.turn {
            if with_chain {
                rows.extend(turn.chain.iter().cloned());
            }
            rows.push(turn.stored.clone());
        }
        TurnLogOperation::StoreTurns {
            rows,
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
        let mut cache = self.cache.lock().unwrap();
        cache.put(stored, holders.into_iter().collect());
        drop(cache);
        if is_owner_notified {
            guard.disarm();
        }
        Ok(())
    }

    /// The chain before an open turn, oldest first.
    fn take_open_chain(&self, open: &OpenTurn) -> Vec<StoredTurn> {
        let mut cache = self.cache.lock().unwrap();
        let chain = cache.open_chains.pop(&open.turn);
        chain.unwrap_or_else(|| {
            let mut chain = cache.history(&open.prev).turns;
            chain.reverse();
            chain
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

    /// Writes to one disk; repeats the write with the chain before the turn if the disk lacks a part
    /// of the chain.
    async fn write_to(&self, disk: &str, layout_version: u64, write: TurnWrite) -> TurnLogResponse {
        let mut operation = write.operation(false);
        for _ in 0..REQUESTS_PER_DISK {
            let timeout_us = write
                .deadline_us
                .saturating_sub(self.stores.runtime.now())
                .min(WRITE_TIMEOUT_US);
            let response = self
                .stores
                .request(disk, layout_version, &operation, timeout_us)
                .await
                .unwrap_or(TurnLogResponse::Unavailable);
            match response {
                TurnLogResponse::MissingParent(_) => operation = write.operation(true),
                response => return response,
            }
        }
        TurnLogResponse::Unavailable
    }
}
