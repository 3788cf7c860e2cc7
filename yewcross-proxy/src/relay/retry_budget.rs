//! Limits retries and hedged requests to a share of the requests, so that they cannot become the
//! load themselves.

use crate::policy::{Mechanism, Policies};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;

/// A token bucket for further attempts: each request adds `RETRY_SHARE` of a token, each further
/// attempt takes one.
pub struct RetryBudget {
    tokens: Arc<Tokens>,
    /// Unset where tests and measurements run without the limit.
    is_limited: bool,
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
            is_limited: policies.has(Mechanism::RetryBudget),
        }
    }

    /// Adds the share of a new request.
    pub fn deposit(&self) {
        self.tokens.add(RETRY_SHARE);
    }

    /// Takes a token for a further attempt. False where the budget is exhausted.
    pub fn withdraw(&self) -> bool {
        let mut tokens = self.tokens.0.lock().unwrap();
        if self.is_limited && *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Reserves a token for an attempt that may turn out not to be possible; none where the budget
    /// is exhausted.
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

/// A reserved token, which is returned to the budget if the permit is dropped unspent.
pub struct RetryPermit {
    tokens: Arc<Tokens>,
    is_spent: bool,
}

impl RetryPermit {
    /// Keeps the token when the permit is dropped, as the attempt is being made.
    pub fn mark_spent(&mut self) {
        self.is_spent = true;
    }

    /// Returns the token when the permit is dropped, as nothing was sent after all.
    pub fn mark_unspent(&mut self) {
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
