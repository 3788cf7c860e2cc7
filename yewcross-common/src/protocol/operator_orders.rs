//! Outcomes of operators' orders. The process that proposes answers them to the core that the
//! operator had asked.

use crate::configuration::InvalidSetting;
use serde::{Deserialize, Serialize};

/// The answer to a put; versions are the operator's numbers where the dialect has them, and the
/// tier's own otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PutAnswer {
    /// Acknowledged: this text was taken on top of the base that it names, now or earlier, as this
    /// version.
    InForce(u64),
    /// Not the base, but this version is current. Nothing was done and never will be.
    Conflict(u64),
    /// The text is rejected, for these reasons. Nothing was done and never will be.
    #[serde(rename = "Bad")]
    Invalid(Vec<InvalidSetting>),
    /// The tier is not bootstrapped yet. Nothing was done.
    #[serde(rename = "NotFounded")]
    NotBootstrapped,
    /// No majority of core disks could be asked, or no process proposes now. Nothing was done.
    NoMajority,
    /// More orders are queued than can be decided in time. Nothing was done.
    Busy,
    /// The outcome is unknown: some disk may hold it. A retry of the same order decides it.
    Undecided,
    /// Its number is not above those of orders that are no longer remembered: it may have been
    /// accepted long ago, or not.
    Forgotten,
}

/// The answer to an order to drain a store node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireOutcome {
    /// Begun now or before.
    Begun,
    /// No store node of this name is known.
    Unknown,
    /// Fewer than `2 * Bounds::lost + 1` store replicas would remain.
    TooFew,
    /// No majority of core disks could be reached, or the outcome is unknown; it may be retried.
    #[serde(rename = "Away")]
    Unavailable,
}
