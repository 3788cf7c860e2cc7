//! A response body that shows when its request has been answered.

use super::Body;
use crate::constants::WRITE_PART_BYTES;
use crate::overload::WorkingGuard;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::{Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a response whose request counts as being answered until it is sent.
pub(super) struct AnsweredBody {
    body: Body,
    _working: WorkingGuard,
}

impl AnsweredBody {
    /// Keeps the guard until the body is sent. A short body is handed over at once and needs none.
    pub(super) fn guarded(body: Body, working: WorkingGuard) -> Body {
        let is_short = body
            .size_hint()
            .exact()
            .is_some_and(|bytes| bytes <= WRITE_PART_BYTES as u64);
        if is_short {
            return body;
        }
        let answered = AnsweredBody {
            body,
            _working: working,
        };
        answered.boxed()
    }
}

impl hyper::body::Body for AnsweredBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
