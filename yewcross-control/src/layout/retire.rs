//! Retires a store machine: transfers its data to other machines before the retirement is reported as
//! finished.
//!
//! An order only marks the machine as retired in the layout. `maintain_replicas` then removes its
//! disk from the store group by an ordinary change.

use super::{DecidedLayout, LAYOUT};
use crate::api::{RetireOutcome, RetireState};
use crate::proposer::{self, ForwardError};
use crate::{Control, config};
use std::sync::Arc;
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, SEC};
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{Layout, PeerRequest, PeerResponse};
use yewcross_common::register::ValueUpdate;

/// Marks a store machine as retired, in this process or by forwarding the order to the proposer.
pub async fn retire(control: &Arc<Control>, node: &str) -> RetireOutcome {
    let deadline = control.runtime.now() + PEER_REQUEST_TIMEOUT;
    while control.runtime.now() < deadline {
        if control.acting_term().is_some() {
            return mark_retired(control, node).await;
        }
        let request = PeerRequest::ForwardRetire { node: node.into() };
        let remaining = deadline.saturating_sub(control.runtime.now());
        match proposer::forward(control, &request, &[], remaining).await {
            Ok((PeerResponse::RetireAnswer(answer), _)) => return answer,
            Err(ForwardError::NoProposer) => proposer::wait_for_proposer(control).await,
            _ => return RetireOutcome::Unavailable,
        }
    }
    RetireOutcome::Unavailable
}

/// Handles an order that another core forwarded.
pub async fn retire_forwarded(control: &Arc<Control>, node: &str) -> PeerResponse {
    match control.acting_term() {
        Some(_) => PeerResponse::RetireAnswer(mark_retired(control, node).await),
        None => PeerResponse::Rejected(Code::NotOnDuty),
    }
}

/// Outcome of an order in the register.
enum MarkOutcome {
    /// Nothing was written.
    Unchanged(RetireOutcome),
    /// The machine was marked as retired by this layout.
    Marked(DecidedLayout),
}

/// Marks a store machine as retired in the layout and publishes the layout.
async fn mark_retired(control: &Arc<Control>, node: &str) -> RetireOutcome {
    if control.documents.layout.load().0 == 0 {
        return RetireOutcome::Unavailable;
    }
    let min_stores = 2 * control.settings.bounds.lost + 1;
    let is_known_store = control
        .members
        .all_nodes()
        .iter()
        .any(|member| member.name == node && member.role == Role::Store);
    let outcome = control
        .registers
        .change(LAYOUT, SEC, |version, content| {
            let Ok(mut layout) = serde_json::from_slice::<Layout>(content) else {
                return ValueUpdate::Keep(MarkOutcome::Unchanged(RetireOutcome::Unavailable));
            };
            if let Some(answer) = answer_unchanged(&layout, node, is_known_store, min_stores) {
                return ValueUpdate::Keep(MarkOutcome::Unchanged(answer));
            }
            layout.retired.insert(node.into());
            let content = serde_json::to_vec(&layout).unwrap_or_default();
            let decided = DecidedLayout {
                version: version + 1,
                content: content.clone(),
            };
            ValueUpdate::Write(content, MarkOutcome::Marked(decided))
        })
        .await;
    match outcome {
        Ok(MarkOutcome::Marked(decided)) => {
            control
                .runtime
                .log(&format!("machine {node} marked as retired"));
            config::publish(control, LAYOUT, decided.version, decided.content);
            RetireOutcome::Begun
        }
        Ok(MarkOutcome::Unchanged(answer)) => answer,
        Err(_) => RetireOutcome::Unavailable,
    }
}

/// The answer to an order that changes nothing; `None` if the machine has to be marked as retired.
fn answer_unchanged(
    layout: &Layout,
    node: &str,
    is_known_store: bool,
    min_stores: usize,
) -> Option<RetireOutcome> {
    if layout.retired.contains(node) {
        return Some(RetireOutcome::Begun);
    }
    if !is_known_store && !is_store_replica(layout, node) {
        return Some(RetireOutcome::Unknown);
    }
    let is_staying = |disk: &&String| match layout.names.get(*disk) {
        Some(machine) => machine != node && !layout.retired.contains(machine),
        None => true,
    };
    let staying = layout.store.current.iter().filter(is_staying).count();
    (staying < min_stores).then_some(RetireOutcome::TooFew)
}

/// Whether the machine's disk is a store replica of the current or the outgoing set.
fn is_store_replica(layout: &Layout, node: &str) -> bool {
    layout
        .store
        .current
        .iter()
        .chain(&layout.store.previous)
        .any(|disk| {
            layout
                .names
                .get(disk)
                .is_some_and(|machine| machine == node)
        })
}

/// State of a store machine's retirement according to the newest decided layout.
pub async fn retirement_state(control: &Arc<Control>, node: &str) -> RetireState {
    if control.documents.layout.load().0 == 0 {
        return RetireState::Unavailable;
    }
    let Ok((version, ballot, content)) =
        proposer::read_newest_decided(control, LAYOUT, PEER_REQUEST_TIMEOUT).await
    else {
        return RetireState::Unavailable;
    };
    let Ok(layout) = serde_json::from_slice::<Layout>(&content) else {
        return RetireState::Unavailable;
    };
    control
        .documents
        .apply(LAYOUT, version, ballot, content.to_vec());
    if !layout.retired.contains(node) {
        RetireState::NotRequested
    } else if is_store_replica(&layout, node) {
        RetireState::Running
    } else {
        RetireState::Finished
    }
}
