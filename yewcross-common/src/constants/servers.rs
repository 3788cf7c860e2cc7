//! What is read of servers: load reports, and the platform's list.

use super::{MS, SEC};

/// us. Poll of a back end's load report by its site's home node.
pub const LOAD_REPORT_INTERVAL: u64 = 250 * MS;
/// count. Every so many polls a home tells all reports whole, for fronts that are new.
pub const FULL_REPORT_EVERY_POLLS: u64 = 4;
/// us. A report older than this counts for nothing in the occupancy judge.
pub const LOAD_REPORT_STALE_AFTER: u64 = 2 * SEC;
/// us. A server unheard for this long has no standing.
pub const LOAD_REPORT_LOST_AFTER: u64 = 1_500 * MS;
/// us. Poll of the platform list, unless the platform asks for more patience.
pub const SERVER_LIST_POLL_INTERVAL: u64 = 500 * MS;
/// us. Poll of a platform's list in its own words: each page is a call that has its price.
pub const CATALOGUE_POLL_INTERVAL: u64 = SEC;
/// us. A list that was read before its reader may decide is read again after this.
pub const CATALOGUE_REREAD_DELAY: u64 = 250 * MS;
/// us. The longest that a refused poll of it backs off to.
pub const CATALOGUE_BACKOFF_MAX: u64 = 8 * SEC;
/// us. Waiting for one page.
pub const CATALOGUE_PAGE_TIMEOUT: u64 = 1_500 * MS;
/// count. Pages of the platform's list read in one poll; a list without end is no list.
pub const CATALOGUE_MAX_PAGES: usize = 256;
/// us. Waiting for a back end's identity or report.
pub const UPSTREAM_REPORT_TIMEOUT: u64 = 400 * MS;
/// us. Longest silence inside a stream before the shot is given up.
pub const STREAM_IDLE_TIMEOUT: u64 = 3 * SEC;
