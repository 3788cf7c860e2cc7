//! Periodic maintenance of the node's in-memory state.

use crate::Control;
use std::sync::Arc;
use yewcross_common::constants::SEC;

/// Interval between two maintenance rounds, in µs.
const MAINTENANCE_INTERVAL: u64 = 10 * SEC;

/// Key prefix of the registers that store budgets.
const BUDGET_PREFIX: &str = "budget/";

/// Periodically removes idle registers from memory and audits the budgets that this process caches,
/// for as long as the process runs.
pub(crate) async fn run(control: Arc<Control>) {
    loop {
        control.runtime.sleep(MAINTENANCE_INTERVAL).await;
        control.registers.prune();
        for key in control.registers.cached_keys(BUDGET_PREFIX) {
            let budget = key.trim_start_matches(BUDGET_PREFIX);
            control.record_store.audit(budget).await;
        }
    }
}
