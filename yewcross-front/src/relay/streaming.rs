//! Forwarding of an answer, as it comes, to its end or its breaking off.

use super::Relay;
use super::attempt::{Answer, AnswerBody};
use super::headers::strip_hop_by_hop;
use super::turn::OpenedTurn;
use crate::balance::Claim;
use crate::pool::Link;
use crate::scan::Scan;
use bytes::Bytes;
use http::{Response, Version, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use yewcross::chain::{Refusal, Turn};
use yewcross::port::AnswerMeta;
use yewcross::web::{Body, full};
use yewcross::world::*;

impl Relay {
    /// Passes an answer on. Its end is sent only once the turn is kept.
    pub(super) fn forward(
        self: &Arc<Self>,
        a: Answer,
        turn: Option<OpenedTurn>,
        keep: Option<Turn>,
        until: u64,
        streamed: bool,
    ) -> Response<Body> {
        self.counts.passed.fetch_add(1, SeqCst);
        let mut head = a.head;
        strip_hop_by_hop(&mut head.headers);
        // The version is a connection's own: under an older one a body that breaks off would look complete.
        head.version = Version::HTTP_11;
        if keep.is_some() {
            // Whoever is told a length takes the last byte for the end, and the end waits until the turn is kept.
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
            end: Mutex::new(None),
            nap: Mutex::new(self.w.sleep(until.saturating_sub(self.w.now()))),
        };
        Response::from_parts(head, p.boxed())
    }
}

type Ending = Fut<'static, Result<(), Refusal>>;

/// The body of an answer on its way. It ends whole only if the server's did, and the turn is kept; else it breaks off.
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
    end: Mutex<Option<Ending>>,
    nap: Mutex<Fut<'static, ()>>,
}

impl ForwardedBody {
    fn broken<T>(&mut self, why: &'static str) -> Poll<Option<Result<T, io::Error>>> {
        self.relay.counts.broken.fetch_add(1, SeqCst);
        self.link = None;
        self.claim = None;
        Poll::Ready(Some(Err(io::Error::new(io::ErrorKind::UnexpectedEof, why))))
    }

    /// The server's part is over: its place and connection are free, and the turn is kept.
    fn over(&mut self) -> Result<(), &'static str> {
        let events = self.scan.as_ref().map_or(0, |s| s.events());
        self.claim.iter().for_each(|c| c.streamed(events));
        let server = self.claim.take().map(|c| c.to.server.clone()).unwrap_or_default();
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
            *self.end.get_mut().unwrap() = Some(Box::pin(async move { chains.finish(open, t, used, until).await }));
        }
        Ok(())
    }
}

impl hyper::body::Body for ForwardedBody {
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
                        me.turn.iter_mut().for_each(|t| t.events = n);
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
