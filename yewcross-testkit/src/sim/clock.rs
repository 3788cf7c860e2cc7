//! The virtual clock: timers, and the future that waits for one.
//!
//! Time stands still while any task is runnable and jumps to the next timer otherwise.

use super::connection::{ConnectionId, Side};
use super::machine::MachineId;
use super::{Sim, World};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// What happens when a timer expires.
pub(super) enum TimerEvent {
    /// The machine's processor is free for the task that waited longest.
    ProcessorFree(MachineId),
    /// The machine loses power.
    LosePower(MachineId),
    /// A sleeping task continues.
    Wake(Waker),
    /// Bytes, or the end of the stream, that this side sent reach the other.
    Arrival(ConnectionId, Side),
}

/// When a timer expires (us), and its sequence number: timers of one instant expire in the order
/// in which they were set.
type TimerKey = (u64, u64);

#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<TimerKey, TimerEvent>,
}

impl Timers {
    /// When the next timer expires.
    pub(super) fn next_expiry(&self) -> Option<u64> {
        self.pending.first_key_value().map(|(key, _)| key.0)
    }

    /// Removes the next timer.
    pub(super) fn pop(&mut self) -> Option<TimerEvent> {
        self.pending.pop_first().map(|(_, event)| event)
    }
}

impl World {
    /// Sets a timer.
    pub(super) fn schedule(&mut self, at: u64, event: TimerEvent) {
        let sequence = self.next_id();
        self.timers.pending.insert((at, sequence), event);
    }
}

/// Waits until an instant of virtual time.
pub(super) struct Sleep {
    sim: Sim,
    until: u64,
    is_scheduled: bool,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let mut world = self.sim.world();
        if world.now >= self.until {
            return Poll::Ready(());
        }
        if !self.is_scheduled {
            world.schedule(self.until, TimerEvent::Wake(context.waker().clone()));
            drop(world);
            self.is_scheduled = true;
        }
        Poll::Pending
    }
}

impl Sim {
    /// us since the simulation began.
    pub fn now(&self) -> u64 {
        self.world().now
    }

    pub(super) fn sleep_until(&self, until: u64) -> Sleep {
        Sleep {
            sim: self.clone(),
            until,
            is_scheduled: false,
        }
    }

    /// Sleeps from now, not from the first poll.
    pub(super) fn sleep_for(&self, us: u64) -> Sleep {
        self.sleep_until(self.now() + us)
    }
}
