//! Encoding and decoding of a session's record, and retention of the ids of finished requests.

use yewcross_common::configuration::Rule;
use yewcross_common::constants::{RETAINED_REQUEST_DIGESTS, RETAINED_REQUEST_IDS};
use yewcross_common::error_code::Code;
use yewcross_state::records::{FinishedRequest, RunningTurn, SessionRecord};

#[test]
fn histories_are_trimmed_by_rule_and_records_survive_encoding() {
    let history = b"aaaaaaa\nbbbbbbb\nccccccc\n".to_vec();
    let trimmed_bytes = |rule: Rule| {
        let mut trimmed = history.clone();
        rule.trim(&mut trimmed);
        trimmed.len()
    };
    assert_eq!(
        [
            trimmed_bytes(Rule::All),
            trimmed_bytes(Rule::Turns(2)),
            trimmed_bytes(Rule::Turns(9)),
            trimmed_bytes(Rule::Tokens(4)),
            trimmed_bytes(Rule::Tokens(1))
        ],
        [24, 16, 24, 16, 8]
    );
    let finished_request = |request_id: &str| FinishedRequest {
        request_id: request_id.into(),
        digest: "d".into(),
        nonce: 1,
        code: Code::Done,
        used: 3,
    };
    let mut record = SessionRecord {
        history: history.clone(),
        ..Default::default()
    };
    record.metadata.epoch = 7;
    record
        .metadata
        .finished
        .extend([finished_request("a"), finished_request("b")]);
    record
        .metadata
        .retained_outcomes
        .push_back(("b".into(), "x\ny".into()));
    let decoded = SessionRecord::read(&record.write());
    assert_eq!(
        (
            decoded.history,
            decoded.metadata.epoch,
            decoded.metadata.retained_outcomes
        ),
        (history, 7, record.metadata.retained_outcomes)
    );
    assert_eq!(
        decoded
            .metadata
            .finished
            .iter()
            .map(|finished| finished.request_id.as_str())
            .collect::<Vec<_>>(),
        ["a", "b"]
    );
    assert_eq!(SessionRecord::read(&[]).metadata.epoch, 0);
}

#[test]
fn every_request_id_is_recorded_and_adds_only_a_small_delta() {
    let mut record = SessionRecord {
        history: b"one\ntwo\n".to_vec(),
        ..Default::default()
    };
    let running_turn = |number: usize| RunningTurn {
        request_id: format!("j{number}"),
        digest: "d".into(),
        nonce: 1,
        proxy: "f".into(),
        deadline_ms: 0,
        max_output_tokens: 0,
        budget: None,
    };
    (0..RETAINED_REQUEST_DIGESTS + 200).for_each(|number| {
        record.metadata.running = Some(running_turn(number));
        record.close(Code::Done, 1);
    });
    let encoded_before = record.write();
    let mut decoded = SessionRecord::read(&encoded_before);
    assert_eq!(
        (
            decoded.history.as_slice(),
            decoded.metadata.finished.len(),
            decoded.request_id_hashes.len()
        ),
        (&b"one\ntwo\n"[..], RETAINED_REQUEST_DIGESTS, 200 * 16 + 4)
    );
    assert!(
        (0..200).all(|number| decoded.ran_before(&format!("j{number}")))
            && !decoded.ran_before("j200")
            && !decoded.ran_before("never")
    );
    decoded.metadata.running = Some(running_turn(5000));
    decoded.close(Code::Done, 1);
    let delta_bytes =
        yewcross_common::documents::delta::encode(&encoded_before, &decoded.write()).len();
    assert!(
        delta_bytes < 2000,
        "one more request id added a delta of {delta_bytes} bytes; expected less than 2000"
    );
    decoded.request_id_hashes = vec![b'0'; 17 * RETAINED_REQUEST_IDS];
    assert!(decoded.is_full());
}

fn record_with_finished_requests() -> SessionRecord {
    let finished_request = |request_id: &str| FinishedRequest {
        request_id: request_id.into(),
        digest: "d".into(),
        nonce: 1,
        code: Code::Done,
        used: 3,
    };
    let mut record = SessionRecord::default();
    record.metadata.epoch = 7;
    record
        .metadata
        .finished
        .extend([finished_request("a"), finished_request("b")]);
    record
}

#[test]
fn a_record_with_an_undecodable_last_line_is_read_as_empty() {
    let mut stored = record_with_finished_requests().write();
    let last_bracket = stored.len() - 2;
    stored[last_bracket] = b'x';
    let read = SessionRecord::read(&stored);
    assert_eq!((read.metadata.epoch, read.metadata.finished.len()), (0, 0));
    assert!(read.history.is_empty() && read.request_id_hashes.is_empty());
}

#[test]
fn an_undecodable_finished_request_is_skipped() {
    let mut stored = record_with_finished_requests().write();
    stored[0] = b'x';
    let read = SessionRecord::read(&stored);
    let finished_ids: Vec<&str> = read
        .metadata
        .finished
        .iter()
        .map(|finished| finished.request_id.as_str())
        .collect();
    assert_eq!((read.metadata.epoch, finished_ids), (7, vec!["b"]));
    assert!(read.history.is_empty() && read.request_id_hashes.is_empty());
}
