//! Handlers of document requests from other nodes: polls, reads and publications.

use super::distribution::{Announcement, DocumentChange, relay_announcement};
use super::{late_documents, serving_leases};
use crate::{Control, layout};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::PEER_REQUEST_TIMEOUT;
use yewcross_common::documents::cache::DOCUMENT_NAMES;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::PeerResponse;
use yewcross_common::register::Ballot;

/// A node's poll for newer document versions.
pub(crate) struct DocumentPoll<'a> {
    /// The version that the poller holds of each document.
    pub(crate) held_versions: Vec<(String, u64)>,
    pub(crate) is_front: bool,
    /// Digest of the poller's set of leaving servers.
    pub(crate) leaving_digest: u64,
    /// Node name of the poller.
    pub(crate) poller_name: &'a str,
}

/// A received publication of a document version, to be applied locally and relayed.
pub(crate) struct Publication {
    pub(crate) name: String,
    pub(crate) version: u64,
    pub(crate) ballot: Ballot,
    /// The nodes that the relaying is divided among.
    pub(crate) relays: Vec<String>,
}

/// Reports the newest version of each document held here, and grants a polling front its serving
/// lease.
///
/// The lease is granted before the disk is read, so that a put that the read does not see finds the
/// lease when it collects the leases.
pub(crate) async fn poll_documents(control: &Arc<Control>, poll: DocumentPoll<'_>) -> PeerResponse {
    if poll.is_front && !poll.poller_name.is_empty() {
        serving_leases::grant(control, poll.poller_name);
    }
    let mut newest = vec![];
    for name in DOCUMENT_NAMES {
        let on_disk = version_on_disk(control, name).await;
        let applied = control.documents.document(name).version;
        newest.push((name.to_string(), on_disk.max(applied)));
    }
    let authoritative = is_authoritative(control, &poll.held_versions).await;
    let behind = control.options.maintains_layout && late_documents::is_behind(control).await;
    PeerResponse::DocumentVersions {
        newest,
        authoritative,
        behind,
        leaving: control
            .documents
            .leaving_servers_unless(poll.leaving_digest),
    }
}

/// The newest version of a document on this disk. Returns 0 if pollers rely on a single core's
/// response: only decided versions may be reported then, and a version on disk may be undecided.
async fn version_on_disk(control: &Control, name: &str) -> u64 {
    if control.options.maintains_layout {
        return 0;
    }
    control
        .replica
        .read_record(name)
        .await
        .map_or(0, |record| record.seq)
}

/// Whether the poller may rely on this core's response for its configuration. Fronts that hold
/// serving leases poll a majority of the cores; without leases a single core is polled, which must
/// itself be in contact with a majority.
async fn is_authoritative(control: &Arc<Control>, held_versions: &[(String, u64)]) -> bool {
    let layout = control.documents.layout.load();
    let is_core_replica = layout.1.core.current.contains(&control.storage.disk_id);
    is_core_replica
        && !control.storage.failed.load(SeqCst)
        && control.replica.read_record("config").await.is_some()
        && !held_versions.is_empty()
        && (!control.options.maintains_layout || control.has_quorum_contact())
}

/// Returns the applied version of a document if it is newer than `newer_than`; otherwise the newest
/// decided version, if this node may read it.
pub(crate) async fn fetch_document(
    control: &Arc<Control>,
    name: &str,
    newer_than: u64,
) -> (PeerResponse, Vec<u8>) {
    let document = control.documents.document(name);
    if document.version > newer_than && may_send_applied(control, name) {
        let response = PeerResponse::Document {
            version: document.version,
            ballot: document.ballot,
        };
        return (response, document.content.to_vec());
    }
    if control.options.maintains_layout {
        return rejection(Code::NoMajority);
    }
    read_decided_document(control, name).await
}

/// Whether other nodes may receive the version of a document that is applied here. A first layout
/// that this disk has accepted is a proposal until it is decided; a node that adopted it from here
/// would count as one that has accepted it.
fn may_send_applied(control: &Control, name: &str) -> bool {
    !control.options.maintains_layout
        || control.has_quorum_contact() && (name != "layout" || layout::is_decided(control))
}

/// Reads the newest decided version of a document from a majority of the core disks.
pub(crate) async fn read_decided_document(
    control: &Arc<Control>,
    name: &str,
) -> (PeerResponse, Vec<u8>) {
    if !DOCUMENT_NAMES.contains(&name) {
        return rejection(Code::BadField);
    }
    if control.settings.role != Role::Core || control.documents.layout.load().0 == 0 {
        return rejection(Code::NotFounded);
    }
    // A core whose messages are lost in one direction must not prepare ballots: they would only
    // outbid the proposer that reaches a majority.
    if !control.has_quorum_contact() {
        return rejection(Code::NoMajority);
    }
    let Ok((version, ballot, content)) = control
        .registers
        .read_newest(name, PEER_REQUEST_TIMEOUT)
        .await
    else {
        return rejection(Code::NoMajority);
    };
    if version > 0 {
        control
            .documents
            .apply(name, version, ballot, content.to_vec());
    }
    (PeerResponse::Document { version, ballot }, content.to_vec())
}

fn rejection(code: Code) -> (PeerResponse, Vec<u8>) {
    (PeerResponse::Rejected(code), vec![])
}

/// Applies a published document locally and relays it.
pub(crate) fn apply_document(
    control: &Arc<Control>,
    publication: Publication,
    content: Vec<u8>,
) -> PeerResponse {
    let Publication {
        name,
        version,
        ballot,
        relays,
    } = publication;
    control.documents.apply(&name, version, ballot, content);
    relay_document(control, name, version, None, &relays)
}

/// Applies a published change of a document locally and relays it.
pub(crate) fn apply_document_change(
    control: &Arc<Control>,
    publication: Publication,
    change: DocumentChange,
) -> PeerResponse {
    let Publication {
        name,
        version,
        ballot,
        relays,
    } = publication;
    // An error is ignored: the version in the response shows the sender whether the change was
    // applied.
    let _ = control.documents.apply_delta(
        &name,
        change.base,
        &change.base_digest,
        version,
        ballot,
        &change.delta,
    );
    relay_document(control, name, version, Some(Arc::new(change)), &relays)
}

fn relay_document(
    control: &Arc<Control>,
    name: String,
    version: u64,
    change: Option<Arc<DocumentChange>>,
    relays: &[String],
) -> PeerResponse {
    let announcement = Announcement::Document {
        name: name.clone(),
        version,
        change,
    };
    relay_announcement(control, announcement, relays);
    PeerResponse::DocumentApplied {
        version: control.documents.document(&name).version,
    }
}

/// Marks servers as leaving and relays the announcement.
pub(crate) fn mark_servers_leaving(
    control: &Arc<Control>,
    servers: Vec<String>,
    relays: &[String],
) -> PeerResponse {
    control.documents.mark_leaving(&servers);
    relay_announcement(
        control,
        Announcement::ServersLeaving(Arc::new(servers)),
        relays,
    );
    PeerResponse::Ok
}
