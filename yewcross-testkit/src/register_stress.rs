//! Stress test of the register alone: all stores change the same few keys concurrently while disks
//! and links fail. At the end each acknowledged change must be present exactly once and in order,
//! and no rejected change may be present.

use crate::proof::{Fault, TestCluster};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;
use yewcross_common::register::{ChangeError, ValueUpdate};
use yewcross_control::Control;

/// us between the start of the nodes and the bootstrap.
const BOOTSTRAP_DELAY: u64 = 1500 * MS;
/// us for the stores to recover after the last change.
const RECOVERY_TIME: u64 = 8 * SEC;
/// us of simulated time after which a run is aborted.
const RUN_TIMEOUT: u64 = 300 * SEC;
/// Time-out of a change, us.
const CHANGE_TIMEOUT: u64 = 900 * MS;
/// Time-out of the final read of a key, us.
const READ_TIMEOUT: u64 = 5 * SEC;
/// us, the exclusive upper bound of a client's pause between two changes.
const MAX_CHANGE_INTERVAL: u64 = 60 * MS;
/// Faults injected in each run of a sweep.
const FAULTS_PER_RUN: usize = 3;
/// Violations that a sweep prints for one run at most.
const PRINTED_VIOLATIONS: usize = 6;

/// Faults that the register must tolerate.
pub const FAULTS: [Fault; 12] = [
    Fault::KillStore,
    Fault::PowerStore,
    Fault::PowerAllStores,
    Fault::LoseStoreDisk,
    Fault::FreezeStore,
    Fault::StallDisk,
    Fault::FullDisk,
    Fault::RotStore,
    Fault::OneWayCut,
    Fault::Weather,
    Fault::SiteCut,
    Fault::ClockJump,
];

/// A change, which appends its id to the key's value.
#[derive(Clone, Debug)]
pub struct Change {
    /// Position among all changes, from 1.
    pub id: u64,
    /// The changed key.
    pub key: String,
    /// us at which the change started.
    pub started_at: u64,
    /// us at which the outcome was returned; None if the process ended before.
    pub ended_at: Option<u64>,
    /// Outcome returned to the client; None if the process ended before.
    pub outcome: Option<Result<(), ChangeError>>,
}

/// The record of one run.
pub struct StressRun {
    /// All changes, by id.
    pub changes: Vec<Change>,
    /// Final value of each key: the ids in it, or None if no store could read it.
    pub final_values: BTreeMap<String, Option<Vec<u64>>>,
    /// Digest of the log.
    pub log_hash: u64,
    /// Time (us), machine and text of each log line.
    pub log: Vec<(u64, String, String)>,
}

/// Number of changes by outcome.
struct OutcomeCounts {
    total: usize,
    acknowledged: usize,
    rejected: usize,
    undecided: usize,
}

fn decode_change_ids(value: &[u8]) -> Vec<u64> {
    let (chunks, _) = value.as_chunks::<8>();
    chunks.iter().map(|id| u64::from_le_bytes(*id)).collect()
}

/// Runs clients on all stores for so many simulated seconds while the faults are injected one after
/// another.
pub fn run(seed: u64, faults: &[Fault], keys: usize, seconds: u64) -> StressRun {
    run_on(TestCluster::new(seed, "disks"), faults, keys, seconds)
}

/// Runs with disks that acknowledge syncs without performing them, and with a power loss of all
/// stores. The check must fail.
pub fn run_with_ignored_syncs(seed: u64) -> StressRun {
    let cluster = TestCluster::new(seed, "disks");
    for store in cluster.names(Role::Store) {
        let machine = cluster.sim.find(&store);
        cluster.sim.disk(machine, |disk| disk.ignores_syncs = true);
    }
    run_on(cluster, &[Fault::PowerAllStores], 3, 16)
}

#[derive(Default)]
struct Recording {
    changes: Mutex<Vec<Change>>,
    final_values: Mutex<BTreeMap<String, Option<Vec<u64>>>>,
    is_finished: Mutex<bool>,
}

fn run_on(cluster: Arc<TestCluster>, faults: &[Fault], keys: usize, seconds: u64) -> StressRun {
    cluster.boot("platform");
    for node in &cluster.topology.nodes {
        cluster.boot(&node.name);
    }
    let recording = Arc::new(Recording::default());
    cluster.operator.spawn(run_scenario(
        cluster.clone(),
        recording.clone(),
        faults.to_vec(),
        keys,
        seconds,
    ));
    cluster
        .sim
        .run(RUN_TIMEOUT, || *recording.is_finished.lock().unwrap());
    StressRun {
        changes: recording.changes.lock().unwrap().clone(),
        final_values: recording.final_values.lock().unwrap().clone(),
        log_hash: cluster.sim.log_hash(),
        log: cluster.sim.log(),
    }
}

async fn run_scenario(
    cluster: Arc<TestCluster>,
    recording: Arc<Recording>,
    faults: Vec<Fault>,
    keys: usize,
    seconds: u64,
) {
    let operator = &cluster.operator;
    operator.sleep(BOOTSTRAP_DELAY).await;
    cluster.bootstrap().await;
    operator.sleep(SEC).await;
    let stop = cluster.sim.now() + seconds * SEC;
    for node in cluster.names(Role::Store) {
        let client = run_client(cluster.clone(), node, recording.clone(), keys, stop);
        operator.spawn(client);
    }
    operator.sleep(SEC).await;
    for fault in faults {
        cluster.clone().inject(fault).await;
        operator.sleep(cluster.sim.rand() % SEC).await;
    }
    while cluster.sim.now() < stop {
        operator.sleep(SEC).await;
    }
    operator.sleep(RECOVERY_TIME).await;
    for key in (0..keys).map(key_name) {
        let value = read_from_any_store(&cluster, &key).await;
        recording.final_values.lock().unwrap().insert(key, value);
    }
    *recording.is_finished.lock().unwrap() = true;
}

fn key_name(index: usize) -> String {
    format!("k{index}")
}

fn running_control(cluster: &TestCluster, node: &str) -> Option<Arc<Control>> {
    let control = cluster.control(node)?;
    let machine = cluster.sim.find(node);
    cluster.sim.is_up(machine).then_some(control)
}

/// The key's value as read by the first store that succeeds.
async fn read_from_any_store(cluster: &TestCluster, key: &str) -> Option<Vec<u64>> {
    for node in cluster.names(Role::Store) {
        let Some(control) = running_control(cluster, &node) else {
            continue;
        };
        if let Ok((_, _, value)) = control.registers.read_with_ballot(key, READ_TIMEOUT).await {
            return Some(decode_change_ids(&value));
        }
    }
    None
}

/// Changes randomly drawn keys through one store until `stop` (us).
async fn run_client(
    cluster: Arc<TestCluster>,
    node: String,
    recording: Arc<Recording>,
    keys: usize,
    stop: u64,
) {
    while cluster.sim.now() < stop {
        let pause = cluster.sim.rand() % MAX_CHANGE_INTERVAL;
        cluster.operator.sleep(pause).await;
        let Some(control) = running_control(&cluster, &node) else {
            continue;
        };
        let key = key_name(cluster.sim.rand() as usize % keys);
        let id = record_change_start(&cluster, &recording, &key);
        let (done, wait_done) = async_channel::bounded::<()>(1);
        // The change runs as a task of the store's process. If that process ends, the task and
        // `done` are dropped.
        let runtime = control.runtime.clone();
        let (cluster, recording) = (cluster.clone(), recording.clone());
        runtime.spawn(async move {
            let outcome = append_id(&control, &key, id).await;
            let mut changes = recording.changes.lock().unwrap();
            let change = &mut changes[id as usize - 1];
            change.ended_at = Some(cluster.sim.now());
            change.outcome = Some(outcome);
            drop(changes);
            // The channel has capacity for this one signal; it fails only if the client has ended.
            let _ = done.try_send(());
        });
        // An error means that the process has ended.
        let _ = wait_done.recv().await;
    }
}

fn record_change_start(cluster: &TestCluster, recording: &Recording, key: &str) -> u64 {
    let mut changes = recording.changes.lock().unwrap();
    let id = changes.len() as u64 + 1;
    changes.push(Change {
        id,
        key: key.into(),
        started_at: cluster.sim.now(),
        ended_at: None,
        outcome: None,
    });
    id
}

async fn append_id(control: &Control, key: &str, id: u64) -> Result<(), ChangeError> {
    let append = |_: u64, value: &[u8]| {
        if decode_change_ids(value).contains(&id) {
            return ValueUpdate::Keep(());
        }
        let mut extended = value.to_vec();
        extended.extend(id.to_le_bytes());
        ValueUpdate::Write(extended, ())
    };
    control.registers.change(key, CHANGE_TIMEOUT, append).await
}

/// The violations of the register's guarantees that the run shows.
pub fn violations(run: &StressRun) -> Vec<String> {
    let mut violations = vec![];
    for (key, value) in &run.final_values {
        let Some(value) = value else {
            violations.push(format!(
                "{key} could not be read from any store at the end of the run"
            ));
            continue;
        };
        let changes: BTreeMap<u64, &Change> = run
            .changes
            .iter()
            .filter(|change| change.key == *key)
            .map(|change| (change.id, change))
            .collect();
        check_presence(key, value, &changes, &mut violations);
        check_order(key, value, &changes, &mut violations);
    }
    violations
}

/// Checks that no change is present twice, and that each acknowledged change and no rejected change
/// is present.
fn check_presence(
    key: &str,
    value: &[u64],
    changes: &BTreeMap<u64, &Change>,
    violations: &mut Vec<String>,
) {
    let present: std::collections::BTreeSet<u64> = value.iter().copied().collect();
    if present.len() != value.len() {
        violations.push(format!("{key} contains a change more than once"));
    }
    for (id, change) in changes {
        match (&change.outcome, present.contains(id)) {
            (Some(Ok(())), false) => violations.push(format!(
                "{key}: change {id} was acknowledged (at {:?}, in us) but is missing",
                change.ended_at
            )),
            (Some(Err(ChangeError::NotApplied)), true) => violations.push(format!(
                "{key}: change {id} was rejected (at {:?}, in us) but is present",
                change.ended_at
            )),
            _ => {}
        }
    }
}

/// Checks that a change acknowledged before another started is stored before it.
fn check_order(
    key: &str,
    value: &[u64],
    changes: &BTreeMap<u64, &Change>,
    violations: &mut Vec<String>,
) {
    let mut latest_start = 0;
    let mut latest_id = 0;
    for id in value {
        let Some(change) = changes.get(id) else {
            continue;
        };
        let is_acknowledged = change.outcome == Some(Ok(()));
        if is_acknowledged
            && change
                .ended_at
                .is_some_and(|ended_at| ended_at < latest_start)
        {
            violations.push(format!(
                "{key}: change {id} was acknowledged before {latest_id} started but is stored after it"
            ));
        }
        (latest_start, latest_id) = (latest_start, latest_id).max((change.started_at, *id));
    }
}

fn count_outcomes(run: &StressRun) -> OutcomeCounts {
    let count = |outcome: Result<(), ChangeError>| {
        let outcome = Some(outcome);
        run.changes
            .iter()
            .filter(|change| change.outcome == outcome)
            .count()
    };
    OutcomeCounts {
        total: run.changes.len(),
        acknowledged: count(Ok(())),
        rejected: count(Err(ChangeError::NotApplied)),
        undecided: count(Err(ChangeError::Undecided)),
    }
}

/// Draws the faults of a seed's run.
fn draw_faults(seed: u64) -> Vec<Fault> {
    let mut random = fastrand::Rng::with_seed(seed);
    (0..FAULTS_PER_RUN)
        .map(|_| FAULTS[random.usize(0..FAULTS.len())])
        .collect()
}

/// Runs and checks every seed and prints a report for each. Returns how many showed a violation.
pub fn sweep(seeds: Vec<u64>, trace: bool) -> usize {
    crate::proof::each(seeds, |seed| {
        let faults = draw_faults(seed);
        let run = run(seed, &faults, 3, 24);
        let violations = violations(&run);
        println!("{}", report(seed, &faults, &run, &violations, trace));
        violations.is_empty()
    })
}

fn report(
    seed: u64,
    faults: &[Fault],
    run: &StressRun,
    violations: &[String],
    trace: bool,
) -> String {
    let counts = count_outcomes(run);
    let mut report = format!(
        "seed {seed} {faults:?}: {}; {} changes: {} acknowledged, {} rejected, {} undecided",
        if violations.is_empty() {
            "holds"
        } else {
            "BROKEN"
        },
        counts.total,
        counts.acknowledged,
        counts.rejected,
        counts.undecided
    );
    if trace {
        for (at, machine, text) in &run.log {
            report += &format!("\n  {:>10.3} {machine}: {text}", *at as f64 / 1e6);
        }
    }
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        report += &format!("\n  {violation}");
    }
    if !violations.is_empty() {
        report += &format!("\n  reproduce with: yewcross-lab grind --from {seed} --trace");
    }
    report
}
