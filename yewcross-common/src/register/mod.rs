//! Replicated registers: a key's value is decided by a majority of the disks that hold it, one version after the other.
//!
//! The protocol is single-decree Paxos by key, with a stable proposer. A proposer prepares a ballot at a majority, takes over
//! the value accepted under the highest ballot, and then has its own values accepted without preparing again until another
//! proposer prepares a higher ballot. While the set of replicas changes, both the old and the new set must agree.
//!
//! The steps are pure, and are what the model checker explores:
//! - [`message`]: ballots, requests and replies;
//! - [`acceptor`]: what a replica does with a request;
//! - [`quorum`]: the replicas of a key, and what a majority of them is;
//! - [`proposer`]: what a proposer concludes from replies.
//!
//! The rest does the input and output: [`replica`] keeps an acceptor's records on disk (`restore` puts them right after a
//! failed write), [`client`] sends the requests (`poll`), and
//! [`placement`] says which disks hold a key.

pub mod acceptor;
pub mod client;
pub mod message;
pub mod placement;
mod poll;
pub mod proposer;
pub mod quorum;
pub mod replica;
mod restore;

pub use client::{RegisterClient, Step};
pub use message::{Ballot, RegisterReply, RegisterRequest};
pub use proposer::ChangeError;
pub use quorum::{ReplicaSet, Seat, majority};
pub use replica::Replica;

/// Number of independent locks over the keys of a replica or a client.
const SHARDS: usize = crate::constants::KEY_SHARDS;

/// The hash of a key, and the shard that it belongs to.
fn locate(key: &str) -> (u128, usize) {
    let hash = crate::hash::key_128(key.as_bytes());
    (hash, (hash % SHARDS as u128) as usize)
}
