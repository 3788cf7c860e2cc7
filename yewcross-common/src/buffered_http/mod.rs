//! HTTP/1.1 by async-h1 over the runtime's connections. Requests are read completely before they are
//! handled, and every wait and size is bounded.
//!
//! - `tracker`: counts open connections and brings a server to an end.
//! - `response`: responses as JSON, rejections, and bodies sent chunk by chunk.
//! - `server`: accepts connections and serves requests.
//! - `client`: requests to other servers.

mod client;
mod response;
mod server;
mod tracker;

pub use client::{fetch, read_response_body, send_request};
pub use response::{error_response, json_response, ndjson_stream_response, with_send_deadline};
pub use server::{BufferedRequest, Handler, serve};
pub use tracker::ConnectionTracker;
