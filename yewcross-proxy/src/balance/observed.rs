//! What a service's answers tell of its servers: the time that a token of a prompt takes to read,
//! and by how much a request slows those beside it.

use yewcross_common::constants::*;

/// Least squares of `y` over `x`, in which older samples count less, drawn towards a slope that is
/// assumed at first.
#[derive(Clone, Debug)]
pub struct SlopeEstimator {
    assumed: f64,
    /// Weight of the assumed slope, as a sum of squared deviations of `x`.
    stiffness: f64,
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl SlopeEstimator {
    /// `spread` is the usual deviation of `x`; the assumed slope weighs as much as `SLOPE_PRIOR`
    /// samples of it.
    pub fn new(assumed: f64, spread: f64) -> SlopeEstimator {
        SlopeEstimator {
            assumed,
            stiffness: SLOPE_PRIOR * spread * spread,
            n: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        }
    }

    pub fn add(&mut self, x: f64, y: f64) {
        [
            &mut self.n,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ]
        .into_iter()
        .for_each(|sum| *sum *= SLOPE_DECAY);
        self.n += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
    }

    /// Never below zero: no request is made faster by more work.
    pub fn value(&self) -> f64 {
        if self.n < 1.0 {
            return self.assumed;
        }
        let variance = self.xx - self.x * self.x / self.n;
        let covariance = self.xy - self.x * self.y / self.n;
        ((covariance + self.stiffness * self.assumed) / (variance + self.stiffness)).max(0.0)
    }
}

/// What is learned of one service.
#[derive(Clone, Debug)]
pub struct ObservedCosts {
    /// us a token that is read before the first event.
    pub prefill: SlopeEstimator,
    /// us between two events for each request beside it.
    pub contention: SlopeEstimator,
    /// Events of a stream, and us between two of them, the means.
    events: f64,
    pause: f64,
}

impl Default for ObservedCosts {
    fn default() -> Self {
        ObservedCosts {
            prefill: SlopeEstimator::new(ASSUMED_PREFILL_US_PER_TOKEN, PREFILL_TOKENS_DEVIATION),
            contention: SlopeEstimator::new(ASSUMED_EVENT_SLOWDOWN_US, CONCURRENCY_DEVIATION),
            events: ASSUMED_EVENTS_PER_STREAM,
            pause: 0.0,
        }
    }
}

impl ObservedCosts {
    /// A stream of so many events came to its end, `gap_us` apart, beside `load` others.
    pub fn record_stream_end(&mut self, events: u64, gap_us: f64, load: f64) {
        self.events = self.events * SLOPE_DECAY + events as f64 * (1.0 - SLOPE_DECAY);
        self.pause = if self.pause == 0.0 {
            gap_us
        } else {
            self.pause * SLOPE_DECAY + gap_us * (1.0 - SLOPE_DECAY)
        };
        self.contention.add(load, gap_us);
    }

    /// us between two events of a stream, the mean.
    pub fn mean_event_gap_us(&self) -> f64 {
        self.pause
    }

    /// us that one more request beside it adds to a stream.
    pub fn contention_us(&self) -> f64 {
        self.contention.value() * self.events
    }
}
