//! What an operator's order makes of the configuration's register.
//!
//! An order is a complete configuration with a number of the operator's choice, on top of the
//! version that it names. Of the orders on one version, one is taken. An order whose answer was lost
//! is sent again unchanged, to any node and at any later time: a taken order is known by the digest of
//! its text and by its base for a time, and is acknowledged again. Once the digest is gone, the
//! outcome of such an order is left open; it is never rejected. The text of a taken order on top of
//! another version is another order.

use super::accepted_orders::{Earlier, find_taken, remembered_orders, supersede};
use yewcross_common::configuration::InvalidSetting;
use yewcross_common::protocol::{AcceptedOrder, ConfigDoc};
use yewcross_common::register::ValueUpdate;

/// An operator's order, as it is decided.
pub struct Order<'a> {
    /// The version that it builds on, by the operator's numbers where there are any.
    pub base: u64,
    /// The operator's number; `None` where the tier numbers the versions.
    pub number: Option<u64>,
    pub text: &'a str,
    /// Names this attempt, not the order: a repeat has another.
    pub attempt_id: &'a str,
    /// ms since 1970 by the median of the known clocks. Where few are known it may be wrong:
    /// digests may then be dropped early, down to `RETAINED_ORDERS_MIN`, or stay, up to
    /// `RETAINED_ORDERS_MAX`.
    pub now_ms: u64,
    /// ms that digests of taken orders are kept at least, as far as `RETAINED_ORDERS_MAX` allows.
    pub retention_ms: u64,
}

/// What an order came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It is taken, now or earlier.
    Accepted(AcceptedDocument),
    /// It builds on another version than the current one.
    Conflict { current: u64 },
    /// It builds on the current version, and its number is not above that.
    Invalid(Vec<InvalidSetting>),
    /// It may have been taken so long ago that its digest is gone.
    DigestDropped,
    /// The document in the register cannot be read; it is not replaced.
    Unreadable,
}

/// The decided document that holds an order, or followed on one that did.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedDocument {
    /// The number of the order that was asked about.
    pub number: u64,
    /// The document's sequence number in its register.
    pub seq: u64,
    pub document: Vec<u8>,
}

/// What an order makes of the register's value. Run again on a value that has its change, it comes
/// to the same. An empty value is the document before the first order.
pub fn decide_order(seq: u64, value: &[u8], order: &Order) -> ValueUpdate<Decision> {
    let Ok(document) = ConfigDoc::decode(value) else {
        return ValueUpdate::Keep(Decision::Unreadable);
    };
    let current = if order.number.is_some() {
        document.number
    } else {
        seq
    };
    let earlier = remembered_orders(&document);
    match find_taken(seq, &document, &earlier, order) {
        Earlier::Taken { number } => {
            return ValueUpdate::Keep(Decision::Accepted(AcceptedDocument {
                number,
                seq,
                document: value.to_vec(),
            }));
        }
        Earlier::Forgotten => return ValueUpdate::Keep(Decision::DigestDropped),
        Earlier::NotTaken => {}
    }
    if order.base != current {
        return ValueUpdate::Keep(Decision::Conflict { current });
    }
    let number = order.number.unwrap_or(seq + 1);
    if number <= current {
        return ValueUpdate::Keep(Decision::Invalid(vec![InvalidSetting {
            path: "number".into(),
            reason: format!("must be above {current}"),
        }]));
    }
    let Ok(raw) = successor(&document, earlier, order).encode() else {
        return ValueUpdate::Keep(Decision::Unreadable);
    };
    let taken = AcceptedDocument {
        number,
        seq: seq + 1,
        document: raw.clone(),
    };
    ValueUpdate::Write(raw, Decision::Accepted(taken))
}

/// The document after an order on top of another.
fn successor(document: &ConfigDoc, earlier: Vec<AcceptedOrder>, order: &Order) -> ConfigDoc {
    let memory = supersede(document, earlier, order);
    ConfigDoc {
        text: order.text.into(),
        put_id: order.attempt_id.into(),
        number: order.number.unwrap_or(0),
        highest_dropped: memory.forgotten,
        orders: memory.orders,
        ..Default::default()
    }
}
