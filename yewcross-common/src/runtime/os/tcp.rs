//! Non-blocking TCP sockets of the operating system, registered with the reactor.

use crate::constants::{KEEPALIVE_INTERVAL, SEND_TIMEOUT};
use crate::overload::OverloadLimits;
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

/// Linux's error number for a non-blocking connect that continues in the background.
const EINPROGRESS: i32 = 115;

/// Buffer length of an operation that transfers no bytes, and therefore never counts as a partial
/// transfer.
const NO_BYTES: usize = 0;

/// A TCP stream of the operating system.
struct OsTcpStream {
    socket: WatchedSocket<TcpStream>,
    limits: OverloadLimits,
}

impl OsTcpStream {
    /// Registers a connected stream with the reactor.
    fn register(
        reactor: &Arc<Reactor>,
        stream: TcpStream,
        peer: SocketAddr,
        limits: OverloadLimits,
    ) -> io::Result<Connection> {
        let socket = reactor.watch(stream, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Connection::new(
            Arc::new(OsTcpStream { socket, limits }),
            peer,
        ))
    }
}

impl ByteStream for OsTcpStream {
    fn read(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        self.socket
            .poll_io(Direction::Read, cx, buf.len(), |mut stream| {
                stream.read(buf)
            })
    }

    fn write(&self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.socket
            .poll_io(Direction::Write, cx, buf.len(), |mut stream| {
                stream.write(buf)
            })
    }

    fn close(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Fails if the peer has already closed the connection; it is closed in either case.
        let _ = self.socket.io.shutdown(std::net::Shutdown::Write);
        Poll::Ready(Ok(()))
    }

    fn set_send_timeout(&self, timeout_us: u64) {
        // Fails if the connection is already closed, where a timeout has no effect.
        let _ = SockRef::from(&self.socket.io)
            .set_tcp_user_timeout(Some(Duration::from_micros(timeout_us)));
    }

    fn set_receive_window(&self, bytes: usize) {
        // A system that refuses keeps the window as it is.
        let _ = SockRef::from(&self.socket.io).set_recv_buffer_size(bytes);
    }

    fn limit_receive_window(&self) {
        if let Some(window) = self.limits.receive_window {
            self.set_receive_window(window);
        }
    }
}

/// A TCP listener of the operating system.
struct OsTcpListener {
    socket: WatchedSocket<TcpListener>,
    reactor: Arc<Reactor>,
    limits: OverloadLimits,
}

impl Listener for OsTcpListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<Connection>> {
        Box::pin(async move {
            let mut accepted = None;
            std::future::poll_fn(|cx| {
                self.socket
                    .poll_io(Direction::Read, cx, NO_BYTES, |listener| {
                        accepted = Some(listener.accept()?);
                        Ok(0)
                    })
            })
            .await?;
            let (stream, peer) = accepted.ok_or(io::ErrorKind::WouldBlock)?;
            set_stream_options(SockRef::from(&stream))?;
            OsTcpStream::register(&self.reactor, stream, peer, self.limits)
        })
    }
}

/// Opens a connection and returns once it is established.
pub(super) async fn connect(
    reactor: Arc<Reactor>,
    address: SocketAddr,
    limits: OverloadLimits,
) -> io::Result<Connection> {
    let socket = reactor.watch(
        start_connect(address)?,
        Interest::READABLE | Interest::WRITABLE,
    )?;
    std::future::poll_fn(|cx| {
        socket.poll_io(Direction::Write, cx, NO_BYTES, |stream| {
            connect_outcome(stream).map(|()| 0)
        })
    })
    .await?;
    let stream = OsTcpStream { socket, limits };
    Ok(Connection::new(Arc::new(stream), address))
}

/// The result of a non-blocking connect; `WouldBlock` while it is in progress.
fn connect_outcome(stream: &TcpStream) -> io::Result<()> {
    match (stream.take_error()?, stream.peer_addr()) {
        (Some(error), _) => Err(error),
        (None, Err(error)) if error.kind() == io::ErrorKind::NotConnected => {
            Err(io::ErrorKind::WouldBlock.into())
        }
        (None, peer) => peer.map(|_| ()),
    }
}

/// Starts a non-blocking connect, with keepalive probes enabled.
fn start_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = new_socket(address)?;
    // Otherwise no listener can be bound to its local port until a minute after the connection.
    socket.set_reuse_address(true)?;
    set_stream_options(SockRef::from(&socket))?;
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_micros(KEEPALIVE_INTERVAL))
        .with_interval(Duration::from_micros(KEEPALIVE_INTERVAL));
    socket.set_tcp_keepalive(&keepalive)?;
    match socket.connect(&address.into()) {
        Err(error) if !is_in_progress(&error) => Err(error),
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}

/// Binds a listener to an address.
pub(super) fn bind(
    reactor: Arc<Reactor>,
    address: SocketAddr,
    limits: &OverloadLimits,
) -> io::Result<Box<dyn Listener>> {
    let socket = new_socket(address)?;
    socket.set_reuse_address(true)?;
    if let Some(window) = limits.receive_window {
        // Accepted connections inherit it, and those that wait to be accepted have it. A system that
        // refuses keeps its own.
        let _ = socket.set_recv_buffer_size(window);
    }
    socket.bind(&address.into())?;
    socket.listen(limits.accept_backlog)?;
    let listener = TcpListener::from_std(socket.into());
    let socket = reactor.watch(listener, Interest::READABLE)?;
    Ok(Box::new(OsTcpListener {
        socket,
        reactor,
        limits: *limits,
    }))
}

fn new_socket(address: SocketAddr) -> io::Result<Socket> {
    Socket::new(
        Domain::for_address(address),
        Type::STREAM.nonblocking().cloexec(),
        Some(Protocol::TCP),
    )
}

/// Disables Nagle's algorithm and limits how long sent data may stay unacknowledged. A peer that
/// lost power sends no reset: the connection is closed when the peer does not acknowledge sent data
/// or does not answer keepalive probes.
fn set_stream_options(socket: SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(Duration::from_micros(SEND_TIMEOUT)))
}
