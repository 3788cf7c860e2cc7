//! What the processes say to each other, and the links they say it over.

#[allow(clippy::all, dead_code, unused)]
#[rustfmt::skip]
pub mod frame_capnp;

use crate::constants::*;
use crate::protocol::{PeerRequest, PeerResponse};
use crate::runtime::*;
use crate::transport::frame_capnp::frame;
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
pub struct Envelope {
    pub from: String,
    pub site: String,
    pub message: Vec<u8>,
    pub payload: Vec<u8>,
    pub version: u16,
}

impl Envelope {
    pub fn decode<T: for<'a> Deserialize<'a>>(&self) -> Option<T> {
        serde_json::from_slice(&self.message).ok()
    }
}

#[derive(Debug, Clone, PartialEq)]
pub enum SendError {
    /// Nothing left this process.
    NotSent,
    /// It may have arrived and been acted on.
    OutcomeUnknown,
}

pub trait RequestHandler: Send + Sync {
    fn handle(self: Arc<Self>, p: Envelope) -> BoxFuture<'static, (Vec<u8>, Vec<u8>)>;
}

#[derive(Default)]
pub struct TransportMetrics {
    pub sent: AtomicU64,
    pub bytes_within: AtomicU64,
    pub bytes_across: AtomicU64,
    /// Per kind of question: how many, bytes out, bytes of the answers back.
    pub kinds: Mutex<BTreeMap<&'static str, (u64, u64, u64)>>,
}

struct PeerConnection {
    out: Sender<Vec<u8>>,
    wait: Arc<Mutex<BTreeMap<u64, Sender<Envelope>>>>,
    /// us. When anything was last heard on it.
    heard: AtomicU64,
}

pub struct PeerClient {
    pub runtime: Runtime,
    pub own_name: String,
    pub site: String,
    next: AtomicU64,
    connections: Mutex<BTreeMap<SocketAddr, Arc<PeerConnection>>>,
    /// Site and newest frame version of each peer known.
    sites: Mutex<BTreeMap<SocketAddr, (String, u16)>>,
    newest_version: u16,
    /// Frames refused for a version we do not speak.
    pub rejected_frames: AtomicU64,
    pub metrics: TransportMetrics,
}

pub fn pack(
    version: u16,
    id: u64,
    reply: bool,
    me: &str,
    site: &str,
    body: &[u8],
    blob: &[u8],
) -> Vec<u8> {
    let words = (body.len() + blob.len() + me.len() + site.len()) / 8 + 24;
    let mut m = capnp::message::Builder::new(
        capnp::message::HeapAllocator::new().first_segment_words(words as u32),
    );
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

fn unpack(
    r: &capnp::message::Reader<capnp::serialize::OwnedSegments>,
    newest: u16,
) -> Option<(u64, bool, Envelope)> {
    let f = r.get_root::<frame::Reader>().ok()?;
    let p = Envelope {
        from: f.get_from().ok()?.to_string().ok()?,
        site: f.get_site().ok()?.to_string().ok()?,
        message: f.get_body().ok()?.to_vec(),
        payload: f.get_blob().ok()?.to_vec(),
        version: f.get_version(),
    };
    (WIRE_OLDEST..=newest)
        .contains(&f.get_version())
        .then_some((f.get_id(), f.get_reply(), p))
}

fn limits() -> ReaderOptions {
    let mut o = ReaderOptions::new();
    o.traversal_limit_in_words(Some(FRAME_MAX / 8));
    o
}

impl PeerClient {
    pub fn new(runtime: &Runtime, me: &str, site: &str, speak: u16) -> Arc<PeerClient> {
        Arc::new(PeerClient {
            runtime: runtime.clone(),
            own_name: me.into(),
            site: site.into(),
            next: AtomicU64::new(1),
            connections: Default::default(),
            sites: Default::default(),
            newest_version: speak,
            rejected_frames: AtomicU64::new(0),
            metrics: Default::default(),
        })
    }

    pub fn record_peer(&self, a: SocketAddr, site: &str, wire: u16) {
        self.sites.lock().unwrap().insert(a, (site.into(), wire));
    }

    /// The version spoken with a peer; the oldest until it is known.
    pub fn version(&self, to: SocketAddr) -> u16 {
        self.sites
            .lock()
            .unwrap()
            .get(&to)
            .map_or(WIRE_OLDEST, |s| s.1.min(self.newest_version))
    }

    fn count(&self, to: SocketAddr, n: usize) {
        let near = self
            .sites
            .lock()
            .unwrap()
            .get(&to)
            .is_none_or(|s| s.0 == self.site);
        self.metrics.sent.fetch_add(1, Relaxed);
        if near {
            &self.metrics.bytes_within
        } else {
            &self.metrics.bytes_across
        }
        .fetch_add(n as u64, Relaxed);
    }

    async fn link(self: &Arc<Self>, to: SocketAddr) -> Result<Arc<PeerConnection>, SendError> {
        if let Some(l) = self.connections.lock().unwrap().get(&to) {
            return Ok(l.clone());
        }
        let c = self
            .runtime
            .connect_within(to, DIAL_WAIT)
            .await
            .map_err(|_| SendError::NotSent)?;
        c.set_send_timeout(LINK_SILENT);
        let (tx, rx) = async_channel::bounded::<Vec<u8>>(1024);
        let mine = Arc::new(PeerConnection {
            out: tx,
            wait: Default::default(),
            heard: AtomicU64::new(self.runtime.now()),
        });
        let l = self
            .connections
            .lock()
            .unwrap()
            .entry(to)
            .or_insert_with(|| mine.clone())
            .clone();
        if Arc::ptr_eq(&l, &mine) {
            let (me, k, mut wr, mut rd) = (
                self.clone(),
                l.clone(),
                c.clone(),
                BufReader::with_capacity(LINK_READ, c),
            );
            self.runtime.spawn(async move {
                let read = async {
                    while let Ok(Some(r)) =
                        capnp_futures::serialize::try_read_message(&mut rd, limits()).await
                    {
                        k.heard.store(me.runtime.now(), Relaxed);
                        unpack(&r, me.newest_version)
                            .filter(|(_, reply, _)| *reply)
                            .and_then(|(id, _, p)| {
                                k.wait.lock().unwrap().remove(&id).map(|s| s.try_send(p))
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
                let mut g = me.connections.lock().unwrap();
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

    /// The next question opens a connection of its own; what is under way on the old one may still
    /// be answered.
    fn leave_link(self: &Arc<Self>, to: SocketAddr, l: &Arc<PeerConnection>) {
        let mut g = self.connections.lock().unwrap();
        if g.get(&to).is_some_and(|x| Arc::ptr_eq(x, l)) {
            g.remove(&to);
            let (w, l) = (self.runtime.clone(), l.clone());
            self.runtime.spawn(async move {
                w.sleep(LINK_SILENT).await;
                l.out.close();
            });
        }
    }

    async fn exchange(
        self: &Arc<Self>,
        to: SocketAddr,
        kind: &'static str,
        body: Vec<u8>,
        blob: &[u8],
        us: u64,
    ) -> Result<Envelope, SendError> {
        let fate = self.runtime.frame_fault(to);
        let t0 = self.runtime.now();
        let l = self.link(to).await?;
        let id = self.next.fetch_add(1, Relaxed);
        let b = pack(
            self.version(to),
            id,
            false,
            &self.own_name,
            &self.site,
            &body,
            blob,
        );
        let (tx, rx) = async_channel::bounded(1);
        l.wait.lock().unwrap().insert(id, tx);
        self.count(to, b.len());
        let size = b.len() as u64;
        let put = async {
            match fate {
                FrameFault::Drop => Ok(()),
                FrameFault::Deliver => l.out.send(b).await,
                FrameFault::Duplicate => {
                    let _ = l.out.send(b.clone()).await;
                    l.out.send(b).await
                }
                FrameFault::Delay(us) => {
                    self.runtime.sleep(us).await;
                    l.out.send(b).await
                }
            }
        };
        let left = us.saturating_sub(self.runtime.now() - t0);
        let r = self
            .runtime
            .timeout(left, async {
                put.await.map_err(|_| SendError::NotSent)?;
                rx.recv().await.map_err(|_| SendError::OutcomeUnknown)
            })
            .await
            .unwrap_or(Err(SendError::OutcomeUnknown));
        l.wait.lock().unwrap().remove(&id);
        // A machine that lost power says nothing, and a retry on the old connection could come
        // seconds after its return.
        let t = self.runtime.now();
        if matches!(r, Err(SendError::OutcomeUnknown))
            && t >= t0 + LINK_DOUBT
            && l.heard.load(Relaxed) < t0
        {
            self.leave_link(to, &l);
        }
        let back = r
            .as_ref()
            .map(|p| (p.message.len() + p.payload.len()) as u64)
            .unwrap_or(0);
        let mut g = self.metrics.kinds.lock().unwrap();
        let e = g.entry(kind).or_default();
        *e = (e.0 + 1, e.1 + size, e.2 + back);
        drop(g);
        r
    }

    pub async fn request(
        self: &Arc<Self>,
        to: SocketAddr,
        request: &PeerRequest,
        blob: &[u8],
        us: u64,
    ) -> Result<(PeerResponse, Vec<u8>), SendError> {
        let p = self
            .exchange(
                to,
                request.into(),
                serde_json::to_vec(request).unwrap_or_default(),
                blob,
                us,
            )
            .await?;
        p.decode::<PeerResponse>()
            .map(|b| (b, p.payload))
            .ok_or(SendError::OutcomeUnknown)
    }

    pub async fn serve(self: Arc<Self>, door: Box<dyn Listener>, h: Arc<dyn RequestHandler>) {
        loop {
            let Ok(c) = door.accept().await else {
                self.runtime.sleep(10 * MS).await;
                continue;
            };
            let (me, h) = (self.clone(), h.clone());
            self.runtime.spawn(async move { me.attend(c, h).await });
        }
    }

    async fn attend(self: Arc<Self>, c: Connection, h: Arc<dyn RequestHandler>) {
        let (tx, rx) = async_channel::bounded::<Vec<u8>>(1024);
        c.set_send_timeout(LINK_SILENT);
        let (mut rd, mut wr) = (BufReader::with_capacity(LINK_READ, c.clone()), c);
        let read = async {
            while let Ok(Some(r)) =
                capnp_futures::serialize::try_read_message(&mut rd, limits()).await
            {
                let Some((id, false, p)) = unpack(&r, self.newest_version) else {
                    self.rejected_frames.fetch_add(1, Relaxed);
                    continue;
                };
                let (tx, h, me) = (tx.clone(), h.clone(), self.clone());
                self.runtime.spawn(async move {
                    let (near, v) = (p.site == me.site, p.version);
                    let (b, x) = h.handle(p).await;
                    let out = pack(v, id, true, &me.own_name, &me.site, &b, &x);
                    me.metrics.sent.fetch_add(1, Relaxed);
                    if near {
                        &me.metrics.bytes_within
                    } else {
                        &me.metrics.bytes_across
                    }
                    .fetch_add(out.len() as u64, Relaxed);
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
