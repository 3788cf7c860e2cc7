//! The path of a routed request, from its head to the last byte of its answer.
//!
//! `admission` reads it whole, finds its route and opens its turn; `dispatch` chooses servers and
//! counts attempts, `hedge` asks a second one where the first is silent, `retry_budget` bounds
//! both; `attempt` sends it to one server and judges what comes back; `upstream_body` reads what a
//! server sends, `streaming` forwards it, `stall` notices that it is silent, `resume` takes a broken
//! or stalled one up elsewhere; `turn` settles it.

mod admission;
mod attempt;
mod dispatch;
mod headers;
mod hedge;
mod resume;
mod retry_budget;
mod stall;
mod streaming;
mod turn;
mod upstream_body;

use crate::balance::LoadBalancer;
use crate::pool::Pool;
use bytes::Bytes;
use http::{Request, Response, request};
use hyper::body::Incoming;
pub use retry_budget::RetryBudget;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use yewcross_common::adapter::{CallerProtocol, RequestMeta, UpstreamProtocol};
use yewcross_common::configuration::route::Route;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::error_code::Code;
use yewcross_common::runtime::*;
use yewcross_common::streaming_http::{Body, full};
use yewcross_common::turn_log::TurnLogService;

macro_rules! counts {
    ($($f:ident),*) => {
        /// What became of requests and of what was sent for them.
        #[derive(Default)]
        pub struct Counts { $(pub $f: AtomicU64),* }
        impl Counts {
            pub fn all(&self) -> std::collections::BTreeMap<&'static str, u64> {
                [$((stringify!($f), self.$f.load(SeqCst))),*].into()
            }
        }
    };
}

counts!(
    taken, sent, passed, not_run, unsent, withdrawn, lost, strangers, refused, expired, second,
    stalled, resumed, recovered, broken, unkept
);

/// The data plane of a front: takes clients' requests and sends them on to servers.
pub struct Relay {
    pub runtime: Runtime,
    pub documents: Arc<DocumentCache>,
    pub site: String,
    pub caller: Arc<dyn CallerProtocol>,
    pub upstream_protocol: Arc<dyn UpstreamProtocol>,
    pub turn_log: Option<Arc<dyn TurnLogService>>,
    /// Fronts that share the servers' connections, ourselves among them.
    pub front_count: AtomicUsize,
    pub pool: Pool,
    pub balance: LoadBalancer,
    pub retry_budget: RetryBudget,
    pub counts: Counts,
}

/// One try of a caller, read whole.
#[derive(Clone)]
struct ClientRequest {
    head: request::Parts,
    meta: RequestMeta,
    host: String,
    /// What is sent on.
    body: Bytes,
    /// us of the world's clock.
    began: u64,
    until: u64,
}

/// How a request ends without an answer of a server: the code, the reason, and ms after which
/// coming back helps.
struct Rejection(Code, &'static str, u64);

impl Relay {
    fn refuse(&self, e: Rejection) -> Response<Body> {
        self.counts.refused.fetch_add(1, SeqCst);
        self.caller.reject(e.0, e.1, e.2).map(full)
    }

    /// Answers one request. Dropped when its caller goes, and with it all that is under way for it.
    pub async fn serve(self: Arc<Self>, q: Request<Incoming>) -> Response<Body> {
        self.counts.taken.fetch_add(1, SeqCst);
        match self.clone().handle(q).await {
            Ok(r) => r,
            Err(e) => self.refuse(e),
        }
    }

    /// ms after which coming back helps, inside the route's aim.
    fn soon(&self, r: &Route) -> u64 {
        (r.target_ms / 4).clamp(20, 1_000)
    }

    /// None where the newest configuration does not name the service.
    fn tokens_per_event(&self, service: &str) -> Option<u64> {
        let c = self.documents.config.load();
        let upstream = c.1.routing.upstreams.get(service)?;
        Some(
            upstream
                .engine
                .as_ref()
                .map_or(1, |e| e.tokens_per_event.max(1)),
        )
    }

    /// Tokens that a server of the service holds in memory.
    fn cache_tokens(&self, service: &str) -> u64 {
        let c = self.documents.config.load();
        c.1.routing
            .upstreams
            .get(service)
            .and_then(|u| u.engine.as_ref())
            .map_or(0, |e| e.cache_tokens)
    }

    /// Drops idle connections and records of servers that are gone.
    pub fn prune(&self, fronts: usize) {
        self.front_count.store(fronts, SeqCst);
        let l = self.documents.server_list.load();
        let listed = |s: &str| l.1.servers.iter().any(|x| x.server == s);
        self.pool.remove_expired(self.runtime.now(), listed);
        self.balance.prune(listed);
    }
}
