//! Contact with a quorum of the core replicas (voters): sends them lease requests and tracks whether
//! a quorum has answered recently.
//!
//! A core without quorum contact may have missed decisions, so it publishes no updates and accepts no
//! orders. The lease holder's renewals serve as its heartbeat; every other core polls a majority of
//! the voters in round-robin order.

use crate::Control;
use crate::lease::voters_digest;
use crate::lease_granter::{answer, is_voter, with_granter};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{CONTACT_RETRY_DELAY, LEASE_REQUEST_TIMEOUT, MS, QUORUM_TIMEOUT};
use yewcross_common::protocol::lease::{
    LeaseDenial, LeaseOperation, LeaseRequest, LeaseResponse, LeaseVerdict,
};
use yewcross_common::protocol::{Layout, PeerRequest, PeerResponse, ReplicaGroup};
use yewcross_common::register::majority;
use yewcross_common::runtime::BoxFuture;

/// Shortest time for which an answer counts as contact, in µs, however short the configured time to
/// apply a configuration is.
const MIN_CONTACT_LIFETIME: u64 = 200 * MS;

/// Number of polling rounds within the lifetime of a contact.
const POLLS_PER_CONTACT_LIFETIME: u64 = 3;

/// Each process draws its first turn at random below this number, so that processes start polling at
/// different voters.
const FIRST_TURN_RANGE: usize = 64;

/// Sends one request to one voter, or handles it locally if the voter is this process's own disk. An
/// answer counts as contact. `None` if the voter did not answer within `LEASE_REQUEST_TIMEOUT` or its
/// disk cannot serve the request.
pub(crate) async fn send_to_voter(
    control: &Arc<Control>,
    disk: &str,
    operation: LeaseOperation,
) -> Option<LeaseResponse> {
    let replicas_digest = voters_digest(&control.documents.layout.load().1);
    let wants_holder = with_granter(control, |granter, now| granter.holder(now).is_none());
    let request = LeaseRequest {
        granter: disk.into(),
        candidate: control.singleton_tasks.candidate.clone(),
        replicas_digest,
        operation,
        wants_holder,
    };
    let sent_at = control.runtime.now();
    let response = if disk == control.storage.disk_id {
        answer(control, &request).await
    } else {
        let peer = control.members.node_with_disk(disk)?.peer;
        let request = PeerRequest::Lease(request);
        match control
            .peers
            .request(peer, &request, &[], LEASE_REQUEST_TIMEOUT)
            .await
        {
            Ok((PeerResponse::Lease(response), _)) => response,
            _ => return None,
        }
    };
    if !is_usable_response(&response, disk) {
        return None;
    }
    control
        .singleton_tasks
        .contact
        .lock()
        .unwrap()
        .record_answer(disk, sent_at, &response.versions);
    if let Some(holder) = &response.holder {
        *control.singleton_tasks.reported_holder.lock().unwrap() = Some((holder.clone(), sent_at));
    }
    Some(response)
}

/// Whether the response was given by the requested disk's granter and that disk has not failed.
fn is_usable_response(response: &LeaseResponse, disk: &str) -> bool {
    let is_unable = matches!(
        response.verdict,
        LeaseVerdict::Refused(LeaseDenial::OtherDisk | LeaseDenial::DiskFailed)
    );
    response.granter == disk && !is_unable
}

/// Sends one request to several voters concurrently. The channel receives one message per voter.
pub(crate) fn send_to_voters(
    control: &Arc<Control>,
    disks: Vec<String>,
    operation: LeaseOperation,
) -> async_channel::Receiver<Option<LeaseResponse>> {
    let requests = disks
        .into_iter()
        .map(|disk| {
            let control = control.clone();
            let request: BoxFuture<'static, _> =
                Box::pin(async move { send_to_voter(&control, &disk, operation).await });
            request
        })
        .collect();
    control.runtime.spawn_all(requests)
}

/// All disks of a group: the current set, then the outgoing disks that are not in the current set.
pub(crate) fn all_voters(group: &ReplicaGroup) -> Vec<String> {
    let leaving = group
        .previous
        .iter()
        .filter(|disk| !group.current.contains(disk));
    group.current.iter().chain(leaving).cloned().collect()
}

/// How long an answer of a quorum counts as contact, in µs: half of the time within which a
/// configuration has to be in force everywhere, so that the other half remains for a successor.
fn contact_lifetime(apply_ms: u64) -> u64 {
    (apply_ms * MS / 2).max(MIN_CONTACT_LIFETIME)
}

impl Control {
    /// Whether a quorum of the voters has answered this process within the lifetime of a contact;
    /// while the core group changes, a quorum of both sets. If so, this process has received at
    /// least the version number of every document decided before that time.
    pub fn has_quorum_contact(&self) -> bool {
        let since = quorum_since(self, &self.documents.layout.load().1.core);
        since > 0 && self.runtime.now() < since + contact_lifetime(self.settings.bounds.apply)
    }

    /// The newest version of a document that any voter has reported; 0 if none has.
    pub fn newest_reported_version(&self, document: &str) -> u64 {
        self.singleton_tasks
            .contact
            .lock()
            .unwrap()
            .newest_version(document)
    }
}

/// The latest time in µs such that a quorum of the group has answered requests sent at or after it; 0
/// if there is none.
fn quorum_since(control: &Control, group: &ReplicaGroup) -> u64 {
    control
        .singleton_tasks
        .contact
        .lock()
        .unwrap()
        .latest_quorum_contact(group)
}

/// Whether this process has contact with a quorum of the voters. Without recent contact it polls them
/// once and waits for at most `QUORUM_TIMEOUT`.
pub async fn ensure_quorum_contact(control: &Arc<Control>) -> bool {
    if control.has_quorum_contact() {
        return true;
    }
    let voters = all_voters(&control.documents.layout.load().1.core);
    let pending = voters.len();
    let responses = send_to_voters(control, voters, LeaseOperation::Check);
    let reached = async {
        for _ in 0..pending {
            if responses.recv().await.is_err() || control.has_quorum_contact() {
                return;
            }
        }
    };
    control.runtime.timeout(QUORUM_TIMEOUT, reached).await;
    control.has_quorum_contact()
}

/// Polls the voters for as long as the process runs: a majority of them in round-robin order, several
/// times within the lifetime of a contact. After a round without a quorum all voters are polled: with
/// the tolerated number of voters unavailable, polling only a majority would repeatedly miss the
/// quorum.
pub(crate) async fn maintain_contact(control: Arc<Control>) {
    let interval = contact_lifetime(control.settings.bounds.apply) / POLLS_PER_CONTACT_LIFETIME;
    let first_backoff = CONTACT_RETRY_DELAY.min(interval / 2);
    let mut turn = control.runtime.random() as usize % FIRST_TURN_RANGE;
    let mut backoff = first_backoff;
    loop {
        let adopted = control.documents.layout.load_full();
        let (version, layout) = &*adopted;
        poll_voters(&control, layout, turn, interval).await;
        turn += 1;
        // Voters that start at the same time, or reconnect after a partition, answer again within a
        // short time, so the first retries follow quickly.
        let delay = if control.has_quorum_contact() {
            backoff = first_backoff;
            interval
        } else {
            let delay = backoff;
            backoff = (2 * backoff).min(interval / 2);
            delay
        };
        let changed = control.documents.changed.listen();
        if *version == 0 {
            futures_lite::future::or(changed, control.runtime.sleep(interval)).await;
        } else {
            control.runtime.sleep(delay).await;
        }
        record_contact_change(&control);
    }
}

/// Runs one polling round: polls this process's own disk if it is a voter, and other voters as needed.
async fn poll_voters(control: &Arc<Control>, layout: &Layout, turn: usize, interval: u64) {
    let (group, own_disk) = (&layout.core, &control.storage.disk_id);
    let others: Vec<String> = all_voters(group)
        .into_iter()
        .filter(|disk| disk != own_disk)
        .collect();
    control
        .singleton_tasks
        .contact
        .lock()
        .unwrap()
        .retain(group);
    let last_round_had_quorum =
        control.runtime.now() < quorum_since(control, group) + interval * 3 / 2;
    let polled = voters_to_poll(group, others, own_disk, turn, last_round_had_quorum);
    if is_voter(layout, own_disk) {
        send_to_voter(control, own_disk, LeaseOperation::Check).await;
    }
    // The holder's renewals are its heartbeat.
    if control.lease_term().is_none() {
        send_to_voters(control, polled, LeaseOperation::Check);
    }
}

/// The voters to poll in this turn: as many as complete a majority, in round-robin order; all of them
/// if the last round reached no quorum or the core group is changing.
fn voters_to_poll(
    group: &ReplicaGroup,
    mut others: Vec<String>,
    own_disk: &str,
    turn: usize,
    last_round_had_quorum: bool,
) -> Vec<String> {
    if others.is_empty() || !last_round_had_quorum || group.is_changing() {
        return others;
    }
    let own_votes = usize::from(group.current.iter().any(|disk| disk == own_disk));
    let needed = majority(group.current.len()) - own_votes;
    let first = turn % others.len();
    others.rotate_left(first);
    others.truncate(needed);
    others
}

/// Logs a change of quorum contact and counts each loss.
fn record_contact_change(control: &Control) {
    let has_contact = control.has_quorum_contact();
    let had_contact = control
        .singleton_tasks
        .had_contact
        .swap(has_contact, SeqCst);
    if has_contact == had_contact {
        return;
    }
    if has_contact {
        control
            .runtime
            .log("in contact with a majority of the core replicas");
    } else {
        control.singleton_tasks.contact_lost.fetch_add(1, SeqCst);
        control
            .runtime
            .log("lost contact with a majority of the core replicas");
    }
}
