//! HTTP/1.1 with buffered requests, based on async-h1 and the runtime's connections. Requests are read
//! completely before they are handled, and all waiting times and sizes are limited.
//!
//! - `tracker`: counts open connections and requests, and signals the shutdown of a server.
//! - `response`: JSON responses, error responses, and responses sent in chunks.
//! - `server`: accepts connections and serves requests.
//! - `client`: sends requests to other servers.

mod client;
mod response;
mod server;
mod tracker;

pub use client::{fetch, read_response_body, send_request};
pub use response::{error_response, json_response, ndjson_stream_response, with_send_deadline};
pub use server::{BufferedRequest, Handler, serve};
pub use tracker::ConnectionTracker;
