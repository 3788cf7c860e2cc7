//! A model or lookup server that behaves as docs/backends.md says, and can be made to misbehave.
//!
//! `http` dispatches requests, `turn` and `lookup` execute them, `kv_cache` moves sessions between
//! servers, `executions` records what ran.

mod executions;
mod faults;
mod http;
mod kv_cache;
mod lookup;
mod turn;

pub use executions::{Execution, ExecutionLog, LateArrival};
pub use faults::StubFaults;
pub use kv_cache::HeldTokens;
pub use turn::{DIGESTED_LINES, line_digest, recent_line_digests};

use executions::LiveExecutions;
use http_types::Response;
use kv_cache::KvCache;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use yewcross_common::buffered_http::{self, ConnectionTracker, json_response};
use yewcross_common::constants::{MS, SEC};
use yewcross_common::protocol::LoadReport;
use yewcross_common::runtime::Runtime;

/// us between two looks for a free slot.
const SLOT_POLL: u64 = 5 * MS;
/// us that a stalled job takes.
const STALL_TIME: u64 = 60 * SEC;

/// What a stub server is; the members' names in a file are those of its `--spec`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StubServerSettings {
    /// Its name.
    pub server: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands.
    pub site: String,
    /// Whether it runs turns, not lookups.
    #[serde(rename = "model")]
    pub is_model: bool,
    /// Jobs that it runs at once; as many more may queue.
    pub slots: u32,
    /// us for a thousand prompt tokens.
    #[serde(rename = "per_k")]
    pub prefill_us_per_1000: u64,
    /// us for an output token, or for a lookup.
    #[serde(rename = "per_out")]
    pub output_us: u64,
    /// Tokens that its cache holds.
    #[serde(rename = "cache")]
    pub cache_tokens: u64,
    /// Bytes a second between servers.
    #[serde(rename = "link")]
    pub link_bytes_per_second: u64,
    /// Names the weights that it has loaded.
    pub weights: String,
}

#[derive(Default)]
struct State {
    running: u32,
    waiting: u32,
    /// Sequence number of the latest load report.
    report_sequence: u64,
    kv: KvCache,
    faults: StubFaults,
    is_draining: bool,
    live: LiveExecutions,
}

/// A running stub server.
pub struct StubServer {
    runtime: Runtime,
    /// What ran here and at the servers that share it.
    pub log: Arc<ExecutionLog>,
    /// What it is.
    pub settings: StubServerSettings,
    /// Identifies this start of the server.
    pub instance: u64,
    state: Mutex<State>,
}

/// A slot in which a job runs; free again once dropped.
struct Slot<'a>(&'a StubServer);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.state().running -= 1;
    }
}

impl StubServer {
    /// Listens and serves. What runs is recorded in `log`, which outlives the server.
    pub async fn start(
        runtime: &Runtime,
        settings: StubServerSettings,
        log: Arc<ExecutionLog>,
    ) -> std::io::Result<Arc<StubServer>> {
        let listener = runtime.bind(settings.addr).await?;
        let server = Arc::new(StubServer {
            runtime: runtime.clone(),
            log,
            instance: runtime.wall_clock_ms() << 4 | (runtime.random() & 15),
            settings,
            state: Default::default(),
        });
        let handler: buffered_http::Handler = {
            let server = server.clone();
            Arc::new(move |request| Box::pin(http::handle(server.clone(), request)))
        };
        let connections = Arc::new(ConnectionTracker::default());
        let serving = buffered_http::serve(runtime.clone(), listener, handler, connections);
        runtime.spawn(serving);
        Ok(server)
    }

    /// Replaces the faults that the server shows.
    pub fn set_faults(&self, faults: StubFaults) {
        let mut state = self.state();
        if let Some(is_draining) = faults.is_draining {
            state.is_draining = is_draining;
        }
        state.faults = faults;
    }

    /// Sets whether the server announces that it leaves, and takes no more jobs.
    pub fn set_draining(&self, is_draining: bool) {
        self.state().is_draining = is_draining;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn is_draining(&self) -> bool {
        self.state().is_draining
    }

    /// The name that it goes by, which a fault may change.
    fn name(&self) -> String {
        let impersonated = self.state().faults.impersonate.clone();
        impersonated.unwrap_or_else(|| self.settings.server.clone())
    }

    /// Says which server, in which start, answers for the job.
    fn stamp(&self, job: &str) -> Value {
        json!({
            "service": self.settings.service,
            "server": self.name(),
            "inst": self.instance,
            "weights": self.settings.weights,
            "job": job,
        })
    }

    fn load_report(&self) -> LoadReport {
        let server = self.name();
        let mut state = self.state();
        state.report_sequence += 1;
        LoadReport {
            service: self.settings.service.clone(),
            server,
            instance: self.instance,
            sequence: state.report_sequence,
            slots: self.settings.slots,
            running: state.running,
            waiting: state.waiting,
            weights: self.settings.weights.clone(),
            leaving: state.is_draining,
            placed_tokens: state.kv.placed_tokens,
            cache_tokens: self.settings.cache_tokens,
            prefill_us_per_1000: self.settings.prefill_us_per_1000,
            decode_us_per_token: self.settings.output_us,
            age_us: 0,
        }
    }

    fn reject(&self, job: &str) -> Response {
        json_response(503, &json!({"refused": true, "stamp": self.stamp(job)}))
    }

    /// Waits for a free slot. None if the server drains or its queue is full.
    async fn acquire_slot(&self) -> Option<Slot<'_>> {
        {
            let mut state = self.state();
            if state.is_draining || state.waiting >= self.settings.slots {
                return None;
            }
            state.waiting += 1;
        }
        loop {
            {
                let mut state = self.state();
                if state.running < self.settings.slots {
                    state.running += 1;
                    state.waiting -= 1;
                    return Some(Slot(self));
                }
            }
            self.runtime.sleep(SLOT_POLL).await;
        }
    }
}

/// A string member of a request's body; empty if it is missing.
fn text(body: &Value, member: &str) -> String {
    body[member].as_str().unwrap_or("").to_string()
}
