//! Validates and dispatches requests to the turn log.

use crate::turn_store::TurnStore;
use crate::turn_store::history_limit::HistoryLimit;
use crate::turn_store::open_turn::OpenTurnRequest;
use std::sync::Arc;
use std::sync::atomic::Ordering::{Relaxed, SeqCst};
use yewcross_common::constants::STORE_CONCURRENT_REQUESTS;
use yewcross_common::turn_log::messages::{decode, encode};
use yewcross_common::turn_log::{TurnLogOperation, TurnLogRequest, TurnLogResponse};

impl TurnStore {
    /// Handles an encoded request from a sender of this frame version, and returns the encoded response.
    pub async fn handle(self: &Arc<Self>, body: Vec<u8>, sender_version: u16) -> Vec<u8> {
        encode(&self.respond(body, sender_version).await)
    }

    /// Handles an encoded request from a sender of this frame version. The request is rejected
    /// immediately if too many requests are in flight or the log's write queue is saturated.
    pub async fn respond(self: &Arc<Self>, body: Vec<u8>, sender_version: u16) -> TurnLogResponse {
        let Some(request) = decode::<TurnLogRequest>(&body) else {
            return TurnLogResponse::Unavailable;
        };
        drop(body);
        let in_flight = self.requests_in_flight.fetch_add(1, SeqCst);
        let response = if in_flight >= STORE_CONCURRENT_REQUESTS || self.is_saturated() {
            self.counters.overloaded.fetch_add(1, Relaxed);
            TurnLogResponse::Unavailable
        } else {
            self.answer(request, sender_version).await
        };
        self.requests_in_flight.fetch_sub(1, SeqCst);
        response
    }

    async fn answer(
        self: &Arc<Self>,
        request: TurnLogRequest,
        sender_version: u16,
    ) -> TurnLogResponse {
        let deadline_us = self.runtime.now() + request.timeout_us;
        if let Err(rejection) = self.check(&request).await {
            return rejection;
        }
        self.dispatch(request, sender_version, deadline_us).await
    }

    /// Rejects a request for another disk, for a failed disk, or for a disk that is not a replica in
    /// the current layout. A request under a newer layout makes the store fetch that layout.
    async fn check(self: &Arc<Self>, request: &TurnLogRequest) -> Result<(), TurnLogResponse> {
        if request.disk != self.own_disk || self.storage.failed.load(SeqCst) {
            return Err(TurnLogResponse::Unavailable);
        }
        let layout_version = request.layout_version;
        if layout_version > self.layout_version() {
            let store = self.clone();
            let catch_up = async move { store.stores.catch_up(layout_version).await };
            // Only the owner evaluates quorums, so opening a turn must wait for the layout. Other
            // operations can be answered before it is received.
            if matches!(request.operation, TurnLogOperation::OpenTurn { .. }) {
                catch_up.await
            } else {
                self.runtime.spawn(catch_up)
            }
        } else if !self.stores.replicas().contains(&self.own_disk) {
            return Err(if layout_version < self.layout_version() {
                TurnLogResponse::NewerLayout(self.layout_version())
            } else {
                TurnLogResponse::Unavailable
            });
        }
        Ok(())
    }

    async fn dispatch(
        self: &Arc<Self>,
        request: TurnLogRequest,
        sender_version: u16,
        deadline_us: u64,
    ) -> TurnLogResponse {
        let layout_version = request.layout_version;
        match request.operation {
            TurnLogOperation::OpenTurn {
                program,
                turn,
                max_output_tokens,
                budget,
                parent,
                take_over,
            } => {
                if layout_version < self.layout_version() {
                    return TurnLogResponse::NewerLayout(self.layout_version());
                }
                self.counters.opens.fetch_add(1, Relaxed);
                let request = OpenTurnRequest {
                    program,
                    turn,
                    max_output_tokens,
                    budget,
                    parent,
                    take_over,
                    history_limit: HistoryLimit::opened(sender_version),
                    deadline_us,
                };
                self.open_turn(request).await
            }
            TurnLogOperation::FindHistory { id } => {
                self.find_history(layout_version, &id, HistoryLimit::page(sender_version))
            }
            TurnLogOperation::AcquireLedger { ledger } => {
                self.promise_epoch(layout_version, ledger).await
            }
            TurnLogOperation::AppendEntries { ledger } => {
                self.append_entries(layout_version, ledger).await
            }
            TurnLogOperation::StoreTurns { rows, ledger } => {
                if let Some(ledger) = &ledger {
                    self.forward_to_owner(ledger);
                }
                self.store_records(layout_version, rows, ledger.into_iter().collect())
                    .await
            }
            TurnLogOperation::TransferRecords { rows, ledgers } => {
                self.store_records(layout_version, rows, ledgers).await
            }
            TurnLogOperation::ContainsTurns { ids } => self.contains_turns(&ids),
            TurnLogOperation::Repair => self.repair_replicas().await,
        }
    }
}
