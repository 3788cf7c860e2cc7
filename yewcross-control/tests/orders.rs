//! What an order makes of the configuration's register, step by step.

use yewcross_common::constants::*;
use yewcross_common::process_settings::Bounds;
use yewcross_common::protocol::ConfigDoc;
use yewcross_common::register::ValueUpdate;
use yewcross_control::config::accepted_orders::retention_ms;
use yewcross_control::config::order_decision::{Decision, Order, decide_order};

/// A register that only one process changes, and a clock.
#[derive(Default)]
struct Register {
    seq: u64,
    value: Vec<u8>,
    now_ms: u64,
}

impl Register {
    fn at(now_ms: u64) -> Register {
        Register {
            now_ms,
            ..Register::default()
        }
    }

    fn order(&mut self, base: u64, text: &str) -> Decision {
        let number = text.split(' ').next().and_then(|n| n.parse().ok());
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

    fn take(&mut self, base: u64, text: &str) {
        let number = text.split(' ').next().and_then(|n| n.parse().ok()).unwrap();
        assert_eq!(taken(self.order(base, text)), Some(number), "{text}");
    }

    /// Takes the orders from one number to another, each on top of the one before, `every_ms`
    /// apart.
    fn take_all(&mut self, numbers: std::ops::RangeInclusive<u64>, every_ms: u64) {
        for number in numbers {
            self.now_ms += every_ms;
            self.take(number - 1, &format!("{number} text"));
        }
    }

    fn document(&self) -> ConfigDoc {
        ConfigDoc::decode(&self.value).unwrap()
    }
}

fn taken(decision: Decision) -> Option<u64> {
    match decision {
        Decision::Accepted(t) => Some(t.number),
        _ => None,
    }
}

#[test]
fn of_two_texts_under_one_number_one_is_taken() {
    let mut register = Register::default();
    register.take(0, "5 first");
    register.take(5, "7 one operator");
    assert_eq!(
        register.order(5, "7 another operator"),
        Decision::Conflict { current: 7 }
    );
    register.take(7, "9 next");
    assert_eq!(
        register.order(5, "7 another operator"),
        Decision::Conflict { current: 9 }
    );
    assert_eq!(taken(register.order(5, "7 one operator")), Some(7));
}

#[test]
fn an_order_run_again_on_its_own_change_comes_to_the_same() {
    let mut register = Register::default();
    register.take(0, "5 first");
    let Decision::Accepted(once) = register.order(5, "6 b") else {
        panic!()
    };
    let Decision::Accepted(twice) = register.order(5, "6 b") else {
        panic!()
    };
    assert_eq!(once, twice);
}

/// Guards against acknowledging an order that was never taken: an old text on top of another version
/// is another order, and it is judged as one.
#[test]
fn a_taken_text_on_another_base_is_another_order() {
    let mut register = Register::at(1_700_000_000_000);
    register.take(0, "5 first");
    register.take(5, "6 b");
    register.take(6, "9 c");
    let before = register.value.clone();
    let taken_orders = [(0, "5 first"), (5, "6 b"), (6, "9 c")];
    for (own_base, text) in taken_orders {
        let number = text[..1].parse().unwrap();
        for base in 0..=10 {
            let decision = register.order(base, text);
            match base {
                _ if base == own_base => assert_eq!(taken(decision), Some(number), "{text}"),
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
    assert_eq!(register.value, before, "nothing of it is remembered");
}

/// Guards the same where digests are gone: an order that names the newest version, or any other that
/// a taken one cannot have named, is not left open.
#[test]
fn a_forgotten_text_on_another_base_is_refused() {
    let mut register = Register::at(1_700_000_000_000);
    register.take_all(1..=600, 1_000);
    let forgotten = register.document().highest_dropped;
    assert!((400..600).contains(&forgotten), "{forgotten}");
    for number in 1..=600 {
        let text = format!("{number} text");
        assert!(
            matches!(register.order(600, &text), Decision::Invalid(_)),
            "{text} on the newest"
        );
        for base in [number, 599, 601] {
            let decision = register.order(base, &text);
            let is_own_base = base + 1 == number;
            let may_be_own_base = base < number && number <= forgotten;
            if !is_own_base && !may_be_own_base && base != 600 {
                assert_eq!(
                    decision,
                    Decision::Conflict { current: 600 },
                    "{text} on {base}"
                );
            }
        }
    }
    // The oldest digest that is left knows its base too.
    let oldest = format!("{} text", forgotten + 1);
    assert_eq!(
        taken(register.order(forgotten, &oldest)),
        Some(forgotten + 1)
    );
    assert_eq!(
        register.order(forgotten - 1, &oldest),
        Decision::Conflict { current: 600 }
    );
}

/// Where the tier numbers the versions, a text that is put again on top of itself is a version more.
#[test]
fn without_numbers_an_order_is_known_by_its_base_too() {
    let mut register = Register::default();
    let put = |register: &mut Register, base| register.order(base, "no number");
    assert_eq!(taken(put(&mut register, 0)), Some(1));
    assert_eq!(taken(put(&mut register, 0)), Some(1));
    assert_eq!(taken(put(&mut register, 1)), Some(2));
    assert_eq!(
        put(&mut register, 0),
        Decision::Conflict { current: 2 },
        "replaced by the same text"
    );
}

#[test]
fn a_number_that_does_not_rise_is_invalid_each_time() {
    let mut register = Register::default();
    register.take(0, "5 first");
    for _ in 0..3 {
        assert!(matches!(register.order(5, "5 other"), Decision::Invalid(_)));
        assert!(matches!(register.order(5, "4 other"), Decision::Invalid(_)));
    }
    // Nothing of it is remembered.
    register.take(5, "6 b");
    assert!(matches!(register.order(6, "5 other"), Decision::Invalid(_)));
}

#[test]
fn a_withdrawn_change_may_come_back_under_a_new_number() {
    let mut register = Register::default();
    register.take(0, "5 routes a");
    register.take(5, "6 routes b");
    register.take(6, "7 routes a");
    register.take(7, "8 routes b");
    assert_eq!(
        [5, 6, 7, 8].map(|n| taken(register.order(
            n - 1,
            &format!("{n} routes {}", ["b", "a"][(n % 2) as usize])
        ))),
        [5, 6, 7, 8].map(Some)
    );
}

/// An attempt that was left undecided and lost its race is refused, also when it names a number
/// that was taken since.
#[test]
fn an_attempt_that_lost_its_race_is_refused() {
    let mut register = Register::default();
    register.take(0, "5 first");
    register.take(5, "6 winner");
    assert_eq!(
        register.order(5, "7 loser"),
        Decision::Conflict { current: 6 }
    );
    register.take(6, "7 winner");
    assert_eq!(
        register.order(5, "7 loser"),
        Decision::Conflict { current: 7 }
    );
}

/// The highest rate that is asked of the tier, for the whole time in which an order may be sent
/// again.
#[test]
fn orders_are_known_for_the_time_in_which_they_are_sent_again() {
    let mut register = Register {
        now_ms: 1_700_000_000_000,
        ..Default::default()
    };
    let retention_ms = retention_ms(&Bounds::default());
    assert!(retention_ms >= 4 * Bounds::default().ack);
    // Eight a second.
    let count = retention_ms / 125;
    register.take_all(1..=count, 125);
    for number in 1..=count {
        assert_eq!(
            taken(register.order(number - 1, &format!("{number} text"))),
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

/// However many follow, within whatever time: a taken order is acknowledged again or left open.
#[test]
fn a_taken_order_is_never_refused() {
    for every_ms in [0, 10, 1_000, 100_000] {
        let mut register = Register {
            now_ms: 1_700_000_000_000,
            ..Default::default()
        };
        register.take_all(1..=2_000, every_ms);
        let mut known = 0;
        for number in 1..=2_000 {
            match register.order(number - 1, &format!("{number} text")) {
                Decision::Accepted(t) if t.number == number => known += 1,
                Decision::DigestDropped => {}
                other => panic!("{number} every {every_ms} ms: {other:?}"),
            }
        }
        let orders = register.document().orders.len();
        println!(
            "every {every_ms} ms: {known} of 2000 known, {} bytes",
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
        // What could not have been taken is refused as ever.
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

/// A clock that is not set, far ahead or behind: ages never fall, and nothing within the floor is
/// lost.
#[test]
fn clocks_that_jump_cost_no_digest_within_the_floor() {
    let mut register = Register {
        now_ms: 1_700_000_000_000,
        ..Default::default()
    };
    register.take_all(1..=40, 100);
    register.now_ms = 0;
    register.take_all(41..=50, 0);
    register.now_ms = 1_800_000_000_000;
    register.take_all(51..=60, 100);
    register.now_ms = 1_700_000_010_000;
    register.take_all(61..=64, 100);
    let ages: Vec<u64> = register
        .document()
        .orders
        .iter()
        .map(|o| o.accepted_ms)
        .collect();
    assert!(ages.windows(2).all(|w| w[0] >= w[1]), "{ages:?}");
    assert!((1..=64).all(|n| taken(register.order(n - 1, &format!("{n} text"))) == Some(n)));
}

/// Documents written before digests had an age keep what they know.
#[test]
fn an_older_document_keeps_its_digests() {
    let digest = |text: &str| yewcross_common::hash::content_digest(text.as_bytes());
    let older = ConfigDoc {
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
        value: older.encode().unwrap(),
        now_ms: 0,
    };
    assert_eq!(taken(register.order(4, "5 a")), Some(5));
    assert!(matches!(register.order(7, "5 a"), Decision::Invalid(_)));
    register.take(7, "8 d");
    assert_eq!(
        [(4, "5 a"), (5, "6 b"), (6, "7 c")].map(|(b, t)| taken(register.order(b, t))),
        [5, 6, 7].map(Some)
    );
    // What came before the oldest is not recorded there: it was some version below it.
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

/// Guards against documents of the version before this one: they name no base, and it is known all
/// the same, as the number of the order before.
#[test]
fn a_document_without_bases_tells_them() {
    let value = br#"{"text":"9 c","put":"p","note":"","past":[],"number":9,"forgotten":0,"orders":[
"#;
    let line = |number: u64, text: &str| {
        let digest = yewcross_common::hash::content_digest(text.as_bytes());
        format!(r#"{{"number":{number},"digest":"{digest}","taken_ms":1700000000000}}"#)
    };
    let orders = [line(6, "6 b"), line(5, "5 first")].join(",\n");
    let mut register = Register {
        seq: 3,
        value: [value, orders.as_bytes(), b"\n]}"].concat(),
        now_ms: 1_700_000_001_000,
    };
    assert_eq!(
        [(0, "5 first"), (5, "6 b"), (6, "9 c")].map(|(b, t)| taken(register.order(b, t))),
        [5, 6, 9].map(Some)
    );
    for text in ["5 first", "6 b", "9 c"] {
        assert!(matches!(register.order(9, text), Decision::Invalid(_)));
        assert_eq!(register.order(3, text), Decision::Conflict { current: 9 });
    }
}

/// A value that is no document is not taken for an empty one.
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

/// An order travels as its text and a line; digests that both versions hold do not.
#[test]
fn only_what_changed_travels() {
    let mut register = Register {
        now_ms: 1_700_000_000_000,
        ..Default::default()
    };
    register.take_all(1..=300, 100);
    let before = register.value.clone();
    register.take_all(301..=301, 100);
    let delta = yewcross_common::documents::delta::encode(&before, &register.value);
    println!("{} of {} bytes", delta.len(), register.value.len());
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
