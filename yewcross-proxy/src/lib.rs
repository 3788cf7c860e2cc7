//! The data plane of the serving tier: nodes of role `front`, which receive callers' requests,
//! choose a server for each and forward it there.
//!
//! A node serves one of two interfaces. Started by [`Front::start`], it serves the product's own
//! HTTP paths: turns (`turn`) and lookups (`lookup`), with servers selected from load reports.
//! Given the ports of another platform ([`FrontOptions`]), it serves that platform's routed
//! requests (`relay`).

pub mod admission;
pub mod back;
pub mod balance;
pub mod counts;
pub mod kv;
pub mod load_exchange;
pub mod load_reports;
pub mod lookup;
pub mod policy;
pub mod pool;
pub mod push_pacer;
pub mod relay;
pub mod scan;
pub mod scoring;
pub mod server_table;
pub mod turn;

pub use counts::Counts;

use crate::load_exchange::LoadExchange;
use crate::policy::Mechanism;
use crate::push_pacer::PushPacer;
use http_types::{Method, Response};
use serde_json::json;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, OnceLock};
use yewcross_common::adapter::{CallerProtocol, ConfigurationFormat, UpstreamProtocol};
use yewcross_common::buffer_memory::BufferMemory;
use yewcross_common::buffered_http::{
    BufferedRequest, ConnectionTracker, error_response, json_response,
};
use yewcross_common::constants::*;
use yewcross_common::documents::cache::{DocumentCache, replicas_by_preference};
use yewcross_common::documents::watcher::DocumentWatcher;
use yewcross_common::error_code::Code;
use yewcross_common::membership::Membership;
use yewcross_common::overload::OverloadManager;
use yewcross_common::process;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::protocol::*;
use yewcross_common::runtime::*;
use yewcross_common::streaming_http;
use yewcross_common::transport::*;
use yewcross_common::turn_log::TurnLogService;

/// A node of role `front`: its connections to peers and servers, its copies of the published
/// documents, and its state by server and by session.
pub struct Front {
    pub runtime: Runtime,
    pub settings: ProcessSettings,
    pub peers: Arc<PeerClient>,
    pub members: Arc<Membership>,
    pub documents: Arc<DocumentCache>,
    pub watcher: Arc<DocumentWatcher>,
    /// Callers' connections where the product's own paths are served.
    pub connections: Arc<ConnectionTracker>,
    pub pool: back::Pool,
    /// Queues of requests that wait for a server with a free slot.
    pub admission: admission::Admission,
    pub push_pacer: PushPacer,
    /// The newest load report of each server, and when it was taken.
    pub received_reports: Mutex<BTreeMap<String, server_table::ReceivedReport>>,
    /// By server: the report that this node last sent to the other nodes as the one that polls it.
    pub announced_reports: Mutex<BTreeMap<String, LoadReport>>,
    /// By server: requests dispatched since its last load report.
    pub dispatched_since_report: Mutex<BTreeMap<String, u32>>,
    /// By server: number of consecutive failures, and until when they count (us of the node's
    /// clock).
    pub recent_failures: Mutex<BTreeMap<String, (u32, u64)>>,
    /// Session histories by key, cached so that the store need not send them again.
    pub cached_histories: Mutex<BTreeMap<String, Vec<u8>>>,
    /// Sessions with a replica push in progress, each with the newest turn that ended meanwhile.
    pub pushes_in_progress: Mutex<BTreeMap<String, Option<kv::FinishedTurn>>>,
    /// Replicas that this node has pushed, by session.
    pub replicas: Mutex<BTreeMap<String, CachedPrefix>>,
    /// Transfer state of cached prefixes by session, and imports in progress by server.
    pub kv_transfers: kv::SessionTransfers,
    pub counts: Counts,
    /// Set if the node serves routed requests instead of the product's own paths.
    pub relay: OnceLock<Arc<relay::Relay>>,
    load_exchange: OnceLock<Arc<load_exchange::LoadExchange>>,
    /// Callers' connections where routed requests are served.
    streaming_connections: Arc<streaming_http::ConnectionTracker>,
    is_stopping: AtomicBool,
    /// Memory for requests, prompts and responses.
    pub buffer_memory: Arc<BufferMemory>,
    /// Limits what the node holds for callers and peers, on all its ports.
    pub overload: Arc<OverloadManager>,
}

/// The ports of another platform. Without a turn log, requests that continue a previous turn are
/// rejected.
pub struct FrontOptions {
    /// Reads callers' requests and writes their responses.
    pub caller: Arc<dyn CallerProtocol>,
    /// Writes requests to servers and reads their responses.
    pub upstream_protocol: Arc<dyn UpstreamProtocol>,
    pub turn_log: Option<Arc<dyn TurnLogService>>,
}

/// A listening socket could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot bind {address}: {source}"))]
pub struct BindError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Counts a request as dispatched to a server until it is dropped.
pub struct DispatchGuard<'a>(&'a Front, String);

impl Drop for DispatchGuard<'_> {
    fn drop(&mut self) {
        self.0
            .dispatched_since_report
            .lock()
            .unwrap()
            .get_mut(&self.1)
            .into_iter()
            .for_each(|dispatched| *dispatched = dispatched.saturating_sub(1));
    }
}

/// Handles the requests of peers.
struct PeerHandler(Arc<Front>);

impl RequestHandler for PeerHandler {
    fn handle(self: Arc<Self>, envelope: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let (response, payload) = match envelope.decode::<PeerRequest>() {
                Some(PeerRequest::ExchangeLoads { by_site }) => {
                    self.0.handle_load_exchange(&envelope, by_site)
                }
                Some(request) => (
                    self.0.handle_peer_request(request, envelope.payload).await,
                    vec![],
                ),
                None => (PeerResponse::Rejected(Code::BadBody), vec![]),
            };
            Reply {
                message: serde_json::to_vec(&response).unwrap_or_default(),
                payload,
            }
        })
    }
}

impl Front {
    /// Starts a node that serves the product's own HTTP paths.
    pub async fn start(
        runtime: &Runtime,
        settings: ProcessSettings,
    ) -> Result<Arc<Front>, BindError> {
        let front = Front::open(runtime, settings);
        let http = front.listen().await?;
        let node = front.clone();
        let handler: yewcross_common::buffered_http::Handler =
            Arc::new(move |request| Box::pin(answer(node.clone(), request)));
        let serving = yewcross_common::buffered_http::serve(
            runtime.clone(),
            http,
            handler,
            front.connections.clone(),
        );
        runtime.spawn_essential("caller requests", serving);
        front.run();
        runtime.spawn_essential("load reports", load_reports::run(front.clone()));
        Ok(front)
    }

    /// Starts a node that serves routed requests through another platform's ports.
    pub async fn start_with(
        runtime: &Runtime,
        settings: ProcessSettings,
        options: FrontOptions,
    ) -> Result<Arc<Front>, BindError> {
        let front = Front::open(runtime, settings);
        front.serve_routes(options).await?;
        Ok(front)
    }

    /// Starts to serve routed requests on an opened node. Apart from `open`, as some ports need the
    /// node's peers, membership and documents first.
    pub async fn serve_routes(self: &Arc<Self>, options: FrontOptions) -> Result<(), BindError> {
        let (front, runtime) = (self, &self.runtime);
        let http = front.listen().await?;
        let members = front.members.clone();
        let relay = Arc::new(relay::Relay {
            runtime: runtime.clone(),
            documents: front.documents.clone(),
            site: front.settings.site.clone(),
            caller: options.caller,
            upstream_protocol: options.upstream_protocol,
            turn_log: options.turn_log,
            front_count: Default::default(),
            pool: Default::default(),
            balance: Default::default(),
            retry_budget: Default::default(),
            counts: Default::default(),
            buffer_memory: front.buffer_memory.clone(),
            shutdown: Default::default(),
        });
        let _ = front.relay.set(relay.clone());
        let routed = relay.clone();
        let handler: streaming_http::Handler =
            Arc::new(move |request, _| Box::pin(routed.clone().serve(request)));
        let documents = front.documents.clone();
        let serving = streaming_http::serve(
            runtime.clone(),
            http,
            handler,
            Arc::new(move || documents.config.load().1.routing.limits.clone()),
            front.streaming_connections.clone(),
        );
        runtime.spawn_essential("caller requests", serving);
        front.run();
        if relay.balance.policies.has(Mechanism::LoadExchange) {
            let exchange = LoadExchange::new(
                &front.members,
                &front.documents,
                &front.settings.name,
                &front.settings.site,
            );
            let _ = front.load_exchange.set(exchange.clone());
            runtime.spawn_essential("load exchange", exchange.run(relay.clone()));
        }
        let runtime = runtime.clone();
        self.runtime.spawn_essential("maintenance", async move {
            loop {
                runtime.sleep(MAINTENANCE_INTERVAL).await;
                relay.prune(
                    members
                        .view
                        .load()
                        .values()
                        .filter(|node| node.role == Role::Front)
                        .count(),
                );
            }
        });
        Ok(())
    }

    /// Whether new callers may be routed to this node.
    pub fn ready(&self) -> bool {
        !self.is_stopping.load(SeqCst) && self.relay.get().is_some_and(|r| r.has_documents())
    }

    fn run(self: &Arc<Self>) {
        self.runtime
            .spawn_essential("membership", self.members.clone().run());
        self.runtime
            .spawn_essential("document watcher", self.watcher.clone().run());
    }

    async fn listen(self: &Arc<Self>) -> Result<Box<dyn Listener>, BindError> {
        let peer_listener = self.bind(self.settings.peer).await?;
        let http_listener = self.bind(self.settings.http).await?;
        let handler = Arc::new(PeerHandler(self.clone()));
        let overload = self.overload.clone();
        let serving = self
            .peers
            .clone()
            .serve_within(peer_listener, handler, overload);
        self.runtime.spawn_essential("peer requests", serving);
        Ok(http_listener)
    }

    async fn bind(&self, address: SocketAddr) -> Result<Box<dyn Listener>, BindError> {
        let timeout = self.settings.start_timeout();
        let bound = process::bind(&self.runtime, address, timeout).await;
        bound.context(BindSnafu { address })
    }

    /// Creates a node that does not listen yet.
    pub fn open(runtime: &Runtime, settings: ProcessSettings) -> Arc<Front> {
        Front::open_with_format(runtime, settings, None)
    }

    /// Like `open`, for configurations in another format, and for nodes that serve without a lease
    /// from the documents that they hold.
    pub fn open_without_leases(
        runtime: &Runtime,
        settings: ProcessSettings,
        format: Arc<dyn ConfigurationFormat>,
    ) -> Arc<Front> {
        Front::open_with_format(runtime, settings, Some(format))
    }

    fn open_with_format(
        runtime: &Runtime,
        settings: ProcessSettings,
        format: Option<Arc<dyn ConfigurationFormat>>,
    ) -> Arc<Front> {
        let peers = PeerClient::new(runtime, &settings.name, &settings.site, settings.wire);
        let members = Membership::new(runtime, &settings, &peers, "");
        let (document_cache, document_watcher) = match format {
            None => {
                let document_cache = DocumentCache::new(runtime);
                let document_watcher =
                    DocumentWatcher::new(&members, &document_cache, &settings.name, true);
                (document_cache, document_watcher)
            }
            Some(format) => {
                let document_cache = DocumentCache::with_format(runtime, format);
                let document_watcher = DocumentWatcher::without_leases(
                    &members,
                    &document_cache,
                    &settings.name,
                    true,
                    settings.bounds.apply * MS,
                );
                (document_cache, document_watcher)
            }
        };
        let overload = OverloadManager::within(&settings.bounds);
        Arc::new(Front {
            runtime: runtime.clone(),
            peers,
            members,
            documents: document_cache,
            watcher: document_watcher,
            connections: Arc::new(ConnectionTracker::new(&overload)),
            pool: Default::default(),
            admission: Default::default(),
            push_pacer: Default::default(),
            received_reports: Default::default(),
            announced_reports: Default::default(),
            dispatched_since_report: Default::default(),
            recent_failures: Default::default(),
            cached_histories: Default::default(),
            pushes_in_progress: Default::default(),
            replicas: Default::default(),
            kv_transfers: Default::default(),
            counts: Default::default(),
            relay: Default::default(),
            load_exchange: Default::default(),
            streaming_connections: Arc::new(streaming_http::ConnectionTracker::new(&overload)),
            is_stopping: Default::default(),
            buffer_memory: overload.memory.clone(),
            overload,
            settings,
        })
    }

    /// Handles a report of the requests in flight on another node, or in another site, and answers
    /// with this node's own.
    fn handle_load_exchange(&self, report: &Envelope, by_site: bool) -> (PeerResponse, Vec<u8>) {
        let from = if by_site { &report.site } else { &report.from };
        match self
            .load_exchange
            .get()
            .and_then(|exchange| exchange.handle_report(from, by_site, &report.payload))
        {
            Some(loads) => (PeerResponse::Loads, loads),
            None => (PeerResponse::Rejected(Code::BadField), vec![]),
        }
    }

    async fn handle_peer_request(
        self: &Arc<Self>,
        request: PeerRequest,
        payload: Vec<u8>,
    ) -> PeerResponse {
        match request {
            PeerRequest::Probe { .. }
            | PeerRequest::ProbeOnBehalf { .. }
            | PeerRequest::ExchangeMembership { .. }
            | PeerRequest::MembershipUpdate { .. } => self.members.handle(request).await,
            PeerRequest::PollDocuments { .. } => self.watcher.poll_response(),
            PeerRequest::ServersLeaving { servers, .. } => {
                self.documents.mark_leaving(&servers);
                PeerResponse::Ok
            }
            PeerRequest::PublishDelta {
                name,
                version,
                ballot: epoch,
                base,
                base_digest,
                ..
            } => {
                if self
                    .documents
                    .apply_delta(&name, base, &base_digest, version, epoch, &payload)
                    .is_ok()
                    && name != "list"
                {
                    self.watcher.reset_confirmations();
                }
                PeerResponse::DocumentApplied {
                    version: self.documents.document(&name).version,
                }
            }
            PeerRequest::PublishDocument {
                name,
                version,
                ballot: epoch,
                ..
            } => {
                if self.documents.apply(&name, version, epoch, payload) && name != "list" {
                    self.watcher.reset_confirmations();
                }
                PeerResponse::DocumentApplied {
                    version: self.documents.document(&name).version,
                }
            }
            PeerRequest::LoadReports {
                service,
                reports,
                same,
                relay,
            } => {
                load_reports::receive_reports(self, &service, reports, same, relay);
                PeerResponse::Ok
            }
            _ => PeerResponse::Rejected(Code::BadField),
        }
    }

    /// Sends a request to the replica of the store that is preferred for the key, and to the next
    /// one if that cannot be reached or rejects it as unavailable or undecided; at most `rounds`
    /// times over all replicas.
    pub async fn call_store(
        self: &Arc<Self>,
        key: &str,
        request: &PeerRequest,
        payload: &[u8],
        rounds: usize,
    ) -> Option<(PeerResponse, Vec<u8>)> {
        self.call_store_until(key, request, payload, rounds, u64::MAX)
            .await
    }

    /// Like `call_store`, without new attempts after `until` (us of the node's clock).
    pub async fn call_store_until(
        self: &Arc<Self>,
        key: &str,
        request: &PeerRequest,
        payload: &[u8],
        rounds: usize,
        until: u64,
    ) -> Option<(PeerResponse, Vec<u8>)> {
        let mut last_rejection = None;
        for round in 0..rounds {
            for replica in replicas_by_preference(&self.documents, &self.members, key) {
                if self.runtime.now() > until {
                    return last_rejection;
                }
                match self
                    .peers
                    .request(replica, request, payload, PEER_REQUEST_TIMEOUT)
                    .await
                {
                    Ok((
                        response @ PeerResponse::Rejected(Code::StoreAway | Code::Undecided),
                        response_payload,
                    )) => last_rejection = Some((response, response_payload)),
                    Ok(answer) => return Some(answer),
                    Err(SendError::NotSent) => {}
                    Err(SendError::OutcomeUnknown) => last_rejection = None,
                }
            }
            if round + 1 < rounds {
                self.runtime.sleep(30 * MS).await;
            }
        }
        last_rejection
    }

    /// Notifies the store in the background that a begun turn or lookup will not be dispatched.
    pub fn abort_turn(self: &Arc<Self>, key: &str, job: &str, nonce: u64, budget: Option<String>) {
        let (node, key, job) = (self.clone(), key.to_string(), job.to_string());
        self.runtime.spawn(async move {
            let request = PeerRequest::AbortTurn {
                key: key.clone(),
                request_id: job,
                nonce,
                budget,
            };
            for attempt in 0..4u64 {
                if let Some((PeerResponse::Ok | PeerResponse::Rejected(Code::Conflict), _)) =
                    node.call_store(&key, &request, &[], 1).await
                {
                    return;
                }
                node.runtime.sleep((100 << attempt) * MS).await;
            }
        });
    }

    /// Stops the node gracefully: every request that was received completely is answered, including
    /// those of connections in the accept backlog.
    pub async fn stop(&self) {
        self.is_stopping.store(true, SeqCst);
        if let Some(relay) = self.relay.get() {
            return self.stop_routes(relay).await;
        }
        self.connections.shutdown.set();
        self.runtime.sleep(200 * MS).await;
        self.connections.all_closed().await;
        self.members.announce_leaving().await;
    }

    /// Reports not ready first, so that new callers are routed to other nodes; then closes the
    /// listener and waits for the requests in progress.
    async fn stop_routes(&self, relay: &relay::Relay) {
        let (started, grace) = (self.runtime.now(), self.settings.bounds.grace * MS);
        let drain_delay = SHUTDOWN_DRAIN_DELAY.min(grace / 3);
        let ends_at = started + self.settings.bounds.shutdown_time();
        relay.shutdown.begin(relay::ShutdownSchedule {
            admits_all_until: started + drain_delay + SHUTDOWN_BACKLOG_TIME,
            ends_at,
        });
        self.streaming_connections.disable_keep_alive();
        self.runtime.sleep(drain_delay).await;
        self.streaming_connections.begin_shutdown();
        self.runtime
            .timeout(
                ends_at.saturating_sub(self.runtime.now()),
                self.streaming_connections.all_closed(),
            )
            .await;
        self.runtime.log(&format!(
            "shutdown: {} requests are cut off, {} came too late and were refused",
            self.streaming_connections.active_requests(),
            relay.shutdown.refused()
        ));
        self.members.announce_leaving().await;
    }

    /// Counts a request as dispatched to the server until the guard is dropped.
    pub fn count_dispatch(&self, server: &str) -> DispatchGuard<'_> {
        *self
            .dispatched_since_report
            .lock()
            .unwrap()
            .entry(server.into())
            .or_default() += 1;
        DispatchGuard(self, server.into())
    }

    /// Counts a failed attempt at the server for 5 s; up to 16 in a row.
    pub fn record_failure(&self, server: &str) {
        let mut failures = self.recent_failures.lock().unwrap();
        let entry = failures.entry(server.into()).or_default();
        *entry = ((entry.0 + 1).min(16), self.runtime.now() + 5 * SEC);
    }

    /// Resets the server's count of consecutive failures after a success.
    pub fn clear_failures(&self, server: &str) {
        self.recent_failures.lock().unwrap().remove(server);
    }

    /// Caches a session's history, within [`CACHED_SESSION_HISTORIES`] sessions.
    pub fn cache_history(&self, key: &str, history: Vec<u8>) {
        let mut histories = self.cached_histories.lock().unwrap();
        histories.insert(key.into(), history);
        while histories.len() > CACHED_SESSION_HISTORIES {
            histories.pop_first();
        }
    }

    /// Removes idle connections, reports and failures that have expired, and the announced reports
    /// of servers that are no longer listed.
    pub fn remove_expired(&self) {
        let now = self.runtime.now();
        self.pool.prune(now);
        self.announced_reports.lock().unwrap().retain(|name, _| {
            self.documents
                .server_list
                .load()
                .1
                .servers
                .iter()
                .any(|server| server.server == *name)
        });
        self.received_reports
            .lock()
            .unwrap()
            .retain(|_, received| now < received.as_of + 60 * SEC);
        self.recent_failures
            .lock()
            .unwrap()
            .retain(|_, server| now < server.1);
    }
}

/// Answers a request. Each response carries the version of the configuration that was current when
/// the request arrived, and for a turn or a lookup also the id of this execution.
async fn answer(front: Arc<Front>, request: BufferedRequest) -> Response {
    let version = front.documents.config.load().0;
    let nonce = front.runtime.random();
    let execution_id =
        matches!(request.path.as_str(), "/v1/turn" | "/v1/lookup").then(|| format!("{nonce:x}"));
    let mut response = route(front, request, nonce).await;
    response.insert_header("yewcross-config", version.to_string());
    execution_id.into_iter().for_each(|id| {
        response.insert_header("yewcross-shot", id);
    });
    response
}

/// Routes a request by its method and path.
async fn route(front: Arc<Front>, request: BufferedRequest, nonce: u64) -> Response {
    match (request.method, request.path.as_str()) {
        (Method::Post, "/v1/turn") => turn::answer(front, request, nonce).await,
        (Method::Post, "/v1/session/end") => turn::end_session(front, request).await,
        (Method::Post, "/v1/lookup") => lookup::answer(front, request, nonce).await,
        (Method::Get, "/v1/servers") => {
            json_response(200, &server_table::eligible_servers_by_service(&front))
        }
        (Method::Get, "/health") => {
            let may_serve = front.watcher.may_serve();
            let versions: BTreeMap<String, u64> = front.documents.versions().into_iter().collect();
            json_response(
                if may_serve { 200 } else { 503 },
                &json!({"serving": may_serve, "versions": versions}),
            )
        }
        (Method::Get, "/metrics") => {
            let metrics = &front.peers.metrics;
            json_response(
                200,
                &json!({"counts": front.counts.all(), "kinds": *metrics.kinds.lock().unwrap(), "odd_frames": front.peers.rejected_frames.load(SeqCst), "messages": metrics.messages_sent.load(SeqCst),
                    "bytes_within": metrics.same_site_bytes.load(SeqCst), "bytes_across": metrics.cross_site_bytes.load(SeqCst),
                    "lines": front.admission.queue_depths(), "open": front.connections.open_connections.load(SeqCst),
                    "busy": front.connections.active_requests.load(SeqCst)}),
            )
        }
        (
            _,
            "/v1/turn" | "/v1/lookup" | "/v1/session/end" | "/v1/servers" | "/health" | "/metrics",
        ) => error_response(Code::WrongVerb, "", 0),
        _ => error_response(Code::UnknownPath, &request.path, 0),
    }
}
