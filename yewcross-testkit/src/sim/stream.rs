//! One endpoint of a connection, as the byte stream of the process that owns it.

use super::Sim;
use super::connection::{ConnectionId, ReadOutcome, Side, WriteOutcome};
use std::io;
use std::task::{Context, Poll};
use yewcross_common::runtime::ByteStream;

pub(super) struct SimStream {
    sim: Sim,
    connection: ConnectionId,
    side: Side,
}

impl SimStream {
    pub(super) fn new(sim: Sim, connection: ConnectionId, side: Side) -> SimStream {
        SimStream {
            sim,
            connection,
            side,
        }
    }

    fn close_sending(&self) {
        self.sim.world().close(self.connection, self.side);
    }
}

impl ByteStream for SimStream {
    fn read(&self, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let outcome = self
            .sim
            .world()
            .read(self.connection, self.side, buffer, context.waker());
        match outcome {
            ReadOutcome::Read(count, writer) => {
                if let Some(writer) = writer {
                    writer.wake();
                }
                Poll::Ready(Ok(count))
            }
            ReadOutcome::EndOfStream(end) => Poll::Ready(end),
            ReadOutcome::Empty => Poll::Pending,
        }
    }

    fn write(&self, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let outcome = self
            .sim
            .world()
            .write(self.connection, self.side, bytes, context.waker());
        match outcome {
            WriteOutcome::Written(count) => Poll::Ready(Ok(count)),
            WriteOutcome::Broken => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            WriteOutcome::Full => Poll::Pending,
        }
    }

    fn close(&self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.close_sending();
        Poll::Ready(Ok(()))
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        self.close_sending();
        let writer = self.sim.world().drop_endpoint(self.connection, self.side);
        if let Some(writer) = writer {
            writer.wake();
        }
    }
}
