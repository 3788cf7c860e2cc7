//! Rounds of the protocol: one request to all replicas of a key, and their votes.

use super::super::message::{Ballot, RegisterRequest};
use super::super::proposer::{Proposer, Round, Vote};
use super::super::quorum::ReplicaSet;
use super::super::replica_call::ReplicaCall;
use super::RegisterClient;
use crate::runtime::BoxFuture;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

/// The votes of the replicas, in the order of their arrival; closed after the last one.
pub(super) type Votes = async_channel::Receiver<Vote>;

impl RegisterClient {
    /// Sends the call to all replicas at once.
    pub(super) fn broadcast(&self, replicas: &ReplicaSet, call: &ReplicaCall) -> Votes {
        let calls = replicas
            .all()
            .into_iter()
            .map(|seat| -> BoxFuture<'static, Vote> {
                let (peers, own_replica) = (self.peers.clone(), self.own_replica.clone());
                Box::pin(call.clone().send_to(seat, peers, own_replica))
            });
        self.runtime.spawn_all(calls.collect())
    }

    /// Sends one call to all replicas; `Ok` as soon as a quorum grants it. A call that writes no
    /// value ends at once when no quorum can grant it any more: silent replicas are not awaited.
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

    /// Prepares a new ballot and has the newest value accepted under it.
    pub(super) async fn prepare(&self, key: &str, proposer: &mut Proposer) -> Result<(), Round> {
        let prepared_before = self.prepared_ballots.fetch_add(1, SeqCst);
        let replicas = (self.replicas_of)(key);
        // No two ballots are alike, even if a pruned or erased key begins anew between them.
        let ballot = proposer.prepare(
            self.proposer_id.wrapping_add(2 * prepared_before),
            self.runtime.wall_clock_ms(),
        );
        let request = RegisterRequest::Promise {
            key: key.into(),
            epoch: ballot,
            lay: replicas.layout_version,
        };
        let promises = self
            .reach_quorum(&replicas, ReplicaCall::without_value(request))
            .await
            .inspect_err(|round| proposer.observe_ballot_number(round.highest_promised))?;
        // A value that any of the promises reports may have been decided: it must be accepted under
        // the new ballot before another one is proposed.
        if proposer.record_promises(&replicas, &promises) {
            let (seq, value) = (proposer.seq(), proposer.value().clone());
            self.accept(key, &replicas, ballot, seq, &value, None)
                .await
                .inspect_err(|round| proposer.observe_ballot_number(round.highest_promised))?;
        }
        proposer.set_prepared(ballot);
        Ok(())
    }

    /// Has a version accepted by a quorum. With `delta`, replicas that may have the version before
    /// get only that.
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
            epoch: ballot,
            seq,
            lay: replicas.layout_version,
            delta: false,
        };
        let call = ReplicaCall {
            request,
            value: value.clone(),
            delta,
        };
        self.reach_quorum(replicas, call).await.map(|_| ())
    }

    /// Whether a quorum has promised no ballot after this one: the value under it is the newest.
    pub(super) async fn confirm(&self, key: &str, replicas: &ReplicaSet, ballot: Ballot) -> bool {
        let request = RegisterRequest::Confirm {
            key: key.into(),
            epoch: ballot,
            lay: replicas.layout_version,
        };
        self.reach_quorum(replicas, ReplicaCall::without_value(request))
            .await
            .is_ok()
    }
}
