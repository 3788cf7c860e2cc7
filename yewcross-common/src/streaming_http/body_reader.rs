//! Reads the complete bodies of requests, within limits on their size, time and memory.

use crate::buffer_memory::{BufferMemory, Reservation, ReservedBuffer};
use crate::constants::{BODY_BYTES_PER_SECOND_MIN, BODY_TIMEOUT, SEC};
use crate::overload::CallerConnection;
use crate::runtime::Runtime;
use bytes::Bytes;
use http::Extensions;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::{Frame, Incoming};
use std::sync::Arc;

/// The reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReadError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body was not received completely, or is malformed.
    Incomplete,
    /// The body was received completely, but there was no memory to keep it.
    OutOfMemory,
}

/// Reads the bodies of requests into the memory for buffers.
pub struct BodyReader<'a> {
    /// The clock of the time limits.
    pub runtime: &'a Runtime,
    /// Memory for the body if the request has no connection of its own.
    pub memory: &'a Arc<BufferMemory>,
    /// Largest body that is accepted, in bytes.
    pub max_bytes: usize,
}

impl BodyReader<'_> {
    /// Reads a complete body. One for which there is not enough memory is read to its end and
    /// discarded, so that it can be answered. A body may take `BODY_TIMEOUT`, and longer the more of it
    /// has arrived. The connection is the one that the server has added to the request.
    pub async fn read(
        &self,
        body: Incoming,
        extensions: &Extensions,
    ) -> Result<Bytes, BodyReadError> {
        let caller = extensions.get::<Arc<CallerConnection>>();
        let read = self.read_from(body, caller.map(|caller| &**caller)).await;
        if let Some(caller) = caller {
            caller.begin_working();
        }
        read
    }

    async fn read_from(
        &self,
        mut body: Incoming,
        caller: Option<&CallerConnection>,
    ) -> Result<Bytes, BodyReadError> {
        let size = body.size_hint();
        if size.lower() > self.max_bytes as u64 {
            return Err(BodyReadError::TooLarge);
        }
        let expected_bytes = size.exact().map_or(self.max_bytes, |bytes| bytes as usize);
        let mut buffer = BodyBuffer::new(self.memory, caller, expected_bytes);
        let started = self.runtime.now();
        while let Some(frame) = self.next_frame(&mut body, started, buffer.received).await? {
            if let Ok(chunk) = frame.into_data() {
                buffer.append(&chunk).await;
            }
            if buffer.received > self.max_bytes {
                return Err(BodyReadError::TooLarge);
            }
        }
        buffer.freeze()
    }

    /// The next part of a body that began to be read at `started`; none at its end.
    async fn next_frame(
        &self,
        body: &mut Incoming,
        started: u64,
        received: usize,
    ) -> Result<Option<Frame<Bytes>>, BodyReadError> {
        let extension = received as u64 * SEC / BODY_BYTES_PER_SECOND_MIN;
        let deadline = started + BODY_TIMEOUT + extension;
        let left = deadline.saturating_sub(self.runtime.now());
        let frame = self.runtime.timeout(left, body.frame()).await;
        let frame = frame.ok_or(BodyReadError::Incomplete)?;
        frame.transpose().map_err(|_| BodyReadError::Incomplete)
    }
}

/// The part of a body that has been received.
struct BodyBuffer<'a> {
    caller: Option<&'a CallerConnection>,
    /// `None` once there was no memory for it.
    content: Option<ReservedBuffer>,
    expected_bytes: usize,
    received: usize,
}

impl<'a> BodyBuffer<'a> {
    fn new(
        memory: &Arc<BufferMemory>,
        caller: Option<&'a CallerConnection>,
        expected_bytes: usize,
    ) -> BodyBuffer<'a> {
        let reservation = match caller {
            Some(caller) => caller.reservation(),
            None => Reservation::new(memory),
        };
        BodyBuffer {
            caller,
            content: Some(ReservedBuffer::with_reservation(reservation)),
            expected_bytes,
            received: 0,
        }
    }

    /// Appends a chunk, or discards the content if there is no memory for it.
    async fn append(&mut self, chunk: &[u8]) {
        self.received += chunk.len();
        let Some(content) = &mut self.content else {
            return;
        };
        let growth = content.growth_for(chunk.len(), Some(self.expected_bytes));
        let has_memory = growth == 0
            || match self.caller {
                Some(caller) => caller.grow(content.reservation_mut(), growth).await,
                None => content.reservation_mut().try_grow(growth),
            };
        if !has_memory {
            self.content = None;
            return;
        }
        content.extend_reserved(chunk, growth);
        if let Some(caller) = self.caller.filter(|_| self.is_large()) {
            caller.widen_receive_window();
        }
    }

    fn is_large(&self) -> bool {
        CallerConnection::is_large(self.received)
    }

    fn freeze(self) -> Result<Bytes, BodyReadError> {
        let content = self.content.ok_or(BodyReadError::OutOfMemory)?;
        Ok(content.freeze())
    }
}
