//! Detection of streams that pause for longer than their route allows.

use std::sync::Mutex;
use std::task::{Context, Poll};
use yewcross_common::runtime::*;

/// Detects that no bytes of a stream arrive. Only one timer is pending at a time, however many
/// bytes arrive.
pub(super) struct StallTimer {
    /// us without bytes after which a stream is stalled.
    limit_us: u64,
    /// Start of the current period without bytes, in us of the runtime's clock: the later of the
    /// last byte and the last restart.
    silent_since: u64,
    timer: Mutex<BoxFuture<'static, ()>>,
}

impl StallTimer {
    pub(super) fn new(runtime: &Runtime, limit_us: u64) -> StallTimer {
        StallTimer {
            limit_us,
            silent_since: runtime.now(),
            timer: Mutex::new(runtime.sleep(limit_us)),
        }
    }

    /// Ready once no byte has arrived for the limit since `last_byte_at`. A new period starts at
    /// that moment.
    pub(super) fn poll_stalled(
        &mut self,
        runtime: &Runtime,
        last_byte_at: u64,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        self.silent_since = self.silent_since.max(last_byte_at);
        let timer = self.timer.get_mut().unwrap();
        while timer.as_mut().poll(cx).is_ready() {
            let (now, due) = (runtime.now(), self.silent_since + self.limit_us);
            if now >= due {
                self.silent_since = now;
                *timer = runtime.sleep(self.limit_us);
                return Poll::Ready(());
            }
            *timer = runtime.sleep(due - now);
        }
        Poll::Pending
    }

    /// Starts a new period now.
    pub(super) fn restart(&mut self, runtime: &Runtime) {
        self.silent_since = runtime.now();
    }
}
