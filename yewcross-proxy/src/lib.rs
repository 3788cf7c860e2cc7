pub mod admission;
pub mod backend;
pub mod balance;
pub mod kv;
pub mod load_exchange;
pub mod load_reports;
pub mod lookup;
pub mod policy;
pub mod pool;
pub mod relay;
pub mod scan;
pub mod scoring;
pub mod server_table;
pub mod turn;

use crate::load_exchange::LoadExchange;
use crate::policy::Mechanism;
use http_types::{Method, Response};
use serde_json::json;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, OnceLock};
use yewcross_common::adapter::{CallerProtocol, ConfigurationFormat, UpstreamProtocol};
use yewcross_common::buffered_http::{BufferedRequest, ConnectionTracker, refuse, reply};
use yewcross_common::constants::*;
use yewcross_common::documents::cache::{DocumentCache, replicas_by_preference};
use yewcross_common::documents::watcher::DocumentWatcher;
use yewcross_common::error_code::Code;
use yewcross_common::membership::Membership;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::protocol::*;
use yewcross_common::runtime::*;
use yewcross_common::streaming_http;
use yewcross_common::transport::*;
use yewcross_common::turn_log::TurnLogService;

macro_rules! counts {
    ($($f:ident),*) => {
        #[derive(Default)]
        pub struct Counts { $(pub $f: AtomicU64),* }
        impl Counts {
            pub fn all(&self) -> BTreeMap<&'static str, u64> {
                [$((stringify!($f), self.$f.load(SeqCst))),*].into()
            }
        }
    };
}

counts!(
    absurd,
    turns,
    done,
    replayed,
    lost,
    broken,
    cancelled,
    lookups,
    found,
    strangers,
    polls,
    warm,
    partly,
    cold,
    moved_warm,
    moved_partly,
    moved_cold,
    moved_short,
    imports,
    imports_failed,
    imports_skipped,
    unready,
    import_us,
    pushes,
    push_failed,
    push_skipped,
    push_within,
    push_across,
    note_refused,
    drops
);

pub struct Front {
    pub runtime: Runtime,
    pub settings: ProcessSettings,
    pub peers: Arc<PeerClient>,
    pub members: Arc<Membership>,
    pub documents: Arc<DocumentCache>,
    pub watcher: Arc<DocumentWatcher>,
    pub connections: Arc<ConnectionTracker>,
    pub pool: backend::Pool,
    /// Requests that wait for a server with room.
    pub admission: admission::Admission,
    pub push_pacer: PushPacer,
    pub received_reports: Mutex<BTreeMap<String, server_table::ReceivedReport>>,
    /// What this node last told of each server as its home.
    pub announced_reports: Mutex<BTreeMap<String, LoadReport>>,
    /// Jobs sent to a server since its last report.
    pub dispatched_since_report: Mutex<BTreeMap<String, u32>>,
    /// Breakdowns in a row, and until when they count.
    pub recent_failures: Mutex<BTreeMap<String, (u32, u64)>>,
    /// Histories on hand, so that the store need not send them again.
    pub cached_histories: Mutex<BTreeMap<String, Vec<u8>>>,
    /// Sessions with a push under way, each with the newest turn that ended meanwhile.
    pub pushes_in_progress: Mutex<BTreeMap<String, Option<kv::FinishedTurn>>>,
    /// Replicas this front has pushed.
    pub replicas: Mutex<BTreeMap<String, CachedPrefix>>,
    pub kv_transfers: kv::SessionTransfers,
    pub counts: Counts,
    /// Where routed requests are served instead of the product's own paths.
    pub relay: OnceLock<Arc<relay::Relay>>,
    load_exchange: OnceLock<Arc<load_exchange::LoadExchange>>,
    web: Arc<streaming_http::ConnectionTracker>,
    leaving: AtomicBool,
}

/// Another platform's ports. Chains of turns are refused where no stores are given.
pub struct FrontOptions {
    pub caller: Arc<dyn CallerProtocol>,
    pub upstream_protocol: Arc<dyn UpstreamProtocol>,
    pub turn_log: Option<Arc<dyn TurnLogService>>,
}

#[derive(Debug, Snafu)]
#[snafu(display("bind {at}: {source}"))]
pub struct BindError {
    at: String,
    source: std::io::Error,
}

/// Paces replica pushes: few at once towards a server, and half a link's bytes at most.
#[derive(Default)]
pub struct PushPacer {
    to: Mutex<BTreeMap<String, usize>>,
    free_at: Mutex<BTreeMap<String, u64>>,
}

pub struct PushPermit<'a>(&'a PushPacer, String);

impl Drop for PushPermit<'_> {
    fn drop(&mut self) {
        self.0
            .to
            .lock()
            .unwrap()
            .get_mut(&self.1)
            .into_iter()
            .for_each(|n| *n = n.saturating_sub(1));
    }
}

impl PushPacer {
    pub async fn acquire(&self, runtime: &Runtime, from: &str, to: &str) -> Option<PushPermit<'_>> {
        let end = runtime.now() + KV_PUSH_TIMEOUT;
        loop {
            let at = self.free_at.lock().unwrap().get(from).cloned().unwrap_or(0);
            if at > end {
                return None;
            }
            if at <= runtime.now() {
                let mut g = self.to.lock().unwrap();
                let n = g.entry(to.into()).or_default();
                if *n < KV_PUSHES_PER_SERVER {
                    *n += 1;
                    return Some(PushPermit(self, to.into()));
                }
            }
            if runtime.now() > end {
                return None;
            }
            runtime
                .sleep((at.saturating_sub(runtime.now())).max(50 * MS))
                .await;
        }
    }

    pub fn charge_link(&self, t: u64, from: &str, bytes: u64, per_s: u64) {
        let mut g = self.free_at.lock().unwrap();
        let e = g.entry(from.into()).or_default();
        *e = (*e)
            .max(t)
            .saturating_add(bytes.saturating_mul(2 * SEC) / per_s.max(1));
    }
}

pub struct DispatchGuard<'a>(&'a Front, String);

impl Drop for DispatchGuard<'_> {
    fn drop(&mut self) {
        self.0
            .dispatched_since_report
            .lock()
            .unwrap()
            .get_mut(&self.1)
            .into_iter()
            .for_each(|n| *n = n.saturating_sub(1));
    }
}

struct Ear(Arc<Front>);

impl RequestHandler for Ear {
    fn handle(self: Arc<Self>, p: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let (tell, blob) = match p.decode::<PeerRequest>() {
                Some(PeerRequest::ExchangeLoads { by_site }) => self.0.hear_load(&p, by_site),
                Some(ask) => (self.0.hear(ask, p.payload).await, vec![]),
                None => (PeerResponse::Rejected(Code::BadBody), vec![]),
            };
            Reply {
                message: serde_json::to_vec(&tell).unwrap_or_default(),
                payload: blob,
            }
        })
    }
}

impl Front {
    /// A front with the product's own doors.
    pub async fn start(w: &Runtime, settings: ProcessSettings) -> Result<Arc<Front>, BindError> {
        let f = Front::open(w, settings);
        let http = f.listen().await?;
        let me = f.clone();
        let h: yewcross_common::buffered_http::Handler =
            Arc::new(move |j| Box::pin(answer(me.clone(), j)));
        w.spawn(yewcross_common::buffered_http::serve(
            w.clone(),
            http,
            h,
            f.connections.clone(),
        ));
        f.run();
        w.spawn(load_reports::run(f.clone()));
        Ok(f)
    }

    /// A front that serves routed requests through another platform's ports.
    pub async fn start_with(
        w: &Runtime,
        settings: ProcessSettings,
        o: FrontOptions,
    ) -> Result<Arc<Front>, BindError> {
        let f = Front::open(w, settings);
        f.serve_routes(o).await?;
        Ok(f)
    }

    /// The same in two steps, for ports that need the front's peers, members and book first.
    pub async fn serve_routes(self: &Arc<Self>, o: FrontOptions) -> Result<(), BindError> {
        let (f, w) = (self, &self.runtime);
        let http = f.listen().await?;
        let m = f.members.clone();
        let relay = Arc::new(relay::Relay {
            runtime: w.clone(),
            documents: f.documents.clone(),
            site: f.settings.site.clone(),
            caller: o.caller,
            upstream_protocol: o.upstream_protocol,
            turn_log: o.turn_log,
            front_count: Default::default(),
            pool: Default::default(),
            balance: Default::default(),
            retry_budget: Default::default(),
            counts: Default::default(),
        });
        let _ = f.relay.set(relay.clone());
        let r = relay.clone();
        let h: streaming_http::Handler = Arc::new(move |q, _| Box::pin(r.clone().serve(q)));
        let b = f.documents.clone();
        w.spawn(streaming_http::serve(
            w.clone(),
            http,
            h,
            Arc::new(move || b.config.load().1.routing.limits.clone()),
            f.web.clone(),
        ));
        f.run();
        if relay.balance.policies.has(Mechanism::LoadExchange) {
            let exchange =
                LoadExchange::new(&f.members, &f.documents, &f.settings.name, &f.settings.site);
            let _ = f.load_exchange.set(exchange.clone());
            w.spawn(exchange.run(relay.clone()));
        }
        let w = w.clone();
        self.runtime.spawn(async move {
            loop {
                w.sleep(MAINTENANCE_INTERVAL).await;
                relay.prune(
                    m.view
                        .load()
                        .values()
                        .filter(|n| n.role == Role::Front)
                        .count(),
                );
            }
        });
        Ok(())
    }

    /// Whether new callers may be sent here.
    pub fn ready(&self) -> bool {
        !self.leaving.load(SeqCst) && self.relay.get().is_some_and(|r| r.has_documents())
    }

    fn run(self: &Arc<Self>) {
        self.runtime.spawn(self.members.clone().run());
        self.runtime.spawn(self.watcher.clone().run());
    }

    async fn listen(self: &Arc<Self>) -> Result<Box<dyn Listener>, BindError> {
        let bind = |at: std::net::SocketAddr| {
            move |source| BindError {
                at: at.to_string(),
                source,
            }
        };
        let door = self
            .runtime
            .bind(self.settings.peer)
            .await
            .map_err(bind(self.settings.peer))?;
        let http = self
            .runtime
            .bind(self.settings.http)
            .await
            .map_err(bind(self.settings.http))?;
        self.runtime
            .spawn(self.peers.clone().serve(door, Arc::new(Ear(self.clone()))));
        Ok(http)
    }

    /// A front that nobody can reach yet.
    pub fn open(runtime: &Runtime, settings: ProcessSettings) -> Arc<Front> {
        Front::open_by(runtime, settings, None)
    }

    /// The same, where configurations are written in another dialect and fronts serve without
    /// leases, by what they hold.
    pub fn open_without_leases(
        runtime: &Runtime,
        settings: ProcessSettings,
        dialect: Arc<dyn ConfigurationFormat>,
    ) -> Arc<Front> {
        Front::open_by(runtime, settings, Some(dialect))
    }

    fn open_by(
        runtime: &Runtime,
        settings: ProcessSettings,
        dialect: Option<Arc<dyn ConfigurationFormat>>,
    ) -> Arc<Front> {
        let peers = PeerClient::new(runtime, &settings.name, &settings.site, settings.wire);
        let members = Membership::new(runtime, &settings, &peers, "");
        let (book, follow) = match dialect {
            None => {
                let book = DocumentCache::new(runtime);
                let follow = DocumentWatcher::new(&members, &book, &settings.name, true);
                (book, follow)
            }
            Some(d) => {
                let book = DocumentCache::with_format(runtime, d);
                let follow = DocumentWatcher::without_leases(
                    &members,
                    &book,
                    &settings.name,
                    true,
                    settings.bounds.apply * MS,
                );
                (book, follow)
            }
        };
        Arc::new(Front {
            runtime: runtime.clone(),
            peers,
            members,
            documents: book,
            watcher: follow,
            connections: Default::default(),
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
            web: Default::default(),
            leaving: Default::default(),
            settings,
        })
    }

    /// A report of what another front, or another site, has under way.
    fn hear_load(&self, report: &Envelope, by_site: bool) -> (PeerResponse, Vec<u8>) {
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

    async fn hear(self: &Arc<Self>, a: PeerRequest, blob: Vec<u8>) -> PeerResponse {
        match a {
            PeerRequest::Probe { .. }
            | PeerRequest::ProbeOnBehalf { .. }
            | PeerRequest::ExchangeMembership { .. }
            | PeerRequest::MembershipUpdate { .. } => self.members.handle(a).await,
            PeerRequest::PollDocuments { .. } => self.watcher.poll_response(),
            PeerRequest::ServersLeaving { servers, .. } => {
                self.documents.mark_leaving(&servers);
                PeerResponse::Ok
            }
            PeerRequest::PublishDelta {
                name,
                version: seq,
                ballot: epoch,
                base,
                base_digest,
                ..
            } => {
                if self
                    .documents
                    .apply_delta(&name, base, &base_digest, seq, epoch, &blob)
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
                version: seq,
                ballot: epoch,
                ..
            } => {
                if self.documents.apply(&name, seq, epoch, blob) && name != "list" {
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

    /// Asks the key's owner, and the next in rank where it cannot be reached.
    pub async fn call_store(
        self: &Arc<Self>,
        key: &str,
        a: &PeerRequest,
        blob: &[u8],
        rounds: usize,
    ) -> Option<(PeerResponse, Vec<u8>)> {
        self.call_store_until(key, a, blob, rounds, u64::MAX).await
    }

    /// The same, beginning no new try after the given time.
    pub async fn call_store_until(
        self: &Arc<Self>,
        key: &str,
        a: &PeerRequest,
        blob: &[u8],
        rounds: usize,
        until: u64,
    ) -> Option<(PeerResponse, Vec<u8>)> {
        let mut last = None;
        for i in 0..rounds {
            for to in replicas_by_preference(&self.documents, &self.members, key) {
                if self.runtime.now() > until {
                    return last;
                }
                match self.peers.request(to, a, blob, PEER_REQUEST_TIMEOUT).await {
                    Ok((t @ PeerResponse::Rejected(Code::StoreAway | Code::Undecided), b)) => {
                        last = Some((t, b))
                    }
                    Ok(x) => return Some(x),
                    Err(SendError::NotSent) => {}
                    Err(SendError::OutcomeUnknown) => last = None,
                }
            }
            if i + 1 < rounds {
                self.runtime.sleep(30 * MS).await;
            }
        }
        last
    }

    /// Tells the store that a shot will not be dispatched.
    pub fn abort_turn(self: &Arc<Self>, key: &str, job: &str, nonce: u64, budget: Option<String>) {
        let (me, key, job) = (self.clone(), key.to_string(), job.to_string());
        self.runtime.spawn(async move {
            let a = PeerRequest::AbortTurn {
                key: key.clone(),
                request_id: job,
                nonce,
                budget,
            };
            for i in 0..4u64 {
                if let Some((PeerResponse::Ok | PeerResponse::Rejected(Code::Conflict), _)) =
                    me.call_store(&key, &a, &[], 1).await
                {
                    return;
                }
                me.runtime.sleep((100 << i) * MS).await;
            }
        });
    }

    /// A planned stop: what was read whole is answered, the accept backlog included.
    pub async fn stop(&self) {
        self.leaving.store(true, SeqCst);
        if self.relay.get().is_some() {
            return self.stop_routes().await;
        }
        self.connections.closing.set();
        self.runtime.sleep(200 * MS).await;
        self.connections.emptied().await;
        self.members.announce_leaving().await;
    }

    /// Callers are sent elsewhere first; then the door closes, and what is under way comes to its
    /// end.
    async fn stop_routes(&self) {
        let end =
            self.runtime.now() + (self.settings.bounds.grace * MS).saturating_sub(SHUTDOWN_RESERVE);
        self.web.last();
        self.runtime
            .sleep(SHUTDOWN_DRAIN_DELAY.min(self.settings.bounds.grace * MS / 3))
            .await;
        self.web.close();
        self.runtime
            .timeout(end.saturating_sub(self.runtime.now()), self.web.emptied())
            .await;
        self.members.announce_leaving().await;
    }

    pub fn count_dispatch(&self, server: &str) -> DispatchGuard<'_> {
        *self
            .dispatched_since_report
            .lock()
            .unwrap()
            .entry(server.into())
            .or_default() += 1;
        DispatchGuard(self, server.into())
    }

    pub fn record_failure(&self, server: &str) {
        let mut g = self.recent_failures.lock().unwrap();
        let e = g.entry(server.into()).or_default();
        *e = ((e.0 + 1).min(16), self.runtime.now() + 5 * SEC);
    }

    pub fn clear_failures(&self, server: &str) {
        self.recent_failures.lock().unwrap().remove(server);
    }

    pub fn cache_history(&self, key: &str, hist: Vec<u8>) {
        let mut g = self.cached_histories.lock().unwrap();
        g.insert(key.into(), hist);
        while g.len() > CACHED_SESSION_HISTORIES {
            g.pop_first();
        }
    }

    pub fn remove_expired(&self) {
        let t = self.runtime.now();
        self.pool.prune(t);
        self.announced_reports.lock().unwrap().retain(|n, _| {
            self.documents
                .server_list
                .load()
                .1
                .servers
                .iter()
                .any(|s| s.server == *n)
        });
        self.received_reports
            .lock()
            .unwrap()
            .retain(|_, h| t < h.as_of + 60 * SEC);
        self.recent_failures.lock().unwrap().retain(|_, s| t < s.1);
    }
}

/// Every outcome tells under which configuration it was made, and of which shot it speaks.
async fn answer(front: Arc<Front>, j: BufferedRequest) -> Response {
    let v = front.documents.config.load().0;
    let nonce = front.runtime.random();
    let shot = matches!(j.path.as_str(), "/v1/turn" | "/v1/lookup").then(|| format!("{nonce:x}"));
    let mut r = route(front, j, nonce).await;
    r.insert_header("yewcross-config", v.to_string());
    shot.into_iter().for_each(|s| {
        r.insert_header("yewcross-shot", s);
    });
    r
}

async fn route(front: Arc<Front>, j: BufferedRequest, nonce: u64) -> Response {
    match (j.verb, j.path.as_str()) {
        (Method::Post, "/v1/turn") => turn::answer(front, j, nonce).await,
        (Method::Post, "/v1/session/end") => turn::end_session(front, j).await,
        (Method::Post, "/v1/lookup") => lookup::answer(front, j, nonce).await,
        (Method::Get, "/v1/servers") => {
            reply(200, &server_table::eligible_servers_by_service(&front))
        }
        (Method::Get, "/health") => {
            let ok = front.watcher.may_serve();
            let v: BTreeMap<String, u64> = front.documents.versions().into_iter().collect();
            reply(
                if ok { 200 } else { 503 },
                &json!({"serving": ok, "versions": v}),
            )
        }
        (Method::Get, "/metrics") => {
            let t = &front.peers.metrics;
            reply(
                200,
                &json ! ( { "counts" : front . counts . all ( ) , "kinds" : * t . kinds . lock ( ) . unwrap ( ) , "odd_frames" : front . peers . rejected_frames . load ( SeqCst ) , "messages" : t . messages_sent . load ( SeqCst ) , "bytes_within" : t . same_site_bytes . load ( SeqCst ) , "bytes_across" : t . cross_site_bytes . load ( SeqCst ) , "lines" : front . admission . queue_depths ( ) , "open" : front . connections . open . load ( SeqCst ) ,
                    "busy": front.connections.busy.load(SeqCst)}),
            )
        }
        (
            _,
            "/v1/turn" | "/v1/lookup" | "/v1/session/end" | "/v1/servers" | "/health" | "/metrics",
        ) => refuse(Code::WrongVerb, "", 0),
        _ => refuse(Code::UnknownPath, &j.path, 0),
    }
}
