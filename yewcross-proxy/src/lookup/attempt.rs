//! One attempt of a lookup at a server: sends the request and verifies the response.

use super::once::RegisteredLookup;
use super::selection::SelectedServer;
use crate::Front;
use crate::back::{BackendConnection, SendResult, Stamp, Verified};
use serde_json::{Value, json};
use yewcross_common::buffered_http::read_response_body;
use yewcross_common::constants::{MAX_BODY_BYTES, MS};

/// us. Shortest timeout of an attempt, if that much time is left; half of the time left may be
/// less.
const MIN_ATTEMPT_TIMEOUT: u64 = 100 * MS;

/// The outcome of an attempt.
pub(super) enum AttemptOutcome {
    /// The server's response, with a valid stamp for this lookup.
    Answered(Value),
    /// The server reported that it did not run the lookup.
    Rejected,
    /// The server may have run the lookup.
    Unknown,
}

/// A server's response, successful or not.
struct Reply {
    is_success: bool,
    value: Value,
}

/// Sends the lookup to the selected server.
pub(super) async fn attempt(
    front: &Front,
    lookup: &RegisteredLookup,
    selected: &SelectedServer,
    connection: BackendConnection<Verified>,
) -> AttemptOutcome {
    let server = &selected.server.server;
    let _claim = front.count_dispatch(server);
    let job = lookup.server_job();
    let started = front.runtime.now();
    let timeout = attempt_timeout(lookup, selected.time_left);
    let reply = exchange(front, lookup, selected, &connection, timeout).await;
    let is_stamped = |value: &Value| {
        serde_json::from_value::<Stamp>(value["stamp"].clone())
            .is_ok_and(|stamp| connection.matches_stamp(&stamp, &job))
    };
    match reply {
        Some(reply) if reply.is_success && is_stamped(&reply.value) => {
            let elapsed = front.runtime.now() - started;
            front
                .admission
                .record_service_time(&lookup.request.body.service, elapsed);
            front.clear_failures(server);
            front.pool.put(&front.runtime, connection);
            AttemptOutcome::Answered(reply.value)
        }
        Some(reply)
            if !reply.is_success
                && reply.value["refused"] == json!(true)
                && is_stamped(&reply.value) =>
        {
            AttemptOutcome::Rejected
        }
        _ => AttemptOutcome::Unknown,
    }
}

/// us. Half of the time left for a lookup that may run again, so that another attempt is possible.
fn attempt_timeout(lookup: &RegisteredLookup, time_left: u64) -> u64 {
    if lookup.is_once() {
        time_left
    } else {
        (time_left / 2).max(time_left.min(MIN_ATTEMPT_TIMEOUT))
    }
}

/// Sends the request and reads the response; None if no valid JSON was received in time.
async fn exchange(
    front: &Front,
    lookup: &RegisteredLookup,
    selected: &SelectedServer,
    connection: &BackendConnection<Verified>,
    timeout: u64,
) -> Option<Reply> {
    let request = json!({
        "job": lookup.server_job(),
        "method": lookup.request.body.method,
        "key": lookup.request.body.key,
        "horizon_ms": selected.time_left / MS,
    });
    let request = serde_json::to_vec(&request).unwrap_or_default();
    let sent = connection.send(&front.runtime, "/lookup", request, timeout);
    let SendResult::Answered(mut response) = sent.await else {
        return None;
    };
    let is_success = response.status().is_success();
    let bytes = front
        .runtime
        .timeout(timeout, read_response_body(&mut response, MAX_BODY_BYTES))
        .await?
        .ok()?;
    let value = serde_json::from_slice(&bytes).ok()?;
    Some(Reply { is_success, value })
}
