//! The replica assignment ("layout"): which disks are core replicas (voters) and which are store
//! replicas.
//!
//! # Who may change it
//!
//! The layout is a document that the core replicas agree on. In a tier that maintains itself
//! (`Options::tends`) only the holder of the lease changes it:
//!
//! - [`bootstrap`](bootstrap_automatically) writes the first layout;
//! - [`maintain_replicas`] replaces lost disks, adds new ones and ends changes;
//! - [`retire`] marks a store machine as retired on an operator's order; [`maintain_replicas`] then
//!   moves its data away.
//!
//! In a tier that is maintained manually, operators bootstrap it ([`bootstrap`]) and start changes
//! at any core ([`begin`]); [`maintain_manual_layout`], on the lease holder, ends them.
//!
//! # What fences it
//!
//! - A planned step (begin, amend, end) takes effect only if, while the register decides it, the
//!   document still has the version that the step was planned on (a step of [`maintain_replicas`]
//!   that ends a change: the group still has the sets that it was planned on, see
//!   `ReplicaGroup::since`), this process still holds the lease under the term in which the step
//!   was planned, and the layout was not written under a later term (`Control::may_write`).
//! - An order ([`retire`], [`begin`]) is not planned beforehand: it is applied to whatever version
//!   the register finds, or rejected there.
//! - In a tier that maintains itself, only the lease holder proposes at all
//!   (`RegisterClient::set_proposal_permit`), and it acts only after it has taken the documents under new
//!   ballots, so that nothing an earlier holder has in flight can be accepted any more
//!   (`lease_holder`).
//! - A disk that has persisted a layout rejects requests by an older one: a process that missed a
//!   change cannot decide anything by the sets it knows.
//!
//! # How a change passes through joint groups
//!
//! 1. *Begin*: the new set becomes `ReplicaGroup::current` and the old one
//!    `ReplicaGroup::previous`. From here on every decision needs quorums of both.
//! 2. *Amend*, if needed: replicas lost meanwhile are replaced in `current`; `previous` stays.
//! 3. *Transfer*: each disk brings what it stores to its new replicas ([`anti_entropy`]) and reports
//!    how far it is ([`report`]).
//! 4. *End*: once enough disks have reported ([`planning::core_is_joint`],
//!    [`planning::store_may_end`]), `previous` is cleared.
//!
//! The core group and the store group change independently. [`planning`] holds all the decisions as
//! pure functions; the other modules gather its input and carry out its output.

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
    accept_first_layout, bootstrap, bootstrap_automatically, decide_first_documents,
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

    /// Version of the layout that wrote the group's sets.
    fn since(self, role: Role) -> u64 {
        self.layout.since(self.group(role), self.version)
    }
}

/// A layout that was just decided, as it is published.
struct DecidedLayout {
    version: u64,
    content: Vec<u8>,
}

/// Reads the newest layout under a majority and publishes it to every node.
async fn publish_newest(control: &Arc<Control>) {
    if !control.has_quorum_contact() {
        return;
    }
    if let Ok((version, epoch, content)) = control
        .registers
        .read_with_ballot(LAYOUT, PEER_REQUEST_TIMEOUT)
        .await
    {
        if control.options.tends {
            return config::publish(control, LAYOUT, version, content.to_vec());
        }
        let control_handle = control.clone();
        control.runtime.spawn(async move {
            config::roll_out(&control_handle, LAYOUT, version, epoch, &content).await;
        });
    }
}

/// Adopts a newer layout from any core process that has one. The disks of such a process reject all
/// requests by an older layout, reads of the layout included, so a process that missed a change
/// cannot read it from the disks whose votes it would need. Returns whether a newer one was found.
pub async fn catch_up(control: &Arc<Control>) -> bool {
    let known = control.documents.document(LAYOUT).version;
    let fetches: Vec<BoxFuture<'static, bool>> = control
        .members
        .nodes_of_role(Role::Core)
        .into_iter()
        .filter(|node| node.name != control.settings.name)
        .map(|node| {
            let control = control.clone();
            let fetch: BoxFuture<'static, bool> =
                Box::pin(async move { fetch_newer(&control, node.peer, known).await });
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
    control.documents.document(LAYOUT).version > known
}

/// Asks one core process for a layout newer than `known`. Returns whether one was adopted.
async fn fetch_newer(control: &Control, peer: std::net::SocketAddr, known: u64) -> bool {
    let request = PeerRequest::FetchDocument {
        name: LAYOUT.into(),
        newer_than: known,
    };
    match control
        .peers
        .request(peer, &request, &[], PEER_REQUEST_TIMEOUT)
        .await
    {
        Ok((
            PeerResponse::Document {
                version,
                ballot: epoch,
            },
            content,
        )) if version > known => control.documents.apply(LAYOUT, version, epoch, content),
        _ => false,
    }
}
