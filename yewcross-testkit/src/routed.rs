//! Simulated tiers that serve routed requests in virtual time: a test adapter of the platform's
//! protocols, servers with injectable faults, callers that follow the retry rules, disruptions of
//! machines and networks, and the checks that must pass regardless.

pub mod caller;
pub mod cfg;
pub mod server;
pub mod test_adapter;
pub mod tier;
pub mod verdict;

/// Output tokens in each event of a stream.
pub const TOKENS_PER_EVENT: u64 = 2;
/// Maximum number of servers that one attempt may be sent to.
pub const MAX_TRIES: usize = 3;
