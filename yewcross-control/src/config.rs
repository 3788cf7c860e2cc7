//! The configuration in force: telling nodes whether a newer one may be, and handing documents out.
//!
//! [`orders`] decides operators' numbered orders by a majority, [`proved`] puts a configuration in force under leases of the
//! fronts, `read` reads the newest one back, and `distribution` sends decided documents to every node.

mod distribution;
pub mod orders;
mod proved;
mod read;

pub use distribution::push;
pub use orders::order;
pub use proved::{Put, carry, gone, grants, lists, proved, put};
pub use read::newest;

use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::book::DOCS;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::startup::Role;

/// Grants are written down before the disk is looked at, so that a put that follows cannot miss one.
pub async fn newer(c: &Arc<Control>, have: Vec<(String, u64)>, front: bool, who: &str) -> Tell {
    if front && !who.is_empty() {
        c.grants.lock().unwrap().insert(who.into(), c.w.now() + SERVE_LEASE + 100 * MS);
    }
    let mut newest = vec![];
    for d in DOCS {
        let s = c.replica.peek(d).await.map(|s| s.seq).unwrap_or(0);
        newest.push((d.to_string(), s.max(c.book.page(d).seq).max(c.version_heard(d))));
    }
    let l = c.book.layout.load();
    let seat = l.1.core.now.contains(&c.vault.id);
    let sure = seat && !c.vault.failed.load(SeqCst) && c.replica.peek("config").await.is_some() && !have.is_empty();
    // Where fronts hold leases, majorities of cores are asked; where they don't, one core is, and must itself have a majority.
    let sure = sure && (!c.options.tends || c.has_quorum_contact());
    Tell::Newer { newest, sure }
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
