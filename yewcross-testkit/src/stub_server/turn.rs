//! Turns of a model server: prefill, the stream of pieces, and the end line.

use super::kv_cache::Prefix;
use super::{STALL_TIME, StubServer, string_member};
use async_channel::{Receiver, Sender};
use http_types::Response;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{self, ndjson_stream_response};
use yewcross_common::constants::{BYTES_PER_TOKEN, DEADLINE_MAX_MS, MS};
use yewcross_common::hash::digest;
use yewcross_proxy::turn::tokens;

/// Number of history lines whose digests a response contains.
pub const DIGESTED_LINES: usize = 12;
/// Length of a line's digest, characters.
const LINE_DIGEST_LENGTH: usize = 6;
/// Words per piece of a stream.
const PIECE_WORDS: usize = 4;
/// Length of a word with its leading blank, bytes.
const WORD_BYTES: usize = 8;
/// Number of offsets in the prompt's digest at which words start.
const WORD_OFFSETS: usize = 24;
/// Index of the piece that stream faults affect.
const FAULTY_PIECE_INDEX: usize = 1;
/// Limit of output tokens for a turn that specifies none.
const DEFAULT_MAX_OUTPUT: u64 = 16;
/// Lines of a stream that are buffered for the reader.
const STREAM_BUFFER: usize = 16;

/// Digests of the most recent history lines in a prompt, by which a caller can check which history
/// was kept.
pub fn recent_line_digests(prompt: &str) -> String {
    let lines: Vec<&str> = prompt
        .split_inclusive('\n')
        .filter(|line| line.ends_with('\n'))
        .collect();
    let newest = &lines[lines.len().saturating_sub(DIGESTED_LINES)..];
    let digests: Vec<String> = newest.iter().map(|line| line_digest(line)).collect();
    digests.join(",")
}

/// A short digest of a line.
pub fn line_digest(line: &str) -> String {
    digest(line.as_bytes())[..LINE_DIGEST_LENGTH].to_string()
}

/// A requested turn.
struct Turn {
    job: String,
    session: String,
    program: String,
    prompt: String,
    max_output: u64,
}

impl Turn {
    fn from_body(body: &Value) -> Turn {
        Turn {
            job: string_member(body, "job"),
            session: string_member(body, "session"),
            program: string_member(body, "program"),
            prompt: string_member(body, "prompt"),
            max_output: body["max_output"].as_u64().unwrap_or(DEFAULT_MAX_OUTPUT),
        }
    }

    /// The words that the turn generates, which depend only on the prompt and the output limit.
    fn output_words(&self) -> Vec<String> {
        let max_output = self.max_output as usize;
        let seed = digest(self.prompt.as_bytes());
        let head = format!("[{}]", recent_line_digests(&self.prompt));
        let available_bytes = (max_output * BYTES_PER_TOKEN).saturating_sub(head.len());
        let count = (available_bytes / WORD_BYTES).min(max_output / 2);
        let words = (0..count).map(|index| {
            let start = index % WORD_OFFSETS;
            format!(" {}", &seed[start..start + WORD_BYTES - 1])
        });
        std::iter::once(head).chain(words).collect()
    }
}

/// The faults that affect one stream.
struct StreamFaults {
    is_answer_lost: bool,
    is_truncated: bool,
    is_spliced: bool,
    has_repeated_piece: bool,
}

/// The stream ended early, because the turn was cancelled or a fault truncates the stream.
struct StreamStopped;

fn ndjson_line(value: &Value) -> Vec<u8> {
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line
}

impl StubServer {
    pub(super) async fn handle_turn(self: &Arc<Self>, body: &Value) -> Response {
        let turn = Turn::from_body(body);
        self.record_late_arrival(&turn.job);
        if self.is_draining() {
            return self.reject(&turn.job);
        }
        let job = turn.job.clone();
        let (lines, stream_body) = async_channel::bounded::<Vec<u8>>(STREAM_BUFFER);
        let is_accepted = self.spawn_turn(turn, lines);
        match is_accepted.recv().await {
            Ok(true) => {
                let deadline = self.runtime.now() + DEADLINE_MAX_MS * MS;
                buffered_http::with_send_deadline(ndjson_stream_response(stream_body), deadline)
            }
            _ => self.reject(&job),
        }
    }

    /// Executes the turn in a separate task. The channel receives whether it got a slot.
    fn spawn_turn(self: &Arc<Self>, turn: Turn, lines: Sender<Vec<u8>>) -> Receiver<bool> {
        let (accept, is_accepted) = async_channel::bounded::<bool>(1);
        let server = self.clone();
        self.runtime.spawn(async move {
            let slot = server.acquire_slot().await;
            // Fails only if the caller has disconnected; the turn is executed nevertheless.
            let _ = accept.try_send(slot.is_some());
            if slot.is_some() {
                server.run_turn(turn, lines).await;
            }
        });
        is_accepted
    }

    async fn run_turn(&self, turn: Turn, lines: Sender<Vec<u8>>) {
        let execution = self.begin_execution(&turn.job, &turn.session, &turn.program);
        let reused = self.reuse_prefix(&turn.session, &turn.prompt);
        let prompt_tokens = tokens(turn.prompt.len());
        self.prefill(prompt_tokens.saturating_sub(reused)).await;
        if self.take_fault(|faults| &mut faults.stalls) {
            self.runtime.sleep(STALL_TIME).await;
            return;
        }
        let words = turn.output_words();
        let faults = self.take_stream_faults();
        let Ok(pieces) = self
            .stream_pieces(&words, &faults, &execution, &lines)
            .await
        else {
            return;
        };
        let text = words.concat();
        let placed = self.cache_session(&turn, &text, reused);
        if faults.is_answer_lost {
            return;
        }
        let stamped_job = self.stamped_job(turn.job);
        let end = json!({
            "end": true,
            "pieces": pieces,
            "digest": digest(text.as_bytes()),
            "prompt": prompt_tokens,
            "reused": reused,
            "output": tokens(text.len()),
            "placed": placed,
            "stamp": self.stamp(&stamped_job),
        });
        // Fails only if the caller has disconnected.
        let _ = lines.send(ndjson_line(&end)).await;
    }

    async fn prefill(&self, prompt_tokens: u64) {
        let duration = prompt_tokens * self.settings.prefill_us_per_1000 / 1000;
        self.runtime.sleep(duration * self.slowdown()).await;
    }

    fn take_stream_faults(&self) -> StreamFaults {
        StreamFaults {
            is_answer_lost: self.take_fault(|faults| &mut faults.lost_answers),
            is_truncated: self.take_fault(|faults| &mut faults.truncated_streams),
            is_spliced: self.take_fault(|faults| &mut faults.spliced_streams),
            has_repeated_piece: self.take_fault(|faults| &mut faults.repeated_pieces),
        }
    }

    /// Generates and sends the words piece by piece; returns the number of pieces.
    async fn stream_pieces(
        &self,
        words: &[String],
        faults: &StreamFaults,
        execution: &super::executions::RunningExecution<'_>,
        lines: &Sender<Vec<u8>>,
    ) -> Result<usize, StreamStopped> {
        let mut sent_words = 0;
        for (index, piece) in words.chunks(PIECE_WORDS).enumerate() {
            let text = piece.concat();
            let duration = tokens(text.len()) * self.settings.output_us * self.slowdown();
            self.runtime.sleep(duration).await;
            if execution.take_cancelled() {
                return Err(StreamStopped);
            }
            sent_words += piece.len();
            execution.set_output(tokens(words[..sent_words].concat().len()));
            let is_faulty = index == FAULTY_PIECE_INDEX;
            let sent_text = if faults.is_spliced && is_faulty {
                " of another job".to_string()
            } else {
                text
            };
            let line = ndjson_line(&json!({"n": index, "text": sent_text}));
            if !faults.is_answer_lost {
                // The errors are ignored: a turn is completed even if its caller has disconnected.
                if faults.has_repeated_piece && is_faulty {
                    let _ = lines.send(line.clone()).await;
                }
                let _ = lines.send(line).await;
            }
            if faults.is_truncated && is_faulty {
                return Err(StreamStopped);
            }
        }
        Ok(words.chunks(PIECE_WORDS).len())
    }

    /// Adds the session with the turn's output to the cache; returns the tokens added to the cache
    /// so far.
    fn cache_session(&self, turn: &Turn, output: &str, reused: u64) -> u64 {
        let mut history = turn.prompt.clone();
        history += &serde_json::to_string(output).unwrap_or_default();
        let prefix = Prefix {
            length: history.len(),
            digest: digest(history.as_bytes()),
            tokens: tokens(history.len()),
            used_at: self.runtime.now(),
        };
        let added = prefix.tokens.saturating_sub(reused);
        let mut state = self.state();
        state
            .kv
            .insert_prefix(&turn.session, prefix, added, self.settings.cache_tokens)
    }
}
