//! The turn log and its stores.

use super::{MS, SEC};

/// Time for which a listener that closes, and an idle connection of it, still accept what was sent
/// before, in µs: about the one-way latency across a region.
pub const CLOSING_LINGER: u64 = 50 * MS;
/// A further store is used if one has not acknowledged a write within this time, in µs: ten times
/// the duration of a sync on a slow disk.
pub const STORE_HEDGE_DELAY: u64 = 250 * MS;
/// Number of `STORE_HEDGE_DELAY` periods after which an owner that has sent no response to this
/// process is skipped, before membership has confirmed its failure: a turn must be opened within a
/// second.
pub const STORE_UNRESPONSIVE_HEDGES: usize = 2;
/// Time for which a store that exceeded the hedge delay is used last, in µs: until membership has
/// determined its state.
pub const STORE_SLOW_PERIOD: u64 = 2 * SEC;
/// Delay before stores are asked again after all of them answered that they cannot serve now, in
/// µs; a random part of up to the same length is added.
pub const STORE_RETRY_DELAY: u64 = 20 * MS;
/// Time for which the usage of a turn is resent, in µs; after it, the turn counts with its maximum.
pub const SETTLEMENT_RETRY_PERIOD: u64 = 60 * SEC;
/// Before the owner of a ledger rejects a program, it asks the other disks which turns have ended,
/// unless it did so less than this long ago, in µs.
pub const LEDGER_REFRESH_INTERVAL: u64 = 300 * MS;
/// Shortest retention of a program's ledger after its last change, in ms.
pub const LEDGER_RETENTION_MS: u64 = 300_000;
/// Margin added to the retention of turns and ledgers for clocks that differ, in ms.
pub const RETENTION_MARGIN_MS: u64 = 60_000;
/// The same margin where memory is short, in ms.
pub const RETENTION_MARGIN_SHORT_MS: u64 = 5_000;
/// Interval at which expired turns and ledgers are removed, in µs.
pub const EXPIRY_INTERVAL: u64 = 2 * SEC;
/// Size of a segment of a store's log, in bytes; a new one costs an additional sync.
pub const SEGMENT_BYTES: u64 = 8 << 20;
/// Bytes that the log may hold beyond one and a half times its live data: all of it is read through
/// memory at a start.
pub const LOG_SLACK_BYTES: u64 = 16 << 20;
/// Largest blob of one push between stores, and of one step of a rewrite, in bytes: it must not
/// delay the sync of a turn.
pub const TRANSFER_BATCH_BYTES: usize = 512 << 10;
/// Largest part of a chain that a store returns when it opens a turn, in bytes; it may be empty.
pub const OPENED_HISTORY_BYTES: usize = 64 << 10;
/// Largest part of a chain that a store returns or receives at once, in bytes, unless a single turn is
/// larger.
pub const HISTORY_PAGE_BYTES: usize = 512 << 10;
/// Longest time for which a turn waits for memory for its chain, in µs.
pub const CHAIN_MEMORY_TIMEOUT: u64 = SEC;
/// Upper limit on the turn ids in one request.
pub const TURN_IDS_PER_REQUEST: usize = 4096;
/// Bytes that may wait for the disk before a store rejects requests.
pub const LOG_QUEUE_BYTES: usize = 16 << 20;
/// Number of concurrent requests of a store before it rejects further ones.
pub const STORE_CONCURRENT_REQUESTS: usize = 1024;
/// Bytes of turns that a front caches where the startup file sets no limit.
pub const TURN_CACHE_BYTES: usize = 48 << 20;
/// Bytes of turns that a store holds in memory where the startup file sets no limit.
pub const TURN_STORE_BYTES: usize = 256 << 20;
/// Number of programs whose owner a front caches.
pub const CACHED_LEDGER_OWNERS: usize = 16_384;
