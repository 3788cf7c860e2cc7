//! Outlier ejection: a server that fails, or owes answers for long, is left alone for a while.

use yewcross_common::constants::*;

/// How one server stood lately.
#[derive(Default)]
pub(super) struct Ejection {
    /// Failures in a row.
    failures: u32,
    /// us. It is left alone until then.
    until: u64,
    /// Requests of ours without a head yet, and since when one of them is owed.
    unanswered: u32,
    owed_since: u64,
    /// Other fronts that leave it alone, and when that was heard.
    others: u32,
    heard_at: u64,
}

impl Ejection {
    pub(super) fn sent(&mut self, now: u64) {
        self.unanswered += 1;
        if self.unanswered == 1 {
            self.owed_since = now;
        }
    }

    /// A request that was sent is over without a head.
    pub(super) fn dropped(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    pub(super) fn answered(&mut self, now: u64) {
        self.dropped();
        self.owed_since = now;
        self.failures = 0;
        self.until = 0;
    }

    pub(super) fn failed(&mut self, now: u64) {
        self.failures = (self.failures + 1).min(EJECTION_DOUBLINGS + 1);
        self.until = now + (EJECTION_TIME << (self.failures - 1));
    }

    pub(super) fn is_ejected(&self, now: u64) -> bool {
        now < self.until
    }

    /// So many other fronts leave it alone.
    pub(super) fn shared(&mut self, others: u32, now: u64) {
        (self.others, self.heard_at) = (others, now);
    }

    /// Whether several other fronts found it ill just now. One alone may be cut off from it.
    pub(super) fn is_ejected_by_others(&self, now: u64) -> bool {
        self.others >= EJECTION_QUORUM && now < self.heard_at + EJECTION_TIME
    }

    /// Whether it owes an answer for much longer than usual (us from dispatch to the head).
    pub(super) fn is_silent(&self, now: u64, usual: f64) -> bool {
        self.unanswered > 0
            && now > self.owed_since + (UNRESPONSIVE_FACTOR * usual) as u64 + UNRESPONSIVE_MIN
    }
}
