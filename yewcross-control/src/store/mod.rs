//! Sessions, histories, once-only outcomes and budgets, each a key of the register. Changes only.

mod budgets;
mod purse;
mod record;
mod sessions;

pub use purse::{Open, Purse, purse_key};
pub use record::{Head, Mark, Record, Run};

use std::sync::Arc;
use yewcross::protocol::{PeerRequest, PeerResponse};
use yewcross::register::RegisterClient;

pub struct Store {
    pub owner: Arc<RegisterClient>,
    pub members: Arc<yewcross::membership::Membership>,
    pub w: yewcross::runtime::Runtime,
    /// Asks the owner of another key.
    pub route: Arc<dyn Fn(String, PeerRequest) -> yewcross::runtime::BoxFuture<'static, Option<PeerResponse>> + Send + Sync>,
}

impl Store {
    /// Several clocks' middle one: a single clock that is far off closes no run and erases no record.
    pub fn wall(&self) -> u64 {
        self.members.clock().0
    }
}
