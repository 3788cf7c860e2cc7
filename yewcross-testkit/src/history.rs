//! Checks recorded calls for linearizability: each call has an order in which one after another
//! gives the same answers, and no call stands there before one that had ended when it began.
//!
//! The search is the one of Wing and Gong, with Lowe's memory of what was tried. A call that
//! changes nothing is placed as soon as it fits, which loses no order; so only calls that change
//! the register branch. A call without an answer may take effect at any time after its beginning,
//! or never.

use std::collections::{BTreeSet, HashSet};
use std::fmt::Debug;
use std::hash::Hash;
use std::sync::Arc;

/// count. States tried before the search gives up.
pub const STATES_MOST: usize = 2_000_000;

/// What a register does with one call at a time.
pub trait Specification: Clone + Eq + Hash + Debug {
    type Call: Clone + Debug;
    type Answer: Clone + Debug;

    /// The register after the call; `None` where it would not answer so. Without an answer: after
    /// the call took effect, or `None` where it would have none.
    fn apply(&self, call: &Self::Call, answer: Option<&Self::Answer>) -> Option<Self>;
}

/// A call as its caller saw it. Times in us.
#[derive(Clone, Debug)]
pub struct Operation<S: Specification> {
    pub begin: u64,
    pub call: S::Call,
    /// `None`: it got no clear answer and may yet take effect.
    pub ended: Option<Ended<S::Answer>>,
}

#[derive(Clone, Debug)]
pub struct Ended<A> {
    pub at: u64,
    pub answer: A,
}

#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// With the number of states that the search went through.
    Linearizable { states: usize },
    /// With the calls that could not be placed after the longest order found.
    Broken { placed: usize, left: Vec<String> },
    /// The search gave up.
    TooLarge,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        matches!(self, Verdict::Linearizable { .. })
    }
}

/// A partial order: which calls are placed, and the register after them.
#[derive(Clone)]
struct Partial<S> {
    placed: Vec<bool>,
    count: usize,
    register: S,
}

/// Whether the calls have an order in which the register, beginning as given, answers each as it
/// did.
pub fn check<S: Specification>(first: S, calls: &[Operation<S>]) -> Verdict {
    let mut calls = calls.to_vec();
    calls.sort_by_key(|c| c.begin);
    let mut tried: HashSet<(Vec<bool>, S)> = HashSet::new();
    let mut longest: Option<Partial<S>> = None;
    let mut open = vec![Partial {
        placed: vec![false; calls.len()],
        count: 0,
        register: first,
    }];
    while let Some(mut partial) = open.pop() {
        place_without_effect(&mut partial, &calls);
        if calls
            .iter()
            .zip(&partial.placed)
            .all(|(c, placed)| *placed || c.ended.is_none())
        {
            return Verdict::Linearizable {
                states: tried.len(),
            };
        }
        if !tried.insert((partial.placed.clone(), partial.register.clone())) {
            continue;
        }
        if tried.len() > STATES_MOST {
            return Verdict::TooLarge;
        }
        if longest.as_ref().is_none_or(|l| l.count < partial.count) {
            longest = Some(partial.clone());
        }
        let next = candidates(&partial, &calls);
        // The last one pushed is tried first: calls with an answer before those without.
        let (answered, unanswered): (Vec<usize>, Vec<usize>) =
            next.into_iter().partition(|i| calls[*i].ended.is_some());
        for index in unanswered.into_iter().chain(answered.into_iter().rev()) {
            let call = &calls[index];
            let answer = call.ended.as_ref().map(|e| &e.answer);
            if let Some(register) = partial.register.apply(&call.call, answer) {
                let mut placed = partial.placed.clone();
                placed[index] = true;
                open.push(Partial {
                    placed,
                    count: partial.count + 1,
                    register,
                });
            }
        }
    }
    let Some(longest) = longest else {
        return Verdict::Broken {
            placed: 0,
            left: vec![],
        };
    };
    let mut left: Vec<String> = candidates(&longest, &calls)
        .into_iter()
        .map(|i| format!("{:?}", calls[i]))
        .collect();
    left.insert(0, format!("register: {:?}", longest.register));
    Verdict::Broken {
        placed: longest.count,
        left,
    }
}

/// Calls that may come next: none that is not placed had ended before they began.
fn candidates<S: Specification>(partial: &Partial<S>, calls: &[Operation<S>]) -> Vec<usize> {
    let waiting = calls
        .iter()
        .enumerate()
        .filter(|(i, _)| !partial.placed[*i]);
    let first_end = waiting
        .clone()
        .filter_map(|(_, c)| c.ended.as_ref().map(|e| e.at))
        .min()
        .unwrap_or(u64::MAX);
    waiting
        .take_while(|(_, c)| c.begin <= first_end)
        .map(|(i, _)| i)
        .collect()
}

fn place_without_effect<S: Specification>(partial: &mut Partial<S>, calls: &[Operation<S>]) {
    loop {
        let fits = |i: &usize| {
            let Some(ended) = &calls[*i].ended else {
                return false;
            };
            partial
                .register
                .apply(&calls[*i].call, Some(&ended.answer))
                .is_some_and(|r| r == partial.register)
        };
        let fitting: Vec<usize> = candidates(partial, calls)
            .into_iter()
            .filter(fits)
            .collect();
        if fitting.is_empty() {
            return;
        }
        for index in fitting {
            partial.placed[index] = true;
            partial.count += 1;
        }
    }
}

/// The text of an order and the version that it is on top of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct OrderIdentity {
    base: u64,
    text: String,
}

/// The configuration's register: a compare-and-set by version that knows the orders it has taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigRegister {
    pub number: u64,
    pub text: String,
    taken: Arc<BTreeSet<OrderIdentity>>,
}

#[derive(Clone, Debug)]
pub enum ConfigCall {
    Put {
        base: u64,
        number: u64,
        text: String,
    },
    Read,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAnswer {
    Taken {
        number: u64,
    },
    Conflict {
        current: u64,
    },
    Invalid,
    /// Refused with the promise that nothing was done and never will be.
    NotDone,
    Text {
        number: u64,
        text: String,
    },
    Nothing,
}

impl ConfigRegister {
    fn has_taken(&self, base: u64, text: &str) -> bool {
        let text = text.into();
        self.taken.contains(&OrderIdentity { base, text })
    }

    fn put(&self, base: u64, number: u64, text: &str) -> Option<ConfigRegister> {
        if base != self.number || number <= self.number || self.has_taken(base, text) {
            return None;
        }
        let text = String::from(text);
        let mut taken = BTreeSet::clone(&self.taken);
        taken.insert(OrderIdentity {
            base,
            text: text.clone(),
        });
        Some(ConfigRegister {
            number,
            text,
            taken: Arc::new(taken),
        })
    }
}

impl Specification for ConfigRegister {
    type Call = ConfigCall;
    type Answer = ConfigAnswer;

    fn apply(&self, call: &ConfigCall, answer: Option<&ConfigAnswer>) -> Option<ConfigRegister> {
        let same = |fits: bool| fits.then(|| self.clone());
        match (call, answer) {
            (ConfigCall::Put { base, number, text }, None) => self.put(*base, *number, text),
            (
                ConfigCall::Put { base, number, text },
                Some(ConfigAnswer::Taken { number: told }),
            ) if self.has_taken(*base, text) => same(number == told),
            (
                ConfigCall::Put { base, number, text },
                Some(ConfigAnswer::Taken { number: told }),
            ) => self.put(*base, *number, text).filter(|_| number == told),
            (ConfigCall::Put { base, text, .. }, Some(ConfigAnswer::Conflict { current })) => same(
                *base != self.number && *current == self.number && !self.has_taken(*base, text),
            ),
            (ConfigCall::Put { base, number, text }, Some(ConfigAnswer::Invalid)) => {
                same(*base == self.number && *number <= self.number && !self.has_taken(*base, text))
            }
            (ConfigCall::Put { .. }, Some(ConfigAnswer::NotDone)) => same(true),
            (ConfigCall::Read, Some(ConfigAnswer::Text { number, text })) => {
                same(*number == self.number && *text == self.text)
            }
            (ConfigCall::Read, Some(ConfigAnswer::Nothing)) => same(self.text.is_empty()),
            _ => None,
        }
    }
}

/// What is known of a machine that may be retired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RetireRegister {
    #[default]
    Seated,
    Running,
    Finished,
}

#[derive(Clone, Copy, Debug)]
pub enum RetireCall {
    Begin,
    Read,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetireAnswer {
    Begun,
    TooFew,
    Unknown,
    Running,
    Finished,
}

impl Specification for RetireRegister {
    type Call = RetireCall;
    type Answer = RetireAnswer;

    fn apply(&self, call: &RetireCall, answer: Option<&RetireAnswer>) -> Option<RetireRegister> {
        use RetireRegister::*;
        match (call, answer, self) {
            (RetireCall::Begin, None | Some(RetireAnswer::Begun), Seated) => Some(Running),
            (RetireCall::Begin, Some(RetireAnswer::Begun), _) => Some(*self),
            (RetireCall::Begin, Some(RetireAnswer::TooFew), Seated) => Some(Seated),
            (RetireCall::Read, Some(RetireAnswer::Unknown), Seated) => Some(Seated),
            (RetireCall::Read, Some(RetireAnswer::Running), Running) => Some(Running),
            // It is finished by itself, at any time before this was read.
            (RetireCall::Read, Some(RetireAnswer::Finished), Running | Finished) => Some(Finished),
            _ => None,
        }
    }
}
