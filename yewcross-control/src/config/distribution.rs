//! Sending a decided document to every node.
//!
//! Only decided documents are sent: what a majority of the core disks accepted under one epoch, as `Owner::change`, `read` and
//! `newest` return it. A sequence number is decided once, so a document that comes late, or from a process that has been
//! superseded, is older than what its receiver holds, or the same.

use crate::Control;
use std::sync::Arc;
use yewcross::ask::{Ask, Tell};
use yewcross::consts::PEER_WAIT;
use yewcross::member::Node;
use yewcross::reg::Epoch;
use yewcross::startup::Role;
use yewcross::wire::Lost;

/// count. Times that the whole document is sent to a node whose answer is lost; it asks for news itself soon.
const SENT_WHOLE: usize = 2;

/// A decided document on its way to every node.
struct Push {
    name: &'static str,
    seq: u64,
    document: Vec<u8>,
    /// Only what changed, for nodes that hold the version before.
    delta: Option<Delta>,
}

struct Delta {
    base: u64,
    base_digest: String,
    changes: Vec<u8>,
}

/// Tells every node of a decided document, once; whoever misses it asks for it soon. Who holds the version before gets
/// only what changed.
pub fn push(c: &Arc<Control>, name: &'static str, seq: u64, document: Vec<u8>) {
    let before = c.book.page(name);
    c.book.adopt(name, seq, Epoch::default(), document.clone());
    let delta = (before.seq > 0 && before.seq < seq).then(|| Delta {
        base: before.seq,
        base_digest: yewcross::hash::mark(&before.raw),
        changes: yewcross::delta::diff(&before.raw, &document),
    });
    let worth_it = |d: &Delta| 2 * d.changes.len() < document.len();
    let delta = delta.filter(worth_it);
    let push = Arc::new(Push { name, seq, document, delta });
    let mut nodes: Vec<Node> = c.members.view.load().values().filter(|n| n.name != c.st.name).cloned().collect();
    nodes.sort_by_key(|n| (n.role != Role::Core, n.role != Role::Store));
    for node in nodes {
        c.w.go(send(c.clone(), node, push.clone()));
    }
}

async fn send(c: Arc<Control>, node: Node, push: Arc<Push>) {
    if let Some(delta) = &push.delta {
        let patch = Ask::Patch {
            name: push.name.into(),
            seq: push.seq,
            epoch: Epoch::default(),
            base: delta.base,
            base_digest: delta.base_digest.clone(),
        };
        match c.peers.ask(node.peer, &patch, &delta.changes, PEER_WAIT).await {
            Ok((Tell::Adopted { seq }, _)) if seq >= push.seq => return,
            Err(Lost::Unsent) => return,
            _ => {}
        }
    }
    let whole = Ask::Adopt { name: push.name.into(), seq: push.seq, epoch: Epoch::default() };
    for _ in 0..SENT_WHOLE {
        match c.peers.ask(node.peer, &whole, &push.document, PEER_WAIT).await {
            Ok(_) | Err(Lost::Unsent) => return,
            Err(Lost::Unknown) => {}
        }
    }
}
