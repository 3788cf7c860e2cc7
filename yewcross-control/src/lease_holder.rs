//! Taking, renewing and giving up the duty lease.

use crate::lease::*;
use crate::lease_granter::with_granter;
use crate::quorum_contact::{all_seats, ask_seat, ask_seats};
use crate::{Control, config, layout};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DOCS;
use yewcross_common::membership::MemberState;
use yewcross_common::protocol::lease::*;
use yewcross_common::protocol::*;
use yewcross_common::register::{Ballot, Step};
use yewcross_common::runtime::BoxFuture;

/// Documents that only the holder of the lease writes where operators' orders are decided by any
/// core.
const FENCED: [&str; 2] = ["layout", "list"];

/// Wants the lease for as long as this process has a core seat.
pub async fn run(c: Arc<Control>) {
    while !c.members.replaced.is_set() {
        if !may_hold(&c) {
            let (adopted, lease) = (c.documents.changed.listen(), c.duties.changed.listen());
            c.runtime
                .timeout(
                    SEC.min(UNFIT_FOR / 4),
                    futures_lite::future::or(adopted, lease),
                )
                .await;
            continue;
        }
        wait_until_free(&c).await;
        if !may_hold(&c) || !is_free_here(&c) {
            continue;
        }
        match campaign(&c).await {
            Some(term) => hold(&c, term).await,
            None => {
                c.runtime
                    .sleep(LEASE_RETRY + c.runtime.random() % LEASE_RETRY)
                    .await
            }
        }
    }
}

fn may_hold(c: &Control) -> bool {
    let seated = c
        .documents
        .layout
        .load()
        .1
        .core
        .current
        .contains(&c.storage.disk_id);
    let is_fit = c.runtime.now() >= c.duties.unfit_until.load(SeqCst);
    seated
        && is_fit
        && !c.storage.failed.load(SeqCst)
        && !c.members.replaced.is_set()
        && !c.duties.resigned.load(SeqCst)
}

fn is_free_here(control: &Control) -> bool {
    with_granter(control, |granter, now| granter.free_at() <= now)
}

/// Returns some time after the lease ran out here, each candidate after its own, or early when
/// something changed.
async fn wait_until_free(control: &Arc<Control>) {
    let changed = control.duties.changed.listen();
    let left = with_granter(control, |granter, now| {
        granter.free_at().saturating_sub(now)
    });
    if left > 0 {
        control.runtime.timeout(left, changed).await;
    }
    control
        .runtime
        .sleep(rank(control) * LEASE_STAGGER + control.runtime.random() % (LEASE_STAGGER / 2))
        .await;
}

/// This process among the core seats that seem alive, in an order that all know.
fn rank(c: &Control) -> u64 {
    let layout = c.documents.layout.load();
    let alive = |d: &str| {
        c.members
            .by_disk(d)
            .is_some_and(|n| n.state == MemberState::Alive)
    };
    let candidates = layout
        .1
        .core
        .current
        .iter()
        .map(|d| d.as_str())
        .filter(|d| *d == c.storage.disk_id || alive(d));
    let ranked = yewcross_common::hash::ranked("duty", candidates);
    ranked
        .iter()
        .position(|d| *d == c.storage.disk_id)
        .unwrap_or(0) as u64
}

/// First looks whether a majority calls the lease free, and only then asks for it: a process whose
/// answers are lost on their way never locks the granters. The term, if it was got.
async fn campaign(control: &Arc<Control>) -> Option<u64> {
    let seats = control.documents.layout.load().1.core.clone();
    let highest = look(control, &seats).await?;
    let term = highest.max(control.documents.layout.load().1.term) + 1;
    let call = control
        .duties
        .holder
        .lock()
        .unwrap()
        .request(control.runtime.now(), term, &seats);
    let disks = all_seats(&seats);
    let (asked, answers) = (disks.len(), ask_seats(control, disks, call));
    for _ in 0..asked {
        let Ok(answer) = answers.recv().await else {
            break;
        };
        if answer.is_some_and(|tell| count(control, term, 0, &tell)) {
            return Some(term);
        }
    }
    give_up(control, &seats);
    None
}

/// The highest term known to a majority that calls the lease free.
async fn look(control: &Arc<Control>, seats: &ReplicaGroup) -> Option<u64> {
    let disks = all_seats(seats);
    let (asked, answers) = (disks.len(), ask_seats(control, disks, LeaseOperation::Look));
    let (mut free, mut highest) = (vec![], 0);
    for _ in 0..asked {
        let Some(tell) = answers.recv().await.ok()? else {
            continue;
        };
        highest = highest.max(tell.term);
        if tell.verdict == LeaseVerdict::Free {
            free.push(tell.granter);
        }
        if quorum(seats, |d| free.iter().any(|f| f == d)) {
            return Some(highest);
        }
    }
    None
}

/// Counts a grant. True once the lease is held by it.
fn count(control: &Control, term: u64, round: u64, tell: &LeaseResponse) -> bool {
    tell.verdict == LeaseVerdict::Granted
        && control
            .duties
            .holder
            .lock()
            .unwrap()
            .granted(term, round, &tell.granter)
}

/// Renews until the lease is lost or given up.
async fn hold(control: &Arc<Control>, term: u64) {
    control.duties.taken.fetch_add(1, SeqCst);
    control.runtime.log(&format!("lease taken, term {term}"));
    control.runtime.spawn(fence(control.clone(), term));
    while may_hold(control) && renew(control, term) {
        control.runtime.sleep(LEASE_RENEW).await;
    }
    control.duties.lost.fetch_add(1, SeqCst);
    control.runtime.log(&format!("lease lost, term {term}"));
    give_up(control, &control.documents.layout.load().1.core.clone());
    control.duties.changed.notify(usize::MAX);
}

/// Begins a round. False once the lease is not held any more.
fn renew(control: &Arc<Control>, term: u64) -> bool {
    let seats = control.documents.layout.load().1.core.clone();
    let Some(call) = control
        .duties
        .holder
        .lock()
        .unwrap()
        .renew(control.runtime.now(), &seats)
    else {
        return false;
    };
    let LeaseOperation::Renew { round, .. } = call else {
        return false;
    };
    for disk in all_seats(&seats) {
        let me = control.clone();
        control.runtime.spawn(async move {
            if let Some(tell) = ask_seat(&me, &disk, call).await {
                count(&me, term, round, &tell);
            }
        });
    }
    true
}

/// Takes the documents under new epochs, so that nothing that an earlier holder still has under way
/// can be accepted any more. Only then does this holder act; one that cannot in time lets another
/// one try.
async fn fence(c: Arc<Control>, term: u64) {
    let until = c.runtime.now() + FENCE_WITHIN;
    let holds = |c: &Control| c.lease_term() == Some(term);
    while holds(&c) && c.runtime.now() < until {
        if take_documents(&c).await {
            c.duties.fenced.store(term, SeqCst);
            // Copies that missed the new ballot are brought to it now: readers find all alike.
            c.sweep_call.notify(usize::MAX);
            c.duties.changed.notify(usize::MAX);
            return;
        }
        // Disks that keep a newer layout answer nobody who goes by an older one.
        layout::catch_up(&c).await;
        c.runtime.sleep(20 * MS).await;
    }
    if holds(&c) {
        c.runtime
            .log(&format!("the documents cannot be taken, term {term}"));
        c.duties
            .unfit_until
            .store(c.runtime.now() + UNFIT_FOR, SeqCst);
    }
}

/// All at once: each waits for its own disks only.
async fn take_documents(c: &Arc<Control>) -> bool {
    if c.options.tends && !layout::decide_first_documents(c).await {
        return false;
    }
    let documents: &[&'static str] = if c.options.tends { &DOCS } else { &FENCED };
    let takes = documents
        .iter()
        .map(|document| -> BoxFuture<'static, bool> {
            let control = c.clone();
            let document = *document;
            Box::pin(async move { take_document(&control, document).await })
        });
    let taken = c.runtime.spawn_all(takes.collect());
    for _ in documents {
        if taken.recv().await != Ok(true) {
            return false;
        }
    }
    true
}

/// What an earlier holder had decided and nobody was told of is told now.
async fn take_document(control: &Arc<Control>, name: &'static str) -> bool {
    let held = control.documents.document(name).version;
    let Ok((seq, document)) = control
        .registers
        .change(name, SEC, |seq, value| Step::Keep((seq, value.to_vec())))
        .await
    else {
        return false;
    };
    if control.options.tends && seq > held {
        match held {
            0 => {
                control
                    .documents
                    .apply(name, seq, Ballot::default(), document);
            }
            _ => config::publish(control, name, seq, document),
        }
    }
    true
}

/// Stops holding or asking, and tells the granters, so that nobody waits for the lease to run out.
fn give_up(control: &Arc<Control>, seats: &ReplicaGroup) {
    let Some(term) = control.duties.holder.lock().unwrap().give_up() else {
        return;
    };
    ask_seats(control, all_seats(seats), LeaseOperation::Release { term });
}

/// A planned stop: the lease is free at once.
pub async fn resign(control: &Arc<Control>) {
    control.duties.resigned.store(true, SeqCst);
    let Some(term) = control.duties.holder.lock().unwrap().give_up() else {
        return;
    };
    let seats = all_seats(&control.documents.layout.load().1.core);
    let (asked, answers) = (
        seats.len(),
        ask_seats(control, seats, LeaseOperation::Release { term }),
    );
    let told = async {
        for _ in 0..asked {
            let _ = answers.recv().await;
        }
    };
    control.runtime.timeout(LEASE_WAIT / 2, told).await;
}
