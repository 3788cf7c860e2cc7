//! Serving leases: a front may serve by its configuration only while it holds a lease granted by a
//! core.
//!
//! A core grants a lease with each poll of a front and keeps it in memory. The process that rolls
//! out a version collects the leases of a majority of the cores: a front that holds none of them,
//! or has acknowledged the version, cannot serve by an older one.

use crate::Control;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, SERVING_LEASE};
use yewcross_common::protocol::PeerResponse;

/// us. The granter considers a lease valid for this much longer than its holder does, to allow for
/// the transmission time of the response and for clocks that run at different rates.
pub(super) const SERVING_LEASE_MARGIN: u64 = 100 * MS;

/// Grants or renews the serving lease of a front.
pub(super) fn grant(control: &Control, front: &str) {
    let expires_at = control.runtime.now() + SERVING_LEASE + SERVING_LEASE_MARGIN;
    control
        .serving_leases
        .lock()
        .unwrap()
        .insert(front.into(), expires_at);
}

/// Returns the unexpired leases granted by this core, each with its remaining time in us. Version 0
/// in the response means that this core's disk does not hold `version` yet, so the core may still
/// grant leases for an older one.
pub(crate) async fn collect_serving_leases(
    control: &Arc<Control>,
    name: &str,
    version: u64,
) -> PeerResponse {
    // The disk is read before the leases: any lease granted after that read is granted by a core
    // that holds the version.
    let on_disk = control
        .replica
        .read_record(name)
        .await
        .map_or(0, |record| record.seq);
    let now = control.runtime.now();
    let mut leases = control.serving_leases.lock().unwrap();
    leases.retain(|_, expires_at| *expires_at > now);
    PeerResponse::ServingLeases {
        version: if on_disk >= version { on_disk } else { 0 },
        fronts: leases
            .iter()
            .map(|(front, expires_at)| (front.clone(), expires_at - now))
            .collect(),
        in_force: control.in_force_version.load(SeqCst),
    }
}
