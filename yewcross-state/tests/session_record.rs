//! The record of a session survives being written and read, and forgets nothing that it must keep.

use yewcross_common::configuration::Rule;
use yewcross_common::constants::{RETAINED_REQUEST_DIGESTS, RETAINED_REQUEST_IDS};
use yewcross_common::error_code::Code;
use yewcross_state::records::{FinishedRequest, RunningTurn, SessionRecord};

#[test]
fn histories_are_trimmed_by_their_rule() {
    let h = b"aaaaaaa\nbbbbbbb\nccccccc\n".to_vec();
    let cut = |r: Rule| {
        let mut x = h.clone();
        r.trim(&mut x);
        x.len()
    };
    assert_eq!(
        [
            cut(Rule::All),
            cut(Rule::Turns(2)),
            cut(Rule::Turns(9)),
            cut(Rule::Tokens(4)),
            cut(Rule::Tokens(1))
        ],
        [24, 16, 24, 16, 8]
    );
    let m = |j: &str| FinishedRequest {
        request_id: j.into(),
        digest: "d".into(),
        nonce: 1,
        code: Code::Done,
        used: 3,
    };
    let mut r = SessionRecord {
        history: h.clone(),
        ..Default::default()
    };
    r.metadata.epoch = 7;
    r.metadata.finished.extend([m("a"), m("b")]);
    r.metadata
        .retained_outcomes
        .push_back(("b".into(), "x\ny".into()));
    let b = SessionRecord::read(&r.write());
    assert_eq!(
        (b.history, b.metadata.epoch, b.metadata.retained_outcomes),
        (h, 7, r.metadata.retained_outcomes)
    );
    assert_eq!(
        b.metadata
            .finished
            .iter()
            .map(|m| m.request_id.as_str())
            .collect::<Vec<_>>(),
        ["a", "b"]
    );
    assert_eq!(SessionRecord::read(&[]).metadata.epoch, 0);
}

#[test]
fn every_id_of_a_session_is_remembered_and_costs_a_small_delta() {
    let mut r = SessionRecord {
        history: b"one\ntwo\n".to_vec(),
        ..Default::default()
    };
    let run = |i: usize| RunningTurn {
        request_id: format!("j{i}"),
        digest: "d".into(),
        nonce: 1,
        proxy: "f".into(),
        deadline_ms: 0,
        max_output_tokens: 0,
        budget: None,
    };
    (0..RETAINED_REQUEST_DIGESTS + 200).for_each(|i| {
        r.metadata.running = Some(run(i));
        r.close(Code::Done, 1);
    });
    let was = r.write();
    let mut b = SessionRecord::read(&was);
    assert_eq!(
        (
            b.history.as_slice(),
            b.metadata.finished.len(),
            b.request_id_hashes.len()
        ),
        (&b"one\ntwo\n"[..], RETAINED_REQUEST_DIGESTS, 200 * 16 + 4)
    );
    assert!(
        (0..200).all(|i| b.ran_before(&format!("j{i}")))
            && !b.ran_before("j200")
            && !b.ran_before("never")
    );
    b.metadata.running = Some(run(5000));
    b.close(Code::Done, 1);
    let d = yewcross_common::documents::delta::encode(&was, &b.write()).len();
    assert!(d < 2000, "{d}");
    b.request_id_hashes = vec![b'0'; 17 * RETAINED_REQUEST_IDS];
    assert!(b.is_full());
}

fn record_with_marks() -> SessionRecord {
    let mark = |request_id: &str| FinishedRequest {
        request_id: request_id.into(),
        digest: "d".into(),
        nonce: 1,
        code: Code::Done,
        used: 3,
    };
    let mut record = SessionRecord::default();
    record.metadata.epoch = 7;
    record.metadata.finished.extend([mark("a"), mark("b")]);
    record
}

#[test]
fn a_record_whose_last_line_cannot_be_read_is_taken_for_an_empty_one() {
    let mut stored = record_with_marks().write();
    let last_bracket = stored.len() - 2;
    stored[last_bracket] = b'x';
    let read = SessionRecord::read(&stored);
    assert_eq!((read.metadata.epoch, read.metadata.finished.len()), (0, 0));
    assert!(read.history.is_empty() && read.request_id_hashes.is_empty());
}

#[test]
fn a_mark_that_cannot_be_read_is_passed_over() {
    let mut stored = record_with_marks().write();
    stored[0] = b'x';
    let read = SessionRecord::read(&stored);
    let marks: Vec<&str> = read
        .metadata
        .finished
        .iter()
        .map(|m| m.request_id.as_str())
        .collect();
    assert_eq!((read.metadata.epoch, marks), (7, vec!["b"]));
    assert!(read.history.is_empty() && read.request_id_hashes.is_empty());
}
