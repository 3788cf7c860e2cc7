//! One attempt at one server: obtaining a connection, sending the request and classifying the
//! response.

use super::headers::{accepts_coding, has_message_framing};
use super::{ClientRequest, Relay};
use crate::balance::Claim;
use crate::pool::{SendFailure, UpstreamConnection};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::adapter::ResponseMeta;
use yewcross_common::buffer_memory::ReservedBuffer;
use yewcross_common::configuration::route::{Mode, Route};
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;
use yewcross_common::streaming_http::PartedBody;

/// count. Idle connections to a server that may prove to be closed before a new one is opened.
const STALE_CONNECTIONS_MAX: u32 = 3;
/// count. Idle connections to a server that each front may keep, however many fronts share the
/// limit.
const IDLE_CONNECTIONS_MIN: usize = 4;

/// The result of an attempt at one server.
pub(super) enum Outcome {
    /// A response that can be forwarded; its status may be an error.
    Answer(Box<Answer>),
    /// The server stated that it did not execute the request.
    NotRun,
    /// No byte of the request was sent, since the server could not be reached or the connection
    /// failed.
    Unsent,
    /// No byte of the request was sent, since the selection of the server was no longer current.
    Withdrawn,
    /// The request may have been executed, but no usable answer arrived in time.
    Lost,
}

impl Outcome {
    /// Whether no byte of the request was sent to this server.
    pub(super) fn nothing_sent(&self) -> bool {
        matches!(self, Outcome::Unsent | Outcome::Withdrawn)
    }

    /// Whether it is an answer without a server error (5xx).
    pub(super) fn is_non_5xx_answer(&self) -> bool {
        matches!(self, Outcome::Answer(answer) if !answer.head.status.is_server_error())
    }

    /// Combines the outcomes of the same request at two servers. Prefers an answer that is no
    /// server error, then any answer. Without an answer, `Lost` takes precedence over `NotRun`, and
    /// that over `Unsent` and `Withdrawn`, so that a request that may have been executed is never
    /// reported as not executed.
    pub(super) fn better_of(self, other: Outcome) -> Outcome {
        if other.is_non_5xx_answer() && !self.is_non_5xx_answer() {
            return other;
        }
        match (self, other) {
            (Outcome::Answer(answer), _) | (_, Outcome::Answer(answer)) => Outcome::Answer(answer),
            (Outcome::Lost, _) | (_, Outcome::Lost) => Outcome::Lost,
            (Outcome::NotRun, _) | (_, Outcome::NotRun) => Outcome::NotRun,
            (Outcome::Unsent, _) | (_, Outcome::Unsent) => Outcome::Unsent,
            (Outcome::Withdrawn, Outcome::Withdrawn) => Outcome::Withdrawn,
        }
    }
}

/// The answer of a server that is forwarded to the caller.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    pub(super) body: AnswerBody,
    pub(super) meta: ResponseMeta,
    pub(super) claim: Claim,
}

/// The body of an answer.
pub(super) enum AnswerBody {
    /// Read completely; its connection has been returned to the pool.
    Buffered(Bytes),
    /// Still to be read from the connection.
    Streaming(Incoming, UpstreamConnection),
}

impl Relay {
    /// Sends a request to the claimed server. A response counts as the answer only if it can be
    /// identified as the response to this attempt.
    pub(super) async fn attempt(
        self: &Arc<Self>,
        request: &ClientRequest,
        mut claim: Claim,
        route: &Route,
    ) -> Outcome {
        let left_us = request.deadline.saturating_sub(self.runtime.now());
        let exchanged = self
            .runtime
            .timeout(left_us, self.exchange(request, &claim, route))
            .await
            .unwrap_or(Err(SendFailure::OutcomeUnknown));
        let (response, link) = match exchanged {
            Ok(exchanged) => exchanged,
            Err(failed) => return self.record_failure(failed, &claim),
        };
        let status = response.status();
        let meta = self
            .upstream_protocol
            .parse_response(status.as_u16(), response.headers());
        if !is_answer_to(request, &response, &meta, link.is_new) {
            self.counts.strangers.fetch_add(1, SeqCst);
            claim.record_failure();
            return Outcome::Lost;
        }
        claim.record_response_head();
        meta.load
            .into_iter()
            .for_each(|load| claim.record_reported_load(load));
        if meta.not_executed || status == StatusCode::MISDIRECTED_REQUEST {
            self.counts.not_run.fetch_add(1, SeqCst);
            match status {
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    claim.record_overload()
                }
                _ => claim.record_failure(),
            }
            self.drain(&claim.target.server, response.into_body(), link, meta);
            return Outcome::NotRun;
        }
        // These statuses do not guarantee that the request was not executed: only `not_executed` states
        // that.
        if matches!(status.as_u16(), 408 | 429 | 503) {
            claim.record_failure();
            self.drain(&claim.target.server, response.into_body(), link, meta);
            return Outcome::Lost;
        }
        if status.is_server_error() {
            claim.record_failure();
        }
        let is_streamed = route.mode == Mode::Stream;
        let buffering = self.buffer_if_small(request, response, link, &meta, &claim, is_streamed);
        match buffering.await {
            Some((head, body)) => Outcome::Answer(Box::new(Answer {
                head,
                body,
                meta,
                claim,
            })),
            None => {
                self.counts.broken.fetch_add(1, SeqCst);
                claim.record_failure();
                Outcome::Lost
            }
        }
    }

    /// Counts an attempt that got no response, and returns its outcome.
    fn record_failure(&self, failed: SendFailure, claim: &Claim) -> Outcome {
        let (counter, outcome) = match failed {
            SendFailure::Expired => (&self.counts.withdrawn, Outcome::Withdrawn),
            SendFailure::NotSent => (&self.counts.unsent, Outcome::Unsent),
            SendFailure::OutcomeUnknown => (&self.counts.lost, Outcome::Lost),
        };
        counter.fetch_add(1, SeqCst);
        if !matches!(outcome, Outcome::Withdrawn) {
            claim.record_failure();
        }
        outcome
    }

    /// Reads a small answer to its end. None where the answer ended early, or where its head does
    /// not delimit the body, so that a truncated body could not be distinguished from a complete
    /// one.
    async fn buffer_if_small(
        &self,
        request: &ClientRequest,
        response: Response<Incoming>,
        link: UpstreamConnection,
        meta: &ResponseMeta,
        claim: &Claim,
        is_streamed: bool,
    ) -> Option<(response::Parts, AnswerBody)> {
        let (head, body) = response.into_parts();
        let is_bodiless =
            request.head.method == Method::HEAD || matches!(head.status.as_u16(), 204 | 304);
        if !is_bodiless && !has_message_framing(&head.headers) {
            return None;
        }
        if !is_bodiless && !is_small(&body) || is_streamed && head.status.is_success() {
            return Some((head, AnswerBody::Streaming(body, link)));
        }
        let length = body.size_hint().upper().unwrap_or_default() as usize;
        let Ok(buffer) = ReservedBuffer::with_capacity(&self.buffer_memory, length) else {
            return Some((head, AnswerBody::Streaming(body, link)));
        };
        let left_us = request.deadline.saturating_sub(self.runtime.now());
        let bytes = self
            .runtime
            .timeout(left_us, collect_into(buffer, body))
            .await??;
        self.return_connection(&claim.target.server, link, meta);
        Some((head, AnswerBody::Buffered(bytes)))
    }

    /// Reads the rest of a response that is not forwarded, so that its connection can be reused.
    fn drain(
        self: &Arc<Self>,
        server: &str,
        body: Incoming,
        link: UpstreamConnection,
        meta: ResponseMeta,
    ) {
        if meta.closes_connection || !is_small(&body) {
            return;
        }
        let (relay, server) = (self.clone(), server.to_string());
        self.runtime.spawn(async move {
            if let Some(Ok(_)) = relay.runtime.timeout(SEC, body.collect()).await {
                relay.return_connection(&server, link, &meta);
            }
        });
    }

    /// Returns a connection to the pool, unless the server closes it.
    pub(super) fn return_connection(
        &self,
        server: &str,
        link: UpstreamConnection,
        meta: &ResponseMeta,
    ) {
        if meta.closes_connection {
            return;
        }
        let front_count = self.front_count.load(SeqCst).max(1);
        let max_idle = (IDLE_UPSTREAM_CONNECTIONS / front_count).max(IDLE_CONNECTIONS_MIN);
        self.pool
            .put_idle(server, link, self.runtime.now(), meta.idle_ms, max_idle);
    }

    /// Sends a request over an idle connection, or over a new one if none is usable. Sends again
    /// only what has not been sent at all.
    async fn exchange(
        &self,
        request: &ClientRequest,
        claim: &Claim,
        route: &Route,
    ) -> Result<(Response<Incoming>, UpstreamConnection), SendFailure> {
        let server = &claim.target;
        let mut stale_connections = 0;
        loop {
            let idle_link =
                self.pool
                    .take(&server.server, self.runtime.now(), stale_connections > 0);
            let mut link = match idle_link {
                Some(link) => link,
                None => self
                    .pool
                    .dial(&self.runtime, server, CONNECT_TIMEOUT)
                    .await
                    .map_err(|_| SendFailure::NotSent)?,
            };
            let now = self.runtime.now();
            if now >= request.deadline || !self.is_selection_current(request, server, route) {
                return Err(SendFailure::Expired);
            }
            let is_fresh = link.is_new;
            self.counts.sent.fetch_add(1, SeqCst);
            let send_deadline = request.deadline.min(now + SELECTION_LIFETIME);
            let upstream_request = self.upstream_request(request, server);
            match link
                .send_request(&self.runtime, upstream_request, send_deadline)
                .await
            {
                Ok(response) => return Ok((response, link)),
                Err(SendFailure::NotSent)
                    if !is_fresh && stale_connections < STALE_CONNECTIONS_MAX =>
                {
                    stale_connections += 1
                }
                Err(failed) => return Err(failed),
            }
        }
    }

    /// Whether the current configuration and server list still allow this server for the request:
    /// the process may have been suspended, or have waited for a connection, since the server was
    /// selected.
    fn is_selection_current(
        &self,
        request: &ClientRequest,
        server: &ListedServer,
        route: &Route,
    ) -> bool {
        let configuration = self.documents.config.load();
        let path = request.head.uri.path();
        let current_route = configuration.1.routing.find(&request.host, path);
        let is_service_selected = current_route.is_some_and(|current_route| {
            let selects_service =
                |(service, weight): &(String, u64)| *service == server.service && *weight > 0;
            current_route.mode == route.mode
                && current_route.retained == route.retained
                && current_route.variants.iter().any(selects_service)
        });
        is_service_selected
            && self
                .documents
                .server_list
                .load()
                .1
                .servers
                .iter()
                .any(|listed| listed == server)
    }

    /// The request as it is sent to a server.
    fn upstream_request(
        &self,
        request: &ClientRequest,
        server: &ListedServer,
    ) -> Request<PartedBody> {
        let mut upstream_request = Request::new(request.prompt.to_body());
        *upstream_request.method_mut() = request.head.method.clone();
        *upstream_request.uri_mut() = request.head.uri.clone();
        *upstream_request.headers_mut() = request.head.headers.clone();
        let configuration = self.documents.config.load();
        let routes = &configuration.1.routing;
        let service = routes.upstreams.get(&server.service);
        let has_engine = service.is_some_and(|service| service.engine.is_some());
        let urgency = routes
            .find(&request.host, request.head.uri.path())
            .and_then(|route| self.urgency(request, route, has_engine));
        let left_ms = request.deadline.saturating_sub(self.runtime.now()) / MS;
        self.upstream_protocol.add_headers(
            upstream_request.headers_mut(),
            server,
            left_ms,
            urgency,
        );
        upstream_request
    }
}

/// Whether a response is the answer to this attempt, according to its head.
fn is_answer_to(
    request: &ClientRequest,
    response: &Response<Incoming>,
    meta: &ResponseMeta,
    is_fresh_connection: bool,
) -> bool {
    let status = response.status();
    // On a new connection no late response to an earlier request can arrive, so a "not run"
    // response needs no attempt id there.
    let is_same_attempt = meta.attempt == request.meta.attempt
        || (meta.attempt.is_empty() && meta.not_executed && is_fresh_connection);
    let is_coding_accepted = accepts_coding(&request.head.headers, response.headers());
    let is_from_intermediary = status.is_success() && (!meta.from_server || !is_coding_accepted);
    is_same_attempt && !is_from_intermediary && !status.is_informational()
}

/// Reads a body to its end into a buffer of its length; none if it ends early.
async fn collect_into(mut buffer: ReservedBuffer, mut body: Incoming) -> Option<Bytes> {
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame.ok()?.into_data() {
            buffer.extend(&chunk, None).ok()?;
        }
    }
    Some(buffer.freeze())
}

/// Whether a body is small enough to be read completely before it is forwarded.
fn is_small(body: &Incoming) -> bool {
    let length = body.size_hint().upper();
    length.is_some_and(|length| length <= BUFFERED_RESPONSE_BYTES)
}
