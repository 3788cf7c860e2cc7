//! Memory for data whose size others determine: request bodies, responses that a client has not read
//! yet, prompts. Each of them has a limit of its own; here their sum has one, so that callers cannot
//! make a process exceed its memory limit.
//!
//! A buffer reserves memory before it grows. What cannot be reserved is rejected by its owner.

use crate::constants::{BUFFER_MEMORY_PERCENT, LARGE_BUFFER_PERCENT, SMALL_BUFFER_BYTES};
use crate::notify::Notifier;
use crate::overload::available_memory;
use crate::process_settings::Bounds;
use crate::runtime::Runtime;
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};

/// The memory that the buffers of a process may use together.
#[derive(Debug)]
pub struct BufferMemory {
    /// Upper limit in bytes.
    limit: usize,
    /// Bytes that are reserved.
    reserved: AtomicUsize,
    /// Number of reservations that were refused.
    refusals: AtomicU64,
    /// Notified when memory is released.
    released: Notifier,
}

impl Default for BufferMemory {
    fn default() -> BufferMemory {
        BufferMemory::with_limit(usize::MAX)
    }
}

impl BufferMemory {
    /// The memory for buffers of a process within these bounds; unlimited if they set no limit.
    pub fn within(bounds: &Bounds) -> Arc<BufferMemory> {
        Arc::new(match available_memory(bounds) {
            None => BufferMemory::default(),
            Some(available) => BufferMemory::with_limit(available / 100 * BUFFER_MEMORY_PERCENT),
        })
    }

    /// Memory of this many bytes.
    pub fn with_limit(limit: usize) -> BufferMemory {
        BufferMemory {
            limit,
            reserved: AtomicUsize::new(0),
            refusals: AtomicU64::new(0),
            released: Notifier::default(),
        }
    }

    /// Notified each time that memory is released.
    pub fn released(&self) -> &Notifier {
        &self.released
    }

    /// Upper limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that are reserved at the moment.
    pub fn reserved(&self) -> usize {
        self.reserved.load(SeqCst)
    }

    /// Number of reservations that were refused so far.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(SeqCst)
    }

    /// The part of the limit that a buffer of this size may use. The rest is left to small buffers, so
    /// that a few large ones cannot keep out all others.
    fn limit_for(&self, buffer_bytes: usize) -> usize {
        if buffer_bytes <= SMALL_BUFFER_BYTES {
            self.limit
        } else {
            self.limit / 100 * LARGE_BUFFER_PERCENT
        }
    }

    fn try_reserve(&self, bytes: usize, limit: usize) -> bool {
        let reserve = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= limit);
        self.reserved.fetch_update(SeqCst, SeqCst, reserve).is_ok()
    }
}

/// Memory that one buffer has reserved; it is released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<BufferMemory>,
    bytes: usize,
    /// Counts the bytes reserved by the same holder.
    holder: Option<Arc<AtomicUsize>>,
    /// It may use the memory that large buffers leave to small ones.
    has_precedence: bool,
}

impl Reservation {
    /// A reservation of no bytes.
    pub fn new(memory: &Arc<BufferMemory>) -> Reservation {
        Reservation {
            memory: memory.clone(),
            bytes: 0,
            holder: None,
            has_precedence: false,
        }
    }

    /// The same empty reservation; its bytes are added to `holder` as long as they are reserved.
    pub fn counted_in(mut self, holder: &Arc<AtomicUsize>) -> Reservation {
        debug_assert_eq!(self.bytes, 0);
        self.holder = Some(holder.clone());
        self
    }

    /// The same empty reservation, for what the tier needs to work: it may use the memory that large
    /// buffers of callers leave to small ones.
    pub fn with_precedence(mut self) -> Reservation {
        self.has_precedence = true;
        self
    }

    /// Bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves further bytes; returns whether there is memory for them.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let has_grown = self.grow(bytes);
        self.count_refusal(!has_grown);
        has_grown
    }

    /// Like [`Reservation::try_grow`], but waits until `deadline` (µs of the runtime's clock) for memory
    /// that others release. Fails at once where all of the memory would not be enough.
    #[must_use]
    pub async fn grow_until(&mut self, runtime: &Runtime, bytes: usize, deadline: u64) -> bool {
        let is_possible = self.bytes.saturating_add(bytes) <= self.limit_for(bytes);
        let memory = self.memory.clone();
        let left = deadline.saturating_sub(runtime.now());
        let has_grown = is_possible && {
            let grow = memory.released.wait_until(|| self.grow(bytes));
            runtime.timeout(left, grow).await.is_some()
        };
        self.count_refusal(!has_grown);
        has_grown
    }

    fn count_refusal(&self, is_refused: bool) {
        self.memory.refusals.fetch_add(is_refused as u64, SeqCst);
    }

    fn grow(&mut self, bytes: usize) -> bool {
        let limit = self.limit_for(bytes);
        let is_reserved = self.memory.try_reserve(bytes, limit);
        if is_reserved {
            self.bytes += bytes;
            if let Some(holder) = &self.holder {
                holder.fetch_add(bytes, SeqCst);
            }
        }
        is_reserved
    }

    /// The limit that applies to this reservation after it has grown by `bytes`.
    fn limit_for(&self, bytes: usize) -> usize {
        if self.has_precedence {
            self.memory.limit
        } else {
            self.memory.limit_for(self.bytes.saturating_add(bytes))
        }
    }

    /// Returns `bytes` unchanged in content; the reservation lasts as long as any copy of them.
    pub fn attach_to(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(holder) = &self.holder {
            holder.fetch_sub(self.bytes, SeqCst);
        }
        self.memory.reserved.fetch_sub(self.bytes, SeqCst);
        self.memory.released.notify();
    }
}

/// Bytes with the reservation of their memory.
struct ReservedBytes<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// There is no memory left for a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfBufferMemory;

/// A buffer that reserves its memory before it grows.
pub struct ReservedBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl ReservedBuffer {
    /// An empty buffer.
    pub fn new(memory: &Arc<BufferMemory>) -> ReservedBuffer {
        ReservedBuffer {
            bytes: Vec::new(),
            reservation: Reservation::new(memory),
        }
    }

    /// An empty buffer whose memory belongs to this empty reservation.
    pub fn with_reservation(reservation: Reservation) -> ReservedBuffer {
        ReservedBuffer {
            bytes: Vec::new(),
            reservation,
        }
    }

    /// The reservation of its memory.
    pub fn reservation_mut(&mut self) -> &mut Reservation {
        &mut self.reservation
    }

    /// Bytes that must be reserved before `additional` bytes can be appended. The capacity doubles when
    /// it is used up, but not beyond `expected_bytes` unless the content is longer.
    pub fn growth_for(&self, additional: usize, expected_bytes: Option<usize>) -> usize {
        let needed = self.bytes.len() + additional;
        if needed <= self.bytes.capacity() {
            return 0;
        }
        let doubled = needed.max(2 * self.bytes.capacity());
        let capacity = match expected_bytes {
            Some(expected) if expected >= needed => doubled.min(expected),
            _ => doubled,
        };
        capacity - self.bytes.capacity()
    }

    /// Appends bytes, after `growth` further bytes were reserved for them.
    pub fn extend_reserved(&mut self, bytes: &[u8], growth: usize) {
        let capacity = self.bytes.capacity() + growth;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// A buffer for exactly this many bytes.
    pub fn with_capacity(
        memory: &Arc<BufferMemory>,
        bytes: usize,
    ) -> Result<ReservedBuffer, OutOfBufferMemory> {
        let mut buffer = ReservedBuffer::new(memory);
        buffer.grow_to(bytes)?;
        Ok(buffer)
    }

    /// Appends bytes. The capacity doubles when it is used up, but not beyond `expected_bytes` unless
    /// the content is longer.
    pub fn extend(
        &mut self,
        bytes: &[u8],
        expected_bytes: Option<usize>,
    ) -> Result<(), OutOfBufferMemory> {
        let growth = self.growth_for(bytes.len(), expected_bytes);
        if growth > 0 && !self.reservation.try_grow(growth) {
            return Err(OutOfBufferMemory);
        }
        self.extend_reserved(bytes, growth);
        Ok(())
    }

    fn grow_to(&mut self, capacity: usize) -> Result<(), OutOfBufferMemory> {
        let additional = capacity - self.bytes.capacity();
        if !self.reservation.try_grow(additional) {
            return Err(OutOfBufferMemory);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The content, and the reservation of its memory.
    pub fn into_parts(self) -> (Vec<u8>, Reservation) {
        (self.bytes, self.reservation)
    }

    /// The content; its memory stays reserved as long as any copy of it exists.
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.reservation.attach_to(self.bytes)
    }
}
