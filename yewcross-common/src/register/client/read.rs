//! Reads of a key, confirmed either by a prepared ballot or by a majority that reports the same
//! version.

use super::super::acceptor::Record;
use super::super::message::{RegisterReply, RegisterRequest};
use super::super::proposer::{ChangeError, ReadRound};
use super::super::quorum::ReplicaSet;
use super::super::replica_call::ReplicaCall;
use super::rounds::Votes;
use super::{DecidedValue, RegisterClient, ValueUpdate};
use crate::constants::{READ_ATTEMPTS, READ_RETRY_DELAY};
use std::sync::Arc;

/// A read in progress: a report request was sent to all replicas of a key.
struct PendingRead {
    replicas: ReplicaSet,
    /// The record of this process's replica. Replicas that have the same version omit the value.
    local_record: Record,
    votes: Votes,
}

impl RegisterClient {
    /// The newest decided value, confirmed by a majority under this client's ballot.
    pub async fn read_with_ballot(
        &self,
        key: &str,
        timeout_us: u64,
    ) -> Result<DecidedValue, ChangeError> {
        let (seq, value) = self
            .change(key, timeout_us, |seq, value| {
                ValueUpdate::Keep((seq, Arc::new(value.to_vec())))
            })
            .await?;
        let ballot = self
            .cache
            .entry(key)
            .try_lock()
            .and_then(|cached| cached.proposer.ballot())
            .unwrap_or_default();
        Ok((seq, ballot, value))
    }

    /// The newest decided value, read as cheaply as possible: if a majority reports the same version,
    /// no ballot is prepared. Replicas briefly differ while a proposer writes, so the read is first
    /// retried without a ballot in order not to preempt that proposer. A process that may not propose
    /// for the key never prepares a ballot.
    pub async fn read_newest(
        &self,
        key: &str,
        timeout_us: u64,
    ) -> Result<DecidedValue, ChangeError> {
        // A lost reply must not use up the time for the next attempt.
        let attempt_timeout = timeout_us / 4;
        let retry_deadline = self.runtime.now() + timeout_us / 2;
        for attempt in 0..READ_ATTEMPTS {
            if attempt > 0 {
                let backoff = READ_RETRY_DELAY + self.runtime.random() % READ_RETRY_DELAY;
                self.runtime.sleep(backoff).await;
            }
            let result = self
                .runtime
                .timeout(attempt_timeout, self.read_without_ballot(key))
                .await;
            if let Some(decided) = result.flatten() {
                return Ok(decided);
            }
            if self.runtime.now() >= retry_deadline {
                break;
            }
        }
        self.read_with_ballot(key, timeout_us).await
    }

    /// The version that a majority of the replicas reports, if no replica has reported a newer one by
    /// then. No ballot is prepared and nothing is written.
    async fn read_without_ballot(&self, key: &str) -> Option<DecidedValue> {
        let PendingRead {
            replicas,
            local_record,
            votes,
        } = self.start_read(key).await;
        let mut round = ReadRound::default();
        while let Ok(vote) = votes.recv().await {
            round.record(vote);
            if let Some((accepted, seq, value)) = round.decided(&replicas) {
                let is_local_version = (accepted, seq) == (local_record.accepted, local_record.seq);
                let value = if is_local_version {
                    local_record.value.clone()
                } else {
                    Arc::new(value.clone())
                };
                return Some((seq, accepted, value));
            }
        }
        None
    }

    /// Sends a report request to all replicas.
    async fn start_read(&self, key: &str) -> PendingRead {
        let replicas = (self.replicas_of)(key);
        let local_record = self
            .local_replica
            .read_record(key)
            .await
            .unwrap_or_default();
        let request = RegisterRequest::Report {
            key: key.into(),
            layout_version: replicas.layout_version,
            have: (local_record.accepted, local_record.seq),
        };
        let votes = self.broadcast(&replicas, &ReplicaCall::without_value(request));
        PendingRead {
            replicas,
            local_record,
            votes,
        }
    }

    /// Whether a majority of each set in force reports the same version, counting only disks for which
    /// `may_vote` returns true. No ballot is prepared, so the proposer of the key is not preempted.
    pub async fn majority_agrees(&self, key: &str, may_vote: impl Fn(&str) -> bool) -> bool {
        let PendingRead {
            replicas, votes, ..
        } = self.start_read(key).await;
        let mut round = ReadRound::default();
        while let Ok(vote) = votes.recv().await {
            if may_vote(&vote.disk) {
                round.record(vote);
            }
            if round.decided(&replicas).is_some() {
                return true;
            }
        }
        false
    }

    /// Whether all replicas of the current and previous sets report the same version.
    pub async fn all_replicas_agree(&self, key: &str) -> bool {
        let PendingRead { votes, .. } = self.start_read(key).await;
        let mut versions = vec![];
        while let Ok(vote) = votes.recv().await {
            let RegisterReply::Reported { accepted, seq } = vote.reply else {
                return false;
            };
            versions.push((accepted, seq));
        }
        versions.windows(2).all(|pair| pair[0] == pair[1])
    }
}
