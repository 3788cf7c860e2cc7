//! Tests of the decision on puts, and of the groups of fronts that a rollout must reach.

use yewcross_common::constants::RETAINED_VERSIONS;
use yewcross_common::protocol::ConfigDoc;
use yewcross_common::register::ValueUpdate;
use yewcross_control::config::front_groups;
use yewcross_control::config::put::{PutAttempt, PutDecision, decide_put};

/// A register without concurrent changes. Fronts are up unless their name begins with `down`.
#[derive(Default)]
struct Register {
    version: u64,
    value: Vec<u8>,
    in_force_version: u64,
}

impl Register {
    /// Decides a put with this attempt identifier and applies the decision.
    fn put_as(&mut self, id: &str, base: u64, text: &str) -> PutDecision {
        let attempt = PutAttempt {
            base,
            id,
            text,
            note: "a note",
        };
        let is_up = |front: &str| !front.starts_with("down");
        match decide_put(
            self.version,
            &self.value,
            &attempt,
            self.in_force_version,
            is_up,
        ) {
            ValueUpdate::Keep(decision) => decision,
            ValueUpdate::Write(value, decision) => {
                self.version += 1;
                self.value = value;
                decision
            }
        }
    }

    fn document(&self) -> ConfigDoc {
        ConfigDoc::decode(&self.value).unwrap()
    }
}

fn configuration_with_fronts(fronts: &[&str]) -> String {
    serde_json::json!({ "fronts": fronts }).to_string()
}

#[test]
fn an_empty_value_is_the_document_before_the_first_put() {
    let mut register = Register::default();
    let text = configuration_with_fronts(&["f1"]);
    let decision = register.put_as("a", 0, &text);
    assert_eq!(decision, PutDecision::Stored { version: 1 });
    let expected = ConfigDoc {
        text,
        put_id: "a".into(),
        note: "a note".into(),
        ..Default::default()
    };
    assert_eq!(register.document(), expected);
}

#[test]
fn a_repeated_attempt_recognises_its_own_change() {
    let mut register = Register::default();
    register.put_as("a", 0, "{}");
    let repeated = register.put_as("a", 0, "{}");
    assert_eq!(repeated, PutDecision::Stored { version: 1 });
    register.put_as("b", 1, "{}");
    let repeated = register.put_as("a", 0, "{}");
    assert_eq!(repeated, PutDecision::Stored { version: 1 });
    assert_eq!(register.version, 2);
}

#[test]
fn a_base_other_than_the_newest_version_conflicts() {
    let mut register = Register::default();
    register.put_as("a", 0, "{}");
    for base in [0, 2] {
        let decision = register.put_as("b", base, "{}");
        assert_eq!(decision, PutDecision::Conflict { newest: 1 });
    }
}

#[test]
fn superseded_versions_are_retained_newest_first_up_to_the_limit() {
    let mut register = Register::default();
    let puts = RETAINED_VERSIONS as u64 + 5;
    for base in 0..puts {
        register.in_force_version = base;
        register.put_as(
            &format!("put {base}"),
            base,
            &format!("{{ }}{}", " ".repeat(base as usize)),
        );
    }
    assert_eq!(register.version, puts);
    let superseded = register.document().superseded;
    let versions: Vec<u64> = superseded.iter().map(|(version, _, _)| *version).collect();
    let expected: Vec<u64> = (puts - RETAINED_VERSIONS as u64..puts).rev().collect();
    assert_eq!(versions, expected);
    assert_eq!(superseded[0].1, format!("put {}", puts - 2));
}

#[test]
fn a_put_that_would_drop_the_version_in_force_is_rejected() {
    let mut register = Register::default();
    // Version 1 supersedes nothing, and the superseded versions of the versions 2 to
    // RETAINED_VERSIONS reach back to version 1.
    for base in 0..RETAINED_VERSIONS as u64 {
        let decision = register.put_as(&base.to_string(), base, "{}");
        assert_eq!(decision, PutDecision::Stored { version: base + 1 });
    }
    let base = RETAINED_VERSIONS as u64;
    let decision = register.put_as("too far", base, "{}");
    assert!(
        matches!(decision, PutDecision::FrontsUnavailable(_)),
        "{decision:?}"
    );
    register.in_force_version = 1;
    let decision = register.put_as("in force", base, "{}");
    assert_eq!(decision, PutDecision::Stored { version: base + 1 });
}

#[test]
fn a_configuration_whose_fronts_have_no_majority_up_is_not_stored() {
    let mut register = Register::default();
    let decision = register.put_as("a", 0, &configuration_with_fronts(&["f1", "down1"]));
    let PutDecision::FrontsUnavailable(fault) = decision else {
        panic!("{decision:?}")
    };
    assert_eq!(fault.path, "fronts");
    assert!(fault.reason.contains("f1, down1"), "{}", fault.reason);
    assert!(register.value.is_empty());
    let decision = register.put_as("a", 0, &configuration_with_fronts(&["f1", "f2", "down1"]));
    assert_eq!(decision, PutDecision::Stored { version: 1 });
}

/// The groups reach back to and include the last version in force.
#[test]
fn front_groups_reach_back_to_the_version_in_force() {
    let superseded =
        |version: u64, fronts: &[&str]| (version, String::new(), configuration_with_fronts(fronts));
    let document = ConfigDoc {
        text: configuration_with_fronts(&["f4"]),
        superseded: vec![
            superseded(3, &["f3"]),
            superseded(2, &["f2"]),
            superseded(1, &["f1"]),
        ],
        ..Default::default()
    };
    let joined_groups = |in_force: u64| -> Vec<String> {
        let groups = front_groups(&document, in_force);
        groups.iter().map(|group| group.join(" ")).collect()
    };
    assert_eq!(joined_groups(0), ["f1", "f2", "f3", "f4"]);
    assert_eq!(joined_groups(1), ["f1", "f2", "f3", "f4"]);
    assert_eq!(joined_groups(2), ["f2", "f3", "f4"]);
    assert_eq!(joined_groups(3), ["f3", "f4"]);
    assert_eq!(joined_groups(4), ["f3", "f4"]);
}

/// Guards against data loss: an unreadable value was once treated as empty and replaced.
#[test]
fn an_unreadable_document_is_not_replaced() {
    for value in [&b"{\"text\":"[..], b"{}", b"[]", b"null", b" "] {
        let mut register = Register {
            version: 3,
            value: value.to_vec(),
            in_force_version: 3,
        };
        for base in [0, 3] {
            let decision = register.put_as("a", base, "{}");
            let PutDecision::Unreadable(error) = decision else {
                panic!("{decision:?}")
            };
            assert_eq!(error.name, "config");
        }
        assert_eq!((register.version, &register.value[..]), (3, value));
    }
}
