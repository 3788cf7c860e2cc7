//! Requests and connections of callers.

use super::SEC;

/// bytes. A turn's body; a long document fits, a flood does not.
pub const MAX_BODY_BYTES: usize = 2 << 20;
/// bytes. A job's head.
pub const MAX_HEAD_BYTES: u64 = 8 << 10;
/// us. A caller must finish its head within this.
pub const HEAD_TIMEOUT: u64 = 5 * SEC;
/// us. And its body.
pub const BODY_TIMEOUT: u64 = 5 * SEC;
/// us. An idle kept-alive connection is closed after this.
pub const IDLE_CONNECTION_TIMEOUT: u64 = 30 * SEC;
/// count. Open caller connections per front.
pub const MAX_CALLER_CONNECTIONS: usize = 4096;
