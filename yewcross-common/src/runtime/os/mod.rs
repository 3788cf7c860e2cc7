//! The production runtime: a task executor on the sockets and files of the operating system.

mod disk_threads;
mod tcp;

use super::reactor::Reactor;
use super::{BoxFuture, Connection, FrameFault, Listener, Runtime, RuntimeBackend};
use crate::overload::OverloadLimits;
use crate::process;
use crate::process_settings::{Bounds, exit};
use disk_threads::DiskThreads;
use futures_lite::FutureExt;
use std::fs::{File, OpenOptions};
use std::future::pending;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

/// The file most recently appended to, which is kept open.
struct AppendFile {
    path: PathBuf,
    file: File,
}

/// The runtime of production processes.
pub struct OsRuntime {
    executor: Arc<smol::Executor<'static>>,
    reactor: Arc<Reactor>,
    disk_threads: DiskThreads,
    /// The process's data folder.
    data_folder: PathBuf,
    /// Limits of the connections that are accepted.
    limits: OverloadLimits,
    /// Kept open between appends to the same path.
    append_file: Arc<Mutex<Option<AppendFile>>>,
}

impl OsRuntime {
    /// Starts a runtime with the data folder `data_folder`. Tasks run on `threads` dedicated threads;
    /// the first one also runs the reactor, which waits for sockets and timers.
    ///
    /// # Panics
    /// If the operating system cannot create an event queue.
    pub fn start(data_folder: &str, threads: usize) -> Runtime {
        OsRuntime::start_within(data_folder, threads, &Bounds::default())
    }

    /// Like [`OsRuntime::start`], for a process within these bounds: they limit what the system keeps
    /// for the connections that it accepts.
    ///
    /// # Panics
    /// If the operating system cannot create an event queue.
    pub fn start_within(data_folder: &str, threads: usize, bounds: &Bounds) -> Runtime {
        let executor = Arc::new(smol::Executor::new());
        let (reactor, poller) = Reactor::new()
            .unwrap_or_else(|error| panic!("cannot create the reactor's event queue: {error}"));
        let (first_reactor, first_executor) = (reactor.clone(), executor.clone());
        start_thread(0, move || {
            first_reactor.block_on(poller, first_executor.run(pending::<()>()))
        });
        for index in 1..threads {
            let executor = executor.clone();
            start_thread(index, move || {
                futures_lite::future::block_on(executor.run(pending::<()>()))
            });
        }
        Runtime(Arc::new(OsRuntime {
            executor,
            reactor,
            disk_threads: DiskThreads::new(),
            data_folder: PathBuf::from(data_folder),
            limits: OverloadLimits::within(bounds),
            append_file: Default::default(),
        }))
    }

    /// Runs a blocking operation on a disk thread, on a path relative to the data folder.
    fn run_blocking<T: Send + 'static>(
        &self,
        path: &str,
        operation: impl FnOnce(PathBuf) -> io::Result<T> + Send + 'static,
    ) -> BoxFuture<'static, io::Result<T>> {
        let path = self.data_folder.join(path);
        let (outcome, receiver) = async_channel::bounded(1);
        self.disk_threads.run(Box::new(move || {
            // Fails if the caller dropped the returned future.
            let _ = outcome.try_send(operation(path));
        }));
        Box::pin(async move {
            receiver.recv().await.unwrap_or_else(|_| {
                Err(io::Error::other(
                    "disk thread ended before the operation completed",
                ))
            })
        })
    }
}

/// Starts a thread that runs tasks.
fn start_thread(index: usize, run: impl FnOnce() + Send + 'static) {
    // If the system cannot start the thread, the runtime continues with one thread less.
    let _ = std::thread::Builder::new()
        .name(format!("yew-{index}"))
        .spawn(run);
}

impl RuntimeBackend for OsRuntime {
    fn now(&self) -> u64 {
        self.reactor.now()
    }

    fn wall_clock_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map(|since| since.as_millis() as u64)
            .unwrap_or(0)
    }

    fn random(&self) -> u64 {
        fastrand::u64(..)
    }

    fn sleep(&self, us: u64) -> BoxFuture<'static, ()> {
        let until = self.reactor.now().saturating_add(us);
        Box::pin(self.reactor.sleep_until(until))
    }

    fn spawn(&self, task: BoxFuture<'static, ()>) {
        self.executor.spawn(task).detach();
    }

    fn spawn_essential(&self, name: &'static str, task: BoxFuture<'static, ()>) {
        let supervised = async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                let reason = format!("the task {name} panicked");
                std::process::exit(process::log_end(exit::TASK_PANICKED, &reason));
            }
        };
        self.executor.spawn(supervised).detach();
    }

    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<Connection>> {
        Box::pin(tcp::connect(self.reactor.clone(), address, self.limits))
    }

    fn bind(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>> {
        let (reactor, limits) = (self.reactor.clone(), self.limits);
        Box::pin(async move { tcp::bind(reactor, address, &limits) })
    }

    fn frame_fault(&self, _: SocketAddr) -> FrameFault {
        FrameFault::Deliver
    }

    fn write_file(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>> {
        self.run_blocking(path, move |path| std::fs::write(path, data))
    }

    fn sync(&self, path: &str) -> BoxFuture<'static, io::Result<()>> {
        self.run_blocking(path, |path| sync_path(&path))
    }

    fn rename(&self, from: &str, to: &str) -> BoxFuture<'static, io::Result<()>> {
        let to = self.data_folder.join(to);
        self.run_blocking(from, move |from| std::fs::rename(from, to))
    }

    fn write_durably(
        &self,
        temporary: &str,
        path: &str,
        dir: &str,
        data: Vec<u8>,
    ) -> BoxFuture<'static, io::Result<()>> {
        let (path, dir) = (self.data_folder.join(path), self.data_folder.join(dir));
        self.run_blocking(temporary, move |temporary| {
            let mut file = File::create(&temporary)?;
            file.write_all(&data)?;
            file.sync_all()?;
            std::fs::rename(temporary, path)?;
            sync_path(&dir)
        })
    }

    fn remove(&self, path: &str) -> BoxFuture<'static, io::Result<()>> {
        self.run_blocking(path, std::fs::remove_file)
    }

    fn append(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>> {
        let append_file = self.append_file.clone();
        self.run_blocking(path, move |path| {
            let mut open = append_file.lock().unwrap();
            if open.as_ref().is_none_or(|open| open.path != path) {
                let file = open_for_append(&path)?;
                *open = Some(AppendFile { path, file });
            }
            open.as_mut().map_or(Ok(()), |open| {
                open.file.write_all(&data)?;
                open.file.sync_data()
            })
        })
    }

    fn read_file(&self, path: &str) -> BoxFuture<'static, io::Result<Vec<u8>>> {
        self.run_blocking(path, std::fs::read)
    }

    fn list(&self, dir: &str) -> BoxFuture<'static, io::Result<Vec<String>>> {
        self.run_blocking(dir, |dir| {
            let mut names: Vec<String> = std::fs::read_dir(dir)?
                .filter_map(|entry| entry.ok())
                .filter(|entry| entry.path().is_file())
                .filter_map(|entry| entry.file_name().into_string().ok())
                .collect();
            names.sort();
            Ok(names)
        })
    }

    fn mkdir(&self, dir: &str) -> BoxFuture<'static, io::Result<()>> {
        self.run_blocking(dir, std::fs::create_dir_all)
    }

    fn log(&self, line: &str) {
        crate::process::log(line);
    }
}

/// Syncs a file, or the entries of a folder.
fn sync_path(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}

/// Opens a file for appending. The folder entry of a new file is made durable before any data is
/// written to it.
fn open_for_append(path: &Path) -> io::Result<File> {
    let is_new = !path.exists();
    let file = OpenOptions::new().create(true).append(true).open(path)?;
    if let Some(dir) = path.parent().filter(|_| is_new) {
        sync_path(dir)?;
    }
    Ok(file)
}
