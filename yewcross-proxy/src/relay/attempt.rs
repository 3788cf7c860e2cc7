//! One attempt at one server: the connection, the request, and what counts as its answer.

use super::headers::{accepts_coding, has_message_framing};
use super::{ClientRequest, Relay};
use crate::balance::Claim;
use crate::pool::{SendFailure, UpstreamConnection};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::adapter::ResponseMeta;
use yewcross_common::configuration::route::{Mode, Route};
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;

/// count. Kept connections to a server that may turn out to be closed before another one is dialled.
const STALE_CONNECTIONS_MAX: u32 = 3;
/// count. Idle connections to a server that each front keeps at least.
const IDLE_CONNECTIONS_MIN: usize = 4;

/// What sending it to one server came to.
pub(super) enum Outcome {
    Answer(Box<Answer>),
    /// It says that it did not run it.
    NotRun,
    Unsent,
    /// Nothing was sent, since the choice of the server no longer holds.
    Withdrawn,
    Lost,
}

impl Outcome {
    /// Not a byte of the request left for this server.
    pub(super) fn nothing_sent(&self) -> bool {
        matches!(self, Outcome::Unsent | Outcome::Withdrawn)
    }

    /// An answer, and none that tells of an error of the server.
    pub(super) fn is_non_5xx_answer(&self) -> bool {
        matches!(self, Outcome::Answer(answer) if !answer.head.status.is_server_error())
    }

    /// What two servers asked the same come to: a good answer of either, else any answer, else what
    /// says least about a run.
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

/// A server's answer that goes to the caller.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    pub(super) body: AnswerBody,
    pub(super) meta: ResponseMeta,
    pub(super) claim: Claim,
}

/// What of an answer is still to come.
pub(super) enum AnswerBody {
    Buffered(Bytes),
    Streaming(Incoming, UpstreamConnection),
}

impl Relay {
    /// Sends a request to the server of a claim and takes what comes back for an answer only if it
    /// plainly is one.
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
        // The promise of these is not the server's to make: only `not_executed` says that.
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

    /// What an attempt without any answer came to.
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

    /// Reads a small answer to its end; one whose end could not be told from a break is none.
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
        let left_us = request.deadline.saturating_sub(self.runtime.now());
        let bytes = self
            .runtime
            .timeout(left_us, body.collect())
            .await?
            .ok()?
            .to_bytes();
        self.return_connection(&claim.target.server, link, meta);
        Some((head, AnswerBody::Buffered(bytes)))
    }

    /// Reads the rest of an answer that is not passed on, so that its connection can be used again.
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

    /// Sends it over a kept connection, or else over a new one; only what has not left is sent
    /// again.
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

    /// Whether the newest configuration and list would still let the request go to this server: a
    /// process may stand still, or wait for a connection, after it has chosen.
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

    /// The request as a server gets it.
    fn upstream_request(
        &self,
        request: &ClientRequest,
        server: &ListedServer,
    ) -> Request<Full<Bytes>> {
        let mut upstream_request = Request::new(Full::new(request.body.clone()));
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

/// Whether a response is the answer to this very request, as far as its head tells.
fn is_answer_to(
    request: &ClientRequest,
    response: &Response<Incoming>,
    meta: &ResponseMeta,
    is_fresh_connection: bool,
) -> bool {
    let status = response.status();
    // On a connection of its own nothing late can arrive: there a "not run" needs no id.
    let is_same_attempt = meta.attempt == request.meta.attempt
        || (meta.attempt.is_empty() && meta.not_executed && is_fresh_connection);
    let is_coding_accepted = accepts_coding(&request.head.headers, response.headers());
    let is_from_intermediary = status.is_success() && (!meta.from_server || !is_coding_accepted);
    is_same_attempt && !is_from_intermediary && !status.is_informational()
}

/// Whether a body is read whole before it is passed on.
fn is_small(body: &Incoming) -> bool {
    let length = body.size_hint().upper();
    length.is_some_and(|length| length <= BUFFERED_RESPONSE_BYTES)
}
