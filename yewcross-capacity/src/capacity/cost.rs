//! What a mechanism costs a node, and what it is held to.

use crate::capacity::inputs::Inputs;
use crate::capacity::messages::Messages;
use serde::Serialize;
use yewcross_common::constants::{
    LOAD_REPORT_INTERVAL, PROBE_INTERVAL, PROBE_TIMEOUT, SEC, SUSPICION_TIMEOUT,
};

/// What a mechanism costs one node: the one that bears the most of it, where they differ.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Messages sent, received and answered a second.
    pub messages_s: f64,
    /// Bytes in and out a second.
    pub bytes_s: f64,
    /// MB that it holds.
    pub memory_mb: f64,
    /// Percent of a core.
    pub core_pct: f64,
    /// Syncs of the disk a second.
    pub syncs_s: f64,
    /// s until it has done its work after a failure or a change.
    pub recovery_s: f64,
    /// What else keeps it from working.
    pub wrong: Option<String>,
}

/// What a mechanism is held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Held {
    /// The limits of control.
    Control,
    /// A store's memory, link and disk.
    Store,
    /// A front's memory and link.
    Front,
    /// A server's link.
    Server,
}

/// Where a mechanism stands in the design.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Stand {
    /// Built, and to be replaced.
    Today,
    /// Built, and stays.
    Kept,
    /// Replaces what is built.
    Next,
    /// Weighed and not taken.
    Weighed,
}

/// A mechanism of the design, with its arithmetic.
pub struct Mechanism {
    /// As the table names it.
    pub name: &'static str,
    /// Where it stands in the design.
    pub stand: Stand,
    /// What it is held to.
    pub held: Held,
    /// Its cost at a size.
    pub cost: fn(&Inputs, &Messages) -> Cost,
}

/// Pure processor time of so many messages a second.
pub(super) fn core(i: &Inputs, messages_s: f64) -> f64 {
    messages_s * i.costs.message_us / 10_000.0
}

pub(super) fn mb(b: f64) -> f64 {
    b / 1e6
}

pub(super) fn beats_s() -> f64 {
    SEC as f64 / PROBE_INTERVAL as f64
}

/// s from a node's end until all know it: a probe's turn, its wait, the helpers' wait, suspicion,
/// and its spread.
pub(super) fn spread_s(i: &Inputs) -> f64 {
    let us = (PROBE_INTERVAL + 3 * PROBE_TIMEOUT + SUSPICION_TIMEOUT) as f64
        + i.size.nodes.log2().ceil() * PROBE_INTERVAL as f64;
    us / SEC as f64
}

pub(super) fn polls_s() -> f64 {
    SEC as f64 / LOAD_REPORT_INTERVAL as f64
}
