//! All constants of the tier by subsystem, each with its unit and the reason for its value.

mod control;
mod http;
mod kv_cache;
mod membership;
mod overload;
mod registers;
mod requests;
mod routing;
mod servers;
mod sessions;
mod startup;
mod transport;
mod turn_log;

pub use control::*;
pub use http::*;
pub use kv_cache::*;
pub use membership::*;
pub use overload::*;
pub use registers::*;
pub use requests::*;
pub use routing::*;
pub use servers::*;
pub use sessions::*;
pub use startup::*;
pub use transport::*;
pub use turn_log::*;

/// One millisecond. Durations are in µs unless the name ends in `_MS` or `_S`.
pub const MS: u64 = 1_000;
/// One second in µs.
pub const SEC: u64 = 1_000_000;

/// Newest version of the frames between processes. Two processes use the older of their newest
/// versions, so that a tier can be upgraded node by node. Version 2 added deltas of register
/// changes and load reports sent as differences; version 3 added the identity of the disk that a
/// register request is meant for and that a response comes from; version 4 added histories of turns that
/// are returned in pages.
pub const WIRE_VERSION: u16 = 4;
/// Oldest frame version that is still accepted.
pub const WIRE_VERSION_MIN: u16 = 1;
/// First frame version with deltas.
pub const WIRE_VERSION_DELTAS: u16 = 2;
/// First frame version whose register messages name their disk.
pub const WIRE_VERSION_NAMED_DISKS: u16 = 3;
/// First frame version whose senders accept a part of a chain as the history of a turn.
pub const WIRE_VERSION_HISTORY_PAGES: u16 = 4;
/// Format version of the files in the data directory.
pub const DISK_FORMAT: u32 = 1;
