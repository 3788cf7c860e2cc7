//! Listening sockets.

use super::Sim;
use super::fingerprint::Event;
use super::machine::ProcessId;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use yewcross_common::runtime::{BoxFuture, Connection, Listener};

pub(super) struct ListenerState {
    pub(super) process: ProcessId,
    /// Connections that are opened and not yet accepted.
    backlog: VecDeque<Connection>,
    acceptor_waker: Option<Waker>,
}

impl ListenerState {
    /// Adds a connection to the backlog. Returns the waker of the task that waits for one.
    pub(super) fn push(&mut self, connection: Connection) -> Option<Waker> {
        self.backlog.push_back(connection);
        self.acceptor_waker.take()
    }
}

pub(super) struct SimListener {
    sim: Sim,
    address: SocketAddr,
}

impl SimListener {
    /// Listens at the address. Fails if it is in use.
    pub(super) fn bind(
        sim: &Sim,
        process: ProcessId,
        address: SocketAddr,
    ) -> io::Result<SimListener> {
        let mut world = sim.world();
        let is_in_use = world.listeners.contains_key(&address);
        if !is_in_use {
            let state = ListenerState {
                process,
                backlog: VecDeque::new(),
                acceptor_waker: None,
            };
            world.listeners.insert(address, state);
        }
        let event = Event::Bound {
            at: address,
            ok: !is_in_use,
        };
        world.record(process.machine, event);
        if is_in_use {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        Ok(SimListener {
            sim: sim.clone(),
            address,
        })
    }
}

struct Accept<'a>(&'a SimListener);

impl Future for Accept<'_> {
    type Output = io::Result<Connection>;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<Connection>> {
        let mut world = self.0.sim.world();
        // Absent if the process was killed; its tasks are about to be dropped.
        let Some(state) = world.listeners.get_mut(&self.0.address) else {
            return Poll::Pending;
        };
        if let Some(connection) = state.backlog.pop_front() {
            return Poll::Ready(Ok(connection));
        }
        state.acceptor_waker = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Listener for SimListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<Connection>> {
        Box::pin(Accept(self))
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let mut world = self.sim.world();
        let state = world.listeners.remove(&self.address);
        if let Some(state) = &state {
            let event = Event::Unbound { at: self.address };
            world.record(state.process.machine, event);
        }
        drop(world);
        // Closes the connections of the backlog. Their destructors lock the world.
        drop(state);
    }
}
