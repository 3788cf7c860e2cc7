//! Forwarding of an answer to its client, as it comes, to its end or its breaking off.

use super::Relay;
use super::attempt::{Answer, AnswerBody};
use super::headers::strip_hop_by_hop;
use super::resume::{Resumption, Successor, TakeUpError, TakenUp};
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
use yewcross_common::runtime::*;
use yewcross_common::streaming_http::{Body, full};
use yewcross_common::turn_log::{OpenTurnError, Turn};

impl Relay {
    /// Passes an answer on. Its end is sent only once the turn is kept.
    pub(super) fn forward(
        self: &Arc<Self>,
        mut answer: Answer,
        turn: Option<OpenedTurn>,
        keep: Option<Turn>,
        until: u64,
        is_streamed: bool,
        resumption: Option<Resumption>,
    ) -> Response<Body> {
        self.counts.passed.fetch_add(1, SeqCst);
        let stalled_after = resumption
            .as_ref()
            .and_then(|resumption| resumption.stalled_after(self, &answer));
        let head = &mut answer.head;
        strip_hop_by_hop(&mut head.headers);
        // The version is a connection's own: under an older one a body that breaks off would look
        // complete.
        head.version = Version::HTTP_11;
        if keep.is_some() {
            // Whoever is told a length takes the last byte for the end, and the end waits until the
            // turn is kept.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let head = head.clone();
        if let AnswerBody::Whole(body) = answer.body {
            return Response::from_parts(head, full(body));
        }
        let scan = is_streamed.then(|| EventScanner::new(keep.is_some()));
        let Some(upstream) = UpstreamBody::new(self, answer, scan, resumption.is_some()) else {
            return Response::from_parts(head, full(Bytes::new()));
        };
        let body = ForwardedBody {
            relay: self.clone(),
            size_hint: upstream.size_hint(),
            upstream: Box::new(upstream),
            turn,
            keep,
            until,
            resumption,
            successors: vec![],
            stall: stalled_after.map(|limit| StallTimer::new(&self.runtime, limit)),
            phase: Phase::Forwarding,
            deadline: Mutex::new(self.runtime.sleep(until.saturating_sub(self.runtime.now()))),
        };
        Response::from_parts(head, body.boxed())
    }
}

/// Why an answer breaks off before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
enum BrokenOff {
    #[snafu(display("its deadline is over"))]
    Deadline,
    #[snafu(display("the turn could not be kept"))]
    TurnNotKept,
    #[snafu(display("the server broke off"))]
    Server,
    #[snafu(display("the server broke off, and no other took the stream up"))]
    NotTakenUp,
    #[snafu(display("it goes back in its events"))]
    WentBack,
    #[snafu(display("it ends inside an event"))]
    InsideEvent,
}

type Ending = BoxFuture<'static, Result<(), OpenTurnError>>;

/// How far the answer is.
enum Phase {
    Forwarding,
    /// All of it was passed on, and its turn is being kept.
    Keeping(Mutex<Ending>),
    Over,
}

/// The body of an answer on its way. It ends whole only if the server's did, and the turn is kept;
/// else it breaks off.
struct ForwardedBody {
    relay: Arc<Relay>,
    size_hint: SizeHint,
    upstream: Box<UpstreamBody>,
    turn: Option<OpenedTurn>,
    keep: Option<Turn>,
    /// us of the world's clock.
    until: u64,
    resumption: Option<Resumption>,
    /// Servers that may go on with the stream, in place of one that is silent or has failed.
    successors: Vec<Successor>,
    stall: Option<StallTimer>,
    phase: Phase,
    deadline: Mutex<BoxFuture<'static, ()>>,
}

impl ForwardedBody {
    fn broken(&mut self, why: BrokenOff) -> io::Error {
        self.relay.counts.broken.fetch_add(1, SeqCst);
        self.successors.clear();
        self.upstream.close();
        self.phase = Phase::Over;
        io::Error::new(io::ErrorKind::UnexpectedEof, why)
    }

    /// Begins to take the stream up at another server, where that may be done. The one that has it
    /// goes on being read.
    fn begin_take_up(&mut self) -> bool {
        let successor = match (&self.resumption, self.upstream.scan()) {
            (Some(resumption), Some(read)) => resumption.begin(&self.relay, read),
            _ => None,
        };
        let is_begun = successor.is_some();
        self.successors.extend(successor);
        is_begun
    }

    /// The next bytes of the server that has the stream, or None at its end. Pending while that is
    /// silent, or has failed and others may go on.
    fn poll_upstream(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BrokenOff>> {
        match ready!(self.upstream.poll_part(cx)) {
            UpstreamPart::Data(bytes) => {
                if !self.successors.is_empty() {
                    self.relay.counts.recovered.fetch_add(1, SeqCst);
                    self.successors.clear();
                }
                Poll::Ready(Ok(Some(bytes)))
            }
            UpstreamPart::End => Poll::Ready(Ok(None)),
            UpstreamPart::Failed(UpstreamFailure::WentBack) => {
                Poll::Ready(Err(BrokenOff::WentBack))
            }
            UpstreamPart::Failed(UpstreamFailure::BrokeOff) => {
                self.upstream.fail();
                self.restart_stall_timer();
                if !self.successors.is_empty() || self.begin_take_up() {
                    Poll::Pending
                } else {
                    Poll::Ready(Err(BrokenOff::Server))
                }
            }
        }
    }

    /// Asks another server once all that have the stream, or were asked for it, are silent for too
    /// long.
    fn watch_for_stall(&mut self, cx: &mut Context<'_>) {
        while self.poll_stalled(cx).is_ready() {
            self.relay.counts.stalled.fetch_add(1, SeqCst);
            self.begin_take_up();
        }
    }

    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.stall {
            Some(stall) => stall.poll_stalled(&self.relay.runtime, self.upstream.heard_at(), cx),
            None => Poll::Pending,
        }
    }

    fn restart_stall_timer(&mut self) {
        if let Some(stall) = &mut self.stall {
            stall.restart(&self.relay.runtime);
        }
    }

    /// The first bytes of a server that goes on with the stream.
    fn poll_successors(&mut self, cx: &mut Context<'_>) -> Poll<Result<Bytes, BrokenOff>> {
        let mut index = 0;
        while index < self.successors.len() {
            match self.successors[index].poll_taken_up(cx) {
                Poll::Pending => index += 1,
                Poll::Ready(Ok(taken_up)) => return Poll::Ready(Ok(self.go_on_with(taken_up))),
                Poll::Ready(Err(error)) => {
                    drop(self.successors.remove(index));
                    self.drop_out(error)?;
                }
            }
        }
        Poll::Pending
    }

    /// One server less may go on with the stream.
    fn drop_out(&mut self, error: TakeUpError) -> Result<(), BrokenOff> {
        self.restart_stall_timer();
        if self.upstream.is_connected() || !self.successors.is_empty() {
            return Ok(());
        }
        // Another one is asked only where this one was: else there is none to ask.
        match error {
            TakeUpError::Failed if self.begin_take_up() => Ok(()),
            _ => Err(BrokenOff::NotTakenUp),
        }
    }

    /// From now on this server has the stream.
    fn go_on_with(&mut self, taken_up: TakenUp) -> Bytes {
        self.upstream.fail();
        self.upstream = taken_up.upstream;
        self.successors.clear();
        self.restart_stall_timer();
        taken_up.ready
    }

    /// The server's part is over: its place and connection are free, and the turn is kept.
    fn finish(&mut self) -> Result<(), BrokenOff> {
        self.successors.clear();
        self.upstream.finish();
        self.phase = Phase::Over;
        if !self.upstream.ends_whole() {
            return Err(BrokenOff::InsideEvent);
        }
        let events = self.upstream.events();
        if let (Some(opened), Some(mut turn), Some(scan)) =
            (&self.turn, self.keep.take(), self.upstream.scan_mut())
        {
            let used_tokens = events * opened.tokens_per_event;
            turn.output = scan.take_data().into();
            turn.tokens += used_tokens;
            let (chains, open, until) = (opened.chains.clone(), opened.open.clone(), self.until);
            self.phase = Phase::Keeping(Mutex::new(Box::pin(async move {
                chains.finish(open, turn, used_tokens, until).await
            })));
        }
        Ok(())
    }

    /// The next bytes to pass on; None once all of it was.
    fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BrokenOff>> {
        loop {
            if let Poll::Ready(next) = self.poll_upstream(cx) {
                return Poll::Ready(next);
            }
            self.watch_for_stall(cx);
            let bytes = ready!(self.poll_successors(cx))?;
            if !bytes.is_empty() {
                return Poll::Ready(Ok(Some(bytes)));
            }
        }
    }

    /// Passes it on, to the end that its client sees.
    fn poll_forward(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BrokenOff>> {
        loop {
            match &mut self.phase {
                Phase::Over => return Poll::Ready(Ok(None)),
                Phase::Keeping(ending) => {
                    let kept = ready!(ending.get_mut().unwrap().as_mut().poll(cx));
                    self.phase = Phase::Over;
                    if kept.is_err() {
                        self.relay.counts.unkept.fetch_add(1, SeqCst);
                        return Poll::Ready(Err(BrokenOff::TurnNotKept));
                    }
                    self.turn.iter_mut().for_each(|turn| turn.done = true);
                }
                Phase::Forwarding => {
                    let bytes = ready!(self.poll_bytes(cx))?;
                    let events = self.upstream.events();
                    self.turn.iter_mut().for_each(|turn| turn.events = events);
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
        let deadline = self.deadline.get_mut().unwrap();
        let is_late = deadline.as_mut().poll(cx).is_ready();
        let bytes = if is_late && !matches!(self.phase, Phase::Over) {
            Err(BrokenOff::Deadline)
        } else {
            ready!(self.poll_forward(cx))
        };
        Poll::Ready(match bytes {
            Ok(bytes) => bytes.map(|bytes| Ok(Frame::data(bytes))),
            Err(why) => Some(Err(self.broken(why))),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.upstream.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.size_hint
    }
}
