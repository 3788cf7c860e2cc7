//! Load reports of model servers.

use crate::constants::{REPORT_MAX_REQUESTS, REPORT_MAX_TOKENS, REPORT_MAX_US};
use serde::{Deserialize, Serialize};

/// A server's report of its own load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Name of the server.
    pub server: String,
    /// Instance of the server; it changes with every restart.
    #[serde(rename = "inst")]
    pub instance: u64,
    /// Number of the report; among the reports of an instance, a higher number is newer.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Number of jobs that the server can run concurrently.
    pub slots: u32,
    /// Number of running jobs.
    pub running: u32,
    /// Number of jobs in the server's queue.
    pub waiting: u32,
    /// Version of the model weights that the server uses.
    #[serde(default)]
    pub weights: String,
    /// Whether the server is draining, and accepts no new jobs.
    #[serde(default)]
    pub leaving: bool,
    /// Number of tokens placed in the server's cache since its start.
    #[serde(default)]
    #[serde(rename = "placed")]
    pub placed_tokens: u64,
    /// Size of the server's cache in tokens.
    #[serde(default)]
    #[serde(rename = "cache")]
    pub cache_tokens: u64,
    /// Prefill time in µs per thousand prompt tokens.
    #[serde(default)]
    #[serde(rename = "per_k")]
    pub prefill_us_per_1000: u64,
    /// Decode time in µs per output token.
    #[serde(default)]
    #[serde(rename = "per_out")]
    pub decode_us_per_token: u64,
    /// µs since the home front received the report; set by the tier.
    #[serde(default)]
    #[serde(rename = "age")]
    pub age_us: u64,
}

impl LoadReport {
    /// Whether all figures are within plausible limits.
    pub fn is_plausible(&self) -> bool {
        [self.slots, self.running, self.waiting]
            .iter()
            .all(|figure| *figure <= REPORT_MAX_REQUESTS)
            && [self.prefill_us_per_1000, self.decode_us_per_token]
                .iter()
                .all(|figure| *figure <= REPORT_MAX_US)
            && [self.placed_tokens, self.cache_tokens]
                .iter()
                .all(|figure| *figure <= REPORT_MAX_TOKENS)
    }
}
