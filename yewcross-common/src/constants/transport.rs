//! Connections between nodes, and the disk threads.

use super::{MS, SEC};

/// us. Cap on one exchange between our processes on the serving path.
pub const PEER_REQUEST_TIMEOUT: u64 = 700 * MS;
/// us. A connection on which nothing came for this long after a question is left for a new one.
pub const LINK_SUSPECT_AFTER: u64 = 200 * MS;
/// us. Opening a connection inside the tier.
pub const CONNECT_TIMEOUT: u64 = 300 * MS;
/// us. A link of our own whose bytes are not acknowledged is given up: sooner than the usual 3 s in
/// which a machine counts as in touch again.
pub const PEER_SEND_TIMEOUT: u64 = 2 * SEC;
/// us. Any other connection: it may outlive a short cut, but not the time in which another server
/// would answer.
pub const SEND_TIMEOUT: u64 = 5 * SEC;
/// us. A connection we opened is asked for life after this long without a byte, and again as often.
pub const KEEPALIVE_INTERVAL: u64 = SEC;
/// count. New connections that may wait to be accepted: a burst of all callers of a front while a
/// turn is computed.
pub const ACCEPT_BACKLOG: i32 = 1024;
/// count. Threads that may wait for the disk at once.
pub const DISK_THREADS: usize = 4;
/// bytes. Read from a link at once: several frames of usual size.
pub const PEER_READ_BUFFER_BYTES: usize = 16 << 10;
/// bytes. Largest frame accepted from a peer.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
