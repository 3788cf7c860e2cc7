//! Decoding a budget's record from its stored lines.

use yewcross_state::records::BudgetRecord;

#[test]
fn an_undecodable_line_of_a_budget_is_skipped() {
    let stored = br#"{"Settled":"settled"}
not json
{"Open":["damaged",{"amount":"seven"}]}
{"Open":["reserved",{"amount":3,"key":"k","job":"j","nonce":1,"at":2}]}
{"Spent":9}
"#;
    let record = BudgetRecord::read(stored);
    assert_eq!(record.settled, ["settled"]);
    assert_eq!(record.open.keys().collect::<Vec<_>>(), ["reserved"]);
    assert_eq!(record.spent, 9);
}

#[test]
fn a_budget_without_a_decodable_sum_has_spent_nothing() {
    let record = BudgetRecord::read(b"{\"Settled\":\"settled\"}\n{\"Spent\":\"nine\"}\n");
    assert_eq!((record.settled.len(), record.spent), (1, 0));
}
