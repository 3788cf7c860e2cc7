//! A claim reserves capacity at a server for one request and records what the response shows about
//! the server.

use super::ServiceState;
use super::server::ServerState;
use crate::policy::{Mechanism, Policies};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::Runtime;

/// Capacity reserved at a server for one request; released when dropped.
pub struct Claim {
    pub(super) service: Arc<Mutex<ServiceState>>,
    pub(super) runtime: Runtime,
    pub(super) policies: Policies,
    /// The server that was picked.
    pub target: ListedServer,
    /// When the capacity was reserved, in µs.
    pub(super) claimed_at: u64,
    /// Prompt tokens of this request that the server has to prefill.
    pub(super) uncached_tokens: u64,
    /// Tokens of earlier requests that the server still had to prefill when this one was placed.
    pub(super) prefill_backlog: u64,
    /// Uncached prompt tokens plus the maximum output tokens, reserved in the server's memory.
    pub(super) reserved_tokens: u64,
    /// Other requests in flight at the server when the capacity was reserved.
    pub(super) load: f64,
    /// Whether a slot was free at that time.
    pub(super) had_free_slot: bool,
    /// When the response head arrived, in µs; 0 before that.
    pub(super) head_at: u64,
}

impl Claim {
    /// Records that the response head has arrived.
    pub fn record_response_head(&mut self) {
        let now = self.runtime.now();
        if self.head_at > 0 {
            return;
        }
        self.head_at = now;
        let elapsed = (now - self.claimed_at) as f64;
        let mut service = self.service.lock().unwrap();
        service.usual_head_us = if service.usual_head_us == 0.0 {
            elapsed
        } else {
            service.usual_head_us * 0.9 + elapsed * 0.1
        };
        if self.had_free_slot && self.reserved_tokens > 0 {
            service.observed.prefill.add(
                (self.uncached_tokens + self.prefill_backlog) as f64,
                elapsed,
            );
        }
        if let Some(server) = service.servers.get_mut(&self.target.server) {
            server.prefill_backlog = server.prefill_backlog.saturating_sub(self.uncached_tokens);
            server.ejection.record_response_head(now);
        }
    }

    /// Estimated µs until the server has prefilled this prompt and the requests ahead of it.
    pub fn expected_prefill_us(&self) -> u64 {
        let token_us = self.service.lock().unwrap().observed.prefill.value();
        ((self.uncached_tokens + self.prefill_backlog) as f64 * token_us) as u64
    }

    /// µs without an event after which a stream counts as stalled, where events may be at most
    /// `gap_ms` milliseconds apart.
    pub fn stall_timeout_us(&self, gap_ms: u64) -> u64 {
        let usual_gap = self.service.lock().unwrap().observed.mean_event_gap_us();
        (gap_ms * MS * STALL_GAP_PERCENT / 100).max((STALL_FACTOR * usual_gap) as u64)
    }

    /// Records that a stream of this many events has ended.
    pub fn record_stream_end(&self, events: u64) {
        let elapsed = self.runtime.now() - self.head_at;
        if events > 1 && self.head_at > 0 {
            let gap_us = elapsed as f64 / (events - 1) as f64;
            self.service
                .lock()
                .unwrap()
                .observed
                .record_stream_end(events, gap_us, self.load);
        }
    }

    /// Records the load that the server reported in a response: running requests, waiting requests
    /// and slots.
    pub fn record_reported_load(&self, (running, waiting, slots): (u32, u32, u32)) {
        let now = self.runtime.now();
        if self.policies.has(Mechanism::ReportedLoad) {
            let mut service = self.service.lock().unwrap();
            service.load_reported_at = now;
            service
                .servers
                .entry(self.target.server.clone())
                .or_default()
                .record_reported_load(running, waiting, slots, now);
        }
    }

    /// Records that the server rejected a request because it is overloaded.
    pub fn record_overload(&self) {
        let now = self.runtime.now();
        let mut service = self.service.lock().unwrap();
        let pause = (service.usual_head_us / 4.0)
            .clamp(FULL_SERVER_PAUSE_MIN as f64, FULL_SERVER_PAUSE_MAX as f64)
            as u64;
        service
            .servers
            .entry(self.target.server.clone())
            .or_default()
            .overloaded_until = now + pause;
    }

    /// Records that a request to the server failed.
    pub fn record_failure(&self) {
        let now = self.runtime.now();
        self.update_server(|server| server.ejection.record_failure(now));
    }

    /// Records that the server has prefilled these prompt parts, each with its number of tokens, and
    /// may cache them within `capacity` tokens.
    pub fn record_prefill(&self, parts: &[(u64, u64)], capacity: u64) {
        self.update_server(|server| server.record_prefill(parts, capacity));
    }

    fn update_server(&self, update: impl FnOnce(&mut ServerState)) {
        update(
            self.service
                .lock()
                .unwrap()
                .servers
                .entry(self.target.server.clone())
                .or_default(),
        )
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut service = self.service.lock().unwrap();
        if let Some(server) = service.servers.get_mut(&self.target.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.reserved_tokens = server.reserved_tokens.saturating_sub(self.reserved_tokens);
            if self.head_at == 0 {
                server.prefill_backlog =
                    server.prefill_backlog.saturating_sub(self.uncached_tokens);
                server.ejection.record_end_without_head();
            }
        }
        service.queue.wake_next();
    }
}
