//! The answer to a caller: one JSON object, or a stream of lines.

use super::drive::drive;
use super::events::{Event, Rejection, TurnEnd, TurnOutcome};
use super::request::{TurnBody, check};
use super::state::ReceivedTurn;
use crate::Front;
use http_types::Response;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, refuse, reply, stream, until};
use yewcross_common::constants::{DEADLINE_GRACE, DEADLINE_MAX_MS, DEFAULT_RETRY_AFTER_S, MS};
use yewcross_common::error_code::Code;
use yewcross_common::runtime::Runtime;

/// count. Lines of a streamed answer that wait for a caller that reads slowly.
const STREAM_LINES: usize = 64;

/// Answers a turn, at its deadline at the latest.
pub async fn answer(front: Arc<Front>, request: BufferedRequest, nonce: u64) -> Response {
    let received_at = front.runtime.now();
    let body: TurnBody = match serde_json::from_slice(&request.body) {
        Ok(body) => body,
        Err(error) => return refuse(Code::BadBody, &error.to_string(), 0),
    };
    if let Err(rejection) = check(&body) {
        return reject(&rejection);
    }
    let most_ms = most_horizon_ms(&front, &body.program);
    let end = received_at + body.horizon_ms.min(most_ms) * MS + DEADLINE_GRACE;
    // What is said at the last moment still has to be sent.
    let cut = end + DEADLINE_GRACE / 2;
    // As long as a turn's output may be: a caller that reads slowly holds no server up.
    let (sender, events) = async_channel::unbounded();
    let is_streamed = body.stream;
    let received = ReceivedTurn {
        body,
        received_at,
        nonce,
    };
    front.runtime.spawn(drive(front.clone(), received, sender));
    let events = Events {
        runtime: front.runtime.clone(),
        events,
        end,
    };
    if is_streamed {
        streamed_answer(&front.runtime, events, cut).await
    } else {
        single_answer(events, cut).await
    }
}

/// ms. The longest deadline that the program allows.
fn most_horizon_ms(front: &Front, program: &str) -> u64 {
    let configuration = front.documents.config.load();
    let program = configuration.1.families.get(program);
    program.map_or(DEADLINE_MAX_MS, |program| program.settings.horizon_ms)
}

/// The events of a turn, until its end.
struct Events {
    runtime: Runtime,
    events: async_channel::Receiver<Event>,
    /// us of the node's clock.
    end: u64,
}

impl Events {
    async fn next(&self) -> Event {
        let left = self.end.saturating_sub(self.runtime.now());
        match self.runtime.timeout(left, self.events.recv()).await {
            Some(Ok(event)) => event,
            Some(Err(_)) => Event::Rejected(Rejection::new(Code::MayHaveRun, "", 0)),
            None => {
                let reason = "its horizon has passed";
                Event::Rejected(Rejection::new(
                    Code::StillRunning,
                    reason,
                    DEFAULT_RETRY_AFTER_S,
                ))
            }
        }
    }
}

fn reject(rejection: &Rejection) -> Response {
    refuse(rejection.code, &rejection.reason, rejection.retry_after)
}

/// One JSON object with the whole output.
async fn single_answer(events: Events, cut: u64) -> Response {
    let mut text = String::new();
    loop {
        match events.next().await {
            Event::Rejected(rejection) => return reject(&rejection),
            Event::Chunk { text: chunk, .. } => text += &chunk,
            Event::End(end) => {
                let outcome = &end.outcome;
                if end.is_replayed {
                    text = outcome.text.clone();
                }
                let mut answer = end_line(outcome, 1, end.is_replayed);
                answer["text"] = json!(text);
                return until(reply(200, &answer), cut);
            }
        }
    }
}

/// A line for each event; a rejection before the first chunk is a plain answer.
async fn streamed_answer(runtime: &Runtime, events: Events, cut: u64) -> Response {
    let first = match events.next().await {
        Event::Rejected(rejection) => return reject(&rejection),
        event => event,
    };
    let (lines, body) = async_channel::bounded(STREAM_LINES);
    runtime.spawn(async move {
        let mut event = first;
        while write_event(event, &lines).await {
            event = events.next().await;
        }
    });
    until(stream(body), cut)
}

/// Whether the stream goes on.
async fn write_event(event: Event, lines: &async_channel::Sender<Vec<u8>>) -> bool {
    let is_last = !matches!(event, Event::Chunk { .. });
    for line in stream_lines(event) {
        let mut line = serde_json::to_vec(&line).unwrap_or_default();
        line.push(b'\n');
        if lines.send(line).await.is_err() {
            return false;
        }
    }
    !is_last
}

fn stream_lines(event: Event) -> Vec<Value> {
    match event {
        Event::Chunk { index, text } => vec![json!({"n": index, "text": text})],
        Event::Rejected(rejection) => vec![broken_line(&rejection)],
        Event::End(end) => {
            let TurnEnd {
                outcome,
                chunks,
                is_replayed,
            } = *end;
            let last = end_line(&outcome, chunks, is_replayed);
            if is_replayed {
                vec![json!({"n": 0, "text": outcome.text}), last]
            } else {
                vec![last]
            }
        }
    }
}

fn broken_line(rejection: &Rejection) -> Value {
    let ran: &str = rejection.code.execution().into();
    json!({
        "broken": true,
        "code": rejection.code.number(),
        "ran": ran,
        "why": rejection.reason,
        "retry_after": rejection.retry_after,
    })
}

fn end_line(outcome: &TurnOutcome, chunks: u64, is_replayed: bool) -> Value {
    json!({
        "end": true,
        "code": Code::Done.number(),
        "pieces": chunks,
        "digest": outcome.digest,
        "replayed": is_replayed,
        "usage": {
            "prompt": outcome.prompt,
            "reused": outcome.reused,
            "output": outcome.output,
        },
        "stamp": outcome.stamp,
    })
}
