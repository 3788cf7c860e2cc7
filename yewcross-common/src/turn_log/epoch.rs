//! Names the owner of a ledger in its epochs.
//!
//! The proposer of an epoch is a number: its high bits stand for the owner's disk, its low bits
//! differ from one incarnation of the owner's process to the next.

use crate::hash::rendezvous_weight;
use crate::register::Ballot;

/// The bits of an epoch's proposer that differ between incarnations of a process.
pub const INCARNATION_MASK: u64 = 0xffff;

/// What stands for a disk in the epochs that its store acquires.
pub fn epoch_owner_id(disk: &str) -> u64 {
    rendezvous_weight(disk, "owner") & !INCARNATION_MASK
}

/// What stands for the disk whose store acquired an epoch, as [`epoch_owner_id`] gives it.
pub fn owner_of(epoch: Ballot) -> u64 {
    epoch.proposer_id & !INCARNATION_MASK
}
