//! Polling of servers: load reports, and the platform's server list.

use super::{MS, SEC};

/// Interval at which the home node of a site polls the load reports of its servers, in µs.
pub const LOAD_REPORT_INTERVAL: u64 = 250 * MS;
/// A home node sends all reports in full on one poll of this many, for fronts that have just
/// joined.
pub const FULL_REPORT_EVERY_POLLS: u64 = 4;
/// Age from which the occupancy judge ignores a report, in µs.
pub const LOAD_REPORT_STALE_AFTER: u64 = 2 * SEC;
/// A server without a report for this long, in µs, is not eligible.
pub const LOAD_REPORT_LOST_AFTER: u64 = 1_500 * MS;
/// Interval at which the platform's server list is polled, in µs, unless the platform asks for a
/// longer one.
pub const SERVER_LIST_POLL_INTERVAL: u64 = 500 * MS;
/// Interval at which a server list in the platform's own format is polled, in µs: each page is a
/// call that is charged for.
pub const CATALOGUE_POLL_INTERVAL: u64 = SEC;
/// Delay before a list that was read before its reader was allowed to decide it is read again, in
/// µs.
pub const CATALOGUE_REREAD_DELAY: u64 = 250 * MS;
/// Longest back-off after a rejected poll of the list, in µs.
pub const CATALOGUE_BACKOFF_MAX: u64 = 8 * SEC;
/// Longest wait for one page, in µs.
pub const CATALOGUE_PAGE_TIMEOUT: u64 = 1_500 * MS;
/// Upper limit on the pages read in one poll; a longer list is treated as invalid.
pub const CATALOGUE_MAX_PAGES: usize = 256;
/// Longest wait for the identity or the load report of a server, in µs.
pub const UPSTREAM_REPORT_TIMEOUT: u64 = 400 * MS;
/// Longest time without data inside a stream before the attempt is given up, in µs.
pub const STREAM_IDLE_TIMEOUT: u64 = 3 * SEC;
