pub mod api;
pub mod config;
pub mod contact;
mod disk_recovery;
pub mod layout;
pub mod lease;
mod lease_granter;
pub mod lease_holder;
pub mod operator;
pub mod platform_list;
pub mod proposer;
pub mod quorum_contact;
pub mod singleton_tasks;

use config::{DocumentChange, DocumentPoll, Publication};
use event_listener::Event;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::ConnectionTracker;
use yewcross_common::constants::*;
use yewcross_common::documents::cache::*;
use yewcross_common::documents::watcher::DocumentWatcher;
use yewcross_common::error_code::Code;
use yewcross_common::membership::Membership;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::protocol::*;
use yewcross_common::register::*;
use yewcross_common::runtime::*;
use yewcross_common::storage::{DurableStorage, StoredFile};
use yewcross_common::transport::*;

pub struct Control {
    pub runtime: Runtime,
    pub settings: ProcessSettings,
    pub peers: Arc<PeerClient>,
    pub members: Arc<Membership>,
    pub documents: Arc<DocumentCache>,
    pub storage: Arc<DurableStorage>,
    pub replica: Arc<Replica>,
    pub registers: Arc<RegisterClient>,
    pub store: Arc<yewcross_state::records::Store>,
    pub chain: Arc<yewcross_state::turn_store::Engine>,
    pub watcher: Arc<DocumentWatcher>,
    pub duties: singleton_tasks::SingletonTasks,
    pub connections: Arc<ConnectionTracker>,
    pub serving_leases: Mutex<BTreeMap<String, u64>>,
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
    publications: config::PendingPublications,
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

impl RequestHandler for Ear {
    fn handle(self: Arc<Self>, p: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let (t, b) = match p.decode::<PeerRequest>() {
                Some(a) => self.0.handle(a, p.payload, &p.from).await,
                None => (PeerResponse::Rejected(Code::BadBody), vec![]),
            };
            Reply {
                message: serde_json::to_vec(&t).unwrap_or_default(),
                payload: b,
            }
        })
    }
}

fn place(book: &Arc<DocumentCache>, members: &Arc<Membership>, key: &str) -> ReplicaSet {
    let l = book.layout.load();
    ReplicaSet::of(key, &l.1, l.0, |d| members.by_disk(d).map(|n| n.peer))
}

impl Control {
    pub async fn start(
        runtime: &Runtime,
        settings: ProcessSettings,
    ) -> Result<Arc<Control>, StartFault> {
        Control::start_with(runtime, settings, api::Options::default()).await
    }

    /// Starts a node that another interface may stand before.
    pub async fn start_with(
        runtime: &Runtime,
        settings: ProcessSettings,
        options: api::Options,
    ) -> Result<Arc<Control>, StartFault> {
        let disk = |source| StartFault::Disk { source };
        let vault = DurableStorage::open(runtime).await.map_err(disk)?;
        let replica = Replica::open(&vault).await.map_err(disk)?;
        let peers = PeerClient::new(runtime, &settings.name, &settings.site, settings.wire);
        let members = Membership::new(runtime, &settings, &peers, &vault.disk_id);
        members.outranks_namesake.store(options.stays, SeqCst);
        let book = DocumentCache::of(runtime, options.dialect.clone());
        // Read before any task writes there: a scan removes files that are not yet renamed.
        let local = vault.scan("local").await.map_err(disk)?;
        let kept_pages = load_pages(&book, &local);
        let kept_peers = load_peers(&local);
        *members.persisted_peers.lock().unwrap() = kept_peers.addresses.clone();
        let proved = vault
            .load("local", "proved")
            .await
            .map_err(disk)?
            .map(|x| x.0)
            .unwrap_or(0);
        replica.layout_version.store(book.layout.load().0, SeqCst);
        let (b, m) = (book.clone(), members.clone());
        let owner = RegisterClient::new(
            runtime,
            &peers,
            &replica,
            Arc::new(move |k| place(&b, &m, k)),
        );
        let (b, m, p) = (book.clone(), members.clone(), peers.clone());
        let me = settings.peer;
        let own: Arc<Mutex<Option<std::sync::Weak<yewcross_state::records::Store>>>> =
            Default::default();
        let own2 = own.clone();
        let route =
            move |key: String, a: PeerRequest| -> BoxFuture<'static, Option<PeerResponse>> {
                let (b, m, p, own) = (b.clone(), m.clone(), p.clone(), own2.clone());
                Box::pin(async move {
                    for to in replicas_by_preference(&b, &m, &key) {
                        let local = own
                            .lock()
                            .unwrap()
                            .as_ref()
                            .and_then(|s| s.upgrade())
                            .filter(|_| to == me);
                        let r = match local {
                            Some(s) => Some(s.handle(a.clone(), vec![]).await.0),
                            None => p.request(to, &a, &[], PEER_WAIT).await.ok().map(|x| x.0),
                        };
                        match r {
                            None | Some(PeerResponse::Rejected(Code::StoreAway)) => continue,
                            r => return r,
                        }
                    }
                    None
                })
            };
        let store = Arc::new(yewcross_state::records::Store {
            owner: owner.clone(),
            members: members.clone(),
            w: runtime.clone(),
            route: Arc::new(route),
        });
        *own.lock().unwrap() = Some(Arc::downgrade(&store));
        let follow = match options.rollout {
            api::Rollout::Proved => DocumentWatcher::new(&members, &book, &settings.name, false),
            api::Rollout::Majority => DocumentWatcher::without_leases(
                &members,
                &book,
                &settings.name,
                false,
                settings.bounds.apply * MS,
            ),
        };
        let duties = singleton_tasks::SingletonTasks::open(
            runtime,
            &vault,
            &book,
            owner.proposer_id,
            settings.role,
        )
        .await
        .map_err(disk)?;
        let chain =
            yewcross_state::turn_store::Engine::start(runtime, &settings, &members, &book, &vault)
                .await
                .map_err(disk)?;
        let c = Arc::new(Control {
            runtime: runtime.clone(),
            peers,
            members,
            documents: book,
            storage: vault,
            replica,
            registers: owner,
            store,
            chain,
            watcher: follow,
            duties,
            connections: Default::default(),
            serving_leases: Default::default(),
            proved: AtomicU64::new(proved),
            swept: AtomicU64::new(0),
            sweep_left: AtomicU64::new(0),
            sweep_now: AtomicBool::new(false),
            sweep_call: Event::new(),
            finding: Default::default(),
            founded: AtomicBool::new(false),
            started: runtime.now(),
            platform: Mutex::new(settings.platform),
            publications: Default::default(),
            counts: Default::default(),
            options,
            settings,
        });
        if c.options.tends {
            let holder = Arc::downgrade(&c);
            let holds_lease = move || {
                holder
                    .upgrade()
                    .is_some_and(|control| control.lease_term().is_some())
            };
            c.registers
                .restrict(move |key| !DOCS.contains(&key) || holds_lease());
        }
        let bind = |at: std::net::SocketAddr| {
            move |source| StartFault::Bind {
                at: at.to_string(),
                source,
            }
        };
        let door = runtime
            .bind(c.settings.peer)
            .await
            .map_err(bind(c.settings.peer))?;
        if c.options.bind_http {
            let http = runtime
                .bind(c.settings.http)
                .await
                .map_err(bind(c.settings.http))?;
            let me = c.clone();
            let h: yewcross_common::buffered_http::Handler =
                Arc::new(move |j| Box::pin(operator::answer(me.clone(), j)));
            runtime.spawn(yewcross_common::buffered_http::serve(
                runtime.clone(),
                http,
                h,
                c.connections.clone(),
            ));
        }
        runtime.spawn(c.peers.clone().serve(door, Arc::new(Ear(c.clone()))));
        runtime.spawn(c.members.clone().run());
        runtime.spawn(c.watcher.clone().run());
        runtime.spawn(keep_pages(c.clone(), kept_pages));
        if c.options.tends {
            runtime.spawn(keep_peers(c.clone(), kept_peers));
        }
        runtime.spawn(layout::anti_entropy(c.clone()));
        runtime.spawn(tidy(c.clone()));
        runtime.spawn(disk_recovery::run(c.clone()));
        if c.settings.role == Role::Core {
            runtime.spawn(singleton_tasks::run(c.clone()));
        }
        Ok(c)
    }

    pub async fn handle(
        self: &Arc<Self>,
        a: PeerRequest,
        blob: Vec<u8>,
        from: &str,
    ) -> (PeerResponse, Vec<u8>) {
        match a {
            PeerRequest::Probe { .. }
            | PeerRequest::ProbeOnBehalf { .. }
            | PeerRequest::ExchangeMembership { .. }
            | PeerRequest::MembershipUpdate { .. } => (self.members.handle(a).await, vec![]),
            PeerRequest::UnnamedRegister(request) => {
                self.unnamed_register_request(request, blob).await
            }
            PeerRequest::Register { disk, .. } | PeerRequest::SweepProgress { disk, .. }
                if !disk.is_empty() && disk != self.storage.disk_id =>
            {
                (
                    PeerResponse::OtherDisk {
                        disk: self.storage.disk_id.clone(),
                    },
                    vec![],
                )
            }
            PeerRequest::Register { request, .. } => {
                let (reply, value) = self.replica.handle(request, blob).await;
                (
                    PeerResponse::Register {
                        disk: self.storage.disk_id.clone(),
                        reply,
                    },
                    value,
                )
            }
            PeerRequest::PollDocuments {
                known,
                front,
                leaving_digest,
            } => {
                let poll = DocumentPoll {
                    known,
                    is_front: front,
                    leaving_digest,
                    from,
                };
                (config::poll_documents(self, poll).await, vec![])
            }
            PeerRequest::FetchDocument { name, newer_than } => {
                config::fetch_document(self, &name, newer_than).await
            }
            PeerRequest::ReadDecidedDocument { name, .. } => {
                config::read_decided_document(self, &name).await
            }
            PeerRequest::PublishDocument {
                name,
                version,
                epoch,
                relays,
            } => {
                let publication = Publication {
                    name,
                    version,
                    epoch,
                    relays,
                };
                (config::apply_document(self, publication, blob), vec![])
            }
            PeerRequest::PublishDelta {
                name,
                version,
                epoch,
                base,
                base_digest,
                relays,
            } => {
                let publication = Publication {
                    name,
                    version,
                    epoch,
                    relays,
                };
                let change = DocumentChange {
                    base,
                    base_digest,
                    delta: blob,
                };
                (
                    config::apply_document_change(self, publication, change),
                    vec![],
                )
            }
            PeerRequest::ServersLeaving { servers, relays } => {
                (config::mark_servers_leaving(self, servers, &relays), vec![])
            }
            PeerRequest::ForwardPut { base } => {
                (config::take_forwarded(self, base, blob).await, vec![])
            }
            PeerRequest::ForwardRetire { node } => {
                (layout::retire_forwarded(self, &node).await, vec![])
            }
            PeerRequest::CollectServingLeases { name, version: seq } => (
                config::collect_serving_leases(self, &name, seq).await,
                vec![],
            ),
            PeerRequest::AnnounceInForce { version: seq } => {
                (config::record_in_force(self, seq).await, vec![])
            }
            PeerRequest::Bootstrap => (layout::accept_first_layout(self, blob).await, vec![]),
            PeerRequest::Lease(ask) => (
                PeerResponse::Lease(lease_granter::answer(self, &ask).await),
                vec![],
            ),
            PeerRequest::StartSweep => {
                self.sweep_now.store(true, SeqCst);
                self.sweep_call.notify(usize::MAX);
                (PeerResponse::Ok, vec![])
            }
            PeerRequest::SweepProgress { layout, .. } => (layout::report(self, layout), vec![]),
            PeerRequest::TurnLog => (PeerResponse::TurnLog, self.chain.handle(blob).await),
            a => self.store.handle(a, blob).await,
        }
    }

    /// An asker that names no disk means whichever was at this address when it last looked. Only a
    /// disk that the layout it keeps gives a seat may be that one: a disk that has just been made
    /// here has none yet.
    async fn unnamed_register_request(
        &self,
        request: RegisterRequest,
        blob: Vec<u8>,
    ) -> (PeerResponse, Vec<u8>) {
        let seated = self
            .documents
            .layout
            .load()
            .1
            .has_seat(&self.storage.disk_id);
        if !seated {
            return (PeerResponse::UnnamedRegister(RegisterReply::Away), vec![]);
        }
        let (reply, value) = self.replica.handle(request, blob).await;
        (PeerResponse::UnnamedRegister(reply), value)
    }

    /// A planned stop: operators' requests under way are answered, then the others are told.
    pub async fn stop(self: &Arc<Self>) {
        lease_holder::resign(self).await;
        self.members.announce_leaving().await;
        self.connections.closing.set();
        self.runtime.sleep(200 * MS).await;
        self.connections.idle().await;
    }

    pub fn layout_kept(&self) -> u64 {
        self.replica.layout_version.load(SeqCst)
    }
}

/// A document as this node's own disk holds it.
#[derive(Clone, Copy, Default)]
struct KeptPage {
    /// Version of the file. It counts the writes, not the documents: each write removes the file of
    /// the version before.
    file_version: u64,
    /// Sequence number of the document.
    seq: u64,
}

/// Takes the documents of a folder into the book; which files they stand in. A damaged file counts
/// with its version, so that the next one is newer.
fn load_pages(
    documents: &DocumentCache,
    folder: &[StoredFile],
) -> BTreeMap<&'static str, KeptPage> {
    let mut kept = BTreeMap::new();
    for StoredFile {
        name,
        version: file_version,
        body,
    } in folder
    {
        let Some(document) = DOCS.into_iter().find(|d| d == name) else {
            continue;
        };
        let body = body
            .as_ref()
            .and_then(|b| serde_json::from_slice::<(u64, Ballot, String)>(b).ok());
        if let Some((seq, epoch, raw)) = body {
            documents.apply(document, seq, epoch, raw.into_bytes());
        }
        kept.insert(
            document,
            KeptPage {
                file_version: *file_version,
                seq: documents.document(document).version,
            },
        );
    }
    kept
}

/// Documents a control node adopts are kept on its own disk, so that a restart begins from them.
/// One that is adopted and not yet kept is asked for again: a node believes no more than what its
/// disk held, and is told of the rest as news.
async fn keep_pages(c: Arc<Control>, mut kept: BTreeMap<&'static str, KeptPage>) {
    loop {
        let moved = c.documents.changed.listen();
        // Where cores are asked for all else, only the layout must be known again before anybody
        // answers.
        for d in DOCS
            .into_iter()
            .filter(|d| !c.options.tends || *d == "layout")
        {
            let page = c.documents.document(d);
            let before = kept.get(d).copied().unwrap_or_default();
            if page.version <= before.seq {
                continue;
            }
            let now = KeptPage {
                file_version: before.file_version + 1,
                seq: page.version,
            };
            let body = serde_json::to_vec(&(
                page.version,
                page.epoch,
                String::from_utf8_lossy(&page.content),
            ))
            .unwrap_or_default();
            if c.storage
                .persist("local", d, now.file_version, &body)
                .await
                .is_err()
            {
                continue;
            }
            kept.insert(d, now);
            if d == "layout" {
                c.replica.layout_version.fetch_max(page.version, SeqCst);
            }
        }
        c.runtime
            .timeout(
                if c.storage.failed.load(SeqCst) {
                    50 * MS
                } else {
                    10 * SEC
                },
                moved,
            )
            .await;
    }
}

/// Addresses of machines with disks, as this node's own disk holds them.
#[derive(Default)]
struct KeptPeers {
    file_version: u64,
    addresses: Vec<std::net::SocketAddr>,
}

fn load_peers(folder: &[StoredFile]) -> KeptPeers {
    let Some(StoredFile {
        version: file_version,
        body,
        ..
    }) = folder.iter().find(|file| file.name == "peers")
    else {
        return KeptPeers::default();
    };
    let addresses = body
        .as_ref()
        .and_then(|b| serde_json::from_slice(b).ok())
        .unwrap_or_default();
    KeptPeers {
        file_version: *file_version,
        addresses,
    }
}

/// Addresses of machines with disks are kept, so that a restart finds them where its seeds are
/// down.
async fn keep_peers(control: Arc<Control>, mut kept: KeptPeers) {
    loop {
        let moved = control.members.changed.listen();
        let mut now: Vec<_> = control
            .members
            .view
            .load()
            .values()
            .filter(|n| !n.disk.is_empty())
            .map(|n| n.peer)
            .collect();
        now.sort();
        if now != kept.addresses
            && now.len() > 1
            && control
                .storage
                .persist(
                    "local",
                    "peers",
                    kept.file_version + 1,
                    &serde_json::to_vec(&now).unwrap_or_default(),
                )
                .await
                .is_ok()
        {
            kept = KeptPeers {
                file_version: kept.file_version + 1,
                addresses: now,
            };
        }
        control.runtime.sleep(PEERS_KEPT).await;
        moved.await;
    }
}

async fn tidy(control: Arc<Control>) {
    loop {
        control.runtime.sleep(10 * SEC).await;
        control.registers.prune();
        for b in control.registers.cached_keys("budget/") {
            control.store.audit(b.trim_start_matches("budget/")).await;
        }
    }
}
