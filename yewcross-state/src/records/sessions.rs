//! Sessions: a turn begins, is committed or aborted; the session ends or expires.

use crate::records::Store;
use crate::records::purse::purse_key;
use crate::records::record::{Record, Run};
use std::sync::Arc;
use yewcross_common::constants::{
    BAR_KEPT, HORIZON_MAX, KEEP_MAX, MS, OUTCOMES_KEPT, PEER_WAIT, RUN_GRACE,
};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{
    BeginTurn, CommitTurn, PeerRequest, PeerResponse, SessionCacheState, TurnBegun,
};
use yewcross_common::register::{ChangeError, Step};

#[allow(clippy::large_enum_variant)]
enum Pre {
    Go(TurnBegun, Vec<u8>, Option<Run>),
    Kept(Code, String),
    No(Code),
}

fn entry(b: &BeginTurn) -> String {
    format!("{}|{}|{}", b.key, b.request_id, b.nonce)
}

impl Store {
    pub async fn begin(self: &Arc<Self>, b: BeginTurn) -> (PeerResponse, Vec<u8>) {
        let seen = self.owner.hint(&b.key).is_some_and(|v| {
            let r = Record::read(&v);
            r.head.marks.iter().any(|m| m.job == b.request_id)
                || r.head
                    .running
                    .as_ref()
                    .is_some_and(|x| self.wall() < x.until)
        });
        let mut reserve = b.budget.clone().filter(|_| !seen);
        if let Some((name, limit)) = reserve.clone() {
            let a = PeerRequest::ReserveBudget {
                budget: name.clone(),
                entry: entry(&b),
                amount: b.max_output_tokens,
                limit,
                key: b.key.clone(),
                request_id: b.request_id.clone(),
                nonce: b.nonce,
                retain_ms: b.retain_ms,
            };
            match (self.route)(purse_key(&name), a).await {
                Some(PeerResponse::Ok) => {}
                // Given back already: this shot may be looked at, and not begun.
                Some(PeerResponse::Rejected(Code::Conflict)) => reserve = None,
                Some(PeerResponse::Rejected(c)) => return (PeerResponse::Rejected(c), vec![]),
                _ => return (PeerResponse::Rejected(Code::StoreAway), vec![]),
            }
        }
        let wall = self.wall();
        let got = self
            .owner
            .change(&b.key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                if let Some(m) = r.head.marks.iter().find(|m| m.job == b.request_id) {
                    if m.digest != b.digest {
                        return Step::Keep(Pre::No(Code::OtherBody));
                    }
                    let kept = r
                        .head
                        .kept
                        .iter()
                        .find(|k| k.0 == b.request_id)
                        .map(|k| k.1.clone());
                    return Step::Keep(match (m.code, kept) {
                        (Code::Done, Some(k)) => Pre::Kept(m.code, k),
                        (Code::Done, None) => Pre::No(Code::Forgotten),
                        (c, _) => Pre::No(c),
                    });
                }
                if r.head.barred.contains(&b.nonce) {
                    return Step::Keep(Pre::No(Code::StoreAway));
                }
                if r.ran_before(&b.request_id) {
                    return Step::Keep(Pre::No(Code::Forgotten));
                }
                let mut closed = None;
                if let Some(x) = &r.head.running {
                    if x.job == b.request_id && x.digest != b.digest {
                        return Step::Keep(Pre::No(Code::OtherBody));
                    }
                    if x.nonce == b.nonce && x.job == b.request_id {
                        let g = TurnBegun {
                            epoch: r.head.epoch,
                            cache: r.head.kv.clone(),
                            history_bytes: r.hist.len() as u64,
                            history_complete: true,
                        };
                        return Step::Keep(Pre::Go(g, r.hist, None));
                    }
                    if wall < x.until {
                        return Step::Keep(Pre::No(if x.job == b.request_id {
                            Code::StillRunning
                        } else {
                            Code::SessionBusy
                        }));
                    }
                    let (same, used) = (x.job == b.request_id, x.max_out);
                    closed = r.close(Code::MayHaveRun, used);
                    if same {
                        return Step::Write(r.write(), Pre::No(Code::MayHaveRun));
                    }
                }
                if r.full() {
                    return Step::Keep(Pre::No(Code::SessionFull));
                }
                if b.budget.is_some() && reserve.is_none() {
                    return Step::Keep(Pre::No(Code::StoreAway));
                }
                r.head.epoch += 1;
                r.head.touched = wall;
                r.head.keep = b.retain_ms.min(KEEP_MAX);
                r.head.running = Some(Run {
                    job: b.request_id.clone(),
                    digest: b.digest.clone(),
                    nonce: b.nonce,
                    front: b.front.clone(),
                    until: wall + b.remaining_ms.min(HORIZON_MAX) + RUN_GRACE / MS,
                    max_out: b.max_output_tokens,
                    budget: b.budget.as_ref().map(|x| x.0.clone()),
                });
                let g = TurnBegun {
                    epoch: r.head.epoch,
                    cache: r.head.kv.clone(),
                    history_bytes: r.hist.len() as u64,
                    history_complete: true,
                };
                Step::Write(r.write(), Pre::Go(g, r.hist, closed))
            })
            .await;
        let free = |me: &Arc<Self>| {
            reserve
                .iter()
                .for_each(|(n, _)| me.settle_soon(n, entry(&b), Some(0)));
        };
        match got {
            Ok(Pre::Go(mut g, hist, closed)) => {
                closed.into_iter().for_each(|x| {
                    let e = format!("{}|{}|{}", b.key, x.job, x.nonce);
                    x.budget
                        .iter()
                        .for_each(|n| self.settle_soon(n, e.clone(), None));
                });
                let same = b.known_history.as_ref().is_some_and(|(n, d)| {
                    *n == hist.len() as u64 && *d == yewcross_common::hash::content_digest(&hist)
                });
                g.history_complete = !same;
                (PeerResponse::TurnBegun(g), if same { vec![] } else { hist })
            }
            Ok(Pre::Kept(code, k)) => {
                free(self);
                (PeerResponse::StoredOutcome { code }, k.into_bytes())
            }
            // The front may ask again with this very shot: it keeps its reservation until it is
            // barred.
            Ok(Pre::No(Code::StoreAway)) | Err(ChangeError::NotDone | ChangeError::NotProposer) => {
                (PeerResponse::Rejected(Code::StoreAway), vec![])
            }
            Ok(Pre::No(c)) => {
                free(self);
                (PeerResponse::Rejected(c), vec![])
            }
            Err(ChangeError::Undecided) => (PeerResponse::Rejected(Code::Undecided), vec![]),
        }
    }

    pub async fn commit(self: &Arc<Self>, c: CommitTurn, blob: Vec<u8>) -> PeerResponse {
        let n = (c.history_bytes as usize).min(blob.len());
        let (line, kept) = (
            blob[..n].to_vec(),
            String::from_utf8_lossy(&blob[n..]).into_owned(),
        );
        let got = self
            .owner
            .change(&c.key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                if let Some(m) = r.head.marks.iter().find(|m| m.job == c.request_id) {
                    return Step::Keep((m.nonce == c.nonce && m.code == c.code).then_some(None));
                }
                if r.head.epoch != c.epoch
                    || r.head
                        .running
                        .as_ref()
                        .is_none_or(|x| x.nonce != c.nonce || x.job != c.request_id)
                {
                    return Step::Keep(None);
                }
                let run = r.close(c.code, c.used_tokens);
                r.hist.extend(&line);
                c.rule.trim(&mut r.hist);
                if !kept.is_empty() {
                    r.head.kept.push_back((c.request_id.clone(), kept.clone()));
                    while r.head.kept.len() > OUTCOMES_KEPT {
                        r.head.kept.pop_front();
                    }
                }
                r.head.kv = c.cache.clone();
                Step::Write(r.write(), Some(run.and_then(|x| x.budget)))
            })
            .await;
        match got {
            Ok(Some(b)) => {
                b.into_iter().for_each(|n| {
                    self.settle_soon(
                        &n,
                        format!("{}|{}|{}", c.key, c.request_id, c.nonce),
                        Some(c.used_tokens),
                    )
                });
                PeerResponse::Committed
            }
            Ok(None) => PeerResponse::Rejected(Code::MayHaveRun),
            Err(ChangeError::NotDone | ChangeError::NotProposer) => {
                PeerResponse::Rejected(Code::StoreAway)
            }
            Err(ChangeError::Undecided) => PeerResponse::Rejected(Code::Undecided),
        }
    }

    /// This shot will never be dispatched: as if it had not begun, and it never can begin any more.
    /// Only then is its reservation given back.
    pub async fn abort(
        self: &Arc<Self>,
        key: &str,
        job: &str,
        nonce: u64,
        budget: Option<String>,
    ) -> PeerResponse {
        let wall = self.wall();
        let got = self
            .owner
            .change(key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                if r.head
                    .marks
                    .iter()
                    .any(|m| m.job == job && m.nonce == nonce)
                    || r.ran_before(job)
                {
                    return Step::Keep(false);
                }
                if r.head.barred.contains(&nonce) {
                    return Step::Keep(true);
                }
                r.head.running.take_if(|x| x.job == job && x.nonce == nonce);
                r.bar(nonce);
                if r.head.keep == 0 {
                    (r.head.touched, r.head.keep) = (wall, BAR_KEPT);
                }
                Step::Write(r.write(), true)
            })
            .await;
        match got {
            Ok(true) => {
                budget
                    .iter()
                    .for_each(|n| self.settle_soon(n, format!("{key}|{job}|{nonce}"), Some(0)));
                PeerResponse::Ok
            }
            Ok(false) => PeerResponse::Rejected(Code::Conflict),
            Err(_) => PeerResponse::Rejected(Code::Undecided),
        }
    }

    pub async fn note(&self, key: &str, epoch: u64, kv: SessionCacheState) -> PeerResponse {
        let got = self
            .owner
            .change(key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                if r.head.epoch != epoch || r.head.kv == kv {
                    return Step::Keep(r.head.epoch == epoch);
                }
                r.head.kv = kv.clone();
                Step::Write(r.write(), true)
            })
            .await;
        if got == Ok(true) {
            PeerResponse::Ok
        } else {
            PeerResponse::Rejected(Code::Conflict)
        }
    }

    /// The session is over: history and transfer state go, marks and kept outcomes stay.
    pub async fn end(&self, key: &str) -> PeerResponse {
        let got = self
            .owner
            .change(key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                if r.head.running.is_some() {
                    return Step::Keep(Err(Code::SessionBusy));
                }
                let kv = std::mem::take(&mut r.head.kv);
                if v.is_empty() || (r.hist.is_empty() && kv == SessionCacheState::default()) {
                    return Step::Keep(Ok(kv));
                }
                r.hist.clear();
                r.head.epoch += 1;
                Step::Write(r.write(), Ok(kv))
            })
            .await;
        match got {
            Ok(Ok(kv)) => PeerResponse::SessionEnded { cache: kv },
            Ok(Err(c)) => PeerResponse::Rejected(c),
            Err(ChangeError::NotDone | ChangeError::NotProposer) => {
                PeerResponse::Rejected(Code::StoreAway)
            }
            Err(ChangeError::Undecided) => PeerResponse::Rejected(Code::Undecided),
        }
    }

    /// Whether a stored session has outlived its keeping time.
    pub fn outlived(&self, v: &[u8]) -> bool {
        let h = Record::read(v).head;
        let (wall, sure) = self.members.clock();
        h.keep > 0 && h.running.is_none() && sure && wall > h.touched + h.keep
    }

    pub async fn expire(&self, key: &str) -> PeerResponse {
        if self.owner.erase(key, |v| self.outlived(v)).await {
            PeerResponse::Ok
        } else {
            PeerResponse::Rejected(Code::Undecided)
        }
    }

    pub async fn look(&self, key: &str) -> PeerResponse {
        let wall = self.wall();
        let got = self
            .owner
            .change(key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                let late = r.head.running.as_ref().is_some_and(|x| wall > x.until);
                let used = r.head.running.as_ref().map(|x| x.max_out).unwrap_or(0);
                if late {
                    r.close(Code::MayHaveRun, used);
                }
                let open = r
                    .head
                    .running
                    .iter()
                    .map(|x| (x.job.clone(), x.nonce))
                    .collect();
                let done = r
                    .head
                    .marks
                    .iter()
                    .map(|m| (m.job.clone(), m.nonce, m.used))
                    .collect();
                let t = PeerResponse::SessionReservations { open, done };
                if late {
                    Step::Write(r.write(), t)
                } else {
                    Step::Keep(t)
                }
            })
            .await;
        got.unwrap_or(PeerResponse::Rejected(Code::StoreAway))
    }
}
