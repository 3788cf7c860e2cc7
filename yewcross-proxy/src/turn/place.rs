//! Chooses a server and connects to it.

use crate::admission::Permit;
use crate::back::{Back, Verified};
use crate::judge::{Case, Pick, Warmth, Weights};
use crate::kv::Due;
use crate::turn::request::tokens;
use crate::turn::state::Begun;
use crate::{Front, judge, kv, server_table};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{HORIZON_SPARE, MS};
use yewcross_common::protocol::CachedPrefix;

/// The judges' pick, with a verified connection to it. No import is waited for: while the session's
/// home is full, its replica is brought in beside the wait, and a turn that must move before that
/// is served cold.
pub(super) async fn place(
    front: &Arc<Front>,
    g: &mut Begun,
    not: &mut Vec<String>,
    pass: &mut Option<Permit<'_>>,
) -> Option<(Pick, Back<Verified>)> {
    let w = Weights::from(&g.r.fam);
    let began = front.runtime.now();
    let mut asked = false;
    loop {
        let left =
            g.r.horizon
                .checked_sub(front.runtime.now() + HORIZON_SPARE)?;
        if !front.watcher.may_serve() {
            return None;
        }
        let servers = server_table::fit(front, &g.r.fam.service);
        if servers.iter().all(|s| not.contains(&s.at.server)) {
            return None;
        }
        let kv = kv::known(front, &g.r.key, &g.kv);
        let case = Case {
            key: &g.r.key,
            site: &front.settings.site,
            tokens: tokens(g.hist.len() + g.ask.len()),
            max_out: g.r.max_out,
            kv: &kv,
            left,
        };
        let mut beside = || {
            let due = |r: CachedPrefix| Due {
                key: g.r.key.clone(),
                service: g.r.fam.service.clone(),
                replica: r,
                tell: false,
            };
            let room = |r: &&CachedPrefix| {
                !r.digest.is_empty()
                    && servers
                        .iter()
                        .any(|s| s.at.server == r.server && s.free() > 0)
            };
            if let Some(r) = kv.replica.as_ref().filter(room)
                && !std::mem::replace(&mut asked, true)
            {
                kv::ahead(front, due(r.clone()), true);
            }
        };
        let Some(p) = judge::pick(&servers, &case, &w, not) else {
            let could = servers.iter().filter(|s| !not.contains(&s.at.server));
            let hopeless = could
                .map(|s| judge::takes(s, &case, &judge::warmth(s, &case)))
                .all(|t| t > left);
            if hopeless || front.runtime.now() > g.r.patience {
                return None;
            }
            beside();
            front.runtime.sleep(20 * MS).await;
            continue;
        };
        // A full home is waited for no longer than the move would cost over staying.
        let stay = servers.iter().find(|s| {
            g.kv.home.as_ref().is_some_and(|h| h.server == s.at.server)
                && !not.contains(&s.at.server)
        });
        let stay = stay
            .filter(|s| p.server.at.server != s.at.server)
            .map(|s| (s, judge::warmth(s, &case)));
        if let Some((s, m @ Warmth::Held(_))) = stay {
            let more = p.takes.saturating_sub(judge::takes(s, &case, &m));
            if front.runtime.now()
                < (began + more.min(left.saturating_sub(p.takes))).min(g.r.patience)
            {
                *pass = None;
                beside();
                front.runtime.sleep(20 * MS).await;
                continue;
            }
        }
        let at = &p.server.at;
        let b = match front
            .pool
            .get(&front.runtime, &g.r.fam.service, &at.server, at.addr)
            .await
        {
            Ok(b) => b,
            Err(e) => {
                if e.kind() == std::io::ErrorKind::PermissionDenied {
                    front.counts.strangers.fetch_add(1, SeqCst);
                }
                front.slowed(&at.server);
                not.push(at.server.clone());
                continue;
            }
        };
        if matches!(p.warmth, Warmth::Import(_)) {
            front.counts.unready.fetch_add(1, SeqCst);
        }
        return Some((p, b));
    }
}
