//! What comes before a request is sent: reading it whole, its route, and the opening of its turn.

use super::headers::strip_hop_by_hop;
use super::resume::Resumption;
use super::turn::{OpenedTurn, is_accounted, name_parts, open_request, prompt};
use super::{ClientRequest, Rejection, Relay};
use http::{HeaderMap, Request, Response, header, request};
use hyper::body::Incoming;
use std::sync::Arc;
use yewcross_common::adapter::RequestMeta;
use yewcross_common::configuration::route::{Mode, Route, Routes, Upstream};
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::hash::rendezvous_weight;
use yewcross_common::streaming_http::{Body, Unread, read_body};
use yewcross_common::turn_log::{OpenTurnError, Turn};

/// The one host that a head names.
fn the_host(headers: &HeaderMap) -> Option<String> {
    let mut hosts = headers.get_all(header::HOST).iter();
    let host = hosts.next()?.to_str().ok()?;
    hosts.next().is_none().then(|| host.to_string())
}

impl Relay {
    pub(super) async fn handle(
        self: Arc<Self>,
        q: Request<Incoming>,
    ) -> Result<Response<Body>, Rejection> {
        let began = self.runtime.now();
        if !self.has_documents() {
            self.runtime
                .timeout(FIRST_CONFIGURATION_WAIT, self.news())
                .await;
        }
        let (mut request, route, upstream) = self.read(q, began).await?;
        let input = request.body.clone();
        let (mut turn, previous) = self.open_turn(&mut request, &route, &upstream).await?;

        let request = Arc::new(request);
        let dispatched = self.dispatch(&request, &route, previous.as_deref()).await?;
        let (route, answer) = (&dispatched.route, &dispatched.answer);
        let service = &answer.claim.target.service;
        if let (Some(opened), Some(tokens)) = (&mut turn, self.tokens_per_event(service)) {
            opened.tokens_per_event = tokens;
        }
        answer
            .claim
            .record_prefill(&request.meta.prompt_segments, self.cache_tokens(service));
        let keep = route.retained.then(|| Turn {
            id: request.meta.attempt.clone(),
            prev: request.meta.previous_turn.clone(),
            input,
            server: answer.claim.target.server.clone(),
            tokens: request.meta.prompt_tokens,
            retain_ms: route.retain_ms,
            ..Turn::default()
        });
        let streamed = route.mode == Mode::Stream && answer.head.status.is_success();
        if !streamed {
            drop(turn.take());
        }
        let resumption = if streamed {
            Resumption::of(&self, &request, &dispatched)
        } else {
            None
        };
        Ok(self.forward(
            dispatched.answer,
            turn,
            keep,
            request.until,
            streamed,
            resumption,
        ))
    }

    /// Reads a request whole: no server hears of one that its caller has not finished.
    async fn read(
        &self,
        q: Request<Incoming>,
        began: u64,
    ) -> Result<(ClientRequest, Route, Upstream), Rejection> {
        let (mut head, body) = q.into_parts();
        let meta = self
            .caller
            .parse_request(&head.headers)
            .map_err(|_| Rejection(Code::BadHead, "a field of the head is wrong", 0))?;
        let host =
            the_host(&head.headers).ok_or(Rejection(Code::BadHead, "one host is needed", 0))?;
        let (found, limit) = {
            let c = self.documents.config.load();
            (
                self.route(&c.1.routing, c.0, &host, &head, &meta),
                c.1.routing.limits.body_bytes,
            )
        };
        // A refused request is read whole too: what is left of a body would be taken for the next
        // request's head.
        let timeout_ms = found
            .as_ref()
            .map_or(BODY_TIMEOUT / MS, |(route, _)| route.timeout_ms);
        let until = began
            + meta
                .deadline_ms
                .unwrap_or(u64::MAX / MS / 2)
                .min(timeout_ms)
                * MS;
        let left = until.saturating_sub(self.runtime.now());
        let body = self
            .runtime
            .timeout(left.min(BODY_TIMEOUT), read_body(body, limit))
            .await;
        let (route, upstream) = found?;
        let body = body.unwrap_or(Err(Unread::Broken)).map_err(|e| match e {
            Unread::TooLarge => Rejection(Code::TooLarge, "the body is too large", 0),
            Unread::Broken => Rejection(Code::TooSlow, "the body did not come whole", 0),
        })?;
        strip_hop_by_hop(&mut head.headers);
        [header::CONTENT_LENGTH, header::EXPECT]
            .iter()
            .for_each(|n| {
                head.headers.remove(n);
            });
        Ok((
            ClientRequest {
                head,
                meta,
                host,
                body,
                began,
                until,
            },
            route,
            upstream,
        ))
    }

    /// Asks the stores for the chain that a turn goes on from and for its share of the budget;
    /// hands back the turn before.
    async fn open_turn(
        &self,
        request: &mut ClientRequest,
        route: &Route,
        upstream: &Upstream,
    ) -> Result<(Option<OpenedTurn>, Option<Arc<Turn>>), Rejection> {
        let away = || {
            Rejection(
                Code::StoreAway,
                "the stores cannot be asked",
                self.soon(route),
            )
        };
        let Some(chains) = self
            .turn_log
            .clone()
            .filter(|_| is_accounted(route, &request.meta))
        else {
            return if route.retained {
                Err(away())
            } else {
                Ok((None, None))
            };
        };
        let open = open_request(route, &request.meta);
        let until = request.until.min(self.runtime.now() + TURN_OPEN_TIMEOUT);
        let opened = chains
            .open(open.clone(), until)
            .await
            .map_err(|r| match r {
                OpenTurnError::BudgetSpent => {
                    Rejection(Code::BudgetSpent, "the budget is spent", 0)
                }
                OpenTurnError::UnknownTurn => Rejection(Code::UnknownTurn, "no such turn", 0),
                OpenTurnError::Unavailable => away(),
            })?;
        if route.retained {
            request.body = prompt(&opened.chain, &request.body);
            name_parts(&mut request.meta, &opened.chain);
        }
        let tokens_per_event = self.tokens_per_event(&upstream.name).unwrap_or(1);
        let turn = OpenedTurn {
            chains,
            open,
            tokens_per_event,
            done: false,
            events: 0,
        };
        Ok((Some(turn), opened.chain.last().cloned()))
    }

    /// A configuration and a list are on hand.
    pub fn has_documents(&self) -> bool {
        self.documents.config.load().0 > 0 && self.documents.server_list.load().0 > 0
    }

    async fn news(&self) {
        loop {
            let l = self.documents.changed.listen();
            if self.has_documents() {
                return;
            }
            l.await;
        }
    }

    /// The route and the service, both of one configuration.
    pub(super) fn route(
        &self,
        r: &Routes,
        seq: u64,
        host: &str,
        head: &request::Parts,
        m: &RequestMeta,
    ) -> Result<(Route, Upstream), Rejection> {
        if seq == 0 {
            return Err(Rejection(Code::NotServing, "no configuration yet", 300));
        }
        let none = Rejection(Code::UnknownRoute, "no such route", 0);
        let route = r.find(host, head.uri.path()).ok_or(none)?;
        let all: u64 = route.variants.iter().map(|v| v.1).sum();
        // A program stays with one variant, where its prompts are held.
        let key = if m.program.is_empty() {
            self.runtime.random()
        } else {
            rendezvous_weight(&m.program, &route.name)
        };
        let mut at = key % all.max(1);
        let name = route.variants.iter().find(|v| {
            let hit = at < v.1;
            at = at.saturating_sub(v.1);
            hit
        });
        let up = name
            .and_then(|v| r.upstreams.get(&v.0))
            .cloned()
            .ok_or(Rejection(Code::NoServer, "no such service", 300))?;
        Ok((route.clone(), up))
    }
}
