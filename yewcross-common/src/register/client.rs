//! The client of the registers: proposes changes to a key, reads its newest value and repairs its
//! replicas.
//!
//! - this module: the public face, and the change of a key;
//! - `proposer_cache`: what this process keeps of each key that it used lately;
//! - `rounds`: one prepare, accept or confirm request to all replicas, until a quorum grants it;
//! - `read`: reads that prove their value without preparing a ballot where they can;
//! - `repair`: brings every replica to the newest value, and erases keys.

mod proposer_cache;
mod read;
mod repair;
mod rounds;

use super::message::Ballot;
use super::proposer::{ChangeError, Proposer, Round};
use super::quorum::ReplicaSet;
use super::replica::Replica;
use crate::constants::MS;
use crate::runtime::Runtime;
use crate::transport::PeerClient;
use proposer_cache::ProposerCache;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};

/// us. Least span from which the backoff before the next attempt of a change is drawn. Where
/// another proposer's ballot was higher, it doubles with each attempt and is never shorter than the
/// attempt itself took: proposers on slow machines would otherwise preempt each other for ever.
const BACKOFF_SPAN_MIN: u64 = 20 * MS;
/// us. The most that the span grows to.
const BACKOFF_SPAN_MAX: u64 = 640 * MS;

/// What a change makes of the value that it finds.
pub enum ValueUpdate<R> {
    /// Nothing is written; the value found is proved to be the newest.
    Keep(R),
    /// The next version.
    Write(Vec<u8>, R),
}

/// A decided value: its version, the ballot under which it was accepted, its bytes.
pub type DecidedValue = (u64, Ballot, Arc<Vec<u8>>);

/// Finds the replicas of a key under the layout in force at the time of the call.
type ReplicaSetLookup = Arc<dyn Fn(&str) -> ReplicaSet + Send + Sync>;
/// Whether this process may propose for a key at this moment.
type ProposalPermit = Box<dyn Fn(&str) -> bool + Send + Sync>;

/// Why one attempt of a change failed.
struct AttemptError {
    error: ChangeError,
    /// Another proposer has a higher ballot prepared.
    is_preempted: bool,
}

impl AttemptError {
    fn after_round(round: &Round, error: ChangeError) -> AttemptError {
        AttemptError {
            error,
            is_preempted: round.highest_promised > 0,
        }
    }
}

impl From<ChangeError> for AttemptError {
    fn from(error: ChangeError) -> AttemptError {
        AttemptError {
            error,
            is_preempted: false,
        }
    }
}

/// Reads and changes registers on behalf of one process.
pub struct RegisterClient {
    runtime: Runtime,
    peers: Arc<PeerClient>,
    /// Drawn anew by each process; no two proposers of a tier share it.
    pub proposer_id: u64,
    /// The replica of this process: requests to its disk do not go over the network.
    own_replica: Arc<Replica>,
    replicas_of: ReplicaSetLookup,
    /// `None`: any process may propose for any key.
    permit: OnceLock<ProposalPermit>,
    cache: ProposerCache,
    /// Ballots prepared so far.
    pub prepared_ballots: AtomicU64,
}

impl RegisterClient {
    /// A client that keeps nothing of any key yet.
    pub fn new(
        runtime: &Runtime,
        peers: &Arc<PeerClient>,
        own_replica: &Arc<Replica>,
        replicas_of: ReplicaSetLookup,
    ) -> Arc<RegisterClient> {
        Arc::new(RegisterClient {
            runtime: runtime.clone(),
            peers: peers.clone(),
            proposer_id: runtime.random() | 1,
            own_replica: own_replica.clone(),
            replicas_of,
            permit: OnceLock::new(),
            cache: ProposerCache::default(),
            prepared_ballots: AtomicU64::new(0),
        })
    }

    /// From now on this process proposes for a key only while `permit` says so. Safety does not
    /// rest on it: ballots keep two proposers from deciding against each other. A permit that one
    /// process has at a time keeps them from preempting each other.
    pub fn set_proposal_permit(&self, permit: impl Fn(&str) -> bool + Send + Sync + 'static) {
        // Set once, at start: a second permit would be ignored.
        let _ = self.permit.set(Box::new(permit));
    }

    fn may_propose(&self, key: &str) -> bool {
        self.permit.get().is_none_or(|permit| permit(key))
    }

    /// Changes a key within `timeout_us`. `decide` gets the version and the value; it must give the
    /// same result when it is run again on a value that already has its change.
    pub async fn change<R>(
        &self,
        key: &str,
        timeout_us: u64,
        mut decide: impl FnMut(u64, &[u8]) -> ValueUpdate<R>,
    ) -> Result<R, ChangeError> {
        let deadline = self.runtime.now() + timeout_us;
        let lock = self.cache.entry(key).lock_owned();
        let Some(mut cached) = self.runtime.timeout(timeout_us, lock).await else {
            return Err(ChangeError::NotApplied);
        };
        let mut may_be_written = false;
        let mut backoff_span = BACKOFF_SPAN_MIN;
        loop {
            let attempt_start = self.runtime.now();
            cached.last_used = attempt_start;
            let attempt = self.attempt_change(key, &mut cached.proposer, &mut decide);
            let AttemptError {
                error,
                is_preempted,
            } = match attempt.await {
                Ok(result) => return Ok(result),
                Err(failed) => failed,
            };
            may_be_written |= error == ChangeError::Undecided;
            let now = self.runtime.now();
            if error == ChangeError::NotProposer || now >= deadline {
                // An earlier attempt may still be decided, whatever became of the last one.
                return Err(if may_be_written {
                    ChangeError::Undecided
                } else {
                    error
                });
            }
            if is_preempted {
                backoff_span = (2 * backoff_span)
                    .max(now - attempt_start)
                    .min(BACKOFF_SPAN_MAX);
            }
            let backoff = backoff_span / 4 + self.runtime.random() % backoff_span;
            self.runtime.sleep(backoff.min(deadline - now)).await;
        }
    }

    async fn attempt_change<R>(
        &self,
        key: &str,
        proposer: &mut Proposer,
        decide: &mut impl FnMut(u64, &[u8]) -> ValueUpdate<R>,
    ) -> Result<R, AttemptError> {
        if !self.may_propose(key) {
            return Err(ChangeError::NotProposer.into());
        }
        let must_prepare = proposer
            .ballot_prepared_at(&(self.replicas_of)(key))
            .is_none();
        if must_prepare {
            self.prepare(key, proposer)
                .await
                .map_err(|round| AttemptError::after_round(&round, ChangeError::NotApplied))?;
        }
        let replicas = (self.replicas_of)(key);
        // The layout may have changed while the ballot was prepared: it counts only where it was
        // promised.
        let Some(ballot) = proposer.ballot_prepared_at(&replicas) else {
            return Err(ChangeError::NotApplied.into());
        };
        match decide(proposer.seq(), proposer.value()) {
            ValueUpdate::Keep(result) => {
                // A ballot prepared in this attempt has just proved the value to be the newest.
                if must_prepare || self.confirm(key, &replicas, ballot).await {
                    return Ok(result);
                }
                proposer.abandon_ballot();
                Err(ChangeError::NotApplied.into())
            }
            ValueUpdate::Write(value, result) => {
                self.propose(key, &replicas, ballot, proposer, Arc::new(value))
                    .await?;
                Ok(result)
            }
        }
    }

    /// Has the next version accepted under the proposer's ballot.
    async fn propose(
        &self,
        key: &str,
        replicas: &ReplicaSet,
        ballot: Ballot,
        proposer: &mut Proposer,
        value: Arc<Vec<u8>>,
    ) -> Result<(), AttemptError> {
        let delta = crate::documents::delta::encode(proposer.value(), &value);
        let saves_half = 2 * delta.len() < value.len();
        let delta = saves_half.then(|| Arc::new(delta));
        // Whoever drops this future halfway leaves no ballot behind under which the value may be
        // accepted at some replicas only.
        proposer.abandon_ballot();
        let next_version = proposer.seq() + 1;
        match self
            .accept(key, replicas, ballot, next_version, &value, delta)
            .await
        {
            Ok(()) => {
                proposer.record_decided(ballot, value);
                Ok(())
            }
            Err(round) => {
                proposer.observe_ballot_number(round.highest_promised);
                Err(AttemptError::after_round(&round, round.failure()))
            }
        }
    }

    /// The value last known here, without proof that it is the newest.
    pub fn cached_value(&self, key: &str) -> Option<Arc<Vec<u8>>> {
        self.cache.hint(key)
    }

    /// Keys with the prefix that this process used lately.
    pub fn cached_keys(&self, prefix: &str) -> Vec<String> {
        self.cache.keys_with_prefix(prefix)
    }

    /// Drops keys unused for a while, so that memory stays bounded; returns how many remain.
    pub fn prune(&self) -> usize {
        self.cache.prune(self.runtime.now())
    }
}
