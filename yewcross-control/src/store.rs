//! Sessions, histories, once-only outcomes and budgets, each a key of the register. Changes only.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use yewcross::ask::*;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::reg::*;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    pub job: String,
    pub digest: String,
    pub nonce: u64,
    pub front: String,
    pub until: u64,
    pub max_out: u64,
    pub budget: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Mark {
    pub job: String,
    pub digest: String,
    pub nonce: u64,
    pub code: Code,
    pub used: u64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Head {
    pub epoch: u64,
    pub running: Option<Run>,
    #[serde(skip)]
    pub marks: VecDeque<Mark>,
    #[serde(skip)]
    pub kept: VecDeque<(String, String)>,
    pub kv: Kv,
    pub touched: u64,
    /// ms after `touched` until the record may be forgotten.
    #[serde(default)]
    pub keep: u64,
    /// Shots that may never begin any more.
    #[serde(default)]
    pub barred: VecDeque<u64>,
    /// Lines of bare ids.
    #[serde(default)]
    olds: usize,
}

/// One line for each thing that may change by itself, so that a change is a small delta of the value:
/// history, bare ids of jobs whose marks are gone, kept outcomes, marks, the rest.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub hist: Vec<u8>,
    /// Ids of jobs older than the marks, 16 hex digits each.
    pub old: Vec<u8>,
    pub head: Head,
}

fn bare(job: &str) -> String {
    format!("{:016x}", yewcross::hash::weigh(job, ""))
}

fn line(v: &mut Vec<u8>, x: &impl Serialize) {
    v.extend(serde_json::to_vec(x).unwrap_or_default());
    v.push(b'\n');
}

impl Record {
    pub fn read(v: &[u8]) -> Record {
        let mut lines = v.split_inclusive(|b| *b == b'\n').rev();
        let Some((mut head, marks, kept)) = lines.next().and_then(|l| serde_json::from_slice::<(Head, usize, usize)>(l).ok()) else {
            return Record::default();
        };
        let mut tail = v.len() - v.split_inclusive(|b| *b == b'\n').next_back().map_or(0, |l| l.len());
        (0..marks).for_each(|_| {
            let Some(l) = lines.next() else { return };
            tail -= l.len();
            serde_json::from_slice(l).into_iter().for_each(|m| head.marks.push_front(m));
        });
        (0..kept).for_each(|_| {
            let Some(l) = lines.next() else { return };
            tail -= l.len();
            serde_json::from_slice(l).into_iter().for_each(|m| head.kept.push_front(m));
        });
        let ids: usize = lines.by_ref().take(head.olds).map(|l| l.len()).sum();
        Record { hist: v[..tail - ids].to_vec(), old: v[tail - ids..tail].to_vec(), head }
    }
    pub fn write(&self) -> Vec<u8> {
        let mut v = self.hist.clone();
        v.extend(&self.old);
        let olds = self.old.iter().filter(|b| **b == b'\n').count();
        self.head.kept.iter().for_each(|k| line(&mut v, k));
        self.head.marks.iter().for_each(|m| line(&mut v, m));
        line(&mut v, &(&Head { olds, ..self.head.clone() }, self.head.marks.len(), self.head.kept.len()));
        v
    }
    fn close(&mut self, code: Code, used: u64) -> Option<Run> {
        self.head.running.take().inspect(|r| {
            self.head.marks.push_back(Mark { job: r.job.clone(), digest: r.digest.clone(), nonce: r.nonce, code, used });
            while self.head.marks.len() > MARKS_KEPT {
                let m = self.head.marks.pop_front();
                m.iter().for_each(|m| grow(&mut self.old, &bare(&m.job)));
            }
        })
    }
}

/// Ids stand in lines of a fixed length, so that a change stays a small delta.
fn grow(old: &mut Vec<u8>, id: &str) {
    let last = old.split_inclusive(|b| *b == b'\n').next_back().map_or(0, |l| l.len());
    if last > 0 && last <= 16 * OLD_LINE {
        old.pop();
    }
    old.extend(id.as_bytes());
    old.push(b'\n');
}

impl Record {
    fn ran_before(&self, job: &str) -> bool {
        let id = bare(job);
        self.old.split(|b| *b == b'\n').any(|l| l.chunks(16).any(|x| x == id.as_bytes()))
    }
    fn full(&self) -> bool {
        self.old.len() >= 17 * OLD_KEPT
    }
    fn bar(&mut self, nonce: u64) {
        self.head.barred.push_back(nonce);
        while self.head.barred.len() > BARS_KEPT {
            self.head.barred.pop_front();
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Open {
    pub amount: u64,
    pub key: String,
    pub job: String,
    pub nonce: u64,
    pub at: u64,
    #[serde(default)]
    pub keep: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Purse {
    pub spent: u64,
    pub open: BTreeMap<String, Open>,
    pub recent: VecDeque<String>,
}

impl Purse {
    pub fn read(v: &[u8]) -> Purse {
        let mut p = Purse::default();
        v.split(|b| *b == b'\n').for_each(|l| match serde_json::from_slice::<PurseLine>(l) {
            Ok(PurseLine::Open(e, o)) => {
                p.open.insert(e, o);
            }
            Ok(PurseLine::Settled(e)) => p.recent.push_back(e),
            Ok(PurseLine::Spent(n)) => p.spent = n,
            Err(_) => {}
        });
        p
    }
    fn write(&self) -> Vec<u8> {
        let mut v = vec![];
        self.recent.iter().for_each(|e| line(&mut v, &PurseLine::Settled(e.clone())));
        self.open.iter().for_each(|(e, o)| line(&mut v, &PurseLine::Open(e.clone(), o.clone())));
        line(&mut v, &PurseLine::Spent(self.spent));
        v
    }
}

#[derive(Serialize, Deserialize)]
enum PurseLine {
    Settled(String),
    Open(String, Open),
    Spent(u64),
}

#[allow(clippy::large_enum_variant)]
enum Pre {
    Go(Begun, Vec<u8>, Option<Run>),
    Kept(Code, String),
    No(Code),
}

pub struct Store {
    pub owner: Arc<Owner>,
    pub members: Arc<yewcross::member::Members>,
    pub w: yewcross::world::World,
    /// Asks the owner of another key.
    pub route: Arc<dyn Fn(String, Ask) -> yewcross::world::Fut<'static, Option<Tell>> + Send + Sync>,
}

fn entry(b: &Begin) -> String {
    format!("{}|{}|{}", b.key, b.job, b.nonce)
}

pub fn purse_key(budget: &str) -> String {
    format!("budget/{budget}")
}

impl Store {
    /// Several clocks' middle one: a single clock that is far off closes no run and erases no record.
    pub fn wall(&self) -> u64 {
        self.members.clock().0
    }

    pub async fn begin(self: &Arc<Self>, b: Begin) -> (Tell, Vec<u8>) {
        let seen = self.owner.hint(&b.key).is_some_and(|v| {
            let r = Record::read(&v);
            r.head.marks.iter().any(|m| m.job == b.job) || r.head.running.as_ref().is_some_and(|x| self.wall() < x.until)
        });
        let mut reserve = b.budget.clone().filter(|_| !seen);
        if let Some((name, limit)) = reserve.clone() {
            let a = Ask::Reserve {
                budget: name.clone(),
                entry: entry(&b),
                amount: b.max_out,
                limit,
                key: b.key.clone(),
                job: b.job.clone(),
                nonce: b.nonce,
                keep: b.keep,
            };
            match (self.route)(purse_key(&name), a).await {
                Some(Tell::Ok) => {}
                // Given back already: this shot may be looked at, and not begun.
                Some(Tell::No(Code::Conflict)) => reserve = None,
                Some(Tell::No(c)) => return (Tell::No(c), vec![]),
                _ => return (Tell::No(Code::StoreAway), vec![]),
            }
        }
        let wall = self.wall();
        let got = self
            .owner
            .change(&b.key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                if let Some(m) = r.head.marks.iter().find(|m| m.job == b.job) {
                    if m.digest != b.digest {
                        return Step::Keep(Pre::No(Code::OtherBody));
                    }
                    let kept = r.head.kept.iter().find(|k| k.0 == b.job).map(|k| k.1.clone());
                    return Step::Keep(match (m.code, kept) {
                        (Code::Done, Some(k)) => Pre::Kept(m.code, k),
                        (Code::Done, None) => Pre::No(Code::Forgotten),
                        (c, _) => Pre::No(c),
                    });
                }
                if r.head.barred.contains(&b.nonce) {
                    return Step::Keep(Pre::No(Code::StoreAway));
                }
                if r.ran_before(&b.job) {
                    return Step::Keep(Pre::No(Code::Forgotten));
                }
                let mut closed = None;
                if let Some(x) = &r.head.running {
                    if x.job == b.job && x.digest != b.digest {
                        return Step::Keep(Pre::No(Code::OtherBody));
                    }
                    if x.nonce == b.nonce && x.job == b.job {
                        let g = Begun { epoch: r.head.epoch, kv: r.head.kv.clone(), hist: r.hist.len() as u64, whole: true };
                        return Step::Keep(Pre::Go(g, r.hist, None));
                    }
                    if wall < x.until {
                        return Step::Keep(Pre::No(if x.job == b.job { Code::StillRunning } else { Code::SessionBusy }));
                    }
                    let (same, used) = (x.job == b.job, x.max_out);
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
                r.head.keep = b.keep.min(KEEP_MAX);
                r.head.running = Some(Run {
                    job: b.job.clone(),
                    digest: b.digest.clone(),
                    nonce: b.nonce,
                    front: b.front.clone(),
                    until: wall + b.left.min(HORIZON_MAX) + RUN_GRACE / MS,
                    max_out: b.max_out,
                    budget: b.budget.as_ref().map(|x| x.0.clone()),
                });
                let g = Begun { epoch: r.head.epoch, kv: r.head.kv.clone(), hist: r.hist.len() as u64, whole: true };
                Step::Write(r.write(), Pre::Go(g, r.hist, closed))
            })
            .await;
        let free = |me: &Arc<Self>| {
            reserve.iter().for_each(|(n, _)| me.settle_soon(n, entry(&b), Some(0)));
        };
        match got {
            Ok(Pre::Go(mut g, hist, closed)) => {
                closed.into_iter().for_each(|x| {
                    let e = format!("{}|{}|{}", b.key, x.job, x.nonce);
                    x.budget.iter().for_each(|n| self.settle_soon(n, e.clone(), None));
                });
                let same = b.hand.as_ref().is_some_and(|(n, d)| *n == hist.len() as u64 && *d == yewcross::hash::mark(&hist));
                g.whole = !same;
                (Tell::Begun(g), if same { vec![] } else { hist })
            }
            Ok(Pre::Kept(code, k)) => {
                free(self);
                (Tell::Kept { code }, k.into_bytes())
            }
            // The front may ask again with this very shot: it keeps its reservation until it is barred.
            Ok(Pre::No(Code::StoreAway)) | Err(Trouble::NotDone) => (Tell::No(Code::StoreAway), vec![]),
            Ok(Pre::No(c)) => {
                free(self);
                (Tell::No(c), vec![])
            }
            Err(Trouble::Undecided) => (Tell::No(Code::Undecided), vec![]),
        }
    }

    pub async fn commit(self: &Arc<Self>, c: Commit, blob: Vec<u8>) -> Tell {
        let n = (c.hist as usize).min(blob.len());
        let (line, kept) = (blob[..n].to_vec(), String::from_utf8_lossy(&blob[n..]).into_owned());
        let got = self
            .owner
            .change(&c.key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                if let Some(m) = r.head.marks.iter().find(|m| m.job == c.job) {
                    return Step::Keep((m.nonce == c.nonce && m.code == c.code).then_some(None));
                }
                if r.head.epoch != c.epoch || r.head.running.as_ref().is_none_or(|x| x.nonce != c.nonce || x.job != c.job) {
                    return Step::Keep(None);
                }
                let run = r.close(c.code, c.used);
                r.hist.extend(&line);
                c.rule.trim(&mut r.hist);
                if !kept.is_empty() {
                    r.head.kept.push_back((c.job.clone(), kept.clone()));
                    while r.head.kept.len() > OUTCOMES_KEPT {
                        r.head.kept.pop_front();
                    }
                }
                r.head.kv = c.kv.clone();
                Step::Write(r.write(), Some(run.and_then(|x| x.budget)))
            })
            .await;
        match got {
            Ok(Some(b)) => {
                b.into_iter().for_each(|n| self.settle_soon(&n, format!("{}|{}|{}", c.key, c.job, c.nonce), Some(c.used)));
                Tell::Committed
            }
            Ok(None) => Tell::No(Code::MayHaveRun),
            Err(Trouble::NotDone) => Tell::No(Code::StoreAway),
            Err(Trouble::Undecided) => Tell::No(Code::Undecided),
        }
    }

    /// This shot will never be dispatched: as if it had not begun, and it never can begin any more. Only then is its
    /// reservation given back.
    pub async fn abort(self: &Arc<Self>, key: &str, job: &str, nonce: u64, budget: Option<String>) -> Tell {
        let wall = self.wall();
        let got = self
            .owner
            .change(key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                if r.head.marks.iter().any(|m| m.job == job && m.nonce == nonce) || r.ran_before(job) {
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
                budget.iter().for_each(|n| self.settle_soon(n, format!("{key}|{job}|{nonce}"), Some(0)));
                Tell::Ok
            }
            Ok(false) => Tell::No(Code::Conflict),
            Err(_) => Tell::No(Code::Undecided),
        }
    }

    pub async fn note(&self, key: &str, epoch: u64, kv: Kv) -> Tell {
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
        if got == Ok(true) { Tell::Ok } else { Tell::No(Code::Conflict) }
    }

    /// The session is over: history and transfer state go, marks and kept outcomes stay.
    pub async fn end(&self, key: &str) -> Tell {
        let got = self
            .owner
            .change(key, PEER_WAIT, |_, v| {
                let mut r = Record::read(v);
                if r.head.running.is_some() {
                    return Step::Keep(Err(Code::SessionBusy));
                }
                let kv = std::mem::take(&mut r.head.kv);
                if v.is_empty() || (r.hist.is_empty() && kv == Kv::default()) {
                    return Step::Keep(Ok(kv));
                }
                r.hist.clear();
                r.head.epoch += 1;
                Step::Write(r.write(), Ok(kv))
            })
            .await;
        match got {
            Ok(Ok(kv)) => Tell::Ended { kv },
            Ok(Err(c)) => Tell::No(c),
            Err(Trouble::NotDone) => Tell::No(Code::StoreAway),
            Err(Trouble::Undecided) => Tell::No(Code::Undecided),
        }
    }

    /// Whether a stored session has outlived its keeping time.
    pub fn outlived(&self, v: &[u8]) -> bool {
        let h = Record::read(v).head;
        let (wall, sure) = self.members.clock();
        h.keep > 0 && h.running.is_none() && sure && wall > h.touched + h.keep
    }

    pub async fn expire(&self, key: &str) -> Tell {
        if self.owner.erase(key, |v| self.outlived(v)).await { Tell::Ok } else { Tell::No(Code::Undecided) }
    }

    pub async fn reserve(&self, budget: &str, e: &str, o: Open, limit: u64) -> Tell {
        let got = self
            .owner
            .change(&purse_key(budget), PEER_WAIT, |_, v| {
                let mut p = Purse::read(v);
                if p.open.contains_key(e) {
                    return Step::Keep(Tell::Ok);
                }
                if p.recent.iter().any(|x| x == e) {
                    return Step::Keep(Tell::No(Code::Conflict));
                }
                let held = p.open.values().fold(0u64, |n, o| n.saturating_add(o.amount));
                if p.spent.saturating_add(held) >= limit {
                    return Step::Keep(Tell::No(Code::BudgetSpent));
                }
                p.open.insert(e.into(), o.clone());
                Step::Write(p.write(), Tell::Ok)
            })
            .await;
        got.unwrap_or(Tell::No(Code::StoreAway))
    }

    pub async fn settle(&self, budget: &str, e: &str, used: Option<u64>) -> Tell {
        let got = self
            .owner
            .change(&purse_key(budget), PEER_WAIT, |_, v| {
                let mut p = Purse::read(v);
                match p.open.remove(e) {
                    None => Step::Keep(()),
                    Some(o) => {
                        p.spent = p.spent.saturating_add(used.unwrap_or(o.amount).min(o.amount));
                        p.recent.push_back(e.into());
                        while p.recent.len() > 256 {
                            p.recent.pop_front();
                        }
                        Step::Write(p.write(), ())
                    }
                }
            })
            .await;
        got.map(|_| Tell::Ok).unwrap_or(Tell::No(Code::Undecided))
    }

    /// Until this is through, the reservation counts in full.
    fn settle_soon(self: &Arc<Self>, budget: &str, entry: String, used: Option<u64>) {
        let (me, b) = (self.clone(), budget.to_string());
        self.w.go(async move {
            let a = Ask::Settle { budget: b.clone(), entry, used };
            for i in 0..4u64 {
                if let Some(Tell::Ok) = (me.route)(purse_key(&b), a.clone()).await {
                    return;
                }
                me.w.sleep((100 << i) * MS).await;
            }
        });
    }

    /// Settles reservations whose front is silent: at the real figure if it was kept, in full if not.
    pub async fn audit(self: &Arc<Self>, budget: &str) {
        let Some(v) = self.owner.hint(&purse_key(budget)) else { return };
        let wall = self.wall();
        for (e, o) in Purse::read(&v).open.into_iter().filter(|x| wall > x.1.at + AUDIT_AFTER) {
            let Some(Tell::Look { open, done }) = (self.route)(o.key.clone(), Ask::Look { key: o.key.clone() }).await else { continue };
            if open.iter().any(|x| x.0 == o.job && x.1 == o.nonce) {
                continue;
            }
            let mut used = done.iter().find(|x| x.0 == o.job && x.1 == o.nonce).map(|x| x.2);
            // Never begun, as far as the record tells, and the record cannot have been forgotten since: once it is
            // barred it never will be.
            if used.is_none() && wall < o.at.saturating_add(o.keep) {
                let a = Ask::Abort { key: o.key.clone(), job: o.job.clone(), nonce: o.nonce, budget: None };
                match (self.route)(o.key.clone(), a).await {
                    Some(Tell::Ok) => used = Some(0),
                    Some(Tell::No(Code::Conflict)) => {}
                    _ => continue,
                }
            }
            self.settle(budget, &e, used).await;
        }
    }

    pub async fn look(&self, key: &str) -> Tell {
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
                let open = r.head.running.iter().map(|x| (x.job.clone(), x.nonce)).collect();
                let done = r.head.marks.iter().map(|m| (m.job.clone(), m.nonce, m.used)).collect();
                let t = Tell::Look { open, done };
                if late { Step::Write(r.write(), t) } else { Step::Keep(t) }
            })
            .await;
        got.unwrap_or(Tell::No(Code::StoreAway))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use yewcross::tree::Rule;

    #[test]
    fn histories_are_trimmed_by_their_rule() {
        let h = b"aaaaaaa\nbbbbbbb\nccccccc\n".to_vec();
        let cut = |r: Rule| {
            let mut x = h.clone();
            r.trim(&mut x);
            x.len()
        };
        assert_eq!(
            [cut(Rule::All), cut(Rule::Turns(2)), cut(Rule::Turns(9)), cut(Rule::Tokens(4)), cut(Rule::Tokens(1))],
            [24, 16, 24, 16, 8]
        );
        let m = |j: &str| Mark { job: j.into(), digest: "d".into(), nonce: 1, code: Code::Done, used: 3 };
        let mut r = Record { hist: h.clone(), old: vec![], head: Head { epoch: 7, ..Default::default() } };
        r.head.marks.extend([m("a"), m("b")]);
        r.head.kept.push_back(("b".into(), "x\ny".into()));
        let b = Record::read(&r.write());
        assert_eq!((b.hist, b.head.epoch, b.head.kept), (h, 7, r.head.kept));
        assert_eq!(b.head.marks.iter().map(|m| m.job.as_str()).collect::<Vec<_>>(), ["a", "b"]);
        assert_eq!(Record::read(&[]).head.epoch, 0);
    }

    #[test]
    fn every_id_of_a_session_is_remembered_and_costs_a_small_delta() {
        let mut r = Record { hist: b"one\ntwo\n".to_vec(), ..Default::default() };
        let run =
            |i: usize| Run { job: format!("j{i}"), digest: "d".into(), nonce: 1, front: "f".into(), until: 0, max_out: 0, budget: None };
        (0..MARKS_KEPT + 200).for_each(|i| {
            r.head.running = Some(run(i));
            r.close(Code::Done, 1);
        });
        let was = r.write();
        let mut b = Record::read(&was);
        assert_eq!((b.hist.as_slice(), b.head.marks.len(), b.old.len()), (&b"one\ntwo\n"[..], MARKS_KEPT, 200 * 16 + 4));
        assert!((0..200).all(|i| b.ran_before(&format!("j{i}"))) && !b.ran_before("j200") && !b.ran_before("never"));
        b.head.running = Some(run(5000));
        b.close(Code::Done, 1);
        let d = yewcross::delta::diff(&was, &b.write()).len();
        assert!(d < 2000, "{d}");
        b.old = vec![b'0'; 17 * OLD_KEPT];
        assert!(b.full());
    }
}
