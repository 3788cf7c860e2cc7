//! Faults that can be injected into a stub server.

use super::StubServer;
use serde::{Deserialize, Serialize};

/// The faults to inject; the counters say how many of the next jobs each fault affects. The names
/// in `serde` attributes are those of the body of `/lab/fault`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StubFaults {
    /// Jobs that are executed but whose response is lost.
    #[serde(rename = "lose")]
    pub lost_answers: u32,
    /// Jobs that hang for a fixed time.
    #[serde(rename = "stall")]
    pub stalls: u32,
    /// Streams in which a piece has another job's text.
    #[serde(rename = "splice")]
    pub spliced_streams: u32,
    /// Streams that end without their end line.
    #[serde(rename = "truncate")]
    pub truncated_streams: u32,
    /// Responses that are stamped for another job.
    #[serde(rename = "mistake")]
    pub misattributed_answers: u32,
    /// Streams in which a piece is sent twice.
    #[serde(rename = "repeat")]
    pub repeated_pieces: u32,
    /// Imports that fail.
    #[serde(rename = "fail_import")]
    pub failed_imports: u32,
    /// Factor by which imports take longer; 0 counts as 1.
    #[serde(rename = "slow_import")]
    pub import_slowdown: u32,
    /// Factor by which execution takes longer; 0 counts as 1.
    #[serde(rename = "slow")]
    pub slowdown: u32,
    /// Whether the server drains from now on; unchanged if absent.
    #[serde(rename = "leaving")]
    pub is_draining: Option<bool>,
    /// Name that the server reports from now on instead of its own.
    #[serde(rename = "become_server")]
    pub impersonate: Option<String>,
}

impl StubServer {
    /// Whether the fault affects the current job; if so, decrements its counter.
    pub(super) fn take_fault(&self, fault: impl Fn(&mut StubFaults) -> &mut u32) -> bool {
        let mut state = self.state();
        let remaining = fault(&mut state.faults);
        let is_due = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_due
    }

    pub(super) fn slowdown(&self) -> u64 {
        self.state().faults.slowdown.max(1).into()
    }

    pub(super) fn import_slowdown(&self) -> u64 {
        self.state().faults.import_slowdown.max(1).into()
    }
}
