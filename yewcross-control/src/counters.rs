//! Counters of this process, for the operator interface.

use std::sync::atomic::AtomicU64;

/// Totals since process start, unless stated otherwise.
#[derive(Default)]
pub(crate) struct Counters {
    /// Records that were repaired on a disk of this tier.
    pub(crate) repaired_records: AtomicU64,
    /// Valid configurations that were submitted to this process.
    pub(crate) puts: AtomicU64,
    /// Current number of orders waiting to be decided by this process.
    pub(crate) orders_waiting: AtomicU64,
}
