//! The runtime backend of a simulated process.

use super::Sim;
use super::clock::TimerEvent;
use super::connection::ConnectionId;
use super::disk::Disk;
use super::fingerprint::{DiskOperation, DiskOperationKind, Event};
use super::listener::SimListener;
use super::machine::{MachineId, ProcessId};
use super::stream::SimStream;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use yewcross_common::constants::MS;
use yewcross_common::runtime::{BoxFuture, Connection, FrameFault, Listener, RuntimeBackend};

/// Wall clock at the start of a simulation, in ms since the Unix epoch.
const WALL_CLOCK_START_MS: i64 = 1_790_000_000_000;
/// us after which an unanswered connection attempt is repeated.
const CONNECT_RETRY: u64 = 200 * MS;
/// us between two checks of a stalled disk.
const STALL_POLL: u64 = 50 * MS;
/// us of a read, a write, an append or a directory listing, before jitter.
const TRANSFER_TIME: u64 = 60;
/// us of a rename or a removal, before jitter.
const METADATA_TIME: u64 = 20;
/// us of a sync on a machine without a configured sync cost.
const SYNC_TIME: u64 = 400;
/// us, the largest random addition to `SYNC_TIME`.
const SYNC_JITTER: u64 = 200;
/// us, the exclusive upper bound of a frame's delay.
const FRAME_DELAY_LIMIT: u64 = 300 * MS;
/// The source port that all connections show to the accepting process.
const CLIENT_PORT: u16 = 1;

/// The runtime of one process on a machine of the simulation.
#[derive(Clone)]
pub struct SimHost {
    sim: Sim,
    process: ProcessId,
}

/// What a connection attempt finds at its address.
enum Reachability {
    /// No machine with power has the address: packets are lost.
    NoHost,
    /// The machine is partitioned or frozen: it does not answer now.
    Unresponsive,
    /// The machine answers after `round_trip` us.
    Reachable { machine: MachineId, round_trip: u64 },
}

/// us until the power loss that a sync triggers, if it triggers one.
type PowerLossDelay = Option<u64>;

impl SimHost {
    pub(super) fn new(sim: Sim, process: ProcessId) -> SimHost {
        SimHost { sim, process }
    }

    fn probe(&self, to: SocketAddr) -> Reachability {
        let mut world = self.sim.world();
        let own = self.process.machine;
        let Some(machine) = world.machine_at(to.ip()) else {
            world.record(own, Event::Unreachable { at: to });
            return Reachability::NoHost;
        };
        let round_trip = world.latency(own, machine) + world.latency(machine, own);
        let is_unresponsive = world.is_blocked(own, machine)
            || world.is_blocked(machine, own)
            || world.machines[machine].is_frozen;
        if is_unresponsive {
            Reachability::Unresponsive
        } else {
            Reachability::Reachable {
                machine,
                round_trip,
            }
        }
    }

    async fn connect_to(self, to: SocketAddr) -> io::Result<Connection> {
        loop {
            match self.probe(to) {
                Reachability::NoHost => std::future::pending::<()>().await,
                Reachability::Unresponsive => self.sim.sleep_for(CONNECT_RETRY).await,
                Reachability::Reachable {
                    machine,
                    round_trip,
                } => {
                    self.sim.sleep_for(round_trip).await;
                    return self.open(to, machine);
                }
            }
        }
    }

    /// Opens a connection to the listener at the address. Refused if the machine has none there.
    fn open(&self, to: SocketAddr, machine: MachineId) -> io::Result<Connection> {
        let own = self.process.machine;
        let mut world = self.sim.world();
        let listener_process = world.listeners.get(&to).map(|listener| listener.process);
        let Some(peer) = listener_process.filter(|process| process.machine == machine) else {
            let name = world.machines[machine].name.clone();
            let event = Event::Refused { to: &name, at: to };
            world.record(own, event);
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let id = world.open_connection([self.process, peer]);
        world.record_connection_event(id, 0, |number, name| Event::Opened {
            connection: number,
            to: name,
            at: to,
        });
        let from = SocketAddr::new(world.machines[own].ip, CLIENT_PORT);
        let accepted = self.stream(id, 1, from);
        let acceptor_waker = world
            .listeners
            .get_mut(&to)
            .and_then(|listener| listener.push(accepted));
        drop(world);
        if let Some(waker) = acceptor_waker {
            waker.wake();
        }
        Ok(self.stream(id, 0, to))
    }

    fn stream(&self, id: ConnectionId, side: usize, peer: SocketAddr) -> Connection {
        let stream = SimStream::new(self.sim.clone(), id, side);
        Connection::new(Arc::new(stream), peer)
    }

    /// Runs a disk operation that takes `us` plus a random addition of up to half of it.
    fn run_disk_operation<T: Send + 'static>(
        &self,
        us: u64,
        operation: DiskOperation,
        action: impl FnOnce(&mut Disk) -> io::Result<T> + Send + 'static,
    ) -> BoxFuture<'static, io::Result<T>> {
        let jitter = self.sim.rand() % (us / 2 + 1);
        self.run_disk_operation_for(us + jitter, operation, action)
    }

    /// Runs a disk operation that takes `us` on a disk without slowdown.
    fn run_disk_operation_for<T: Send + 'static>(
        &self,
        us: u64,
        operation: DiskOperation,
        action: impl FnOnce(&mut Disk) -> io::Result<T> + Send + 'static,
    ) -> BoxFuture<'static, io::Result<T>> {
        let sim = self.sim.clone();
        let machine = self.process.machine;
        Box::pin(async move {
            let slowness = sim.disk(machine, |disk| disk.slowness.max(1));
            sim.sleep_for(us * slowness).await;
            while sim.disk(machine, |disk| disk.stalled) {
                sim.sleep_for(STALL_POLL).await;
            }
            let result = sim.disk(machine, |disk| {
                if disk.failing {
                    Err(io::Error::other("input/output error"))
                } else {
                    action(disk)
                }
            });
            let event = Event::DiskAccessed {
                operation: &operation,
                ok: result.is_ok(),
            };
            sim.world().record(machine, event);
            result
        })
    }

    /// Waits until the machine's disk has completed the syncs queued before this one, and this one.
    async fn wait_for_disk(sim: &Sim, machine: MachineId, sync_us: u64) {
        let until = {
            let mut world = sim.world();
            let now = world.now;
            let state = &mut world.machines[machine];
            let duration = sync_us * state.disk.slowness.max(1);
            state.processor.reserve_disk(now, duration)
        };
        sim.sleep_until(until).await;
    }
}

/// Syncs the path and counts the sync towards the planned power loss. Returns the delay of the
/// power loss if this sync triggers it.
fn sync_and_count(disk: &mut Disk, path: &str) -> PowerLossDelay {
    disk.sync(path);
    let (syncs_left, delay) = disk.planned_power_loss.as_mut()?;
    *syncs_left = syncs_left.saturating_sub(1);
    if *syncs_left > 0 {
        return None;
    }
    let delay = *delay;
    disk.planned_power_loss = None;
    Some(delay)
}

impl RuntimeBackend for SimHost {
    fn now(&self) -> u64 {
        self.sim.now()
    }

    fn wall_clock_ms(&self) -> u64 {
        let world = self.sim.world();
        let elapsed_ms = (world.now / MS) as i64;
        let skew_ms = world.machines[self.process.machine].clock_skew_ms;
        (WALL_CLOCK_START_MS + elapsed_ms + skew_ms) as u64
    }

    fn random(&self) -> u64 {
        self.sim.rand()
    }

    fn sleep(&self, us: u64) -> BoxFuture<'static, ()> {
        Box::pin(self.sim.sleep_for(us))
    }

    fn spawn(&self, future: BoxFuture<'static, ()>) {
        self.sim.spawn(self.process, future);
    }

    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Connection>> {
        Box::pin(self.clone().connect_to(to))
    }

    fn bind(&self, at: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>> {
        let listener = SimListener::bind(&self.sim, self.process, at);
        Box::pin(async move { listener.map(|listener| Box::new(listener) as Box<dyn Listener>) })
    }

    fn frame_fault(&self, _: SocketAddr) -> FrameFault {
        let mut world = self.sim.world();
        let conditions = world.conditions;
        let draw = world.random.u64(0..1000);
        let delay = world.random.u64(1..FRAME_DELAY_LIMIT);
        let duplicated_from = conditions.drop_per_mille;
        let delayed_from = duplicated_from + conditions.duplicate_per_mille;
        let delivered_from = delayed_from + conditions.delay_per_mille;
        match draw {
            _ if draw < duplicated_from => FrameFault::Drop,
            _ if draw < delayed_from => FrameFault::Duplicate,
            _ if draw < delivered_from => FrameFault::Delay(delay),
            _ => FrameFault::Deliver,
        }
    }

    fn write_file(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>> {
        let operation = DiskOperation::new(DiskOperationKind::Write, path, &data);
        let path = path.to_string();
        self.run_disk_operation(TRANSFER_TIME, operation, move |disk| disk.write(path, data))
    }

    fn sync(&self, path: &str) -> BoxFuture<'static, io::Result<()>> {
        let sim = self.sim.clone();
        let machine = self.process.machine;
        let sync_us = sim.world().machines[machine].processor.costs.sync_us;
        let us = if sync_us > 0 {
            0
        } else {
            SYNC_TIME + sim.rand() % (SYNC_JITTER + 1)
        };
        let operation = DiskOperation::new(DiskOperationKind::Sync, path, &[]);
        let path = path.to_string();
        let disk_sync =
            self.run_disk_operation_for(us, operation, move |disk| Ok(sync_and_count(disk, &path)));
        Box::pin(async move {
            if sync_us > 0 {
                SimHost::wait_for_disk(&sim, machine, sync_us).await;
            }
            if let Some(delay) = disk_sync.await? {
                let mut world = sim.world();
                let at = world.now + delay;
                world.schedule(at, TimerEvent::LosePower(machine));
            }
            Ok(())
        })
    }

    fn rename(&self, from: &str, to: &str) -> BoxFuture<'static, io::Result<()>> {
        let operation = DiskOperation::new(DiskOperationKind::Rename, from, to.as_bytes());
        let (from, to) = (from.to_string(), to.to_string());
        self.run_disk_operation(METADATA_TIME, operation, move |disk| disk.rename(&from, to))
    }

    fn write_durably(
        &self,
        temporary_path: &str,
        path: &str,
        directory: &str,
        data: Vec<u8>,
    ) -> BoxFuture<'static, io::Result<()>> {
        let host = self.clone();
        let temporary_path = temporary_path.to_string();
        let path = path.to_string();
        let directory = directory.to_string();
        Box::pin(async move {
            host.write_file(&temporary_path, data).await?;
            host.sync(&temporary_path).await?;
            host.rename(&temporary_path, &path).await?;
            host.sync(&directory).await
        })
    }

    fn remove(&self, path: &str) -> BoxFuture<'static, io::Result<()>> {
        let operation = DiskOperation::new(DiskOperationKind::Remove, path, &[]);
        let path = path.to_string();
        self.run_disk_operation(METADATA_TIME, operation, move |disk| disk.remove(&path))
    }

    fn append(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>> {
        let operation = DiskOperation::new(DiskOperationKind::Append, path, &data);
        let file = path.to_string();
        let directory = path.rsplit_once('/').map_or("", |(directory, _)| directory);
        let content_append = self.run_disk_operation(TRANSFER_TIME, operation, move |disk| {
            disk.append(file, data)
        });
        // Both syncs draw their durations here, whether or not the directory's sync is then
        // awaited, so that the random numbers drawn do not depend on it.
        let content_sync = self.sync(path);
        let directory_sync = self.sync(directory);
        Box::pin(async move {
            let is_new = content_append.await?;
            content_sync.await?;
            if is_new { directory_sync.await } else { Ok(()) }
        })
    }

    fn read_file(&self, path: &str) -> BoxFuture<'static, io::Result<Vec<u8>>> {
        let operation = DiskOperation::new(DiskOperationKind::Read, path, &[]);
        let path = path.to_string();
        self.run_disk_operation(TRANSFER_TIME, operation, move |disk| disk.read(&path))
    }

    fn list(&self, directory: &str) -> BoxFuture<'static, io::Result<Vec<String>>> {
        let operation = DiskOperation::new(DiskOperationKind::List, directory, &[]);
        let directory = directory.to_string();
        self.run_disk_operation(TRANSFER_TIME, operation, move |disk| disk.list(&directory))
    }

    fn mkdir(&self, directory: &str) -> BoxFuture<'static, io::Result<()>> {
        let operation = DiskOperation::new(DiskOperationKind::CreateDirectory, directory, &[]);
        let directory = directory.to_string();
        self.run_disk_operation_for(0, operation, move |disk| {
            disk.create_directory(&directory);
            Ok(())
        })
    }

    fn log(&self, line: &str) {
        self.sim
            .world()
            .append_machine_log(self.process.machine, line);
    }
}
