//! A lookup's way through a front.

use crate::back::{Sent, Stamp};
use crate::judge::{self, Case, Weights};
use crate::turn::name_ok;
use crate::{Front, admission, server_table};
use http_types::Response;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::buffered_http::{BufferedRequest, body, refuse, reply};
use yewcross_common::configuration::{Class, Kind, ProgramClass, Rule};
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::hash::content_digest;
use yewcross_common::protocol::*;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LookupBody {
    pub service: String,
    pub method: String,
    pub key: String,
    pub horizon_ms: u64,
    #[serde(default)]
    pub job: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Found {
    value: Value,
    stamp: Stamp,
}

pub async fn answer(f: Arc<Front>, j: BufferedRequest, nonce: u64) -> Response {
    let t0 = f.runtime.now();
    f.counts.lookups.fetch_add(1, SeqCst);
    let b: LookupBody = match serde_json::from_slice(&j.body) {
        Ok(b) => b,
        Err(e) => return refuse(Code::BadBody, &e.to_string(), 0),
    };
    let cap = f
        .documents
        .config
        .load()
        .1
        .services
        .get(&b.service)
        .map_or(HORIZON_MAX, |s| s.horizon_ms);
    let left = b.horizon_ms.min(cap) * MS + HORIZON_LATE;
    let (tx, rx) = async_channel::bounded(1);
    let me = f.clone();
    // What may run only once is seen to its end, whoever still waits.
    f.runtime.spawn(async move {
        let _ = tx.try_send(drive(me, b, t0, nonce).await);
    });
    let late = || refuse(Code::StillRunning, "its horizon has passed", BACK_SOON);
    f.runtime
        .timeout(left, rx.recv())
        .await
        .and_then(|r| r.ok())
        .unwrap_or_else(late)
}

async fn drive(f: Arc<Front>, b: LookupBody, t0: u64, nonce: u64) -> Response {
    if !(HORIZON_MIN..=HORIZON_MAX).contains(&b.horizon_ms) {
        return refuse(Code::BadHorizon, "", 0);
    }
    if !name_ok(&b.key) || (!b.job.is_empty() && !name_ok(&b.job)) {
        return refuse(Code::BadField, "key or job", 0);
    }
    if !f.watcher.may_serve() {
        return refuse(Code::NotServing, "", BACK_SOON);
    }
    let conf = f.documents.config.load_full();
    let Some(svc) = conf
        .1
        .services
        .get(&b.service)
        .filter(|s| s.kind == Kind::Lookup && s.methods.contains(&b.method))
    else {
        return refuse(
            Code::UnknownService,
            &format!("{}/{}", b.service, b.method),
            0,
        );
    };
    let once = svc.once.contains(&b.method);
    if once && b.job.is_empty() {
        return refuse(
            Code::BadField,
            "job: this method may run only once and needs a job id",
            0,
        );
    }
    let horizon = t0 + b.horizon_ms.min(svc.horizon_ms) * MS;
    let patience = t0 + (horizon - t0) * PATIENCE / 100;
    let request = admission::Request {
        service: &b.service,
        class: Class::Normal,
        deadline: horizon,
        patience,
        needs: HORIZON_SPARE,
        capacity: svc.line,
        urgent_share: svc.urgent_share,
    };
    let pass = match f
        .admission
        .admit(&f.runtime, request, || server_table::slots(&f, &b.service))
        .await
    {
        Ok(permit) => permit,
        Err(refused) => return refuse(refused.code, "", refused.retry_after),
    };
    let key = format!("once/{}/{}", b.service, b.job);
    let mut epoch = 0;
    if once {
        let a = PeerRequest::BeginTurn(BeginTurn {
            key: key.clone(),
            request_id: b.job.clone(),
            digest: content_digest(format!("{}\n{}", b.method, b.key).as_bytes()),
            nonce,
            front: f.settings.name.clone(),
            remaining_ms: horizon.saturating_sub(f.runtime.now()) / MS,
            budget: None,
            max_output_tokens: 0,
            retain_ms: svc.keep_ms,
            known_history: None,
        });
        match f.store_until(&key, &a, &[], 3, patience).await {
            Some((PeerResponse::TurnBegun(g), _)) => epoch = g.epoch,
            Some((PeerResponse::StoredOutcome { .. }, v)) => {
                let v: Value = serde_json::from_slice(&v).unwrap_or_default();
                return reply(200, &v);
            }
            Some((PeerResponse::Rejected(c), _))
                if !matches!(c, Code::Undecided | Code::StoreAway) =>
            {
                return refuse(c, "", c.back());
            }
            _ => {
                f.abort(&key, &b.job, nonce, None);
                return refuse(Code::StoreAway, "", BACK_SOON);
            }
        }
    }
    let job = if b.job.is_empty() {
        format!("{nonce:x}")
    } else {
        format!("{}#{nonce:x}", b.job)
    };
    let fam = ProgramClass::default();
    let none = SessionCacheState::default();
    let mut not: Vec<String> = vec![];
    let mut lost = false;
    let won = loop {
        let left = horizon.saturating_sub(f.runtime.now() + HORIZON_SPARE / 2);
        let servers = server_table::fit(&f, &b.service);
        let case = Case {
            key: &b.key,
            site: &f.settings.site,
            tokens: 0,
            max_out: 0,
            kv: &none,
            left,
        };
        let p = judge::pick(&servers, &case, &Weights::from(&fam), &not);
        let Some(p) = p.filter(|_| left > 0 && f.watcher.may_serve()) else {
            let waits = f.runtime.now() < patience
                && left > 20 * MS
                && servers.iter().any(|s| !not.contains(&s.at.server));
            if waits && f.watcher.may_serve() {
                f.runtime.sleep(10 * MS).await;
                continue;
            }
            break Err(if lost {
                Code::MayHaveRun
            } else if servers.is_empty() {
                Code::NoServer
            } else {
                Code::TooLate
            });
        };
        let at = &p.server.at;
        let Ok(k) = f
            .pool
            .get(&f.runtime, &b.service, &at.server, at.addr)
            .await
        else {
            f.slowed(&at.server);
            not.push(at.server.clone());
            continue;
        };
        if !f.watcher.may_serve()
            || !server_table::fit(&f, &b.service)
                .iter()
                .any(|s| s.at == *at)
        {
            continue;
        }
        let _claim = f.claim(&at.server);
        let q = json!({"job": job, "method": b.method, "key": b.key, "horizon_ms": left / MS});
        let t = f.runtime.now();
        // A repeatable lookup keeps time for one more shot.
        let wait = if once {
            left
        } else {
            (left / 2).max(left.min(100 * MS))
        };
        let sent = k
            .send(
                &f.runtime,
                "/lookup",
                serde_json::to_vec(&q).unwrap_or_default(),
                wait,
            )
            .await;
        let got = match sent {
            Sent::Answered(mut r) => {
                let ok = r.status().is_success();
                let v = f
                    .runtime
                    .timeout(wait, body(&mut r, BODY_MAX))
                    .await
                    .and_then(|v| v.ok());
                v.and_then(|v| serde_json::from_slice::<Value>(&v).ok())
                    .map(|v| (ok, v))
            }
            _ => None,
        };
        let stamped = |v: &Value| {
            serde_json::from_value::<Stamp>(v["stamp"].clone()).is_ok_and(|s| k.stamped(&s, &job))
        };
        match got {
            Some((true, v)) if stamped(&v) => {
                f.admission.served_in(&b.service, f.runtime.now() - t);
                f.calm(&at.server);
                f.pool.put(&f.runtime, k);
                break Ok(v);
            }
            Some((false, v)) if v["refused"] == json!(true) && stamped(&v) => {
                not.push(at.server.clone())
            }
            _ => {
                f.slowed(&at.server);
                not.push(at.server.clone());
                lost = true;
                if once {
                    break Err(Code::MayHaveRun);
                }
            }
        }
    };
    drop(pass);
    match won {
        Ok(v) => {
            let Ok(x) = serde_json::from_value::<Found>(v) else {
                return refuse(Code::MayHaveRun, "", 0);
            };
            let stamp = Stamp {
                job: b.job.clone(),
                ..x.stamp
            };
            let v = json!({"code": Code::Done.number(), "value": x.value, "stamp": stamp});
            if once
                && let Some(c) =
                    close(&f, &key, &b.job, nonce, epoch, Code::Done, horizon, &v).await
            {
                return refuse(c, "", c.back());
            }
            f.counts.found.fetch_add(1, SeqCst);
            reply(200, &v)
        }
        // One that may run again is worth asking again.
        Err(Code::MayHaveRun) if !once => refuse(Code::MayHaveRun, "", BACK_SOON),
        Err(Code::MayHaveRun) => {
            let me = f.clone();
            f.runtime.spawn(async move {
                close(
                    &me,
                    &key,
                    &b.job,
                    nonce,
                    epoch,
                    Code::MayHaveRun,
                    horizon + SEC,
                    &Value::Null,
                )
                .await;
            });
            refuse(Code::MayHaveRun, "", 0)
        }
        Err(c) => {
            if once {
                f.abort(&key, &b.job, nonce, None);
            }
            refuse(c, "", BACK_SOON)
        }
    }
}

#[allow(clippy::too_many_arguments)]
async fn close(
    front: &Arc<Front>,
    key: &str,
    job: &str,
    nonce: u64,
    epoch: u64,
    code: Code,
    until: u64,
    v: &Value,
) -> Option<Code> {
    let kept = if code == Code::Done {
        serde_json::to_vec(v).unwrap_or_default()
    } else {
        vec![]
    };
    let a = PeerRequest::CommitTurn(CommitTurn {
        key: key.into(),
        request_id: job.into(),
        epoch,
        nonce,
        code,
        used_tokens: 0,
        rule: Rule::All,
        cache: SessionCacheState::default(),
        history_bytes: 0,
    });
    loop {
        match front.store(key, &a, &kept, 1).await {
            Some((PeerResponse::Committed, _)) => return None,
            Some((PeerResponse::Rejected(Code::MayHaveRun), _)) => return Some(Code::MayHaveRun),
            _ if front.runtime.now() > until => return Some(Code::Undecided),
            _ => front.runtime.sleep(30 * MS).await,
        }
    }
}
