//! Groups of fronts whose members may hold each other's serving leases.

use yewcross_common::configuration::{Configuration, InvalidSetting};
use yewcross_common::protocol::ConfigDoc;
use yewcross_common::register::majority;

/// The groups that a rollout of this document must reach a majority of: the fronts of this version,
/// and of those back to the last version known to be in force, that one included. No group is empty
/// or stands twice.
pub fn front_groups(document: &ConfigDoc, in_force_version: u64) -> Vec<Vec<String>> {
    let mut groups = vec![fronts_of(&document.text)];
    for (version, _, text) in &document.superseded {
        groups.push(fronts_of(text));
        if *version <= in_force_version {
            break;
        }
    }
    groups.retain(|group| !group.is_empty());
    groups.sort();
    groups.dedup();
    groups
}

fn fronts_of(text: &str) -> Vec<String> {
    Configuration::read(text.as_bytes())
        .map(|configuration| configuration.fronts)
        .unwrap_or_default()
}

/// The first group without a majority of its fronts up, as a fault of the setting: no rollout could
/// complete. The planner checks its plans by the same rule.
pub fn find_unavailable_group(
    groups: &[Vec<String>],
    is_up: impl Fn(&str) -> bool,
) -> Option<InvalidSetting> {
    let unavailable = groups.iter().find(|group| {
        let up = group.iter().filter(|front| is_up(front)).count();
        up < majority(group.len())
    })?;
    Some(InvalidSetting {
        path: "fronts".into(),
        reason: format!(
            "a majority of {} must be up, so that none of them can serve by an older version",
            unavailable.join(", ")
        ),
    })
}
