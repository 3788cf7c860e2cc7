//! Which requests a front still forwards once it is to stop.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The times of a shutdown, in µs of the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// Until then every request is forwarded: the platform may not have noticed the shutdown yet.
    pub admits_all_until: u64,
    /// When the process ends and closes the connections that are still open.
    pub ends_at: u64,
}

/// The shutdown of a front.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// Set once it has begun.
    schedule: OnceLock<ShutdownSchedule>,
    refused: AtomicU64,
}

impl Shutdown {
    /// Begins the shutdown; later calls have no effect.
    pub fn begin(&self, schedule: ShutdownSchedule) {
        let _ = self.schedule.set(schedule);
    }

    /// Whether a request that was received completely at `now` and expires at `deadline` may be
    /// forwarded; one that may not is counted. Late in a shutdown only a request that expires before
    /// the end may: the end would break off the response of any other.
    pub fn admits(&self, now: u64, deadline: u64) -> bool {
        let is_admitted = self.schedule.get().is_none_or(|schedule| {
            now <= schedule.admits_all_until || deadline <= schedule.ends_at
        });
        self.refused.fetch_add(!is_admitted as u64, Relaxed);
        is_admitted
    }

    /// Number of requests that came too late to be forwarded.
    pub fn refused(&self) -> u64 {
        self.refused.load(Relaxed)
    }
}
