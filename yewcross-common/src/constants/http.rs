//! Requests and connections of callers.

use super::SEC;

/// Largest body of a turn, in bytes: a long document fits, an excessive body does not.
pub const MAX_BODY_BYTES: usize = 2 << 20;
/// Largest request head, in bytes.
pub const MAX_HEAD_BYTES: u64 = 8 << 10;
/// Time within which a caller must finish the request head, in µs.
pub const HEAD_TIMEOUT: u64 = 5 * SEC;
/// Time within which a caller must finish the request body, in µs.
pub const BODY_TIMEOUT: u64 = 5 * SEC;
/// An idle keep-alive connection is closed after this time, in µs.
pub const IDLE_CONNECTION_TIMEOUT: u64 = 30 * SEC;
/// Upper limit on open caller connections per front.
pub const MAX_CALLER_CONNECTIONS: usize = 4096;
