//! One value for each variant of each message. No field holds its default, and within a message no two fields hold the
//! same, so that a field which is lost or swapped shows. Every struct is written out without `..`: a new field has to be
//! given a value here before this compiles.

use bytes::Bytes;
use std::sync::Arc;
use yewcross::ask::*;
use yewcross::chain::Turn;
use yewcross::chain_wire::{ChainAsk, Entry, LedgerRow, Row, Told, What};
use yewcross::code::Code;
use yewcross::lease::*;
use yewcross::member::{Node, State};
use yewcross::orders::{PutAnswer, RetireBegin};
use yewcross::register::{Ballot, RegisterReply, RegisterRequest};
use yewcross::startup::Role;
use yewcross::tree::{Bad, Rule};
use yewcross_control::chain_log::Item;
use yewcross_control::lease::KeptGrant;
use yewcross_control::store::{Head, Mark, Open, Record, Run};
use yewcross_front::back::Stamp;
use yewcross_front::balance::Load;
use yewcross_front::load_exchange::{ServerKey, ServerLoad};
use yewcross_front::turn::Kept;

fn text(value: &str) -> String {
    value.into()
}

fn texts(value: &str) -> Vec<String> {
    vec![format!("{value} 1"), format!("{value} 2")]
}

fn ballot() -> Ballot {
    Ballot { n: 501, by: 502 }
}

fn nodes() -> Vec<Node> {
    vec![Node {
        name: text("node name"),
        born: 601,
        inc: 602,
        state: State::Suspect,
        role: Role::Store,
        site: text("node site"),
        peer: "10.0.0.1:611".parse().unwrap(),
        http: "10.0.0.2:612".parse().unwrap(),
        disk: text("node disk"),
        wire: 3,
    }]
}

fn place(name: &str, number: u64) -> Place {
    Place {
        server: format!("{name} server"),
        inst: number + 1,
        weights: format!("{name} weights"),
        tokens: number + 2,
        digest: format!("{name} digest"),
        mark: number + 3,
    }
}

fn kv() -> Kv {
    Kv { home: Some(place("home", 710)), replica: Some(place("replica", 720)), program: text("kv program") }
}

pub fn report() -> Report {
    Report {
        service: text("reported service"),
        server: text("reporting server"),
        inst: 801,
        seq: 802,
        slots: 803,
        running: 804,
        waiting: 805,
        weights: text("reported weights"),
        leaving: true,
        placed: 806,
        cache: 807,
        per_k: 808,
        per_out: 809,
        age: 810,
    }
}

pub fn register_requests() -> Vec<RegisterRequest> {
    let key = || text("register key");
    let epoch = ballot();
    vec![
        RegisterRequest::Promise { key: key(), epoch, lay: 11 },
        RegisterRequest::Accept { key: key(), epoch, seq: 12, lay: 11, delta: true },
        RegisterRequest::Fill { key: key(), epoch, seq: 12, lay: 11 },
        RegisterRequest::Confirm { key: key(), epoch, lay: 11 },
        RegisterRequest::Look { key: key(), lay: 11, have: (epoch, 13) },
        RegisterRequest::Drop { key: key(), epoch, seq: 12, lay: 11 },
    ]
}

pub fn register_replies() -> Vec<RegisterReply> {
    vec![
        RegisterReply::Promised { accepted: ballot(), seq: 14 },
        RegisterReply::Accepted,
        RegisterReply::Looked { accepted: ballot(), seq: 14 },
        RegisterReply::Refused { promised: ballot() },
        RegisterReply::OldLayout,
        RegisterReply::Damaged,
        RegisterReply::Away,
        RegisterReply::OtherDisk,
        RegisterReply::NeedWhole,
    ]
}

pub fn lease_calls() -> Vec<LeaseCall> {
    vec![
        LeaseCall::Look,
        LeaseCall::Request { term: 21 },
        LeaseCall::Renew { term: 21, round: 22, confirmed: 23 },
        LeaseCall::Release { term: 21 },
    ]
}

pub fn refusals() -> Vec<Refusal> {
    vec![Refusal::OtherDisk, Refusal::OtherSeats, Refusal::OldTerm, Refusal::NotFree, Refusal::Unconfirmed, Refusal::DiskFailed]
}

pub fn verdicts() -> Vec<Verdict> {
    vec![Verdict::Free, Verdict::Held, Verdict::Granted, Verdict::Released, Verdict::Refused(Refusal::OldTerm)]
}

fn candidate() -> Candidate {
    Candidate { disk: text("candidate disk"), process: 31, life: 32 }
}

fn lease_ask(call: LeaseCall) -> LeaseAsk {
    LeaseAsk { granter: text("granter disk"), candidate: candidate(), seats: 33, call, wants_holder: true }
}

fn lease_tell(verdict: Verdict) -> LeaseTell {
    let versions = vec![(text("version of"), 34)];
    LeaseTell { granter: text("granter disk"), term: 35, verdict, versions, holder: Some(candidate()) }
}

pub fn put_answers() -> Vec<PutAnswer> {
    vec![
        PutAnswer::InForce(41),
        PutAnswer::Conflict(42),
        PutAnswer::Bad(vec![Bad { path: text("bad path"), why: text("bad why") }]),
        PutAnswer::NotFounded,
        PutAnswer::NoMajority,
        PutAnswer::Busy,
        PutAnswer::Undecided,
        PutAnswer::Forgotten,
    ]
}

pub fn retire_answers() -> Vec<RetireBegin> {
    vec![RetireBegin::Begun, RetireBegin::Unknown, RetireBegin::TooFew, RetireBegin::Away]
}

pub fn rules() -> Vec<Rule> {
    vec![Rule::All, Rule::Turns(51), Rule::Tokens(52)]
}

pub fn states() -> Vec<State> {
    vec![State::Alive, State::Suspect, State::Gone]
}

pub fn roles() -> Vec<Role> {
    vec![Role::Front, Role::Core, Role::Store]
}

fn begin() -> Begin {
    Begin {
        key: text("begin key"),
        job: text("begin job"),
        digest: text("begin digest"),
        nonce: 61,
        front: text("begin front"),
        left: 62,
        budget: Some((text("begin budget"), 63)),
        max_out: 64,
        keep: 65,
        hand: Some((66, text("hand digest"))),
    }
}

fn commit() -> Commit {
    Commit {
        key: text("commit key"),
        job: text("commit job"),
        epoch: 71,
        nonce: 72,
        code: Code::BudgetSpent,
        used: 73,
        rule: Rule::Tokens(74),
        kv: kv(),
        hist: 75,
    }
}

pub fn asks() -> Vec<Ask> {
    let epoch = ballot();
    let (key, job, budget) = (|| text("a key"), || text("a job"), || text("a budget"));
    let mut asks = vec![
        Ask::Probe { dig: 101, nodes: nodes() },
        Ask::Heard { nodes: nodes() },
        Ask::Second { to: "10.0.0.3:102".parse().unwrap() },
        Ask::Table { nodes: nodes() },
        Ask::Newer { have: vec![(text("held"), 103)], front: true, departed: 104 },
        Ask::Doc { name: text("document"), hops: 105 },
        Ask::Page { name: text("document"), more_than: 106 },
        Ask::Adopt { name: text("document"), seq: 107, epoch, relays: texts("relay") },
        Ask::Patch { name: text("document"), seq: 107, epoch, base: 108, base_digest: text("base digest"), relays: texts("relay") },
        Ask::Departed { servers: texts("server"), relays: texts("relay") },
        Ask::Order { base: 109 },
        Ask::Retire { node: text("retired node") },
        Ask::Grants { name: text("document"), seq: 110 },
        Ask::Proved { seq: 111 },
        Ask::Found,
        Ask::Begin(begin()),
        Ask::Commit(commit()),
        Ask::Abort { key: key(), job: job(), nonce: 112, budget: Some(budget()) },
        Ask::Note { key: key(), epoch: 113, kv: kv() },
        Ask::Look { key: key() },
        Ask::End { key: key() },
        Ask::Expire { key: key() },
        Ask::Reserve { budget: budget(), entry: text("entry"), amount: 114, limit: 115, key: key(), job: job(), nonce: 116, keep: 117 },
        Ask::Settle { budget: budget(), entry: text("entry"), used: Some(118) },
        Ask::Tend { key: key() },
        Ask::News { service: text("service"), reports: vec![report()], same: texts("same"), relay: true },
        Ask::SweepDone { layout: 119, disk: text("swept disk") },
        Ask::SweepNow,
        Ask::Chain,
        Ask::InFlight { by_site: true },
    ];
    asks.extend(register_requests().into_iter().map(Ask::Reg));
    asks.extend(register_requests().into_iter().map(|request| Ask::Register { disk: text("register disk"), request }));
    asks.extend(lease_calls().into_iter().map(|call| Ask::Lease(lease_ask(call))));
    asks
}

pub fn tells() -> Vec<Tell> {
    let mut tells = vec![
        Tell::No(Code::StoreAway),
        Tell::Ok,
        Tell::InFlight,
        Tell::Probe { dig: 201, nodes: nodes(), wall: 202 },
        Tell::Second { heard: true },
        Tell::Table { nodes: nodes() },
        Tell::OtherDisk { disk: text("other disk") },
        Tell::Newer { newest: vec![(text("newest"), 203)], sure: true, behind: true, departed: texts("departed") },
        Tell::Doc { seq: 204, epoch: ballot() },
        Tell::Adopted { seq: 205 },
        Tell::Grants { seq: 206, fronts: vec![(text("front"), 207)], proved: 208 },
        Tell::Begun(Begun { epoch: 209, kv: kv(), hist: 210, whole: true }),
        Tell::Kept { code: Code::Forgotten },
        Tell::Committed,
        Tell::Ended { kv: kv() },
        Tell::Look { open: vec![(text("open"), 211)], done: vec![(text("done"), 212, 213)] },
        Tell::Swept { done: true, left: 214, kept: 215, disk: text("swept disk") },
        Tell::Chain,
    ];
    tells.extend(register_replies().into_iter().map(Tell::Reg));
    tells.extend(register_replies().into_iter().map(|reply| Tell::Register { disk: text("register disk"), reply }));
    tells.extend(put_answers().into_iter().map(Tell::Order));
    tells.extend(retire_answers().into_iter().map(Tell::Retire));
    tells.extend(verdicts().into_iter().map(|verdict| Tell::Lease(lease_tell(verdict))));
    tells
}

fn group(name: &str, since: u64) -> Group {
    Group { now: texts(&format!("{name} now")), old: texts(&format!("{name} old")), since }
}

pub fn layout() -> Layout {
    Layout {
        core: group("core", 301),
        store: group("store", 302),
        names: [(text("named disk"), text("machine"))].into(),
        sites: [(text("placed disk"), text("site"))].into(),
        turn: 303,
        retired: [text("retired machine")].into(),
        term: 304,
    }
}

pub fn list() -> List {
    let listed = Listed {
        server: text("listed server"),
        service: text("listed service"),
        addr: "10.0.0.4:311".parse().unwrap(),
        site: text("listed site"),
        leaving: true,
    };
    List { rev: 312, term: 313, servers: vec![listed] }
}

pub fn configuration() -> ConfigDoc {
    let order = |number: u64| TakenOrder { number, digest: format!("digest {number}"), taken_ms: number + 100 };
    ConfigDoc {
        text: text("configuration text"),
        put: text("put id"),
        note: text("note"),
        past: vec![(321, text("past put"), text("past text"))],
        number: 322,
        forgotten: 323,
        orders: vec![order(324), order(325)],
    }
}

pub fn held_key() -> HeldKey {
    HeldKey { key: text("held key"), seq: 331, bytes: 332, kv: Some(kv()) }
}

pub fn kept_grant() -> KeptGrant {
    KeptGrant { term: 341, holder: Some(candidate()), seats: 342 }
}

pub fn open_entry() -> Open {
    Open { amount: 351, key: text("open key"), job: text("open job"), nonce: 352, at: 353, keep: 354 }
}

pub fn kept_outcome() -> Kept {
    let stamp = Stamp {
        service: text("stamp service"),
        server: text("stamp server"),
        inst: 361,
        weights: text("stamp weights"),
        job: text("stamp job"),
    };
    Kept { text: text("kept text"), digest: text("kept digest"), prompt: 362, reused: 363, output: 364, stamp }
}

/// A session's record with a line of each kind. `olds` is private and counted by `Record::write`.
pub fn record() -> Record {
    let running = Run {
        job: text("running job"),
        digest: text("running digest"),
        nonce: 371,
        front: text("running front"),
        until: 372,
        max_out: 373,
        budget: Some(text("running budget")),
    };
    let mark = Mark { job: text("mark job"), digest: text("mark digest"), nonce: 374, code: Code::Expired, used: 375 };
    let mut head = Head::default();
    head.epoch = 376;
    head.running = Some(running);
    head.marks = [mark].into();
    head.kept = [(text("kept job"), text("kept outcome"))].into();
    head.kv = kv();
    head.touched = 377;
    head.keep = 378;
    head.barred = [379].into();
    Record { hist: b"history 1\nhistory 2\n".to_vec(), old: b"0123456789abcdef\n".to_vec(), head }
}

fn rows() -> Vec<Row> {
    let turn = Turn {
        id: text("turn"),
        prev: text("turn before"),
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"OUT"),
        server: text("turn server"),
        tokens: 401,
        retain_ms: 402,
    };
    vec![Row { turn: Arc::new(turn), program: text("row program"), end: 403 }]
}

fn entries() -> Vec<(String, Entry)> {
    vec![(text("open entry"), Entry::Open(411)), (text("done entry"), Entry::Done(412))]
}

fn ledger() -> LedgerRow {
    LedgerRow { program: text("ledger program"), epoch: ballot(), entries: entries(), keep: 413 }
}

fn whats() -> Vec<What> {
    vec![
        What::Open { program: text("program"), turn: text("turn"), max: 421, budget: Some(422), need: text("need"), take: true },
        What::Find { id: text("id") },
        What::Take { ledger: ledger() },
        What::Add { ledger: ledger() },
        What::Write { rows: rows(), ledger: Some(ledger()) },
        What::Have { ids: vec![0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10, 424] },
        What::Push { rows: rows(), ledgers: vec![ledger()] },
        What::Mend,
    ]
}

pub fn chain_asks() -> Vec<ChainAsk> {
    whats().into_iter().map(|what| ChainAsk { lay: 431, disk: text("chain disk"), left: 432, what }).collect()
}

/// The names under which the fixtures list the questions; a new one doesn't compile without a name here.
pub fn chain_ask_name(ask: &ChainAsk) -> &'static str {
    match &ask.what {
        What::Open { .. } => "Open",
        What::Find { .. } => "Find",
        What::Take { .. } => "Take",
        What::Add { .. } => "Add",
        What::Write { .. } => "Write",
        What::Have { .. } => "Have",
        What::Push { .. } => "Push",
        What::Mend => "Mend",
    }
}

pub fn tolds() -> Vec<Told> {
    vec![
        Told::Ok,
        Told::Away,
        Told::Newer(441),
        Told::Opened { rows: rows() },
        Told::Spent,
        Told::Unknown,
        Told::Owner(text("owner")),
        Told::Rows(rows()),
        Told::No,
        Told::Taken(entries()),
        Told::Refused(ballot()),
        Told::Lacks(text("lacking")),
        Told::Have(vec![true, false]),
    ]
}

pub fn told_name(told: &Told) -> &'static str {
    match told {
        Told::Ok => "Ok",
        Told::Away => "Away",
        Told::Newer(_) => "Newer",
        Told::Opened { .. } => "Opened",
        Told::Spent => "Spent",
        Told::Unknown => "Unknown",
        Told::Owner(_) => "Owner",
        Told::Rows(_) => "Rows",
        Told::No => "No",
        Told::Taken(_) => "Taken",
        Told::Refused(_) => "Refused",
        Told::Lacks(_) => "Lacks",
        Told::Have(_) => "Have",
    }
}

pub fn ledger_entries() -> Vec<Entry> {
    vec![Entry::Open(411), Entry::Done(412)]
}

pub fn entry_name(entry: &Entry) -> &'static str {
    match entry {
        Entry::Open(_) => "Open",
        Entry::Done(_) => "Done",
    }
}

pub fn log_items() -> Vec<Item> {
    vec![Item::Turn(rows().remove(0)), Item::Ledger(ledger(), 451), Item::Torn(452, 453)]
}

pub fn item_name(item: &Item) -> &'static str {
    match item {
        Item::Turn(_) => "Turn",
        Item::Ledger(..) => "Ledger",
        Item::Torn(..) => "Torn",
    }
}

pub fn loads() -> Vec<ServerLoad> {
    vec![ServerLoad { server: ServerKey::of("loaded server"), load: Load { in_flight: 461, ejected_by: 462 } }]
}
