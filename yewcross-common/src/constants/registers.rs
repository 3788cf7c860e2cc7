//! Replicated registers, their disks, and anti-entropy.

use super::{MS, SEC};

/// Number of replicas of each store key: after the loss of one disk, the next change still reaches
/// two.
pub const RECORD_REPLICAS: usize = 3;
/// A disk that has not synced within this time, in µs, is treated as stalled for that request.
pub const SYNC_TIMEOUT: u64 = 600 * MS;
/// Number of directories that the register replicas of a disk are spread over, by the hash of their
/// key.
pub const KEY_SHARDS: usize = 64;
/// Interval at which a failed disk is tested, in µs: five tests a second cost little, and a disk
/// that recovers is soon used again.
pub const DISK_RETRY_INTERVAL: u64 = 200 * MS;
/// Bytes written to test a failed disk: more than the usual file of a register or document.
pub const DISK_PROBE_BYTES: usize = 64 << 10;
/// Number of times that a reader reads replicas that differ before it becomes the proposer of the
/// key and repairs them.
pub const READ_ATTEMPTS: usize = 4;
/// Delay between two reads, in µs, at most twice as long: the proposer's write reaches a majority
/// within a few ms.
pub const READ_RETRY_DELAY: u64 = 10 * MS;
/// Time for which a reader that does not propose reads the replicas, in µs; it then gives the
/// proposer as long to respond.
pub const READ_TIMEOUT: u64 = 400 * MS;
/// Time within which an operator's read of the configuration is answered, in µs: the operator moves
/// on to another node after a second.
pub const READ_BACK_TIMEOUT: u64 = 850 * MS;
/// The proposer of a key drops the cached value after this idle time, in µs, to bound memory.
pub const OWNED_VALUE_IDLE_TIMEOUT: u64 = 120 * SEC;
/// Pause between two keys of an anti-entropy pass, in µs.
pub const SWEEP_PAUSE: u64 = 20 * MS;
/// Pause between two complete anti-entropy passes, in µs.
pub const SWEEP_INTERVAL: u64 = 10 * SEC;
