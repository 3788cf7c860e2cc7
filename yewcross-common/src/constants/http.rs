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
/// Upper limit on the open connections of callers of a process, whatever its memory.
pub const MAX_CALLER_CONNECTIONS: usize = 4096;
/// Memory of a caller's connection whose request is being read, in bytes.
pub const CALLER_CONNECTION_BYTES: usize = 40 << 10;
/// Percentage of a process's memory limit for the connections of its callers.
pub const CALLER_CONNECTION_MEMORY_PERCENT: usize = 25;
/// Percentage of a process's limit of descriptors for the connections of its callers; servers, peers
/// and files need the rest.
pub const CALLER_CONNECTION_FILES_PERCENT: usize = 60;
/// Percentage of a process's memory limit for buffers whose size callers determine.
pub const BUFFER_MEMORY_PERCENT: usize = 30;
/// Percentage of the memory for buffers that may be used by those larger than `SMALL_BUFFER_BYTES`.
pub const LARGE_BUFFER_PERCENT: usize = 75;
/// Largest size of a buffer that counts as small, in bytes.
pub const SMALL_BUFFER_BYTES: usize = 64 << 10;
/// Memory of an operator's order relative to its text: the text, its copy in the document and its
/// parsed form.
pub const ORDER_MEMORY_FACTOR: usize = 3;
/// Largest event of a server's stream, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// Largest part of a buffered response that is handed to a connection at once, in bytes: what the
/// connection has not sent yet is no longer counted as buffered.
pub const RESPONSE_PART_BYTES: usize = 16 << 10;
