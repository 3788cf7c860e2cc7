//! Protocol rounds: one request to all replicas of a key, and their votes.

use super::super::message::{Ballot, RegisterRequest};
use super::super::proposer::{Proposer, Round, Vote};
use super::super::quorum::ReplicaSet;
use super::super::replica_call::ReplicaCall;
use super::RegisterClient;
use crate::runtime::BoxFuture;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

/// The votes of the replicas in order of arrival; closed after the last one.
pub(super) type Votes = async_channel::Receiver<Vote>;

impl RegisterClient {
    /// Sends the request to all replicas concurrently.
    pub(super) fn broadcast(&self, replicas: &ReplicaSet, call: &ReplicaCall) -> Votes {
        let calls = replicas
            .all()
            .into_iter()
            .map(|replica| -> BoxFuture<'static, Vote> {
                let (peers, local_replica) = (self.peers.clone(), self.local_replica.clone());
                Box::pin(call.clone().send_to(replica, peers, local_replica))
            });
        self.runtime.spawn_all(calls.collect())
    }

    /// Sends one request to all replicas; returns `Ok` as soon as a quorum grants it. A request that
    /// writes no value fails as soon as a quorum has become impossible, without waiting for replicas
    /// that have not replied.
    pub(super) async fn reach_quorum(
        &self,
        replicas: &ReplicaSet,
        call: ReplicaCall,
    ) -> Result<Round, Round> {
        let writes_no_value = matches!(
            call.request,
            RegisterRequest::Promise { .. } | RegisterRequest::Confirm { .. }
        );
        let votes = self.broadcast(replicas, &call);
        let mut round = Round::default();
        while let Ok(vote) = votes.recv().await {
            round.record(vote);
            if round.has_quorum(replicas) {
                return Ok(round);
            }
            if writes_no_value && round.cannot_reach_quorum(replicas) {
                break;
            }
        }
        Err(round)
    }

    /// Prepares a new ballot and gets the newest value accepted under it.
    pub(super) async fn prepare(&self, key: &str, proposer: &mut Proposer) -> Result<(), Round> {
        let prepared_before = self.prepared_ballots.fetch_add(1, SeqCst);
        let replicas = (self.replicas_of)(key);
        // Every ballot gets a distinct proposer id, because a key that was evicted or erased and
        // created again starts without a record of earlier ballot numbers.
        let ballot = proposer.prepare(
            self.proposer_id.wrapping_add(2 * prepared_before),
            self.runtime.wall_clock_ms(),
        );
        let request = RegisterRequest::Promise {
            key: key.into(),
            ballot,
            layout_version: replicas.layout_version,
        };
        let promises = self
            .reach_quorum(&replicas, ReplicaCall::without_value(request))
            .await
            .inspect_err(|round| proposer.observe_ballot_number(round.highest_promised))?;
        // A value reported by any of the promises may be decided already: it must be accepted under
        // the new ballot before another value is proposed.
        if proposer.record_promises(&replicas, &promises) {
            let (seq, value) = (proposer.seq(), proposer.value().clone());
            self.accept(key, &replicas, ballot, seq, &value, None)
                .await
                .inspect_err(|round| proposer.observe_ballot_number(round.highest_promised))?;
        }
        proposer.set_prepared(ballot);
        Ok(())
    }

    /// Gets a version accepted by a quorum. If `delta` is given, replicas that may have the previous
    /// version are sent the delta only.
    pub(super) async fn accept(
        &self,
        key: &str,
        replicas: &ReplicaSet,
        ballot: Ballot,
        seq: u64,
        value: &Arc<Vec<u8>>,
        delta: Option<Arc<Vec<u8>>>,
    ) -> Result<(), Round> {
        let request = RegisterRequest::Accept {
            key: key.into(),
            ballot,
            seq,
            layout_version: replicas.layout_version,
            delta: false,
        };
        let call = ReplicaCall {
            request,
            value: value.clone(),
            delta,
        };
        self.reach_quorum(replicas, call).await.map(|_| ())
    }

    /// Whether a quorum still has this ballot promised, so that the value accepted under it is the
    /// newest.
    pub(super) async fn confirm(&self, key: &str, replicas: &ReplicaSet, ballot: Ballot) -> bool {
        let request = RegisterRequest::Confirm {
            key: key.into(),
            ballot,
            layout_version: replicas.layout_version,
        };
        self.reach_quorum(replicas, ReplicaCall::without_value(request))
            .await
            .is_ok()
    }
}
