//! Repair of a key's replicas and erasure of keys.

use super::super::message::{Ballot, RegisterReply, RegisterRequest};
use super::super::proposer::{ChangeError, Proposer, Round};
use super::super::quorum::ReplicaSet;
use super::super::replica_call::ReplicaCall;
use super::{RegisterClient, ValueUpdate};
use crate::constants::PEER_REQUEST_TIMEOUT;
use std::sync::Arc;

impl RegisterClient {
    /// Erases a key permanently. The empty value is written to all replicas first, and only then do
    /// they remove its record. `may_erase` decides whether the current value may be erased. Returns
    /// whether a quorum has removed the record.
    pub async fn erase(&self, key: &str, may_erase: impl Fn(&[u8]) -> bool) -> bool {
        if self.write_empty_value(key, may_erase).await != Ok(true) || !self.repair(key).await {
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
        let request = RegisterRequest::Erase {
            key: key.into(),
            ballot,
            seq: cached.proposer.seq(),
            layout_version: replicas.layout_version,
        };
        self.reach_quorum(&replicas, ReplicaCall::without_value(request))
            .await
            .is_ok()
    }

    /// Writes the empty value if the current one may be erased; returns whether the key is empty now.
    async fn write_empty_value(
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

    /// Copies the newest value to every replica of the key; returns whether all current replicas have
    /// it on disk. Replicas of the previous set are not required to: they may be lost permanently.
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
            .accept_at_all_replicas(key, &replicas, ballot, proposer)
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
            .all(|replica| round.has_granted(&replica.disk) || filled.contains(&replica.disk))
    }

    /// Sends the accept request and waits for the votes of all replicas, not only of a quorum; `None`
    /// if there is no quorum.
    async fn accept_at_all_replicas(
        &self,
        key: &str,
        replicas: &ReplicaSet,
        ballot: Ballot,
        proposer: &mut Proposer,
    ) -> Option<Round> {
        let request = RegisterRequest::Accept {
            key: key.into(),
            ballot,
            seq: proposer.seq(),
            layout_version: replicas.layout_version,
            delta: false,
        };
        // The empty delta avoids sending the value to replicas that already have the version: those
        // accept it, and any other replica requests the complete value.
        let call = ReplicaCall {
            request,
            value: proposer.value().clone(),
            delta: Some(Arc::default()),
        };
        let votes = self.broadcast(replicas, &call);
        let mut round = Round::default();
        while let Ok(vote) = votes.recv().await {
            let is_rejected = matches!(vote.reply, RegisterReply::Rejected { .. });
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

    /// Writes the value that a quorum has accepted to the replicas with damaged records; returns the
    /// disks that may vote on the key again.
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
        let damaged_replicas = replicas
            .all()
            .into_iter()
            .filter(|replica| damaged.contains(&replica.disk))
            .collect();
        let targets = ReplicaSet {
            layout_version: replicas.layout_version,
            current: damaged_replicas,
            previous: vec![],
        };
        let request = RegisterRequest::Fill {
            key: key.into(),
            ballot,
            seq: proposer.seq(),
            layout_version: replicas.layout_version,
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
