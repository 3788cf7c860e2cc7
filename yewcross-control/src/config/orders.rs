//! Operators' numbered orders: checked, decided by a majority of the core disks, then published to
//! every node. [`decide`] is what the majority decides.

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

/// us. Bound of `answer_timeout`, however long `Bounds::ack` is.
const ANSWER_TIMEOUT_MOST: u64 = 1_500 * MS;

/// us. An order that finds no majority is answered within this, so that the operator tries another
/// node.
fn answer_timeout(control: &Control) -> u64 {
    (control.settings.bounds.ack * MS / 4).min(ANSWER_TIMEOUT_MOST)
}

/// us. The part of `answer_timeout` in which the order is to be decided; the rest is for the answer.
fn decision_timeout(control: &Control) -> u64 {
    answer_timeout(control) * 9 / 10
}

/// Checks an operator's text on top of version `base`, has it decided by a majority of core disks,
/// and publishes it. Answers within a quarter of `Bounds::ack`.
pub async fn submit_order(control: &Arc<Control>, base: u64, text: Vec<u8>) -> PutAnswer {
    let Ok(text) = String::from_utf8(text) else {
        return PutAnswer::Invalid(vec![InvalidSetting {
            path: String::new(),
            reason: "not UTF-8".into(),
        }]);
    };
    if control.options.put_acknowledgement == PutAcknowledgement::InForce {
        return order_under_leases(control, base, text).await;
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
    let orderer = control.clone();
    // A task of its own: whoever asked may go, and half a change is never dropped.
    control.runtime.spawn(async move {
        // Fails only where whoever asked has gone.
        let _ = answer_sender.try_send(order_through_proposer(&orderer, base, text).await);
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

/// The answer that the applied document gives for good: what it knows as taken stays taken. A
/// conflict is answered with the newest version, which only the proposer knows.
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
        ValueUpdate::Keep(Decision::Accepted(taken)) => Some(PutAnswer::InForce(taken.number)),
        _ => None,
    }
}

/// Has an order decided by the proposer, this process or another.
async fn order_through_proposer(control: &Arc<Control>, base: u64, text: String) -> PutAnswer {
    let deadline = control.runtime.now() + decision_timeout(control);
    let mut may_be_taken = false;
    while control.runtime.now() < deadline {
        let left = deadline.saturating_sub(control.runtime.now());
        let outcome = match control.acting_term() {
            Some(_) => order_as_proposer(control, base, &text, left)
                .await
                .ok_or(ForwardError::NoProposer),
            None => forward_order(control, base, &text, left).await,
        };
        match outcome {
            Ok(PutAnswer::NoMajority | PutAnswer::Busy) if may_be_taken => {
                return PutAnswer::Undecided;
            }
            Ok(answer) => return answer,
            Err(ForwardError::OutcomeUnknown) => may_be_taken = true,
            Err(ForwardError::NoProposer) => {}
        }
        proposer::wait_for_proposer(control).await;
    }
    if may_be_taken {
        PutAnswer::Undecided
    } else {
        PutAnswer::NoMajority
    }
}

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

/// Decides an order that another core forwarded, which has checked its text.
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
    let orderer = control.clone();
    // A task of its own, as in `order`.
    control.runtime.spawn(async move {
        let timeout = decision_timeout(&orderer);
        // Fails only where whoever asked has gone.
        let _ = answer_sender.try_send(order_as_proposer(&orderer, base, &text, timeout).await);
    });
    match answer.recv().await {
        Ok(Some(answer)) => PeerResponse::PutAnswer(answer),
        _ => PeerResponse::Rejected(Code::NotOnDuty),
    }
}

/// None where this process is not the proposer any more.
async fn order_as_proposer(
    control: &Arc<Control>,
    base: u64,
    text: &str,
    timeout: u64,
) -> Option<PutAnswer> {
    if control.counters.orders_waiting.fetch_add(1, SeqCst) >= ORDER_QUEUE_LIMIT as u64 {
        control.counters.orders_waiting.fetch_sub(1, SeqCst);
        return Some(PutAnswer::Busy);
    }
    let answer = order_by_majority(control, base, text, timeout).await;
    control.counters.orders_waiting.fetch_sub(1, SeqCst);
    answer
}

async fn order_by_majority(
    control: &Arc<Control>,
    base: u64,
    text: &str,
    timeout: u64,
) -> Option<PutAnswer> {
    let attempt = format!(
        "{}-{:016x}",
        control.settings.name,
        control.runtime.random()
    );
    let (now_ms, _) = control.members.clock();
    let order = Order {
        base,
        number: control.options.configuration_format.number(text.as_bytes()),
        text,
        attempt_id: &attempt,
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
        Ok(Decision::Accepted(taken)) => {
            publish(control, "config", taken.seq, taken.document);
            PutAnswer::InForce(taken.number)
        }
        Ok(Decision::Conflict { current }) => PutAnswer::Conflict(current),
        Ok(Decision::Invalid(faults)) => PutAnswer::Invalid(faults),
        Ok(Decision::DigestDropped) => PutAnswer::Forgotten,
        Ok(Decision::Unreadable) => {
            control
                .runtime
                .log("the configuration in the register cannot be read");
            PutAnswer::Undecided
        }
        Err(ChangeError::NotProposer) => return None,
        Err(ChangeError::NotApplied) => PutAnswer::NoMajority,
        Err(ChangeError::Undecided) => PutAnswer::Undecided,
    };
    Some(answer)
}

/// Puts a configuration in force where fronts hold serving leases.
async fn order_under_leases(control: &Arc<Control>, base: u64, text: String) -> PutAnswer {
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
