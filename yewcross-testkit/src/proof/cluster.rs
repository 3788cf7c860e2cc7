//! A simulated deployment: its machines, its operator, the platform's list, and what is recorded
//! about them.

use super::evidence::{Account, Ack, Departure, Disruption, Withdrawal};
use crate::caller::Diary;
use crate::platform::Platform;
use crate::sim::{MachineId, Sim};
use crate::stub_server::{ExecutionLog, StubServer, StubServerSettings};
use crate::topology::{Topology, topology};
use http_types::Method;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::fetch;
use yewcross_common::constants::{MS, RECORD_REPLICAS, SEC, WIRE_OLDEST};
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::runtime::Runtime;
use yewcross_control::Control;
use yewcross_proxy::Front;

/// Hosts in one subnet of the simulated addresses.
const SUBNET_HOSTS: usize = 250;
/// Port of the first address of a host.
const FIRST_PORT: u16 = 1000;
/// Indexes of addresses beside those of the topology.
const STRANGER_ADDRESS: usize = 899;
const OPERATOR_ADDRESS: usize = 900;
const CALLERS_ADDRESS: usize = 901;
const FIRST_ADDED_NODE_ADDRESS: usize = 700;
/// Number of the latest model server before any is replaced.
const FIRST_REPLACEMENT: usize = 50;

/// us that the operator waits for an answer.
const REQUEST_TIMEOUT: u64 = 8 * SEC;
/// Attempts at bootstrap, and us between two of them.
const BOOTSTRAP_ATTEMPTS: usize = 60;
const BOOTSTRAP_RETRY: u64 = 200 * MS;
/// us between two looks whether all replicas are complete.
const REPLICATION_POLL: u64 = 250 * MS;
/// Seconds that an added node has for its replicas.
const REPLICATION_SECONDS: u64 = 30;
/// us from an added node's start to its admission.
const ADMISSION_DELAY: u64 = 3 * SEC;

/// A running process of the cluster.
pub enum Process {
    /// A front.
    Front(Arc<Front>),
    /// A core or a store.
    Control(Arc<Control>),
    /// A model or lookup server.
    Server(Arc<StubServer>),
}

/// A simulated deployment.
pub struct TestCluster {
    /// The world that it runs in.
    pub sim: Sim,
    /// Its machines and servers at the beginning.
    pub topology: Arc<Topology>,
    /// What ran at the servers.
    pub execution_log: Arc<ExecutionLog>,
    /// What callers were answered.
    pub diary: Arc<Diary>,
    /// The operator's runtime, which no fault touches.
    pub operator: Runtime,
    /// The latest process of each machine.
    pub processes: Mutex<BTreeMap<String, Process>>,
    /// The platform's list, while it runs.
    pub platform: Mutex<Option<Arc<Platform>>>,
    /// What the operator was answered.
    pub acks: Mutex<Vec<Ack>>,
    /// Faults after which callers may see errors for a while.
    pub disruptions: Mutex<Vec<Disruption>>,
    /// Servers that began to drain.
    pub departures: Mutex<Vec<Departure>>,
    /// From when to when a node was stopped in good order, in us.
    pub planned_stops: Mutex<Vec<(u64, u64)>>,
    /// The configuration that the operator puts.
    pub config: Mutex<Value>,
    /// What each budget allows.
    pub accounts: Mutex<BTreeMap<String, Account>>,
    /// What was not allowed for a while.
    pub withdrawals: Mutex<Vec<Withdrawal>>,
    /// Number of the latest model server.
    pub(super) latest_server: Mutex<usize>,
    /// Nodes that speak an older version until they are upgraded.
    pub(super) outdated: Mutex<BTreeSet<String>>,
    /// Nodes that are not as in the topology: added, or at another address.
    pub(super) changed_nodes: Mutex<BTreeMap<String, ProcessSettings>>,
}

/// An address of the simulated network.
pub(super) fn address(host: usize, port: u16) -> SocketAddr {
    let (subnet, host) = (host / SUBNET_HOSTS, host % SUBNET_HOSTS);
    let ip = IpAddr::from([10, 0, subnet as u8, host as u8 + 1]);
    SocketAddr::new(ip, FIRST_PORT + port)
}

/// The address of a server that no configuration allows.
pub fn stranger() -> SocketAddr {
    address(STRANGER_ADDRESS, 0)
}

fn add_machines(sim: &Sim, topology: &Topology) -> Runtime {
    let site = &topology.sites[0];
    let operator = sim.machine("operator", site, address(OPERATOR_ADDRESS, 0).ip());
    let operator = sim.boot(operator);
    let callers = sim.machine("callers", site, address(CALLERS_ADDRESS, 0).ip());
    sim.boot(callers);
    sim.machine("platform", site, topology.platform.ip());
    for node in &topology.nodes {
        sim.machine(&node.name, &node.site, node.peer.ip());
    }
    for server in &topology.servers {
        sim.machine(&server.server, &server.site, server.addr.ip());
    }
    operator
}

impl TestCluster {
    /// A deployment of the named topology, with nothing started.
    pub fn new(seed: u64, name: &str) -> Arc<TestCluster> {
        TestCluster::with_topology(seed, name, |_| ())
    }

    /// The same, with a topology that `edit` has changed.
    ///
    /// # Panics
    /// If there is no topology of that name.
    pub fn with_topology(
        seed: u64,
        name: &str,
        edit: impl FnOnce(&mut Topology),
    ) -> Arc<TestCluster> {
        let mut topology = topology(name, &address).unwrap_or_else(|| panic!("no topology {name}"));
        edit(&mut topology);
        let sim = Sim::new(seed, topology.site_latency);
        let operator = add_machines(&sim, &topology);
        let config = serde_json::from_str(&topology.config).unwrap_or_default();
        Arc::new(TestCluster {
            sim,
            topology: Arc::new(topology),
            execution_log: Default::default(),
            diary: Default::default(),
            operator,
            processes: Default::default(),
            platform: Default::default(),
            acks: Default::default(),
            disruptions: Default::default(),
            departures: Default::default(),
            planned_stops: Default::default(),
            config: Mutex::new(config),
            accounts: Default::default(),
            withdrawals: Default::default(),
            latest_server: Mutex::new(FIRST_REPLACEMENT),
            outdated: Default::default(),
            changed_nodes: Default::default(),
        })
    }

    /// Starts the platform, all servers and all nodes.
    pub fn boot_all(self: &Arc<Self>) {
        self.boot("platform");
        for server in &self.topology.servers {
            self.boot(&server.server);
        }
        for node in &self.topology.nodes {
            self.boot(&node.name);
        }
    }

    /// Gives the machine power and starts its process.
    pub fn boot(self: &Arc<Self>, name: &str) {
        let machine = self.sim.find(name);
        self.sim.power_on(machine);
        let runtime = self.sim.boot(machine);
        if name == "platform" {
            self.boot_platform(runtime);
        } else if let Some(settings) = self.settings(name) {
            self.boot_node(runtime, machine, settings);
        } else if let Some(server) = self.server_settings(name) {
            self.boot_server(runtime, server);
        }
    }

    fn boot_platform(self: &Arc<Self>, runtime: Runtime) {
        let previous = self.platform.lock().unwrap().clone();
        let list = previous.map_or_else(|| self.topology.server_list(), |platform| platform.list());
        let cluster = self.clone();
        runtime.clone().spawn(async move {
            let at = cluster.topology.platform;
            let platform = Platform::start(&runtime, at, list).await.ok();
            *cluster.platform.lock().unwrap() = platform;
        });
    }

    fn boot_node(
        self: &Arc<Self>,
        runtime: Runtime,
        machine: MachineId,
        settings: ProcessSettings,
    ) {
        let costs = self.topology.costs.of(settings.role);
        self.sim.set_costs(machine, costs);
        let cluster = self.clone();
        runtime.clone().spawn(async move {
            let name = settings.name.clone();
            let process = match settings.role {
                Role::Front => Front::start(&runtime, settings)
                    .await
                    .ok()
                    .map(Process::Front),
                Role::Core | Role::Store => Control::start(&runtime, settings)
                    .await
                    .ok()
                    .map(Process::Control),
            };
            cluster.add_process(name, process);
        });
    }

    /// Starts a model or lookup server.
    pub(crate) fn boot_server(self: &Arc<Self>, runtime: Runtime, settings: StubServerSettings) {
        let cluster = self.clone();
        runtime.clone().spawn(async move {
            let name = settings.server.clone();
            let log = cluster.execution_log.clone();
            let server = StubServer::start(&runtime, settings, log).await.ok();
            cluster.add_process(name, server.map(Process::Server));
        });
    }

    fn add_process(&self, name: String, process: Option<Process>) {
        if let Some(process) = process {
            self.processes.lock().unwrap().insert(name, process);
        }
    }

    /// Settings with which the node starts, if there is one of that name.
    pub(super) fn settings(&self, node: &str) -> Option<ProcessSettings> {
        let changed = self.changed_nodes.lock().unwrap().get(node).cloned();
        let mut settings = changed.or_else(|| {
            let mut nodes = self.topology.nodes.iter();
            nodes.find(|settings| settings.name == node).cloned()
        })?;
        if self.outdated.lock().unwrap().contains(node) {
            settings.wire = WIRE_OLDEST;
        }
        Some(settings)
    }

    /// Settings of a server of the topology.
    pub(super) fn server_settings(&self, server: &str) -> Option<StubServerSettings> {
        let mut servers = self.topology.servers.iter();
        servers.find(|settings| settings.server == server).cloned()
    }

    /// Records a fault after which callers may see errors for a while.
    pub fn record_disruption(&self, subject: &str) {
        let disruption = Disruption {
            at: self.sim.now(),
            subject: subject.into(),
        };
        self.disruptions.lock().unwrap().push(disruption);
    }

    /// The front of that name, if it has started.
    pub fn front(&self, name: &str) -> Option<Arc<Front>> {
        match self.processes.lock().unwrap().get(name) {
            Some(Process::Front(front)) => Some(front.clone()),
            _ => None,
        }
    }

    /// The core or store of that name, if it has started.
    pub fn control(&self, name: &str) -> Option<Arc<Control>> {
        match self.processes.lock().unwrap().get(name) {
            Some(Process::Control(control)) => Some(control.clone()),
            _ => None,
        }
    }

    /// The model or lookup server of that name, if it has started.
    pub fn server(&self, name: &str) -> Option<Arc<StubServer>> {
        match self.processes.lock().unwrap().get(name) {
            Some(Process::Server(server)) => Some(server.clone()),
            _ => None,
        }
    }

    /// Names of the topology's nodes of a role.
    pub fn names(&self, role: Role) -> Vec<String> {
        let nodes = self.topology.of(role);
        nodes.iter().map(|node| node.name.clone()).collect()
    }

    /// Draws a node of the role.
    pub fn any(&self, role: Role) -> String {
        let names = self.names(role);
        names[self.sim.rand() as usize % names.len()].clone()
    }

    /// Draws a model server, or a lookup server.
    pub fn any_server(&self, is_model: bool) -> String {
        let servers: Vec<&StubServerSettings> = self
            .topology
            .servers
            .iter()
            .filter(|server| server.is_model == is_model)
            .collect();
        servers[self.sim.rand() as usize % servers.len()]
            .server
            .clone()
    }

    pub(super) fn machines(&self, role: Role) -> Vec<MachineId> {
        let names = self.names(role);
        names.iter().map(|name| self.sim.find(name)).collect()
    }

    /// Sends the operator's request. Status 0 if there is no answer.
    async fn request(
        &self,
        node: &str,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> (u16, Value) {
        let Some(settings) = self.settings(node) else {
            return (0, Value::Null);
        };
        let fetched = fetch(
            &self.operator,
            settings.http,
            method,
            path,
            headers,
            body,
            REQUEST_TIMEOUT,
        );
        match fetched.await {
            Ok((status, _, body)) => (status, serde_json::from_slice(&body).unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }

    /// Posts to a node as the operator; status 0 if there is no answer.
    pub async fn post(&self, node: &str, path: &str) -> (u16, Value) {
        self.request(node, Method::Post, path, &[], vec![]).await
    }

    /// Gets from a node as the operator; status 0 if there is no answer.
    pub async fn get(&self, node: &str, path: &str) -> (u16, Value) {
        self.request(node, Method::Get, path, &[], vec![]).await
    }

    /// Bootstraps the cluster; returns whether that succeeded in time.
    pub async fn bootstrap(&self) -> bool {
        let members = json!({
            "cores": self.names(Role::Core),
            "stores": self.names(Role::Store),
        });
        let body = members.to_string().into_bytes();
        for _ in 0..BOOTSTRAP_ATTEMPTS {
            let (status, _) = self
                .request("core1", Method::Post, "/v1/found", &[], body.clone())
                .await;
            if status == 200 {
                return true;
            }
            self.operator.sleep(BOOTSTRAP_RETRY).await;
        }
        false
    }

    /// Puts the present configuration, made unique by a mark, through the named core.
    pub async fn put(&self, core: &str, base: u64, mark: &str) -> Ack {
        let mut config = self.config.lock().unwrap().clone();
        config["budgets"][format!("mark-{mark}")] = json!({"tokens": 0});
        let sent = self.sim.now();
        let headers = [("if-match", format!("\"{base}\""))];
        let body = config.to_string().into_bytes();
        let (status, answer) = self
            .request(core, Method::Put, "/v1/config", &headers, body)
            .await;
        let code = if status == 0 {
            0
        } else {
            answer["code"].as_u64().unwrap_or(0) as u16
        };
        let ack = Ack {
            sent,
            at: self.sim.now(),
            base,
            mark: mark.into(),
            code,
            version: answer["version"].as_u64().unwrap_or(0),
        };
        self.sim.note(&format!(
            "put {mark} over {base} by {core}: {code} {}",
            ack.version
        ));
        self.acks.lock().unwrap().push(ack.clone());
        ack
    }

    /// Version of the configuration as the first core that answers says; 0 if none does.
    pub async fn version(&self) -> u64 {
        for core in self.names(Role::Core) {
            let (status, answer) = self.get(&core, "/v1/config").await;
            if status == 200 {
                return answer["version"].as_u64().unwrap_or(0);
            }
        }
        0
    }

    /// Lets the server drain, and records that.
    pub fn drain_server(&self, server: &str) {
        let departure = Departure {
            at: self.sim.now(),
            server: server.into(),
        };
        self.sim.note(&format!("{server} begins to leave"));
        self.departures.lock().unwrap().push(departure);
        if let Some(server) = self.server(server) {
            server.set_draining(true);
        }
    }

    pub(super) fn running_controls(&self) -> Vec<Arc<Control>> {
        let processes = self.processes.lock().unwrap();
        let running = processes
            .iter()
            .filter_map(|(name, process)| match process {
                Process::Control(control) if self.sim.is_up(self.sim.find(name)) => {
                    Some(control.clone())
                }
                _ => None,
            });
        running.collect()
    }

    /// Waits until every key has its full set of replicas: one disk may be lost at a time. Returns
    /// whether it is so within the time.
    pub async fn wait_fully_replicated(&self, seconds: u64) -> bool {
        let deadline = self.sim.now() + seconds * SEC;
        while self.sim.now() < deadline {
            if is_fully_replicated(&self.running_controls()).await {
                return true;
            }
            self.operator.sleep(REPLICATION_POLL).await;
        }
        false
    }

    /// Starts a node that was not there before and, where it has a disk, admits it.
    pub(super) async fn add_node(self: &Arc<Self>, role: Role) -> String {
        let model = self.topology.of(role)[0].clone();
        let host = FIRST_ADDED_NODE_ADDRESS + role as usize;
        let name = format!("{}-new", model.name);
        let settings = ProcessSettings {
            name: name.clone(),
            site: self.topology.sites[3].clone(),
            peer: address(host, 0),
            http: address(host, 1),
            ..model
        };
        self.sim.machine(&name, &settings.site, settings.peer.ip());
        self.changed_nodes
            .lock()
            .unwrap()
            .insert(name.clone(), settings);
        self.boot(&name);
        self.operator.sleep(ADMISSION_DELAY).await;
        if role != Role::Front {
            let path = format!("/v1/disks/{name}/admit");
            let (status, answer) = self.post("core1", &path).await;
            self.sim.note(&format!("admit {name}: {status} {answer}"));
            self.wait_fully_replicated(REPLICATION_SECONDS).await;
        }
        name
    }

    /// Adds a store if there are only as many as replicas: no store could be drained.
    pub(super) async fn ensure_spare_store(self: &Arc<Self>) {
        if self.names(Role::Store).len() == RECORD_REPLICAS {
            self.add_node(Role::Store).await;
        }
    }
}

/// Whether all that hold a disk of the newest layout have its replicas, and no change of disks is
/// under way.
async fn is_fully_replicated(controls: &[Arc<Control>]) -> bool {
    let newest = controls
        .iter()
        .map(|control| control.documents.layout.load().0)
        .max()
        .unwrap_or(0);
    let mut is_complete = !controls.is_empty();
    for control in controls {
        is_complete &= has_all_replicas(control, newest).await;
    }
    is_complete
}

async fn has_all_replicas(control: &Control, newest: u64) -> bool {
    let layout = control.documents.layout.load();
    let (store, core) = (&layout.1.store, &layout.1.core);
    let has_seat = store
        .current
        .iter()
        .chain(&core.current)
        .any(|disk| *disk == control.storage.disk_id);
    let is_settled = layout.0 == newest && store.previous.is_empty() && core.previous.is_empty();
    if !is_settled {
        return false;
    }
    if !has_seat {
        return true;
    }
    control.swept.load(SeqCst) >= newest && control.replica.keys().await.1 == 0
}
