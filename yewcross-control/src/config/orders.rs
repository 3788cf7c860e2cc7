//! Operators' numbered orders: checked, decided by a majority of the core disks, then published to
//! every node.
//!
//! An order is a complete configuration with a number of the operator's choice, on top of the
//! version that it names. Of the orders on one version, one is taken. An order whose answer was lost
//! is sent again unchanged, to any node and at any later time: a taken order is known by its digest
//! for a time, and is acknowledged again. Once the digest is gone, the outcome of such an order is
//! left open; it is never rejected.

use super::publish;
use super::put::{PutError, put};
use crate::Control;
use crate::api::{PutAnswer, Rollout};
use crate::proposer::{self, NotAnswered};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::InvalidSetting;
use yewcross_common::constants::{
    MS, ORDER_QUEUE_LIMIT, RETAINED_ORDERS_ACK_TIMES, RETAINED_ORDERS_MAX, RETAINED_ORDERS_MIN,
    RETAINED_ORDERS_MS,
};
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Bounds;
use yewcross_common::protocol::{ConfigDoc, PeerRequest, PeerResponse, TakenOrder};
use yewcross_common::register::{ChangeError, Step};

/// us. Bound of `answer_timeout`, however long `Bounds::ack` is.
const ANSWER_TIMEOUT_MOST: u64 = 1_500 * MS;

/// An operator's order, as it is decided.
pub struct Order<'a> {
    /// The version that it builds on, by the operator's numbers where there are any.
    pub base: u64,
    /// The operator's number; `None` where the tier numbers the versions.
    pub number: Option<u64>,
    pub text: &'a str,
    /// Names this attempt, not the order: a repeat has another.
    pub attempt: &'a str,
    /// ms since 1970 by the median of the known clocks. Where few are known it may be wrong:
    /// digests may then be dropped early, down to `RETAINED_ORDERS_MIN`, or stay, up to
    /// `RETAINED_ORDERS_MAX`.
    pub now_ms: u64,
    /// ms that digests of taken orders are kept at least, as far as `RETAINED_ORDERS_MAX` allows.
    pub kept_ms: u64,
}

/// What an order came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It is taken, now or earlier.
    Taken(TakenDocument),
    /// It builds on another version than the current one.
    Conflict { current: u64 },
    /// It builds on the current version, and its number is not above that.
    Invalid(Vec<InvalidSetting>),
    /// It may have been taken so long ago that its digest is gone.
    Forgotten,
    /// The document in the register cannot be read; it is not replaced.
    Unreadable,
}

/// The decided document that holds an order, or followed on one that did.
#[derive(Clone, Debug, PartialEq)]
pub struct TakenDocument {
    /// The number of the order that was asked about.
    pub number: u64,
    /// The document's sequence number in its register.
    pub seq: u64,
    pub document: Vec<u8>,
}

/// What an order makes of the register's value. Run again on a value that has its change, it comes
/// to the same. An empty value is the document before the first order.
pub fn decide(seq: u64, value: &[u8], order: &Order) -> Step<Decision> {
    let Ok(document) = ConfigDoc::decode(value) else {
        return Step::Keep(Decision::Unreadable);
    };
    let current = if order.number.is_some() {
        document.number
    } else {
        seq
    };
    let earlier = remembered_orders(&document);
    match find_taken(&document, current, &earlier, order) {
        Earlier::Taken { number } => {
            return Step::Keep(Decision::Taken(TakenDocument {
                number,
                seq,
                document: value.to_vec(),
            }));
        }
        Earlier::Forgotten => return Step::Keep(Decision::Forgotten),
        Earlier::NotTaken => {}
    }
    if order.base != current {
        return Step::Keep(Decision::Conflict { current });
    }
    let number = order.number.unwrap_or(seq + 1);
    if number <= current {
        return Step::Keep(Decision::Invalid(vec![InvalidSetting {
            path: "number".into(),
            why: format!("must be above {current}"),
        }]));
    }
    let Ok(raw) = successor(&document, earlier, order).encode() else {
        return Step::Keep(Decision::Unreadable);
    };
    let taken = TakenDocument {
        number,
        seq: seq + 1,
        document: raw.clone(),
    };
    Step::Write(raw, Decision::Taken(taken))
}

/// What a document knows of an order from before.
enum Earlier {
    Taken {
        number: u64,
    },
    /// It may have been taken; its digest is gone.
    Forgotten,
    NotTaken,
}

fn find_taken(
    document: &ConfigDoc,
    current: u64,
    earlier: &[TakenOrder],
    order: &Order,
) -> Earlier {
    if document.text == order.text && !order.text.is_empty() {
        return Earlier::Taken { number: current };
    }
    let Some(number) = order.number else {
        return Earlier::NotTaken;
    };
    let digest = text_digest(order.text);
    if earlier.iter().any(|taken| taken.digest == digest) {
        return Earlier::Taken { number };
    }
    // A taken order had a number above its base, and no forgotten one is above `forgotten`.
    if order.base < number && number <= document.forgotten {
        return Earlier::Forgotten;
    }
    Earlier::NotTaken
}

/// The document after an order on top of another.
fn successor(document: &ConfigDoc, mut earlier: Vec<TakenOrder>, order: &Order) -> ConfigDoc {
    let mut forgotten = document.forgotten;
    let newest_ms = earlier.first().map_or(0, |taken| taken.taken_ms);
    // Ages never fall, whatever the clocks do.
    let now_ms = order.now_ms.max(newest_ms);
    if !document.text.is_empty() && order.number.is_some() {
        let superseded = TakenOrder {
            number: document.number,
            digest: text_digest(&document.text),
            taken_ms: now_ms,
        };
        earlier.insert(0, superseded);
        let kept = count_kept(&earlier, now_ms, order.kept_ms);
        forgotten = earlier
            .get(kept)
            .map_or(forgotten, |dropped| dropped.number.max(forgotten));
        earlier.truncate(kept);
    }
    ConfigDoc {
        text: order.text.into(),
        put_id: order.attempt.into(),
        number: order.number.unwrap_or(0),
        forgotten,
        orders: earlier,
        ..Default::default()
    }
}

/// How many of the digests, newest first, are kept.
fn count_kept(orders: &[TakenOrder], now_ms: u64, kept_ms: u64) -> usize {
    let young = orders
        .iter()
        .take_while(|taken| taken.taken_ms + kept_ms >= now_ms)
        .count();
    young
        .clamp(RETAINED_ORDERS_MIN, RETAINED_ORDERS_MAX)
        .min(orders.len())
}

/// The digests of taken orders, newest first. Documents written before `orders` was added hold them
/// in `past`.
fn remembered_orders(document: &ConfigDoc) -> Vec<TakenOrder> {
    if !document.orders.is_empty() || document.number == 0 {
        return document.orders.clone();
    }
    document
        .past
        .iter()
        .map(|(number, digest, _)| TakenOrder {
            number: *number,
            digest: digest.clone(),
            taken_ms: 0,
        })
        .collect()
}

fn text_digest(text: &str) -> String {
    yewcross_common::hash::content_digest(text.as_bytes())
}

/// ms that digests of taken orders are kept: an operator asks again for a few times the time for an
/// answer.
pub fn kept_ms(bounds: &Bounds) -> u64 {
    RETAINED_ORDERS_MS.max(bounds.ack.saturating_mul(RETAINED_ORDERS_ACK_TIMES))
}

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
pub async fn order(control: &Arc<Control>, base: u64, text: Vec<u8>) -> PutAnswer {
    let Ok(text) = String::from_utf8(text) else {
        return PutAnswer::Bad(vec![InvalidSetting {
            path: String::new(),
            why: "not UTF-8".into(),
        }]);
    };
    if control.options.rollout == Rollout::Proved {
        return order_under_leases(control, base, text).await;
    }
    if let Err(faults) = control.options.dialect.read(text.as_bytes()) {
        return PutAnswer::Bad(faults);
    }
    if control.documents.layout.load().0 == 0 {
        return PutAnswer::NotFounded;
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
        number: control.options.dialect.number(text.as_bytes()),
        text,
        attempt: "",
        now_ms: 0,
        kept_ms: 0,
    };
    match decide(applied.version, &applied.content, &order) {
        Step::Keep(Decision::Taken(taken)) => Some(PutAnswer::InForce(taken.number)),
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
                .ok_or(NotAnswered::NoProposer),
            None => forward_order(control, base, &text, left).await,
        };
        match outcome {
            Ok(PutAnswer::NoMajority | PutAnswer::Busy) if may_be_taken => {
                return PutAnswer::Undecided;
            }
            Ok(answer) => return answer,
            Err(NotAnswered::Unknown) => may_be_taken = true,
            Err(NotAnswered::NoProposer) => {}
        }
        proposer::wait_for_one(control).await;
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
) -> Result<PutAnswer, NotAnswered> {
    let request = PeerRequest::ForwardPut { base };
    match proposer::forward(control, &request, text.as_bytes(), timeout).await? {
        (PeerResponse::PutAnswer(answer), _) => Ok(answer),
        _ => Err(NotAnswered::NoProposer),
    }
}

/// Decides an order that another core forwarded, which has checked its text.
pub async fn take_forwarded(control: &Arc<Control>, base: u64, text: Vec<u8>) -> PeerResponse {
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
        number: control.options.dialect.number(text.as_bytes()),
        text,
        attempt: &attempt,
        now_ms,
        kept_ms: kept_ms(&control.settings.bounds),
    };
    let decision = control
        .registers
        .change("config", timeout, |seq, value| decide(seq, value, &order))
        .await;
    let answer = match decision {
        Ok(Decision::Taken(taken)) => {
            publish(control, "config", taken.seq, taken.document);
            PutAnswer::InForce(taken.number)
        }
        Ok(Decision::Conflict { current }) => PutAnswer::Conflict(current),
        Ok(Decision::Invalid(faults)) => PutAnswer::Bad(faults),
        Ok(Decision::Forgotten) => PutAnswer::Forgotten,
        Ok(Decision::Unreadable) => {
            control
                .runtime
                .log("the configuration in the register cannot be read");
            PutAnswer::Undecided
        }
        Err(ChangeError::NotProposer) => return None,
        Err(ChangeError::NotDone) => PutAnswer::NoMajority,
        Err(ChangeError::Undecided) => PutAnswer::Undecided,
    };
    Some(answer)
}

/// Puts a configuration in force where fronts hold serving leases.
async fn order_under_leases(control: &Arc<Control>, base: u64, text: String) -> PutAnswer {
    match put(control, base, text, String::new(), false).await {
        Ok(version) => PutAnswer::InForce(version),
        Err(PutError::InvalidConfiguration { faults }) => PutAnswer::Bad(faults),
        Err(PutError::Conflict { .. }) => PutAnswer::Conflict(control.documents.config.load().0),
        Err(PutError::NotBootstrapped) => PutAnswer::NotFounded,
        Err(PutError::FrontsUnavailable { .. } | PutError::NoMajority) => PutAnswer::NoMajority,
        Err(
            PutError::Unreadable { .. } | PutError::MaybeStored | PutError::NotYetInForce { .. },
        ) => PutAnswer::Undecided,
    }
}
