//! Requests and responses between the processes of the tier.
//!
//! - `frame`: the bytes of one message, a Cap'n Proto `Frame`.
//! - `connection`: one TCP connection of a client, shared by its concurrent requests.
//! - `client`: `PeerClient` sends requests and keeps one connection for each peer.
//! - `server`: accepts connections and answers requests by a `RequestHandler`.
//! - `metrics`: counts of messages and bytes.
//!
//! A request is sent once at most; whether to retry is for the caller to decide, by `SendError`.

/// The accessors of `Frame`, generated from `schema/frame.capnp` by the Cap'n Proto compiler with
/// its Rust plugin (`capnp compile -orust schema/frame.capnp`; the versions used stand at the top
/// of the file). It is checked in so that a build needs no compiler of that schema; a change of the
/// schema needs the file to be generated again, and must keep to the schema's numbered fields.
#[allow(clippy::all, dead_code, unused)]
#[rustfmt::skip]
mod frame_capnp;

mod client;
mod connection;
mod frame;
mod metrics;
mod server;

pub use client::{PeerClient, SendError};
pub use frame::{Envelope, encode_frame};
pub use metrics::TransportMetrics;
pub use server::{Reply, RequestHandler};
