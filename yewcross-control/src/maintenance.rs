//! Housekeeping that each node does for itself.

use crate::Control;
use std::sync::Arc;
use yewcross_common::constants::SEC;

/// us. Between two rounds.
const ROUND: u64 = 10 * SEC;

/// Prefix of the registers that hold budgets.
const BUDGET_PREFIX: &str = "budget/";

/// Drops idle registers from memory and audits the budgets that this process has in memory, forever.
pub(crate) async fn run(control: Arc<Control>) {
    loop {
        control.runtime.sleep(ROUND).await;
        control.registers.prune();
        for key in control.registers.cached_keys(BUDGET_PREFIX) {
            let budget = key.trim_start_matches(BUDGET_PREFIX);
            control.record_store.audit(budget).await;
        }
    }
}
