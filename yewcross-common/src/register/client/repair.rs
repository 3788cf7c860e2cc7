//! Repair of a key's replicas, and erasure of keys.

use super::super::message::{Ballot, RegisterReply, RegisterRequest};
use super::super::proposer::{ChangeError, Proposer, Round};
use super::super::quorum::ReplicaSet;
use super::super::replica_call::ReplicaCall;
use super::{RegisterClient, ValueUpdate};
use crate::constants::PEER_REQUEST_TIMEOUT;
use std::sync::Arc;

impl RegisterClient {
    /// Empties a key for good: first at all replicas, and only then do they drop its record.
    /// `may_erase` says whether a value may go. Returns whether a quorum has dropped the key.
    pub async fn erase(&self, key: &str, may_erase: impl Fn(&[u8]) -> bool) -> bool {
        if self.empty(key, may_erase).await != Ok(true) || !self.repair(key).await {
            return false;
        }
        let entry = self.cache.entry(key);
        let mut cached = entry.lock().await;
        let Some(ballot) = cached
            .proposer
            .abandon_ballot()
            .filter(|_| cached.proposer.value().is_empty())
        else {
            return false;
        };
        let replicas = (self.replicas_of)(key);
        let request = RegisterRequest::Drop {
            key: key.into(),
            epoch: ballot,
            seq: cached.proposer.seq(),
            lay: replicas.layout_version,
        };
        self.reach_quorum(&replicas, ReplicaCall::without_value(request))
            .await
            .is_ok()
    }

    /// Writes the empty value where the present one may go; whether the key is empty now.
    async fn empty(
        &self,
        key: &str,
        may_erase: impl Fn(&[u8]) -> bool,
    ) -> Result<bool, ChangeError> {
        self.change(key, PEER_REQUEST_TIMEOUT, |_, value| {
            if value.is_empty() || !may_erase(value) {
                ValueUpdate::Keep(value.is_empty())
            } else {
                ValueUpdate::Write(vec![], true)
            }
        })
        .await
    }

    /// Brings every replica of the key to the newest value; true if all current replicas have it on
    /// disk. A replica of the previous set need not: it may be gone for good.
    pub async fn repair(&self, key: &str) -> bool {
        let entry = self.cache.entry(key);
        let mut cached = entry.lock().await;
        let proposer = &mut cached.proposer;
        let replicas = (self.replicas_of)(key);
        if !self.may_propose(key)
            || (proposer.ballot_prepared_at(&replicas).is_none()
                && self.prepare(key, proposer).await.is_err())
        {
            return false;
        }
        let Some(ballot) = proposer.ballot_prepared_at(&replicas) else {
            return false;
        };
        if proposer.seq() == 0 {
            return true;
        }
        let Some(round) = self
            .accept_everywhere(key, &replicas, ballot, proposer)
            .await
        else {
            return false;
        };
        let filled = self
            .fill_damaged(key, &replicas, ballot, proposer, &round.damaged)
            .await;
        replicas
            .current
            .iter()
            .all(|seat| round.has_granted(&seat.disk) || filled.contains(&seat.disk))
    }

    /// Waits for the votes of all replicas, not only of a quorum; `None` where there is no quorum.
    async fn accept_everywhere(
        &self,
        key: &str,
        replicas: &ReplicaSet,
        ballot: Ballot,
        proposer: &mut Proposer,
    ) -> Option<Round> {
        let request = RegisterRequest::Accept {
            key: key.into(),
            epoch: ballot,
            seq: proposer.seq(),
            lay: replicas.layout_version,
            delta: false,
        };
        // An empty delta: a replica that already has the version says so, any other asks for the
        // complete value.
        let call = ReplicaCall {
            request,
            value: proposer.value().clone(),
            delta: Some(Arc::default()),
        };
        let votes = self.broadcast(replicas, &call);
        let mut round = Round::default();
        while let Ok(vote) = votes.recv().await {
            let is_rejected = matches!(vote.reply, RegisterReply::Refused { .. });
            round.record(vote);
            if is_rejected {
                proposer.observe_ballot_number(round.highest_promised);
                proposer.abandon_ballot();
            }
        }
        if !round.has_quorum(replicas) {
            proposer.abandon_ballot();
            return None;
        }
        Some(round)
    }

    /// Fills damaged records with the value that a quorum has accepted; returns the disks that may
    /// vote on the key again.
    async fn fill_damaged(
        &self,
        key: &str,
        replicas: &ReplicaSet,
        ballot: Ballot,
        proposer: &Proposer,
        damaged: &[String],
    ) -> Vec<String> {
        if damaged.is_empty() {
            return vec![];
        }
        let damaged_seats = replicas
            .all()
            .into_iter()
            .filter(|seat| damaged.contains(&seat.disk))
            .collect();
        let targets = ReplicaSet {
            layout_version: replicas.layout_version,
            current: damaged_seats,
            previous: vec![],
        };
        let request = RegisterRequest::Fill {
            key: key.into(),
            epoch: ballot,
            seq: proposer.seq(),
            lay: replicas.layout_version,
        };
        let call = ReplicaCall {
            request,
            value: proposer.value().clone(),
            delta: None,
        };
        let votes = self.broadcast(&targets, &call);
        let mut filled = vec![];
        while let Ok(vote) = votes.recv().await {
            if vote.reply == RegisterReply::Accepted {
                filled.push(vote.disk);
            }
        }
        filled
    }
}
