//! Machines: their power, their processes and their wall clocks.

use super::connection::{ConnectionId, Side};
use super::disk::Disk;
use super::fingerprint::Event;
use super::host::SimHost;
use super::listener::ListenerState;
use super::processor::Processor;
use super::scheduler::{Task, TaskId};
use super::{Sim, World};
use std::net::IpAddr;
use std::sync::Arc;
use std::task::Waker;
use yewcross_common::runtime::Runtime;

/// Index of a machine, in the order in which machines were added.
pub type MachineId = usize;

/// Identifies a process. A machine runs one process at a time.
#[derive(Clone, Copy)]
pub(super) struct ProcessId {
    pub(super) machine: MachineId,
    /// Number of the process among those started on the machine, from 1.
    pub(super) incarnation: u32,
}

pub(super) struct Machine {
    pub(super) name: String,
    pub(super) site: String,
    pub(super) ip: IpAddr,
    incarnation: u32,
    is_process_running: bool,
    pub(super) has_power: bool,
    pub(super) is_frozen: bool,
    /// Tasks that became runnable while the machine was frozen.
    pub(super) deferred_tasks: Vec<TaskId>,
    pub(super) processor: Processor,
    pub(super) disk: Disk,
    /// ms by which the wall clock differs from the simulation's.
    pub(super) clock_skew_ms: i64,
}

impl Machine {
    fn new(name: &str, site: &str, ip: IpAddr) -> Machine {
        Machine {
            name: name.into(),
            site: site.into(),
            ip,
            incarnation: 0,
            is_process_running: false,
            has_power: true,
            is_frozen: false,
            deferred_tasks: vec![],
            processor: Processor::default(),
            disk: Disk::default(),
            clock_skew_ms: 0,
        }
    }

    fn is_up(&self) -> bool {
        self.is_process_running && self.has_power
    }
}

/// What a killed process owned. The destructors lock the world, so it is dropped after the lock is
/// released.
struct ProcessResources {
    tasks: Vec<Task>,
    listeners: Vec<ListenerState>,
    /// Wakers of the peers that wait for space to write.
    blocked_writers: Vec<Waker>,
}

impl World {
    pub(super) fn is_running(&self, process: ProcessId) -> bool {
        let machine = &self.machines[process.machine];
        machine.is_up() && machine.incarnation == process.incarnation
    }

    /// Appends a line to the log under the machine's name.
    pub(super) fn append_machine_log(&mut self, machine: MachineId, line: &str) {
        let name = self.machines[machine].name.clone();
        self.append_log(&name, line);
    }

    fn stop_process(&mut self, machine: MachineId) {
        let machine = &mut self.machines[machine];
        machine.is_process_running = false;
        machine.is_frozen = false;
        machine.deferred_tasks.clear();
        machine.processor.clear();
    }

    fn cut_power(&mut self, machine: MachineId) {
        let mut random = fastrand::Rng::with_seed(self.random.u64(..));
        let machine = &mut self.machines[machine];
        machine.has_power = false;
        machine.disk.lose_power(&mut random);
    }

    fn take_tasks(&mut self, machine: MachineId) -> Vec<Task> {
        self.tasks
            .extract_if(.., |_, task| task.process.machine == machine)
            .map(|(_, task)| task)
            .collect()
    }

    fn take_listeners(&mut self, machine: MachineId) -> Vec<ListenerState> {
        self.listeners
            .extract_if(.., |_, listener| listener.process.machine == machine)
            .map(|(_, listener)| listener)
            .collect()
    }

    /// The endpoints of connections on the machine.
    fn endpoints_on(&self, machine: MachineId) -> Vec<(ConnectionId, Side)> {
        let mut endpoints = vec![];
        for (id, connection) in &self.connections {
            for side in 0..2 {
                if connection.endpoints[side].machine == machine {
                    endpoints.push((*id, side));
                }
            }
        }
        endpoints
    }

    /// Ends the machine's process and returns what it owned. Its connections are reset unless the
    /// machine loses power.
    fn end_process(&mut self, machine: MachineId, loses_power: bool) -> ProcessResources {
        self.stop_process(machine);
        if loses_power {
            self.cut_power(machine);
        }
        let tasks = self.take_tasks(machine);
        let listeners = self.take_listeners(machine);
        let mut blocked_writers = vec![];
        for (connection, side) in self.endpoints_on(machine) {
            // The latency is also drawn if the machine loses power, so that the random numbers
            // drawn later do not depend on it.
            let Some(route) = self.route(connection, side) else {
                continue;
            };
            if !loses_power {
                blocked_writers.extend(self.reset(connection, side, &route));
            }
        }
        ProcessResources {
            tasks,
            listeners,
            blocked_writers,
        }
    }
}

impl Sim {
    /// Adds a machine with power and without a process.
    pub fn add_machine(&self, name: &str, site: &str, ip: IpAddr) -> MachineId {
        let mut world = self.world();
        world.machines.push(Machine::new(name, site, ip));
        world.machines.len() - 1
    }

    /// The machine of that name; the one added last if there are several.
    ///
    /// # Panics
    /// If there is none.
    pub fn find(&self, name: &str) -> MachineId {
        self.world()
            .machines
            .iter()
            .rposition(|machine| machine.name == name)
            .unwrap_or_else(|| panic!("no machine is named {name}"))
    }

    /// Starts a process on the machine.
    pub fn boot(&self, machine: MachineId) -> Runtime {
        let mut world = self.world();
        let state = &mut world.machines[machine];
        state.incarnation += 1;
        state.is_process_running = true;
        state.is_frozen = false;
        world.record(machine, Event::Booted);
        drop(world);
        self.runtime_of(machine)
    }

    /// The runtime of the machine's current process, to start further tasks of that process.
    pub fn runtime_of(&self, machine: MachineId) -> Runtime {
        let incarnation = self.world().machines[machine].incarnation;
        let process = ProcessId {
            machine,
            incarnation,
        };
        Runtime(Arc::new(SimHost::new(self.clone(), process)))
    }

    /// Whether the machine has power and runs a process.
    pub fn is_up(&self, machine: MachineId) -> bool {
        self.world().machines[machine].is_up()
    }

    /// The site of the machine.
    pub fn site(&self, machine: MachineId) -> String {
        self.world().machines[machine].site.clone()
    }

    /// Sets by how many ms the machine's wall clock differs from the simulation's.
    pub fn set_clock_skew(&self, machine: MachineId, ms: i64) {
        self.world().machines[machine].clock_skew_ms = ms;
    }

    /// Ends the process. With `loses_power` the machine also loses power: its peers receive no
    /// reset, and data that was not synced may be lost.
    pub fn kill(&self, machine: MachineId, loses_power: bool) {
        let mut world = self.world();
        if loses_power {
            world.append_machine_log(machine, "loses power");
            world.record(machine, Event::LostPower);
        } else {
            world.append_machine_log(machine, "killed");
            world.record(machine, Event::Killed);
        }
        let resources = world.end_process(machine, loses_power);
        drop(world);
        resources.blocked_writers.into_iter().for_each(Waker::wake);
        drop(resources.tasks);
        drop(resources.listeners);
    }

    /// Restores the machine's power. No process is started.
    pub fn power_on(&self, machine: MachineId) {
        self.world().machines[machine].has_power = true;
    }

    /// Replaces the machine's disk by an empty one.
    pub fn wipe_disk(&self, machine: MachineId) {
        let mut world = self.world();
        world.append_machine_log(machine, "disk wiped");
        world.record(machine, Event::LostDisk);
        world.machines[machine].disk = Disk::default();
    }

    /// Suspends the machine's process.
    pub fn freeze(&self, machine: MachineId) {
        let mut world = self.world();
        world.append_machine_log(machine, "process frozen");
        world.record(machine, Event::Frozen);
        world.machines[machine].is_frozen = true;
    }

    /// Resumes a frozen process and makes its deferred tasks runnable.
    pub fn thaw(&self, machine: MachineId) {
        let mut world = self.world();
        world.append_machine_log(machine, "process resumed");
        world.record(machine, Event::Resumed);
        let state = &mut world.machines[machine];
        state.is_frozen = false;
        let deferred = std::mem::take(&mut state.deferred_tasks);
        drop(world);
        let mut run_queue = self.run_queue.lock().unwrap();
        deferred.into_iter().for_each(|task| run_queue.push(task));
    }

    /// Calls `access` with the machine's disk.
    pub fn disk<T>(&self, machine: MachineId, access: impl FnOnce(&mut Disk) -> T) -> T {
        access(&mut self.world().machines[machine].disk)
    }
}
