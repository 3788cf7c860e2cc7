//! Ends changes of the replica assignment: checks that the outgoing set is no longer needed and
//! removes it. A step that ends a change is valid for the sets of its group (`ReplicaGroup::since`)
//! rather than for one layout version, so that changes of the other group do not delay it.

use super::change::apply_newest;
use super::planning::{self, ReplicaReport};
use super::report::collect_reports;
use super::{DecidedLayout, LAYOUT, VersionedLayout};
use crate::{Control, config};
use std::sync::Arc;
use yewcross_common::constants::{
    LAYOUT_STEP_TIMEOUT, PEER_REQUEST_TIMEOUT, READ_ATTEMPTS, READ_RETRY_DELAY, SEC,
    SWEEP_REPORT_TIMEOUT,
};
use yewcross_common::documents::cache::DOCUMENT_NAMES;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, PeerRequest, ReplicaGroup};
use yewcross_common::register::{Ballot, ValueUpdate};

/// Ends each change that may end, independently of the other. Returns whether any ended.
pub(super) async fn finish_changes(control: &Arc<Control>, adopted: VersionedLayout<'_>) -> bool {
    let core = async { adopted.layout.core.is_changing() && finish_core(control, adopted).await };
    let store =
        async { adopted.layout.store.is_changing() && finish_store(control, adopted).await };
    let (core_ended, store_ended) = futures_lite::future::zip(core, store).await;
    core_ended || store_ended
}

/// Ends the core group's change. Once every decision needs both sets, a document that majorities of
/// both sets already hold in the same version needs no further work. Any other document is read
/// through the register, which writes it to both sets.
async fn finish_core(control: &Arc<Control>, adopted: VersionedLayout<'_>) -> bool {
    let (group, since) = (adopted.group(Role::Core), adopted.since(Role::Core));
    let reachable = group
        .previous
        .iter()
        .filter(|disk| control.members.node_with_disk(disk).is_some())
        .count();
    let is_joint = |reports: &[ReplicaReport]| planning::core_is_joint(group, since, reports);
    let reports = collect_reports(
        control,
        &group.previous,
        since,
        SWEEP_REPORT_TIMEOUT,
        |reports| reports.len() == reachable && is_joint(reports),
    )
    .await;
    if !is_joint(&reports) {
        resend_layout(control, &reports, since);
        return false;
    }
    for document in DOCUMENT_NAMES {
        if is_replicated_in_both(control, document, group, since, &reports).await {
            continue;
        }
        if control.acting_term().is_none() {
            return false;
        }
        let read = control
            .registers
            .change(document, SEC, |_, _| ValueUpdate::Keep(()));
        if read.await.is_err() {
            return false;
        }
    }
    end_change(control, Role::Core, since).await
}

/// Whether majorities of both sets hold the same version of the document. Of the outgoing set only
/// disks that had already persisted the joint layout are counted: they had by then accepted everything
/// that was decided without the incoming set. This only reads, so it does not compete with operators'
/// orders.
async fn is_replicated_in_both(
    control: &Arc<Control>,
    document: &str,
    group: &ReplicaGroup,
    since: u64,
    reports: &[ReplicaReport],
) -> bool {
    let may_vote = |disk: &str| {
        let has_joint_layout = reports
            .iter()
            .any(|report| report.disk == disk && report.persisted_layout_version >= since);
        has_joint_layout || !group.previous.iter().any(|outgoing| outgoing == disk)
    };
    for attempt in 0..READ_ATTEMPTS {
        if attempt > 0 {
            control.runtime.sleep(READ_RETRY_DELAY).await;
        }
        let majorities_agree = control.registers.majority_agrees(document, may_vote);
        let answer = control
            .runtime
            .timeout(SWEEP_REPORT_TIMEOUT, majorities_agree)
            .await;
        if answer == Some(true) {
            return true;
        }
    }
    false
}

/// Ends the store group's change once enough disks have swept and persisted the joint layout.
async fn finish_store(control: &Arc<Control>, adopted: VersionedLayout<'_>) -> bool {
    let (group, since) = (adopted.group(Role::Store), adopted.since(Role::Store));
    let joining = group
        .current
        .iter()
        .filter(|disk| !group.previous.contains(disk));
    let both_sets: Vec<String> = group.previous.iter().chain(joining).cloned().collect();
    let may_end = |reports: &[ReplicaReport]| {
        planning::store_may_end(group, since, control.settings.bounds.lost, reports)
    };
    let reports = collect_reports(control, &both_sets, since, SWEEP_REPORT_TIMEOUT, may_end).await;
    if !may_end(&reports) {
        resend_layout(control, &reports, since);
        return false;
    }
    end_change(control, Role::Store, since).await
}

/// Sends the layout to the disks that have not persisted it.
fn resend_layout(control: &Arc<Control>, reports: &[ReplicaReport], since: u64) {
    let document = control.documents.document(LAYOUT);
    let outdated = reports
        .iter()
        .filter(|report| report.persisted_layout_version < since)
        .filter_map(|report| control.members.node_with_disk(&report.disk));
    for node in outdated {
        let (peers, content) = (control.peers.clone(), document.content.clone());
        let request = PeerRequest::PublishDocument {
            name: LAYOUT.into(),
            version: document.version,
            ballot: Ballot::default(),
            relays: vec![],
        };
        control.runtime.spawn(async move {
            // A failed request needs no handling: the next check of the change sends it again.
            let _ = peers
                .request(node.peer, &request, &content, PEER_REQUEST_TIMEOUT)
                .await;
        });
    }
}

/// Ends the change that layout `since` started, even if the other group has changed in the meantime.
async fn end_change(control: &Arc<Control>, role: Role, since: u64) -> bool {
    let Some(term) = control.acting_term() else {
        return false;
    };
    let ended = control
        .registers
        .change(LAYOUT, LAYOUT_STEP_TIMEOUT, |version, content| {
            let Ok(mut layout) = serde_json::from_slice::<Layout>(content) else {
                return ValueUpdate::Keep(None);
            };
            let group = planning::group(&layout, role);
            if !group.is_changing()
                || layout.layout_number_of(group, version) != since
                || !control.may_write(term, layout.term)
            {
                return ValueUpdate::Keep(None);
            }
            layout.term = term;
            planning::end(&mut layout, version, role);
            let content = serde_json::to_vec(&layout).unwrap_or_default();
            let decided = DecidedLayout {
                version: version + 1,
                content: content.clone(),
            };
            ValueUpdate::Write(content, Some(decided))
        })
        .await;
    let Ok(Some(decided)) = ended else {
        apply_newest(control).await;
        return false;
    };
    control.runtime.log(&format!(
        "change of the {} replicas completed",
        group_name(role)
    ));
    config::publish(control, LAYOUT, decided.version, decided.content);
    true
}

fn group_name(role: Role) -> &'static str {
    if role == Role::Core { "core" } else { "store" }
}
