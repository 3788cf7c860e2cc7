//! The documents on this node's own disk, from which a restart begins.

use crate::Control;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::documents::cache::{DOCUMENT_NAMES, DocumentCache, DocumentVersion};
use yewcross_common::register::Ballot;
use yewcross_common::storage::StoredFile;

/// Folder of this node's own files.
pub(crate) const LOCAL_FOLDER: &str = "local";

/// us. Between attempts while the disk is failed.
const FAILED_DISK_RETRY: u64 = 50 * MS;

/// us. Between looks where nothing is signalled: a document whose write failed is written again.
const WRITE_RETRY: u64 = 10 * SEC;

/// The body of a document's file: version, ballot and content.
type StoredDocument = (u64, Ballot, String);

/// A document as this node's own disk holds it.
#[derive(Clone, Copy, Default)]
pub(crate) struct PersistedDocument {
    /// Version of the file. It counts the writes, not the documents: each write removes the file of
    /// the version before.
    file_version: u64,
    /// Version of the document.
    version: u64,
}

pub(crate) type PersistedDocuments = BTreeMap<&'static str, PersistedDocument>;

/// Applies the documents of a folder, and returns which files hold them. A damaged file counts with
/// its version, so that the next one is newer.
pub(crate) fn load(documents: &DocumentCache, folder: &[StoredFile]) -> PersistedDocuments {
    let mut persisted = PersistedDocuments::new();
    for file in folder {
        let Some(name) = DOCUMENT_NAMES.into_iter().find(|name| *name == file.name) else {
            continue;
        };
        let stored = file
            .body
            .as_ref()
            .and_then(|body| serde_json::from_slice::<StoredDocument>(body).ok());
        if let Some((version, epoch, content)) = stored {
            documents.apply(name, version, epoch, content.into_bytes());
        }
        let document = PersistedDocument {
            file_version: file.version,
            version: documents.document(name).version,
        };
        persisted.insert(name, document);
    }
    persisted
}

/// Writes each newly applied document to this node's own disk, forever. One that is applied and not
/// yet written is fetched again after a restart: a node relies only on what its disk held, and
/// learns of the rest from its polls.
pub(crate) async fn persist_changes(control: Arc<Control>, mut persisted: PersistedDocuments) {
    loop {
        let changed = control.documents.changed.listen();
        for name in DOCUMENT_NAMES
            .into_iter()
            .filter(|name| is_persisted(&control, name))
        {
            let document = control.documents.document(name);
            let before = persisted.get(name).copied().unwrap_or_default();
            if document.version <= before.version {
                continue;
            }
            let file_version = before.file_version + 1;
            if !write(&control, name, file_version, &document).await {
                continue;
            }
            let version = document.version;
            persisted.insert(
                name,
                PersistedDocument {
                    file_version,
                    version,
                },
            );
            if name == "layout" {
                control.replica.layout_version.fetch_max(version, SeqCst);
            }
        }
        let wait = if control.storage.failed.load(SeqCst) {
            FAILED_DISK_RETRY
        } else {
            WRITE_RETRY
        };
        control.runtime.timeout(wait, changed).await;
    }
}

/// Where cores are polled for all else, only the layout must be known before anybody answers.
fn is_persisted(control: &Control, name: &str) -> bool {
    !control.options.maintains_layout || name == "layout"
}

/// Whether the document stands on the disk.
async fn write(
    control: &Control,
    name: &'static str,
    file_version: u64,
    document: &DocumentVersion,
) -> bool {
    let stored = (
        document.version,
        document.ballot,
        String::from_utf8_lossy(&document.content),
    );
    let body = serde_json::to_vec(&stored).expect("numbers and a string always serialise");
    control
        .storage
        .persist(LOCAL_FOLDER, name, file_version, &body)
        .await
        .is_ok()
}
