//! Contact with a quorum of the core replicas (voters): asking them, and what follows from their
//! answers.
//!
//! A core that has no such contact may have missed decisions, so it publishes no updates and takes
//! no orders. The lease holder's renewals serve as its heartbeat; every other core polls as many
//! voters as make a majority, in turns.

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

/// us. Contact counts for at least this long, however short the time to apply is.
const SHORTEST_CONTACT: u64 = 200 * MS;

/// How often a core polls voters within the time for which contact counts.
const POLLS_WITHIN_CONTACT: u64 = 3;

/// Processes begin with different voters: one of so many first turns is drawn.
const FIRST_TURNS: usize = 64;

/// Sends one request to one voter, or answers it here. An answer counts as contact. `None` if the
/// disk did not answer within `LEASE_REQUEST_TIMEOUT`, or is unable to.
pub(crate) async fn ask_voter(
    control: &Arc<Control>,
    disk: &str,
    operation: LeaseOperation,
) -> Option<LeaseResponse> {
    let seats = voters_digest(&control.documents.layout.load().1);
    let wants_holder = with_granter(control, |granter, now| granter.holder(now).is_none());
    let request = LeaseRequest {
        granter: disk.into(),
        candidate: control.singleton_tasks.candidate.clone(),
        replicas_digest: seats,
        operation,
        wants_holder,
    };
    let sent = control.runtime.now();
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
    if !speaks_for(&response, disk) {
        return None;
    }
    control
        .singleton_tasks
        .contact
        .lock()
        .unwrap()
        .record_answer(disk, sent, &response.versions);
    if let Some(holder) = &response.holder {
        *control.singleton_tasks.reported_holder.lock().unwrap() = Some((holder.clone(), sent));
    }
    Some(response)
}

/// Whether the response is that disk's, and the disk works.
fn speaks_for(response: &LeaseResponse, disk: &str) -> bool {
    let is_unable = matches!(
        response.verdict,
        LeaseVerdict::Refused(LeaseDenial::OtherDisk | LeaseDenial::DiskFailed)
    );
    response.granter == disk && !is_unable
}

/// Sends one request to several voters at once. Each of them puts one message into the channel.
pub(crate) fn ask_voters(
    control: &Arc<Control>,
    disks: Vec<String>,
    operation: LeaseOperation,
) -> async_channel::Receiver<Option<LeaseResponse>> {
    let requests = disks
        .into_iter()
        .map(|disk| {
            let control = control.clone();
            let request: BoxFuture<'static, _> =
                Box::pin(async move { ask_voter(&control, &disk, operation).await });
            request
        })
        .collect();
    control.runtime.spawn_all(requests)
}

/// All disks of a group: the incoming ones, then the outgoing ones that do not stay.
pub(crate) fn all_voters(group: &ReplicaGroup) -> Vec<String> {
    let leaving = group
        .previous
        .iter()
        .filter(|disk| !group.current.contains(disk));
    group.current.iter().chain(leaving).cloned().collect()
}

/// How long an answer of a quorum counts as contact, in us: half of the time in which a
/// configuration is to be in force everywhere, so that a successor still has the other half.
fn contact_lifetime(apply_ms: u64) -> u64 {
    (apply_ms * MS / 2).max(SHORTEST_CONTACT)
}

impl Control {
    /// Whether a quorum of the voters answered this process lately; of both sets while the core
    /// group changes. Whatever was decided before the lifetime of a contact is then known here at
    /// least by its version.
    pub fn has_quorum_contact(&self) -> bool {
        let since = quorum_since(self, &self.documents.layout.load().1.core);
        since > 0 && self.runtime.now() < since + contact_lifetime(self.settings.bounds.apply)
    }

    /// The newest version of a document that any voter has reported.
    pub fn newest_reported_version(&self, document: &str) -> u64 {
        self.singleton_tasks
            .contact
            .lock()
            .unwrap()
            .newest_version(document)
    }
}

fn quorum_since(control: &Control, group: &ReplicaGroup) -> u64 {
    control
        .singleton_tasks
        .contact
        .lock()
        .unwrap()
        .quorum_since(group)
}

/// Whether a quorum of the voters answers this process; they are asked again if they have not
/// lately. Takes at most `QUORUM_TIMEOUT`.
pub async fn ensure_quorum_contact(control: &Arc<Control>) -> bool {
    if control.has_quorum_contact() {
        return true;
    }
    let voters = all_voters(&control.documents.layout.load().1.core);
    let pending = voters.len();
    let responses = ask_voters(control, voters, LeaseOperation::Check);
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

/// Polls the voters for as long as the process runs: a majority of them, in turns, several times
/// within the lifetime of a contact. After a round that left contact short all are asked, since with
/// as many voters missing as are tolerated the turns alone would leave it short again and again.
pub(crate) async fn keep_contact(control: Arc<Control>) {
    let interval = contact_lifetime(control.settings.bounds.apply) / POLLS_WITHIN_CONTACT;
    let first_backoff = CONTACT_RETRY_DELAY.min(interval / 2);
    let mut turn = control.runtime.random() as usize % FIRST_TURNS;
    let mut backoff = first_backoff;
    loop {
        let adopted = control.documents.layout.load_full();
        let (version, layout) = &*adopted;
        poll_voters(&control, layout, turn, interval).await;
        turn += 1;
        // Voters that start together, or meet again after a partition, answer within a moment: the
        // first repetitions follow quickly.
        let rest = if control.has_quorum_contact() {
            backoff = first_backoff;
            interval
        } else {
            let rest = backoff;
            backoff = (2 * backoff).min(interval / 2);
            rest
        };
        let changed = control.documents.changed.listen();
        if *version == 0 {
            futures_lite::future::or(changed, control.runtime.sleep(interval)).await;
        } else {
            control.runtime.sleep(rest).await;
        }
        note_contact(&control);
    }
}

/// One round: asks this process's own disk if it is a voter, and others as needed.
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
    let last_round_sufficed =
        control.runtime.now() < quorum_since(control, group) + interval * 3 / 2;
    let polled = voters_in_turn(group, others, own_disk, turn, last_round_sufficed);
    if is_voter(layout, own_disk) {
        ask_voter(control, own_disk, LeaseOperation::Check).await;
    }
    // The holder's renewals are its heartbeat.
    if control.lease_term().is_none() {
        ask_voters(control, polled, LeaseOperation::Check);
    }
}

/// As many as a majority needs, in turns; all if the last round did not suffice, or while the core
/// group changes.
fn voters_in_turn(
    group: &ReplicaGroup,
    mut others: Vec<String>,
    own_disk: &str,
    turn: usize,
    last_round_sufficed: bool,
) -> Vec<String> {
    if others.is_empty() || !last_round_sufficed || group.is_changing() {
        return others;
    }
    let own_votes = usize::from(group.current.iter().any(|disk| disk == own_disk));
    let needed = majority(group.current.len()) - own_votes;
    let first = turn % others.len();
    others.rotate_left(first);
    others.truncate(needed);
    others
}

/// Counts and logs that contact was lost or found.
fn note_contact(control: &Control) {
    let has_contact = control.has_quorum_contact();
    let had_contact = control
        .singleton_tasks
        .had_contact
        .swap(has_contact, SeqCst);
    if has_contact == had_contact {
        return;
    }
    if has_contact {
        control.runtime.log("contact with a majority of core seats");
    } else {
        control.singleton_tasks.contact_lost.fetch_add(1, SeqCst);
        control
            .runtime
            .log("no contact with a majority of core seats");
    }
}
