//! What model servers report of their load.

use crate::constants::{REPORT_MAX_REQUESTS, REPORT_MAX_TOKENS, REPORT_MAX_US};
use serde::{Deserialize, Serialize};

/// What a server reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Service that it belongs to.
    pub service: String,
    /// Name of the server.
    pub server: String,
    /// Instance of the server; a restarted one has another.
    #[serde(rename = "inst")]
    pub instance: u64,
    /// Number of the report: of two reports of an instance the higher one is newer.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Jobs that it can run at once.
    pub slots: u32,
    /// Jobs that run.
    pub running: u32,
    /// Jobs that wait in the server.
    pub waiting: u32,
    /// Version of the model weights that it serves.
    #[serde(default)]
    pub weights: String,
    /// Whether it is draining: it takes no new jobs.
    #[serde(default)]
    pub leaving: bool,
    /// Tokens placed in its cache since it started.
    #[serde(default)]
    #[serde(rename = "placed")]
    pub placed_tokens: u64,
    /// Size of its cache in tokens.
    #[serde(default)]
    #[serde(rename = "cache")]
    pub cache_tokens: u64,
    /// µs for each thousand tokens of prompt.
    #[serde(default)]
    #[serde(rename = "per_k")]
    pub prefill_us_per_1000: u64,
    /// µs for each token of output.
    #[serde(default)]
    #[serde(rename = "per_out")]
    pub decode_us_per_token: u64,
    /// µs since the home front received it; set by the tier.
    #[serde(default)]
    #[serde(rename = "age")]
    pub age_us: u64,
}

impl LoadReport {
    /// Whether all figures are within the bounds of what a server can mean.
    pub fn is_plausible(&self) -> bool {
        [self.slots, self.running, self.waiting]
            .iter()
            .all(|n| *n <= REPORT_MAX_REQUESTS)
            && [self.prefill_us_per_1000, self.decode_us_per_token]
                .iter()
                .all(|n| *n <= REPORT_MAX_US)
            && [self.placed_tokens, self.cache_tokens]
                .iter()
                .all(|n| *n <= REPORT_MAX_TOKENS)
    }
}
