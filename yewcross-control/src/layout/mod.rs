//! The replica assignment ("layout"): which disks are core replicas (voters) and which are store
//! replicas.
//!
//! # Who may change it
//!
//! The layout is a document that the core replicas decide by majority. In a tier that maintains itself
//! (`Options::maintains_layout`) only the lease holder changes it:
//!
//! - [`bootstrap`](bootstrap_automatically) writes the first layout;
//! - [`maintain_replicas`] replaces lost disks, adds new ones and ends changes;
//! - [`retire`] marks a store machine as retired on an operator's order; [`maintain_replicas`] then
//!   transfers its data to other machines.
//!
//! In a tier that is maintained manually, operators bootstrap it ([`bootstrap`]) and start changes
//! at any core ([`begin`]); [`maintain_manual_layout`], on the lease holder, ends them.
//!
//! # Fencing
//!
//! - A planned step (begin, amend, end) takes effect only if three conditions hold while the register
//!   decides it. The document still has the version on which the step was planned; for a step of
//!   [`maintain_replicas`] that ends a change, the group still has the sets on which it was planned
//!   (`ReplicaGroup::since`). This process still holds the lease under the term in which the step was
//!   planned. The layout was not written under a later term (`Control::may_write`).
//! - An order ([`retire`], [`begin`]) is not planned in advance: it is applied to the version that the
//!   register holds, or rejected there.
//! - In a tier that maintains itself, only the lease holder may propose
//!   (`RegisterClient::set_proposal_permit`). It acts only after it has written the documents under
//!   new ballots, so that the replicas reject everything that an earlier holder still has in flight
//!   (`lease_holder`).
//! - A disk that has persisted a layout rejects requests made under an older one, so a process that
//!   missed a change cannot decide anything with the outdated sets.
//!
//! # Changes through joint groups
//!
//! 1. *Begin*: the new set becomes `ReplicaGroup::current` and the old one
//!    `ReplicaGroup::previous`. From then on every decision needs quorums of both.
//! 2. *Amend*, if needed: replicas lost in the meantime are replaced in `current`; `previous` is
//!    unchanged.
//! 3. *Transfer*: each disk replicates its data to the new replicas ([`anti_entropy`]) and reports
//!    its progress ([`report`]).
//! 4. *End*: once enough disks have reported ([`planning::core_is_joint`],
//!    [`planning::store_may_end`]), `previous` is cleared.
//!
//! The core group and the store group change independently. [`planning`] contains all decisions as
//! pure functions; the other modules collect its input and execute its output.

mod anti_entropy;
mod bootstrap;
mod change;
mod error;
mod finish;
mod manual;
pub mod planning;
mod report;
mod retire;

pub use anti_entropy::run as anti_entropy;
pub use bootstrap::{
    accept_first_layout, bootstrap, bootstrap_automatically, decide_first_documents, is_decided,
    record_first_start,
};
pub use change::maintain_replicas;
pub use error::{DiskChangeError, LayoutError};
pub use manual::{DiskChange, ReplicaProgress, begin, maintain_manual_layout, progress, propose};
pub use report::report;
pub use retire::{retire, retire_forwarded, retirement_state};

use crate::{Control, config};
use std::sync::Arc;
use yewcross_common::constants::PEER_REQUEST_TIMEOUT;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, PeerRequest, PeerResponse, ReplicaGroup};
use yewcross_common::runtime::BoxFuture;

/// Name of the document.
const LAYOUT: &str = "layout";

/// A layout with its version.
#[derive(Clone, Copy)]
struct VersionedLayout<'a> {
    version: u64,
    layout: &'a Layout,
}

impl<'a> VersionedLayout<'a> {
    fn group(self, role: Role) -> &'a ReplicaGroup {
        planning::group(self.layout, role)
    }

    /// Version of the layout that last changed the group's sets.
    fn since(self, role: Role) -> u64 {
        self.layout.layout_number_of(self.group(role), self.version)
    }
}

/// A newly decided layout, ready to be published.
struct DecidedLayout {
    version: u64,
    content: Vec<u8>,
}

/// Reads the newest layout from a majority of the core replicas and publishes it to every node.
async fn publish_newest(control: &Arc<Control>) {
    if !control.has_quorum_contact() {
        return;
    }
    if let Ok((version, ballot, content)) = control
        .registers
        .read_with_ballot(LAYOUT, PEER_REQUEST_TIMEOUT)
        .await
    {
        if control.options.maintains_layout {
            return config::publish(control, LAYOUT, version, content.to_vec());
        }
        let control_handle = control.clone();
        control.runtime.spawn(async move {
            config::roll_out(&control_handle, LAYOUT, version, ballot, &content).await;
        });
    }
}

/// Fetches and applies a newer layout from any core process that has one. Disks that hold a newer
/// layout reject all requests made under an older one, including reads of the layout, so a process
/// that missed a change cannot read the layout from the disks whose votes it would need. Returns
/// whether a newer layout was applied.
pub async fn catch_up(control: &Arc<Control>) -> bool {
    let known_version = control.documents.document(LAYOUT).version;
    let fetches: Vec<BoxFuture<'static, bool>> = control
        .members
        .nodes_of_role(Role::Core)
        .into_iter()
        .filter(|node| node.name != control.settings.name)
        .map(|node| {
            let control = control.clone();
            let fetch: BoxFuture<'static, bool> =
                Box::pin(async move { fetch_newer(&control, node.peer, known_version).await });
            fetch
        })
        .collect();
    let pending = fetches.len();
    let fetched = control.runtime.spawn_all(fetches);
    for _ in 0..pending {
        if fetched.recv().await == Ok(true) {
            break;
        }
    }
    control.documents.document(LAYOUT).version > known_version
}

/// Fetches a layout newer than `known_version` from one core process. Returns whether one was applied.
async fn fetch_newer(control: &Control, peer: std::net::SocketAddr, known_version: u64) -> bool {
    let request = PeerRequest::FetchDocument {
        name: LAYOUT.into(),
        newer_than: known_version,
    };
    match control
        .peers
        .request(peer, &request, &[], PEER_REQUEST_TIMEOUT)
        .await
    {
        Ok((PeerResponse::Document { version, ballot }, content)) if version > known_version => {
            control.documents.apply(LAYOUT, version, ballot, content)
        }
        _ => false,
    }
}
