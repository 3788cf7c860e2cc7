//! What a run recorded, and nothing else: the checkers judge it.

use crate::caller::RequestRecord;
use crate::stub_server::{Execution, LateArrival};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use yewcross_common::protocol::ConfigDoc;

/// What an operator was answered to a put. Times are in us.
#[derive(Clone, Debug)]
pub struct Ack {
    /// When it was sent.
    pub sent: u64,
    /// When it was answered.
    pub at: u64,
    /// The version that it was put over.
    pub base: u64,
    /// What makes its configuration unique.
    pub mark: String,
    /// The answer's code; 0 if there was no answer.
    pub code: u16,
    /// The version that it became.
    pub version: u64,
}

/// A fault after which callers may see errors for a while.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// us
    pub at: u64,
    /// The machine, or the fault.
    pub subject: String,
}

/// A server that began to drain.
#[derive(Clone, Debug)]
pub struct Departure {
    /// us
    pub at: u64,
    /// The server.
    pub server: String,
}

/// A server, a method (`service/method`) or a service (`service/`) that was not allowed for a
/// while.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    /// us
    pub from: u64,
    /// us
    pub until: u64,
    /// What was not allowed.
    pub subject: String,
}

/// The machine behind a caller's address.
#[derive(Clone, Debug, Default)]
pub struct FrontMachine {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub site: String,
}

/// What a budget allows at most from some time on: the largest figure any version stood for, and
/// after a lower one was acknowledged, that.
#[derive(Clone, Debug)]
pub struct Cap {
    /// us
    pub from: u64,
    /// Tokens that may be put out in all.
    pub tokens: u64,
}

/// All programs that spend from a budget, and its figures over time.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// The programs.
    pub programs: BTreeSet<String>,
    /// Most tokens that one turn may put out.
    pub max_turn_tokens: u64,
    /// In order of their time.
    pub caps: Vec<Cap>,
}

/// A configuration and its version.
#[derive(Clone, Debug)]
pub struct FinalConfig {
    /// Its version.
    pub version: u64,
    /// The document.
    pub document: ConfigDoc,
}

/// All that was recorded in a run.
#[derive(Clone)]
pub struct Evidence {
    /// What callers were answered.
    pub seen: Vec<RequestRecord>,
    /// What ran at the servers.
    pub executions: Vec<Execution>,
    /// What reached servers that were draining.
    pub late_arrivals: Vec<LateArrival>,
    /// Servers that began to drain.
    pub departures: Vec<Departure>,
    /// What the operator was answered.
    pub acks: Vec<Ack>,
    /// Faults after which callers may see errors for a while.
    pub disruptions: Vec<Disruption>,
    /// From when to when nodes were stopped in good order, in us.
    pub planned_stops: Vec<(u64, u64)>,
    /// Time (us), machine and text of each line of the log.
    pub log: Vec<(u64, String, String)>,
    /// The configuration at the end, if one could be read.
    pub last: Option<FinalConfig>,
    /// Programs and methods whose jobs may run once only.
    pub once: BTreeSet<String>,
    /// What was not allowed for a while.
    pub withdrawals: Vec<Withdrawal>,
    /// Texts of the versions that can be read at the end.
    pub history: BTreeMap<u64, String>,
    /// Fronts by the address that callers use.
    pub fronts: BTreeMap<SocketAddr, FrontMachine>,
    /// Whether the run went on to a quiet end with a last put.
    pub is_complete: bool,
    /// Budgets by name.
    pub budgets: BTreeMap<String, Account>,
    /// Budgets are small enough to be spent: being answered so is being served.
    pub has_small_budgets: bool,
    /// us
    pub end: u64,
    /// Digest of the log's words.
    pub hash: u64,
    /// Digest of what happened, whatever was logged.
    pub fingerprint: u128,
    /// Counters, for reports.
    pub figures: Value,
    /// Whether the cluster was bootstrapped.
    pub is_bootstrapped: bool,
    /// Frames that a node rejected for their version.
    pub rejected_frames: u64,
    /// Whether a change of disks was still under way at the end.
    pub is_reassigning: bool,
}
