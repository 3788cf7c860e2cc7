//! A simulated tier under a plan of disruptions.

use super::caller::{self, Caller, CallerRecords, Fronts};
use super::cfg::{self, ConfigVersion};
use super::server::{CatalogueServer, Fault, FaultRates, Server, ServerRecords, ServerSpec};
use super::test_adapter::TestAdapter;
use super::verdict::Evidence;
use crate::sim::{NetworkConditions, Sim};
use crate::topology::{Topology, topology};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use strum::IntoEnumIterator;
use yewcross_common::adapter::NativeFormat;
use yewcross_common::constants::*;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::runtime::*;
use yewcross_common::turn_log::client::TurnLogClient;
use yewcross_control::Control;
use yewcross_control::api::{Options, PutAcknowledgement, PutAnswer, ReadAnswer};
use yewcross_proxy::{Front, FrontOptions};

/// A failure or an operation that a plan applies to the tier. `Kill` ends a process, `PowerOff` also
/// loses what was not synced to disk, and `Wipe` also loses the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Disruption {
    KillFront,
    #[strum(serialize = "power_front")]
    PowerOffFront,
    FreezeFront,
    #[strum(serialize = "cut_front")]
    IsolateFront,
    /// A front is stopped gracefully and started again.
    StopFront,
    KillStore,
    #[strum(serialize = "power_store")]
    PowerOffStore,
    WipeStore,
    FreezeStore,
    KillCore,
    #[strum(serialize = "power_core")]
    PowerOffCore,
    WipeCore,
    FreezeCore,
    #[strum(serialize = "split_cores")]
    PartitionCores,
    /// Frames between the tier's processes are lost, duplicated or delayed.
    #[strum(serialize = "storm")]
    UnreliableNetwork,
    /// Servers inject every kind of fault.
    #[strum(serialize = "faults")]
    ServerFaults,
    KillServer,
    /// A server crashes, and a server of another service starts at its address.
    ReuseAddress,
    /// A server is removed gracefully and replaced.
    #[strum(serialize = "leave_server")]
    DrainServer,
    /// All servers of a service are replaced one after another.
    #[strum(serialize = "release")]
    RollingRelease,
    /// The platform's server list does not respond.
    #[strum(serialize = "roster_away")]
    CatalogueOutage,
    PutConfig,
    /// Two operators put different configurations at the same time.
    #[strum(serialize = "two_operators")]
    ConcurrentPuts,
    #[strum(serialize = "burst")]
    TrafficBurst,
    KillAll,
    #[strum(serialize = "power_all")]
    PowerOffAll,
    /// All nodes lose power, and one store also loses its disk.
    #[strum(serialize = "wipe_one_power_rest")]
    WipeOnePowerOffRest,
}

impl Disruption {
    /// Whether all nodes fail at once. Random plans contain at most one such disruption, at the end.
    pub fn affects_all_nodes(self) -> bool {
        matches!(
            self,
            Disruption::KillAll | Disruption::PowerOffAll | Disruption::WipeOnePowerOffRest
        )
    }
}

enum Node {
    Front(Arc<Front>),
    Control(Arc<Control>),
}

/// A simulated tier with its servers, callers and operator.
pub struct Tier {
    pub sim: Sim,
    pub topology: Topology,
    /// Runtime of the operator's machine, on which the plan runs.
    pub operator: Runtime,
    pub server_records: Arc<ServerRecords>,
    pub caller_records: Arc<CallerRecords>,
    catalogue: Mutex<Option<Arc<CatalogueServer>>>,
    /// Running nodes of the tier by name.
    nodes: Mutex<BTreeMap<String, Node>>,
    /// Servers by the name of their machine.
    servers: Mutex<BTreeMap<String, Arc<Server>>>,
    /// Number of server processes that were started; makes their ids unique.
    server_starts: Mutex<u64>,
    /// Whether nodes that start from now on join the existing tier instead of bootstrapping it.
    bootstrapped: Mutex<bool>,
    /// Every configuration that was put.
    pub versions: Mutex<Vec<ConfigVersion>>,
    /// Time in us from which the list shows a server as leaving, with the server's id.
    leaving_since: Mutex<Vec<(u64, String)>>,
    /// Begin and end in us of every disruption of nodes or the network.
    disruptions: Mutex<Vec<(u64, u64)>>,
    /// Begin and end in us of every outage of the server list.
    catalogue_outages: Mutex<Vec<(u64, u64)>>,
    /// Time in us at which all nodes had been started again after an outage of all nodes.
    restored_at: Mutex<u64>,
    /// Fault rates of servers that start from now on.
    fault_rates: Mutex<FaultRates>,
    /// Violations that were found while the plan ran.
    pub errors: Mutex<Vec<String>>,
}

fn machine_addr(machine: usize, port: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::from([10, 0, (machine / 250) as u8, (machine % 250) as u8 + 1]),
        1000 + port,
    )
}

/// Names of the servers' machines, each with the service of its first server.
fn server_machines() -> Vec<(String, &'static str)> {
    cfg::SERVICES
        .iter()
        .flat_map(|(service, count)| (0..*count).map(move |k| (format!("{service}{k}"), *service)))
        .collect()
}

/// Time in us after which a change of the servers appears in the platform's list.
const CATALOGUE_LAG: u64 = 800 * MS;

impl Tier {
    /// Creates the machines of a topology; no process runs yet.
    pub fn new(seed: u64, name: &str) -> Arc<Tier> {
        let mut topology =
            topology(name, &machine_addr).unwrap_or_else(|| panic!("unknown topology {name}"));
        topology
            .nodes
            .iter_mut()
            .for_each(|node| node.bootstrap = true);
        let sim = Sim::new(seed, topology.site_latency);
        let site = topology.sites[0].clone();
        let machine = sim.add_machine("operator", &site, machine_addr(900, 0).ip());
        let operator = sim.boot(machine);
        sim.add_machine("callers", &site, machine_addr(901, 0).ip());
        sim.add_machine("platform", &site, topology.platform.ip());
        topology.nodes.iter().for_each(|node| {
            sim.add_machine(&node.name, &node.site, node.peer.ip());
        });
        server_machines()
            .iter()
            .enumerate()
            .for_each(|(i, (machine, _))| {
                sim.add_machine(
                    machine,
                    &topology.sites[i % 4],
                    machine_addr(300 + i, 0).ip(),
                );
            });
        Arc::new(Tier {
            sim,
            topology,
            operator,
            server_records: Default::default(),
            caller_records: Default::default(),
            catalogue: Default::default(),
            nodes: Default::default(),
            servers: Default::default(),
            server_starts: Default::default(),
            bootstrapped: Default::default(),
            versions: Default::default(),
            leaving_since: Default::default(),
            disruptions: Default::default(),
            catalogue_outages: Default::default(),
            restored_at: Default::default(),
            fault_rates: Default::default(),
            errors: Default::default(),
        })
    }

    fn startup_settings(&self, name: &str) -> Option<ProcessSettings> {
        let mut settings = self
            .topology
            .nodes
            .iter()
            .find(|node| node.name == name)
            .cloned()?;
        settings.bootstrap = !*self.bootstrapped.lock().unwrap();
        Some(settings)
    }

    /// The running core and store nodes.
    pub fn control_nodes(&self) -> Vec<Arc<Control>> {
        let nodes = self.nodes.lock().unwrap();
        let control = |node: &Node| match node {
            Node::Control(control) => Some(control.clone()),
            Node::Front(_) => None,
        };
        nodes.values().filter_map(control).collect()
    }

    /// Names of all nodes with a role.
    pub fn node_names(&self, role: Role) -> Vec<String> {
        self.topology
            .nodes_with_role(role)
            .iter()
            .map(|node| node.name.clone())
            .collect()
    }

    /// Powers a node's machine on and starts the node's process.
    pub fn boot(self: &Arc<Self>, name: &str) {
        let machine = self.sim.find(name);
        self.sim.power_on(machine);
        let runtime = self.sim.boot(machine);
        let Some(settings) = self.startup_settings(name) else {
            return;
        };
        self.sim
            .set_costs(machine, self.topology.costs.for_role(settings.role));
        let (tier, node_name) = (self.clone(), name.to_string());
        self.nodes.lock().unwrap().remove(name);
        runtime.clone().spawn(async move {
            let node = match settings.role {
                Role::Front => {
                    let front =
                        Front::open_without_leases(&runtime, settings, Arc::new(NativeFormat));
                    let turn_log = TurnLogClient::new(
                        &front.members,
                        &front.documents,
                        &front.settings,
                        &front.buffer_memory,
                    );
                    let options = FrontOptions {
                        caller: Arc::new(TestAdapter),
                        upstream_protocol: Arc::new(TestAdapter),
                        turn_log: Some(Arc::new(turn_log)),
                    };
                    front
                        .serve_routes(options)
                        .await
                        .ok()
                        .map(|_| Node::Front(front))
                }
                _ => {
                    let options = Options {
                        configuration_format: Arc::new(NativeFormat),
                        server_catalogue: Some(Arc::new(TestAdapter)),
                        put_acknowledgement: PutAcknowledgement::Decided,
                        bind_http: true,
                        maintains_layout: true,
                        outranks_younger_process: true,
                    };
                    Control::start_with(&runtime, settings, options)
                        .await
                        .ok()
                        .map(Node::Control)
                }
            };
            match node {
                Some(node) => {
                    tier.nodes.lock().unwrap().insert(node_name, node);
                }
                None => tier
                    .errors
                    .lock()
                    .unwrap()
                    .push(format!("START node {node_name} failed to start")),
            }
        });
    }

    /// Powers a machine on and starts a server of a service on it.
    fn start_server(self: &Arc<Self>, machine: &str, service: &str) {
        let machine_id = self.sim.find(machine);
        self.sim.power_on(machine_id);
        let runtime = self.sim.boot(machine_id);
        let id = {
            let mut starts = self.server_starts.lock().unwrap();
            *starts += 1;
            format!("{machine}-{}", *starts)
        };
        let index = server_machines()
            .iter()
            .position(|entry| entry.0 == machine)
            .unwrap_or(0);
        let spec = ServerSpec {
            id,
            service: service.into(),
            addr: machine_addr(300 + index, 0),
            site: self.sim.site(machine_id),
            slots: 8,
            queue_limit: 4,
            max_connections: 128,
            service_time: 20 * MS,
            event_interval: 10 * MS,
        };
        let (tier, name, fault_rates) = (
            self.clone(),
            machine.to_string(),
            self.fault_rates.lock().unwrap().clone(),
        );
        runtime.clone().spawn(async move {
            if let Ok(server) =
                Server::start(&runtime, spec, tier.server_records.clone(), fault_rates).await
            {
                tier.servers.lock().unwrap().insert(name, server);
                tier.publish_servers();
            }
        });
    }

    /// Publishes the current servers in the platform's list.
    fn publish_servers(&self) {
        let servers: Vec<_> = self
            .servers
            .lock()
            .unwrap()
            .values()
            .map(|server| server.listed())
            .collect();
        self.catalogue
            .lock()
            .unwrap()
            .iter()
            .for_each(|catalogue| catalogue.publish(servers.clone()));
    }

    fn machines_of_service(&self, service: &str) -> Vec<String> {
        self.servers
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, server)| server.spec.service == service)
            .map(|(machine, _)| machine.clone())
            .collect()
    }

    /// Starts the list, the servers and the nodes, and puts the first configuration. Returns 3 s
    /// after it was acknowledged.
    pub async fn start_all(self: &Arc<Self>) {
        let machine = self.sim.find("platform");
        let runtime = self.sim.boot(machine);
        let catalogue =
            CatalogueServer::start(&runtime, self.topology.platform, CATALOGUE_LAG, 5, 40)
                .await
                .ok();
        *self.catalogue.lock().unwrap() = catalogue;
        server_machines()
            .iter()
            .for_each(|(machine, service)| self.start_server(machine, service));
        self.topology
            .nodes
            .iter()
            .for_each(|node| self.boot(&node.name));
        self.operator.sleep(2 * SEC).await;
        *self.bootstrapped.lock().unwrap() = true;
        // Bootstraps the tier if the nodes did not do so by themselves.
        let names = |role| self.node_names(role);
        let request = serde_json::json!({"cores": names(Role::Core), "stores": names(Role::Store)})
            .to_string();
        let addr = self.topology.nodes_with_role(Role::Core)[0].http;
        let _ = yewcross_common::buffered_http::fetch(
            &self.operator,
            addr,
            http_types::Method::Post,
            "/v1/found",
            &[],
            request.into_bytes(),
            8 * SEC,
        )
        .await;
        self.put_next_config(0).await;
        self.operator.sleep(3 * SEC).await;
    }

    fn random_running_core(&self) -> Option<Arc<Control>> {
        let nodes = self.nodes.lock().unwrap();
        let running: Vec<&Arc<Control>> = self
            .node_names(Role::Core)
            .iter()
            .filter_map(|name| match nodes.get(name) {
                Some(Node::Control(core)) if self.sim.is_up(self.sim.find(name)) => Some(core),
                _ => None,
            })
            .collect();
        running
            .get(self.operator.random_index(running.len()))
            .map(|core| (*core).clone())
    }

    /// Puts the next configuration as an operator does: repeats the same text until the answer is
    /// definite, for at most 20 s. `shift` distinguishes the texts of concurrent operators.
    pub async fn put_next_config(self: &Arc<Self>, shift: u64) {
        let index = {
            let mut versions = self.versions.lock().unwrap();
            let index = versions.len();
            versions.push(ConfigVersion {
                sent_at: self.operator.now(),
                ..cfg::nth_version(index as u64 + 1 + shift)
            });
            index
        };
        let text = self.versions.lock().unwrap()[index]
            .text
            .clone()
            .into_bytes();
        let mut base = self.newest_version();
        let deadline = self.operator.now() + 20 * SEC;
        while self.operator.now() < deadline {
            let Some(core) = self.random_running_core() else {
                self.operator.sleep(200 * MS).await;
                continue;
            };
            let answer = self
                .operator
                .timeout(5 * SEC, core.put(base, text.clone()))
                .await;
            self.sim.append_log(&format!(
                "put configuration {index} on version {base}: {answer:?}"
            ));
            let answer = match answer {
                Some(PutAnswer::NotBootstrapped) => {
                    let addr = core.settings.http;
                    let headers = [("if-match", format!("\"{}\"", base.max(1)))];
                    let response = yewcross_common::buffered_http::fetch(
                        &self.operator,
                        addr,
                        http_types::Method::Put,
                        "/v1/config",
                        &headers,
                        text.clone(),
                        5 * SEC,
                    )
                    .await;
                    response.ok().and_then(|response| {
                        self.sim.append_log(&format!(
                            "put configuration {index} on version {base} over HTTP: {} {}",
                            response.0,
                            String::from_utf8_lossy(&response.2)
                        ));
                        let body: serde_json::Value = serde_json::from_slice(&response.2).ok()?;
                        body["version"]
                            .as_u64()
                            .filter(|_| response.0 == 200)
                            .map(PutAnswer::InForce)
                    })
                }
                other => other,
            };
            match answer {
                Some(PutAnswer::InForce(number)) => {
                    let mut versions = self.versions.lock().unwrap();
                    (versions[index].number, versions[index].acknowledged_at) =
                        (number, Some(self.operator.now()));
                    return;
                }
                Some(PutAnswer::Conflict(current)) if index == 0 => base = current,
                Some(PutAnswer::Conflict(_)) => return,
                Some(PutAnswer::Invalid(problems)) => {
                    return self.errors.lock().unwrap().push(format!(
                        "BAD valid configuration rejected as invalid: {problems:?}"
                    ));
                }
                _ => self.operator.sleep(200 * MS).await,
            }
        }
    }

    /// The highest version number that was acknowledged; 0 if there is none.
    fn newest_version(&self) -> u64 {
        self.versions
            .lock()
            .unwrap()
            .iter()
            .map(|version| version.number)
            .max()
            .unwrap_or(0)
    }

    /// Starts the given numbers of callers that send plain requests and that run programs.
    pub fn start_traffic(self: &Arc<Self>, plain: usize, programs: usize) {
        let runtime = self.sim.boot(self.sim.find("callers"));
        self.spawn_callers(&runtime, plain, programs, 100 * MS);
    }

    fn spawn_callers(
        self: &Arc<Self>,
        runtime: &Runtime,
        plain: usize,
        programs: usize,
        pause: u64,
    ) {
        let tier = self.clone();
        // The fronts that pass the platform's readiness probes; all fronts if none passes.
        let fronts: Fronts = Arc::new(move || {
            let nodes = tier.nodes.lock().unwrap();
            let fronts = tier.topology.nodes_with_role(Role::Front);
            let is_ready = |name: &str| {
                matches!(nodes.get(name), Some(Node::Front(front)) if front.ready())
                    && tier.sim.is_up(tier.sim.find(name))
            };
            let ready: Vec<_> = fronts
                .iter()
                .filter(|front| is_ready(&front.name))
                .map(|front| (front.name.clone(), front.http))
                .collect();
            if ready.is_empty() {
                fronts
                    .iter()
                    .map(|front| (front.name.clone(), front.http))
                    .collect()
            } else {
                ready
            }
        });
        let routes = cfg::base_routes();
        let new_caller = || Caller::new(runtime, &self.caller_records, &fronts);
        (0..plain).for_each(|_| {
            runtime.spawn(caller::run_plain_requests(
                new_caller(),
                routes[..3].to_vec(),
                pause,
            ))
        });
        (0..programs).for_each(|_| {
            runtime.spawn(caller::run_programs(
                new_caller(),
                routes[3].clone(),
                routes[..2].to_vec(),
                pause,
            ))
        });
    }

    /// Records a disruption that began at `from` and ends now.
    fn record_disruption(&self, from: u64) {
        self.disruptions
            .lock()
            .unwrap()
            .push((from, self.operator.now()));
    }

    fn random_node(&self, role: Role) -> String {
        let names = self.node_names(role);
        names[self.operator.random_index(names.len())].clone()
    }

    /// Ends a node and starts it again after `downtime` us.
    async fn restart_node(
        self: &Arc<Self>,
        name: &str,
        power_off: bool,
        wipe: bool,
        downtime: u64,
    ) {
        let (started_at, machine) = (self.operator.now(), self.sim.find(name));
        self.sim.kill(machine, power_off);
        self.nodes.lock().unwrap().remove(name);
        if wipe {
            self.sim.wipe_disk(machine);
        }
        self.operator.sleep(downtime).await;
        self.boot(name);
        // Time for the restored node to copy its data from other nodes.
        self.operator.sleep(4_200 * MS).await;
        self.record_disruption(started_at);
    }

    /// Suspends a node for `duration` us.
    async fn freeze_node(&self, name: &str, duration: u64) {
        let (started_at, machine) = (self.operator.now(), self.sim.find(name));
        self.sim.freeze(machine);
        self.operator.sleep(duration).await;
        self.sim.thaw(machine);
        self.operator.sleep(4_200 * MS).await;
        self.record_disruption(started_at);
    }

    /// Separates machines from all other nodes for `duration` us.
    async fn partition_nodes(&self, machines: &[usize], duration: u64) {
        let started_at = self.operator.now();
        let others: Vec<usize> = self
            .topology
            .nodes
            .iter()
            .map(|node| self.sim.find(&node.name))
            .filter(|machine| !machines.contains(machine))
            .collect();
        self.sim.partition(machines, &others);
        self.operator.sleep(duration).await;
        self.sim.heal();
        self.operator.sleep(4_200 * MS).await;
        self.record_disruption(started_at);
    }

    /// Marks a server as leaving, removes it from the list 4 s after the mark is visible, and ends
    /// it. Starts a server of `service` on the machine, if one is given.
    async fn drain_server(self: &Arc<Self>, machine: &str, service: Option<&str>) {
        let Some(server) = self.servers.lock().unwrap().get(machine).cloned() else {
            return;
        };
        server.leaving.store(true, SeqCst);
        self.publish_servers();
        self.leaving_since
            .lock()
            .unwrap()
            .push((self.operator.now() + CATALOGUE_LAG, server.spec.id.clone()));
        self.operator.sleep(CATALOGUE_LAG + 4_000 * MS).await;
        self.servers.lock().unwrap().remove(machine);
        self.publish_servers();
        self.sim.kill(self.sim.find(machine), false);
        if let Some(service) = service {
            self.operator.sleep(2_500 * MS).await;
            self.start_server(machine, service);
        }
    }

    /// Applies one disruption and returns once it has ended.
    pub async fn inject(self: &Arc<Self>, disruption: Disruption) {
        let duration = (1 + self.operator.random() % 4) * SEC;
        self.sim.append_log(&format!("disruption {disruption}"));
        match disruption {
            Disruption::KillFront => {
                self.restart_node(&self.random_node(Role::Front), false, false, duration / 4)
                    .await
            }
            Disruption::PowerOffFront => {
                self.restart_node(&self.random_node(Role::Front), true, false, duration)
                    .await
            }
            Disruption::FreezeFront => {
                self.freeze_node(&self.random_node(Role::Front), duration)
                    .await
            }
            Disruption::IsolateFront => {
                self.partition_nodes(&[self.sim.find(&self.random_node(Role::Front))], duration)
                    .await
            }
            Disruption::StopFront => {
                let name = self.random_node(Role::Front);
                let front = match self.nodes.lock().unwrap().get(&name) {
                    Some(Node::Front(front)) => front.clone(),
                    _ => return,
                };
                self.operator.timeout(8 * SEC, front.stop()).await;
                let machine = self.sim.find(&name);
                self.sim.kill(machine, false);
                self.nodes.lock().unwrap().remove(&name);
                self.operator.sleep(500 * MS).await;
                self.boot(&name);
            }
            Disruption::KillStore => {
                self.restart_node(&self.random_node(Role::Store), false, false, duration / 4)
                    .await
            }
            Disruption::PowerOffStore => {
                self.restart_node(&self.random_node(Role::Store), true, false, duration)
                    .await
            }
            Disruption::WipeStore => {
                self.restart_node(&self.random_node(Role::Store), true, true, duration)
                    .await
            }
            Disruption::FreezeStore => {
                self.freeze_node(&self.random_node(Role::Store), duration)
                    .await
            }
            Disruption::KillCore => {
                self.restart_node(&self.random_node(Role::Core), false, false, duration / 4)
                    .await
            }
            Disruption::PowerOffCore => {
                self.restart_node(&self.random_node(Role::Core), true, false, duration)
                    .await
            }
            Disruption::WipeCore => {
                self.restart_node(&self.random_node(Role::Core), true, true, duration)
                    .await
            }
            Disruption::FreezeCore => {
                self.freeze_node(&self.random_node(Role::Core), duration)
                    .await
            }
            Disruption::PartitionCores => {
                let machines: Vec<usize> = self
                    .node_names(Role::Core)
                    .iter()
                    .map(|name| self.sim.find(name))
                    .collect();
                let size = 1 + self.operator.random_index(machines.len() - 1);
                self.partition_nodes(&machines[..size], duration).await
            }
            Disruption::UnreliableNetwork => {
                let started_at = self.operator.now();
                self.sim.set_network_conditions(NetworkConditions {
                    drop_per_mille: 50,
                    duplicate_per_mille: 50,
                    delay_per_mille: 50,
                    max_jitter: 20 * MS,
                });
                self.operator.sleep(duration).await;
                self.sim
                    .set_network_conditions(NetworkConditions::default());
                self.operator.sleep(SEC).await;
                self.record_disruption(started_at);
            }
            Disruption::ServerFaults => {
                let rates: FaultRates = Fault::iter().map(|fault| (fault, 15)).collect();
                *self.fault_rates.lock().unwrap() = rates.clone();
                self.servers
                    .lock()
                    .unwrap()
                    .values()
                    .for_each(|server| *server.fault_rates.lock().unwrap() = rates.clone());
                self.operator.sleep(duration + 4 * SEC).await;
                self.fault_rates.lock().unwrap().clear();
                self.servers
                    .lock()
                    .unwrap()
                    .values()
                    .for_each(|server| server.fault_rates.lock().unwrap().clear());
            }
            Disruption::KillServer => {
                let machines: Vec<String> = self.servers.lock().unwrap().keys().cloned().collect();
                let machine = machines[self.operator.random_index(machines.len())].clone();
                let service = self.servers.lock().unwrap()[&machine].spec.service.clone();
                self.sim.kill(
                    self.sim.find(&machine),
                    self.operator.random().is_multiple_of(2),
                );
                self.operator.sleep(duration).await;
                self.start_server(&machine, &service);
            }
            Disruption::ReuseAddress => {
                // The list still contains the crashed server until a server of another service
                // starts at its address.
                let machines = self.machines_of_service("read");
                let Some(machine) = machines
                    .get(self.operator.random_index(machines.len()))
                    .filter(|_| machines.len() > 1)
                    .cloned()
                else {
                    return;
                };
                self.sim.kill(self.sim.find(&machine), false);
                self.operator.sleep(2_500 * MS).await;
                self.start_server(&machine, "write");
            }
            Disruption::DrainServer => {
                let machines = self.machines_of_service("read");
                if machines.len() > 1 {
                    self.drain_server(&machines[0], Some("read")).await;
                }
            }
            Disruption::RollingRelease => {
                for machine in self.machines_of_service("write") {
                    self.drain_server(&machine, Some("write")).await;
                }
            }
            Disruption::CatalogueOutage => {
                let started_at = self.operator.now();
                let catalogue = self.catalogue.lock().unwrap().clone();
                catalogue
                    .iter()
                    .for_each(|catalogue| catalogue.unavailable.store(true, SeqCst));
                self.operator.sleep(duration).await;
                catalogue
                    .iter()
                    .for_each(|catalogue| catalogue.unavailable.store(false, SeqCst));
                self.catalogue_outages
                    .lock()
                    .unwrap()
                    .push((started_at, self.operator.now()));
            }
            Disruption::PutConfig => self.put_next_config(0).await,
            Disruption::ConcurrentPuts => {
                let tier = self.clone();
                self.operator
                    .spawn(async move { tier.put_next_config(1).await });
                self.put_next_config(0).await;
            }
            Disruption::TrafficBurst => {
                let machine = self.sim.find("callers");
                let runtime = self.sim.runtime_of(machine);
                self.spawn_callers(&runtime, 40, 20, 20 * MS);
                self.operator.sleep(3 * SEC).await;
            }
            Disruption::KillAll | Disruption::PowerOffAll | Disruption::WipeOnePowerOffRest => {
                self.put_next_config(0).await;
                let started_at = self.operator.now();
                let wiped = self.random_node(Role::Store);
                self.topology.nodes.iter().for_each(|node| {
                    self.sim
                        .kill(self.sim.find(&node.name), disruption != Disruption::KillAll)
                });
                self.nodes.lock().unwrap().clear();
                if disruption == Disruption::WipeOnePowerOffRest {
                    self.sim.wipe_disk(self.sim.find(&wiped));
                }
                self.operator.sleep(SEC).await;
                for node in &self.topology.nodes {
                    self.boot(&node.name);
                    let pause = self.operator.random() % (300 * MS);
                    self.operator.sleep(pause).await;
                }
                *self.restored_at.lock().unwrap() = self.operator.now();
                self.operator.sleep(20 * SEC).await;
                self.record_disruption(started_at);
            }
        }
    }

    /// Checks that the configuration that is read back at the end is the newest acknowledged one, or
    /// a newer one, and that it was put in this form.
    pub async fn check_read_back(&self) {
        let acknowledged = self
            .versions
            .lock()
            .unwrap()
            .iter()
            .filter(|version| version.acknowledged_at.is_some())
            .map(|version| version.number)
            .max()
            .unwrap_or(0);
        let deadline = self.operator.now() + 6 * SEC;
        let mut last_result = "no core is running".to_string();
        while self.operator.now() < deadline {
            if let Some(core) = self.random_running_core() {
                match self.operator.timeout(3 * SEC, core.read_config()).await {
                    Some(ReadAnswer::Text(number, text)) if number >= acknowledged => {
                        let was_sent = self.versions.lock().unwrap().iter().any(|version| {
                            version.text == *text
                                && (version.number == number || version.number == 0)
                        });
                        if !was_sent {
                            self.errors.lock().unwrap().push(format!(
                                "CONFIG version {number} was read back with a text that was not put"
                            ));
                        }
                        return;
                    }
                    Some(ReadAnswer::Text(number, _)) => {
                        last_result =
                            format!("version {number} is older than acknowledged {acknowledged}")
                    }
                    other => last_result = format!("{other:?}"),
                }
            }
            self.operator.sleep(300 * MS).await;
        }
        self.errors.lock().unwrap().push(format!(
            "CONFIG reading back the configuration failed: {last_result}"
        ));
    }

    /// What was recorded so far, for the checks.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            attempts: self.caller_records.attempts.lock().unwrap().clone(),
            executions: self.server_records.executions.lock().unwrap().clone(),
            arrivals: self.server_records.arrivals.lock().unwrap().clone(),
            errors: self
                .server_records
                .protocol_errors
                .lock()
                .unwrap()
                .iter()
                .chain(self.errors.lock().unwrap().iter())
                .cloned()
                .collect(),
            versions: self.versions.lock().unwrap().clone(),
            leaving_since: self.leaving_since.lock().unwrap().clone(),
            disruptions: self.disruptions.lock().unwrap().clone(),
            catalogue_outages: self.catalogue_outages.lock().unwrap().clone(),
            restored_at: *self.restored_at.lock().unwrap(),
            ended_at: self.sim.now(),
            disruption_grace: 3 * SEC,
            config_grace: 2 * SEC,
            drain_grace: 3 * SEC,
            recovery_grace: 12 * SEC,
        }
    }
}

/// A simulation run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// Name of the topology.
    pub topology: String,
    /// Disruptions that are injected one after another.
    pub disruptions: Vec<Disruption>,
}

/// Runs a plan for at most 600 s of virtual time.
pub fn run(plan: &Plan) -> (Arc<Tier>, Evidence) {
    let tier = Tier::new(plan.seed, &plan.topology);
    let completed: Arc<Mutex<bool>> = Default::default();
    let (running_tier, completion, disruptions) =
        (tier.clone(), completed.clone(), plan.disruptions.clone());
    tier.operator.spawn(async move {
        running_tier.start_all().await;
        running_tier.start_traffic(8, 8);
        running_tier.operator.sleep(4 * SEC).await;
        for disruption in disruptions {
            running_tier.inject(disruption).await;
            let pause = running_tier.operator.random() % (2 * SEC);
            running_tier.operator.sleep(pause).await;
        }
        running_tier.operator.sleep(4 * SEC).await;
        running_tier.caller_records.stop.store(true, SeqCst);
        running_tier.operator.sleep(6 * SEC).await;
        running_tier.check_read_back().await;
        *completion.lock().unwrap() = true;
    });
    tier.sim.run(600 * SEC, || *completed.lock().unwrap());
    if !*completed.lock().unwrap() {
        tier.errors
            .lock()
            .unwrap()
            .push("STUCK the plan did not end within 600 s".into());
    }
    let evidence = tier.evidence();
    (tier, evidence)
}
