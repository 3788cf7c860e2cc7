//! The granter of the duty lease that runs on each core seat: it answers candidates and holders,
//! and keeps its grants on disk.

use crate::Control;
use crate::lease::*;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::SYNC_WAIT;
use yewcross_common::documents::cache::DOCS;
use yewcross_common::protocol::Layout;
use yewcross_common::protocol::lease::*;
use yewcross_common::runtime::Runtime;
use yewcross_common::storage::DurableStorage;

/// Name of the file that keeps the highest term granted.
const TERM_FILE: &str = "lease";

/// Name of the file that counts the processes that have started on the disk.
const LIFE_FILE: &str = "life";

/// The last grant on this disk, and the version of the file that says so.
pub struct GrantFile {
    version: u64,
    pub grant: KeptGrant,
}

/// Counts this process among those that have started on the disk; 0 where the disk cannot say or
/// keep it.
pub async fn begin_life(runtime: &Runtime, storage: &Arc<DurableStorage>) -> io::Result<u64> {
    let before = storage
        .load("local", LIFE_FILE)
        .await?
        .map_or(0, |kept| kept.0);
    let life = before + 1;
    let (done_tx, done) = async_channel::bounded(1);
    let kept_vault = storage.clone();
    // On its own: a write under way is never abandoned halfway, and a slow disk holds no start up.
    runtime.spawn(async move {
        let _ = done_tx.try_send(
            kept_vault
                .persist("local", LIFE_FILE, life, &life.to_le_bytes())
                .await,
        );
    });
    let kept = runtime.timeout(SYNC_WAIT, done.recv()).await;
    Ok(if matches!(kept, Some(Ok(Ok(())))) {
        life
    } else {
        0
    })
}

impl GrantFile {
    /// Reads the last grant that this disk has given.
    pub async fn read(storage: &DurableStorage) -> io::Result<GrantFile> {
        let kept = storage.load("local", TERM_FILE).await?;
        let grant = kept
            .as_ref()
            .map(|(_, body)| read_grant(body))
            .unwrap_or_default();
        Ok(GrantFile {
            version: kept.map_or(0, |file| file.0),
            grant,
        })
    }
}

/// Programs before the holder was kept wrote the term alone.
fn read_grant(body: &[u8]) -> KeptGrant {
    let term_alone = || {
        <[u8; 8]>::try_from(body)
            .map(u64::from_le_bytes)
            .unwrap_or(0)
    };
    serde_json::from_slice(body).unwrap_or_else(|_| KeptGrant {
        term: term_alone(),
        ..KeptGrant::default()
    })
}

/// Runs `f` on this seat's granter, which first hears of the core seats as they are known now.
pub fn with_granter<T>(control: &Control, f: impl FnOnce(&mut Granter, u64) -> T) -> T {
    let l = control.documents.layout.load();
    let mut granter = control.duties.granter.lock().unwrap();
    let now = control.runtime.now();
    granter.see_seats(now, seats_digest(&l.1), l.1.term, l.0 == 1);
    f(&mut granter, now)
}

/// Answers for this disk, which alone gives its grants.
pub async fn answer(control: &Control, ask: &LeaseRequest) -> LeaseResponse {
    let verdict = if ask.granter == control.storage.disk_id {
        decide(control, ask).await
    } else {
        LeaseVerdict::Refused(LeaseDenial::OtherDisk)
    };
    if verdict == LeaseVerdict::Released {
        control.duties.changed.notify(usize::MAX);
    }
    let (term, holder) = with_granter(control, |granter, now| {
        (granter.term(), granter.holder(now).cloned())
    });
    let holder = holder.filter(|_| ask.wants_holder);
    LeaseResponse {
        granter: control.storage.disk_id.clone(),
        term,
        verdict,
        versions: versions(control).await,
        holder,
    }
}

async fn decide(control: &Control, ask: &LeaseRequest) -> LeaseVerdict {
    if control.storage.failed.load(SeqCst) {
        return LeaseVerdict::Refused(LeaseDenial::DiskFailed);
    }
    if !has_seat(&control.documents.layout.load().1, &control.storage.disk_id) {
        return LeaseVerdict::Refused(LeaseDenial::OtherSeats);
    }
    let (is_freed, verdict, to_keep) = with_granter(control, |granter, now| {
        let is_freed = granter.meet(&ask.candidate);
        let verdict = granter.answer(now, &ask.candidate, ask.seats, ask.call);
        (is_freed, verdict, granter.to_keep())
    });
    if is_freed {
        control.duties.changed.notify(usize::MAX);
    }
    if verdict == LeaseVerdict::Granted && !keep_grant(control, &to_keep).await {
        return LeaseVerdict::Refused(LeaseDenial::DiskFailed);
    }
    verdict
}

/// Returns once the grant is on disk. Its extensions change nothing there, until they count in
/// other seats.
async fn keep_grant(control: &Control, grant: &KeptGrant) -> bool {
    let mut kept = control.duties.kept.lock().await;
    if kept.grant == *grant || kept.grant.term > grant.term {
        return true;
    }
    let version = kept.version + 1;
    let body = serde_json::to_vec(grant).unwrap_or_default();
    if control
        .storage
        .persist("local", TERM_FILE, version, &body)
        .await
        .is_err()
    {
        return false;
    }
    *kept = GrantFile {
        version,
        grant: grant.clone(),
    };
    true
}

pub fn has_seat(layout: &Layout, disk: &str) -> bool {
    layout
        .core
        .current
        .iter()
        .chain(&layout.core.previous)
        .any(|d| d == disk)
}

async fn versions(control: &Control) -> Vec<(String, u64)> {
    let mut v = vec![];
    for document in DOCS {
        let on_disk = control
            .replica
            .peek(document)
            .await
            .map_or(0, |slot| slot.seq);
        v.push((
            document.to_string(),
            on_disk.max(control.documents.document(document).version),
        ));
    }
    v
}
