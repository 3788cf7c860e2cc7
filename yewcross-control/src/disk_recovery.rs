//! Recovers a node whose disk failed and works again: full, unreachable or in error for a while.
//!
//! The outcome of the failed write is unknown, so the node answers no requests for its registers
//! meanwhile. Before it takes part again, the disk must accept writes, bear the same identity, and
//! hold what this process has acknowledged.

use crate::Control;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{DISK_RETRY_INTERVAL, MS};

/// What an attempt to restore the disk came to.
enum Outcome {
    Restored {
        /// Files of unknown outcome that were written again.
        rewritten: usize,
    },
    /// The disk bears another identity or none: nothing that this process acknowledged may be there.
    OtherDisk,
}

/// Waits for failures and retries the disk until it is restored.
pub async fn run(control: Arc<Control>) {
    loop {
        let failure = control.storage.failure.listen();
        if !control.storage.failed.load(SeqCst) {
            failure.await;
            continue;
        }
        let since = control.runtime.now();
        if !restore_until_done(&control).await {
            control
                .runtime
                .log("the disk is not the one that was opened; it takes no part until restart");
            return;
        }
        control.runtime.log(&format!(
            "disk works again after {} ms",
            (control.runtime.now() - since) / MS
        ));
        control.documents.changed.notify(usize::MAX);
    }
}

/// Retries until the disk is restored; `false` where only a restart helps.
async fn restore_until_done(control: &Arc<Control>) -> bool {
    loop {
        control.runtime.sleep(DISK_RETRY_INTERVAL).await;
        let failures = control.storage.failures.load(SeqCst);
        match restore(control).await {
            Ok(Outcome::OtherDisk) => return false,
            // A write in flight may have failed meanwhile: the attempt counts only without one.
            Ok(Outcome::Restored { rewritten })
                if control.storage.failures.load(SeqCst) == failures =>
            {
                control.storage.failed.store(false, SeqCst);
                if rewritten > 0 {
                    control
                        .runtime
                        .log(&format!("{rewritten} files of unknown outcome put right"));
                }
                return true;
            }
            Ok(Outcome::Restored { .. }) | Err(_) => {}
        }
    }
}

/// Checks the disk and writes again what was acknowledged and may not be on it.
async fn restore(control: &Arc<Control>) -> io::Result<Outcome> {
    control.storage.probe().await?;
    if !control.storage.bears_identity().await? {
        return Ok(Outcome::OtherDisk);
    }
    let rewritten = control.replica.restore().await?;
    control.turn_store.restore().await?;
    Ok(Outcome::Restored { rewritten })
}
