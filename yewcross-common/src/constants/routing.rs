//! Server selection, connections to servers, retries and hedging.

use super::{MS, SEC};

/// Longest time between the last check of the chosen server and the first byte sent to it, in µs.
/// One round of the scheduler lies in between, some ms on a slow machine; a process that was
/// suspended for longer has to choose again.
pub const SELECTION_LIFETIME: u64 = 250 * MS;
/// Idle timeout of a server's connection where the server states none, in µs.
pub const UPSTREAM_IDLE_TIMEOUT: u64 = 5 * SEC;
/// An idle connection is closed this long before the server would close it, in µs.
pub const UPSTREAM_IDLE_MARGIN: u64 = SEC;
/// A connection used this recently, in µs, is not about to be closed by the server; requests that
/// must not be executed twice prefer such connections.
pub const UPSTREAM_RECENT_USE: u64 = 3 * SEC;
/// Buffer of a server connection in each direction, in bytes.
pub const UPSTREAM_BUFFER_BYTES: usize = 64 << 10;
/// A response up to this size, in bytes, is received completely before it is forwarded, so that a
/// truncated one can be reported as an error.
pub const BUFFERED_RESPONSE_BYTES: u64 = 256 << 10;
/// Percentage of a route's target time that a request may wait for a slot; a wait above a quarter
/// of the target is charged as a held request.
pub const QUEUEING_TARGET_PERCENT: u64 = 20;
/// Number of requests beyond a server's slots that are left to the server's own queue.
pub const SERVER_QUEUE_ALLOWANCE: f64 = 2.0;
/// Time for which a server is ejected after a failure, in µs; doubled with each further failure in
/// a row.
pub const EJECTION_TIME: u64 = 250 * MS;
/// Upper limit on these doublings: a server that has recovered is used again within 4 s.
pub const EJECTION_DOUBLINGS: u32 = 4;
/// Number of other fronts that must have ejected a server before this front does so too.
pub const EJECTION_QUORUM: u32 = 2;
/// Upper limit on the percentage of servers that are ejected on the reports of other fronts.
pub const EJECTED_MAX_PERCENT: usize = 30;
/// A server is unresponsive if a response is outstanding for longer than this factor of the usual
/// time from dispatch to the response head, plus `UNRESPONSIVE_MIN`.
pub const UNRESPONSIVE_FACTOR: f64 = 4.0;
/// Time added to the limit of `UNRESPONSIVE_FACTOR`, in µs.
pub const UNRESPONSIVE_MIN: u64 = 150 * MS;
/// Time constant with which a reported load decays to the server's mean, in µs: about the duration
/// of a request.
pub const LOAD_DECAY_TIME: u64 = 300 * MS;
/// Interval at which a front reports its requests in flight, in µs: several times in the duration
/// of a request.
pub const LOAD_EXCHANGE_INTERVAL: u64 = 50 * MS;
/// Reporting interval of a front that has no requests in flight, or whose servers report their load
/// themselves, in µs: it then only exchanges which servers are failing.
pub const LOAD_EXCHANGE_IDLE_INTERVAL: u64 = 500 * MS;
/// The servers of a service count as reporting their own load for this long after a report, in µs.
pub const REPORTED_LOAD_LIFETIME: u64 = 5 * SEC;
/// Interval at which the collectors of different sites exchange loads, in µs.
pub const LOAD_SITE_EXCHANGE_INTERVAL: u64 = 100 * MS;
/// The report of a front is dropped after this time, in µs: its requests may have ended.
pub const LOAD_REPORT_LIFETIME: u64 = SEC;
/// Longest wait for the response to a report, in µs; the next report is due by then.
pub const LOAD_EXCHANGE_TIMEOUT: u64 = 100 * MS;
/// Number of servers of a site that are reported to other sites, those with the least load.
pub const LOAD_SITE_SERVERS: usize = 64;
/// A server that reported that it is full is skipped for a quarter of the usual time to the
/// response head, and at least for this time, in µs.
pub const FULL_SERVER_PAUSE_MIN: u64 = 5 * MS;
/// Upper bound of the same pause, in µs.
pub const FULL_SERVER_PAUSE_MAX: u64 = 100 * MS;
/// Lower limit on the usual time from dispatch to the response head, in µs; assumed until a time
/// has been observed.
pub const MIN_USUAL_HEAD_US: f64 = 10_000.0;
/// Share of a sample's weight that remains when the next sample arrives: about the last few hundred
/// samples count.
pub const SLOPE_DECAY: f64 = 0.995;
/// Weight of an assumed slope, as a number of samples.
pub const SLOPE_PRIOR: f64 = 4.0;
/// Assumed time per prompt token until the first event, in µs, before it has been observed.
pub const ASSUMED_PREFILL_US_PER_TOKEN: f64 = 33.0;
/// Usual deviation of the number of tokens that a server has to prefill.
pub const PREFILL_TOKENS_DEVIATION: f64 = 1_000.0;
/// Assumed increase of the time between two events for each concurrent request, in µs, before
/// streams have been observed.
pub const ASSUMED_EVENT_SLOWDOWN_US: f64 = 500.0;
/// Usual deviation of the number of concurrent requests.
pub const CONCURRENCY_DEVIATION: f64 = 2.0;
/// Assumed number of events in a stream before any has been observed.
pub const ASSUMED_EVENTS_PER_STREAM: f64 = 10.0;
/// Assumed time that each concurrent request adds where it is not learned from observations, in µs.
pub const ASSUMED_CONCURRENCY_COST_US: f64 = 1_000.0;
/// Long-term limit on second attempts per request.
pub const RETRY_SHARE: f64 = 0.1;
/// Number of second attempts that may be sent in a burst.
pub const RETRY_BURST: f64 = 10.0;
/// A second server is used once the first has not responded for the longest of: this factor of the
/// usual time to the response head, `HEDGE_TARGET_PERCENT` of the target time, and
/// `HEDGE_DELAY_MIN` (in µs).
pub const HEDGE_FACTOR: u64 = 3;
/// Percentage of the target time after which a hedged request may be sent.
pub const HEDGE_TARGET_PERCENT: u64 = 60;
/// Shortest delay of a hedged request, in µs.
pub const HEDGE_DELAY_MIN: u64 = 50 * MS;
/// A stream is stalled if it has sent nothing for this percentage of the longest pause that is in
/// time, and for `STALL_FACTOR` times the usual pause: the rest of the pause is enough to resume it
/// on another server.
pub const STALL_GAP_PERCENT: u64 = 60;
/// Factor of the usual pause between events after which a stream counts as stalled.
pub const STALL_FACTOR: f64 = 4.0;
/// Cost of sending a prompt to another zone, as µs of the time to the first event.
pub const ZONE_COST_MODEL: f64 = 20_000.0;
/// Cost of sending a lookup to another zone, as µs of the time to its response.
pub const ZONE_COST_LOOKUP: f64 = 8_000.0;
/// The server that an affinity key maps to is used as long as its work costs at most this many
/// times that of the best other server: it does such work in about half the time, and must not be
/// overloaded because of it.
pub const AFFINITY_BOUND: f64 = 1.5;
/// Cost of a new connection, in µs.
pub const CONNECT_COST_US: f64 = 4_000.0;
/// Time for which a front that has just started lets requests wait for its first configuration and
/// server list, in µs.
pub const FIRST_CONFIGURATION_WAIT: u64 = 400 * MS;
/// Interval at which connections, server slots and queues are cleaned up, in µs.
pub const MAINTENANCE_INTERVAL: u64 = SEC;
/// Time from the request to stop until the listener closes, in µs: the platform sends new callers
/// elsewhere after two failed health checks.
pub const SHUTDOWN_DRAIN_DELAY: u64 = 2_500 * MS;
/// Longest time in µs for which the connections of the backlog are accepted once the listener is to
/// close.
pub const SHUTDOWN_BACKLOG_TIME: u64 = 300 * MS;
/// Part of the grace period of a stop that is reserved, in µs, so that the process exits by itself.
pub const SHUTDOWN_RESERVE: u64 = 500 * MS;
/// Time for which a turn waits for the stores to open it before it is rejected, in µs; a store that
/// moved is found sooner.
pub const TURN_OPEN_TIMEOUT: u64 = SEC;
/// Upper limit on the idle connections to one server that all fronts together keep.
pub const IDLE_UPSTREAM_CONNECTIONS: usize = 64;
