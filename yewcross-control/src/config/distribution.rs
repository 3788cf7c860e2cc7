//! Sending a decided document to every node.

use crate::Control;
use std::sync::Arc;
use yewcross::ask::*;
use yewcross::consts::*;
use yewcross::reg::Epoch;
use yewcross::startup::Role;
use yewcross::wire::Lost;

/// Tells every node of a decided document, once; whoever misses it asks for it soon. Who holds the version before gets
/// only what changed.
pub fn push(c: &Arc<Control>, name: &'static str, seq: u64, raw: Vec<u8>) {
    let was = c.book.page(name);
    c.book.adopt(name, seq, Epoch::default(), raw.clone());
    let delta = Some(yewcross::delta::diff(&was.raw, &raw)).filter(|d| was.seq > 0 && was.seq < seq && 2 * d.len() < raw.len());
    let (raw, delta) = (Arc::new(raw), Arc::new(delta));
    let mut ns: Vec<_> = c.members.view.load().values().filter(|n| n.name != c.st.name).cloned().collect();
    ns.sort_by_key(|n| (n.role != Role::Core, n.role != Role::Store));
    ns.into_iter().for_each(|n| {
        let (me, raw, delta, base) = (c.clone(), raw.clone(), delta.clone(), was.seq);
        c.w.go(async move {
            let (name, epoch) = (name.to_string(), Epoch::default());
            if let Some(d) = &*delta {
                let a = Ask::Patch { name: name.clone(), seq, epoch, base };
                match me.peers.ask(n.peer, &a, d, PEER_WAIT).await {
                    Ok((Tell::Adopted { seq: s }, _)) if s >= seq => return,
                    Err(Lost::Unsent) => return,
                    _ => {}
                }
            }
            for _ in 0..2 {
                let a = Ask::Adopt { name: name.clone(), seq, epoch };
                match me.peers.ask(n.peer, &a, &raw, PEER_WAIT).await {
                    Ok(_) | Err(Lost::Unsent) => return,
                    Err(Lost::Unknown) => {}
                }
            }
        });
    });
}
