//! Contact with a majority of the core seats: asking them, and what follows from their answers.

use crate::Control;
use crate::lease::seats_digest;
use crate::lease_granter::{answer, has_seat, with_granter};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::protocol::lease::*;
use yewcross_common::protocol::*;
use yewcross_common::runtime::BoxFuture;

/// Puts one question to one seat. Its answer counts as contact.
pub async fn ask_seat(
    control: &Arc<Control>,
    disk: &str,
    call: LeaseOperation,
) -> Option<LeaseResponse> {
    let seats = seats_digest(&control.documents.layout.load().1);
    let wants_holder = with_granter(control, |granter, now| granter.holder(now).is_none());
    let ask = LeaseRequest {
        granter: disk.into(),
        candidate: control.duties.candidate.clone(),
        seats,
        call,
        wants_holder,
    };
    let sent = control.runtime.now();
    let tell = if disk == control.storage.disk_id {
        answer(control, &ask).await
    } else {
        let peer = control.members.by_disk(disk)?.peer;
        match control
            .peers
            .request(peer, &PeerRequest::Lease(ask), &[], LEASE_WAIT)
            .await
        {
            Ok((PeerResponse::Lease(tell), _)) => tell,
            _ => return None,
        }
    };
    let speaks_for_disk = tell.granter == disk
        && !matches!(
            tell.verdict,
            LeaseVerdict::Refused(LeaseDenial::OtherDisk | LeaseDenial::DiskFailed)
        );
    if !speaks_for_disk {
        return None;
    }
    control
        .duties
        .contact
        .lock()
        .unwrap()
        .heard(disk, sent, &tell.versions);
    if let Some(holder) = &tell.holder {
        *control.duties.told_holder.lock().unwrap() = Some((holder.clone(), sent));
    }
    Some(tell)
}

/// Puts one question to several seats at once.
pub fn ask_seats(
    control: &Arc<Control>,
    disks: Vec<String>,
    call: LeaseOperation,
) -> async_channel::Receiver<Option<LeaseResponse>> {
    let questions = disks
        .into_iter()
        .map(|disk| {
            let me = control.clone();
            let question: BoxFuture<'static, _> =
                Box::pin(async move { ask_seat(&me, &disk, call).await });
            question
        })
        .collect();
    control.runtime.spawn_all(questions)
}

/// All core seats, new and old.
pub fn all_seats(g: &ReplicaGroup) -> Vec<String> {
    let mut v = g.current.clone();
    v.extend(
        g.previous
            .iter()
            .filter(|d| !g.current.contains(d))
            .cloned(),
    );
    v
}

/// us. A core that has not heard a majority of core seats for this long gives no news and takes no
/// orders: half of the time in which a configuration is to be in force everywhere, so that whoever
/// follows still has the other half.
pub fn contact_bound(apply_ms: u64) -> u64 {
    (apply_ms * MS / 2).max(200 * MS)
}

impl Control {
    /// Whether a majority of the core seats answered this process lately; of both sets while core
    /// seats change. Whatever was decided before the bound is then known here at least by number.
    pub fn has_quorum_contact(&self) -> bool {
        let since = self
            .duties
            .contact
            .lock()
            .unwrap()
            .since(&self.documents.layout.load().1.core);
        since > 0 && self.runtime.now() < since + contact_bound(self.settings.bounds.apply)
    }

    /// The newest version of a document that any core seat was heard to hold.
    pub fn version_heard(&self, document: &str) -> u64 {
        self.duties.contact.lock().unwrap().version(document)
    }
}

/// Whether a majority of the core seats answers this process; asked anew where it didn't lately.
/// Takes `QUORUM_WAIT` at most.
pub async fn reach_quorum(control: &Arc<Control>) -> bool {
    if control.has_quorum_contact() {
        return true;
    }
    let seats = all_seats(&control.documents.layout.load().1.core);
    let (asked, answers) = (seats.len(), ask_seats(control, seats, LeaseOperation::Look));
    let met = async {
        for _ in 0..asked {
            if answers.recv().await.is_err() || control.has_quorum_contact() {
                return;
            }
        }
    };
    control.runtime.timeout(QUORUM_WAIT, met).await;
    control.has_quorum_contact()
}

/// Asks a majority of the core seats, in turns, three times in the bound; all seats once a round
/// left it short, since with as many missing as are tolerated the turns alone would leave it short
/// again and again.
pub async fn keep_contact(control: Arc<Control>) {
    let every = contact_bound(control.settings.bounds.apply) / 3;
    let mut turn = control.runtime.random() as usize % 64;
    let mut soon = CONTACT_AGAIN.min(every / 2);
    loop {
        let layout = control.documents.layout.load_full();
        let others: Vec<String> = all_seats(&layout.1.core)
            .into_iter()
            .filter(|d| *d != control.storage.disk_id)
            .collect();
        control
            .duties
            .contact
            .lock()
            .unwrap()
            .retain(&layout.1.core);
        let heard_at = control.duties.contact.lock().unwrap().since(&layout.1.core);
        let last_round_was_enough = control.runtime.now() < heard_at + every * 3 / 2;
        let asked = seats_in_turn(
            &layout.1.core,
            others,
            &control.storage.disk_id,
            turn,
            last_round_was_enough,
        );
        turn += 1;
        if has_seat(&layout.1, &control.storage.disk_id) {
            ask_seat(&control, &control.storage.disk_id, LeaseOperation::Look).await;
        }
        // The holder's renewals are its heartbeat.
        if control.lease_term().is_none() {
            ask_seats(&control, asked, LeaseOperation::Look);
        }
        // Seats that start together, or meet again after a cut, are a moment away: they are asked
        // again soon at first.
        let has_contact = control.has_quorum_contact();
        let rest = if has_contact { every } else { soon };
        soon = if has_contact {
            CONTACT_AGAIN.min(every / 2)
        } else {
            (2 * soon).min(every / 2)
        };
        let moved = control.documents.changed.listen();
        match layout.0 {
            0 => futures_lite::future::or(moved, control.runtime.sleep(every)).await,
            _ => control.runtime.sleep(rest).await,
        }
        note_contact(&control);
    }
}

/// As many as a majority needs, in turns; all where the last round was not enough, or while core
/// seats change.
fn seats_in_turn(
    g: &ReplicaGroup,
    mut others: Vec<String>,
    own: &str,
    turn: usize,
    last_round_was_enough: bool,
) -> Vec<String> {
    if others.is_empty() || !last_round_was_enough || !g.previous.is_empty() {
        return others;
    }
    let needed = yewcross_common::register::majority(g.current.len())
        - g.current.iter().any(|d| d == own) as usize;
    let n = others.len();
    others.rotate_left(turn % n);
    others.truncate(needed);
    others
}

fn note_contact(control: &Control) {
    let now = control.has_quorum_contact();
    if control.duties.had_contact.swap(now, SeqCst) == now {
        return;
    }
    if !now {
        control.duties.contact_lost.fetch_add(1, SeqCst);
    }
    control.runtime.log(if now {
        "contact with a majority of core seats"
    } else {
        "no contact with a majority of core seats"
    });
}
