//! The keys on a disk, as a checkpoint for the planner lists them.

use super::session::SessionCacheState;
use serde::{Deserialize, Serialize};

/// A key on a disk; its value is not included.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointKey {
    /// The key in the store.
    pub key: String,
    /// Version of the value.
    pub seq: u64,
    /// Bytes of the value.
    pub bytes: u64,
    /// Where the session's prefix is cached; none for keys that are no sessions.
    pub kv: Option<SessionCacheState>,
}
