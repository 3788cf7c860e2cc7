//! Sessions, histories, once-only outcomes and budgets, each a key of the registers.
//!
//! [`RecordStore`] answers the requests: `sessions` and `budgets` hold its operations,
//! `begin_decision` what a begin makes of a session's record. [`SessionRecord`] and [`BudgetRecord`]
//! are what the registers hold. Who may propose for a key is settled by the caller.

mod begin_decision;
mod budget_record;
mod budgets;
mod lines;
mod record;
mod sessions;

pub use budget_record::{BudgetRecord, Reservation, budget_key};
pub use record::{FinishedRequest, RunningTurn, SessionMetadata, SessionRecord};

use std::sync::Arc;
use yewcross_common::error_code::Code;
use yewcross_common::membership::Membership;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::RegisterClient;
use yewcross_common::runtime::{BoxFuture, Runtime};

/// Puts a request to the process that proposes for the key; None if none answered.
pub type RequestRoute =
    Arc<dyn Fn(String, PeerRequest) -> BoxFuture<'static, Option<PeerResponse>> + Send + Sync>;

/// Changes the records of sessions and budgets.
pub struct RecordStore {
    /// The registers that hold the records.
    pub registers: Arc<RegisterClient>,
    /// Tells the cluster's clock.
    pub members: Arc<Membership>,
    pub runtime: Runtime,
    /// Reaches the proposer of another key.
    pub route: RequestRoute,
}

impl RecordStore {
    /// Calendar time, ms: the middle one of the known clocks. A single clock that is far off closes
    /// no run and erases no record.
    pub fn clock_ms(&self) -> u64 {
        self.members.clock().0
    }

    /// Answers a request for a session or budget; the second part is the answer's blob.
    pub async fn handle(
        self: &Arc<Self>,
        request: PeerRequest,
        blob: Vec<u8>,
    ) -> (PeerResponse, Vec<u8>) {
        let response = match request {
            PeerRequest::BeginTurn(begin) => return self.begin(begin).await,
            PeerRequest::CommitTurn(commit) => self.commit(commit, blob).await,
            PeerRequest::AbortTurn {
                key,
                request_id,
                nonce,
                budget,
            } => self.abort(&key, &request_id, nonce, budget).await,
            PeerRequest::RecordCacheState { key, epoch, cache } => {
                self.record_cache_state(&key, epoch, cache).await
            }
            PeerRequest::InspectSession { key } => self.inspect_session(&key).await,
            PeerRequest::EndSession { key } => self.end_session(&key).await,
            PeerRequest::ExpireSession { key } => self.expire_session(&key).await,
            PeerRequest::ReserveBudget {
                budget,
                entry,
                amount,
                limit,
                key,
                request_id,
                nonce,
                retain_ms,
            } => {
                let reservation = Reservation {
                    amount,
                    session_key: key,
                    request_id: request_id,
                    nonce,
                    reserved_at_ms: self.clock_ms(),
                    retain_ms: retain_ms,
                };
                let budget = budget.trim_start_matches("budget/");
                self.reserve(budget, &entry, reservation, limit).await
            }
            PeerRequest::SettleBudget {
                budget,
                entry,
                used,
            } => self.settle(&budget, &entry, used).await,
            PeerRequest::RepairKey { key } => self.repair(&key).await,
            _ => PeerResponse::Rejected(Code::BadField),
        };
        (response, vec![])
    }

    /// Brings every replica of the key to its newest value.
    async fn repair(&self, key: &str) -> PeerResponse {
        if self.registers.repair(key).await {
            PeerResponse::Ok
        } else {
            PeerResponse::Rejected(Code::Undecided)
        }
    }
}
