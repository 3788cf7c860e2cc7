//! Registers, their disks, and repair.

use super::{MS, SEC};

/// count. ReplicaSet of each store key: one disk may be lost and the next change still lands on
/// two.
pub const RECORD_REPLICAS: usize = 3;
/// us. A disk that has not synced within this is treated as stalled for that exchange.
pub const SYNC_TIMEOUT: u64 = 600 * MS;
/// count. Folders that the register copies of a disk are spread over, by the hash of their key.
pub const KEY_SHARDS: usize = 64;
/// us. A failed disk is tried this often: five tries a second cost little, and a loss that ends is
/// soon over.
pub const DISK_RETRY_INTERVAL: u64 = 200 * MS;
/// bytes. Written to try a failed disk: more than a register's or a document's usual file.
pub const DISK_PROBE_BYTES: usize = 64 << 10;
/// count. Times that a reader looks at copies that differ before it takes the key and repairs them.
pub const READ_ATTEMPTS: usize = 4;
/// us. Between two looks, up to twice this: an owner's write reaches a majority within a few ms.
pub const READ_RETRY_DELAY: u64 = 10 * MS;
/// us. A reader that does not propose looks at the copies for this long, and then gives the
/// proposer as long to answer.
pub const READ_TIMEOUT: u64 = 400 * MS;
/// us. An operator that reads the configuration back is answered within this: it goes on to another
/// node after a second.
pub const READ_BACK_TIMEOUT: u64 = 850 * MS;
/// us. An idle key's owner forgets its value after this, to bound memory.
pub const OWNED_VALUE_IDLE_TIMEOUT: u64 = 120 * SEC;
/// us. Pause between keys of the repair sweep.
pub const SWEEP_PAUSE: u64 = 20 * MS;
/// us. Rest between two whole sweeps.
pub const SWEEP_INTERVAL: u64 = 10 * SEC;
