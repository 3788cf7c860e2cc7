//! A simulated deployment: its machines, its operator, the platform's list, and what is recorded
//! about them.

mod operator;
mod replication;
mod startup;

use super::evidence::{Account, Ack, Departure, Disruption, Withdrawal};
use crate::caller::RequestLog;
use crate::platform::Platform;
use crate::sim::{MachineId, Sim};
use crate::stub_server::{ExecutionLog, StubServer, StubServerSettings};
use crate::topology::{Topology, topology};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::WIRE_VERSION_MIN;
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
/// Number of the latest model server before any is replaced.
const FIRST_REPLACEMENT: usize = 50;

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
    pub diary: Arc<RequestLog>,
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
    pub(in crate::proof) latest_server: Mutex<usize>,
    /// Nodes that speak an older version until they are upgraded.
    pub(in crate::proof) outdated: Mutex<BTreeSet<String>>,
    /// Nodes that are not as in the topology: added, or at another address.
    pub(in crate::proof) changed_nodes: Mutex<BTreeMap<String, ProcessSettings>>,
}

/// An address of the simulated network.
pub(in crate::proof) fn address(host: usize, port: u16) -> SocketAddr {
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
    let operator = sim.add_machine("operator", site, address(OPERATOR_ADDRESS, 0).ip());
    let operator = sim.boot(operator);
    let callers = sim.add_machine("callers", site, address(CALLERS_ADDRESS, 0).ip());
    sim.boot(callers);
    sim.add_machine("platform", site, topology.platform.ip());
    for node in &topology.nodes {
        sim.add_machine(&node.name, &node.site, node.peer.ip());
    }
    for server in &topology.servers {
        sim.add_machine(&server.server, &server.site, server.addr.ip());
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

    /// Settings with which the node starts, if there is one of that name.
    pub(in crate::proof) fn settings(&self, node: &str) -> Option<ProcessSettings> {
        let changed = self.changed_nodes.lock().unwrap().get(node).cloned();
        let mut settings = changed.or_else(|| {
            let mut nodes = self.topology.nodes.iter();
            nodes.find(|settings| settings.name == node).cloned()
        })?;
        if self.outdated.lock().unwrap().contains(node) {
            settings.wire = WIRE_VERSION_MIN;
        }
        Some(settings)
    }

    /// Settings of a server of the topology.
    pub(in crate::proof) fn server_settings(&self, server: &str) -> Option<StubServerSettings> {
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
        let nodes = self.topology.nodes_with_role(role);
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

    pub(in crate::proof) fn machines(&self, role: Role) -> Vec<MachineId> {
        let names = self.names(role);
        names.iter().map(|name| self.sim.find(name)).collect()
    }
}
