//! Costs estimated from a service's responses: the time to prefill a prompt token, and by how much
//! concurrent requests slow each other down.

use yewcross_common::constants::*;

/// Slope of a linear regression of `y` on `x`. Older samples lose weight exponentially, and the
/// estimate is regularised towards a prior slope.
#[derive(Clone, Debug)]
pub struct SlopeEstimator {
    prior: f64,
    /// Weight of the prior slope, as a sum of squared deviations of `x`.
    prior_weight: f64,
    /// Decayed number of samples, and decayed sums over them.
    count: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl SlopeEstimator {
    /// `deviation` is the usual deviation of `x`; the prior slope weighs as much as `SLOPE_PRIOR`
    /// samples with that deviation.
    pub fn new(prior: f64, deviation: f64) -> SlopeEstimator {
        SlopeEstimator {
            prior,
            prior_weight: SLOPE_PRIOR * deviation * deviation,
            count: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, x: f64, y: f64) {
        [
            &mut self.count,
            &mut self.sum_x,
            &mut self.sum_y,
            &mut self.sum_xx,
            &mut self.sum_xy,
        ]
        .into_iter()
        .for_each(|sum| *sum *= SLOPE_DECAY);
        self.count += 1.0;
        self.sum_x += x;
        self.sum_y += y;
        self.sum_xx += x * x;
        self.sum_xy += x * y;
    }

    /// The estimated slope, at least 0: more work never makes a request faster.
    pub fn value(&self) -> f64 {
        if self.count < 1.0 {
            return self.prior;
        }
        let variance = self.sum_xx - self.sum_x * self.sum_x / self.count;
        let covariance = self.sum_xy - self.sum_x * self.sum_y / self.count;
        ((covariance + self.prior_weight * self.prior) / (variance + self.prior_weight)).max(0.0)
    }
}

/// Cost estimates for one service.
#[derive(Clone, Debug)]
pub struct ObservedCosts {
    /// µs per token that is prefilled before the first event.
    pub prefill: SlopeEstimator,
    /// µs that each concurrent request adds between two events of a stream.
    pub contention: SlopeEstimator,
    /// Mean number of events of a stream.
    mean_events: f64,
    /// Mean µs between two events of a stream.
    mean_event_gap: f64,
}

impl Default for ObservedCosts {
    fn default() -> Self {
        ObservedCosts {
            prefill: SlopeEstimator::new(ASSUMED_PREFILL_US_PER_TOKEN, PREFILL_TOKENS_DEVIATION),
            contention: SlopeEstimator::new(ASSUMED_EVENT_SLOWDOWN_US, CONCURRENCY_DEVIATION),
            mean_events: ASSUMED_EVENTS_PER_STREAM,
            mean_event_gap: 0.0,
        }
    }
}

impl ObservedCosts {
    /// Records a finished stream: its number of events, the µs between two of them, and the number
    /// of requests that were in flight at the server when it was placed there.
    pub fn record_stream_end(&mut self, events: u64, gap_us: f64, load: f64) {
        self.mean_events = self.mean_events * SLOPE_DECAY + events as f64 * (1.0 - SLOPE_DECAY);
        self.mean_event_gap = if self.mean_event_gap == 0.0 {
            gap_us
        } else {
            self.mean_event_gap * SLOPE_DECAY + gap_us * (1.0 - SLOPE_DECAY)
        };
        self.contention.add(load, gap_us);
    }

    /// Mean µs between two events of a stream.
    pub fn mean_event_gap_us(&self) -> f64 {
        self.mean_event_gap
    }

    /// µs by which one more concurrent request prolongs a stream.
    pub fn contention_us(&self) -> f64 {
        self.contention.value() * self.mean_events
    }
}
