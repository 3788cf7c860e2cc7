//! Operators' numbered orders: checked, decided by a majority of the core disks, then sent to every
//! node.
//!
//! An order is a whole configuration with a number of the operator's choice, on top of the version
//! that it names. Of the orders on one version, one is taken. An order whose answer was lost is
//! sent again as it was, to any node and at any time after: whatever was taken is known by its
//! digest for a time, and is acknowledged again. Once the digest is gone, such an order is left
//! without a clear answer; it is never refused.

use super::proved::{Put, put};
use super::push;
use crate::Control;
use crate::api::{PutAnswer, Rollout};
use crate::proposer::{self, NotAnswered};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::InvalidSetting;
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Bounds;
use yewcross_common::protocol::{ConfigDoc, PeerRequest, PeerResponse, TakenOrder};
use yewcross_common::register::{ChangeError, Step};

/// An operator's order, as it is decided.
pub struct Order<'a> {
    /// The version that it builds on, by the operator's numbers where there are any.
    pub base: u64,
    /// The operator's number; `None` where the tier numbers the versions.
    pub number: Option<u64>,
    pub text: &'a str,
    /// Of this attempt, not of the order: a repeat has another.
    pub attempt: &'a str,
    /// ms since 1970 by the middle of the known clocks. Where few are known it may be wrong:
    /// digests may then go early, down to `ORDERS_KEPT`, or stay, up to `ORDERS_KEPT_MOST`.
    pub now_ms: u64,
    /// ms that digests of taken orders are kept at least, as far as `ORDERS_KEPT_MOST` allows.
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
    /// The document in the register cannot be read; nothing is put in its place.
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
/// to the same.
pub fn decide(seq: u64, value: &[u8], order: &Order) -> Step<Decision> {
    let Ok(document) = ConfigDoc::decode(value) else {
        return Step::Keep(Decision::Unreadable);
    };
    let current = if order.number.is_some() {
        document.number
    } else {
        seq
    };
    let taken = |number| {
        Step::Keep(Decision::Taken(TakenDocument {
            number,
            seq,
            document: value.to_vec(),
        }))
    };
    if document.text == order.text && !order.text.is_empty() {
        return taken(current);
    }
    let earlier = remembered(&document);
    if let Some(number) = order.number {
        let digest = digest(order.text);
        if earlier.iter().any(|o| o.digest == digest) {
            return taken(number);
        }
        // What was taken had a number above its base, and whatever is forgotten is not above
        // `forgotten`.
        if order.base < number && number <= document.forgotten {
            return Step::Keep(Decision::Forgotten);
        }
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
    let next = successor(&document, earlier, order);
    match next.encode() {
        Ok(raw) => Step::Write(
            raw.clone(),
            Decision::Taken(TakenDocument {
                number,
                seq: seq + 1,
                document: raw,
            }),
        ),
        Err(_) => Step::Keep(Decision::Unreadable),
    }
}

/// The document after an order on top of another.
fn successor(document: &ConfigDoc, mut earlier: Vec<TakenOrder>, order: &Order) -> ConfigDoc {
    let mut forgotten = document.forgotten;
    let newest_ms = earlier.first().map_or(0, |o| o.taken_ms);
    let now_ms = order.now_ms.max(newest_ms);
    if !document.text.is_empty() && order.number.is_some() {
        earlier.insert(
            0,
            TakenOrder {
                number: document.number,
                digest: digest(&document.text),
                taken_ms: now_ms,
            },
        );
        let kept = kept(&earlier, now_ms, order.kept_ms);
        forgotten = earlier
            .get(kept)
            .map_or(forgotten, |o| o.number.max(forgotten));
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
fn kept(orders: &[TakenOrder], now_ms: u64, kept_ms: u64) -> usize {
    let young = orders
        .iter()
        .take_while(|o| o.taken_ms + kept_ms >= now_ms)
        .count();
    young.clamp(ORDERS_KEPT, ORDERS_KEPT_MOST).min(orders.len())
}

/// The digests of taken orders, newest first, wherever the document has them.
fn remembered(document: &ConfigDoc) -> Vec<TakenOrder> {
    if !document.orders.is_empty() || document.number == 0 {
        return document.orders.clone();
    }
    document
        .past
        .iter()
        .map(|p| TakenOrder {
            number: p.0,
            digest: p.1.clone(),
            taken_ms: 0,
        })
        .collect()
}

fn digest(text: &str) -> String {
    yewcross_common::hash::content_digest(text.as_bytes())
}

/// ms that digests of taken orders are kept: an operator asks again for a few times the time for an
/// answer.
pub fn kept_ms(bounds: &Bounds) -> u64 {
    ORDERS_KEPT_MS.max(bounds.ack.saturating_mul(ORDERS_KEPT_ACKS))
}

/// us. An order that finds no majority is told so within this, so that the operator moves on.
fn answer_within(c: &Control) -> u64 {
    (c.settings.bounds.ack * MS / 4).min(1_500 * MS)
}

/// Checks an operator's text on top of version `base`, has it decided by a majority of core disks,
/// and sends it out. Answers within a quarter of `Bounds::ack`.
pub async fn order(c: &Arc<Control>, base: u64, text: Vec<u8>) -> PutAnswer {
    let Ok(text) = String::from_utf8(text) else {
        return PutAnswer::Bad(vec![InvalidSetting {
            path: String::new(),
            why: "not UTF-8".into(),
        }]);
    };
    if c.options.rollout == Rollout::Proved {
        return order_under_leases(c, base, text).await;
    }
    if let Err(faults) = c.options.dialect.read(text.as_bytes()) {
        return PutAnswer::Bad(faults);
    }
    if c.documents.layout.load().0 == 0 {
        return PutAnswer::NotFounded;
    }
    c.counts.puts.fetch_add(1, SeqCst);
    if let Some(answer) = answer_by_what_is_held(c, base, &text) {
        return answer;
    }
    let (answer_tx, answer) = async_channel::bounded(1);
    let control = c.clone();
    // It runs on its own: whoever asked may go, and half a change is never dropped.
    c.runtime.spawn(async move {
        let _ = answer_tx.try_send(order_by_proposer(&control, base, text).await);
    });
    let answer = c.runtime.timeout(answer_within(c), answer.recv()).await;
    answer.and_then(|a| a.ok()).unwrap_or(PutAnswer::Undecided)
}

/// What a decided document tells of an order for good: what it knows as taken stays taken. That an
/// order is in conflict is told with the newest version, which only the proposer knows.
fn answer_by_what_is_held(c: &Control, base: u64, text: &str) -> Option<PutAnswer> {
    let page = c.documents.document("config");
    let order = Order {
        base,
        number: c.options.dialect.number(text.as_bytes()),
        text,
        attempt: "",
        now_ms: 0,
        kept_ms: 0,
    };
    match decide(page.version, &page.content, &order) {
        Step::Keep(Decision::Taken(taken)) => Some(PutAnswer::InForce(taken.number)),
        _ => None,
    }
}

/// Has an order decided by the process that proposes, this one or another.
async fn order_by_proposer(control: &Arc<Control>, base: u64, text: String) -> PutAnswer {
    let until = control.runtime.now() + answer_within(control) * 9 / 10;
    let mut may_be_taken = false;
    while control.runtime.now() < until {
        let left = until.saturating_sub(control.runtime.now());
        let answer = match control.duty_term() {
            Some(_) => order_here(control, base, &text, left).await,
            None => match proposer::forward(
                control,
                &PeerRequest::ForwardPut { base },
                text.as_bytes(),
                left,
            )
            .await
            {
                Ok((PeerResponse::PutAnswer(answer), _)) => Some(answer),
                Err(NotAnswered::Unknown) => {
                    may_be_taken = true;
                    None
                }
                _ => None,
            },
        };
        match answer {
            Some(PutAnswer::NoMajority | PutAnswer::Busy) if may_be_taken => {
                return PutAnswer::Undecided;
            }
            Some(answer) => return answer,
            None => proposer::wait_for_one(control).await,
        }
    }
    if may_be_taken {
        PutAnswer::Undecided
    } else {
        PutAnswer::NoMajority
    }
}

/// An order that another core passed on, which has checked its text.
pub async fn take_forwarded(c: &Arc<Control>, base: u64, text: Vec<u8>) -> PeerResponse {
    let Ok(text) = String::from_utf8(text) else {
        return PeerResponse::Rejected(Code::BadConfig);
    };
    if c.duty_term().is_none() {
        return PeerResponse::Rejected(Code::NotOnDuty);
    }
    let (answer_tx, answer) = async_channel::bounded(1);
    let control = c.clone();
    c.runtime.spawn(async move {
        let limit = answer_within(&control) * 9 / 10;
        let _ = answer_tx.try_send(order_here(&control, base, &text, limit).await);
    });
    match answer.recv().await {
        Ok(Some(answer)) => PeerResponse::PutAnswer(answer),
        _ => PeerResponse::Rejected(Code::NotOnDuty),
    }
}

/// None where this process does not propose any more.
async fn order_here(control: &Arc<Control>, base: u64, text: &str, us: u64) -> Option<PutAnswer> {
    if control.counts.orders_waiting.fetch_add(1, SeqCst) >= ORDERS_WAITING as u64 {
        control.counts.orders_waiting.fetch_sub(1, SeqCst);
        return Some(PutAnswer::Busy);
    }
    let answer = order_by_majority(control, base, text, us).await;
    control.counts.orders_waiting.fetch_sub(1, SeqCst);
    answer
}

async fn order_by_majority(
    control: &Arc<Control>,
    base: u64,
    text: &str,
    us: u64,
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
    let answer = match control
        .registers
        .change("config", us, |seq, value| decide(seq, value, &order))
        .await
    {
        Ok(Decision::Taken(taken)) => {
            push(control, "config", taken.seq, taken.document);
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

/// The same where fronts serve under leases.
async fn order_under_leases(control: &Arc<Control>, base: u64, text: String) -> PutAnswer {
    match put(control, base, text, String::new(), false).await {
        Put::InForce(version) => PutAnswer::InForce(version),
        Put::No(Code::BadConfig, _, faults) => PutAnswer::Bad(faults),
        Put::No(Code::Conflict, _, _) => PutAnswer::Conflict(control.documents.config.load().0),
        Put::No(Code::NotFounded, ..) => PutAnswer::NotFounded,
        Put::No(Code::NoMajority, ..) => PutAnswer::NoMajority,
        Put::No(..) => PutAnswer::Undecided,
    }
}
