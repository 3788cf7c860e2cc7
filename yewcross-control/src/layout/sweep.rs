//! The registers' sweep: every key on this disk is brought to all its copies.

use super::planning::group;
use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DOCS;
use yewcross_common::protocol::*;

/// Every key on this disk is brought to all its copies, then again, at rest when nothing is amiss.
pub async fn sweep(c: Arc<Control>) {
    loop {
        let moved = c.documents.changed.listen();
        let l = c.documents.layout.load_full();
        let seats = group(&l.1, c.settings.role);
        if l.0 == 0
            || !(seats.current.contains(&c.storage.disk_id)
                || seats.previous.contains(&c.storage.disk_id))
        {
            c.runtime.timeout(SWEEP_REST, moved).await;
            continue;
        }
        let moving = seats.is_changing();
        let since = l.1.since(seats, l.0);
        let (mut keys, hurt) = c.replica.keys().await;
        // Holders of the same keys begin at different ones.
        let n = c.runtime.random_index(keys.len());
        keys.rotate_left(n);
        let mut left = keys.len() as u64;
        let mut whole = hurt == 0;
        if hurt > 0 {
            call_for_help(&c);
        }
        for k in keys {
            c.sweep_left.store(left, SeqCst);
            left -= 1;
            if moving && own_since(&c) != since {
                whole = false;
                break;
            }
            if c.replica.peek(&k).await.is_none() {
                continue;
            }
            let here = crate::place(&c.documents, &c.members, &k)
                .all()
                .iter()
                .any(|s| s.disk == c.storage.disk_id);
            if !here && !moving {
                c.replica.forget(&k).await;
                continue;
            }
            if c.options.tends && DOCS.contains(&k.as_str()) {
                whole &= tend_document(&c, &k).await;
                continue;
            }
            if DOCS.contains(&k.as_str()) && !c.has_quorum_contact() {
                whole = false;
                continue;
            }
            c.counts.tended.fetch_add(1, SeqCst);
            // Through the key's first owner, so that holders of the same key do not take it from
            // each other.
            let ok = matches!(
                (c.store.route)(k.clone(), PeerRequest::RepairKey { key: k.clone() }).await,
                Some(PeerResponse::Ok)
            );
            whole &= ok;
            let old = !DOCS.contains(&k.as_str()) && !k.starts_with("budget/");
            if ok
                && old
                && c.replica
                    .peek(&k)
                    .await
                    .is_some_and(|s| s.value.is_empty() || c.store.outlived(&s.value))
            {
                (c.store.route)(k.clone(), PeerRequest::ExpireSession { key: k.clone() }).await;
            }
            c.runtime.sleep(if moving { MS } else { SWEEP_PAUSE }).await;
        }
        c.sweep_left.store(left, SeqCst);
        if whole && own_since(&c) == since {
            c.swept.store(l.0, SeqCst);
        }
        let until = c.runtime.now() + if moving || !whole { SEC } else { SWEEP_REST };
        loop {
            let (m, s) = (c.documents.changed.listen(), c.sweep_call.listen());
            let t = c.runtime.now();
            if t >= until || c.sweep_now.swap(false, SeqCst) || c.documents.layout.load().0 != l.0 {
                break;
            }
            c.runtime
                .timeout(until - t, futures_lite::future::or(m, s))
                .await;
        }
    }
}

/// Documents are brought to all their copies by the process that proposes, and by nobody else.
async fn tend_document(control: &Arc<Control>, name: &str) -> bool {
    if control.lease_term().is_none() || control.registers.is_uniform(name).await {
        return true;
    }
    control.counts.tended.fetch_add(1, SeqCst);
    control.registers.repair(name).await
}

/// Layout number that wrote the sets that this disk may have a seat in: changes of other seats do
/// not hold its sweep up.
fn own_since(control: &Control) -> u64 {
    let l = control.documents.layout.load();
    l.1.since(group(&l.1, control.settings.role), l.0)
}

/// The names of damaged keys are lost with them; only the other copies can tell.
fn call_for_help(control: &Arc<Control>) {
    let me = control
        .members
        .nodes_of_role(control.settings.role)
        .into_iter()
        .filter(|n| n.name != control.settings.name);
    me.for_each(|n| {
        let p = control.peers.clone();
        control.runtime.spawn(async move {
            let _ = p
                .request(n.peer, &PeerRequest::StartSweep, &[], PEER_WAIT)
                .await;
        });
    });
}
