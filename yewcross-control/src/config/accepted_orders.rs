//! Digests of accepted orders, by which an order that is sent again is recognised, and how long the
//! digests are retained.

use super::order_decision::Order;
use yewcross_common::constants::{
    RETAINED_ORDERS_ACK_TIMEOUTS, RETAINED_ORDERS_MAX, RETAINED_ORDERS_MIN, RETAINED_ORDERS_MS,
};
use yewcross_common::process_settings::Bounds;
use yewcross_common::protocol::{AcceptedOrder, ConfigDoc};

/// ms. The acceptance time given to orders from documents written before the field `orders` was
/// added, which recorded none.
const ACCEPTED_MS_UNRECORDED: u64 = 0;

/// What a document records about an earlier acceptance of an order.
pub(super) enum EarlierOutcome {
    /// The order was accepted under this number.
    Accepted { number: u64 },
    /// The order may have been accepted; its digest has been dropped.
    DigestDropped,
    /// The order has never been accepted.
    NotAccepted,
}

/// The version that an accepted order was based on. Documents do not record it, because every order
/// is based on the one accepted before it.
#[derive(Clone, Copy)]
enum AcceptedBase {
    Version(u64),
    /// Some version below the order's number. Documents written before the field `orders` was added
    /// do not record what preceded the oldest order that they contain.
    Unrecorded,
}

impl AcceptedBase {
    /// Whether an order with this number may have been based on `base`.
    fn matches(self, base: u64, number: u64) -> bool {
        match self {
            AcceptedBase::Version(version) => base == version,
            AcceptedBase::Unrecorded => base < number,
        }
    }
}

/// Looks for an order among the accepted ones: the same text with the same base. An accepted text
/// with a different base is a different order.
pub(super) fn find_accepted(
    seq: u64,
    document: &ConfigDoc,
    earlier: &[AcceptedOrder],
    order: &Order,
) -> EarlierOutcome {
    let Some(number) = order.number else {
        return find_accepted_unnumbered(seq, document, order);
    };
    let is_newest = document.text == order.text && !order.text.is_empty();
    if is_newest && base_of_newest(document, earlier).matches(order.base, number) {
        return EarlierOutcome::Accepted { number };
    }
    let digest = text_digest(order.text);
    let same_text = earlier
        .iter()
        .position(|retained| retained.digest == digest);
    if same_text
        .is_some_and(|index| base_of_earlier(document, earlier, index).matches(order.base, number))
    {
        return EarlierOutcome::Accepted { number };
    }
    // An accepted order has a number above its base, and no order whose digest was dropped has a
    // number above `highest_dropped`.
    if order.base < number && number <= document.highest_dropped {
        return EarlierOutcome::DigestDropped;
    }
    EarlierOutcome::NotAccepted
}

/// Looks for an order without a number. If the tier numbers the versions, only the newest order is
/// recognised.
fn find_accepted_unnumbered(seq: u64, document: &ConfigDoc, order: &Order) -> EarlierOutcome {
    let is_newest = document.text == order.text && !order.text.is_empty();
    if is_newest && order.base + 1 == seq {
        EarlierOutcome::Accepted { number: seq }
    } else {
        EarlierOutcome::NotAccepted
    }
}

/// The base of the document's current order.
fn base_of_newest(document: &ConfigDoc, earlier: &[AcceptedOrder]) -> AcceptedBase {
    let previous = earlier
        .first()
        .map_or(document.highest_dropped, |retained| retained.number);
    AcceptedBase::Version(previous)
}

/// The base of the order at `index` of `earlier`, the orders before the document's current one.
fn base_of_earlier(document: &ConfigDoc, earlier: &[AcceptedOrder], index: usize) -> AcceptedBase {
    match earlier.get(index + 1) {
        Some(previous) => AcceptedBase::Version(previous.number),
        None if document.highest_dropped == 0
            && earlier[index].accepted_ms == ACCEPTED_MS_UNRECORDED =>
        {
            AcceptedBase::Unrecorded
        }
        None => AcceptedBase::Version(document.highest_dropped),
    }
}

/// The orders before a document's current one whose digests are retained.
pub(super) struct RetainedOrders {
    /// Newest first.
    pub(super) orders: Vec<AcceptedOrder>,
    /// The highest number of an order whose digest has been dropped.
    pub(super) highest_dropped: u64,
}

/// The retained orders after `order` has replaced the document's current order.
pub(super) fn supersede(
    document: &ConfigDoc,
    mut earlier: Vec<AcceptedOrder>,
    order: &Order,
) -> RetainedOrders {
    let mut highest_dropped = document.highest_dropped;
    if document.text.is_empty() || order.number.is_none() {
        return RetainedOrders {
            orders: earlier,
            highest_dropped,
        };
    }
    let newest_ms = earlier.first().map_or(0, |retained| retained.accepted_ms);
    // Acceptance times never decrease, even if the clocks go backwards.
    let now_ms = order.now_ms.max(newest_ms);
    let superseded = AcceptedOrder {
        number: document.number,
        digest: text_digest(&document.text),
        accepted_ms: now_ms,
    };
    earlier.insert(0, superseded);
    let retained_count = count_retained(&earlier, now_ms, order.retention_ms);
    highest_dropped = earlier
        .get(retained_count)
        .map_or(highest_dropped, |dropped| {
            dropped.number.max(highest_dropped)
        });
    earlier.truncate(retained_count);
    RetainedOrders {
        orders: earlier,
        highest_dropped,
    }
}

/// How many of the digests, newest first, are retained.
fn count_retained(orders: &[AcceptedOrder], now_ms: u64, retention_ms: u64) -> usize {
    let within_retention = orders
        .iter()
        .take_while(|retained| retained.accepted_ms + retention_ms >= now_ms)
        .count();
    within_retention
        .clamp(RETAINED_ORDERS_MIN, RETAINED_ORDERS_MAX)
        .min(orders.len())
}

/// The digests of the orders accepted before the document's current one, newest first. Documents
/// written before the field `orders` was added hold them in `superseded`.
pub(super) fn retained_orders(document: &ConfigDoc) -> Vec<AcceptedOrder> {
    if !document.orders.is_empty() || document.number == 0 {
        return document.orders.clone();
    }
    document
        .superseded
        .iter()
        .map(|(number, digest, _)| AcceptedOrder {
            number: *number,
            digest: digest.clone(),
            accepted_ms: ACCEPTED_MS_UNRECORDED,
        })
        .collect()
}

fn text_digest(text: &str) -> String {
    yewcross_common::hash::content_digest(text.as_bytes())
}

/// ms. Retention time of the digests of accepted orders: at least `RETAINED_ORDERS_MS`, and several
/// times the acknowledgement timeout, because an operator repeats an unanswered order for a few
/// times that long.
pub fn retention_ms(bounds: &Bounds) -> u64 {
    RETAINED_ORDERS_MS.max(bounds.ack.saturating_mul(RETAINED_ORDERS_ACK_TIMEOUTS))
}
