//! Budgets: reservations are made, settled, and audited when their front is silent.

use crate::records::Store;
use crate::records::purse::{Open, Purse, purse_key};
use std::sync::Arc;
use yewcross_common::constants::{AUDIT_AFTER, MS, PEER_WAIT};
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::Step;

impl Store {
    pub async fn reserve(&self, budget: &str, e: &str, o: Open, limit: u64) -> PeerResponse {
        let got = self
            .owner
            .change(&purse_key(budget), PEER_WAIT, |_, v| {
                let mut p = Purse::read(v);
                if p.open.contains_key(e) {
                    return Step::Keep(PeerResponse::Ok);
                }
                if p.recent.iter().any(|x| x == e) {
                    return Step::Keep(PeerResponse::Rejected(Code::Conflict));
                }
                let held = p
                    .open
                    .values()
                    .fold(0u64, |n, o| n.saturating_add(o.amount));
                if p.spent.saturating_add(held) >= limit {
                    return Step::Keep(PeerResponse::Rejected(Code::BudgetSpent));
                }
                p.open.insert(e.into(), o.clone());
                Step::Write(p.write(), PeerResponse::Ok)
            })
            .await;
        got.unwrap_or(PeerResponse::Rejected(Code::StoreAway))
    }

    pub async fn settle(&self, budget: &str, e: &str, used: Option<u64>) -> PeerResponse {
        let got = self
            .owner
            .change(&purse_key(budget), PEER_WAIT, |_, v| {
                let mut p = Purse::read(v);
                match p.open.remove(e) {
                    None => Step::Keep(()),
                    Some(o) => {
                        p.spent = p
                            .spent
                            .saturating_add(used.unwrap_or(o.amount).min(o.amount));
                        p.recent.push_back(e.into());
                        while p.recent.len() > 256 {
                            p.recent.pop_front();
                        }
                        Step::Write(p.write(), ())
                    }
                }
            })
            .await;
        got.map(|_| PeerResponse::Ok)
            .unwrap_or(PeerResponse::Rejected(Code::Undecided))
    }

    /// Until this is through, the reservation counts in full.
    pub(super) fn settle_soon(self: &Arc<Self>, budget: &str, entry: String, used: Option<u64>) {
        let (me, b) = (self.clone(), budget.to_string());
        self.w.spawn(async move {
            let a = PeerRequest::SettleBudget {
                budget: b.clone(),
                entry,
                used,
            };
            for i in 0..4u64 {
                if let Some(PeerResponse::Ok) = (me.route)(purse_key(&b), a.clone()).await {
                    return;
                }
                me.w.sleep((100 << i) * MS).await;
            }
        });
    }

    /// Settles reservations whose front is silent: at the real figure if it was kept, in full if
    /// not.
    pub async fn audit(self: &Arc<Self>, budget: &str) {
        let Some(v) = self.owner.hint(&purse_key(budget)) else {
            return;
        };
        let wall = self.wall();
        for (e, o) in Purse::read(&v)
            .open
            .into_iter()
            .filter(|x| wall > x.1.at + AUDIT_AFTER)
        {
            let Some(PeerResponse::SessionReservations { open, done }) = (self.route)(
                o.key.clone(),
                PeerRequest::InspectSession { key: o.key.clone() },
            )
            .await
            else {
                continue;
            };
            if open.iter().any(|x| x.0 == o.job && x.1 == o.nonce) {
                continue;
            }
            let mut used = done
                .iter()
                .find(|x| x.0 == o.job && x.1 == o.nonce)
                .map(|x| x.2);
            // Never begun, as far as the record tells, and the record cannot have been forgotten
            // since: once it is barred it never will be.
            if used.is_none() && wall < o.at.saturating_add(o.keep) {
                let a = PeerRequest::AbortTurn {
                    key: o.key.clone(),
                    request_id: o.job.clone(),
                    nonce: o.nonce,
                    budget: None,
                };
                match (self.route)(o.key.clone(), a).await {
                    Some(PeerResponse::Ok) => used = Some(0),
                    Some(PeerResponse::Rejected(Code::Conflict)) => {}
                    _ => continue,
                }
            }
            self.settle(budget, &e, used).await;
        }
    }
}
