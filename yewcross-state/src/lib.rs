//! What the tier keeps for its callers: sessions and budgets as replicated records, turns and
//! ledgers in a replicated log.
//!
//! [`records`] changes records through the registers of [`yewcross_common::register`].
//! [`turn_store`] is one replica of the turn log: its requests, and its turns and ledgers in memory.
//! [`segment_log`] makes them durable on its disk, `anti_entropy` brings them to the disks that need
//! them.

mod anti_entropy;
pub mod records;
pub mod segment_log;
pub mod turn_store;
