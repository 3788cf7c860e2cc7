//! Checkers: each promise, judged from evidence alone.

mod answers;
mod availability;
mod configuration;
mod execution;

pub use availability::back_ms;

use crate::proof::evidence::Evidence;

/// The twelve that must never happen, each judged from evidence alone; and that work got done.
pub fn judge(e: &Evidence) -> Vec<String> {
    let mut v: Vec<String> = vec![];
    if !e.founded {
        v.push("0 the tier was not founded".into());
    }
    e.seen.iter().filter(|s| !s.fault.is_empty()).for_each(|s| {
        let n = if s.fault.starts_with("forgot") {
            5
        } else if s.fault.contains("piece") || s.fault.contains("digest") {
            6
        } else {
            1
        };
        v.push(format!("{n} {} at {}: {}", s.job, s.at, s.fault));
    });
    v.extend(execution::twice(e));
    v.extend(execution::not_run(e));
    v.extend(execution::budget(e));
    v.extend(execution::leaving(e));
    v.extend(configuration::in_force(e));
    v.extend(configuration::acked(e));
    v.extend(execution::allowed(e));
    v.extend(answers::joined(e));
    v.extend(answers::dropped(e));
    v.extend(availability::back_in_time(e));
    v.extend(answers::prompt_finals(e));
    if e.odd > 0 {
        v.push(format!(
            "15 {} frames of a version that the receiver does not speak",
            e.odd
        ));
    }
    if e.log.iter().any(|l| l.2.starts_with("not whole in time")) {
        v.push("14 copies were not made whole in 30 s".into());
    }
    if e.moving {
        v.push("14 a change of disks did not come to its end".into());
    }
    v
}
