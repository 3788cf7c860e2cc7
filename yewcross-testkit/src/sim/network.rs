//! The network between machines: latency, partitions, and loss, duplication and delay of frames.

use super::fingerprint::Event;
use super::machine::MachineId;
use super::{Sim, World};
use std::net::IpAddr;

/// One-way latency within one machine, us.
const LATENCY_WITHIN_MACHINE: u64 = 10;
/// One-way latency between two machines of one site, us.
const LATENCY_WITHIN_SITE: u64 = 100;

/// Rates of frame faults and the extra delay of chunks; all 0 by default.
#[derive(Clone, Copy, Default)]
pub struct NetworkConditions {
    /// Frames between the system's processes that are dropped, per 1000.
    pub drop_per_mille: u64,
    /// Frames that are delivered twice, per 1000.
    pub duplicate_per_mille: u64,
    /// Frames that are delayed, per 1000.
    pub delay_per_mille: u64,
    /// Largest extra delay of a chunk, in addition to the usual jitter, us.
    pub max_jitter: u64,
}

impl World {
    /// Draws the one-way latency from one machine to another, us.
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

    /// The machine with that address and power; the one added last if there are several.
    pub(super) fn machine_at(&self, ip: IpAddr) -> Option<MachineId> {
        self.machines
            .iter()
            .rposition(|machine| machine.ip == ip && machine.has_power)
    }
}

impl Sim {
    /// Sets the conditions of the network from now on.
    pub fn set_network_conditions(&self, conditions: NetworkConditions) {
        self.world().conditions = conditions;
    }

    /// Sets how many unread bytes a connection holds at most.
    pub fn set_receive_window(&self, bytes: usize) {
        self.world().receive_window = bytes;
    }

    /// Delays all traffic from one machine to another until `heal`.
    pub fn block(&self, from: MachineId, to: MachineId) {
        self.world().blocked.insert((from, to));
    }

    /// Blocks the traffic in both directions between each machine of one group and each of the
    /// other.
    pub fn partition(&self, group: &[MachineId], others: &[MachineId]) {
        for machine in group {
            for other in others.iter().filter(|other| *other != machine) {
                self.block(*machine, *other);
                self.block(*other, *machine);
            }
        }
    }

    /// Ends all partitions and delivers the traffic that they delayed.
    pub fn heal(&self) {
        let mut world = self.world();
        world.blocked.clear();
        world.append_log("lab", "partitions healed");
        let now = world.now;
        world.fingerprint.add(now, "", Event::Healed);
        let connections: Vec<_> = world.connections.keys().copied().collect();
        for connection in connections {
            for side in 0..2 {
                world.release_delayed(connection, side);
            }
        }
    }
}
