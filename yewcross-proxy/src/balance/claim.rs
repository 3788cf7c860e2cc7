//! A place taken at a server, and what is learned while it is held.

use super::ServiceState;
use super::server::ServerState;
use crate::policy::{Mechanism, Policies};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::Runtime;

/// A place taken at a server; given back when dropped.
pub struct Claim {
    pub(super) service: Arc<Mutex<ServiceState>>,
    pub(super) w: Runtime,
    pub(super) policies: Policies,
    pub target: ListedServer,
    /// us. When it was taken.
    pub(super) at: u64,
    /// Tokens that the server has to read before the first event, the request's own and all.
    pub(super) missing: u64,
    pub(super) reading_ahead: u64,
    pub(super) tokens: u64,
    /// Requests under way there beside it when it was taken, and whether a slot was free.
    pub(super) load: f64,
    pub(super) had_slot: bool,
    /// us. When the head of the answer came; 0 before.
    pub(super) headed_at: u64,
}

impl Claim {
    /// The head of the answer is here.
    pub fn record_response_head(&mut self) {
        let now = self.w.now();
        if self.headed_at > 0 {
            return;
        }
        self.headed_at = now;
        let took = (now - self.at) as f64;
        let mut g = self.service.lock().unwrap();
        g.usual = if g.usual == 0.0 {
            took
        } else {
            g.usual * 0.9 + took * 0.1
        };
        if self.had_slot && self.tokens > 0 {
            g.observed
                .prefill
                .add((self.missing + self.reading_ahead) as f64, took);
        }
        if let Some(s) = g.servers.get_mut(&self.target.server) {
            s.reading = s.reading.saturating_sub(self.missing);
            s.ejection.answered(now);
        }
    }

    /// us that the server takes to read the prompt and what it reads before it, as far as is known.
    pub fn expected_prefill_us(&self) -> u64 {
        let token_us = self.service.lock().unwrap().observed.prefill.value();
        ((self.missing + self.reading_ahead) as f64 * token_us) as u64
    }

    /// us of silence after which a stream is stalled, where a pause of `gap_ms` is still in time.
    pub fn stall_timeout_us(&self, gap_ms: u64) -> u64 {
        let usual = self.service.lock().unwrap().observed.mean_event_gap_us();
        (gap_ms * MS * STALL_GAP_PERCENT / 100).max((STALL_FACTOR * usual) as u64)
    }

    /// A stream of so many events came to its end.
    pub fn record_stream_end(&self, events: u64) {
        let took = self.w.now() - self.headed_at;
        if events > 1 && self.headed_at > 0 {
            let gap_us = took as f64 / (events - 1) as f64;
            self.service
                .lock()
                .unwrap()
                .observed
                .record_stream_end(events, gap_us, self.load);
        }
    }

    /// The server told its load: requests running and waiting, and its slots.
    pub fn record_reported_load(&self, (running, waiting, slots): (u32, u32, u32)) {
        let now = self.w.now();
        if self.policies.has(Mechanism::ReportedLoad) {
            let mut g = self.service.lock().unwrap();
            g.told_at = now;
            g.servers
                .entry(self.target.server.clone())
                .or_default()
                .told(running, waiting, slots, now);
        }
    }

    /// It turned a request away for want of room.
    pub fn record_overload(&self) {
        let now = self.w.now();
        let mut g = self.service.lock().unwrap();
        let pause = (g.usual / 4.0)
            .clamp(FULL_SERVER_PAUSE_MIN as f64, FULL_SERVER_PAUSE_MAX as f64)
            as u64;
        g.servers
            .entry(self.target.server.clone())
            .or_default()
            .full_until = now + pause;
    }

    pub fn record_failure(&self) {
        let now = self.w.now();
        self.server(|s| s.ejection.failed(now));
    }

    /// It has read these parts and may hold them.
    pub fn record_prefill(&self, parts: &[(u64, u64)], room: u64) {
        self.server(|s| s.read(parts, room));
    }

    fn server(&self, change: impl FnOnce(&mut ServerState)) {
        change(
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
        let mut g = self.service.lock().unwrap();
        if let Some(s) = g.servers.get_mut(&self.target.server) {
            s.in_flight = s.in_flight.saturating_sub(1);
            s.tokens = s.tokens.saturating_sub(self.tokens);
            if self.headed_at == 0 {
                s.reading = s.reading.saturating_sub(self.missing);
                s.ejection.dropped();
            }
        }
        g.queue.wake();
    }
}
