//! Putting a configuration in force under leases: it is acknowledged once no front can serve by an
//! older one.

use crate::Control;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::configuration::{Configuration, InvalidSetting};
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::*;
use yewcross_common::register::*;

pub async fn grants(c: &Arc<Control>, name: &str, seq: u64) -> PeerResponse {
    let s = c.replica.peek(name).await.map(|s| s.seq).unwrap_or(0);
    let t = c.runtime.now();
    let mut g = c.serving_leases.lock().unwrap();
    g.retain(|_, u| *u > t);
    PeerResponse::ServingLeases {
        version: if s >= seq { s } else { 0 },
        fronts: g.iter().map(|(f, u)| (f.clone(), u - t)).collect(),
        in_force: c.proved.load(SeqCst),
    }
}

pub enum Put {
    InForce(u64),
    No(Code, String, Vec<InvalidSetting>),
}

/// Written down on disk as well, so that lists of fronts long gone are not asked for after a
/// restart.
pub async fn proved(control: &Arc<Control>, seq: u64) -> PeerResponse {
    if control.proved.fetch_max(seq, SeqCst) < seq {
        let _ = control
            .storage
            .persist("local", "proved", seq, &seq.to_le_bytes())
            .await;
    }
    PeerResponse::Ok
}

/// Every list of fronts whose members may yet hold each other's leases: this version's own, and
/// those back to the last version proved in force, that one included.
pub fn lists(d: &ConfigDoc, proved: u64) -> Vec<Vec<String>> {
    let fronts = |text: &str| {
        Configuration::read(text.as_bytes())
            .map(|t| t.fronts)
            .unwrap_or_default()
    };
    let mut v = vec![fronts(&d.text)];
    let mut older = true;
    d.past
        .iter()
        .take_while(|p| std::mem::replace(&mut older, p.0 > proved))
        .for_each(|p| v.push(fronts(&p.2)));
    v.retain(|l| !l.is_empty());
    v.sort();
    v.dedup();
    v
}

/// The first list that could not be proved now, most of its fronts being gone; the planner asks the
/// same.
pub fn gone(lists: &[Vec<String>], up: impl Fn(&str) -> bool) -> Option<InvalidSetting> {
    let l = lists
        .iter()
        .find(|l| l.iter().filter(|f| up(f)).count() < majority(l.len()))?;
    Some(InvalidSetting {
        path: "fronts".into(),
        why: format!(
            "a majority of {} must be up, so that none of them can serve by an older version",
            l.join(", ")
        ),
    })
}

/// Checks, decides, carries to all, and answers only once no front can serve by an older one.
pub async fn put(control: &Arc<Control>, base: u64, text: String, note: String, dry: bool) -> Put {
    if let Err(b) = Configuration::read(text.as_bytes()) {
        return Put::No(Code::BadConfig, String::new(), b);
    }
    if control.documents.layout.load().0 == 0 {
        return Put::No(Code::NotFounded, String::new(), vec![]);
    }
    if dry {
        let now = control.documents.config.load();
        return if now.0 == base {
            Put::InForce(base)
        } else {
            Put::No(Code::Conflict, format!("newest is {}", now.0), vec![])
        };
    }
    control.counts.puts.fetch_add(1, SeqCst);
    let id = format!(
        "{}-{:016x}",
        control.settings.name,
        control.runtime.random()
    );
    let view = control.members.view.load_full();
    let mut last = Vec::new();
    let got = control
        .registers
        .change("config", PUT_WAIT, |seq, v| {
            let d: ConfigDoc = serde_json::from_slice(v).unwrap_or_default();
            let mine = if d.put_id == id {
                Some(seq)
            } else {
                d.past.iter().find(|p| p.1 == id).map(|p| p.0)
            };
            if let Some(s) = mine {
                last = v.to_vec();
                return Step::Keep(Ok(s));
            }
            if seq != base {
                return Step::Keep(Err((seq, None)));
            }
            let mut past = d.past.clone();
            if seq > 0 {
                past.insert(0, (seq, d.put_id.clone(), d.text.clone()));
                past.truncate(PAST_KEPT);
            }
            let n = ConfigDoc {
                text: text.clone(),
                put_id: id.clone(),
                note: note.clone(),
                past,
                ..Default::default()
            };
            let proved = control.proved.load(SeqCst);
            let lost = n.past.len() == PAST_KEPT && n.past.last().is_some_and(|p| p.0 > proved);
            let why = lost.then(|| InvalidSetting {
                path: "fronts".into(),
                why: format!("none of the last {PAST_KEPT} versions is proved in force"),
            });
            if let Some(b) = why.or_else(|| gone(&lists(&n, proved), |f| view.contains_key(f))) {
                return Step::Keep(Err((seq, Some(b))));
            }
            last = serde_json::to_vec(&n).unwrap_or_default();
            Step::Write(last.clone(), Ok(seq + 1))
        })
        .await;
    match got {
        Ok(Ok(s)) => {
            let (top, epoch, raw) = match control.registers.read("config", PEER_WAIT).await {
                Ok(x) => x,
                Err(_) => {
                    return Put::No(
                        Code::Undecided,
                        format!("version {s} is stored, not yet proved in force"),
                        vec![],
                    );
                }
            };
            if carry(control, "config", top, epoch, &raw).await {
                Put::InForce(s)
            } else {
                Put::No(
                    Code::Undecided,
                    format!("version {s} is stored, not yet proved in force"),
                    vec![],
                )
            }
        }
        Ok(Err((_, Some(b)))) => Put::No(Code::NoMajority, b.why, vec![]),
        Ok(Err((s, None))) => Put::No(Code::Conflict, format!("newest is {s}"), vec![]),
        Err(ChangeError::NotDone | ChangeError::NotProposer) => {
            Put::No(Code::NoMajority, String::new(), vec![])
        }
        Err(ChangeError::Undecided) => {
            Put::No(Code::Undecided, "some disk may hold it".into(), vec![])
        }
    }
}

/// Sends a decided document to every node; true once none can act on an older one.
pub async fn carry(
    c: &Arc<Control>,
    name: &str,
    seq: u64,
    epoch: Ballot,
    raw: &Arc<Vec<u8>>,
) -> bool {
    c.documents.apply(name, seq, epoch, raw.to_vec());
    let t0 = c.runtime.now();
    let (tx, rx) = async_channel::unbounded::<(String, bool)>();
    c.members
        .all()
        .into_iter()
        .filter(|n| n.name != c.settings.name)
        .for_each(|n| {
            let (me, tx, raw, name) = (c.clone(), tx.clone(), raw.clone(), name.to_string());
            c.runtime.spawn(async move {
                let a = PeerRequest::PublishDocument {
                    name,
                    version: seq,
                    epoch,
                    relays: vec![],
                };
                while me.runtime.now() < t0 + PUT_WAIT {
                    match me.peers.request(n.peer, &a, &raw, PEER_WAIT).await {
                        Ok((PeerResponse::DocumentApplied { version: s }, _)) if s >= seq => {
                            let _ = tx.try_send((n.name.clone(), n.role == Role::Front));
                            return;
                        }
                        _ => me.runtime.sleep(50 * MS).await,
                    }
                }
            });
        });
    if name != "config" {
        return true;
    }
    let lay = c.documents.layout.load_full();
    let cores: Vec<_> = lay
        .1
        .core
        .current
        .iter()
        .filter_map(|d| c.members.by_disk(d).map(|n| (d.clone(), n.peer)))
        .collect();
    let (gx, gr) = async_channel::unbounded::<(String, Vec<(String, u64)>, u64)>();
    cores.into_iter().for_each(|(d, to)| {
        let (me, gx) = (c.clone(), gx.clone());
        c.runtime.spawn(async move {
            while me.runtime.now() < t0 + PUT_WAIT {
                let a = PeerRequest::CollectServingLeases {
                    name: "config".into(),
                    version: seq,
                };
                let r = if to == me.settings.peer {
                    Some(grants(&me, "config", seq).await)
                } else {
                    me.peers
                        .request(to, &a, &[], PEER_WAIT)
                        .await
                        .ok()
                        .map(|x| x.0)
                };
                match r {
                    Some(PeerResponse::ServingLeases {
                        version: s,
                        fronts,
                        in_force: proved,
                    }) if s >= seq => {
                        me.proved.fetch_max(proved, SeqCst);
                        let _ = gx.try_send((d, fronts, me.runtime.now()));
                        return;
                    }
                    _ => me.runtime.sleep(30 * MS).await,
                }
            }
        });
    });
    let need = majority(lay.1.core.current.len());
    let doc: ConfigDoc = serde_json::from_slice(raw).unwrap_or_default();
    let mut at = c.proved.load(SeqCst);
    let mut fronts = lists(&doc, at);
    let (mut seen, mut owed, mut adopted, mut most_at) = (
        0,
        std::collections::BTreeMap::<String, u64>::new(),
        BTreeSet::new(),
        None,
    );
    while c.runtime.now() < t0 + PUT_WAIT {
        while let Ok((_, g, t)) = gr.try_recv() {
            seen += 1;
            g.into_iter().for_each(|(f, left)| {
                let e = owed.entry(f).or_default();
                *e = (*e).max(t + left);
            });
        }
        while let Ok((n, true)) = rx.try_recv() {
            adopted.insert(n);
        }
        let t = c.runtime.now();
        // Who granted a lease tells at once what is proved; until then every older list counts.
        let known = c.proved.load(SeqCst);
        if known != at {
            (at, fronts) = (known, lists(&doc, known));
        }
        let most = fronts
            .iter()
            .all(|l| l.iter().filter(|f| adopted.contains(*f)).count() >= majority(l.len()));
        if most && most_at.is_none() {
            most_at = Some(t);
        }
        let quiet = owed.iter().all(|(f, u)| adopted.contains(f) || t > *u);
        let named = most_at.is_some_and(|m| {
            t > m + SERVE_LEASE + 100 * MS || fronts.iter().flatten().all(|f| adopted.contains(f))
        });
        if seen >= need && most && quiet && named {
            let a = PeerRequest::AnnounceInForce { version: seq };
            lay.1
                .core
                .current
                .iter()
                .filter_map(|d| c.members.by_disk(d))
                .filter(|n| n.name != c.settings.name)
                .for_each(|n| {
                    let (p, a) = (c.peers.clone(), a.clone());
                    c.runtime.spawn(async move {
                        let _ = p.request(n.peer, &a, &[], PEER_WAIT).await;
                    });
                });
            proved(c, seq).await;
            return true;
        }
        c.runtime.sleep(5 * MS).await;
    }
    false
}
