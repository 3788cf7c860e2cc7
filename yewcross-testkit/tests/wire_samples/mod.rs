//! One value for each variant of each message. No field holds its default, and within a message no
//! two fields hold the same, so that a field which is lost or swapped shows. Every struct is
//! written out without `..`: a new field has to be given a value here before this compiles.

use bytes::Bytes;
use std::sync::Arc;
use yewcross_common::configuration::{InvalidSetting, Rule};
use yewcross_common::error_code::Code;
use yewcross_common::membership::{MemberState, Node};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::lease::*;
use yewcross_common::protocol::operator_orders::{PutAnswer, RetireOutcome};
use yewcross_common::protocol::*;
use yewcross_common::register::{Ballot, RegisterReply, RegisterRequest};
use yewcross_common::turn_log::Turn;
use yewcross_common::turn_log::{
    LedgerEntry, LedgerRecord, StoredTurn, TurnLogOperation, TurnLogRequest, TurnLogResponse,
};
use yewcross_control::lease::PersistedGrant;
use yewcross_proxy::back::Stamp;
use yewcross_proxy::balance::Load;
use yewcross_proxy::load_exchange::{ServerKey, ServerLoad};
use yewcross_proxy::turn::TurnOutcome;
use yewcross_state::records::{
    FinishedRequest, Reservation, RunningTurn, SessionMetadata, SessionRecord,
};
use yewcross_state::segment_log::{LogRecord, TornEnd};

fn text(value: &str) -> String {
    value.into()
}

fn texts(value: &str) -> Vec<String> {
    vec![format!("{value} 1"), format!("{value} 2")]
}

fn ballot() -> Ballot {
    Ballot {
        number: 501,
        proposer_id: 502,
    }
}

fn nodes() -> Vec<Node> {
    vec![Node {
        name: text("node name"),
        incarnation: 601,
        refutations: 602,
        state: MemberState::Suspect,
        role: Role::Store,
        site: text("node site"),
        peer: "10.0.0.1:611".parse().unwrap(),
        http: "10.0.0.2:612".parse().unwrap(),
        disk: text("node disk"),
        wire_version: 3,
    }]
}

fn place(name: &str, number: u64) -> CachedPrefix {
    CachedPrefix {
        server: format!("{name} server"),
        instance: number + 1,
        weights: format!("{name} weights"),
        tokens: number + 2,
        digest: format!("{name} digest"),
        placed_tokens: number + 3,
    }
}

fn kv() -> SessionCacheState {
    SessionCacheState {
        home: Some(place("home", 710)),
        replica: Some(place("replica", 720)),
        program: text("kv program"),
    }
}

pub fn report() -> LoadReport {
    LoadReport {
        service: text("reported service"),
        server: text("reporting server"),
        instance: 801,
        sequence: 802,
        slots: 803,
        running: 804,
        waiting: 805,
        weights: text("reported weights"),
        leaving: true,
        placed_tokens: 806,
        cache_tokens: 807,
        prefill_us_per_1000: 808,
        decode_us_per_token: 809,
        age_us: 810,
    }
}

pub fn register_requests() -> Vec<RegisterRequest> {
    let key = || text("register key");
    let epoch = ballot();
    vec![
        RegisterRequest::Promise {
            key: key(),
            ballot: epoch,
            layout_version: 11,
        },
        RegisterRequest::Accept {
            key: key(),
            ballot: epoch,
            seq: 12,
            layout_version: 11,
            delta: true,
        },
        RegisterRequest::Fill {
            key: key(),
            ballot: epoch,
            seq: 12,
            layout_version: 11,
        },
        RegisterRequest::Confirm {
            key: key(),
            ballot: epoch,
            layout_version: 11,
        },
        RegisterRequest::Report {
            key: key(),
            layout_version: 11,
            have: (epoch, 13),
        },
        RegisterRequest::Erase {
            key: key(),
            ballot: epoch,
            seq: 12,
            layout_version: 11,
        },
    ]
}

pub fn register_replies() -> Vec<RegisterReply> {
    vec![
        RegisterReply::Promised {
            accepted: ballot(),
            seq: 14,
        },
        RegisterReply::Accepted,
        RegisterReply::Reported {
            accepted: ballot(),
            seq: 14,
        },
        RegisterReply::Rejected { promised: ballot() },
        RegisterReply::StaleLayout,
        RegisterReply::Damaged,
        RegisterReply::Unavailable,
        RegisterReply::OtherDisk,
        RegisterReply::NeedsFullValue,
    ]
}

pub fn lease_calls() -> Vec<LeaseOperation> {
    vec![
        LeaseOperation::Check,
        LeaseOperation::Request { term: 21 },
        LeaseOperation::Renew {
            term: 21,
            round: 22,
            confirmed: 23,
        },
        LeaseOperation::Release { term: 21 },
    ]
}

pub fn refusals() -> Vec<LeaseDenial> {
    vec![
        LeaseDenial::OtherDisk,
        LeaseDenial::OtherReplicas,
        LeaseDenial::OldTerm,
        LeaseDenial::NotFree,
        LeaseDenial::Unconfirmed,
        LeaseDenial::DiskFailed,
    ]
}

pub fn verdicts() -> Vec<LeaseVerdict> {
    vec![
        LeaseVerdict::Free,
        LeaseVerdict::Held,
        LeaseVerdict::Granted,
        LeaseVerdict::Released,
        LeaseVerdict::Refused(LeaseDenial::OldTerm),
    ]
}

fn candidate() -> Candidate {
    Candidate {
        disk: text("candidate disk"),
        process: 31,
        incarnation: 32,
    }
}

fn lease_ask(call: LeaseOperation) -> LeaseRequest {
    LeaseRequest {
        granter: text("granter disk"),
        candidate: candidate(),
        replicas_digest: 33,
        operation: call,
        wants_holder: true,
    }
}

fn lease_tell(verdict: LeaseVerdict) -> LeaseResponse {
    let versions = vec![(text("version of"), 34)];
    LeaseResponse {
        granter: text("granter disk"),
        term: 35,
        verdict,
        versions,
        holder: Some(candidate()),
    }
}

pub fn put_answers() -> Vec<PutAnswer> {
    vec![
        PutAnswer::InForce(41),
        PutAnswer::Conflict(42),
        PutAnswer::Invalid(vec![InvalidSetting {
            path: text("bad path"),
            reason: text("bad why"),
        }]),
        PutAnswer::NotBootstrapped,
        PutAnswer::NoMajority,
        PutAnswer::Busy,
        PutAnswer::Undecided,
        PutAnswer::Forgotten,
    ]
}

pub fn retire_answers() -> Vec<RetireOutcome> {
    vec![
        RetireOutcome::Begun,
        RetireOutcome::Unknown,
        RetireOutcome::TooFew,
        RetireOutcome::Unavailable,
    ]
}

pub fn rules() -> Vec<Rule> {
    vec![Rule::All, Rule::Turns(51), Rule::Tokens(52)]
}

pub fn states() -> Vec<MemberState> {
    vec![
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Removed,
    ]
}

pub fn roles() -> Vec<Role> {
    vec![Role::Front, Role::Core, Role::Store]
}

fn begin() -> BeginTurn {
    BeginTurn {
        key: text("begin key"),
        request_id: text("begin job"),
        digest: text("begin digest"),
        nonce: 61,
        front: text("begin front"),
        remaining_ms: 62,
        budget: Some((text("begin budget"), 63)),
        max_output_tokens: 64,
        retain_ms: 65,
        known_history: Some((66, text("hand digest"))),
    }
}

fn commit() -> CommitTurn {
    CommitTurn {
        key: text("commit key"),
        request_id: text("commit job"),
        epoch: 71,
        nonce: 72,
        code: Code::BudgetSpent,
        used_tokens: 73,
        history_rule: Rule::Tokens(74),
        cache: kv(),
        history_bytes: 75,
    }
}

pub fn asks() -> Vec<PeerRequest> {
    let epoch = ballot();
    let (key, job, budget) = (|| text("a key"), || text("a job"), || text("a budget"));
    let mut asks = vec![
        PeerRequest::Probe {
            digest: 101,
            nodes: nodes(),
        },
        PeerRequest::MembershipUpdate { nodes: nodes() },
        PeerRequest::ProbeOnBehalf {
            target: "10.0.0.3:102".parse().unwrap(),
        },
        PeerRequest::ExchangeMembership { nodes: nodes() },
        PeerRequest::PollDocuments {
            known: vec![(text("held"), 103)],
            front: true,
            leaving_digest: 104,
        },
        PeerRequest::ReadDecidedDocument {
            name: text("document"),
            hops: 105,
        },
        PeerRequest::FetchDocument {
            name: text("document"),
            newer_than: 106,
        },
        PeerRequest::PublishDocument {
            name: text("document"),
            version: 107,
            ballot: epoch,
            relays: texts("relay"),
        },
        PeerRequest::PublishDelta {
            name: text("document"),
            version: 107,
            ballot: epoch,
            base: 108,
            base_digest: text("base digest"),
            relays: texts("relay"),
        },
        PeerRequest::ServersLeaving {
            servers: texts("server"),
            relays: texts("relay"),
        },
        PeerRequest::ForwardPut { base: 109 },
        PeerRequest::ForwardRetire {
            node: text("retired node"),
        },
        PeerRequest::CollectServingLeases {
            name: text("document"),
            version: 110,
        },
        PeerRequest::AnnounceInForce { version: 111 },
        PeerRequest::Bootstrap,
        PeerRequest::BeginTurn(begin()),
        PeerRequest::CommitTurn(commit()),
        PeerRequest::AbortTurn {
            key: key(),
            request_id: job(),
            nonce: 112,
            budget: Some(budget()),
        },
        PeerRequest::RecordCacheState {
            key: key(),
            epoch: 113,
            cache: kv(),
        },
        PeerRequest::InspectSession { key: key() },
        PeerRequest::EndSession { key: key() },
        PeerRequest::ExpireSession { key: key() },
        PeerRequest::ReserveBudget {
            budget: budget(),
            entry: text("entry"),
            amount: 114,
            limit: 115,
            key: key(),
            request_id: job(),
            nonce: 116,
            retain_ms: 117,
        },
        PeerRequest::SettleBudget {
            budget: budget(),
            entry: text("entry"),
            used: Some(118),
        },
        PeerRequest::RepairKey { key: key() },
        PeerRequest::LoadReports {
            service: text("service"),
            reports: vec![report()],
            same: texts("same"),
            relay: true,
        },
        PeerRequest::SweepProgress {
            layout: 119,
            disk: text("swept disk"),
        },
        PeerRequest::StartSweep,
        PeerRequest::TurnLog,
        PeerRequest::ExchangeLoads { by_site: true },
    ];
    asks.extend(
        register_requests()
            .into_iter()
            .map(PeerRequest::UnnamedRegister),
    );
    asks.extend(
        register_requests()
            .into_iter()
            .map(|request| PeerRequest::Register {
                disk: text("register disk"),
                request,
            }),
    );
    asks.extend(
        lease_calls()
            .into_iter()
            .map(|call| PeerRequest::Lease(lease_ask(call))),
    );
    asks
}

pub fn tells() -> Vec<PeerResponse> {
    let mut tells = vec![
        PeerResponse::Rejected(Code::StoreAway),
        PeerResponse::Ok,
        PeerResponse::Loads,
        PeerResponse::Probe {
            digest: 201,
            nodes: nodes(),
            wall_clock_ms: 202,
        },
        PeerResponse::ProbeOnBehalf { reachable: true },
        PeerResponse::Membership { nodes: nodes() },
        PeerResponse::OtherDisk {
            disk: text("other disk"),
        },
        PeerResponse::DocumentVersions {
            newest: vec![(text("newest"), 203)],
            authoritative: true,
            behind: true,
            leaving: texts("departed"),
        },
        PeerResponse::Document {
            version: 204,
            ballot: ballot(),
        },
        PeerResponse::DocumentApplied { version: 205 },
        PeerResponse::ServingLeases {
            version: 206,
            fronts: vec![(text("front"), 207)],
            in_force: 208,
        },
        PeerResponse::TurnBegun(TurnBegun {
            epoch: 209,
            cache: kv(),
            history_bytes: 210,
            history_complete: true,
        }),
        PeerResponse::StoredOutcome {
            code: Code::Forgotten,
        },
        PeerResponse::Committed,
        PeerResponse::SessionEnded { cache: kv() },
        PeerResponse::SessionReservations {
            open: vec![(text("open"), 211)],
            done: vec![(text("done"), 212, 213)],
        },
        PeerResponse::SweepProgress {
            done: true,
            left: 214,
            newest_layout: 215,
            disk: text("swept disk"),
        },
        PeerResponse::TurnLog,
    ];
    tells.extend(
        register_replies()
            .into_iter()
            .map(PeerResponse::UnnamedRegister),
    );
    tells.extend(
        register_replies()
            .into_iter()
            .map(|reply| PeerResponse::Register {
                disk: text("register disk"),
                reply,
            }),
    );
    tells.extend(put_answers().into_iter().map(PeerResponse::PutAnswer));
    tells.extend(retire_answers().into_iter().map(PeerResponse::RetireAnswer));
    tells.extend(
        verdicts()
            .into_iter()
            .map(|verdict| PeerResponse::Lease(lease_tell(verdict))),
    );
    tells
}

fn group(name: &str, since: u64) -> ReplicaGroup {
    ReplicaGroup {
        current: texts(&format!("{name} now")),
        previous: texts(&format!("{name} old")),
        layout_number: since,
    }
}

pub fn layout() -> Layout {
    Layout {
        core: group("core", 301),
        store: group("store", 302),
        names: [(text("named disk"), text("machine"))].into(),
        sites: [(text("placed disk"), text("site"))].into(),
        change_started: 303,
        retired: [text("retired machine")].into(),
        term: 304,
    }
}

pub fn list() -> ServerList {
    let listed = ListedServer {
        server: text("listed server"),
        service: text("listed service"),
        addr: "10.0.0.4:311".parse().unwrap(),
        site: text("listed site"),
        leaving: true,
    };
    ServerList {
        revision: 312,
        term: 313,
        servers: vec![listed],
    }
}

pub fn configuration() -> ConfigDoc {
    let order = |number: u64| AcceptedOrder {
        number,
        digest: format!("digest {number}"),
        accepted_ms: number + 100,
    };
    ConfigDoc {
        text: text("configuration text"),
        put_id: text("put id"),
        note: text("note"),
        superseded: vec![(321, text("past put"), text("past text"))],
        number: 322,
        highest_dropped: 323,
        orders: vec![order(324), order(325)],
    }
}

pub fn held_key() -> CheckpointKey {
    CheckpointKey {
        key: text("held key"),
        seq: 331,
        bytes: 332,
        kv: Some(kv()),
    }
}

pub fn kept_grant() -> PersistedGrant {
    PersistedGrant {
        term: 341,
        holder: Some(candidate()),
        voters_digest: 342,
    }
}

pub fn open_entry() -> Reservation {
    Reservation {
        amount: 351,
        key: text("open key"),
        request_id: text("open job"),
        nonce: 352,
        at: 353,
        session_retain_ms: 354,
    }
}

pub fn kept_outcome() -> TurnOutcome {
    let stamp = Stamp {
        service: text("stamp service"),
        server: text("stamp server"),
        inst: 361,
        weights: text("stamp weights"),
        job: text("stamp job"),
    };
    TurnOutcome {
        text: text("kept text"),
        digest: text("kept digest"),
        prompt: 362,
        reused: 363,
        output: 364,
        stamp,
    }
}

/// A session's record with a line of each kind. `bare_id_lines` is private and counted by
/// `SessionRecord::write`.
pub fn record() -> SessionRecord {
    let running = RunningTurn {
        request_id: text("running job"),
        digest: text("running digest"),
        nonce: 371,
        proxy: text("running front"),
        deadline_ms: 372,
        max_output_tokens: 373,
        budget: Some(text("running budget")),
    };
    let mark = FinishedRequest {
        request_id: text("mark job"),
        digest: text("mark digest"),
        nonce: 374,
        code: Code::Expired,
        used: 375,
    };
    let mut head = SessionMetadata::default();
    head.epoch = 376;
    head.running = Some(running);
    head.finished = [mark].into();
    head.retained_outcomes = [(text("kept job"), text("kept outcome"))].into();
    head.cache = kv();
    head.retention_start_ms = 377;
    head.retain_ms = 378;
    head.barred = [379].into();
    SessionRecord {
        history: b"history 1\nhistory 2\n".to_vec(),
        request_id_hashes: b"0123456789abcdef\n".to_vec(),
        metadata: head,
    }
}

fn rows() -> Vec<StoredTurn> {
    let turn = Turn {
        id: text("turn"),
        prev: text("turn before"),
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"OUT"),
        server: text("turn server"),
        tokens: 401,
        retain_ms: 402,
    };
    vec![StoredTurn {
        turn: Arc::new(turn),
        program: text("row program"),
        ended_at_ms: 403,
    }]
}

fn entries() -> Vec<(String, LedgerEntry)> {
    vec![
        (text("open entry"), LedgerEntry::Open(411)),
        (text("done entry"), LedgerEntry::Done(412)),
    ]
}

fn ledger() -> LedgerRecord {
    LedgerRecord {
        program: text("ledger program"),
        epoch: ballot(),
        entries: entries(),
        retain_ms: 413,
    }
}

fn whats() -> Vec<TurnLogOperation> {
    vec![
        TurnLogOperation::OpenTurn {
            program: text("program"),
            turn: text("turn"),
            max_output_tokens: 421,
            budget: Some(422),
            parent: text("need"),
            take_over: true,
        },
        TurnLogOperation::FindHistory { id: text("id") },
        TurnLogOperation::AcquireLedger { ledger: ledger() },
        TurnLogOperation::AppendEntries { ledger: ledger() },
        TurnLogOperation::StoreTurns {
            rows: rows(),
            ledger: Some(ledger()),
        },
        TurnLogOperation::ContainsTurns {
            ids: vec![0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10, 424],
        },
        TurnLogOperation::TransferRecords {
            rows: rows(),
            ledgers: vec![ledger()],
        },
        TurnLogOperation::Repair,
    ]
}

pub fn chain_asks() -> Vec<TurnLogRequest> {
    whats()
        .into_iter()
        .map(|what| TurnLogRequest {
            layout_version: 431,
            disk: text("chain disk"),
            timeout_us: 432,
            operation: what,
        })
        .collect()
}

/// The names under which the fixtures list the questions; a new one doesn't compile without a name
/// here.
pub fn chain_ask_name(ask: &TurnLogRequest) -> &'static str {
    match &ask.operation {
        TurnLogOperation::OpenTurn { .. } => "Open",
        TurnLogOperation::FindHistory { .. } => "Find",
        TurnLogOperation::AcquireLedger { .. } => "Take",
        TurnLogOperation::AppendEntries { .. } => "Add",
        TurnLogOperation::StoreTurns { .. } => "Write",
        TurnLogOperation::ContainsTurns { .. } => "Have",
        TurnLogOperation::TransferRecords { .. } => "Push",
        TurnLogOperation::Repair => "Mend",
    }
}

pub fn tolds() -> Vec<TurnLogResponse> {
    vec![
        TurnLogResponse::Ok,
        TurnLogResponse::Unavailable,
        TurnLogResponse::NewerLayout(441),
        TurnLogResponse::Opened { rows: rows() },
        TurnLogResponse::BudgetSpent,
        TurnLogResponse::UnknownTurn,
        TurnLogResponse::Owner(text("owner")),
        TurnLogResponse::History(rows()),
        TurnLogResponse::NotStored,
        TurnLogResponse::LedgerAcquired(entries()),
        TurnLogResponse::StaleEpoch(ballot()),
        TurnLogResponse::MissingParent(text("lacking")),
        TurnLogResponse::Contains(vec![true, false]),
    ]
}

pub fn told_name(told: &TurnLogResponse) -> &'static str {
    match told {
        TurnLogResponse::Ok => "Ok",
        TurnLogResponse::Unavailable => "Away",
        TurnLogResponse::NewerLayout(_) => "Newer",
        TurnLogResponse::Opened { .. } => "Opened",
        TurnLogResponse::BudgetSpent => "Spent",
        TurnLogResponse::UnknownTurn => "Unknown",
        TurnLogResponse::Owner(_) => "Owner",
        TurnLogResponse::History(_) => "Rows",
        TurnLogResponse::NotStored => "No",
        TurnLogResponse::LedgerAcquired(_) => "Taken",
        TurnLogResponse::StaleEpoch(_) => "Refused",
        TurnLogResponse::MissingParent(_) => "Lacks",
        TurnLogResponse::Contains(_) => "Have",
    }
}

pub fn ledger_entries() -> Vec<LedgerEntry> {
    vec![LedgerEntry::Open(411), LedgerEntry::Done(412)]
}

pub fn entry_name(entry: &LedgerEntry) -> &'static str {
    match entry {
        LedgerEntry::Open(_) => "Open",
        LedgerEntry::Done(_) => "Done",
    }
}

pub fn log_items() -> Vec<LogRecord> {
    vec![
        LogRecord::Turn(rows().remove(0)),
        LogRecord::Ledger {
            record: ledger(),
            changed_at_ms: 451,
        },
        LogRecord::Torn(TornEnd {
            segment: 452,
            valid_bytes: 453,
        }),
    ]
}

pub fn item_name(item: &LogRecord) -> &'static str {
    match item {
        LogRecord::Turn(_) => "Turn",
        LogRecord::Ledger { .. } => "Ledger",
        LogRecord::Torn(..) => "Torn",
    }
}

pub fn loads() -> Vec<ServerLoad> {
    vec![ServerLoad {
        server: ServerKey::of("loaded server"),
        load: Load {
            in_flight: 461,
            ejected_by: 462,
        },
    }]
}
