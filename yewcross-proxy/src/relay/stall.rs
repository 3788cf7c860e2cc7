//! Detection of streams that pause for longer than their route allows.

use std::sync::Mutex;
use std::task::{Context, Poll};
use yewcross_common::runtime::*;

/// Watches a stream for silence. One timer runs at a time, whatever comes.
pub(super) struct StallTimer {
    /// us of silence after which a stream is stalled.
    limit: u64,
    /// us of the world's clock. Silence counts from here, or from the last byte that came.
    quiet_since: u64,
    timer: Mutex<BoxFuture<'static, ()>>,
}

impl StallTimer {
    pub(super) fn new(runtime: &Runtime, limit: u64) -> StallTimer {
        StallTimer {
            limit,
            quiet_since: runtime.now(),
            timer: Mutex::new(runtime.sleep(limit)),
        }
    }

    /// Ready once nothing came for too long since `heard_at`; silence counts anew from then on.
    pub(super) fn poll_stalled(
        &mut self,
        runtime: &Runtime,
        heard_at: u64,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        self.quiet_since = self.quiet_since.max(heard_at);
        let timer = self.timer.get_mut().unwrap();
        while timer.as_mut().poll(cx).is_ready() {
            let (now, due) = (runtime.now(), self.quiet_since + self.limit);
            if now >= due {
                self.quiet_since = now;
                *timer = runtime.sleep(self.limit);
                return Poll::Ready(());
            }
            *timer = runtime.sleep(due - now);
        }
        Poll::Pending
    }

    /// Silence counts from now on.
    pub(super) fn restart(&mut self, runtime: &Runtime) {
        self.quiet_since = runtime.now();
    }
}
