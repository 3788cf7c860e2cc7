//! The body of one server's response, as far as it may be forwarded.

use super::Relay;
use super::attempt::{Answer, AnswerBody};
use crate::balance::Claim;
use crate::pool::UpstreamConnection;
use crate::scan::EventScanner;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body as _, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use yewcross_common::adapter::ResponseMeta;
use yewcross_common::constants::MAX_EVENT_BYTES;

/// The next part of a server's response.
pub(super) enum UpstreamPart {
    /// Bytes that may be forwarded.
    Data(Bytes),
    /// The response has ended, possibly inside an event.
    End,
    /// The response of this server ended before it was complete.
    Failed(UpstreamFailure),
}

/// Why a server's response is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpstreamFailure {
    /// Reading the body failed, as when the connection breaks.
    ReadFailed,
    /// The ids of its events do not increase.
    EventIdsNotIncreasing,
    /// One of its events exceeds [`MAX_EVENT_BYTES`].
    EventTooLarge,
}

/// What a response occupies until it is complete: its connection, and its claim on the server.
struct Connected {
    body: Incoming,
    link: UpstreamConnection,
    claim: Claim,
}

/// A response of a server that is being read.
pub(super) struct UpstreamBody {
    relay: Arc<Relay>,
    /// None once the response is complete or the server has failed.
    connected: Option<Connected>,
    meta: ResponseMeta,
    /// Parses the events of the stream, including those of earlier servers.
    scan: Option<EventScanner>,
    /// Whether only complete events are forwarded, as for a resumable stream.
    complete_events_only: bool,
    /// Bytes after the last complete event, which are not forwarded yet.
    unforwarded: BytesMut,
    /// When the last byte arrived, in us of the runtime's clock.
    last_byte_at: u64,
    /// Whether the response was read to its end.
    is_read_to_end: bool,
}

impl UpstreamBody {
    /// None where the answer was already read completely.
    pub(super) fn new(
        relay: &Arc<Relay>,
        answer: Answer,
        scan: Option<EventScanner>,
        complete_events_only: bool,
    ) -> Option<UpstreamBody> {
        let AnswerBody::Streaming(body, link) = answer.body else {
            return None;
        };
        let claim = answer.claim;
        Some(UpstreamBody {
            relay: relay.clone(),
            connected: Some(Connected { body, link, claim }),
            meta: answer.meta,
            scan,
            complete_events_only,
            unforwarded: BytesMut::new(),
            last_byte_at: relay.runtime.now(),
            is_read_to_end: false,
        })
    }

    pub(super) fn is_connected(&self) -> bool {
        self.connected.is_some()
    }

    pub(super) fn last_byte_at(&self) -> u64 {
        self.last_byte_at
    }

    pub(super) fn scan(&self) -> Option<&EventScanner> {
        self.scan.as_ref()
    }

    pub(super) fn scan_mut(&mut self) -> Option<&mut EventScanner> {
        self.scan.as_mut()
    }

    pub(super) fn events(&self) -> u64 {
        self.scan.as_ref().map_or(0, |scan| scan.events())
    }

    pub(super) fn complete_events(&self) -> u64 {
        self.scan.as_ref().map_or(0, |scan| scan.complete_events())
    }

    /// Whether no event is incomplete; always true of a body that is no stream.
    pub(super) fn ends_at_event_boundary(&self) -> bool {
        self.scan.as_ref().is_none_or(|scan| scan.is_complete())
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        match (&self.connected, &self.scan) {
            (Some(connected), None) => connected.body.size_hint(),
            _ => SizeHint::default(),
        }
    }

    pub(super) fn is_end_stream(&self) -> bool {
        let at_end = |connected: &Connected| connected.body.is_end_stream();
        self.scan.is_none() && self.connected.as_ref().is_some_and(at_end)
    }

    /// The next part that may be forwarded. Pending forever once the server has failed.
    pub(super) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<UpstreamPart> {
        loop {
            if self.is_read_to_end {
                return Poll::Ready(UpstreamPart::End);
            }
            let Some(connected) = &mut self.connected else {
                return Poll::Pending;
            };
            let frame = std::task::ready!(Pin::new(&mut connected.body).poll_frame(cx));
            match frame {
                Some(Ok(frame)) => {
                    let Ok(chunk) = frame.into_data() else {
                        continue;
                    };
                    self.last_byte_at = self.relay.runtime.now();
                    let forwardable = self.forwardable_bytes(chunk);
                    if self.has_too_large_event() {
                        return Poll::Ready(UpstreamPart::Failed(UpstreamFailure::EventTooLarge));
                    }
                    if self.complete_events_only
                        && self.scan().is_some_and(|scan| !scan.ids_increase())
                    {
                        return Poll::Ready(UpstreamPart::Failed(
                            UpstreamFailure::EventIdsNotIncreasing,
                        ));
                    }
                    if !forwardable.is_empty() {
                        return Poll::Ready(UpstreamPart::Data(forwardable));
                    }
                }
                Some(Err(_)) => {
                    return Poll::Ready(UpstreamPart::Failed(UpstreamFailure::ReadFailed));
                }
                None if !self.unforwarded.is_empty() && self.ends_at_event_boundary() => {
                    let remainder = std::mem::take(&mut self.unforwarded).freeze();
                    return Poll::Ready(UpstreamPart::Data(remainder));
                }
                None => {
                    self.is_read_to_end = true;
                    return Poll::Ready(UpstreamPart::End);
                }
            }
        }
    }

    /// Whether the event being received is too large to be kept until its end.
    fn has_too_large_event(&self) -> bool {
        let is_too_large = |scan: &EventScanner| scan.open_bytes() > MAX_EVENT_BYTES;
        self.scan.as_ref().is_some_and(is_too_large)
    }

    /// The bytes that may be forwarded after a chunk has arrived.
    fn forwardable_bytes(&mut self, chunk: Bytes) -> Bytes {
        let Some(scan) = &mut self.scan else {
            return chunk;
        };
        scan.push(&chunk);
        if !self.complete_events_only {
            return chunk;
        }
        let complete_bytes = scan.complete_bytes();
        if complete_bytes == 0 {
            self.unforwarded.extend_from_slice(&chunk);
            return Bytes::new();
        }
        let mut forwardable = std::mem::take(&mut self.unforwarded);
        self.unforwarded.extend_from_slice(&chunk[complete_bytes..]);
        if forwardable.is_empty() {
            return chunk.slice(..complete_bytes);
        }
        forwardable.extend_from_slice(&chunk[..complete_bytes]);
        forwardable.freeze()
    }

    /// Records the completed response, releases the claim on the server and returns the connection.
    pub(super) fn finish(&mut self) {
        let events = self.events();
        if let Some(Connected { link, claim, .. }) = self.connected.take() {
            claim.record_stream_end(events);
            self.relay
                .return_connection(&claim.target.server, link, &self.meta);
        }
    }

    /// Closes the connection, so that the server notices that the rest is not wanted.
    pub(super) fn close(&mut self) {
        self.connected = None;
    }

    /// Closes the connection and records a failure, so that the server is not selected for a while.
    pub(super) fn fail(&mut self) {
        if let Some(connected) = self.connected.take() {
            connected.claim.record_failure();
        }
    }
}
