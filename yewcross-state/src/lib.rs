//! The persistent state of the tier: sessions and budgets as replicated records, turns and ledgers
//! in a replicated log.
//!
//! - [`records`] reads and changes records through the registers of [`yewcross_common::register`];
//! - [`turn_store`] is one replica of the turn log: it answers requests, and holds turns and ledgers
//!   in memory;
//! - [`segment_log`] makes turns and ledgers durable on the local disk;
//! - `anti_entropy` copies them to the disks that lack them.

mod anti_entropy;
pub mod records;
pub mod segment_log;
pub mod turn_store;
