//! The steps of a turn, and what follows when one fails.

use crate::turn::answer::{Event, Kept, Out, no};
use crate::turn::attempt::{Shot, cancel, shot, shot_id};
use crate::turn::commit::{close, keep, lost};
use crate::turn::place::place;
use crate::turn::request::{TurnBody, tokens};
use crate::turn::state::{Begun, Read};
use crate::{Front, admission, kv, server_table};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::ResolvedProgramClass;
use yewcross_common::constants::{BACK_SOON, HORIZON_SPARE, MS, PATIENCE};
use yewcross_common::error_code::Code;
use yewcross_common::hash::content_digest;
use yewcross_common::protocol::{ListedServer, PeerRequest, PeerResponse};

pub(super) async fn drive(front: Arc<Front>, b: TurnBody, t0: u64, nonce: u64, out: Out) {
    front.counts.turns.fetch_add(1, SeqCst);
    if !front.watcher.may_serve() {
        return no(&out, Code::NotServing, "", BACK_SOON).await;
    }
    let conf = front.documents.config.load_full();
    let Some(ResolvedProgramClass { eff: fam, .. }) = conf.1.families.get(&b.program).cloned()
    else {
        return no(&out, Code::UnknownProgram, &b.program, 0).await;
    };
    if b.budget != fam.budget {
        return no(&out, Code::WrongBudget, &b.budget, 0).await;
    }
    let horizon = t0 + b.horizon_ms.min(fam.horizon_ms) * MS;
    let key = format!("session/{}/{}", b.program, b.session);
    let max_out = b.max_output.unwrap_or(fam.max_output).min(fam.max_output);
    let (capacity, urgent_share) = conf
        .1
        .services
        .get(&fam.service)
        .map(|s| (s.line, s.urgent_share))
        .unwrap_or((1, 0));
    // A session not on hand may be new: then all of its prompt must be read.
    let fresh = if front.hand.lock().unwrap().contains_key(&key) {
        0
    } else {
        tokens(b.messages.iter().map(|m| m.text.len()).sum())
    };
    let least = |s: &server_table::Server| {
        s.report.decode_us_per_token * max_out + s.report.prefill_us_per_1000 * fresh / 1000
    };
    let needs = server_table::fit(&front, &fam.service)
        .iter()
        .map(least)
        .min()
        .unwrap_or(0)
        + HORIZON_SPARE;
    let patience = t0 + (horizon - t0) * PATIENCE / 100;
    let request = admission::Request {
        service: &fam.service,
        class: fam.class,
        deadline: horizon,
        patience,
        needs,
        capacity,
        urgent_share,
    };
    let mut pass = match front
        .admission
        .admit(&front.runtime, request, || {
            server_table::slots(&front, &fam.service)
        })
        .await
    {
        Ok(permit) => Some(permit),
        Err(refused) => return no(&out, refused.code, "", refused.retry_after).await,
    };
    let r = Read {
        b,
        fam,
        key,
        horizon,
        patience,
        max_out,
    };
    let mut g = match begin(&front, r, nonce, &out).await {
        Some(g) => g,
        None => return,
    };
    kv::begins(&front, &g.r.key, g.epoch);
    let mut not: Vec<String> = vec![];
    let ran = loop {
        let Some((p, b)) = place(&front, &mut g, &mut not, &mut pass).await else {
            if g.lost {
                return lost(&front, g, &out).await;
            }
            front.abort(&g.r.key, &g.r.b.job, g.nonce, purse(&front, &g.r));
            let c = if server_table::fit(&front, &g.r.fam.service).is_empty() {
                Code::NoServer
            } else {
                Code::TooLate
            };
            return no(&out, c, "", BACK_SOON).await;
        };
        let claim = front.claim(&p.server.at.server);
        let s = shot(&front, g, &p, b, &out).await;
        drop(claim);
        match s {
            Shot::Ran(r) => {
                front.calm(&p.server.at.server);
                break *r;
            }
            Shot::Left(back, used) => {
                close(&front, *back, Code::Cancelled, used).await;
                return;
            }
            Shot::NotRun(back) => {
                not.push(p.server.at.server.clone());
                g = *back;
            }
            Shot::Lost(mut back, sent_any) => {
                front.slowed(&p.server.at.server);
                back.lost = true;
                let again = back.r.fam.repeatable
                    && !sent_any
                    && front.runtime.now() + HORIZON_SPARE < back.r.horizon;
                if !again || !another(&front, &mut back, &p.server.at).await {
                    lost(&front, *back, &out).await;
                    return;
                }
                not.push(p.server.at.server.clone());
                g = *back;
            }
        }
    };
    drop(pass);
    keep(front, ran, &out).await;
}

/// The budget that a turn spends from, if the configuration limits it.
pub(super) fn purse(front: &Front, r: &Read) -> Option<String> {
    front
        .documents
        .config
        .load()
        .1
        .budgets
        .contains_key(&r.fam.budget)
        .then(|| r.fam.budget.clone())
}

/// The lost shot may yet put out all it was allowed: the next one needs a reservation of its own,
/// which stays spent.
async fn another(front: &Arc<Front>, g: &mut Begun, was: &ListedServer) -> bool {
    let (me, at, svc, job) = (
        front.clone(),
        was.clone(),
        g.r.fam.service.clone(),
        shot_id(g),
    );
    front.runtime.spawn(async move {
        cancel(&me, &at, &svc, &job).await;
    });
    g.shot = front.runtime.random();
    let limit = front
        .documents
        .config
        .load()
        .1
        .budgets
        .get(&g.r.fam.budget)
        .map(|b| b.tokens);
    let Some(limit) = limit else { return true };
    let (budget, entry) = (
        g.r.fam.budget.clone(),
        format!("{}|{}|{}", g.r.key, g.r.b.job, g.shot),
    );
    let (key, job, nonce) = (g.r.key.clone(), g.r.b.job.clone(), g.shot);
    let a = PeerRequest::ReserveBudget {
        budget: budget.clone(),
        entry: entry.clone(),
        amount: g.r.max_out,
        limit,
        key,
        request_id: job,
        nonce,
        retain_ms: 0,
    };
    let at = format!("budget/{budget}");
    if !matches!(
        front.store(&at, &a, &[], 1).await,
        Some((PeerResponse::Ok, _))
    ) {
        return false;
    }
    front
        .store(
            &at,
            &PeerRequest::SettleBudget {
                budget,
                entry,
                used: None,
            },
            &[],
            1,
        )
        .await;
    true
}

/// One round trip: the record is ours under a new epoch, the budget holds our reservation.
async fn begin(front: &Arc<Front>, r: Read, nonce: u64, out: &Out) -> Option<Begun> {
    let ask = {
        let mut v = serde_json::to_vec(&r.b.messages).unwrap_or_default();
        v.push(b'\t');
        v
    };
    let limit = front
        .documents
        .config
        .load()
        .1
        .budgets
        .get(&r.fam.budget)
        .map(|b| b.tokens);
    let hand = front.hand.lock().unwrap().get(&r.key).cloned();
    let body = serde_json::to_vec(&(&r.b.program, &r.b.session, &r.b.messages, r.b.max_output))
        .unwrap_or_default();
    let a = PeerRequest::BeginTurn(yewcross_common::protocol::BeginTurn {
        key: r.key.clone(),
        request_id: r.b.job.clone(),
        digest: content_digest(&body),
        nonce,
        front: front.settings.name.clone(),
        remaining_ms: (r.horizon.saturating_sub(front.runtime.now())) / MS,
        budget: limit.map(|l| (r.fam.budget.clone(), l)),
        max_output_tokens: r.max_out,
        retain_ms: r.fam.keep_ms,
        known_history: hand.as_ref().map(|h| (h.len() as u64, content_digest(h))),
    });
    match front.store_until(&r.key, &a, &[], 3, r.patience).await {
        Some((PeerResponse::TurnBegun(g), blob)) => {
            let hist = if g.history_complete {
                blob
            } else {
                hand.unwrap_or_default()
            };
            let all = tokens(hist.len() + ask.len());
            if all > r.fam.max_prompt {
                front.abort(&r.key, &r.b.job, nonce, purse(front, &r));
                no(
                    out,
                    Code::TooLarge,
                    "the prompt with its history passes max_prompt",
                    0,
                )
                .await;
                return None;
            }
            Some(Begun {
                nonce,
                shot: nonce,
                lost: false,
                epoch: g.epoch,
                kv: g.cache,
                hist,
                ask,
                r,
            })
        }
        Some((PeerResponse::StoredOutcome { .. }, blob)) => {
            front.counts.replayed.fetch_add(1, SeqCst);
            match serde_json::from_slice::<Kept>(&blob) {
                Ok(k) => {
                    let _ = out.send(Event::End(Box::new(k), 1, true)).await;
                }
                Err(_) => no(out, Code::Forgotten, "", 0).await,
            }
            None
        }
        Some((PeerResponse::Rejected(Code::Undecided | Code::StoreAway), _)) | None => {
            front.abort(&r.key, &r.b.job, nonce, purse(front, &r));
            no(out, Code::StoreAway, "", BACK_SOON).await;
            None
        }
        Some((PeerResponse::Rejected(c), _)) => {
            no(out, c, "", c.back()).await;
            None
        }
        Some(_) => {
            no(out, Code::StoreAway, "", BACK_SOON).await;
            None
        }
    }
}
