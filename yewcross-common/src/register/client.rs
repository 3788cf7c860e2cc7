//! The client of the registers: takes a key as its proposer, reads and changes it, repairs its
//! replicas.

use super::message::{Ballot, RegisterReply, RegisterRequest};
use super::poll::Poll;
use super::proposer::{ChangeError, Proposer, Round, Survey, Vote};
use super::quorum::ReplicaSet;
use super::replica::Replica;
use super::{SHARDS, locate};
use crate::constants::*;
use crate::runtime::*;
use crate::transport::PeerClient;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, OnceLock};

/// us. Least span from which the pause before a change is tried again is drawn. Where another
/// proposer's ballot was higher, it doubles with each try and is never shorter than the try itself
/// took: proposers on slow machines would outbid each other for ever.
const RETRY_SPAN: u64 = 20 * MS;
/// us. And the most that it grows to.
const RETRY_SPAN_MOST: u64 = 640 * MS;

/// What a change makes of the value that it finds.
pub enum Step<R> {
    /// Nothing is written; the value found is proved to be the newest.
    Keep(R),
    /// The next version.
    Write(Vec<u8>, R),
}

/// A decided value: its version, the ballot under which it stands, its bytes.
pub type Decided = (u64, Ballot, Arc<Vec<u8>>);

/// Why one try of a change failed.
struct Failure {
    error: ChangeError,
    /// Another proposer was promised a higher ballot.
    outbid: bool,
}

impl Failure {
    fn of(round: &Round, error: ChangeError) -> Failure {
        Failure {
            error,
            outbid: round.highest_promised > 0,
        }
    }
}

impl From<ChangeError> for Failure {
    fn from(error: ChangeError) -> Failure {
        Failure {
            error,
            outbid: false,
        }
    }
}

type Votes = async_channel::Receiver<Vote>;
type Cell = Arc<futures_util::lock::Mutex<Held>>;
type Place = Arc<dyn Fn(&str) -> ReplicaSet + Send + Sync>;
/// Whether this process may propose for a key at this moment.
type Permit = Box<dyn Fn(&str) -> bool + Send + Sync>;

/// A key's proposer, and when it was used last, us.
#[derive(Default)]
struct Held {
    proposer: Proposer,
    used: u64,
}

pub struct RegisterClient {
    world: Runtime,
    peers: Arc<PeerClient>,
    /// Drawn anew by each process; no two proposers of a tier share it.
    pub proposer_id: u64,
    replica: Arc<Replica>,
    /// The replicas of a key, as the layout of now has them.
    place: Place,
    /// None: any process may propose for any key.
    permit: OnceLock<Permit>,
    held: Vec<Mutex<BTreeMap<String, Cell>>>,
    /// Ballots prepared so far.
    pub takes: AtomicU64,
}

impl RegisterClient {
    pub fn new(
        world: &Runtime,
        peers: &Arc<PeerClient>,
        replica: &Arc<Replica>,
        place: Place,
    ) -> Arc<RegisterClient> {
        Arc::new(RegisterClient {
            world: world.clone(),
            peers: peers.clone(),
            proposer_id: world.random() | 1,
            replica: replica.clone(),
            place,
            permit: OnceLock::new(),
            held: (0..SHARDS).map(|_| Mutex::default()).collect(),
            takes: AtomicU64::new(0),
        })
    }

    /// From now on this process proposes for a key only while `permit` says so. Ballots keep two
    /// proposers from deciding against each other; a permit that one process has at a time keeps
    /// them from outbidding each other.
    pub fn restrict(&self, permit: impl Fn(&str) -> bool + Send + Sync + 'static) {
        let _ = self.permit.set(Box::new(permit));
    }

    fn may_propose(&self, key: &str) -> bool {
        self.permit.get().is_none_or(|permit| permit(key))
    }

    /// Puts the request to all replicas at once; their votes arrive as they come.
    fn send(&self, replicas: &ReplicaSet, poll: &Poll) -> Votes {
        let sends = replicas
            .all()
            .into_iter()
            .map(|seat| -> BoxFuture<'static, Vote> {
                Box::pin(
                    poll.clone()
                        .put_to(seat, self.peers.clone(), self.replica.clone()),
                )
            });
        self.world.spawn_all(sends.collect())
    }

    /// Puts one request to all replicas; `Ok` as soon as a quorum grants it. A refused request that
    /// leaves nothing behind ends at once: silent replicas are not waited for.
    async fn poll(&self, replicas: &ReplicaSet, poll: Poll) -> Result<Round, Round> {
        let leaves_nothing = matches!(
            poll.request,
            RegisterRequest::Promise { .. } | RegisterRequest::Confirm { .. }
        );
        let votes = self.send(replicas, &poll);
        let mut round = Round::default();
        while let Ok(vote) = votes.recv().await {
            round.record(vote);
            if round.has_quorum(replicas) {
                return Ok(round);
            }
            if leaves_nothing && round.is_hopeless(replicas) {
                break;
            }
        }
        Err(round)
    }

    /// Prepares a ballot and brings the newest value under it.
    async fn take(&self, key: &str, proposer: &mut Proposer) -> Result<(), Round> {
        let nth = self.takes.fetch_add(1, SeqCst);
        let replicas = (self.place)(key);
        // No two ballots are alike, whatever was forgotten between them.
        let ballot = proposer.prepare(
            self.proposer_id.wrapping_add(2 * nth),
            self.world.wall_clock_ms(),
        );
        let request = RegisterRequest::Promise {
            key: key.into(),
            epoch: ballot,
            lay: replicas.layout_version,
        };
        let promises = self
            .poll(&replicas, Poll::bare(request))
            .await
            .inspect_err(|round| proposer.saw(round.highest_promised))?;
        if proposer.promised(&replicas, &promises) {
            let (seq, value) = (proposer.seq(), proposer.value().clone());
            let written = self.write(key, &replicas, ballot, seq, &value, None).await;
            written.inspect_err(|round| proposer.saw(round.highest_promised))?;
        }
        proposer.lead(ballot);
        Ok(())
    }

    async fn write(
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
        self.poll(
            replicas,
            Poll {
                request,
                blob: value.clone(),
                delta,
            },
        )
        .await
        .map(|_| ())
    }

    /// Changes a key within `us`. `decide` is told the version and the value; it must give the same
    /// result when it is run again on a value that already has its change.
    pub async fn change<R>(
        &self,
        key: &str,
        us: u64,
        mut decide: impl FnMut(u64, &[u8]) -> Step<R>,
    ) -> Result<R, ChangeError> {
        let started = self.world.now();
        let Some(mut held) = self.world.timeout(us, self.cell(key).lock_owned()).await else {
            return Err(ChangeError::NotDone);
        };
        let mut undecided = false;
        let mut span = RETRY_SPAN;
        loop {
            let began = self.world.now();
            held.used = began;
            let Failure { error, outbid } =
                match self.try_change(key, &mut held.proposer, &mut decide).await {
                    Ok(result) => return Ok(result),
                    Err(failure) => failure,
                };
            undecided |= error == ChangeError::Undecided;
            let now = self.world.now();
            if error == ChangeError::NotProposer || now >= started + us {
                return Err(if undecided {
                    ChangeError::Undecided
                } else {
                    error
                });
            }
            if outbid {
                span = (2 * span).max(now - began).min(RETRY_SPAN_MOST);
            }
            let pause = span / 4 + self.world.random() % span;
            self.world.sleep(pause.min(started + us - now)).await;
        }
    }

    async fn try_change<R>(
        &self,
        key: &str,
        proposer: &mut Proposer,
        decide: &mut impl FnMut(u64, &[u8]) -> Step<R>,
    ) -> Result<R, Failure> {
        if !self.may_propose(key) {
            return Err(ChangeError::NotProposer.into());
        }
        let prepared_now = proposer.leads(&(self.place)(key)).is_none();
        if prepared_now {
            self.take(key, proposer)
                .await
                .map_err(|round| Failure::of(&round, ChangeError::NotDone))?;
        }
        let replicas = (self.place)(key);
        // The layout may have changed while the ballot was prepared: it counts only where it was
        // promised.
        let Some(ballot) = proposer.leads(&replicas) else {
            return Err(ChangeError::NotDone.into());
        };
        match decide(proposer.seq(), proposer.value()) {
            Step::Keep(result) => {
                if prepared_now || self.confirm(key, &replicas, ballot).await {
                    return Ok(result);
                }
                proposer.resign();
                Err(ChangeError::NotDone.into())
            }
            Step::Write(value, result) => {
                self.propose(key, &replicas, ballot, proposer, Arc::new(value))
                    .await?;
                Ok(result)
            }
        }
    }

    async fn confirm(&self, key: &str, replicas: &ReplicaSet, ballot: Ballot) -> bool {
        let request = RegisterRequest::Confirm {
            key: key.into(),
            epoch: ballot,
            lay: replicas.layout_version,
        };
        self.poll(replicas, Poll::bare(request)).await.is_ok()
    }

    async fn propose(
        &self,
        key: &str,
        replicas: &ReplicaSet,
        ballot: Ballot,
        proposer: &mut Proposer,
        value: Arc<Vec<u8>>,
    ) -> Result<(), Failure> {
        let delta = crate::documents::delta::encode(proposer.value(), &value);
        let worth_it = 2 * delta.len() < value.len();
        let delta = worth_it.then(|| Arc::new(delta));
        proposer.resign();
        match self
            .write(key, replicas, ballot, proposer.seq() + 1, &value, delta)
            .await
        {
            Ok(()) => {
                proposer.decided(ballot, value);
                Ok(())
            }
            Err(round) => {
                proposer.saw(round.highest_promised);
                Err(Failure::of(&round, round.failure()))
            }
        }
    }

    /// The newest decided value, proved by a majority.
    pub async fn read(&self, key: &str, us: u64) -> Result<Decided, ChangeError> {
        let (seq, value) = self
            .change(key, us, |seq, value| {
                Step::Keep((seq, Arc::new(value.to_vec())))
            })
            .await?;
        let ballot = self
            .cell(key)
            .try_lock()
            .and_then(|held| held.proposer.ballot())
            .unwrap_or_default();
        Ok((seq, ballot, value))
    }

    /// Asks all replicas what they hold, and tells what the own one does.
    async fn look_at_all(&self, key: &str) -> (ReplicaSet, super::acceptor::Record, Votes) {
        let replicas = (self.place)(key);
        let own = self.replica.peek(key).await.unwrap_or_default();
        let request = RegisterRequest::Look {
            key: key.into(),
            lay: replicas.layout_version,
            have: (own.accepted, own.seq),
        };
        let votes = self.send(&replicas, &Poll::bare(request));
        (replicas, own, votes)
    }

    /// What a majority of the replicas holds alike, and none holds newer so far. Nothing is
    /// prepared or written.
    async fn look(&self, key: &str) -> Option<Decided> {
        let (replicas, own, votes) = self.look_at_all(key).await;
        let mut survey = Survey::default();
        while let Ok(vote) = votes.recv().await {
            survey.record(vote);
            if let Some((accepted, seq, value)) = survey.decided(&replicas) {
                let is_own = (accepted, seq) == (own.accepted, own.seq);
                let value = if is_own {
                    own.value.clone()
                } else {
                    Arc::new(value.clone())
                };
                return Some((seq, accepted, value));
            }
        }
        None
    }

    /// The newest decided value, by the cheapest way that proves it: a key that all hold alike is
    /// not taken. Replicas differ for a moment while a proposer writes; they are looked at again
    /// first, so that readers do not take the key from it. Who may not propose for the key never
    /// takes it.
    pub async fn newest(&self, key: &str, us: u64) -> Result<Decided, ChangeError> {
        // An answer that is lost must not use up the time of the next look.
        let a_look = us / 4;
        let looks_end = self.world.now() + us / 2;
        for nth in 0..READ_LOOKS {
            if nth > 0 {
                self.world
                    .sleep(READ_LOOK_AGAIN + self.world.random() % READ_LOOK_AGAIN)
                    .await;
            }
            if let Some(found) = self.world.timeout(a_look, self.look(key)).await.flatten() {
                return Ok(found);
            }
            if self.world.now() >= looks_end {
                break;
            }
        }
        self.read(key, us).await
    }

    /// Whether a majority of each set holds the same version, counting only disks that may vote.
    /// Nothing is prepared: whoever writes the key is not disturbed.
    pub async fn is_settled(&self, key: &str, may_vote: impl Fn(&str) -> bool) -> bool {
        let (replicas, _, votes) = self.look_at_all(key).await;
        let mut survey = Survey::default();
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

    /// Whether all replicas, old and new, are there and hold the same.
    pub async fn uniform(&self, key: &str) -> bool {
        let (_, _, votes) = self.look_at_all(key).await;
        let mut versions = vec![];
        while let Ok(vote) = votes.recv().await {
            let RegisterReply::Looked { accepted, seq } = vote.reply else {
                return false;
            };
            versions.push((accepted, seq));
        }
        versions.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// The value last known here, without proof that it is the newest.
    pub fn hint(&self, key: &str) -> Option<Arc<Vec<u8>>> {
        let cell = self.held[locate(key).1].lock().unwrap().get(key).cloned()?;
        let held = cell.try_lock()?;
        held.proposer
            .ballot()
            .map(|_| held.proposer.value().clone())
    }

    /// Empties a key for good: first on all replicas, and only then do they forget it. `over` tells
    /// whether a value may go.
    pub async fn erase(&self, key: &str, over: impl Fn(&[u8]) -> bool) -> bool {
        let emptied = self.change(key, PEER_WAIT, |_, value| {
            if value.is_empty() || !over(value) {
                Step::Keep(value.is_empty())
            } else {
                Step::Write(vec![], true)
            }
        });
        if emptied.await != Ok(true) || !self.tend(key).await {
            return false;
        }
        let cell = self.cell(key);
        let mut held = cell.lock().await;
        let Some(epoch) = held
            .proposer
            .resign()
            .filter(|_| held.proposer.value().is_empty())
        else {
            return false;
        };
        let replicas = (self.place)(key);
        let request = RegisterRequest::Drop {
            key: key.into(),
            epoch,
            seq: held.proposer.seq(),
            lay: replicas.layout_version,
        };
        self.poll(&replicas, Poll::bare(request)).await.is_ok()
    }

    /// Keys with the prefix that this client has to do with.
    pub fn holding(&self, prefix: &str) -> Vec<String> {
        let mut keys = vec![];
        for shard in &self.held {
            keys.extend(
                shard
                    .lock()
                    .unwrap()
                    .keys()
                    .filter(|key| key.starts_with(prefix))
                    .cloned(),
            );
        }
        keys
    }

    /// Brings every replica of the key to the newest value; true if all present seats have it on
    /// disk. A seat that is being left need not: it may be gone for good.
    pub async fn tend(&self, key: &str) -> bool {
        let cell = self.cell(key);
        let mut held = cell.lock().await;
        let proposer = &mut held.proposer;
        let replicas = (self.place)(key);
        if !self.may_propose(key)
            || (proposer.leads(&replicas).is_none() && self.take(key, proposer).await.is_err())
        {
            return false;
        }
        let Some(ballot) = proposer.leads(&replicas) else {
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
            .fill(key, &replicas, ballot, proposer, &round.damaged)
            .await;
        replicas
            .current
            .iter()
            .all(|seat| round.has_granted(&seat.disk) || filled.contains(&seat.disk))
    }

    /// Waits for all replicas, not only for a quorum; none where there is no quorum.
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
        // whole.
        let poll = Poll {
            request,
            blob: proposer.value().clone(),
            delta: Some(Arc::default()),
        };
        let votes = self.send(replicas, &poll);
        let mut round = Round::default();
        while let Ok(vote) = votes.recv().await {
            let refused = matches!(vote.reply, RegisterReply::Refused { .. });
            round.record(vote);
            if refused {
                proposer.saw(round.highest_promised);
                proposer.resign();
            }
        }
        if !round.has_quorum(replicas) {
            proposer.resign();
            return None;
        }
        Some(round)
    }

    /// Fills damaged records with the value that a quorum holds; returns the disks that are whole
    /// again.
    async fn fill(
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
        let seats = replicas
            .all()
            .into_iter()
            .filter(|seat| damaged.contains(&seat.disk))
            .collect();
        let some = ReplicaSet {
            layout_version: replicas.layout_version,
            current: seats,
            previous: vec![],
        };
        let request = RegisterRequest::Fill {
            key: key.into(),
            epoch: ballot,
            seq: proposer.seq(),
            lay: replicas.layout_version,
        };
        let votes = self.send(
            &some,
            &Poll {
                request,
                blob: proposer.value().clone(),
                delta: None,
            },
        );
        let mut filled = vec![];
        while let Ok(vote) = votes.recv().await {
            if vote.reply == RegisterReply::Accepted {
                filled.push(vote.disk);
            }
        }
        filled
    }

    fn cell(&self, key: &str) -> Cell {
        self.held[locate(key).1]
            .lock()
            .unwrap()
            .entry(key.into())
            .or_default()
            .clone()
    }

    /// Forgets keys unused for a while, so that memory stays bounded; returns how many are left.
    pub fn prune(&self) -> usize {
        let now = self.world.now();
        let idle = |cell: &Cell| {
            cell.try_lock()
                .is_some_and(|held| now >= held.used + HELD_IDLE)
        };
        let mut left = 0;
        for shard in &self.held {
            let mut cells = shard.lock().unwrap();
            cells.retain(|_, cell| Arc::strong_count(cell) > 1 || !idle(cell));
            left += cells.len();
        }
        left
    }
}
