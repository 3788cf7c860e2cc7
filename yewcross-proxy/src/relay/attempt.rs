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
use yewcross_common::adapter::AnswerMeta;
use yewcross_common::configuration::route::{Mode, Route};
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;

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
    pub(super) meta: AnswerMeta,
    pub(super) claim: Claim,
}

/// What of an answer is still to come.
pub(super) enum AnswerBody {
    Whole(Bytes),
    Coming(Incoming, Link),
}

impl Relay {
    /// Sends a request to the server of `c` and takes what comes back for an answer only if it
    /// plainly is one.
    pub(super) async fn attempt(
        self: &Arc<Self>,
        s: &ClientRequest,
        mut c: Claim,
        route: &Route,
    ) -> Outcome {
        let left = s.until.saturating_sub(self.runtime.now());
        let got = self
            .runtime
            .timeout(left, self.exchange(s, &c, route))
            .await
            .unwrap_or(Err(Failed::Lost));
        let (r, link) = match got {
            Ok(x) => x,
            Err(Failed::Withdrawn) => {
                self.counts.withdrawn.fetch_add(1, SeqCst);
                return Outcome::Withdrawn;
            }
            Err(Failed::Unsent) => {
                self.counts.unsent.fetch_add(1, SeqCst);
                c.failed();
                return Outcome::Unsent;
            }
            Err(Failed::Lost) => {
                self.counts.lost.fetch_add(1, SeqCst);
                c.failed();
                return Outcome::Lost;
            }
        };
        let meta = self.back.answer(r.status().as_u16(), r.headers());
        let (ok, code) = (r.status().is_success(), r.status());
        // On a connection of its own nothing late can arrive: there a "not run" needs no id.
        let ours = meta.attempt == s.meta.attempt
            || (meta.attempt.is_empty() && meta.not_run && link.fresh);
        let foreign = ok && (!meta.stamped || !coding_asked_for(&s.head.headers, r.headers()));
        if !ours || foreign || code.is_informational() {
            self.counts.strangers.fetch_add(1, SeqCst);
            c.failed();
            return Outcome::Lost;
        }
        c.headed();
        meta.load.into_iter().for_each(|l| c.told(l));
        if meta.not_run || code == StatusCode::MISDIRECTED_REQUEST {
            self.counts.not_run.fetch_add(1, SeqCst);
            let full = matches!(
                code,
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
            );
            if full {
                c.full()
            } else {
                c.failed()
            }
            self.drain(&c.to.server, r.into_body(), link, meta);
            return Outcome::NotRun;
        }
        // The promise of these is not the server's to make: only `not_run` says that.
        if matches!(code.as_u16(), 408 | 429 | 503) {
            c.failed();
            self.drain(&c.to.server, r.into_body(), link, meta);
            return Outcome::Lost;
        }
        if code.is_server_error() {
            c.failed();
        }
        match self
            .whole(s, r, link, &meta, &c, route.mode == Mode::Stream)
            .await
        {
            Some((head, body)) => Outcome::Answer(Box::new(Answer {
                head,
                body,
                meta,
                claim: c,
            })),
            None => {
                self.counts.broken.fetch_add(1, SeqCst);
                c.failed();
                Outcome::Lost
            }
        }
    }

    /// Reads a small answer to its end; one whose end could not be told from a break is none.
    async fn whole(
        &self,
        s: &ClientRequest,
        r: Response<Incoming>,
        link: Link,
        m: &AnswerMeta,
        c: &Claim,
        streamed: bool,
    ) -> Option<(response::Parts, AnswerBody)> {
        let (head, body) = r.into_parts();
        let bare = s.head.method == Method::HEAD || matches!(head.status.as_u16(), 204 | 304);
        if !bare && !tells_its_end(&head.headers) {
            return None;
        }
        let small = body
            .size_hint()
            .upper()
            .is_some_and(|n| n <= BUFFERED_RESPONSE_BYTES);
        if !bare && !small || streamed && head.status.is_success() {
            return Some((head, AnswerBody::Coming(body, link)));
        }
        let left = s.until.saturating_sub(self.runtime.now());
        let b = self
            .runtime
            .timeout(left, body.collect())
            .await?
            .ok()?
            .to_bytes();
        self.give_back(&c.to.server, link, m);
        Some((head, AnswerBody::Whole(b)))
    }

    /// Reads the rest of an answer that is not passed on, so that its connection can be used again.
    fn drain(self: &Arc<Self>, server: &str, b: Incoming, l: Link, m: AnswerMeta) {
        if m.closes
            || b.size_hint()
                .upper()
                .is_none_or(|n| n > BUFFERED_RESPONSE_BYTES)
        {
            return;
        }
        let (me, server) = (self.clone(), server.to_string());
        self.runtime.spawn(async move {
            if let Some(Ok(_)) = me.runtime.timeout(SEC, b.collect()).await {
                me.give_back(&server, l, &m);
            }
        });
    }

    pub(super) fn give_back(&self, server: &str, l: Link, m: &AnswerMeta) {
        if !m.closes {
            self.pool.keep(
                server,
                l,
                self.runtime.now(),
                m.idle_ms,
                (IDLE_UPSTREAM_CONNECTIONS / self.fronts.load(SeqCst).max(1)).max(4),
            );
        }
    }

    /// Sends it over a kept connection, or else over a new one; only what has not left is sent
    /// again.
    async fn exchange(
        &self,
        s: &ClientRequest,
        c: &Claim,
        route: &Route,
    ) -> Result<(Response<Incoming>, Link), Failed> {
        let mut stale = 0;
        loop {
            let mut link = match self.pool.take(&c.to.server, self.runtime.now(), stale > 0) {
                Some(l) => l,
                None => self
                    .pool
                    .dial(&self.runtime, &c.to, CONNECT_TIMEOUT)
                    .await
                    .map_err(|_| Failed::Unsent)?,
            };
            let now = self.runtime.now();
            if now >= s.until || !self.still_holds(s, &c.to, route) {
                return Err(Failed::Withdrawn);
            }
            let fresh = link.fresh;
            self.counts.sent.fetch_add(1, SeqCst);
            match link
                .ask(
                    &self.runtime,
                    self.request(s, &c.to),
                    s.until.min(now + SELECTION_LIFETIME),
                )
                .await
            {
                Ok(r) => return Ok((r, link)),
                Err(Failed::Unsent) if !fresh && stale < 3 => stale += 1,
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether the newest configuration and list would still let the request go to this server: a
    /// process may stand still, or wait for a connection, after it has chosen.
    fn still_holds(&self, s: &ClientRequest, to: &ListedServer, route: &Route) -> bool {
        let config = self.documents.config.load();
        let routed = config
            .1
            .routing
            .find(&s.host, s.head.uri.path())
            .is_some_and(|now| {
                let same_kind = now.mode == route.mode && now.retained == route.retained;
                same_kind
                    && now
                        .variants
                        .iter()
                        .any(|(service, weight)| *service == to.service && *weight > 0)
            });
        routed && self.documents.list.load().1.servers.iter().any(|l| l == to)
    }

    fn request(&self, s: &ClientRequest, to: &ListedServer) -> Request<Full<Bytes>> {
        let mut q = Request::new(Full::new(s.body.clone()));
        *q.method_mut() = s.head.method.clone();
        *q.uri_mut() = s.head.uri.clone();
        *q.headers_mut() = s.head.headers.clone();
        let c = self.documents.config.load();
        let r = c.1.routing.find(&s.host, s.head.uri.path());
        let engine =
            c.1.routing
                .upstreams
                .get(&to.service)
                .is_some_and(|u| u.engine.is_some());
        let urgency = r.and_then(|r| self.urgency(s, r, engine));
        self.back.dress(
            q.headers_mut(),
            to,
            s.until.saturating_sub(self.runtime.now()) / MS,
            urgency,
        );
        q
    }
}
