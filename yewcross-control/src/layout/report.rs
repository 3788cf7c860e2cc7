//! Reports of disks on a change of the replica assignment.
//!
//! The request names the disk that is meant and the response the disk that answers: a machine that
//! came back empty at its address does not answer for the disk that it lost.

use super::planning::ReplicaReport;
use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::WIRE_VERSION_NAMED_DISKS;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::runtime::BoxFuture;

/// A report, and how many keys the disk has yet to transfer.
pub(super) struct DetailedReport {
    pub(super) replica: ReplicaReport,
    pub(super) keys_left: u64,
}

/// This disk's own report of the change that layout `since` began.
pub fn report(control: &Control, since: u64) -> PeerResponse {
    let (turns_swept, turns_left) = control.turn_store.swept(since);
    let kept = control.persisted_layout_version();
    let keys_swept = control.swept_layout_version.load(SeqCst) >= since;
    PeerResponse::SweepProgress {
        done: keys_swept && kept >= since && turns_swept,
        left: control.sweep_keys_left.load(SeqCst) + turns_left,
        newest_layout: kept,
        disk: control.storage.disk_id.clone(),
    }
}

/// Asks one disk for its report; `None` if it does not answer within `timeout_us`.
pub(super) async fn ask(
    control: &Arc<Control>,
    disk: &str,
    since: u64,
    timeout_us: u64,
) -> Option<DetailedReport> {
    let mut may_be_unnamed = false;
    let response = if disk == control.storage.disk_id {
        report(control, since)
    } else {
        let node = control.members.node_with_disk(disk)?;
        let request = PeerRequest::SweepProgress {
            layout: since,
            disk: disk.into(),
        };
        let (response, _) = control
            .peers
            .request(node.peer, &request, &[], timeout_us)
            .await
            .ok()?;
        may_be_unnamed = control.peers.version(node.peer) < WIRE_VERSION_NAMED_DISKS;
        response
    };
    let PeerResponse::SweepProgress {
        done,
        left,
        newest_layout: kept,
        disk: answering,
    } = response
    else {
        return None;
    };
    let speaks_for_disk = answering == disk || (answering.is_empty() && may_be_unnamed);
    speaks_for_disk.then(|| DetailedReport {
        replica: ReplicaReport {
            disk: disk.into(),
            persisted_layout_version: kept,
            is_swept: done,
        },
        keys_left: left,
    })
}

/// Asks all of the disks at once. Returns when the reports are `enough`, when all have answered, or
/// after `timeout_us`.
pub(super) async fn survey(
    control: &Arc<Control>,
    disks: &[String],
    since: u64,
    timeout_us: u64,
    enough: impl Fn(&[ReplicaReport]) -> bool,
) -> Vec<ReplicaReport> {
    let requests: Vec<BoxFuture<'static, Option<ReplicaReport>>> = disks
        .iter()
        .map(|disk| {
            let (control, disk) = (control.clone(), disk.clone());
            let request: BoxFuture<'static, _> = Box::pin(async move {
                let report = ask(&control, &disk, since, timeout_us).await?;
                Some(report.replica)
            });
            request
        })
        .collect();
    let pending = requests.len();
    let responses = control.runtime.spawn_all(requests);
    let mut reports = vec![];
    for _ in 0..pending {
        reports.extend(responses.recv().await.ok().flatten());
        if enough(&reports) {
            break;
        }
    }
    reports
}
