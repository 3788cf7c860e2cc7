//! The choice of a server, connections to servers, retries and hedging.

use super::{MS, SEC};

/// us. From the last check of a server that was chosen to the first byte sent to it. Between the
/// two lies one turn of the scheduler, some ms on a slow machine; a process that stood still for
/// longer has to choose anew.
pub const SELECTION_LIFETIME: u64 = 250 * MS;
/// us. Idle time of a server's connection where the server names none.
pub const UPSTREAM_IDLE_TIMEOUT: u64 = 5 * SEC;
/// us. An idle connection is given up this long before the server would close it.
pub const UPSTREAM_IDLE_MARGIN: u64 = SEC;
/// us. A connection used this recently is not about to be closed; requests that must not run twice
/// prefer those.
pub const UPSTREAM_RECENT_USE: u64 = 3 * SEC;
/// bytes. Buffer of a server connection, each way.
pub const UPSTREAM_BUFFER_BYTES: usize = 64 << 10;
/// bytes. An answer up to this size is read whole before it is passed on, so that a broken one can
/// be told as such.
pub const BUFFERED_RESPONSE_BYTES: u64 = 256 << 10;
/// percent of a route's aim that a request may wait for a place; above a quarter it is priced as
/// held.
pub const QUEUEING_TARGET_PERCENT: u64 = 20;
/// count. Requests beyond a server's slots that its own queue is trusted with.
pub const SERVER_QUEUE_ALLOWANCE: f64 = 2.0;
/// us. A server that failed is left alone this long, doubled with each failure in a row.
pub const EJECTION_TIME: u64 = 250 * MS;
/// count. Doublings of that time at most: a server that is well again is found in 4 s.
pub const EJECTION_DOUBLINGS: u32 = 4;
/// count. Other fronts that have to leave a server alone before this one does too.
pub const EJECTION_QUORUM: u32 = 2;
/// percent of the servers that are left alone on the word of others, at most.
pub const EJECTED_MAX_PERCENT: usize = 30;
/// A server is silent that owes an answer for so many times the usual time from dispatch to the
/// head, and this (us) longer.
pub const UNRESPONSIVE_FACTOR: f64 = 4.0;
pub const UNRESPONSIVE_MIN: u64 = 150 * MS;
/// us. What was heard of a server's load fades towards its mean at this pace: about as long as a
/// request takes.
pub const LOAD_DECAY_TIME: u64 = 300 * MS;
/// us. A front tells what it has under way this often: several times in the life of a request.
pub const LOAD_EXCHANGE_INTERVAL: u64 = 50 * MS;
/// us. And this often one that has nothing under way, or whose servers tell their load themselves:
/// then for the word of failing servers alone.
pub const LOAD_EXCHANGE_IDLE_INTERVAL: u64 = 500 * MS;
/// us. A service's servers tell their load that did so within this time.
pub const REPORTED_LOAD_LIFETIME: u64 = 5 * SEC;
/// us. Collectors of different sites tell each other this often.
pub const LOAD_SITE_EXCHANGE_INTERVAL: u64 = 100 * MS;
/// us. A front that has not reported for this long counts for nothing: its requests may be over.
pub const LOAD_REPORT_LIFETIME: u64 = SEC;
/// us. Waiting for the answer to a report; the next report is due by then.
pub const LOAD_EXCHANGE_TIMEOUT: u64 = 100 * MS;
/// count. Servers of a site that other sites hear of, those with the least load.
pub const LOAD_SITE_SERVERS: usize = 64;
/// us. A server that said it is full is passed by for a quarter of the usual time to a head, within
/// these.
pub const FULL_SERVER_PAUSE_MIN: u64 = 5 * MS;
pub const FULL_SERVER_PAUSE_MAX: u64 = 100 * MS;
/// us. Time from dispatch to the head that is assumed at least, also before any was observed.
pub const MIN_USUAL_HEAD_US: f64 = 10_000.0;
/// Share of a sample's weight that is left when the next one comes: the last few hundred count.
pub const SLOPE_DECAY: f64 = 0.995;
/// count. Samples as which an assumed slope weighs.
pub const SLOPE_PRIOR: f64 = 4.0;
/// us a token of a prompt, until first events have shown it.
pub const ASSUMED_PREFILL_US_PER_TOKEN: f64 = 33.0;
/// tokens. Usual deviation of what a server has to read.
pub const PREFILL_TOKENS_DEVIATION: f64 = 1_000.0;
/// us between two events for each request beside it, until streams have shown it.
pub const ASSUMED_EVENT_SLOWDOWN_US: f64 = 500.0;
/// count. Usual deviation of the requests beside one.
pub const CONCURRENCY_DEVIATION: f64 = 2.0;
/// count. Events of a stream, until some have been seen.
pub const ASSUMED_EVENTS_PER_STREAM: f64 = 10.0;
/// us that a request beside it adds, where that is not learned.
pub const ASSUMED_CONCURRENCY_COST_US: f64 = 1_000.0;
/// Second attempts for each request, on the long run, and how many may come at once (count).
pub const RETRY_SHARE: f64 = 0.1;
pub const RETRY_BURST: f64 = 10.0;
/// A second server is asked once the first is silent for so many times the usual time to a head,
/// for this share of the aim, and for this long (us), whichever is longest.
pub const HEDGE_FACTOR: u64 = 3;
pub const HEDGE_TARGET_PERCENT: u64 = 60;
pub const HEDGE_DELAY_MIN: u64 = 50 * MS;
/// A stream is stalled that is silent for this share of the longest pause in time (percent), and
/// for so many times the usual pause: what is left of the pause is enough to take it up elsewhere.
pub const STALL_GAP_PERCENT: u64 = 60;
pub const STALL_FACTOR: f64 = 4.0;
/// us. What a prompt's bytes between zones are worth against its time to the first event.
pub const ZONE_COST_MODEL: f64 = 20_000.0;
/// us. The same of a lookup's bytes against its answer.
pub const ZONE_COST_LOOKUP: f64 = 8_000.0;
/// A server that by its name is the one for an affinity key is taken as long as its work costs at
/// most so many times the best other's: it does such work in about half of the time, and must not
/// be flooded for it.
pub const AFFINITY_BOUND: f64 = 1.5;
/// us. What a new connection is worth against time.
pub const CONNECT_COST_US: f64 = 4_000.0;
/// us. A front that has just begun lets requests wait this long for its first configuration and
/// list.
pub const FIRST_CONFIGURATION_WAIT: u64 = 400 * MS;
/// us. How often connections, seats and waiting lines are tidied.
pub const MAINTENANCE_INTERVAL: u64 = SEC;
/// us. From the word to stop until the door closes: the platform sends new callers elsewhere after
/// two missed checks.
pub const SHUTDOWN_DRAIN_DELAY: u64 = 2_500 * MS;
/// us. Kept back from the grace of a stop, so that the process ends by itself.
pub const SHUTDOWN_RESERVE: u64 = 500 * MS;
/// us. How long a turn waits for the stores to open it before it is sent back; a store that moved
/// is found in less.
pub const TURN_OPEN_TIMEOUT: u64 = SEC;
/// count. Idle connections to one server that all fronts together keep.
pub const IDLE_UPSTREAM_CONNECTIONS: usize = 64;
