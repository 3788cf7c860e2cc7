//! A connection that records whether its caller reads what is written.

use super::CallerConnection;
use crate::runtime::Connection;
use futures_lite::{AsyncRead, AsyncWrite};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// A connection whose writes show whether its caller reads.
pub struct ObservedConnection {
    connection: Connection,
    caller: Arc<CallerConnection>,
}

impl ObservedConnection {
    /// Observes the writes to `connection`, which belongs to `caller`.
    pub fn new(connection: Connection, caller: Arc<CallerConnection>) -> ObservedConnection {
        ObservedConnection { connection, caller }
    }
}

impl AsyncRead for ObservedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_read(cx, buf)
    }
}

impl AsyncWrite for ObservedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.connection).poll_write(cx, buf);
        match &written {
            Poll::Pending => self.caller.record_unread(),
            // A caller that reads a little at a time makes room for a part only.
            Poll::Ready(Ok(count)) if *count == buf.len() => self.caller.record_read(),
            Poll::Ready(_) => {}
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_close(cx)
    }
}
