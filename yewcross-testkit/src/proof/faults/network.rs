//! Faults of the network: partitions, one-way blocks, loss, delay, addresses taken over.

use super::Crash;
use crate::proof::cluster::{TestCluster, address};
use crate::proof::scenario::Fault;
use crate::sim::{MachineId, NetworkConditions};
use crate::stub_server::StubServerSettings;
use std::sync::Arc;
use yewcross_common::constants::MS;
use yewcross_common::process_settings::Role;

/// Pairs of nodes that lose one direction.
const BLOCKED_PAIRS: usize = 4;
/// Indexes of the addresses to which nodes move: the first, and how many.
const FIRST_OTHER_ADDRESS: usize = 800;
const OTHER_ADDRESSES: usize = 90;

impl TestCluster {
    /// The cores are partitioned in two halves, or one from the rest, while an operator puts.
    pub(super) async fn partition_cores(self: &Arc<Self>, fault: Fault) {
        let cores = self.machines(Role::Core);
        let group = if fault == Fault::CoreSplitEven {
            cores.len() / 2
        } else {
            1
        };
        self.sim.partition(&cores[..group], &cores[group..]);
        self.record_disruption(fault.into());
        let base = self.version().await;
        let core = self.any(Role::Core);
        let cluster = self.clone();
        self.operator.spawn(async move {
            let mark = format!("split{}", cluster.sim.now());
            cluster.put(&core, base, &mark).await;
        });
        self.sleep_seconds(6).await;
        self.sim.heal();
    }

    /// No front reaches a core.
    pub(super) async fn partition_cores_from_fronts(self: &Arc<Self>, fault: Fault) {
        let cores = self.machines(Role::Core);
        self.sim.partition(&cores, &self.machines(Role::Front));
        self.record_disruption(fault.into());
        self.sleep_seconds(6).await;
        self.sim.heal();
    }

    /// One site is partitioned from the others.
    pub(super) async fn partition_site(self: &Arc<Self>, fault: Fault) {
        let site = &self.topology.sites[1 + self.sim.rand() as usize % 3];
        let nodes = self.topology.nodes.iter();
        let nodes = nodes.map(|node| (&node.name, &node.site));
        let servers = self.topology.servers.iter();
        let servers = servers.map(|server| (&server.server, &server.site));
        let (inside, outside): (Vec<_>, Vec<_>) =
            nodes.chain(servers).partition(|(_, at)| *at == site);
        let machines = |members: Vec<(&String, &String)>| -> Vec<MachineId> {
            members
                .iter()
                .map(|(name, _)| self.sim.find(name))
                .collect()
        };
        self.sim.partition(&machines(inside), &machines(outside));
        self.record_disruption(fault.into());
        self.sleep_seconds(6).await;
        self.sim.heal();
    }

    /// Four drawn pairs of nodes lose one direction.
    pub(super) async fn block_one_way(self: &Arc<Self>, fault: Fault) {
        let nodes = self.topology.nodes.iter();
        let machines: Vec<MachineId> = nodes.map(|node| self.sim.find(&node.name)).collect();
        let any = || machines[self.sim.rand() as usize % machines.len()];
        for _ in 0..BLOCKED_PAIRS {
            let from = any();
            let to = any();
            self.sim.block(from, to);
        }
        self.record_disruption(fault.into());
        self.sleep_seconds(5).await;
        self.sim.heal();
    }

    /// Frames are dropped, duplicated and delayed.
    pub(super) async fn degrade_network(self: &Arc<Self>) {
        let conditions = NetworkConditions {
            drop_per_mille: 20,
            duplicate_per_mille: 30,
            delay_per_mille: 40,
            max_jitter: 3 * MS,
        };
        self.sim.set_network_conditions(conditions);
        self.sleep_seconds(8).await;
        self.sim
            .set_network_conditions(NetworkConditions::default());
    }

    /// Every message takes up to 40 ms longer.
    pub(super) async fn delay_network(self: &Arc<Self>) {
        let conditions = NetworkConditions {
            max_jitter: 40 * MS,
            ..Default::default()
        };
        self.sim.set_network_conditions(conditions);
        self.sleep_seconds(8).await;
        self.sim
            .set_network_conditions(NetworkConditions::default());
    }

    /// A core loses its disk while another core is partitioned from the rest.
    pub(super) async fn wipe_core_in_partition(self: &Arc<Self>, fault: Fault) {
        let cores = self.names(Role::Core);
        let index = self.sim.rand() as usize % cores.len();
        let wiped = &cores[index];
        let apart = &cores[(index + 1) % cores.len()];
        let others = cores.iter().filter(|core| *core != apart);
        let others: Vec<MachineId> = others.map(|core| self.sim.find(core)).collect();
        self.sim.partition(&[self.sim.find(apart)], &others);
        self.record_disruption(wiped);
        self.restart(wiped, Crash::Disk, 2).await;
        self.sleep_seconds(5).await;
        self.sim.heal();
        self.record_disruption(fault.into());
    }

    /// A core or store comes back at another address; something else takes the old one.
    pub(super) async fn move_to_other_address(self: &Arc<Self>, role: Role) {
        let node = self.any(role);
        let Some(mut settings) = self.settings(&node) else {
            return;
        };
        self.sim.kill(self.sim.find(&node), true);
        self.record_disruption(&node);
        // A lookup service takes the old address and answers HTTP where frames were spoken.
        let old = settings.peer;
        let squatter = self.sim.add_machine("x-squatter", &settings.site, old.ip());
        let squatter_settings = StubServerSettings {
            server: "x9".into(),
            service: "squat".into(),
            addr: old,
            is_model: false,
            ..self.topology.servers[0].clone()
        };
        self.boot_server(self.sim.boot(squatter), squatter_settings);
        self.sleep_seconds(2).await;
        let host = FIRST_OTHER_ADDRESS + self.sim.rand() as usize % OTHER_ADDRESSES;
        settings.peer = address(host, 0);
        settings.http = address(host, 1);
        self.sim
            .add_machine(&node, &settings.site, settings.peer.ip());
        self.changed_nodes
            .lock()
            .unwrap()
            .insert(node.clone(), settings);
        self.boot(&node);
        self.sleep_seconds(6).await;
        self.sim.kill(squatter, true);
    }
}
