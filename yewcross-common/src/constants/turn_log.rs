//! The turn log and its stores.

use super::{MS, SEC};

/// us. How long a door that closes, and an idle connection behind it, still look for what was sent
/// before: about one way through a region.
pub const CLOSING_LINGER: u64 = 50 * MS;
/// us. A store asked to keep something that has not answered by then is joined by another: ten
/// times a slow disk's sync.
pub const STORE_HEDGE_DELAY: u64 = 250 * MS;
/// count of CHAIN_SPARE. An owner that has said nothing to anyone here for so long is passed by,
/// before membership is sure: a turn's opening has a second.
pub const STORE_UNRESPONSIVE_HEDGES: usize = 2;
/// us. A store that let somebody wait that long is asked last for so long: until membership has
/// judged it.
pub const STORE_SLOW_PERIOD: u64 = 2 * SEC;
/// us. Asking again after every store said that it cannot now, doubled by chance.
pub const STORE_RETRY_DELAY: u64 = 20 * MS;
/// us. How long what a turn used is told again by itself; after that it counts at its most.
pub const SETTLEMENT_RETRY_PERIOD: u64 = 60 * SEC;
/// us. Before a program is refused, its owner asks the other disks what ended, unless it did so
/// just now.
pub const LEDGER_REFRESH_INTERVAL: u64 = 300 * MS;
/// ms. A program's ledger is kept this long after its last change at least.
pub const LEDGER_RETENTION_MS: u64 = 300_000;
/// ms. Turns and ledgers are kept this much past their time, for clocks that differ; the shorter
/// where memory is short.
pub const RETENTION_MARGIN_MS: u64 = 60_000;
pub const RETENTION_MARGIN_SHORT_MS: u64 = 5_000;
/// us. How often what is over is looked for.
pub const EXPIRY_INTERVAL: u64 = 2 * SEC;
/// bytes. A segment of a store's log; a new one costs one more sync.
pub const SEGMENT_BYTES: u64 = 8 << 20;
/// bytes. What the log may hold beyond one and a half times what lives: all of it passes through
/// memory at a start.
pub const LOG_SLACK_BYTES: u64 = 16 << 20;
/// bytes. Largest blob of one push between stores, and of one piece of rewriting: it must not hold
/// up a turn's sync.
pub const TRANSFER_BATCH_BYTES: usize = 512 << 10;
/// count. Ids asked about in one question.
pub const TURN_IDS_PER_REQUEST: usize = 4096;
/// bytes. What may wait for the disk before a store says that it cannot.
pub const LOG_QUEUE_BYTES: usize = 16 << 20;
/// count. Questions a store has under way before it says that it cannot.
pub const STORE_CONCURRENT_REQUESTS: usize = 1024;
/// bytes. Turns a front keeps on hand, and a store in memory, where the startup file sets no bound.
pub const TURN_CACHE_BYTES: usize = 48 << 20;
pub const TURN_STORE_BYTES: usize = 256 << 20;
/// count. Programs whose owner a front remembers.
pub const CACHED_LEDGER_OWNERS: usize = 16_384;
