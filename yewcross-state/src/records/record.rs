//! The record of a session: history, finished requests, retained outcomes, cache state.

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

/// Size of a request id's hash in bytes: 16 hex digits.
const ID_HASH_BYTES: usize = 16;
/// Size of the hashes, in bytes, at which a session is full. Each hash is counted with a line end.
const MAX_ID_HASH_BYTES: usize = (ID_HASH_BYTES + 1) * RETAINED_REQUEST_IDS;

/// A turn in flight: it has begun, and has been neither committed nor aborted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunningTurn {
    /// The caller's id of the request.
    #[serde(rename = "job")]
    pub request_id: String,
    /// Digest of the request's body.
    pub digest: String,
    /// Identifies the attempt among the attempts of the same request.
    pub nonce: u64,
    /// The proxy that began the turn.
    #[serde(rename = "front")]
    pub proxy: String,
    /// Time after which the turn is considered lost, in ms of the cluster's median clock.
    #[serde(rename = "until")]
    pub deadline_ms: u64,
    /// Maximum number of output tokens, reserved from the budget.
    #[serde(rename = "max_out")]
    pub max_output_tokens: u64,
    /// Name of the budget that the turn is charged to.
    pub budget: Option<String>,
}

/// A finished request, recorded so that it never runs again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinishedRequest {
    /// The caller's id of the request.
    #[serde(rename = "job")]
    pub request_id: String,
    /// Digest of the request's body.
    pub digest: String,
    /// Identifies the attempt that finished the request.
    pub nonce: u64,
    /// Outcome of the request.
    pub code: Code,
    /// Number of tokens used.
    pub used: u64,
}

/// All of a session's record except the history and the hashes of request ids.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SessionMetadata {
    /// Incremented with every turn that begins, and when the session ends.
    pub epoch: u64,
    /// The turn in flight, if any.
    pub running: Option<RunningTurn>,
    /// The most recently finished requests, oldest first.
    #[serde(skip)]
    pub finished: VecDeque<FinishedRequest>,
    /// Request id and outcome of the most recently committed requests, oldest first.
    #[serde(skip)]
    pub retained_outcomes: VecDeque<(String, String)>,
    /// Locations where the session's prefix is cached.
    #[serde(rename = "kv")]
    pub cache: SessionCacheState,
    /// Start of the retention period, in ms of the cluster's median clock: the time at which the last
    /// turn began, or at which an attempt was barred in a record without a retention period.
    #[serde(rename = "touched")]
    pub retention_start_ms: u64,
    /// Retention period, in ms, after which the record may be erased; 0: never.
    #[serde(default)]
    #[serde(rename = "keep")]
    pub retain_ms: u64,
    /// Nonces of attempts that must not begin.
    #[serde(default)]
    pub barred: VecDeque<u64>,
    /// Number of lines with hashes of request ids in the stored form.
    #[serde(default, rename = "olds")]
    hash_lines: usize,
}

/// Value of a session's register.
///
/// The stored form has a separate line for each part that may change independently, so that a change
/// produces a small delta of the value. The order of the lines is: history, hashes of older request
/// ids, retained outcomes, finished requests, metadata.
#[derive(Clone, Debug, Default)]
pub struct SessionRecord {
    /// History of the conversation.
    pub history: Vec<u8>,
    /// Hashes of the ids of requests that are no longer listed in the metadata, 16 hex digits each.
    pub request_id_hashes: Vec<u8>,
    /// All other parts of the record.
    pub metadata: SessionMetadata,
}

impl SessionRecord {
    /// Decodes a stored record, without reporting errors: a value whose last line cannot be decoded
    /// gives an empty record, and a finished request or outcome that cannot be decoded is skipped.
    pub fn read(value: &[u8]) -> SessionRecord {
        let mut lines = value.split_inclusive(|byte| *byte == LINE_END).rev();
        let Some(last) = lines.next() else {
            return SessionRecord::default();
        };
        let Ok((mut metadata, finished_count, outcome_count)) =
            serde_json::from_slice::<(SessionMetadata, usize, usize)>(last)
        else {
            return SessionRecord::default();
        };
        let mut end = value.len() - last.len();
        let mut bytes;
        (metadata.finished, bytes) = decode_lines_in_reverse(lines.by_ref().take(finished_count));
        end -= bytes;
        (metadata.retained_outcomes, bytes) =
            decode_lines_in_reverse(lines.by_ref().take(outcome_count));
        end -= bytes;
        let hashes_bytes: usize = lines.take(metadata.hash_lines).map(|line| line.len()).sum();
        SessionRecord {
            history: value[..end - hashes_bytes].to_vec(),
            request_id_hashes: value[end - hashes_bytes..end].to_vec(),
            metadata,
        }
    }

    /// Encodes the record in its stored form.
    pub fn write(&self) -> Vec<u8> {
        let mut value = self.history.clone();
        value.extend(&self.request_id_hashes);
        for outcome in &self.metadata.retained_outcomes {
            append_line(&mut value, outcome);
        }
        for finished in &self.metadata.finished {
            append_line(&mut value, finished);
        }
        let metadata = SessionMetadata {
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
        append_line(&mut value, &(&metadata, counts.0, counts.1));
        value
    }

    /// Ends the turn in flight with an outcome. Returns that turn, or `None` if no turn was in flight.
    /// The oldest finished requests above the limit are reduced to the hashes of their ids.
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
            if let Some(finished) = self.metadata.finished.pop_front() {
                append_id_hash(
                    &mut self.request_id_hashes,
                    &request_id_hash(&finished.request_id),
                );
            }
        }
        Some(run)
    }

    /// The finished request with this id, if it is still listed.
    pub(super) fn finished_request(&self, request_id: &str) -> Option<&FinishedRequest> {
        self.metadata
            .finished
            .iter()
            .find(|finished| finished.request_id == request_id)
    }

    /// Whether the request finished so long ago that only the hash of its id is retained.
    pub fn ran_before(&self, request_id: &str) -> bool {
        let hash = request_id_hash(request_id);
        self.request_id_hashes
            .split(|byte| *byte == LINE_END)
            .any(|line| {
                line.chunks(ID_HASH_BYTES)
                    .any(|stored| stored == hash.as_bytes())
            })
    }

    /// Whether the session cannot record any further request ids.
    pub fn is_full(&self) -> bool {
        self.request_id_hashes.len() >= MAX_ID_HASH_BYTES
    }

    /// Bars an attempt, so that it can never begin. Only the most recently barred attempts are
    /// retained.
    pub fn bar_attempt(&mut self, nonce: u64) {
        self.metadata.barred.push_back(nonce);
        while self.metadata.barred.len() > RETAINED_BARRED_ATTEMPTS {
            self.metadata.barred.pop_front();
        }
    }
}

/// Decodes the items of lines given in reverse order. Returns the items in stored order and the total
/// size of the lines in bytes.
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

/// Appends a hash to the last line, or to a new line if that is full. Lines hold at most
/// `REQUEST_IDS_PER_LINE` hashes, so that a change produces a small delta.
fn append_id_hash(hashes: &mut Vec<u8>, hash: &str) {
    let last_line_bytes = hashes
        .split_inclusive(|byte| *byte == LINE_END)
        .next_back()
        .map_or(0, |line| line.len());
    if last_line_bytes > 0 && last_line_bytes <= ID_HASH_BYTES * REQUEST_IDS_PER_LINE {
        hashes.pop();
    }
    hashes.extend(hash.as_bytes());
    hashes.push(LINE_END);
}
