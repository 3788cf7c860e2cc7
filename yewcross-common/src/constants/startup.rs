//! The start of a process, and the supervision of its resources.

use super::{MS, SEC};

/// Longest time that a process waits at its start for a condition that may pass, in ms: longer than
/// the 60 s for which the system keeps the port of a closed connection.
pub const START_TIMEOUT_MS: u64 = 75_000;
/// Interval between two attempts at a step of the start, in µs.
pub const STARTUP_RETRY_INTERVAL: u64 = 50 * MS;
/// Interval at which a process compares its memory with its limit, in µs.
pub const MEMORY_WATCH_INTERVAL: u64 = 5 * SEC;
