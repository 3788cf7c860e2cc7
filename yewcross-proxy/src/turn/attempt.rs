//! One attempt of a turn at a server: sends the request, forwards the chunks of the output and
//! verifies the end.

use super::events::{Event, EventSender, TurnOutcome};
use super::request::tokens;
use super::state::{BegunTurn, FinishedAttempt};
use crate::back::{BackendConnection, ResponseLines, SendResult, Stamp, Verified, request_once};
use crate::{Front, kv, server_table};
use http_types::Response;
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::buffered_http::read_response_body;
use yewcross_common::constants::{MS, STREAM_IDLE_TIMEOUT, UPSTREAM_REPORT_TIMEOUT};
use yewcross_common::hash::digest;
use yewcross_common::protocol::ListedServer;

/// Bytes. Longest response of a server that rejects a turn.
const REJECTION_BYTES_MAX: usize = 64 << 10;

/// A line of the server's response with a part of the output.
#[derive(Deserialize)]
struct ChunkLine {
    #[serde(rename = "n")]
    index: u64,
    text: String,
}

/// The last line of the server's response.
#[derive(Deserialize)]
struct EndLine {
    end: bool,
    #[serde(rename = "pieces")]
    chunks: u64,
    digest: String,
    prompt: u64,
    reused: u64,
    output: u64,
    #[serde(default, rename = "placed")]
    placed_tokens: u64,
    stamp: Stamp,
}

/// A server's response to a cancellation.
#[derive(Deserialize)]
pub(super) struct Cancelled {
    /// Tokens that it generated.
    output: Option<u64>,
    stamp: Stamp,
}

/// The outcome of an attempt.
pub(super) enum AttemptOutcome {
    Finished(Box<FinishedAttempt>),
    /// The server reported that it did not run the turn, or nothing was sent.
    NotRun,
    /// The server may have run the turn; with `has_output`, the caller may have received some of
    /// it.
    Unknown {
        has_output: bool,
    },
    /// Cancelled because the caller has disconnected, after this many tokens.
    Abandoned {
        used_tokens: u64,
    },
}

/// The request id that the current attempt has at its server.
pub(super) fn server_job(turn: &BegunTurn) -> String {
    format!("{}#{:x}", turn.request.body.job, turn.attempt_nonce)
}

/// Sends the turn to a server and forwards the output as it arrives.
pub(super) async fn attempt(
    front: &Arc<Front>,
    turn: &BegunTurn,
    server: &ListedServer,
    connection: BackendConnection<Verified>,
    events: &EventSender,
) -> AttemptOutcome {
    let time_left = turn.request.deadline.saturating_sub(front.runtime.now());
    if !is_still_eligible(front, turn, server) {
        return AttemptOutcome::NotRun;
    }
    let job = server_job(turn);
    let request = server_request(turn, &job, time_left);
    let started = front.runtime.now();
    let sent = connection
        .send(
            &front.runtime,
            "/turn",
            request,
            time_left + STREAM_IDLE_TIMEOUT,
        )
        .await;
    let SendResult::Answered(mut response) = sent else {
        return AttemptOutcome::Unknown { has_output: false };
    };
    if !response.status().is_success() {
        return read_rejection(front, &connection, response, &job).await;
    }
    let mut output = OutputReader {
        front,
        turn,
        server,
        connection: &connection,
        job: &job,
        lines: ResponseLines::from_response(&mut response),
        text: String::new(),
        chunks: 0,
    };
    let end = match output.read_to_end(events).await {
        Ok(end) => end,
        Err(outcome) => return outcome,
    };
    let is_drained = output.lines.reached_end(&front.runtime).await;
    let (text, chunks) = (output.text, output.chunks);
    if is_drained {
        front.pool.put(&front.runtime, connection);
    }
    let elapsed = front.runtime.now() - started;
    let class = &turn.request.class;
    front.admission.record_service_time(&class.service, elapsed);
    let (ran_at, cache) = (&end.stamp.server, &turn.cache);
    kv::count_turn(front, class, cache, ran_at, end.prompt, end.reused);
    AttemptOutcome::Finished(Box::new(finished(turn, end, text, chunks)))
}

/// Whether the server is still eligible for the turn. Checked immediately before sending, as the
/// process may have been suspended since the server was selected.
fn is_still_eligible(front: &Front, turn: &BegunTurn, server: &ListedServer) -> bool {
    front.watcher.may_serve()
        && server_table::eligible_servers(front, &turn.request.class.service)
            .iter()
            .any(|candidate| candidate.listed == *server)
}

fn server_request(turn: &BegunTurn, job: &str, time_left: u64) -> Vec<u8> {
    let request = &turn.request;
    let mut prompt = turn.history.clone();
    prompt.extend(&turn.open_line);
    let body = json!({
        "job": job,
        "session": request.key,
        "program": request.body.program,
        "service": request.class.service,
        "prompt": String::from_utf8_lossy(&prompt),
        "max_output": request.max_output_tokens,
        "horizon_ms": time_left / MS,
    });
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Reads a response with a status other than 200: only a rejection with a valid stamp proves that
/// the turn did not run.
async fn read_rejection(
    front: &Front,
    connection: &BackendConnection<Verified>,
    mut response: Response,
    job: &str,
) -> AttemptOutcome {
    let bytes = front
        .runtime
        .timeout(
            UPSTREAM_REPORT_TIMEOUT,
            read_response_body(&mut response, REJECTION_BYTES_MAX),
        )
        .await
        .and_then(|bytes| bytes.ok())
        .unwrap_or_default();
    let answer: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let is_stamped = serde_json::from_value::<Stamp>(answer["stamp"].clone())
        .is_ok_and(|stamp| connection.matches_stamp(&stamp, job));
    if answer["refused"] == json!(true) && is_stamped {
        AttemptOutcome::NotRun
    } else {
        AttemptOutcome::Unknown { has_output: false }
    }
}

fn finished(turn: &BegunTurn, end: EndLine, text: String, chunks: u64) -> FinishedAttempt {
    let stamp = Stamp {
        job: turn.request.body.job.clone(),
        ..end.stamp
    };
    let outcome = TurnOutcome {
        digest: end.digest,
        prompt: end.prompt,
        reused: end.reused,
        output: end.output.min(turn.request.max_output_tokens),
        stamp,
        text,
    };
    FinishedAttempt {
        outcome,
        placed_tokens: end.placed_tokens,
        chunks,
    }
}

/// Reads a server's output line by line and forwards it.
struct OutputReader<'a> {
    front: &'a Arc<Front>,
    turn: &'a BegunTurn,
    server: &'a ListedServer,
    connection: &'a BackendConnection<Verified>,
    job: &'a str,
    lines: ResponseLines,
    text: String,
    chunks: u64,
}

impl OutputReader<'_> {
    /// The verified last line, or the outcome of an attempt that has none.
    async fn read_to_end(&mut self, events: &EventSender) -> Result<EndLine, AttemptOutcome> {
        loop {
            let Some(line) = self.next_line().await else {
                return Err(self.unknown());
            };
            match serde_json::from_slice::<ChunkLine>(&line) {
                Ok(chunk) => self.forward(chunk, events).await?,
                Err(_) => return self.verified_end(&line).ok_or_else(|| self.invalid()),
            }
        }
    }

    async fn next_line(&mut self) -> Option<Vec<u8>> {
        let runtime = &self.front.runtime;
        let latest = self.turn.request.deadline + STREAM_IDLE_TIMEOUT;
        let timeout = STREAM_IDLE_TIMEOUT.min(latest.saturating_sub(runtime.now()));
        self.lines.next(runtime, timeout).await
    }

    async fn forward(
        &mut self,
        chunk: ChunkLine,
        events: &EventSender,
    ) -> Result<(), AttemptOutcome> {
        let output_tokens = tokens(self.text.len() + chunk.text.len());
        if chunk.index != self.chunks || output_tokens > self.turn.request.max_output_tokens + 1 {
            return Err(self.invalid());
        }
        self.text += &chunk.text;
        self.chunks += 1;
        let event = Event::Chunk {
            index: chunk.index,
            text: chunk.text,
        };
        let is_caller_gone = events.send(event).await.is_err();
        // A repeatable turn is cancelled when its caller disconnects. One that is not repeatable
        // continues, and its outcome is stored.
        if is_caller_gone && self.turn.request.class.repeatable {
            return Err(self.cancel_abandoned().await);
        }
        Ok(())
    }

    async fn cancel_abandoned(&mut self) -> AttemptOutcome {
        self.front.counts.cancelled.fetch_add(1, SeqCst);
        let request = &self.turn.request;
        let cancelled = cancel(self.front, self.server, &request.class.service, self.job).await;
        // The server may have generated more than was forwarded: unless its stamped response gives
        // the number of tokens, the maximum is charged.
        let used_tokens = cancelled
            .filter(|answer| self.connection.matches_stamp(&answer.stamp, self.job))
            .and_then(|answer| answer.output)
            .unwrap_or(request.max_output_tokens)
            .min(request.max_output_tokens);
        AttemptOutcome::Abandoned { used_tokens }
    }

    fn verified_end(&self, line: &[u8]) -> Option<EndLine> {
        let end: EndLine = serde_json::from_slice(line).ok()?;
        let is_verified = end.end
            && end.chunks == self.chunks
            && end.digest == digest(self.text.as_bytes())
            && self.connection.matches_stamp(&end.stamp, self.job);
        is_verified.then_some(end)
    }

    fn invalid(&self) -> AttemptOutcome {
        self.front.counts.broken.fetch_add(1, SeqCst);
        self.unknown()
    }

    fn unknown(&self) -> AttemptOutcome {
        AttemptOutcome::Unknown {
            has_output: self.chunks > 0,
        }
    }
}

/// Cancels an attempt at its server; the server's response, if there is one.
pub(super) async fn cancel(
    front: &Arc<Front>,
    server: &ListedServer,
    service: &str,
    job: &str,
) -> Option<Cancelled> {
    let request = serde_json::to_vec(&json!({"job": job})).unwrap_or_default();
    let answer = request_once(
        &front.runtime,
        &front.pool,
        service,
        &server.server,
        server.addr,
        "/cancel",
        request,
        UPSTREAM_REPORT_TIMEOUT,
    )
    .await?;
    serde_json::from_slice(&answer).ok()
}
