//! Limits on what a process holds for its callers.

use super::{MS, SEC};

/// Upper limit on the open connections of callers of a process, whatever its memory.
pub const MAX_CALLER_CONNECTIONS: usize = 4096;
/// Memory of a caller's connection whose request is being read, in bytes, without its buffers and the
/// bytes that are not read yet.
pub const CALLER_CONNECTION_BYTES: usize = 40 << 10;
/// Memory of a process that serves nobody, in bytes.
pub const PROCESS_BASE_BYTES: usize = 16 << 20;
/// Percentage of the available memory (the limit without `PROCESS_BASE_BYTES`) for the connections of
/// callers, with the bytes that have arrived on them and are not read yet.
pub const CALLER_CONNECTION_MEMORY_PERCENT: usize = 30;
/// Percentage of the available memory for buffers whose size callers determine.
pub const BUFFER_MEMORY_PERCENT: usize = 35;
/// Percentage of the available memory for what arrives on connections that are not accepted yet.
pub const BACKLOG_MEMORY_PERCENT: usize = 15;
/// Most ports on which a process listens.
pub const LISTENING_PORTS: usize = 3;
/// Descriptors of a process's limit that the machine reserves for files outside the data folder.
pub const FILES_RESERVED: usize = 200;
/// Percentage of the other descriptors for the connections of callers; servers, peers and files need
/// the rest.
pub const CALLER_CONNECTION_FILES_PERCENT: usize = 60;
/// Bytes of the memory limit for each byte of the receive window of a caller's connection.
pub const RECEIVE_WINDOW_PER_MEMORY: usize = 16 << 10;
/// Smallest and largest receive window of a caller's connection, in bytes.
pub const RECEIVE_WINDOW_BYTES_MIN: usize = 8 << 10;
/// See `RECEIVE_WINDOW_BYTES_MIN`.
pub const RECEIVE_WINDOW_BYTES_MAX: usize = 32 << 10;
/// The system may keep up to this many times the window that was asked for.
pub const UNREAD_WINDOWS: usize = 2;
/// Receive window of a connection that receives a large request or frame, in bytes: 4 MB arrive
/// within seconds from another region.
pub const LARGE_RECEIVE_WINDOW_BYTES: usize = 128 << 10;
/// Shortest time in µs for which a connection may wait for its caller before it may be closed for
/// another: enough for a small request from another region.
pub const STALL_TIME_MIN: u64 = 200 * MS;
/// The same for a connection whose buffers are needed by another request, in µs: enough to send a
/// large body.
pub const LARGE_HOLD_TIME_MIN: u64 = SEC;
/// Longest time in µs that a frame of a peer waits for its memory; the request that it carries has
/// timed out then.
pub const FRAME_MEMORY_TIMEOUT: u64 = SEC;
/// Longest time in µs that a connection which is to be closed takes to free what it holds.
pub const EVICTION_TIMEOUT: u64 = 100 * MS;
/// A connection whose caller completes nothing, or reads nothing, for this long is closed, in µs.
pub const RECEIVE_STALL_TIMEOUT: u64 = 180 * SEC;
/// Percentage of the memory for buffers that may be used by those larger than `SMALL_BUFFER_BYTES`.
pub const LARGE_BUFFER_PERCENT: usize = 75;
/// Largest size of a buffer that counts as small, in bytes.
pub const SMALL_BUFFER_BYTES: usize = 64 << 10;
