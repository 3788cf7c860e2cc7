//! The one register: replicas that refuse older epochs, owners that take a key and change it.

use crate::ask::{Ask, Group, Layout, Tell};
use crate::book::DOCS;
use crate::consts::*;
use crate::vault::{Vault, shard_folder};
use crate::wire::Peers;
use crate::world::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

mod restore;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch {
    pub n: u64,
    pub by: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RegAsk {
    Promise {
        key: String,
        epoch: Epoch,
        lay: u64,
    },
    /// With `delta` the blob only says what changed since the version before.
    Accept {
        key: String,
        epoch: Epoch,
        seq: u64,
        lay: u64,
        #[serde(default)]
        delta: bool,
    },
    /// A value that a majority already holds, for a copy that may not vote.
    Fill {
        key: String,
        epoch: Epoch,
        seq: u64,
        lay: u64,
    },
    Confirm {
        key: String,
        epoch: Epoch,
        lay: u64,
    },
    /// What the copy holds; the value follows unless it is the version named.
    Look {
        key: String,
        lay: u64,
        have: (Epoch, u64),
    },
    /// Forgets an emptied key that all copies hold as emptied.
    Drop {
        key: String,
        epoch: Epoch,
        seq: u64,
        lay: u64,
    },
}

impl RegAsk {
    fn as_delta(&self) -> RegAsk {
        let mut a = self.clone();
        if let RegAsk::Accept { delta, .. } = &mut a {
            *delta = true;
        }
        a
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegTell {
    Promised {
        accepted: Epoch,
        seq: u64,
    },
    Accepted,
    Looked {
        accepted: Epoch,
        seq: u64,
    },
    Refused {
        promised: Epoch,
    },
    OldLayout,
    Damaged,
    /// Nothing is known of what the disk did with the request.
    Away,
    /// Another disk is at the address of the one that was asked; nothing was done.
    OtherDisk,
    /// The version that a change builds on is not here.
    NeedWhole,
}

#[derive(Clone, Debug, Default)]
pub struct Slot {
    pub promised: Epoch,
    pub accepted: Epoch,
    pub seq: u64,
    pub value: Arc<Vec<u8>>,
    ver: u64,
    damaged: bool,
}

#[derive(Serialize, Deserialize)]
struct Head {
    key: String,
    promised: Epoch,
    accepted: Epoch,
    seq: u64,
}

const SHARDS: usize = KEY_SHARDS;

/// Slots by the hash of their key.
type Shelf = BTreeMap<u128, (String, Slot)>;

pub struct Replica {
    w: World,
    pub vault: Arc<Vault>,
    shards: Vec<Arc<futures_util::lock::Mutex<Shelf>>>,
    /// Layouts older than this are refused.
    pub lay: AtomicU64,
}

fn at(key: &str) -> (u128, usize) {
    let h = crate::hash::wide(key.as_bytes());
    (h, (h % SHARDS as u128) as usize)
}

fn dir(shard: usize) -> String {
    shard_folder(shard)
}

/// A slot as it stands on the disk.
fn encode_slot(key: &str, slot: &Slot) -> Vec<u8> {
    let head = Head { key: key.into(), promised: slot.promised, accepted: slot.accepted, seq: slot.seq };
    let head = serde_json::to_vec(&head).unwrap_or_default();
    let mut body = (head.len() as u32).to_le_bytes().to_vec();
    body.extend(head);
    body.extend(slot.value.iter());
    body
}

impl Replica {
    pub async fn open(vault: &Arc<Vault>) -> io::Result<Arc<Replica>> {
        let w = vault.w.clone();
        let mut shards = vec![];
        for s in 0..SHARDS {
            let mut m = BTreeMap::new();
            for (n, ver, b) in vault.scan(&dir(s)).await? {
                let Ok(h) = u128::from_str_radix(&n, 16) else { continue };
                let x = b.and_then(|b| {
                    let n = u32::from_le_bytes(b.get(..4)?.try_into().ok()?) as usize;
                    let hd: Head = serde_json::from_slice(b.get(4..4 + n)?).ok()?;
                    Some((hd, b[4 + n..].to_vec()))
                });
                m.insert(
                    h,
                    x.map(|(hd, v)| {
                        let s = Slot { promised: hd.promised, accepted: hd.accepted, seq: hd.seq, value: Arc::new(v), ver, damaged: false };
                        (hd.key, s)
                    })
                    .unwrap_or((String::new(), Slot { ver, damaged: true, ..Default::default() })),
                );
            }
            shards.push(Arc::new(futures_util::lock::Mutex::new(m)));
        }
        Ok(Arc::new(Replica { w, vault: vault.clone(), shards, lay: AtomicU64::new(0) }))
    }

    pub async fn peek(&self, key: &str) -> Option<Slot> {
        let (h, s) = at(key);
        self.shards[s].lock().await.get(&h).filter(|x| !x.1.damaged).map(|x| x.1.clone())
    }

    /// Keys that this disk holds; `hurt` counts the damaged.
    pub async fn keys(&self) -> (Vec<String>, u64) {
        let (mut v, mut hurt) = (vec![], 0);
        for s in &self.shards {
            s.lock().await.values().for_each(|(k, x)| if x.damaged { hurt += 1 } else { v.push(k.clone()) });
        }
        v.sort();
        (v, hurt)
    }

    /// Whether the key's files are gone for good: an older version that came back would outrank the key's next life.
    async fn erase_files(&self, hash: u128, shard: usize) -> bool {
        let erased = self.vault.erase(&dir(shard), &format!("{hash:032x}")).await;
        erased.inspect_err(|e| self.vault.mark_failed(e)).is_ok()
    }

    /// Removes this disk's copy of a key.
    pub async fn forget(&self, key: &str) {
        let (h, s) = at(key);
        let mut g = self.shards[s].lock().await;
        if g.contains_key(&h) && self.erase_files(h, s).await {
            g.remove(&h);
        }
    }

    /// A write under way is never abandoned halfway: it runs on its own, and a slow disk only loses its vote.
    pub async fn hear(self: &Arc<Self>, a: RegAsk, blob: Vec<u8>) -> (RegTell, Vec<u8>) {
        if self.vault.failed.load(SeqCst) {
            return (RegTell::Away, vec![]);
        }
        let (tx, rx) = async_channel::bounded(1);
        let me = self.clone();
        self.w.go(async move {
            let _ = tx.try_send(me.act(a, blob).await);
        });
        self.w.within(SYNC_WAIT, rx.recv()).await.and_then(|r| r.ok()).unwrap_or((RegTell::Away, vec![]))
    }

    async fn act(&self, a: RegAsk, blob: Vec<u8>) -> (RegTell, Vec<u8>) {
        let (key, lay) = match &a {
            RegAsk::Promise { key, lay, .. }
            | RegAsk::Accept { key, lay, .. }
            | RegAsk::Fill { key, lay, .. }
            | RegAsk::Drop { key, lay, .. }
            | RegAsk::Look { key, lay, .. }
            | RegAsk::Confirm { key, lay, .. } => (key.clone(), *lay),
        };
        if lay < self.lay.load(SeqCst) {
            return (RegTell::OldLayout, vec![]);
        }
        let (h, s) = at(&key);
        let mut g = self.shards[s].lock().await;
        let x = g.get(&h).map(|x| x.1.clone()).unwrap_or_default();
        let mut n = x.clone();
        match a {
            RegAsk::Promise { epoch, .. } => {
                if x.damaged {
                    return (RegTell::Damaged, vec![]);
                }
                if epoch <= x.promised {
                    return (RegTell::Refused { promised: x.promised }, vec![]);
                }
                n.promised = epoch;
            }
            RegAsk::Accept { epoch, seq, delta, .. } => {
                if x.damaged {
                    return (RegTell::Damaged, vec![]);
                }
                // Only what was promised is accepted: a copy that forgot the key, or has begun its next life, knows nothing
                // of an owner from before, however high that one's epoch.
                if epoch != x.promised {
                    return (RegTell::Refused { promised: x.promised }, vec![]);
                }
                if epoch == x.accepted && seq <= x.seq {
                    return (RegTell::Accepted, vec![]);
                }
                let value = match delta {
                    false => Some(blob),
                    true => Some(&x).filter(|x| (x.accepted, x.seq + 1) == (epoch, seq)).and_then(|x| crate::delta::patch(&x.value, &blob)),
                };
                let Some(value) = value else { return (RegTell::NeedWhole, vec![]) };
                n = Slot { promised: epoch, accepted: epoch, seq, value: Arc::new(value), ver: x.ver, damaged: false };
            }
            RegAsk::Fill { epoch, seq, .. } => {
                if !x.damaged {
                    let r = if (epoch, seq) == (x.accepted, x.seq) { RegTell::Accepted } else { RegTell::Refused { promised: x.promised } };
                    return (r, vec![]);
                }
                n = Slot { promised: epoch, accepted: epoch, seq, value: Arc::new(blob), ver: x.ver, damaged: false };
            }
            RegAsk::Confirm { epoch, .. } => {
                let r = if x.promised == epoch && !x.damaged { RegTell::Accepted } else { RegTell::Refused { promised: x.promised } };
                return (r, vec![]);
            }
            RegAsk::Look { have, .. } => {
                if x.damaged {
                    return (RegTell::Damaged, vec![]);
                }
                let v = if have == (x.accepted, x.seq) { vec![] } else { x.value.to_vec() };
                return (RegTell::Looked { accepted: x.accepted, seq: x.seq }, v);
            }
            RegAsk::Drop { epoch, seq, .. } => {
                if x.promised == epoch && x.seq == seq && x.value.is_empty() && !x.damaged {
                    if !self.erase_files(h, s).await {
                        return (RegTell::Away, vec![]);
                    }
                    g.remove(&h);
                }
                return (RegTell::Accepted, vec![]);
            }
        }
        n.ver = x.ver + 1;
        let b = encode_slot(&key, &n);
        if self.vault.keep(&dir(s), &format!("{h:032x}"), n.ver, &b).await.is_err() {
            return (RegTell::Away, vec![]);
        }
        let promised = n.accepted == x.accepted && n.seq == x.seq;
        let r =
            if promised { (RegTell::Promised { accepted: n.accepted, seq: n.seq }, n.value.to_vec()) } else { (RegTell::Accepted, vec![]) };
        g.insert(h, (key, n));
        r
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Seat {
    pub disk: String,
    pub addr: Option<SocketAddr>,
}

impl Layout {
    /// Whether the disk is in a set that is in force, the old ones of a change under way among them.
    pub fn has_seat(&self, disk: &str) -> bool {
        [&self.core.now, &self.core.old, &self.store.now, &self.store.old].iter().any(|set| set.iter().any(|seat| seat == disk))
    }

    /// The disks that a key lives on: all core disks for the documents, three store disks for the rest.
    pub fn group(&self, key: &str) -> &Group {
        if DOCS.contains(&key) { &self.core } else { &self.store }
    }

    /// First choice first; no site holds two copies while another holds none. A disk of no known site counts as one
    /// of its own.
    pub fn spread<'a>(&self, key: &str, disks: &'a [String]) -> Vec<&'a str> {
        let all = crate::hash::ranked(key, disks.iter().map(|s| s.as_str()));
        if DOCS.contains(&key) {
            return all;
        }
        let site = |d: &str| self.sites.get(d).cloned().unwrap_or(d.into());
        let mut seen = std::collections::BTreeSet::new();
        let (first, rest): (Vec<&str>, Vec<&str>) = all.into_iter().partition(|d| seen.insert(site(d)));
        first.into_iter().chain(rest).take(STORE_COPIES).collect()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Copies {
    pub lay: u64,
    pub now: Vec<Seat>,
    pub old: Vec<Seat>,
}

pub fn majority(n: usize) -> usize {
    n / 2 + 1
}

impl Copies {
    /// The copies of a key among the group's disks.
    pub fn of(key: &str, l: &Layout, lay: u64, addr: impl Fn(&str) -> Option<SocketAddr>) -> Copies {
        let g = l.group(key);
        let pick = |ds: &[String]| -> Vec<Seat> { l.spread(key, ds).into_iter().map(|d| Seat { disk: d.into(), addr: addr(d) }).collect() };
        Copies { lay, now: pick(&g.now), old: pick(&g.old) }
    }

    pub fn all(&self) -> Vec<Seat> {
        let mut v = self.now.clone();
        v.extend(self.old.iter().filter(|s| !self.now.contains(s)).cloned());
        v
    }

    /// The same seats need no new promise, whatever the layout's number.
    fn same(&self, o: &Copies) -> bool {
        let ids = |v: &[Seat]| v.iter().map(|s| s.disk.clone()).collect::<std::collections::BTreeSet<_>>();
        ids(&self.now) == ids(&o.now) && ids(&self.old) == ids(&o.old)
    }

    pub fn quorum(&self, ok: impl Fn(&str) -> bool) -> bool {
        let most = |v: &[Seat]| v.iter().filter(|s| ok(&s.disk)).count() >= majority(v.len());
        !self.now.is_empty() && most(&self.now) && (self.old.is_empty() || most(&self.old))
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Nothing of the change can be on any disk.
    NotDone,
    /// Some disk may hold it.
    Undecided,
}

pub enum Step<R> {
    Keep(R),
    Write(Vec<u8>, R),
}

#[derive(Default)]
struct Held {
    epoch: Option<Epoch>,
    top: u64,
    copies: Copies,
    seq: u64,
    value: Arc<Vec<u8>>,
    used: u64,
}

/// Puts a request to the disk that is believed to be at the address. The answer of any other disk is no vote: a disk that
/// came back empty promises anything, and remembers nothing of what the lost one accepted.
async fn request(peers: &Arc<Peers>, to: SocketAddr, disk: &str, request: RegAsk, blob: &[u8]) -> (RegTell, Vec<u8>) {
    let named = peers.version(to) >= WIRE_NAMED_DISKS;
    let question = if named { Ask::Register { disk: disk.into(), request } } else { Ask::Reg(request) };
    match peers.ask(to, &question, blob, PEER_WAIT).await {
        Ok((Tell::Register { disk: from, reply }, value)) if from == disk => (reply, value),
        Ok((Tell::Register { .. } | Tell::OtherDisk { .. }, _)) => (RegTell::OtherDisk, vec![]),
        Ok((Tell::Reg(reply), value)) if !named => (reply, value),
        _ => (RegTell::Away, vec![]),
    }
}

type Place = Arc<dyn Fn(&str) -> Copies + Send + Sync>;

pub struct Owner {
    w: World,
    peers: Arc<Peers>,
    pub me: u64,
    replica: Arc<Replica>,
    place: Place,
    held: Vec<Mutex<BTreeMap<String, Arc<futures_util::lock::Mutex<Held>>>>>,
    pub takes: AtomicU64,
}

impl Owner {
    pub fn new(w: &World, peers: &Arc<Peers>, replica: &Arc<Replica>, place: Place) -> Arc<Owner> {
        Arc::new(Owner {
            w: w.clone(),
            peers: peers.clone(),
            me: w.rand() | 1,
            replica: replica.clone(),
            place,
            held: (0..SHARDS).map(|_| Default::default()).collect(),
            takes: AtomicU64::new(0),
        })
    }

    /// Sends each copy the question, with only the delta where there is one and the copy can use it.
    async fn ballot(
        &self,
        c: &Copies,
        a: RegAsk,
        blob: &Arc<Vec<u8>>,
        delta: Option<Arc<Vec<u8>>>,
    ) -> async_channel::Receiver<(String, RegTell, Vec<u8>)> {
        let fs = c
            .all()
            .into_iter()
            .map(|s| {
                let (p, r, a, b, d) = (self.peers.clone(), self.replica.clone(), a.clone(), blob.clone(), delta.clone());
                let f: Fut<'static, _> = Box::pin(async move {
                    if s.disk == r.vault.id {
                        let (t, v) = r.hear(a, b.to_vec()).await;
                        return (s.disk, t, v);
                    }
                    let Some(to) = s.addr else { return (s.disk, RegTell::Away, vec![]) };
                    let mut got = (RegTell::NeedWhole, vec![]);
                    if let Some(d) = d.filter(|_| p.version(to) >= WIRE_DELTAS) {
                        got = request(&p, to, &s.disk, a.as_delta(), &d).await;
                    }
                    if got.0 == RegTell::NeedWhole {
                        got = request(&p, to, &s.disk, a, &b).await;
                    }
                    (s.disk, got.0, got.1)
                });
                f
            })
            .collect();
        self.w.fan(fs)
    }

    /// Puts one question to all copies; `Ok` once both majorities said yes.
    async fn poll(
        &self,
        c: &Copies,
        a: RegAsk,
        blob: &Arc<Vec<u8>>,
        delta: Option<Arc<Vec<u8>>>,
    ) -> Result<Vec<(String, RegTell, Vec<u8>)>, Poll> {
        let rx = self.ballot(c, a, blob, delta).await;
        let (mut yes, mut p) = (vec![], Poll::default());
        for _ in 0..c.all().len() {
            let Ok((d, t, v)) = rx.recv().await else { break };
            match t {
                RegTell::Promised { .. } | RegTell::Accepted | RegTell::Looked { .. } => yes.push((d, t, v)),
                RegTell::Refused { promised } => {
                    p.top = p.top.max(promised.n);
                    p.refused += 1;
                }
                RegTell::Away => p.unsure += 1,
                RegTell::OldLayout | RegTell::OtherDisk => p.refused += 1,
                _ => p.hurt.push(d),
            }
            if c.quorum(|d| yes.iter().any(|y| y.0 == d)) {
                return Ok(yes);
            }
        }
        p.yes = yes.len();
        Err(p)
    }

    async fn take(&self, key: &str, h: &mut Held) -> Result<(), Poll> {
        let nth = self.takes.fetch_add(1, SeqCst);
        let c = (self.place)(key);
        // No two takes carry the same mark, whatever was forgotten between them.
        let e = Epoch { n: h.top + 1, by: self.me.wrapping_add(2 * nth) };
        h.epoch = None;
        h.top = e.n;
        let none = Arc::new(vec![]);
        let got = self.poll(&c, RegAsk::Promise { key: key.into(), epoch: e, lay: c.lay }, &none, None).await.inspect_err(|p| {
            h.top = h.top.max(p.top);
        })?;
        let best = got
            .into_iter()
            .filter_map(|(_, t, v)| match t {
                RegTell::Promised { accepted, seq } => Some((accepted, seq, v)),
                _ => None,
            })
            .max_by_key(|x| (x.0, x.1))
            .unwrap_or_default();
        h.seq = best.1;
        h.value = Arc::new(best.2);
        h.copies = c.clone();
        if best.0 != Epoch::default() {
            self.write(key, &c, e, h.seq, &h.value, None).await.inspect_err(|p| {
                h.top = h.top.max(p.top);
            })?;
        }
        h.epoch = Some(e);
        Ok(())
    }

    async fn write(
        &self,
        key: &str,
        c: &Copies,
        epoch: Epoch,
        seq: u64,
        v: &Arc<Vec<u8>>,
        delta: Option<Arc<Vec<u8>>>,
    ) -> Result<(), Poll> {
        self.poll(c, RegAsk::Accept { key: key.into(), epoch, seq, lay: c.lay, delta: false }, v, delta).await.map(|_| ())
    }

    /// `f` must give the same result when it is run again on a value that already has its change.
    pub async fn change<R>(&self, key: &str, us: u64, mut f: impl FnMut(u64, &[u8]) -> Step<R>) -> Result<R, Trouble> {
        let t0 = self.w.now();
        let cell = self.cell(key);
        let Some(mut h) = self.w.within(us, cell.lock_owned()).await else { return Err(Trouble::NotDone) };
        let mut bad = Trouble::NotDone;
        let mut first = true;
        while first || self.w.now() < t0 + us {
            if !first {
                self.w.sleep(5 * MS + self.w.rand() % (20 * MS)).await;
            }
            first = false;
            h.used = self.w.now();
            let fresh = h.epoch.is_none() || !h.copies.same(&(self.place)(key));
            if fresh && self.take(key, &mut h).await.is_err() {
                continue;
            }
            let Some(e) = h.epoch else { continue };
            let c = (self.place)(key);
            let none = Arc::new(vec![]);
            match f(h.seq, &h.value) {
                Step::Keep(r) => {
                    if fresh || self.poll(&c, RegAsk::Confirm { key: key.into(), epoch: e, lay: c.lay }, &none, None).await.is_ok() {
                        return Ok(r);
                    }
                    h.epoch = None;
                }
                Step::Write(v, r) => {
                    let v = Arc::new(v);
                    let d = crate::delta::diff(&h.value, &v);
                    let d = (2 * d.len() < v.len()).then(|| Arc::new(d));
                    // Whoever gives up waiting leaves no epoch behind under which half a write may stand.
                    h.epoch = None;
                    match self.write(key, &c, e, h.seq + 1, &v, d).await {
                        Ok(()) => {
                            h.epoch = Some(e);
                            h.seq += 1;
                            h.value = v;
                            return Ok(r);
                        }
                        Err(p) => {
                            h.top = h.top.max(p.top);
                            if p.yes + p.unsure > 0 {
                                bad = Trouble::Undecided;
                            }
                        }
                    }
                }
            }
        }
        Err(bad)
    }

    pub async fn read(&self, key: &str, us: u64) -> Result<(u64, Epoch, Arc<Vec<u8>>), Trouble> {
        self.change(key, us, |s, v| Step::Keep((s, Arc::new(v.to_vec())))).await.map(|(s, v)| {
            let e = self.cell(key).try_lock().and_then(|h| h.epoch).unwrap_or_default();
            (s, e, v)
        })
    }

    async fn ask_all(&self, key: &str) -> (Copies, Slot, async_channel::Receiver<(String, RegTell, Vec<u8>)>) {
        let c = (self.place)(key);
        let own = self.replica.peek(key).await.unwrap_or_default();
        let a = RegAsk::Look { key: key.into(), lay: c.lay, have: (own.accepted, own.seq) };
        let rx = self.ballot(&c, a, &Arc::new(vec![]), None).await;
        (c, own, rx)
    }

    /// What a majority of the copies holds alike, and none holds newer so far. Nothing is taken or written.
    async fn look(&self, key: &str) -> Option<(u64, Epoch, Arc<Vec<u8>>)> {
        let (c, own, rx) = self.ask_all(key).await;
        let mut got: Vec<(String, (Epoch, u64), Vec<u8>)> = vec![];
        for _ in 0..c.all().len() {
            let (d, t, v) = rx.recv().await.ok()?;
            if let RegTell::Looked { accepted, seq } = t {
                got.push((d, (accepted, seq), v));
            }
            let Some(best) = got.iter().map(|g| g.1).max() else { continue };
            if c.quorum(|d| got.iter().any(|g| g.0 == d && g.1 == best)) {
                let same = best == (own.accepted, own.seq);
                let v = if same { own.value.clone() } else { Arc::new(got.into_iter().find(|g| g.1 == best)?.2) };
                return Some((best.1, best.0, v));
            }
        }
        None
    }

    /// The newest decided value, by the cheapest way that proves it: a key that all hold alike is not taken. Copies differ for
    /// a moment while an owner writes; they are looked at again first, so that readers do not take the key from it.
    pub async fn newest(&self, key: &str, us: u64) -> Result<(u64, Epoch, Arc<Vec<u8>>), Trouble> {
        let looks_end = self.w.now() + us / 4;
        for nth in 0..READ_LOOKS {
            if nth > 0 {
                self.w.sleep(READ_LOOK_AGAIN + self.w.rand() % READ_LOOK_AGAIN).await;
            }
            if let Some(found) = self.w.within(us, self.look(key)).await.flatten() {
                return Ok(found);
            }
            if self.w.now() >= looks_end {
                break;
            }
        }
        self.read(key, us).await
    }

    /// Whether all copies, old and new, are there and hold the same.
    pub async fn uniform(&self, key: &str) -> bool {
        let (c, _, rx) = self.ask_all(key).await;
        let mut got = vec![];
        for _ in 0..c.all().len() {
            match rx.recv().await {
                Ok((_, RegTell::Looked { accepted, seq }, _)) => got.push((accepted, seq)),
                _ => return false,
            }
        }
        got.windows(2).all(|w| w[0] == w[1])
    }

    /// The value last known here, without proof that it is the newest.
    pub fn hint(&self, key: &str) -> Option<Arc<Vec<u8>>> {
        let c = self.held[at(key).1].lock().unwrap().get(key).cloned()?;
        c.try_lock().filter(|h| h.epoch.is_some()).map(|h| h.value.clone())
    }

    /// Empties a key for good: first on all copies, and only then do they forget it.
    pub async fn erase(&self, key: &str, over: impl Fn(&[u8]) -> bool) -> bool {
        let got =
            self.change(key, PEER_WAIT, |_, v| if v.is_empty() || !over(v) { Step::Keep(v.is_empty()) } else { Step::Write(vec![], true) });
        if got.await != Ok(true) || !self.tend(key).await {
            return false;
        }
        let cell = self.cell(key);
        let mut h = cell.lock().await;
        let Some(epoch) = h.epoch.take().filter(|_| h.value.is_empty()) else { return false };
        let c = (self.place)(key);
        let a = RegAsk::Drop { key: key.into(), epoch, seq: h.seq, lay: c.lay };
        self.poll(&c, a, &Arc::new(vec![]), None).await.is_ok()
    }

    pub fn holding(&self, prefix: &str) -> Vec<String> {
        self.held.iter().flat_map(|s| s.lock().unwrap().keys().filter(|k| k.starts_with(prefix)).cloned().collect::<Vec<_>>()).collect()
    }

    /// Brings every copy of the key to the newest value; true if all present seats have it on disk.
    /// A seat that is being left need not: it may be gone for good.
    pub async fn tend(&self, key: &str) -> bool {
        let cell = self.cell(key);
        let mut h = cell.lock().await;
        let c = (self.place)(key);
        if (h.epoch.is_none() || !h.copies.same(&c)) && self.take(key, &mut h).await.is_err() {
            return false;
        }
        let Some(e) = h.epoch else { return false };
        if h.seq == 0 {
            return true;
        }
        // An empty delta: a copy that already has the version says so, any other asks for the whole.
        let none = Some(Arc::new(vec![]));
        let rx = self.ballot(&c, RegAsk::Accept { key: key.into(), epoch: e, seq: h.seq, lay: c.lay, delta: false }, &h.value, none).await;
        let (mut yes, mut hurt) = (vec![], vec![]);
        for _ in 0..c.all().len() {
            match rx.recv().await {
                Ok((d, RegTell::Accepted, _)) => yes.push(d),
                Ok((d, RegTell::Damaged, _)) => hurt.push(d),
                Ok((_, RegTell::Refused { promised }, _)) => {
                    h.top = h.top.max(promised.n);
                    h.epoch = None;
                }
                _ => {}
            }
        }
        if !c.quorum(|d| yes.iter().any(|y| y == d)) {
            h.epoch = None;
            return false;
        }
        if !hurt.is_empty() {
            let some = Copies { lay: c.lay, now: c.all().into_iter().filter(|s| hurt.contains(&s.disk)).collect(), old: vec![] };
            let rx = self.ballot(&some, RegAsk::Fill { key: key.into(), epoch: e, seq: h.seq, lay: c.lay }, &h.value, None).await;
            for _ in 0..hurt.len() {
                if let Ok((d, RegTell::Accepted, _)) = rx.recv().await {
                    yes.push(d)
                }
            }
        }
        c.now.iter().all(|s| yes.contains(&s.disk))
    }

    fn cell(&self, key: &str) -> Arc<futures_util::lock::Mutex<Held>> {
        self.held[at(key).1].lock().unwrap().entry(key.into()).or_default().clone()
    }

    /// Forgets keys unused for a while, so that memory stays bounded.
    pub fn prune(&self) -> usize {
        let t = self.w.now();
        self.held
            .iter()
            .map(|s| {
                let mut g = s.lock().unwrap();
                g.retain(|_, h| Arc::strong_count(h) > 1 || h.try_lock().is_none_or(|x| t < x.used + HELD_IDLE));
                g.len()
            })
            .sum()
    }
}

#[derive(Default, Debug)]
struct Poll {
    top: u64,
    yes: usize,
    refused: usize,
    unsure: usize,
    hurt: Vec<String>,
}
