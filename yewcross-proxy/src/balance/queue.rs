//! Requests that wait for a place at a service.

/// Place in the order: the route's rank, the time by which it should be over, and the order of
/// arrival.
pub(super) type Order = (u8, u64, u64);

struct Waiter {
    order: Order,
    tx: async_channel::Sender<()>,
}

/// Those who wait, let in one at a time.
#[derive(Default)]
pub(super) struct Queue {
    waiters: Vec<Waiter>,
    next: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Joins it; the receiver is told when a place may be free.
    pub(super) fn join(&mut self, rank: Option<(u8, u64)>) -> async_channel::Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        self.next += 1;
        let (first, second) = rank.unwrap_or_default();
        self.waiters.push(Waiter {
            order: (first, second, self.next),
            tx,
        });
        rx
    }

    /// Lets the first one in that is still there.
    pub(super) fn wake(&mut self) {
        while !self.waiters.is_empty() {
            let first = (0..self.waiters.len())
                .min_by_key(|i| self.waiters[*i].order)
                .unwrap_or(0);
            if self.waiters.swap_remove(first).tx.try_send(()).is_ok() {
                return;
            }
        }
    }

    /// Forgets those who have left.
    pub(super) fn tidy(&mut self) {
        self.waiters.retain(|x| !x.tx.is_closed());
    }
}
