//! Operators' orders: one winner a number, and a repeated order is acknowledged again.

use std::sync::Arc;
use yewcross::consts::*;
use yewcross_control::api::PutAnswer;
use yewcross_lab::tier::*;

/// Puts `count` orders one after another, on top of `base`, at one core after another; the last number.
async fn put_many(tier: &Arc<Tier>, base: u64, count: u64) -> u64 {
    for number in base + 1..=base + count {
        tier.put_surely(number - 1, &format!("{number} one of many")).await;
    }
    base + count
}

/// The answer to an order is lost, a hundred others follow within the time for an answer, and the order is sent again.
#[test]
fn an_order_whose_answer_was_lost_is_known_after_many_others() {
    let tier = Tier::new(7101, [4, 4, 2], 1);
    play(&tier, |tier| {
        Box::pin(async move {
            up(&tier).await;
            tier.put_surely(0, "1 first").await;
            let sent = tier.op.now();
            tier.put_surely(1, "2 the answer is lost").await;
            let newest = put_many(&tier, 2, 100).await;
            let took = tier.op.now() - sent;
            assert!(took < 4 * SEC, "the orders took {took} us");
            for core in ["core1", "core2", "core3", "core4"] {
                assert_eq!(tier.put(core, 1, "2 the answer is lost").await, Some(PutAnswer::InForce(2)), "{core}");
                assert_eq!(tier.put(core, 1, "2 another text").await, Some(PutAnswer::Conflict(newest)), "{core}");
            }
        })
    });
}
