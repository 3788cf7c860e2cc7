//! The virtual clock: timers, and the future that waits for one.
//!
//! Virtual time does not advance while any task is runnable; otherwise it jumps to the expiry of
//! the next timer.

use super::connection::{ConnectionId, Side};
use super::machine::MachineId;
use super::{Sim, World};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// What happens when a timer expires.
pub(super) enum TimerEvent {
    /// The machine's processor is free to poll the task at the head of its queue.
    ProcessorFree(MachineId),
    /// The machine loses power.
    LosePower(MachineId),
    /// A sleeping task is woken.
    Wake(Waker),
    /// Bytes, or the end of the stream, sent by this side arrive at the other.
    Arrival(ConnectionId, Side),
}

/// Expiry of a timer (us) and its sequence number: timers with the same expiry fire in the order in
/// which they were set.
type TimerKey = (u64, u64);

#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<TimerKey, TimerEvent>,
}

impl Timers {
    /// Expiry (us) of the next timer.
    pub(super) fn next_expiry(&self) -> Option<u64> {
        self.pending.first_key_value().map(|(key, _)| key.0)
    }

    /// Removes the next timer and returns its event.
    pub(super) fn pop(&mut self) -> Option<TimerEvent> {
        self.pending.pop_first().map(|(_, event)| event)
    }
}

impl World {
    /// Sets a timer that expires at the given virtual time (us).
    pub(super) fn schedule(&mut self, at: u64, event: TimerEvent) {
        let sequence = self.next_id();
        self.timers.pending.insert((at, sequence), event);
    }
}

/// Completes at an instant of virtual time.
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
    /// The virtual time, in us since the start of the simulation.
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

    /// Sleeps for `us`, counted from this call and not from the first poll.
    pub(super) fn sleep_for(&self, us: u64) -> Sleep {
        self.sleep_until(self.now() + us)
    }
}
