//! Bootstrap of the tier: the first layout and the empty configuration.
//!
//! No quorum is defined before the first layout, so a quorum cannot decide it. Instead, each core
//! disk that the layout names accepts one first layout and rejects any other. Only then is it decided
//! as version 1 of the document, followed by the empty configuration.
//!
//! - `first_start` records on the disk that the process was told of the first start of the tier.
//! - `automatic` bootstraps a tier that maintains itself, from the seeds.
//! - `manual` bootstraps a tier from the machines that an operator names.

mod automatic;
mod first_start;
mod manual;

pub use automatic::bootstrap_automatically;
pub use first_start::record_first_start;
pub use manual::bootstrap;

use super::LAYOUT;
use crate::{Control, config};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, SEC};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{ConfigDoc, Layout, PeerRequest, PeerResponse};
use yewcross_common::register::{Ballot, ValueUpdate};

/// Name of the document that holds the operators' configuration.
const CONFIG: &str = "config";

/// Version of the first layout and of the file that stores it.
const FIRST_VERSION: u64 = 1;

/// Persists and applies the first layout on this disk, as requested by the core process that
/// bootstraps the tier. A core disk votes only after this, or once a decided layout names it.
pub async fn accept_first_layout(control: &Arc<Control>, content: Vec<u8>) -> PeerResponse {
    let _guard = control.bootstrap_lock.lock().await;
    let is_acceptable = match serde_json::from_slice::<Layout>(&content) {
        Ok(layout) => may_accept(control, &layout).await,
        Err(_) => false,
    };
    if !is_acceptable {
        return PeerResponse::Rejected(Code::Conflict);
    }
    let adopted = control.documents.document(LAYOUT);
    if adopted.version > 0 {
        return if *adopted.content == content {
            PeerResponse::Ok
        } else {
            PeerResponse::Rejected(Code::Conflict)
        };
    }
    let text = String::from_utf8_lossy(&content);
    let file = serde_json::to_vec(&(FIRST_VERSION, Ballot::default(), text)).unwrap_or_default();
    let written = control
        .storage
        .persist("local", LAYOUT, FIRST_VERSION, &file)
        .await;
    if written.is_err() {
        return PeerResponse::Rejected(Code::StoreAway);
    }
    control.documents.apply_proposed_layout(content);
    control
        .replica
        .layout_version
        .fetch_max(FIRST_VERSION, SeqCst);
    PeerResponse::Ok
}

/// Whether this disk may accept a first layout, as far as its members are concerned. The request is
/// sent to an address, which another disk may have taken over: only a disk that the layout names may
/// accept it. A layout without some of the seeds needs a disk that took part in the first start: one
/// that has replaced a lost disk since could be counted in a second majority of the seeds.
async fn may_accept(control: &Control, layout: &Layout) -> bool {
    let disks = &layout.core.current;
    if !disks.contains(&control.storage.disk_id) {
        return false;
    }
    if !control.options.maintains_layout {
        return true;
    }
    let seed_count = control.settings.seeds.len();
    let has_all_seeds = seed_count > 0 && disks.len() >= seed_count;
    has_all_seeds
        || control.settings.bootstrap
        || first_start::recorded_seeds(control).await.is_some()
}

/// Requests a core process to accept the first layout; handled locally if `is_own`.
async fn send_first_layout(
    control: &Arc<Control>,
    peer: SocketAddr,
    is_own: bool,
    content: &[u8],
) -> PeerResponse {
    if is_own {
        return accept_first_layout(control, content.to_vec()).await;
    }
    control
        .peers
        .request(peer, &PeerRequest::Bootstrap, content, PEER_REQUEST_TIMEOUT)
        .await
        .map_or(PeerResponse::Rejected(Code::StoreAway), |(answer, _)| {
            answer
        })
}

/// Decides the first layout and the empty configuration if they are not decided yet. The lease holder
/// calls this before it acts, which also writes both documents under its own ballots. Returns whether
/// both are decided.
pub async fn decide_first_documents(control: &Arc<Control>) -> bool {
    let adopted = control.documents.document(LAYOUT);
    let write_layout = |version, _: &[u8]| {
        if version == 0 && adopted.version == FIRST_VERSION {
            ValueUpdate::Write(adopted.content.to_vec(), true)
        } else {
            ValueUpdate::Keep(version > 0)
        }
    };
    let layout_decided = control.registers.change(LAYOUT, SEC, write_layout).await;
    if layout_decided != Ok(true) {
        return false;
    }
    control.documents.confirm_layout();
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    let write_configuration = |version, _: &[u8]| {
        if version == 0 {
            ValueUpdate::Write(empty.clone(), true)
        } else {
            ValueUpdate::Keep(false)
        }
    };
    let was_written = control
        .registers
        .change(CONFIG, SEC, write_configuration)
        .await;
    if was_written == Ok(true) {
        control
            .runtime
            .log("tier bootstrapped: first layout and empty configuration decided");
        control
            .documents
            .apply(CONFIG, FIRST_VERSION, Ballot::default(), empty);
        config::publish_current(control, LAYOUT);
        config::publish_current(control, CONFIG);
    }
    was_written.is_ok()
}

/// Whether the documents applied here show that the first layout and configuration are decided. A
/// configuration or a second layout is published only after both. The first layout alone is no
/// evidence, since a disk applies it before it is decided.
fn is_bootstrapped(control: &Control) -> bool {
    control.documents.document(CONFIG).version > 0 || control.documents.layout.load().0 > 1
}

/// Whether the layout applied here is known to be decided.
pub fn is_decided(control: &Control) -> bool {
    is_bootstrapped(control) && !control.documents.has_proposed_layout()
}
