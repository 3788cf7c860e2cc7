//! What a run wrote down, and nothing else: the checkers judge it.

use crate::caller::Seen;
use crate::standin::Run;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use yewcross_common::protocol::ConfigDoc;

/// What an operator was told of a put.
#[derive(Clone, Debug)]
pub struct Ack {
    pub sent: u64,
    pub at: u64,
    pub base: u64,
    pub mark: String,
    pub code: u16,
    pub version: u64,
}

/// All that was written down in a run.
#[derive(Clone)]
pub struct Evidence {
    pub seen: Vec<Seen>,
    pub runs: Vec<Run>,
    pub knocks: Vec<(u64, String)>,
    pub left: Vec<(u64, String)>,
    pub acks: Vec<Ack>,
    pub hard: Vec<(u64, String)>,
    pub planned: Vec<(u64, u64)>,
    pub log: Vec<(u64, String, String)>,
    pub last: Option<(u64, ConfigDoc)>,
    pub once: BTreeSet<String>,
    pub banned: Vec<(u64, u64, String)>,
    /// Texts of the versions that are on hand at the end.
    pub history: BTreeMap<u64, String>,
    /// Which machine stands behind a caller's address, and its site.
    pub doors: BTreeMap<SocketAddr, (String, String)>,
    /// Whether all went on to a quiet end with a last put.
    pub whole: bool,
    pub budgets: BTreeMap<String, Account>,
    /// Budgets are small enough to be spent: being told so is being served.
    pub capped: bool,
    pub end: u64,
    /// Over the words of the log.
    pub hash: u64,
    /// Over what happened, whatever was logged.
    pub fingerprint: u128,
    pub figures: Value,
    pub founded: bool,
    /// Frames that a node refused for their version.
    pub odd: u64,
    /// A change of disks was still under way at the end.
    pub moving: bool,
}

/// What a budget allows at most: the largest figure any version stood for, and after a lower one
/// was acknowledged, that.
#[derive(Clone, Debug)]
pub struct Cap {
    pub from: u64,
    pub tokens: u64,
}

/// All programs that spend from a budget, what one turn may put out, and its figures over time.
#[derive(Clone, Debug, Default)]
pub struct Account {
    pub programs: BTreeSet<String>,
    pub turn: u64,
    pub caps: Vec<Cap>,
}
