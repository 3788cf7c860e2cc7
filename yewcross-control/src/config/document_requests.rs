//! What other nodes ask and send of the documents, and the answers.

use super::distribution::{Announcement, DocumentChange, relay};
use super::{late_documents, serving_leases};
use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::PEER_REQUEST_TIMEOUT;
use yewcross_common::documents::cache::DOCUMENT_NAMES;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::PeerResponse;
use yewcross_common::register::Ballot;

/// A poll: which versions the poller holds, and who it is.
pub(crate) struct DocumentPoll<'a> {
    pub(crate) known: Vec<(String, u64)>,
    pub(crate) is_front: bool,
    /// Digest of the leaving servers that the poller knows.
    pub(crate) leaving_digest: u64,
    /// The poller's name.
    pub(crate) from: &'a str,
}

/// A published version as it arrived: to be applied here and relayed.
pub(crate) struct Publication {
    pub(crate) name: String,
    pub(crate) version: u64,
    pub(crate) epoch: Ballot,
    /// The nodes that share the relaying among them.
    pub(crate) relays: Vec<String>,
}

/// Answers which versions are known here, and grants a polling front its serving lease.
///
/// The lease is granted before the disk is read: a put that the read misses finds the lease.
pub(crate) async fn poll_documents(control: &Arc<Control>, poll: DocumentPoll<'_>) -> PeerResponse {
    if poll.is_front && !poll.from.is_empty() {
        serving_leases::grant(control, poll.from);
    }
    let mut newest = vec![];
    for name in DOCUMENT_NAMES {
        let on_disk = version_on_disk(control, name).await;
        let applied = control.documents.document(name).version;
        newest.push((name.to_string(), on_disk.max(applied)));
    }
    let authoritative = is_authoritative(control, &poll.known).await;
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

/// The newest version on this disk. Where one core's answer is enough, only decided versions count,
/// and what a disk holds may be undecided: 0.
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

/// Whether the answer of this core counts for the poller's configuration. Where fronts hold leases
/// they ask a majority of the cores; elsewhere one core is asked, and must itself be in contact
/// with a majority.
async fn is_authoritative(control: &Arc<Control>, known: &[(String, u64)]) -> bool {
    let layout = control.documents.layout.load();
    let has_seat = layout.1.core.current.contains(&control.storage.disk_id);
    has_seat
        && !control.storage.failed.load(SeqCst)
        && control.replica.read_record("config").await.is_some()
        && !known.is_empty()
        && (!control.options.maintains_layout || control.has_quorum_contact())
}

/// The applied version of a document, where that is newer than the asker's; else the newest decided
/// one, where this node may read it.
pub(crate) async fn fetch_document(
    control: &Arc<Control>,
    name: &str,
    newer_than: u64,
) -> (PeerResponse, Vec<u8>) {
    let document = control.documents.document(name);
    if document.version > newer_than
        && (!control.options.maintains_layout || control.has_quorum_contact())
    {
        let response = PeerResponse::Document {
            version: document.version,
            ballot: document.ballot,
        };
        return (response, document.content.to_vec());
    }
    if control.options.maintains_layout {
        return rejected(Code::NoMajority);
    }
    read_decided_document(control, name).await
}

/// The newest decided version of a document, read from a majority of the core disks.
pub(crate) async fn read_decided_document(
    control: &Arc<Control>,
    name: &str,
) -> (PeerResponse, Vec<u8>) {
    if !DOCUMENT_NAMES.contains(&name) {
        return rejected(Code::BadField);
    }
    if control.settings.role != Role::Core || control.documents.layout.load().0 == 0 {
        return rejected(Code::NotFounded);
    }
    // A core whose messages are lost in one direction would only outbid the proposer that has a
    // majority.
    if !control.has_quorum_contact() {
        return rejected(Code::NoMajority);
    }
    let Ok((version, epoch, content)) = control
        .registers
        .read_newest(name, PEER_REQUEST_TIMEOUT)
        .await
    else {
        return rejected(Code::NoMajority);
    };
    if version > 0 {
        control
            .documents
            .apply(name, version, epoch, content.to_vec());
    }
    (
        PeerResponse::Document {
            version,
            ballot: epoch,
        },
        content.to_vec(),
    )
}

fn rejected(code: Code) -> (PeerResponse, Vec<u8>) {
    (PeerResponse::Rejected(code), vec![])
}

/// Applies a published document and relays it.
pub(crate) fn apply_document(
    control: &Arc<Control>,
    publication: Publication,
    content: Vec<u8>,
) -> PeerResponse {
    let Publication {
        name,
        version,
        epoch,
        relays,
    } = publication;
    control.documents.apply(&name, version, epoch, content);
    relay_document(control, name, version, None, &relays)
}

/// Applies a published change of a document and relays it.
pub(crate) fn apply_document_change(
    control: &Arc<Control>,
    publication: Publication,
    change: DocumentChange,
) -> PeerResponse {
    let Publication {
        name,
        version,
        epoch,
        relays,
    } = publication;
    // Whoever sent it learns from the version in the answer whether it was applied.
    let _ = control.documents.apply_delta(
        &name,
        change.base,
        &change.base_digest,
        version,
        epoch,
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
    relay(control, announcement, relays);
    PeerResponse::DocumentApplied {
        version: control.documents.document(&name).version,
    }
}

/// Marks servers as leaving and relays that.
pub(crate) fn mark_servers_leaving(
    control: &Arc<Control>,
    servers: Vec<String>,
    relays: &[String],
) -> PeerResponse {
    control.documents.mark_leaving(&servers);
    relay(
        control,
        Announcement::ServersLeaving(Arc::new(servers)),
        relays,
    );
    PeerResponse::Ok
}
