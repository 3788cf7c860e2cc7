//! Primitives for waiting for a change of state without polling.

use event_listener::Event;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

/// A flag that is set once, is never cleared, and can be awaited.
#[derive(Debug, Default)]
pub struct Latch {
    is_set: AtomicBool,
    notifier: Notifier,
}

impl Latch {
    /// Sets the flag and wakes all waiting tasks.
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

/// Wakes tasks that wait for a condition. It must be notified after each change that the condition
/// depends on.
#[derive(Debug, Default)]
pub struct Notifier(Event);

impl Notifier {
    /// Wakes all waiting tasks; almost free of cost if there are none.
    pub fn notify(&self) {
        self.0.notify(usize::MAX);
    }

    /// Returns once `condition` is true. It is evaluated immediately and after each notification.
    pub async fn wait_until(&self, mut condition: impl FnMut() -> bool) {
        while !condition() {
            // A change between the first evaluation and the registration of the listener is observed
            // by the second evaluation; any later change wakes the listener.
            let listener = self.0.listen();
            if condition() {
                return;
            }
            listener.await;
        }
    }
}
