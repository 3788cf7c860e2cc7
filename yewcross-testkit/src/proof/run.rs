//! Runs a plan in the simulator and gathers its evidence.

use super::cluster::{Process, TestCluster};
use super::evidence::{Cap, Evidence, FinalConfig, FrontMachine};
use super::scenario::{Fault, Plan};
use super::with_cluster::{BOOT_TIME, SETTLING_TIME};
use crate::caller;
use crate::protocol_violation::{self, ProtocolViolation};
use crate::topology::Topology;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::SEC;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::ConfigDoc;

/// Tokens of a budget that no run spends.
const AMPLE_BUDGET: u64 = 50_000_000;
/// Most turns of a caller: more than it gets to.
const SESSION_TURNS: usize = 100_000;
/// us from the callers' start to the first fault.
const WARM_UP: u64 = 6 * SEC;
/// us from the last fault to the last put.
const RECOVERY_TIME: u64 = 13 * SEC;
/// us from the last put to the callers' end, and from there to that of the run.
const LAST_LOAD: u64 = 3 * SEC;
const FINAL_REST: u64 = 9 * SEC;
/// us of simulated time after which a run is given up.
const RUN_TIMEOUT: u64 = 400 * SEC;
/// us of simulated time to read the configurations after a run.
const READ_TIMEOUT: u64 = 40 * SEC;
/// The first version that an operator puts.
const FIRST_VERSION: u64 = 2;
/// Code of a put that was acknowledged.
const ACKNOWLEDGED: u16 = 1000;

/// How far a run has come.
#[derive(Default)]
struct Progress {
    is_over: bool,
    is_bootstrapped: bool,
    /// us
    end: u64,
}

/// What can be read of the configuration once a run is over.
#[derive(Default)]
struct FinalState {
    is_read: bool,
    last: Option<FinalConfig>,
    /// Texts by version.
    history: BTreeMap<u64, String>,
}

/// Runs the plan.
pub fn run(plan: &Plan) -> Evidence {
    let cluster = TestCluster::with_topology(plan.seed, &plan.topology, |topology| {
        if plan.single_budget {
            share_budget(topology);
        }
    });
    prepare(&cluster, plan);
    cluster.boot_all();
    let progress: Arc<Mutex<Progress>> = Default::default();
    cluster
        .operator
        .spawn(drive(cluster.clone(), plan.clone(), progress.clone()));
    cluster
        .sim
        .run(RUN_TIMEOUT, || progress.lock().unwrap().is_over);
    let final_state = read_final_state(&cluster);
    let figures = figures(&cluster);
    let progress = progress.lock().unwrap();
    Evidence {
        seen: cluster.diary.records.lock().unwrap().clone(),
        executions: cluster.execution_log.executions.lock().unwrap().clone(),
        late_arrivals: cluster.execution_log.late_arrivals.lock().unwrap().clone(),
        departures: cluster.departures.lock().unwrap().clone(),
        acks: cluster.acks.lock().unwrap().clone(),
        disruptions: cluster.disruptions.lock().unwrap().clone(),
        planned_stops: cluster.planned_stops.lock().unwrap().clone(),
        log: cluster.sim.log(),
        last: final_state.last,
        once: once_only_names(&cluster, plan),
        withdrawals: cluster.withdrawals.lock().unwrap().clone(),
        history: final_state.history,
        fronts: fronts(&cluster),
        is_complete: true,
        budgets: cluster.accounts.lock().unwrap().clone(),
        has_small_budgets: plan.budget.is_some(),
        end: progress.end,
        hash: cluster.sim.log_hash(),
        fingerprint: cluster.sim.fingerprint(),
        figures,
        is_bootstrapped: progress.is_bootstrapped,
        rejected_frames: rejected_frames(&cluster),
        is_reassigning: is_reassigning(&cluster),
    }
}

/// Lets all programs spend from the first one's budget.
fn share_budget(topology: &mut Topology) {
    let budget = topology.workload.turns[0].budget.clone();
    for turns in &mut topology.workload.turns {
        turns.budget = budget.clone();
    }
}

/// Writes the plan into the configuration and the accounts.
fn prepare(cluster: &TestCluster, plan: &Plan) {
    let mut config = cluster.config.lock().unwrap();
    let mut accounts = cluster.accounts.lock().unwrap();
    let talk = &mut config["families"]["talk"];
    if plan.disable_kv_share {
        talk["set"]["kv_share"] = json!(false);
    }
    talk["set"]["repeatable"] = json!(plan.repeatable);
    let tokens = plan.budget.unwrap_or(AMPLE_BUDGET);
    for turns in &cluster.topology.workload.turns {
        talk["under"][&turns.program]["set"]["budget"] = json!(turns.budget);
        let account = accounts.entry(turns.budget.clone()).or_default();
        account.programs.insert(turns.program.clone());
        account.max_turn_tokens = account.max_turn_tokens.max(turns.max_output_tokens);
        account.caps = vec![Cap { from: 0, tokens }];
    }
    for (budget, account) in accounts.iter() {
        config["budgets"][budget]["tokens"] = json!(account.caps[0].tokens);
    }
    if plan.faults.contains(&Fault::RollUpgrade) {
        let names = cluster.topology.nodes.iter().map(|node| node.name.clone());
        cluster.outdated.lock().unwrap().extend(names);
    }
}

/// The whole run, as the operator lives it.
async fn drive(cluster: Arc<TestCluster>, plan: Plan, progress: Arc<Mutex<Progress>>) {
    let operator = &cluster.operator;
    operator.sleep(BOOT_TIME).await;
    let is_bootstrapped =
        cluster.bootstrap().await && cluster.put("core1", 1, "first").await.code == ACKNOWLEDGED;
    progress.lock().unwrap().is_bootstrapped = is_bootstrapped;
    operator.sleep(SETTLING_TIME).await;
    if let Some(violation) = plan.violation {
        replace_fronts(&cluster, violation).await;
    }
    start_callers(&cluster, plan.sessions);
    operator.sleep(WARM_UP).await;
    for fault in plan.faults {
        cluster.clone().inject(fault).await;
        let pause = SEC + cluster.sim.rand() % (3 * SEC);
        operator.sleep(pause).await;
    }
    operator.sleep(RECOVERY_TIME).await;
    if plan.violation.is_none() {
        put_last(&cluster).await;
        operator.sleep(LAST_LOAD).await;
    }
    cluster.diary.stop.store(true, SeqCst);
    operator.sleep(FINAL_REST).await;
    let mut progress = progress.lock().unwrap();
    progress.is_over = true;
    progress.end = cluster.sim.now();
}

async fn replace_fronts(cluster: &Arc<TestCluster>, violation: ProtocolViolation) {
    for front in cluster.topology.nodes_with_role(Role::Front) {
        let machine = cluster.sim.find(&front.name);
        cluster.sim.kill(machine, false);
        let runtime = cluster.sim.boot(machine);
        runtime.spawn(protocol_violation::serve(
            cluster.clone(),
            runtime.clone(),
            front.http,
            violation,
        ));
    }
    protocol_violation::prepare(cluster, violation).await;
}

fn start_callers(cluster: &Arc<TestCluster>, sessions: usize) {
    let runtime = cluster.sim.boot(cluster.sim.find("callers"));
    for session in 0..sessions {
        runtime.spawn(caller::run_session(
            runtime.clone(),
            cluster.topology.clone(),
            cluster.diary.clone(),
            session,
            SESSION_TURNS,
        ));
    }
}

/// With all at rest a put must get through, whichever core it is sent to.
async fn put_last(cluster: &TestCluster) {
    let base = cluster.version().await;
    let running: Vec<String> = cluster
        .names(Role::Core)
        .into_iter()
        .filter(|core| cluster.sim.is_up(cluster.sim.find(core)))
        .collect();
    let core = &running[cluster.sim.rand() as usize % running.len()];
    cluster.put(core, base, "last").await;
}

fn read_final_state(cluster: &Arc<TestCluster>) -> FinalState {
    let state: Arc<Mutex<FinalState>> = Default::default();
    cluster.operator.spawn({
        let (cluster, state) = (cluster.clone(), state.clone());
        async move {
            read_configurations(&cluster, &state).await;
            state.lock().unwrap().is_read = true;
        }
    });
    let deadline = cluster.sim.now() + READ_TIMEOUT;
    cluster.sim.run(deadline, || state.lock().unwrap().is_read);
    let mut state = state.lock().unwrap();
    std::mem::take(&mut *state)
}

/// Reads the newest configuration and its history from the first core that answers.
async fn read_configurations(cluster: &TestCluster, state: &Mutex<FinalState>) {
    for core in cluster.names(Role::Core) {
        let (status, answer) = cluster.get(&core, "/v1/config").await;
        if status != 200 {
            continue;
        }
        let version = answer["version"].as_u64().unwrap_or(0);
        let document = ConfigDoc {
            text: answer["config"].to_string(),
            put_id: answer["put"].as_str().unwrap_or("").into(),
            note: String::new(),
            ..Default::default()
        };
        state.lock().unwrap().last = Some(FinalConfig { version, document });
        for earlier in FIRST_VERSION..=version {
            let path = format!("/v1/config/{earlier}");
            let (status, answer) = cluster.get(&core, &path).await;
            if status == 200 {
                let text = answer["config"].to_string();
                state.lock().unwrap().history.insert(earlier, text);
            }
        }
        return;
    }
}

/// Counts of one kind of peer request.
#[derive(Clone, Copy, Default)]
struct KindCounts {
    requests: u64,
    bytes_sent: u64,
    bytes_received: u64,
}

/// Sums over all nodes.
#[derive(Default)]
struct Sums {
    fronts: BTreeMap<&'static str, u64>,
    kinds: BTreeMap<&'static str, KindCounts>,
    messages: u64,
    bytes_within: u64,
    bytes_across: u64,
    syncs: u64,
}

fn sums(cluster: &TestCluster) -> Sums {
    let mut sums = Sums::default();
    for process in cluster.processes.lock().unwrap().values() {
        let peers = match process {
            Process::Front(front) => {
                for (counter, value) in front.counts.all() {
                    *sums.fronts.entry(counter).or_default() += value;
                }
                &front.peers
            }
            Process::Control(control) => {
                sums.syncs += control.storage.syncs.load(SeqCst);
                &control.peers
            }
            Process::Server(_) => continue,
        };
        for (kind, counts) in peers.metrics.kinds.lock().unwrap().iter() {
            let sum = sums.kinds.entry(*kind).or_default();
            sum.requests += counts.0;
            sum.bytes_sent += counts.1;
            sum.bytes_received += counts.2;
        }
        sums.messages += peers.metrics.messages_sent.load(SeqCst);
        sums.bytes_within += peers.metrics.same_site_bytes.load(SeqCst);
        sums.bytes_across += peers.metrics.cross_site_bytes.load(SeqCst);
    }
    sums
}

/// ms in which acknowledged puts came into force.
fn rollout_times(cluster: &TestCluster) -> Vec<u64> {
    let acks = cluster.acks.lock().unwrap();
    let acknowledged = acks.iter().filter(|ack| ack.code == ACKNOWLEDGED);
    acknowledged.map(|ack| (ack.at - ack.sent) / 1000).collect()
}

/// ms from each server's beginning to drain until its last job came.
fn drain_times(cluster: &TestCluster) -> Vec<u64> {
    let arrivals = cluster.execution_log.late_arrivals.lock().unwrap();
    let departures = cluster.departures.lock().unwrap();
    let drain_time = |departure: &super::evidence::Departure| {
        arrivals
            .iter()
            .filter(|arrival| arrival.server == departure.server && arrival.at >= departure.at)
            .map(|arrival| (arrival.at - departure.at) / 1000)
            .max()
            .unwrap_or(0)
    };
    departures.iter().map(drain_time).collect()
}

fn figures(cluster: &TestCluster) -> Value {
    let sums = sums(cluster);
    let counts = cluster.sim.object_counts();
    let sizes = (counts.tasks, counts.connections, counts.files);
    let kinds: BTreeMap<&str, (u64, u64, u64)> = sums
        .kinds
        .iter()
        .map(|(kind, counts)| {
            let counts = (counts.requests, counts.bytes_sent, counts.bytes_received);
            (*kind, counts)
        })
        .collect();
    json!({
        "callers": caller::summarize(&cluster.diary.records.lock().unwrap()),
        "fronts": sums.fronts,
        "messages": sums.messages,
        "bytes_within": sums.bytes_within,
        "bytes_across": sums.bytes_across,
        "syncs": sums.syncs,
        "odd_frames": rejected_frames(cluster),
        "kinds": kinds,
        "in_force_ms": rollout_times(cluster),
        "leaving_to_last_job_ms": drain_times(cluster),
        "polls": cluster.sim.polls(),
        "sizes": format!("{sizes:?}"),
    })
}

fn rejected_frames(cluster: &TestCluster) -> u64 {
    let processes = cluster.processes.lock().unwrap();
    processes
        .values()
        .map(|process| match process {
            Process::Front(front) => front.peers.rejected_frames.load(SeqCst),
            Process::Control(control) => control.peers.rejected_frames.load(SeqCst),
            Process::Server(_) => 0,
        })
        .sum()
}

/// Programs and methods whose jobs may run once only.
fn once_only_names(cluster: &TestCluster, plan: &Plan) -> BTreeSet<String> {
    let turns = cluster.topology.workload.turns.iter();
    let programs = turns.map(|turns| turns.program.clone());
    let programs = programs.filter(|_| !plan.repeatable);
    programs.chain(["confirm".to_string()]).collect()
}

fn fronts(cluster: &TestCluster) -> BTreeMap<SocketAddr, FrontMachine> {
    let changed = cluster.changed_nodes.lock().unwrap();
    let nodes = cluster.topology.nodes.iter().chain(changed.values());
    let fronts = nodes.filter(|node| node.role == Role::Front);
    fronts
        .map(|front| {
            let machine = FrontMachine {
                name: front.name.clone(),
                site: front.site.clone(),
            };
            (front.http, machine)
        })
        .collect()
}

/// Whether the newest layout that a running node has still names previous disks.
fn is_reassigning(cluster: &TestCluster) -> bool {
    let layouts = cluster
        .running_controls()
        .into_iter()
        .map(|control| control.documents.layout.load_full());
    layouts.max_by_key(|layout| layout.0).is_some_and(|layout| {
        !layout.1.core.previous.is_empty() || !layout.1.store.previous.is_empty()
    })
}
