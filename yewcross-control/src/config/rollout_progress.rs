//! How far the rollout of a configuration has come: a record without clock or network.

use super::serving_leases::SERVING_LEASE_MARGIN;
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::constants::SERVING_LEASE;
use yewcross_common::register::majority;

/// What a rollout knows of fronts and cores. All times are us of the rolling process's clock.
///
/// The version is in force once no front can serve by an older one:
/// - a majority of the cores holds it and has reported its leases, so that no older lease is
///   granted from now on, and none is unknown;
/// - every front with a reported lease has acknowledged the version, or that lease has expired;
/// - a majority of each group of fronts has acknowledged it, and every other front has too or has
///   had time to lose the lease that fronts confirm to each other.
#[derive(Clone, Debug, Default)]
pub struct RolloutProgress {
    required_lease_reports: usize,
    lease_reports: usize,
    front_groups: Vec<Vec<String>>,
    acknowledged: BTreeSet<String>,
    /// When the last reported lease of a front expires.
    outstanding_leases: BTreeMap<String, u64>,
    /// When a majority of each group was first seen to have acknowledged.
    majority_since: Option<u64>,
}

impl RolloutProgress {
    /// A rollout to these groups of fronts, in a tier of this many cores.
    pub fn new(core_count: usize, front_groups: Vec<Vec<String>>) -> RolloutProgress {
        RolloutProgress {
            required_lease_reports: majority(core_count),
            front_groups,
            ..Default::default()
        }
    }

    /// Replaces the groups, once a newer version than known before turns out to be in force.
    pub fn set_front_groups(&mut self, front_groups: Vec<Vec<String>>) {
        self.front_groups = front_groups;
    }

    /// The front has adopted this version or a newer one.
    pub fn record_acknowledgement(&mut self, front: String) {
        self.acknowledged.insert(front);
    }

    /// A core that holds this version reports its leases, with the time left of each. A core
    /// reports once.
    pub fn record_leases(&mut self, received_at: u64, leases: Vec<(String, u64)>) {
        self.lease_reports += 1;
        for (front, time_left) in leases {
            let expires_at = self.outstanding_leases.entry(front).or_default();
            *expires_at = (*expires_at).max(received_at + time_left);
        }
    }

    /// Whether no front can serve by an older version any more. Remembers when a majority of each
    /// group was first seen, so it is to be asked whenever something was recorded.
    pub fn is_in_force(&mut self, now: u64) -> bool {
        if !self.has_majority_of_each_group() {
            return false;
        }
        let majority_since = *self.majority_since.get_or_insert(now);
        self.lease_reports >= self.required_lease_reports
            && self.is_each_lease_settled(now)
            && (self.has_every_front()
                || now > majority_since + SERVING_LEASE + SERVING_LEASE_MARGIN)
    }

    fn has_majority_of_each_group(&self) -> bool {
        self.front_groups.iter().all(|group| {
            let acknowledged = group.iter().filter(|front| self.has_acknowledged(front));
            acknowledged.count() >= majority(group.len())
        })
    }

    fn has_every_front(&self) -> bool {
        let mut fronts = self.front_groups.iter().flatten();
        fronts.all(|front| self.has_acknowledged(front))
    }

    fn is_each_lease_settled(&self, now: u64) -> bool {
        self.outstanding_leases
            .iter()
            .all(|(front, expires_at)| self.has_acknowledged(front) || now > *expires_at)
    }

    fn has_acknowledged(&self, front: &str) -> bool {
        self.acknowledged.contains(front)
    }
}
