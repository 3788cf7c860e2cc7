//! Documents of which a core knows a newer version than it has applied.

use crate::{Control, proposer};
use std::collections::BTreeMap;
use std::sync::Arc;
use yewcross_common::constants::{
    LATE_DOCUMENT_DELAY, LATE_DOCUMENT_DELAY_MAX, LATE_DOCUMENT_POLL_INTERVAL, PEER_REQUEST_TIMEOUT,
};
use yewcross_common::documents::cache::DOCUMENT_NAMES;

/// When a late document is fetched next.
struct FetchSchedule {
    next_at: u64,
    /// us. How long after that, where the fetch does not help.
    backoff: u64,
}

/// Whether this core knows of a newer version of a document than it has applied.
pub(super) async fn is_behind(control: &Control) -> bool {
    for name in DOCUMENT_NAMES {
        if newest_known_version(control, name).await > control.documents.document(name).version {
            return true;
        }
    }
    false
}

/// Fetches late documents, forever: a publication is lost now and then, and nobody publishes to a
/// core that restarts.
pub async fn fetch_late_documents(control: Arc<Control>) {
    let mut schedules: BTreeMap<&str, FetchSchedule> = BTreeMap::new();
    loop {
        control.runtime.sleep(LATE_DOCUMENT_POLL_INTERVAL).await;
        for name in DOCUMENT_NAMES {
            let applied = control.documents.document(name).version;
            if newest_known_version(&control, name).await <= applied {
                schedules.remove(name);
                continue;
            }
            let now = control.runtime.now();
            let first_wait = if applied == 0 { 0 } else { LATE_DOCUMENT_DELAY };
            let schedule = schedules.entry(name).or_insert(FetchSchedule {
                next_at: now + first_wait,
                backoff: LATE_DOCUMENT_DELAY,
            });
            if now < schedule.next_at || !control.has_quorum_contact() {
                continue;
            }
            fetch(&control, name).await;
            schedule.next_at = control.runtime.now() + schedule.backoff;
            schedule.backoff = (2 * schedule.backoff).min(LATE_DOCUMENT_DELAY_MAX);
        }
    }
}

/// The newest version of a document that this core knows of, decided or not.
async fn newest_known_version(control: &Control, name: &str) -> u64 {
    let on_disk = control
        .replica
        .read_record(name)
        .await
        .map_or(0, |record| record.seq);
    on_disk.max(control.newest_reported_version(name))
}

async fn fetch(control: &Arc<Control>, name: &str) {
    if let Ok((version, epoch, content)) =
        proposer::newest(control, name, PEER_REQUEST_TIMEOUT).await
    {
        if version > 0 {
            control
                .documents
                .apply(name, version, epoch, content.to_vec());
        }
    } else if name == "layout" {
        crate::layout::catch_up(control).await;
    }
}
