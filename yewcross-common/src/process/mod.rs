//! The life of a process of the tier: its start, signals and end.

pub mod data_folder;
pub mod log_output;
pub mod memory;
pub mod signals;
mod startup_retry;

pub use startup_retry::{bind, choose_address, retry};

use crate::process_settings::exit;

/// Writes a line to the log of the process. Parts that have a runtime use its `log`.
pub fn log(line: &str) {
    spdlog::info!("{}", line);
}

/// Logs how the process ends, on standard error if it is a failure; returns the exit code.
pub fn log_end(exit_code: i32, reason: &str) -> i32 {
    if let Some(peak_mb) = memory::peak_mb() {
        spdlog::info!("peak resident memory {peak_mb} MB");
    }
    if exit_code == exit::OK {
        spdlog::info!("process is ending with exit code {exit_code}: {reason}");
    } else {
        spdlog::error!("process is ending with exit code {exit_code}: {reason}");
    }
    exit_code
}
