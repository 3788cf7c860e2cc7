//! Reads of a key: proved by a ballot, or by a majority that reports the same version.

use super::super::acceptor::Record;
use super::super::message::{RegisterReply, RegisterRequest};
use super::super::proposer::{ChangeError, ReadRound};
use super::super::quorum::ReplicaSet;
use super::super::replica_call::ReplicaCall;
use super::rounds::Votes;
use super::{DecidedValue, RegisterClient, ValueUpdate};
use crate::constants::{READ_ATTEMPTS, READ_RETRY_DELAY};
use std::sync::Arc;

/// A survey under way: all replicas of a key were asked what they have.
struct PendingSurvey {
    replicas: ReplicaSet,
    /// What the replica of this process has. Replicas with the same version send no value.
    own_record: Record,
    votes: Votes,
}

impl RegisterClient {
    /// The newest decided value, proved by a majority under this client's ballot.
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

    /// The newest decided value, by the cheapest way that proves it: where a majority reports the
    /// same version, no ballot is prepared. Replicas differ for a moment while a proposer writes;
    /// they are surveyed again first, so that readers do not preempt it. A process that may not
    /// propose for the key never prepares a ballot.
    pub async fn read_newest(
        &self,
        key: &str,
        timeout_us: u64,
    ) -> Result<DecidedValue, ChangeError> {
        // An answer that is lost must not use up the time of the next survey.
        let survey_timeout = timeout_us / 4;
        let surveys_end = self.runtime.now() + timeout_us / 2;
        for attempt in 0..READ_ATTEMPTS {
            if attempt > 0 {
                let backoff = READ_RETRY_DELAY + self.runtime.random() % READ_RETRY_DELAY;
                self.runtime.sleep(backoff).await;
            }
            let survey = self.runtime.timeout(survey_timeout, self.survey(key)).await;
            if let Some(found) = survey.flatten() {
                return Ok(found);
            }
            if self.runtime.now() >= surveys_end {
                break;
            }
        }
        self.read_with_ballot(key, timeout_us).await
    }

    /// The version that a majority of the replicas reports, if none reports a newer one before
    /// that. Nothing is prepared or written.
    async fn survey(&self, key: &str) -> Option<DecidedValue> {
        let PendingSurvey {
            replicas,
            own_record,
            votes,
        } = self.start_survey(key).await;
        let mut survey = ReadRound::default();
        while let Ok(vote) = votes.recv().await {
            survey.record(vote);
            if let Some((accepted, seq, value)) = survey.decided(&replicas) {
                let is_own = (accepted, seq) == (own_record.accepted, own_record.seq);
                let value = if is_own {
                    own_record.value.clone()
                } else {
                    Arc::new(value.clone())
                };
                return Some((seq, accepted, value));
            }
        }
        None
    }

    /// Asks all replicas what they have.
    async fn start_survey(&self, key: &str) -> PendingSurvey {
        let replicas = (self.replicas_of)(key);
        let own_record = self.own_replica.read_record(key).await.unwrap_or_default();
        let request = RegisterRequest::Look {
            key: key.into(),
            lay: replicas.layout_version,
            have: (own_record.accepted, own_record.seq),
        };
        let votes = self.broadcast(&replicas, &ReplicaCall::without_value(request));
        PendingSurvey {
            replicas,
            own_record,
            votes,
        }
    }

    /// Whether a majority of each set reports the same version, counting only disks that may vote.
    /// Nothing is prepared: the proposer of the key is not preempted.
    pub async fn majority_agrees(&self, key: &str, may_vote: impl Fn(&str) -> bool) -> bool {
        let PendingSurvey {
            replicas, votes, ..
        } = self.start_survey(key).await;
        let mut survey = ReadRound::default();
        while let Ok(vote) = votes.recv().await {
            if may_vote(&vote.disk) {
                survey.record(vote);
            }
            if survey.decided(&replicas).is_some() {
                return true;
            }
        }
        false
    }

    /// Whether all replicas, current and previous, answer and report the same version.
    pub async fn all_replicas_agree(&self, key: &str) -> bool {
        let PendingSurvey { votes, .. } = self.start_survey(key).await;
        let mut versions = vec![];
        while let Ok(vote) = votes.recv().await {
            let RegisterReply::Looked { accepted, seq } = vote.reply else {
                return false;
            };
            versions.push((accepted, seq));
        }
        versions.windows(2).all(|pair| pair[0] == pair[1])
    }
}
