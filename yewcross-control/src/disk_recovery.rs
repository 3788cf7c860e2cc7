//! Brings a node back whose disk failed and works again: full, unreachable or in error for a while.
//!
//! The outcome of the write that failed is unknown. The node answers for nothing meanwhile; before
//! it takes part again, the disk must take writes, bear the same identity, and hold what this
//! process has answered for.

use crate::Control;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;

enum Outcome {
    Restored {
        rewritten: usize,
    },
    /// The disk bears another identity or none: nothing that this process vouched for may be there.
    OtherDisk,
}

/// Waits for failures and tries the disk until it is restored.
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

/// `false` where only a restart helps.
async fn restore_until_done(control: &Arc<Control>) -> bool {
    loop {
        control.runtime.sleep(DISK_RETRY).await;
        let failures = control.storage.failures.load(SeqCst);
        match restore(control).await {
            Ok(Outcome::OtherDisk) => return false,
            // A write that was under way may have failed meanwhile.
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

async fn restore(control: &Arc<Control>) -> io::Result<Outcome> {
    control.storage.probe().await?;
    if !control.storage.bears_identity().await? {
        return Ok(Outcome::OtherDisk);
    }
    let rewritten = control.replica.restore().await?;
    control.chain.restore().await?;
    Ok(Outcome::Restored { rewritten })
}
