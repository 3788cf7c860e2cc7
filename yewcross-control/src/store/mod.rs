//! Sessions, histories, once-only outcomes and budgets, each a key of the register. Changes only.

mod budgets;
mod purse;
mod record;
mod sessions;

pub use purse::{Open, Purse, purse_key};
pub use record::{Head, Mark, Record, Run};

use std::sync::Arc;
use yewcross::ask::{Ask, Tell};
use yewcross::register::RegisterClient;

pub struct Store {
    pub owner: Arc<RegisterClient>,
    pub members: Arc<yewcross::member::Members>,
    pub w: yewcross::world::World,
    /// Asks the owner of another key.
    pub route: Arc<dyn Fn(String, Ask) -> yewcross::world::Fut<'static, Option<Tell>> + Send + Sync>,
}

impl Store {
    /// Several clocks' middle one: a single clock that is far off closes no run and erases no record.
    pub fn wall(&self) -> u64 {
        self.members.clock().0
    }
}
