//! Retiring a store machine: what it holds goes to others before it is told to be finished.

use crate::api::*;
use crate::proposer::{self, NotAnswered};
use crate::{Control, config};
use std::sync::Arc;
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::*;
use yewcross_common::register::*;

/// Has it written down that a store machine is to be emptied, here or by the process that proposes.
pub async fn retire(control: &Arc<Control>, node: &str) -> RetireBegin {
    let until = control.runtime.now() + PEER_WAIT;
    while control.runtime.now() < until {
        if control.duty_term().is_some() {
            return retire_here(control, node).await;
        }
        let question = PeerRequest::ForwardRetire { node: node.into() };
        match proposer::forward(
            control,
            &question,
            &[],
            until.saturating_sub(control.runtime.now()),
        )
        .await
        {
            Ok((PeerResponse::RetireAnswer(answer), _)) => return answer,
            Err(NotAnswered::NoProposer) => proposer::wait_for_one(control).await,
            _ => return RetireBegin::Away,
        }
    }
    RetireBegin::Away
}

/// The same for an order that another core passed on.
pub async fn retire_forwarded(control: &Arc<Control>, node: &str) -> PeerResponse {
    match control.duty_term() {
        Some(_) => PeerResponse::RetireAnswer(retire_here(control, node).await),
        None => PeerResponse::Rejected(Code::NotOnDuty),
    }
}

/// Writes down that a store machine is to be emptied; the layout duty does it.
async fn retire_here(control: &Arc<Control>, node: &str) -> RetireBegin {
    if control.documents.layout.load().0 == 0 {
        return RetireBegin::Away;
    }
    let fewest = 2 * control.settings.bounds.lost + 1;
    let known = control
        .members
        .all()
        .iter()
        .any(|n| n.name == node && n.role == Role::Store);
    let got = control
        .registers
        .change("layout", SEC, |seq, v| {
            let Ok(mut l) = serde_json::from_slice::<Layout>(v) else {
                return Step::Keep((RetireBegin::Away, 0, vec![]));
            };
            if l.retired.contains(node) {
                return Step::Keep((RetireBegin::Begun, 0, vec![]));
            }
            let named = |d: &&String| l.names.get(*d).is_some_and(|n| n == node);
            let seated = l
                .store
                .current
                .iter()
                .chain(&l.store.previous)
                .any(|d| named(&d));
            if !seated && !known {
                return Step::Keep((RetireBegin::Unknown, 0, vec![]));
            }
            let left = l
                .store
                .current
                .iter()
                .filter(|d| !named(d) && !l.names.get(*d).is_some_and(|n| l.retired.contains(n)))
                .count();
            if left < fewest {
                return Step::Keep((RetireBegin::TooFew, 0, vec![]));
            }
            l.retired.insert(node.into());
            let raw = serde_json::to_vec(&l).unwrap_or_default();
            Step::Write(raw.clone(), (RetireBegin::Begun, seq + 1, raw))
        })
        .await;
    match got {
        Ok((r, seq, raw)) => {
            if seq > 0 {
                control.runtime.log(&format!("{node} is to retire"));
                config::push(control, "layout", seq, raw);
            }
            r
        }
        Err(_) => RetireBegin::Away,
    }
}

pub async fn retired(control: &Arc<Control>, node: &str) -> RetireState {
    if control.documents.layout.load().0 == 0 {
        return RetireState::Away;
    }
    let Ok((seq, epoch, raw)) = proposer::newest(control, "layout", PEER_WAIT).await else {
        return RetireState::Away;
    };
    let Ok(l) = serde_json::from_slice::<Layout>(&raw) else {
        return RetireState::Away;
    };
    control.documents.apply("layout", seq, epoch, raw.to_vec());
    let there = |g: &ReplicaGroup| {
        g.current
            .iter()
            .chain(&g.previous)
            .any(|d| l.names.get(d).is_some_and(|n| n == node))
    };
    match (l.retired.contains(node), there(&l.store)) {
        (false, _) => RetireState::Unknown,
        (true, true) => RetireState::Running,
        (true, false) => RetireState::Finished,
    }
}
