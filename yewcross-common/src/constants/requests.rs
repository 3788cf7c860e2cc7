//! Deadlines, queueing, and bounds of what is believed.

use super::{MS, SEC};

/// bytes per token, for counting what has no tokenizer here.
pub const BYTES_PER_TOKEN: usize = 4;
/// ms. Horizons outside these are refused as bad input.
pub const DEADLINE_MIN_MS: u64 = 10;
pub const DEADLINE_MAX_MS: u64 = 600_000;
/// us. No outcome is sent later than its horizon and this; a caller that reads too slowly is cut
/// off then.
pub const DEADLINE_GRACE: u64 = 500 * MS;
/// us. Sending an outcome that has no horizon.
pub const RESPONSE_TIMEOUT: u64 = 10 * SEC;
/// ms. Ten years, the longest that a record may be kept.
pub const RETENTION_MAX_MS: u64 = 315_360_000_000;
/// Figures above which a server's report is not believed: slots or jobs, us a token or a thousand,
/// tokens.
pub const REPORT_MAX_REQUESTS: u32 = 100_000;
pub const REPORT_MAX_US: u64 = 600 * SEC;
pub const REPORT_MAX_TOKENS: u64 = 1 << 50;
/// us. The longest that a platform's Retry-After is heeded.
pub const RETRY_AFTER_MAX: u64 = 30 * SEC;
/// us. Kept back from a horizon for the commit and the way home.
pub const COMMIT_RESERVE: u64 = 60 * MS;

/// percent of a horizon that a job may spend waiting before it is told to come back: the caller
/// keeps most of its time for another try, and the line holds only jobs that can still be served.
pub const QUEUEING_SHARE_PERCENT: u64 = 40;
/// count. Passes after which a line's own pace is trusted.
pub const QUEUE_RATE_MIN_SAMPLES: u64 = 4;
