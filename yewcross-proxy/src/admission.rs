//! Admission control: a bounded queue for each service, ordered by deadline, in which the priority
//! of a request shifts its deadline.
//!
//! A request waits here until a server has a free slot. It is refused as soon as its expected wait
//! exceeds what its deadline allows; this is checked on arrival and each time the request wakes.

use std::collections::BTreeMap;
use std::sync::Mutex;
use yewcross_common::configuration::Class;
use yewcross_common::constants::{DEFAULT_RETRY_AFTER_S, MS, QUEUE_RATE_MIN_SAMPLES, SEC};
use yewcross_common::error_code::Code;
use yewcross_common::runtime::Runtime;

/// µs. Longest time for which a waiting request sleeps before it checks again.
const RECHECK_INTERVAL: u64 = 100 * MS;
/// µs. Added to the deadline of requests of class `Normal` and `Idle` to order the queue; finite, so
/// that no request starves.
const NORMAL_OFFSET: u64 = 3 * SEC;
const IDLE_OFFSET: u64 = 6 * SEC;

/// Position in a queue: the deadline with the offset of its class, then the order of arrival.
type Position = (u64, u64);

/// A request for admission. Times are in µs of the node's clock.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service whose slots the request needs.
    pub service: &'a str,
    /// Priority of the request.
    pub class: Class,
    /// When the response is due.
    pub deadline: u64,
    /// When the request must have been refused, if it is not served.
    pub queueing_deadline: u64,
    /// µs. Least time that a server needs for the request.
    pub min_service_us: u64,
    /// How many requests of all classes may wait.
    pub capacity: u64,
    /// Percentage of the capacity that is reserved for urgent requests.
    pub urgent_share: u64,
}

/// Slots of a service's servers.
#[derive(Clone, Copy, Debug)]
pub struct Slots {
    /// Slots that are not in use.
    pub free: u32,
    /// All slots.
    pub total: u32,
}

/// Why a request is not admitted, and after how many seconds it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, as returned to callers.
    pub code: Code,
    /// Seconds after which a retry may succeed.
    pub retry_after: u64,
}

#[derive(Default)]
struct Queue {
    waiting: BTreeMap<Position, async_channel::Sender<()>>,
    /// Requests that were admitted and have not reached a server yet.
    admitted: u32,
    /// µs for which a request holds a slot, smoothed.
    service_time: u64,
    /// µs between two admissions while other requests wait, smoothed. It reflects the slots that
    /// other proxies take.
    interval: u64,
    intervals_seen: u64,
    /// When the last request was admitted while others waited, in µs; 0 if none waited.
    last_admission: u64,
    arrivals: u64,
}

impl Queue {
    /// µs for which a request at this position can expect to wait.
    fn expected_wait(&self, position: Position, slots: Slots) -> u64 {
        let ahead = self.waiting.range(..position).count() as u64 + 1;
        let interval_by_slots = self.service_time / slots.total.max(1) as u64;
        let interval = if self.intervals_seen < QUEUE_RATE_MIN_SAMPLES {
            interval_by_slots
        } else {
            interval_by_slots.max(self.interval)
        };
        (ahead + self.admitted as u64).saturating_sub(slots.free as u64) * interval
    }

    fn is_first(&self, position: Position) -> bool {
        self.waiting
            .first_key_value()
            .is_some_and(|(first, _)| *first == position)
    }

    /// Adds a request, unless the queue is full or the request cannot be served in time.
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
        let expected_wait = self.expected_wait(position, slots);
        if self.waiting.len() as u64 >= request.queue_limit() {
            return Err(Refusal {
                code: Code::LineFull,
                retry_after: retry_after_seconds(expected_wait),
            });
        }
        request.check_in_time(now, expected_wait)?;
        self.arrivals += 1;
        self.waiting.insert(position, wake);
        Ok(position)
    }

    /// Removes the request at this position and counts it as admitted.
    fn admit(&mut self, position: Position, now: u64) {
        self.admitted += 1;
        self.waiting.remove(&position);
        if self.waiting.is_empty() {
            self.last_admission = 0;
            return;
        }
        let elapsed = if self.last_admission == 0 {
            self.interval
        } else {
            now - self.last_admission
        };
        self.interval = (7 * self.interval + elapsed) / 8;
        self.intervals_seen += 1;
        self.last_admission = now;
    }
}

impl Request<'_> {
    /// Number of waiting requests at which this one is refused.
    fn queue_limit(&self) -> u64 {
        match self.class {
            Class::Urgent => self.capacity,
            Class::Normal | Class::Idle => self.capacity - self.capacity * self.urgent_share / 100,
        }
    }

    fn check_in_time(&self, now: u64, wait: u64) -> Result<(), Refusal> {
        let misses_deadline = now + wait + self.min_service_us > self.deadline;
        let misses_queueing_deadline = now + wait > self.queueing_deadline;
        if misses_deadline || misses_queueing_deadline {
            return Err(Refusal {
                code: Code::TooLate,
                retry_after: retry_after_seconds(wait),
            });
        }
        Ok(())
    }

    /// The latest time at which the request may still be admitted.
    fn latest_admission(&self) -> u64 {
        self.queueing_deadline
            .min(self.deadline.saturating_sub(self.min_service_us))
    }
}

fn retry_after_seconds(us: u64) -> u64 {
    us.div_ceil(SEC).max(DEFAULT_RETRY_AFTER_S)
}

fn class_offset(class: Class) -> u64 {
    match class {
        Class::Urgent => 0,
        Class::Normal => NORMAL_OFFSET,
        Class::Idle => IDLE_OFFSET,
    }
}

/// The admission queues of a proxy, by service.
#[derive(Default)]
pub struct Admission(Mutex<BTreeMap<String, Queue>>);

/// Permission for an admitted request to be sent to a server; released when dropped.
pub struct Permit<'a> {
    admission: &'a Admission,
    service: String,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.admission.with_queue(&self.service, |queue| {
            queue.admitted = queue.admitted.saturating_sub(1)
        });
        self.admission.wake(&self.service);
    }
}

/// A request in its queue; removed from the queue when dropped.
struct Waiter<'a> {
    admission: &'a Admission,
    service: &'a str,
    position: Position,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.admission
            .with_queue(self.service, |queue| queue.waiting.remove(&self.position));
        self.admission.wake(self.service);
    }
}

impl Admission {
    fn with_queue<R>(&self, service: &str, act: impl FnOnce(&mut Queue) -> R) -> R {
        let mut queues = self.0.lock().unwrap();
        act(queues.entry(service.into()).or_default())
    }

    /// Wakes the first request in a service's queue, so that it checks for a free slot.
    pub fn wake(&self, service: &str) {
        let queues = self.0.lock().unwrap();
        let first = queues
            .get(service)
            .and_then(|queue| queue.waiting.first_key_value());
        if let Some((_, wake)) = first {
            let _ = wake.try_send(());
        }
    }

    /// Records that a request of the service held its slot for this many µs.
    pub fn record_service_time(&self, service: &str, us: u64) {
        self.with_queue(service, |queue| {
            queue.service_time = if queue.service_time == 0 {
                us
            } else {
                (7 * queue.service_time + us) / 8
            };
        });
    }

    /// Number of waiting requests, by service.
    pub fn queue_depths(&self) -> BTreeMap<String, usize> {
        self.0
            .lock()
            .unwrap()
            .iter()
            .map(|(service, queue)| (service.clone(), queue.waiting.len()))
            .collect()
    }

    /// Waits until a server has a free slot for the request. `slots` is called at each check.
    pub async fn admit(
        &self,
        runtime: &Runtime,
        request: Request<'_>,
        slots: impl Fn() -> Slots,
    ) -> Result<Permit<'_>, Refusal> {
        let (wake, woken) = async_channel::bounded(1);
        let position = self.with_queue(request.service, |queue| {
            queue.join(&request, slots(), runtime.now(), wake)
        })?;
        let waiter = Waiter {
            admission: self,
            service: request.service,
            position,
        };
        loop {
            if self.try_admit(runtime, &request, position, &slots)? {
                self.wake(request.service);
                drop(waiter);
                return Ok(Permit {
                    admission: self,
                    service: request.service.into(),
                });
            }
            let now = runtime.now();
            let end = request.latest_admission();
            if now > end {
                return Err(Refusal {
                    code: Code::TooLate,
                    retry_after: DEFAULT_RETRY_AFTER_S,
                });
            }
            runtime
                .timeout((end - now).clamp(MS, RECHECK_INTERVAL), woken.recv())
                .await;
        }
    }

    /// Whether the request is admitted now. A request that can no longer be served in time is
    /// refused at once rather than at its deadline.
    fn try_admit(
        &self,
        runtime: &Runtime,
        request: &Request,
        position: Position,
        slots: impl Fn() -> Slots,
    ) -> Result<bool, Refusal> {
        self.with_queue(request.service, |queue| {
            // The slots are read under the queue's lock: an admitted request that reaches its server
            // occupies a slot before it stops counting as admitted, so it is never missing from
            // both figures.
            let slots = slots();
            if queue.is_first(position) && slots.free > queue.admitted {
                queue.admit(position, runtime.now());
                return Ok(true);
            }
            let expected_wait = if slots.total == 0 {
                0
            } else {
                queue.expected_wait(position, slots)
            };
            request.check_in_time(runtime.now(), expected_wait)?;
            Ok(false)
        })
    }
}
