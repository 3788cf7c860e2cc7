//! Every question one process of the tier may put to another, and the answers.

use crate::code::Code;
use crate::consts::*;
use crate::lease::{LeaseAsk, LeaseTell};
use crate::member::Node;
use crate::orders::{PutAnswer, RetireBegin};
use crate::register::{Ballot, RegisterReply, RegisterRequest};
use crate::tree::Rule;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[derive(Clone, Debug, Serialize, Deserialize, strum::IntoStaticStr)]
pub enum Ask {
    Probe {
        dig: u64,
        /// What the asker heard of lately.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        nodes: Vec<Node>,
    },
    /// News of a few nodes, told at once.
    Heard {
        nodes: Vec<Node>,
    },
    Second {
        to: SocketAddr,
    },
    Table {
        nodes: Vec<Node>,
    },
    /// A register request that names no disk, as programs before `WIRE_NAMED_DISKS` send it.
    Reg(RegisterRequest),
    /// A register request meant for one disk. Any other answers `Tell::OtherDisk`.
    Register {
        disk: String,
        request: RegisterRequest,
    },
    /// A node tells which documents it holds and asks whether a core disk holds newer ones.
    Newer {
        have: Vec<(String, u64)>,
        front: bool,
        /// `departures::digest` of the servers that this node told the asker of last.
        #[serde(default, skip_serializing_if = "is_zero")]
        departed: u64,
    },
    Doc {
        name: String,
        hops: u8,
    },
    /// A document newer than the version named, as the asked node holds it or can find it; answered as `Tell::Doc`.
    Page {
        name: String,
        more_than: u64,
    },
    Adopt {
        name: String,
        seq: u64,
        epoch: Ballot,
        /// The processes that tell it on, each to its share of the nodes; empty where nobody is asked to.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        relays: Vec<String>,
    },
    /// The same as a change to the version named, for whoever holds that one.
    Patch {
        name: String,
        seq: u64,
        epoch: Ballot,
        base: u64,
        /// `hash::mark` of the version named; empty from nodes that don't tell it.
        #[serde(default)]
        base_digest: String,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        relays: Vec<String>,
    },
    /// The platform shows these servers as leaving; see `departures`.
    Departed {
        servers: Vec<String>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        relays: Vec<String>,
    },
    /// An operator's order on top of version `base`, for the process that proposes. The text is the blob.
    Order {
        base: u64,
    },
    /// An operator's order that a store machine be emptied, for the process that proposes.
    Retire {
        node: String,
    },
    Grants {
        name: String,
        seq: u64,
    },
    /// A version is proved in force: no front can serve by an older one.
    Proved {
        seq: u64,
    },
    Found,
    /// The duty lease, and the heartbeat between core seats.
    Lease(LeaseAsk),
    Begin(Begin),
    Commit(Commit),
    /// This shot will never be dispatched: it is barred, and its reservation goes back.
    Abort {
        key: String,
        job: String,
        nonce: u64,
        #[serde(default)]
        budget: Option<String>,
    },
    Note {
        key: String,
        epoch: u64,
        kv: Kv,
    },
    Look {
        key: String,
    },
    /// The session is over: its history goes, its once-only marks stay.
    End {
        key: String,
    },
    Expire {
        key: String,
    },
    Reserve {
        budget: String,
        entry: String,
        amount: u64,
        limit: u64,
        key: String,
        job: String,
        nonce: u64,
        /// ms that the session's record is kept at least.
        #[serde(default)]
        keep: u64,
    },
    Settle {
        budget: String,
        entry: String,
        used: Option<u64>,
    },
    Tend {
        key: String,
    },
    /// Reports that differ from what was told before, and the servers whose do not.
    News {
        service: String,
        reports: Vec<Report>,
        #[serde(default)]
        same: Vec<String>,
        relay: bool,
    },
    /// How far the disk named is with the change that layout number `layout` began.
    SweepDone {
        layout: u64,
        /// The disk asked about; empty where an older program asks. Any other answers `Tell::OtherDisk`.
        #[serde(default)]
        disk: String,
    },
    /// A disk found damaged files: whoever holds the same keys should mend it now.
    SweepNow,
    /// Turns and ledgers; the question is the blob, see `chain_wire`.
    Chain,
    /// A front, or the collector of a site, tells the collector of a site what it has under way at the servers there; the
    /// loads are the blob. Answered as `Tell::InFlight`, with the loads of all.
    InFlight {
        by_site: bool,
    },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Tell {
    No(Code),
    Ok,
    /// Loads of servers; they are the blob.
    InFlight,
    Probe {
        dig: u64,
        nodes: Vec<Node>,
        /// ms of the teller's calendar.
        #[serde(default)]
        wall: u64,
    },
    Second {
        heard: bool,
    },
    Table {
        nodes: Vec<Node>,
    },
    /// The answer to a register request that named no disk.
    Reg(RegisterReply),
    /// The answer of one disk to a register request meant for it.
    Register {
        disk: String,
        reply: RegisterReply,
    },
    /// The question was meant for another disk than the one that is here now.
    OtherDisk {
        disk: String,
    },
    Newer {
        newest: Vec<(String, u64)>,
        sure: bool,
        /// The teller has heard of a newer version of a document than it holds.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        behind: bool,
        /// All servers known to be leaving, where the asker was not told just these before.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        departed: Vec<String>,
    },
    Order(PutAnswer),
    Retire(RetireBegin),
    Doc {
        seq: u64,
        epoch: Ballot,
    },
    Adopted {
        seq: u64,
    },
    Grants {
        seq: u64,
        fronts: Vec<(String, u64)>,
        /// Newest version known to be proved in force.
        #[serde(default)]
        proved: u64,
    },
    Lease(LeaseTell),
    Begun(Begun),
    /// A kept outcome follows as blob.
    Kept {
        code: Code,
    },
    Committed,
    Ended {
        kv: Kv,
    },
    Look {
        open: Vec<(String, u64)>,
        done: Vec<(String, u64, u64)>,
    },
    Swept {
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
    Chain,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Begin {
    pub key: String,
    pub job: String,
    pub digest: String,
    pub nonce: u64,
    pub front: String,
    /// ms from now after which the run counts as lost.
    pub left: u64,
    pub budget: Option<(String, u64)>,
    pub max_out: u64,
    /// ms after the last change until the record may be forgotten.
    pub keep: u64,
    /// Length and digest of the history the front already has on hand.
    pub hand: Option<(u64, String)>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Begun {
    pub epoch: u64,
    pub kv: Kv,
    pub hist: u64,
    pub whole: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Commit {
    pub key: String,
    pub job: String,
    pub epoch: u64,
    pub nonce: u64,
    pub code: Code,
    pub used: u64,
    pub rule: Rule,
    pub kv: Kv,
    /// Bytes of the blob that are new history; the rest is the outcome to keep.
    pub hist: u64,
}

/// A session's transfer state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kv {
    pub home: Option<Place>,
    pub replica: Option<Place>,
    pub program: String,
}

/// A prefix held on a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Place {
    pub server: String,
    pub inst: u64,
    pub weights: String,
    pub tokens: u64,
    pub digest: String,
    /// The server's count of tokens placed in its cache when this was.
    pub mark: u64,
}

/// What a back end says of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub service: String,
    pub server: String,
    pub inst: u64,
    pub seq: u64,
    pub slots: u32,
    pub running: u32,
    pub waiting: u32,
    #[serde(default)]
    pub weights: String,
    #[serde(default)]
    pub leaving: bool,
    /// Tokens placed in its cache since it started, and the cache's size in tokens.
    #[serde(default)]
    pub placed: u64,
    #[serde(default)]
    pub cache: u64,
    /// us per thousand tokens of prompt and per token of output.
    #[serde(default)]
    pub per_k: u64,
    #[serde(default)]
    pub per_out: u64,
    /// us since the home node heard it; filled in by the tier.
    #[serde(default)]
    pub age: u64,
}

impl Report {
    pub fn sane(&self) -> bool {
        [self.slots, self.running, self.waiting].iter().all(|n| *n <= REPORT_JOBS)
            && [self.per_k, self.per_out].iter().all(|n| *n <= REPORT_US)
            && [self.placed, self.cache].iter().all(|n| *n <= REPORT_TOKENS)
    }
}

/// A line of the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub server: String,
    pub service: String,
    pub addr: SocketAddr,
    pub site: String,
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    pub rev: u64,
    /// Term of the duty lease under which it was written.
    #[serde(default)]
    pub term: u64,
    pub servers: Vec<Listed>,
}

#[derive(Clone, Debug, Default, PartialEq, Hash, Serialize, Deserialize)]
pub struct Group {
    pub now: Vec<String>,
    /// Set while a change is under way; both sets must then agree.
    pub old: Vec<String>,
    /// Layout number that wrote these sets: progress of the group's change is counted by it, whatever the other group does
    /// meanwhile. 0 where an older process wrote the layout.
    #[serde(default)]
    pub since: u64,
}

impl Group {
    pub fn changing(&self) -> bool {
        !self.old.is_empty()
    }
}

impl Layout {
    /// Layout number that wrote the group's sets, of a layout with this number.
    pub fn since(&self, group: &Group, number: u64) -> u64 {
        if group.since == 0 { number } else { group.since }
    }
}

/// Which disks carry what. `names` tells the machine behind a disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    pub core: Group,
    pub store: Group,
    pub names: BTreeMap<String, String>,
    /// Site of each disk, written once and never changed: where copies go follows from it.
    #[serde(default)]
    pub sites: BTreeMap<String, String>,
    /// Layout number from which the running change counts its sweeps.
    pub turn: u64,
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
    pub put: String,
    pub note: String,
    /// Newest first: version, put id and text of what was in force before, where the tier numbers the versions. Documents
    /// written before `orders` was added hold the operator's number, the text's digest and nothing.
    pub past: Vec<(u64, String, String)>,
    /// The operator's own number; 0 where the tier numbers the versions.
    #[serde(default)]
    pub number: u64,
    /// The highest number among the taken orders that are no longer in `orders`; 0 while all are.
    #[serde(default)]
    pub forgotten: u64,
    /// The operator's orders taken before the one in force, newest first; bounded by age, count and so in bytes.
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
pub struct HeldKey {
    pub key: String,
    pub seq: u64,
    pub bytes: u64,
    pub kv: Option<Kv>,
}
