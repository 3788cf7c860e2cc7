//! What the tier keeps for its callers: sessions and budgets as replicated records, turns and
//! ledgers in a replicated log.
//!
//! [`records`] changes records through the registers of [`yewcross_common::register`].
//! [`turn_store`] keeps turns and ledgers of a store node in memory, [`segment_log`] on its disk;
//! [`sweep`] brings them to the disks that ought to hold them.

pub mod records;
mod restore;
pub mod segment_log;
pub mod sweep;
pub mod turn_store;
