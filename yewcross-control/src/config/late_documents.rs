//! Documents that a core has heard of and does not hold.

use crate::{Control, proposer};
use std::collections::BTreeMap;
use std::sync::Arc;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DOCS;

/// The newest version of a document that this core has heard of, decided or not.
async fn version_told(control: &Control, name: &str) -> u64 {
    let on_disk = control
        .replica
        .peek(name)
        .await
        .map_or(0, |record| record.seq);
    on_disk.max(control.version_heard(name))
}

/// Whether this core has heard of a newer version of a document than it holds.
pub async fn is_behind(control: &Control) -> bool {
    for name in DOCS {
        if version_told(control, name).await > control.documents.document(name).version {
            return true;
        }
    }
    false
}

/// Finds the documents that this core has heard of and does not hold: a push is lost now and then,
/// and nobody pushes to a core that restarts.
pub async fn find_late_documents(control: Arc<Control>) {
    let mut late: BTreeMap<&str, Late> = BTreeMap::new();
    loop {
        control.runtime.sleep(DOCUMENT_LOOK).await;
        for name in DOCS {
            let held = control.documents.document(name).version;
            if version_told(&control, name).await <= held {
                late.remove(name);
                continue;
            }
            let now = control.runtime.now();
            let wait = if held == 0 { 0 } else { DOCUMENT_LATE };
            let due = late.entry(name).or_insert(Late {
                at: now + wait,
                pause: DOCUMENT_LATE,
            });
            if now < due.at || !control.has_quorum_contact() {
                continue;
            }
            find(&control, name).await;
            due.at = control.runtime.now() + due.pause;
            due.pause = (2 * due.pause).min(DOCUMENT_LATE_MOST);
        }
    }
}

/// When a late document is looked for next, and how long after that, us.
struct Late {
    at: u64,
    pause: u64,
}

async fn find(control: &Arc<Control>, name: &str) {
    if let Ok((seq, epoch, raw)) = proposer::newest(control, name, PEER_WAIT).await {
        if seq > 0 {
            control.documents.apply(name, seq, epoch, raw.to_vec());
        }
    } else if name == "layout" {
        crate::layout::catch_up(control).await;
    }
}
