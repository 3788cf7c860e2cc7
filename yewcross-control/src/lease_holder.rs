//! Acquires, renews and releases the lease for this process. The rules are in [`crate::lease`].
//!
//! # When the lease expires
//!
//! - *At a granter*: `LEASE_LENGTH` after it decided the last request or renewal that it granted,
//!   on its own clock. Until then it grants the lease to no other candidate. After a restart, or a
//!   change of the voters since its persisted grant, it first waits for one `LEASE_LENGTH` before it
//!   grants the lease to any candidate.
//! - *At the holder*: `LEASE_LENGTH - LEASE_MARGIN` after it **sent** the last round that a quorum
//!   granted, on its own clock. A round is sent before any of its answers is decided, so network
//!   delays only shorten the holder's time. The margin covers clocks that run at different rates:
//!   the lease expires first at the holder even if its clock is slower than a granter's by the ratio
//!   of margin to length.
//!
//! No timer or event signals that the lease has expired. `Control::acting_term` compares the clock
//! with the expiry on every call and is called right before every action, so a process that was
//! suspended does not act on a lease that expired in the meantime.
//!
//! A new holder acts only after it has written the documents under new ballots (`fence`). From then
//! on the replicas reject everything that an earlier holder still has in flight.

use crate::lease::has_quorum;
use crate::lease_granter::with_granter;
use crate::quorum_contact::{all_voters, send_to_voter, send_to_voters};
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

/// Documents that a new holder fences before it acts, in a tier that is maintained manually. There
/// any core decides operators' orders, so the configuration has no single proposer to fence.
const FENCED_DOCUMENTS: [&str; 2] = ["layout", "list"];

/// Delay before a holder tries again to fence the documents, in µs.
const FENCE_RETRY_DELAY: u64 = 20 * MS;

/// Interval at which a process that is not eligible for the lease checks its eligibility, in µs.
const ELIGIBILITY_CHECK_INTERVAL: u64 = if SEC < CANDIDACY_PAUSE / 4 {
    SEC
} else {
    CANDIDACY_PAUSE / 4
};

/// Longest wait for the granters to confirm a release at a planned stop, in µs.
const RELEASE_TIMEOUT: u64 = LEASE_REQUEST_TIMEOUT / 2;

/// Round number of the request for the lease; renewals count from 1.
const REQUEST_ROUND: u64 = 0;

/// Campaigns for the lease and holds it, until another process replaces this one on its disk.
pub(crate) async fn run(control: Arc<Control>) {
    while !control.members.replaced.is_set() {
        if !is_eligible(&control) {
            let documents_changed = control.documents.changed.listen();
            let lease_changed = control.singleton_tasks.lease_changed.listen();
            let any_change = futures_lite::future::or(documents_changed, lease_changed);
            control
                .runtime
                .timeout(ELIGIBILITY_CHECK_INTERVAL, any_change)
                .await;
            continue;
        }
        wait_until_free(&control).await;
        if !is_eligible(&control) || !is_free_at_own_granter(&control) {
            continue;
        }
        if let Some(term) = campaign(&control).await {
            renew_until_lost(&control, term).await;
        } else {
            let backoff = LEASE_RETRY_DELAY + control.runtime.random() % LEASE_RETRY_DELAY;
            control.runtime.sleep(backoff).await;
        }
    }
}

/// Whether this process may hold the lease: its disk is a voter of the current set and has not failed,
/// and the process is not in a candidacy pause, not replaced and not stopping.
fn is_eligible(control: &Control) -> bool {
    let is_voter = control
        .documents
        .layout
        .load()
        .1
        .core
        .current
        .contains(&control.storage.disk_id);
    let is_pause_over =
        control.runtime.now() >= control.singleton_tasks.ineligible_until.load(SeqCst);
    is_voter
        && is_pause_over
        && !control.storage.failed.load(SeqCst)
        && !control.members.replaced.is_set()
        && !control.singleton_tasks.has_resigned.load(SeqCst)
}

/// Whether the lease is free at this disk's granter.
fn is_free_at_own_granter(control: &Control) -> bool {
    with_granter(control, |granter, now| granter.free_at() <= now)
}

/// Waits until the lease has expired at this disk's granter or has changed, and then for a delay that
/// differs between candidates, so that they rarely compete.
async fn wait_until_free(control: &Arc<Control>) {
    let changed = control.singleton_tasks.lease_changed.listen();
    let remaining = with_granter(control, |granter, now| {
        granter.free_at().saturating_sub(now)
    });
    if remaining > 0 {
        control.runtime.timeout(remaining, changed).await;
    }
    let stagger =
        own_rank(control) * LEASE_STAGGER + control.runtime.random() % (LEASE_STAGGER / 2);
    control.runtime.sleep(stagger).await;
}

/// Rank of this process among the voters that the membership reports as alive. All processes compute
/// the same order from the same members.
fn own_rank(control: &Control) -> u64 {
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
    let ranked = yewcross_common::hash::rank_by_weight("duty", candidates);
    ranked
        .iter()
        .position(|disk| *disk == own_disk)
        .unwrap_or(0) as u64
}

/// Requests the lease and returns its term if a quorum granted it. The request is sent only after a
/// quorum has reported the lease as free, so that a process that receives no answers never blocks the
/// granters.
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
    let responses = send_to_voters(control, disks, request);
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

/// The highest term that the answering voters report, if a quorum of them reports the lease as free.
async fn highest_term_if_free(control: &Arc<Control>, voters: &ReplicaGroup) -> Option<u64> {
    let disks = all_voters(voters);
    let pending = disks.len();
    let responses = send_to_voters(control, disks, LeaseOperation::Check);
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

/// Records a response if it is a grant. Returns true if it completed a quorum, which acquires or
/// extends the lease.
fn record_grant(control: &Control, term: u64, round: u64, response: &LeaseResponse) -> bool {
    response.verdict == LeaseVerdict::Granted
        && control.singleton_tasks.holder.lock().unwrap().record_grant(
            term,
            round,
            &response.granter,
        )
}

/// Renews the lease until it has expired or this process is no longer eligible for it, and then
/// releases it.
async fn renew_until_lost(control: &Arc<Control>, term: u64) {
    control.singleton_tasks.acquired.fetch_add(1, SeqCst);
    control.runtime.log(&format!("lease acquired, term {term}"));
    control.runtime.spawn(fence(control.clone(), term));
    while is_eligible(control) && start_renewal_round(control, term) {
        control.runtime.sleep(LEASE_RENEWAL_INTERVAL).await;
    }
    control.singleton_tasks.lost.fetch_add(1, SeqCst);
    control.runtime.log(&format!("lease lost, term {term}"));
    let voters = control.documents.layout.load().1.core.clone();
    release(control, &voters);
    control.singleton_tasks.lease_changed.notify(usize::MAX);
}

/// Sends a renewal round to all voters. Returns false if the lease is no longer held.
fn start_renewal_round(control: &Arc<Control>, term: u64) -> bool {
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
            if let Some(response) = send_to_voter(&control_handle, &disk, operation).await {
                record_grant(&control_handle, term, round, &response);
            }
        });
    }
    true
}

/// Fences off earlier holders: writes the documents under new ballots, so that the replicas reject
/// everything that an earlier holder still has in flight. The holder acts only after this. A holder
/// that has not succeeded within `FENCING_TIMEOUT` is ineligible for `CANDIDACY_PAUSE`; it then releases
/// the lease, so that another process can acquire it.
async fn fence(control: Arc<Control>, term: u64) {
    let deadline = control.runtime.now() + FENCING_TIMEOUT;
    let is_held = || control.lease_term() == Some(term);
    while is_held() && control.runtime.now() < deadline {
        if fence_documents(&control).await {
            control.singleton_tasks.fenced_term.store(term, SeqCst);
            // Starts the repair of replicas that missed the new ballot, so that readers find the
            // same state on all replicas.
            control.sweep_requested.notify(usize::MAX);
            control.singleton_tasks.lease_changed.notify(usize::MAX);
            return;
        }
        // Disks that hold a newer layout reject requests made under an older one.
        layout::catch_up(&control).await;
        control.runtime.sleep(FENCE_RETRY_DELAY).await;
    }
    if is_held() {
        control.runtime.log(&format!(
            "could not fence the documents in time, term {term}; pausing candidacy"
        ));
        let ineligible_until = control.runtime.now() + CANDIDACY_PAUSE;
        control
            .singleton_tasks
            .ineligible_until
            .store(ineligible_until, SeqCst);
    }
}

/// Fences all documents concurrently, since each depends only on the disks of its own register.
/// Returns whether all were fenced.
async fn fence_documents(control: &Arc<Control>) -> bool {
    if control.options.maintains_layout && !layout::decide_first_documents(control).await {
        return false;
    }
    let documents: &[&'static str] = if control.options.maintains_layout {
        &DOCUMENT_NAMES
    } else {
        &FENCED_DOCUMENTS
    };
    let operations = documents
        .iter()
        .map(|document| -> BoxFuture<'static, bool> {
            let (control, document) = (control.clone(), *document);
            Box::pin(async move { fence_document(&control, document).await })
        })
        .collect();
    let outcomes = control.runtime.spawn_all(operations);
    for _ in documents {
        if outcomes.recv().await != Ok(true) {
            return false;
        }
    }
    true
}

/// Writes one document under a new ballot, and publishes it if an earlier holder decided a newer
/// version without publishing it. Returns whether a majority accepted the ballot.
async fn fence_document(control: &Arc<Control>, name: &'static str) -> bool {
    let known_version = control.documents.document(name).version;
    let read = |version, content: &[u8]| ValueUpdate::Keep((version, content.to_vec()));
    let Ok((version, content)) = control.registers.change(name, SEC, read).await else {
        return false;
    };
    if !control.options.maintains_layout || version <= known_version {
        return true;
    }
    if known_version == 0 {
        control
            .documents
            .apply(name, version, Ballot::default(), content);
    } else {
        config::publish(control, name, version, content);
    }
    true
}

/// Stops holding or requesting the lease, and notifies the granters so that other candidates need not
/// wait until it expires.
fn release(control: &Arc<Control>, voters: &ReplicaGroup) {
    let Some(term) = control.singleton_tasks.holder.lock().unwrap().release() else {
        return;
    };
    send_to_voters(
        control,
        all_voters(voters),
        LeaseOperation::Release { term },
    );
}

/// Releases the lease at a planned stop, ends the candidacy of this process, and waits up to
/// `RELEASE_TIMEOUT` for the granters.
pub(crate) async fn resign(control: &Arc<Control>) {
    control.singleton_tasks.has_resigned.store(true, SeqCst);
    let Some(term) = control.singleton_tasks.holder.lock().unwrap().release() else {
        return;
    };
    let voters = all_voters(&control.documents.layout.load().1.core);
    let pending = voters.len();
    let responses = send_to_voters(control, voters, LeaseOperation::Release { term });
    let released = async {
        for _ in 0..pending {
            // The content of an answer is irrelevant: a granter that did not process the release
            // lets the lease expire.
            let _ = responses.recv().await;
        }
    };
    control.runtime.timeout(RELEASE_TIMEOUT, released).await;
}
