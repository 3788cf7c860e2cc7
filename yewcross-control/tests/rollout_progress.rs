//! When a rollout may be called complete, step by step.

use yewcross_common::constants::{MS, SERVING_LEASE};
use yewcross_control::config::rollout_progress::RolloutProgress;

/// us. As long as a lease lasts for its granter, and no longer.
const CONFIRMATION: u64 = SERVING_LEASE + 100 * MS;

/// us. When the rollouts here begin.
const START: u64 = 1_000 * MS;

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// A rollout to one group of three fronts in a tier of three cores.
fn three_fronts() -> RolloutProgress {
    RolloutProgress::new(3, vec![names(&["f1", "f2", "f3"])])
}

fn acknowledge(progress: &mut RolloutProgress, fronts: &[&str]) {
    for front in fronts {
        progress.record_acknowledgement(front.to_string());
    }
}

fn report(progress: &mut RolloutProgress, received_at: u64, leases: &[(&str, u64)]) {
    let leases = leases
        .iter()
        .map(|(front, time_left)| (front.to_string(), *time_left))
        .collect();
    progress.record_leases(received_at, leases);
}

#[test]
fn a_majority_of_the_cores_must_report_their_leases() {
    let mut progress = three_fronts();
    acknowledge(&mut progress, &["f1", "f2", "f3"]);
    assert!(!progress.is_in_force(START));
    report(&mut progress, START, &[]);
    assert!(!progress.is_in_force(START + 100 * CONFIRMATION));
    report(&mut progress, START, &[]);
    assert!(progress.is_in_force(START));
}

#[test]
fn a_tier_of_four_cores_needs_three_reports() {
    let mut progress = RolloutProgress::new(4, vec![]);
    for reports in 0..3 {
        assert!(!progress.is_in_force(START), "{reports}");
        report(&mut progress, START, &[]);
    }
    assert!(progress.is_in_force(START));
}

#[test]
fn no_core_at_all_still_needs_a_report() {
    let mut progress = RolloutProgress::new(0, vec![]);
    assert!(!progress.is_in_force(START));
    report(&mut progress, START, &[]);
    assert!(progress.is_in_force(START));
}

#[test]
fn without_a_majority_of_a_group_no_time_is_long_enough() {
    let mut progress = RolloutProgress::new(
        3,
        vec![names(&["f1", "f2", "f3"]), names(&["f3", "f4", "f5"])],
    );
    report(&mut progress, START, &[]);
    report(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1", "f2", "f3"]);
    assert!(!progress.is_in_force(START));
    assert!(!progress.is_in_force(START + 100 * CONFIRMATION));
    acknowledge(&mut progress, &["f4", "f5"]);
    assert!(progress.is_in_force(START + 100 * CONFIRMATION));
}

#[test]
fn fronts_beyond_the_majority_are_waited_for_as_long_as_they_may_serve() {
    let mut progress = three_fronts();
    report(&mut progress, START, &[]);
    report(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1", "f2"]);
    assert!(!progress.is_in_force(START));
    assert!(!progress.is_in_force(START + CONFIRMATION));
    assert!(progress.is_in_force(START + CONFIRMATION + 1));
}

#[test]
fn the_wait_begins_when_the_majority_is_seen() {
    let mut progress = three_fronts();
    report(&mut progress, START, &[]);
    report(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1"]);
    assert!(!progress.is_in_force(START));
    acknowledge(&mut progress, &["f2"]);
    let seen_at = START + 500 * MS;
    assert!(!progress.is_in_force(seen_at));
    assert!(!progress.is_in_force(seen_at + CONFIRMATION));
    assert!(progress.is_in_force(seen_at + CONFIRMATION + 1));
}

#[test]
fn the_majority_counts_from_when_it_is_seen_also_without_lease_reports() {
    let mut progress = three_fronts();
    acknowledge(&mut progress, &["f1", "f2"]);
    assert!(!progress.is_in_force(START));
    report(&mut progress, START + CONFIRMATION, &[]);
    report(&mut progress, START + CONFIRMATION, &[]);
    assert!(progress.is_in_force(START + CONFIRMATION + 1));
}

#[test]
fn a_front_that_acknowledges_ends_the_wait() {
    let mut progress = three_fronts();
    report(&mut progress, START, &[("f3", 900 * MS)]);
    report(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1", "f2"]);
    assert!(!progress.is_in_force(START));
    acknowledge(&mut progress, &["f3"]);
    assert!(progress.is_in_force(START));
}

/// A front that no configuration names any more, and that still holds a lease.
#[test]
fn a_lease_of_an_unlisted_front_is_waited_out() {
    let mut progress = three_fronts();
    report(&mut progress, START, &[("f9", 700 * MS)]);
    report(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1", "f2", "f3"]);
    assert!(!progress.is_in_force(START));
    assert!(!progress.is_in_force(START + 700 * MS));
    assert!(progress.is_in_force(START + 700 * MS + 1));
}

#[test]
fn of_several_leases_the_last_to_expire_counts() {
    for leases in [[900 * MS, 300 * MS], [300 * MS, 900 * MS]] {
        let mut progress = three_fronts();
        for time_left in leases {
            report(&mut progress, START, &[("f9", time_left)]);
        }
        acknowledge(&mut progress, &["f1", "f2", "f3"]);
        assert!(!progress.is_in_force(START + 900 * MS));
        assert!(progress.is_in_force(START + 900 * MS + 1));
    }
}

#[test]
fn time_left_counts_from_the_arrival_of_the_report() {
    let mut progress = three_fronts();
    report(&mut progress, START, &[("f9", 300 * MS)]);
    report(&mut progress, START + 200 * MS, &[("f9", 300 * MS)]);
    acknowledge(&mut progress, &["f1", "f2", "f3"]);
    assert!(!progress.is_in_force(START + 500 * MS));
    assert!(progress.is_in_force(START + 500 * MS + 1));
}

/// Another rollout has completed meanwhile: the fronts of versions before it count no more.
#[test]
fn groups_of_superseded_versions_are_dropped() {
    let mut progress = RolloutProgress::new(3, vec![names(&["f1"]), names(&["old1", "old2"])]);
    report(&mut progress, START, &[]);
    report(&mut progress, START, &[]);
    acknowledge(&mut progress, &["f1"]);
    assert!(!progress.is_in_force(START));
    progress.set_front_groups(vec![names(&["f1"])]);
    assert!(progress.is_in_force(START));
}
