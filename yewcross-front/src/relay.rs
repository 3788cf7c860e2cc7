//! The path of a routed request, from its head to the last byte of its answer.

use crate::balance::{Balance, Claim, Need, NoSeat};
use crate::pool::{Failed, Link, Pool};
use crate::scan::Scan;
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode, Version, header, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use yewcross::ask::Listed;
use yewcross::book::Book;
use yewcross::chain::{Chains, OpenTurn, Refusal, Turn};
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::hash::weigh;
use yewcross::port::{AnswerMeta, BackEnd, Caller, RequestMeta};
use yewcross::route::{Mode, Route, Routes, Upstream};
use yewcross::web::{Body, Unread, full, read_body};
use yewcross::world::*;

macro_rules! counts {
    ($($f:ident),*) => {
        /// What became of requests and of what was sent for them.
        #[derive(Default)]
        pub struct Counts { $(pub $f: AtomicU64),* }
        impl Counts {
            pub fn all(&self) -> std::collections::BTreeMap<&'static str, u64> {
                [$((stringify!($f), self.$f.load(SeqCst))),*].into()
            }
        }
    };
}

counts!(taken, sent, passed, not_run, unsent, withdrawn, lost, strangers, refused, expired, second, broken, unkept);

pub struct Relay {
    pub w: World,
    pub book: Arc<Book>,
    pub site: String,
    pub caller: Arc<dyn Caller>,
    pub back: Arc<dyn BackEnd>,
    pub chains: Option<Arc<dyn Chains>>,
    /// Fronts that share the servers' connections, ourselves among them.
    pub fronts: AtomicUsize,
    pub pool: Pool,
    pub balance: Balance,
    pub counts: Counts,
}

/// One try of a caller, read whole.
struct Shot {
    head: request::Parts,
    meta: RequestMeta,
    host: String,
    /// What is sent on.
    body: Bytes,
    /// us of the world's clock.
    began: u64,
    until: u64,
}

/// What sending it to one server came to.
enum Sent {
    Answer(Box<Answer>),
    /// It says that it did not run it.
    NotRun,
    Unsent,
    /// Nothing was sent, since the choice of the server no longer holds.
    Withdrawn,
    Lost,
}

impl Sent {
    /// Not a byte of the request left for this server.
    fn nothing(&self) -> bool {
        matches!(self, Sent::Unsent | Sent::Withdrawn)
    }

    /// What two servers asked the same come to: the answer of either, else what says least about a run.
    fn or(self, other: Sent) -> Sent {
        match (self, other) {
            (Sent::Answer(a), _) | (_, Sent::Answer(a)) => Sent::Answer(a),
            (Sent::Lost, _) | (_, Sent::Lost) => Sent::Lost,
            (Sent::NotRun, _) | (_, Sent::NotRun) => Sent::NotRun,
            (Sent::Unsent, _) | (_, Sent::Unsent) => Sent::Unsent,
            (Sent::Withdrawn, Sent::Withdrawn) => Sent::Withdrawn,
        }
    }
}

struct Answer {
    head: response::Parts,
    body: Rest,
    meta: AnswerMeta,
    claim: Claim,
}

/// What of an answer is still to come.
enum Rest {
    Whole(Bytes),
    Coming(Incoming, Link),
}

/// The turn that is open at the stores; however it ends, they hear of it.
struct Opened {
    chains: Arc<dyn Chains>,
    open: OpenTurn,
    each: u64,
    done: bool,
    passed: u64,
}

impl Drop for Opened {
    fn drop(&mut self) {
        if !self.done {
            self.chains.settle(self.open.clone(), self.passed * self.each);
        }
    }
}

/// How a request ends without an answer of a server.
struct End(Code, &'static str, u64);

const ONE_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes what concerns only one connection, and what the connection header names.
fn strip(h: &mut HeaderMap) {
    let named: Vec<HeaderName> = h
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .filter(|n| *n != header::HOST && *n != header::CONTENT_LENGTH)
        .collect();
    named.iter().for_each(|n| {
        h.remove(n);
    });
    ONE_HOP.iter().for_each(|n| {
        h.remove(*n);
    });
}

/// A body ends where its length or its last chunk says; one that ends with its connection may as well have been cut off.
/// Source: RFC 9112, 6.3 "Message Body Length".
fn tells_its_end(h: &HeaderMap) -> bool {
    let last_coding = |v: &http::HeaderValue| v.to_str().ok().and_then(|t| t.rsplit(',').next().map(|c| c.trim().to_ascii_lowercase()));
    match h.get_all(header::TRANSFER_ENCODING).iter().next_back() {
        Some(v) => last_coding(v).as_deref() == Some("chunked"),
        None => h.contains_key(header::CONTENT_LENGTH),
    }
}

/// A caller that names no content coding gets the server's bytes themselves.
fn coding_asked_for(request: &HeaderMap, answer: &HeaderMap) -> bool {
    let names = |h: &HeaderMap, k: HeaderName| -> Vec<String> {
        let texts = h.get_all(k).iter().filter_map(|v| v.to_str().ok());
        let items = texts.flat_map(|t| t.split(','));
        items.filter_map(|i| i.split(';').next()).map(|n| n.trim().to_ascii_lowercase()).filter(|n| !n.is_empty()).collect()
    };
    let asked = names(request, header::ACCEPT_ENCODING);
    names(answer, header::CONTENT_ENCODING).iter().all(|n| n == "identity" || asked.contains(n))
}

fn safe(m: Mode) -> bool {
    m == Mode::Pure
}

impl Relay {
    fn refuse(&self, e: End) -> Response<Body> {
        self.counts.refused.fetch_add(1, SeqCst);
        self.caller.refuse(e.0, e.1, e.2).map(full)
    }

    /// Answers one request. Dropped when its caller goes, and with it all that is under way for it.
    pub async fn serve(self: Arc<Self>, q: Request<Incoming>) -> Response<Body> {
        self.counts.taken.fetch_add(1, SeqCst);
        match self.clone().take(q).await {
            Ok(r) => r,
            Err(e) => self.refuse(e),
        }
    }

    async fn take(self: Arc<Self>, q: Request<Incoming>) -> Result<Response<Body>, End> {
        let began = self.w.now();
        if !self.informed() {
            self.w.within(FIRST_NEWS, self.news()).await;
        }
        let (mut head, body) = q.into_parts();
        let meta = self.caller.request(&head.headers).map_err(|_| End(Code::BadHead, "a field of the head is wrong", 0))?;
        let one = |h: &HeaderMap| h.get_all(header::HOST).iter().count() == 1;
        let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok()).filter(|_| one(&head.headers)).map(str::to_string);
        let host = host.ok_or(End(Code::BadHead, "one host is needed", 0))?;
        let (route, up, limit) = {
            let c = self.book.config.load();
            let (route, up) = self.route(&c.1.routing, c.0, &host, &head, &meta)?;
            (route, up, c.1.routing.limits.body_bytes)
        };
        let until = began + meta.deadline_ms.unwrap_or(u64::MAX / MS / 2).min(route.timeout_ms) * MS;
        let left = || until.saturating_sub(self.w.now());
        let input = self.w.within(left().min(BODY_WAIT), read_body(body, limit)).await;
        let input = input.unwrap_or(Err(Unread::Broken)).map_err(|e| match e {
            Unread::TooLarge => End(Code::TooLarge, "the body is too large", 0),
            Unread::Broken => End(Code::TooSlow, "the body did not come whole", 0),
        })?;
        strip(&mut head.headers);
        [header::CONTENT_LENGTH, header::EXPECT].iter().for_each(|n| {
            head.headers.remove(n);
        });
        let mut shot = Shot { head, meta, host, body: input.clone(), began, until };

        let (mut turn, prev) = match self.chains.clone().filter(|_| counted(&route, &shot.meta)) {
            Some(chains) => {
                let open = opening(&route, &shot.meta);
                let o = chains.open(open.clone(), until.min(self.w.now() + STORE_PATIENCE)).await.map_err(|r| match r {
                    Refusal::Spent => End(Code::BudgetSpent, "the budget is spent", 0),
                    Refusal::Unknown => End(Code::UnknownTurn, "no such turn", 0),
                    Refusal::Away => End(Code::StoreAway, "the stores cannot be asked", self.soon(&route)),
                })?;
                let each = self.tokens_per_event(&up.name).unwrap_or(1);
                if route.retained {
                    shot.body = prompt(&o.chain, &input);
                    name_parts(&mut shot.meta, &o.chain);
                }
                (Some(Opened { chains, open, each, done: false, passed: 0 }), o.chain.last().cloned())
            }
            None if route.retained => return Err(End(Code::StoreAway, "the stores cannot be asked", self.soon(&route))),
            None => (None, None),
        };

        let answer = self.send_on(&shot, &route, prev.as_deref()).await?;
        let (route, a) = answer;
        if let (Some(opened), Some(each)) = (&mut turn, self.tokens_per_event(&a.claim.to.service)) {
            opened.each = each;
        }
        let room = self.room(&a.claim.to.service);
        a.claim.read(&shot.meta.parts, room);
        let keep = route.retained.then(|| Turn {
            id: shot.meta.attempt.clone(),
            prev: shot.meta.prev.clone(),
            input,
            server: a.claim.to.server.clone(),
            tokens: shot.meta.prompt_tokens,
            retain_ms: route.retain_ms,
            ..Turn::default()
        });
        let streamed = route.mode == Mode::Stream && a.head.status.is_success();
        if !streamed {
            drop(turn.take());
        }
        Ok(self.pass(a, turn, keep, shot.until, streamed))
    }

    /// A configuration and a list are on hand.
    pub fn informed(&self) -> bool {
        self.book.config.load().0 > 0 && self.book.list.load().0 > 0
    }

    async fn news(&self) {
        loop {
            let l = self.book.moved.listen();
            if self.informed() {
                return;
            }
            l.await;
        }
    }

    /// The route and the service, both of one configuration.
    fn route(&self, r: &Routes, seq: u64, host: &str, head: &request::Parts, m: &RequestMeta) -> Result<(Route, Upstream), End> {
        if seq == 0 {
            return Err(End(Code::NotServing, "no configuration yet", 300));
        }
        let none = End(Code::UnknownRoute, "no such route", 0);
        let route = r.find(host, head.uri.path()).ok_or(none)?;
        let all: u64 = route.variants.iter().map(|v| v.1).sum();
        // A program stays with one variant, where its prompts are held.
        let key = if m.program.is_empty() { self.w.rand() } else { weigh(&m.program, &route.name) };
        let mut at = key % all.max(1);
        let name = route.variants.iter().find(|v| {
            let hit = at < v.1;
            at = at.saturating_sub(v.1);
            hit
        });
        let up = name.and_then(|v| r.upstreams.get(&v.0)).cloned().ok_or(End(Code::NoServer, "no such service", 300))?;
        Ok((route.clone(), up))
    }

    /// ms after which coming back helps, inside the route's aim.
    fn soon(&self, r: &Route) -> u64 {
        (r.target_ms / 4).clamp(20, 1_000)
    }

    /// None where the newest configuration does not name the service.
    fn tokens_per_event(&self, service: &str) -> Option<u64> {
        let c = self.book.config.load();
        let upstream = c.1.routing.upstreams.get(service)?;
        Some(upstream.engine.as_ref().map_or(1, |e| e.tokens_per_event.max(1)))
    }

    fn room(&self, service: &str) -> u64 {
        let c = self.book.config.load();
        c.1.routing.upstreams.get(service).and_then(|u| u.engine.as_ref()).map_or(0, |e| e.cache_tokens)
    }

    /// Sends it to one server after another until one answers; at most `max_tries` of them ever see a byte of it.
    async fn send_on(self: &Arc<Self>, s: &Shot, first: &Route, prev: Option<&Turn>) -> Result<(Route, Answer), End> {
        let (mut tried, mut sent, mut lost): (Vec<String>, u32, bool) = (vec![], 0, false);
        let mut last: Option<Answer> = None;
        loop {
            let (route, claim) = match self.seat(s, first, prev, &tried).await {
                Ok(x) => x,
                Err(e) => return last.map(|a| (first.clone(), a)).ok_or(if lost { self.gave_up(s) } else { e }),
            };
            let again = safe(route.mode) && sent + 1 < route.max_tries;
            let server = claim.to.server.clone();
            tried.push(server.clone());
            let got =
                if again { self.send_twice(s, &route, claim, &mut tried, &mut sent).await } else { self.send(s, claim, &route).await };
            sent += !got.nothing() as u32;
            let more = sent < route.max_tries && self.w.now() < s.until;
            match got {
                Sent::Answer(a) => {
                    let ill = a.head.status.is_server_error();
                    if !(ill && safe(route.mode) && more) {
                        return Ok((route, *a));
                    }
                    last = Some(*a);
                }
                // It may be chosen again by what holds now; where no time is left, that is told there.
                Sent::Withdrawn => tried.retain(|x| *x != server),
                Sent::NotRun | Sent::Unsent if more => {}
                Sent::NotRun | Sent::Unsent if lost => return Err(self.gave_up(s)),
                Sent::NotRun | Sent::Unsent => {
                    return last.map(|a| (route.clone(), a)).ok_or(End(Code::LineFull, "every server turned it away", self.soon(&route)));
                }
                Sent::Lost if safe(route.mode) && more => lost = true,
                Sent::Lost => return Err(self.gave_up(s)),
            }
        }
    }

    fn gave_up(&self, s: &Shot) -> End {
        if self.w.now() + MS >= s.until {
            self.counts.expired.fetch_add(1, SeqCst);
            return End(Code::Expired, "no answer by its deadline", 0);
        }
        End(Code::MayHaveRun, "its answer was lost", 0)
    }

    /// A place at a server, by the newest configuration and list at the moment it is taken.
    async fn seat(&self, s: &Shot, first: &Route, prev: Option<&Turn>, tried: &[String]) -> Result<(Route, Claim), End> {
        let patience = self.w.now() + first.target_ms.max(40) * MS * PLACE_PATIENCE / 100;
        loop {
            let now = self.w.now();
            let (route, up) = {
                let c = self.book.config.load();
                self.route(&c.1.routing, c.0, &s.host, &s.head, &s.meta)?
            };
            // What was sent as repeatable, or opened as a turn, is not sent again as anything else.
            if route.retained != first.retained || route.mode != first.mode {
                return Err(End(Code::NotServing, "the route has changed", 20));
            }
            if now >= s.until {
                return Err(End(Code::TooLate, "no time is left", self.soon(&route)));
            }
            let n = self.need(s, &route, &up, prev);
            let got = {
                let l = self.book.list.load();
                self.balance.pick(&self.w, &n, &l.1.servers, tried, |x| self.pool.has(x))
            };
            let due = match got {
                Ok(c) => return Ok((route, c)),
                Err(NoSeat::None) => return Err(End(Code::NoServer, "no server of the service may take it now", self.soon(&route))),
                Err(NoSeat::Full(due)) => due,
            };
            let end = patience.min(s.until);
            if now + due >= end || !self.balance.wait(&self.w, &n, end).await {
                let back = (due / MS).clamp(self.soon(&route) / 2, (route.target_ms / 2).max(20));
                return Err(End(Code::LineFull, "all places are taken", back));
            }
        }
    }

    fn need(&self, s: &Shot, r: &Route, up: &Upstream, prev: Option<&Turn>) -> Need {
        let fronts = self.fronts.load(SeqCst).max(1) as u32;
        Need {
            service: up.name.clone(),
            engine: up.engine.clone(),
            parts: s.meta.parts.clone(),
            prompt: s.meta.prompt_tokens,
            output: s.meta.max_output_tokens,
            prev: prev.map(|t| t.server.clone()).unwrap_or_default(),
            prev_tokens: prev.map_or(0, |t| t.tokens),
            site: self.site.clone(),
            target_us: r.target_ms.max(1) * MS,
            rank: (r.rank, s.began + s.meta.finish_ms.unwrap_or(r.timeout_ms) * MS),
            conns: (up.max_conns * 3 / 2 / fronts).max(2),
        }
    }

    /// 0 for the most urgent: by the route's rank, and by the time that its program has left.
    fn urgency(&self, s: &Shot, r: &Route, up: bool) -> Option<u8> {
        let hurry = s.meta.finish_ms.is_some_and(|f| f < 4 * r.target_ms.max(1));
        up.then(|| (2 + 3 * r.rank.min(2)).saturating_sub(hurry as u8).min(9))
    }

    /// A repeatable request to whose silence a second server is asked.
    async fn send_twice(self: &Arc<Self>, s: &Shot, r: &Route, c: Claim, tried: &mut Vec<String>, sent: &mut u32) -> Sent {
        let usual = self.balance.usual(&c.to.service);
        let pause = (3 * usual).max(r.target_ms * MS * 6 / 10).max(50 * MS);
        let mut one = std::pin::pin!(self.send(s, c, r));
        if let Some(x) = self.w.within(pause, one.as_mut()).await {
            return x;
        }
        let Ok((route, c)) = self.seat(s, r, None, tried).await else { return one.await };
        self.counts.second.fetch_add(1, SeqCst);
        tried.push(c.to.server.clone());
        *sent += 1;
        let mut two = std::pin::pin!(self.send(s, c, &route));
        // The first good answer of the two; a bad one leaves the other to be waited for.
        let (x, first) = async { (one.as_mut().await, true) }.or(async { (two.as_mut().await, false) }).await;
        match x {
            Sent::Answer(_) => x,
            _ if first => x.or(two.await),
            _ => x.or(one.await),
        }
    }

    async fn send(self: &Arc<Self>, s: &Shot, mut c: Claim, route: &Route) -> Sent {
        let left = s.until.saturating_sub(self.w.now());
        let got = self.w.within(left, self.exchange(s, &c, route)).await.unwrap_or(Err(Failed::Lost));
        let (r, link) = match got {
            Ok(x) => x,
            Err(Failed::Withdrawn) => {
                self.counts.withdrawn.fetch_add(1, SeqCst);
                return Sent::Withdrawn;
            }
            Err(Failed::Unsent) => {
                self.counts.unsent.fetch_add(1, SeqCst);
                c.failed();
                return Sent::Unsent;
            }
            Err(Failed::Lost) => {
                self.counts.lost.fetch_add(1, SeqCst);
                c.failed();
                return Sent::Lost;
            }
        };
        let meta = self.back.answer(r.status().as_u16(), r.headers());
        let (ok, code) = (r.status().is_success(), r.status());
        // On a connection of its own nothing late can arrive: there a "not run" needs no id.
        let ours = meta.attempt == s.meta.attempt || (meta.attempt.is_empty() && meta.not_run && link.fresh);
        let foreign = ok && (!meta.stamped || !coding_asked_for(&s.head.headers, r.headers()));
        if !ours || foreign || code.is_informational() {
            self.counts.strangers.fetch_add(1, SeqCst);
            c.failed();
            return Sent::Lost;
        }
        c.headed();
        meta.load.into_iter().for_each(|l| c.told(l));
        if meta.not_run || code == StatusCode::MISDIRECTED_REQUEST {
            self.counts.not_run.fetch_add(1, SeqCst);
            let full = matches!(code, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
            if full {
                c.full()
            } else {
                c.failed()
            }
            self.drain(&c.to.server, r.into_body(), link, meta);
            return Sent::NotRun;
        }
        // The promise of these is not the server's to make: only `not_run` says that.
        if matches!(code.as_u16(), 408 | 429 | 503) {
            c.failed();
            self.drain(&c.to.server, r.into_body(), link, meta);
            return Sent::Lost;
        }
        if code.is_server_error() {
            c.failed();
        }
        match self.whole(s, r, link, &meta, &c, route.mode == Mode::Stream).await {
            Some((head, body)) => Sent::Answer(Box::new(Answer { head, body, meta, claim: c })),
            None => {
                self.counts.broken.fetch_add(1, SeqCst);
                c.failed();
                Sent::Lost
            }
        }
    }

    /// Reads a small answer to its end; one whose end could not be told from a break is none.
    async fn whole(
        &self,
        s: &Shot,
        r: Response<Incoming>,
        link: Link,
        m: &AnswerMeta,
        c: &Claim,
        streamed: bool,
    ) -> Option<(response::Parts, Rest)> {
        let (head, body) = r.into_parts();
        let bare = s.head.method == Method::HEAD || matches!(head.status.as_u16(), 204 | 304);
        if !bare && !tells_its_end(&head.headers) {
            return None;
        }
        let small = body.size_hint().upper().is_some_and(|n| n <= ANSWER_WHOLE);
        if !bare && !small || streamed && head.status.is_success() {
            return Some((head, Rest::Coming(body, link)));
        }
        let left = s.until.saturating_sub(self.w.now());
        let b = self.w.within(left, body.collect()).await?.ok()?.to_bytes();
        self.give_back(&c.to.server, link, m);
        Some((head, Rest::Whole(b)))
    }

    /// Reads the rest of an answer that is not passed on, so that its connection can be used again.
    fn drain(self: &Arc<Self>, server: &str, b: Incoming, l: Link, m: AnswerMeta) {
        if m.closes || b.size_hint().upper().is_none_or(|n| n > ANSWER_WHOLE) {
            return;
        }
        let (me, server) = (self.clone(), server.to_string());
        self.w.go(async move {
            if let Some(Ok(_)) = me.w.within(SEC, b.collect()).await {
                me.give_back(&server, l, &m);
            }
        });
    }

    fn give_back(&self, server: &str, l: Link, m: &AnswerMeta) {
        if !m.closes {
            self.pool.keep(server, l, self.w.now(), m.idle_ms, (LINKS_KEPT / self.fronts.load(SeqCst).max(1)).max(4));
        }
    }

    async fn exchange(&self, s: &Shot, c: &Claim, route: &Route) -> Result<(Response<Incoming>, Link), Failed> {
        let mut stale = 0;
        loop {
            let mut link = match self.pool.take(&c.to.server, self.w.now(), stale > 0) {
                Some(l) => l,
                None => self.pool.dial(&self.w, &c.to, DIAL_WAIT).await.map_err(|_| Failed::Unsent)?,
            };
            let now = self.w.now();
            if now >= s.until || !self.still_holds(s, &c.to, route) {
                return Err(Failed::Withdrawn);
            }
            let fresh = link.fresh;
            self.counts.sent.fetch_add(1, SeqCst);
            match link.ask(&self.w, self.request(s, &c.to), s.until.min(now + SEND_WITHIN)).await {
                Ok(r) => return Ok((r, link)),
                Err(Failed::Unsent) if !fresh && stale < 3 => stale += 1,
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether the newest configuration and list would still let the request go to this server: a process may stand
    /// still, or wait for a connection, after it has chosen.
    fn still_holds(&self, s: &Shot, to: &Listed, route: &Route) -> bool {
        let config = self.book.config.load();
        let routed = config.1.routing.find(&s.host, s.head.uri.path()).is_some_and(|now| {
            let same_kind = now.mode == route.mode && now.retained == route.retained;
            same_kind && now.variants.iter().any(|(service, weight)| *service == to.service && *weight > 0)
        });
        routed && self.book.list.load().1.servers.iter().any(|l| l == to)
    }

    fn request(&self, s: &Shot, to: &Listed) -> Request<Full<Bytes>> {
        let mut q = Request::new(Full::new(s.body.clone()));
        *q.method_mut() = s.head.method.clone();
        *q.uri_mut() = s.head.uri.clone();
        *q.headers_mut() = s.head.headers.clone();
        let c = self.book.config.load();
        let r = c.1.routing.find(&s.host, s.head.uri.path());
        let engine = c.1.routing.upstreams.get(&to.service).is_some_and(|u| u.engine.is_some());
        let urgency = r.and_then(|r| self.urgency(s, r, engine));
        self.back.dress(q.headers_mut(), to, s.until.saturating_sub(self.w.now()) / MS, urgency);
        q
    }

    /// Passes an answer on. Its end is sent only once the turn is kept.
    fn pass(self: &Arc<Self>, a: Answer, turn: Option<Opened>, keep: Option<Turn>, until: u64, streamed: bool) -> Response<Body> {
        self.counts.passed.fetch_add(1, SeqCst);
        let mut head = a.head;
        strip(&mut head.headers);
        // The version is a connection's own: under an older one a body that breaks off would look complete.
        head.version = Version::HTTP_11;
        if keep.is_some() {
            // Whoever is told a length takes the last byte for the end, and the end waits until the turn is kept.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let (body, link) = match a.body {
            Rest::Whole(b) => return Response::from_parts(head, full(b)),
            Rest::Coming(b, l) => (b, l),
        };
        let hint = body.size_hint();
        let p = Passing {
            relay: self.clone(),
            body,
            hint,
            link: Some(link),
            meta: a.meta,
            claim: Some(a.claim),
            scan: streamed.then(|| Scan::new(keep.is_some())),
            turn,
            keep,
            until,
            end: Mutex::new(None),
            nap: Mutex::new(self.w.sleep(until.saturating_sub(self.w.now()))),
        };
        Response::from_parts(head, p.boxed())
    }

    /// Drops idle connections and records of servers that are gone.
    pub fn tidy(&self, fronts: usize) {
        self.fronts.store(fronts, SeqCst);
        let l = self.book.list.load();
        let listed = |s: &str| l.1.servers.iter().any(|x| x.server == s);
        self.pool.tidy(self.w.now(), listed);
        self.balance.tidy(listed);
    }
}

fn counted(r: &Route, m: &RequestMeta) -> bool {
    r.retained || (r.mode == Mode::Stream && m.budget.is_some() && !m.program.is_empty())
}

fn opening(r: &Route, m: &RequestMeta) -> OpenTurn {
    OpenTurn {
        turn: m.attempt.clone(),
        program: m.program.clone(),
        prev: if r.retained { m.prev.clone() } else { String::new() },
        max_output_tokens: m.max_output_tokens,
        budget: m.budget,
    }
}

/// The chain's inputs and outputs in turn, and the new input last.
fn prompt(chain: &[Arc<Turn>], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let n = chain.iter().map(|t| t.input.len() + t.output.len()).sum::<usize>() + input.len();
    let mut b = BytesMut::with_capacity(n);
    chain.iter().for_each(|t| {
        b.extend_from_slice(&t.input);
        b.extend_from_slice(&t.output);
    });
    b.extend_from_slice(input);
    b.freeze()
}

/// Where the caller names no parts of its prompt, the turns of its chain are the parts.
fn name_parts(m: &mut RequestMeta, chain: &[Arc<Turn>]) {
    if m.parts.is_empty() {
        let mut had = 0;
        m.parts = chain.iter().map(|t| (weigh(&t.id, "turn"), t.tokens.saturating_sub(std::mem::replace(&mut had, t.tokens)))).collect();
        m.parts.push((weigh(&m.attempt, "turn"), m.prompt_tokens.saturating_sub(had)));
    }
}

type Ending = Fut<'static, Result<(), Refusal>>;

/// The body of an answer on its way. It ends whole only if the server's did, and the turn is kept; else it breaks off.
struct Passing {
    relay: Arc<Relay>,
    body: Incoming,
    hint: SizeHint,
    link: Option<Link>,
    meta: AnswerMeta,
    claim: Option<Claim>,
    scan: Option<Scan>,
    turn: Option<Opened>,
    keep: Option<Turn>,
    until: u64,
    end: Mutex<Option<Ending>>,
    nap: Mutex<Fut<'static, ()>>,
}

impl Passing {
    fn broken<T>(&mut self, why: &'static str) -> Poll<Option<Result<T, io::Error>>> {
        self.relay.counts.broken.fetch_add(1, SeqCst);
        self.link = None;
        self.claim = None;
        Poll::Ready(Some(Err(io::Error::new(io::ErrorKind::UnexpectedEof, why))))
    }

    /// The server's part is over: its place and connection are free, and the turn is kept.
    fn over(&mut self) -> Result<(), &'static str> {
        let server = self.claim.take().map(|c| c.to.server.clone()).unwrap_or_default();
        if let Some(l) = self.link.take() {
            self.relay.give_back(&server, l, &self.meta);
        }
        if self.scan.as_ref().is_some_and(|s| !s.whole()) {
            return Err("it ends inside an event");
        }
        if let (Some(o), Some(mut t), Some(s)) = (&self.turn, self.keep.take(), &mut self.scan) {
            let used = s.events() * o.each;
            t.output = s.data().into();
            t.tokens += used;
            let (chains, open, until) = (o.chains.clone(), o.open.clone(), self.until);
            *self.end.get_mut().unwrap() = Some(Box::pin(async move { chains.finish(open, t, used, until).await }));
        }
        Ok(())
    }
}

impl hyper::body::Body for Passing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let me = &mut *self;
        loop {
            if me.nap.get_mut().unwrap().as_mut().poll(cx).is_ready() {
                return me.broken("its deadline is over");
            }
            if let Some(f) = me.end.get_mut().unwrap() {
                return match std::task::ready!(f.as_mut().poll(cx)) {
                    Ok(()) => {
                        *me.end.get_mut().unwrap() = None;
                        me.turn.iter_mut().for_each(|t| t.done = true);
                        Poll::Ready(None)
                    }
                    Err(_) => {
                        me.relay.counts.unkept.fetch_add(1, SeqCst);
                        me.broken("the turn could not be kept")
                    }
                };
            }
            match std::task::ready!(Pin::new(&mut me.body).poll_frame(cx)) {
                Some(Ok(f)) => {
                    let Ok(d) = f.into_data() else { continue };
                    if let Some(s) = &mut me.scan {
                        s.push(&d);
                        let n = s.events();
                        me.turn.iter_mut().for_each(|t| t.passed = n);
                    }
                    return Poll::Ready(Some(Ok(Frame::data(d))));
                }
                Some(Err(_)) => {
                    me.claim.iter().for_each(|c| c.failed());
                    return me.broken("the server broke off");
                }
                None if me.claim.is_none() => return Poll::Ready(None),
                None => {
                    if let Err(why) = me.over() {
                        return me.broken(why);
                    }
                    if me.end.get_mut().unwrap().is_none() {
                        return Poll::Ready(None);
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.scan.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.scan.is_some() { SizeHint::default() } else { self.hint }
    }
}
