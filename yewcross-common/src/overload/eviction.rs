//! Chooses the connections that are closed to make room for others: of those that wait for their
//! callers, the ones that hold most for longest.

use super::connection::{CallerConnection, Waiting};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What can be done for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// Connections are being closed.
    Begun,
    /// Some may be closed after this time in µs.
    Later(u64),
    /// All connections are being served.
    Nobody,
}

/// A connection that waits for its caller.
struct Candidate {
    connection: Arc<CallerConnection>,
    /// How long it has waited, in µs.
    age: u64,
    held_bytes: usize,
}

impl Candidate {
    /// Bytes held, multiplied by the time for which they were held.
    fn weight(&self) -> u128 {
        self.held_bytes as u128 * self.age as u128
    }
}

/// A process whose stalled connections make up this part of all is being flooded.
const FLOOD_DIVISOR: usize = 8;

/// All connections that wait for their callers, the heaviest first.
pub(super) struct Candidates {
    /// Number of all connections, those that are being served included.
    connection_count: usize,
    stalled: Vec<Candidate>,
    resting: Vec<Candidate>,
}

impl Candidates {
    pub(super) fn collect(
        connections: &BTreeMap<u64, Arc<CallerConnection>>,
        now: u64,
    ) -> Candidates {
        let mut candidates = Candidates {
            connection_count: connections.len(),
            stalled: vec![],
            resting: vec![],
        };
        for connection in connections.values() {
            if connection.is_evicted() {
                continue;
            }
            let (since, list) = match connection.waiting() {
                Some(Waiting::Stalled { since }) => (since, &mut candidates.stalled),
                Some(Waiting::Resting { since }) => (since, &mut candidates.resting),
                None => continue,
            };
            list.push(Candidate {
                connection: connection.clone(),
                age: now.saturating_sub(since),
                held_bytes: connection.held_bytes(),
            });
        }
        candidates.stalled.sort_by_key(|one| Reverse(one.weight()));
        candidates.resting.sort_by_key(|one| Reverse(one.weight()));
        candidates
    }

    /// Whether so many connections are stalled that they, and not those that rest, are to give way.
    fn is_flood(&self) -> bool {
        self.stalled.len() * FLOOD_DIVISOR >= self.connection_count
    }

    /// Chooses `count` connections that have waited for `age_min` µs: stalled ones, or, if none has and
    /// there is no flood of new ones, those that rest between two requests.
    pub(super) fn choose_for_connections(
        self,
        count: usize,
        age_min: u64,
    ) -> (Choice, Vec<Arc<CallerConnection>>) {
        let may_close_resting = self.stalled.is_empty() || !self.is_flood();
        let lists = match may_close_resting {
            true => vec![self.stalled, self.resting],
            false => vec![self.stalled],
        };
        let mut oldest = None;
        for list in lists {
            oldest = oldest.max(list.iter().map(|one| one.age).max());
            let eligible = list.into_iter().filter(|one| one.age >= age_min);
            let victims: Vec<_> = eligible.take(count).map(|one| one.connection).collect();
            if !victims.is_empty() {
                return (Choice::Begun, victims);
            }
        }
        let choice = match oldest {
            Some(oldest) => Choice::Later(age_min - oldest),
            None => Choice::Nobody,
        };
        (choice, vec![])
    }

    /// Chooses stalled connections, other than the requester's, whose buffers make up `bytes`.
    pub(super) fn choose_for_buffers(
        self,
        requester: &CallerConnection,
        bytes: usize,
        age_min: u64,
    ) -> Vec<Arc<CallerConnection>> {
        let mut released_bytes = 0;
        let waiting = self.stalled.into_iter().chain(self.resting);
        waiting
            .filter(|one| one.age >= age_min && one.connection.reserved_bytes() > 0)
            .filter(|one| !std::ptr::eq(Arc::as_ptr(&one.connection), requester))
            .take_while(|one| {
                let is_needed = released_bytes < bytes;
                released_bytes += one.connection.reserved_bytes();
                is_needed
            })
            .map(|one| one.connection)
            .collect()
    }

    /// The connections that have been stalled for this long.
    pub(super) fn stalled_for(self, age_min: u64) -> Vec<Arc<CallerConnection>> {
        let stalled = self.stalled.into_iter().filter(|one| one.age >= age_min);
        stalled.map(|one| one.connection).collect()
    }
}
