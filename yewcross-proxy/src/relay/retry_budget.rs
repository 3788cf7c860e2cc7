//! Bounds what is sent twice to a share of what is sent once, so that retries never become the
//! load.

use crate::policy::{Mechanism, Policies};
use std::sync::Mutex;
use yewcross_common::constants::*;

/// Tokens for second attempts: each request brings a share of one, each second attempt takes one.
pub struct RetryBudget {
    tokens: Mutex<f64>,
    is_bounded: bool,
}

impl RetryBudget {
    pub fn new(policies: Policies) -> RetryBudget {
        RetryBudget {
            tokens: Mutex::new(RETRY_BURST),
            is_bounded: policies.has(Mechanism::RetryBudget),
        }
    }

    /// A request was sent for the first time.
    pub fn deposit(&self) {
        let mut tokens = self.tokens.lock().unwrap();
        *tokens = (*tokens + RETRY_SHARE).min(RETRY_BURST);
    }

    /// Whether another attempt may be made now; it is counted if so.
    pub fn withdraw(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap();
        if self.is_bounded && *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(Policies::default())
    }
}
