//! The configuration in force: telling nodes whether a newer one may be, and handing documents out.
//!
//! [`orders`] decides operators' numbered orders by a majority, [`proved`] puts a configuration in
//! force under leases of the fronts, `read` reads the newest one back, `distribution` sends decided
//! documents to every node, and `late_documents` finds those that a core has missed.

mod distribution;
mod late_documents;
pub mod orders;
mod proved;
mod read;

pub use distribution::{Change, Notice, Outbox, push, push_departures, relay, tell_all_of};
pub use late_documents::find_late_documents;
pub use orders::{order, take_forwarded};
pub use proved::{Put, carry, gone, grants, lists, proved, put};
pub use read::newest;

use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DOCS;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::*;

/// Grants are written down before the disk is looked at, so that a put that follows cannot miss
/// one.
pub async fn newer(
    control: &Arc<Control>,
    have: Vec<(String, u64)>,
    front: bool,
    departed: u64,
    who: &str,
) -> PeerResponse {
    if front && !who.is_empty() {
        control
            .serving_leases
            .lock()
            .unwrap()
            .insert(who.into(), control.runtime.now() + SERVE_LEASE + 100 * MS);
    }
    let mut newest = vec![];
    for d in DOCS {
        // Where one core is believed, it tells of what it holds, which is decided; of anything
        // else, whoever asks could only find that it is not to be had yet.
        let on_disk = if control.options.tends {
            0
        } else {
            control.replica.peek(d).await.map_or(0, |record| record.seq)
        };
        newest.push((
            d.to_string(),
            on_disk.max(control.documents.document(d).version),
        ));
    }
    let l = control.documents.layout.load();
    let seat = l.1.core.current.contains(&control.storage.disk_id);
    let sure = seat
        && !control.storage.failed.load(SeqCst)
        && control.replica.peek("config").await.is_some()
        && !have.is_empty();
    // Where fronts hold leases, majorities of cores are asked; where they don't, one core is, and
    // must itself have a majority.
    let sure = sure && (!control.options.tends || control.has_quorum_contact());
    let behind = control.options.tends && late_documents::is_behind(control).await;
    PeerResponse::DocumentVersions {
        newest,
        authoritative: sure,
        behind,
        leaving: control.documents.leaving_servers_unless(departed),
    }
}

pub async fn doc(control: &Arc<Control>, name: &str) -> (PeerResponse, Vec<u8>) {
    if !DOCS.contains(&name) {
        return (PeerResponse::Rejected(Code::BadField), vec![]);
    }
    if control.settings.role != Role::Core || control.documents.layout.load().0 == 0 {
        return (PeerResponse::Rejected(Code::NotFounded), vec![]);
    }
    // A core whose answers are lost on their way would only take the key from the one that has a
    // majority.
    if !control.has_quorum_contact() {
        return (PeerResponse::Rejected(Code::NoMajority), vec![]);
    }
    match control.registers.newest(name, PEER_WAIT).await {
        Ok((seq, epoch, v)) => {
            if seq > 0 {
                control.documents.apply(name, seq, epoch, v.to_vec());
            }
            (
                PeerResponse::Document {
                    version: seq,
                    epoch,
                },
                v.to_vec(),
            )
        }
        Err(_) => (PeerResponse::Rejected(Code::NoMajority), vec![]),
    }
}
