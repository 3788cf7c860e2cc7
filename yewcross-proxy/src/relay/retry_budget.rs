//! Bounds what is sent twice to a share of what is sent once, so that retries never become the
//! load.

use crate::policy::{Mechanism, Policies};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;

/// Tokens for second attempts: each request brings a share of one, each second attempt takes one.
pub struct RetryBudget {
    tokens: Arc<Tokens>,
    is_bounded: bool,
}

struct Tokens(Mutex<f64>);

impl Tokens {
    fn add(&self, share: f64) {
        let mut tokens = self.0.lock().unwrap();
        *tokens = (*tokens + share).min(RETRY_BURST);
    }
}

impl RetryBudget {
    pub fn new(policies: Policies) -> RetryBudget {
        RetryBudget {
            tokens: Arc::new(Tokens(Mutex::new(RETRY_BURST))),
            is_bounded: policies.has(Mechanism::RetryBudget),
        }
    }

    /// A request was sent for the first time.
    pub fn deposit(&self) {
        self.tokens.add(RETRY_SHARE);
    }

    /// Whether another attempt may be made now; it is counted if so.
    pub fn withdraw(&self) -> bool {
        let mut tokens = self.tokens.0.lock().unwrap();
        if self.is_bounded && *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// A permit for another attempt, of which it is not known yet whether it can be made; none
    /// where the budget is spent.
    pub fn reserve(&self) -> Option<RetryPermit> {
        self.withdraw().then(|| RetryPermit {
            tokens: self.tokens.clone(),
            is_spent: false,
        })
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(Policies::default())
    }
}

/// A token of the budget, which goes back when this is dropped unspent.
pub struct RetryPermit {
    tokens: Arc<Tokens>,
    is_spent: bool,
}

impl RetryPermit {
    /// The attempt is made.
    pub fn spend(&mut self) {
        self.is_spent = true;
    }

    /// Nothing was sent after all.
    pub fn give_back(&mut self) {
        self.is_spent = false;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_spent {
            self.tokens.add(1.0);
        }
    }
}
