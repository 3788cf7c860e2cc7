//! Runs many plans, on all processors, and reports what the checkers say.

use super::checks::{back_ms, judge};
use super::evidence::Evidence;
use super::run::run;
use super::scenario::Plan;
use crate::caller::Outcome;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// Violations that are printed of one run.
const PRINTED_VIOLATIONS: usize = 6;

/// Calls `is_good` with all items on all processors; returns how many were not good.
pub fn each<T: Send>(items: Vec<T>, is_good: impl Fn(T) -> bool + Sync) -> usize {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get());
    let queue: Mutex<VecDeque<T>> = Mutex::new(items.into());
    let bad = AtomicUsize::new(0);
    let work = || {
        loop {
            let Some(item) = queue.lock().unwrap().pop_front() else {
                return;
            };
            if !is_good(item) {
                bad.fetch_add(1, SeqCst);
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(work);
        }
    });
    bad.load(SeqCst)
}

/// Judges every plan; prints a line for each and the command that replays a bad one. Returns how
/// many were bad.
pub fn sweep(plans: Vec<Plan>, trace: bool) -> usize {
    each(plans, |plan| {
        let evidence = run(&plan);
        let violations = judge(&evidence);
        println!("{}", report(&plan, &evidence, &violations, trace));
        violations.is_empty()
    })
}

fn report(plan: &Plan, evidence: &Evidence, violations: &[String], trace: bool) -> String {
    let verdict = if violations.is_empty() {
        "holds"
    } else {
        "BROKEN"
    };
    let back = back_ms(evidence).map_or(String::new(), |ms| format!(" back {ms} ms"));
    let mut report = format!(
        "seed {} {} {}: {verdict} hash {:016x} fingerprint {:032x}{back}",
        plan.seed,
        plan.topology,
        plan.fault_names(),
        evidence.hash,
        evidence.fingerprint
    );
    if trace {
        add_trace(&mut report, evidence);
    }
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        report += &format!("\n  {violation}");
    }
    if !violations.is_empty() {
        report += &format!("\n  again: {}", plan.command());
    }
    report
}

/// Adds the log, the requests that were not done, and the figures.
fn add_trace(report: &mut String, evidence: &Evidence) {
    for (at, machine, text) in &evidence.log {
        *report += &format!("\n  {:>10.3} {machine}: {text}", *at as f64 / 1e6);
    }
    for seen in evidence.seen.iter().filter(|s| s.outcome != Outcome::Done) {
        *report += &format!(
            "\n  {:>10.3} {} {} {:?} took {} ms",
            seen.at as f64 / 1e6,
            seen.kind,
            seen.job,
            seen.outcome,
            seen.took / 1000
        );
    }
    *report += &format!("\n  {}", evidence.figures);
}
