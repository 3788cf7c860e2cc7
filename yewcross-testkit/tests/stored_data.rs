//! Data folders written by an earlier state of the code are read by this one, and what is stored
//! keeps its bytes.
//!
//! A rename in the code must not reach the disks: names of stored fields, order of stored variants,
//! names of files. The fixtures below `fixtures/disk/` are the folders of a small tier, what that
//! tier had acknowledged, and one sample of each stored struct. They are written only where
//! `YEWCROSS_WRITE_FIXTURES=1` is set, and the test that writes them then fails.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex, OnceLock};
use strum::IntoEnumIterator;
use yewcross_common::configuration::{Budget, Configuration, ProgramClass, Rule, Service};
use yewcross_common::constants::*;
use yewcross_common::documents::cache::replicas_by_preference;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::lease::*;
use yewcross_common::protocol::*;
use yewcross_common::register::{Ballot, RegisterReply, RegisterRequest, Replica};
use yewcross_common::runtime::{BoxFuture, Runtime};
use yewcross_common::storage::{DurableStorage, encode_frame};
use yewcross_common::turn_log::Turn;
use yewcross_common::turn_log::messages::{decode, encode};
use yewcross_common::turn_log::{LedgerEntry, LedgerRecord, StoredTurn};
use yewcross_control::Control;
use yewcross_control::api::{PutAnswer, ReadAnswer};
use yewcross_control::lease::PersistedGrant;
use yewcross_state::records::{
    BudgetRecord, FinishedRequest, Reservation, RunningTurn, SessionMetadata, SessionRecord,
    budget_key,
};
use yewcross_state::segment_log::{self, LogRecord, TornEnd};
use yewcross_state::turn_store::TurnIndex;
use yewcross_testkit::proof::{TestCluster, with_cluster};
use yewcross_testkit::sim::Sim;
use yewcross_testkit::tier::{Tier, boot_and_wait, format_log, run_script};

/// Files of a folder, or named values, in the order of their names.
type Files = BTreeMap<String, Vec<u8>>;

const COUNTS: [usize; 3] = [4, 4, 1];
const SESSION: &str = "session/program/one";
const BUDGET: &str = "purse";
/// Bytes of a batch of the log that a loss of power cut short.
const TORN_BYTES: usize = 9;

// ---- Fixture files: a line is a name, a tab, and the content in hex.

fn fixture_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/disk")
        .join(name)
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

fn write_fixture(name: &str, files: &Files) {
    let lines: String = files
        .iter()
        .map(|(path, bytes)| format!("{path}\t{}\n", to_hex(bytes)))
        .collect();
    std::fs::write(fixture_path(name), lines).unwrap();
}

/// Reads a fixture, after all were written anew where that is asked for.
fn read_fixture(name: &str) -> Files {
    let written = written_anew();
    let text = std::fs::read_to_string(fixture_path(name)).unwrap();
    let files = text
        .lines()
        .map(|line| line.split_once('\t').unwrap())
        .map(|(path, hex)| (path.into(), from_hex(hex)))
        .collect();
    assert!(
        !written,
        "fixtures were written anew: look at what changed, and run the test without YEWCROSS_WRITE_FIXTURES"
    );
    files
}

fn written_anew() -> bool {
    static WRITTEN: OnceLock<bool> = OnceLock::new();
    *WRITTEN.get_or_init(|| {
        let asked = std::env::var("YEWCROSS_WRITE_FIXTURES").is_ok_and(|value| value == "1");
        if asked {
            write_folders();
            write_operated_folder();
            write_fixture("samples.txt", &samples());
        }
        asked
    })
}

/// Text of a fixture's value.
fn text_of(files: &Files, name: &str) -> String {
    let bytes = files
        .get(name)
        .unwrap_or_else(|| panic!("{name} is not in the fixture"));
    String::from_utf8(bytes.clone()).unwrap()
}

// ---- Machines and their files.

/// Runs a task as a process of its own on the machine, and ends that process.
fn run_on<T: Send + 'static>(
    sim: &Sim,
    machine: usize,
    task: impl FnOnce(Runtime) -> BoxFuture<'static, T>,
) -> T {
    let world = sim.boot(machine);
    let done: Arc<Mutex<Option<T>>> = Default::default();
    let (result, task) = (done.clone(), task(world.clone()));
    world.spawn(async move {
        let outcome = task.await;
        *result.lock().unwrap() = Some(outcome);
    });
    sim.run(sim.now() + 60 * SEC, || done.lock().unwrap().is_some());
    sim.kill(machine, false);
    let outcome = done.lock().unwrap().take();
    outcome.expect("the task ends")
}

/// Folders of a data disk as they have always been named.
fn stored_folders() -> Vec<String> {
    let shards = (0..64).map(|shard| format!("keys/{shard:02x}"));
    ["local", "chain", "keys"]
        .into_iter()
        .map(String::from)
        .chain(shards)
        .collect()
}

fn files_of(sim: &Sim, machine: usize) -> Files {
    let names = sim.disk(machine, |disk| disk.files_under(""));
    run_on(sim, machine, move |w| {
        Box::pin(async move {
            let mut files = Files::new();
            for name in names {
                let bytes = w.read_file(&name).await.unwrap();
                files.insert(name, bytes);
            }
            files
        })
    })
}

fn fill(sim: &Sim, machine: usize, files: Files) {
    run_on(sim, machine, move |w| {
        Box::pin(async move {
            for folder in stored_folders() {
                w.mkdir(&folder).await.unwrap();
            }
            for (path, bytes) in files {
                w.write_file(&path, bytes).await.unwrap();
                w.sync(&path).await.unwrap();
            }
            for folder in stored_folders().iter().map(String::as_str).chain([""]) {
                w.sync(folder).await.unwrap();
            }
        })
    })
}

/// The files of one machine of a fixture.
fn folder_of(fixture: &Files, machine: &str) -> Files {
    let prefix = format!("{machine}/");
    fixture
        .iter()
        .filter_map(|(path, bytes)| Some((path.strip_prefix(&prefix)?.to_string(), bytes.clone())))
        .collect()
}

fn machines_with_disks() -> Vec<String> {
    ["core", "store"]
        .into_iter()
        .flat_map(|tag| (1..=4).map(move |n| format!("{tag}{n}")))
        .collect()
}

fn stored_folder(machine: &str) -> Files {
    let role = machine.trim_end_matches(char::is_numeric);
    folder_of(&read_fixture(&format!("{role}.txt")), machine)
}

/// One machine that holds the files, and no process yet.
fn machine_with(files: Files) -> (Sim, usize) {
    let sim = Sim::new(1, 900);
    let machine = sim.add_machine("m", "z1", IpAddr::from([10, 1, 0, 1]));
    fill(&sim, machine, files);
    (sim, machine)
}

/// A tier of machines that hold the stored folders, and no process yet.
fn stored_tier(seed: u64) -> Arc<Tier> {
    let tier = Tier::new(seed, COUNTS, 1);
    for name in machines_with_disks() {
        fill(&tier.sim, tier.sim.find(&name), stored_folder(&name));
    }
    tier
}

// ---- What is told in words of this test alone, so that no rename in the code changes them.

fn tell_group(group: &ReplicaGroup) -> String {
    format!(
        "now {} old {} since {}",
        group.current.join(" "),
        group.previous.join(" "),
        group.layout_number
    )
}

fn tell_layout(layout: &Layout) -> String {
    let (core, store) = (tell_group(&layout.core), tell_group(&layout.store));
    let rest = format!(
        "names {:?} sites {:?} retired {:?}",
        layout.names, layout.sites, layout.retired
    );
    format!(
        "core {core}; store {store}; {rest} turn {} term {}",
        layout.change_started, layout.term
    )
}

fn tell_config(document: &ConfigDoc) -> String {
    let orders: Vec<String> = document
        .orders
        .iter()
        .map(|o| format!("{} {} {}", o.number, o.digest, o.accepted_ms))
        .collect();
    let head = format!(
        "number {} text {} put {} note {}",
        document.number, document.text, document.put_id, document.note
    );
    format!(
        "{head} past {:?} forgotten {} orders {orders:?}",
        document.superseded, document.highest_dropped
    )
}

fn tell_list(list: &ServerList) -> String {
    let line = |s: &ListedServer| {
        format!(
            "{} {} {} {} {}",
            s.server, s.service, s.addr, s.site, s.leaving
        )
    };
    let servers: Vec<String> = list.servers.iter().map(line).collect();
    format!(
        "rev {} term {} servers {servers:?}",
        list.revision, list.term
    )
}

fn tell_place(place: &Option<CachedPrefix>) -> String {
    let words = |p: &CachedPrefix| {
        format!(
            "{} {} {} {} {} {}",
            p.server, p.instance, p.weights, p.tokens, p.digest, p.placed_tokens
        )
    };
    place.as_ref().map(words).unwrap_or_default()
}

fn tell_record(record: &SessionRecord) -> String {
    let head = &record.metadata;
    let mark = |m: &FinishedRequest| {
        format!(
            "{} {} {} {} {}",
            m.request_id,
            m.digest,
            m.nonce,
            m.code.number(),
            m.used
        )
    };
    let marks: Vec<String> = head.finished.iter().map(mark).collect();
    let run = |r: &RunningTurn| {
        format!(
            "{} {} {} {} {} {} {:?}",
            r.request_id, r.digest, r.nonce, r.proxy, r.deadline_ms, r.max_output_tokens, r.budget
        )
    };
    let running = head.running.as_ref().map(run).unwrap_or_default();
    let kv = format!(
        "{} / {} / {}",
        tell_place(&head.cache.home),
        tell_place(&head.cache.replica),
        head.cache.program
    );
    let texts = format!(
        "history {} old {}",
        String::from_utf8_lossy(&record.history),
        String::from_utf8_lossy(&record.request_id_hashes)
    );
    let rest = format!(
        "touched {} keep {} barred {:?}",
        head.retention_start_ms, head.retain_ms, head.barred
    );
    format!(
        "{texts} epoch {} running {running} marks {marks:?} kept {:?} kv {kv} {rest}",
        head.epoch, head.retained_outcomes
    )
}

fn tell_purse(purse: &BudgetRecord) -> String {
    let open = |(entry, o): (&String, &Reservation)| {
        format!(
            "{entry}: {} {} {} {} {} {}",
            o.amount, o.key, o.request_id, o.nonce, o.at, o.session_retain_ms
        )
    };
    let open: Vec<String> = purse.open.iter().map(open).collect();
    format!(
        "spent {} open {open:?} settled {:?}",
        purse.spent, purse.settled
    )
}

fn tell_row(row: &StoredTurn) -> String {
    let turn = &row.turn;
    let texts = format!("{:?} {:?} {}", turn.input, turn.output, turn.server);
    format!(
        "{} after {:?}: {texts} {} {} {} {}",
        turn.id, turn.prev, turn.tokens, turn.retain_ms, row.program, row.ended_at_ms
    )
}

fn tell_entry(entry: &LedgerEntry) -> String {
    match entry {
        LedgerEntry::Open(amount) => format!("open {amount}"),
        LedgerEntry::Done(amount) => format!("done {amount}"),
    }
}

fn tell_shelf(shelf: &TurnIndex) -> String {
    let mut lines: Vec<String> = shelf
        .turns
        .values()
        .map(|kept| format!("turn {}", tell_row(&kept.stored)))
        .collect();
    for (program, ledger) in &shelf.ledgers {
        let row = ledger.to_record(program);
        let mut entries: Vec<String> = row
            .entries
            .iter()
            .map(|(turn, entry)| format!("{turn} {}", tell_entry(entry)))
            .collect();
        entries.sort();
        lines.push(format!(
            "ledger {program} {} {} keep {} spent {} {entries:?}",
            row.epoch.number, row.epoch.proposer_id, row.retain_ms, ledger.spent
        ));
    }
    lines.sort();
    lines.join("\n")
}

fn tell_value(key: &str, value: &[u8]) -> String {
    match key {
        "config" => tell_config(&ConfigDoc::decode(value).unwrap()),
        "layout" => tell_layout(&serde_json::from_slice(value).unwrap()),
        "list" => tell_list(&serde_json::from_slice(value).unwrap()),
        SESSION => tell_record(&SessionRecord::read(value)),
        _ => tell_purse(&BudgetRecord::read(value)),
    }
}

/// Registers with a value in the fixtures, and the role that holds them.
fn stored_keys() -> [(&'static str, String); 5] {
    [
        ("core", "config".into()),
        ("core", "layout".into()),
        ("core", "list".into()),
        ("store", SESSION.into()),
        ("store", budget_key(BUDGET)),
    ]
}

// ---- Writing the folders.

fn begin(job: &str, nonce: u64) -> BeginTurn {
    BeginTurn {
        key: SESSION.into(),
        request_id: job.into(),
        digest: format!("digest-{job}"),
        nonce,
        front: "front1".into(),
        remaining_ms: 50_000,
        budget: Some((BUDGET.into(), 1000)),
        max_output_tokens: 100,
        retain_ms: 3_600_000,
        known_history: None,
    }
}

fn place(name: &str, number: u64) -> CachedPrefix {
    CachedPrefix {
        server: name.into(),
        instance: number,
        weights: format!("weights-{name}"),
        tokens: number + 1,
        digest: format!("digest-{name}"),
        placed_tokens: number + 2,
    }
}

fn transfer_state() -> SessionCacheState {
    SessionCacheState {
        home: Some(place("s1", 10)),
        replica: Some(place("s2", 20)),
        program: "program".into(),
    }
}

/// The store that owns a key.
fn owner_of(tier: &Tier, key: &str) -> Arc<Control> {
    let any = tier.control_node("store1").unwrap();
    let at = replicas_by_preference(&any.documents, &any.members, key)[0];
    tier.names_with_role(Role::Store)
        .iter()
        .filter_map(|name| tier.control_node(name))
        .find(|c| c.settings.peer == at)
        .unwrap()
}

async fn ask(tier: &Tier, key: &str, ask: PeerRequest, blob: &[u8]) -> (PeerResponse, Vec<u8>) {
    owner_of(tier, key)
        .record_store
        .handle(ask, blob.to_vec())
        .await
}

/// One turn of the session is finished, and the next runs.
async fn run_session(tier: &Tier) {
    let (PeerResponse::TurnBegun(begun), _) =
        ask(tier, SESSION, PeerRequest::BeginTurn(begin("job1", 1)), &[]).await
    else {
        panic!("not begun")
    };
    let commit = CommitTurn {
        key: SESSION.into(),
        request_id: "job1".into(),
        epoch: begun.epoch,
        nonce: 1,
        code: Code::Done,
        used_tokens: 30,
        history_rule: Rule::All,
        cache: transfer_state(),
        history_bytes: 8,
    };
    let (told, _) = ask(
        tier,
        SESSION,
        PeerRequest::CommitTurn(commit),
        b"\"first\"\n\"outcome\"",
    )
    .await;
    assert!(matches!(told, PeerResponse::Committed), "{told:?}");
    let settle = PeerRequest::SettleBudget {
        budget: BUDGET.into(),
        entry: format!("{SESSION}|job1|1"),
        used: Some(30),
    };
    let (told, _) = ask(tier, &budget_key(BUDGET), settle, &[]).await;
    assert!(matches!(told, PeerResponse::Ok), "{told:?}");
    let (told, _) = ask(tier, SESSION, PeerRequest::BeginTurn(begin("job2", 2)), &[]).await;
    assert!(matches!(told, PeerResponse::TurnBegun(_)), "{told:?}");
}

fn row(id: &str, prev: &str) -> StoredTurn {
    let turn = Turn {
        id: id.into(),
        prev: prev.into(),
        input: Bytes::from(format!("input of {id}")),
        output: Bytes::from(format!("output of {id}\n")),
        server: "s1".into(),
        tokens: 70,
        retain_ms: 900_000_000_000,
    };
    StoredTurn {
        turn: Arc::new(turn),
        program: "p1".into(),
        ended_at_ms: 1_790_000_000_000,
    }
}

fn ledger(program: &str, entry: (&str, LedgerEntry)) -> LogRecord {
    let epoch = Ballot {
        number: 4,
        proposer_id: 6,
    };
    let row = LedgerRecord {
        program: program.into(),
        epoch,
        entries: vec![(entry.0.into(), entry.1)],
        retain_ms: 900_000_000_000,
    };
    LogRecord::Ledger {
        record: row,
        changed_at_ms: 1_790_000_000_000,
    }
}

async fn keep_turns(tier: &Tier, items: Vec<LogRecord>) {
    let store = tier.control_node("store1").unwrap();
    assert_eq!(store.turn_store.append(items).recv().await, Ok(true));
}

/// The last batch that the machine wrote is cut short.
async fn tear_log(tier: &Tier, machine: &str) {
    let world = tier.sim.boot(tier.sim.find(machine));
    let newest = world
        .list("chain")
        .await
        .unwrap()
        .into_iter()
        .max()
        .unwrap();
    let batch = encode_frame(&encode(&vec![ledger("torn", ("t9", LedgerEntry::Open(9)))]));
    let (sent, done) = async_channel::bounded(1);
    world.clone().spawn(async move {
        let appended = world
            .append(&format!("chain/{newest}"), batch[..TORN_BYTES].to_vec())
            .await;
        let _ = sent.try_send(appended.is_ok());
    });
    assert_eq!(done.recv().await, Ok(true));
    tier.kill(machine, false);
}

/// Turns in two segments of the log: the end of the first was torn, and is marked so in the second.
async fn write_log(tier: &Arc<Tier>) {
    let first = vec![
        LogRecord::Turn(row("t1", "")),
        LogRecord::Turn(row("t2", "t1")),
        ledger("p1", ("t1", LedgerEntry::Done(40))),
    ];
    keep_turns(tier, first).await;
    tier.kill("store1", false);
    tear_log(tier, "store1").await;
    tier.boot("store1", false);
    tier.operator.sleep(5 * SEC).await;
    keep_turns(
        tier,
        vec![
            ledger("p1", ("t2", LedgerEntry::Open(50))),
            ledger("p2", ("t3", LedgerEntry::Open(60))),
        ],
    )
    .await;
}

/// What the tier has acknowledged, and what its disks vouch for.
async fn acknowledged(tier: &Tier) -> Files {
    let mut told: BTreeMap<String, String> = BTreeMap::new();
    for name in machines_with_disks() {
        told.insert(
            format!("identity {name}"),
            tier.control_node(&name).unwrap().storage.disk_id.clone(),
        );
    }
    for (role, key) in stored_keys() {
        let control = if role == "core" {
            tier.control_node("core1").unwrap()
        } else {
            owner_of(tier, &key)
        };
        let (seq, _, value) = control.registers.read_newest(&key, SEC).await.unwrap();
        told.insert(format!("number {key}"), seq.to_string());
        told.insert(format!("value {key}"), tell_value(&key, &value));
    }
    let peers: Vec<String> = machines_with_disks()
        .iter()
        .map(|n| tier.control_node(n).unwrap().settings.peer.to_string())
        .collect();
    told.insert("peers".into(), peers.join(" "));
    told.insert(
        "log".into(),
        tell_shelf(
            &tier
                .control_node("store1")
                .unwrap()
                .turn_store
                .index
                .lock()
                .unwrap(),
        ),
    );
    let holder = tier.control_node(&tier.acting_holders()[0]).unwrap();
    told.insert(
        "lease term".into(),
        holder.lease_term().unwrap().to_string(),
    );
    told.insert("lease holder".into(), holder.storage.disk_id.clone());
    told.into_iter()
        .map(|(name, text)| (name, text.into_bytes()))
        .collect()
}

fn listed() -> Vec<ListedServer> {
    let server = |n: u8, leaving| ListedServer {
        server: format!("s{n}"),
        service: "llm".into(),
        addr: format!("10.2.0.{n}:80").parse().unwrap(),
        site: "z1".into(),
        leaving,
    };
    vec![server(1, false), server(2, true)]
}

fn write_folders() {
    let tier = Tier::new(77, COUNTS, 1);
    let told = run_script(&tier, |t| {
        Box::pin(async move {
            let _platform = t.start_platform(listed()).await;
            boot_and_wait(&t).await;
            t.put_until_acknowledged(0, "5 first").await;
            t.put_until_acknowledged(5, "9 second").await;
            t.put_until_acknowledged(9, "12 third").await;
            write_log(&t).await;
            t.operator.sleep(20 * SEC).await;
            run_session(&t).await;
            t.operator.sleep(2 * SEC).await;
            let told = acknowledged(&t).await;
            machines_with_disks()
                .iter()
                .for_each(|name| t.kill(name, false));
            tear_log(&t, "store1").await;
            told
        })
    });
    write_fixture("acknowledged.txt", &told);
    for role in ["core", "store"] {
        let names = machines_with_disks()
            .into_iter()
            .filter(|name| name.starts_with(role));
        let folders = names.flat_map(|name| {
            let files = files_of(&tier.sim, tier.sim.find(&name));
            files
                .into_iter()
                .map(move |(path, bytes)| (format!("{name}/{path}"), bytes))
        });
        write_fixture(&format!("{role}.txt"), &folders.collect());
    }
}

/// What a core of a tier that an operator keeps holds of the documents, and the newest version
/// proved in force.
fn tell_operated(core: &Control) -> Files {
    let page = |name: &str| {
        (
            core.documents.document(name).version,
            tell_value(name, &core.documents.document(name).content),
        )
    };
    let mut told: Files = ["config", "layout", "list"]
        .into_iter()
        .map(|n| (n.to_string(), format!("{:?}", page(n)).into()))
        .collect();
    told.insert(
        "proved".into(),
        core.in_force_version.load(SeqCst).to_string().into(),
    );
    told
}

/// A core whose tier numbers the versions keeps all documents, those in force before, and what was
/// proved.
fn write_operated_folder() {
    let (lab, told) = with_cluster(
        81,
        |_| (),
        |lab| {
            Box::pin(async move {
                let version = lab.version().await;
                assert_eq!(
                    lab.put("core1", version, "second").await.code,
                    Code::Done.number()
                );
                lab.operator.sleep(5 * SEC).await;
                let core = lab.control("core1").unwrap();
                let told = tell_operated(&core);
                lab.sim.kill(lab.sim.find("core1"), false);
                (lab, told)
            })
        },
    );
    write_fixture("operated-acknowledged.txt", &told);
    write_fixture("operated.txt", &files_of(&lab.sim, lab.sim.find("core1")));
}

// ---- The folders are read.

#[test]
fn a_folder_written_before_bears_its_identity() {
    let told = read_fixture("acknowledged.txt");
    for name in machines_with_disks() {
        let (sim, machine) = machine_with(stored_folder(&name));
        let id = run_on(&sim, machine, |w| {
            Box::pin(async move { DurableStorage::open(&w).await.unwrap().disk_id.clone() })
        });
        assert_eq!(id, text_of(&told, &format!("identity {name}")), "{name}");
    }
}

/// Each record of a folder: its number and value, where it is held.
fn stored_record(name: &str, key: &str) -> Option<(u64, Vec<u8>)> {
    let (sim, machine) = machine_with(stored_folder(name));
    let key = key.to_string();
    run_on(&sim, machine, move |w| {
        Box::pin(async move {
            let replica = Replica::open(&DurableStorage::open(&w).await.unwrap())
                .await
                .unwrap();
            assert_eq!(replica.keys().await.1, 0, "damaged records");
            replica
                .read_record(&key)
                .await
                .map(|record| (record.seq, record.value.to_vec()))
        })
    })
}

#[test]
fn registers_written_before_give_back_their_decided_values() {
    let told = read_fixture("acknowledged.txt");
    for (role, key) in stored_keys() {
        let names = machines_with_disks()
            .into_iter()
            .filter(|name| name.starts_with(role));
        let held: Vec<(u64, Vec<u8>)> = names
            .filter_map(|name| stored_record(&name, &key))
            .collect();
        let number: u64 = text_of(&told, &format!("number {key}")).parse().unwrap();
        assert!(
            held.iter().all(|record| record.0 <= number),
            "{key}: newer than what was decided"
        );
        let newest: Vec<&Vec<u8>> = held
            .iter()
            .filter(|record| record.0 == number)
            .map(|record| &record.1)
            .collect();
        assert!(newest.len() >= 2, "{key}: held by {} only", newest.len());
        newest.iter().for_each(|value| {
            assert_eq!(
                tell_value(&key, value),
                text_of(&told, &format!("value {key}")),
                "{key}"
            )
        });
    }
}

#[test]
fn a_store_folder_written_before_gives_back_its_turns() {
    let told = read_fixture("acknowledged.txt");
    let (sim, machine) = machine_with(stored_folder("store1"));
    let (words, torn, hurt) = run_on(&sim, machine, |w| {
        Box::pin(async move {
            let (shelf, found) = TurnIndex::load(&w).await.unwrap();
            (tell_shelf(&shelf), found.torn, found.damaged)
        })
    });
    assert_eq!(words, text_of(&told, "log"));
    assert!(
        words.contains("turn t2 after \"t1\"")
            && words.contains("ledger p1")
            && words.contains("ledger p2"),
        "{words}"
    );
    assert!(
        hurt.is_empty(),
        "the mark of the first torn end is not read: {hurt:?}"
    );
    assert_eq!(
        torn.len(),
        1,
        "the end torn last is dropped, and the one marked before is no news"
    );
}

#[test]
fn a_core_folder_written_before_gives_back_its_lease_grant() {
    let told = read_fixture("acknowledged.txt");
    let (term, holder) = (text_of(&told, "lease term"), text_of(&told, "lease holder"));
    let mut granters = 0;
    for name in machines_with_disks()
        .into_iter()
        .filter(|name| name.starts_with("core"))
    {
        let (sim, machine) = machine_with(stored_folder(&name));
        let body = run_on(&sim, machine, |w| {
            Box::pin(async move {
                DurableStorage::open(&w)
                    .await
                    .unwrap()
                    .load("local", "lease")
                    .await
                    .unwrap()
            })
        });
        let grant = body
            .map(|(_, body)| serde_json::from_slice::<PersistedGrant>(&body).unwrap())
            .unwrap_or_default();
        let is_granted = grant.term.to_string() == term && grant.voters_digest > 0;
        granters += (is_granted
            && grant
                .holder
                .is_some_and(|c| c.disk == holder && c.incarnation > 0 && c.process > 0))
            as usize;
    }
    assert!(granters >= 3, "{granters} of 4 remember the grant");
}

/// A node that starts on the folder refuses the term that was granted before, and starts its next
/// life.
#[test]
fn a_core_started_on_a_folder_written_before_grants_no_term_twice() {
    let told = read_fixture("acknowledged.txt");
    let term: u64 = text_of(&told, "lease term").parse().unwrap();
    let tier = stored_tier(78);
    let lease = run_script(&tier, move |t| {
        Box::pin(async move {
            t.boot("core1", false);
            t.operator.sleep(2 * SEC).await;
            let core = t
                .control_node("core1")
                .unwrap_or_else(|| panic!("{}", format_log(&t)));
            let candidate = Candidate {
                disk: "other".into(),
                process: 1,
                incarnation: 1,
            };
            let replicas_digest =
                yewcross_control::lease::voters_digest(&core.documents.layout.load().1);
            let operation = LeaseOperation::Request { term };
            let ask = LeaseRequest {
                granter: core.storage.disk_id.clone(),
                candidate,
                replicas_digest,
                operation,
                wants_holder: false,
            };
            let (PeerResponse::Lease(lease), _) =
                core.handle(PeerRequest::Lease(ask), vec![], "core2").await
            else {
                panic!("no answer")
            };
            assert_eq!(
                core.storage
                    .load("local", "life")
                    .await
                    .unwrap()
                    .map(|kept| kept.0),
                Some(2)
            );
            lease
        })
    });
    assert_eq!(
        (lease.term, lease.verdict),
        (term, LeaseVerdict::Refused(LeaseDenial::OldTerm))
    );
}

#[test]
fn a_node_started_on_a_folder_written_before_knows_its_peers_and_layout() {
    let told = read_fixture("acknowledged.txt");
    let expected: Vec<String> = text_of(&told, "peers")
        .split(' ')
        .map(String::from)
        .collect();
    for name in machines_with_disks() {
        let tier = stored_tier(79);
        let machine = name.clone();
        let (peers, number, layout) = run_script(&tier, move |t| {
            Box::pin(async move {
                t.boot(&machine, false);
                t.operator.sleep(SEC).await;
                let node = t.control_node(&machine).unwrap();
                let known: Vec<String> = node
                    .members
                    .persisted_peers
                    .lock()
                    .unwrap()
                    .iter()
                    .map(|a| a.to_string())
                    .collect();
                let layout = node.documents.layout.load();
                (known, layout.0, tell_layout(&layout.1))
            })
        });
        assert_eq!(peers, expected, "{name}");
        assert_eq!(
            number.to_string(),
            text_of(&told, "number layout"),
            "{name}"
        );
        assert_eq!(layout, text_of(&told, "value layout"), "{name}");
    }
}

#[test]
fn a_core_folder_of_an_operated_tier_gives_back_its_documents_and_what_was_proved() {
    let told = read_fixture("operated-acknowledged.txt");
    assert!(
        text_of(&told, "config").contains("mark-second")
            && text_of(&told, "config").contains("mark-first"),
        "no past"
    );
    assert_ne!(text_of(&told, "proved"), "0");
    let lab = TestCluster::new(82, "small");
    fill(
        &lab.sim,
        lab.sim.find("core1"),
        read_fixture("operated.txt"),
    );
    lab.boot("core1");
    lab.sim
        .run(lab.sim.now() + SEC, || lab.control("core1").is_some());
    let now = tell_operated(&lab.control("core1").unwrap());
    told.keys()
        .for_each(|name| assert_eq!(text_of(&now, name), text_of(&told, name), "{name}"));
}

/// Why there is no folder of a front among the fixtures.
#[test]
fn a_front_keeps_nothing_on_its_disk() {
    let files = with_cluster(
        83,
        |_| (),
        |lab| {
            Box::pin(async move {
                lab.names(Role::Front)
                    .iter()
                    .map(|f| lab.sim.disk(lab.sim.find(f), |d| d.file_count()))
                    .sum::<usize>()
            })
        },
    );
    assert_eq!(files, 0);
}

/// The newest value of the budget's register.
async fn purse_value(tier: &Tier) -> Vec<u8> {
    owner_of(tier, &budget_key(BUDGET))
        .registers
        .read_newest(&budget_key(BUDGET), SEC)
        .await
        .unwrap()
        .2
        .to_vec()
}

#[test]
fn a_tier_started_on_folders_written_before_goes_on_from_what_it_acknowledged() {
    // A tier whose records are all damaged would never come up: that is told here, at once.
    machines_with_disks()
        .iter()
        .for_each(|name| _ = stored_record(name, SESSION));
    let tier = stored_tier(80);
    run_script(&tier, |t| {
        Box::pin(async move {
            machines_with_disks()
                .iter()
                .for_each(|name| t.boot(name, false));
            let (cores, stores) = (
                t.names_with_role(Role::Core),
                t.names_with_role(Role::Store),
            );
            t.wait_for_members(&cores, &stores, 20 * SEC)
                .await
                .unwrap_or_else(|| panic!("{}", format_log(&t)));
            t.operator.sleep(3 * SEC).await;
            assert_eq!(
                t.read_configuration("core2").await,
                Some(ReadAnswer::Text(12, "12 third".into()))
            );
            t.put_until_acknowledged(5, "9 second").await;
            assert_eq!(
                t.put_configuration("core1", 5, "10 other").await,
                Some(PutAnswer::Conflict(12))
            );

            let before = purse_value(&t).await;
            let (told, kept) =
                ask(&t, SESSION, PeerRequest::BeginTurn(begin("job1", 3)), &[]).await;
            assert!(
                matches!(told, PeerResponse::StoredOutcome { code: Code::Done }),
                "{told:?}"
            );
            assert_eq!(kept, b"\"outcome\"");
            let (told, _) = ask(&t, SESSION, PeerRequest::BeginTurn(begin("job2", 4)), &[]).await;
            assert!(
                matches!(told, PeerResponse::Rejected(Code::StillRunning)),
                "{told:?}"
            );
            t.operator.sleep(SEC).await;

            let reserve = |entry: &str, limit| PeerRequest::ReserveBudget {
                budget: BUDGET.into(),
                entry: entry.into(),
                amount: 5,
                limit,
                key: SESSION.into(),
                request_id: "job9".into(),
                nonce: 9,
                retain_ms: 1,
            };
            let (told, _) = ask(&t, &budget_key(BUDGET), reserve("z1", 130), &[]).await;
            assert!(
                matches!(told, PeerResponse::Rejected(Code::BudgetSpent)),
                "{told:?}: 30 are spent and 100 reserved"
            );
            let (told, _) = ask(&t, &budget_key(BUDGET), reserve("z2", 131), &[]).await;
            assert!(matches!(told, PeerResponse::Ok), "{told:?}");
            let after = purse_value(&t).await;
            let lines: Vec<&[u8]> = after.split(|b| *b == b'\n').collect();
            let missing = before
                .split(|b| *b == b'\n')
                .find(|line| !lines.contains(line));
            assert_eq!(
                missing.map(String::from_utf8_lossy),
                None,
                "a line is written otherwise than before"
            );

            t.put_until_acknowledged(12, "13 fourth").await;
        })
    });
}

// ---- Samples: each stored struct with all its fields distinct.

fn group(tag: &str, since: u64) -> ReplicaGroup {
    ReplicaGroup {
        current: vec![format!("{tag}1"), format!("{tag}2")],
        previous: vec![format!("{tag}3")],
        layout_number: since,
    }
}

fn layout() -> Layout {
    Layout {
        core: group("c", 11),
        store: group("s", 12),
        names: [("c1".into(), "core1".into())].into(),
        sites: [("c1".into(), "z1".into())].into(),
        change_started: 13,
        retired: ["store9".into()].into(),
        term: 14,
    }
}

fn taken_order() -> AcceptedOrder {
    AcceptedOrder {
        number: 21,
        digest: "mark".into(),
        accepted_ms: 22,
    }
}

fn config() -> ConfigDoc {
    ConfigDoc {
        text: "31 text".into(),
        put_id: "attempt".into(),
        note: "why".into(),
        superseded: vec![(32, "earlier".into(), "30 text".into())],
        number: 31,
        highest_dropped: 33,
        orders: vec![
            taken_order(),
            AcceptedOrder {
                number: 20,
                ..taken_order()
            },
        ],
    }
}

fn list() -> ServerList {
    ServerList {
        revision: 41,
        term: 42,
        servers: listed(),
    }
}

fn candidate() -> Candidate {
    Candidate {
        disk: "d1".into(),
        process: 51,
        incarnation: 52,
    }
}

fn grant() -> PersistedGrant {
    PersistedGrant {
        term: 53,
        holder: Some(candidate()),
        voters_digest: 54,
    }
}

fn running() -> RunningTurn {
    RunningTurn {
        request_id: "job".into(),
        digest: "digest".into(),
        nonce: 61,
        proxy: "front".into(),
        deadline_ms: 62,
        max_output_tokens: 63,
        budget: Some("budget".into()),
    }
}

fn mark() -> FinishedRequest {
    FinishedRequest {
        request_id: "job0".into(),
        digest: "digest0".into(),
        nonce: 64,
        code: Code::Cancelled,
        used: 65,
    }
}

fn session_head() -> SessionMetadata {
    let mut head = SessionMetadata::default();
    head.epoch = 66;
    head.running = Some(running());
    head.cache = transfer_state();
    head.retention_start_ms = 67;
    head.retain_ms = 68;
    head.barred = [69].into();
    head
}

fn session_record() -> SessionRecord {
    let mut head = session_head();
    head.finished = [mark()].into();
    head.retained_outcomes = [("job0".into(), "outcome".into())].into();
    SessionRecord {
        history: b"\"said\"\n".to_vec(),
        request_id_hashes: b"0123456789abcdef\n".to_vec(),
        metadata: head,
    }
}

fn reservation() -> Reservation {
    Reservation {
        amount: 71,
        key: "key".into(),
        request_id: "job".into(),
        nonce: 72,
        at: 73,
        session_retain_ms: 74,
    }
}

fn items() -> Vec<LogRecord> {
    let entries = vec![
        ("t1".into(), LedgerEntry::Open(81)),
        ("t2".into(), LedgerEntry::Done(82)),
    ];
    let ledger = LedgerRecord {
        program: "p".into(),
        epoch: Ballot {
            number: 83,
            proposer_id: 84,
        },
        entries,
        retain_ms: 85,
    };
    vec![
        LogRecord::Turn(row("t2", "t1")),
        LogRecord::Ledger {
            record: ledger,
            changed_at_ms: 86,
        },
        LogRecord::Torn(TornEnd {
            segment: 87,
            valid_bytes: 88,
        }),
    ]
}

/// Number, epoch and text of a document on a node's own disk.
fn page() -> (u64, Ballot, String) {
    (
        91,
        Ballot {
            number: 92,
            proposer_id: 93,
        },
        "document".into(),
    )
}

fn json_of(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap()
}

/// A register's file: promised, accepted and number differ.
fn register_file() -> (String, Vec<u8>) {
    let (sim, machine) = machine_with(Files::new());
    run_on(&sim, machine, |w| {
        Box::pin(async move {
            let replica = Replica::open(&DurableStorage::open(&w).await.unwrap())
                .await
                .unwrap();
            let (key, lay) = ("session/a".to_string(), 0);
            let (first, second) = (
                Ballot {
                    number: 3,
                    proposer_id: 4,
                },
                Ballot {
                    number: 5,
                    proposer_id: 6,
                },
            );
            replica
                .handle(
                    RegisterRequest::Promise {
                        key: key.clone(),
                        ballot: first,
                        layout_version: lay,
                    },
                    vec![],
                )
                .await;
            let accept = RegisterRequest::Accept {
                key: key.clone(),
                ballot: first,
                seq: 7,
                layout_version: lay,
                delta: false,
            };
            assert_eq!(
                replica.handle(accept, b"value".to_vec()).await.0,
                RegisterReply::Accepted
            );
            replica
                .handle(
                    RegisterRequest::Promise {
                        key,
                        ballot: second,
                        layout_version: lay,
                    },
                    vec![],
                )
                .await;
        })
    });
    files_of(&sim, machine)
        .into_iter()
        .find(|(path, _)| path.starts_with("keys/"))
        .unwrap()
}

/// Keys of an operator's configuration text, which is stored as it was put.
fn setting_keys() -> String {
    let keys = [
        ("family", ProgramClass::DEFS),
        ("service", Service::DEFS),
        ("budget", Budget::DEFS),
    ];
    keys.iter()
        .flat_map(|(name, settings)| {
            settings
                .iter()
                .map(move |s| format!("{name} {} {}\n", s.key, s.kind))
        })
        .collect()
}

fn samples() -> Files {
    let (register_path, register) = register_file();
    let codes: Vec<Code> = Code::iter().collect();
    let peers = vec![listed()[0].addr, listed()[1].addr];
    [
        ("layout", json_of(&layout())),
        ("taken order", json_of(&taken_order())),
        ("config", config().encode().unwrap()),
        ("list", json_of(&list())),
        ("candidate", json_of(&candidate())),
        ("lease grant", json_of(&grant())),
        ("running", json_of(&running())),
        ("mark", json_of(&mark())),
        ("session head", json_of(&session_head())),
        ("session record", session_record().write()),
        ("reservation", json_of(&reservation())),
        ("codes", json_of(&codes)),
        ("page", json_of(&page())),
        ("peers", json_of(&peers)),
        ("log items", encode(&items())),
        ("log path", segment_log::path(0x1f).into_bytes()),
        ("sealed", encode_frame(b"body")),
        ("register path", register_path.into_bytes()),
        ("register file", register),
        ("setting keys", setting_keys().into_bytes()),
        (
            "setting defaults",
            json_of(&(
                ProgramClass::default(),
                Service::default(),
                Budget::default(),
            )),
        ),
    ]
    .map(|(name, bytes)| (name.to_string(), bytes))
    .into()
}

#[test]
fn stored_structs_are_written_with_the_bytes_of_before() {
    let (stored, now) = (read_fixture("samples.txt"), samples());
    assert_eq!(
        stored.keys().collect::<Vec<_>>(),
        now.keys().collect::<Vec<_>>()
    );
    for (name, bytes) in &stored {
        assert_eq!(
            String::from_utf8_lossy(&now[name]),
            String::from_utf8_lossy(bytes),
            "{name}"
        );
        assert_eq!(&now[name], bytes, "{name}");
    }
}

fn assert_reads<T: DeserializeOwned + Debug>(stored: &Files, name: &str, expected: &T) {
    let read: T = serde_json::from_slice(&stored[name]).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(format!("{read:?}"), format!("{expected:?}"), "{name}");
}

#[test]
fn bytes_of_before_are_read_as_the_structs_that_were_written() {
    let stored = read_fixture("samples.txt");
    assert_reads(&stored, "layout", &layout());
    assert_reads(&stored, "taken order", &taken_order());
    assert_reads(&stored, "config", &config());
    assert_reads(&stored, "list", &list());
    assert_reads(&stored, "candidate", &candidate());
    assert_reads(&stored, "lease grant", &grant());
    assert_reads(&stored, "running", &running());
    assert_reads(&stored, "mark", &mark());
    assert_reads(&stored, "session head", &session_head());
    assert_reads(&stored, "reservation", &reservation());
    assert_reads(&stored, "page", &page());
    assert_reads(&stored, "codes", &Code::iter().collect::<Vec<_>>());
    assert_eq!(
        tell_record(&SessionRecord::read(&stored["session record"])),
        tell_record(&session_record())
    );
    let read: Vec<LogRecord> = decode(&stored["log items"]).unwrap();
    assert_eq!(format!("{read:?}"), format!("{:?}", items()));
}

// ---- Fields that are missing, and fields that nobody knows.

/// Takes each field away in turn: one of `defaults` gets its default, and without any other the
/// value is refused. A field that is not known is passed over.
fn check_fields<T: DeserializeOwned + Serialize>(
    sample: &impl Serialize,
    defaults: &[(&str, Value)],
) {
    let whole = serde_json::to_value(sample).unwrap();
    let name = std::any::type_name::<T>();
    for field in whole.as_object().unwrap().keys() {
        let mut cut = whole.clone();
        cut.as_object_mut().unwrap().remove(field);
        let read = serde_json::from_value::<T>(cut.clone());
        match defaults.iter().find(|default| default.0 == field) {
            Some((_, default)) => {
                cut[field] = default.clone();
                let read = read.unwrap_or_else(|e| panic!("{name} without {field}: {e}"));
                assert_eq!(
                    serde_json::to_value(read).unwrap(),
                    cut,
                    "{name} without {field}"
                );
            }
            None => assert!(read.is_err(), "{name} without {field} is read"),
        }
    }
    assert!(
        defaults
            .iter()
            .all(|default| whole.get(default.0).is_some()),
        "{name} lost a field"
    );
    let mut more = whole.clone();
    more["unknown"] = json!(1);
    let read: T =
        serde_json::from_value(more).unwrap_or_else(|e| panic!("{name} with a field more: {e}"));
    assert_eq!(
        serde_json::to_value(read).unwrap(),
        whole,
        "{name} with a field more"
    );
}

#[test]
fn a_missing_field_of_a_document_is_an_error_or_gets_its_default() {
    check_fields::<Layout>(
        &layout(),
        &[
            ("sites", json!({})),
            ("retired", json!([])),
            ("term", json!(0)),
        ],
    );
    check_fields::<ReplicaGroup>(&group("c", 11), &[("since", json!(0))]);
    check_fields::<ConfigDoc>(
        &config(),
        &[
            ("number", json!(0)),
            ("forgotten", json!(0)),
            ("orders", json!([])),
        ],
    );
    check_fields::<AcceptedOrder>(&taken_order(), &[]);
    check_fields::<ServerList>(&list(), &[("term", json!(0))]);
    check_fields::<ListedServer>(&listed()[1], &[("leaving", json!(false))]);
}

#[test]
fn a_missing_field_of_a_grant_is_an_error_or_gets_its_default() {
    check_fields::<PersistedGrant>(&grant(), &[("holder", Value::Null)]);
    check_fields::<Candidate>(&candidate(), &[("life", json!(0))]);
}

#[test]
fn a_missing_field_of_a_session_or_budget_is_an_error_or_gets_its_default() {
    let head = [
        ("running", Value::Null),
        ("keep", json!(0)),
        ("barred", json!([])),
        ("olds", json!(0)),
    ];
    check_fields::<SessionMetadata>(&session_head(), &head);
    check_fields::<RunningTurn>(&running(), &[("budget", Value::Null)]);
    check_fields::<FinishedRequest>(&mark(), &[]);
    check_fields::<SessionCacheState>(
        &transfer_state(),
        &[("home", Value::Null), ("replica", Value::Null)],
    );
    check_fields::<CachedPrefix>(&place("s1", 10), &[]);
    check_fields::<Reservation>(&reservation(), &[("keep", json!(0))]);
    check_fields::<Ballot>(
        &Ballot {
            number: 1,
            proposer_id: 2,
        },
        &[],
    );
}

/// The head of a register's file has no defaults: without one of its fields the record counts as
/// damaged.
#[test]
fn a_register_file_that_lacks_a_field_is_damaged() {
    let stored = read_fixture("samples.txt");
    let (path, file) = (text_of(&stored, "register path"), &stored["register file"]);
    let body = &file[12..file.len() - 4];
    let length = u32::from_le_bytes(body[..4].try_into().unwrap()) as usize;
    let head: Value = serde_json::from_slice(&body[4..4 + length]).unwrap();
    let fields: Vec<String> = head.as_object().unwrap().keys().cloned().collect();
    assert_eq!(fields, ["accepted", "key", "promised", "seq"]);
    for lacking in fields.iter().map(Some).chain([None]) {
        let mut cut = head.clone();
        lacking
            .into_iter()
            .for_each(|field| _ = cut.as_object_mut().unwrap().remove(field));
        let cut = json_of(&cut);
        let bytes = [&(cut.len() as u32).to_le_bytes()[..], &cut, b"value"].concat();
        let (sim, machine) = machine_with([(path.clone(), encode_frame(&bytes))].into());
        let (keys, damaged) = run_on(&sim, machine, |w| {
            Box::pin(async move {
                Replica::open(&DurableStorage::open(&w).await.unwrap())
                    .await
                    .unwrap()
                    .keys()
                    .await
            })
        });
        assert_eq!(
            (keys.len(), damaged),
            if lacking.is_some() { (0, 1) } else { (1, 0) },
            "without {lacking:?}"
        );
    }
}

/// The sections of an operator's text, each of which may be missing.
#[test]
fn a_configuration_text_written_before_is_read() {
    let text = json!({
        "families": {"a": {"set": {"service": "llm", "max_output": 7}, "under": {"b": {"set": {"history": {"turns": 3}}}}}},
        "services": {"llm": {"kind": "model", "allow": ["s*"]}},
        "budgets": {"purse": {"tokens": 9}},
        "fronts": ["front1"],
        "routing": {},
    });
    let tree = Configuration::read(text.to_string().as_bytes()).unwrap();
    let family = tree
        .families
        .values()
        .find(|family| family.path.ends_with('b'))
        .unwrap();
    assert_eq!(
        (family.settings.max_output, family.settings.history),
        (7, Rule::Turns(3))
    );
    assert_eq!(
        (
            tree.services["llm"].allow[0].as_str(),
            tree.budgets["purse"].tokens
        ),
        ("s*", 9)
    );
    assert_eq!(tree.fronts, ["front1"]);
    assert!(Configuration::read(b"{}").is_ok());
    assert!(Configuration::read(b"{\"unknown\":1}").is_err());
}
