//! The tier's time: the median of the wall clocks of the nodes that answered probes lately.
//!
//! A single clock that is wrong, or jumps, does not move the median of three or more.

use crate::constants::{CLOCK_QUORUM, CLOCK_SAMPLE_LIFETIME, MS};
use std::collections::BTreeMap;

/// The wall clock of another node, as measured by a probe.
struct ClockSample {
    /// ms that the node's wall clock is ahead of this process's monotonic clock.
    offset_ms: i64,
    /// µs on this process's monotonic clock.
    measured_at: u64,
}

/// The latest sample of each node that was probed, by its address.
#[derive(Default)]
pub(super) struct ClockSamples {
    samples: BTreeMap<String, ClockSample>,
}

impl ClockSamples {
    /// Records a wall clock that was read somewhere between `sent` and `received` (µs, monotonic).
    pub(super) fn record(&mut self, peer: String, wall_clock_ms: u64, sent: u64, received: u64) {
        let midpoint_ms = (sent + received) / 2 / MS;
        let sample = ClockSample {
            offset_ms: wall_clock_ms as i64 - midpoint_ms as i64,
            measured_at: received,
        };
        self.samples.insert(peer, sample);
    }

    /// The median wall clock in ms at `now` (µs, monotonic), the own one counted in, and whether
    /// enough clocks are known to rely on it. Drops the samples that are too old.
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
