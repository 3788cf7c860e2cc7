//! Transfer of KV caches between servers.

use super::{MS, SEC};

/// tokens. The paper's threshold below which a prefix is cheap to prefill.
pub const KV_MIN_TOKENS: u64 = 8_192;
/// bytes per token of KV cache: 1 GB per 50,000 tokens in the paper.
pub const KV_TOKEN_BYTES: u64 = 20_000;
/// percent. Reuse from here up is a warm resume, and above KV_PARTLY partly warm.
pub const KV_WARM_PERCENT: u64 = 90;
pub const KV_PARTLY_WARM_PERCENT: u64 = 30;
/// us per 1,000 tokens: 2.8 s per 50,000 in the paper.
pub const KV_IMPORT_US_PER_1000_TOKENS: u64 = 56 * MS;
/// us. Longest wait for a save or a push.
pub const KV_PUSH_TIMEOUT: u64 = 20 * SEC;
/// count. Pushes a front has under way towards one server.
pub const KV_PUSHES_PER_SERVER: usize = 2;
/// count. Session transfer records a front keeps, the shards they stand in, and the placed prefixes
/// kept of each: the home, the replica, and the home before.
pub const KV_TRANSFER_RECORDS: usize = 8192;
pub const KV_SHARDS: usize = 8;
pub const KV_PREFIXES_PER_SESSION: usize = 3;
/// us. Longest wait for an import; no turn waits for one. 200,000 tokens take 11.2 s.
pub const KV_IMPORT_TIMEOUT: u64 = 15 * SEC;
/// percent of a home's slots taken from which on its sessions' replicas are brought in ahead of
/// need.
pub const KV_NEAR_FULL_PERCENT: u64 = 75;
/// us. Window over which a cache's turnover is taken, and how long a prefix brought in without need
/// should stand: longer than callers think between turns.
pub const KV_TURNOVER_WINDOW: u64 = 10 * SEC;
pub const KV_PREFETCH_LIFETIME: u64 = 60 * SEC;
