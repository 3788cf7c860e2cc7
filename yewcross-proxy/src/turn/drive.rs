//! The phases of a turn, and the retry of a failed attempt.

use super::attempt::{AttemptOutcome, attempt, cancel, server_job};
use super::begin::{BeginResult, begin, budget_limit, limited_budget};
use super::commit::{close, close_unknown, commit};
use super::events::{EventSender, Rejection, TurnEnd, send_end, send_rejection};
use super::request::tokens;
use super::selection::select_server;
use super::state::{BegunTurn, FinishedAttempt, ReceivedTurn, ValidTurn};
use crate::admission::Permit;
use crate::{Front, admission, kv, server_table};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{
    COMMIT_RESERVE, DEFAULT_RETRY_AFTER_S, MS, QUEUEING_SHARE_PERCENT,
};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{ListedServer, PeerRequest, PeerResponse};

/// Runs a turn through its phases and reports the progress as events.
pub(super) async fn drive(front: Arc<Front>, received: ReceivedTurn, events: EventSender) {
    front.counts.turns.fetch_add(1, SeqCst);
    // Released after the rejection is sent, unless the turn finishes or waits for its home server
    // before.
    let mut permit = None;
    if let Err(rejection) = serve(&front, received, &mut permit, &events).await {
        send_rejection(&events, rejection).await;
    }
}

async fn serve<'a>(
    front: &'a Arc<Front>,
    received: ReceivedTurn,
    permit: &mut Option<Permit<'a>>,
    events: &EventSender,
) -> Result<(), Rejection> {
    let turn = validate(front, received)?;
    *permit = Some(admit(front, &turn).await?);
    let mut turn = match begin(front, turn).await? {
        BeginResult::Begun(turn) => *turn,
        BeginResult::Replayed(outcome) => {
            let end = TurnEnd {
                outcome,
                chunks: 1,
                is_replayed: true,
            };
            send_end(events, end).await;
            return Ok(());
        }
    };
    kv::begin_turn(front, &turn.request.key, turn.epoch);
    let Some(finished) = run(front, &mut turn, permit, events).await? else {
        return Ok(());
    };
    *permit = None;
    commit(front, turn, finished, events).await
}

fn validate(front: &Front, received: ReceivedTurn) -> Result<ValidTurn, Rejection> {
    let body = received.body;
    if !front.watcher.may_serve() {
        return Err(Rejection::new(Code::NotServing, "", DEFAULT_RETRY_AFTER_S));
    }
    let configuration = front.documents.config.load();
    let Some(program) = configuration.1.families.get(&body.program) else {
        return Err(Rejection::new(Code::UnknownProgram, &body.program, 0));
    };
    let class = program.settings.clone();
    if body.budget != class.budget {
        return Err(Rejection::new(Code::WrongBudget, &body.budget, 0));
    }
    let horizon = body.horizon_ms.min(class.horizon_ms) * MS;
    let max_output = body.max_output.unwrap_or(class.max_output);
    Ok(ValidTurn {
        nonce: received.nonce,
        key: format!("session/{}/{}", body.program, body.session),
        deadline: received.received_at + horizon,
        queueing_deadline: received.received_at + horizon * QUEUEING_SHARE_PERCENT / 100,
        max_output_tokens: max_output.min(class.max_output),
        class,
        body,
    })
}

/// Waits until a server has a free slot.
async fn admit<'a>(front: &'a Front, turn: &ValidTurn) -> Result<Permit<'a>, Rejection> {
    let (capacity, urgent_share) = {
        let configuration = front.documents.config.load();
        let service = configuration.1.services.get(&turn.class.service);
        service.map_or((1, 0), |service| (service.line, service.urgent_share))
    };
    let request = admission::Request {
        service: &turn.class.service,
        class: turn.class.class,
        deadline: turn.deadline,
        queueing_deadline: turn.queueing_deadline,
        min_service_us: min_service_time(front, turn),
        capacity,
        urgent_share,
    };
    let slots = || server_table::slots(front, &turn.class.service);
    let admitted = front.admission.admit(&front.runtime, request, slots).await;
    admitted.map_err(|refused| Rejection::new(refused.code, "", refused.retry_after))
}

/// us. The shortest time in which any server can complete the turn, with its commit.
fn min_service_time(front: &Front, turn: &ValidTurn) -> u64 {
    // A session whose history is not cached may be new: then no server has its prompt in its cache.
    // Otherwise the prefix may be cached in full.
    let unread_tokens = if front
        .cached_histories
        .lock()
        .unwrap()
        .contains_key(&turn.key)
    {
        0
    } else {
        tokens(
            turn.body
                .messages
                .iter()
                .map(|message| message.text.len())
                .sum(),
        )
    };
    let needed = |server: &server_table::Server| {
        let decode = server.report.decode_us_per_token * turn.max_output_tokens;
        decode + server.report.prefill_us_per_1000 * unread_tokens / 1000
    };
    let servers = server_table::eligible_servers(front, &turn.class.service);
    servers.iter().map(needed).min().unwrap_or(0) + COMMIT_RESERVE
}

/// Attempts the turn at one server after another until one finishes it. None if the turn was closed
/// without an output, and the caller has been notified.
async fn run(
    front: &Arc<Front>,
    turn: &mut BegunTurn,
    permit: &mut Option<Permit<'_>>,
    events: &EventSender,
) -> Result<Option<FinishedAttempt>, Rejection> {
    let mut excluded: Vec<String> = vec![];
    loop {
        let selected = select_server(front, turn, &mut excluded, permit).await;
        let Some(selected) = selected else {
            if turn.is_outcome_unknown {
                close_unknown(front, turn, events).await;
                return Ok(None);
            }
            return Err(abort_unserved(front, turn));
        };
        let server = selected.pick.server.listed.clone();
        let claim = front.count_dispatch(&server.server);
        let outcome = attempt(front, turn, &server, selected.connection, events).await;
        drop(claim);
        match outcome {
            AttemptOutcome::Finished(finished) => {
                front.clear_failures(&server.server);
                return Ok(Some(*finished));
            }
            AttemptOutcome::Abandoned { used_tokens } => {
                close(front, turn, Code::Cancelled, used_tokens).await;
                return Ok(None);
            }
            AttemptOutcome::NotRun => excluded.push(server.server),
            AttemptOutcome::Unknown { has_output } => {
                front.record_failure(&server.server);
                turn.is_outcome_unknown = true;
                if has_output || !prepare_retry(front, turn, &server).await {
                    close_unknown(front, turn, events).await;
                    return Ok(None);
                }
                excluded.push(server.server);
            }
        }
    }
}

/// Aborts a turn that no server accepted and none has run.
fn abort_unserved(front: &Arc<Front>, turn: &BegunTurn) -> Rejection {
    let request = &turn.request;
    let budget = limited_budget(front, request);
    front.abort_turn(&request.key, &request.body.job, request.nonce, budget);
    let code = if server_table::eligible_servers(front, &request.class.service).is_empty() {
        Code::NoServer
    } else {
        Code::TooLate
    };
    Rejection::new(code, "", DEFAULT_RETRY_AFTER_S)
}

/// Whether the turn may be attempted again after an attempt of unknown outcome.
async fn prepare_retry(
    front: &Arc<Front>,
    turn: &mut BegunTurn,
    last_server: &ListedServer,
) -> bool {
    let is_in_time = front.runtime.now() + COMMIT_RESERVE < turn.request.deadline;
    turn.request.class.repeatable
        && is_in_time
        && reserve_another_attempt(front, turn, last_server).await
}

/// Cancels the last attempt and reserves tokens for the next one. The last attempt may still
/// generate all the tokens that it was allowed, so the next one needs a reservation of its own; it
/// is settled as spent in full.
async fn reserve_another_attempt(
    front: &Arc<Front>,
    turn: &mut BegunTurn,
    last_server: &ListedServer,
) -> bool {
    cancel_in_background(front, turn, last_server);
    turn.attempt_nonce = front.runtime.random();
    let request = &turn.request;
    let Some(limit) = budget_limit(front, request) else {
        return true;
    };
    let budget = request.class.budget.clone();
    let entry = format!(
        "{}|{}|{}",
        request.key, request.body.job, turn.attempt_nonce
    );
    let reserve = PeerRequest::ReserveBudget {
        budget: budget.clone(),
        entry: entry.clone(),
        amount: request.max_output_tokens,
        limit,
        key: request.key.clone(),
        request_id: request.body.job.clone(),
        nonce: turn.attempt_nonce,
        retain_ms: 0,
    };
    let budget_key = format!("budget/{budget}");
    let reserved = front.call_store(&budget_key, &reserve, &[], 1).await;
    if !matches!(reserved, Some((PeerResponse::Ok, _))) {
        return false;
    }
    let settle = PeerRequest::SettleBudget {
        budget,
        entry,
        used: None,
    };
    // If this fails, the store settles the reservation in full itself.
    let _ = front.call_store(&budget_key, &settle, &[], 1).await;
    true
}

fn cancel_in_background(front: &Arc<Front>, turn: &BegunTurn, server: &ListedServer) {
    let (node, server) = (front.clone(), server.clone());
    let service = turn.request.class.service.clone();
    let job = server_job(turn);
    front.runtime.spawn(async move {
        cancel(&node, &server, &service, &job).await;
    });
}
