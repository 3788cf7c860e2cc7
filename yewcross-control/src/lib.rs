pub mod api;
pub mod chain;
pub mod chain_log;
mod chain_restore;
pub mod chain_sweep;
pub mod config;
pub mod contact;
mod disk_recovery;
pub mod duty;
pub mod layout;
pub mod lease;
mod lease_granter;
pub mod lease_holder;
pub mod operator;
pub mod platform_list;
pub mod proposer;
pub mod quorum_contact;
pub mod store;

use config::{Change, Notice};
use event_listener::Event;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross::ask::*;
use yewcross::book::*;
use yewcross::code::Code;
use yewcross::consts::*;
use yewcross::follow::Follow;
use yewcross::http::Gate;
use yewcross::member::Members;
use yewcross::register::*;
use yewcross::startup::{Role, Startup};
use yewcross::vault::Vault;
use yewcross::wire::*;
use yewcross::world::*;

pub struct Control {
    pub w: World,
    pub st: Startup,
    pub peers: Arc<Peers>,
    pub members: Arc<Members>,
    pub book: Arc<Book>,
    pub vault: Arc<Vault>,
    pub replica: Arc<Replica>,
    pub owner: Arc<RegisterClient>,
    pub store: Arc<store::Store>,
    pub chain: Arc<chain::Engine>,
    pub follow: Arc<Follow>,
    pub duties: duty::Duties,
    pub gate: Arc<Gate>,
    pub grants: Mutex<BTreeMap<String, u64>>,
    /// Newest version of the configuration known to be proved in force.
    pub proved: AtomicU64,
    /// Layout number under which every key on this disk was last found whole.
    pub swept: AtomicU64,
    pub sweep_left: AtomicU64,
    pub sweep_now: AtomicBool,
    pub sweep_call: Event,
    finding: futures_util::lock::Mutex<()>,
    /// The first layout and the empty configuration are decided.
    pub founded: AtomicBool,
    pub started: u64,
    /// Where the platform's list is asked; a reload may change it.
    pub platform: Mutex<Option<std::net::SocketAddr>>,
    pub outbox: config::Outbox,
    pub counts: Counts,
    pub options: api::Options,
}

#[derive(Default)]
pub struct Counts {
    pub begins: AtomicU64,
    pub commits: AtomicU64,
    pub tended: AtomicU64,
    pub puts: AtomicU64,
    /// Orders that wait here to be decided now.
    pub orders_waiting: AtomicU64,
}

#[derive(Debug, Snafu)]
pub enum StartFault {
    #[snafu(display("disk: {source}"))]
    Disk { source: std::io::Error },
    #[snafu(display("bind {at}: {source}"))]
    Bind { at: String, source: std::io::Error },
}

struct Ear(Arc<Control>);

impl Listener for Ear {
    fn hear(self: Arc<Self>, p: Parcel) -> Fut<'static, (Vec<u8>, Vec<u8>)> {
        Box::pin(async move {
            let (t, b) = match p.read::<Ask>() {
                Some(a) => self.0.hear(a, p.blob, &p.from).await,
                None => (Tell::No(Code::BadBody), vec![]),
            };
            (serde_json::to_vec(&t).unwrap_or_default(), b)
        })
    }
}

fn place(book: &Arc<Book>, members: &Arc<Members>, key: &str) -> ReplicaSet {
    let l = book.layout.load();
    ReplicaSet::of(key, &l.1, l.0, |d| members.by_disk(d).map(|n| n.peer))
}

impl Control {
    pub async fn start(w: &World, st: Startup) -> Result<Arc<Control>, StartFault> {
        Control::start_with(w, st, api::Options::default()).await
    }

    /// Starts a node that another interface may stand before.
    pub async fn start_with(w: &World, st: Startup, options: api::Options) -> Result<Arc<Control>, StartFault> {
        let disk = |source| StartFault::Disk { source };
        let vault = Vault::open(w).await.map_err(disk)?;
        let replica = Replica::open(&vault).await.map_err(disk)?;
        let peers = Peers::new(w, &st.name, &st.site, st.wire);
        let members = Members::new(w, &st, &peers, &vault.id);
        members.stays.store(options.stays, SeqCst);
        let book = Book::of(w, options.dialect.clone());
        // Read before any task writes there: a scan removes files that are not yet renamed.
        let local = vault.scan("local").await.map_err(disk)?;
        let kept_pages = load_pages(&book, &local);
        let kept_peers = load_peers(&local);
        *members.known.lock().unwrap() = kept_peers.addresses.clone();
        let proved = vault.load("local", "proved").await.map_err(disk)?.map(|x| x.0).unwrap_or(0);
        replica.lay.store(book.layout.load().0, SeqCst);
        let (b, m) = (book.clone(), members.clone());
        let owner = RegisterClient::new(w, &peers, &replica, Arc::new(move |k| place(&b, &m, k)));
        let (b, m, p) = (book.clone(), members.clone(), peers.clone());
        let me = st.peer;
        let own: Arc<Mutex<Option<std::sync::Weak<store::Store>>>> = Default::default();
        let own2 = own.clone();
        let route = move |key: String, a: Ask| -> Fut<'static, Option<Tell>> {
            let (b, m, p, own) = (b.clone(), m.clone(), p.clone(), own2.clone());
            Box::pin(async move {
                for to in owners(&b, &m, &key) {
                    let local = own.lock().unwrap().as_ref().and_then(|s| s.upgrade()).filter(|_| to == me);
                    let r = match local {
                        Some(s) => Some(s.hear(a.clone(), vec![]).await.0),
                        None => p.ask(to, &a, &[], PEER_WAIT).await.ok().map(|x| x.0),
                    };
                    match r {
                        None | Some(Tell::No(Code::StoreAway)) => continue,
                        r => return r,
                    }
                }
                None
            })
        };
        let store = Arc::new(store::Store { owner: owner.clone(), members: members.clone(), w: w.clone(), route: Arc::new(route) });
        *own.lock().unwrap() = Some(Arc::downgrade(&store));
        let follow = match options.rollout {
            api::Rollout::Proved => Follow::new(&members, &book, &st.name, false),
            api::Rollout::Majority => Follow::unleased(&members, &book, &st.name, false, st.bounds.apply * MS),
        };
        let duties = duty::Duties::open(w, &vault, &book, owner.me, st.role).await.map_err(disk)?;
        let chain = chain::Engine::start(w, &st, &members, &book, &vault).await.map_err(disk)?;
        let c = Arc::new(Control {
            w: w.clone(),
            peers,
            members,
            book,
            vault,
            replica,
            owner,
            store,
            chain,
            follow,
            duties,
            gate: Default::default(),
            grants: Default::default(),
            proved: AtomicU64::new(proved),
            swept: AtomicU64::new(0),
            sweep_left: AtomicU64::new(0),
            sweep_now: AtomicBool::new(false),
            sweep_call: Event::new(),
            finding: Default::default(),
            founded: AtomicBool::new(false),
            started: w.now(),
            platform: Mutex::new(st.platform),
            outbox: Default::default(),
            counts: Default::default(),
            options,
            st,
        });
        if c.options.tends {
            let holder = Arc::downgrade(&c);
            let holds_lease = move || holder.upgrade().is_some_and(|control| control.lease_term().is_some());
            c.owner.restrict(move |key| !DOCS.contains(&key) || holds_lease());
        }
        let bind = |at: std::net::SocketAddr| move |source| StartFault::Bind { at: at.to_string(), source };
        let door = w.bind(c.st.peer).await.map_err(bind(c.st.peer))?;
        if c.options.bind_http {
            let http = w.bind(c.st.http).await.map_err(bind(c.st.http))?;
            let me = c.clone();
            let h: yewcross::http::Handler = Arc::new(move |j| Box::pin(operator::answer(me.clone(), j)));
            w.go(yewcross::http::serve(w.clone(), http, h, c.gate.clone()));
        }
        w.go(c.peers.clone().serve(door, Arc::new(Ear(c.clone()))));
        w.go(c.members.clone().run());
        w.go(c.follow.clone().run());
        w.go(keep_pages(c.clone(), kept_pages));
        if c.options.tends {
            w.go(keep_peers(c.clone(), kept_peers));
        }
        w.go(layout::sweep(c.clone()));
        w.go(tidy(c.clone()));
        w.go(disk_recovery::run(c.clone()));
        if c.st.role == Role::Core {
            w.go(duty::run(c.clone()));
        }
        Ok(c)
    }

    pub async fn hear(self: &Arc<Self>, a: Ask, blob: Vec<u8>, from: &str) -> (Tell, Vec<u8>) {
        match a {
            Ask::Probe { .. } | Ask::Second { .. } | Ask::Table { .. } | Ask::Heard { .. } => (self.members.hear(a).await, vec![]),
            Ask::Reg(request) => self.unnamed_register_request(request, blob).await,
            Ask::Register { disk, .. } | Ask::SweepDone { disk, .. } if !disk.is_empty() && disk != self.vault.id => {
                (Tell::OtherDisk { disk: self.vault.id.clone() }, vec![])
            }
            Ask::Register { request, .. } => {
                let (reply, value) = self.replica.hear(request, blob).await;
                (Tell::Register { disk: self.vault.id.clone(), reply }, value)
            }
            Ask::Newer { have, front, departed } => (config::newer(self, have, front, departed, from).await, vec![]),
            Ask::Page { name, more_than } => {
                let p = self.book.page(&name);
                if p.seq > more_than && (!self.options.tends || self.has_quorum_contact()) {
                    return (Tell::Doc { seq: p.seq, epoch: p.epoch }, p.raw.to_vec());
                }
                match self.options.tends {
                    true => (Tell::No(Code::NoMajority), vec![]),
                    false => config::doc(self, &name).await,
                }
            }
            Ask::Doc { name, .. } => config::doc(self, &name).await,
            Ask::Adopt { name, seq, epoch, relays } => {
                self.book.adopt(&name, seq, epoch, blob);
                config::relay(self, Notice::Document { name: name.clone(), seq, change: None }, &relays);
                (Tell::Adopted { seq: self.book.page(&name).seq }, vec![])
            }
            Ask::Patch { name, seq, epoch, base, base_digest, relays } => {
                let _ = self.book.patch(&name, base, &base_digest, seq, epoch, &blob);
                let change = Some(Arc::new(Change { base, base_digest, delta: blob }));
                config::relay(self, Notice::Document { name: name.clone(), seq, change }, &relays);
                (Tell::Adopted { seq: self.book.page(&name).seq }, vec![])
            }
            Ask::Departed { servers, relays } => {
                self.book.depart(&servers);
                config::relay(self, Notice::Departed(Arc::new(servers)), &relays);
                (Tell::Ok, vec![])
            }
            Ask::Order { base } => (config::take_forwarded(self, base, blob).await, vec![]),
            Ask::Retire { node } => (layout::retire_forwarded(self, &node).await, vec![]),
            Ask::Grants { name, seq } => (config::grants(self, &name, seq).await, vec![]),
            Ask::Proved { seq } => (config::proved(self, seq).await, vec![]),
            Ask::Found => (layout::found_here(self, blob).await, vec![]),
            Ask::Lease(ask) => (Tell::Lease(lease_granter::answer(self, &ask).await), vec![]),
            Ask::SweepNow => {
                self.sweep_now.store(true, SeqCst);
                self.sweep_call.notify(usize::MAX);
                (Tell::Ok, vec![])
            }
            Ask::SweepDone { layout, .. } => (layout::report(self, layout), vec![]),
            Ask::Chain => (Tell::Chain, self.chain.hear(blob).await),
            a => self.store.hear(a, blob).await,
        }
    }

    /// An asker that names no disk means whichever was at this address when it last looked. Only a disk that the layout it
    /// keeps gives a seat may be that one: a disk that has just been made here has none yet.
    async fn unnamed_register_request(&self, request: RegisterRequest, blob: Vec<u8>) -> (Tell, Vec<u8>) {
        let seated = self.book.layout.load().1.has_seat(&self.vault.id);
        if !seated {
            return (Tell::Reg(RegisterReply::Away), vec![]);
        }
        let (reply, value) = self.replica.hear(request, blob).await;
        (Tell::Reg(reply), value)
    }

    /// A planned stop: operators' requests under way are answered, then the others are told.
    pub async fn stop(self: &Arc<Self>) {
        lease_holder::resign(self).await;
        self.members.leave().await;
        self.gate.closing.set();
        self.w.sleep(200 * MS).await;
        self.gate.idle().await;
    }

    pub fn layout_kept(&self) -> u64 {
        self.replica.lay.load(SeqCst)
    }
}

impl store::Store {
    pub async fn hear(self: &Arc<Self>, a: Ask, blob: Vec<u8>) -> (Tell, Vec<u8>) {
        match a {
            Ask::Begin(b) => return self.begin(b).await,
            Ask::Commit(c) => (self.commit(c, blob).await, vec![]),
            Ask::Abort { key, job, nonce, budget } => (self.abort(&key, &job, nonce, budget).await, vec![]),
            Ask::Note { key, epoch, kv } => (self.note(&key, epoch, kv).await, vec![]),
            Ask::Look { key } => (self.look(&key).await, vec![]),
            Ask::End { key } => (self.end(&key).await, vec![]),
            Ask::Expire { key } => (self.expire(&key).await, vec![]),
            Ask::Reserve { budget, entry, amount, limit, key, job, nonce, keep } => {
                let o = store::Open { amount, key, job, nonce, at: self.wall(), keep };
                (self.reserve(budget.trim_start_matches("budget/"), &entry, o, limit).await, vec![])
            }
            Ask::Settle { budget, entry, used } => (self.settle(&budget, &entry, used).await, vec![]),
            Ask::Tend { key } => (if self.owner.tend(&key).await { Tell::Ok } else { Tell::No(Code::Undecided) }, vec![]),
            _ => (Tell::No(Code::BadField), vec![]),
        }
    }
}

/// A document as this node's own disk holds it.
#[derive(Clone, Copy, Default)]
struct KeptPage {
    /// Version of the file. It counts the writes, not the documents: each write removes the file of the version before.
    file_version: u64,
    /// Sequence number of the document.
    seq: u64,
}

/// A file of a folder: its name, its version, and its body unless that is damaged.
type StoredFile = (String, u64, Option<Vec<u8>>);

/// Takes the documents of a folder into the book; which files they stand in. A damaged file counts with its version, so that the
/// next one is newer.
fn load_pages(book: &Book, folder: &[StoredFile]) -> BTreeMap<&'static str, KeptPage> {
    let mut kept = BTreeMap::new();
    for (name, file_version, body) in folder {
        let Some(document) = DOCS.into_iter().find(|d| d == name) else { continue };
        let body = body.as_ref().and_then(|b| serde_json::from_slice::<(u64, Ballot, String)>(b).ok());
        if let Some((seq, epoch, raw)) = body {
            book.adopt(document, seq, epoch, raw.into_bytes());
        }
        kept.insert(document, KeptPage { file_version: *file_version, seq: book.page(document).seq });
    }
    kept
}

/// Documents a control node adopts are kept on its own disk, so that a restart begins from them. One that is adopted and
/// not yet kept is asked for again: a node believes no more than what its disk held, and is told of the rest as news.
async fn keep_pages(c: Arc<Control>, mut kept: BTreeMap<&'static str, KeptPage>) {
    loop {
        let moved = c.book.moved.listen();
        // Where cores are asked for all else, only the layout must be known again before anybody answers.
        for d in DOCS.into_iter().filter(|d| !c.options.tends || *d == "layout") {
            let page = c.book.page(d);
            let before = kept.get(d).copied().unwrap_or_default();
            if page.seq <= before.seq {
                continue;
            }
            let now = KeptPage { file_version: before.file_version + 1, seq: page.seq };
            let body = serde_json::to_vec(&(page.seq, page.epoch, String::from_utf8_lossy(&page.raw))).unwrap_or_default();
            if c.vault.keep("local", d, now.file_version, &body).await.is_err() {
                continue;
            }
            kept.insert(d, now);
            if d == "layout" {
                c.replica.lay.fetch_max(page.seq, SeqCst);
            }
        }
        c.w.within(if c.vault.failed.load(SeqCst) { 50 * MS } else { 10 * SEC }, moved).await;
    }
}

/// Addresses of machines with disks, as this node's own disk holds them.
#[derive(Default)]
struct KeptPeers {
    file_version: u64,
    addresses: Vec<std::net::SocketAddr>,
}

fn load_peers(folder: &[StoredFile]) -> KeptPeers {
    let Some((_, file_version, body)) = folder.iter().find(|f| f.0 == "peers") else { return KeptPeers::default() };
    let addresses = body.as_ref().and_then(|b| serde_json::from_slice(b).ok()).unwrap_or_default();
    KeptPeers { file_version: *file_version, addresses }
}

/// Addresses of machines with disks are kept, so that a restart finds them where its seeds are down.
async fn keep_peers(c: Arc<Control>, mut kept: KeptPeers) {
    loop {
        let moved = c.members.moved.listen();
        let mut now: Vec<_> = c.members.view.load().values().filter(|n| !n.disk.is_empty()).map(|n| n.peer).collect();
        now.sort();
        if now != kept.addresses
            && now.len() > 1
            && c.vault.keep("local", "peers", kept.file_version + 1, &serde_json::to_vec(&now).unwrap_or_default()).await.is_ok()
        {
            kept = KeptPeers { file_version: kept.file_version + 1, addresses: now };
        }
        c.w.sleep(PEERS_KEPT).await;
        moved.await;
    }
}

async fn tidy(c: Arc<Control>) {
    loop {
        c.w.sleep(10 * SEC).await;
        c.owner.prune();
        for b in c.owner.holding("budget/") {
            c.store.audit(b.trim_start_matches("budget/")).await;
        }
    }
}
