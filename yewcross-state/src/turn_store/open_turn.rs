//! Opens a turn: reserves its tokens as the owner of its program's ledger, and collects the history
//! of its parent.

use crate::turn_store::TurnStore;
use crate::turn_store::history_limit::HistoryLimit;
use crate::turn_store::reservation::Reservation;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::{Relaxed, SeqCst};
use yewcross_common::turn_log::epoch::{epoch_owner_id, owner_of};
use yewcross_common::turn_log::{
    Gather, GatherStep, StoredTurn, TurnLogOperation, TurnLogResponse,
};

/// A request to open a turn.
pub(super) struct OpenTurnRequest {
    pub(super) program: String,
    pub(super) turn: String,
    /// Number of tokens to reserve.
    pub(super) max_output_tokens: u64,
    /// Budget of the program, in tokens. `None`: nothing is reserved.
    pub(super) budget: Option<u64>,
    /// Id of the turn whose history is requested; empty for none.
    pub(super) parent: String,
    /// Whether to take over the ledger even from a live owner.
    pub(super) take_over: bool,
    /// How much of the history is returned.
    pub(super) history_limit: HistoryLimit,
    pub(super) deadline_us: u64,
}

/// Result of a history lookup on other stores.
enum Lookup {
    /// Turns of the chain, newest first; not empty.
    Found(Vec<StoredTurn>),
    /// A read quorum of the disks responded that they do not hold the turn.
    NotStored,
    /// A replica uses this newer layout.
    NewerLayout(u64),
    /// Too few disks responded.
    Unavailable,
}

/// The part of a chain that was collected so far.
struct CollectedHistory {
    /// Newest first.
    turns: Vec<StoredTurn>,
    /// Id of the turn before them; empty at the start of the chain.
    next: String,
    limit: HistoryLimit,
    bytes: usize,
    /// Nothing is to be added: the chain has no earlier turn, or its next turn does not fit.
    is_complete: bool,
}

impl CollectedHistory {
    fn new(last: &str, limit: HistoryLimit) -> CollectedHistory {
        CollectedHistory {
            turns: vec![],
            next: last.to_string(),
            limit,
            bytes: 0,
            is_complete: false,
        }
    }

    /// Adds turns, newest first, up to the limit.
    fn extend(&mut self, turns: Vec<StoredTurn>) {
        for stored in turns {
            self.bytes += stored.bytes();
            if !self.limit.admits(self.turns.len(), self.bytes) {
                self.is_complete = true;
                return;
            }
            self.next = stored.turn.prev.clone();
            self.turns.push(stored);
        }
        self.is_complete = self.next.is_empty();
    }
}

impl TurnStore {
    pub(super) async fn open_turn(self: &Arc<Self>, request: OpenTurnRequest) -> TurnLogResponse {
        let is_budgeted = request.budget.is_some();
        if is_budgeted && let Some(disk) = self.live_owner(&request.program, request.take_over) {
            return TurnLogResponse::Owner(disk);
        }
        let collect = async {
            if request.parent.is_empty() {
                Ok(vec![])
            } else {
                self.collect_history(&request).await
            }
        };
        let reserve = async {
            match request.budget {
                Some(budget) => self.reserve(&Reservation::new(&request, budget)).await,
                None => TurnLogResponse::Ok,
            }
        };
        match futures_lite::future::zip(reserve, collect).await {
            (TurnLogResponse::Ok, Ok(rows)) => TurnLogResponse::Opened { rows },
            (TurnLogResponse::Ok, Err(failure)) => {
                // Released only if the parent certainly does not exist: otherwise another store may
                // still open the same turn.
                if is_budgeted && failure == TurnLogResponse::UnknownTurn {
                    self.release_reservation(&request.program, &request.turn);
                }
                failure
            }
            (rejection, _) => rejection,
        }
    }

    /// The other disk whose store owns the program's ledger according to the epoch promised here, if
    /// that disk is alive. `None` if `take_over` is set.
    pub(super) fn live_owner(&self, program: &str, take_over: bool) -> Option<String> {
        let promised = self.promised_epoch(program)?;
        let owner = owner_of(promised);
        let disk = self
            .stores
            .replicas()
            .all()
            .into_iter()
            .find(|disk| epoch_owner_id(disk) == owner)?;
        let is_live = !take_over
            && promised.number > 0
            && disk != self.own_disk
            && self.stores.is_alive(&disk);
        is_live.then_some(disk)
    }

    /// The chain that ends in the requested parent, newest first, within the request's limit. Turns
    /// that this store does not hold are requested from other stores.
    async fn collect_history(
        self: &Arc<Self>,
        request: &OpenTurnRequest,
    ) -> Result<Vec<StoredTurn>, TurnLogResponse> {
        let (parent, limit) = (&request.parent, request.history_limit);
        let key = if request.program.is_empty() {
            parent
        } else {
            &request.program
        };
        let mut collected = CollectedHistory::new(parent, limit);
        loop {
            let local = self.index.lock().unwrap().history(&collected.next, limit);
            collected.extend(local.turns);
            if collected.is_complete || local.holds_next {
                return Ok(collected.turns);
            }
            if self.runtime.now() >= request.deadline_us {
                return Err(TurnLogResponse::Unavailable);
            }
            match self
                .look_up(key, &collected.next, request.deadline_us)
                .await
            {
                Lookup::Found(found) => {
                    collected.extend(found);
                    if collected.is_complete {
                        return Ok(collected.turns);
                    }
                }
                Lookup::NewerLayout(version) => self.stores.catch_up(version).await,
                // `UnknownTurn` only if no turn of the chain was found; a chain with a gap is not
                // returned.
                Lookup::NotStored if collected.next == *parent => {
                    return Err(TurnLogResponse::UnknownTurn);
                }
                Lookup::NotStored | Lookup::Unavailable => {
                    return Err(TurnLogResponse::Unavailable);
                }
            }
        }
    }

    /// Requests the chain that ends in `id` from the other stores.
    async fn look_up(self: &Arc<Self>, key: &str, id: &str, deadline_us: u64) -> Lookup {
        self.counters.lookups.fetch_add(1, Relaxed);
        let replicas = self.stores.replicas();
        let layout_version = replicas.layout_version;
        let mut order = self.stores.order(key, &replicas, None);
        order.retain(|disk| *disk != self.own_disk);
        // This disk does not hold the turn. It counts towards the read quorum only if it has not
        // lost acknowledged records.
        let counts_own_disk =
            replicas.contains(&self.own_disk) && !self.recovery_pending.load(SeqCst);
        let operation = TurnLogOperation::FindHistory { id: id.to_string() };
        let request = self.requester(layout_version, operation, deadline_us);
        let is_enough = |not_stored_on: &BTreeSet<String>| {
            replicas.is_read_quorum(|disk| {
                not_stored_on.contains(disk) || (counts_own_disk && disk == self.own_disk)
            })
        };
        let mut found = None;
        let on_response = |_: &str, response| match response {
            TurnLogResponse::History(turns) if !turns.is_empty() => {
                found = Some(turns);
                GatherStep::Stop
            }
            TurnLogResponse::NotStored => GatherStep::Accept,
            _ => GatherStep::Reject,
        };
        let outcome = self
            .stores
            .gather(
                Gather {
                    order,
                    is_broadcast: false,
                    layout_version,
                    deadline_us,
                },
                request,
                is_enough,
                on_response,
            )
            .await;
        match found {
            Some(turns) => Lookup::Found(turns),
            None if outcome.newer_layout > layout_version => {
                Lookup::NewerLayout(outcome.newer_layout)
            }
            None if outcome.is_enough => Lookup::NotStored,
            None => Lookup::Unavailable,
        }
    }
}
