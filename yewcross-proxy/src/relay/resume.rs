//! Resumption of a broken or stalled stream on another server, within the response that the client
//! is already receiving.
//!
//! A stalled server is not abandoned before another one replaces it: both are read, and the stream
//! continues with the one that sends the next event first.

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

/// What is needed to resume a stream.
pub(super) struct Resumption {
    request: Arc<ClientRequest>,
    route: Route,
    attempts: Arc<Mutex<Attempts>>,
    /// Version of the model weights that the first server used. The stream can be continued only
    /// with the same weights.
    weights: String,
}

/// Servers that the stream was requested from so far.
struct Attempts {
    tried: Vec<String>,
    /// count. Servers that bytes of the request were sent to.
    sent: u32,
}

impl Attempts {
    /// Records an attempt at a server.
    fn record_sent(&mut self, server: &str) {
        self.tried.push(server.into());
        self.sent += 1;
    }

    /// Takes back an attempt for which nothing was sent, as the server could not be reached.
    fn record_unsent(&mut self) {
        self.sent -= 1;
    }

    /// Takes back an attempt for which nothing was sent, as the selection was no longer current.
    /// The server may be selected again.
    fn record_withdrawn(&mut self, server: &str) {
        self.record_unsent();
        self.tried.retain(|tried| tried != server);
    }
}

/// Why a stream could not be resumed on another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResumeError {
    /// No request was sent: no reachable server had free capacity.
    NotSent,
    /// A request was sent, and the server rejected it or failed.
    Failed,
}

impl Resumption {
    /// None where streams of the route may not be resumed.
    pub(super) fn if_allowed(
        relay: &Relay,
        request: &Arc<ClientRequest>,
        dispatched: &Dispatched,
    ) -> Option<Resumption> {
        let is_allowed = dispatched.route.mode == Mode::Stream && dispatched.route.resumable;
        let attempts = || Attempts {
            tried: dispatched.tried.clone(),
            sent: dispatched.sent,
        };
        (is_allowed && relay.balance.policies.has(Mechanism::Resumption)).then(|| Resumption {
            request: request.clone(),
            route: dispatched.route.clone(),
            attempts: Arc::new(Mutex::new(attempts())),
            weights: dispatched.answer.meta.weights.clone(),
        })
    }

    /// us without bytes after which the stream is stalled; none where stalls are not detected.
    pub(super) fn stall_limit_us(&self, relay: &Relay, answer: &Answer) -> Option<u64> {
        let is_allowed =
            self.route.gap_ms > 0 && relay.balance.policies.has(Mechanism::StallDetection);
        is_allowed.then(|| answer.claim.stall_timeout_us(self.route.gap_ms))
    }

    /// Starts to resume the stream after the last complete event that was read. None where no event
    /// id is known, or where the route's attempts, its deadline or the retry budget allow no
    /// further attempt.
    pub(super) fn start_attempt(
        &self,
        relay: &Arc<Relay>,
        scanned: &EventScanner,
    ) -> Option<ResumeCandidate> {
        let last_id = scanned.last_id()?;
        if self.attempts.lock().unwrap().sent >= self.route.max_tries
            || relay.runtime.now() >= self.request.deadline
        {
            return None;
        }
        let permit = relay.retry_budget.reserve()?;
        let mut request = ClientRequest::clone(&self.request);
        relay
            .upstream_protocol
            .resume_after(&mut request.head.headers, last_id);
        let attempt = ResumeAttempt {
            relay: relay.clone(),
            request,
            route: self.route.clone(),
            attempts: self.attempts.clone(),
            weights: self.weights.clone(),
        };
        Some(ResumeCandidate::new(relay, attempt, permit, scanned))
    }
}

/// A request for the rest of a stream.
struct ResumeAttempt {
    relay: Arc<Relay>,
    request: ClientRequest,
    route: Route,
    attempts: Arc<Mutex<Attempts>>,
    weights: String,
}

impl ResumeAttempt {
    /// Sends the request until a server answers it. The future is dropped once another server
    /// continues the stream. An attempt for which nothing was sent does not count against the retry
    /// budget or the route's `max_tries`.
    async fn run(self, mut permit: RetryPermit) -> Result<Answer, ResumeError> {
        let relay = &self.relay;
        loop {
            let tried = self.attempts.lock().unwrap().tried.clone();
            let (route, claim) = relay
                .claim_server(&self.request, &self.route, None, &tried)
                .await
                .map_err(|_| ResumeError::NotSent)?;
            let server = claim.target.server.clone();
            self.attempts.lock().unwrap().record_sent(&server);
            relay.counts.resumed.fetch_add(1, SeqCst);
            permit.mark_spent();
            match relay.attempt(&self.request, claim, &route).await {
                Outcome::Answer(answer) if self.can_continue(&answer) => return Ok(*answer),
                Outcome::Unsent => self.attempts.lock().unwrap().record_unsent(),
                Outcome::Withdrawn => self.attempts.lock().unwrap().record_withdrawn(&server),
                Outcome::Answer(_) | Outcome::NotRun | Outcome::Lost => {
                    return Err(ResumeError::Failed);
                }
            }
            permit.mark_unspent();
        }
    }

    /// Whether the answer is a stream with the same model weights.
    fn can_continue(&self, answer: &Answer) -> bool {
        answer.head.status.is_success()
            && answer.meta.weights == self.weights
            && matches!(answer.body, AnswerBody::Streaming(..))
    }
}

/// A server that may continue a stream. It does so once its first event, or the end of the stream,
/// has arrived.
pub(super) struct ResumeCandidate {
    relay: Arc<Relay>,
    /// The attempt in progress; none once it has finished.
    attempt_in_progress: Option<Mutex<BoxFuture<'static, Result<Answer, ResumeError>>>>,
    /// The server's response; none before it begins and after it was handed over.
    upstream_body: Option<Box<UpstreamBody>>,
    /// State of the event parser at the last complete event; it is handed to the new response.
    scan: Option<EventScanner>,
    /// Complete events that were read before this server.
    events_before: u64,
    /// Bytes received until the first event is complete.
    first_bytes: BytesMut,
}

/// A stream that continues on a new server.
pub(super) struct ResumedStream {
    pub(super) upstream: Box<UpstreamBody>,
    /// The bytes that may be forwarded already; empty where the stream ends here.
    pub(super) first_bytes: Bytes,
}

impl ResumeCandidate {
    fn new(
        relay: &Arc<Relay>,
        attempt: ResumeAttempt,
        permit: RetryPermit,
        scanned: &EventScanner,
    ) -> Self {
        ResumeCandidate {
            relay: relay.clone(),
            attempt_in_progress: Some(Mutex::new(Box::pin(attempt.run(permit)))),
            upstream_body: None,
            scan: Some(scanned.truncated_to_last_event()),
            events_before: scanned.complete_events(),
            first_bytes: BytesMut::new(),
        }
    }

    /// Ready once the server continues the stream, or is known not to.
    pub(super) fn poll_resumed(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<ResumedStream, ResumeError>> {
        if let Some(attempt_in_progress) = &mut self.attempt_in_progress {
            let answer =
                std::task::ready!(attempt_in_progress.get_mut().unwrap().as_mut().poll(cx));
            self.attempt_in_progress = None;
            match answer {
                Ok(answer) => self.upstream_body = self.open_upstream(answer),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        let is_continued = std::task::ready!(self.poll_first_event(cx));
        match self.upstream_body.take().filter(|_| is_continued) {
            Some(upstream) => Poll::Ready(Ok(ResumedStream {
                upstream,
                first_bytes: std::mem::take(&mut self.first_bytes).freeze(),
            })),
            None => Poll::Ready(Err(ResumeError::Failed)),
        }
    }

    /// Starts to read the server's response as the continuation of the stream.
    fn open_upstream(&mut self, answer: Answer) -> Option<Box<UpstreamBody>> {
        let scan = self.scan.take();
        UpstreamBody::new(&self.relay, answer, scan, true).map(Box::new)
    }

    /// Whether an event, or the end of the stream, has arrived.
    fn poll_first_event(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        let Some(body) = &mut self.upstream_body else {
            return Poll::Ready(false);
        };
        loop {
            match std::task::ready!(body.poll_part(cx)) {
                UpstreamPart::Data(bytes) => {
                    self.first_bytes.extend_from_slice(&bytes);
                    if body.complete_events() > self.events_before {
                        return Poll::Ready(true);
                    }
                }
                UpstreamPart::End if body.ends_at_event_boundary() => return Poll::Ready(true),
                UpstreamPart::End | UpstreamPart::Failed(_) => {
                    body.fail();
                    return Poll::Ready(false);
                }
            }
        }
    }
}
