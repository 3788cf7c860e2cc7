//! A store's log: batches sealed and appended to segments, one sync a batch, whatever the number
//! that waited for it.

use crate::turn_store::TurnStore;
use async_channel::Receiver;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::{Relaxed, SeqCst};
use yewcross_common::constants::*;
use yewcross_common::storage::*;
use yewcross_common::turn_log::store_client::*;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Item {
    Turn(StoredTurn),
    /// Entries are added; the epoch is a promise where it is higher than the one before.
    Ledger(LedgerRecord, u64),
    /// This segment was found torn after so many bytes: what follows was never answered.
    Torn(u64, u64),
}

impl Item {
    pub fn bytes(&self) -> usize {
        match self {
            Item::Turn(r) => r.bytes(),
            Item::Ledger(l, _) => {
                64 + l.program.len() + l.entries.iter().map(|e| e.0.len() + 10).sum::<usize>()
            }
            Item::Torn(..) => 24,
        }
    }
}

#[derive(Default)]
pub struct Log {
    /// The segment written to, and the bytes in each.
    pub seg: u64,
    pub sizes: BTreeMap<u64, u64>,
    line: Vec<(Vec<Item>, async_channel::Sender<bool>)>,
    waiting: usize,
    busy: bool,
    /// us when the batch under way was begun.
    since: Option<u64>,
}

impl Log {
    pub fn new(seg: u64, sizes: BTreeMap<u64, u64>) -> Log {
        Log {
            seg,
            sizes,
            ..Default::default()
        }
    }

    /// Whether a batch is on its way to the disk.
    pub fn is_busy(&self) -> bool {
        self.busy
    }

    /// After a failed write: what waits is never answered.
    fn abandon(&mut self) {
        self.line.clear();
        self.waiting = 0;
        self.busy = false;
    }
}

pub const DIR: &str = CHAIN_FOLDER;

pub fn path(seg: u64) -> String {
    format!("{DIR}/s-{seg:016x}")
}

/// What is to be known of a folder of segments beside its items.
#[derive(Default)]
pub struct Found {
    pub sizes: BTreeMap<u64, u64>,
    /// Newly found torn ends.
    pub torn: Vec<(u64, u64)>,
    /// Damage to what had been answered.
    pub hurt: Vec<u64>,
}

/// Sealed bodies from the start, the bytes they take, and whether another one follows what is
/// broken.
fn bodies(b: &[u8]) -> (Vec<&[u8]>, usize, bool) {
    let (mut v, mut at) = (vec![], 0);
    while let Some((x, n)) = decode_first_frame(&b[at..]) {
        v.push(x);
        at += n;
    }
    let mark = DISK_FORMAT.to_le_bytes();
    let more = (at + 1..b.len())
        .any(|i| b[i..].starts_with(&mark) && decode_first_frame(&b[i..]).is_some());
    (v, at, more)
}

/// Hands over each item with its segment, one segment in memory at a time.
pub async fn read(
    w: &yewcross_common::runtime::Runtime,
    mut take: impl FnMut(&Item, u64),
) -> io::Result<Found> {
    let mut segs: Vec<u64> = w
        .list(DIR)
        .await?
        .iter()
        .filter_map(|f| u64::from_str_radix(f.strip_prefix("s-")?, 16).ok())
        .collect();
    segs.sort();
    if let Some(newest) = segs.last() {
        // A killed process may have left a batch unsynced: what is read here is answered for, so it
        // must outlast the power.
        w.sync(&path(*newest)).await?;
        w.sync(DIR).await?;
    }
    let mut f = Found::default();
    let (mut broken, mut known, mut last) = (vec![], vec![], None);
    for s in segs {
        let b = w.read_file(&path(s)).await?;
        let (v, n, more) = bodies(&b);
        f.sizes.insert(s, b.len() as u64);
        if n < b.len() {
            broken.push((s, n as u64, more));
        }
        if !v.is_empty() {
            last = Some(s);
        }
        for x in v {
            match decode::<Vec<Item>>(x) {
                Some(is) => is.into_iter().for_each(|i| match i {
                    Item::Torn(s, n) => known.push((s, n)),
                    i => take(&i, s),
                }),
                None => f.hurt.push(s),
            }
        }
    }
    for (s, n, more) in broken {
        // Only the last batch written can have been cut short before it was answered.
        if more || (last.is_some_and(|l| s < l) && !known.contains(&(s, n))) {
            f.hurt.push(s);
        } else if !known.contains(&(s, n)) {
            f.torn.push((s, n));
        }
    }
    Ok(f)
}

impl TurnStore {
    /// Queues items for the disk; `true` comes once they are safe. Called under the shelf's lock,
    /// where order matters.
    pub fn append(self: &Arc<Self>, items: Vec<Item>) -> Receiver<bool> {
        let (tx, rx) = async_channel::bounded(1);
        if self.storage.failed.load(SeqCst) {
            return rx;
        }
        let mut g = self.log.lock().unwrap();
        g.waiting += items.iter().map(Item::bytes).sum::<usize>();
        g.line.push((items, tx));
        if !std::mem::replace(&mut g.busy, true) {
            let me = self.clone();
            self.runtime.spawn(async move { me.write().await });
        }
        rx
    }

    /// Whether the disk has fallen too far behind to take more.
    pub fn is_saturated(&self) -> bool {
        let g = self.log.lock().unwrap();
        g.waiting > CHAIN_QUEUE || g.since.is_some_and(|t| self.runtime.now() > t + SYNC_WAIT)
    }

    /// Whether it is safe on the disk, as far as that is known within the time a disk has.
    pub async fn is_durable(&self, rx: Receiver<bool>) -> bool {
        self.runtime.timeout(SYNC_WAIT, rx.recv()).await == Some(Ok(true))
    }

    async fn write(self: Arc<Self>) {
        loop {
            let (line, seg) = {
                let mut g = self.log.lock().unwrap();
                if g.line.is_empty() {
                    g.busy = false;
                    return;
                }
                let at = g.seg;
                if g.sizes.get(&at).is_some_and(|n| *n >= SEGMENT) {
                    g.seg += 1;
                }
                (std::mem::take(&mut g.line), g.seg)
            };
            let items: Vec<&Item> = line.iter().flat_map(|x| &x.0).collect();
            let size: usize = items.iter().map(|i| i.bytes()).sum();
            let written = if items.is_empty() {
                Ok(())
            } else {
                let b = encode_frame(&encode(&items));
                let n = b.len() as u64;
                let new = {
                    let mut g = self.log.lock().unwrap();
                    g.since = Some(self.runtime.now());
                    !g.sizes.contains_key(&seg)
                };
                let r = self.runtime.append(&path(seg), b).await;
                self.log.lock().unwrap().since = None;
                self.storage.syncs.fetch_add(1 + new as u64, Relaxed);
                self.storage.bytes.fetch_add(n, Relaxed);
                self.counters.batches.fetch_add(1, Relaxed);
                self.counters.records.fetch_add(items.len() as u64, Relaxed);
                r.map(|()| {
                    *self.log.lock().unwrap().sizes.entry(seg).or_default() += n;
                })
            };
            if let Err(e) = written {
                self.storage.mark_failed(&e);
                self.log.lock().unwrap().abandon();
                return;
            }
            {
                let mut st = self.index.lock().unwrap();
                line.iter()
                    .flat_map(|x| &x.0)
                    .for_each(|i| st.apply(i, seg));
            }
            self.log.lock().unwrap().waiting -= size;
            line.iter().for_each(|x| _ = x.1.try_send(true));
        }
    }

    /// Rewrites what lives in the oldest segment and removes it, as long as the log is much larger
    /// than what lives.
    pub async fn compact(self: &Arc<Self>) {
        loop {
            let live = self.index.lock().unwrap().turn_bytes as u64;
            let (old, cur, total) = {
                let g = self.log.lock().unwrap();
                (
                    g.sizes.keys().next().cloned(),
                    g.seg,
                    g.sizes.values().sum::<u64>(),
                )
            };
            let Some(s) = old.filter(|s| *s < cur) else {
                return;
            };
            let items = {
                let mut g = self.index.lock().unwrap();
                if total <= live + live / 2 + SEGMENT_SLACK && g.needs_segment(s) {
                    return;
                }
                g.take_segment(s)
            };
            let mut part = vec![];
            let mut size = 0;
            let mut ok = true;
            let n = items.len();
            for (i, x) in items.into_iter().enumerate() {
                size += x.bytes();
                part.push(x);
                if size >= CHAIN_PUSH || i + 1 == n {
                    ok &= self.append(std::mem::take(&mut part)).recv().await == Ok(true);
                    size = 0;
                }
            }
            // Segments go for good in their order: the mark of a torn end stands in a later one
            // than the end itself.
            if !ok || self.runtime.remove(&path(s)).await.is_err() {
                return;
            }
            if let Err(e) = self.runtime.sync(DIR).await {
                return self.storage.mark_failed(&e);
            }
            self.log.lock().unwrap().sizes.remove(&s);
            self.counters.compacted.fetch_add(1, Relaxed);
        }
    }
}
