//! Sessions, histories, once-only outcomes and budgets, each a key of the register. Changes only.

mod budgets;
mod purse;
mod record;
mod sessions;

pub use purse::{Open, Purse, purse_key};
pub use record::{Head, Mark, Record, Run};

use std::sync::Arc;
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::RegisterClient;

pub struct Store {
    pub owner: Arc<RegisterClient>,
    pub members: Arc<yewcross_common::membership::Membership>,
    pub w: yewcross_common::runtime::Runtime,
    /// Asks the owner of another key.
    pub route: Arc<
        dyn Fn(
                String,
                PeerRequest,
            ) -> yewcross_common::runtime::BoxFuture<'static, Option<PeerResponse>>
            + Send
            + Sync,
    >,
}

impl Store {
    /// Several clocks' middle one: a single clock that is far off closes no run and erases no
    /// record.
    pub fn wall(&self) -> u64 {
        self.members.clock().0
    }

    pub async fn handle(
        self: &Arc<Self>,
        request: PeerRequest,
        blob: Vec<u8>,
    ) -> (PeerResponse, Vec<u8>) {
        match request {
            PeerRequest::BeginTurn(b) => return self.begin(b).await,
            PeerRequest::CommitTurn(c) => (self.commit(c, blob).await, vec![]),
            PeerRequest::AbortTurn {
                key,
                request_id: job,
                nonce,
                budget,
            } => (self.abort(&key, &job, nonce, budget).await, vec![]),
            PeerRequest::RecordCacheState {
                key,
                epoch,
                cache: kv,
            } => (self.note(&key, epoch, kv).await, vec![]),
            PeerRequest::InspectSession { key } => (self.look(&key).await, vec![]),
            PeerRequest::EndSession { key } => (self.end(&key).await, vec![]),
            PeerRequest::ExpireSession { key } => (self.expire(&key).await, vec![]),
            PeerRequest::ReserveBudget {
                budget,
                entry,
                amount,
                limit,
                key,
                request_id: job,
                nonce,
                retain_ms: keep,
            } => {
                let o = Open {
                    amount,
                    key,
                    job,
                    nonce,
                    at: self.wall(),
                    keep,
                };
                (
                    self.reserve(budget.trim_start_matches("budget/"), &entry, o, limit)
                        .await,
                    vec![],
                )
            }
            PeerRequest::SettleBudget {
                budget,
                entry,
                used,
            } => (self.settle(&budget, &entry, used).await, vec![]),
            PeerRequest::RepairKey { key } => (
                if self.owner.repair(&key).await {
                    PeerResponse::Ok
                } else {
                    PeerResponse::Rejected(Code::Undecided)
                },
                vec![],
            ),
            _ => (PeerResponse::Rejected(Code::BadField), vec![]),
        }
    }
}
