//! Taking up a broken or stalled stream at another server, within the answer that its client
//! already has.
//!
//! A stalled server is not given up before another one stands in for it: both are read, and
//! whichever sends the next event goes on with the stream.

use super::attempt::{Answer, AnswerBody, Outcome};
use super::dispatch::Dispatched;
use super::retry_budget::RetryPermit;
use super::upstream_body::{UpstreamBody, UpstreamPart};
use super::{ClientRequest, Relay};
use crate::policy::Mechanism;
use crate::scan::EventScanner;
use bytes::{Bytes, BytesMut};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use yewcross_common::configuration::route::{Mode, Route};
use yewcross_common::runtime::*;

/// What is needed to take a stream up again.
pub(super) struct Resumption {
    request: Arc<ClientRequest>,
    route: Route,
    attempts: Arc<Mutex<Attempts>>,
    /// Weights that the first server answered with: a stream stays with them.
    weights: String,
}

/// Servers that were asked for the stream so far.
struct Attempts {
    tried: Vec<String>,
    /// count. Those that a byte was sent to.
    sent: u32,
}

impl Attempts {
    fn begin(&mut self, server: &str) {
        self.tried.push(server.into());
        self.sent += 1;
    }

    /// Nothing was sent after all: the server could not be reached.
    fn not_sent(&mut self) {
        self.sent -= 1;
    }

    /// Nothing was sent after all, since the choice no longer held: the server may be chosen again.
    fn withdraw(&mut self, server: &str) {
        self.not_sent();
        self.tried.retain(|tried| tried != server);
    }
}

/// Why a server does not go on with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakeUpError {
    /// No server was asked: no place was free at any that could be reached.
    NotSent,
    /// A server was asked, and turned it away or failed.
    Failed,
}

impl Resumption {
    /// None where the route's streams may not be resumed.
    pub(super) fn of(
        relay: &Relay,
        request: &Arc<ClientRequest>,
        dispatched: &Dispatched,
    ) -> Option<Resumption> {
        let may = dispatched.route.mode == Mode::Stream && dispatched.route.resumable;
        let attempts = || Attempts {
            tried: dispatched.tried.clone(),
            sent: dispatched.sent,
        };
        (may && relay.balance.policies.has(Mechanism::Resumption)).then(|| Resumption {
            request: request.clone(),
            route: dispatched.route.clone(),
            attempts: Arc::new(Mutex::new(attempts())),
            weights: dispatched.answer.meta.weights.clone(),
        })
    }

    /// us of silence after which the stream is stalled; none where that is not looked for.
    pub(super) fn stalled_after(&self, relay: &Relay, answer: &Answer) -> Option<u64> {
        let may = self.route.gap_ms > 0 && relay.balance.policies.has(Mechanism::StallDetection);
        may.then(|| answer.claim.stall_timeout_us(self.route.gap_ms))
    }

    /// Begins to take the stream up behind the last whole event that was read; none where no
    /// further attempt may be made.
    pub(super) fn begin(&self, relay: &Arc<Relay>, read: &EventScanner) -> Option<Successor> {
        let last_id = read.last_id()?;
        if self.attempts.lock().unwrap().sent >= self.route.max_tries
            || relay.runtime.now() >= self.request.until
        {
            return None;
        }
        let permit = relay.retry_budget.reserve()?;
        let mut request = ClientRequest::clone(&self.request);
        relay
            .upstream_protocol
            .resume_after(&mut request.head.headers, last_id);
        let attempt = TakeUpAttempt {
            relay: relay.clone(),
            request,
            route: self.route.clone(),
            attempts: self.attempts.clone(),
            weights: self.weights.clone(),
        };
        Some(Successor::new(relay, attempt, permit, read))
    }
}

/// One request for the rest of a stream.
struct TakeUpAttempt {
    relay: Arc<Relay>,
    request: ClientRequest,
    route: Route,
    attempts: Arc<Mutex<Attempts>>,
    weights: String,
}

impl TakeUpAttempt {
    /// Dropped once another server goes on. An attempt for which nothing was sent leaves the retry
    /// budget and the route's attempts as they were.
    async fn run(self, mut permit: RetryPermit) -> Result<Answer, TakeUpError> {
        let relay = &self.relay;
        loop {
            let tried = self.attempts.lock().unwrap().tried.clone();
            let (route, claim) = relay
                .seat(&self.request, &self.route, None, &tried)
                .await
                .map_err(|_| TakeUpError::NotSent)?;
            let server = claim.target.server.clone();
            self.attempts.lock().unwrap().begin(&server);
            relay.counts.resumed.fetch_add(1, SeqCst);
            permit.spend();
            match relay.attempt(&self.request, claim, &route).await {
                Outcome::Answer(answer) if self.goes_on(&answer) => return Ok(*answer),
                Outcome::Unsent => self.attempts.lock().unwrap().not_sent(),
                Outcome::Withdrawn => self.attempts.lock().unwrap().withdraw(&server),
                Outcome::Answer(_) | Outcome::NotRun | Outcome::Lost => {
                    return Err(TakeUpError::Failed);
                }
            }
            permit.give_back();
        }
    }

    fn goes_on(&self, answer: &Answer) -> bool {
        answer.head.status.is_success()
            && answer.meta.weights == self.weights
            && matches!(answer.body, AnswerBody::Coming(..))
    }
}

/// A server that may go on with a stream; it does once its first event, or the end, is here.
pub(super) struct Successor {
    relay: Arc<Relay>,
    /// None once it was answered.
    asking: Option<Mutex<BoxFuture<'static, Result<Answer, TakeUpError>>>>,
    reading: Option<Box<UpstreamBody>>,
    /// What was read of the stream before; the body goes on with it.
    scan: Option<EventScanner>,
    events_before: u64,
    /// Bytes that came before its first event was whole.
    ready: BytesMut,
}

/// The rest of a stream at its new server.
pub(super) struct TakenUp {
    pub(super) upstream: Box<UpstreamBody>,
    /// What of it may be passed on already; empty where the stream ends here.
    pub(super) ready: Bytes,
}

impl Successor {
    fn new(
        relay: &Arc<Relay>,
        attempt: TakeUpAttempt,
        permit: RetryPermit,
        read: &EventScanner,
    ) -> Self {
        Successor {
            relay: relay.clone(),
            asking: Some(Mutex::new(Box::pin(attempt.run(permit)))),
            reading: None,
            scan: Some(read.truncated_to_last_event()),
            events_before: read.complete_events(),
            ready: BytesMut::new(),
        }
    }

    /// Ready once it goes on with the stream, or does not.
    pub(super) fn poll_taken_up(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<TakenUp, TakeUpError>> {
        if let Some(asking) = &mut self.asking {
            let answer = std::task::ready!(asking.get_mut().unwrap().as_mut().poll(cx));
            self.asking = None;
            match answer {
                Ok(answer) => self.reading = self.read(answer),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        let is_going_on = std::task::ready!(self.poll_first_event(cx));
        match self.reading.take().filter(|_| is_going_on) {
            Some(upstream) => Poll::Ready(Ok(TakenUp {
                upstream,
                ready: std::mem::take(&mut self.ready).freeze(),
            })),
            None => Poll::Ready(Err(TakeUpError::Failed)),
        }
    }

    fn read(&mut self, answer: Answer) -> Option<Box<UpstreamBody>> {
        let scan = self.scan.take();
        UpstreamBody::new(&self.relay, answer, scan, true).map(Box::new)
    }

    /// Whether an event, or the end of the stream, came.
    fn poll_first_event(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        let Some(body) = &mut self.reading else {
            return Poll::Ready(false);
        };
        loop {
            match std::task::ready!(body.poll_part(cx)) {
                UpstreamPart::Data(bytes) => {
                    self.ready.extend_from_slice(&bytes);
                    if body.whole_events() > self.events_before {
                        return Poll::Ready(true);
                    }
                }
                UpstreamPart::End if body.ends_whole() => return Poll::Ready(true),
                UpstreamPart::End | UpstreamPart::Failed(_) => {
                    body.fail();
                    return Poll::Ready(false);
                }
            }
        }
    }
}
