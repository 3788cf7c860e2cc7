//! The response to a turn request: one JSON object, or a stream of JSON lines.

use super::drive::drive;
use super::events::{Event, Rejection, TurnEnd, TurnOutcome};
use super::request::{TurnBody, check};
use super::state::ReceivedTurn;
use crate::Front;
use http_types::Response;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::{
    BufferedRequest, error_response, json_response, ndjson_stream_response, with_send_deadline,
};
use yewcross_common::constants::{DEADLINE_GRACE, DEADLINE_MAX_MS, DEFAULT_RETRY_AFTER_S, MS};
use yewcross_common::error_code::Code;
use yewcross_common::runtime::Runtime;

/// count. Lines of a streamed response that are buffered for a caller that reads slowly.
const BUFFERED_LINES: usize = 64;

/// Answers a turn request; at its deadline, if the turn has not ended by then.
pub async fn answer(front: Arc<Front>, request: BufferedRequest, nonce: u64) -> Response {
    let received_at = front.runtime.now();
    let body: TurnBody = match serde_json::from_slice(&request.body) {
        Ok(body) => body,
        Err(error) => return error_response(Code::BadBody, &error.to_string(), 0),
    };
    if let Err(rejection) = check(&body) {
        return reject(&rejection);
    }
    let max_ms = max_horizon_ms(&front, &body.program);
    let deadline = received_at + body.horizon_ms.min(max_ms) * MS + DEADLINE_GRACE;
    // A response made at the last moment still has to be written.
    let write_deadline = deadline + DEADLINE_GRACE / 2;
    // Unbounded, as a turn's output is limited: a caller that reads slowly must not delay the
    // server.
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
        deadline,
    };
    if is_streamed {
        streamed_answer(&front.runtime, events, write_deadline).await
    } else {
        single_answer(events, write_deadline).await
    }
}

/// ms. The longest deadline that the program's configuration allows.
fn max_horizon_ms(front: &Front, program: &str) -> u64 {
    let configuration = front.documents.config.load();
    let program = configuration.1.families.get(program);
    program.map_or(DEADLINE_MAX_MS, |program| program.settings.horizon_ms)
}

/// The events of a turn, until its end or its deadline.
struct Events {
    runtime: Runtime,
    events: async_channel::Receiver<Event>,
    /// us of the node's clock. No event is waited for after this time.
    deadline: u64,
}

impl Events {
    async fn next(&self) -> Event {
        let time_left = self.deadline.saturating_sub(self.runtime.now());
        match self.runtime.timeout(time_left, self.events.recv()).await {
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
    error_response(rejection.code, &rejection.reason, rejection.retry_after)
}

/// One JSON object with the complete output.
async fn single_answer(events: Events, write_deadline: u64) -> Response {
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
                return with_send_deadline(json_response(200, &answer), write_deadline);
            }
        }
    }
}

/// One line for each event. A rejection before the first chunk is answered with its own status.
async fn streamed_answer(runtime: &Runtime, events: Events, write_deadline: u64) -> Response {
    let first = match events.next().await {
        Event::Rejected(rejection) => return reject(&rejection),
        event => event,
    };
    let (lines, body) = async_channel::bounded(BUFFERED_LINES);
    runtime.spawn(async move {
        let mut event = first;
        while write_event(event, &lines).await {
            event = events.next().await;
        }
    });
    with_send_deadline(ndjson_stream_response(body), write_deadline)
}

/// Writes an event's lines. Whether the stream continues.
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
