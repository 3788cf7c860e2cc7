//! The control plane: serving leases, orders, changes of the layout, the duty lease.

use super::{MS, SEC};

/// us. A front that has not heard "nothing newer" for this long stops serving.
pub const SERVING_LEASE: u64 = 1_200 * MS;
/// us. How often a front asks; three tries fit in a lease.
pub const SERVING_LEASE_RENEWAL: u64 = 300 * MS;
/// us. Longest time a configuration put waits for fronts before it says undecided.
pub const PUT_TIMEOUT: u64 = 4 * SEC;
/// count. Versions of the configuration kept for going back, and for the lists of fronts not yet
/// proved.
pub const RETAINED_VERSIONS: usize = 16;
/// count. Digests of operators' orders kept whatever their age, so that an order sent again after
/// it was superseded is still known.
pub const RETAINED_ORDERS_MIN: usize = 64;
/// count. And at most so many, whatever their age: 90 bytes each make 46 KB, written and synced
/// with each order.
pub const RETAINED_ORDERS_MAX: usize = 512;
/// ms. Digests younger than this are kept, or than `RETAINED_ORDERS_ACK_TIMEOUTS` times the time for an answer,
/// if that is longer.
pub const RETAINED_ORDERS_MS: u64 = 30_000;
/// count. An operator whose answer was lost has given up, or has been answered, within so many
/// times the time for one.
pub const RETAINED_ORDERS_ACK_TIMEOUTS: u64 = 4;
/// us. A seat whose machine is missing this long is given to a disk that has none.
pub const REPLICA_MISSING_AFTER: u64 = 1_500 * MS;
/// us. A seat whose machine is missing this long, and that no disk takes, is given up while enough
/// remain: the next loss would else be one too many.
pub const REPLICA_LOST_AFTER: u64 = 8 * SEC;
/// us. Founding waits this long for more store machines than the fewest that may be.
pub const BOOTSTRAP_WAIT: u64 = 500 * MS;
/// us. How often a change of disks under way is looked at: short beside the time in which a seat
/// should be whole.
pub const LAYOUT_CHANGE_POLL_INTERVAL: u64 = 60 * MS;
/// us. How often the seats are looked at while a machine of theirs is missing.
pub const MISSING_REPLICA_POLL_INTERVAL: u64 = 200 * MS;
/// us. A step of a change that could not be done is tried again after this.
pub const LAYOUT_STEP_RETRY_DELAY: u64 = 100 * MS;
/// us. Longest time to decide one step of a change: a newer layout is then looked for.
pub const LAYOUT_STEP_TIMEOUT: u64 = 300 * MS;
/// us. Longest wait for a disk's report of a change: the dead are not waited for longer.
pub const SWEEP_REPORT_TIMEOUT: u64 = 350 * MS;
/// us. Length of a grant of the duty lease, on the granter's clock. Whoever takes over from a
/// holder that is lost waits for it.
pub const LEASE_LENGTH: u64 = SEC;
/// us. The holder counts itself out this much earlier: two clocks may run apart by a tenth.
pub const LEASE_MARGIN: u64 = 100 * MS;
/// us. How often the holder asks for more: several rounds may be lost.
pub const LEASE_RENEWAL_INTERVAL: u64 = 200 * MS;
/// us. Waiting for one granter. With `UNCONFIRMED_ROUNDS` rounds under way, no slower answer could
/// count.
pub const LEASE_REQUEST_TIMEOUT: u64 = 400 * MS;
/// us. An operator at a core that no majority answers is told so within this, well before it goes
/// on by itself.
pub const QUORUM_TIMEOUT: u64 = 300 * MS;
/// us. A core without contact asks the seats again after this, doubled each time it is left short.
pub const CONTACT_RETRY_DELAY: u64 = 25 * MS;
/// us. A holder of the lease that has not taken the documents within this gives it up: it cannot
/// decide anything, and another one may.
pub const FENCING_TIMEOUT: u64 = 1_500 * MS;
/// us. And it does not stand again for this long.
pub const CANDIDACY_PAUSE: u64 = 3 * SEC;
/// us. An order that finds no proposer looks for one again after this, up to twice as long.
pub const PROPOSER_RETRY_DELAY: u64 = 30 * MS;
/// count. Orders that wait at the proposer at most: each takes some 10 ms on a tenth of a core, and
/// an operator waits a second.
pub const ORDER_QUEUE_LIMIT: usize = 64;
/// us. Between two rounds of sending a document to all nodes; versions decided meanwhile travel as
/// one.
pub const PUBLISH_INTERVAL: u64 = 100 * MS;
/// us. A core that has heard of a newer document than it holds waits this long for the push before
/// it looks for it, doubled each time it finds none.
pub const LATE_DOCUMENT_DELAY: u64 = 150 * MS;
pub const LATE_DOCUMENT_DELAY_MAX: u64 = 1_200 * MS;
/// us. How often a core compares what it holds with what it has heard of.
pub const LATE_DOCUMENT_POLL_INTERVAL: u64 = 75 * MS;
/// us. Candidates step forward one after another, so far apart that the first has its majority
/// before the second asks.
pub const LEASE_STAGGER: u64 = 40 * MS;
/// us. A candidate that got no majority waits at least this long, and up to as much again by
/// chance.
pub const LEASE_RETRY_DELAY: u64 = 150 * MS;
