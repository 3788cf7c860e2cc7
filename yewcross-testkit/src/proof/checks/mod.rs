//! Checkers: each promise, judged from evidence alone.

mod answers;
mod availability;
mod configuration;
mod execution;

pub use availability::back_ms;

use super::evidence::Evidence;

/// All that must never happen, each judged from evidence alone; and that work got done. Each
/// violation begins with its checker's number.
pub fn judge(evidence: &Evidence) -> Vec<String> {
    let mut violations: Vec<String> = vec![];
    if !evidence.is_bootstrapped {
        violations.push("0 the tier was not founded".into());
    }
    violations.extend(answers::malformed(evidence));
    violations.extend(execution::run_twice(evidence));
    violations.extend(execution::run_though_rejected(evidence));
    violations.extend(execution::over_budget(evidence));
    violations.extend(execution::run_while_draining(evidence));
    violations.extend(configuration::out_of_force(evidence));
    violations.extend(configuration::false_acks(evidence));
    violations.extend(execution::not_allowed(evidence));
    violations.extend(answers::inconsistent(evidence));
    violations.extend(answers::dropped(evidence));
    violations.extend(availability::not_back_in_time(evidence));
    violations.extend(answers::late_rejections(evidence));
    violations.extend(final_state(evidence));
    violations
}

/// The state of the cluster at the end, and whether it kept its replicas.
fn final_state(evidence: &Evidence) -> Vec<String> {
    let mut violations = vec![];
    if evidence.rejected_frames > 0 {
        violations.push(format!(
            "15 {} frames of a version that the receiver does not speak",
            evidence.rejected_frames
        ));
    }
    let lacked_replicas =
        |(_, _, text): &(u64, String, String)| text.starts_with("not whole in time");
    if evidence.log.iter().any(lacked_replicas) {
        violations.push("14 copies were not made whole in 30 s".into());
    }
    if evidence.is_reassigning {
        violations.push("14 a change of disks did not come to its end".into());
    }
    violations
}
