//! Replicated registers: each key has a value that a majority of its replicas agrees on, one
//! version after the other.
//!
//! # What is agreed on
//!
//! Every key is a register of its own: version `seq` of the key has one value. The three documents
//! (configuration, layout, server list) are replicated on all core disks, any other key on three
//! store disks ([`placement`]). Different keys are not ordered against each other.
//!
//! # Protocol and invariant
//!
//! The protocol is single-decree Paxos by key, with a stable proposer. A proposer *prepares* a
//! ballot at a majority, takes over the value accepted under the highest ballot that the promises
//! report, and has it *accepted* under its own ballot. From then on it has its own versions
//! accepted without another prepare round, until a second proposer prepares a higher ballot.
//!
//! The invariant: once a majority has accepted version `seq` under a ballot, every proposer that
//! prepares a higher ballot finds this value or a newer one. It holds because any two majorities
//! share a replica, because a replica accepts under the ballot promised last only, and because a
//! replica answers only after its record is synced to disk. While the set of replicas changes, a
//! quorum is a majority of the old set and of the new one ([`quorum`]).
//!
//! # Where stale writers are fenced
//!
//! The acceptor is the fence ([`acceptor::handle`]). It rejects a ballot other than the one
//! promised last, a proposer that goes by an older layout than the replica, and takes no vote on a
//! damaged record. A vote counts only if it comes from the disk that was asked: a disk that lost
//! its data has a new identity. The permit that [`RegisterClient::restrict`] sets spares proposers
//! from preempting each other; no safety rests on it.
//!
//! # Modules
//!
//! Pure steps, which the model checker explores:
//! - [`message`]: ballots, requests and replies;
//! - [`acceptor`]: what a replica does with a request;
//! - [`quorum`]: the replicas of a key, and what a majority of them is;
//! - [`proposer`]: what a proposer concludes from replies.
//!
//! Input and output:
//! - [`client`]: reads, changes, repairs and erases keys (`replica_call` sends one request to one
//!   replica);
//! - [`replica`]: keeps the acceptor's records on disk (`restore` rewrites them after a failed
//!   write);
//! - [`placement`]: which disks replicate a key.

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

/// Number of independent locks over the keys of a replica or a client.
const SHARDS: usize = crate::constants::KEY_SHARDS;

/// The hash of a key, and the shard that it belongs to.
fn locate(key: &str) -> (u128, usize) {
    let hash = crate::hash::key_128(key.as_bytes());
    (hash, (hash % SHARDS as u128) as usize)
}
