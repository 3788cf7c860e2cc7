//! The lease granter of each core replica: answers candidates and holders and persists its grants.
//! The rules are in [`crate::lease`].

use crate::Control;
use crate::lease::{Granter, PersistedGrant, voters_digest};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::SYNC_TIMEOUT;
use yewcross_common::documents::cache::DOCUMENT_NAMES;
use yewcross_common::protocol::Layout;
use yewcross_common::protocol::lease::{LeaseDenial, LeaseRequest, LeaseResponse, LeaseVerdict};
use yewcross_common::runtime::Runtime;
use yewcross_common::storage::DurableStorage;

/// Name of the file that stores the last grant.
const GRANT_FILE: &str = "lease";

/// Name of the file that stores the incarnation: its version is the number of processes that have
/// started on the disk.
const INCARNATION_FILE: &str = "life";

/// The last grant of this disk and the version of the file that stores it.
pub(crate) struct GrantFile {
    version: u64,
    pub(crate) grant: PersistedGrant,
}

/// Increments the incarnation stored on the disk and returns it as that of this process; 0 if the
/// disk did not persist it within `SYNC_TIMEOUT`.
pub(crate) async fn begin_incarnation(
    runtime: &Runtime,
    storage: &Arc<DurableStorage>,
) -> io::Result<u64> {
    let previous = storage
        .load("local", INCARNATION_FILE)
        .await?
        .map_or(0, |(version, _)| version);
    let incarnation = previous + 1;
    let (persisted_sender, persisted) = async_channel::bounded(1);
    let writer = storage.clone();
    // The write runs in its own task, so that it is not cancelled when the wait below times out and
    // a slow disk does not delay the start any longer.
    runtime.spawn(async move {
        let result = writer
            .persist(
                "local",
                INCARNATION_FILE,
                incarnation,
                &incarnation.to_le_bytes(),
            )
            .await;
        // Fails only if the start has timed out and dropped the receiver.
        let _ = persisted_sender.try_send(result);
    });
    let outcome = runtime.timeout(SYNC_TIMEOUT, persisted.recv()).await;
    let is_persisted = matches!(outcome, Some(Ok(Ok(()))));
    Ok(if is_persisted { incarnation } else { 0 })
}

impl GrantFile {
    /// Reads the last grant that was persisted on this disk.
    pub(crate) async fn read(storage: &DurableStorage) -> io::Result<GrantFile> {
        let file = storage.load("local", GRANT_FILE).await?;
        Ok(match file {
            Some((version, body)) => GrantFile {
                version,
                grant: decode_grant(&body),
            },
            None => GrantFile {
                version: 0,
                grant: PersistedGrant::default(),
            },
        })
    }
}

/// Decodes a grant file. Releases that did not persist the holder wrote only the term, as eight
/// little-endian bytes.
fn decode_grant(body: &[u8]) -> PersistedGrant {
    serde_json::from_slice(body).unwrap_or_else(|_| PersistedGrant {
        term: <[u8; 8]>::try_from(body).map_or(0, u64::from_le_bytes),
        ..PersistedGrant::default()
    })
}

/// Runs `operation` on this disk's granter with the current time, after updating the granter with
/// the voters of the layout applied here.
pub(crate) fn with_granter<T>(
    control: &Control,
    operation: impl FnOnce(&mut Granter, u64) -> T,
) -> T {
    let adopted = control.documents.layout.load();
    let (version, layout) = &**adopted;
    let mut granter = control.singleton_tasks.granter.lock().unwrap();
    let now = control.runtime.now();
    granter.observe_voters(now, voters_digest(layout), layout.term, *version == 1);
    operation(&mut granter, now)
}

/// Answers a lease request that is addressed to this disk's granter, and rejects one that is
/// addressed to another disk.
pub(crate) async fn answer(control: &Control, request: &LeaseRequest) -> LeaseResponse {
    let verdict = if request.granter == control.storage.disk_id {
        decide_verdict(control, request).await
    } else {
        LeaseVerdict::Refused(LeaseDenial::OtherDisk)
    };
    if verdict == LeaseVerdict::Released {
        control.singleton_tasks.lease_changed.notify(usize::MAX);
    }
    let (term, holder) = with_granter(control, |granter, now| {
        (granter.term(), granter.holder(now).cloned())
    });
    LeaseResponse {
        granter: control.storage.disk_id.clone(),
        term,
        verdict,
        versions: document_versions(control).await,
        holder: holder.filter(|_| request.wants_holder),
    }
}

/// Decides on a request and persists a grant before it is returned.
async fn decide_verdict(control: &Control, request: &LeaseRequest) -> LeaseVerdict {
    if control.storage.failed.load(SeqCst) {
        return LeaseVerdict::Refused(LeaseDenial::DiskFailed);
    }
    if !is_voter(&control.documents.layout.load().1, &control.storage.disk_id) {
        return LeaseVerdict::Refused(LeaseDenial::OtherReplicas);
    }
    let (was_released, verdict, to_keep) = with_granter(control, |granter, now| {
        let was_released = granter.release_if_restarted(&request.candidate);
        let verdict = granter.answer(
            now,
            &request.candidate,
            request.replicas_digest,
            request.operation,
        );
        (was_released, verdict, granter.to_persist())
    });
    if was_released {
        control.singleton_tasks.lease_changed.notify(usize::MAX);
    }
    if verdict == LeaseVerdict::Granted && !persist_grant(control, &to_keep).await {
        return LeaseVerdict::Refused(LeaseDenial::DiskFailed);
    }
    verdict
}

/// Persists the grant and returns whether it is on disk. A renewal writes nothing unless the set of
/// voters differs from that of the grant on disk.
async fn persist_grant(control: &Control, grant: &PersistedGrant) -> bool {
    let mut file = control.singleton_tasks.grant_file.lock().await;
    if file.grant == *grant || file.grant.term > grant.term {
        return true;
    }
    let version = file.version + 1;
    let body = serde_json::to_vec(grant).unwrap_or_default();
    let written = control
        .storage
        .persist("local", GRANT_FILE, version, &body)
        .await;
    if written.is_err() {
        return false;
    }
    *file = GrantFile {
        version,
        grant: grant.clone(),
    };
    true
}

/// Whether the disk is a core replica of the current or the outgoing set.
pub(crate) fn is_voter(layout: &Layout, disk: &str) -> bool {
    layout
        .core
        .current
        .iter()
        .chain(&layout.core.previous)
        .any(|voter| voter == disk)
}

/// The newest version of each document on this disk, whether or not that version is decided.
async fn document_versions(control: &Control) -> Vec<(String, u64)> {
    let mut versions = vec![];
    for document in DOCUMENT_NAMES {
        let on_disk = control
            .replica
            .read_record(document)
            .await
            .map_or(0, |record| record.seq);
        let adopted = control.documents.document(document).version;
        versions.push((document.to_string(), on_disk.max(adopted)));
    }
    versions
}
