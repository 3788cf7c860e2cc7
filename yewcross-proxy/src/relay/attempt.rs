//! One attempt at one server: the connection, the request, and what counts as its answer.

use super::headers::{coding_asked_for, tells_its_end};
use super::{ClientRequest, Relay};
use crate::balance::Claim;
use crate::pool::{Failed, Link};
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
    pub(super) fn is_good(&self) -> bool {
        matches!(self, Outcome::Answer(answer) if !answer.head.status.is_server_error())
    }

    /// What two servers asked the same come to: a good answer of either, else any answer, else what
    /// says least about a run.
    pub(super) fn or(self, other: Outcome) -> Outcome {
        if other.is_good() && !self.is_good() {
            return other;
        }
        match (self, other) {
            (Outcome::Answer(a), _) | (_, Outcome::Answer(a)) => Outcome::Answer(a),
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
    Whole(Bytes),
    Coming(Incoming, Link),
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
        let left = request.until.saturating_sub(self.runtime.now());
        let exchanged = self
            .runtime
            .timeout(left, self.exchange(request, &claim, route))
            .await
            .unwrap_or(Err(Failed::Lost));
        let (response, link) = match exchanged {
            Ok(exchanged) => exchanged,
            Err(failed) => return self.count_failure(failed, &claim),
        };
        let status = response.status();
        let meta = self
            .back
            .parse_response(status.as_u16(), response.headers());
        if !is_answer_to(request, &response, &meta, link.fresh) {
            self.counts.strangers.fetch_add(1, SeqCst);
            claim.failed();
            return Outcome::Lost;
        }
        claim.headed();
        meta.load.into_iter().for_each(|load| claim.told(load));
        if meta.not_executed || status == StatusCode::MISDIRECTED_REQUEST {
            self.counts.not_run.fetch_add(1, SeqCst);
            match status {
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => claim.full(),
                _ => claim.failed(),
            }
            self.drain(&claim.to.server, response.into_body(), link, meta);
            return Outcome::NotRun;
        }
        // The promise of these is not the server's to make: only `not_executed` says that.
        if matches!(status.as_u16(), 408 | 429 | 503) {
            claim.failed();
            self.drain(&claim.to.server, response.into_body(), link, meta);
            return Outcome::Lost;
        }
        if status.is_server_error() {
            claim.failed();
        }
        let is_streamed = route.mode == Mode::Stream;
        let read = self.read_small(request, response, link, &meta, &claim, is_streamed);
        match read.await {
            Some((head, body)) => Outcome::Answer(Box::new(Answer {
                head,
                body,
                meta,
                claim,
            })),
            None => {
                self.counts.broken.fetch_add(1, SeqCst);
                claim.failed();
                Outcome::Lost
            }
        }
    }

    /// What an attempt without any answer came to.
    fn count_failure(&self, failed: Failed, claim: &Claim) -> Outcome {
        let (count, outcome) = match failed {
            Failed::Withdrawn => (&self.counts.withdrawn, Outcome::Withdrawn),
            Failed::Unsent => (&self.counts.unsent, Outcome::Unsent),
            Failed::Lost => (&self.counts.lost, Outcome::Lost),
        };
        count.fetch_add(1, SeqCst);
        if !matches!(outcome, Outcome::Withdrawn) {
            claim.failed();
        }
        outcome
    }

    /// Reads a small answer to its end; one whose end could not be told from a break is none.
    async fn read_small(
        &self,
        request: &ClientRequest,
        response: Response<Incoming>,
        link: Link,
        meta: &ResponseMeta,
        claim: &Claim,
        is_streamed: bool,
    ) -> Option<(response::Parts, AnswerBody)> {
        let (head, body) = response.into_parts();
        let is_bare =
            request.head.method == Method::HEAD || matches!(head.status.as_u16(), 204 | 304);
        if !is_bare && !tells_its_end(&head.headers) {
            return None;
        }
        if !is_bare && !is_small(&body) || is_streamed && head.status.is_success() {
            return Some((head, AnswerBody::Coming(body, link)));
        }
        let left = request.until.saturating_sub(self.runtime.now());
        let bytes = self
            .runtime
            .timeout(left, body.collect())
            .await?
            .ok()?
            .to_bytes();
        self.give_back(&claim.to.server, link, meta);
        Some((head, AnswerBody::Whole(bytes)))
    }

    /// Reads the rest of an answer that is not passed on, so that its connection can be used again.
    fn drain(self: &Arc<Self>, server: &str, body: Incoming, link: Link, meta: ResponseMeta) {
        if meta.closes_connection || !is_small(&body) {
            return;
        }
        let (relay, server) = (self.clone(), server.to_string());
        self.runtime.spawn(async move {
            if let Some(Ok(_)) = relay.runtime.timeout(SEC, body.collect()).await {
                relay.give_back(&server, link, &meta);
            }
        });
    }

    pub(super) fn give_back(&self, server: &str, link: Link, meta: &ResponseMeta) {
        if meta.closes_connection {
            return;
        }
        let fronts = self.fronts.load(SeqCst).max(1);
        let most = (IDLE_UPSTREAM_CONNECTIONS / fronts).max(IDLE_CONNECTIONS_MIN);
        self.pool
            .keep(server, link, self.runtime.now(), meta.idle_ms, most);
    }

    /// Sends it over a kept connection, or else over a new one; only what has not left is sent
    /// again.
    async fn exchange(
        &self,
        request: &ClientRequest,
        claim: &Claim,
        route: &Route,
    ) -> Result<(Response<Incoming>, Link), Failed> {
        let to = &claim.to;
        let mut stale = 0;
        loop {
            let kept = self.pool.take(&to.server, self.runtime.now(), stale > 0);
            let mut link = match kept {
                Some(link) => link,
                None => self
                    .pool
                    .dial(&self.runtime, to, CONNECT_TIMEOUT)
                    .await
                    .map_err(|_| Failed::Unsent)?,
            };
            let now = self.runtime.now();
            if now >= request.until || !self.still_holds(request, to, route) {
                return Err(Failed::Withdrawn);
            }
            let is_fresh = link.fresh;
            self.counts.sent.fetch_add(1, SeqCst);
            let latest = request.until.min(now + SELECTION_LIFETIME);
            let upstream_request = self.upstream_request(request, to);
            match link.ask(&self.runtime, upstream_request, latest).await {
                Ok(response) => return Ok((response, link)),
                Err(Failed::Unsent) if !is_fresh && stale < STALE_CONNECTIONS_MAX => stale += 1,
                Err(failed) => return Err(failed),
            }
        }
    }

    /// Whether the newest configuration and list would still let the request go to this server: a
    /// process may stand still, or wait for a connection, after it has chosen.
    fn still_holds(&self, request: &ClientRequest, to: &ListedServer, route: &Route) -> bool {
        let configuration = self.documents.config.load();
        let path = request.head.uri.path();
        let newest = configuration.1.routing.find(&request.host, path);
        let is_routed = newest.is_some_and(|newest| {
            let leads_there =
                |(service, weight): &(String, u64)| *service == to.service && *weight > 0;
            newest.mode == route.mode
                && newest.retained == route.retained
                && newest.variants.iter().any(leads_there)
        });
        is_routed
            && self
                .documents
                .server_list
                .load()
                .1
                .servers
                .iter()
                .any(|l| l == to)
    }

    /// The request as a server gets it.
    fn upstream_request(&self, request: &ClientRequest, to: &ListedServer) -> Request<Full<Bytes>> {
        let mut upstream_request = Request::new(Full::new(request.body.clone()));
        *upstream_request.method_mut() = request.head.method.clone();
        *upstream_request.uri_mut() = request.head.uri.clone();
        *upstream_request.headers_mut() = request.head.headers.clone();
        let configuration = self.documents.config.load();
        let routes = &configuration.1.routing;
        let service = routes.upstreams.get(&to.service);
        let has_engine = service.is_some_and(|service| service.engine.is_some());
        let urgency = routes
            .find(&request.host, request.head.uri.path())
            .and_then(|route| self.urgency(request, route, has_engine));
        let left_ms = request.until.saturating_sub(self.runtime.now()) / MS;
        self.back
            .add_headers(upstream_request.headers_mut(), to, left_ms, urgency);
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
    let is_ours = meta.attempt == request.meta.attempt
        || (meta.attempt.is_empty() && meta.not_executed && is_fresh_connection);
    let is_coded_as_asked = coding_asked_for(&request.head.headers, response.headers());
    let is_foreign = status.is_success() && (!meta.from_server || !is_coded_as_asked);
    is_ours && !is_foreign && !status.is_informational()
}

/// Whether a body is read whole before it is passed on.
fn is_small(body: &Incoming) -> bool {
    let length = body.size_hint().upper();
    length.is_some_and(|length| length <= BUFFERED_RESPONSE_BYTES)
}
