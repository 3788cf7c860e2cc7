//! Acquires, renews and releases the lease for this process. The rules are in [`crate::lease`].
//!
//! # When the lease expires
//!
//! - *At a granter*: `LEASE_LENGTH` after it decided the last request or renewal that it granted,
//!   on its own clock. After a restart, or a change of the voters that it does not remember, it stays
//!   quiet for a whole length first. Until then it grants the lease to nobody else.
//! - *At the holder*: `LEASE_LENGTH - LEASE_MARGIN` after it **sent** the last round that a quorum
//!   granted, on its own clock. The moment of sending is before that of every answer, so delays on
//!   the network only shorten the holder's time. The margin covers clocks that run at different
//!   rates: the holder stops first even if its clock is slower than a granter's by the ratio of
//!   margin to length.
//!
//! Nothing fires when the lease expires. `Control::acting_term` compares the clock with the expiry
//! each time it is called, so it is called right before every act: a process that was frozen finds
//! out before it acts on a lease that expired meanwhile.
//!
//! A new holder acts only after it has taken the documents under new ballots (`fence`): by then
//! nothing that an earlier holder has in flight can be accepted any more.

use crate::lease::has_quorum;
use crate::lease_granter::with_granter;
use crate::quorum_contact::{all_voters, ask_voter, ask_voters};
use crate::{Control, config, layout};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{
    CANDIDACY_PAUSE, FENCING_TIMEOUT, LEASE_RENEWAL_INTERVAL, LEASE_REQUEST_TIMEOUT,
    LEASE_RETRY_DELAY, LEASE_STAGGER, MS, SEC,
};
use yewcross_common::documents::cache::DOCUMENT_NAMES;
use yewcross_common::membership::MemberState;
use yewcross_common::protocol::ReplicaGroup;
use yewcross_common::protocol::lease::{LeaseOperation, LeaseResponse, LeaseVerdict};
use yewcross_common::register::{Ballot, ValueUpdate};
use yewcross_common::runtime::BoxFuture;

/// Documents that a new holder takes before it acts, in a tier where any core decides operators'
/// orders: there the configuration has no single proposer to fence.
const FENCED: [&str; 2] = ["layout", "list"];

/// us. How often a holder tries again to take the documents.
const FENCE_RETRY: u64 = 20 * MS;

/// us. How often a process that must not hold the lease looks whether it may.
const ELIGIBILITY_CHECK: u64 = if SEC < CANDIDACY_PAUSE / 4 {
    SEC
} else {
    CANDIDACY_PAUSE / 4
};

/// us. Longest wait for the granters of a lease that is released at a planned stop.
const RELEASE_WAIT: u64 = LEASE_REQUEST_TIMEOUT / 2;

/// Round number of the request for the lease; renewals count from 1.
const REQUEST_ROUND: u64 = 0;

/// Competes for the lease and holds it, for as long as this process is the disk's own.
pub(crate) async fn run(control: Arc<Control>) {
    while !control.members.replaced.is_set() {
        if !is_eligible(&control) {
            let documents_changed = control.documents.changed.listen();
            let lease_changed = control.singleton_tasks.lease_changed.listen();
            let any_change = futures_lite::future::or(documents_changed, lease_changed);
            control.runtime.timeout(ELIGIBILITY_CHECK, any_change).await;
            continue;
        }
        wait_until_free(&control).await;
        if !is_eligible(&control) || !is_free_here(&control) {
            continue;
        }
        if let Some(term) = campaign(&control).await {
            hold(&control, term).await;
        } else {
            let backoff = LEASE_RETRY_DELAY + control.runtime.random() % LEASE_RETRY_DELAY;
            control.runtime.sleep(backoff).await;
        }
    }
}

/// Whether this process may hold the lease: an incoming voter, fit, not replaced and not stopping.
fn is_eligible(control: &Control) -> bool {
    let is_voter = control
        .documents
        .layout
        .load()
        .1
        .core
        .current
        .contains(&control.storage.disk_id);
    let is_fit = control.runtime.now() >= control.singleton_tasks.unfit_until.load(SeqCst);
    is_voter
        && is_fit
        && !control.storage.failed.load(SeqCst)
        && !control.members.replaced.is_set()
        && !control.singleton_tasks.resigned.load(SeqCst)
}

fn is_free_here(control: &Control) -> bool {
    with_granter(control, |granter, now| granter.free_at() <= now)
}

/// Returns some time after the lease expired at this disk's granter, or after a change. Candidates
/// wait for different times, so that they seldom compete.
async fn wait_until_free(control: &Arc<Control>) {
    let changed = control.singleton_tasks.lease_changed.listen();
    let remaining = with_granter(control, |granter, now| {
        granter.free_at().saturating_sub(now)
    });
    if remaining > 0 {
        control.runtime.timeout(remaining, changed).await;
    }
    let stagger = rank(control) * LEASE_STAGGER + control.runtime.random() % (LEASE_STAGGER / 2);
    control.runtime.sleep(stagger).await;
}

/// Rank of this process among the voters that seem alive, in an order that all processes compute
/// alike.
fn rank(control: &Control) -> u64 {
    let adopted = control.documents.layout.load();
    let (_, layout) = &**adopted;
    let own_disk = control.storage.disk_id.as_str();
    let is_alive = |disk: &str| {
        control
            .members
            .node_with_disk(disk)
            .is_some_and(|node| node.state == MemberState::Alive)
    };
    let candidates = layout
        .core
        .current
        .iter()
        .map(String::as_str)
        .filter(|disk| *disk == own_disk || is_alive(disk));
    let ranked = yewcross_common::hash::ranked("duty", candidates);
    ranked
        .iter()
        .position(|disk| *disk == own_disk)
        .unwrap_or(0) as u64
}

/// Requests the lease, and returns its term if a quorum granted it. Asks first whether a quorum
/// calls the lease free: a process that gets no answers through then never blocks the granters.
async fn campaign(control: &Arc<Control>) -> Option<u64> {
    let voters = control.documents.layout.load().1.core.clone();
    let highest_term = highest_term_if_free(control, &voters).await?;
    let term = highest_term.max(control.documents.layout.load().1.term) + 1;
    let request = control.singleton_tasks.holder.lock().unwrap().request(
        control.runtime.now(),
        term,
        &voters,
    );
    let disks = all_voters(&voters);
    let pending = disks.len();
    let responses = ask_voters(control, disks, request);
    for _ in 0..pending {
        let Ok(response) = responses.recv().await else {
            break;
        };
        if response.is_some_and(|response| record_grant(control, term, REQUEST_ROUND, &response)) {
            return Some(term);
        }
    }
    release(control, &voters);
    None
}

/// The highest term that the answering voters know, if a quorum of them calls the lease free.
async fn highest_term_if_free(control: &Arc<Control>, voters: &ReplicaGroup) -> Option<u64> {
    let disks = all_voters(voters);
    let pending = disks.len();
    let responses = ask_voters(control, disks, LeaseOperation::Check);
    let mut free: Vec<String> = vec![];
    let mut highest_term = 0;
    for _ in 0..pending {
        let Some(response) = responses.recv().await.ok()? else {
            continue;
        };
        highest_term = highest_term.max(response.term);
        if response.verdict == LeaseVerdict::Free {
            free.push(response.granter);
        }
        if has_quorum(voters, |disk| free.iter().any(|granter| granter == disk)) {
            return Some(highest_term);
        }
    }
    None
}

/// Records a grant. Returns true if the lease is held, or held for longer, by it.
fn record_grant(control: &Control, term: u64, round: u64, response: &LeaseResponse) -> bool {
    response.verdict == LeaseVerdict::Granted
        && control.singleton_tasks.holder.lock().unwrap().record_grant(
            term,
            round,
            &response.granter,
        )
}

/// Renews the lease until it expired, or this process must not hold it any more.
async fn hold(control: &Arc<Control>, term: u64) {
    control.singleton_tasks.acquired.fetch_add(1, SeqCst);
    control.runtime.log(&format!("lease taken, term {term}"));
    control.runtime.spawn(fence(control.clone(), term));
    while is_eligible(control) && renew(control, term) {
        control.runtime.sleep(LEASE_RENEWAL_INTERVAL).await;
    }
    control.singleton_tasks.lost.fetch_add(1, SeqCst);
    control.runtime.log(&format!("lease lost, term {term}"));
    let voters = control.documents.layout.load().1.core.clone();
    release(control, &voters);
    control.singleton_tasks.lease_changed.notify(usize::MAX);
}

/// Begins a round of renewal. Returns false if the lease is not held any more.
fn renew(control: &Arc<Control>, term: u64) -> bool {
    let voters = control.documents.layout.load().1.core.clone();
    let renewal = control
        .singleton_tasks
        .holder
        .lock()
        .unwrap()
        .renew(control.runtime.now(), &voters);
    let Some(operation @ LeaseOperation::Renew { round, .. }) = renewal else {
        return false;
    };
    for disk in all_voters(&voters) {
        let control_handle = control.clone();
        control.runtime.spawn(async move {
            if let Some(response) = ask_voter(&control_handle, &disk, operation).await {
                record_grant(&control_handle, term, round, &response);
            }
        });
    }
    true
}

/// Takes the documents under new ballots, so that nothing that an earlier holder has in flight can
/// be accepted any more. The holder acts only after this; one that does not get there in time lets
/// another process try.
async fn fence(control: Arc<Control>, term: u64) {
    let deadline = control.runtime.now() + FENCING_TIMEOUT;
    let is_held = || control.lease_term() == Some(term);
    while is_held() && control.runtime.now() < deadline {
        if take_documents(&control).await {
            control.singleton_tasks.fenced_term.store(term, SeqCst);
            // Replicas that missed the new ballot are repaired now, so that readers find all alike.
            control.sweep_requested.notify(usize::MAX);
            control.singleton_tasks.lease_changed.notify(usize::MAX);
            return;
        }
        // Disks that keep a newer layout reject requests by an older one.
        layout::catch_up(&control).await;
        control.runtime.sleep(FENCE_RETRY).await;
    }
    if is_held() {
        control
            .runtime
            .log(&format!("the documents cannot be taken, term {term}"));
        let unfit_until = control.runtime.now() + CANDIDACY_PAUSE;
        control
            .singleton_tasks
            .unfit_until
            .store(unfit_until, SeqCst);
    }
}

/// Takes all documents at once, since each waits for its own disks only. Returns whether all were
/// taken.
async fn take_documents(control: &Arc<Control>) -> bool {
    if control.options.tends && !layout::decide_first_documents(control).await {
        return false;
    }
    let documents: &[&'static str] = if control.options.tends {
        &DOCUMENT_NAMES
    } else {
        &FENCED
    };
    let takes = documents
        .iter()
        .map(|document| -> BoxFuture<'static, bool> {
            let (control, document) = (control.clone(), *document);
            Box::pin(async move { take_document(&control, document).await })
        })
        .collect();
    let taken = control.runtime.spawn_all(takes);
    for _ in documents {
        if taken.recv().await != Ok(true) {
            return false;
        }
    }
    true
}

/// Takes one document, and publishes a version that an earlier holder decided without publishing it.
async fn take_document(control: &Arc<Control>, name: &'static str) -> bool {
    let known = control.documents.document(name).version;
    let read = |version, content: &[u8]| ValueUpdate::Keep((version, content.to_vec()));
    let Ok((version, content)) = control.registers.change(name, SEC, read).await else {
        return false;
    };
    if !control.options.tends || version <= known {
        return true;
    }
    if known == 0 {
        control
            .documents
            .apply(name, version, Ballot::default(), content);
    } else {
        config::publish(control, name, version, content);
    }
    true
}

/// Stops holding or requesting the lease. The granters are notified, so that no candidate has to
/// wait until it expires.
fn release(control: &Arc<Control>, voters: &ReplicaGroup) {
    let Some(term) = control.singleton_tasks.holder.lock().unwrap().release() else {
        return;
    };
    ask_voters(
        control,
        all_voters(voters),
        LeaseOperation::Release { term },
    );
}

/// Releases the lease for good at a planned stop, and waits for the granters for a while.
pub(crate) async fn resign(control: &Arc<Control>) {
    control.singleton_tasks.resigned.store(true, SeqCst);
    let Some(term) = control.singleton_tasks.holder.lock().unwrap().release() else {
        return;
    };
    let voters = all_voters(&control.documents.layout.load().1.core);
    let pending = voters.len();
    let responses = ask_voters(control, voters, LeaseOperation::Release { term });
    let released = async {
        for _ in 0..pending {
            // Only the number of answers counts: a granter that fails lets the lease expire.
            let _ = responses.recv().await;
        }
    };
    control.runtime.timeout(RELEASE_WAIT, released).await;
}
