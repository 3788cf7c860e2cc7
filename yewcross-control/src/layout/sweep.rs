//! The registers' sweep: every key on this disk is brought to all its copies.

use super::planning::group;
use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::book::DOCS;
use yewcross::consts::*;

/// Every key on this disk is brought to all its copies, then again, at rest when nothing is amiss.
pub async fn sweep(c: Arc<Control>) {
    loop {
        let moved = c.book.moved.listen();
        let l = c.book.layout.load_full();
        let seats = group(&l.1, c.st.role);
        if l.0 == 0 || !(seats.now.contains(&c.vault.id) || seats.old.contains(&c.vault.id)) {
            c.w.within(SWEEP_REST, moved).await;
            continue;
        }
        let moving = seats.changing();
        let since = l.1.since(seats, l.0);
        let (mut keys, hurt) = c.replica.keys().await;
        // Holders of the same keys begin at different ones.
        let n = c.w.pick(keys.len());
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
            let here = crate::place(&c.book, &c.members, &k).all().iter().any(|s| s.disk == c.vault.id);
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
            // Through the key's first owner, so that holders of the same key do not take it from each other.
            let ok = matches!((c.store.route)(k.clone(), Ask::Tend { key: k.clone() }).await, Some(Tell::Ok));
            whole &= ok;
            let old = !DOCS.contains(&k.as_str()) && !k.starts_with("budget/");
            if ok && old && c.replica.peek(&k).await.is_some_and(|s| s.value.is_empty() || c.store.outlived(&s.value)) {
                (c.store.route)(k.clone(), Ask::Expire { key: k.clone() }).await;
            }
            c.w.sleep(if moving { MS } else { SWEEP_PAUSE }).await;
        }
        c.sweep_left.store(left, SeqCst);
        if whole && own_since(&c) == since {
            c.swept.store(l.0, SeqCst);
        }
        let until = c.w.now() + if moving || !whole { SEC } else { SWEEP_REST };
        loop {
            let (m, s) = (c.book.moved.listen(), c.sweep_call.listen());
            let t = c.w.now();
            if t >= until || c.sweep_now.swap(false, SeqCst) || c.book.layout.load().0 != l.0 {
                break;
            }
            c.w.within(until - t, futures_lite::future::or(m, s)).await;
        }
    }
}

/// Documents are brought to all their copies by the process that proposes, and by nobody else.
async fn tend_document(c: &Arc<Control>, name: &str) -> bool {
    if c.lease_term().is_none() || c.owner.uniform(name).await {
        return true;
    }
    c.counts.tended.fetch_add(1, SeqCst);
    c.owner.tend(name).await
}

/// Layout number that wrote the sets that this disk may have a seat in: changes of other seats do not hold its sweep up.
fn own_since(c: &Control) -> u64 {
    let l = c.book.layout.load();
    l.1.since(group(&l.1, c.st.role), l.0)
}

/// The names of damaged keys are lost with them; only the other copies can tell.
fn call_for_help(c: &Arc<Control>) {
    let me = c.members.alive(c.st.role).into_iter().filter(|n| n.name != c.st.name);
    me.for_each(|n| {
        let p = c.peers.clone();
        c.w.go(async move {
            let _ = p.ask(n.peer, &Ask::SweepNow, &[], PEER_WAIT).await;
        });
    });
}
