//! Messages between the processes of the tier, and the documents that they store, by subsystem.
//!
//! The serialised names are part of the wire and disk formats: a renamed field or variant keeps its
//! original name by a `rename` attribute.

mod checkpoint;
mod config_document;
mod layout;
pub mod lease;
mod load_report;
pub mod operator_orders;
mod peer;
mod server_list;
mod session;

pub use checkpoint::CheckpointKey;
pub use config_document::{AcceptedOrder, ConfigDoc};
pub use layout::{Layout, ReplicaGroup};
pub use load_report::LoadReport;
pub use peer::{PeerRequest, PeerResponse};
pub use server_list::{ListedServer, ServerList};
pub use session::{BeginTurn, CachedPrefix, CommitTurn, SessionCacheState, TurnBegun};
