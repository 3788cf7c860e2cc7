//! Membership: probes, suspicion, gossip and clocks.

use super::{MS, SEC};

/// Interval between a node's probes, in µs. One probe per node and interval keeps failure detection
/// near two seconds with few messages.
pub const PROBE_INTERVAL: u64 = 400 * MS;
/// Number of probe intervals after which a missing address, that of a seed or of a removed node, is
/// contacted again.
pub const REJOIN_PROBE_INTERVALS: u64 = 3;
/// Number of addresses that a node without known members contacts at once.
pub const SEEDS_CONTACTED_AT_ONCE: usize = 6;
/// Shortest interval at which the addresses of known nodes are written to disk, in µs.
pub const PEERS_PERSIST_INTERVAL: u64 = 3 * SEC;
/// Interval at which a node without known members contacts its seeds, in µs.
pub const SEED_CONTACT_INTERVAL: u64 = 150 * MS;
/// Changes younger than this are sent along with a probe, in µs.
pub const GOSSIP_MAX_AGE: u64 = 8 * SEC;
/// Upper limit on the changes sent along with a probe; with more of them, complete tables are
/// exchanged.
pub const GOSSIP_MAX_NODES: usize = 12;
/// Longest wait for the response to a probe, in µs. Sites are about 1 ms apart; a short scheduling
/// delay must not look like a failure.
pub const PROBE_TIMEOUT: u64 = 250 * MS;
/// Number of other nodes that are asked for an indirect probe when a direct one fails.
pub const INDIRECT_PROBES: usize = 3;
/// Time for which a node is suspected before it is removed, in µs, so that a node that was paused
/// briefly can refute the suspicion.
pub const SUSPICION_TIMEOUT: u64 = 1_500 * MS;
/// Time for which a sample of another node's clock is used, in µs.
pub const CLOCK_SAMPLE_LIFETIME: u64 = 60 * SEC;
/// Number of clocks, the local one included, that must be known before anything is deleted by age,
/// so that no single clock determines when that is.
pub const CLOCK_QUORUM: usize = 3;
/// For this long after its start, in µs, a process takes a higher incarnation than a node of its
/// name that appears to be newer: that is its own previous process, whose clock was ahead.
pub const NEW_INCARNATION_PERIOD: u64 = 10 * SEC;
/// For this long after its start, in µs, a node does not log each member that it discovers; it then
/// logs how many it has found.
pub const MEMBER_LOG_DELAY: u64 = 3 * SEC;
/// Time for which a removed or departed node is remembered, in µs, so that old gossip cannot add it
/// again.
pub const REMOVED_NODE_RETENTION: u64 = 120 * SEC;
