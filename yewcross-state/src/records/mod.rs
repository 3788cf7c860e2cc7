//! Records of sessions and budgets, each stored under a key of the registers. A session's record
//! contains its history, and the outcomes that prevent a request from running twice.
//!
//! [`RecordStore`] handles the requests: `sessions` and `budgets` implement its operations, and
//! `begin_decision` decides whether a turn may begin. [`SessionRecord`] and [`BudgetRecord`] are the
//! values of the registers. The caller ensures that this process may propose for the key.

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

/// Sends a request to the process that proposes for the key; `None` if no process answered.
pub type RequestRoute =
    Arc<dyn Fn(String, PeerRequest) -> BoxFuture<'static, Option<PeerResponse>> + Send + Sync>;

/// Reads and changes the records of sessions and budgets.
pub struct RecordStore {
    /// The registers that hold the records.
    pub registers: Arc<RegisterClient>,
    /// Source of the cluster's median clock.
    pub members: Arc<Membership>,
    pub runtime: Runtime,
    /// Sends requests to the proposers of other keys.
    pub route: RequestRoute,
}

impl RecordStore {
    /// The cluster's median clock: Unix time in ms. Because it is the median, a single wrong clock
    /// can neither close a running turn nor erase a record.
    pub fn clock_ms(&self) -> u64 {
        self.members.clock().0
    }

    /// Handles a request for a session or budget. Returns the response and its blob.
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
                    key,
                    request_id,
                    nonce,
                    at: self.clock_ms(),
                    session_retain_ms: retain_ms,
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

    /// Updates every replica of the key to its newest value.
    async fn repair(&self, key: &str) -> PeerResponse {
        if self.registers.repair(key).await {
            PeerResponse::Ok
        } else {
            PeerResponse::Rejected(Code::Undecided)
        }
    }
}
