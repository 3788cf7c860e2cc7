//! Putting a configuration in force, and telling fronts whether a newer one may be.

use crate::Control;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross::ask::*;
use yewcross::book::DOCS;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::reg::*;
use yewcross::startup::Role;
use yewcross::tree::{Bad, Tree};

/// Grants are written down before the disk is looked at, so that a put that follows cannot miss one.
pub async fn newer(c: &Arc<Control>, have: Vec<(String, u64)>, front: bool, who: &str) -> Tell {
    if front && !who.is_empty() {
        c.grants.lock().unwrap().insert(who.into(), c.w.now() + SERVE_LEASE + 100 * MS);
    }
    let mut newest = vec![];
    for d in DOCS {
        let s = c.replica.peek(d).await.map(|s| s.seq).unwrap_or(0);
        newest.push((d.to_string(), s.max(c.book.page(d).seq)));
    }
    let l = c.book.layout.load();
    let seat = l.1.core.now.contains(&c.vault.id);
    let sure = seat && !c.vault.failed.load(SeqCst) && c.replica.peek("config").await.is_some() && !have.is_empty();
    Tell::Newer { newest, sure }
}

pub async fn doc(c: &Arc<Control>, name: &str) -> (Tell, Vec<u8>) {
    if !DOCS.contains(&name) {
        return (Tell::No(Code::BadField), vec![]);
    }
    if c.st.role != Role::Core || c.book.layout.load().0 == 0 {
        return (Tell::No(Code::NotFounded), vec![]);
    }
    match c.owner.read(name, PEER_WAIT).await {
        Ok((seq, epoch, v)) => {
            if seq > 0 {
                c.book.adopt(name, seq, epoch, v.to_vec());
            }
            (Tell::Doc { seq, epoch }, v.to_vec())
        }
        Err(_) => (Tell::No(Code::NoMajority), vec![]),
    }
}

pub async fn grants(c: &Arc<Control>, name: &str, seq: u64) -> Tell {
    let s = c.replica.peek(name).await.map(|s| s.seq).unwrap_or(0);
    let t = c.w.now();
    let mut g = c.grants.lock().unwrap();
    g.retain(|_, u| *u > t);
    Tell::Grants { seq: if s >= seq { s } else { 0 }, fronts: g.iter().map(|(f, u)| (f.clone(), u - t)).collect() }
}

pub enum Put {
    InForce(u64),
    No(Code, String, Vec<Bad>),
}

/// Majorities of neighbouring configurations' fronts must meet.
pub fn one_front(now: &Tree, next: &Tree) -> Option<Bad> {
    let (old, new): (BTreeSet<_>, BTreeSet<_>) = (now.fronts.iter().collect(), next.fronts.iter().collect());
    let far = !old.is_empty() && old.symmetric_difference(&new).count() > 1;
    far.then(|| Bad { path: "fronts".into(), why: "one front may be added or taken away in one put".into() })
}

/// Checks, decides, carries to all, and answers only once no front can serve by an older one.
pub async fn put(c: &Arc<Control>, base: u64, text: String, note: String, dry: bool) -> Put {
    let tree = match Tree::read(text.as_bytes()) {
        Ok(t) => t,
        Err(b) => return Put::No(Code::BadConfig, String::new(), b),
    };
    if c.book.layout.load().0 == 0 {
        return Put::No(Code::NotFounded, String::new(), vec![]);
    }
    if dry {
        let now = c.book.config.load();
        if let Some(b) = one_front(&now.1, &tree) {
            return Put::No(Code::BadConfig, String::new(), vec![b]);
        }
        return if now.0 == base { Put::InForce(base) } else { Put::No(Code::Conflict, format!("newest is {}", now.0), vec![]) };
    }
    c.counts.puts.fetch_add(1, SeqCst);
    let id = format!("{}-{:016x}", c.st.name, c.w.rand());
    let mut last = Vec::new();
    let got = c
        .owner
        .change("config", PUT_WAIT, |seq, v| {
            let d: ConfigDoc = serde_json::from_slice(v).unwrap_or_default();
            let mine = if d.put == id { Some(seq) } else { d.past.iter().find(|p| p.1 == id).map(|p| p.0) };
            if let Some(s) = mine {
                last = v.to_vec();
                return Step::Keep(Ok(s));
            }
            if seq != base {
                return Step::Keep(Err((seq, None)));
            }
            if let Some(b) = Tree::read(d.text.as_bytes()).ok().and_then(|now| one_front(&now, &tree)) {
                return Step::Keep(Err((seq, Some(b))));
            }
            let mut past = d.past.clone();
            if seq > 0 {
                past.insert(0, (seq, d.put.clone(), d.text.clone()));
                past.truncate(16);
            }
            let n = ConfigDoc { text: text.clone(), put: id.clone(), note: note.clone(), past };
            last = serde_json::to_vec(&n).unwrap_or_default();
            Step::Write(last.clone(), Ok(seq + 1))
        })
        .await;
    match got {
        Ok(Ok(s)) => {
            let (top, epoch, raw) = match c.owner.read("config", PEER_WAIT).await {
                Ok(x) => x,
                Err(_) => return Put::No(Code::Undecided, format!("version {s} is stored, not yet proved in force"), vec![]),
            };
            if carry(c, "config", top, epoch, &raw).await {
                Put::InForce(s)
            } else {
                Put::No(Code::Undecided, format!("version {s} is stored, not yet proved in force"), vec![])
            }
        }
        Ok(Err((_, Some(b)))) => Put::No(Code::BadConfig, String::new(), vec![b]),
        Ok(Err((s, None))) => Put::No(Code::Conflict, format!("newest is {s}"), vec![]),
        Err(Trouble::NotDone) => Put::No(Code::NoMajority, String::new(), vec![]),
        Err(Trouble::Undecided) => Put::No(Code::Undecided, "some disk may hold it".into(), vec![]),
    }
}

/// Sends a decided document to every node; true once none can act on an older one.
pub async fn carry(c: &Arc<Control>, name: &str, seq: u64, epoch: Epoch, raw: &Arc<Vec<u8>>) -> bool {
    c.book.adopt(name, seq, epoch, raw.to_vec());
    let t0 = c.w.now();
    let (tx, rx) = async_channel::unbounded::<(String, bool)>();
    c.members.all().into_iter().filter(|n| n.name != c.st.name).for_each(|n| {
        let (me, tx, raw, name) = (c.clone(), tx.clone(), raw.clone(), name.to_string());
        c.w.go(async move {
            let a = Ask::Adopt { name, seq, epoch };
            while me.w.now() < t0 + PUT_WAIT {
                match me.peers.ask(n.peer, &a, &raw, PEER_WAIT).await {
                    Ok((Tell::Adopted { seq: s }, _)) if s >= seq => {
                        let _ = tx.try_send((n.name.clone(), n.role == Role::Front));
                        return;
                    }
                    _ => me.w.sleep(50 * MS).await,
                }
            }
        });
    });
    if name != "config" {
        return true;
    }
    let lay = c.book.layout.load_full();
    let cores: Vec<_> = lay.1.core.now.iter().filter_map(|d| c.members.by_disk(d).map(|n| (d.clone(), n.peer))).collect();
    let (gx, gr) = async_channel::unbounded::<(String, Vec<(String, u64)>, u64)>();
    cores.into_iter().for_each(|(d, to)| {
        let (me, gx) = (c.clone(), gx.clone());
        c.w.go(async move {
            while me.w.now() < t0 + PUT_WAIT {
                let a = Ask::Grants { name: "config".into(), seq };
                let r = if to == me.st.peer {
                    Some(grants(&me, "config", seq).await)
                } else {
                    me.peers.ask(to, &a, &[], PEER_WAIT).await.ok().map(|x| x.0)
                };
                match r {
                    Some(Tell::Grants { seq: s, fronts }) if s >= seq => {
                        let _ = gx.try_send((d, fronts, me.w.now()));
                        return;
                    }
                    _ => me.w.sleep(30 * MS).await,
                }
            }
        });
    });
    let need = majority(lay.1.core.now.len());
    let fronts = c.book.config.load().1.fronts.clone();
    let (mut seen, mut owed, mut adopted, mut most_at) = (0, std::collections::BTreeMap::<String, u64>::new(), BTreeSet::new(), None);
    while c.w.now() < t0 + PUT_WAIT {
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
        let t = c.w.now();
        let most = fronts.is_empty() || fronts.iter().filter(|f| adopted.contains(*f)).count() >= majority(fronts.len());
        if most && most_at.is_none() {
            most_at = Some(t);
        }
        let quiet = owed.iter().all(|(f, u)| adopted.contains(f) || t > *u);
        let named = most_at.is_some_and(|m| t > m + SERVE_LEASE + 100 * MS || fronts.iter().all(|f| adopted.contains(f)));
        if seen >= need && most && quiet && named {
            return true;
        }
        c.w.sleep(5 * MS).await;
    }
    false
}
