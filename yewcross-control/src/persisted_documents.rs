//! Stores the documents on this node's own disk, from which they are loaded after a restart.

use crate::Control;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::documents::cache::{
    DOCUMENT_NAMES, DocumentCache, DocumentVersion, FIRST_LAYOUT_VERSION,
};
use yewcross_common::register::Ballot;
use yewcross_common::storage::StoredFile;

/// Folder of this node's own files.
pub(crate) const LOCAL_FOLDER: &str = "local";

/// Interval between write attempts while the disk is marked as failed, in µs.
const FAILED_DISK_RETRY_INTERVAL: u64 = 50 * MS;

/// Interval between checks without a change of the documents, in µs, so that a failed write is
/// repeated.
const WRITE_RETRY_INTERVAL: u64 = 10 * SEC;

/// Body of a document's file: version, ballot and content.
type StoredDocument = (u64, Ballot, String);

/// Versions of a document on this node's own disk.
#[derive(Clone, Copy, Default)]
pub(crate) struct PersistedDocument {
    /// Version of the file. It is incremented by each write, independently of the document's version;
    /// each write removes the file of the previous version.
    file_version: u64,
    /// Version of the document.
    version: u64,
}

pub(crate) type PersistedDocuments = BTreeMap<&'static str, PersistedDocument>;

/// Applies the documents of a folder and returns the versions of their files. The version of a damaged
/// file is included as well, so that the next file gets a higher one.
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
        if let Some((version, ballot, content)) = stored {
            let content = content.into_bytes();
            let is_configured = documents.document("config").version > 0;
            if name == "layout" && version == FIRST_LAYOUT_VERSION && !is_configured {
                documents.apply_proposed_layout(content);
            } else {
                documents.apply(name, version, ballot, content);
            }
        }
        let document = PersistedDocument {
            file_version: file.version,
            version: documents.document(name).version,
        };
        persisted.insert(name, document);
    }
    persisted
}

/// Writes each newly applied document to this node's own disk, for as long as the process runs. A
/// document that was applied but not yet written is fetched again after a restart: a starting node uses
/// only the documents on its disk and receives newer ones through its polls.
pub(crate) async fn persist_changes(control: Arc<Control>, mut persisted: PersistedDocuments) {
    loop {
        let changed = control.documents.changed.listen();
        for name in DOCUMENT_NAMES
            .into_iter()
            .filter(|name| is_persisted(&control, name))
        {
            let document = control.documents.document(name);
            let previous = persisted.get(name).copied().unwrap_or_default();
            if document.version <= previous.version {
                continue;
            }
            let file_version = previous.file_version + 1;
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
        let delay = if control.storage.failed.load(SeqCst) {
            FAILED_DISK_RETRY_INTERVAL
        } else {
            WRITE_RETRY_INTERVAL
        };
        control.runtime.timeout(delay, changed).await;
    }
}

/// Whether the document is written to the local folder. In a tier that maintains itself the other
/// documents are polled from the cores, and only the layout is needed before a core answers.
fn is_persisted(control: &Control, name: &str) -> bool {
    !control.options.maintains_layout || name == "layout"
}

/// Writes the document and returns whether it is on the disk.
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
    let body = serde_json::to_vec(&stored).expect("numbers and a string can always be serialised");
    control
        .storage
        .persist(LOCAL_FOLDER, name, file_version, &body)
        .await
        .is_ok()
}
