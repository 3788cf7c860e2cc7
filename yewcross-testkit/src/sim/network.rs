//! The network between machines: latency, partitions and bad conditions.

use super::fingerprint::Event;
use super::machine::MachineId;
use super::{Sim, World};
use std::net::IpAddr;

/// us between two processes of one machine, one way.
const LATENCY_WITHIN_MACHINE: u64 = 10;
/// us between two machines of one site, one way.
const LATENCY_WITHIN_SITE: u64 = 100;

/// How badly the network behaves; well by default.
#[derive(Clone, Copy, Default)]
pub struct NetworkConditions {
    /// Frames between our processes that are dropped, of a thousand.
    pub drop_per_mille: u64,
    /// Frames that are delivered twice, of a thousand.
    pub duplicate_per_mille: u64,
    /// Frames that are delayed, of a thousand.
    pub delay_per_mille: u64,
    /// us, the largest extra delay of any chunk.
    pub max_jitter: u64,
}

impl World {
    /// Draws how long bytes take from one machine to another, in us.
    pub(super) fn latency(&mut self, from: MachineId, to: MachineId) -> u64 {
        let base = if from == to {
            LATENCY_WITHIN_MACHINE
        } else if self.machines[from].site == self.machines[to].site {
            LATENCY_WITHIN_SITE
        } else {
            self.site_latency
        };
        base + self.random.u64(0..=base / 4 + self.conditions.max_jitter)
    }

    pub(super) fn is_blocked(&self, from: MachineId, to: MachineId) -> bool {
        self.blocked.contains(&(from, to))
    }

    /// The machine with that address that has power.
    pub(super) fn machine_at(&self, ip: IpAddr) -> Option<MachineId> {
        self.machines
            .iter()
            .rposition(|machine| machine.ip == ip && machine.has_power)
    }
}

impl Sim {
    /// Sets how the network behaves from now on.
    pub fn set_network_conditions(&self, conditions: NetworkConditions) {
        self.world().conditions = conditions;
    }

    /// Sets how many bytes a connection takes before its reader must read.
    pub fn set_receive_window(&self, bytes: usize) {
        self.world().receive_window = bytes;
    }

    /// Holds back what flows from one machine to another until `heal`.
    pub fn block(&self, from: MachineId, to: MachineId) {
        self.world().blocked.insert((from, to));
    }

    /// Blocks both ways between each machine of one group and each of the other.
    pub fn partition(&self, group: &[MachineId], others: &[MachineId]) {
        for machine in group {
            for other in others.iter().filter(|other| *other != machine) {
                self.block(*machine, *other);
                self.block(*other, *machine);
            }
        }
    }

    /// Ends all partitions and delivers what they held back.
    pub fn heal(&self) {
        let mut world = self.world();
        world.blocked.clear();
        world.note("lab", "cuts heal");
        let now = world.now;
        world.fingerprint.add(now, "", Event::Healed);
        let connections: Vec<_> = world.connections.keys().copied().collect();
        for connection in connections {
            for side in 0..2 {
                world.release_held(connection, side);
            }
        }
    }
}
