//! Reports in the log how much memory a process uses relative to its limit, since a process that exceeds
//! it is killed by its machine and cannot say so itself, and what it did to stay within it.

use crate::constants::MEMORY_WATCH_INTERVAL;
use crate::overload::OverloadManager;
use crate::process_settings::Bounds;
use crate::runtime::Runtime;
use std::sync::Arc;

/// The file in which the system states the memory of a process.
const STATUS_FILE: &str = "/proc/self/status";

/// Percentages of the limit at which the peak is logged.
const LOGGED_PERCENTAGES: [u64; 3] = [50, 75, 90];

/// Bytes in one MB.
const MB: usize = 1 << 20;

/// The highest resident memory of this process so far, in MB; `None` if the system does not state it.
pub fn peak_mb() -> Option<u64> {
    parse_peak_mb(&std::fs::read_to_string(STATUS_FILE).ok()?)
}

/// The peak in the text of the status file.
pub fn parse_peak_mb(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes >> 10)
}

/// What has been logged so far.
struct MemoryWatch {
    limit_mb: u64,
    overload: Arc<OverloadManager>,
    logged_percentage: u64,
    logged_refusals: u64,
    logged_evictions: u64,
}

/// Logs when the peak of the memory passes parts of the limit, when buffers were refused memory and when
/// connections were closed to make room, and closes connections without progress, for as long as the
/// process runs.
pub async fn watch(runtime: Runtime, bounds: Bounds, overload: Arc<OverloadManager>) {
    let mut watch = MemoryWatch {
        limit_mb: bounds.memory_mb,
        overload,
        logged_percentage: 0,
        logged_refusals: 0,
        logged_evictions: 0,
    };
    loop {
        watch.log_peak(&runtime);
        watch.log_refusals(&runtime);
        watch.log_evictions(&runtime);
        watch.overload.close_stalled(runtime.now());
        runtime.sleep(MEMORY_WATCH_INTERVAL).await;
    }
}

impl MemoryWatch {
    /// Logs the peak, if there is a limit and the system states it.
    fn log_peak(&mut self, runtime: &Runtime) {
        let Some(peak_mb) = peak_mb().filter(|_| self.limit_mb > 0) else {
            return;
        };
        let percentage = peak_mb * 100 / self.limit_mb;
        let passed = LOGGED_PERCENTAGES
            .into_iter()
            .rfind(|logged| percentage >= *logged);
        if passed.is_none_or(|passed| passed <= self.logged_percentage) {
            return;
        }
        self.logged_percentage = passed.unwrap_or_default();
        let reserved_mb = self.overload.memory.reserved() / MB;
        runtime.log(&format!(
            "peak resident memory {peak_mb} MB is {percentage}% of the limit of {} MB; buffers use {reserved_mb} MB",
            self.limit_mb
        ));
    }

    fn log_refusals(&mut self, runtime: &Runtime) {
        let refusals = self.overload.memory.refusals();
        if refusals > self.logged_refusals {
            runtime.log(&format!(
                "buffers were refused memory {} times; their limit is {} MB",
                refusals - self.logged_refusals,
                self.overload.memory.limit() / MB
            ));
            self.logged_refusals = refusals;
        }
    }

    fn log_evictions(&mut self, runtime: &Runtime) {
        let evictions = self.overload.evictions();
        let count = evictions - self.logged_evictions;
        if count > 0 {
            let open_connections = self.overload.open_connections();
            runtime.log(&format!(
                "{count} connections were closed to make room, {open_connections} are open"
            ));
        }
        self.logged_evictions = evictions;
    }
}
