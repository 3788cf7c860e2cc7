//! Cuts of a core from the other cores, and the sizes of tier that they are tried on.

use yewcross_common::process_settings::Role;
use yewcross_testkit::tier::Tier;

/// How a core is cut off from the other cores; other nodes still reach it.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    /// What it sends is lost.
    Outward,
    /// What is sent to it is lost.
    Inward,
    Both,
}

pub const CUTS: [Cut; 3] = [Cut::Outward, Cut::Inward, Cut::Both];
/// Cores, stores and fronts, and disks that may be lost.
pub const SIZES: [([usize; 3], usize); 3] = [([4, 4, 6], 1), ([5, 5, 6], 2), ([8, 5, 6], 2)];

/// Cuts the core off.
pub fn cut(t: &Tier, name: &str, how: Cut) {
    let cores = t.names(Role::Core);
    if matches!(how, Cut::Outward | Cut::Both) {
        t.cut_from(name, &cores);
    }
    if matches!(how, Cut::Inward | Cut::Both) {
        t.cut_to(name, &cores);
    }
}
