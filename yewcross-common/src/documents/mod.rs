//! The documents that every node holds a copy of: configuration, layout of replicas, list of
//! servers.
//!
//! [`cache`] holds the newest decided version of each [`DocumentName`], [`watcher`] keeps it new by
//! polling core nodes, [`delta`] encodes a version as what changed against another, and
//! [`departures`] remembers servers that are leaving, which needs no agreement.

pub mod cache;
pub mod delta;
pub mod departures;
mod name;
pub mod watcher;

pub use name::DocumentName;
