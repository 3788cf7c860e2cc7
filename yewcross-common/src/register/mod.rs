//! Replicated registers: each key has a sequence of versions, and a majority of its replicas agrees on
//! the value of each version.
//!
//! # Consensus per key
//!
//! Every key is a separate register: version `seq` of the key has exactly one value. The three
//! documents (configuration, layout, server list) are replicated on all core disks, any other key on
//! three store disks ([`placement`]). Changes to different keys are not ordered relative to each other.
//!
//! # Protocol and invariant
//!
//! The protocol is single-decree Paxos per key, with a stable proposer. A proposer *prepares* a ballot
//! at a majority, takes over the value accepted under the highest ballot that the promises report, and
//! gets it *accepted* under its own ballot. From then on it proposes versions without another prepare
//! round, until a second proposer prepares a higher ballot.
//!
//! The invariant: once a majority has accepted version `seq` under a ballot, every proposer that
//! prepares a higher ballot finds this value or a newer one. It holds because any two majorities
//! share a replica, because a replica accepts only under the ballot promised last, and because a
//! replica replies only after its record is synced to disk. While the set of replicas changes, a
//! quorum is a majority of the old set and of the new one ([`quorum`]).
//!
//! # Fencing of stale writers
//!
//! The acceptor fences stale writers ([`acceptor::handle`]). It rejects any ballot other than the one
//! promised last and any proposer that uses an older layout than the replica, and does not vote on a
//! key whose record is damaged. A vote counts only if it comes from the disk that was addressed: a
//! disk that lost its data has a new identity. The permit set by
//! [`RegisterClient::set_proposal_permit`] prevents proposers from preempting each other; safety does
//! not depend on it.
//!
//! # Modules
//!
//! Pure functions, which the model checker explores:
//! - [`message`]: ballots, requests and replies;
//! - [`acceptor`]: a replica's reply to a request and the change of its record;
//! - [`quorum`]: the replicas of a key, and when they form a quorum;
//! - [`proposer`]: a proposer's state and its reaction to replies.
//!
//! I/O:
//! - [`client`]: reads, changes, repairs and erases keys (`replica_call` sends one request to one
//!   replica);
//! - [`replica`]: stores the acceptor's records on disk (`restore` rewrites them after a failed
//!   write);
//! - [`placement`]: the choice of the disks that replicate a key.

pub mod acceptor;
pub mod client;
pub mod message;
pub mod placement;
pub mod proposer;
pub mod quorum;
pub mod replica;
mod replica_call;
mod restore;

pub use client::{RegisterClient, ValueUpdate};
pub use message::{Ballot, RegisterReply, RegisterRequest};
pub use proposer::ChangeError;
pub use quorum::{ReplicaLocation, ReplicaSet, majority};
pub use replica::Replica;

/// Number of independently locked shards of the keys of a replica or a client.
const SHARDS: usize = crate::constants::KEY_SHARDS;

/// The hash of a key and the number of its shard.
fn hash_and_shard(key: &str) -> (u128, usize) {
    let hash = crate::hash::hash_128(key.as_bytes());
    (hash, (hash % SHARDS as u128) as usize)
}
