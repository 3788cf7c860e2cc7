//! The runtime of a simulated process.

use super::Sim;
use super::clock::TimerEvent;
use super::connection::ConnectionId;
use super::disk::Disk;
use super::fingerprint::{DiskKind, DiskStep, Event};
use super::listener::SimListener;
use super::machine::{MachineId, ProcessId};
use super::stream::SimStream;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use yewcross_common::constants::MS;
use yewcross_common::runtime::{BoxFuture, Connection, FrameFault, Listener, RuntimeBackend};

/// The calendar's ms when a simulation begins.
const CALENDAR_START_MS: i64 = 1_790_000_000_000;
/// us after which a connection attempt that nobody answered is sent again.
const CONNECT_RETRY: u64 = 200 * MS;
/// us after which an operation looks again whether its disk still stalls.
const STALL_POLL: u64 = 50 * MS;
/// us of disk operations, before jitter.
const TRANSFER_TIME: u64 = 60;
const NAME_CHANGE_TIME: u64 = 20;
/// us of a sync on a disk without costs, and the most that is added at random.
const SYNC_TIME: u64 = 400;
const SYNC_JITTER: u64 = 200;
/// us, the longest delay of a frame.
const FRAME_DELAY_LIMIT: u64 = 300 * MS;
/// The port that connections seem to come from.
const CLIENT_PORT: u16 = 1;

/// Runs a process on a machine of the simulation.
#[derive(Clone)]
pub struct SimHost {
    sim: Sim,
    process: ProcessId,
}

/// What a connection attempt meets.
enum Route {
    /// No machine with power has the address: packets vanish.
    Unknown,
    /// A partition or a frozen machine: nobody answers for now.
    Silent,
    /// Answers after so many us.
    Reachable { machine: MachineId, round_trip: u64 },
}

/// A power loss that a sync sets off, in so many us.
type PowerLossDelay = Option<u64>;

impl SimHost {
    pub(super) fn new(sim: Sim, process: ProcessId) -> SimHost {
        SimHost { sim, process }
    }

    fn probe(&self, to: SocketAddr) -> Route {
        let mut world = self.sim.world();
        let own = self.process.machine;
        let Some(machine) = world.machine_at(to.ip()) else {
            world.record(own, Event::Unheard { at: to });
            return Route::Unknown;
        };
        let round_trip = world.latency(own, machine) + world.latency(machine, own);
        let is_silent = world.is_blocked(own, machine)
            || world.is_blocked(machine, own)
            || world.machines[machine].is_frozen;
        if is_silent {
            Route::Silent
        } else {
            Route::Reachable {
                machine,
                round_trip,
            }
        }
    }

    async fn connect_to(self, to: SocketAddr) -> io::Result<Connection> {
        loop {
            match self.probe(to) {
                Route::Unknown => std::future::pending::<()>().await,
                Route::Silent => self.sim.sleep_for(CONNECT_RETRY).await,
                Route::Reachable {
                    machine,
                    round_trip,
                } => {
                    self.sim.sleep_for(round_trip).await;
                    return self.open(to, machine);
                }
            }
        }
    }

    /// Opens a connection to the listener on the machine, or is refused.
    fn open(&self, to: SocketAddr, machine: MachineId) -> io::Result<Connection> {
        let own = self.process.machine;
        let mut world = self.sim.world();
        let listening = world.listeners.get(&to).map(|listener| listener.process);
        let Some(peer) = listening.filter(|process| process.machine == machine) else {
            let name = world.machines[machine].name.clone();
            let event = Event::Refused { to: &name, at: to };
            world.record(own, event);
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let id = world.open_connection([self.process, peer]);
        world.record_on(id, 0, |number, name| Event::Opened {
            connection: number,
            to: name,
            at: to,
        });
        let from = SocketAddr::new(world.machines[own].ip, CLIENT_PORT);
        let accepted = self.stream(id, 1, from);
        let acceptor = world
            .listeners
            .get_mut(&to)
            .and_then(|listener| listener.push(accepted));
        drop(world);
        if let Some(acceptor) = acceptor {
            acceptor.wake();
        }
        Ok(self.stream(id, 0, to))
    }

    fn stream(&self, id: ConnectionId, side: usize, peer: SocketAddr) -> Connection {
        let stream = SimStream::new(self.sim.clone(), id, side);
        Connection::new(Arc::new(stream), peer)
    }

    /// Runs a disk operation that takes so many us and up to half as many more.
    fn on_disk<T: Send + 'static>(
        &self,
        us: u64,
        step: DiskStep,
        operation: impl FnOnce(&mut Disk) -> io::Result<T> + Send + 'static,
    ) -> BoxFuture<'static, io::Result<T>> {
        let jitter = self.sim.rand() % (us / 2 + 1);
        self.on_disk_for(us + jitter, step, operation)
    }

    /// Runs a disk operation that takes so many us on a disk of usual speed.
    fn on_disk_for<T: Send + 'static>(
        &self,
        us: u64,
        step: DiskStep,
        operation: impl FnOnce(&mut Disk) -> io::Result<T> + Send + 'static,
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
                    operation(disk)
                }
            });
            let event = Event::Stored {
                step: &step,
                ok: result.is_ok(),
            };
            sim.world().record(machine, event);
            result
        })
    }

    /// Waits until the machine's disk has done the syncs before this one and this one.
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

/// Syncs the path and counts down to the power loss that is planned after so many syncs.
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
        (CALENDAR_START_MS + elapsed_ms + skew_ms) as u64
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
        let step = DiskStep::new(DiskKind::Put, path, &data);
        let path = path.to_string();
        self.on_disk(TRANSFER_TIME, step, move |disk| disk.write(path, data))
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
        let step = DiskStep::new(DiskKind::Sync, path, &[]);
        let path = path.to_string();
        let synced = self.on_disk_for(us, step, move |disk| Ok(sync_and_count(disk, &path)));
        Box::pin(async move {
            if sync_us > 0 {
                SimHost::wait_for_disk(&sim, machine, sync_us).await;
            }
            if let Some(delay) = synced.await? {
                let mut world = sim.world();
                let at = world.now + delay;
                world.schedule(at, TimerEvent::LosePower(machine));
            }
            Ok(())
        })
    }

    fn rename(&self, from: &str, to: &str) -> BoxFuture<'static, io::Result<()>> {
        let step = DiskStep::new(DiskKind::Rename, from, to.as_bytes());
        let (from, to) = (from.to_string(), to.to_string());
        self.on_disk(NAME_CHANGE_TIME, step, move |disk| disk.rename(&from, to))
    }

    fn write_durably(
        &self,
        aside: &str,
        at: &str,
        dir: &str,
        data: Vec<u8>,
    ) -> BoxFuture<'static, io::Result<()>> {
        let host = self.clone();
        let aside = aside.to_string();
        let at = at.to_string();
        let dir = dir.to_string();
        Box::pin(async move {
            host.write_file(&aside, data).await?;
            host.sync(&aside).await?;
            host.rename(&aside, &at).await?;
            host.sync(&dir).await
        })
    }

    fn remove(&self, path: &str) -> BoxFuture<'static, io::Result<()>> {
        let step = DiskStep::new(DiskKind::Remove, path, &[]);
        let path = path.to_string();
        self.on_disk(NAME_CHANGE_TIME, step, move |disk| disk.remove(&path))
    }

    fn append(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>> {
        let step = DiskStep::new(DiskKind::Append, path, &data);
        let file = path.to_string();
        let folder = path.rsplit_once('/').map_or("", |(folder, _)| folder);
        let appended = self.on_disk(TRANSFER_TIME, step, move |disk| disk.append(file, data));
        // Both draw their times now, whether or not the folder needs its sync.
        let content_synced = self.sync(path);
        let name_synced = self.sync(folder);
        Box::pin(async move {
            let is_new = appended.await?;
            content_synced.await?;
            if is_new { name_synced.await } else { Ok(()) }
        })
    }

    fn read_file(&self, path: &str) -> BoxFuture<'static, io::Result<Vec<u8>>> {
        let step = DiskStep::new(DiskKind::Get, path, &[]);
        let path = path.to_string();
        self.on_disk(TRANSFER_TIME, step, move |disk| disk.read(&path))
    }

    fn list(&self, dir: &str) -> BoxFuture<'static, io::Result<Vec<String>>> {
        let step = DiskStep::new(DiskKind::List, dir, &[]);
        let dir = dir.to_string();
        self.on_disk(TRANSFER_TIME, step, move |disk| disk.list(&dir))
    }

    fn mkdir(&self, dir: &str) -> BoxFuture<'static, io::Result<()>> {
        let step = DiskStep::new(DiskKind::MakeFolder, dir, &[]);
        let dir = dir.to_string();
        self.on_disk_for(0, step, move |disk| {
            disk.make_folder(&dir);
            Ok(())
        })
    }

    fn log(&self, line: &str) {
        self.sim.world().note_of(self.process.machine, line);
    }
}
