//! The duty lease as pure state machines: the granter of each core seat, and the process that holds
//! or wants the lease.
//!
//! At most one process holds the lease at any time. A granter promises one candidate at a time, for
//! one lease length on its own clock from the moment of its answer; the holder counts from before
//! it asked, and a margin less. Two majorities of one set of seats share a granter. Nothing here
//! reads a clock, a disk or the network, so that a model checker can run it.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use yewcross_common::protocol::lease::*;
use yewcross_common::protocol::{Layout, ReplicaGroup};
use yewcross_common::register::majority;

/// Rounds that a holder may ask for beyond the last one it saw confirmed.
pub const UNCONFIRMED_ROUNDS: u64 = 2;

/// Lengths in us, on any clock that runs at the usual pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long a grant binds its granter.
    pub length: u64,
    /// How much earlier the holder counts itself out, for clocks that run at different paces.
    pub margin: u64,
}

/// Digest of the core seats, new and old. Grants count only among nodes that know the same.
pub fn seats_digest(layout: &Layout) -> u64 {
    if layout.core.current.is_empty() {
        return 0;
    }
    yewcross_common::hash::rendezvous_weight(
        &layout.core.current.join(" "),
        &layout.core.previous.join(" "),
    )
}

/// Whether the disks are a majority of the seats, and of the old ones while a change is under way.
pub fn quorum(seats: &ReplicaGroup, has: impl Fn(&str) -> bool) -> bool {
    let most = |disks: &[String]| disks.iter().filter(|d| has(d)).count() >= majority(disks.len());
    !seats.current.is_empty()
        && most(&seats.current)
        && (seats.previous.is_empty() || most(&seats.previous))
}

/// What a granter remembers across its own restarts: it is on disk before a grant under a new term
/// is told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeptGrant {
    /// The highest term granted.
    pub term: u64,
    /// Whom it was granted to.
    pub holder: Option<Candidate>,
    /// Digest of the core seats that the grant counted in.
    pub seats: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    holder: Candidate,
    term: u64,
    /// Highest round granted.
    round: u64,
    until: u64,
}

/// What one core seat has promised.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Granter {
    times: LeaseTimes,
    term: u64,
    grant: Option<Grant>,
    /// Nothing is granted to a candidate that holds no grant here before this: an earlier life of
    /// this process, or the seats before the last change, may have granted what is not known here.
    quiet_until: u64,
    /// The last grant of an earlier life, while it alone is what the granter keeps quiet for.
    remembered: Option<KeptGrant>,
    seats: u64,
    /// No life of this disk can have granted anything.
    fresh: bool,
}

impl Granter {
    /// `kept` is what the disk remembers. `fresh` says that the disk has known no layout yet.
    pub fn new(times: LeaseTimes, now: u64, kept: KeptGrant, fresh: bool) -> Granter {
        let term = kept.term;
        let remembered = Some(kept).filter(|kept| kept.holder.is_some());
        Granter {
            times,
            term,
            grant: None,
            quiet_until: now + times.length,
            remembered,
            seats: 0,
            fresh: fresh && term == 0,
        }
    }

    /// Tells the core seats as known now, the term that the layout was written under, and whether
    /// that is the very first layout. Before the first one nobody can have held the lease.
    pub fn see_seats(&mut self, now: u64, seats: u64, term: u64, first_layout: bool) {
        self.term = self.term.max(term);
        if seats == self.seats {
            return;
        }
        let founding = self.fresh && first_layout && self.seats == 0;
        let as_before = self.seats == 0
            && self
                .remembered
                .as_ref()
                .is_some_and(|kept| kept.seats == seats);
        if founding {
            self.quiet_until = 0;
        } else if !as_before {
            self.quiet_until = self.quiet_until.max(now + self.times.length);
            self.remembered = None;
        }
        self.seats = seats;
        self.fresh = false;
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    /// A process asks. Whatever was granted to an earlier one on the same disk is held by nobody
    /// any more, so that nobody has to wait for it. Whether that frees the lease here.
    pub fn meet(&mut self, asker: &Candidate) -> bool {
        let is_over = |holder: &Candidate| asker.succeeds(holder);
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

    /// What has to be on disk before a grant is told.
    pub fn to_keep(&self) -> KeptGrant {
        KeptGrant {
            term: self.term,
            holder: self.grant.as_ref().map(|grant| grant.holder.clone()),
            seats: self.seats,
        }
    }

    /// When the lease will be free here, if nobody renews it.
    pub fn free_at(&self) -> u64 {
        self.quiet_until
            .max(self.grant.as_ref().map_or(0, |g| g.until))
    }

    /// Who holds the lease as far as this seat knows.
    pub fn holder(&self, now: u64) -> Option<&Candidate> {
        self.grant
            .as_ref()
            .filter(|g| now < g.until)
            .map(|g| &g.holder)
    }

    /// A grant under a new term must be on disk before the answer leaves.
    pub fn answer(
        &mut self,
        now: u64,
        asker: &Candidate,
        seats: u64,
        call: LeaseOperation,
    ) -> LeaseVerdict {
        if seats != self.seats || seats == 0 {
            return LeaseVerdict::Refused(LeaseDenial::OtherSeats);
        }
        match call {
            LeaseOperation::Look if now < self.free_at() => LeaseVerdict::Held,
            LeaseOperation::Look => LeaseVerdict::Free,
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
            .is_some_and(|g| g.holder == *asker && g.term == term)
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

    /// A holder whose answers are lost on their way must not keep the lease from the others: it is
    /// extended only for one that lately saw a majority's answers.
    fn renew(
        &mut self,
        now: u64,
        asker: &Candidate,
        term: u64,
        round: u64,
        confirmed: u64,
    ) -> LeaseVerdict {
        if round > confirmed + UNCONFIRMED_ROUNDS {
            return LeaseVerdict::Refused(LeaseDenial::Unconfirmed);
        }
        if !self.is_granted_to(asker, term) {
            return self.grant_anew(now, asker, term, round);
        }
        let until = now + self.times.length;
        if let Some(g) = self.grant.as_mut().filter(|g| round > g.round) {
            g.round = round;
            g.until = until;
        }
        LeaseVerdict::Granted
    }

    fn release(&mut self, asker: &Candidate, term: u64) -> LeaseVerdict {
        if self.is_granted_to(asker, term) {
            self.grant = None;
        }
        // A request that is still on its way comes too late.
        self.term = self.term.max(term);
        LeaseVerdict::Released
    }
}

#[derive(Clone, Debug, PartialEq, Hash)]
struct Round {
    sent: u64,
    seats: ReplicaGroup,
    granted: BTreeSet<String>,
}

#[derive(Clone, Debug, PartialEq, Hash)]
struct Tenure {
    term: u64,
    /// The last round begun; 0 is the request itself.
    round: u64,
    confirmed: Option<u64>,
    until: u64,
    rounds: BTreeMap<u64, Round>,
}

/// A process that holds the lease, asks for it, or neither.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Holder {
    times: LeaseTimes,
    tenure: Option<Tenure>,
}

impl Holder {
    pub fn new(times: LeaseTimes) -> Holder {
        Holder {
            times,
            tenure: None,
        }
    }

    /// Begins a request for a term, at the moment before it is sent.
    pub fn request(&mut self, now: u64, term: u64, seats: &ReplicaGroup) -> LeaseOperation {
        let first = Round {
            sent: now,
            seats: seats.clone(),
            granted: BTreeSet::new(),
        };
        self.tenure = Some(Tenure {
            term,
            round: 0,
            confirmed: None,
            until: 0,
            rounds: [(0, first)].into(),
        });
        LeaseOperation::Request { term }
    }

    /// Begins the next round, at the moment before it is sent. `None` if the lease is not held any
    /// more.
    pub fn renew(&mut self, now: u64, seats: &ReplicaGroup) -> Option<LeaseOperation> {
        let t = self.tenure.as_mut().filter(|t| now < t.until)?;
        let confirmed = t.confirmed?;
        t.round += 1;
        t.rounds.retain(|r, _| *r > confirmed);
        t.rounds.insert(
            t.round,
            Round {
                sent: now,
                seats: seats.clone(),
                granted: BTreeSet::new(),
            },
        );
        Some(LeaseOperation::Renew {
            term: t.term,
            round: t.round,
            confirmed,
        })
    }

    /// A granter granted what was asked under this term in this round. True if that made the
    /// majority of the round.
    pub fn granted(&mut self, term: u64, round: u64, granter: &str) -> bool {
        let times = self.times;
        let Some(t) = self.tenure.as_mut().filter(|t| t.term == term) else {
            return false;
        };
        let Some(r) = t.rounds.get_mut(&round) else {
            return false;
        };
        r.granted.insert(granter.into());
        if !quorum(&r.seats, |d| r.granted.contains(d)) || t.confirmed.is_some_and(|c| c >= round) {
            return false;
        }
        t.until = t
            .until
            .max((r.sent + times.length).saturating_sub(times.margin));
        t.confirmed = Some(round);
        true
    }

    /// The term held at this moment.
    pub fn held(&self, now: u64) -> Option<u64> {
        self.tenure
            .as_ref()
            .filter(|t| now < t.until)
            .map(|t| t.term)
    }

    /// Gives up what is held or asked for; the term of it, for the granters to be told.
    pub fn give_up(&mut self) -> Option<u64> {
        self.tenure.take().map(|t| t.term)
    }
}
