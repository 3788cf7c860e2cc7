//! Requests and responses between the processes of the tier.
//!
//! - `frame`: the bytes of one message, a Cap'n Proto `Frame`.
//! - `announced_size`: the size of a frame, before it is read.
//! - `connection`: one TCP connection of a client, shared by concurrent requests.
//! - `client`: `PeerClient` sends requests over one connection per peer.
//! - `server`: accepts connections and passes requests to a `RequestHandler`.
//! - `request_memory`: memory that is reserved for a request and its response.
//! - `metrics`: counters of messages and bytes.
//!
//! A request is sent at most once; the caller decides by the `SendError` whether to retry it.

/// The accessors of `Frame`, generated from `schema/frame.capnp` by the Cap'n Proto compiler with
/// its Rust plugin (`capnp compile -orust schema/frame.capnp`; the header of the file names the
/// versions used). The file is checked in so that a build does not need the schema compiler. After a
/// change of the schema it must be generated again; the numbers of existing fields must not change.
#[allow(clippy::all, dead_code, unused)]
#[rustfmt::skip]
mod frame_capnp;

mod announced_size;
mod client;
mod connection;
mod frame;
mod metrics;
mod request_memory;
mod server;

pub use client::{PeerClient, SendError};
pub use frame::{Envelope, encode_frame};
pub use metrics::TransportMetrics;
pub use server::{Reply, RequestHandler};
