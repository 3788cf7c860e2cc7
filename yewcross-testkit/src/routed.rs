//! Whole tiers that serve routed requests, in virtual time: stand-ins of a platform of our own
//! making that misbehave, callers that keep to the rules, troubles, and what must hold in spite of
//! them.

pub mod caller;
pub mod cfg;
pub mod server;
pub mod test_adapter;
pub mod tier;
pub mod verdict;

/// Tokens in each event.
pub const TOKENS_PER_EVENT: u64 = 2;
/// Servers that a try may be sent to.
pub const MAX_TRIES: usize = 3;
