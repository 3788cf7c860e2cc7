//! The documents that are replicated to every node: configuration, replica layout, and server list.
//!
//! [`cache`] holds the newest decided version of each [`DocumentName`], [`watcher`] keeps it up to
//! date by polling core nodes, [`delta`] encodes the difference between two versions, and
//! [`departures`] records servers that are leaving, which needs no consensus.

pub mod cache;
pub mod delta;
pub mod departures;
mod name;
pub mod watcher;

pub use name::DocumentName;
