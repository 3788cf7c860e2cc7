//! HTTP/1.1 with streamed bodies, based on hyper and the runtime's connections. Request targets are
//! preserved byte for byte; a request whose target cannot be preserved is rejected with status 400.
//!
//! - `tracker`: counts open connections and shuts a server down.
//! - `head_timeout`: limits how long receiving a request head may take.
//! - `body_reader`: reads complete bodies within limits.
//! - `answered_body`: shows when a request has been answered.
//! - `server`: accepts connections and serves requests.
//! - `client`: sends single requests, each on a separate connection.

mod answered_body;
mod body_reader;
mod client;
mod head_timeout;
mod server;
mod tracker;

pub use body_reader::{BodyReadError, BodyReader};
pub use client::fetch;
pub use server::{Handler, serve};
pub use tracker::ConnectionTracker;

use crate::constants::RESPONSE_PART_BYTES;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A response body, which may be streamed.
pub type Body = http_body_util::combinators::BoxBody<Bytes, io::Error>;

/// Creates a body from bytes that are completely available. They are handed to the connection in parts,
/// so that a client that does not read holds them back here.
pub fn full_in_parts(bytes: Bytes) -> Body {
    PartedBody { rest: bytes }
        .map_err(|never| match never {})
        .boxed()
}

/// Bytes that are handed over in parts.
struct PartedBody {
    rest: Bytes,
}

impl hyper::body::Body for PartedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(RESPONSE_PART_BYTES);
        let part = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// Creates a body from bytes that are completely available.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}
