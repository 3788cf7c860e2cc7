//! The record of a session: history, marks of finished requests, kept outcomes, cache state.

use super::lines::{LINE_END, append_line};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use yewcross_common::constants::{
    REQUEST_IDS_PER_LINE, RETAINED_BARRED_ATTEMPTS, RETAINED_REQUEST_DIGESTS, RETAINED_REQUEST_IDS,
};
use yewcross_common::error_code::Code;
use yewcross_common::hash::rendezvous_weight;
use yewcross_common::protocol::SessionCacheState;

/// Bytes of a bare id: 16 hex digits.
const ID_HASH_BYTES: usize = 16;
/// Bytes of bare ids at which a session is full: each counts with the end of a line.
const MAX_ID_HASH_BYTES: usize = (ID_HASH_BYTES + 1) * RETAINED_REQUEST_IDS;

/// A turn in flight: begun, and neither committed nor aborted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunningTurn {
    /// The caller's id of the request.
    #[serde(rename = "job")]
    pub request_id: String,
    /// Digest of the request's body.
    pub digest: String,
    /// Identifies the attempt among those of the same request.
    pub nonce: u64,
    /// The proxy that began it.
    #[serde(rename = "front")]
    pub proxy: String,
    /// Clock after which it counts as lost, ms.
    #[serde(rename = "until")]
    pub deadline_ms: u64,
    /// Most tokens of output, reserved from the budget.
    #[serde(rename = "max_out")]
    pub max_output_tokens: u64,
    /// Name of the budget that pays for it.
    pub budget: Option<String>,
}

/// What is remembered of a finished request, so that it never runs again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinishedRequest {
    /// The caller's id of the request.
    #[serde(rename = "job")]
    pub request_id: String,
    /// Digest of the request's body.
    pub digest: String,
    /// Identifies the attempt that finished it.
    pub nonce: u64,
    /// Its outcome.
    pub code: Code,
    /// Tokens that it used.
    pub used: u64,
}

/// All of a session's record but the history and the bare ids.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SessionMetadata {
    /// Rises with every turn that begins, and when the session ends.
    pub epoch: u64,
    /// The turn in flight.
    pub running: Option<RunningTurn>,
    /// Finished requests, oldest first.
    #[serde(skip)]
    pub finished: VecDeque<FinishedRequest>,
    /// Request id and outcome of the requests finished last, oldest first.
    #[serde(skip)]
    pub retained_outcomes: VecDeque<(String, String)>,
    /// Where the session's prefix is cached.
    #[serde(rename = "kv")]
    pub cache: SessionCacheState,
    /// Clock of the last begin, ms.
    #[serde(rename = "touched")]
    pub retention_start_ms: u64,
    /// ms after `touched` until the record may be forgotten; 0: never.
    #[serde(default)]
    #[serde(rename = "keep")]
    pub retain_ms: u64,
    /// Nonces of attempts that may never begin any more.
    #[serde(default)]
    pub barred: VecDeque<u64>,
    /// Lines of bare ids in the stored form.
    #[serde(default, rename = "olds")]
    hash_lines: usize,
}

/// What a session's register holds.
///
/// Stored as one line for each thing that may change by itself, so that a change is a small delta
/// of the value: history, bare ids of requests whose marks are gone, kept outcomes, marks, the rest.
#[derive(Clone, Debug, Default)]
pub struct SessionRecord {
    /// The conversation so far.
    pub history: Vec<u8>,
    /// Bare ids of requests older than the marks, 16 hex digits each.
    pub request_id_hashes: Vec<u8>,
    /// The rest.
    pub metadata: SessionMetadata,
}

impl SessionRecord {
    /// Reads a stored record. No error is reported: a value whose last line cannot be read is taken
    /// for an empty record, and a mark or outcome that cannot be read is passed over.
    pub fn read(value: &[u8]) -> SessionRecord {
        let mut lines = value.split_inclusive(|byte| *byte == LINE_END).rev();
        let Some(last) = lines.next() else {
            return SessionRecord::default();
        };
        let Ok((mut head, marks, kept)) =
            serde_json::from_slice::<(SessionMetadata, usize, usize)>(last)
        else {
            return SessionRecord::default();
        };
        let mut end = value.len() - last.len();
        let mut bytes;
        (head.finished, bytes) = decode_lines_in_reverse(lines.by_ref().take(marks));
        end -= bytes;
        (head.retained_outcomes, bytes) = decode_lines_in_reverse(lines.by_ref().take(kept));
        end -= bytes;
        let bare_ids: usize = lines.take(head.hash_lines).map(|line| line.len()).sum();
        SessionRecord {
            history: value[..end - bare_ids].to_vec(),
            request_id_hashes: value[end - bare_ids..end].to_vec(),
            metadata: head,
        }
    }

    /// The stored form.
    pub fn write(&self) -> Vec<u8> {
        let mut value = self.history.clone();
        value.extend(&self.request_id_hashes);
        for outcome in &self.metadata.retained_outcomes {
            append_line(&mut value, outcome);
        }
        for mark in &self.metadata.finished {
            append_line(&mut value, mark);
        }
        let head = SessionMetadata {
            hash_lines: self
                .request_id_hashes
                .iter()
                .filter(|byte| **byte == LINE_END)
                .count(),
            ..self.metadata.clone()
        };
        let counts = (
            self.metadata.finished.len(),
            self.metadata.retained_outcomes.len(),
        );
        append_line(&mut value, &(&head, counts.0, counts.1));
        value
    }

    /// Ends the turn in flight with an outcome; gives it back, None if there was none.
    pub fn close(&mut self, code: Code, used: u64) -> Option<RunningTurn> {
        let run = self.metadata.running.take()?;
        self.metadata.finished.push_back(FinishedRequest {
            request_id: run.request_id.clone(),
            digest: run.digest.clone(),
            nonce: run.nonce,
            code,
            used,
        });
        while self.metadata.finished.len() > RETAINED_REQUEST_DIGESTS {
            if let Some(mark) = self.metadata.finished.pop_front() {
                append_id_hash(
                    &mut self.request_id_hashes,
                    &request_id_hash(&mark.request_id),
                );
            }
        }
        Some(run)
    }

    /// The mark of a finished request.
    pub(super) fn finished_request(&self, request_id: &str) -> Option<&FinishedRequest> {
        self.metadata
            .finished
            .iter()
            .find(|mark| mark.request_id == request_id)
    }

    /// Whether the request finished so long ago that only its bare id is left.
    pub fn ran_before(&self, request_id: &str) -> bool {
        let id = request_id_hash(request_id);
        self.request_id_hashes
            .split(|byte| *byte == LINE_END)
            .any(|line| line.chunks(ID_HASH_BYTES).any(|old| old == id.as_bytes()))
    }

    /// Whether the session has used all the ids that it can remember.
    pub fn is_full(&self) -> bool {
        self.request_id_hashes.len() >= MAX_ID_HASH_BYTES
    }

    /// The attempt may never begin any more.
    pub fn bar_attempt(&mut self, nonce: u64) {
        self.metadata.barred.push_back(nonce);
        while self.metadata.barred.len() > RETAINED_BARRED_ATTEMPTS {
            self.metadata.barred.pop_front();
        }
    }
}

/// Items of lines that come last line first, and the bytes of these lines.
fn decode_lines_in_reverse<'a, T: DeserializeOwned>(
    lines: impl Iterator<Item = &'a [u8]>,
) -> (VecDeque<T>, usize) {
    let mut items = VecDeque::new();
    let mut bytes = 0;
    for line in lines {
        bytes += line.len();
        if let Ok(item) = serde_json::from_slice(line) {
            items.push_front(item);
        }
    }
    (items, bytes)
}

fn request_id_hash(request_id: &str) -> String {
    format!("{:016x}", rendezvous_weight(request_id, ""))
}

/// Ids stand in lines of a fixed length, so that a change stays a small delta.
fn append_id_hash(old: &mut Vec<u8>, id: &str) {
    let last_line = old
        .split_inclusive(|byte| *byte == LINE_END)
        .next_back()
        .map_or(0, |line| line.len());
    if last_line > 0 && last_line <= ID_HASH_BYTES * REQUEST_IDS_PER_LINE {
        old.pop();
    }
    old.extend(id.as_bytes());
    old.push(LINE_END);
}
