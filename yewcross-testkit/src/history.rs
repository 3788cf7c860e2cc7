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
pub const MAX_STATES: usize = 2_000_000;

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
    pub invoked_at: u64,
    pub call: S::Call,
    /// `None`: it got no clear answer and may yet take effect.
    pub completion: Option<Completion<S::Answer>>,
}

#[derive(Clone, Debug)]
pub struct Completion<A> {
    pub at: u64,
    pub answer: A,
}

#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// With the number of states that the search went through.
    Linearizable { states: usize },
    /// With the calls that could not be placed after the longest order found.
    NotLinearizable { placed: usize, left: Vec<String> },
    /// The search gave up.
    StateLimitExceeded,
}

impl Verdict {
    pub fn is_linearizable(&self) -> bool {
        matches!(self, Verdict::Linearizable { .. })
    }
}

/// A partial order: which calls are placed, and the register after them.
#[derive(Clone)]
struct PartialOrder<S> {
    placed: Vec<bool>,
    count: usize,
    register: S,
}

/// Whether the calls have an order in which the register, beginning as given, answers each as it
/// did.
pub fn check_linearizability<S: Specification>(first: S, calls: &[Operation<S>]) -> Verdict {
    let mut calls = calls.to_vec();
    calls.sort_by_key(|c| c.invoked_at);
    let mut tried: HashSet<(Vec<bool>, S)> = HashSet::new();
    let mut longest: Option<PartialOrder<S>> = None;
    let mut open = vec![PartialOrder {
        placed: vec![false; calls.len()],
        count: 0,
        register: first,
    }];
    while let Some(mut partial) = open.pop() {
        place_calls_without_effect(&mut partial, &calls);
        if calls
            .iter()
            .zip(&partial.placed)
            .all(|(c, placed)| *placed || c.completion.is_none())
        {
            return Verdict::Linearizable {
                states: tried.len(),
            };
        }
        if !tried.insert((partial.placed.clone(), partial.register.clone())) {
            continue;
        }
        if tried.len() > MAX_STATES {
            return Verdict::StateLimitExceeded;
        }
        if longest.as_ref().is_none_or(|l| l.count < partial.count) {
            longest = Some(partial.clone());
        }
        let next = candidates(&partial, &calls);
        // The last one pushed is tried first: calls with an answer before those without.
        let (answered, unanswered): (Vec<usize>, Vec<usize>) = next
            .into_iter()
            .partition(|i| calls[*i].completion.is_some());
        for index in unanswered.into_iter().chain(answered.into_iter().rev()) {
            let call = &calls[index];
            let answer = call.completion.as_ref().map(|e| &e.answer);
            if let Some(register) = partial.register.apply(&call.call, answer) {
                let mut placed = partial.placed.clone();
                placed[index] = true;
                open.push(PartialOrder {
                    placed,
                    count: partial.count + 1,
                    register,
                });
            }
        }
    }
    let Some(longest) = longest else {
        return Verdict::NotLinearizable {
            placed: 0,
            left: vec![],
        };
    };
    let mut left: Vec<String> = candidates(&longest, &calls)
        .into_iter()
        .map(|i| format!("{:?}", calls[i]))
        .collect();
    left.insert(0, format!("register: {:?}", longest.register));
    Verdict::NotLinearizable {
        placed: longest.count,
        left,
    }
}

/// Calls that may come next: none that is not placed had ended before they began.
fn candidates<S: Specification>(partial: &PartialOrder<S>, calls: &[Operation<S>]) -> Vec<usize> {
    let waiting = calls
        .iter()
        .enumerate()
        .filter(|(i, _)| !partial.placed[*i]);
    let first_end = waiting
        .clone()
        .filter_map(|(_, c)| c.completion.as_ref().map(|e| e.at))
        .min()
        .unwrap_or(u64::MAX);
    waiting
        .take_while(|(_, c)| c.invoked_at <= first_end)
        .map(|(i, _)| i)
        .collect()
}

fn place_calls_without_effect<S: Specification>(
    partial: &mut PartialOrder<S>,
    calls: &[Operation<S>],
) {
    loop {
        let fits = |i: &usize| {
            let Some(ended) = &calls[*i].completion else {
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
    accepted: Arc<BTreeSet<OrderIdentity>>,
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
    Accepted {
        number: u64,
    },
    Conflict {
        current: u64,
    },
    Invalid,
    /// Refused with the promise that nothing was done and never will be.
    NotExecuted,
    Text {
        number: u64,
        text: String,
    },
    NoConfiguration,
}

impl ConfigRegister {
    fn has_accepted(&self, base: u64, text: &str) -> bool {
        let text = text.into();
        self.accepted.contains(&OrderIdentity { base, text })
    }

    fn put(&self, base: u64, number: u64, text: &str) -> Option<ConfigRegister> {
        if base != self.number || number <= self.number || self.has_accepted(base, text) {
            return None;
        }
        let text = String::from(text);
        let mut taken = BTreeSet::clone(&self.accepted);
        taken.insert(OrderIdentity {
            base,
            text: text.clone(),
        });
        Some(ConfigRegister {
            number,
            text,
            accepted: Arc::new(taken),
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
                Some(ConfigAnswer::Accepted { number: told }),
            ) if self.has_accepted(*base, text) => same(number == told),
            (
                ConfigCall::Put { base, number, text },
                Some(ConfigAnswer::Accepted { number: told }),
            ) => self.put(*base, *number, text).filter(|_| number == told),
            (ConfigCall::Put { base, text, .. }, Some(ConfigAnswer::Conflict { current })) => same(
                *base != self.number && *current == self.number && !self.has_accepted(*base, text),
            ),
            (ConfigCall::Put { base, number, text }, Some(ConfigAnswer::Invalid)) => same(
                *base == self.number && *number <= self.number && !self.has_accepted(*base, text),
            ),
            (ConfigCall::Put { .. }, Some(ConfigAnswer::NotExecuted)) => same(true),
            (ConfigCall::Read, Some(ConfigAnswer::Text { number, text })) => {
                same(*number == self.number && *text == self.text)
            }
            (ConfigCall::Read, Some(ConfigAnswer::NoConfiguration)) => same(self.text.is_empty()),
            _ => None,
        }
    }
}

/// What is known of a machine that may be retired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RetireRegister {
    #[default]
    NotRequested,
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
            (RetireCall::Begin, None | Some(RetireAnswer::Begun), NotRequested) => Some(Running),
            (RetireCall::Begin, Some(RetireAnswer::Begun), _) => Some(*self),
            (RetireCall::Begin, Some(RetireAnswer::TooFew), NotRequested) => Some(NotRequested),
            (RetireCall::Read, Some(RetireAnswer::Unknown), NotRequested) => Some(NotRequested),
            (RetireCall::Read, Some(RetireAnswer::Running), Running) => Some(Running),
            // It is finished by itself, at any time before this was read.
            (RetireCall::Read, Some(RetireAnswer::Finished), Running | Finished) => Some(Finished),
            _ => None,
        }
    }
}
