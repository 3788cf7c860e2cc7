//! The documents of the control plane: deciding configurations, distributing and reading documents.
//!
//! - [`orders`] submits operators' numbered orders to a majority of the core disks,
//!   [`order_decision`] computes the decision, and [`accepted_orders`] recognises orders that are
//!   sent again.
//! - [`mod@put`] decides versions that the tier numbers itself; `rollout` brings them into force
//!   under the serving leases of the fronts, and [`rollout_progress`] tracks how far a rollout has
//!   come.
//! - `distribution` sends decided documents to every node, `document_requests` handles requests
//!   about documents from other nodes, and `late_documents` fetches versions that a core has
//!   missed.
//! - `read` reads the newest configuration, and `decoding` decodes stored documents and reports
//!   unreadable ones as errors.

pub mod accepted_orders;
mod decoding;
mod distribution;
mod document_requests;
mod front_groups;
mod late_documents;
pub mod order_decision;
pub mod orders;
pub mod put;
mod read;
mod rollout;
pub mod rollout_progress;
mod serving_leases;

pub use decoding::{UnreadableDocument, decode_configuration, decode_server_list};
pub use distribution::{PendingPublications, publish, publish_current, publish_departures};
pub use front_groups::{find_unavailable_group, front_groups};
pub use late_documents::fetch_late_documents;
pub use orders::{decide_forwarded_order, submit_order};
pub use put::{PutError, put};
pub use read::read_newest_configuration;
pub use rollout::roll_out;

pub(crate) use distribution::DocumentChange;
pub(crate) use document_requests::{
    DocumentPoll, Publication, apply_document, apply_document_change, fetch_document,
    mark_servers_leaving, poll_documents, read_decided_document,
};
pub(crate) use rollout::record_in_force;
pub(crate) use serving_leases::collect_serving_leases;
