//! HTTP/1.1 with streamed bodies, based on hyper and the runtime's connections. Request targets are
//! preserved byte for byte; a request whose target cannot be preserved is rejected with status 400.
//!
//! - `tracker`: counts open connections and shuts a server down.
//! - `head_timeout`: limits how long receiving a request head may take.
//! - `body_reader`: reads complete bodies within limits.
//! - `answered_body`: shows when a request has been answered.
//! - `parted_body`: hands available bytes to a connection in parts.
//! - `server`: accepts connections and serves requests.
//! - `client`: sends single requests, each on a separate connection.

mod answered_body;
mod body_reader;
mod client;
mod head_timeout;
mod parted_body;
mod server;
mod tracker;

pub use body_reader::{BodyReadError, BodyReader};
pub use client::fetch;
pub use parted_body::PartedBody;
pub use server::{Handler, serve};
pub use tracker::ConnectionTracker;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use std::io;

/// A response body, which may be streamed.
pub type Body = http_body_util::combinators::BoxBody<Bytes, io::Error>;

/// Creates a body from bytes that are completely available. They are handed to the connection in parts,
/// so that a client that does not read holds them back here.
pub fn full_in_parts(bytes: Bytes) -> Body {
    PartedBody::from(bytes)
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a body from bytes that are completely available.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}
