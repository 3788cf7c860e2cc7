//! Partitions of a core from the other cores, and the sizes of tier that they are tried on.

use yewcross_common::process_settings::Role;
use yewcross_testkit::tier::Tier;

/// How a core is partitioned from the other cores; other nodes still reach it.
#[derive(Clone, Copy, Debug)]
pub enum Partition {
    /// What it sends is held back.
    Outward,
    /// What is sent to it is held back.
    Inward,
    /// Both are.
    Both,
}

pub const PARTITIONS: [Partition; 3] = [Partition::Outward, Partition::Inward, Partition::Both];
/// Cores, stores and fronts, and disks that may be lost.
pub const TIER_SIZES: [([usize; 3], usize); 3] = [([4, 4, 6], 1), ([5, 5, 6], 2), ([8, 5, 6], 2)];

/// Partitions the core from the other cores.
pub fn partition_core(tier: &Tier, core: &str, how: Partition) {
    let cores = tier.names_with_role(Role::Core);
    if matches!(how, Partition::Outward | Partition::Both) {
        tier.block_from(core, &cores);
    }
    if matches!(how, Partition::Inward | Partition::Both) {
        tier.block_to(core, &cores);
    }
}
