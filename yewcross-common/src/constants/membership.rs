//! Membership: probes, suspicion, gossip and clocks.

use super::{MS, SEC};

/// us. One probe per node per beat keeps detection near two seconds with few messages.
pub const PROBE_INTERVAL: u64 = 400 * MS;
/// beats. How often one address that is missed, a seed's or a removed node's, is asked again.
pub const REJOIN_PROBE_INTERVALS: u64 = 3;
/// count. Addresses that a node which knows nobody asks at once.
pub const SEEDS_CONTACTED_AT_ONCE: usize = 6;
/// us. Addresses of known nodes are written to disk no more often.
pub const PEERS_PERSIST_INTERVAL: u64 = 3 * SEC;
/// us. A node that knows nobody asks its seeds this often.
pub const SEED_CONTACT_INTERVAL: u64 = 150 * MS;
/// us. Changes this young are told along with a probe.
pub const GOSSIP_MAX_AGE: u64 = 8 * SEC;
/// count. And so many at most: more than that, and whole tables are swapped.
pub const GOSSIP_MAX_NODES: usize = 12;
/// us. Sites sit about 1 ms apart; a scheduling hiccup must not look like a breakdown.
pub const PROBE_TIMEOUT: u64 = 250 * MS;
/// count. Third parties asked when a direct probe is lost.
pub const INDIRECT_PROBES: usize = 3;
/// us. Suspicion lasts this long before removal, so that a short freeze can be refuted.
pub const SUSPICION_TIMEOUT: u64 = 1_500 * MS;
/// us. What was heard of another's clock counts this long.
pub const CLOCK_SAMPLE_LIFETIME: u64 = 60 * SEC;
/// count. Clocks, our own among them, that must be known before anything is erased: one alone can
/// then not say when.
pub const CLOCK_QUORUM: usize = 3;
/// us. A process this young outbids a node of its name that seems younger: that is its own last
/// life, under a clock that was ahead.
pub const NEW_INCARNATION_PERIOD: u64 = 10 * SEC;
/// us. A node that starts does not log each member that it meets this long; it then logs how many
/// it knows.
pub const MEMBER_LOG_DELAY: u64 = 3 * SEC;
/// us. A removed or departed node is remembered this long, so that old gossip cannot revive it.
pub const REMOVED_NODE_RETENTION: u64 = 120 * SEC;
