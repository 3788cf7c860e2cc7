//! The memory of taken orders: how one that is sent again is known, and how long.

use super::order_decision::Order;
use yewcross_common::constants::{
    RETAINED_ORDERS_ACK_TIMEOUTS, RETAINED_ORDERS_MAX, RETAINED_ORDERS_MIN, RETAINED_ORDERS_MS,
};
use yewcross_common::process_settings::Bounds;
use yewcross_common::protocol::{AcceptedOrder, ConfigDoc};

/// ms. The time of orders from documents written before `orders` was added.
const AGE_UNRECORDED: u64 = 0;

/// What a document knows of an order from before.
pub(super) enum Earlier {
    Taken {
        number: u64,
    },
    /// It may have been taken; its digest is gone.
    Forgotten,
    NotTaken,
}

/// The version that a taken order built on. No document records it: each order is taken on top of
/// the one taken before it.
#[derive(Clone, Copy)]
enum TakenOn {
    Version(u64),
    /// Some version below its number. Documents written before `orders` was added do not tell what
    /// came before the oldest order that they hold.
    Unrecorded,
}

impl TakenOn {
    fn is(self, base: u64, number: u64) -> bool {
        match self {
            TakenOn::Version(version) => base == version,
            TakenOn::Unrecorded => base < number,
        }
    }
}

/// Looks for an order among the taken ones: the same text on the same version. A taken text on
/// another version is another order.
pub(super) fn find_taken(
    seq: u64,
    document: &ConfigDoc,
    earlier: &[AcceptedOrder],
    order: &Order,
) -> Earlier {
    let Some(number) = order.number else {
        return find_unnumbered(seq, document, order);
    };
    let is_newest = document.text == order.text && !order.text.is_empty();
    if is_newest && newest_taken_on(document, earlier).is(order.base, number) {
        return Earlier::Taken { number };
    }
    let digest = text_digest(order.text);
    let same_text = earlier.iter().position(|taken| taken.digest == digest);
    if same_text.is_some_and(|i| earlier_taken_on(document, earlier, i).is(order.base, number)) {
        return Earlier::Taken { number };
    }
    // A taken order had a number above its base, and no forgotten one is above `highest_dropped`.
    if order.base < number && number <= document.highest_dropped {
        return Earlier::Forgotten;
    }
    Earlier::NotTaken
}

/// Where the tier numbers the versions, only the newest order is known again.
fn find_unnumbered(seq: u64, document: &ConfigDoc, order: &Order) -> Earlier {
    let is_newest = document.text == order.text && !order.text.is_empty();
    if is_newest && order.base + 1 == seq {
        Earlier::Taken { number: seq }
    } else {
        Earlier::NotTaken
    }
}

/// What the document's own order was taken on.
fn newest_taken_on(document: &ConfigDoc, earlier: &[AcceptedOrder]) -> TakenOn {
    let before = earlier
        .first()
        .map_or(document.highest_dropped, |taken| taken.number);
    TakenOn::Version(before)
}

/// What the order at an index of those before the document's own was taken on.
fn earlier_taken_on(document: &ConfigDoc, earlier: &[AcceptedOrder], index: usize) -> TakenOn {
    match earlier.get(index + 1) {
        Some(before) => TakenOn::Version(before.number),
        None if document.highest_dropped == 0 && earlier[index].accepted_ms == AGE_UNRECORDED => {
            TakenOn::Unrecorded
        }
        None => TakenOn::Version(document.highest_dropped),
    }
}

/// What a document remembers of the orders before its own.
pub(super) struct OrderMemory {
    /// Newest first.
    pub(super) orders: Vec<AcceptedOrder>,
    /// The highest number that is no longer among them.
    pub(super) forgotten: u64,
}

/// The memory after an order that takes the place of the document's own.
pub(super) fn supersede(
    document: &ConfigDoc,
    mut earlier: Vec<AcceptedOrder>,
    order: &Order,
) -> OrderMemory {
    let mut forgotten = document.highest_dropped;
    if document.text.is_empty() || order.number.is_none() {
        return OrderMemory {
            orders: earlier,
            forgotten,
        };
    }
    let newest_ms = earlier.first().map_or(0, |taken| taken.accepted_ms);
    // Ages never fall, whatever the clocks do.
    let now_ms = order.now_ms.max(newest_ms);
    let superseded = AcceptedOrder {
        number: document.number,
        digest: text_digest(&document.text),
        accepted_ms: now_ms,
    };
    earlier.insert(0, superseded);
    let kept = count_kept(&earlier, now_ms, order.retention_ms);
    forgotten = earlier
        .get(kept)
        .map_or(forgotten, |dropped| dropped.number.max(forgotten));
    earlier.truncate(kept);
    OrderMemory {
        orders: earlier,
        forgotten,
    }
}

/// How many of the digests, newest first, are kept.
fn count_kept(orders: &[AcceptedOrder], now_ms: u64, retention_ms: u64) -> usize {
    let young = orders
        .iter()
        .take_while(|taken| taken.accepted_ms + retention_ms >= now_ms)
        .count();
    young
        .clamp(RETAINED_ORDERS_MIN, RETAINED_ORDERS_MAX)
        .min(orders.len())
}

/// The digests of taken orders, newest first. Documents written before `orders` was added hold them
/// in `superseded`.
pub(super) fn remembered_orders(document: &ConfigDoc) -> Vec<AcceptedOrder> {
    if !document.orders.is_empty() || document.number == 0 {
        return document.orders.clone();
    }
    document
        .superseded
        .iter()
        .map(|(number, digest, _)| AcceptedOrder {
            number: *number,
            digest: digest.clone(),
            accepted_ms: AGE_UNRECORDED,
        })
        .collect()
}

fn text_digest(text: &str) -> String {
    yewcross_common::hash::content_digest(text.as_bytes())
}

/// ms that digests of taken orders are kept: an operator asks again for a few times the time for an
/// answer.
pub fn retention_ms(bounds: &Bounds) -> u64 {
    RETAINED_ORDERS_MS.max(bounds.ack.saturating_mul(RETAINED_ORDERS_ACK_TIMEOUTS))
}
