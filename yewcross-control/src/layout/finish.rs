//! Ends changes of the replica assignment: checks that the outgoing set is no longer needed, and
//! drops it. A step that ends a change is bound to the sets of its group (`ReplicaGroup::since`) and
//! not to the layout's version, so that the other group's changes do not hold it up.

use super::change::refresh;
use super::planning::{self, ReplicaReport};
use super::report::survey;
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

/// Ends the changes that may end, each independently. Returns whether any ended.
pub(super) async fn finish_changes(control: &Arc<Control>, adopted: VersionedLayout<'_>) -> bool {
    let core = async { adopted.layout.core.is_changing() && finish_core(control, adopted).await };
    let store =
        async { adopted.layout.store.is_changing() && finish_store(control, adopted).await };
    let (core_ended, store_ended) = futures_lite::future::zip(core, store).await;
    core_ended || store_ended
}

/// Once every decision is made in both sets, a document that majorities of both hold alike needs
/// nothing more; any other is read through the register, which writes it to both.
async fn finish_core(control: &Arc<Control>, adopted: VersionedLayout<'_>) -> bool {
    let (group, since) = (adopted.group(Role::Core), adopted.since(Role::Core));
    let reachable = group
        .previous
        .iter()
        .filter(|disk| control.members.node_with_disk(disk).is_some())
        .count();
    let is_joint = |reports: &[ReplicaReport]| planning::core_is_joint(group, since, reports);
    let reports = survey(
        control,
        &group.previous,
        since,
        SWEEP_REPORT_TIMEOUT,
        |reports| reports.len() == reachable && is_joint(reports),
    )
    .await;
    if !is_joint(&reports) {
        publish_again(control, &reports, since);
        return false;
    }
    for document in DOCUMENT_NAMES {
        if is_settled_in_both(control, document, group, since, &reports).await {
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

/// Whether majorities of both sets hold the document alike. Of the outgoing set only disks count
/// that had persisted the joint layout before: whatever was decided without the incoming set, they
/// had accepted by then. Only reads are made, so that operators' orders are not disturbed.
async fn is_settled_in_both(
    control: &Arc<Control>,
    document: &str,
    group: &ReplicaGroup,
    since: u64,
    reports: &[ReplicaReport],
) -> bool {
    let may_vote = |disk: &str| {
        let has_kept = reports
            .iter()
            .any(|report| report.disk == disk && report.persisted_layout_version >= since);
        has_kept || !group.previous.iter().any(|outgoing| outgoing == disk)
    };
    for look in 0..READ_ATTEMPTS {
        if look > 0 {
            control.runtime.sleep(READ_RETRY_DELAY).await;
        }
        let is_settled = control.registers.majority_agrees(document, may_vote);
        let answer = control
            .runtime
            .timeout(SWEEP_REPORT_TIMEOUT, is_settled)
            .await;
        if answer == Some(true) {
            return true;
        }
    }
    false
}

async fn finish_store(control: &Arc<Control>, adopted: VersionedLayout<'_>) -> bool {
    let (group, since) = (adopted.group(Role::Store), adopted.since(Role::Store));
    let joining = group
        .current
        .iter()
        .filter(|disk| !group.previous.contains(disk));
    let both: Vec<String> = group.previous.iter().chain(joining).cloned().collect();
    let may_end = |reports: &[ReplicaReport]| {
        planning::store_may_end(group, since, control.settings.bounds.lost, reports)
    };
    let reports = survey(control, &both, since, SWEEP_REPORT_TIMEOUT, may_end).await;
    if !may_end(&reports) {
        publish_again(control, &reports, since);
        return false;
    }
    end_change(control, Role::Store, since).await
}

/// Sends the layout to the disks that have not persisted it.
fn publish_again(control: &Arc<Control>, reports: &[ReplicaReport], since: u64) {
    let document = control.documents.document(LAYOUT);
    let behind = reports
        .iter()
        .filter(|report| report.persisted_layout_version < since)
        .filter_map(|report| control.members.node_with_disk(&report.disk));
    for node in behind {
        let (peers, content) = (control.peers.clone(), document.content.clone());
        let request = PeerRequest::PublishDocument {
            name: LAYOUT.into(),
            version: document.version,
            ballot: Ballot::default(),
            relays: vec![],
        };
        control.runtime.spawn(async move {
            // An unanswered message needs no handling: the next look at the change sends it again.
            let _ = peers
                .request(node.peer, &request, &content, PEER_REQUEST_TIMEOUT)
                .await;
        });
    }
}

/// Ends the change that layout `since` began, whatever the other group did meanwhile.
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
                || layout.since(group, version) != since
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
        refresh(control).await;
        return false;
    };
    control
        .runtime
        .log(&format!("change of {} disks done", group_name(role)));
    config::publish(control, LAYOUT, decided.version, decided.content);
    true
}

fn group_name(role: Role) -> &'static str {
    if role == Role::Core { "core" } else { "store" }
}
