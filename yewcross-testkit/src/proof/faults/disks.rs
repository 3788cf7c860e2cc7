//! Faults of disks: stalled, full, corrupted, power lost at a sync.

use super::Crash;
use crate::proof::cluster::TestCluster;
use crate::proof::scenario::Fault;
use std::sync::Arc;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;

/// Files that are corrupted.
const CORRUPTED_FILES: usize = 3;
/// Most syncs until the power goes.
const MAX_SYNCS: u64 = 40;
/// The same on a core that is putting, whose syncs are fewer.
const MAX_SYNCS_OF_PUT: u64 = 6;
/// us, most time from the sync to the power loss.
const MAX_DELAY: u64 = 3 * MS;
/// us for the syncs to come.
const SYNCS_TIMEOUT: u64 = 6 * SEC;
/// Bytes that a disk still takes before it is full.
const ROOM: usize = 100_000;

impl TestCluster {
    /// A core's or store's disk stalls, or is full, for 6 s.
    pub(super) async fn stall_or_fill_disk(self: &Arc<Self>, fault: Fault) {
        let node = self.any_with_disk();
        let machine = self.sim.find(&node);
        let set = |is_faulty: bool| {
            self.sim.disk(machine, |disk| {
                if fault == Fault::StallDisk {
                    disk.stalled = is_faulty
                } else {
                    disk.full = is_faulty
                }
            })
        };
        set(true);
        self.record_disruption(fault.into());
        self.sleep_seconds(6).await;
        set(false);
        if fault == Fault::FullDisk {
            self.restart(&node, Crash::Process, 1).await;
        }
    }

    /// Three files of a stopped store are corrupted.
    pub(super) async fn corrupt_store(self: &Arc<Self>) {
        let store = self.any(Role::Store);
        let machine = self.sim.find(&store);
        self.sim.kill(machine, false);
        for _ in 0..CORRUPTED_FILES {
            let draw = self.sim.rand();
            let file = self.sim.disk(machine, |disk| disk.flip_key_file_bit(draw));
            self.sim.append_log(&format!("rot {file:?}"));
        }
        self.record_disruption(&store);
        self.sleep_seconds(1).await;
        self.boot(&store);
    }

    /// Power goes at a drawn sync, or up to 3 ms after: at a prepare, an acceptance, a
    /// reservation, a commit, a put.
    pub(super) async fn lose_power_at_sync(self: &Arc<Self>, fault: Fault) {
        let times = if fault == Fault::TripStoreDisk { 1 } else { 3 };
        for time in 0..times {
            let role = if fault == Fault::TripCore {
                Role::Core
            } else {
                Role::Store
            };
            let node = self.any(role);
            self.plan_power_loss(&node, fault, time).await;
            let is_lost = self.wait_for_power_loss(&node).await;
            if is_lost {
                self.record_disruption(&node);
                self.sleep_seconds(2).await;
                if fault == Fault::TripStoreDisk {
                    self.sim.wipe_disk(self.sim.find(&node));
                }
                self.boot(&node);
            }
            self.sleep_seconds(4).await;
        }
    }

    async fn plan_power_loss(self: &Arc<Self>, node: &str, fault: Fault, time: usize) {
        let machine = self.sim.find(node);
        let syncs = 1 + self.sim.rand() % MAX_SYNCS;
        let delays = [0, self.sim.rand() % MAX_DELAY];
        let delay = delays[self.sim.rand() as usize % 2];
        let plan = |syncs| {
            self.sim.disk(machine, |disk| {
                disk.planned_power_loss = Some((syncs, delay))
            })
        };
        plan(syncs);
        if fault == Fault::TripCore {
            let base = self.version().await;
            let other = self.any(Role::Core);
            let core = [node.to_string(), other][self.sim.rand() as usize % 2].clone();
            plan(1 + syncs % MAX_SYNCS_OF_PUT);
            let cluster = self.clone();
            self.operator.spawn(async move {
                let mark = format!("trip{time}-{}", cluster.sim.now());
                cluster.put(&core, base, &mark).await;
            });
        }
    }

    /// Returns whether the machine lost its power in time; if not, it no longer will.
    async fn wait_for_power_loss(&self, node: &str) -> bool {
        let machine = self.sim.find(node);
        let deadline = self.sim.now() + SYNCS_TIMEOUT;
        while self.sim.is_up(machine) && self.sim.now() < deadline {
            self.operator.sleep(5 * MS).await;
        }
        self.sim
            .disk(machine, |disk| disk.planned_power_loss = None);
        !self.sim.is_up(machine)
    }

    /// A store's disk runs full while it works.
    pub(super) async fn fill_disk_slowly(self: &Arc<Self>) {
        let store = self.any(Role::Store);
        let machine = self.sim.find(&store);
        self.sim.disk(machine, |disk| disk.free_bytes = Some(ROOM));
        self.sleep_seconds(8).await;
        self.record_disruption(&store);
        self.sim.disk(machine, |disk| disk.free_bytes = None);
        self.restart(&store, Crash::Process, 1).await;
    }

    /// A node starts on a full disk.
    pub(super) async fn start_on_full_disk(self: &Arc<Self>) {
        let node = self.any_with_disk();
        let machine = self.sim.find(&node);
        self.sim.kill(machine, true);
        self.record_disruption(&node);
        self.sim.disk(machine, |disk| disk.full = true);
        self.boot(&node);
        self.sleep_seconds(5).await;
        self.sim.disk(machine, |disk| disk.full = false);
        self.restart(&node, Crash::Process, 1).await;
    }
}
