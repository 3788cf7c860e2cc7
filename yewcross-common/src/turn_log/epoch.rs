//! Identifies the owner of a ledger by the proposer id of the ledger's epochs.
//!
//! The high bits of the proposer id identify the owner's disk; the low bits differ between incarnations
//! of the owner's process.

use crate::hash::rendezvous_weight;
use crate::register::Ballot;

/// The bits of an epoch's proposer id that differ between incarnations of a process.
pub const INCARNATION_MASK: u64 = 0xffff;

/// The high bits of the proposer id in the epochs that the store of a disk acquires.
pub fn epoch_owner_id(disk: &str) -> u64 {
    rendezvous_weight(disk, "owner") & !INCARNATION_MASK
}

/// The [`epoch_owner_id`] of the disk whose store acquired an epoch.
pub fn owner_of(epoch: Ballot) -> u64 {
    epoch.proposer_id & !INCARNATION_MASK
}
