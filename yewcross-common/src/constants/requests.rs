//! Deadlines, queueing, and limits on the values that are accepted.

use super::{MS, SEC};

/// Assumed bytes per token, to estimate lengths without a tokenizer.
pub const BYTES_PER_TOKEN: usize = 4;
/// Shortest deadline that is accepted, in ms; shorter and longer ones are rejected as invalid
/// input.
pub const DEADLINE_MIN_MS: u64 = 10;
/// Longest deadline that is accepted, in ms.
pub const DEADLINE_MAX_MS: u64 = 600_000;
/// Time after its deadline in which the response to a request may still be sent, in µs; a caller
/// that reads too slowly is then disconnected.
pub const DEADLINE_GRACE: u64 = 500 * MS;
/// Longest time to send a response that has no deadline, in µs.
pub const RESPONSE_TIMEOUT: u64 = 10 * SEC;
/// Longest retention of a record, in ms: ten years.
pub const RETENTION_MAX_MS: u64 = 315_360_000_000;
/// Upper limit on the slots and jobs in a server's load report; a report with a higher figure is
/// rejected as implausible.
pub const REPORT_MAX_REQUESTS: u32 = 100_000;
/// The same limit for times, in µs per token or per thousand tokens.
pub const REPORT_MAX_US: u64 = 600 * SEC;
/// The same limit for numbers of tokens.
pub const REPORT_MAX_TOKENS: u64 = 1 << 50;
/// Upper limit on the `Retry-After` of a platform that is respected, in µs.
pub const RETRY_AFTER_MAX: u64 = 30 * SEC;
/// Part of a deadline that is reserved for the commit and for returning the response to the caller,
/// in µs.
pub const COMMIT_RESERVE: u64 = 60 * MS;

/// Percentage of its deadline that a job may spend in the queue before it is rejected with a time
/// to retry: the caller keeps most of its time for another attempt, and the queue holds only jobs
/// that can still be served.
pub const QUEUEING_SHARE_PERCENT: u64 = 40;
/// Number of admissions after which the measured rate of a queue is used.
pub const QUEUE_RATE_MIN_SAMPLES: u64 = 4;
