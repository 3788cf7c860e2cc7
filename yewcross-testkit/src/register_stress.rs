//! Stress of the register alone: every store changes the same few keys at once while disks and
//! links fail. An acknowledged change must stand exactly once and in order, a rejected one must
//! not stand.

use crate::proof::{Fault, TestCluster};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;
use yewcross_common::register::{ChangeError, ValueUpdate};
use yewcross_control::Control;

/// us from the nodes' start to bootstrap.
const BOOT_TIME: u64 = 1500 * MS;
/// us for the stores to recover after the last change.
const RECOVERY_TIME: u64 = 8 * SEC;
/// us of simulated time after which a run is given up.
const RUN_TIMEOUT: u64 = 300 * SEC;
/// us for one change.
const CHANGE_TIMEOUT: u64 = 900 * MS;
/// us for the last read of a key.
const READ_TIMEOUT: u64 = 5 * SEC;
/// us, the longest pause of a client between two changes.
const MAX_PAUSE: u64 = 60 * MS;
/// Faults in one run of a sweep.
const FAULTS_PER_RUN: usize = 3;
/// Violations that a sweep prints of one run.
const PRINTED_VIOLATIONS: usize = 6;

/// Faults that the register must survive.
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

/// One change: it adds its id to the key's value.
#[derive(Clone, Debug)]
pub struct Change {
    /// Counts from 1.
    pub id: u64,
    /// The key that it changes.
    pub key: String,
    /// us at which it began.
    pub began: u64,
    /// us at which its outcome was known, if it was.
    pub ended: Option<u64>,
    /// What its client was answered.
    pub outcome: Option<Result<(), ChangeError>>,
}

/// What happened in one run.
pub struct StressRun {
    /// All changes, by id.
    pub changes: Vec<Change>,
    /// Each key's value at the end: the ids in it, or None where nobody could read it.
    pub final_values: BTreeMap<String, Option<Vec<u64>>>,
    /// Digest of the log.
    pub hash: u64,
    /// Time (us), machine and text of each line.
    pub log: Vec<(u64, String, String)>,
}

/// How many changes came out how.
struct OutcomeCounts {
    all: usize,
    acknowledged: usize,
    rejected: usize,
    undecided: usize,
}

fn ids(value: &[u8]) -> Vec<u64> {
    let (chunks, _) = value.as_chunks::<8>();
    chunks.iter().map(|id| u64::from_le_bytes(*id)).collect()
}

/// Runs clients on all stores for so many seconds while the faults come one after another.
pub fn run(seed: u64, faults: &[Fault], keys: usize, seconds: u64) -> StressRun {
    run_on(TestCluster::new(seed, "disks"), faults, keys, seconds)
}

/// Runs with disks that acknowledge syncs without making them, and a power loss everywhere: the
/// check must fail.
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
    is_over: Mutex<bool>,
}

fn run_on(cluster: Arc<TestCluster>, faults: &[Fault], keys: usize, seconds: u64) -> StressRun {
    cluster.boot("platform");
    for node in &cluster.topology.nodes {
        cluster.boot(&node.name);
    }
    let recording = Arc::new(Recording::default());
    cluster.operator.spawn(drive(
        cluster.clone(),
        recording.clone(),
        faults.to_vec(),
        keys,
        seconds,
    ));
    cluster
        .sim
        .run(RUN_TIMEOUT, || *recording.is_over.lock().unwrap());
    StressRun {
        changes: recording.changes.lock().unwrap().clone(),
        final_values: recording.final_values.lock().unwrap().clone(),
        hash: cluster.sim.log_hash(),
        log: cluster.sim.log(),
    }
}

async fn drive(
    cluster: Arc<TestCluster>,
    recording: Arc<Recording>,
    faults: Vec<Fault>,
    keys: usize,
    seconds: u64,
) {
    let operator = &cluster.operator;
    operator.sleep(BOOT_TIME).await;
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
        let value = read_anywhere(&cluster, &key).await;
        recording.final_values.lock().unwrap().insert(key, value);
    }
    *recording.is_over.lock().unwrap() = true;
}

fn key_name(index: usize) -> String {
    format!("k{index}")
}

fn running_control(cluster: &TestCluster, node: &str) -> Option<Arc<Control>> {
    let control = cluster.control(node)?;
    let machine = cluster.sim.find(node);
    cluster.sim.is_up(machine).then_some(control)
}

/// The key's value as the first store that can read it says.
async fn read_anywhere(cluster: &TestCluster, key: &str) -> Option<Vec<u64>> {
    for node in cluster.names(Role::Store) {
        let Some(control) = running_control(cluster, &node) else {
            continue;
        };
        if let Ok((_, _, value)) = control.registers.read_with_ballot(key, READ_TIMEOUT).await {
            return Some(ids(&value));
        }
    }
    None
}

/// Changes drawn keys through one store until `stop`.
async fn run_client(
    cluster: Arc<TestCluster>,
    node: String,
    recording: Arc<Recording>,
    keys: usize,
    stop: u64,
) {
    while cluster.sim.now() < stop {
        let pause = cluster.sim.rand() % MAX_PAUSE;
        cluster.operator.sleep(pause).await;
        let Some(control) = running_control(&cluster, &node) else {
            continue;
        };
        let key = key_name(cluster.sim.rand() as usize % keys);
        let id = begin_change(&cluster, &recording, &key);
        let (done, wait_done) = async_channel::bounded::<()>(1);
        // A change belongs to the store's own process and ends with it: then `done` is dropped.
        let runtime = control.runtime.clone();
        let (cluster, recording) = (cluster.clone(), recording.clone());
        runtime.spawn(async move {
            let outcome = append_id(&control, &key, id).await;
            let mut changes = recording.changes.lock().unwrap();
            let change = &mut changes[id as usize - 1];
            change.ended = Some(cluster.sim.now());
            change.outcome = Some(outcome);
            drop(changes);
            // The client waits for this one signal.
            let _ = done.try_send(());
        });
        // An error says that the process has ended.
        let _ = wait_done.recv().await;
    }
}

fn begin_change(cluster: &TestCluster, recording: &Recording, key: &str) -> u64 {
    let mut changes = recording.changes.lock().unwrap();
    let id = changes.len() as u64 + 1;
    changes.push(Change {
        id,
        key: key.into(),
        began: cluster.sim.now(),
        ended: None,
        outcome: None,
    });
    id
}

async fn append_id(control: &Control, key: &str, id: u64) -> Result<(), ChangeError> {
    let add = |_: u64, value: &[u8]| {
        if ids(value).contains(&id) {
            return ValueUpdate::Keep(());
        }
        let mut longer = value.to_vec();
        longer.extend(id.to_le_bytes());
        ValueUpdate::Write(longer, ())
    };
    control.registers.change(key, CHANGE_TIMEOUT, add).await
}

/// What the run shows that must not be.
pub fn violations(run: &StressRun) -> Vec<String> {
    let mut found = vec![];
    for (key, value) in &run.final_values {
        let Some(value) = value else {
            found.push(format!("{key} cannot be read at the end"));
            continue;
        };
        let changes: BTreeMap<u64, &Change> = run
            .changes
            .iter()
            .filter(|change| change.key == *key)
            .map(|change| (change.id, change))
            .collect();
        check_presence(key, value, &changes, &mut found);
        check_order(key, value, &changes, &mut found);
    }
    found
}

fn check_presence(
    key: &str,
    value: &[u64],
    changes: &BTreeMap<u64, &Change>,
    found: &mut Vec<String>,
) {
    let present: std::collections::BTreeSet<u64> = value.iter().copied().collect();
    if present.len() != value.len() {
        found.push(format!("{key} holds a change twice"));
    }
    for (id, change) in changes {
        match (&change.outcome, present.contains(id)) {
            (Some(Ok(())), false) => found.push(format!(
                "{key}: change {id} was acknowledged at {:?} and is lost",
                change.ended
            )),
            (Some(Err(ChangeError::NotApplied)), true) => found.push(format!(
                "{key}: change {id} was refused at {:?} and stands",
                change.ended
            )),
            _ => {}
        }
    }
}

/// A change that was acknowledged before another began stands before it.
fn check_order(
    key: &str,
    value: &[u64],
    changes: &BTreeMap<u64, &Change>,
    found: &mut Vec<String>,
) {
    let mut latest_began = 0;
    let mut latest_id = 0;
    for id in value {
        let Some(change) = changes.get(id) else {
            continue;
        };
        let is_acknowledged = change.outcome == Some(Ok(()));
        if is_acknowledged && change.ended.is_some_and(|ended| ended < latest_began) {
            found.push(format!(
                "{key}: change {id} ended before {latest_id} began, yet stands after it"
            ));
        }
        (latest_began, latest_id) = (latest_began, latest_id).max((change.began, *id));
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
        all: run.changes.len(),
        acknowledged: count(Ok(())),
        rejected: count(Err(ChangeError::NotApplied)),
        undecided: count(Err(ChangeError::Undecided)),
    }
}

/// The faults of a seed's run in a sweep.
fn draw_faults(seed: u64) -> Vec<Fault> {
    let mut random = fastrand::Rng::with_seed(seed);
    (0..FAULTS_PER_RUN)
        .map(|_| FAULTS[random.usize(0..FAULTS.len())])
        .collect()
}

/// Runs and judges every seed; prints a line for each. Returns how many showed a violation.
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
        "seed {seed} {faults:?}: {} of {} changes {} won, {} refused, {} undecided",
        if violations.is_empty() {
            "holds"
        } else {
            "BROKEN"
        },
        counts.all,
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
        report += &format!("\n  again: yewcross-lab grind --from {seed} --trace");
    }
    report
}
