//! The decision on an operator's order, computed from the value of the configuration's register.
//!
//! An order is a complete configuration with a number chosen by the operator, based on the version
//! that it names. At most one of the orders based on a version is accepted. An order whose answer
//! was lost is sent again unchanged, to any node and at any later time. For a limited time an
//! accepted order is recognised by its base and the digest of its text, and is acknowledged again.
//! Once the digest has been dropped, such an order is answered as having an unknown outcome; it is
//! never rejected. The text of an accepted order with a different base is a different order.

use super::accepted_orders::{EarlierOutcome, find_accepted, retained_orders, supersede};
use yewcross_common::configuration::InvalidSetting;
use yewcross_common::protocol::{AcceptedOrder, ConfigDoc};
use yewcross_common::register::ValueUpdate;

/// An operator's order and the parameters of the decision on it.
pub struct Order<'a> {
    /// The version that the order is based on: an operator's number if orders are numbered,
    /// otherwise a sequence number of the register.
    pub base: u64,
    /// The operator's number; `None` if the tier numbers the versions.
    pub number: Option<u64>,
    /// The complete configuration.
    pub text: &'a str,
    /// Identifies this attempt to submit the order; each repeat has another identifier.
    pub attempt_id: &'a str,
    /// ms since 1970 by the median of the known clocks. With few known clocks it may be wrong:
    /// digests may then be dropped early, but not below `RETAINED_ORDERS_MIN`, or kept too long,
    /// but not above `RETAINED_ORDERS_MAX`.
    pub now_ms: u64,
    /// ms. Minimum retention time of the digests of accepted orders, as far as
    /// `RETAINED_ORDERS_MAX` allows.
    pub retention_ms: u64,
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The order is accepted, now or by an earlier attempt.
    Accepted(AcceptedDocument),
    /// The order is based on a version other than the current one.
    Conflict { current: u64 },
    /// The order is based on the current version, but its number is not greater than that version.
    Invalid(Vec<InvalidSetting>),
    /// The order may have been accepted earlier, but its digest has been dropped since.
    DigestDropped,
    /// The document in the register cannot be decoded or encoded; it is not replaced.
    Unreadable,
}

/// The decided document that contains an accepted order, or a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedDocument {
    /// The number of the accepted order.
    pub number: u64,
    /// The document's sequence number in its register.
    pub seq: u64,
    /// The encoded document.
    pub document: Vec<u8>,
}

/// Decides an order on the register's value. The decision is idempotent: on a value that already
/// contains the order it gives the same result. An empty value is the document before the first
/// order.
pub fn decide_order(seq: u64, value: &[u8], order: &Order) -> ValueUpdate<Decision> {
    let Ok(document) = ConfigDoc::decode(value) else {
        return ValueUpdate::Keep(Decision::Unreadable);
    };
    let current = if order.number.is_some() {
        document.number
    } else {
        seq
    };
    let earlier = retained_orders(&document);
    match find_accepted(seq, &document, &earlier, order) {
        EarlierOutcome::Accepted { number } => {
            return ValueUpdate::Keep(Decision::Accepted(AcceptedDocument {
                number,
                seq,
                document: value.to_vec(),
            }));
        }
        EarlierOutcome::DigestDropped => return ValueUpdate::Keep(Decision::DigestDropped),
        EarlierOutcome::NotAccepted => {}
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
    let accepted = AcceptedDocument {
        number,
        seq: seq + 1,
        document: raw.clone(),
    };
    ValueUpdate::Write(raw, Decision::Accepted(accepted))
}

/// The document that replaces `document` when `order` is accepted.
fn successor(document: &ConfigDoc, earlier: Vec<AcceptedOrder>, order: &Order) -> ConfigDoc {
    let retained = supersede(document, earlier, order);
    ConfigDoc {
        text: order.text.into(),
        put_id: order.attempt_id.into(),
        number: order.number.unwrap_or(0),
        highest_dropped: retained.highest_dropped,
        orders: retained.orders,
        ..Default::default()
    }
}
