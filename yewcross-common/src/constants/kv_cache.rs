//! Transfer of KV caches between servers.

use super::{MS, SEC};

/// Prefixes with fewer tokens than this are cheap to prefill; the threshold is the paper's.
pub const KV_MIN_TOKENS: u64 = 8_192;
/// Bytes of KV cache per token: 1 GB per 50,000 tokens in the paper.
pub const KV_TOKEN_BYTES: u64 = 20_000;
/// Percentage of reused tokens from which a resume counts as warm.
pub const KV_WARM_PERCENT: u64 = 90;
/// Percentage of reused tokens above which a resume counts as partly warm.
pub const KV_PARTLY_WARM_PERCENT: u64 = 30;
/// Time to import 1,000 tokens, in µs: 2.8 s per 50,000 tokens in the paper.
pub const KV_IMPORT_US_PER_1000_TOKENS: u64 = 56 * MS;
/// Longest wait for a save or a push of a KV cache, in µs.
pub const KV_PUSH_TIMEOUT: u64 = 20 * SEC;
/// Upper limit on the pushes that a front has in flight to one server.
pub const KV_PUSHES_PER_SERVER: usize = 2;
/// Number of session transfer records that a front retains.
pub const KV_TRANSFER_RECORDS: usize = 8192;
/// Number of shards that a front spreads its session transfer records over.
pub const KV_SHARDS: usize = 8;
/// Number of placed prefixes retained per session: on the home server, on the replica, and on the
/// previous home server.
pub const KV_PREFIXES_PER_SESSION: usize = 3;
/// Longest wait for an import, in µs; no turn waits for one. 200,000 tokens take 11.2 s.
pub const KV_IMPORT_TIMEOUT: u64 = 15 * SEC;
/// Percentage of occupied slots of a home server from which the replicas of its sessions are
/// imported in advance.
pub const KV_NEAR_FULL_PERCENT: u64 = 75;
/// Window over which the turnover of a cache is measured, in µs.
pub const KV_TURNOVER_WINDOW: u64 = 10 * SEC;
/// Time for which a prefix that was imported in advance should stay cached, in µs: longer than
/// callers pause between turns.
pub const KV_PREFETCH_LIFETIME: u64 = 60 * SEC;
