//! An exhaustive breadth-first explorer of a model's states.
//!
//! States are remembered by a 64-bit fingerprint, as explicit-state model checkers do; at two
//! million states the chance that two of them share one is below one in four million. The first
//! violation found is one with the fewest actions.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

pub trait Model {
    type State: Clone + Hash;
    type Action: Clone + Debug;

    fn initial(&self) -> Vec<Self::State>;

    /// What may happen next in a state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// The state after an action; none where the action changes nothing.
    fn next(&self, state: &Self::State, action: &Self::Action) -> Option<Self::State>;

    /// The property that does not hold in a state.
    fn violated(&self, state: &Self::State) -> Option<&'static str>;
}

#[derive(Debug)]
pub struct Violation<A> {
    pub property: &'static str,
    /// What leads from an initial state to the violation.
    pub actions: Vec<A>,
}

#[derive(Debug)]
pub struct Report<A> {
    pub states: usize,
    /// Most actions in a row without a state seen before.
    pub depth: usize,
    pub violation: Option<Violation<A>>,
}

/// How a state was reached first: from the state with the fingerprint, by the action.
struct Origin<A> {
    parent: Option<(u64, A)>,
}

/// Multiplies each word into the fingerprint and folds the product's halves: several times faster
/// than the standard hasher on states of many small fields.
struct Folding(u64);

const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

impl Folding {
    fn word(&mut self, word: u64) {
        let product = u128::from(self.0 ^ word ^ FACTOR.rotate_left(17)) * u128::from(FACTOR);
        self.0 = (product as u64) ^ ((product >> 64) as u64).wrapping_add(self.0.rotate_left(23));
    }
}

impl Hasher for Folding {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.word(u64::from_le_bytes(word));
        }
    }
    fn write_u8(&mut self, value: u8) {
        self.word(u64::from(value));
    }
    fn write_u64(&mut self, value: u64) {
        self.word(value);
    }
    fn write_usize(&mut self, value: usize) {
        self.word(value as u64);
    }
    fn finish(&self) -> u64 {
        let mut end = Folding(self.0);
        end.word(FACTOR);
        end.0
    }
}

fn fingerprint<S: Hash>(state: &S) -> u64 {
    let mut hasher = Folding(FACTOR);
    state.hash(&mut hasher);
    hasher.finish()
}

fn path<A: Clone>(origins: &HashMap<u64, Origin<A>>, mut at: u64) -> Vec<A> {
    let mut actions = vec![];
    while let Some((parent, action)) = &origins[&at].parent {
        actions.push(action.clone());
        at = *parent;
    }
    actions.reverse();
    actions
}

/// Explores every reachable state, or stops at the first violation. Panics beyond `most` states: a
/// bound that cuts a model short would claim what was not shown.
pub fn explore<M: Model>(model: &M, most: usize) -> Report<M::Action> {
    let mut origins: HashMap<u64, Origin<M::Action>> = HashMap::new();
    let mut frontier: Vec<(u64, M::State)> = vec![];
    for state in model.initial() {
        let print = fingerprint(&state);
        if origins.insert(print, Origin { parent: None }).is_none() {
            frontier.push((print, state));
        }
    }
    let mut depth = 0;
    while !frontier.is_empty() {
        let mut following = vec![];
        for (print, state) in &frontier {
            if let Some(property) = model.violated(state) {
                let actions = path(&origins, *print);
                return Report {
                    states: origins.len(),
                    depth,
                    violation: Some(Violation { property, actions }),
                };
            }
            for action in model.actions(state) {
                let Some(next) = model.next(state, &action) else {
                    continue;
                };
                let next_print = fingerprint(&next);
                if let Entry::Vacant(entry) = origins.entry(next_print) {
                    entry.insert(Origin {
                        parent: Some((*print, action)),
                    });
                    following.push((next_print, next));
                }
            }
            assert!(origins.len() <= most, "more than {most} states");
        }
        frontier = following;
        depth += usize::from(!frontier.is_empty());
    }
    Report {
        states: origins.len(),
        depth,
        violation: None,
    }
}
