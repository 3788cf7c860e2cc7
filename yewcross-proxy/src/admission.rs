//! Admission queues, one a service: bounded, urgent requests first within reason, then by earliest
//! deadline.
//!
//! A request waits here until a server has a free slot. It is refused at once when its expected
//! wait passes what its deadline allows, and asked again of itself each time it wakes.

use std::collections::BTreeMap;
use std::sync::Mutex;
use yewcross_common::configuration::Class;
use yewcross_common::constants::{DEFAULT_RETRY_AFTER_S, MS, QUEUE_RATE_MIN_SAMPLES, SEC};
use yewcross_common::error_code::Code;
use yewcross_common::runtime::Runtime;

/// us. The longest a waiting request sleeps before it looks again.
const LOOK_AGAIN: u64 = 100 * MS;
/// us. How much later than its deadline a request of class `Normal` sorts, and one of class `Idle`;
/// finite, so that nobody starves.
const NORMAL_OFFSET: u64 = 3 * SEC;
const IDLE_OFFSET: u64 = 6 * SEC;

/// Order in a queue: the deadline with its class's offset, then arrival.
type Position = (u64, u64);

/// What a request asks of its queue. Times are in us of the node's clock.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service whose slots it needs.
    pub service: &'a str,
    /// Its priority.
    pub class: Class,
    /// When its answer is due.
    pub deadline: u64,
    /// When it must be told, if it is not to be served.
    pub queueing_deadline: u64,
    /// us. The least time a server needs for it.
    pub min_service_us: u64,
    /// How many requests may wait, whatever their class.
    pub capacity: u64,
    /// Percent of the capacity that only urgent requests may use.
    pub urgent_share: u64,
}

/// Slots of a service's servers.
#[derive(Clone, Copy, Debug)]
pub struct Slots {
    /// Slots without a request.
    pub free: u32,
    /// All slots.
    pub total: u32,
}

/// Why a request is not admitted, and after how many seconds it may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, as callers are told.
    pub code: Code,
    /// Seconds until a repetition makes sense.
    pub retry_after: u64,
}

#[derive(Default)]
struct Queue {
    waiting: BTreeMap<Position, async_channel::Sender<()>>,
    /// Admitted, not yet at a server.
    admitted: u32,
    /// us a request holds a slot, smoothed.
    service_time: u64,
    /// us between two admissions while others wait, smoothed: what other fronts take is in it.
    interval: u64,
    intervals_seen: u64,
    /// When the last request was admitted while others waited; 0: none waited.
    last_admission: u64,
    arrivals: u64,
}

impl Queue {
    /// us that a request at this position must expect to wait.
    fn expected_wait(&self, position: Position, slots: Slots) -> u64 {
        let ahead = self.waiting.range(..position).count() as u64 + 1;
        let by_slots = self.service_time / slots.total.max(1) as u64;
        let each = if self.intervals_seen < QUEUE_RATE_MIN_SAMPLES {
            by_slots
        } else {
            by_slots.max(self.interval)
        };
        (ahead + self.admitted as u64).saturating_sub(slots.free as u64) * each
    }

    fn is_first(&self, position: Position) -> bool {
        self.waiting
            .first_key_value()
            .is_some_and(|(first, _)| *first == position)
    }

    /// Puts a request into the queue, unless it is bound to be refused later.
    fn join(
        &mut self,
        request: &Request,
        slots: Slots,
        now: u64,
        wake: async_channel::Sender<()>,
    ) -> Result<Position, Refusal> {
        if slots.total == 0 {
            return Err(Refusal {
                code: Code::NoServer,
                retry_after: DEFAULT_RETRY_AFTER_S,
            });
        }
        let position = (
            request.deadline + class_offset(request.class),
            self.arrivals,
        );
        let wait = self.expected_wait(position, slots);
        if self.waiting.len() as u64 >= request.room() {
            return Err(Refusal {
                code: Code::LineFull,
                retry_after: seconds(wait),
            });
        }
        request.check_in_time(now, wait)?;
        self.arrivals += 1;
        self.waiting.insert(position, wake);
        Ok(position)
    }

    /// Takes the request at this position out, on its way to a server.
    fn admit(&mut self, position: Position, now: u64) {
        self.admitted += 1;
        self.waiting.remove(&position);
        if self.waiting.is_empty() {
            self.last_admission = 0;
            return;
        }
        let gap = if self.last_admission == 0 {
            self.interval
        } else {
            now - self.last_admission
        };
        self.interval = (7 * self.interval + gap) / 8;
        self.intervals_seen += 1;
        self.last_admission = now;
    }
}

impl Request<'_> {
    /// How many requests may stand before this one is refused.
    fn room(&self) -> u64 {
        match self.class {
            Class::Urgent => self.capacity,
            Class::Normal | Class::Idle => self.capacity - self.capacity * self.urgent_share / 100,
        }
    }

    fn check_in_time(&self, now: u64, wait: u64) -> Result<(), Refusal> {
        let too_late = now + wait + self.min_service_us > self.deadline;
        let too_patient = now + wait > self.queueing_deadline;
        if too_late || too_patient {
            return Err(Refusal {
                code: Code::TooLate,
                retry_after: seconds(wait),
            });
        }
        Ok(())
    }

    /// The last moment at which it may still be admitted.
    fn give_up_at(&self) -> u64 {
        self.queueing_deadline
            .min(self.deadline.saturating_sub(self.min_service_us))
    }
}

fn seconds(us: u64) -> u64 {
    us.div_ceil(SEC).max(DEFAULT_RETRY_AFTER_S)
}

fn class_offset(class: Class) -> u64 {
    match class {
        Class::Urgent => 0,
        Class::Normal => NORMAL_OFFSET,
        Class::Idle => IDLE_OFFSET,
    }
}

/// The admission queues of a front, by service.
#[derive(Default)]
pub struct Admission(Mutex<BTreeMap<String, Queue>>);

/// An admitted request on its way to a server; given back when dropped.
pub struct Permit<'a> {
    admission: &'a Admission,
    service: String,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.admission.with(&self.service, |queue| {
            queue.admitted = queue.admitted.saturating_sub(1)
        });
        self.admission.wake(&self.service);
    }
}

/// A request in its queue; leaves it when dropped.
struct Waiter<'a> {
    admission: &'a Admission,
    service: &'a str,
    position: Position,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.admission
            .with(self.service, |queue| queue.waiting.remove(&self.position));
        self.admission.wake(self.service);
    }
}

impl Admission {
    fn with<R>(&self, service: &str, act: impl FnOnce(&mut Queue) -> R) -> R {
        let mut queues = self.0.lock().unwrap();
        act(queues.entry(service.into()).or_default())
    }

    /// Has the first request of a service look again.
    pub fn wake(&self, service: &str) {
        let queues = self.0.lock().unwrap();
        let first = queues
            .get(service)
            .and_then(|queue| queue.waiting.first_key_value());
        if let Some((_, wake)) = first {
            let _ = wake.try_send(());
        }
    }

    /// A request of the service held its slot for so many us.
    pub fn record_service_time(&self, service: &str, us: u64) {
        self.with(service, |queue| {
            queue.service_time = if queue.service_time == 0 {
                us
            } else {
                (7 * queue.service_time + us) / 8
            };
        });
    }

    /// Requests that wait, by service.
    pub fn queue_depths(&self) -> BTreeMap<String, usize> {
        self.0
            .lock()
            .unwrap()
            .iter()
            .map(|(service, queue)| (service.clone(), queue.waiting.len()))
            .collect()
    }

    /// Waits until a server has room. `slots` is asked again at each look.
    pub async fn admit(
        &self,
        world: &Runtime,
        request: Request<'_>,
        slots: impl Fn() -> Slots,
    ) -> Result<Permit<'_>, Refusal> {
        let (wake, woken) = async_channel::bounded(1);
        let position = self.with(request.service, |queue| {
            queue.join(&request, slots(), world.now(), wake)
        })?;
        let waiter = Waiter {
            admission: self,
            service: request.service,
            position,
        };
        loop {
            if self.try_admit(world, &request, position, &slots)? {
                self.wake(request.service);
                drop(waiter);
                return Ok(Permit {
                    admission: self,
                    service: request.service.into(),
                });
            }
            let now = world.now();
            let end = request.give_up_at();
            if now > end {
                return Err(Refusal {
                    code: Code::TooLate,
                    retry_after: DEFAULT_RETRY_AFTER_S,
                });
            }
            world
                .timeout((end - now).clamp(MS, LOOK_AGAIN), woken.recv())
                .await;
        }
    }

    /// Whether the request may go now; what has become hopeless is refused now, not when its time
    /// is up.
    fn try_admit(
        &self,
        world: &Runtime,
        request: &Request,
        position: Position,
        slots: impl Fn() -> Slots,
    ) -> Result<bool, Refusal> {
        self.with(request.service, |queue| {
            // Read under the queue's lock: a request that reaches its server leaves the one count
            // only after it is in the other.
            let slots = slots();
            if queue.is_first(position) && slots.free > queue.admitted {
                queue.admit(position, world.now());
                return Ok(true);
            }
            let wait = if slots.total == 0 {
                0
            } else {
                queue.expected_wait(position, slots)
            };
            request.check_in_time(world.now(), wait)?;
            Ok(false)
        })
    }
}
