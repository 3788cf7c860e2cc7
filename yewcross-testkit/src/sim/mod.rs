//! A deterministic simulator: many machines in one thread, with virtual time, injected faults, and
//! every random choice drawn from one seed.
//!
//! `scheduler` polls tasks and `clock` advances virtual time. `machine`, `processor` and `disk`
//! simulate the hardware; `network`, `connection`, `stream` and `listener` the network. `host`
//! provides all of it to a process as its runtime. `fingerprint` computes a digest of the events.
//!
//! One lock guards the world. Wakers and destructors call back into the simulator, so they run
//! after the lock is released.

mod clock;
mod connection;
mod disk;
mod fingerprint;
mod host;
mod listener;
mod machine;
mod network;
mod processor;
mod scheduler;
mod stream;

pub use disk::Disk;
pub use host::SimHost;
pub use machine::MachineId;
pub use network::NetworkConditions;
pub use processor::MachineCosts;

use clock::Timers;
use connection::{ConnectionId, ConnectionState};
use fingerprint::{Event, Fingerprint};
use listener::ListenerState;
use machine::Machine;
use scheduler::{RunQueue, Task, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// Unread bytes that a connection holds at most, unless set otherwise.
const DEFAULT_RECEIVE_WINDOW: usize = 256 << 10;

/// A line of the log: its time (us), its source and its text.
pub type LogLine = (u64, String, String);

/// Numbers of objects in the world.
#[derive(Clone, Copy, Debug)]
pub struct ObjectCounts {
    /// Tasks of all processes.
    pub tasks: usize,
    /// Connections of which at least one endpoint is open.
    pub connections: usize,
    /// Files on all disks.
    pub files: usize,
}

struct World {
    /// Virtual time, us.
    now: u64,
    random: fastrand::Rng,
    /// The last id assigned; tasks, timers and connections share one sequence.
    latest_id: u64,
    tasks: BTreeMap<TaskId, Task>,
    timers: Timers,
    machines: Vec<Machine>,
    listeners: BTreeMap<SocketAddr, ListenerState>,
    connections: BTreeMap<ConnectionId, ConnectionState>,
    connections_opened: u64,
    /// Pairs of machines whose traffic from the first to the second is blocked.
    blocked: BTreeSet<(usize, usize)>,
    /// One-way latency between sites, us.
    site_latency: u64,
    receive_window: usize,
    conditions: NetworkConditions,
    log: Vec<LogLine>,
    /// Digest of the log.
    log_hash: u64,
    fingerprint: Fingerprint,
    /// Polls of tasks so far, including those that a frozen machine deferred.
    polls: u64,
}

impl World {
    fn next_id(&mut self) -> u64 {
        self.latest_id += 1;
        self.latest_id
    }

    fn append_log(&mut self, source: &str, line: &str) {
        self.log_hash = yewcross_common::hash::rendezvous_weight(
            &format!("{} {source} {line}", self.now),
            &self.log_hash.to_string(),
        );
        self.log.push((self.now, source.into(), line.into()));
    }

    /// Adds an event on the machine to the fingerprint.
    fn record(&mut self, machine: MachineId, event: Event) {
        let name = &self.machines[machine].name;
        self.fingerprint.add(self.now, name, event);
    }
}

/// The simulated world; clones share it.
#[derive(Clone)]
pub struct Sim {
    world: Arc<Mutex<World>>,
    /// Has a lock of its own, because wakers use it while the world may be locked.
    run_queue: Arc<Mutex<RunQueue>>,
}

impl Sim {
    /// A world without machines, with a one-way latency between sites of `site_latency` us.
    pub fn new(seed: u64, site_latency: u64) -> Sim {
        let world = World {
            now: 1,
            random: fastrand::Rng::with_seed(seed),
            latest_id: 0,
            tasks: BTreeMap::new(),
            timers: Timers::default(),
            machines: vec![],
            listeners: BTreeMap::new(),
            connections: BTreeMap::new(),
            connections_opened: 0,
            blocked: BTreeSet::new(),
            site_latency,
            receive_window: DEFAULT_RECEIVE_WINDOW,
            conditions: NetworkConditions::default(),
            log: vec![],
            log_hash: seed,
            fingerprint: Fingerprint::default(),
            polls: 0,
        };
        Sim {
            world: Arc::new(Mutex::new(world)),
            run_queue: Default::default(),
        }
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap()
    }

    /// Draws a random number from the world's generator.
    pub fn rand(&self) -> u64 {
        self.world().random.u64(..)
    }

    /// All lines logged so far.
    pub fn log(&self) -> Vec<LogLine> {
        self.world().log.clone()
    }

    /// Digest of all lines logged so far, including their text.
    pub fn log_hash(&self) -> u64 {
        self.world().log_hash
    }

    /// Digest of the events on machines, connections and disks and of their times. It does not
    /// depend on the log.
    pub fn fingerprint(&self) -> u128 {
        self.world().fingerprint.value()
    }

    /// Polls of tasks so far.
    pub fn polls(&self) -> u64 {
        self.world().polls
    }

    /// Appends a line to the log on behalf of the test.
    pub fn append_log(&self, line: &str) {
        self.world().append_log("lab", line);
    }

    /// Counts the objects in the world.
    pub fn object_counts(&self) -> ObjectCounts {
        let world = self.world();
        ObjectCounts {
            tasks: world.tasks.len(),
            connections: world.connections.len(),
            files: world
                .machines
                .iter()
                .map(|machine| machine.disk.file_count())
                .sum(),
        }
    }
}
