//! Progress reports of disks on a change of the replica assignment.
//!
//! The request names the requested disk and the response names the disk that answers, so a machine
//! that returned with an empty disk at the same address does not answer for the disk that it lost.

use super::planning::ReplicaReport;
use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::WIRE_VERSION_NAMED_DISKS;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::runtime::BoxFuture;

/// A report with the number of keys that the disk still has to transfer.
pub(super) struct DetailedReport {
    pub(super) replica: ReplicaReport,
    pub(super) keys_left: u64,
}

/// This disk's own report on the change that layout `since` started.
pub fn report(control: &Control, since: u64) -> PeerResponse {
    let (turns_swept, turns_left) = control.turn_store.sweep_status(since);
    let newest_layout = control.persisted_layout_version();
    let keys_swept = control.swept_layout_version.load(SeqCst) >= since;
    PeerResponse::SweepProgress {
        done: keys_swept && newest_layout >= since && turns_swept,
        left: control.sweep_keys_left.load(SeqCst) + turns_left,
        newest_layout,
        disk: control.storage.disk_id.clone(),
    }
}

/// Requests the report of one disk; `None` if it does not answer within `timeout_us` µs.
pub(super) async fn request_report(
    control: &Arc<Control>,
    disk: &str,
    since: u64,
    timeout_us: u64,
) -> Option<DetailedReport> {
    let mut may_omit_disk = false;
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
        may_omit_disk = control.peers.version(node.peer) < WIRE_VERSION_NAMED_DISKS;
        response
    };
    let PeerResponse::SweepProgress {
        done,
        left,
        newest_layout,
        disk: answering_disk,
    } = response
    else {
        return None;
    };
    let is_from_requested_disk =
        answering_disk == disk || (answering_disk.is_empty() && may_omit_disk);
    is_from_requested_disk.then(|| DetailedReport {
        replica: ReplicaReport {
            disk: disk.into(),
            persisted_layout_version: newest_layout,
            is_swept: done,
        },
        keys_left: left,
    })
}

/// Requests reports from all of the disks concurrently. Returns once the reports `suffice`, all disks
/// have answered, or `timeout_us` µs have passed.
pub(super) async fn collect_reports(
    control: &Arc<Control>,
    disks: &[String],
    since: u64,
    timeout_us: u64,
    suffice: impl Fn(&[ReplicaReport]) -> bool,
) -> Vec<ReplicaReport> {
    let requests: Vec<BoxFuture<'static, Option<ReplicaReport>>> = disks
        .iter()
        .map(|disk| {
            let (control, disk) = (control.clone(), disk.clone());
            let request: BoxFuture<'static, _> = Box::pin(async move {
                let report = request_report(&control, &disk, since, timeout_us).await?;
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
        if suffice(&reports) {
            break;
        }
    }
    reports
}
