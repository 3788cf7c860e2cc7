//! Waiting for a change of state without polling.

use event_listener::Event;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

/// A flag that is set once and never cleared, and that can be waited for.
#[derive(Debug, Default)]
pub struct Latch {
    is_set: AtomicBool,
    notifier: Notifier,
}

impl Latch {
    /// Sets the flag and wakes all who wait for it.
    pub fn set(&self) {
        self.is_set.store(true, SeqCst);
        self.notifier.notify();
    }

    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.is_set.load(SeqCst)
    }

    /// Returns once the flag is set.
    pub async fn wait(&self) {
        self.notifier.wait_until(|| self.is_set()).await
    }
}

/// Wakes those who wait for a condition; notified after each change that the condition may depend
/// on.
#[derive(Debug, Default)]
pub struct Notifier(Event);

impl Notifier {
    /// Wakes all who wait; costs next to nothing when nobody does.
    pub fn notify(&self) {
        self.0.notify(usize::MAX);
    }

    /// Returns once `condition` holds; it is evaluated now and after each notification.
    pub async fn wait_until(&self, mut condition: impl FnMut() -> bool) {
        while !condition() {
            // A change between the first evaluation and this line is seen by the second one; any
            // later one wakes the listener.
            let listener = self.0.listen();
            if condition() {
                return;
            }
            listener.await;
        }
    }
}
