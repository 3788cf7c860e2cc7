//! Every constant of the tier, with its unit and its reason, by subsystem.

mod control;
mod http;
mod kv_cache;
mod membership;
mod registers;
mod requests;
mod routing;
mod servers;
mod sessions;
mod transport;
mod turn_log;

pub use control::*;
pub use http::*;
pub use kv_cache::*;
pub use membership::*;
pub use registers::*;
pub use requests::*;
pub use routing::*;
pub use servers::*;
pub use sessions::*;
pub use transport::*;
pub use turn_log::*;

pub const MS: u64 = 1_000;
pub const SEC: u64 = 1_000_000;

/// Versions of the frames between processes. Two speak the older of their newest, so that a tier
/// can be upgraded node by node. 2 added deltas of register changes and news by difference, 3
/// register requests and answers that name the disk they are meant for and come from.
pub const WIRE_VERSION: u16 = 3;
pub const WIRE_VERSION_MIN: u16 = 1;
pub const WIRE_VERSION_DELTAS: u16 = 2;
pub const WIRE_VERSION_NAMED_DISKS: u16 = 3;
/// Version of the files under the data folder.
pub const DISK_FORMAT: u32 = 1;
