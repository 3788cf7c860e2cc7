//! The lease as pure state machines: the granter of each core replica (voter), and the process that
//! holds or wants the lease.
//!
//! At most one process holds the lease at any time. A granter grants it to one candidate at a time,
//! for one lease length on its own clock from the moment of its decision; the holder counts from
//! before it asked, and a margin less. Two majorities of one set of voters share a granter. Nothing
//! here reads a clock, a disk or the network, so that a model checker can run it.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::protocol::lease::{Candidate, LeaseDenial, LeaseOperation, LeaseVerdict};
use yewcross_common::protocol::{Layout, ReplicaGroup};
use yewcross_common::register::majority;

/// Rounds of renewal that a holder may begin beyond the last one it saw confirmed.
pub const MAX_UNCONFIRMED_ROUNDS: u64 = 2;

/// Lengths in us, on any clock that runs at the usual rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long a grant binds its granter.
    pub length: u64,
    /// How much earlier the lease expires at the holder, for clocks that run at different rates.
    pub margin: u64,
}

/// Digest of the voters, incoming and outgoing; 0 if there are none. Grants count only among
/// processes that know the same voters.
pub fn voters_digest(layout: &Layout) -> u64 {
    if layout.core.current.is_empty() {
        return 0;
    }
    yewcross_common::hash::rendezvous_weight(
        &layout.core.current.join(" "),
        &layout.core.previous.join(" "),
    )
}

/// Whether the disks that `has` selects are a majority of the group, and of its outgoing set while a
/// change is under way.
pub fn has_quorum(group: &ReplicaGroup, has: impl Fn(&str) -> bool) -> bool {
    let is_majority =
        |disks: &[String]| disks.iter().filter(|disk| has(disk)).count() >= majority(disks.len());
    !group.current.is_empty()
        && is_majority(&group.current)
        && (group.previous.is_empty() || is_majority(&group.previous))
}

/// What a granter remembers across its own restarts: it is on disk before a grant under a new term
/// is answered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedGrant {
    /// The highest term granted.
    pub term: u64,
    /// Whom it was granted to.
    pub holder: Option<Candidate>,
    /// Digest of the voters that the grant counted among.
    #[serde(rename = "seats")]
    pub voters_digest: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    holder: Candidate,
    term: u64,
    /// Highest round granted.
    round: u64,
    until: u64,
}

/// What one voter has granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Granter {
    times: LeaseTimes,
    term: u64,
    grant: Option<Grant>,
    /// Nothing is granted to a candidate that holds no grant here before this: an earlier
    /// incarnation, or the voters before the last change, may have granted what is not known here.
    quiet_until: u64,
    /// The last grant of an earlier incarnation, while it alone is what the granter waits for.
    remembered: Option<PersistedGrant>,
    /// Digest of the voters as last observed.
    voters: u64,
    /// No incarnation of this disk can have granted anything.
    is_fresh: bool,
}

impl Granter {
    /// `kept` is what the disk remembers. `is_fresh` says that the disk has known no layout yet.
    pub fn new(times: LeaseTimes, now: u64, kept: PersistedGrant, is_fresh: bool) -> Granter {
        let term = kept.term;
        let remembered = Some(kept).filter(|kept| kept.holder.is_some());
        Granter {
            times,
            term,
            grant: None,
            quiet_until: now + times.length,
            remembered,
            voters: 0,
            is_fresh: is_fresh && term == 0,
        }
    }

    /// Observes the digest of the voters as known now, the term that the layout was written under,
    /// and whether that is the very first layout. Before the first one nobody can have held the
    /// lease.
    pub fn observe_voters(&mut self, now: u64, voters: u64, term: u64, is_first_layout: bool) {
        self.term = self.term.max(term);
        if voters == self.voters {
            return;
        }
        let is_first_observed = self.voters == 0;
        let is_bootstrap = self.is_fresh && is_first_layout && is_first_observed;
        let is_as_remembered = is_first_observed
            && self
                .remembered
                .as_ref()
                .is_some_and(|kept| kept.voters_digest == voters);
        if is_bootstrap {
            self.quiet_until = 0;
        } else if !is_as_remembered {
            self.quiet_until = self.quiet_until.max(now + self.times.length);
            self.remembered = None;
        }
        self.voters = voters;
        self.is_fresh = false;
    }

    /// The highest term granted here or seen in a layout.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Notes that a process asks. Whatever was granted to an earlier process on the same disk is
    /// held by nobody any more, so that nobody has to wait for it. Returns whether that frees the
    /// lease here.
    pub fn release_if_restarted(&mut self, asker: &Candidate) -> bool {
        let is_over = |holder: &Candidate| asker.is_restart_of(holder);
        let remembered_is_over = self
            .remembered
            .as_ref()
            .and_then(|kept| kept.holder.as_ref())
            .is_some_and(is_over);
        if remembered_is_over {
            self.remembered = None;
            self.quiet_until = 0;
        }
        let grant_is_over = self
            .grant
            .as_ref()
            .is_some_and(|grant| is_over(&grant.holder));
        if grant_is_over {
            self.grant = None;
        }
        remembered_is_over || grant_is_over
    }

    /// What has to be on disk before a grant is answered.
    pub fn to_persist(&self) -> PersistedGrant {
        PersistedGrant {
            term: self.term,
            holder: self.grant.as_ref().map(|grant| grant.holder.clone()),
            voters_digest: self.voters,
        }
    }

    /// When the lease will be free here, if nobody renews it.
    pub fn free_at(&self) -> u64 {
        self.quiet_until
            .max(self.grant.as_ref().map_or(0, |grant| grant.until))
    }

    /// Who holds the lease as far as this granter knows.
    pub fn holder(&self, now: u64) -> Option<&Candidate> {
        self.grant
            .as_ref()
            .filter(|grant| now < grant.until)
            .map(|grant| &grant.holder)
    }

    /// Answers a request of a process that knows the voters with this digest. A grant under a new
    /// term must be on disk before the answer is sent.
    pub fn answer(
        &mut self,
        now: u64,
        asker: &Candidate,
        voters: u64,
        operation: LeaseOperation,
    ) -> LeaseVerdict {
        if voters != self.voters || voters == 0 {
            return LeaseVerdict::Refused(LeaseDenial::OtherReplicas);
        }
        match operation {
            LeaseOperation::Check if now < self.free_at() => LeaseVerdict::Held,
            LeaseOperation::Check => LeaseVerdict::Free,
            LeaseOperation::Request { term } => self.request(now, asker, term),
            LeaseOperation::Renew {
                term,
                round,
                confirmed,
            } => self.renew(now, asker, term, round, confirmed),
            LeaseOperation::Release { term } => self.release(asker, term),
        }
    }

    fn is_granted_to(&self, asker: &Candidate, term: u64) -> bool {
        self.grant
            .as_ref()
            .is_some_and(|grant| grant.holder == *asker && grant.term == term)
    }

    fn request(&mut self, now: u64, asker: &Candidate, term: u64) -> LeaseVerdict {
        if self.is_granted_to(asker, term) {
            return LeaseVerdict::Granted;
        }
        self.grant_anew(now, asker, term, 0)
    }

    fn grant_anew(&mut self, now: u64, asker: &Candidate, term: u64, round: u64) -> LeaseVerdict {
        if term <= self.term {
            return LeaseVerdict::Refused(LeaseDenial::OldTerm);
        }
        if now < self.free_at() {
            return LeaseVerdict::Refused(LeaseDenial::NotFree);
        }
        self.term = term;
        self.grant = Some(Grant {
            holder: asker.clone(),
            term,
            round,
            until: now + self.times.length,
        });
        LeaseVerdict::Granted
    }

    /// A holder that the answers do not reach must not keep the lease from the others: the lease is
    /// extended only for one that lately saw a quorum's answers.
    fn renew(
        &mut self,
        now: u64,
        asker: &Candidate,
        term: u64,
        round: u64,
        confirmed: u64,
    ) -> LeaseVerdict {
        if round > confirmed + MAX_UNCONFIRMED_ROUNDS {
            return LeaseVerdict::Refused(LeaseDenial::Unconfirmed);
        }
        if !self.is_granted_to(asker, term) {
            return self.grant_anew(now, asker, term, round);
        }
        let until = now + self.times.length;
        if let Some(grant) = self.grant.as_mut().filter(|grant| round > grant.round) {
            grant.round = round;
            grant.until = until;
        }
        LeaseVerdict::Granted
    }

    fn release(&mut self, asker: &Candidate, term: u64) -> LeaseVerdict {
        if self.is_granted_to(asker, term) {
            self.grant = None;
        }
        // A request that is still in flight is rejected when it arrives.
        self.term = self.term.max(term);
        LeaseVerdict::Released
    }
}

/// A request or renewal sent to all voters.
#[derive(Clone, Debug, PartialEq, Hash)]
struct Round {
    sent: u64,
    voters: ReplicaGroup,
    granted: BTreeSet<String>,
}

impl Round {
    fn begin(now: u64, voters: &ReplicaGroup) -> Round {
        Round {
            sent: now,
            voters: voters.clone(),
            granted: BTreeSet::new(),
        }
    }
}

/// A lease that is held or requested.
#[derive(Clone, Debug, PartialEq, Hash)]
struct Tenure {
    term: u64,
    /// The last round begun; 0 is the request itself.
    round: u64,
    /// The last round that a quorum granted.
    confirmed: Option<u64>,
    /// When the lease expires; 0 while it is only requested.
    until: u64,
    /// Rounds that may still be confirmed, by number.
    rounds: BTreeMap<u64, Round>,
}

/// A process that holds the lease, asks for it, or neither.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Holder {
    times: LeaseTimes,
    tenure: Option<Tenure>,
}

impl Holder {
    /// A process that neither holds nor requests the lease.
    pub fn new(times: LeaseTimes) -> Holder {
        Holder {
            times,
            tenure: None,
        }
    }

    /// Begins a request for a term, at the moment before it is sent.
    pub fn request(&mut self, now: u64, term: u64, voters: &ReplicaGroup) -> LeaseOperation {
        self.tenure = Some(Tenure {
            term,
            round: 0,
            confirmed: None,
            until: 0,
            rounds: [(0, Round::begin(now, voters))].into(),
        });
        LeaseOperation::Request { term }
    }

    /// Begins the next round, at the moment before it is sent. `None` if the lease is not held any
    /// more.
    pub fn renew(&mut self, now: u64, voters: &ReplicaGroup) -> Option<LeaseOperation> {
        let tenure = self.tenure.as_mut().filter(|tenure| now < tenure.until)?;
        let confirmed = tenure.confirmed?;
        tenure.round += 1;
        tenure.rounds.retain(|number, _| *number > confirmed);
        tenure
            .rounds
            .insert(tenure.round, Round::begin(now, voters));
        Some(LeaseOperation::Renew {
            term: tenure.term,
            round: tenure.round,
            confirmed,
        })
    }

    /// Records that a granter granted what was asked under this term in this round. Returns true if
    /// that made the quorum of the round.
    pub fn record_grant(&mut self, term: u64, round: u64, granter: &str) -> bool {
        let times = self.times;
        let Some(tenure) = self.tenure.as_mut().filter(|tenure| tenure.term == term) else {
            return false;
        };
        let Some(asked) = tenure.rounds.get_mut(&round) else {
            return false;
        };
        asked.granted.insert(granter.into());
        let has_quorum = has_quorum(&asked.voters, |disk| asked.granted.contains(disk));
        let was_confirmed = tenure.confirmed.is_some_and(|confirmed| confirmed >= round);
        if !has_quorum || was_confirmed {
            return false;
        }
        // Counted from before the round was sent, and by the margin less: the lease expires here
        // before it expires at any granter of the quorum.
        let expiry = (asked.sent + times.length).saturating_sub(times.margin);
        tenure.until = tenure.until.max(expiry);
        tenure.confirmed = Some(round);
        true
    }

    /// The term held at this moment.
    pub fn held_term(&self, now: u64) -> Option<u64> {
        self.tenure
            .as_ref()
            .filter(|tenure| now < tenure.until)
            .map(|tenure| tenure.term)
    }

    /// Gives up what is held or requested. Returns its term, for the granters to be notified.
    pub fn release(&mut self) -> Option<u64> {
        self.tenure.take().map(|tenure| tenure.term)
    }
}
