//! The body of one server's answer, as far as it may be passed on.

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

/// What comes next of a server's answer.
pub(super) enum UpstreamPart {
    /// Bytes that may be passed on.
    Data(Bytes),
    /// The answer came to its end, which may lie inside an event.
    End,
    /// No more comes from this server, and what came is not the whole answer.
    Failed(UpstreamFailure),
}

/// Why a server's answer does not come to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpstreamFailure {
    BrokeOff,
    /// The ids of its events do not rise.
    WentBack,
}

/// What an answer takes at its server until it is over.
struct Connected {
    body: Incoming,
    link: UpstreamConnection,
    claim: Claim,
}

/// One server's answer on its way.
pub(super) struct UpstreamBody {
    relay: Arc<Relay>,
    /// None once the answer is over or the server failed.
    connected: Option<Connected>,
    meta: ResponseMeta,
    /// Reads the events of a stream, those of servers before this one included.
    scan: Option<EventScanner>,
    /// Of a stream that may be resumed only whole events are passed on.
    whole_events_only: bool,
    /// Bytes of an event that is not whole yet.
    held: BytesMut,
    /// us of the world's clock when a byte last came.
    heard_at: u64,
    /// The server has sent all of it.
    is_read: bool,
}

impl UpstreamBody {
    /// None where the answer was already read whole.
    pub(super) fn new(
        relay: &Arc<Relay>,
        answer: Answer,
        scan: Option<EventScanner>,
        whole_events_only: bool,
    ) -> Option<UpstreamBody> {
        let AnswerBody::Coming(body, link) = answer.body else {
            return None;
        };
        let claim = answer.claim;
        Some(UpstreamBody {
            relay: relay.clone(),
            connected: Some(Connected { body, link, claim }),
            meta: answer.meta,
            scan,
            whole_events_only,
            held: BytesMut::new(),
            heard_at: relay.runtime.now(),
            is_read: false,
        })
    }

    pub(super) fn is_connected(&self) -> bool {
        self.connected.is_some()
    }

    pub(super) fn heard_at(&self) -> u64 {
        self.heard_at
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

    pub(super) fn whole_events(&self) -> u64 {
        self.scan.as_ref().map_or(0, |scan| scan.complete_events())
    }

    /// No event is left half told.
    pub(super) fn ends_whole(&self) -> bool {
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

    /// The next part that may be passed on; pending for ever once the server has failed.
    pub(super) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<UpstreamPart> {
        loop {
            if self.is_read {
                return Poll::Ready(UpstreamPart::End);
            }
            let Some(connected) = &mut self.connected else {
                return Poll::Pending;
            };
            let frame = std::task::ready!(Pin::new(&mut connected.body).poll_frame(cx));
            match frame {
                Some(Ok(frame)) => {
                    let Ok(piece) = frame.into_data() else {
                        continue;
                    };
                    self.heard_at = self.relay.runtime.now();
                    let ready = self.ready_part(piece);
                    if self.whole_events_only
                        && self.scan().is_some_and(|scan| !scan.ids_increase())
                    {
                        return Poll::Ready(UpstreamPart::Failed(UpstreamFailure::WentBack));
                    }
                    if !ready.is_empty() {
                        return Poll::Ready(UpstreamPart::Data(ready));
                    }
                }
                Some(Err(_)) => {
                    return Poll::Ready(UpstreamPart::Failed(UpstreamFailure::BrokeOff));
                }
                None if !self.held.is_empty() && self.ends_whole() => {
                    let rest = std::mem::take(&mut self.held).freeze();
                    return Poll::Ready(UpstreamPart::Data(rest));
                }
                None => {
                    self.is_read = true;
                    return Poll::Ready(UpstreamPart::End);
                }
            }
        }
    }

    /// What may be passed on of a piece.
    fn ready_part(&mut self, piece: Bytes) -> Bytes {
        let Some(scan) = &mut self.scan else {
            return piece;
        };
        scan.push(&piece);
        if !self.whole_events_only {
            return piece;
        }
        let whole = scan.complete_bytes();
        if whole == 0 {
            self.held.extend_from_slice(&piece);
            return Bytes::new();
        }
        let mut ready = std::mem::take(&mut self.held);
        self.held.extend_from_slice(&piece[whole..]);
        if ready.is_empty() {
            return piece.slice(..whole);
        }
        ready.extend_from_slice(&piece[..whole]);
        ready.freeze()
    }

    /// The answer is over: the server's place and connection are free.
    pub(super) fn finish(&mut self) {
        let events = self.events();
        if let Some(Connected { link, claim, .. }) = self.connected.take() {
            claim.record_stream_end(events);
            self.relay.give_back(&claim.target.server, link, &self.meta);
        }
    }

    /// Nothing more of it is wanted: the connection is closed, so that the server hears of it.
    pub(super) fn close(&mut self) {
        self.connected = None;
    }

    /// The server did not do what it was asked: its connection is closed, and it is passed by for a
    /// while.
    pub(super) fn fail(&mut self) {
        if let Some(connected) = self.connected.take() {
            connected.claim.record_failure();
        }
    }
}
