//! TCP sockets of the operating system, watched by the reactor.

use crate::constants::{ACCEPT_BACKLOG, KEEPALIVE_INTERVAL, SEND_TIMEOUT};
use crate::runtime::reactor::{Direction, Reactor, WatchedSocket};
use crate::runtime::{BoxFuture, ByteStream, Connection, Listener};
use mio::Interest;
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Linux's error number of a non-blocking connect that goes on in the background.
const EINPROGRESS: i32 = 115;

/// An operation that transfers no bytes: it never leaves the socket partly drained.
const NO_BYTES: usize = 0;

struct OsTcpStream(WatchedSocket<TcpStream>);

impl OsTcpStream {
    fn connection(
        reactor: &Arc<Reactor>,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> io::Result<Connection> {
        let socket = reactor.watch(stream, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Connection::new(Arc::new(OsTcpStream(socket)), peer))
    }
}

impl ByteStream for OsTcpStream {
    fn read(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.0
            .attempt(Direction::Read, cx, buf.len(), |mut stream| {
                stream.read(buf)
            })
    }

    fn write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0
            .attempt(Direction::Write, cx, buf.len(), |mut stream| {
                stream.write(buf)
            })
    }

    fn close(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Fails where the other end has closed the connection already, which is as good.
        let _ = self.0.io.shutdown(std::net::Shutdown::Write);
        Poll::Ready(Ok(()))
    }

    fn set_send_timeout(&self, timeout_us: u64) {
        // Fails on a connection that has ended already.
        let _ =
            SockRef::from(&self.0.io).set_tcp_user_timeout(Some(Duration::from_micros(timeout_us)));
    }
}

struct OsTcpListener {
    socket: WatchedSocket<TcpListener>,
    reactor: Arc<Reactor>,
}

impl Listener for OsTcpListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<Connection>> {
        Box::pin(async move {
            let mut accepted = None;
            std::future::poll_fn(|cx| {
                self.socket
                    .attempt(Direction::Read, cx, NO_BYTES, |listener| {
                        accepted = Some(listener.accept()?);
                        Ok(0)
                    })
            })
            .await?;
            let (stream, peer) = accepted.ok_or(io::ErrorKind::WouldBlock)?;
            set_stream_options(SockRef::from(&stream))?;
            OsTcpStream::connection(&self.reactor, stream, peer)
        })
    }
}

/// Connects to an address.
pub(super) async fn connect(reactor: Arc<Reactor>, to: SocketAddr) -> io::Result<Connection> {
    let socket = reactor.watch(start_connect(to)?, Interest::READABLE | Interest::WRITABLE)?;
    std::future::poll_fn(|cx| {
        socket.attempt(Direction::Write, cx, NO_BYTES, |stream| {
            connect_outcome(stream).map(|()| 0)
        })
    })
    .await?;
    Ok(Connection::new(Arc::new(OsTcpStream(socket)), to))
}

/// Whether a connect has succeeded; `WouldBlock` while it is under way.
fn connect_outcome(stream: &TcpStream) -> io::Result<()> {
    match (stream.take_error()?, stream.peer_addr()) {
        (Some(error), _) => Err(error),
        (None, Err(error)) if error.kind() == io::ErrorKind::NotConnected => {
            Err(io::ErrorKind::WouldBlock.into())
        }
        (None, peer) => peer.map(|_| ()),
    }
}

fn start_connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = new_socket(to)?;
    set_stream_options(SockRef::from(&socket))?;
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_micros(KEEPALIVE_INTERVAL))
        .with_interval(Duration::from_micros(KEEPALIVE_INTERVAL));
    socket.set_tcp_keepalive(&keepalive)?;
    match socket.connect(&to.into()) {
        Err(error) if !is_in_progress(&error) => Err(error),
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}

/// Listens at an address.
pub(super) fn bind(reactor: Arc<Reactor>, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
    let socket = new_socket(at)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    let listener = TcpListener::from_std(socket.into());
    let socket = reactor.watch(listener, Interest::READABLE)?;
    Ok(Box::new(OsTcpListener { socket, reactor }))
}

fn new_socket(address: SocketAddr) -> io::Result<Socket> {
    Socket::new(
        Domain::for_address(address),
        Type::STREAM.nonblocking().cloexec(),
        Some(Protocol::TCP),
    )
}

/// A peer that lost power sends nothing: a connection ends when the peer does not acknowledge what
/// was sent, or does not answer keepalive probes.
fn set_stream_options(socket: SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(Duration::from_micros(SEND_TIMEOUT)))
}
