//! Fetching of late documents: those of which a core has observed a newer version than it has
//! applied.

use crate::{Control, proposer};
use std::collections::BTreeMap;
use std::sync::Arc;
use yewcross_common::constants::{
    LATE_DOCUMENT_DELAY, LATE_DOCUMENT_DELAY_MAX, LATE_DOCUMENT_POLL_INTERVAL, PEER_REQUEST_TIMEOUT,
};
use yewcross_common::documents::cache::DOCUMENT_NAMES;

/// Retry state of fetching one late document.
struct FetchSchedule {
    /// Time of the next fetch, in us of the runtime's clock.
    next_at: u64,
    /// us. Delay after that fetch if the document is still late; doubled with each fetch, up to
    /// `LATE_DOCUMENT_DELAY_MAX`.
    backoff: u64,
}

/// Whether this core has observed a newer version of any document than it has applied.
pub(super) async fn is_behind(control: &Control) -> bool {
    for name in DOCUMENT_NAMES {
        if newest_known_version(control, name).await > control.documents.document(name).version {
            return true;
        }
    }
    false
}

/// Fetches late documents in an endless loop. Publications can be lost, and a core that was
/// restarting has missed those sent in the meantime.
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
            let initial_delay = if applied == 0 { 0 } else { LATE_DOCUMENT_DELAY };
            let schedule = schedules.entry(name).or_insert(FetchSchedule {
                next_at: now + initial_delay,
                backoff: LATE_DOCUMENT_DELAY,
            });
            if now < schedule.next_at || !control.has_quorum_contact() {
                continue;
            }
            fetch_newest(&control, name).await;
            schedule.next_at = control.runtime.now() + schedule.backoff;
            schedule.backoff = (2 * schedule.backoff).min(LATE_DOCUMENT_DELAY_MAX);
        }
    }
}

/// The newest version of a document that this core has observed, decided or not.
async fn newest_known_version(control: &Control, name: &str) -> u64 {
    let on_disk = control
        .replica
        .read_record(name)
        .await
        .map_or(0, |record| record.seq);
    on_disk.max(control.newest_reported_version(name))
}

async fn fetch_newest(control: &Arc<Control>, name: &str) {
    if let Ok((version, ballot, content)) =
        proposer::read_newest_decided(control, name, PEER_REQUEST_TIMEOUT).await
    {
        if version > 0 {
            control
                .documents
                .apply(name, version, ballot, content.to_vec());
        }
    } else if name == "layout" {
        crate::layout::catch_up(control).await;
    }
}
