//! Forwards an answer to its client as it arrives, until it ends or fails.

use super::Relay;
use super::attempt::{Answer, AnswerBody};
use super::headers::strip_hop_by_hop;
use super::resume::{ResumeCandidate, ResumeError, ResumedStream, Resumption};
use super::stall::StallTimer;
use super::turn::OpenedTurn;
use super::upstream_body::{UpstreamBody, UpstreamFailure, UpstreamPart};
use crate::scan::EventScanner;
use bytes::Bytes;
use http::{Response, Version, header};
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use snafu::Snafu;
use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use yewcross_common::buffer_memory::Reservation;
use yewcross_common::runtime::*;
use yewcross_common::streaming_http::{Body, full, full_in_parts};
use yewcross_common::turn_log::{OpenTurnError, Turn};

impl Relay {
    /// Forwards an answer. The end of a turn's answer is sent only once the turn is stored.
    pub(super) fn forward(
        self: &Arc<Self>,
        mut answer: Answer,
        opened_turn: Option<OpenedTurn>,
        turn_to_store: Option<Turn>,
        deadline: u64,
        is_streamed: bool,
        resumption: Option<Resumption>,
    ) -> Response<Body> {
        self.counts.passed.fetch_add(1, SeqCst);
        let stall_limit_us = resumption
            .as_ref()
            .and_then(|resumption| resumption.stall_limit_us(self, &answer));
        let head = &mut answer.head;
        strip_hop_by_hop(&mut head.headers);
        // The HTTP version applies to a single connection: with an older one a truncated body would
        // look complete.
        head.version = Version::HTTP_11;
        if turn_to_store.is_some() {
            // A client that knows the length takes the last byte for the end of the answer. The end
            // must not be visible before the turn is stored.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let head = head.clone();
        if let AnswerBody::Buffered(body) = answer.body {
            return Response::from_parts(head, full_in_parts(body));
        }
        let scan = is_streamed.then(|| EventScanner::new(turn_to_store.is_some()));
        let Some(upstream) = UpstreamBody::new(self, answer, scan, resumption.is_some()) else {
            return Response::from_parts(head, full(Bytes::new()));
        };
        let body = ForwardedBody {
            relay: self.clone(),
            size_hint: upstream.size_hint(),
            upstream: Box::new(upstream),
            opened_turn,
            turn_to_store,
            output_memory: Reservation::new(&self.buffer_memory),
            deadline,
            resumption,
            candidates: vec![],
            stall_timer: stall_limit_us.map(|limit_us| StallTimer::new(&self.runtime, limit_us)),
            phase: Phase::Forwarding,
            deadline_timer: Mutex::new(
                self.runtime
                    .sleep(deadline.saturating_sub(self.runtime.now())),
            ),
        };
        Response::from_parts(head, body.boxed())
    }
}

/// Why forwarding of an answer failed before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
enum ForwardError {
    #[snafu(display("the request's deadline has passed"))]
    DeadlineExceeded,
    #[snafu(display("the turn could not be stored in the turn log"))]
    TurnNotStored,
    #[snafu(display("the server's response ended early"))]
    ServerFailed,
    #[snafu(display(
        "the server's response ended early, and no other server could resume the stream"
    ))]
    NotResumed,
    #[snafu(display("the event ids of the server's stream do not increase"))]
    EventIdsNotIncreasing,
    #[snafu(display("the server's response ended inside an event"))]
    IncompleteEvent,
    #[snafu(display("there is no memory to keep the output of the turn"))]
    OutOfMemory,
}

type StoreTurnFuture = BoxFuture<'static, Result<(), OpenTurnError>>;

/// Progress of an answer that is forwarded.
enum Phase {
    Forwarding,
    /// The complete answer was forwarded, and its turn is being stored.
    StoringTurn(Mutex<StoreTurnFuture>),
    Done,
}

/// The body of an answer that is forwarded. It ends normally only if the server's response ended
/// completely and the turn was stored; else it fails with an error, which aborts the client's
/// connection.
struct ForwardedBody {
    relay: Arc<Relay>,
    size_hint: SizeHint,
    upstream: Box<UpstreamBody>,
    opened_turn: Option<OpenedTurn>,
    turn_to_store: Option<Turn>,
    /// Memory of the output that is collected for the turn.
    output_memory: Reservation,
    /// When the request expires, in us of the runtime's clock.
    deadline: u64,
    resumption: Option<Resumption>,
    /// Servers that may continue the stream in place of one that is stalled or has failed.
    candidates: Vec<ResumeCandidate>,
    stall_timer: Option<StallTimer>,
    phase: Phase,
    deadline_timer: Mutex<BoxFuture<'static, ()>>,
}

impl ForwardedBody {
    /// Ends the answer with an error, which closes the connections to the servers.
    fn abort(&mut self, error: ForwardError) -> io::Error {
        self.relay.counts.broken.fetch_add(1, SeqCst);
        self.candidates.clear();
        self.upstream.close();
        self.phase = Phase::Done;
        io::Error::new(io::ErrorKind::UnexpectedEof, error)
    }

    /// Starts to resume the stream on another server, where that is allowed. The current server
    /// continues to be read.
    fn start_resume(&mut self) -> bool {
        let candidate = match (&self.resumption, self.upstream.scan()) {
            (Some(resumption), Some(scanned)) => resumption.start_attempt(&self.relay, scanned),
            _ => None,
        };
        let is_started = candidate.is_some();
        self.candidates.extend(candidate);
        is_started
    }

    /// The next bytes of the current server, or none at its end. Pending while it sends nothing,
    /// and after it has failed while other servers may continue the stream.
    fn poll_upstream(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, ForwardError>> {
        match ready!(self.upstream.poll_part(cx)) {
            UpstreamPart::Data(bytes) => {
                if !self.candidates.is_empty() {
                    self.relay.counts.recovered.fetch_add(1, SeqCst);
                    self.candidates.clear();
                }
                Poll::Ready(Ok(Some(bytes)))
            }
            UpstreamPart::End => Poll::Ready(Ok(None)),
            UpstreamPart::Failed(UpstreamFailure::EventIdsNotIncreasing) => {
                Poll::Ready(Err(ForwardError::EventIdsNotIncreasing))
            }
            UpstreamPart::Failed(UpstreamFailure::ReadFailed | UpstreamFailure::EventTooLarge) => {
                self.upstream.fail();
                self.restart_stall_timer();
                if !self.candidates.is_empty() || self.start_resume() {
                    Poll::Pending
                } else {
                    Poll::Ready(Err(ForwardError::ServerFailed))
                }
            }
        }
    }

    /// Tries a further server each time that neither the current server nor a candidate has sent
    /// anything for the stall limit.
    fn handle_stalls(&mut self, cx: &mut Context<'_>) {
        while self.poll_stalled(cx).is_ready() {
            self.relay.counts.stalled.fetch_add(1, SeqCst);
            self.start_resume();
        }
    }

    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.stall_timer {
            Some(stall_timer) => {
                stall_timer.poll_stalled(&self.relay.runtime, self.upstream.last_byte_at(), cx)
            }
            None => Poll::Pending,
        }
    }

    fn restart_stall_timer(&mut self) {
        if let Some(stall_timer) = &mut self.stall_timer {
            stall_timer.restart(&self.relay.runtime);
        }
    }

    /// The first bytes of a candidate that continues the stream.
    fn poll_candidates(&mut self, cx: &mut Context<'_>) -> Poll<Result<Bytes, ForwardError>> {
        let mut index = 0;
        while index < self.candidates.len() {
            match self.candidates[index].poll_resumed(cx) {
                Poll::Pending => index += 1,
                Poll::Ready(Ok(resumed)) => return Poll::Ready(Ok(self.switch_to(resumed))),
                Poll::Ready(Err(error)) => {
                    drop(self.candidates.remove(index));
                    self.handle_candidate_failure(error)?;
                }
            }
        }
        Poll::Pending
    }

    /// Handles the failure of a candidate: an error once no server is left that may continue the
    /// stream.
    fn handle_candidate_failure(&mut self, error: ResumeError) -> Result<(), ForwardError> {
        self.restart_stall_timer();
        if self.upstream.is_connected() || !self.candidates.is_empty() {
            return Ok(());
        }
        // A further server is tried only if this one received the request. Otherwise none is
        // available.
        match error {
            ResumeError::Failed if self.start_resume() => Ok(()),
            _ => Err(ForwardError::NotResumed),
        }
    }

    /// Makes a resumed stream the current one, and returns its first bytes.
    fn switch_to(&mut self, resumed: ResumedStream) -> Bytes {
        self.upstream.fail();
        self.upstream = resumed.upstream;
        self.candidates.clear();
        self.restart_stall_timer();
        resumed.first_bytes
    }

    /// Handles the end of the server's response: releases the server and its connection, and starts
    /// to store the turn.
    fn finish(&mut self) -> Result<(), ForwardError> {
        self.candidates.clear();
        self.upstream.finish();
        self.phase = Phase::Done;
        if !self.upstream.ends_at_event_boundary() {
            return Err(ForwardError::IncompleteEvent);
        }
        let events = self.upstream.events();
        if let (Some(opened), Some(mut turn), Some(scan)) = (
            &self.opened_turn,
            self.turn_to_store.take(),
            self.upstream.scan_mut(),
        ) {
            let used_tokens = events * opened.tokens_per_event;
            turn.output = scan.take_data().into();
            turn.tokens += used_tokens;
            let (turn_log, open_turn, deadline) = (
                opened.turn_log.clone(),
                opened.open_turn.clone(),
                self.deadline,
            );
            self.phase = Phase::StoringTurn(Mutex::new(Box::pin(async move {
                turn_log
                    .finish(open_turn, turn, used_tokens, deadline)
                    .await
            })));
        }
        Ok(())
    }

    /// Reserves memory for the output that was collected, whose buffer doubles when it is full.
    fn reserve_output(&mut self) -> Result<(), ForwardError> {
        let collected = self.upstream.scan().map_or(0, EventScanner::data_bytes);
        let is_reserved =
            collected <= self.output_memory.bytes() || self.output_memory.try_grow(collected);
        if is_reserved {
            Ok(())
        } else {
            Err(ForwardError::OutOfMemory)
        }
    }

    /// The next bytes to forward, of the current server or of a candidate; none at the end of the
    /// stream.
    fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, ForwardError>> {
        loop {
            if let Poll::Ready(next) = self.poll_upstream(cx) {
                return Poll::Ready(next);
            }
            self.handle_stalls(cx);
            let bytes = ready!(self.poll_candidates(cx))?;
            if !bytes.is_empty() {
                return Poll::Ready(Ok(Some(bytes)));
            }
        }
    }

    /// The next bytes to forward; none once the answer is complete and its turn is stored.
    fn poll_forward(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, ForwardError>> {
        loop {
            match &mut self.phase {
                Phase::Done => return Poll::Ready(Ok(None)),
                Phase::StoringTurn(storing) => {
                    let stored = ready!(storing.get_mut().unwrap().as_mut().poll(cx));
                    self.phase = Phase::Done;
                    if stored.is_err() {
                        self.relay.counts.unkept.fetch_add(1, SeqCst);
                        return Poll::Ready(Err(ForwardError::TurnNotStored));
                    }
                    self.opened_turn
                        .iter_mut()
                        .for_each(|turn| turn.is_settled = true);
                }
                Phase::Forwarding => {
                    let bytes = ready!(self.poll_bytes(cx))?;
                    self.reserve_output()?;
                    let events = self.upstream.events();
                    self.opened_turn
                        .iter_mut()
                        .for_each(|turn| turn.forwarded_events = events);
                    match bytes {
                        Some(bytes) => return Poll::Ready(Ok(Some(bytes))),
                        None => self.finish()?,
                    }
                }
            }
        }
    }
}

impl hyper::body::Body for ForwardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let deadline_timer = self.deadline_timer.get_mut().unwrap();
        let is_past_deadline = deadline_timer.as_mut().poll(cx).is_ready();
        let bytes = if is_past_deadline && !matches!(self.phase, Phase::Done) {
            Err(ForwardError::DeadlineExceeded)
        } else {
            ready!(self.poll_forward(cx))
        };
        Poll::Ready(match bytes {
            Ok(bytes) => bytes.map(|bytes| Ok(Frame::data(bytes))),
            Err(error) => Some(Err(self.abort(error))),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.upstream.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.size_hint
    }
}
