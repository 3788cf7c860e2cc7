//! Handling of a routed request, from receiving it to sending the last byte of its response.
//!
//! - `admission` reads the request, selects its route and opens its turn.
//! - `dispatch` chooses servers and limits the number of attempts.
//! - `hedge` sends the request to a second server when the first one does not respond in time.
//! - `retry_budget` limits retries and hedged requests.
//! - `attempt` sends the request to one server and classifies the response.
//! - `upstream_body` reads the body of a server's response, and `streaming` forwards it.
//! - `stall` detects streams that have stopped, and `resume` continues a broken or stalled stream
//!   on another server.
//! - `prompt` is the body that is sent to servers.
//! - `turn` settles the token usage of the request's turn.
//! - `shutdown` decides which requests are still forwarded once the front is to stop.

mod admission;
mod attempt;
mod dispatch;
mod headers;
mod hedge;
mod prompt;
mod resume;
mod retry_budget;
mod shutdown;
mod stall;
mod streaming;
mod turn;
mod upstream_body;

use crate::balance::LoadBalancer;
use crate::pool::Pool;
use crate::relay::prompt::Prompt;
use bytes::Bytes;
use http::{Request, Response, request};
use hyper::body::Incoming;
pub use retry_budget::RetryBudget;
pub use shutdown::{Shutdown, ShutdownSchedule};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use yewcross_common::adapter::{CallerProtocol, RequestMeta, UpstreamProtocol};
use yewcross_common::buffer_memory::BufferMemory;
use yewcross_common::configuration::route::Route;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::error_code::Code;
use yewcross_common::runtime::*;
use yewcross_common::streaming_http::{Body, full};
use yewcross_common::turn_log::TurnLogService;

macro_rules! counts {
    ($($f:ident),*) => {
        /// Counters of requests and of the attempts made for them. The names of the fields are the
        /// names of the metrics.
        #[derive(Default)]
        pub struct Counts { $(pub $f: AtomicU64),* }
        impl Counts {
            pub fn all(&self) -> std::collections::BTreeMap<&'static str, u64> {
                [$((stringify!($f), self.$f.load(SeqCst))),*].into()
            }
        }
    };
}

// Requests: `taken` counts requests received, `refused` rejections by this front, `expired`
// requests without an answer by their deadline, `passed` responses that began to be forwarded.
// Attempts: `sent` counts requests handed to a connection, `not_run` servers that stated that they
// did not execute the request, `unsent` attempts of which no byte was sent, `withdrawn` attempts
// cancelled before the first byte because the selection was no longer current, `lost` attempts
// without an answer that may have been executed, `strangers` responses that could not be identified
// as the server's answer to the attempt, `second` hedged requests.
// Streams: `stalled` counts detected stalls, `resumed` attempts to continue a stream on another
// server, `recovered` stalled streams that the original server continued, `broken` answers that
// ended before they were complete, `unkept` turns that could not be stored.
counts!(
    taken, sent, passed, not_run, unsent, withdrawn, lost, strangers, refused, expired, second,
    stalled, resumed, recovered, broken, unkept
);

/// The data plane of a front: accepts requests of clients and forwards them to servers.
pub struct Relay {
    pub runtime: Runtime,
    pub documents: Arc<DocumentCache>,
    /// Site of this front.
    pub site: String,
    pub caller: Arc<dyn CallerProtocol>,
    pub upstream_protocol: Arc<dyn UpstreamProtocol>,
    /// Absent where no turn log is configured; requests of retained routes are then rejected.
    pub turn_log: Option<Arc<dyn TurnLogService>>,
    /// Number of fronts that share the connections to the servers, this one included.
    pub front_count: AtomicUsize,
    pub pool: Pool,
    pub balance: LoadBalancer,
    pub retry_budget: RetryBudget,
    pub counts: Counts,
    /// Memory for requests, prompts and responses.
    pub buffer_memory: Arc<BufferMemory>,
    pub shutdown: Shutdown,
}

/// One attempt of a caller, with its complete body.
#[derive(Clone)]
struct ClientRequest {
    head: request::Parts,
    meta: RequestMeta,
    /// The value of the `Host` header.
    host: String,
    /// The body that the caller sent.
    input: Bytes,
    /// The body that is sent to the server. On a retained route it begins with the chain.
    prompt: Prompt,
    /// When the request was received, in us of the runtime's clock.
    received_at: u64,
    /// When the request expires, in us of the runtime's clock.
    deadline: u64,
}

/// A request that ends without a response of a server: the code, the reason, and the ms after which
/// a retry may help (0 where none is suggested).
struct Rejection(Code, &'static str, u64);

impl Relay {
    fn reject(&self, rejection: Rejection) -> Response<Body> {
        self.counts.refused.fetch_add(1, SeqCst);
        self.caller
            .reject(rejection.0, rejection.1, rejection.2)
            .map(full)
    }

    /// Answers one request. The future is dropped when the caller disconnects, which cancels all
    /// attempts in progress for it.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.counts.taken.fetch_add(1, SeqCst);
        match self.clone().handle(request).await {
            Ok(response) => response,
            Err(rejection) => self.reject(rejection),
        }
    }

    /// ms after which a retry may help: a quarter of the route's target latency, within 20 to 1,000
    /// ms.
    fn retry_after_ms(&self, route: &Route) -> u64 {
        (route.target_ms / 4).clamp(20, 1_000)
    }

    /// Tokens in each event of the service; none where the current configuration does not contain
    /// the service.
    fn tokens_per_event(&self, service: &str) -> Option<u64> {
        let configuration = self.documents.config.load();
        let upstream = configuration.1.routing.upstreams.get(service)?;
        Some(
            upstream
                .engine
                .as_ref()
                .map_or(1, |engine| engine.tokens_per_event.max(1)),
        )
    }

    /// Tokens that the prefix cache of a server of the service holds; 0 where that is not
    /// configured.
    fn cache_tokens(&self, service: &str) -> u64 {
        let configuration = self.documents.config.load();
        configuration
            .1
            .routing
            .upstreams
            .get(service)
            .and_then(|upstream| upstream.engine.as_ref())
            .map_or(0, |engine| engine.cache_tokens)
    }

    /// Drops expired idle connections, and the connections and statistics of servers that are no
    /// longer listed.
    pub fn prune(&self, front_count: usize) {
        self.front_count.store(front_count, SeqCst);
        let list = self.documents.server_list.load();
        let is_listed = |name: &str| list.1.servers.iter().any(|server| server.server == name);
        self.pool.remove_expired(self.runtime.now(), is_listed);
        self.balance.prune(is_listed);
    }
}
