//! Records of sessions and budgets.

use super::SEC;

/// count. Outcomes kept whole per session; older ones keep only their mark.
pub const RETAINED_OUTCOMES: usize = 16;
/// count. Marks (job id and body digest) kept per session.
pub const RETAINED_REQUEST_DIGESTS: usize = 1024;
/// count. Bare ids kept beyond the marks, and how many stand in one line of the record; a session
/// that has used all is full. A turn a second for 18 hours.
pub const RETAINED_REQUEST_IDS: usize = 65_536;
pub const REQUEST_IDS_PER_LINE: usize = 64;
/// count. Barred shots remembered per session; they come only from begins that failed.
pub const RETAINED_BARRED_ATTEMPTS: usize = 64;
/// ms. A record that holds nothing but barred shots is kept this long: no frame is under way
/// longer.
pub const BARRED_ATTEMPT_RETENTION_MS: u64 = 600_000;
/// ms. A reservation this old is looked into.
pub const RESERVATION_AUDIT_AGE_MS: u64 = 30_000;
/// us. A running job whose front is silent for this long past its horizon is closed as "may have
/// run".
pub const RUN_GRACE: u64 = 2 * SEC;
/// count. Session histories kept on hand per front to save bytes between sites.
pub const CACHED_SESSION_HISTORIES: usize = 4096;

/// seconds. Come-back time when nothing better is known.
pub const DEFAULT_RETRY_AFTER_S: u64 = 1;
