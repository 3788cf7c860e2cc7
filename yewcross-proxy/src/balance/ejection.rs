//! Outlier ejection: a server that fails or does not answer receives no requests for a while.

use yewcross_common::constants::*;

/// Recent failures of one server.
#[derive(Default)]
pub(super) struct Ejection {
    consecutive_failures: u32,
    /// Time until which the server is ejected, in µs.
    ejected_until: u64,
    /// Requests of this proxy that have no response head yet.
    unanswered: u32,
    /// When the first of them was sent, or when the server last sent a response head if that was
    /// later, in µs.
    unanswered_since: u64,
    /// Other proxies that have ejected the server.
    ejecting_peers: u32,
    /// When their number was received, in µs.
    peers_updated_at: u64,
}

impl Ejection {
    /// Records that a request was sent to the server.
    pub(super) fn record_dispatch(&mut self, now: u64) {
        self.unanswered += 1;
        if self.unanswered == 1 {
            self.unanswered_since = now;
        }
    }

    /// Records that a request ended without a response head.
    pub(super) fn record_end_without_head(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Records a response head, which ends any ejection.
    pub(super) fn record_response_head(&mut self, now: u64) {
        self.record_end_without_head();
        self.unanswered_since = now;
        self.consecutive_failures = 0;
        self.ejected_until = 0;
    }

    /// Ejects the server; the time doubles with each consecutive failure, up to a limit.
    pub(super) fn record_failure(&mut self, now: u64) {
        self.consecutive_failures = (self.consecutive_failures + 1).min(EJECTION_DOUBLINGS + 1);
        self.ejected_until = now + (EJECTION_TIME << (self.consecutive_failures - 1));
    }

    pub(super) fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }

    /// Records how many other proxies have ejected the server.
    pub(super) fn record_peer_ejections(&mut self, peers: u32, now: u64) {
        (self.ejecting_peers, self.peers_updated_at) = (peers, now);
    }

    /// Whether several other proxies have ejected the server recently. A single one may only have
    /// lost its own connection to the server.
    pub(super) fn is_ejected_by_peers(&self, now: u64) -> bool {
        self.ejecting_peers >= EJECTION_QUORUM && now < self.peers_updated_at + EJECTION_TIME
    }

    /// Whether a response head is overdue by far, given the usual µs from dispatch to the head.
    pub(super) fn is_unresponsive(&self, now: u64, usual_head_us: f64) -> bool {
        self.unanswered > 0
            && now
                > self.unanswered_since
                    + (UNRESPONSIVE_FACTOR * usual_head_us) as u64
                    + UNRESPONSIVE_MIN
    }
}
