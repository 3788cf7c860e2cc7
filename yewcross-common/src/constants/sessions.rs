//! Records of sessions and budgets.

use super::SEC;

/// Number of complete outcomes retained per session; of older ones only the request digest is
/// retained.
pub const RETAINED_OUTCOMES: usize = 16;
/// Number of request digests (job id and digest of the body) retained per session.
pub const RETAINED_REQUEST_DIGESTS: usize = 1024;
/// Number of request ids retained in addition to the digests; a session that has used all of them
/// accepts no more turns. They last for one turn a second over 18 hours.
pub const RETAINED_REQUEST_IDS: usize = 65_536;
/// Number of request ids in one line of a session record.
pub const REQUEST_IDS_PER_LINE: usize = 64;
/// Number of barred attempts retained per session; they come only from failed requests to begin a
/// turn.
pub const RETAINED_BARRED_ATTEMPTS: usize = 64;
/// Retention of a record that holds nothing but barred attempts, in ms: no frame is in flight for
/// longer.
pub const BARRED_ATTEMPT_RETENTION_MS: u64 = 600_000;
/// Age from which a reservation is audited, in ms.
pub const RESERVATION_AUDIT_AGE_MS: u64 = 30_000;
/// A running job whose front has not reported for this long after the deadline, in µs, is closed as
/// "may have run".
pub const RUN_GRACE: u64 = 2 * SEC;
/// Number of session histories that a front caches to save traffic between sites.
pub const CACHED_SESSION_HISTORIES: usize = 4096;

/// Default `Retry-After` where no better value is known, in seconds.
pub const DEFAULT_RETRY_AFTER_S: u64 = 1;
