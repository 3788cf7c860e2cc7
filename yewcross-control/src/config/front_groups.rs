//! Groups of fronts whose members may confirm serving leases to each other.

use yewcross_common::configuration::{Configuration, InvalidSetting};
use yewcross_common::protocol::ConfigDoc;
use yewcross_common::register::majority;

/// The groups of fronts of which a rollout of this document must reach a majority each: the fronts
/// of this version, and of every earlier version back to and including the last one known to be in
/// force. Empty groups and duplicates are left out.
pub fn front_groups(document: &ConfigDoc, in_force_version: u64) -> Vec<Vec<String>> {
    let mut groups = vec![configured_fronts(&document.text)];
    for (version, _, text) in &document.superseded {
        groups.push(configured_fronts(text));
        if *version <= in_force_version {
            break;
        }
    }
    groups.retain(|group| !group.is_empty());
    groups.sort();
    groups.dedup();
    groups
}

fn configured_fronts(text: &str) -> Vec<String> {
    Configuration::read(text.as_bytes())
        .map(|configuration| configuration.fronts)
        .unwrap_or_default()
}

/// Finds the first group that has no majority of its fronts up, so that no rollout could complete,
/// and reports it as a fault of the `fronts` setting. The planner checks its plans by the same
/// rule.
pub fn find_unavailable_group(
    groups: &[Vec<String>],
    is_up: impl Fn(&str) -> bool,
) -> Option<InvalidSetting> {
    let group_without_majority = groups.iter().find(|group| {
        let up = group.iter().filter(|front| is_up(front)).count();
        up < majority(group.len())
    })?;
    Some(InvalidSetting {
        path: "fronts".into(),
        reason: format!(
            "a majority of {} must be up, so that none of them can serve by an older version",
            group_without_majority.join(", ")
        ),
    })
}
