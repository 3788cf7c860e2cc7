//! Every question one process of the tier may put to another, and the answers.

pub mod lease;
pub mod operator_orders;

use crate::configuration::Rule;
use crate::constants::*;
use crate::error_code::Code;
use crate::membership::Node;
use crate::protocol::lease::{LeaseRequest, LeaseResponse};
use crate::protocol::operator_orders::{PutAnswer, RetireBegin};
use crate::register::{Ballot, RegisterReply, RegisterRequest};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[derive(Clone, Debug, Serialize, Deserialize, strum::IntoStaticStr)]
pub enum PeerRequest {
    Probe {
        #[serde(rename = "dig")]
        digest: u64,
        /// What the asker heard of lately.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        nodes: Vec<Node>,
    },
    /// News of a few nodes, told at once.
    #[serde(rename = "Heard")]
    #[strum(serialize = "Heard")]
    MembershipUpdate { nodes: Vec<Node> },
    #[serde(rename = "Second")]
    #[strum(serialize = "Second")]
    ProbeOnBehalf {
        #[serde(rename = "to")]
        target: SocketAddr,
    },
    #[serde(rename = "Table")]
    #[strum(serialize = "Table")]
    ExchangeMembership { nodes: Vec<Node> },
    /// A register request that names no disk, as programs before `WIRE_NAMED_DISKS` send it.
    #[serde(rename = "Reg")]
    #[strum(serialize = "Reg")]
    UnnamedRegister(RegisterRequest),
    /// A register request meant for one disk. Any other answers `PeerResponse::OtherDisk`.
    Register {
        disk: String,
        request: RegisterRequest,
    },
    /// A node tells which documents it holds and asks whether a core disk holds newer ones.
    #[serde(rename = "Newer")]
    #[strum(serialize = "Newer")]
    PollDocuments {
        #[serde(rename = "have")]
        known: Vec<(String, u64)>,
        front: bool,
        /// `departures::digest` of the servers that this node told the asker of last.
        #[serde(default, skip_serializing_if = "is_zero")]
        #[serde(rename = "departed")]
        leaving_digest: u64,
    },
    #[serde(rename = "Doc")]
    #[strum(serialize = "Doc")]
    ReadDecidedDocument { name: String, hops: u8 },
    /// A document newer than the version named, as the asked node holds it or can find it; answered
    /// as `PeerResponse::Document`.
    #[serde(rename = "Page")]
    #[strum(serialize = "Page")]
    FetchDocument {
        name: String,
        #[serde(rename = "more_than")]
        newer_than: u64,
    },
    #[serde(rename = "Adopt")]
    #[strum(serialize = "Adopt")]
    PublishDocument {
        name: String,
        #[serde(rename = "seq")]
        version: u64,
        epoch: Ballot,
        /// The processes that tell it on, each to its share of the nodes; empty where nobody is
        /// asked to.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        relays: Vec<String>,
    },
    /// The same as a change to the version named, for whoever holds that one.
    #[serde(rename = "Patch")]
    #[strum(serialize = "Patch")]
    PublishDelta {
        name: String,
        #[serde(rename = "seq")]
        version: u64,
        epoch: Ballot,
        base: u64,
        /// `hash::mark` of the version named; empty from nodes that don't tell it.
        #[serde(default)]
        base_digest: String,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        relays: Vec<String>,
    },
    /// The platform shows these servers as leaving; see `departures`.
    #[serde(rename = "Departed")]
    #[strum(serialize = "Departed")]
    ServersLeaving {
        servers: Vec<String>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        relays: Vec<String>,
    },
    /// An operator's order on top of version `base`, for the process that proposes. The text is the
    /// blob.
    #[serde(rename = "Order")]
    #[strum(serialize = "Order")]
    ForwardPut { base: u64 },
    /// An operator's order that a store machine be emptied, for the process that proposes.
    #[serde(rename = "Retire")]
    #[strum(serialize = "Retire")]
    ForwardRetire { node: String },
    #[serde(rename = "Grants")]
    #[strum(serialize = "Grants")]
    CollectServingLeases {
        name: String,
        #[serde(rename = "seq")]
        version: u64,
    },
    /// A version is proved in force: no front can serve by an older one.
    #[serde(rename = "Proved")]
    #[strum(serialize = "Proved")]
    AnnounceInForce {
        #[serde(rename = "seq")]
        version: u64,
    },
    #[serde(rename = "Found")]
    #[strum(serialize = "Found")]
    Bootstrap,
    /// The duty lease, and the heartbeat between core seats.
    Lease(LeaseRequest),
    #[serde(rename = "Begin")]
    #[strum(serialize = "Begin")]
    BeginTurn(BeginTurn),
    #[serde(rename = "Commit")]
    #[strum(serialize = "Commit")]
    CommitTurn(CommitTurn),
    /// This shot will never be dispatched: it is barred, and its reservation goes back.
    #[serde(rename = "Abort")]
    #[strum(serialize = "Abort")]
    AbortTurn {
        key: String,
        #[serde(rename = "job")]
        request_id: String,
        nonce: u64,
        #[serde(default)]
        budget: Option<String>,
    },
    #[serde(rename = "Note")]
    #[strum(serialize = "Note")]
    RecordCacheState {
        key: String,
        epoch: u64,
        #[serde(rename = "kv")]
        cache: SessionCacheState,
    },
    #[serde(rename = "Look")]
    #[strum(serialize = "Look")]
    InspectSession { key: String },
    /// The session is over: its history goes, its once-only marks stay.
    #[serde(rename = "End")]
    #[strum(serialize = "End")]
    EndSession { key: String },
    #[serde(rename = "Expire")]
    #[strum(serialize = "Expire")]
    ExpireSession { key: String },
    #[serde(rename = "Reserve")]
    #[strum(serialize = "Reserve")]
    ReserveBudget {
        budget: String,
        entry: String,
        amount: u64,
        limit: u64,
        key: String,
        #[serde(rename = "job")]
        request_id: String,
        nonce: u64,
        /// ms that the session's record is kept at least.
        #[serde(default)]
        #[serde(rename = "keep")]
        retain_ms: u64,
    },
    #[serde(rename = "Settle")]
    #[strum(serialize = "Settle")]
    SettleBudget {
        budget: String,
        entry: String,
        used: Option<u64>,
    },
    #[serde(rename = "Tend")]
    #[strum(serialize = "Tend")]
    RepairKey { key: String },
    /// Reports that differ from what was told before, and the servers whose do not.
    #[serde(rename = "News")]
    #[strum(serialize = "News")]
    LoadReports {
        service: String,
        reports: Vec<LoadReport>,
        #[serde(default)]
        same: Vec<String>,
        relay: bool,
    },
    /// How far the disk named is with the change that layout number `layout` began.
    #[serde(rename = "SweepDone")]
    #[strum(serialize = "SweepDone")]
    SweepProgress {
        layout: u64,
        /// The disk asked about; empty where an older program asks. Any other answers
        /// `PeerResponse::OtherDisk`.
        #[serde(default)]
        disk: String,
    },
    /// A disk found damaged files: whoever holds the same keys should mend it now.
    #[serde(rename = "SweepNow")]
    #[strum(serialize = "SweepNow")]
    StartSweep,
    /// Turns and ledgers; the question is the blob, see `chain_wire`.
    #[serde(rename = "Chain")]
    #[strum(serialize = "Chain")]
    TurnLog,
    /// A front, or the collector of a site, tells the collector of a site what it has under way at
    /// the servers there; the loads are the blob. Answered as `PeerResponse::Loads`, with the loads
    /// of all.
    #[serde(rename = "InFlight")]
    #[strum(serialize = "InFlight")]
    ExchangeLoads { by_site: bool },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    #[serde(rename = "No")]
    Rejected(Code),
    Ok,
    /// Loads of servers; they are the blob.
    #[serde(rename = "InFlight")]
    Loads,
    Probe {
        #[serde(rename = "dig")]
        digest: u64,
        nodes: Vec<Node>,
        /// ms of the teller's calendar.
        #[serde(default)]
        #[serde(rename = "wall")]
        wall_clock_ms: u64,
    },
    #[serde(rename = "Second")]
    ProbeOnBehalf {
        #[serde(rename = "heard")]
        reachable: bool,
    },
    #[serde(rename = "Table")]
    Membership {
        nodes: Vec<Node>,
    },
    /// The answer to a register request that named no disk.
    #[serde(rename = "Reg")]
    UnnamedRegister(RegisterReply),
    /// The answer of one disk to a register request meant for it.
    Register {
        disk: String,
        reply: RegisterReply,
    },
    /// The question was meant for another disk than the one that is here now.
    OtherDisk {
        disk: String,
    },
    #[serde(rename = "Newer")]
    DocumentVersions {
        newest: Vec<(String, u64)>,
        #[serde(rename = "sure")]
        authoritative: bool,
        /// The teller has heard of a newer version of a document than it holds.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        behind: bool,
        /// All servers known to be leaving, where the asker was not told just these before.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[serde(rename = "departed")]
        leaving: Vec<String>,
    },
    #[serde(rename = "Order")]
    PutAnswer(PutAnswer),
    #[serde(rename = "Retire")]
    RetireAnswer(RetireBegin),
    #[serde(rename = "Doc")]
    Document {
        #[serde(rename = "seq")]
        version: u64,
        epoch: Ballot,
    },
    #[serde(rename = "Adopted")]
    DocumentApplied {
        #[serde(rename = "seq")]
        version: u64,
    },
    #[serde(rename = "Grants")]
    ServingLeases {
        #[serde(rename = "seq")]
        version: u64,
        fronts: Vec<(String, u64)>,
        /// Newest version known to be proved in force.
        #[serde(default)]
        #[serde(rename = "proved")]
        in_force: u64,
    },
    Lease(LeaseResponse),
    #[serde(rename = "Begun")]
    TurnBegun(TurnBegun),
    /// A kept outcome follows as blob.
    #[serde(rename = "Kept")]
    StoredOutcome {
        code: Code,
    },
    Committed,
    #[serde(rename = "Ended")]
    SessionEnded {
        #[serde(rename = "kv")]
        cache: SessionCacheState,
    },
    #[serde(rename = "Look")]
    SessionReservations {
        open: Vec<(String, u64)>,
        done: Vec<(String, u64, u64)>,
    },
    #[serde(rename = "Swept")]
    SweepProgress {
        done: bool,
        left: u64,
        /// Newest layout that the disk keeps; it refuses older ones.
        #[serde(default)]
        kept: u64,
        /// The disk that says so; empty where an older program answers.
        #[serde(default)]
        disk: String,
    },
    /// The answer is the blob.
    #[serde(rename = "Chain")]
    TurnLog,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BeginTurn {
    pub key: String,
    #[serde(rename = "job")]
    pub request_id: String,
    pub digest: String,
    pub nonce: u64,
    pub front: String,
    /// ms from now after which the run counts as lost.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
    pub budget: Option<(String, u64)>,
    #[serde(rename = "max_out")]
    pub max_output_tokens: u64,
    /// ms after the last change until the record may be forgotten.
    #[serde(rename = "keep")]
    pub retain_ms: u64,
    /// Length and digest of the history the front already has on hand.
    #[serde(rename = "hand")]
    pub known_history: Option<(u64, String)>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TurnBegun {
    pub epoch: u64,
    #[serde(rename = "kv")]
    pub cache: SessionCacheState,
    #[serde(rename = "hist")]
    pub history_bytes: u64,
    #[serde(rename = "whole")]
    pub history_complete: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitTurn {
    pub key: String,
    #[serde(rename = "job")]
    pub request_id: String,
    pub epoch: u64,
    pub nonce: u64,
    pub code: Code,
    #[serde(rename = "used")]
    pub used_tokens: u64,
    pub rule: Rule,
    #[serde(rename = "kv")]
    pub cache: SessionCacheState,
    /// Bytes of the blob that are new history; the rest is the outcome to keep.
    #[serde(rename = "hist")]
    pub history_bytes: u64,
}

/// A session's transfer state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionCacheState {
    pub home: Option<CachedPrefix>,
    pub replica: Option<CachedPrefix>,
    pub program: String,
}

/// A prefix held on a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CachedPrefix {
    pub server: String,
    #[serde(rename = "inst")]
    pub instance: u64,
    pub weights: String,
    pub tokens: u64,
    pub digest: String,
    /// The server's count of tokens placed in its cache when this was.
    #[serde(rename = "mark")]
    pub placed_tokens: u64,
}

/// What a back end says of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub service: String,
    pub server: String,
    #[serde(rename = "inst")]
    pub instance: u64,
    #[serde(rename = "seq")]
    pub sequence: u64,
    pub slots: u32,
    pub running: u32,
    pub waiting: u32,
    #[serde(default)]
    pub weights: String,
    #[serde(default)]
    pub leaving: bool,
    /// Tokens placed in its cache since it started, and the cache's size in tokens.
    #[serde(default)]
    #[serde(rename = "placed")]
    pub placed_tokens: u64,
    #[serde(default)]
    #[serde(rename = "cache")]
    pub cache_tokens: u64,
    /// us per thousand tokens of prompt and per token of output.
    #[serde(default)]
    #[serde(rename = "per_k")]
    pub prefill_us_per_1000: u64,
    #[serde(default)]
    #[serde(rename = "per_out")]
    pub decode_us_per_token: u64,
    /// us since the home node heard it; filled in by the tier.
    #[serde(default)]
    #[serde(rename = "age")]
    pub age_us: u64,
}

impl LoadReport {
    pub fn sane(&self) -> bool {
        [self.slots, self.running, self.waiting]
            .iter()
            .all(|n| *n <= REPORT_JOBS)
            && [self.prefill_us_per_1000, self.decode_us_per_token]
                .iter()
                .all(|n| *n <= REPORT_US)
            && [self.placed_tokens, self.cache_tokens]
                .iter()
                .all(|n| *n <= REPORT_TOKENS)
    }
}

/// A line of the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    pub server: String,
    pub service: String,
    pub addr: SocketAddr,
    pub site: String,
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerList {
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Term of the duty lease under which it was written.
    #[serde(default)]
    pub term: u64,
    pub servers: Vec<ListedServer>,
}

#[derive(Clone, Debug, Default, PartialEq, Hash, Serialize, Deserialize)]
pub struct ReplicaGroup {
    #[serde(rename = "now")]
    pub current: Vec<String>,
    /// Set while a change is under way; both sets must then agree.
    #[serde(rename = "old")]
    pub previous: Vec<String>,
    /// Layout number that wrote these sets: progress of the group's change is counted by it,
    /// whatever the other group does meanwhile. 0 where an older process wrote the layout.
    #[serde(default)]
    pub since: u64,
}

impl ReplicaGroup {
    pub fn is_changing(&self) -> bool {
        !self.previous.is_empty()
    }
}

impl Layout {
    /// Layout number that wrote the group's sets, of a layout with this number.
    pub fn since(&self, group: &ReplicaGroup, number: u64) -> u64 {
        if group.since == 0 {
            number
        } else {
            group.since
        }
    }
}

/// Which disks carry what. `names` tells the machine behind a disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    pub core: ReplicaGroup,
    pub store: ReplicaGroup,
    pub names: BTreeMap<String, String>,
    /// Site of each disk, written once and never changed: where copies go follows from it.
    #[serde(default)]
    pub sites: BTreeMap<String, String>,
    /// Layout number from which the running change counts its sweeps.
    #[serde(rename = "turn")]
    pub change_started: u64,
    /// Machines that were retired; they get no seat again by themselves.
    #[serde(default)]
    pub retired: std::collections::BTreeSet<String>,
    /// Term of the duty lease under which seats were last changed.
    #[serde(default)]
    pub term: u64,
}

/// An operator's order that was taken, by the digest of its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakenOrder {
    /// The operator's number of it.
    pub number: u64,
    /// `hash::mark` of the text.
    pub digest: String,
    /// ms since 1970 by the middle of the known clocks; never below that of an order taken before.
    pub taken_ms: u64,
}

/// What the configuration register holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDoc {
    pub text: String,
    #[serde(rename = "put")]
    pub put_id: String,
    pub note: String,
    /// Newest first: version, put id and text of what was in force before, where the tier numbers
    /// the versions. Documents written before `orders` was added hold the operator's number, the
    /// text's digest and nothing.
    pub past: Vec<(u64, String, String)>,
    /// The operator's own number; 0 where the tier numbers the versions.
    #[serde(default)]
    pub number: u64,
    /// The highest number among the taken orders that are no longer in `orders`; 0 while all are.
    #[serde(default)]
    pub forgotten: u64,
    /// The operator's orders taken before the one in force, newest first; bounded by age, count and
    /// so in bytes.
    #[serde(default)]
    pub orders: Vec<TakenOrder>,
}

impl ConfigDoc {
    /// The document in a register's value; an empty value is the document before the first order.
    pub fn decode(value: &[u8]) -> Result<ConfigDoc, serde_json::Error> {
        if value.is_empty() {
            return Ok(ConfigDoc::default());
        }
        serde_json::from_slice(value)
    }

    /// JSON with a line for each taken order, so that only the new ones travel in a delta.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        let mut head = self.clone();
        let orders = std::mem::take(&mut head.orders);
        let mut json = serde_json::to_vec(&head)?;
        if orders.is_empty() {
            return Ok(json);
        }
        let empty_list = b"[]}";
        json.truncate(json.len() - empty_list.len());
        json.extend_from_slice(b"[\n");
        for (index, order) in orders.iter().enumerate() {
            if index > 0 {
                json.extend_from_slice(b",\n");
            }
            json.extend(serde_json::to_vec(order)?);
        }
        json.extend_from_slice(b"\n]}");
        Ok(json)
    }
}

/// A key on a disk, as a checkpoint tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointKey {
    pub key: String,
    pub seq: u64,
    pub bytes: u64,
    pub kv: Option<SessionCacheState>,
}
