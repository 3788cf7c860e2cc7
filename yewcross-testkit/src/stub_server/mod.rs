//! A model or lookup server that implements docs/backends.md and can inject faults.
//!
//! `http` dispatches requests, `turn` and `lookup` execute them, `kv_cache` caches sessions and
//! transfers them between servers, `executions` records what was executed, and `faults` has the
//! faults that can be injected.

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

use executions::RunningExecutions;
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

/// us between two checks for a free slot.
const SLOT_POLL: u64 = 5 * MS;
/// us by which a stalled job is delayed.
const STALL_TIME: u64 = 60 * SEC;

/// Settings of a stub server. The names in `serde` attributes are those of the `--spec` file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StubServerSettings {
    /// Name of the server.
    pub server: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Address that the server listens on.
    pub addr: SocketAddr,
    /// Site of the server.
    pub site: String,
    /// Whether the server executes turns; if not, it executes lookups.
    #[serde(rename = "model")]
    pub is_model: bool,
    /// Jobs that the server executes concurrently; as many more may queue.
    pub slots: u32,
    /// Prefill time of 1000 prompt tokens, us.
    #[serde(rename = "per_k")]
    pub prefill_us_per_1000: u64,
    /// Time to generate an output token or to execute a lookup, us.
    #[serde(rename = "per_out")]
    pub output_us: u64,
    /// Capacity of the KV cache, tokens.
    #[serde(rename = "cache")]
    pub cache_tokens: u64,
    /// Bandwidth between servers, bytes per second.
    #[serde(rename = "link")]
    pub link_bytes_per_second: u64,
    /// Identifies the loaded weights.
    pub weights: String,
}

#[derive(Default)]
struct ServerState {
    /// Jobs that occupy a slot.
    running: u32,
    /// Jobs that wait for a slot.
    waiting: u32,
    /// Sequence number of the latest load report.
    report_sequence: u64,
    kv: KvCache,
    faults: StubFaults,
    is_draining: bool,
    running_executions: RunningExecutions,
}

/// A running stub server.
pub struct StubServer {
    runtime: Runtime,
    /// Executions of this server and of others that share the log.
    pub log: Arc<ExecutionLog>,
    /// Settings of the server.
    pub settings: StubServerSettings,
    /// Identifies this start of the server.
    pub instance: u64,
    state: Mutex<ServerState>,
}

/// A slot occupied by a job; released when dropped.
struct Slot<'a>(&'a StubServer);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.state().running -= 1;
    }
}

impl StubServer {
    /// Starts the server. Executions are recorded in `log`, which outlives the server.
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

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StubFaults) {
        let mut state = self.state();
        if let Some(is_draining) = faults.is_draining {
            state.is_draining = is_draining;
        }
        state.faults = faults;
    }

    /// Sets whether the server is draining: it reports that it is leaving and accepts no more jobs.
    pub fn set_draining(&self, is_draining: bool) {
        self.state().is_draining = is_draining;
    }

    fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap()
    }

    fn is_draining(&self) -> bool {
        self.state().is_draining
    }

    /// The name that the server reports, which a fault may replace.
    fn reported_name(&self) -> String {
        let impersonated = self.state().faults.impersonate.clone();
        impersonated.unwrap_or_else(|| self.settings.server.clone())
    }

    /// The stamp of a response: the server, its instance and the job.
    fn stamp(&self, job: &str) -> Value {
        json!({
            "service": self.settings.service,
            "server": self.reported_name(),
            "inst": self.instance,
            "weights": self.settings.weights,
            "job": job,
        })
    }

    fn load_report(&self) -> LoadReport {
        let server = self.reported_name();
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

    /// Waits for a free slot. None if the server is draining or its queue is full.
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

/// A string member of a request body; empty if it is missing.
fn string_member(body: &Value, member: &str) -> String {
    body[member].as_str().unwrap_or("").to_string()
}
