//! Forwarding of an answer, as it comes, to its end or its breaking off.

use super::Relay;
use super::attempt::{Answer, AnswerBody};
use super::headers::strip_hop_by_hop;
use super::resume::{Rest, Resumption};
use super::turn::OpenedTurn;
use crate::balance::Claim;
use crate::pool::Link;
use crate::scan::Scan;
use bytes::{Bytes, BytesMut};
use http::{Response, Version, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use yewcross_common::adapter::AnswerMeta;
use yewcross_common::runtime::*;
use yewcross_common::streaming_http::{Body, full};
use yewcross_common::turn_log::{OpenTurnError, Turn};

impl Relay {
    /// Passes an answer on. Its end is sent only once the turn is kept.
    pub(super) fn forward(
        self: &Arc<Self>,
        a: Answer,
        turn: Option<OpenedTurn>,
        keep: Option<Turn>,
        until: u64,
        streamed: bool,
        resumption: Option<Resumption>,
    ) -> Response<Body> {
        self.counts.passed.fetch_add(1, SeqCst);
        let stalled_after = resumption.as_ref().and_then(|r| r.stalled_after(self, &a));
        let mut head = a.head;
        strip_hop_by_hop(&mut head.headers);
        // The version is a connection's own: under an older one a body that breaks off would look
        // complete.
        head.version = Version::HTTP_11;
        if keep.is_some() {
            // Whoever is told a length takes the last byte for the end, and the end waits until the
            // turn is kept.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let (body, link) = match a.body {
            AnswerBody::Whole(b) => return Response::from_parts(head, full(b)),
            AnswerBody::Coming(b, l) => (b, l),
        };
        let hint = body.size_hint();
        let p = ForwardedBody {
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
            resumption,
            held: BytesMut::new(),
            rest: Mutex::new(None),
            stall: stalled_after.map(|us| Mutex::new(Stall::new(&self.runtime, us))),
            end: Mutex::new(None),
            nap: Mutex::new(self.runtime.sleep(until.saturating_sub(self.runtime.now()))),
        };
        Response::from_parts(head, p.boxed())
    }
}

type Ending = BoxFuture<'static, Result<(), OpenTurnError>>;

/// Watches for a pause that is too long. One timer runs at a time, whatever comes.
struct Stall {
    after: u64,
    heard_at: u64,
    timer: BoxFuture<'static, ()>,
}

impl Stall {
    fn new(w: &Runtime, after: u64) -> Stall {
        Stall {
            after,
            heard_at: w.now(),
            timer: w.sleep(after),
        }
    }

    /// Whether nothing was heard for too long; asks to be polled again otherwise.
    fn is_over(&mut self, w: &Runtime, cx: &mut Context<'_>) -> bool {
        while self.timer.as_mut().poll(cx).is_ready() {
            let due = self.heard_at + self.after;
            if w.now() >= due {
                self.heard_at = w.now();
                self.timer = w.sleep(self.after);
                return true;
            }
            self.timer = w.sleep(due - w.now());
        }
        false
    }
}

/// The body of an answer on its way. It ends whole only if the server's did, and the turn is kept;
/// else it breaks off.
pub(super) struct ForwardedBody {
    relay: Arc<Relay>,
    body: Incoming,
    hint: SizeHint,
    link: Option<Link>,
    meta: AnswerMeta,
    claim: Option<Claim>,
    scan: Option<Scan>,
    turn: Option<OpenedTurn>,
    keep: Option<Turn>,
    until: u64,
    resumption: Option<Resumption>,
    /// Of a stream that may be resumed: bytes of an event that is not whole yet. They are passed on
    /// with its end.
    held: BytesMut,
    /// The rest of a stream that is being taken up elsewhere.
    rest: Mutex<Option<Rest>>,
    stall: Option<Mutex<Stall>>,
    end: Mutex<Option<Ending>>,
    nap: Mutex<BoxFuture<'static, ()>>,
}

impl ForwardedBody {
    fn broken<T>(&mut self, why: &'static str) -> Poll<Option<Result<T, io::Error>>> {
        self.relay.counts.broken.fetch_add(1, SeqCst);
        self.link = None;
        self.claim = None;
        Poll::Ready(Some(Err(io::Error::new(io::ErrorKind::UnexpectedEof, why))))
    }

    /// Begins to take the stream up elsewhere, where that may be done. What was held back of a
    /// broken event goes.
    fn take_up(&mut self) -> bool {
        let last_id = self
            .scan
            .as_ref()
            .and_then(|s| s.last_id())
            .map(|id| id.to_vec());
        let rest = match (&mut self.resumption, last_id) {
            (Some(resumption), Some(id)) => resumption.begin(&self.relay, &id),
            _ => None,
        };
        let is_begun = rest.is_some();
        if is_begun {
            self.claim.iter().for_each(|c| c.failed());
            (self.link, self.claim) = (None, None);
            self.held.clear();
            self.scan.iter_mut().for_each(|s| s.forget_event());
            *self.rest.get_mut().unwrap() = rest;
        }
        is_begun
    }

    /// Goes on with what another server sends.
    fn go_on(&mut self, answer: Answer) {
        let AnswerBody::Coming(body, link) = answer.body else {
            return;
        };
        (self.body, self.link, self.meta, self.claim) =
            (body, Some(link), answer.meta, Some(answer.claim));
        let now = self.relay.runtime.now();
        self.stall
            .iter_mut()
            .for_each(|s| s.get_mut().unwrap().heard_at = now);
    }

    /// What may be passed on of a piece: of a stream that may be resumed, whole events alone.
    fn ready_part(&mut self, piece: Bytes) -> Bytes {
        let Some(scan) = &mut self.scan else {
            return piece;
        };
        scan.push(&piece);
        let (events, whole) = (scan.events(), scan.whole_bytes());
        self.turn.iter_mut().for_each(|t| t.events = events);
        if self.resumption.is_none() {
            return piece;
        }
        let now = self.relay.runtime.now();
        self.stall
            .iter_mut()
            .for_each(|s| s.get_mut().unwrap().heard_at = now);
        if whole == 0 {
            self.held.extend_from_slice(&piece);
            return Bytes::new();
        }
        let mut ready = std::mem::take(&mut self.held);
        self.held.extend_from_slice(&piece[whole..]);
        if ready.is_empty() {
            return piece.slice(..whole);
        }
        ready.extend_from_slice(&piece[..whole]);
        ready.freeze()
    }

    /// The server's part is over: its place and connection are free, and the turn is kept.
    fn over(&mut self) -> Result<(), &'static str> {
        let events = self.scan.as_ref().map_or(0, |s| s.events());
        self.claim.iter().for_each(|c| c.streamed(events));
        let server = self
            .claim
            .take()
            .map(|c| c.to.server.clone())
            .unwrap_or_default();
        if let Some(l) = self.link.take() {
            self.relay.give_back(&server, l, &self.meta);
        }
        if self.scan.as_ref().is_some_and(|s| !s.whole()) {
            return Err("it ends inside an event");
        }
        if let (Some(o), Some(mut t), Some(s)) = (&self.turn, self.keep.take(), &mut self.scan) {
            let used = s.events() * o.tokens_per_event;
            t.output = s.data().into();
            t.tokens += used;
            let (chains, open, until) = (o.chains.clone(), o.open.clone(), self.until);
            *self.end.get_mut().unwrap() = Some(Box::pin(async move {
                chains.finish(open, t, used, until).await
            }));
        }
        Ok(())
    }
}

impl hyper::body::Body for ForwardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
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
            if let Some(rest) = me.rest.get_mut().unwrap() {
                let answer = std::task::ready!(rest.as_mut().poll(cx));
                *me.rest.get_mut().unwrap() = None;
                match answer {
                    Some(answer) => me.go_on(answer),
                    None if me.take_up() => {}
                    None => {
                        return me.broken("the server broke off, and no other took the stream up");
                    }
                }
                continue;
            }
            let polled = Pin::new(&mut me.body).poll_frame(cx);
            if polled.is_pending() {
                let (stall, w) = (&mut me.stall, &me.relay.runtime);
                let is_stalled = stall
                    .as_mut()
                    .is_some_and(|s| s.get_mut().unwrap().is_over(w, cx));
                if is_stalled && me.take_up() {
                    continue;
                }
            }
            match std::task::ready!(polled) {
                Some(Ok(f)) => {
                    let Ok(piece) = f.into_data() else { continue };
                    let ready = me.ready_part(piece);
                    if me
                        .scan
                        .as_ref()
                        .is_some_and(|s| me.resumption.is_some() && !s.ids_rise())
                    {
                        return me.broken("it goes back in its events");
                    }
                    if ready.is_empty() {
                        continue;
                    }
                    return Poll::Ready(Some(Ok(Frame::data(ready))));
                }
                Some(Err(_)) if me.take_up() => {}
                Some(Err(_)) => {
                    me.claim.iter().for_each(|c| c.failed());
                    return me.broken("the server broke off");
                }
                None if me.claim.is_none() => return Poll::Ready(None),
                None if !me.held.is_empty() && me.scan.as_ref().is_some_and(|s| s.whole()) => {
                    return Poll::Ready(Some(Ok(Frame::data(
                        std::mem::take(&mut me.held).freeze(),
                    ))));
                }
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
        if self.scan.is_some() {
            SizeHint::default()
        } else {
            self.hint
        }
    }
}
