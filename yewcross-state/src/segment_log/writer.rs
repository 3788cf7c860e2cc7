//! Appends batches of records to the log.
//!
//! All records queued while a batch is being written form the next batch, so that one sync makes the
//! records of any number of requests durable.

use crate::segment_log::{LogRecord, path};
use crate::turn_store::TurnStore;
use async_channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::{Relaxed, SeqCst};
use yewcross_common::constants::{LOG_QUEUE_BYTES, SEGMENT_BYTES, SYNC_TIMEOUT};
use yewcross_common::storage::encode_frame;
use yewcross_common::turn_log::messages::encode;

/// The write queue, and the sizes of the segments.
#[derive(Default)]
pub(crate) struct LogWriter {
    /// The segment being written.
    pub(super) segment: u64,
    /// Size of each segment in bytes.
    pub(crate) segment_bytes: BTreeMap<u64, u64>,
    queue: Vec<QueuedAppend>,
    /// Estimated size of the records in the queue and in the batch being written, in bytes.
    pending_bytes: usize,
    /// Whether a task is writing batches; it runs until the queue is empty.
    is_writing: bool,
    /// Time at which the write of the current batch started, us; `None` if none is in progress.
    batch_started_at_us: Option<u64>,
}

struct QueuedAppend {
    records: Vec<LogRecord>,
    /// Receives `true` once the records are durable; closed if the write fails.
    written: Sender<bool>,
}

/// The appends taken from the queue, and the segment to write them to.
struct Batch {
    appends: Vec<QueuedAppend>,
    segment: u64,
}

impl Batch {
    fn records(&self) -> impl Iterator<Item = &LogRecord> {
        self.appends.iter().flat_map(|append| &append.records)
    }
}

impl LogWriter {
    pub(crate) fn new(segment: u64, segment_bytes: BTreeMap<u64, u64>) -> LogWriter {
        LogWriter {
            segment,
            segment_bytes,
            ..Default::default()
        }
    }

    /// Whether a task is writing batches.
    pub(super) fn is_writing(&self) -> bool {
        self.is_writing
    }

    /// Discards the queue after a failed write, so that its records are never acknowledged.
    fn discard_queue(&mut self) {
        self.queue.clear();
        self.pending_bytes = 0;
        self.is_writing = false;
    }

    /// Takes the next batch from the queue; starts a new segment if the current one is full.
    fn next_batch(&mut self) -> Option<Batch> {
        if self.queue.is_empty() {
            self.is_writing = false;
            return None;
        }
        let is_full = self
            .segment_bytes
            .get(&self.segment)
            .is_some_and(|bytes| *bytes >= SEGMENT_BYTES);
        if is_full {
            self.segment += 1;
        }
        Some(Batch {
            appends: std::mem::take(&mut self.queue),
            segment: self.segment,
        })
    }
}

impl TurnStore {
    /// Queues records for the log; the receiver gets `true` once they are durable, and is closed if
    /// they cannot be written. Must be called under the index's lock if the order of changes matters.
    /// An empty list counts as durable once all records queued before it are durable.
    pub fn append(self: &Arc<Self>, records: Vec<LogRecord>) -> Receiver<bool> {
        let (written, receiver) = async_channel::bounded(1);
        if self.storage.failed.load(SeqCst) {
            return receiver;
        }
        let mut log = self.log.lock().unwrap();
        log.pending_bytes += records.iter().map(LogRecord::bytes).sum::<usize>();
        log.queue.push(QueuedAppend { records, written });
        if !std::mem::replace(&mut log.is_writing, true) {
            let store = self.clone();
            self.runtime.spawn_essential(
                "turn log writer",
                async move { store.write_batches().await },
            );
        }
        receiver
    }

    /// Whether new requests must be rejected: the queue is too long, or the current write exceeds
    /// `SYNC_TIMEOUT`.
    pub(crate) fn is_saturated(&self) -> bool {
        let log = self.log.lock().unwrap();
        log.pending_bytes > LOG_QUEUE_BYTES
            || log
                .batch_started_at_us
                .is_some_and(|started_us| self.runtime.now() > started_us + SYNC_TIMEOUT)
    }

    /// Waits up to `SYNC_TIMEOUT` for an append. Returns `true` if it is durable; `false` is
    /// inconclusive, as the records may still become durable later.
    pub(crate) async fn is_durable(&self, written: Receiver<bool>) -> bool {
        self.runtime.timeout(SYNC_TIMEOUT, written.recv()).await == Some(Ok(true))
    }

    /// Writes batches until the queue is empty. A failed write marks the disk as failed.
    async fn write_batches(self: Arc<Self>) {
        loop {
            let Some(batch) = self.log.lock().unwrap().next_batch() else {
                return;
            };
            let batch_bytes: usize = batch.records().map(LogRecord::bytes).sum();
            if let Err(error) = self.write_batch(&batch).await {
                self.storage.mark_failed(&error);
                self.log.lock().unwrap().discard_queue();
                return;
            }
            {
                let mut index = self.index.lock().unwrap();
                batch
                    .records()
                    .for_each(|record| index.apply(record, batch.segment));
            }
            self.log.lock().unwrap().pending_bytes -= batch_bytes;
            for append in &batch.appends {
                // Fails only if the receiver was dropped.
                let _ = append.written.try_send(true);
            }
        }
    }

    /// Writes a batch as one frame. Writes nothing if the batch has no records.
    async fn write_batch(&self, batch: &Batch) -> io::Result<()> {
        let records: Vec<&LogRecord> = batch.records().collect();
        if records.is_empty() {
            return Ok(());
        }
        let frame = encode_frame(&encode(&records));
        let frame_bytes = frame.len() as u64;
        let is_new_segment = {
            let mut log = self.log.lock().unwrap();
            log.batch_started_at_us = Some(self.runtime.now());
            !log.segment_bytes.contains_key(&batch.segment)
        };
        let appended = self.runtime.append(&path(batch.segment), frame).await;
        self.log.lock().unwrap().batch_started_at_us = None;
        // A new file requires an additional sync of its directory.
        let syncs = 1 + is_new_segment as u64;
        self.storage.syncs.fetch_add(syncs, Relaxed);
        self.storage.bytes_written.fetch_add(frame_bytes, Relaxed);
        self.counters.batches.fetch_add(1, Relaxed);
        self.counters
            .records
            .fetch_add(records.len() as u64, Relaxed);
        appended?;
        let mut log = self.log.lock().unwrap();
        *log.segment_bytes.entry(batch.segment).or_default() += frame_bytes;
        Ok(())
    }
}
