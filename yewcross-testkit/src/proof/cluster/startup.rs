//! Starting the cluster's processes.

use super::{Process, TestCluster};
use crate::platform::Platform;
use crate::sim::MachineId;
use crate::stub_server::{StubServer, StubServerSettings};
use std::sync::Arc;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::runtime::Runtime;
use yewcross_control::Control;
use yewcross_proxy::Front;

impl TestCluster {
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
        let list = previous.map_or_else(
            || self.topology.server_list(),
            |platform| platform.servers(),
        );
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
        let costs = self.topology.costs.for_role(settings.role);
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
}
