//! A day of many short sessions, to see that nothing grows without bound.

use super::cluster::TestCluster;
use super::evidence::{Evidence, FinalConfig};
use super::scenario::Fault;
use super::with_cluster::{BOOT_TIME, SETTLING_TIME};
use crate::caller;
use http_types::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::fetch;
use yewcross_common::constants::SEC;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::ConfigDoc;
use yewcross_common::runtime::Runtime;

/// ms for which records are kept.
const RETENTION_MS: u64 = 15_000;
/// us for which a store is frozen: longer than records are kept.
const FREEZE_TIME: u64 = 30 * SEC;
/// Callers that open one session after another.
const CALLERS: usize = 8;
/// Turns of a session.
const SESSION_TURNS: usize = 3;
/// Parts of the day, each of which ends with a sample.
const PARTS: u64 = 4;
/// us from the day's end to that of the run.
const FINAL_REST: u64 = 9 * SEC;
/// Seconds of simulated time, beside the day itself, after which a run is given up.
const EXTRA_SECONDS: u64 = 120;

/// Sizes at a moment of a long day.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// us
    pub at: u64,
    /// Tasks of all processes.
    pub tasks: usize,
    /// Files on all disks.
    pub files: usize,
    /// Lines of the log.
    pub lines: usize,
    /// Requests that callers have made.
    pub done: usize,
}

/// Samples of a day, and its evidence.
pub struct LongDay {
    /// At the end of each part of the day.
    pub samples: Vec<Sizes>,
    /// What was recorded.
    pub evidence: Evidence,
}

/// Many short sessions, some ended by their callers and some just left, with a fault at the day's
/// end.
pub fn long_day(seed: u64, seconds: u64) -> LongDay {
    let cluster = TestCluster::new(seed, "small");
    shorten_retention(&mut cluster.config.lock().unwrap());
    cluster.boot_all();
    let samples: Arc<Mutex<Vec<Sizes>>> = Default::default();
    let is_over = Arc::new(Mutex::new(false));
    cluster.operator.spawn({
        let (cluster, samples, is_over) = (cluster.clone(), samples.clone(), is_over.clone());
        async move {
            live_through(&cluster, &samples, seconds).await;
            *is_over.lock().unwrap() = true;
        }
    });
    let timeout = (seconds + EXTRA_SECONDS) * SEC;
    cluster.sim.run(timeout, || *is_over.lock().unwrap());
    let samples = samples.lock().unwrap().clone();
    LongDay {
        samples,
        evidence: evidence(&cluster),
    }
}

fn shorten_retention(config: &mut Value) {
    config["families"]["talk"]["set"]["keep_ms"] = json!(RETENTION_MS);
    let services = config["services"].as_object_mut();
    for (_, service) in services.into_iter().flatten() {
        service["keep_ms"] = json!(RETENTION_MS);
    }
}

async fn live_through(cluster: &Arc<TestCluster>, samples: &Mutex<Vec<Sizes>>, seconds: u64) {
    let operator = &cluster.operator;
    operator.sleep(BOOT_TIME).await;
    cluster.bootstrap().await;
    cluster.put("core1", 1, "first").await;
    operator.sleep(SETTLING_TIME).await;
    let callers = cluster.sim.boot(cluster.sim.find("callers"));
    for caller in 0..CALLERS {
        callers.spawn(open_sessions(cluster.clone(), callers.clone(), caller));
    }
    for part in 0..PARTS {
        operator.sleep(seconds * SEC / PARTS).await;
        let sample = sizes(cluster);
        samples.lock().unwrap().push(sample);
        match part {
            1 => freeze_store(cluster).await,
            2 => cluster.clone().inject(Fault::PowerStore).await,
            _ => {}
        }
    }
    cluster.diary.stop.store(true, SeqCst);
    operator.sleep(FINAL_REST).await;
}

/// Opens one session after another, and ends every second one.
async fn open_sessions(cluster: Arc<TestCluster>, runtime: Runtime, caller: usize) {
    let mut count = 0;
    while !cluster.diary.stop.load(SeqCst) {
        count += 1;
        let session = 1000 * (caller + 1) + count;
        caller::run_session(
            runtime.clone(),
            cluster.topology.clone(),
            cluster.diary.clone(),
            session,
            SESSION_TURNS,
        )
        .await;
        if count % 2 == 0 {
            end_session(&cluster, &runtime, session).await;
        }
    }
}

/// Ends the session in every program: the caller does not know in which one it was.
async fn end_session(cluster: &TestCluster, runtime: &Runtime, session: usize) {
    let front = cluster.topology.nodes_with_role(Role::Front)[0].http;
    for turns in &cluster.topology.workload.turns {
        let body = json!({"program": turns.program, "session": format!("s{session}")});
        // A session that is not ended is forgotten in time.
        let _ = fetch(
            runtime,
            front,
            Method::Post,
            "/v1/session/end",
            &[],
            body.to_string().into_bytes(),
            SEC,
        )
        .await;
    }
}

fn sizes(cluster: &TestCluster) -> Sizes {
    let counts = cluster.sim.object_counts();
    Sizes {
        at: cluster.sim.now(),
        tasks: counts.tasks,
        files: counts.files,
        lines: cluster.sim.log().len(),
        done: cluster.diary.records.lock().unwrap().len(),
    }
}

async fn freeze_store(cluster: &TestCluster) {
    let machine = cluster.sim.find("store2");
    cluster.sim.freeze(machine);
    cluster.record_disruption("store2");
    cluster.operator.sleep(FREEZE_TIME).await;
    cluster.sim.thaw(machine);
}

fn evidence(cluster: &TestCluster) -> Evidence {
    let programs = cluster.topology.workload.turns.iter();
    let programs = programs.map(|turns| turns.program.clone());
    Evidence {
        seen: cluster.diary.records.lock().unwrap().clone(),
        executions: cluster.execution_log.executions.lock().unwrap().clone(),
        late_arrivals: vec![],
        departures: vec![],
        acks: vec![],
        disruptions: cluster.disruptions.lock().unwrap().clone(),
        planned_stops: vec![],
        log: cluster.sim.log(),
        last: Some(FinalConfig {
            version: 2,
            document: ConfigDoc::default(),
        }),
        once: programs.chain(["confirm".to_string()]).collect(),
        withdrawals: vec![],
        history: BTreeMap::new(),
        fronts: BTreeMap::new(),
        is_complete: false,
        budgets: BTreeMap::new(),
        has_small_budgets: false,
        end: cluster.sim.now(),
        hash: cluster.sim.log_hash(),
        fingerprint: cluster.sim.fingerprint(),
        figures: Value::Null,
        is_bootstrapped: true,
        rejected_frames: 0,
        is_reassigning: false,
    }
}
