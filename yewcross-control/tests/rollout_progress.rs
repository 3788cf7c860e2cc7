//! Tests of the conditions under which a rollout is complete.

use yewcross_common::constants::{MS, SERVING_LEASE};
use yewcross_control::config::rollout_progress::RolloutProgress;

/// us. The time for which the granter of a lease considers it valid.
const GRANTER_LEASE_DURATION: u64 = SERVING_LEASE + 100 * MS;

/// us. Start time of the rollouts in these tests.
const START: u64 = 1_000 * MS;

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// A rollout to one group of three fronts in a tier of three cores.
fn rollout_to_three_fronts() -> RolloutProgress {
    RolloutProgress::new(3, vec![names(&["f1", "f2", "f3"])])
}

fn acknowledge(progress: &mut RolloutProgress, fronts: &[&str]) {
    for front in fronts {
        progress.record_acknowledgement(front.to_string());
    }
}

fn report_leases(progress: &mut RolloutProgress, received_at: u64, leases: &[(&str, u64)]) {
    let leases = leases
        .iter()
        .map(|(front, remaining_time)| (front.to_string(), *remaining_time))
        .collect();
    progress.record_leases(received_at, leases);
}

#[test]
fn a_majority_of_the_cores_must_report_their_leases() {
    let mut progress = rollout_to_three_fronts();
    acknowledge(&mut progress, &["f1", "f2", "f3"]);
    assert!(!progress.is_in_force(START));
    report_leases(&mut progress, START, &[]);
    assert!(!progress.is_in_force(START + 100 * GRANTER_LEASE_DURATION));
    report_leases(&mut progress, START, &[]);
    assert!(progress.is_in_force(START));
}

#[test]
fn four_cores_require_three_lease_reports() {
    let mut progress = RolloutProgress::new(4, vec![]);
    for reports in 0..3 {
        assert!(!progress.is_in_force(START), "{reports}");
        report_leases(&mut progress, START, &[]);
    }
    assert!(progress.is_in_force(START));
}

#[test]
fn zero_cores_still_require_one_lease_report() {
    let mut progress = RolloutProgress::new(0, vec![]);
    assert!(!progress.is_in_force(START));
    report_leases(&mut progress, START, &[]);
    assert!(progress.is_in_force(START));
}

#[test]
fn a_version_without_a_majority_of_each_group_is_never_in_force() {
    let mut progress = RolloutProgress::new(
        3,
        vec![names(&["f1", "f2", "f3"]), names(&["f3", "f4", "f5"])],
    );
    report_leases(&mut progress, START, &[]);
    report_leases(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1", "f2", "f3"]);
    assert!(!progress.is_in_force(START));
    assert!(!progress.is_in_force(START + 100 * GRANTER_LEASE_DURATION));
    acknowledge(&mut progress, &["f4", "f5"]);
    assert!(progress.is_in_force(START + 100 * GRANTER_LEASE_DURATION));
}

#[test]
fn fronts_beyond_the_majority_are_waited_for_until_their_leases_expire() {
    let mut progress = rollout_to_three_fronts();
    report_leases(&mut progress, START, &[]);
    report_leases(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1", "f2"]);
    assert!(!progress.is_in_force(START));
    assert!(!progress.is_in_force(START + GRANTER_LEASE_DURATION));
    assert!(progress.is_in_force(START + GRANTER_LEASE_DURATION + 1));
}

#[test]
fn the_wait_starts_when_the_majority_is_first_found() {
    let mut progress = rollout_to_three_fronts();
    report_leases(&mut progress, START, &[]);
    report_leases(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1"]);
    assert!(!progress.is_in_force(START));
    acknowledge(&mut progress, &["f2"]);
    let seen_at = START + 500 * MS;
    assert!(!progress.is_in_force(seen_at));
    assert!(!progress.is_in_force(seen_at + GRANTER_LEASE_DURATION));
    assert!(progress.is_in_force(seen_at + GRANTER_LEASE_DURATION + 1));
}

#[test]
fn the_wait_starts_at_the_majority_even_without_lease_reports() {
    let mut progress = rollout_to_three_fronts();
    acknowledge(&mut progress, &["f1", "f2"]);
    assert!(!progress.is_in_force(START));
    report_leases(&mut progress, START + GRANTER_LEASE_DURATION, &[]);
    report_leases(&mut progress, START + GRANTER_LEASE_DURATION, &[]);
    assert!(progress.is_in_force(START + GRANTER_LEASE_DURATION + 1));
}

#[test]
fn an_acknowledgement_by_the_last_front_ends_the_wait() {
    let mut progress = rollout_to_three_fronts();
    report_leases(&mut progress, START, &[("f3", 900 * MS)]);
    report_leases(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1", "f2"]);
    assert!(!progress.is_in_force(START));
    acknowledge(&mut progress, &["f3"]);
    assert!(progress.is_in_force(START));
}

/// The front is no longer named by any configuration, but still holds a lease.
#[test]
fn the_lease_of_an_unconfigured_front_is_waited_for() {
    let mut progress = rollout_to_three_fronts();
    report_leases(&mut progress, START, &[("f9", 700 * MS)]);
    report_leases(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1", "f2", "f3"]);
    assert!(!progress.is_in_force(START));
    assert!(!progress.is_in_force(START + 700 * MS));
    assert!(progress.is_in_force(START + 700 * MS + 1));
}

#[test]
fn the_latest_expiration_of_a_fronts_leases_counts() {
    for leases in [[900 * MS, 300 * MS], [300 * MS, 900 * MS]] {
        let mut progress = rollout_to_three_fronts();
        for remaining_time in leases {
            report_leases(&mut progress, START, &[("f9", remaining_time)]);
        }
        acknowledge(&mut progress, &["f1", "f2", "f3"]);
        assert!(!progress.is_in_force(START + 900 * MS));
        assert!(progress.is_in_force(START + 900 * MS + 1));
    }
}

#[test]
fn remaining_lease_time_counts_from_the_receipt_of_the_report() {
    let mut progress = rollout_to_three_fronts();
    report_leases(&mut progress, START, &[("f9", 300 * MS)]);
    report_leases(&mut progress, START + 200 * MS, &[("f9", 300 * MS)]);
    acknowledge(&mut progress, &["f1", "f2", "f3"]);
    assert!(!progress.is_in_force(START + 500 * MS));
    assert!(progress.is_in_force(START + 500 * MS + 1));
}

/// Another rollout has completed in the meantime, so the fronts of earlier versions no longer
/// count.
#[test]
fn fronts_of_replaced_groups_are_not_waited_for() {
    let mut progress = RolloutProgress::new(3, vec![names(&["f1"]), names(&["old1", "old2"])]);
    report_leases(&mut progress, START, &[]);
    report_leases(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1"]);
    assert!(!progress.is_in_force(START));
    progress.set_front_groups(vec![names(&["f1"])]);
    assert!(progress.is_in_force(START));
}
