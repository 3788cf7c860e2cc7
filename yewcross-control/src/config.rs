//! The configuration in force: telling nodes whether a newer one may be, and handing documents out.
//!
//! [`orders`] decides operators' numbered orders by a majority, [`proved`] puts a configuration in force under leases of the
//! fronts, `read` reads the newest one back, and `distribution` sends decided documents to every node.

mod distribution;
pub mod orders;
mod proved;
mod read;

pub use distribution::{Change, Notice, Outbox, push, push_departures, relay, tell_all_of};
pub use orders::{order, take_forwarded};
pub use proved::{Put, carry, gone, grants, lists, proved, put};
pub use read::newest;

use crate::{Control, proposer};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::book::DOCS;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::startup::Role;

/// Grants are written down before the disk is looked at, so that a put that follows cannot miss one.
pub async fn newer(c: &Arc<Control>, have: Vec<(String, u64)>, front: bool, departed: u64, who: &str) -> Tell {
    if front && !who.is_empty() {
        c.grants.lock().unwrap().insert(who.into(), c.w.now() + SERVE_LEASE + 100 * MS);
    }
    let mut newest = vec![];
    for d in DOCS {
        // Where one core is believed, it tells of what it holds, which is decided; of anything else, whoever asks could only find
        // that it is not to be had yet.
        let on_disk = if c.options.tends { 0 } else { c.replica.peek(d).await.map_or(0, |record| record.seq) };
        newest.push((d.to_string(), on_disk.max(c.book.page(d).seq)));
    }
    let l = c.book.layout.load();
    let seat = l.1.core.now.contains(&c.vault.id);
    let sure = seat && !c.vault.failed.load(SeqCst) && c.replica.peek("config").await.is_some() && !have.is_empty();
    // Where fronts hold leases, majorities of cores are asked; where they don't, one core is, and must itself have a majority.
    let sure = sure && (!c.options.tends || c.has_quorum_contact());
    let behind = c.options.tends && is_behind(c).await;
    Tell::Newer { newest, sure, behind, departed: c.book.departures_beyond(departed) }
}

/// The newest version of a document that this core has heard of, decided or not.
async fn version_told(c: &Control, name: &str) -> u64 {
    let on_disk = c.replica.peek(name).await.map_or(0, |record| record.seq);
    on_disk.max(c.version_heard(name))
}

async fn is_behind(c: &Control) -> bool {
    for name in DOCS {
        if version_told(c, name).await > c.book.page(name).seq {
            return true;
        }
    }
    false
}

/// Finds the documents that this core has heard of and does not hold: a push is lost now and then, and nobody pushes to a core
/// that restarts.
pub async fn find_late_documents(c: Arc<Control>) {
    let mut late: BTreeMap<&str, Late> = BTreeMap::new();
    loop {
        c.w.sleep(DOCUMENT_LOOK).await;
        for name in DOCS {
            let held = c.book.page(name).seq;
            if version_told(&c, name).await <= held {
                late.remove(name);
                continue;
            }
            let now = c.w.now();
            let wait = if held == 0 { 0 } else { DOCUMENT_LATE };
            let due = late.entry(name).or_insert(Late { at: now + wait, pause: DOCUMENT_LATE });
            if now < due.at || !c.has_quorum_contact() {
                continue;
            }
            find(&c, name).await;
            due.at = c.w.now() + due.pause;
            due.pause = (2 * due.pause).min(DOCUMENT_LATE_MOST);
        }
    }
}

/// When a late document is looked for next, and how long after that, us.
struct Late {
    at: u64,
    pause: u64,
}

async fn find(c: &Arc<Control>, name: &str) {
    if let Ok((seq, epoch, raw)) = proposer::newest(c, name, PEER_WAIT).await {
        if seq > 0 {
            c.book.adopt(name, seq, epoch, raw.to_vec());
        }
    } else if name == "layout" {
        crate::layout::catch_up(c).await;
    }
}

pub async fn doc(c: &Arc<Control>, name: &str) -> (Tell, Vec<u8>) {
    if !DOCS.contains(&name) {
        return (Tell::No(Code::BadField), vec![]);
    }
    if c.st.role != Role::Core || c.book.layout.load().0 == 0 {
        return (Tell::No(Code::NotFounded), vec![]);
    }
    // A core whose answers are lost on their way would only take the key from the one that has a majority.
    if !c.has_quorum_contact() {
        return (Tell::No(Code::NoMajority), vec![]);
    }
    match c.owner.newest(name, PEER_WAIT).await {
        Ok((seq, epoch, v)) => {
            if seq > 0 {
                c.book.adopt(name, seq, epoch, v.to_vec());
            }
            (Tell::Doc { seq, epoch }, v.to_vec())
        }
        Err(_) => (Tell::No(Code::NoMajority), vec![]),
    }
}
