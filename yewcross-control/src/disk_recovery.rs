//! Recovers a node after a temporary disk failure: a full, unreachable or faulty disk.
//!
//! The outcome of the failed write is unknown, so the node answers no requests for its registers until
//! the disk is restored: the disk must accept writes, have the same identity as before, and contain
//! everything that this process has acknowledged.

use crate::Control;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{DISK_RETRY_INTERVAL, MS};

/// Outcome of an attempt to restore the disk.
enum Outcome {
    Restored {
        /// Number of files that were written again because the outcome of their last write was
        /// unknown.
        rewritten: usize,
    },
    /// The disk has another identity or none, so it may contain nothing of what this process has
    /// acknowledged.
    OtherDisk,
}

/// Waits for disk failures and retries until the disk is restored.
pub async fn run(control: Arc<Control>) {
    loop {
        let failure = control.storage.failure_event.listen();
        if !control.storage.failed.load(SeqCst) {
            failure.await;
            continue;
        }
        let failed_at = control.runtime.now();
        if !restore_until_done(&control).await {
            control.runtime.log(
                "the disk's identity has changed since the start; it is not used until restart",
            );
            return;
        }
        control.runtime.log(&format!(
            "disk restored after {} ms",
            (control.runtime.now() - failed_at) / MS
        ));
        control.documents.changed.notify(usize::MAX);
    }
}

/// Retries until the disk is restored. Returns `false` if it cannot be restored without a restart.
async fn restore_until_done(control: &Arc<Control>) -> bool {
    loop {
        control.runtime.sleep(DISK_RETRY_INTERVAL).await;
        let failures = control.storage.write_failures.load(SeqCst);
        match restore(control).await {
            Ok(Outcome::OtherDisk) => return false,
            // The attempt is valid only if no concurrent write has failed in the meantime.
            Ok(Outcome::Restored { rewritten })
                if control.storage.write_failures.load(SeqCst) == failures =>
            {
                control.storage.failed.store(false, SeqCst);
                if rewritten > 0 {
                    control.runtime.log(&format!(
                        "{rewritten} files written again after writes of unknown outcome"
                    ));
                }
                return true;
            }
            Ok(Outcome::Restored { .. }) | Err(_) => {}
        }
    }
}

/// Checks the disk and writes again everything that was acknowledged and may be missing from it.
async fn restore(control: &Arc<Control>) -> io::Result<Outcome> {
    control.storage.probe().await?;
    if !control.storage.identity_matches().await? {
        return Ok(Outcome::OtherDisk);
    }
    let rewritten = control.replica.restore().await?;
    control.turn_store.reload_log().await?;
    Ok(Outcome::Restored { rewritten })
}
