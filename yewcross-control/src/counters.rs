//! Counters of this process, for the operators' interface.

use std::sync::atomic::AtomicU64;

/// Totals since the start, unless said otherwise.
#[derive(Default)]
pub(crate) struct Counters {
    /// Records that were repaired on a disk of this tier.
    pub(crate) repaired_records: AtomicU64,
    /// Configurations that were put here.
    pub(crate) puts: AtomicU64,
    /// Orders that wait here to be decided now.
    pub(crate) orders_waiting: AtomicU64,
}
