//! Operators' numbered orders: validated, decided by a majority of the core disks, and then
//! published to every node. [`decide_order`] computes the decision.

use super::accepted_orders::retention_ms;
use super::order_decision::{Decision, Order, decide_order};
use super::publish;
use super::put::{PutError, put};
use crate::Control;
use crate::api::{PutAcknowledgement, PutAnswer};
use crate::proposer::{self, ForwardError};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::InvalidSetting;
use yewcross_common::constants::{MS, ORDER_QUEUE_LIMIT};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::{ChangeError, ValueUpdate};

/// us. Upper limit of `answer_timeout`, regardless of `Bounds::ack`.
const ANSWER_TIMEOUT_MAX: u64 = 1_500 * MS;

/// us. An order that reaches no majority is answered within this time, so that the operator can try
/// another node.
fn answer_timeout(control: &Control) -> u64 {
    (control.settings.bounds.ack * MS / 4).min(ANSWER_TIMEOUT_MAX)
}

/// us. The part of `answer_timeout` within which the order must be decided; the rest is reserved
/// for sending the answer.
fn decision_timeout(control: &Control) -> u64 {
    answer_timeout(control) * 9 / 10
}

/// Validates an operator's configuration text based on version `base`, has it decided by a majority
/// of the core disks, and publishes it. Unless puts are acknowledged once in force, answers within
/// a quarter of `Bounds::ack`.
pub async fn submit_order(control: &Arc<Control>, base: u64, text: Vec<u8>) -> PutAnswer {
    let Ok(text) = String::from_utf8(text) else {
        return PutAnswer::Invalid(vec![InvalidSetting {
            path: String::new(),
            reason: "not UTF-8".into(),
        }]);
    };
    if control.options.put_acknowledgement == PutAcknowledgement::InForce {
        return put_under_leases(control, base, text).await;
    }
    if let Err(faults) = control.options.configuration_format.read(text.as_bytes()) {
        return PutAnswer::Invalid(faults);
    }
    if control.documents.layout.load().0 == 0 {
        return PutAnswer::NotBootstrapped;
    }
    control.counters.puts.fetch_add(1, SeqCst);
    if let Some(answer) = answer_from_applied(control, base, &text) {
        return answer;
    }
    let (answer_sender, answer) = async_channel::bounded(1);
    let task_control = control.clone();
    // Runs in a task of its own, so that the change completes even if the caller stops waiting.
    control.runtime.spawn(async move {
        // Fails only if the caller no longer waits.
        let _ = answer_sender.try_send(submit_through_proposer(&task_control, base, text).await);
    });
    let answer = control
        .runtime
        .timeout(answer_timeout(control), answer.recv())
        .await;
    match answer {
        Some(Ok(answer)) => answer,
        _ => PutAnswer::Undecided,
    }
}

/// The answer that the locally applied document already determines: an order that it records as
/// accepted stays accepted. A conflict is not answered here, because the answer names the newest
/// version, which only the proposer has.
fn answer_from_applied(control: &Control, base: u64, text: &str) -> Option<PutAnswer> {
    let applied = control.documents.document("config");
    let order = Order {
        base,
        number: control.options.configuration_format.number(text.as_bytes()),
        text,
        attempt_id: "",
        now_ms: 0,
        retention_ms: 0,
    };
    match decide_order(applied.version, &applied.content, &order) {
        ValueUpdate::Keep(Decision::Accepted(accepted)) => {
            Some(PutAnswer::InForce(accepted.number))
        }
        _ => None,
    }
}

/// Has an order decided by the proposer, which may be this process or another.
async fn submit_through_proposer(control: &Arc<Control>, base: u64, text: String) -> PutAnswer {
    let deadline = control.runtime.now() + decision_timeout(control);
    let mut may_be_accepted = false;
    while control.runtime.now() < deadline {
        let time_left = deadline.saturating_sub(control.runtime.now());
        let outcome = match control.acting_term() {
            Some(_) => decide_as_proposer(control, base, &text, time_left)
                .await
                .ok_or(ForwardError::NoProposer),
            None => forward_order(control, base, &text, time_left).await,
        };
        match outcome {
            Ok(PutAnswer::NoMajority | PutAnswer::Busy) if may_be_accepted => {
                return PutAnswer::Undecided;
            }
            Ok(answer) => return answer,
            Err(ForwardError::OutcomeUnknown) => may_be_accepted = true,
            Err(ForwardError::NoProposer) => {}
        }
        proposer::wait_for_proposer(control).await;
    }
    if may_be_accepted {
        PutAnswer::Undecided
    } else {
        PutAnswer::NoMajority
    }
}

/// Forwards an order to the proposer, once. The timeout is in us.
async fn forward_order(
    control: &Arc<Control>,
    base: u64,
    text: &str,
    timeout: u64,
) -> Result<PutAnswer, ForwardError> {
    let request = PeerRequest::ForwardPut { base };
    match proposer::forward(control, &request, text.as_bytes(), timeout).await? {
        (PeerResponse::PutAnswer(answer), _) => Ok(answer),
        _ => Err(ForwardError::NoProposer),
    }
}

/// Decides an order that another core has validated and forwarded.
pub async fn decide_forwarded_order(
    control: &Arc<Control>,
    base: u64,
    text: Vec<u8>,
) -> PeerResponse {
    let Ok(text) = String::from_utf8(text) else {
        return PeerResponse::Rejected(Code::BadConfig);
    };
    if control.acting_term().is_none() {
        return PeerResponse::Rejected(Code::NotOnDuty);
    }
    let (answer_sender, answer) = async_channel::bounded(1);
    let task_control = control.clone();
    // Runs in a task of its own, as in `submit_order`.
    control.runtime.spawn(async move {
        let timeout = decision_timeout(&task_control);
        // Fails only if the caller no longer waits.
        let _ =
            answer_sender.try_send(decide_as_proposer(&task_control, base, &text, timeout).await);
    });
    match answer.recv().await {
        Ok(Some(answer)) => PeerResponse::PutAnswer(answer),
        _ => PeerResponse::Rejected(Code::NotOnDuty),
    }
}

/// Decides an order as the proposer, or answers `Busy` if too many orders are waiting. Returns
/// `None` if this process is no longer the proposer.
async fn decide_as_proposer(
    control: &Arc<Control>,
    base: u64,
    text: &str,
    timeout: u64,
) -> Option<PutAnswer> {
    if control.counters.orders_waiting.fetch_add(1, SeqCst) >= ORDER_QUEUE_LIMIT as u64 {
        control.counters.orders_waiting.fetch_sub(1, SeqCst);
        return Some(PutAnswer::Busy);
    }
    let answer = decide_by_majority(control, base, text, timeout).await;
    control.counters.orders_waiting.fetch_sub(1, SeqCst);
    answer
}

/// Has an order decided by a majority of the core disks and publishes an accepted one. Returns
/// `None` if this process is not the proposer.
async fn decide_by_majority(
    control: &Arc<Control>,
    base: u64,
    text: &str,
    timeout: u64,
) -> Option<PutAnswer> {
    let attempt_id = format!(
        "{}-{:016x}",
        control.settings.name,
        control.runtime.random()
    );
    let (now_ms, _) = control.members.clock();
    let order = Order {
        base,
        number: control.options.configuration_format.number(text.as_bytes()),
        text,
        attempt_id: &attempt_id,
        now_ms,
        retention_ms: retention_ms(&control.settings.bounds),
    };
    let decision = control
        .registers
        .change("config", timeout, |seq, value| {
            decide_order(seq, value, &order)
        })
        .await;
    let answer = match decision {
        Ok(Decision::Accepted(accepted)) => {
            publish(control, "config", accepted.seq, accepted.document);
            PutAnswer::InForce(accepted.number)
        }
        Ok(Decision::Conflict { current }) => PutAnswer::Conflict(current),
        Ok(Decision::Invalid(faults)) => PutAnswer::Invalid(faults),
        Ok(Decision::DigestDropped) => PutAnswer::Forgotten,
        Ok(Decision::Unreadable) => {
            control
                .runtime
                .log("unreadable configuration document kept in the register; order undecided");
            PutAnswer::Undecided
        }
        Err(ChangeError::NotProposer) => return None,
        Err(ChangeError::NotApplied) => PutAnswer::NoMajority,
        Err(ChangeError::Undecided) => PutAnswer::Undecided,
    };
    Some(answer)
}

/// Puts a configuration in force in a tier whose fronts hold serving leases.
async fn put_under_leases(control: &Arc<Control>, base: u64, text: String) -> PutAnswer {
    match put(control, base, text, String::new(), false).await {
        Ok(version) => PutAnswer::InForce(version),
        Err(PutError::InvalidConfiguration { faults }) => PutAnswer::Invalid(faults),
        Err(PutError::Conflict { .. }) => PutAnswer::Conflict(control.documents.config.load().0),
        Err(PutError::NotBootstrapped) => PutAnswer::NotBootstrapped,
        Err(PutError::FrontsUnavailable { .. } | PutError::NoMajority) => PutAnswer::NoMajority,
        Err(
            PutError::Unreadable { .. } | PutError::OutcomeUnknown | PutError::NotYetInForce { .. },
        ) => PutAnswer::Undecided,
    }
}
