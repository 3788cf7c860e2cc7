//! The bytes that nodes exchange, compared with files that an earlier program wrote.
//!
//! A tier is upgraded node by node, so programs of different ages talk to each other: no message
//! may change by accident, as when a type, a field or a variant gets another name, or another place
//! where the place counts. Each file below `fixtures/wire` holds one type of message, one sample a
//! line: its name, a tab and its bytes, as JSON or in hex. Each sample must still encode to these
//! bytes, and they must decode to a message that encodes to them again.
//!
//! `YEWCROSS_WRITE_FIXTURES=1` writes the files anew, and the run fails. Do that only for a change
//! that older programs understand, and look at every line that differs.

mod wire_samples;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use strum::IntoEnumIterator;
use wire_samples::*;
use yewcross_common::constants::*;
use yewcross_common::documents::delta;
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{ConfigDoc, PeerRequest, PeerResponse};
use yewcross_common::runtime::*;
use yewcross_common::transport::{Envelope, PeerClient, Reply, RequestHandler, encode_frame};
use yewcross_common::turn_log::TurnLogOperation;
use yewcross_common::turn_log::messages::{decode, encode};
use yewcross_proxy::load_exchange::ServerLoad;
use yewcross_state::records::SessionRecord;
use yewcross_state::segment_log::LogRecord;
use yewcross_testkit::sim::Sim;

// ---- Fixture files ----

/// A line of a fixture file: its name and what stands behind the tab.
type StoreClient = (String, String);

fn fixture_path(file: &str) -> PathBuf {
    [
        env!("CARGO_MANIFEST_DIR"),
        "tests/fixtures/wire",
        &format!("{file}.txt"),
    ]
    .iter()
    .collect()
}

/// Whether this run writes the fixtures anew. `fixtures_are_compared_and_not_written` then fails.
fn is_writing() -> bool {
    std::env::var("YEWCROSS_WRITE_FIXTURES").is_ok_and(|value| value == "1")
}

fn write_fixture(file: &str, lines: &[StoreClient]) {
    let path = fixture_path(file);
    std::fs::create_dir_all(path.parent().unwrap()).unwrap();
    let text: String = lines
        .iter()
        .map(|(name, bytes)| format!("{name}\t{bytes}\n"))
        .collect();
    std::fs::write(path, text).unwrap();
}

fn read_fixture(file: &str) -> Vec<StoreClient> {
    let path = fixture_path(file);
    let text = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    text.lines()
        .map(|line| line.split_once('\t').expect("a name, a tab, bytes"))
        .map(|(name, bytes)| (name.into(), bytes.into()))
        .collect()
}

/// Compares what is encoded today with the fixture file, and returns the lines of the file.
fn compare(file: &str, today: &[StoreClient]) -> Vec<StoreClient> {
    if is_writing() {
        write_fixture(file, today);
    }
    let fixture = read_fixture(file);
    for (kept, new) in fixture.iter().zip(today) {
        assert_eq!(
            kept, new,
            "{file}.txt: left is the fixture, right what is encoded now"
        );
    }
    assert_eq!(fixture.len(), today.len(), "{file}.txt: number of samples");
    fixture
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

#[test]
fn fixtures_are_compared_and_not_written() {
    assert!(
        !is_writing(),
        "fixtures were written: look at the difference, then run without YEWCROSS_WRITE_FIXTURES"
    );
}

// ---- Coverage ----

/// Names of all variants of an enumeration, as its decoder tells them when it is given one that
/// doesn't exist.
fn variant_names<T: DeserializeOwned>() -> BTreeSet<String> {
    let Err(error) = serde_json::from_str::<T>("\"no such variant\"") else {
        panic!("it decodes anything")
    };
    let error = error.to_string();
    let mut quoted = error.split('`').skip(1).step_by(2).map(String::from);
    assert_eq!(
        quoted.next().as_deref(),
        Some("no such variant"),
        "not an enumeration: {error}"
    );
    quoted.collect()
}

fn names(lines: &[StoreClient]) -> BTreeSet<String> {
    lines.iter().map(|line| line.0.clone()).collect()
}

/// Takes the plain values out of a JSON text, but for booleans, of which there are only two.
fn leaves(value: &Value, found: &mut Vec<String>) {
    match value {
        Value::Object(members) => members.values().for_each(|member| leaves(member, found)),
        Value::Array(items) => {
            assert!(!items.is_empty(), "an empty list");
            items.iter().for_each(|item| leaves(item, found));
        }
        Value::Bool(_) => {}
        plain => {
            assert!(
                !plain.is_null() && *plain != 0 && *plain != "",
                "a default value"
            );
            found.push(plain.to_string());
        }
    }
}

/// A sample in which two fields hold the same doesn't show that they were swapped.
fn assert_distinct(json: &str) {
    let mut found = vec![];
    leaves(&serde_json::from_str(json).unwrap(), &mut found);
    let distinct: BTreeSet<&String> = found.iter().collect();
    assert_eq!(
        distinct.len(),
        found.len(),
        "a value stands twice in {json}"
    );
}

// ---- JSON ----

/// As `PeerClient::ask` and the listeners encode questions and answers.
fn json<T: Serialize>(value: &T) -> String {
    String::from_utf8(serde_json::to_vec(value).unwrap()).unwrap()
}

/// The name of the variant in a JSON text: `"Name"` or `{"Name":...}`.
fn variant_name(json: &str) -> String {
    json.split('"').nth(1).expect("a variant").into()
}

fn keeps_json<T: Serialize + DeserializeOwned>(
    file: &str,
    name: impl Fn(&str) -> String,
    samples: &[T],
) -> Vec<StoreClient> {
    let today: Vec<StoreClient> = samples
        .iter()
        .map(json)
        .map(|text| (name(&text), text))
        .collect();
    today.iter().for_each(|line| assert_distinct(&line.1));
    let fixture = compare(file, &today);
    for (name, text) in &fixture {
        let decoded: T =
            serde_json::from_str(text).unwrap_or_else(|error| panic!("{file}.txt {name}: {error}"));
        assert_eq!(json(&decoded), *text, "{file}.txt: {name} is encoded again");
    }
    fixture
}

/// An enumeration: each of its variants has a sample.
fn keeps_json_of_all<T: Serialize + DeserializeOwned>(file: &str, samples: &[T]) {
    let fixture = keeps_json(file, variant_name, samples);
    assert_eq!(
        names(&fixture),
        variant_names::<T>(),
        "{file}.txt has a sample of each variant"
    );
}

/// The JSON pointers of all members of all objects in a value.
fn members(value: &Value, at: &str, found: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(map) => map
            .iter()
            .map(|(key, child)| (key.clone(), child))
            .collect(),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(index, child)| (index.to_string(), child))
            .collect(),
        _ => vec![],
    };
    for (key, child) in children {
        let pointer = format!("{at}/{key}");
        members(child, &pointer, found);
        if value.is_object() {
            found.push(pointer);
        }
    }
}

fn without(value: &Value, pointer: &str) -> Value {
    let mut value = value.clone();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    value
        .pointer_mut(parent)
        .unwrap()
        .as_object_mut()
        .unwrap()
        .remove(key);
    value
}

/// A sample without one of its fields, for each field without which it decodes: so an older program
/// sends it. Behind it what it decodes to, which shows the default.
fn older_forms<T: Serialize + DeserializeOwned>(sample: &T) -> Vec<StoreClient> {
    let value: Value = serde_json::from_str(&json(sample)).unwrap();
    let mut pointers = vec![];
    members(&value, "", &mut pointers);
    let older = |pointer: String| {
        let old = without(&value, &pointer);
        let decoded: T = serde_json::from_value(old.clone()).ok()?;
        Some((
            format!("without {pointer}"),
            format!("{old}\t{}", json(&decoded)),
        ))
    };
    pointers.into_iter().filter_map(older).collect()
}

fn keeps_older_forms<T: Serialize + DeserializeOwned>(file: &str, samples: &[T]) {
    let today: Vec<StoreClient> = samples.iter().flat_map(older_forms).collect();
    for (name, texts) in compare(&format!("older_{file}"), &today) {
        let (old, expected) = texts.split_once('\t').unwrap();
        let decoded: T = serde_json::from_str(old)
            .unwrap_or_else(|error| panic!("older_{file}.txt {name}: {error}"));
        assert_eq!(json(&decoded), expected, "older_{file}.txt: {name}");
    }
}

#[test]
fn every_request_keeps_its_bytes() {
    keeps_json_of_all("ask", &asks());
}

#[test]
fn every_answer_keeps_its_bytes() {
    keeps_json_of_all("tell", &tells());
}

#[test]
fn every_part_of_a_message_keeps_its_bytes() {
    keeps_json_of_all("register_request", &register_requests());
    keeps_json_of_all("register_reply", &register_replies());
    keeps_json_of_all("lease_call", &lease_calls());
    keeps_json_of_all("lease_verdict", &verdicts());
    keeps_json_of_all("lease_refusal", &refusals());
    keeps_json_of_all("put_answer", &put_answers());
    keeps_json_of_all("retire_answer", &retire_answers());
    keeps_json_of_all("rule", &rules());
    keeps_json_of_all("node_state", &states());
    keeps_json_of_all("node_role", &roles());
    keeps_json_of_all("code", &Code::iter().collect::<Vec<_>>());
}

#[test]
fn every_document_keeps_its_bytes() {
    let named = |name: &'static str| move |_: &str| name.to_string();
    keeps_json("layout", named("Layout"), &[layout()]);
    keeps_json("list", named("List"), &[list()]);
    keeps_json("config_doc", named("ConfigDoc"), &[configuration()]);
    keeps_json("report", named("Report"), &[report()]);
    keeps_json("held_key", named("HeldKey"), &[held_key()]);
    keeps_json("kept_grant", named("KeptGrant"), &[kept_grant()]);
    keeps_json("open_entry", named("Open"), &[open_entry()]);
    keeps_json("kept_outcome", named("Kept"), &[kept_outcome()]);
}

#[test]
fn messages_of_older_programs_decode_to_the_defaults() {
    keeps_older_forms("ask", &asks());
    keeps_older_forms("tell", &tells());
    keeps_older_forms("layout", &[layout()]);
    keeps_older_forms("list", &[list()]);
    keeps_older_forms("config_doc", &[configuration()]);
    keeps_older_forms("report", &[report()]);
    keeps_older_forms("held_key", &[held_key()]);
    keeps_older_forms("kept_grant", &[kept_grant()]);
    keeps_older_forms("open_entry", &[open_entry()]);
    keeps_older_forms("kept_outcome", &[kept_outcome()]);
    keeps_older_forms("session_head", &[record().metadata]);
}

/// Counts of messages are shown under these names.
#[test]
fn every_request_keeps_the_name_of_its_metric() {
    let metric_name = |ask: &PeerRequest| -> &'static str { ask.into() };
    let today: BTreeSet<StoreClient> = asks()
        .iter()
        .map(|ask| (variant_name(&json(ask)), metric_name(ask).to_string()))
        .collect();
    let fixture = compare("ask_metric_names", &today.into_iter().collect::<Vec<_>>());
    assert_eq!(names(&fixture), variant_names::<PeerRequest>());
}

// ---- Values of registers, which travel as blobs ----

fn keeps_encoding(file: &str, name: &str, today: Vec<u8>, again: impl Fn(&[u8]) -> Vec<u8>) {
    for (name, bytes) in compare(file, &[(name.into(), hex(&today))]) {
        assert_eq!(
            hex(&again(&unhex(&bytes))),
            bytes,
            "{file}.txt: {name} is encoded again"
        );
    }
}

#[test]
fn a_configuration_with_orders_keeps_its_lines() {
    let again = |bytes: &[u8]| ConfigDoc::decode(bytes).unwrap().encode().unwrap();
    keeps_encoding(
        "config_doc_lines",
        "ConfigDoc",
        configuration().encode().unwrap(),
        again,
    );
}

#[test]
fn a_session_record_keeps_its_lines() {
    keeps_encoding("session_record", "Record", record().write(), |bytes| {
        SessionRecord::read(bytes).write()
    });
}

/// Old and new value of each sample of a delta.
const CHANGES: [(&str, &[u8], &[u8]); 3] = [
    ("whole", b"", b"a value from nothing\n"),
    (
        "appended",
        b"line number 1\nline number 2\n",
        b"line number 1\nline number 2\nline number 3\n",
    ),
    (
        "replaced",
        b"first of the lines\nsecond of the lines\nthird of the lines\n",
        b"first of the lines\nchanged\nthird of the lines\n",
    ),
];

#[test]
fn every_delta_keeps_its_bytes() {
    let today: Vec<StoreClient> = CHANGES
        .iter()
        .map(|(name, old, new)| (name.to_string(), hex(&delta::encode(old, new))))
        .collect();
    for ((_, bytes), (name, old, new)) in compare("delta", &today).iter().zip(CHANGES) {
        assert_eq!(
            delta::apply(old, &unhex(bytes)).as_deref(),
            Some(new),
            "{name}"
        );
    }
}

// ---- Postcard, where the place of a field and of a variant counts ----

fn keeps_places<T: Serialize + DeserializeOwned>(
    file: &str,
    name: impl Fn(&T) -> &'static str,
    samples: &[T],
) -> Vec<StoreClient> {
    let today: Vec<StoreClient> = samples
        .iter()
        .map(|sample| (name(sample).into(), hex(&encode(sample))))
        .collect();
    let fixture = compare(file, &today);
    for (name, bytes) in &fixture {
        let decoded: T =
            decode(&unhex(bytes)).unwrap_or_else(|| panic!("{file}.txt: {name} decodes"));
        assert_eq!(
            hex(&encode(&decoded)),
            *bytes,
            "{file}.txt: {name} is encoded again"
        );
    }
    fixture
}

/// The samples stand for as many variants as the enumeration has.
fn covers_all<T: DeserializeOwned>(file: &str, fixture: &[StoreClient]) {
    assert_eq!(
        names(fixture).len(),
        variant_names::<T>().len(),
        "{file}.txt has a sample of each variant"
    );
}

/// An enumeration: its samples stand in the order of its variants, whose number is the first byte.
fn keeps_places_of_all<T: Serialize + DeserializeOwned>(
    file: &str,
    name: impl Fn(&T) -> &'static str,
    samples: &[T],
) {
    let fixture = keeps_places(file, name, samples);
    covers_all::<T>(file, &fixture);
    let numbers: Vec<usize> = fixture
        .iter()
        .map(|line| unhex(&line.1)[0].into())
        .collect();
    assert_eq!(
        numbers,
        (0..samples.len()).collect::<Vec<_>>(),
        "{file}.txt: numbers of the variants"
    );
}

#[test]
fn every_chain_question_keeps_its_bytes() {
    let fixture = keeps_places("chain_ask", chain_ask_name, &chain_asks());
    covers_all::<TurnLogOperation>("chain_ask", &fixture);
}

#[test]
fn every_chain_answer_keeps_its_bytes() {
    keeps_places_of_all("chain_told", told_name, &tolds());
    keeps_places_of_all("ledger_entry", entry_name, &ledger_entries());
}

#[test]
fn every_item_of_a_store_log_keeps_its_bytes() {
    keeps_places_of_all::<LogRecord>("log_item", item_name, &log_items());
}

#[test]
fn reported_loads_keep_their_bytes() {
    keeps_places::<Vec<ServerLoad>>("server_loads", |_| "loads", &[loads()]);
}

#[test]
fn samples_told_by_place_hold_distinct_values() {
    chain_asks()
        .iter()
        .map(json)
        .chain(log_items().iter().map(json))
        .chain([json(&loads())])
        .for_each(|text| assert_distinct(&text));
    tolds()
        .iter()
        .map(json)
        .for_each(|text| assert_distinct(&text));
}

// ---- Frames ----

const ANSWER_BODY: &[u8] = b"body of the answer";
const ANSWER_BLOB: &[u8] = b"blob of the answer";
const FRAME_ID: u64 = 0x0102_0304_0506_0708;

fn versions() -> std::ops::RangeInclusive<u16> {
    WIRE_VERSION_MIN..=WIRE_VERSION
}

fn question_frame(version: u16) -> Vec<u8> {
    encode_frame(
        version,
        FRAME_ID,
        false,
        "asker",
        "site of the asker",
        b"body of the question",
        b"blob of the question, longer",
    )
}

fn answer_frame(version: u16) -> Vec<u8> {
    encode_frame(
        version,
        FRAME_ID,
        true,
        "asked",
        "site of the asked",
        ANSWER_BODY,
        ANSWER_BLOB,
    )
}

/// The first question of a process, and its answer.
fn first_question_frame(version: u16) -> Vec<u8> {
    encode_frame(
        version,
        1,
        false,
        "asker",
        "site of the asker",
        json(&PeerRequest::Bootstrap).as_bytes(),
        b"blob of the question",
    )
}

fn first_answer_frame(version: u16) -> Vec<u8> {
    encode_frame(
        version,
        1,
        true,
        "asked",
        "site of the asked",
        json(&PeerResponse::Ok).as_bytes(),
        ANSWER_BLOB,
    )
}

fn frames(
    file: &str,
    question: fn(u16) -> Vec<u8>,
    answer: fn(u16) -> Vec<u8>,
) -> Vec<(u16, Vec<u8>, Vec<u8>)> {
    let line = |kind: &str, version: u16, frame: Vec<u8>| {
        (format!("{kind} of version {version}"), hex(&frame))
    };
    let both = |version| {
        [
            line("question", version, question(version)),
            line("answer", version, answer(version)),
        ]
    };
    let today: Vec<StoreClient> = versions().flat_map(both).collect();
    let fixture = compare(file, &today);
    versions()
        .zip(fixture.chunks(2))
        .map(|(version, pair)| (version, unhex(&pair[0].1), unhex(&pair[1].1)))
        .collect()
}

/// Notes what it hears, and always answers the same.
#[derive(Default)]
struct Ear {
    heard: Mutex<Vec<Envelope>>,
}

impl RequestHandler for Ear {
    fn handle(self: Arc<Self>, parcel: Envelope) -> BoxFuture<'static, Reply> {
        self.heard.lock().unwrap().push(parcel);
        Box::pin(async {
            Reply {
                message: ANSWER_BODY.to_vec(),
                payload: ANSWER_BLOB.to_vec(),
            }
        })
    }
}

fn two_machines() -> (Sim, Runtime, Runtime) {
    let sim = Sim::new(1, 1_000);
    let asker = sim.add_machine("asker", "z", "10.0.0.1".parse().unwrap());
    let asked = sim.add_machine("asked", "z", "10.0.0.2".parse().unwrap());
    let worlds = (sim.boot(asker), sim.boot(asked));
    (sim, worlds.0, worlds.1)
}

fn asked_at() -> SocketAddr {
    "10.0.0.2:70".parse().unwrap()
}

/// Runs `task` on a machine to its end.
fn play<T: Send + 'static>(
    sim: &Sim,
    world: &Runtime,
    task: impl Future<Output = T> + Send + 'static,
) -> T {
    let outcome: Arc<Mutex<Option<T>>> = Default::default();
    let kept = outcome.clone();
    world.spawn(async move {
        let value = task.await;
        *kept.lock().unwrap() = Some(value);
    });
    sim.run(sim.now() + 60 * SEC, || outcome.lock().unwrap().is_some());
    outcome.lock().unwrap().take().expect("it came to its end")
}

async fn read_exactly(connection: &mut Connection, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    connection
        .read_exact(&mut bytes)
        .await
        .expect("a whole frame");
    bytes
}

#[test]
fn a_node_understands_and_answers_frames_of_every_version() {
    for (version, question, answer) in frames("frames", question_frame, answer_frame) {
        let (sim, asker, asked) = two_machines();
        let peers = PeerClient::new(&asked, "asked", "site of the asked", WIRE_VERSION);
        let ear = Arc::new(Ear::default());
        let (listener, world) = (ear.clone(), asked.clone());
        asked.spawn(async move {
            peers
                .serve(world.bind(asked_at()).await.unwrap(), listener)
                .await
        });
        let (world, length) = (asker.clone(), answer.len());
        let told = play(&sim, &asker, async move {
            world.sleep(10 * MS).await;
            let mut connection = world.connect_within(asked_at(), SEC).await.unwrap();
            connection.write_all(&question).await.unwrap();
            read_exactly(&mut connection, length).await
        });
        assert_eq!(hex(&told), hex(&answer), "answer of version {version}");
        let heard = ear.heard.lock().unwrap().remove(0);
        assert_eq!(
            (heard.from.as_str(), heard.site.as_str(), heard.version),
            ("asker", "site of the asker", version)
        );
        assert_eq!(
            (&heard.message[..], &heard.payload[..]),
            (
                &b"body of the question"[..],
                &b"blob of the question, longer"[..]
            )
        );
    }
}

#[test]
fn a_node_asks_and_is_answered_in_frames_of_every_version() {
    for (version, question, answer) in
        frames("first_frames", first_question_frame, first_answer_frame)
    {
        let (sim, asker, asked) = two_machines();
        let received: Arc<Mutex<Vec<u8>>> = Default::default();
        let (kept, world, length) = (received.clone(), asked.clone(), question.len());
        asked.spawn(async move {
            let mut connection = world
                .bind(asked_at())
                .await
                .unwrap()
                .accept()
                .await
                .unwrap();
            *kept.lock().unwrap() = read_exactly(&mut connection, length).await;
            connection.write_all(&answer).await.unwrap();
            world.sleep(SEC).await;
        });
        let peers = PeerClient::new(&asker, "asker", "site of the asker", WIRE_VERSION);
        peers.record_peer(asked_at(), "site of the asked", version);
        let world = asker.clone();
        let told = play(&sim, &asker, async move {
            world.sleep(10 * MS).await;
            peers
                .request(
                    asked_at(),
                    &PeerRequest::Bootstrap,
                    b"blob of the question",
                    SEC,
                )
                .await
        });
        assert_eq!(
            hex(&received.lock().unwrap()),
            hex(&question),
            "question of version {version}"
        );
        let (tell, blob) = told.expect("an answer");
        assert!(matches!(tell, PeerResponse::Ok));
        assert_eq!(blob, ANSWER_BLOB);
    }
}
