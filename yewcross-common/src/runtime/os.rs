//! The world of the daemons: smol, sockets, files.

use crate::constants::*;
use crate::runtime::reactor::{READ, Reactor, WRITE, Watched};
use crate::runtime::*;
use async_channel::{Receiver, Sender};
use mio::Interest;
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime};

struct Tcp(Watched<TcpStream>);

impl Tcp {
    fn conn(r: &Arc<Reactor>, s: TcpStream, peer: SocketAddr) -> io::Result<Connection> {
        let s = r.watch(s, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Connection::new(Arc::new(Tcp(s)), peer))
    }
}

impl ByteStream for Tcp {
    fn read(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.0.attempt(READ, cx, buf.len(), |mut s| s.read(buf))
    }
    fn write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.attempt(WRITE, cx, buf.len(), |mut s| s.write(buf))
    }
    fn close(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Whoever is gone already has nothing left to be told.
        let _ = self.0.io.shutdown(std::net::Shutdown::Write);
        Poll::Ready(Ok(()))
    }
    fn set_send_timeout(&self, us: u64) {
        let _ = SockRef::from(&self.0.io).set_tcp_user_timeout(Some(Duration::from_micros(us)));
    }
}

struct TcpDoor(Watched<TcpListener>, Arc<Reactor>);

impl Listener for TcpDoor {
    fn accept(&self) -> BoxFuture<'_, io::Result<Connection>> {
        Box::pin(async move {
            let mut got = None;
            std::future::poll_fn(|cx| {
                self.0.attempt(READ, cx, 0, |l| {
                    got = Some(l.accept()?);
                    Ok(0)
                })
            })
            .await?;
            let (s, a) = got.ok_or(io::ErrorKind::WouldBlock)?;
            tune(SockRef::from(&s))?;
            Tcp::conn(&self.1, s, a)
        })
    }
}

/// A peer without power says nothing: what it does not acknowledge, or does not answer, ends the
/// connection.
fn tune(s: SockRef<'_>) -> io::Result<()> {
    s.set_tcp_nodelay(true)?;
    s.set_tcp_user_timeout(Some(Duration::from_micros(SILENT)))
}

fn dial(to: SocketAddr) -> io::Result<TcpStream> {
    let s = Socket::new(
        Domain::for_address(to),
        Type::STREAM.nonblocking().cloexec(),
        Some(Protocol::TCP),
    )?;
    tune(SockRef::from(&s))?;
    let alive = TcpKeepalive::new()
        .with_time(Duration::from_micros(SILENT_ASK))
        .with_interval(Duration::from_micros(SILENT_ASK));
    s.set_tcp_keepalive(&alive)?;
    match s.connect(&to.into()) {
        Err(e)
            if e.kind() != io::ErrorKind::WouldBlock && e.raw_os_error() != Some(EINPROGRESS) =>
        {
            Err(e)
        }
        _ => Ok(TcpStream::from_std(s.into())),
    }
}

const EINPROGRESS: i32 = 115;

type Work = Box<dyn FnOnce() + Send>;

/// Threads that may wait for the disk; once started they stay.
struct DiskThreads {
    jobs: (Sender<Work>, Receiver<Work>),
    started: AtomicUsize,
    idle: Arc<AtomicUsize>,
}

impl DiskThreads {
    fn take(&self, f: Work) {
        let free = self.idle.load(SeqCst) > self.jobs.0.len();
        if !free
            && self.started.load(SeqCst) < DISK_HANDS
            && self.started.fetch_add(1, SeqCst) < DISK_HANDS
        {
            let (rx, idle) = (self.jobs.1.clone(), self.idle.clone());
            let _ = std::thread::Builder::new()
                .name("disk".into())
                .stack_size(256 << 10)
                .spawn(move || {
                    loop {
                        idle.fetch_add(1, SeqCst);
                        let Ok(f) = rx.recv_blocking() else { return };
                        idle.fetch_sub(1, SeqCst);
                        f();
                    }
                });
        }
        let _ = self.jobs.0.try_send(f);
    }
}

pub struct OsRuntime {
    ex: Arc<smol::Executor<'static>>,
    reactor: Arc<Reactor>,
    hands: DiskThreads,
    root: PathBuf,
    /// The file last appended to stays open.
    tail: Tail,
}

type Tail = Arc<Mutex<Option<(PathBuf, std::fs::File)>>>;

impl OsRuntime {
    /// A world whose tasks run on threads of their own; with one, the same thread waits for sockets
    /// and timers.
    pub fn world(root: &str, threads: usize) -> Runtime {
        let ex = Arc::new(smol::Executor::new());
        let (reactor, poller) = Reactor::new().unwrap_or_else(|e| panic!("no event queue: {e}"));
        let (r, e) = (reactor.clone(), ex.clone());
        let name = |i: usize| std::thread::Builder::new().name(format!("yew-{i}"));
        let _ = name(0).spawn(move || r.drive(poller, e.run(std::future::pending::<()>())));
        (1..threads).for_each(|i| {
            let e = ex.clone();
            let _ = name(i)
                .spawn(move || futures_lite::future::block_on(e.run(std::future::pending::<()>())));
        });
        let hands = DiskThreads {
            jobs: async_channel::unbounded(),
            started: AtomicUsize::new(0),
            idle: Default::default(),
        };
        Runtime(Arc::new(OsRuntime {
            ex,
            reactor,
            hands,
            root: PathBuf::from(root),
            tail: Tail::default(),
        }))
    }

    fn blocking<T: Send + 'static>(
        &self,
        path: &str,
        f: impl FnOnce(PathBuf) -> io::Result<T> + Send + 'static,
    ) -> BoxFuture<'static, io::Result<T>> {
        let p = self.root.join(path);
        let (tx, rx) = async_channel::bounded(1);
        self.hands.take(Box::new(move || {
            let _ = tx.try_send(f(p));
        }));
        Box::pin(async move {
            rx.recv()
                .await
                .unwrap_or_else(|_| Err(io::Error::other("a disk thread ended")))
        })
    }
}

impl RuntimeBackend for OsRuntime {
    fn now(&self) -> u64 {
        self.reactor.now()
    }
    fn wall_clock_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map(|d| d.as_millis() as u64)
            .unwrap_or(0)
    }
    fn random(&self) -> u64 {
        fastrand::u64(..)
    }
    fn sleep(&self, us: u64) -> BoxFuture<'static, ()> {
        Box::pin(
            self.reactor
                .sleep_until(self.reactor.now().saturating_add(us)),
        )
    }
    fn spawn(&self, f: BoxFuture<'static, ()>) {
        self.ex.spawn(f).detach();
    }
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Connection>> {
        let r = self.reactor.clone();
        Box::pin(async move {
            let s = r.watch(dial(to)?, Interest::READABLE | Interest::WRITABLE)?;
            std::future::poll_fn(|cx| {
                s.attempt(WRITE, cx, 0, |s| match (s.take_error()?, s.peer_addr()) {
                    (Some(e), _) => Err(e),
                    (None, Err(e)) if e.kind() == io::ErrorKind::NotConnected => {
                        Err(io::ErrorKind::WouldBlock.into())
                    }
                    (None, r) => r.map(|_| 0),
                })
            })
            .await?;
            Ok(Connection::new(Arc::new(Tcp(s)), to))
        })
    }
    fn bind(&self, at: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>> {
        let r = self.reactor.clone();
        Box::pin(async move {
            let s = Socket::new(
                Domain::for_address(at),
                Type::STREAM.nonblocking().cloexec(),
                Some(Protocol::TCP),
            )?;
            s.set_reuse_address(true)?;
            s.bind(&at.into())?;
            s.listen(BACKLOG)?;
            let l = r.watch(TcpListener::from_std(s.into()), Interest::READABLE)?;
            Ok(Box::new(TcpDoor(l, r)) as Box<dyn Listener>)
        })
    }
    fn frame_fault(&self, _: SocketAddr) -> FrameFault {
        FrameFault::Deliver
    }
    fn write_file(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>> {
        self.blocking(path, move |p| std::fs::write(p, data))
    }
    fn sync(&self, path: &str) -> BoxFuture<'static, io::Result<()>> {
        self.blocking(path, |p| std::fs::File::open(p)?.sync_all())
    }
    fn rename(&self, a: &str, b: &str) -> BoxFuture<'static, io::Result<()>> {
        let b = self.root.join(b);
        self.blocking(a, move |a| std::fs::rename(a, b))
    }
    fn write_durably(
        &self,
        aside: &str,
        at: &str,
        dir: &str,
        data: Vec<u8>,
    ) -> BoxFuture<'static, io::Result<()>> {
        let (at, dir) = (self.root.join(at), self.root.join(dir));
        self.blocking(aside, move |aside| {
            let mut f = std::fs::File::create(&aside)?;
            f.write_all(&data)?;
            f.sync_all()?;
            std::fs::rename(aside, at)?;
            std::fs::File::open(dir)?.sync_all()
        })
    }
    fn remove(&self, path: &str) -> BoxFuture<'static, io::Result<()>> {
        self.blocking(path, std::fs::remove_file)
    }
    fn append(&self, path: &str, data: Vec<u8>) -> BoxFuture<'static, io::Result<()>> {
        let tail = self.tail.clone();
        self.blocking(path, move |p| {
            let mut g = tail.lock().unwrap();
            if g.as_ref().is_none_or(|x| x.0 != p) {
                let new = !p.exists();
                let f = std::fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(&p)?;
                p.parent()
                    .filter(|_| new)
                    .map_or(Ok(()), |d| std::fs::File::open(d)?.sync_all())?;
                *g = Some((p, f));
            }
            g.as_mut().map_or(Ok(()), |x| {
                x.1.write_all(&data)?;
                x.1.sync_data()
            })
        })
    }
    fn read_file(&self, path: &str) -> BoxFuture<'static, io::Result<Vec<u8>>> {
        self.blocking(path, std::fs::read)
    }
    fn list(&self, dir: &str) -> BoxFuture<'static, io::Result<Vec<String>>> {
        self.blocking(dir, |p| {
            let mut v: Vec<String> = std::fs::read_dir(p)?
                .filter_map(|e| e.ok())
                .filter(|e| e.path().is_file())
                .filter_map(|e| e.file_name().into_string().ok())
                .collect();
            v.sort();
            Ok(v)
        })
    }
    fn mkdir(&self, dir: &str) -> BoxFuture<'static, io::Result<()>> {
        self.blocking(dir, std::fs::create_dir_all)
    }
    fn log(&self, line: &str) {
        spdlog::info!("{}", line);
    }
}
