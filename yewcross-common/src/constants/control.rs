//! The control plane: serving leases, operators' orders, layout changes, and the lease of the
//! singleton tasks.

use super::{MS, SEC};

/// Length of a front's serving lease, in µs. A front that has received no confirmation for this
/// long that its documents are the newest stops serving.
pub const SERVING_LEASE: u64 = 1_200 * MS;
/// Interval at which a front renews its serving lease, in µs; three attempts fit into a lease.
pub const SERVING_LEASE_RENEWAL: u64 = 300 * MS;
/// Longest time that a put of a configuration waits for the fronts before it is answered as
/// undecided, in µs.
pub const PUT_TIMEOUT: u64 = 4 * SEC;
/// Number of configuration versions that are retained for rollbacks and for the lists of fronts
/// that have not confirmed a version yet.
pub const RETAINED_VERSIONS: usize = 16;
/// Number of digests of operators' orders that are retained at any age, so that an order that is
/// sent again after it was superseded is recognised.
pub const RETAINED_ORDERS_MIN: usize = 64;
/// Upper limit on the number of retained order digests at any age: at 90 bytes each they take 46
/// KB, which are written and synced with each order.
pub const RETAINED_ORDERS_MAX: usize = 512;
/// Order digests younger than this are retained, in ms, or than `RETAINED_ORDERS_ACK_TIMEOUTS`
/// times the acknowledgement time if that is longer.
pub const RETAINED_ORDERS_MS: u64 = 30_000;
/// Number of acknowledgement times within which an operator whose response was lost has either
/// given up or received a response to a retry.
pub const RETAINED_ORDERS_ACK_TIMEOUTS: u64 = 4;
/// A replica whose node has been missing for this long, in µs, is moved to a disk that holds none.
pub const REPLICA_MISSING_AFTER: u64 = 1_500 * MS;
/// A replica whose node has been missing for this long, in µs, and that cannot be moved to another
/// disk is removed from the layout as long as enough replicas remain: otherwise the next failure
/// would cost the majority.
pub const REPLICA_LOST_AFTER: u64 = 8 * SEC;
/// Time that the bootstrap waits for more store nodes than the required minimum, in µs.
pub const BOOTSTRAP_WAIT: u64 = 500 * MS;
/// Interval at which the progress of a layout change is checked, in µs: short compared with the
/// time in which a replica should be complete.
pub const LAYOUT_CHANGE_POLL_INTERVAL: u64 = 60 * MS;
/// Interval at which the layout is checked while the node of a replica is missing, in µs.
pub const MISSING_REPLICA_POLL_INTERVAL: u64 = 200 * MS;
/// Delay before a failed step of a layout change is retried, in µs.
pub const LAYOUT_STEP_RETRY_DELAY: u64 = 100 * MS;
/// Longest time to decide one step of a layout change, in µs; after it, a newer layout is looked
/// for.
pub const LAYOUT_STEP_TIMEOUT: u64 = 300 * MS;
/// Longest wait for a disk's report on a layout change, in µs, so that disks that have failed do
/// not delay the change for longer.
pub const SWEEP_REPORT_TIMEOUT: u64 = 350 * MS;
/// Length of a grant of the singleton tasks' lease, in µs on the granter's clock. The successor of
/// a holder that was lost waits for this time.
pub const LEASE_LENGTH: u64 = SEC;
/// The holder treats its lease as expired this much earlier than the granters, in µs: the rates of
/// two clocks may differ by a tenth.
pub const LEASE_MARGIN: u64 = 100 * MS;
/// Interval at which the holder renews the lease, in µs: several rounds may be lost.
pub const LEASE_RENEWAL_INTERVAL: u64 = 200 * MS;
/// Longest wait for the response of one granter, in µs. With `MAX_UNCONFIRMED_ROUNDS` rounds in
/// flight, a slower response could not count.
pub const LEASE_REQUEST_TIMEOUT: u64 = 400 * MS;
/// A core that no majority answers reports this to an operator within this time, in µs, well before
/// the operator moves on to another node.
pub const QUORUM_TIMEOUT: u64 = 300 * MS;
/// Delay before a core that has lost contact polls the core replicas again, in µs; doubled after
/// each attempt that reaches no majority.
pub const CONTACT_RETRY_DELAY: u64 = 25 * MS;
/// A lease holder that has not become the proposer of the documents within this time, in µs,
/// releases the lease: it cannot decide anything, and another process may be able to.
pub const FENCING_TIMEOUT: u64 = 1_500 * MS;
/// Time for which such a holder is no candidate for the lease, in µs.
pub const CANDIDACY_PAUSE: u64 = 3 * SEC;
/// Delay before an order that found no proposer looks for one again, in µs; at most twice as long.
pub const PROPOSER_RETRY_DELAY: u64 = 30 * MS;
/// Upper limit on the orders queued at the proposer: each takes some 10 ms on a tenth of a CPU
/// core, and an operator waits for a second.
pub const ORDER_QUEUE_LIMIT: usize = 64;
/// Interval between two rounds in which a document is sent to all nodes, in µs; the versions
/// decided in between are sent as one.
pub const PUBLISH_INTERVAL: u64 = 100 * MS;
/// A core that was notified of a newer document than it holds waits this long for the document to
/// arrive before it fetches it, in µs; doubled after each fetch that finds none, up to
/// `LATE_DOCUMENT_DELAY_MAX`.
pub const LATE_DOCUMENT_DELAY: u64 = 150 * MS;
/// Upper limit on `LATE_DOCUMENT_DELAY` after doublings, in µs.
pub const LATE_DOCUMENT_DELAY_MAX: u64 = 1_200 * MS;
/// Interval at which a core compares the versions that it holds with those that it was notified of,
/// in µs.
pub const LATE_DOCUMENT_POLL_INTERVAL: u64 = 75 * MS;
/// Delay between the attempts of successive candidates for the lease, in µs, so that the first one
/// has its majority before the second one sends its requests.
pub const LEASE_STAGGER: u64 = 40 * MS;
/// Shortest delay before a candidate without a majority tries again, in µs; a random part of up to
/// the same length is added.
pub const LEASE_RETRY_DELAY: u64 = 150 * MS;
