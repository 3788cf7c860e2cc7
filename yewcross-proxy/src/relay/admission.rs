//! Steps before a request is sent to a server: reading it, selecting its route and opening its
//! turn.

use super::headers::strip_hop_by_hop;
use super::prompt::Prompt;
use super::resume::Resumption;
use super::turn::{OpenedTurn, needs_turn_log, open_turn_request, set_prompt_parts};
use super::{ClientRequest, Rejection, Relay};
use http::{HeaderMap, Request, Response, header, request};
use hyper::body::Incoming;
use std::sync::Arc;
use yewcross_common::adapter::RequestMeta;
use yewcross_common::configuration::route::{Mode, Route, Routes, Upstream};
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::hash::rendezvous_weight;
use yewcross_common::streaming_http::{Body, BodyReadError, BodyReader};
use yewcross_common::turn_log::{OpenTurnError, Turn};

/// The value of the `Host` header; none where the header is missing, repeated or not visible ASCII.
fn single_host(headers: &HeaderMap) -> Option<String> {
    let mut hosts = headers.get_all(header::HOST).iter();
    let host = hosts.next()?.to_str().ok()?;
    hosts.next().is_none().then(|| host.to_string())
}

impl Relay {
    /// Reads, routes and dispatches a request, and starts forwarding the answer.
    pub(super) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Rejection> {
        let received_at = self.runtime.now();
        if !self.has_documents() {
            self.runtime
                .timeout(FIRST_CONFIGURATION_WAIT, self.wait_for_documents())
                .await;
        }
        let (mut request, route, upstream) = self.read_request(request, received_at).await?;
        let input = request.input.clone();
        let (mut opened_turn, previous) = self.open_turn(&mut request, &route, &upstream).await?;

        let request = Arc::new(request);
        let dispatched = self.dispatch(&request, &route, previous.as_deref()).await?;
        let (route, answer) = (&dispatched.route, &dispatched.answer);
        let service = &answer.claim.target.service;
        if let (Some(opened), Some(tokens)) = (&mut opened_turn, self.tokens_per_event(service)) {
            opened.tokens_per_event = tokens;
        }
        answer
            .claim
            .record_prefill(&request.meta.prompt_segments, self.cache_tokens(service));
        let turn_to_store = route.retained.then(|| Turn {
            id: request.meta.attempt.clone(),
            prev: request.meta.previous_turn.clone(),
            input,
            server: answer.claim.target.server.clone(),
            tokens: request.meta.prompt_tokens,
            retain_ms: route.retain_ms,
            ..Turn::default()
        });
        let is_streamed = route.mode == Mode::Stream && answer.head.status.is_success();
        if !is_streamed {
            drop(opened_turn.take());
        }
        let resumption = if is_streamed {
            Resumption::if_allowed(&self, &request, &dispatched)
        } else {
            None
        };
        Ok(self.forward(
            dispatched.answer,
            opened_turn,
            turn_to_store,
            request.deadline,
            is_streamed,
            resumption,
        ))
    }

    /// Reads a request and its complete body: an incomplete request must not reach a server.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        received_at: u64,
    ) -> Result<(ClientRequest, Route, Upstream), Rejection> {
        let (mut head, body) = request.into_parts();
        let meta = self
            .caller
            .parse_request(&head.headers)
            .map_err(|_| Rejection(Code::BadHead, "a field of the head is wrong", 0))?;
        let host =
            single_host(&head.headers).ok_or(Rejection(Code::BadHead, "one host is needed", 0))?;
        let (selected, body_limit) = {
            let configuration = self.documents.config.load();
            (
                self.select_route(
                    &configuration.1.routing,
                    configuration.0,
                    &host,
                    &head,
                    &meta,
                ),
                configuration.1.routing.limits.body_bytes,
            )
        };
        // The body of a rejected request is read too: bytes that remain on the connection would be
        // parsed as the head of the next request.
        let timeout_ms = selected
            .as_ref()
            .map_or(BODY_TIMEOUT / MS, |(route, _)| route.timeout_ms);
        let deadline = received_at
            + meta
                .deadline_ms
                .unwrap_or(u64::MAX / MS / 2)
                .min(timeout_ms)
                * MS;
        let left_us = deadline.saturating_sub(self.runtime.now());
        let reader = BodyReader {
            runtime: &self.runtime,
            memory: &self.buffer_memory,
            max_bytes: body_limit,
        };
        let body = self
            .runtime
            .timeout(left_us, reader.read(body, &head.extensions))
            .await;
        // The connection is not to be held by the copies of the head.
        head.extensions.clear();
        let (route, upstream) = selected?;
        let body = body
            .unwrap_or(Err(BodyReadError::Incomplete))
            .map_err(|error| match error {
                BodyReadError::TooLarge => Rejection(Code::TooLarge, "the body is too large", 0),
                BodyReadError::Incomplete => {
                    Rejection(Code::TooSlow, "the body did not come whole", 0)
                }
                BodyReadError::OutOfMemory => self.out_of_memory(&route),
            })?;
        if !self.shutdown.admits(self.runtime.now(), deadline) {
            let reason = "this front stops before the request could be answered";
            return Err(Rejection(
                Code::Leaving,
                reason,
                self.retry_after_ms(&route),
            ));
        }
        strip_hop_by_hop(&mut head.headers);
        [header::CONTENT_LENGTH, header::EXPECT]
            .iter()
            .for_each(|name| {
                head.headers.remove(name);
            });
        Ok((
            ClientRequest {
                head,
                meta,
                host,
                prompt: Prompt::from(body.clone()),
                input: body,
                received_at,
                deadline,
            },
            route,
            upstream,
        ))
    }

    /// Opens the turn in the turn log, which reserves its share of the token budget and returns the
    /// chain that it continues. Returns the opened turn and the turn before it. Both are none where
    /// the route needs no turn log.
    async fn open_turn(
        &self,
        request: &mut ClientRequest,
        route: &Route,
        upstream: &Upstream,
    ) -> Result<(Option<OpenedTurn>, Option<Arc<Turn>>), Rejection> {
        let unavailable = || {
            Rejection(
                Code::StoreAway,
                "the stores cannot be asked",
                self.retry_after_ms(route),
            )
        };
        let Some(turn_log) = self
            .turn_log
            .clone()
            .filter(|_| needs_turn_log(route, &request.meta))
        else {
            return if route.retained {
                Err(unavailable())
            } else {
                Ok((None, None))
            };
        };
        let open_turn = open_turn_request(route, &request.meta);
        let deadline = request.deadline.min(self.runtime.now() + TURN_OPEN_TIMEOUT);
        let opened =
            turn_log
                .open(open_turn.clone(), deadline)
                .await
                .map_err(|error| match error {
                    OpenTurnError::BudgetSpent => {
                        Rejection(Code::BudgetSpent, "the budget is spent", 0)
                    }
                    OpenTurnError::UnknownTurn => Rejection(Code::UnknownTurn, "no such turn", 0),
                    OpenTurnError::Unavailable => unavailable(),
                    OpenTurnError::OutOfMemory => self.out_of_memory(route),
                })?;
        if route.retained {
            set_prompt_parts(&mut request.meta, &opened.chain);
        }
        let tokens_per_event = self.tokens_per_event(&upstream.name).unwrap_or(1);
        let turn = OpenedTurn {
            turn_log,
            open_turn,
            tokens_per_event,
            is_settled: false,
            forwarded_events: 0,
        };
        let previous = opened.chain.last().cloned();
        if route.retained {
            let input = request.input.clone();
            request.prompt = Prompt::of_chain(&opened.chain, input, opened.memory);
        }
        Ok((Some(turn), previous))
    }

    /// The rejection of a request for which there is no buffer memory.
    fn out_of_memory(&self, route: &Route) -> Rejection {
        let reason = "the requests in progress use all memory for buffers";
        Rejection(Code::LineFull, reason, self.retry_after_ms(route))
    }

    /// Whether a configuration and a server list have been received.
    pub fn has_documents(&self) -> bool {
        self.documents.config.load().0 > 0 && self.documents.server_list.load().0 > 0
    }

    /// Waits until a configuration and a server list have been received.
    async fn wait_for_documents(&self) {
        loop {
            let changed = self.documents.changed.listen();
            if self.has_documents() {
                return;
            }
            changed.await;
        }
    }

    /// The route of a request and the service chosen among the route's variants by weight, both
    /// from the given configuration.
    pub(super) fn select_route(
        &self,
        routes: &Routes,
        version: u64,
        host: &str,
        head: &request::Parts,
        meta: &RequestMeta,
    ) -> Result<(Route, Upstream), Rejection> {
        if version == 0 {
            return Err(Rejection(Code::NotServing, "no configuration yet", 300));
        }
        let unknown_route = Rejection(Code::UnknownRoute, "no such route", 0);
        let route = routes.find(host, head.uri.path()).ok_or(unknown_route)?;
        let total_weight: u64 = route.variants.iter().map(|variant| variant.1).sum();
        // Requests of a program go to the same variant, whose servers hold its prompts in their
        // prefix caches.
        let key = if meta.program.is_empty() {
            self.runtime.random()
        } else {
            rendezvous_weight(&meta.program, &route.name)
        };
        let mut offset = key % total_weight.max(1);
        let selected = route.variants.iter().find(|variant| {
            let is_selected = offset < variant.1;
            offset = offset.saturating_sub(variant.1);
            is_selected
        });
        let upstream = selected
            .and_then(|variant| routes.upstreams.get(&variant.0))
            .cloned()
            .ok_or(Rejection(Code::NoServer, "no such service", 300))?;
        Ok((route.clone(), upstream))
    }
}
