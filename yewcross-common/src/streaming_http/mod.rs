//! HTTP/1.1 by hyper over the runtime's connections, with bodies that are streamed. Targets pass
//! byte for byte; a request whose target could not is answered by 400.
//!
//! - `tracker`: counts open connections and brings a server to an end.
//! - `head_timeout`: limits how long a request's head may take.
//! - `server`: accepts connections and serves requests.
//! - `client`: single requests on connections of their own.

mod client;
mod head_timeout;
mod server;
mod tracker;

pub use client::fetch;
pub use server::{BodyReadError, Handler, read_body, serve};
pub use tracker::ConnectionTracker;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use std::io;

/// The body of a response.
pub type Body = http_body_util::combinators::BoxBody<Bytes, io::Error>;

/// A body whose bytes are all known.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}
