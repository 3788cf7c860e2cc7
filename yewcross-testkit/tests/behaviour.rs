//! What the simulated deployments do, event by event, as a table of fingerprints: a change of names
//! or of log lines leaves every row as it is, a change of behaviour does not.
//! `YEWCROSS_WRITE_FIXTURES=1` writes the table anew.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Mutex;
use strum::IntoEnumIterator;
use yewcross_common::constants::*;
use yewcross_testkit::proof::{Fault, Plan, each, run};
use yewcross_testkit::sim::Sim;
use yewcross_testkit::tier::{Tier, boot_and_wait, run_script};

/// A row's name, and the run that it stands for.
struct Row {
    name: String,
    run: Box<dyn Fn() -> u128 + Send + Sync>,
}

impl Row {
    fn new(name: String, run: impl Fn() -> u128 + Send + Sync + 'static) -> Row {
        Row {
            name,
            run: Box::new(run),
        }
    }

    /// Faults one after another, in the deployment that the proof runs use.
    fn of_proof(seed: u64, acts: &[Fault]) -> Row {
        let words: Vec<&str> = acts.iter().map(|act| act.into()).collect();
        let plan = Plan::new(seed, "small", acts);
        Row::new(
            format!("proof small {seed} {}", words.join("+")),
            move || run(&plan).fingerprint,
        )
    }

    /// A control plane that keeps itself, takes orders and loses a core and a store.
    fn of_control(seed: u64) -> Row {
        Row::new(
            format!("control 4+4+2 {seed} orders+power-core+power-store"),
            move || control(seed),
        )
    }
}

fn control(seed: u64) -> u128 {
    let tier = Tier::new(seed, [4, 4, 2], 1);
    run_script(&tier, |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            tier.put_until_acknowledged(0, "1 first").await;
            tier.kill("core1", true);
            tier.put_until_acknowledged(1, "2 without a core").await;
            tier.kill("store1", true);
            tier.put_until_acknowledged(2, "3 without a store").await;
            tier.boot("core1", false);
            tier.boot("store1", false);
            tier.operator.sleep(4 * SEC).await;
            tier.put_until_acknowledged(3, "4 all are back").await;
            tier.operator.sleep(SEC).await;
        })
    });
    tier.sim.fingerprint()
}

/// Runs of routed requests are not among them: the stores' `Chain` messages list their entries, and
/// servers' connections are closed, in an order that is another one in each process, as that of a
/// hash map is.
fn rows() -> Vec<Row> {
    let acts: Vec<Fault> = Fault::iter().collect();
    let alone = acts.iter().map(|act| Row::of_proof(1, &[*act]));
    let pairs = (300..320u64).map(|seed| {
        let [first, second] =
            [7, 13].map(|stride| acts[(seed * stride % acts.len() as u64) as usize]);
        Row::of_proof(seed, &[first, second])
    });
    alone.chain(pairs).chain([Row::of_control(1)]).collect()
}

fn table_file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/behaviour.txt")
}

/// The table: a row's fingerprint in hex, a space, and its name.
fn read_table() -> BTreeMap<String, String> {
    let text = std::fs::read_to_string(table_file()).unwrap_or_default();
    let rows = text.lines().filter_map(|line| line.split_once(' '));
    rows.map(|(fingerprint, name)| (name.into(), fingerprint.into()))
        .collect()
}

fn write_table(table: &BTreeMap<String, String>) {
    let lines: String = table
        .iter()
        .map(|(name, fingerprint)| format!("{fingerprint} {name}\n"))
        .collect();
    std::fs::write(table_file(), lines).unwrap();
}

fn run_all() -> BTreeMap<String, String> {
    let table: Mutex<BTreeMap<String, String>> = Mutex::default();
    let panicked = each(rows(), |row| {
        let fingerprint = (row.run)();
        table
            .lock()
            .unwrap()
            .insert(row.name, format!("{fingerprint:032x}"))
            .is_none()
    });
    assert_eq!(panicked, 0, "two rows have one name");
    table.into_inner().unwrap()
}

/// The rows in which two tables differ, each as it is in the old one and in the new one.
fn differences(old: &BTreeMap<String, String>, new: &BTreeMap<String, String>) -> Vec<String> {
    let names: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let row = |table: &BTreeMap<String, String>, name: &str| {
        table
            .get(name)
            .map_or("none".into(), |print| format!("{print} {name}"))
    };
    let differing = names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name));
    differing
        .map(|name| format!("old: {}\nnew: {}", row(old, name), row(new, name)))
        .collect()
}

#[test]
fn what_happens_is_as_in_the_table() {
    let (old, new) = (read_table(), run_all());
    if std::env::var("YEWCROSS_WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        write_table(&new);
        panic!(
            "YEWCROSS_WRITE_FIXTURES=1: {} rows were written and none was compared",
            new.len()
        );
    }
    let differing = differences(&old, &new);
    assert!(
        differing.is_empty(),
        "{} of {} rows differ\n{}",
        differing.len(),
        new.len(),
        differing.join("\n")
    );
}

/// A caller asks a machine once; the machine stores the question, logs, and answers.
struct Talk {
    answer: &'static str,
    log: &'static str,
    path: &'static str,
    stored: &'static str,
    pause: u64,
    /// The port that the caller connects to; the machine listens at 7000.
    port: u16,
    caller: &'static str,
}

const TALK: Talk = Talk {
    answer: "yes",
    log: "asked",
    path: "question",
    stored: "well?",
    pause: 10 * MS,
    port: 7000,
    caller: "caller",
};

impl Talk {
    fn fingerprint(&self) -> u128 {
        let sim = Sim::new(1, 900);
        let [caller, machine] = [(self.caller, 1), ("machine", 2)].map(|(name, last)| {
            let index = sim.add_machine(name, "site", IpAddr::from([10, 0, 0, last]));
            sim.boot(index)
        });
        let Talk {
            answer,
            log,
            path,
            stored,
            pause,
            port,
            ..
        } = *self;
        let address = |port| SocketAddr::new(IpAddr::from([10, 0, 0, 2]), port);
        machine.clone().spawn(async move {
            let door = machine.bind(address(7000)).await.unwrap();
            let mut connection = door.accept().await.unwrap();
            machine.log(log);
            machine.write_file(path, stored.into()).await.unwrap();
            machine.sleep(pause).await;
            futures_lite::AsyncWriteExt::write_all(&mut connection, answer.as_bytes())
                .await
                .unwrap();
        });
        caller.clone().spawn(async move {
            caller.sleep(MS).await;
            if let Ok(mut connection) = caller.connect(address(port)).await {
                let mut heard = Vec::new();
                let _ = futures_lite::AsyncReadExt::read_to_end(&mut connection, &mut heard).await;
            }
        });
        sim.run(SEC, || false);
        sim.fingerprint()
    }
}

#[test]
fn words_of_the_log_do_not_enter() {
    assert_eq!(
        TALK.fingerprint(),
        Talk {
            log: "somebody has a question",
            ..TALK
        }
        .fingerprint()
    );
}

#[test]
fn the_time_in_a_date_header_does_not_enter() {
    let [first, second, other] = [
        "HTTP/1.1 200 OK\r\ndate: Wed, 02 Dec 2026 14:25:51 GMT\r\nx: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\ndate: Thu, 03 Dec 2026 01:02:03 GMT\r\nx: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\ndate: Thu, 03 Dec 2026 01:02:03 GMT\r\nx: 2\r\n\r\n",
    ]
    .map(|answer| Talk { answer, ..TALK }.fingerprint());
    assert_eq!(first, second);
    assert_ne!(first, other);
}

#[test]
fn whatever_else_happens_enters() {
    let others = [
        (
            "an answer's bytes",
            Talk {
                answer: "yea",
                ..TALK
            },
        ),
        (
            "an answer's length",
            Talk {
                answer: "yes!",
                ..TALK
            },
        ),
        (
            "a stored file's bytes",
            Talk {
                stored: "what?",
                ..TALK
            },
        ),
        (
            "a stored file's path",
            Talk {
                path: "questions",
                ..TALK
            },
        ),
        (
            "the time of an answer",
            Talk {
                pause: 10 * MS + 1,
                ..TALK
            },
        ),
        ("a refusal", Talk { port: 7001, ..TALK }),
        (
            "the machine that is answered",
            Talk {
                caller: "customer",
                ..TALK
            },
        ),
    ];
    let prints: Vec<u128> = others.iter().map(|(_, talk)| talk.fingerprint()).collect();
    for (index, (what, _)) in others.iter().enumerate() {
        assert!(
            prints[index] != TALK.fingerprint() && !prints[..index].contains(&prints[index]),
            "{what} was not seen"
        );
    }
}
