//! Tests of the decision on operators' orders: acceptance, conflicts, repeated orders, and the
//! digests of accepted orders.

use yewcross_common::constants::*;
use yewcross_common::process_settings::Bounds;
use yewcross_common::protocol::ConfigDoc;
use yewcross_common::register::ValueUpdate;
use yewcross_control::config::accepted_orders::retention_ms;
use yewcross_control::config::order_decision::{Decision, Order, decide_order};

/// A register without concurrent changes, with a settable clock.
#[derive(Default)]
struct Register {
    seq: u64,
    value: Vec<u8>,
    now_ms: u64,
}

impl Register {
    /// An empty register whose clock shows `now_ms`.
    fn at_time(now_ms: u64) -> Register {
        Register {
            now_ms,
            ..Register::default()
        }
    }

    /// Decides an order and applies the decision. The order's number is the first word of its text,
    /// if that is a number.
    fn order(&mut self, base: u64, text: &str) -> Decision {
        let number = text
            .split(' ')
            .next()
            .and_then(|digits| digits.parse().ok());
        let order = Order {
            base,
            number,
            text,
            attempt_id: "test",
            now_ms: self.now_ms,
            retention_ms: retention_ms(&Bounds::default()),
        };
        match decide_order(self.seq, &self.value, &order) {
            ValueUpdate::Keep(decision) => decision,
            ValueUpdate::Write(value, decision) => {
                self.seq += 1;
                self.value = value;
                decision
            }
        }
    }

    /// Submits an order that must be accepted.
    fn accept(&mut self, base: u64, text: &str) {
        let number = text
            .split(' ')
            .next()
            .and_then(|digits| digits.parse().ok())
            .unwrap();
        assert_eq!(
            accepted_number(self.order(base, text)),
            Some(number),
            "{text}"
        );
    }

    /// Submits orders with consecutive numbers, each based on the one before and `every_ms` after
    /// it. All of them must be accepted.
    fn accept_all(&mut self, numbers: std::ops::RangeInclusive<u64>, every_ms: u64) {
        for number in numbers {
            self.now_ms += every_ms;
            self.accept(number - 1, &format!("{number} text"));
        }
    }

    fn document(&self) -> ConfigDoc {
        ConfigDoc::decode(&self.value).unwrap()
    }
}

/// The number of the accepted order; `None` if the order is not accepted.
fn accepted_number(decision: Decision) -> Option<u64> {
    match decision {
        Decision::Accepted(document) => Some(document.number),
        _ => None,
    }
}

#[test]
fn only_one_of_two_texts_with_the_same_number_is_accepted() {
    let mut register = Register::default();
    register.accept(0, "5 first");
    register.accept(5, "7 one operator");
    assert_eq!(
        register.order(5, "7 another operator"),
        Decision::Conflict { current: 7 }
    );
    register.accept(7, "9 next");
    assert_eq!(
        register.order(5, "7 another operator"),
        Decision::Conflict { current: 9 }
    );
    assert_eq!(
        accepted_number(register.order(5, "7 one operator")),
        Some(7)
    );
}

#[test]
fn deciding_an_accepted_order_again_gives_the_same_decision() {
    let mut register = Register::default();
    register.accept(0, "5 first");
    let Decision::Accepted(once) = register.order(5, "6 b") else {
        panic!()
    };
    let Decision::Accepted(twice) = register.order(5, "6 b") else {
        panic!()
    };
    assert_eq!(once, twice);
}

/// Guards against acknowledging an order that was never accepted: the text of an accepted order
/// with a different base is a different order, and is decided as a new one.
#[test]
fn an_accepted_text_with_another_base_is_a_different_order() {
    let mut register = Register::at_time(1_700_000_000_000);
    register.accept(0, "5 first");
    register.accept(5, "6 b");
    register.accept(6, "9 c");
    let before = register.value.clone();
    let accepted_orders = [(0, "5 first"), (5, "6 b"), (6, "9 c")];
    for (own_base, text) in accepted_orders {
        let number = text[..1].parse().unwrap();
        for base in 0..=10 {
            let decision = register.order(base, text);
            match base {
                _ if base == own_base => {
                    assert_eq!(accepted_number(decision), Some(number), "{text}")
                }
                9 => assert!(
                    matches!(decision, Decision::Invalid(_)),
                    "{text}: {decision:?}"
                ),
                _ => assert_eq!(
                    decision,
                    Decision::Conflict { current: 9 },
                    "{text} on {base}"
                ),
            }
        }
    }
    assert_eq!(
        register.value, before,
        "a rejected order changed the document"
    );
}

/// Guards against the same failure after digests were dropped: an order based on the newest
/// version, or on any other version that an accepted order with its number cannot have been based
/// on, is not answered with an unknown outcome.
#[test]
fn a_text_with_a_dropped_digest_and_another_base_is_rejected() {
    let mut register = Register::at_time(1_700_000_000_000);
    register.accept_all(1..=600, 1_000);
    let highest_dropped = register.document().highest_dropped;
    assert!((400..600).contains(&highest_dropped), "{highest_dropped}");
    for number in 1..=600 {
        let text = format!("{number} text");
        assert!(
            matches!(register.order(600, &text), Decision::Invalid(_)),
            "{text} based on the newest version"
        );
        for base in [number, 599, 601] {
            let decision = register.order(base, &text);
            let is_own_base = base + 1 == number;
            let may_be_own_base = base < number && number <= highest_dropped;
            if !is_own_base && !may_be_own_base && base != 600 {
                assert_eq!(
                    decision,
                    Decision::Conflict { current: 600 },
                    "{text} on {base}"
                );
            }
        }
    }
    // The base of the oldest retained order is known, too.
    let oldest = format!("{} text", highest_dropped + 1);
    assert_eq!(
        accepted_number(register.order(highest_dropped, &oldest)),
        Some(highest_dropped + 1)
    );
    assert_eq!(
        register.order(highest_dropped - 1, &oldest),
        Decision::Conflict { current: 600 }
    );
}

/// If the tier numbers the versions, the current text submitted again with the current version as
/// its base creates a new version.
#[test]
fn unnumbered_orders_are_recognised_by_text_and_base() {
    let mut register = Register::default();
    let put = |register: &mut Register, base| register.order(base, "no number");
    assert_eq!(accepted_number(put(&mut register, 0)), Some(1));
    assert_eq!(accepted_number(put(&mut register, 0)), Some(1));
    assert_eq!(accepted_number(put(&mut register, 1)), Some(2));
    assert_eq!(
        put(&mut register, 0),
        Decision::Conflict { current: 2 },
        "version 1 was replaced by version 2 with the same text"
    );
}

#[test]
fn a_number_not_above_the_current_version_is_always_invalid() {
    let mut register = Register::default();
    register.accept(0, "5 first");
    for _ in 0..3 {
        assert!(matches!(register.order(5, "5 other"), Decision::Invalid(_)));
        assert!(matches!(register.order(5, "4 other"), Decision::Invalid(_)));
    }
    // The rejected orders left the register unchanged.
    register.accept(5, "6 b");
    assert!(matches!(register.order(6, "5 other"), Decision::Invalid(_)));
}

#[test]
fn an_earlier_configuration_may_be_ordered_again_under_a_new_number() {
    let mut register = Register::default();
    register.accept(0, "5 routes a");
    register.accept(5, "6 routes b");
    register.accept(6, "7 routes a");
    register.accept(7, "8 routes b");
    assert_eq!(
        [5, 6, 7, 8].map(|n| accepted_number(register.order(
            n - 1,
            &format!("{n} routes {}", ["b", "a"][(n % 2) as usize])
        ))),
        [5, 6, 7, 8].map(Some)
    );
}

/// An order with an undecided attempt whose base was superseded by a concurrent order is in
/// conflict, even if its number has been accepted with another text since.
#[test]
fn an_order_that_lost_to_a_concurrent_one_conflicts() {
    let mut register = Register::default();
    register.accept(0, "5 first");
    register.accept(5, "6 winner");
    assert_eq!(
        register.order(5, "7 loser"),
        Decision::Conflict { current: 6 }
    );
    register.accept(6, "7 winner");
    assert_eq!(
        register.order(5, "7 loser"),
        Decision::Conflict { current: 7 }
    );
}

/// Orders arrive at the highest rate that the tier must support for the whole time during which an
/// order may be sent again.
#[test]
fn orders_are_recognised_throughout_the_retention_time() {
    let mut register = Register {
        now_ms: 1_700_000_000_000,
        ..Default::default()
    };
    let retention_ms = retention_ms(&Bounds::default());
    assert!(retention_ms >= 4 * Bounds::default().ack);
    // Eight orders per second.
    let count = retention_ms / 125;
    register.accept_all(1..=count, 125);
    for number in 1..=count {
        assert_eq!(
            accepted_number(register.order(number - 1, &format!("{number} text"))),
            Some(number)
        );
        if number < count {
            assert_eq!(
                register.order(number - 1, &format!("{number} other")),
                Decision::Conflict { current: count }
            );
        }
    }
}

/// Regardless of the number and rate of later orders, an accepted order that is sent again is
/// either acknowledged or answered with an unknown outcome.
#[test]
fn an_accepted_order_is_never_rejected() {
    for every_ms in [0, 10, 1_000, 100_000] {
        let mut register = Register {
            now_ms: 1_700_000_000_000,
            ..Default::default()
        };
        register.accept_all(1..=2_000, every_ms);
        let mut recognised = 0;
        for number in 1..=2_000 {
            match register.order(number - 1, &format!("{number} text")) {
                Decision::Accepted(document) if document.number == number => recognised += 1,
                Decision::DigestDropped => {}
                other => panic!("order {number}, one every {every_ms} ms: {other:?}"),
            }
        }
        let orders = register.document().orders.len();
        println!(
            "one order every {every_ms} ms: {recognised} of 2000 recognised, document of {} bytes",
            register.value.len()
        );
        assert!(
            (RETAINED_ORDERS_MIN..=RETAINED_ORDERS_MAX).contains(&orders),
            "{orders}"
        );
        assert!(
            register.value.len() < 100 * RETAINED_ORDERS_MAX,
            "{}",
            register.value.len()
        );
        // Orders that cannot have been accepted are still rejected.
        assert!(matches!(
            register.order(2_000, "1500 other"),
            Decision::Invalid(_)
        ));
        assert_eq!(
            register.order(1_000, "3000 other"),
            Decision::Conflict { current: 2_000 }
        );
    }
}

/// With a clock that is unset, far ahead or behind, acceptance times never decrease, and none of
/// the newest `RETAINED_ORDERS_MIN` digests is dropped.
#[test]
fn clock_jumps_drop_no_digest_within_the_minimum() {
    let mut register = Register {
        now_ms: 1_700_000_000_000,
        ..Default::default()
    };
    register.accept_all(1..=40, 100);
    register.now_ms = 0;
    register.accept_all(41..=50, 0);
    register.now_ms = 1_800_000_000_000;
    register.accept_all(51..=60, 100);
    register.now_ms = 1_700_000_010_000;
    register.accept_all(61..=64, 100);
    let acceptance_times: Vec<u64> = register
        .document()
        .orders
        .iter()
        .map(|retained| retained.accepted_ms)
        .collect();
    assert!(
        acceptance_times.windows(2).all(|pair| pair[0] >= pair[1]),
        "{acceptance_times:?}"
    );
    assert!((1..=64).all(|number| accepted_number(
        register.order(number - 1, &format!("{number} text"))
    ) == Some(number)));
}

/// Documents written before digests had an acceptance time still identify their accepted orders.
#[test]
fn digests_of_the_old_format_are_retained() {
    let digest = |text: &str| yewcross_common::hash::content_digest(text.as_bytes());
    let old_format_document = ConfigDoc {
        text: "7 c".into(),
        number: 7,
        superseded: vec![
            (6, digest("6 b"), String::new()),
            (5, digest("5 a"), String::new()),
        ],
        ..Default::default()
    };
    let mut register = Register {
        seq: 4,
        value: old_format_document.encode().unwrap(),
        now_ms: 0,
    };
    assert_eq!(accepted_number(register.order(4, "5 a")), Some(5));
    assert!(matches!(register.order(7, "5 a"), Decision::Invalid(_)));
    register.accept(7, "8 d");
    assert_eq!(
        [(4, "5 a"), (5, "6 b"), (6, "7 c")]
            .map(|(base, text)| accepted_number(register.order(base, text))),
        [5, 6, 7].map(Some)
    );
    // The old format does not record the base of the oldest order: it was some version below its
    // number.
    for base in [5, 6, 7] {
        assert_eq!(
            register.order(base, "5 a"),
            Decision::Conflict { current: 8 }
        );
    }
    for text in ["5 a", "6 b", "7 c", "8 d"] {
        assert!(matches!(register.order(8, text), Decision::Invalid(_)));
    }
    assert_eq!(register.order(4, "6 b"), Decision::Conflict { current: 8 });
}

/// Guards against misreading documents in the stored format: they record no bases, so the base of
/// an order is the number of the order accepted before it.
#[test]
fn bases_are_derived_from_the_preceding_order() {
    let value = br#"{"text":"9 c","put":"p","note":"","past":[],"number":9,"forgotten":0,"orders":[
"#;
    let encoded_order = |number: u64, text: &str| {
        let digest = yewcross_common::hash::content_digest(text.as_bytes());
        format!(r#"{{"number":{number},"digest":"{digest}","taken_ms":1700000000000}}"#)
    };
    let orders = [encoded_order(6, "6 b"), encoded_order(5, "5 first")].join(",\n");
    let mut register = Register {
        seq: 3,
        value: [value, orders.as_bytes(), b"\n]}"].concat(),
        now_ms: 1_700_000_001_000,
    };
    assert_eq!(
        [(0, "5 first"), (5, "6 b"), (6, "9 c")]
            .map(|(base, text)| accepted_number(register.order(base, text))),
        [5, 6, 9].map(Some)
    );
    for text in ["5 first", "6 b", "9 c"] {
        assert!(matches!(register.order(9, text), Decision::Invalid(_)));
        assert_eq!(register.order(3, text), Decision::Conflict { current: 9 });
    }
}

/// A value that cannot be decoded must not be treated as an empty document.
#[test]
fn an_unreadable_document_is_not_replaced() {
    let mut register = Register {
        seq: 3,
        value: b"{\"text\":".to_vec(),
        now_ms: 0,
    };
    assert_eq!(register.order(0, "1 first"), Decision::Unreadable);
    assert_eq!(register.value, b"{\"text\":");
}

/// The delta between two versions contains the new order's text and one digest, but not the digests
/// that both versions contain.
#[test]
fn the_delta_of_an_order_omits_unchanged_digests() {
    let mut register = Register {
        now_ms: 1_700_000_000_000,
        ..Default::default()
    };
    register.accept_all(1..=300, 100);
    let before = register.value.clone();
    register.accept_all(301..=301, 100);
    let delta = yewcross_common::documents::delta::encode(&before, &register.value);
    println!(
        "delta of {} bytes for a document of {} bytes",
        delta.len(),
        register.value.len()
    );
    assert!(delta.len() < 600, "{}", delta.len());
    assert_eq!(
        yewcross_common::documents::delta::apply(&before, &delta).as_deref(),
        Some(&register.value[..])
    );
    assert_eq!(
        serde_json::from_slice::<ConfigDoc>(&register.value).unwrap(),
        register.document()
    );
}
