//! Counters of the messages and bytes that a process sends.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counters since the start of the process. Both requests and responses are counted.
#[derive(Default)]
pub struct TransportMetrics {
    /// Number of messages sent.
    pub messages_sent: AtomicU64,
    /// Bytes of the frames sent to nodes of the same site.
    pub same_site_bytes: AtomicU64,
    /// Bytes of the frames sent to other sites.
    pub cross_site_bytes: AtomicU64,
    /// For each kind of request: the number sent, the bytes of their frames, and the bytes of the
    /// responses without the frame's other fields. The operators' status reports them as an array.
    pub kinds: Mutex<BTreeMap<&'static str, (u64, u64, u64)>>,
}

impl TransportMetrics {
    pub(super) fn record_frame(&self, is_same_site: bool, bytes: usize) {
        self.messages_sent.fetch_add(1, Relaxed);
        let site_bytes = if is_same_site {
            &self.same_site_bytes
        } else {
            &self.cross_site_bytes
        };
        site_bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub(super) fn record_request(&self, kind: &'static str, sent_bytes: u64, received_bytes: u64) {
        let mut kinds = self.kinds.lock().unwrap();
        let (count, sent, received) = kinds.entry(kind).or_default();
        *count += 1;
        *sent += sent_bytes;
        *received += received_bytes;
    }
}
