//! Operators that put orders all the time, and machines as small as those of a grown deployment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;
use yewcross_control::api::PutAnswer;
use yewcross_testkit::sim::MachineCosts;
use yewcross_testkit::tier::{Tier, boot_and_wait};

const OPERATORS: u64 = 8;
/// bytes. A text as long as those of some sixty routes.
pub const TEXT: usize = 18_000;

/// What operators see of their orders.
#[derive(Default)]
pub struct Orders {
    pub newest: AtomicU64,
    pub decided: AtomicU64,
    /// us. When an order was last acknowledged.
    pub last_at: AtomicU64,
    /// us. The longest pause between two acknowledgements since this was last emptied.
    pub longest_pause: AtomicU64,
    pub ended: AtomicBool,
}

impl Orders {
    fn acknowledged(&self, now: u64, number: u64) {
        self.newest.fetch_max(number, SeqCst);
        self.decided.fetch_add(1, SeqCst);
        let before = self.last_at.swap(now, SeqCst);
        self.longest_pause.fetch_max(now - before, SeqCst);
    }
}

/// An operator that builds on the newest version it has heard of, at any core, twice a second.
async fn operate(tier: Arc<Tier>, orders: Arc<Orders>, operator: u64) {
    let cores = tier.names_with_role(Role::Core);
    while !orders.ended.load(SeqCst) {
        let base = orders.newest.load(SeqCst);
        let text = format!("{} by{operator} {}", base + 1, "x".repeat(TEXT));
        let core = &cores[tier.operator.random() as usize % cores.len()];
        match tier.put_configuration(core, base, &text).await {
            Some(PutAnswer::InForce(number)) => orders.acknowledged(tier.operator.now(), number),
            Some(PutAnswer::Conflict(number)) => {
                orders.newest.fetch_max(number, SeqCst);
            }
            _ => {}
        }
        tier.operator
            .sleep(100 * MS + tier.operator.random() % (800 * MS))
            .await;
    }
}

/// Machines of a tenth to a third of a core, as a grown deployment has them.
pub fn small_machines(seed: u64, counts: [usize; 3], lost: usize) -> Arc<Tier> {
    let tier = Tier::new(seed, counts, lost);
    for (role, core_percent) in [(Role::Core, 11), (Role::Store, 30), (Role::Front, 12)] {
        let costs = MachineCosts {
            core_percent,
            poll_us: 40,
            byte_ns: 10,
            sync_us: 500,
        };
        for name in tier.names_with_role(role) {
            tier.sim.set_costs(tier.sim.find(&name), costs);
        }
    }
    tier
}

/// Bootstraps the tier, puts a first configuration and lets operators begin.
pub async fn begin(tier: &Arc<Tier>) -> Arc<Orders> {
    boot_and_wait(tier).await;
    tier.operator.sleep(4 * SEC).await;
    tier.put_until_acknowledged(0, "1 first").await;
    operators_at(tier, 1)
}

/// Operators who know this version as the newest.
pub fn operators_at(tier: &Arc<Tier>, version: u64) -> Arc<Orders> {
    let orders: Arc<Orders> = Default::default();
    orders.newest.store(version, SeqCst);
    orders.last_at.store(tier.operator.now(), SeqCst);
    for operator in 0..OPERATORS {
        tier.operator
            .spawn(operate(tier.clone(), orders.clone(), operator));
    }
    orders
}
