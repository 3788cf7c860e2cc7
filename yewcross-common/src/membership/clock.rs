//! The tier's time: the median of the wall clocks of the nodes that recently responded to probes.
//!
//! With three or more clocks, a single one that is wrong or jumps does not move the median beyond the
//! others.

use crate::constants::{CLOCK_QUORUM, CLOCK_SAMPLE_LIFETIME, MS};
use std::collections::BTreeMap;

/// The wall clock of another node, as measured by a probe.
struct ClockSample {
    /// Difference, in ms, between the node's wall clock and this process's monotonic clock.
    offset_ms: i64,
    /// Time of the measurement in µs of this process's monotonic clock.
    measured_at: u64,
}

/// The latest sample of each probed node by the node's address.
#[derive(Default)]
pub(super) struct ClockSamples {
    samples: BTreeMap<String, ClockSample>,
}

impl ClockSamples {
    /// Records a wall clock that was read at some time between `sent` and `received` (µs, monotonic),
    /// assumed to be the midpoint.
    pub(super) fn record(&mut self, peer: String, wall_clock_ms: u64, sent: u64, received: u64) {
        let midpoint_ms = (sent + received) / 2 / MS;
        let sample = ClockSample {
            offset_ms: wall_clock_ms as i64 - midpoint_ms as i64,
            measured_at: received,
        };
        self.samples.insert(peer, sample);
    }

    /// The median wall clock in ms at `now` (µs, monotonic), including this process's own, and whether
    /// there are enough clocks for it to be reliable. Removes expired samples.
    pub(super) fn median(&mut self, now: u64, own_wall_clock_ms: u64) -> (u64, bool) {
        self.samples
            .retain(|_, sample| now < sample.measured_at + CLOCK_SAMPLE_LIFETIME);
        let now_ms = (now / MS) as i64;
        let own_offset_ms = own_wall_clock_ms as i64 - now_ms;
        let mut offsets: Vec<i64> = self
            .samples
            .values()
            .map(|sample| sample.offset_ms)
            .chain([own_offset_ms])
            .collect();
        offsets.sort();
        let median_offset_ms = offsets[(offsets.len() - 1) / 2];
        let median_ms = (median_offset_ms + now_ms).max(0) as u64;
        (median_ms, offsets.len() >= CLOCK_QUORUM)
    }
}
