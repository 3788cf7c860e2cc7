//! Progress of the rollout of a configuration, as a state machine without access to clock or
//! network.

use super::serving_leases::SERVING_LEASE_MARGIN;
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::constants::SERVING_LEASE;
use yewcross_common::register::majority;

/// The acknowledgements and leases that a rollout has recorded. All times are in us of the clock of
/// the process that runs the rollout.
///
/// The version is in force once no front can serve by an older one:
/// - a majority of the cores holds it and has reported its leases, so that no lease for an older
///   version can be granted from then on, and every one granted before is known;
/// - every front with a reported lease has acknowledged the version, or that lease has expired;
/// - a majority of each group of fronts has acknowledged it, and either all other fronts have too,
///   or enough time has passed for the leases that fronts confirm to each other to expire.
#[derive(Clone, Debug, Default)]
pub struct RolloutProgress {
    required_lease_reports: usize,
    received_lease_reports: usize,
    front_groups: Vec<Vec<String>>,
    acknowledged: BTreeSet<String>,
    /// By front, the time at which its last reported lease expires.
    lease_expirations: BTreeMap<String, u64>,
    /// The time at which a majority of each group was first found to have acknowledged.
    majority_since: Option<u64>,
}

impl RolloutProgress {
    /// Starts a rollout to these groups of fronts in a tier of `core_count` cores.
    pub fn new(core_count: usize, front_groups: Vec<Vec<String>>) -> RolloutProgress {
        RolloutProgress {
            required_lease_reports: majority(core_count),
            front_groups,
            ..Default::default()
        }
    }

    /// Replaces the groups after a newer version than previously known was found to be in force.
    pub fn set_front_groups(&mut self, front_groups: Vec<Vec<String>>) {
        self.front_groups = front_groups;
    }

    /// Records that a front has applied this version or a newer one.
    pub fn record_acknowledgement(&mut self, front: String) {
        self.acknowledged.insert(front);
    }

    /// Records the leases of a core that holds this version, each with its remaining time in us. To
    /// be called once per core.
    pub fn record_leases(&mut self, received_at: u64, leases: Vec<(String, u64)>) {
        self.received_lease_reports += 1;
        for (front, remaining_time) in leases {
            let expires_at = self.lease_expirations.entry(front).or_default();
            *expires_at = (*expires_at).max(received_at + remaining_time);
        }
    }

    /// Whether no front can serve by an older version any more. Stores the time at which a majority
    /// of each group is first found, so it must be called whenever something was recorded.
    pub fn is_in_force(&mut self, now: u64) -> bool {
        if !self.has_majority_of_each_group() {
            return false;
        }
        let majority_since = *self.majority_since.get_or_insert(now);
        self.received_lease_reports >= self.required_lease_reports
            && self.is_each_lease_acknowledged_or_expired(now)
            && (self.has_acknowledgement_of_every_front()
                || now > majority_since + SERVING_LEASE + SERVING_LEASE_MARGIN)
    }

    fn has_majority_of_each_group(&self) -> bool {
        self.front_groups.iter().all(|group| {
            let acknowledged = group.iter().filter(|front| self.has_acknowledged(front));
            acknowledged.count() >= majority(group.len())
        })
    }

    fn has_acknowledgement_of_every_front(&self) -> bool {
        let mut fronts = self.front_groups.iter().flatten();
        fronts.all(|front| self.has_acknowledged(front))
    }

    fn is_each_lease_acknowledged_or_expired(&self, now: u64) -> bool {
        self.lease_expirations
            .iter()
            .all(|(front, expires_at)| self.has_acknowledged(front) || now > *expires_at)
    }

    fn has_acknowledged(&self, front: &str) -> bool {
        self.acknowledged.contains(front)
    }
}
