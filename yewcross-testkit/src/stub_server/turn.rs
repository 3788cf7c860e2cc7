//! Turns of a model server: prefill, a stream of pieces, and the end line.

use super::kv_cache::Prefix;
use super::{STALL_TIME, StubServer, text};
use async_channel::{Receiver, Sender};
use http_types::Response;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{self, ndjson_stream_response};
use yewcross_common::constants::{BYTES_PER_TOKEN, DEADLINE_MAX_MS, MS};
use yewcross_common::hash::digest;
use yewcross_proxy::turn::tokens;

/// Lines of history of which an answer gives the marks.
pub const DIGESTED_LINES: usize = 12;
/// Characters of a mark.
const MARK_LENGTH: usize = 6;
/// Words in a piece of a stream.
const PIECE_WORDS: usize = 4;
/// Bytes of a word, with its blank.
const WORD_BYTES: usize = 8;
/// Positions of the prompt's digest from which words are cut.
const WORD_POSITIONS: usize = 24;
/// The piece at which faults of the stream show.
const FAULTY_PIECE: usize = 1;
/// Output tokens of a turn that says no limit.
const DEFAULT_MAX_OUTPUT: u64 = 16;
/// Lines of a stream that wait for the reader.
const STREAM_BUFFER: usize = 16;

/// Marks of the newest lines of history in a prompt, so that a caller can see what was kept.
pub fn recent_line_digests(prompt: &str) -> String {
    let lines: Vec<&str> = prompt
        .split_inclusive('\n')
        .filter(|line| line.ends_with('\n'))
        .collect();
    let newest = &lines[lines.len().saturating_sub(DIGESTED_LINES)..];
    let marks: Vec<String> = newest.iter().map(|line| line_digest(line)).collect();
    marks.join(",")
}

/// A short digest of a line.
pub fn line_digest(line: &str) -> String {
    digest(line.as_bytes())[..MARK_LENGTH].to_string()
}

/// A turn as it was asked.
struct Turn {
    job: String,
    session: String,
    program: String,
    prompt: String,
    max_output: u64,
}

impl Turn {
    fn read(body: &Value) -> Turn {
        Turn {
            job: text(body, "job"),
            session: text(body, "session"),
            program: text(body, "program"),
            prompt: text(body, "prompt"),
            max_output: body["max_output"].as_u64().unwrap_or(DEFAULT_MAX_OUTPUT),
        }
    }

    /// The words that the turn puts out, which depend on the prompt alone.
    fn output(&self) -> Vec<String> {
        let max_output = self.max_output as usize;
        let seed = digest(self.prompt.as_bytes());
        let head = format!("[{}]", recent_line_digests(&self.prompt));
        let room = (max_output * BYTES_PER_TOKEN).saturating_sub(head.len());
        let count = (room / WORD_BYTES).min(max_output / 2);
        let words = (0..count).map(|i| {
            let start = i % WORD_POSITIONS;
            format!(" {}", &seed[start..start + WORD_BYTES - 1])
        });
        std::iter::once(head).chain(words).collect()
    }
}

/// Faults that one stream shows.
struct StreamFaults {
    is_lost: bool,
    is_truncated: bool,
    is_spliced: bool,
    has_repeated_piece: bool,
}

/// The caller is gone or the turn was cancelled: nothing more is sent.
struct Stopped;

fn line(value: &Value) -> Vec<u8> {
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line
}

impl StubServer {
    pub(super) async fn answer_turn(self: &Arc<Self>, body: &Value) -> Response {
        let turn = Turn::read(body);
        self.record_arrival(&turn.job);
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

    /// Runs the turn in a task of its own. The channel says whether it got a slot.
    fn spawn_turn(self: &Arc<Self>, turn: Turn, lines: Sender<Vec<u8>>) -> Receiver<bool> {
        let (accept, is_accepted) = async_channel::bounded::<bool>(1);
        let server = self.clone();
        self.runtime.spawn(async move {
            let slot = server.acquire_slot().await;
            // Fails only when the caller is gone; the turn runs all the same.
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
        let words = turn.output();
        let faults = self.take_stream_faults();
        let Ok(pieces) = self
            .stream_pieces(&words, &faults, &execution, &lines)
            .await
        else {
            return;
        };
        let text = words.concat();
        let placed = self.keep_turn(&turn, &text, reused);
        if faults.is_lost {
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
        // Fails only when the caller is gone.
        let _ = lines.send(line(&end)).await;
    }

    async fn prefill(&self, prompt_tokens: u64) {
        let duration = prompt_tokens * self.settings.prefill_us_per_1000 / 1000;
        self.runtime.sleep(duration * self.slowdown()).await;
    }

    fn take_stream_faults(&self) -> StreamFaults {
        StreamFaults {
            is_lost: self.take_fault(|faults| &mut faults.lost_answers),
            is_truncated: self.take_fault(|faults| &mut faults.truncated_streams),
            is_spliced: self.take_fault(|faults| &mut faults.spliced_streams),
            has_repeated_piece: self.take_fault(|faults| &mut faults.repeated_pieces),
        }
    }

    /// Puts out the words piece by piece; returns how many pieces.
    async fn stream_pieces(
        &self,
        words: &[String],
        faults: &StreamFaults,
        execution: &super::executions::LiveExecution<'_>,
        lines: &Sender<Vec<u8>>,
    ) -> Result<usize, Stopped> {
        let mut sent_words = 0;
        for (index, piece) in words.chunks(PIECE_WORDS).enumerate() {
            let text = piece.concat();
            let duration = tokens(text.len()) * self.settings.output_us * self.slowdown();
            self.runtime.sleep(duration).await;
            if execution.take_cancelled() {
                return Err(Stopped);
            }
            sent_words += piece.len();
            execution.set_output(tokens(words[..sent_words].concat().len()));
            let is_faulty = index == FAULTY_PIECE;
            let shown = if faults.is_spliced && is_faulty {
                " of another job".to_string()
            } else {
                text
            };
            let line = line(&json!({"n": index, "text": shown}));
            if !faults.is_lost {
                // A turn runs to its end though its caller be gone.
                if faults.has_repeated_piece && is_faulty {
                    let _ = lines.send(line.clone()).await;
                }
                let _ = lines.send(line).await;
            }
            if faults.is_truncated && is_faulty {
                return Err(Stopped);
            }
        }
        Ok(words.chunks(PIECE_WORDS).len())
    }

    /// Keeps the session with the turn's output in the cache; returns the tokens placed so far.
    fn keep_turn(&self, turn: &Turn, output: &str, reused: u64) -> u64 {
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
            .place(&turn.session, prefix, added, self.settings.cache_tokens)
    }
}
