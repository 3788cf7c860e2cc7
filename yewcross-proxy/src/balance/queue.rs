//! Requests that wait for capacity at a service.

/// Sort key of a waiting request: the route's rank, the time by which the request should be
/// finished (µs), and the order of arrival.
pub(super) type QueueKey = (u8, u64, u64);

struct Waiter {
    key: QueueKey,
    wake: async_channel::Sender<()>,
}

/// Waiting requests, woken one at a time in the order of their keys.
#[derive(Default)]
pub(super) struct Queue {
    waiters: Vec<Waiter>,
    arrivals: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Adds a request; the receiver is notified when there may be capacity for it.
    pub(super) fn join(&mut self, rank: Option<(u8, u64)>) -> async_channel::Receiver<()> {
        let (wake, woken) = async_channel::bounded(1);
        self.arrivals += 1;
        let (rank, finish_by) = rank.unwrap_or_default();
        self.waiters.push(Waiter {
            key: (rank, finish_by, self.arrivals),
            wake,
        });
        woken
    }

    /// Removes and wakes the first request that is still waiting.
    pub(super) fn wake_next(&mut self) {
        while !self.waiters.is_empty() {
            let first = (0..self.waiters.len())
                .min_by_key(|index| self.waiters[*index].key)
                .unwrap_or(0);
            if self.waiters.swap_remove(first).wake.try_send(()).is_ok() {
                return;
            }
        }
    }

    /// Removes requests that no longer wait.
    pub(super) fn prune(&mut self) {
        self.waiters.retain(|waiter| !waiter.wake.is_closed());
    }
}
