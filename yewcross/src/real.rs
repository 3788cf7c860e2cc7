//! The world of the daemons: smol, sockets, files.

use crate::world::*;
use futures_lite::{AsyncRead, AsyncWrite};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime};

/// Each direction keeps its own handle, since a handle carries the waiting of its last poll.
struct Tcp {
    rd: Mutex<smol::net::TcpStream>,
    wr: Mutex<smol::net::TcpStream>,
}

impl Tcp {
    fn conn(s: smol::net::TcpStream, peer: SocketAddr) -> Conn {
        let _ = s.set_nodelay(true);
        Conn::new(Arc::new(Tcp { rd: Mutex::new(s.clone()), wr: Mutex::new(s) }), peer)
    }
}

impl Pipe for Tcp {
    fn read(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.rd.lock().unwrap()).poll_read(cx, buf)
    }
    fn write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.wr.lock().unwrap()).poll_write(cx, buf)
    }
    fn close(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.wr.lock().unwrap()).poll_close(cx)
    }
}

struct TcpDoor(smol::net::TcpListener);

impl Door for TcpDoor {
    fn accept(&self) -> Fut<'_, io::Result<Conn>> {
        Box::pin(async move {
            let (s, a) = self.0.accept().await?;
            Ok(Tcp::conn(s, a))
        })
    }
}

pub struct Real {
    ex: Arc<smol::Executor<'static>>,
    t0: Instant,
    root: PathBuf,
}

impl Real {
    pub fn world(root: &str, threads: usize) -> World {
        let ex = Arc::new(smol::Executor::new());
        (0..threads).for_each(|i| {
            let ex = ex.clone();
            let _ =
                std::thread::Builder::new().name(format!("yew-{i}")).spawn(move || smol::block_on(ex.run(std::future::pending::<()>())));
        });
        World(Arc::new(Real { ex, t0: Instant::now(), root: PathBuf::from(root) }))
    }

    fn blocking<T: Send + 'static>(
        &self,
        path: &str,
        f: impl FnOnce(PathBuf) -> io::Result<T> + Send + 'static,
    ) -> Fut<'static, io::Result<T>> {
        let p = self.root.join(path);
        Box::pin(smol::unblock(move || f(p)))
    }
}

impl Host for Real {
    fn now(&self) -> u64 {
        self.t0.elapsed().as_micros() as u64 + 1
    }
    fn wall(&self) -> u64 {
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map(|d| d.as_millis() as u64).unwrap_or(0)
    }
    fn rand(&self) -> u64 {
        fastrand::u64(..)
    }
    fn sleep(&self, us: u64) -> Fut<'static, ()> {
        Box::pin(async move {
            smol::Timer::after(Duration::from_micros(us)).await;
        })
    }
    fn spawn(&self, f: Fut<'static, ()>) {
        self.ex.spawn(f).detach();
    }
    fn connect(&self, to: SocketAddr) -> Fut<'static, io::Result<Conn>> {
        Box::pin(async move {
            let s = smol::net::TcpStream::connect(to).await?;
            Ok(Tcp::conn(s, to))
        })
    }
    fn bind(&self, at: SocketAddr) -> Fut<'static, io::Result<Box<dyn Door>>> {
        Box::pin(async move {
            let l = smol::net::TcpListener::bind(at).await?;
            Ok(Box::new(TcpDoor(l)) as Box<dyn Door>)
        })
    }
    fn fate(&self, _: SocketAddr) -> Fate {
        Fate::Pass
    }
    fn put(&self, path: &str, data: Vec<u8>) -> Fut<'static, io::Result<()>> {
        self.blocking(path, move |p| std::fs::write(p, data))
    }
    fn sync(&self, path: &str) -> Fut<'static, io::Result<()>> {
        self.blocking(path, |p| std::fs::File::open(p)?.sync_all())
    }
    fn rename(&self, a: &str, b: &str) -> Fut<'static, io::Result<()>> {
        let b = self.root.join(b);
        self.blocking(a, move |a| std::fs::rename(a, b))
    }
    fn keep(&self, aside: &str, at: &str, dir: &str, data: Vec<u8>) -> Fut<'static, io::Result<()>> {
        let (at, dir) = (self.root.join(at), self.root.join(dir));
        self.blocking(aside, move |aside| {
            let mut f = std::fs::File::create(&aside)?;
            f.write_all(&data)?;
            f.sync_all()?;
            std::fs::rename(aside, at)?;
            std::fs::File::open(dir)?.sync_all()
        })
    }
    fn remove(&self, path: &str) -> Fut<'static, io::Result<()>> {
        self.blocking(path, std::fs::remove_file)
    }
    fn get(&self, path: &str) -> Fut<'static, io::Result<Vec<u8>>> {
        self.blocking(path, std::fs::read)
    }
    fn list(&self, dir: &str) -> Fut<'static, io::Result<Vec<String>>> {
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
    fn mkdir(&self, dir: &str) -> Fut<'static, io::Result<()>> {
        self.blocking(dir, std::fs::create_dir_all)
    }
    fn log(&self, line: &str) {
        spdlog::info!("{}", line);
    }
}
