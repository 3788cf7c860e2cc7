//! The boundary between the logic of the tier and what it runs on: time, randomness, tasks, the
//! network and files.
//!
//! The processes run on [`os::OsRuntime`]; simulations implement [`RuntimeBackend`] themselves.
//! All durations and points in time are in microseconds (µs) unless a name says otherwise.

mod connection;
pub mod os;
pub mod reactor;

pub use connection::{ByteStream, Connection, Listener};

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

/// A boxed future that any thread may run.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// What the network does with a frame about to leave for a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FrameFault {
    /// No fault.
    Deliver,
    /// The frame is lost.
    Drop,
    /// The frame arrives twice.
    Duplicate,
    /// The frame leaves later by so many µs.
    Delay(u64),
}

/// What a process needs of its surroundings. Paths are relative to the process's data folder.
pub trait RuntimeBackend: Send + Sync {
    /// Monotonic time in µs since some start of its own.
    fn now(&self) -> u64;
    /// Wall clock in ms since 1970; it may jump.
    fn wall_clock_ms(&self) -> u64;
    /// A random number, equally distributed.
    fn random(&self) -> u64;
    /// Ready after `us` µs.
    fn sleep(&self, us: u64) -> BoxFuture<'static, ()>;
    /// Runs a task in the background until it ends.
    fn spawn(&self, task: BoxFuture<'static, ()>);
    /// Connects to an address.
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Connection>>;
    /// Listens at an address.
    fn bind(&self, at: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>>;
    /// What happens to the next frame sent to a peer; a real network does its own faults.
    fn frame_fault(&self, to: SocketAddr) -> FrameFault;
    /// Writes a file; not durable before a sync.
    fn write_file(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>>;
    /// Makes the contents of a file, or the names in a folder, durable.
    fn sync(&self, path: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Renames a file, replacing any at `to`.
    fn rename(&self, from: &str, to: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Writes `data` to `aside`, syncs it, renames it to `at` and syncs the folder `dir`: durable
    /// once it returns.
    fn write_durably(
        &self,
        aside: &str,
        at: &str,
        dir: &str,
        data: Vec<u8>,
    ) -> BoxFuture<'static, io::Result<()>>;
    /// Removes a file.
    fn remove(&self, path: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Appends to a file and returns once the data is durable, and the file's name as well where
    /// the file is new. A single step of the disk threads.
    fn append(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>>;
    /// The contents of a file.
    fn read_file(&self, path: &str) -> BoxFuture<'static, io::Result<Vec<u8>>>;
    /// Names of the files in a folder, sorted.
    fn list(&self, dir: &str) -> BoxFuture<'static, io::Result<Vec<String>>>;
    /// Creates a folder, and those above it.
    fn mkdir(&self, dir: &str) -> BoxFuture<'static, io::Result<()>>;
    /// Writes a line to the process's log.
    fn log(&self, line: &str);
}

/// A shared handle to what the process runs on.
#[derive(Clone)]
pub struct Runtime(pub Arc<dyn RuntimeBackend>);

impl std::ops::Deref for Runtime {
    type Target = dyn RuntimeBackend;

    fn deref(&self) -> &Self::Target {
        &*self.0
    }
}

impl Runtime {
    /// Runs a task in the background until it ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(Box::pin(task));
    }

    /// The output of a future; none where it takes longer than `us` µs, and is dropped.
    pub async fn timeout<T>(&self, us: u64, future: impl Future<Output = T>) -> Option<T> {
        futures_lite::future::or(async { Some(future.await) }, async {
            self.0.sleep(us).await;
            None
        })
        .await
    }

    /// Connects to an address within `us` µs.
    pub async fn connect_within(&self, to: SocketAddr, us: u64) -> io::Result<Connection> {
        self.timeout(us, self.0.connect(to))
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    /// A random index below `length`; 0 where that is 0. One random draw in any case.
    pub fn random_index(&self, length: usize) -> usize {
        (self.0.random() % length.max(1) as u64) as usize
    }

    /// Runs all futures concurrently, each as a task of its own, and hands back their outputs in
    /// the order of completion.
    pub fn spawn_all<T: Send + 'static>(
        &self,
        futures: Vec<BoxFuture<'static, T>>,
    ) -> async_channel::Receiver<T> {
        let (outputs, receiver) = async_channel::bounded(futures.len().max(1));
        for future in futures {
            let outputs = outputs.clone();
            self.spawn(async move {
                // Whoever has heard enough drops the receiver.
                let _ = outputs.send(future.await).await;
            });
        }
        receiver
    }
}
