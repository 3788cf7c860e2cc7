//! What operators are told of their orders. The process that proposes tells it to the core that was
//! asked.

use crate::configuration::InvalidSetting;
use serde::{Deserialize, Serialize};

/// The answer to a put; versions are the operator's numbers where the dialect has them, and the
/// tier's own otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PutAnswer {
    /// It is acknowledged: this exact text is, or once was, in force under this number.
    InForce(u64),
    /// Another version than the base is current. Nothing was done and never will be.
    Conflict(u64),
    /// The text is refused. Nothing was done and never will be.
    Bad(Vec<InvalidSetting>),
    /// The tier is not founded yet. Nothing was done.
    NotFounded,
    /// No majority of core disks could be asked, or no process proposes now. Nothing was done.
    NoMajority,
    /// More orders wait than can be decided in time. Nothing was done.
    Busy,
    /// Some disk may hold it; sent again unchanged, it is decided.
    Undecided,
    /// Its number is not above those of orders that are no longer remembered: it may have been
    /// taken long ago, or not.
    Forgotten,
}

/// The answer to an order that a store machine be emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireBegin {
    /// Begun now or before.
    Begun,
    /// No store machine of this name is known.
    Unknown,
    /// Fewer than `2 * Bounds::lost + 1` store seats would remain.
    TooFew,
    /// No majority of core disks could be asked, or some disk may hold the order; it may be sent
    /// again.
    Away,
}
