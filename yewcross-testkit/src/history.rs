//! A linearizability checker for recorded calls. A history is linearizable if some total order of
//! its calls yields the recorded answers and places no call before one that had completed before it
//! was invoked.
//!
//! The search is the algorithm of Wing and Gong with Lowe's memoization of visited states. A call
//! that does not change the register is placed as soon as it fits, which excludes no order, so only
//! calls that change the register branch. A call without an answer may take effect at any time after
//! its invocation, or never.

use std::collections::{BTreeSet, HashSet};
use std::fmt::Debug;
use std::hash::Hash;
use std::sync::Arc;

/// Number of states after which the search is abandoned.
pub const MAX_STATES: usize = 2_000_000;

/// The sequential specification of a register; the implementing type is its state.
pub trait Specification: Clone + Eq + Hash + Debug {
    type Call: Clone + Debug;
    type Answer: Clone + Debug;

    /// Applies a call and returns the register after it, or `None` if the register would not give
    /// this answer. With no answer given: the register after the call took effect, or `None` if the
    /// call would have no effect.
    fn apply(&self, call: &Self::Call, answer: Option<&Self::Answer>) -> Option<Self>;
}

/// A call as its caller observed it. Times are in us.
#[derive(Clone, Debug)]
pub struct Operation<S: Specification> {
    pub invoked_at: u64,
    pub call: S::Call,
    /// `None` if the caller got no definite answer; the call may still take effect.
    pub completion: Option<Completion<S::Answer>>,
}

/// The answer to a call and the time at which it arrived.
#[derive(Clone, Debug)]
pub struct Completion<A> {
    pub at: u64,
    pub answer: A,
}

/// The result of a check.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// An order exists. `states` is the number of states that the search visited.
    Linearizable { states: usize },
    /// No order exists. `placed` is the length of the longest prefix found, and `remaining` describes
    /// its register and the calls that could not be placed next.
    NotLinearizable {
        placed: usize,
        remaining: Vec<String>,
    },
    /// The search was abandoned after [`MAX_STATES`] states.
    StateLimitExceeded,
}

impl Verdict {
    pub fn is_linearizable(&self) -> bool {
        matches!(self, Verdict::Linearizable { .. })
    }
}

/// The calls that are placed so far, and the register after them.
#[derive(Clone)]
struct Prefix<S> {
    placed: Vec<bool>,
    count: usize,
    register: S,
}

/// Checks whether the calls are linearizable on a register that starts as `initial`.
pub fn check_linearizability<S: Specification>(initial: S, calls: &[Operation<S>]) -> Verdict {
    let mut calls = calls.to_vec();
    calls.sort_by_key(|call| call.invoked_at);
    let mut visited: HashSet<(Vec<bool>, S)> = HashSet::new();
    let mut longest: Option<Prefix<S>> = None;
    let mut pending = vec![Prefix {
        placed: vec![false; calls.len()],
        count: 0,
        register: initial,
    }];
    while let Some(mut prefix) = pending.pop() {
        place_calls_without_effect(&mut prefix, &calls);
        if calls
            .iter()
            .zip(&prefix.placed)
            .all(|(call, placed)| *placed || call.completion.is_none())
        {
            return Verdict::Linearizable {
                states: visited.len(),
            };
        }
        if !visited.insert((prefix.placed.clone(), prefix.register.clone())) {
            continue;
        }
        if visited.len() > MAX_STATES {
            return Verdict::StateLimitExceeded;
        }
        if longest
            .as_ref()
            .is_none_or(|longest| longest.count < prefix.count)
        {
            longest = Some(prefix.clone());
        }
        let next_calls = candidates(&prefix, &calls);
        // The last prefix that is pushed is tried first: calls with an answer before those without.
        let (answered, unanswered): (Vec<usize>, Vec<usize>) = next_calls
            .into_iter()
            .partition(|index| calls[*index].completion.is_some());
        for index in unanswered.into_iter().chain(answered.into_iter().rev()) {
            let call = &calls[index];
            let answer = call
                .completion
                .as_ref()
                .map(|completion| &completion.answer);
            if let Some(register) = prefix.register.apply(&call.call, answer) {
                let mut placed = prefix.placed.clone();
                placed[index] = true;
                pending.push(Prefix {
                    placed,
                    count: prefix.count + 1,
                    register,
                });
            }
        }
    }
    let Some(longest) = longest else {
        return Verdict::NotLinearizable {
            placed: 0,
            remaining: vec![],
        };
    };
    let mut remaining: Vec<String> = candidates(&longest, &calls)
        .into_iter()
        .map(|index| format!("{:?}", calls[index]))
        .collect();
    remaining.insert(0, format!("register: {:?}", longest.register));
    Verdict::NotLinearizable {
        placed: longest.count,
        remaining,
    }
}

/// The calls that may be placed next: those that were invoked no later than the first completion of
/// an unplaced call.
fn candidates<S: Specification>(prefix: &Prefix<S>, calls: &[Operation<S>]) -> Vec<usize> {
    let unplaced = calls
        .iter()
        .enumerate()
        .filter(|(index, _)| !prefix.placed[*index]);
    let first_completion = unplaced
        .clone()
        .filter_map(|(_, call)| call.completion.as_ref().map(|completion| completion.at))
        .min()
        .unwrap_or(u64::MAX);
    unplaced
        .take_while(|(_, call)| call.invoked_at <= first_completion)
        .map(|(index, _)| index)
        .collect()
}

/// Places all calls that may come next and whose answers leave the register as it is.
fn place_calls_without_effect<S: Specification>(prefix: &mut Prefix<S>, calls: &[Operation<S>]) {
    loop {
        let fits = |index: &usize| {
            let Some(completion) = &calls[*index].completion else {
                return false;
            };
            prefix
                .register
                .apply(&calls[*index].call, Some(&completion.answer))
                .is_some_and(|register| register == prefix.register)
        };
        let fitting: Vec<usize> = candidates(prefix, calls).into_iter().filter(fits).collect();
        if fitting.is_empty() {
            return;
        }
        for index in fitting {
            prefix.placed[index] = true;
            prefix.count += 1;
        }
    }
}

/// Identifies an order by its text and the version that it was based on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct OrderIdentity {
    base: u64,
    text: String,
}

/// The register of the configuration: compare-and-set by version. It remembers the accepted orders,
/// so that a repeated one is acknowledged again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigRegister {
    /// Version number; 0 while there is no configuration.
    pub number: u64,
    pub text: String,
    accepted: Arc<BTreeSet<OrderIdentity>>,
}

/// A call on the configuration.
#[derive(Clone, Debug)]
pub enum ConfigCall {
    /// Replaces version `base` by the text, which carries the version `number`.
    Put {
        base: u64,
        number: u64,
        text: String,
    },
    Read,
}

/// The answer to a [`ConfigCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAnswer {
    Accepted {
        number: u64,
    },
    Conflict {
        current: u64,
    },
    Invalid,
    /// Rejected with the guarantee that the call had no effect and never will.
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
        let mut accepted = BTreeSet::clone(&self.accepted);
        accepted.insert(OrderIdentity {
            base,
            text: text.clone(),
        });
        Some(ConfigRegister {
            number,
            text,
            accepted: Arc::new(accepted),
        })
    }
}

impl Specification for ConfigRegister {
    type Call = ConfigCall;
    type Answer = ConfigAnswer;

    fn apply(&self, call: &ConfigCall, answer: Option<&ConfigAnswer>) -> Option<ConfigRegister> {
        let unchanged = |fits: bool| fits.then(|| self.clone());
        match (call, answer) {
            (ConfigCall::Put { base, number, text }, None) => self.put(*base, *number, text),
            (
                ConfigCall::Put { base, number, text },
                Some(ConfigAnswer::Accepted {
                    number: acknowledged,
                }),
            ) if self.has_accepted(*base, text) => unchanged(number == acknowledged),
            (
                ConfigCall::Put { base, number, text },
                Some(ConfigAnswer::Accepted {
                    number: acknowledged,
                }),
            ) => self
                .put(*base, *number, text)
                .filter(|_| number == acknowledged),
            (ConfigCall::Put { base, text, .. }, Some(ConfigAnswer::Conflict { current })) => {
                unchanged(
                    *base != self.number
                        && *current == self.number
                        && !self.has_accepted(*base, text),
                )
            }
            (ConfigCall::Put { base, number, text }, Some(ConfigAnswer::Invalid)) => unchanged(
                *base == self.number && *number <= self.number && !self.has_accepted(*base, text),
            ),
            (ConfigCall::Put { .. }, Some(ConfigAnswer::NotExecuted)) => unchanged(true),
            (ConfigCall::Read, Some(ConfigAnswer::Text { number, text })) => {
                unchanged(*number == self.number && *text == self.text)
            }
            (ConfigCall::Read, Some(ConfigAnswer::NoConfiguration)) => {
                unchanged(self.text.is_empty())
            }
            _ => None,
        }
    }
}

/// The register of a machine's retirement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RetireRegister {
    #[default]
    NotRequested,
    Running,
    Finished,
}

/// A call on a machine's retirement.
#[derive(Clone, Copy, Debug)]
pub enum RetireCall {
    Begin,
    Read,
}

/// The answer to a [`RetireCall`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetireAnswer {
    Begun,
    /// Rejected because too few machines would remain.
    TooFew,
    /// No retirement was requested.
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
            // A retirement finishes without a call, at any time before this read.
            (RetireCall::Read, Some(RetireAnswer::Finished), Running | Finished) => Some(Finished),
            _ => None,
        }
    }
}
