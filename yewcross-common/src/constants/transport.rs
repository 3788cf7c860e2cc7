//! Connections between nodes, and disk threads.

use super::{MS, SEC};

/// Longest duration of one request between processes of the tier on the serving path, in µs.
pub const PEER_REQUEST_TIMEOUT: u64 = 700 * MS;
/// A connection on which nothing was received for this long after a request, in µs, is replaced by
/// a new one.
pub const LINK_SUSPECT_AFTER: u64 = 200 * MS;
/// Longest time to open a connection inside the tier, in µs.
pub const CONNECT_TIMEOUT: u64 = 300 * MS;
/// A connection inside the tier whose data is not acknowledged for this long, in µs, is closed:
/// sooner than the usual 3 s within which a node must be in contact again.
pub const PEER_SEND_TIMEOUT: u64 = 2 * SEC;
/// The same timeout for all other connections, in µs: they survive a short network interruption,
/// but not the time in which another server would respond.
pub const SEND_TIMEOUT: u64 = 5 * SEC;
/// A keep-alive probe is sent on an outgoing connection after this long without data, in µs, and
/// repeated at the same interval.
pub const KEEPALIVE_INTERVAL: u64 = SEC;
/// Upper limit on new connections that wait to be accepted, whatever the memory: a burst from all
/// callers of a front while a turn is computed.
pub const MAX_ACCEPT_BACKLOG: i32 = 1024;
/// Number of threads that may wait for the disk at once.
pub const DISK_THREADS: usize = 4;
/// Bytes read from a connection at once: several frames of the usual size.
pub const PEER_READ_BUFFER_BYTES: usize = 16 << 10;
/// Largest frame that is accepted from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Memory of a peer's request that is being handled, in bytes, without its frame and its response.
pub const PEER_REQUEST_BYTES: usize = 8 << 10;
