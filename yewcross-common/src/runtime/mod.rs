//! The interface between the logic of the tier and its environment: time, randomness, tasks, the
//! network and files.
//!
//! Processes run on [`os::OsRuntime`]; simulations provide their own [`RuntimeBackend`].
//! All durations and points in time are in microseconds (µs) unless a name states another unit.

mod connection;
pub mod os;
pub mod reactor;

pub use connection::{ByteStream, Connection, Listener, WeakConnection};

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

/// A boxed future that can be polled on any thread.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The fault that the network applies to a frame about to be sent to a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FrameFault {
    /// The frame is delivered without a fault.
    Deliver,
    /// The frame is lost.
    Drop,
    /// The frame is delivered twice.
    Duplicate,
    /// The frame is sent after a delay, in µs.
    Delay(u64),
}

/// The services that a process uses. Paths are relative to the process's data folder.
pub trait RuntimeBackend: Send + Sync {
    /// Monotonic time in µs since an arbitrary starting point.
    fn now(&self) -> u64;
    /// Wall-clock time in ms since 1970 (UTC); it may jump in either direction.
    fn wall_clock_ms(&self) -> u64;
    /// Returns a uniformly distributed random number.
    fn random(&self) -> u64;
    /// Completes after `us` µs.
    fn sleep(&self, us: u64) -> BoxFuture<'static, ()>;
    /// Runs a task in the background until it completes.
    fn spawn(&self, task: BoxFuture<'static, ()>);
    /// Runs a task without which the process cannot do its work. A panic in it ends a process that
    /// runs on an operating system: its machine starts it again.
    fn spawn_essential(&self, name: &'static str, task: BoxFuture<'static, ()>) {
        let _ = name;
        self.spawn(task);
    }
    /// Opens a connection to an address.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<Connection>>;
    /// Binds a listener to an address.
    fn bind(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>>;
    /// The fault to apply to the next frame sent to a peer. Always [`FrameFault::Deliver`] on a real
    /// network, whose faults are not injected.
    fn frame_fault(&self, peer: SocketAddr) -> FrameFault;
    /// Writes a file. The data is not durable until it is synced.
    fn write_file(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>>;
    /// Makes the contents of a file, or the entries of a folder, durable.
    fn sync(&self, path: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Renames a file and replaces an existing file at `to`.
    fn rename(&self, from: &str, to: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Writes `data` to the path `temporary`, syncs it, renames it to `path` and syncs the folder
    /// `dir`. The file is durable once this returns.
    fn write_durably(
        &self,
        temporary: &str,
        path: &str,
        dir: &str,
        data: Vec<u8>,
    ) -> BoxFuture<'static, io::Result<()>>;
    /// Removes a file.
    fn remove(&self, path: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Appends to a file and returns once the data is durable; for a new file, its folder entry is
    /// durable as well. Runs as a single operation of the disk threads.
    fn append(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>>;
    /// Reads the contents of a file.
    fn read_file(&self, path: &str) -> BoxFuture<'static, io::Result<Vec<u8>>>;
    /// Lists the names of the files in a folder, sorted.
    fn list(&self, dir: &str) -> BoxFuture<'static, io::Result<Vec<String>>>;
    /// Creates a folder and its missing parents.
    fn mkdir(&self, dir: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Writes a line to the process's log.
    fn log(&self, line: &str);
}

/// A shared handle to the runtime of a process.
#[derive(Clone)]
pub struct Runtime(pub Arc<dyn RuntimeBackend>);

impl std::ops::Deref for Runtime {
    type Target = dyn RuntimeBackend;

    fn deref(&self) -> &Self::Target {
        &*self.0
    }
}

impl Runtime {
    /// Runs a task in the background until it completes.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(Box::pin(task));
    }

    /// Runs a task without which the process cannot do its work; see
    /// [`RuntimeBackend::spawn_essential`].
    pub fn spawn_essential(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        self.0.spawn_essential(name, Box::pin(task));
    }

    /// Returns the output of a future, or `None` if it takes longer than `us` µs; the future is then
    /// dropped.
    pub async fn timeout<T>(&self, us: u64, future: impl Future<Output = T>) -> Option<T> {
        futures_lite::future::or(async { Some(future.await) }, async {
            self.0.sleep(us).await;
            None
        })
        .await
    }

    /// Connects to an address; fails with `TimedOut` after `us` µs.
    pub async fn connect_within(&self, address: SocketAddr, us: u64) -> io::Result<Connection> {
        self.timeout(us, self.0.connect(address))
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    /// A random index below `length`, or 0 if `length` is 0. Always consumes exactly one random
    /// number.
    pub fn random_index(&self, length: usize) -> usize {
        (self.0.random() % length.max(1) as u64) as usize
    }

    /// Runs all futures concurrently, each as a separate task, and returns a channel that yields
    /// their outputs in the order of completion.
    pub fn spawn_all<T: Send + 'static>(
        &self,
        futures: Vec<BoxFuture<'static, T>>,
    ) -> async_channel::Receiver<T> {
        let (outputs, receiver) = async_channel::bounded(futures.len().max(1));
        for future in futures {
            let outputs = outputs.clone();
            self.spawn(async move {
                // Fails if the receiver was dropped because it needs no further outputs.
                let _ = outputs.send(future.await).await;
            });
        }
        receiver
    }
}
