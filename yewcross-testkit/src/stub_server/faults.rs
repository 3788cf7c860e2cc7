//! Misbehaviour that a stub server is told to show.

use super::StubServer;
use serde::{Deserialize, Serialize};

/// How many of the next jobs go wrong, each in its way. The members' names in a request are those
/// of `/lab/fault`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StubFaults {
    /// Jobs that run and whose answers are lost.
    #[serde(rename = "lose")]
    pub lost_answers: u32,
    /// Jobs that hang.
    #[serde(rename = "stall")]
    pub stalls: u32,
    /// Streams with another job's text in them.
    #[serde(rename = "splice")]
    pub spliced_streams: u32,
    /// Streams that break off.
    #[serde(rename = "truncate")]
    pub truncated_streams: u32,
    /// Answers that are stamped for another job.
    #[serde(rename = "mistake")]
    pub misattributed_answers: u32,
    /// Streams in which a piece comes twice.
    #[serde(rename = "repeat")]
    pub repeated_pieces: u32,
    /// Imports that fail.
    #[serde(rename = "fail_import")]
    pub failed_imports: u32,
    /// Imports take so many times as long; 0 as 1.
    #[serde(rename = "slow_import")]
    pub import_slowdown: u32,
    /// Everything takes so many times as long; 0 as 1.
    #[serde(rename = "slow")]
    pub slowdown: u32,
    /// Whether the server drains from now on; as before if absent.
    #[serde(rename = "leaving")]
    pub is_draining: Option<bool>,
    /// Claims to be this server from now on.
    #[serde(rename = "become_server")]
    pub impersonate: Option<String>,
}

impl StubServer {
    /// Whether the fault is due, and if so counts it down.
    pub(super) fn take_fault(&self, fault: impl Fn(&mut StubFaults) -> &mut u32) -> bool {
        let mut state = self.state();
        let left = fault(&mut state.faults);
        let is_due = *left > 0;
        *left = left.saturating_sub(1);
        is_due
    }

    pub(super) fn slowdown(&self) -> u64 {
        self.state().faults.slowdown.max(1).into()
    }

    pub(super) fn import_slowdown(&self) -> u64 {
        self.state().faults.import_slowdown.max(1).into()
    }
}
