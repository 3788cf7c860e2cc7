//! What the processes say to each other, and the links they say it over.

use crate::ask::{Ask, Tell};
use crate::consts::*;
use crate::frame_capnp::frame;
use crate::world::*;
use async_channel::Sender;
use capnp::message::ReaderOptions;
use futures_lite::AsyncWriteExt;
use futures_lite::io::BufReader;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug)]
pub struct Parcel {
    pub from: String,
    pub site: String,
    pub body: Vec<u8>,
    pub blob: Vec<u8>,
    pub version: u16,
}

impl Parcel {
    pub fn read<T: for<'a> Deserialize<'a>>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Lost {
    /// Nothing left this process.
    Unsent,
    /// It may have arrived and been acted on.
    Unknown,
}

pub trait Listener: Send + Sync {
    fn hear(self: Arc<Self>, p: Parcel) -> Fut<'static, (Vec<u8>, Vec<u8>)>;
}

#[derive(Default)]
pub struct Tally {
    pub sent: AtomicU64,
    pub bytes_within: AtomicU64,
    pub bytes_across: AtomicU64,
    /// Per kind of question: how many, bytes out, bytes of the answers back.
    pub kinds: Mutex<BTreeMap<&'static str, (u64, u64, u64)>>,
}

struct Link {
    out: Sender<Vec<u8>>,
    wait: Arc<Mutex<BTreeMap<u64, Sender<Parcel>>>>,
    /// us. When anything was last heard on it.
    heard: AtomicU64,
}

pub struct Peers {
    pub w: World,
    pub me: String,
    pub site: String,
    next: AtomicU64,
    links: Mutex<BTreeMap<SocketAddr, Arc<Link>>>,
    /// Site and newest frame version of each peer known.
    sites: Mutex<BTreeMap<SocketAddr, (String, u16)>>,
    speak: u16,
    /// Frames refused for a version we do not speak.
    pub odd: AtomicU64,
    pub tally: Tally,
}

pub fn pack(version: u16, id: u64, reply: bool, me: &str, site: &str, body: &[u8], blob: &[u8]) -> Vec<u8> {
    let words = (body.len() + blob.len() + me.len() + site.len()) / 8 + 24;
    let mut m = capnp::message::Builder::new(capnp::message::HeapAllocator::new().first_segment_words(words as u32));
    let mut f = m.init_root::<frame::Builder>();
    f.set_version(version);
    f.set_id(id);
    f.set_reply(reply);
    f.set_from(me);
    f.set_site(site);
    f.set_body(body);
    f.set_blob(blob);
    capnp::serialize::write_message_to_words(&m)
}

fn unpack(r: &capnp::message::Reader<capnp::serialize::OwnedSegments>, newest: u16) -> Option<(u64, bool, Parcel)> {
    let f = r.get_root::<frame::Reader>().ok()?;
    let p = Parcel {
        from: f.get_from().ok()?.to_string().ok()?,
        site: f.get_site().ok()?.to_string().ok()?,
        body: f.get_body().ok()?.to_vec(),
        blob: f.get_blob().ok()?.to_vec(),
        version: f.get_version(),
    };
    (WIRE_OLDEST..=newest).contains(&f.get_version()).then_some((f.get_id(), f.get_reply(), p))
}

fn limits() -> ReaderOptions {
    let mut o = ReaderOptions::new();
    o.traversal_limit_in_words(Some(FRAME_MAX / 8));
    o
}

impl Peers {
    pub fn new(w: &World, me: &str, site: &str, speak: u16) -> Arc<Peers> {
        Arc::new(Peers {
            w: w.clone(),
            me: me.into(),
            site: site.into(),
            next: AtomicU64::new(1),
            links: Default::default(),
            sites: Default::default(),
            speak,
            odd: AtomicU64::new(0),
            tally: Default::default(),
        })
    }

    pub fn learn(&self, a: SocketAddr, site: &str, wire: u16) {
        self.sites.lock().unwrap().insert(a, (site.into(), wire));
    }

    /// The version spoken with a peer; the oldest until it is known.
    pub fn version(&self, to: SocketAddr) -> u16 {
        self.sites.lock().unwrap().get(&to).map_or(WIRE_OLDEST, |s| s.1.min(self.speak))
    }

    fn count(&self, to: SocketAddr, n: usize) {
        let near = self.sites.lock().unwrap().get(&to).is_none_or(|s| s.0 == self.site);
        self.tally.sent.fetch_add(1, Relaxed);
        if near { &self.tally.bytes_within } else { &self.tally.bytes_across }.fetch_add(n as u64, Relaxed);
    }

    async fn link(self: &Arc<Self>, to: SocketAddr) -> Result<Arc<Link>, Lost> {
        if let Some(l) = self.links.lock().unwrap().get(&to) {
            return Ok(l.clone());
        }
        let c = self.w.dial(to, DIAL_WAIT).await.map_err(|_| Lost::Unsent)?;
        c.give_up_after(LINK_SILENT);
        let (tx, rx) = async_channel::bounded::<Vec<u8>>(1024);
        let mine = Arc::new(Link { out: tx, wait: Default::default(), heard: AtomicU64::new(self.w.now()) });
        let l = self.links.lock().unwrap().entry(to).or_insert_with(|| mine.clone()).clone();
        if Arc::ptr_eq(&l, &mine) {
            let (me, k, mut wr, mut rd) = (self.clone(), l.clone(), c.clone(), BufReader::with_capacity(LINK_READ, c));
            self.w.go(async move {
                let read = async {
                    while let Ok(Some(r)) = capnp_futures::serialize::try_read_message(&mut rd, limits()).await {
                        k.heard.store(me.w.now(), Relaxed);
                        unpack(&r, me.speak)
                            .filter(|(_, reply, _)| *reply)
                            .and_then(|(id, _, p)| k.wait.lock().unwrap().remove(&id).map(|s| s.try_send(p)));
                    }
                };
                let write = async {
                    while let Ok(b) = rx.recv().await {
                        if wr.write_all(&b).await.is_err() {
                            break;
                        }
                    }
                };
                futures_lite::future::or(read, write).await;
                let mut g = me.links.lock().unwrap();
                if g.get(&to).is_some_and(|x| Arc::ptr_eq(x, &k)) {
                    g.remove(&to);
                }
                drop(g);
                k.out.close();
                k.wait.lock().unwrap().clear();
            });
        }
        Ok(l)
    }

    /// The next question opens a connection of its own; what is under way on the old one may still be answered.
    fn leave_link(self: &Arc<Self>, to: SocketAddr, l: &Arc<Link>) {
        let mut g = self.links.lock().unwrap();
        if g.get(&to).is_some_and(|x| Arc::ptr_eq(x, l)) {
            g.remove(&to);
            let (w, l) = (self.w.clone(), l.clone());
            self.w.go(async move {
                w.sleep(LINK_SILENT).await;
                l.out.close();
            });
        }
    }

    async fn call(self: &Arc<Self>, to: SocketAddr, kind: &'static str, body: Vec<u8>, blob: &[u8], us: u64) -> Result<Parcel, Lost> {
        let fate = self.w.fate(to);
        let t0 = self.w.now();
        let l = self.link(to).await?;
        let id = self.next.fetch_add(1, Relaxed);
        let b = pack(self.version(to), id, false, &self.me, &self.site, &body, blob);
        let (tx, rx) = async_channel::bounded(1);
        l.wait.lock().unwrap().insert(id, tx);
        self.count(to, b.len());
        let size = b.len() as u64;
        let put = async {
            match fate {
                Fate::Lose => Ok(()),
                Fate::Pass => l.out.send(b).await,
                Fate::Twice => {
                    let _ = l.out.send(b.clone()).await;
                    l.out.send(b).await
                }
                Fate::Late(us) => {
                    self.w.sleep(us).await;
                    l.out.send(b).await
                }
            }
        };
        let left = us.saturating_sub(self.w.now() - t0);
        let r = self
            .w
            .within(left, async {
                put.await.map_err(|_| Lost::Unsent)?;
                rx.recv().await.map_err(|_| Lost::Unknown)
            })
            .await
            .unwrap_or(Err(Lost::Unknown));
        l.wait.lock().unwrap().remove(&id);
        // A machine that lost power says nothing, and a retry on the old connection could come seconds after its return.
        let t = self.w.now();
        if matches!(r, Err(Lost::Unknown)) && t >= t0 + LINK_DOUBT && l.heard.load(Relaxed) < t0 {
            self.leave_link(to, &l);
        }
        let back = r.as_ref().map(|p| (p.body.len() + p.blob.len()) as u64).unwrap_or(0);
        let mut g = self.tally.kinds.lock().unwrap();
        let e = g.entry(kind).or_default();
        *e = (e.0 + 1, e.1 + size, e.2 + back);
        drop(g);
        r
    }

    pub async fn ask(self: &Arc<Self>, to: SocketAddr, a: &Ask, blob: &[u8], us: u64) -> Result<(Tell, Vec<u8>), Lost> {
        let p = self.call(to, a.into(), serde_json::to_vec(a).unwrap_or_default(), blob, us).await?;
        p.read::<Tell>().map(|b| (b, p.blob)).ok_or(Lost::Unknown)
    }

    pub async fn serve(self: Arc<Self>, door: Box<dyn Door>, h: Arc<dyn Listener>) {
        loop {
            let Ok(c) = door.accept().await else {
                self.w.sleep(10 * MS).await;
                continue;
            };
            let (me, h) = (self.clone(), h.clone());
            self.w.go(async move { me.attend(c, h).await });
        }
    }

    async fn attend(self: Arc<Self>, c: Conn, h: Arc<dyn Listener>) {
        let (tx, rx) = async_channel::bounded::<Vec<u8>>(1024);
        c.give_up_after(LINK_SILENT);
        let (mut rd, mut wr) = (BufReader::with_capacity(LINK_READ, c.clone()), c);
        let read = async {
            while let Ok(Some(r)) = capnp_futures::serialize::try_read_message(&mut rd, limits()).await {
                let Some((id, false, p)) = unpack(&r, self.speak) else {
                    self.odd.fetch_add(1, Relaxed);
                    continue;
                };
                let (tx, h, me) = (tx.clone(), h.clone(), self.clone());
                self.w.go(async move {
                    let (near, v) = (p.site == me.site, p.version);
                    let (b, x) = h.hear(p).await;
                    let out = pack(v, id, true, &me.me, &me.site, &b, &x);
                    me.tally.sent.fetch_add(1, Relaxed);
                    if near { &me.tally.bytes_within } else { &me.tally.bytes_across }.fetch_add(out.len() as u64, Relaxed);
                    let _ = tx.send(out).await;
                });
            }
        };
        let write = async {
            while let Ok(b) = rx.recv().await {
                if wr.write_all(&b).await.is_err() {
                    break;
                }
            }
        };
        futures_lite::future::or(read, write).await;
    }
}
