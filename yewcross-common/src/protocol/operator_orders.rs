//! Outcomes of operators' orders. The proposer returns them to the core that received the order
//! from the operator.

use crate::configuration::InvalidSetting;
use serde::{Deserialize, Serialize};

/// The outcome of a put. Versions are the operator's numbers if the configuration format contains
/// them, and the tier's own numbers otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PutAnswer {
    /// Acknowledged: the text was accepted on the base that it names, now or earlier, as this
    /// version.
    InForce(u64),
    /// The current version is this one instead of the base. The order was not applied and never
    /// will be.
    Conflict(u64),
    /// The text is invalid for these reasons. The order was not applied and never will be.
    #[serde(rename = "Bad")]
    Invalid(Vec<InvalidSetting>),
    /// The tier is not bootstrapped yet. The order was not applied.
    #[serde(rename = "NotFounded")]
    NotBootstrapped,
    /// No majority of core disks was reachable, or there is no proposer at present. The order was
    /// not applied.
    NoMajority,
    /// More orders are queued than can be decided in time. The order was not applied.
    Busy,
    /// The outcome is unknown: some disk may have accepted the order. A retry of the same order
    /// determines it.
    Undecided,
    /// The order's number is not above those of orders that are no longer retained: it may have
    /// been accepted in the past, or not.
    Forgotten,
}

/// The outcome of an order to drain a store node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireOutcome {
    /// Draining has begun, now or earlier.
    Begun,
    /// There is no store node of this name.
    Unknown,
    /// Fewer than `2 * Bounds::lost + 1` store replicas would remain.
    TooFew,
    /// No majority of core disks could be reached, or the outcome is unknown; it may be retried.
    #[serde(rename = "Away")]
    Unavailable,
}
