//! The list of keys on a disk, as written to a checkpoint for the capacity planner.

use super::session::SessionCacheState;
use serde::{Deserialize, Serialize};

/// A key on a disk, without its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointKey {
    /// The key in the store.
    pub key: String,
    /// Version of the key's value.
    pub seq: u64,
    /// Size of the value in bytes.
    pub bytes: u64,
    /// Where the session's prefix is cached; `None` for keys that are not sessions.
    pub kv: Option<SessionCacheState>,
}
