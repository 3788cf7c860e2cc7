//! The register client: proposes changes to a key, reads its newest value and repairs its replicas.
//!
//! - this module: the public interface, and changes to a key;
//! - `proposer_cache`: the proposers of recently used keys;
//! - `rounds`: sends one prepare, accept or confirm request to all replicas until a quorum grants it;
//! - `read`: reads the newest value, without preparing a ballot where possible;
//! - `repair`: copies the newest value to every replica, and erases keys.

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

/// Lower bound, in us, of the span from which the random backoff between two attempts of a change is
/// drawn. After an attempt that another proposer's higher ballot preempted, the span doubles and is
/// at least the duration of that attempt: proposers on slow machines would otherwise preempt each
/// other indefinitely.
const BACKOFF_SPAN_MIN: u64 = 20 * MS;
/// Upper bound, in us, of the backoff span.
const BACKOFF_SPAN_MAX: u64 = 640 * MS;

/// The result of a change's decision function for the current value.
pub enum ValueUpdate<R> {
    /// Write nothing. The change succeeds once the current value is confirmed to be the newest.
    Keep(R),
    /// Write this value as the next version.
    Write(Vec<u8>, R),
}

/// A decided value: its version, the ballot under which it was accepted, and its bytes.
pub type DecidedValue = (u64, Ballot, Arc<Vec<u8>>);

/// Returns the replicas of a key under the layout in force at the time of the call.
type ReplicaSetLookup = Arc<dyn Fn(&str) -> ReplicaSet + Send + Sync>;
/// Whether this process may propose for a key at the time of the call.
type ProposalPermit = Box<dyn Fn(&str) -> bool + Send + Sync>;

/// Why one attempt of a change failed.
struct AttemptError {
    error: ChangeError,
    /// A replica has promised a higher ballot to another proposer.
    is_preempted: bool,
}

impl AttemptError {
    fn from_round(round: &Round, error: ChangeError) -> AttemptError {
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
    /// Base of this process's ballot proposer ids. Drawn at random at the start, so that no two
    /// processes of a tier share it.
    pub proposer_id: u64,
    /// The replica of this process; requests to its disk bypass the network.
    local_replica: Arc<Replica>,
    replicas_of: ReplicaSetLookup,
    /// If not set, this process may propose for any key.
    permit: OnceLock<ProposalPermit>,
    cache: ProposerCache,
    /// Number of ballots that this process has started to prepare.
    pub prepared_ballots: AtomicU64,
}

impl RegisterClient {
    /// Creates a client with an empty proposer cache.
    pub fn new(
        runtime: &Runtime,
        peers: &Arc<PeerClient>,
        local_replica: &Arc<Replica>,
        replicas_of: ReplicaSetLookup,
    ) -> Arc<RegisterClient> {
        Arc::new(RegisterClient {
            runtime: runtime.clone(),
            peers: peers.clone(),
            proposer_id: runtime.random() | 1,
            local_replica: local_replica.clone(),
            replicas_of,
            permit: OnceLock::new(),
            cache: ProposerCache::default(),
            prepared_ballots: AtomicU64::new(0),
        })
    }

    /// Restricts this process to propose for a key only while `permit` returns true. Safety does not
    /// depend on the permit: ballots prevent two proposers from deciding different values. A permit
    /// held by one process at a time prevents proposers from preempting each other.
    pub fn set_proposal_permit(&self, permit: impl Fn(&str) -> bool + Send + Sync + 'static) {
        // The permit is set once, at the start of the process; a second one would be ignored.
        let _ = self.permit.set(Box::new(permit));
    }

    fn may_propose(&self, key: &str) -> bool {
        self.permit.get().is_none_or(|permit| permit(key))
    }

    /// Changes a key within `timeout_us`. `decide` receives the current version and value. It must be
    /// idempotent: run again on a value that already contains its change, it returns the same result.
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
                Err(error) => error,
            };
            may_be_written |= error == ChangeError::Undecided;
            let now = self.runtime.now();
            if error == ChangeError::NotProposer || now >= deadline {
                // The write of an earlier attempt may still be decided, whatever the result of the
                // last attempt was.
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
        let needs_prepare = proposer
            .ballot_prepared_at(&(self.replicas_of)(key))
            .is_none();
        if needs_prepare {
            self.prepare(key, proposer)
                .await
                .map_err(|round| AttemptError::from_round(&round, ChangeError::NotApplied))?;
        }
        let replicas = (self.replicas_of)(key);
        // The layout may have changed while the ballot was prepared: the ballot is valid only for
        // the disks that promised it.
        let Some(ballot) = proposer.ballot_prepared_at(&replicas) else {
            return Err(ChangeError::NotApplied.into());
        };
        match decide(proposer.seq(), proposer.value()) {
            ValueUpdate::Keep(result) => {
                // Preparing a ballot in this attempt has already confirmed that the value is the newest.
                if needs_prepare || self.confirm(key, &replicas, ballot).await {
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

    /// Proposes the next version under the proposer's ballot.
    async fn propose(
        &self,
        key: &str,
        replicas: &ReplicaSet,
        ballot: Ballot,
        proposer: &mut Proposer,
        value: Arc<Vec<u8>>,
    ) -> Result<(), AttemptError> {
        let delta = crate::documents::delta::encode(proposer.value(), &value);
        let is_under_half_size = 2 * delta.len() < value.len();
        let delta = is_under_half_size.then(|| Arc::new(delta));
        // If this future is dropped before a quorum has accepted the value, the ballot under which
        // some replicas may have accepted it must not be used again.
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
                Err(AttemptError::from_round(&round, round.failure()))
            }
        }
    }

    /// The cached value of a key, which may be outdated. `None` if no ballot is prepared for the key
    /// or a change of it is in progress.
    pub fn cached_value(&self, key: &str) -> Option<Arc<Vec<u8>>> {
        self.cache.value(key)
    }

    /// The keys with the prefix that are in the proposer cache.
    pub fn cached_keys(&self, prefix: &str) -> Vec<String> {
        self.cache.keys_with_prefix(prefix)
    }

    /// Evicts idle keys from the proposer cache to bound its memory; returns the number of remaining
    /// keys.
    pub fn prune(&self) -> usize {
        self.cache.prune(self.runtime.now())
    }
}
