//! Pacing of the pushes that bring replicas of cached prefixes to other servers.

use std::collections::BTreeMap;
use std::sync::Mutex;
use yewcross_common::constants::{KV_PUSH_TIMEOUT, KV_PUSHES_PER_SERVER, MS, SEC};
use yewcross_common::runtime::Runtime;

/// Paces replica pushes: at most [`KV_PUSHES_PER_SERVER`] at once to one server, and at most half
/// of the sending server's link bandwidth.
#[derive(Default)]
pub struct PushPacer {
    /// Pushes in progress by receiving server.
    in_flight: Mutex<BTreeMap<String, usize>>,
    /// By sending server: when its link may be used for the next push (us of the node's clock).
    free_at: Mutex<BTreeMap<String, u64>>,
}

/// Permission for one push to a server; dropping it allows the next.
pub struct PushPermit<'a>(&'a PushPacer, String);

impl Drop for PushPermit<'_> {
    fn drop(&mut self) {
        self.0
            .in_flight
            .lock()
            .unwrap()
            .get_mut(&self.1)
            .into_iter()
            .for_each(|pushes| *pushes = pushes.saturating_sub(1));
    }
}

impl PushPacer {
    /// Waits until a push between the two servers is allowed; None if none is within
    /// [`KV_PUSH_TIMEOUT`].
    pub async fn acquire(&self, runtime: &Runtime, from: &str, to: &str) -> Option<PushPermit<'_>> {
        let deadline = runtime.now() + KV_PUSH_TIMEOUT;
        loop {
            let free_at = self.free_at.lock().unwrap().get(from).cloned().unwrap_or(0);
            if free_at > deadline {
                return None;
            }
            if free_at <= runtime.now() {
                let mut in_flight = self.in_flight.lock().unwrap();
                let pushes = in_flight.entry(to.into()).or_default();
                if *pushes < KV_PUSHES_PER_SERVER {
                    *pushes += 1;
                    return Some(PushPermit(self, to.into()));
                }
            }
            if runtime.now() > deadline {
                return None;
            }
            runtime
                .sleep((free_at.saturating_sub(runtime.now())).max(50 * MS))
                .await;
        }
    }

    /// Reserves the sender's link for twice the time that the bytes take at the link's rate (bytes
    /// per second), so that pushes use at most half of it.
    pub fn charge_link(&self, now: u64, from: &str, bytes: u64, bytes_per_s: u64) {
        let mut free_at = self.free_at.lock().unwrap();
        let link_free_at = free_at.entry(from.into()).or_default();
        *link_free_at = (*link_free_at)
            .max(now)
            .saturating_add(bytes.saturating_mul(2 * SEC) / bytes_per_s.max(1));
    }
}
