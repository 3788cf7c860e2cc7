//! The leader lease as pure state machines: the granter on each core replica (voter), and the process
//! that holds or requests the lease.
//!
//! At most one process holds the lease at any time. A granter grants it to one candidate at a time,
//! for one lease length on its own clock, starting when it decides. The holder counts the same
//! length, less a margin, from before it sent the request. Any two majorities of one set of voters
//! share a granter. Nothing here reads a clock, a disk or the network, so a model checker can run it.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::protocol::lease::{Candidate, LeaseDenial, LeaseOperation, LeaseVerdict};
use yewcross_common::protocol::{Layout, ReplicaGroup};
use yewcross_common::register::majority;

/// Number of renewal rounds that a holder may start after the last round that it saw confirmed by a
/// quorum.
pub const MAX_UNCONFIRMED_ROUNDS: u64 = 2;

/// Durations of the lease in µs, measured on each process's own monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long a granter grants the lease to nobody else after a grant.
    pub length: u64,
    /// How much earlier the lease expires at the holder than at the granters, to allow for clocks
    /// that run at different rates.
    pub margin: u64,
}

/// Digest of the incoming and outgoing voters; 0 if there are none. A grant is valid only between
/// processes that use the same set of voters.
pub fn voters_digest(layout: &Layout) -> u64 {
    if layout.core.current.is_empty() {
        return 0;
    }
    yewcross_common::hash::rendezvous_weight(
        &layout.core.current.join(" "),
        &layout.core.previous.join(" "),
    )
}

/// Whether the disks for which `is_counted` is true form a majority of the group's current set and,
/// while a membership change is in progress, also of its outgoing set.
pub fn has_quorum(group: &ReplicaGroup, is_counted: impl Fn(&str) -> bool) -> bool {
    let is_majority = |disks: &[String]| {
        disks.iter().filter(|disk| is_counted(disk)).count() >= majority(disks.len())
    };
    !group.current.is_empty()
        && is_majority(&group.current)
        && (group.previous.is_empty() || is_majority(&group.previous))
}

/// The state of a granter that survives a restart. It is on disk before a grant under a new term is
/// answered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedGrant {
    /// The highest term granted.
    pub term: u64,
    /// The candidate to which the term was granted.
    pub holder: Option<Candidate>,
    /// Digest of the voters at the time of the grant. Stored under the name `seats`.
    #[serde(rename = "seats")]
    pub voters_digest: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    holder: Candidate,
    term: u64,
    /// Highest round granted; 0 is the request.
    round: u64,
    expires_at: u64,
}

/// The granter's state on one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Granter {
    times: LeaseTimes,
    term: u64,
    grant: Option<Grant>,
    /// Time before which only the candidate with a current grant here is granted anything: an earlier
    /// incarnation of this granter, or the voters before the last change, may have granted a lease
    /// that is not recorded here.
    blocked_until: u64,
    /// The last grant of an earlier incarnation, as long as `blocked_until` is set only because of
    /// it.
    earlier_grant: Option<PersistedGrant>,
    /// Digest of the voters as last observed; 0 before the first layout.
    voters_digest: u64,
    /// Whether no incarnation of this granter can have granted anything yet.
    is_fresh: bool,
}

impl Granter {
    /// Restores the granter from `persisted`. `is_fresh` means that the disk has never held a layout.
    pub fn new(times: LeaseTimes, now: u64, persisted: PersistedGrant, is_fresh: bool) -> Granter {
        let term = persisted.term;
        let earlier_grant = Some(persisted).filter(|grant| grant.holder.is_some());
        Granter {
            times,
            term,
            grant: None,
            blocked_until: now + times.length,
            earlier_grant,
            voters_digest: 0,
            is_fresh: is_fresh && term == 0,
        }
    }

    /// Updates the granter with the digest of the current voters, the term under which the layout was
    /// written, and whether it is the first layout of the tier. No process can have held the lease
    /// before the first layout.
    pub fn observe_voters(
        &mut self,
        now: u64,
        voters_digest: u64,
        term: u64,
        is_first_layout: bool,
    ) {
        self.term = self.term.max(term);
        if voters_digest == self.voters_digest {
            return;
        }
        let is_first_observed = self.voters_digest == 0;
        let is_bootstrap = self.is_fresh && is_first_layout && is_first_observed;
        let matches_earlier_grant = is_first_observed
            && self
                .earlier_grant
                .as_ref()
                .is_some_and(|grant| grant.voters_digest == voters_digest);
        if is_bootstrap {
            self.blocked_until = 0;
        } else if !matches_earlier_grant {
            self.blocked_until = self.blocked_until.max(now + self.times.length);
            self.earlier_grant = None;
        }
        self.voters_digest = voters_digest;
        self.is_fresh = false;
    }

    /// The highest term that was granted or released here, or seen in a layout.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Drops grants to earlier processes on the candidate's disk. A restarted process no longer holds
    /// what its predecessor was granted, so other candidates need not wait for that grant to expire.
    /// Returns whether a grant was dropped.
    pub fn release_if_restarted(&mut self, candidate: &Candidate) -> bool {
        let is_void = |holder: &Candidate| candidate.is_restart_of(holder);
        let is_earlier_grant_void = self
            .earlier_grant
            .as_ref()
            .and_then(|grant| grant.holder.as_ref())
            .is_some_and(is_void);
        if is_earlier_grant_void {
            self.earlier_grant = None;
            self.blocked_until = 0;
        }
        let is_current_grant_void = self
            .grant
            .as_ref()
            .is_some_and(|grant| is_void(&grant.holder));
        if is_current_grant_void {
            self.grant = None;
        }
        is_earlier_grant_void || is_current_grant_void
    }

    /// The state that must be on disk before a grant is answered.
    pub fn to_persist(&self) -> PersistedGrant {
        PersistedGrant {
            term: self.term,
            holder: self.grant.as_ref().map(|grant| grant.holder.clone()),
            voters_digest: self.voters_digest,
        }
    }

    /// When the lease becomes free at this granter if no holder renews it.
    pub fn free_at(&self) -> u64 {
        self.blocked_until
            .max(self.grant.as_ref().map_or(0, |grant| grant.expires_at))
    }

    /// The candidate to which this granter currently grants the lease.
    pub fn holder(&self, now: u64) -> Option<&Candidate> {
        self.grant
            .as_ref()
            .filter(|grant| now < grant.expires_at)
            .map(|grant| &grant.holder)
    }

    /// Answers a request of `candidate`, which uses the set of voters with the given digest. A grant
    /// under a new term must be on disk before the answer is sent.
    pub fn answer(
        &mut self,
        now: u64,
        candidate: &Candidate,
        voters_digest: u64,
        operation: LeaseOperation,
    ) -> LeaseVerdict {
        if voters_digest != self.voters_digest || voters_digest == 0 {
            return LeaseVerdict::Refused(LeaseDenial::OtherReplicas);
        }
        match operation {
            LeaseOperation::Check if now < self.free_at() => LeaseVerdict::Held,
            LeaseOperation::Check => LeaseVerdict::Free,
            LeaseOperation::Request { term } => self.request(now, candidate, term),
            LeaseOperation::Renew {
                term,
                round,
                confirmed,
            } => self.renew(now, candidate, term, round, confirmed),
            LeaseOperation::Release { term } => self.release(candidate, term),
        }
    }

    fn is_granted_to(&self, candidate: &Candidate, term: u64) -> bool {
        self.grant
            .as_ref()
            .is_some_and(|grant| grant.holder == *candidate && grant.term == term)
    }

    fn request(&mut self, now: u64, candidate: &Candidate, term: u64) -> LeaseVerdict {
        if self.is_granted_to(candidate, term) {
            return LeaseVerdict::Granted;
        }
        self.grant_new_term(now, candidate, term, 0)
    }

    fn grant_new_term(
        &mut self,
        now: u64,
        candidate: &Candidate,
        term: u64,
        round: u64,
    ) -> LeaseVerdict {
        if term <= self.term {
            return LeaseVerdict::Refused(LeaseDenial::OldTerm);
        }
        if now < self.free_at() {
            return LeaseVerdict::Refused(LeaseDenial::NotFree);
        }
        self.term = term;
        self.grant = Some(Grant {
            holder: candidate.clone(),
            term,
            round,
            expires_at: now + self.times.length,
        });
        LeaseVerdict::Granted
    }

    /// Extends the lease only for a holder that has recently received the answers of a quorum. A
    /// holder that receives no answers must not keep the other candidates from the lease.
    fn renew(
        &mut self,
        now: u64,
        candidate: &Candidate,
        term: u64,
        round: u64,
        confirmed: u64,
    ) -> LeaseVerdict {
        if round > confirmed + MAX_UNCONFIRMED_ROUNDS {
            return LeaseVerdict::Refused(LeaseDenial::Unconfirmed);
        }
        if !self.is_granted_to(candidate, term) {
            return self.grant_new_term(now, candidate, term, round);
        }
        let expires_at = now + self.times.length;
        if let Some(grant) = self.grant.as_mut().filter(|grant| round > grant.round) {
            grant.round = round;
            grant.expires_at = expires_at;
        }
        LeaseVerdict::Granted
    }

    fn release(&mut self, candidate: &Candidate, term: u64) -> LeaseVerdict {
        if self.is_granted_to(candidate, term) {
            self.grant = None;
        }
        // A request for this term that is still in flight is rejected when it arrives.
        self.term = self.term.max(term);
        LeaseVerdict::Released
    }
}

/// A request or renewal sent to all voters.
#[derive(Clone, Debug, PartialEq, Hash)]
struct Round {
    sent_at: u64,
    voters: ReplicaGroup,
    granted_by: BTreeSet<String>,
}

impl Round {
    fn new(now: u64, voters: &ReplicaGroup) -> Round {
        Round {
            sent_at: now,
            voters: voters.clone(),
            granted_by: BTreeSet::new(),
        }
    }
}

/// A lease that this process holds or requests.
#[derive(Clone, Debug, PartialEq, Hash)]
struct LeaseAttempt {
    term: u64,
    /// The last round that was started; 0 is the request itself.
    round: u64,
    /// The last round that a quorum granted.
    confirmed: Option<u64>,
    /// When the lease expires at the holder; 0 until the request is granted.
    expires_at: u64,
    /// Rounds that a quorum may still confirm, by round number.
    rounds: BTreeMap<u64, Round>,
}

/// The state of a process that holds the lease, requests it, or neither.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Holder {
    times: LeaseTimes,
    attempt: Option<LeaseAttempt>,
}

impl Holder {
    /// Creates the state of a process that neither holds nor requests the lease.
    pub fn new(times: LeaseTimes) -> Holder {
        Holder {
            times,
            attempt: None,
        }
    }

    /// Starts a request for a term. Must be called before the request is sent.
    pub fn request(&mut self, now: u64, term: u64, voters: &ReplicaGroup) -> LeaseOperation {
        self.attempt = Some(LeaseAttempt {
            term,
            round: 0,
            confirmed: None,
            expires_at: 0,
            rounds: [(0, Round::new(now, voters))].into(),
        });
        LeaseOperation::Request { term }
    }

    /// Starts the next renewal round. Must be called before the renewal is sent. `None` if the lease
    /// is no longer held.
    pub fn renew(&mut self, now: u64, voters: &ReplicaGroup) -> Option<LeaseOperation> {
        let attempt = self
            .attempt
            .as_mut()
            .filter(|attempt| now < attempt.expires_at)?;
        let confirmed = attempt.confirmed?;
        attempt.round += 1;
        attempt.rounds.retain(|number, _| *number > confirmed);
        attempt
            .rounds
            .insert(attempt.round, Round::new(now, voters));
        Some(LeaseOperation::Renew {
            term: attempt.term,
            round: attempt.round,
            confirmed,
        })
    }

    /// Records that a granter granted the given round of the given term. Returns true if this grant
    /// completed the quorum of the round.
    pub fn record_grant(&mut self, term: u64, round: u64, granter: &str) -> bool {
        let times = self.times;
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.term == term) else {
            return false;
        };
        let Some(sent_round) = attempt.rounds.get_mut(&round) else {
            return false;
        };
        sent_round.granted_by.insert(granter.into());
        let is_granted_by_quorum = has_quorum(&sent_round.voters, |disk| {
            sent_round.granted_by.contains(disk)
        });
        let was_confirmed = attempt
            .confirmed
            .is_some_and(|confirmed| confirmed >= round);
        if !is_granted_by_quorum || was_confirmed {
            return false;
        }
        // The length is counted from before the round was sent and reduced by the margin, so the
        // lease expires here before it expires at any granter of the quorum.
        let expiry = (sent_round.sent_at + times.length).saturating_sub(times.margin);
        attempt.expires_at = attempt.expires_at.max(expiry);
        attempt.confirmed = Some(round);
        true
    }

    /// The term of the lease held at `now`; `None` if it is not held or has expired.
    pub fn held_term(&self, now: u64) -> Option<u64> {
        self.attempt
            .as_ref()
            .filter(|attempt| now < attempt.expires_at)
            .map(|attempt| attempt.term)
    }

    /// Stops holding or requesting the lease. Returns its term, so that the granters can be notified.
    pub fn release(&mut self) -> Option<u64> {
        self.attempt.take().map(|attempt| attempt.term)
    }
}
