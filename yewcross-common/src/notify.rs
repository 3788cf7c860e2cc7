//! Waiting for a change of state without looking again and again.

use event_listener::Event;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

/// Set once, never unset; whoever waits is woken.
#[derive(Debug, Default)]
pub struct Latch {
    on: AtomicBool,
    ev: Notifier,
}

impl Latch {
    pub fn set(&self) {
        self.on.store(true, SeqCst);
        self.ev.notify();
    }
    pub fn is_set(&self) -> bool {
        self.on.load(SeqCst)
    }
    pub async fn wait(&self) {
        self.ev.wait_until(|| self.is_set()).await
    }
}

/// Told after each change that others may wait for.
#[derive(Debug, Default)]
pub struct Notifier(Event);

impl Notifier {
    /// Wakes all who wait; costs next to nothing when nobody does.
    pub fn notify(&self) {
        self.0.notify(usize::MAX);
    }
    /// Returns once `f` holds; `f` is looked at now and after each change told.
    pub async fn wait_until(&self, mut f: impl FnMut() -> bool) {
        while !f() {
            let l = self.0.listen();
            if f() {
                return;
            }
            l.await;
        }
    }
}
