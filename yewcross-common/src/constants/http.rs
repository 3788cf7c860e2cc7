//! Requests and connections of callers.

use super::SEC;

/// Largest body of a turn, in bytes: a long document fits, an excessive body does not.
pub const MAX_BODY_BYTES: usize = 2 << 20;
/// Largest request head, in bytes.
pub const MAX_HEAD_BYTES: u64 = 8 << 10;
/// Time within which a caller must finish the request head, in µs.
pub const HEAD_TIMEOUT: u64 = 5 * SEC;
/// Time within which a caller must finish a small request body, in µs.
pub const BODY_TIMEOUT: u64 = 5 * SEC;
/// Bytes of a body for each of which `BODY_TIMEOUT` is extended: 128 kB a second are always enough.
pub const BODY_BYTES_PER_SECOND_MIN: u64 = 128 << 10;
/// An idle keep-alive connection is closed after this time, in µs.
pub const IDLE_CONNECTION_TIMEOUT: u64 = 30 * SEC;
/// Memory of an operator's order relative to its text: the text, its copy in the document and its
/// parsed form.
pub const ORDER_MEMORY_FACTOR: usize = 3;
/// Largest event of a server's stream, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// Largest part of an available body that is handed to a connection at once, in bytes: what the
/// connection has not sent yet is no longer counted as buffered.
pub const WRITE_PART_BYTES: usize = 16 << 10;
