//! HTTP/1.1 with streamed bodies, based on hyper and the runtime's connections. Request targets are
//! preserved byte for byte; a request whose target cannot be preserved is rejected with status 400.
//!
//! - `tracker`: counts open connections and shuts a server down.
//! - `head_timeout`: limits how long receiving a request head may take.
//! - `server`: accepts connections and serves requests.
//! - `client`: sends single requests, each on a separate connection.

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

/// A response body, which may be streamed.
pub type Body = http_body_util::combinators::BoxBody<Bytes, io::Error>;

/// Creates a body from bytes that are completely available.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}
