//! Starts a control node: reads its disk, constructs its components and starts its tasks.

use crate::api::{Options, PutAcknowledgement};
use crate::counters::Counters;
use crate::persisted_documents::{LOCAL_FOLDER, PersistedDocuments};
use crate::persisted_peers::PersistedPeers;
use crate::record_router::RecordRouter;
use crate::request_handler::PeerRequestHandler;
use crate::{Control, disk_recovery, layout, maintenance, operator, replica_set, singleton_tasks};
use crate::{persisted_documents, persisted_peers};
use event_listener::Event;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, Weak};
use yewcross_common::buffered_http;
use yewcross_common::constants::MS;
use yewcross_common::documents::cache::{DOCUMENT_NAMES, DocumentCache};
use yewcross_common::documents::watcher::DocumentWatcher;
use yewcross_common::membership::Membership;
use yewcross_common::overload::OverloadManager;
use yewcross_common::process;
use yewcross_common::process::data_folder::DataFolderError;
use yewcross_common::process_settings::{ProcessSettings, Role, exit};
use yewcross_common::register::{RegisterClient, Replica};
use yewcross_common::runtime::{Listener, Runtime};
use yewcross_common::storage::DurableStorage;
use yewcross_common::transport::PeerClient;
use yewcross_state::records::RecordStore;
use yewcross_state::turn_store::TurnStore;

/// Errors that prevent a node from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    #[snafu(transparent)]
    DataFolder { source: DataFolderError },
    #[snafu(display("cannot read or write the data disk: {source}"))]
    Disk { source: io::Error },
    #[snafu(display("cannot listen on {at}: {source}"))]
    Bind { at: SocketAddr, source: io::Error },
}

impl StartError {
    /// The exit code of a process that ends with this error.
    pub fn exit_code(&self) -> i32 {
        match self {
            StartError::DataFolder { .. } | StartError::Disk { .. } => exit::BAD_DISK,
            StartError::Bind { .. } => exit::CANNOT_BIND,
        }
    }
}

/// The documents and peers that were stored on this node's own disk when it started.
struct LocalState {
    documents: PersistedDocuments,
    peers: PersistedPeers,
    /// Newest version of the configuration that was known to be in force.
    in_force_version: u64,
}

impl LocalState {
    /// Reads the local folder and applies its documents. Must run before any task writes to the folder,
    /// because a scan removes temporary files that have not been renamed yet.
    async fn load(storage: &DurableStorage, documents: &DocumentCache) -> io::Result<LocalState> {
        let folder = storage.scan(LOCAL_FOLDER).await?;
        let persisted_documents = persisted_documents::load(documents, &folder);
        let persisted_peers = persisted_peers::load(&folder);
        let in_force = storage.load(LOCAL_FOLDER, "proved").await?;
        Ok(LocalState {
            documents: persisted_documents,
            peers: persisted_peers,
            in_force_version: in_force.map_or(0, |(version, _)| version),
        })
    }
}

impl Control {
    /// Starts a node with the product's own interfaces.
    pub async fn start(
        runtime: &Runtime,
        settings: ProcessSettings,
    ) -> Result<Arc<Control>, StartError> {
        Control::start_with(runtime, settings, Options::default()).await
    }

    /// Starts a node with options, for example behind another interface than the product's own.
    pub async fn start_with(
        runtime: &Runtime,
        settings: ProcessSettings,
        options: Options,
    ) -> Result<Arc<Control>, StartError> {
        let timeout = settings.start_timeout();
        let attempt = || open(runtime, settings.clone(), options.clone());
        let opened = process::retry(runtime, timeout, "opening the data disk", attempt).await;
        let (control, local) = opened?;
        if control.options.maintains_layout {
            restrict_proposals(&control);
        }
        let peer_listener = bind(&control, control.settings.peer).await?;
        if control.options.bind_http {
            serve_operators(&control).await?;
        }
        let handler = Arc::new(PeerRequestHandler(control.clone()));
        runtime.spawn_essential(
            "peer requests",
            control
                .peers
                .clone()
                .serve_within(peer_listener, handler, control.overload.clone()),
        );
        spawn_tasks(&control, local);
        Ok(control)
    }
}

/// Reads the disk and constructs the node's components, without starting its tasks.
async fn open(
    runtime: &Runtime,
    settings: ProcessSettings,
    options: Options,
) -> Result<(Arc<Control>, LocalState), StartError> {
    let storage = DurableStorage::open(runtime).await.context(DiskSnafu)?;
    let replica = Replica::open(&storage).await.context(DiskSnafu)?;
    let peers = PeerClient::new(runtime, &settings.name, &settings.site, settings.wire);
    let members = Membership::new(runtime, &settings, &peers, &storage.disk_id);
    members
        .supersedes_newer_process
        .store(options.outranks_younger_process, SeqCst);
    let documents = DocumentCache::with_format(runtime, options.configuration_format.clone());
    let local = LocalState::load(&storage, &documents)
        .await
        .context(DiskSnafu)?;
    *members.persisted_peers.lock().unwrap() = local.peers.addresses.clone();
    let layout_version = documents.layout.load().0;
    replica.layout_version.store(layout_version, SeqCst);
    let registers = new_registers(runtime, &peers, &replica, &documents, &members);
    let router = |own_store: &Weak<RecordStore>| RecordRouter {
        documents: documents.clone(),
        members: members.clone(),
        peers: peers.clone(),
        own_address: settings.peer,
        own_store: own_store.clone(),
    };
    let record_store = new_record_store(runtime, &registers, router);
    let watcher = new_watcher(&members, &documents, &settings, options.put_acknowledgement);
    let singleton_tasks = singleton_tasks::SingletonTasks::open(
        runtime,
        &storage,
        &documents,
        registers.proposer_id,
        settings.role,
    )
    .await
    .context(DiskSnafu)?;
    let turn_store = TurnStore::start(runtime, &settings, &members, &documents, &storage)
        .await
        .context(DiskSnafu)?;
    let overload = OverloadManager::within(&settings.bounds);
    let control = Arc::new(Control {
        runtime: runtime.clone(),
        peers,
        members,
        documents,
        storage,
        replica,
        registers,
        record_store,
        turn_store,
        watcher,
        singleton_tasks,
        connections: Arc::new(buffered_http::ConnectionTracker::new(&overload)),
        buffer_memory: overload.memory.clone(),
        overload,
        serving_leases: Default::default(),
        in_force_version: AtomicU64::new(local.in_force_version),
        swept_layout_version: AtomicU64::new(0),
        sweep_keys_left: AtomicU64::new(0),
        is_sweep_requested: AtomicBool::new(false),
        sweep_requested: Event::new(),
        bootstrap_lock: Default::default(),
        is_bootstrapped: AtomicBool::new(false),
        platform: Mutex::new(settings.platform),
        publications: Default::default(),
        counters: Counters::default(),
        options,
        settings,
    });
    Ok((control, local))
}

/// Creates a register client that looks up a key's replicas in the layout applied here.
fn new_registers(
    runtime: &Runtime,
    peers: &Arc<PeerClient>,
    replica: &Arc<Replica>,
    documents: &Arc<DocumentCache>,
    members: &Arc<Membership>,
) -> Arc<RegisterClient> {
    let (documents, members) = (documents.clone(), members.clone());
    let find_replicas = move |key: &str| replica_set(&documents, &members, key);
    RegisterClient::new(runtime, peers, replica, Arc::new(find_replicas))
}

/// Creates the record store. Its router uses this store directly for keys of which this process is a
/// replica.
fn new_record_store(
    runtime: &Runtime,
    registers: &Arc<RegisterClient>,
    new_router: impl FnOnce(&Weak<RecordStore>) -> RecordRouter,
) -> Arc<RecordStore> {
    Arc::new_cyclic(|own_store| {
        let router = new_router(own_store);
        RecordStore {
            registers: registers.clone(),
            members: router.members.clone(),
            runtime: runtime.clone(),
            route: Arc::new(move |key, request| Box::pin(router.clone().request(key, request))),
        }
    })
}

/// Creates the watcher of the documents for the configured way of rolling out.
fn new_watcher(
    members: &Arc<Membership>,
    documents: &Arc<DocumentCache>,
    settings: &ProcessSettings,
    rollout: PutAcknowledgement,
) -> Arc<DocumentWatcher> {
    let is_front = false;
    match rollout {
        PutAcknowledgement::InForce => {
            DocumentWatcher::new(members, documents, &settings.name, is_front)
        }
        PutAcknowledgement::Decided => DocumentWatcher::without_leases(
            members,
            documents,
            &settings.name,
            is_front,
            settings.bounds.apply * MS,
        ),
    }
}

/// Restricts proposals for the documents to the lease holder.
fn restrict_proposals(control: &Arc<Control>) {
    // A weak reference avoids a cycle, since the control node owns the registers.
    let weak_control = Arc::downgrade(control);
    let holds_lease = move || {
        weak_control
            .upgrade()
            .is_some_and(|control| control.lease_term().is_some())
    };
    control
        .registers
        .set_proposal_permit(move |key| !DOCUMENT_NAMES.contains(&key) || holds_lease());
}

/// Serves the product's own HTTP interface for operators.
async fn serve_operators(control: &Arc<Control>) -> Result<(), StartError> {
    let runtime = &control.runtime;
    let listener = bind(control, control.settings.http).await?;
    let control_handle = control.clone();
    let handler: buffered_http::Handler = Arc::new(move |request| {
        Box::pin(operator::handle_request(control_handle.clone(), request))
    });
    let serving = buffered_http::serve(
        runtime.clone(),
        listener,
        handler,
        control.connections.clone(),
    );
    runtime.spawn_essential("operator requests", serving);
    Ok(())
}

/// Starts the background tasks of the node.
fn spawn_tasks(control: &Arc<Control>, local: LocalState) {
    let runtime = &control.runtime;
    runtime.spawn_essential("membership", control.members.clone().run());
    runtime.spawn_essential("document watcher", control.watcher.clone().run());
    let persisting = persisted_documents::persist_changes(control.clone(), local.documents);
    runtime.spawn_essential("persisted documents", persisting);
    if control.options.maintains_layout {
        let persisting = persisted_peers::persist_changes(control.clone(), local.peers);
        runtime.spawn_essential("persisted peers", persisting);
    }
    runtime.spawn_essential("anti-entropy", layout::anti_entropy(control.clone()));
    runtime.spawn_essential("maintenance", maintenance::run(control.clone()));
    runtime.spawn_essential("disk recovery", disk_recovery::run(control.clone()));
    if control.settings.role == Role::Core {
        runtime.spawn_essential("singleton tasks", singleton_tasks::run(control.clone()));
    }
}

async fn bind(control: &Control, at: SocketAddr) -> Result<Box<dyn Listener>, StartError> {
    let timeout = control.settings.start_timeout();
    let bound = process::bind(&control.runtime, at, timeout).await;
    bound.context(BindSnafu { at })
}
