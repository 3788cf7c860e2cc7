//! What disks report of a change of seats. The question names the disk that is meant and the answer
//! the disk that gives it: a machine that came back empty at its address does not answer for the
//! disk it lost.

use super::planning::SeatReport;
use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::WIRE_NAMED_DISKS;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::runtime::BoxFuture;

/// This disk's own report of the change that layout number `since` began.
pub fn report(control: &Control, since: u64) -> PeerResponse {
    let (chains_swept, chains_left) = control.chain.swept(since);
    let kept = control.layout_kept();
    let done = control.swept.load(SeqCst) >= since && kept >= since && chains_swept;
    PeerResponse::SweepProgress {
        done,
        left: control.sweep_left.load(SeqCst) + chains_left,
        kept,
        disk: control.storage.disk_id.clone(),
    }
}

/// Asks one disk; also how many keys it has yet to bring.
pub async fn ask(
    control: &Arc<Control>,
    disk: &str,
    since: u64,
    us: u64,
) -> Option<(SeatReport, u64)> {
    let mut may_be_unnamed = false;
    let answer = if disk == control.storage.disk_id {
        report(control, since)
    } else {
        let node = control.members.by_disk(disk)?;
        let question = PeerRequest::SweepProgress {
            layout: since,
            disk: disk.into(),
        };
        let answer = control
            .peers
            .request(node.peer, &question, &[], us)
            .await
            .ok()?
            .0;
        may_be_unnamed = control.peers.version(node.peer) < WIRE_NAMED_DISKS;
        answer
    };
    match answer {
        PeerResponse::SweepProgress {
            done,
            left,
            kept,
            disk: by,
        } if by == disk || (by.is_empty() && may_be_unnamed) => Some((
            SeatReport {
                disk: disk.into(),
                kept,
                swept: done,
            },
            left,
        )),
        _ => None,
    }
}

/// Asks all of the disks at once; ends when what was reported is `enough`, all have answered, or
/// the wait is over.
pub async fn survey(
    control: &Arc<Control>,
    disks: &[String],
    since: u64,
    us: u64,
    enough: impl Fn(&[SeatReport]) -> bool,
) -> Vec<SeatReport> {
    let questions: Vec<BoxFuture<'static, Option<SeatReport>>> = disks
        .iter()
        .map(|disk| {
            let (me, disk) = (control.clone(), disk.clone());
            let question: BoxFuture<'static, _> =
                Box::pin(async move { ask(&me, &disk, since, us).await.map(|x| x.0) });
            question
        })
        .collect();
    let (asked, answers) = (questions.len(), control.runtime.spawn_all(questions));
    let mut reports = vec![];
    for _ in 0..asked {
        reports.extend(answers.recv().await.ok().flatten());
        if enough(&reports) {
            break;
        }
    }
    reports
}
