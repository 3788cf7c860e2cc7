//! The cost of a mechanism to a node, and the limits that apply to it.

use crate::capacity::inputs::Inputs;
use crate::capacity::messages::MessageSizes;
use serde::Serialize;
use yewcross_common::constants::{
    LOAD_REPORT_INTERVAL, PROBE_INTERVAL, PROBE_TIMEOUT, SEC, SUSPICION_TIMEOUT,
};

/// The cost of a mechanism to one node; where nodes differ, to the node with the highest cost.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Messages per second, sent and received, requests and responses.
    pub messages_s: f64,
    /// Bytes per second, sent and received.
    pub bytes_s: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Processor time in percent of a core.
    pub core_pct: f64,
    /// Disk syncs per second.
    pub syncs_s: f64,
    /// Seconds from a failure or a change until the mechanism has handled it.
    pub recovery_s: f64,
    /// A condition other than the limits that the mechanism violates at this size.
    #[serde(rename = "wrong")]
    pub violation: Option<String>,
}

/// The limits that apply to a mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum LimitSet {
    /// The limits of the control functions on a node.
    Control,
    /// Memory, link and disk of a store.
    Store,
    /// Memory and link of a front.
    Front,
    /// The link of a server.
    Server,
}

/// The status of a mechanism in the design. The table prints the names of the variants in lower
/// case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DesignStatus {
    /// Implemented, and to be replaced.
    Today,
    /// Implemented, and to be kept.
    Kept,
    /// Planned: replaces an implemented mechanism.
    Next,
    /// Considered and rejected.
    Weighed,
}

/// A mechanism of the design, and the function that computes its cost.
pub struct Mechanism {
    /// Its name in the table.
    pub name: &'static str,
    /// Its status in the design.
    pub status: DesignStatus,
    /// The limits that apply to it.
    pub limit_set: LimitSet,
    /// Computes its cost for the given inputs and message sizes.
    pub cost: fn(&Inputs, &MessageSizes) -> Cost,
}

/// Processor time in percent of a core for handling this many messages per second, without parsing
/// their contents.
pub(super) fn message_core_pct(inputs: &Inputs, messages_s: f64) -> f64 {
    messages_s * inputs.costs.message_us / 10_000.0
}

pub(super) fn megabytes(bytes: f64) -> f64 {
    bytes / 1e6
}

pub(super) fn probes_per_s() -> f64 {
    SEC as f64 / PROBE_INTERVAL as f64
}

/// Seconds from the failure of a node until all others have recorded it: up to one probe interval
/// until it is probed, the time-outs of the direct and the indirect probes, the suspicion time-out,
/// and the dissemination in a logarithmic number of probe intervals.
pub(super) fn failure_dissemination_s(inputs: &Inputs) -> f64 {
    let total_us = (PROBE_INTERVAL + 3 * PROBE_TIMEOUT + SUSPICION_TIMEOUT) as f64
        + inputs.size.nodes.log2().ceil() * PROBE_INTERVAL as f64;
    total_us / SEC as f64
}

pub(super) fn polls_per_s() -> f64 {
    SEC as f64 / LOAD_REPORT_INTERVAL as f64
}
